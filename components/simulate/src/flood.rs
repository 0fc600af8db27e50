//! Floods: what each route keeps of its calm service while one route comes in beyond the capacity.

use std::time::Duration;

use crate::World;
use crate::check::Ending;
use crate::plan::PATHS;
use crate::plan::Plan;
use errors::Reason;
use kernel::Time;

/// Index of `/sheets` in [`PATHS`].
const SHEETS: usize = 4;
/// Slots of each owner.
pub const SLOTS: u32 = 10;
/// Requests a second that the three owners can serve: 30 slots of 20 ms.
pub const CAPACITY: f64 = 1_500.0;
/// Calm load of each route of [`PATHS`], a second: 70% of the capacity.
pub const CALM: [f64; 6] = [300.0, 50.0, 150.0, 300.0, 150.0, 100.0];
/// Arrivals before this are not counted, since the limits still ramp up.
const WARM_UP: Time = Time(1_500_000);

/// One run.
#[derive(Clone, Copy, Debug)]
pub struct Setting {
    /// Admission plug-in.
    pub admission: &'static str,
    /// The route that floods, if any, and its extra load in multiples of the capacity.
    pub flood: Option<(usize, f64)>,
    /// How many times longer requests to `/sheets` take at the upstream.
    pub sheets_length: u32,
    /// Length of the load in seconds.
    pub seconds: u64,
    /// Seed of arrivals and service times.
    pub seed: u64,
}

/// Service of one route.
#[derive(Clone, Copy, Debug, Default)]
pub struct Service {
    /// Requests.
    pub offered: usize,
    /// Complete answers in time.
    pub good: usize,
    /// Median time to the answer.
    pub median: Duration,
    /// 99th percentile of the time to the answer.
    pub p99: Duration,
}

/// Service of all routes.
#[derive(Clone, Debug)]
pub struct Result {
    /// By index into [`PATHS`].
    pub routes: Vec<Service>,
    /// Answers a second over all routes.
    pub rate: f64,
    /// Part of the requests that the entry refused on the owners' reports.
    pub shed_early: f64,
    /// Promises that were broken.
    pub broken: usize,
}

impl Setting {
    /// Runs it.
    pub fn measure(&self) -> Result {
        let until = Time(self.seconds * 1_000_000);
        let mut plan = Plan::new(self.seed);
        plan.admission = self.admission;
        plan.slots = SLOTS;
        plan.lengths[SHEETS] = self.sheets_length;
        for (route, rate) in CALM.iter().enumerate() {
            let rate = rate / f64::from(plan.lengths[route]);
            plan.add_load(route, rate, Time(0), until);
        }
        if let Some((route, times)) = self.flood {
            plan.seed += 1;
            let rate = times * CAPACITY / f64::from(plan.lengths[route]);
            plan.add_load(route, rate, Time(0), until);
            plan.seed -= 1;
        }
        let world = World::new(plan).run();
        let routes: Vec<_> = (0..PATHS.len()).map(|at| serve(&world, at)).collect();
        let seconds = WARM_UP.until(until).as_secs_f64();
        let good: usize = routes.iter().map(|service| service.good).sum();
        Result {
            routes,
            rate: good as f64 / seconds,
            shed_early: count_shed(&world),
            broken: world.history.check().len(),
        }
    }
}

fn count_shed(world: &World) -> f64 {
    let calls = world.history.calls.iter();
    let counted: Vec<_> = calls.filter(|call| call.arrived >= WARM_UP).collect();
    let shed = counted.iter().filter(|call| {
        let reason = Reason::ShedEarly;
        matches!(call.ended, Some((_, Ending::Refused { reason: found, .. })) if found == reason)
    });
    shed.count() as f64 / counted.len().max(1) as f64
}

fn serve(world: &World, route: usize) -> Service {
    let calls = world.history.calls.iter();
    let counted = calls.filter(|call| call.route == route && call.arrived >= WARM_UP);
    let mut service = Service::default();
    let mut times = Vec::new();
    for call in counted {
        service.offered += 1;
        if let Some((at, Ending::Answer { .. })) = call.ended {
            times.push(at.since(call.arrived));
        }
    }
    times.sort_unstable();
    let quantile = |part: f64| {
        let at = (times.len() as f64 * part) as usize;
        times.get(at).copied().unwrap_or_default()
    };
    service.good = times.len();
    service.median = quantile(0.5);
    service.p99 = quantile(0.99);
    service
}
