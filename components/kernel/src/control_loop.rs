//! Event loop of the control thread.

use std::time::Duration;

use tokio::sync::mpsc::Receiver;
use tokio::time::timeout;

use crate::Clock;
use crate::Random;
use crate::StateMachine;

/// Longest wait for an input before the clock is read again.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// Carries out the effects of a state machine.
pub trait EffectExecutor<E> {
    /// Starts `effect` and returns without waiting for its end; must not block the control thread.
    fn execute(&mut self, effect: E);
}

/// Feeds `inputs` and due timers to `machine` and passes its effects to `executor`.
///
/// Returns when all senders of `inputs` are dropped.
pub async fn run_control_loop<M, X>(
    machine: &mut M,
    mut inputs: Receiver<M::Input>,
    executor: &mut X,
    clock: &dyn Clock,
    random: &mut dyn Random,
) where
    M: StateMachine,
    X: EffectExecutor<M::Effect>,
{
    let mut effects = Vec::new();
    loop {
        let now = clock.now();
        if machine.next_wake().is_some_and(|due| due <= now) {
            machine.wake(now, random, &mut effects);
            effects
                .drain(..)
                .for_each(|effect| executor.execute(effect));
        }
        let wait = machine.next_wake().map_or(MAX_WAIT, |due| now.until(due));
        match timeout(wait.min(MAX_WAIT), inputs.recv()).await {
            Ok(Some(input)) => machine.step(clock.now(), input, random, &mut effects),
            Ok(None) => return,
            Err(_elapsed) => {}
        }
        effects
            .drain(..)
            .for_each(|effect| executor.execute(effect));
    }
}
