//! Validity of keys, as the control thread proves it and the traffic threads check it.

use std::sync::Arc;
use std::time::Duration;

use fresh::Cell;
use kernel::Clock;
use kernel::clock::BootClock;

/// Time until which keys are verified, with the clock that it refers to.
#[derive(Clone, Debug, Default)]
pub struct KeyValidity {
    cell: Arc<Cell>,
    clock: BootClock,
}

impl KeyValidity {
    /// The time until which keys are verified.
    pub fn cell(&self) -> &Cell {
        &self.cell
    }

    /// Clock of proofs.
    pub fn clock(&self) -> BootClock {
        self.clock
    }

    pub(crate) fn is_fresh(&self) -> bool {
        self.cell.is_fresh(self.clock.now())
    }

    pub(crate) fn time_left(&self) -> Duration {
        self.cell.time_left(self.clock.now())
    }
}
