//! Learned service times of the routes, in microseconds of slot time.

use std::time::Duration;

use ids::RouteId;
use kernel::Time;

/// Weight of a sample in the mean that predicts waits.
const MEAN_GAIN: f64 = 1.0 / 16.0;
/// Weight of a sample in the mean that the base follows; smoother, so that chance moves it less.
const SMOOTH_GAIN: f64 = 1.0 / 32.0;
/// Weight with which the base follows a lower mean.
const BASE_GAIN: f64 = 1.0 / 16.0;
/// Samples from which a base is known. The first requests to finish are the shortest ones, so a base
/// from few samples is too low and makes all others look congested.
const BASE_SAMPLES: u32 = 8;
/// Growth of the base a second while the mean is higher: a lasting slow-down is taken for normal
/// after half a minute, one that the concurrency causes is not.
const BASE_GROWTH: f64 = 0.02;
/// Steps by which the fast time follows the lower tenth of the samples.
const FAST_DOWN: f64 = 0.045;
const FAST_UP: f64 = 0.005;
/// Routes that are remembered.
const MAX_ROUTES: usize = 512;
/// Age after which a route can be forgotten.
const MAX_AGE: Duration = Duration::from_secs(60);
/// Time between two requests that run although the learned time says that they cannot finish.
const PROBE_PERIOD: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug)]
struct Stat {
    route: RouteId,
    samples: u32,
    mean: f64,
    /// Mean of the samples' logarithms, and where that lies without contention.
    smooth: f64,
    base: f64,
    fast: f64,
    last: Time,
    probed: Time,
}

/// Service times of all routes.
#[derive(Debug, Default)]
pub(crate) struct Times {
    /// Sorted by route.
    stats: Vec<Stat>,
    /// Mean over all routes.
    mean: f64,
}

impl Times {
    /// Takes in a sample; gives the logarithm of its ratio to what the route takes without
    /// contention.
    pub(crate) fn learn(&mut self, now: Time, route: RouteId, latency: Duration) -> f64 {
        let sample = (latency.as_micros() as f64).max(1.0);
        self.mean = follow(self.mean, sample, MEAN_GAIN);
        let Some(stat) = self.stat(now, route, sample) else {
            return 0.0;
        };
        let seconds = now.since(stat.last).as_secs_f64();
        stat.last = now;
        stat.samples = stat.samples.saturating_add(1);
        let first = 1.0 / f64::from(stat.samples);
        stat.mean = follow(stat.mean, sample, MEAN_GAIN.max(first));
        stat.smooth += (sample.ln() - stat.smooth) * SMOOTH_GAIN.max(first);
        let step = if sample < stat.fast {
            -FAST_DOWN
        } else {
            FAST_UP
        };
        stat.fast *= 1.0 + step;
        if stat.samples < BASE_SAMPLES {
            stat.base = stat.smooth;
            return 0.0;
        }
        stat.base = if stat.smooth < stat.base {
            stat.base + (stat.smooth - stat.base) * BASE_GAIN
        } else {
            stat.smooth.min(stat.base + BASE_GROWTH * seconds)
        };
        sample.ln() - stat.base
    }

    /// Whether the route has been measured.
    pub(crate) fn knows(&self, route: RouteId) -> bool {
        self.position(route).is_ok()
    }

    /// Takes what the routes need now for what they need without contention.
    pub(crate) fn rebase(&mut self) {
        for stat in &mut self.stats {
            stat.base = stat.base.max(stat.smooth);
        }
    }

    /// Expected slot time of a request; 0 before anything is learned.
    pub(crate) fn cost(&self, route: RouteId) -> f64 {
        self.get(route).map_or(self.mean, |stat| stat.mean)
    }

    /// Mean slot time over all routes.
    pub(crate) fn mean(&self) -> f64 {
        self.mean
    }

    /// Time in which only few requests of the route finish; 0 before anything is learned.
    pub(crate) fn fast(&self, route: RouteId) -> Duration {
        let micros = self.get(route).map_or(0.0, |stat| stat.fast);
        Duration::from_micros(micros as u64)
    }

    /// Whether a request may run to learn anew although it seems hopeless.
    pub(crate) fn probe(&mut self, now: Time, route: RouteId) -> bool {
        let Ok(at) = self.position(route) else {
            return true;
        };
        let due = now.since(self.stats[at].probed) >= PROBE_PERIOD;
        if due {
            self.stats[at].probed = now;
        }
        due
    }

    fn stat(&mut self, now: Time, route: RouteId, sample: f64) -> Option<&mut Stat> {
        if let Err(at) = self.position(route) {
            let mut at = at;
            if self.stats.len() >= MAX_ROUTES {
                self.stats.retain(|stat| now.since(stat.last) < MAX_AGE);
                at = self.position(route).unwrap_or_else(|at| at);
            }
            if self.stats.len() >= MAX_ROUTES {
                return None;
            }
            let stat = Stat {
                route,
                samples: 0,
                mean: sample,
                smooth: sample.ln(),
                base: sample.ln(),
                fast: sample / 2.0,
                last: now,
                probed: now,
            };
            self.stats.insert(at, stat);
        }
        let at = self.position(route).ok()?;
        self.stats.get_mut(at)
    }

    fn get(&self, route: RouteId) -> Option<&Stat> {
        self.position(route).ok().map(|at| &self.stats[at])
    }

    fn position(&self, route: RouteId) -> Result<usize, usize> {
        self.stats.binary_search_by_key(&route, |stat| stat.route)
    }
}

fn follow(value: f64, sample: f64, gain: f64) -> f64 {
    if value == 0.0 {
        sample
    } else {
        value + (sample - value) * gain
    }
}
