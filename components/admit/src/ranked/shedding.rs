//! Detects whether an upstream sheds requests because too many run at once.
//!
//! A lower concurrency limit ends the shedding of an overloaded upstream. It does not end that of a
//! faulty upstream, but only reduces the number of requests that this upstream can serve.

use std::time::Duration;

use kernel::Time;

/// Weight of an outcome in the moving average of the share of shed requests.
const SHED_SHARE_GAIN: f64 = 1.0 / 32.0;
/// Share of shed requests below which an episode of shedding has ended.
const RESOLVED_SHED_SHARE: f64 = 0.02;
/// Fractions of the limit at the start of an episode at which the shares of shed requests are
/// compared; the limit is halved between them.
const FIRST_CHECK_FACTOR: f64 = 0.7;
const SECOND_CHECK_FACTOR: f64 = 0.35;
/// Ratio of the share of shed requests at the second check to that at the first, from which
/// shedding is considered independent of the limit.
const UNCHANGED_RATIO: f64 = 0.85;
/// Time for which shed requests do not lower the limit, after a lower limit has not reduced the
/// shedding.
const IGNORE_SHEDDING_DURATION: Duration = Duration::from_secs(10);

/// Effect of an outcome on the concurrency limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum LimitAction {
    /// The limit stays as it is.
    Keep,
    /// The limit is too high.
    Decrease,
    /// Lowering the limit from this value did not reduce the shedding, so the value is restored.
    Restore(f64),
}

/// A period in which the upstream sheds requests.
#[derive(Clone, Copy, Debug)]
struct SheddingEpisode {
    /// Limit when the shedding began.
    limit: f64,
    /// Share of shed requests at the first check, once the limit is low enough for it.
    first_share: Option<f64>,
}

/// Recent shedding of one upstream, and whether it depends on the concurrency limit.
#[derive(Debug, Default)]
pub(crate) struct SheddingDetector {
    /// Moving average of the share of shed requests.
    shed_share: f64,
    episode: Option<SheddingEpisode>,
    ignored_until: Time,
}

impl SheddingDetector {
    /// Records whether a request was shed while the concurrency limit was `limit`, and returns how
    /// the limit should change.
    pub(crate) fn record_outcome(&mut self, now: Time, shed: bool, limit: f64) -> LimitAction {
        let target = if shed { 1.0 } else { 0.0 };
        self.shed_share += (target - self.shed_share) * SHED_SHARE_GAIN;
        if !shed {
            if self.shed_share < RESOLVED_SHED_SHARE {
                self.episode = None;
            }
            return LimitAction::Keep;
        }
        if now < self.ignored_until {
            return LimitAction::Keep;
        }
        let shed_share = self.shed_share;
        let episode = self.episode.get_or_insert(SheddingEpisode {
            limit,
            first_share: None,
        });
        let initial = episode.limit;
        match episode.first_share {
            None if limit <= initial * FIRST_CHECK_FACTOR => episode.first_share = Some(shed_share),
            Some(before) if limit <= (initial * SECOND_CHECK_FACTOR).max(1.0) => {
                self.episode = None;
                if shed_share >= before * UNCHANGED_RATIO {
                    self.ignored_until = now + IGNORE_SHEDDING_DURATION;
                    return LimitAction::Restore(initial);
                }
            }
            _ => {}
        }
        LimitAction::Decrease
    }
}
