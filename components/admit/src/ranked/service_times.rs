//! Measured service times of the routes, in microseconds of slot time.

use std::time::Duration;

use ids::RouteId;
use kernel::Time;

/// Weight of a sample in the moving average from which costs and waits are estimated.
const MEAN_GAIN: f64 = 1.0 / 16.0;
/// Weight of a sample in the moving average that the baseline follows; lower than [`MEAN_GAIN`], so
/// that the baseline has less random variation.
const LOG_MEAN_GAIN: f64 = 1.0 / 32.0;
/// Weight of the moving average in the baseline while it is lower than the baseline.
const BASELINE_GAIN: f64 = 1.0 / 16.0;
/// Number of samples from which a baseline is used. The first requests to finish are the shortest
/// ones, so a baseline from fewer samples would be too low, and later requests would look
/// congested.
const MIN_BASELINE_SAMPLES: u32 = 8;
/// Growth per second of the logarithm of the baseline while the moving average is higher. At this
/// rate, a lasting slowdown is taken as normal after about half a minute, but a slowdown that the
/// concurrency causes is not.
const BASELINE_GROWTH_PER_SECOND: f64 = 0.02;
/// Relative steps by which the estimate of the 10th percentile decreases for a sample below it and
/// increases for any other. With the ratio 9 to 1, the steps cancel out when one sample in ten is
/// below the estimate.
const P10_STEP_DOWN: f64 = 0.045;
const P10_STEP_UP: f64 = 0.005;
/// The same for the estimate of the 90th percentile.
const P90_STEP_UP: f64 = 0.045;
const P90_STEP_DOWN: f64 = 0.005;
/// Maximum number of routes with statistics.
const MAX_ROUTES: usize = 512;
/// Time without a sample after which the statistics of a route can be dropped.
const MIN_EVICTION_AGE: Duration = Duration::from_secs(60);
/// Minimum time between two requests of a route that run although they are expected to finish too
/// late.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Statistics of one route; times in microseconds.
#[derive(Clone, Copy, Debug)]
struct RouteStats {
    route: RouteId,
    samples: u32,
    mean: f64,
    /// Moving average of the logarithms of the samples.
    log_mean: f64,
    /// Estimate of `log_mean` without contention.
    log_baseline: f64,
    /// Estimate of the 10th percentile.
    p10: f64,
    /// Estimate of the 90th percentile.
    p90: f64,
    last_sample: Time,
    last_probe: Time,
}

/// Service times of all routes.
#[derive(Debug, Default)]
pub(crate) struct ServiceTimes {
    /// Sorted by route.
    stats: Vec<RouteStats>,
    /// Moving average over all routes.
    mean: f64,
}

impl ServiceTimes {
    /// Adds the latency of a finished request; returns the logarithm of its ratio to the baseline
    /// of the route, which is its latency without contention. Returns 0 while the baseline is
    /// unknown.
    pub(crate) fn record_sample(&mut self, now: Time, route: RouteId, latency: Duration) -> f64 {
        let sample = (latency.as_micros() as f64).max(1.0);
        self.mean = update_mean(self.mean, sample, MEAN_GAIN);
        let Some(stat) = self.get_or_insert(now, route, sample) else {
            return 0.0;
        };
        let seconds = now.since(stat.last_sample).as_secs_f64();
        stat.last_sample = now;
        stat.samples = stat.samples.saturating_add(1);
        let min_gain = 1.0 / f64::from(stat.samples);
        stat.mean = update_mean(stat.mean, sample, MEAN_GAIN.max(min_gain));
        stat.log_mean += (sample.ln() - stat.log_mean) * LOG_MEAN_GAIN.max(min_gain);
        let step = if sample < stat.p10 {
            -P10_STEP_DOWN
        } else {
            P10_STEP_UP
        };
        stat.p10 *= 1.0 + step;
        let step = if sample > stat.p90 {
            P90_STEP_UP
        } else {
            -P90_STEP_DOWN
        };
        stat.p90 *= 1.0 + step;
        if stat.samples < MIN_BASELINE_SAMPLES {
            stat.log_baseline = stat.log_mean;
            return 0.0;
        }
        stat.log_baseline = if stat.log_mean < stat.log_baseline {
            stat.log_baseline + (stat.log_mean - stat.log_baseline) * BASELINE_GAIN
        } else {
            stat.log_mean
                .min(stat.log_baseline + BASELINE_GROWTH_PER_SECOND * seconds)
        };
        sample.ln() - stat.log_baseline
    }

