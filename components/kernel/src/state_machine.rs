//! Trait of the state machines that make all decisions.

use crate::Random;
use crate::Time;

/// A deterministic state machine without I/O, which turns inputs and the current time into effects.
///
/// An implementation reads no clock, opens no socket and starts no thread, so replaying a recorded
/// trace of inputs gives the same effects on each run.
pub trait StateMachine {
    /// Event that the state machine handles.
    type Input;
    /// Action that the code which runs the state machine has to carry out.
    type Effect;

    /// Handles `input` at time `now` and appends the resulting effects to `effects`.
    fn step(
        &mut self,
        now: Time,
        input: Self::Input,
        random: &mut dyn Random,
        effects: &mut Vec<Self::Effect>,
    );

    /// Handles every timer that is due at `now` and appends the resulting effects to `effects`.
    fn wake(&mut self, now: Time, random: &mut dyn Random, effects: &mut Vec<Self::Effect>);

    /// Time at which `wake` has to be called next; `None` if no timer is pending.
    fn next_wake(&self) -> Option<Time>;
}
