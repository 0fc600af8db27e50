//! Balancing plug-ins: `p2c` takes the better of two random choices, `round-robin` goes in turn.

mod robin;
mod two;

pub use robin::Robin;
pub use two::Two;
