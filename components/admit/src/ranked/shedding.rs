//! Whether an upstream sheds because too much runs at once.
//!
//! Fewer requests at once end the shedding of an upstream that is too full, and leave that of a faulty
//! one as it is. A limit that is cut all the same takes away what the faulty upstream still does.

use std::time::Duration;

use kernel::Time;

/// Weight of an outcome in the share of requests that are shed.
const GAIN: f64 = 1.0 / 32.0;
/// Share below which shedding counts as over.
const OVER: f64 = 0.02;
/// Parts of the limit at which the shares are compared; between them it is halved.
const FIRST_PART: f64 = 0.7;
const SECOND_PART: f64 = 0.35;
/// Part of the share that is left when shedding does not depend on the limit.
const SAME: f64 = 0.85;
/// Time after which the limit is tried again.
const IGNORED: Duration = Duration::from_secs(10);

/// What an outcome means for the limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Verdict {
    /// Nothing.
    Keep,
    /// It is too high.
    Cut,
    /// It was cut in vain from this value.
    Restore(f64),
}

/// The limit when the shedding began, and the share of shed requests after the first cuts.
#[derive(Clone, Copy, Debug)]
struct Episode {
    limit: f64,
    share: Option<f64>,
}

/// Recent shedding of one upstream.
#[derive(Debug, Default)]
pub(crate) struct Shedding {
    share: f64,
    episode: Option<Episode>,
    ignored_until: Time,
}

impl Shedding {
    /// Takes in whether a request was shed while `limit` was in force.
    pub(crate) fn learn(&mut self, now: Time, shed: bool, limit: f64) -> Verdict {
        let target = if shed { 1.0 } else { 0.0 };
        self.share += (target - self.share) * GAIN;
        if !shed {
            if self.share < OVER {
                self.episode = None;
            }
            return Verdict::Keep;
        }
        if now < self.ignored_until {
            return Verdict::Keep;
        }
        let share = self.share;
        let episode = self.episode.get_or_insert(Episode { limit, share: None });
        let begun = episode.limit;
        match episode.share {
            None if limit <= begun * FIRST_PART => episode.share = Some(share),
            Some(before) if limit <= (begun * SECOND_PART).max(1.0) => {
                self.episode = None;
                if share >= before * SAME {
                    self.ignored_until = now + IGNORED;
                    return Verdict::Restore(begun);
                }
            }
            _ => {}
        }
        Verdict::Cut
    }
}
