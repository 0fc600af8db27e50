//! Load pattern: many entries that each send few requests to endpoints of different speed.
//!
//! In a large fleet an entry sends to one endpoint so rarely that the load which that endpoint reported
//! last says little, so its choices are almost random. Without spillover, requests wait at busy or slow
//! endpoints past their objective while others have free slots.

use std::time::Duration;

use rstest::rstest;

use admit::RankedAdmission;
use errors::Reason;
use ids::Rank;
use ids::RouteId;
use kernel::Random;
use kernel::Time;
use kernel::plugin::Params;
use kernel::random::SeededRandom;
use policy::Admission;
use policy::Completion;
use policy::Decision;
use policy::Job;
use policy::Ticket;

const ENDPOINTS: usize = 20;
const SLOTS: u32 = 6;
/// Mean service time of the fastest endpoint in microseconds; the slowest one takes three times as long.
const SERVICE_TIME: u64 = 100_000;
const OBJECTIVE: u64 = 500_000;
const DEADLINE: u64 = 3_000_000;
/// Duration of the load, and of its beginning that is not counted, in microseconds.
const END: u64 = 40_000_000;
const WARM_UP: u64 = 5_000_000;

/// A request, from its arrival to its end.
#[derive(Clone, Copy)]
struct Request {
    arrived: u64,
    endpoint: usize,
    started: u64,
    spills: u32,
}

/// Events in the order of their time: an arrival, or the end of the request with this ticket.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    End(u64),
}

struct Fleet {
    endpoints: Vec<RankedAdmission>,
    requests: Vec<Request>,
    events: Vec<(u64, Event)>,
    random: SeededRandom,
    max_spills: u32,
}

impl Fleet {
    fn new(max_spills: u32, seed: u64) -> Self {
        let new_endpoint = || {
            let mut ranked =
                RankedAdmission::from_params(&Params::default()).expect("valid params");
            ranked.set_slots(Time(0), SLOTS, &mut Vec::new());
            ranked
        };
        Self {
            endpoints: (0..ENDPOINTS).map(|_| new_endpoint()).collect(),
            requests: Vec::new(),
            events: vec![(0, Event::Arrival)],
            random: SeededRandom::new(seed),
            max_spills,
        }
    }

    /// Offers the request to a random endpoint.
    fn offer(&mut self, now: u64, ticket: u64) {
        let endpoint = self.random.below(ENDPOINTS);
        let request = &mut self.requests[ticket as usize];
        request.endpoint = endpoint;
        let job = Job {
            ticket: Ticket(ticket),
            route: RouteId(1),
            rank: Rank(0),
            weight: 1,
            expires: Time(request.arrived + DEADLINE),
            objective: Some(Time(request.arrived + OBJECTIVE)),
            spillable: request.spills < self.max_spills,
            onward: false,
            organisation: None,
        };
        let mut decisions = Vec::new();
        self.endpoints[endpoint].offer(Time(now), job, &mut decisions);
        self.apply(now, decisions);
    }

    fn apply(&mut self, now: u64, decisions: Vec<Decision>) {
        for decision in decisions {
            match decision {
                Decision::Start(Ticket(ticket)) => {
                    let request = &mut self.requests[ticket as usize];
                    request.started = now;
                    let slowdown = 1.0 + 2.0 * request.endpoint as f64 / (ENDPOINTS - 1) as f64;
                    let mean = (SERVICE_TIME as f64 * slowdown) as u64;
                    let service_time = mean / 2 + self.random.below(mean as usize) as u64;
                    self.events.push((now + service_time, Event::End(ticket)));
                }
                Decision::Refuse {
                    ticket: Ticket(ticket),
                    reason: Reason::ObjectiveTooShort,
                    ..
                } => {
                    self.requests[ticket as usize].spills += 1;
                    self.offer(now, ticket);
                }
                Decision::Refuse { .. } => {}
            }
        }
    }

    /// Returns the share of the requests that end within their objective, with arrivals at `load` times
    /// the capacity.
    fn run(mut self, load: f64) -> f64 {
        let capacity: f64 = (0..ENDPOINTS)
            .map(|it| {
                let slowdown = 1.0 + 2.0 * it as f64 / (ENDPOINTS - 1) as f64;
                f64::from(SLOTS) / (SERVICE_TIME as f64 * slowdown)
            })
            .sum();
        let (mut arrivals, mut in_time) = (0_u32, 0_u32);
        while let Some(position) = (0..self.events.len()).min_by_key(|it| self.events[*it]) {
            let (now, event) = self.events.swap_remove(position);
            if now > END {
                break;
            }
            match event {
                Event::Arrival => {
                    let uniform = (self.random.below(1_000_000) as f64 + 1.0) / 1_000_001.0;
                    let gap = (-uniform.ln() / (capacity * load)) as u64;
                    self.events.push((now + gap, Event::Arrival));
                    arrivals += u32::from(now >= WARM_UP);
                    self.requests.push(Request {
                        arrived: now,
                        endpoint: 0,
                        started: 0,
                        spills: 0,
                    });
                    self.offer(now, self.requests.len() as u64 - 1);
                }
                Event::End(ticket) => {
                    let request = self.requests[ticket as usize];
                    let counted = request.arrived >= WARM_UP;
                    in_time += u32::from(counted && now - request.arrived <= OBJECTIVE);
                    let completion = Completion {
                        latency: Duration::from_micros(now - request.started),
                        shed: false,
                    };
                    let mut decisions = Vec::new();
                    let endpoint = &mut self.endpoints[request.endpoint];
                    endpoint.finish(Time(now), Ticket(ticket), completion, &mut decisions);
                    self.apply(now, decisions);
                }
            }
        }
        f64::from(in_time) / f64::from(arrivals)
    }
}

/// Guards against requests that wait at one endpoint past their objective while another one could
/// serve them in time: with two spills, most requests below the capacity meet their objective, and an
/// overload still uses the capacity for requests that meet it.
#[rstest]
#[case::below_capacity(0.8, 0.93, 0.03)]
#[case::at_capacity(1.0, 0.85, 0.05)]
#[case::overload(1.3, 0.65, 0.0)]
fn offer_random_endpoint(#[case] load: f64, #[case] min_in_time: f64, #[case] min_gain: f64) {
    for seed in 1..=3 {
        let without = Fleet::new(0, seed).run(load);
        let with = Fleet::new(2, seed).run(load);
        assert!(with >= min_in_time, "seed {seed}: {without} -> {with}");
        assert!(
            with >= without + min_gain,
            "seed {seed}: {without} -> {with}"
        );
    }
}
