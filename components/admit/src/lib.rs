//! Admission plug-ins: `ranked` serves urgent work first, `fifo` is a plain bounded queue.

mod fifo;
mod ranked;

pub use fifo::Fifo;
pub use ranked::Ranked;
