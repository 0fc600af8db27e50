//! Overload experiments: the response counts and latencies of each route while the load of one
//! route exceeds the capacity of all owners.

use std::time::Duration;

use crate::Simulation;
use crate::history::CallEnd;
use crate::plan::Plan;
use crate::plan::ROUTES;
use errors::Reason;
use kernel::Time;

/// Index of `/sheets` in [`ROUTES`].
const SHEETS_ROUTE: usize = 4;
/// Slots of each owner.
pub const SLOTS: u32 = 10;
/// Requests per second that the three owners can serve: 30 slots, 20 ms per request.
pub const CAPACITY: f64 = 1_500.0;
/// Normal load of each of [`ROUTES`], in requests per second; in total 70% of the capacity.
pub const NORMAL_LOAD: [f64; 6] = [300.0, 50.0, 150.0, 300.0, 150.0, 100.0];
/// Calls that arrive before this time are not counted, since the concurrency limits are still
/// growing.
const WARM_UP: Time = Time(1_500_000);

/// Parameters of one experiment.
#[derive(Clone, Copy, Debug)]
pub struct OverloadExperiment {
    /// Name of the admission plug-in.
    pub admission: &'static str,
    /// Route that is overloaded, if any, and its additional load as a multiple of the capacity.
    pub overload: Option<(usize, f64)>,
    /// Factor of the service time of `/sheets`; the rate of its requests is divided by the same
    /// factor, so that their load stays the same.
    pub sheets_time_factor: u32,
    /// Duration of the load in seconds.
    pub seconds: u64,
    /// Seed of all random numbers.
    pub seed: u64,
}

/// Statistics of one route.
#[derive(Clone, Copy, Debug, Default)]
pub struct RouteStats {
    /// Number of calls.
    pub calls: usize,
    /// Number of calls that ended with a response.
    pub responses: usize,
    /// Median time from the arrival to the response.
    pub median: Duration,
    /// 99th percentile of the time from the arrival to the response.
    pub p99: Duration,
}

/// Results of an experiment.
#[derive(Clone, Debug)]
pub struct Measurement {
    /// Statistics of each route, by index into [`ROUTES`].
    pub routes: Vec<RouteStats>,
    /// Responses per second over all routes.
    pub response_rate: f64,
    /// Share of calls, from 0 to 1, that the entry refused because of the load that the owners
    /// reported.
    pub shed_early: f64,
    /// Number of violations of guarantees.
    pub violations: usize,
}

impl OverloadExperiment {
    /// Simulates the experiment and returns its results.
    pub fn measure(&self) -> Measurement {
        let until = Time(self.seconds * 1_000_000);
        let mut plan = Plan::new(self.seed);
        plan.admission = self.admission;
        plan.slots = SLOTS;
        plan.service_time_factors[SHEETS_ROUTE] = self.sheets_time_factor;
        for (route, rate) in NORMAL_LOAD.iter().enumerate() {
            let rate = rate / f64::from(plan.service_time_factors[route]);
            plan.add_load(route, rate, Time(0), until);
        }
        if let Some((route, multiple)) = self.overload {
            // Another seed, so that the additional calls do not arrive together with the normal
            // ones.
            plan.seed += 1;
            let rate = multiple * CAPACITY / f64::from(plan.service_time_factors[route]);
            plan.add_load(route, rate, Time(0), until);
            plan.seed -= 1;
        }
        let simulation = Simulation::new(plan).run();
        let routes: Vec<_> = (0..ROUTES.len())
            .map(|route| route_stats(&simulation, route))
            .collect();
        let seconds = WARM_UP.until(until).as_secs_f64();
        let responses: usize = routes.iter().map(|stats| stats.responses).sum();
        Measurement {
            routes,
            response_rate: responses as f64 / seconds,
            shed_early: early_shed_share(&simulation),
            violations: simulation.history.check().len(),
        }
    }
}

fn early_shed_share(simulation: &Simulation) -> f64 {
    let calls = simulation.history.calls.iter();
    let counted: Vec<_> = calls.filter(|call| call.arrived >= WARM_UP).collect();
    let shed = counted.iter().filter(|call| {
        let reason = Reason::ShedEarly;
        matches!(call.ended, Some((_, CallEnd::Refused { reason: actual, .. })) if actual == reason)
    });
    shed.count() as f64 / counted.len().max(1) as f64
}

fn route_stats(simulation: &Simulation, route: usize) -> RouteStats {
    let calls = simulation.history.calls.iter();
    let counted = calls.filter(|call| call.route == route && call.arrived >= WARM_UP);
    let mut stats = RouteStats::default();
    let mut latencies = Vec::new();
    for call in counted {
        stats.calls += 1;
        if let Some((at, CallEnd::Response { .. })) = call.ended {
            latencies.push(at.since(call.arrived));
        }
    }
    latencies.sort_unstable();
    let quantile = |fraction: f64| {
        let index = (latencies.len() as f64 * fraction) as usize;
        latencies.get(index).copied().unwrap_or_default()
    };
    stats.responses = latencies.len();
    stats.median = quantile(0.5);
    stats.p99 = quantile(0.99);
    stats
}
