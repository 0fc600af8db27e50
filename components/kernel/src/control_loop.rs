//! Loop of the control thread.

use std::time::Duration;

use tokio::sync::mpsc::Receiver;
use tokio::time::timeout;

use crate::Clock;
use crate::Random;
use crate::StateMachine;

/// Longest sleep between two looks at the clock.
const LONGEST_SLEEP: Duration = Duration::from_secs(1);

/// Carries out what a machine asks for; must not block.
pub trait EffectExecutor<E> {
    /// Starts the effect and returns at once.
    fn execute(&mut self, effect: E);
}

/// Runs `machine` until the sender side of `inputs` is closed.
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
        let sleep = machine
            .next_wake()
            .map_or(LONGEST_SLEEP, |due| now.until(due));
        match timeout(sleep.min(LONGEST_SLEEP), inputs.recv()).await {
            Ok(Some(input)) => machine.step(clock.now(), input, random, &mut effects),
            Ok(None) => return,
            Err(_elapsed) => {}
        }
        effects
            .drain(..)
            .for_each(|effect| executor.execute(effect));
    }
}
