//! Balancing plug-ins: `p2c` takes the less loaded of two random endpoints, `round-robin` takes the
//! endpoints in turn.

mod power_of_two_choices;
mod round_robin;

pub use power_of_two_choices::PowerOfTwoChoices;
pub use round_robin::RoundRobin;
