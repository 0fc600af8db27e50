//! Limit on repeated log lines.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

#[derive(Debug)]
struct State {
    /// When a line was last let through.
    last: Option<Instant>,
    /// Lines that were held back since.
    held: u64,
}

/// Lets the first line of one place through, then one each period with the count of those that
/// were held back. A place keeps its limiter in a `static`.
#[derive(Debug)]
pub struct Limiter {
    period: Duration,
    state: Mutex<State>,
}

impl Limiter {
    /// A limiter that lets one line through each `period`.
    pub const fn new(period: Duration) -> Self {
        let state = State {
            last: None,
            held: 0,
        };
        Self {
            period,
            state: Mutex::new(state),
        }
    }

    /// Whether a line may go out now: the number of lines held back before it, or `None`.
    pub fn admit(&self) -> Option<u64> {
        self.admit_at(Instant::now())
    }

    /// [`Limiter::admit`] at a given time.
    pub fn admit_at(&self, now: Instant) -> Option<u64> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let recent = state
            .last
            .is_some_and(|last| now.saturating_duration_since(last) < self.period);
        if recent {
            state.held += 1;
            return None;
        }
        state.last = Some(now);
        Some(std::mem::take(&mut state.held))
    }
}
