//! Balancing plug-ins: `p2c` takes the better of two random choices, `round-robin` goes in turn.

mod power_of_two_choices;
mod round_robin;

pub use power_of_two_choices::PowerOfTwoChoices;
pub use round_robin::RoundRobin;
