//! Plan of a simulation: its load, its faults and an optional violation of a guarantee.

use std::time::Duration;

use crate::message::MessageKind;
use kernel::Random;
use kernel::Time;
use kernel::random::SeededRandom;

/// Method and path of each route, by route index.
pub const ROUTES: [(&str, &str); 6] = [
    ("GET", "/slots"),
    ("POST", "/bookings"),
    ("GET", "/loads"),
    ("GET", "/prices"),
    ("GET", "/sheets"),
    ("GET", "/yields"),
];

/// Default configuration text, with one service that has the routes of [`ROUTES`].
pub const CONFIG_TEXT: &str = "services:
  - name: stock
    routes:
      - {method: GET, path: /slots, rank: 0, deadline_ms: 500, idempotent: true}
      - {method: POST, path: /bookings, rank: 0, deadline_ms: 3000, idempotent: false}
      - {method: GET, path: /loads, rank: 1, deadline_ms: 1000, idempotent: true}
      - {method: GET, path: /prices, rank: 0, deadline_ms: 500, idempotent: true}
      - {method: GET, path: /sheets, rank: 3, deadline_ms: 2000, idempotent: true}
      - {method: GET, path: /yields, rank: 3, deadline_ms: 2000, idempotent: true}
";

/// A fault of a message or of an owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A message does not arrive.
    Lost,
    /// A message arrives a second time, up to 20 ms later.
    Duplicated,
    /// A message arrives up to 3 s late.
    Delayed,
    /// A message arrives up to 20 ms late, so that later ones overtake it.
    Reordered,
    /// The process of an owner is replaced by a new one at the same address.
    Replaced,
    /// An owner's process is suspended for this time.
    Paused(Duration),
    /// An owner receives the drain command.
    Drained,
}

/// A violation of a guarantee that is caused on purpose, to show that the checker finds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlantedViolation {
    /// Some responses are delivered with the payload of another request.
    SwappedResponses,
    /// An owner reports some requests as not run although they run.
    FalseNotRun,
    /// Each attempt of a request that is not idempotent goes to two owners.
    RunTwice,
    /// An owner's state machine does not receive the drain command.
    IgnoreDrain,
    /// An owner's process exits as soon as it is to drain.
    ExitEarly,
}

/// A call that arrives at the entry.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// Time of the arrival.
    pub at: Time,
    /// Index into [`ROUTES`].
    pub route: usize,
}

/// Load, faults and parameters of a simulation.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Seed of all random numbers.
    pub seed: u64,
    /// Configuration text that the entry routes by.
    pub config_text: String,
    /// Name of the admission plug-in.
    pub admission: &'static str,
    /// Slots of each owner's upstream.
    pub slots: u32,
    /// Service time of a request at the upstream: the minimum, and the mean of the exponentially
    /// distributed time that is added.
    pub service_time: (Duration, Duration),
    /// Factor of the service time for each route.
    pub service_time_factors: [u32; ROUTES.len()],
    /// Calls that arrive, in any order.
    pub arrivals: Vec<Arrival>,
    /// Faults of messages and the share of messages of that kind that each affects, per mille.
    pub message_faults: Vec<(MessageKind, Fault, usize)>,
    /// Faults of owners: time, index of the owner, and fault.
    pub owner_faults: Vec<(Time, usize, Fault)>,
    /// Share of calls whose caller disconnects within 60 ms, per mille.
    pub disconnect_per_mille: usize,
    /// Share of requests whose upstream connection breaks at their end, per mille.
    pub connection_break_per_mille: usize,
    /// Share of requests that the upstream sheds, per mille.
    pub shed_per_mille: usize,
    /// Violation that is caused on purpose, if any.
    pub planted_violation: Option<PlantedViolation>,
}

impl Plan {
    /// Creates a plan without load and faults.
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            config_text: CONFIG_TEXT.to_owned(),
            admission: "ranked",
            slots: 4,
            service_time: (Duration::from_millis(10), Duration::from_millis(10)),
            service_time_factors: [1; ROUTES.len()],
            arrivals: Vec::new(),
            message_faults: Vec::new(),
            owner_faults: Vec::new(),
            disconnect_per_mille: 0,
            connection_break_per_mille: 0,
            shed_per_mille: 0,
            planted_violation: None,
        }
    }

    /// Adds arrivals of a route with exponentially distributed intervals, on average `rate` per
    /// second.
    pub fn add_load(&mut self, route: usize, rate: f64, from: Time, until: Time) {
        let mut random =
            SeededRandom::new(self.seed ^ (route as u64 + 1).wrapping_mul(0x9e37_79b9));
        let mut at = from;
        loop {
            at = at + sample_exponential(&mut random, Duration::from_secs_f64(1.0 / rate));
            if at >= until {
                return;
            }
            self.arrivals.push(Arrival { at, route });
        }
    }

    /// Draws whether `fault` affects a message of this kind.
    pub fn fault_occurs(
        &self,
        random: &mut SeededRandom,
        kind: MessageKind,
        fault: &Fault,
    ) -> bool {
        let faults = self.message_faults.iter();
        let mut rates = faults.filter(|(known, it, _)| *known == kind && it == fault);
        rates.any(|(_, _, rate)| random.below(1_000) < *rate)
    }
}

/// Draws a duration from the exponential distribution with this mean.
pub fn sample_exponential(random: &mut SeededRandom, mean: Duration) -> Duration {
    let uniform = (random.below(1_000_000) + 1) as f64 / 1_000_000.0;
    mean.mul_f64(-uniform.ln())
}
