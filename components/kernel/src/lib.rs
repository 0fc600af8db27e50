//! Kernel: arenas, time, random numbers, the plug-in registry and the control loop.
//!
//! Provides what every other crate builds on and knows nothing of requests or configurations.
//! Decisions are written as [`StateMachine`]s; [`control_loop::run_control_loop`] runs one on the
//! control thread. Plug-ins register at link time in a distributed slice of [`Plugin`]s and are
//! looked up by name, so no code has to match on the names of plug-ins.

pub mod arena;
pub mod clock;
pub mod control_loop;
pub mod plugin;
pub mod quantity;
pub mod random;

mod state_machine;

pub use arena::Arena;
pub use arena::Key;
pub use clock::Clock;
pub use clock::Time;
pub use plugin::Plugin;
pub use random::Random;
pub use state_machine::StateMachine;
