//! Limit on log lines.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

#[derive(Debug)]
struct State {
    /// When the present period began.
    since: Option<Instant>,
    /// Lines that went out in it.
    sent: u32,
    /// Lines that were held back since the last one that went out.
    held: u64,
}

/// Lets the first lines of each period through, with the count of those that were held back before
/// them. A place keeps its limiter in a `static`.
#[derive(Debug)]
pub struct LogLimiter {
    period: Duration,
    lines: u32,
    state: Mutex<State>,
}

impl LogLimiter {
    /// A limiter that lets one line through each `period`.
    pub const fn new(period: Duration) -> Self {
        Self::with_lines(1, period)
    }

    /// A limiter that lets so many lines through each `period`.
    pub const fn with_lines(lines: u32, period: Duration) -> Self {
        let state = State {
            since: None,
            sent: 0,
            held: 0,
        };
        Self {
            period,
            lines,
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
            .since
            .is_some_and(|since| now.saturating_duration_since(since) < self.period);
        if !recent {
            state.since = Some(now);
            state.sent = 0;
        }
        if state.sent >= self.lines {
            state.held += 1;
            return None;
        }
        state.sent += 1;
        Some(std::mem::take(&mut state.held))
    }
}
