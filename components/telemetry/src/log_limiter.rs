//! Rate limit for log lines.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

/// Current period of a limiter and its counts.
#[derive(Debug)]
struct LimiterState {
    /// Start of the current period; `None` before the first line.
    period_start: Option<Instant>,
    /// Number of lines admitted in the current period.
    admitted: u32,
    /// Number of lines suppressed since the last admitted one.
    suppressed: u64,
}

/// Rate limiter for log lines: admits the first lines of each period and reports how many were
/// suppressed before them. Each limited log statement, or group of them, has a limiter in a `static`.
#[derive(Debug)]
pub struct LogLimiter {
    period: Duration,
    lines_per_period: u32,
    state: Mutex<LimiterState>,
}

impl LogLimiter {
    /// Creates a limiter that admits one line in each `period`.
    pub const fn new(period: Duration) -> Self {
        Self::with_lines(1, period)
    }

    /// Creates a limiter that admits `lines_per_period` lines in each `period`.
    pub const fn with_lines(lines_per_period: u32, period: Duration) -> Self {
        let state = LimiterState {
            period_start: None,
            admitted: 0,
            suppressed: 0,
        };
        Self {
            period,
            lines_per_period,
            state: Mutex::new(state),
        }
    }

    /// Admits a line, if the rate allows it now, and returns the number of lines suppressed since the
    /// last admitted one; otherwise counts the line as suppressed and returns `None`.
    pub fn admit(&self) -> Option<u64> {
        self.admit_at(Instant::now())
    }

    /// Like [`LogLimiter::admit`], but at the time `now`.
    pub fn admit_at(&self, now: Instant) -> Option<u64> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let within_period = state
            .period_start
            .is_some_and(|period_start| now.saturating_duration_since(period_start) < self.period);
        if !within_period {
            state.period_start = Some(now);
            state.admitted = 0;
        }
        if state.admitted >= self.lines_per_period {
            state.suppressed += 1;
            return None;
        }
        state.admitted += 1;
        Some(std::mem::take(&mut state.suppressed))
    }
}
