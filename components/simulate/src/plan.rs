//! What a run consists of: its load, its faults and the violation planted in it.

use std::time::Duration;

use crate::message::Kind;
use kernel::Random;
use kernel::Time;
use kernel::random::SeededRandom;

/// Routes of the runs, by index of an arrival's route.
pub const PATHS: [(&str, &str); 6] = [
    ("GET", "/slots"),
    ("POST", "/bookings"),
    ("GET", "/loads"),
    ("GET", "/prices"),
    ("GET", "/sheets"),
    ("GET", "/yields"),
];

pub const TEXT: &str = "services:
  - name: stock
    routes:
      - {method: GET, path: /slots, rank: 0, deadline_ms: 500, idempotent: true}
      - {method: POST, path: /bookings, rank: 0, deadline_ms: 3000, idempotent: false}
      - {method: GET, path: /loads, rank: 1, deadline_ms: 1000, idempotent: true}
      - {method: GET, path: /prices, rank: 0, deadline_ms: 500, idempotent: true}
      - {method: GET, path: /sheets, rank: 3, deadline_ms: 2000, idempotent: true}
      - {method: GET, path: /yields, rank: 3, deadline_ms: 2000, idempotent: true}
";

/// Something that goes wrong.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    Lost,
    Duplicate,
    Late,
    Crossed,
    /// The process of an owner is replaced at its address.
    Replaced,
    /// An owner does nothing for a while.
    Paused(Duration),
    /// An owner is asked to leave.
    Drained,
}

/// A violation that the checker has to find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Plant {
    /// Answers are handed to the wrong request.
    Swap,
    /// An owner says "not run" of a request that runs.
    FalseNotRun,
    /// A request that may not be repeated is sent again after it may have run.
    RunTwice,
    /// An owner does not hear that it drains.
    IgnoreDrain,
    /// A process ends at once when it drains.
    ExitEarly,
}

#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    pub at: Time,
    /// Index into [`PATHS`].
    pub route: usize,
}

#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub text: String,
    pub admission: &'static str,
    pub slots: u32,
    /// Shortest time of a request at the upstream and the mean of what chance adds.
    pub service: (Duration, Duration),
    /// How many times that each route takes.
    pub lengths: [u32; PATHS.len()],
    pub arrivals: Vec<Arrival>,
    /// Faults of messages with how many of a thousand they hit.
    pub message_faults: Vec<(Kind, Fault, usize)>,
    pub owner_faults: Vec<(Time, usize, Fault)>,
    /// Callers that leave early and upstream connections that break, in a thousand.
    pub leaving: usize,
    pub breaking: usize,
    /// Requests in a thousand that the upstream sheds.
    pub shedding: usize,
    pub plant: Option<Plant>,
}

impl Plan {
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            text: TEXT.to_owned(),
            admission: "ranked",
            slots: 4,
            service: (Duration::from_millis(10), Duration::from_millis(10)),
            lengths: [1; PATHS.len()],
            arrivals: Vec::new(),
            message_faults: Vec::new(),
            owner_faults: Vec::new(),
            leaving: 0,
            breaking: 0,
            shedding: 0,
            plant: None,
        }
    }

    /// Adds arrivals of a route by chance at `rate` a second.
    pub fn add_load(&mut self, route: usize, rate: f64, from: Time, until: Time) {
        let mut random =
            SeededRandom::new(self.seed ^ (route as u64 + 1).wrapping_mul(0x9e37_79b9));
        let mut at = from;
        loop {
            at = at + exponential(&mut random, Duration::from_secs_f64(1.0 / rate));
            if at >= until {
                return;
            }
            self.arrivals.push(Arrival { at, route });
        }
    }

    pub fn hits(&self, random: &mut SeededRandom, kind: Kind, fault: &Fault) -> bool {
        let faults = self.message_faults.iter();
        let mut rates = faults.filter(|(known, it, _)| *known == kind && it == fault);
        rates.any(|(_, _, rate)| random.below(1_000) < *rate)
    }
}

pub fn exponential(random: &mut SeededRandom, mean: Duration) -> Duration {
    let part = (random.below(1_000_000) + 1) as f64 / 1_000_000.0;
    mean.mul_f64(-part.ln())
}
