//! Balancing plug-ins: `p2c` takes the less loaded of two random endpoints, `p2c-speed` also weighs how fast
//! they respond, and `round-robin` takes the endpoints in turn.

mod power_of_two_choices;
mod round_robin;
mod speed_weighted;

pub use power_of_two_choices::PowerOfTwoChoices;
pub use round_robin::RoundRobin;
pub use speed_weighted::SpeedWeighted;
