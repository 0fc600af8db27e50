//! The form that every decision takes.

use crate::Random;
use crate::Time;

/// A pure state machine: inputs and the time go in, effects come out.
///
/// A machine reads no clock, opens no socket and starts no thread, so a recorded trace of inputs
/// gives the same effects on each run.
pub trait StateMachine {
    /// What can happen to it.
    type Input;
    /// What it asks its surroundings to do.
    type Effect;

    /// Takes one input and appends the effects.
    fn step(
        &mut self,
        now: Time,
        input: Self::Input,
        random: &mut dyn Random,
        effects: &mut Vec<Self::Effect>,
    );

    /// Does what is due at `now`.
    fn wake(&mut self, now: Time, random: &mut dyn Random, effects: &mut Vec<Self::Effect>);

    /// When `wake` is due next; `None` if only an input can change anything.
    fn next_wake(&self) -> Option<Time>;
}
