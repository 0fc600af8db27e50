//! The share of dispatches that is kept for ranks below the most urgent waiting one.
//!
//! Each dispatch of the most urgent rank earns the others a credit in slot time, so that long
//! requests of a low rank are not dispatched more than their share of the slots. A second, smaller
//! credit bounds the share while it would cost urgent work that could still be served.

/// Percent of slot time that the lower ranks keep while urgent work is in demand beyond capacity or
/// hardly waits.
pub(crate) const DEFAULT_PERCENT: u64 = 5;
/// Percent of slot time that they keep while urgent work waits but is not refused: urgent work keeps
/// 99% of its goodput.
const PRESSED_PERCENT: f64 = 1.0;
/// Credit that can be saved up, in mean requests; more would let low ranks take all slots at once.
const MAX_REQUESTS: f64 = 2.0;

/// Credits in microseconds of slot time; below zero after a long request.
#[derive(Debug)]
pub(crate) struct Share {
    percent: f64,
    ample: f64,
    pressed: f64,
}

impl Share {
    pub(crate) fn new(percent: u64) -> Self {
        Self {
            percent: percent.min(50) as f64,
            ample: 0.0,
            pressed: 0.0,
        }
    }

    /// Part of the slot time that lower ranks keep.
    pub(crate) fn part(&self, pressed: bool) -> f64 {
        let percent = if pressed {
            self.percent.min(PRESSED_PERCENT)
        } else {
            self.percent
        };
        percent.max(f64::EPSILON) / 100.0
    }

    /// Whether a lower rank's request of this cost is due.
    pub(crate) fn is_due(&self, cost: f64, mean: f64, pressed: bool) -> bool {
        let credit = if pressed { self.pressed } else { self.ample };
        credit > 0.0 && credit >= cost.min(mean * MAX_REQUESTS)
    }

    /// An urgent request was dispatched while lower ranks waited.
    pub(crate) fn earn(&mut self, cost: f64, mean: f64) {
        let most = mean * MAX_REQUESTS;
        let earned = |percent: f64| cost * percent / (100.0 - percent);
        self.ample = (self.ample + earned(self.percent)).min(most);
        let pressed = earned(self.percent.min(PRESSED_PERCENT));
        self.pressed = (self.pressed + pressed).min(most);
    }

    /// A lower rank's request was dispatched although urgent work waited.
    pub(crate) fn spend(&mut self, cost: f64) {
        self.ample -= cost;
        self.pressed = (self.pressed - cost).max(-cost);
    }
}