    /// Whether the route has been measured.
    pub(crate) fn is_measured(&self, route: RouteId) -> bool {
        self.position(route).is_ok()
    }

    /// Raises the baselines to the current mean latencies, because these are not due to contention.
    pub(crate) fn reset_baselines(&mut self) {
        for stat in &mut self.stats {
            stat.log_baseline = stat.log_baseline.max(stat.log_mean);
        }
    }

    /// Expected slot time of a request, in microseconds; 0 before the first sample.
    pub(crate) fn cost(&self, route: RouteId) -> f64 {
        self.get(route).map_or(self.mean, |stat| stat.mean)
    }

    /// Mean slot time of a request over all routes, in microseconds; 0 before the first sample.
    pub(crate) fn mean(&self) -> f64 {
        self.mean
    }

    /// 10th percentile of the route's service times; 0 before the first sample.
    pub(crate) fn p10(&self, route: RouteId) -> Duration {
        let micros = self.get(route).map_or(0.0, |stat| stat.p10);
        Duration::from_micros(micros as u64)
    }

    /// 90th percentile of the route's service times; 0 before the first sample.
    pub(crate) fn p90(&self, route: RouteId) -> Duration {
        let micros = self.get(route).map_or(0.0, |stat| stat.p90);
        Duration::from_micros(micros as u64)
    }

    /// Whether a request may run although it is expected to finish too late, to measure the route
    /// again. Without such requests, all requests of the route could be refused for ever because of
    /// an outdated service time.
    pub(crate) fn try_probe(&mut self, now: Time, route: RouteId) -> bool {
        let Ok(index) = self.position(route) else {
            return true;
        };
        let is_due = now.since(self.stats[index].last_probe) >= PROBE_INTERVAL;
        if is_due {
            self.stats[index].last_probe = now;
        }
        is_due
    }

    /// Statistics of the route; `None` if it has none and [`MAX_ROUTES`] other routes are in use.
    fn get_or_insert(&mut self, now: Time, route: RouteId, sample: f64) -> Option<&mut RouteStats> {
        if let Err(index) = self.position(route) {
            let mut index = index;
            if self.stats.len() >= MAX_ROUTES {
                self.stats
                    .retain(|stat| now.since(stat.last_sample) < MIN_EVICTION_AGE);
                index = self.position(route).unwrap_or_else(|index| index);
            }
            if self.stats.len() >= MAX_ROUTES {
                return None;
            }
            let stat = RouteStats {
                route,
                samples: 0,
                mean: sample,
                log_mean: sample.ln(),
                log_baseline: sample.ln(),
                p10: sample / 2.0,
                p90: sample,
                last_sample: now,
                last_probe: now,
            };
            self.stats.insert(index, stat);
        }
        let index = self.position(route).ok()?;
        self.stats.get_mut(index)
    }

    fn get(&self, route: RouteId) -> Option<&RouteStats> {
        self.position(route).ok().map(|index| &self.stats[index])
    }

    fn position(&self, route: RouteId) -> Result<usize, usize> {
        self.stats.binary_search_by_key(&route, |stat| stat.route)
    }
}

/// Exponential moving average, which starts at the first sample.
fn update_mean(value: f64, sample: f64, gain: f64) -> f64 {
    if value == 0.0 {
        sample
    } else {
        value + (sample - value) * gain
    }
}
