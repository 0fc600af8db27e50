//! Load patterns: requests that differ in rank, length, what depends on them or who sends them, above the capacity of
//! their upstream.

use std::time::Duration;

use rstest::rstest;

use admit::RankedAdmission;
use ids::OrganisationId;
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

/// Duration of the load, and of its beginning that is not counted, in microseconds.
const END: u64 = 60_000_000;
const WARM_UP: u64 = 5_000_000;

/// One kind of request with Poisson arrivals; times in microseconds.
#[derive(Clone, Copy)]
struct Kind {
    rank: u8,
    onward: bool,
    organisation: Option<OrganisationId>,
    service_time: u64,
    objective: u64,
    deadline: u64,
    per_second: f64,
}

/// Results of one kind of request.
#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    arrivals: u32,
    /// Requests that ended before their deadline.
    served: u32,
    /// Requests that ended within their objective.
    in_time: u32,
    /// Slot time that the requests used, in microseconds.
    slot_time: u64,
}

impl Outcome {
    /// Returns the share of the requests that were served.
    fn share(self) -> f64 {
        f64::from(self.served) / f64::from(self.arrivals.max(1))
    }
}

/// Events in the order of their time: arrivals of a kind and ends of a ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival(usize),
    End(u64),
}

/// Microseconds until the next arrival.
fn next_gap(random: &mut dyn Random, per_second: f64) -> u64 {
    let uniform = (random.below(1_000_000) as f64 + 1.0) / 1_000_001.0;
    (-uniform.ln() / per_second * 1e6) as u64
}

fn job(kinds: &[Kind], index: usize, ticket: u64, now: u64) -> Job {
    let kind = kinds[index];
    Job {
        ticket: Ticket(ticket),
        route: RouteId(kind.organisation.map_or(index as u64, |_| 0)),
        rank: Rank(kind.rank),
        weight: 1,
        expires: Time(now + kind.deadline),
        objective: Some(Time(now + kind.objective)),
        spillable: false,
        onward: kind.onward,
        organisation: kind.organisation,
    }
}

/// Offers the requests of all kinds to one upstream with this many slots and returns the outcome of each kind.
fn simulate(kinds: &[Kind], slots: u32, seed: u64) -> Vec<Outcome> {
    let mut ranked = RankedAdmission::from_params(&Params::default()).expect("valid params");
    ranked.set_slots(Time(0), slots, &mut Vec::new());
    let mut random = SeededRandom::new(seed);
    let mut outcomes = vec![Outcome::default(); kinds.len()];
    // Kind, arrival and start of each request, by ticket.
    let mut requests: Vec<(usize, u64, u64)> = Vec::new();
    let mut events: Vec<(u64, Event)> = Vec::new();
    for (index, kind) in kinds.iter().enumerate() {
        events.push((
            next_gap(&mut random, kind.per_second),
            Event::Arrival(index),
        ));
    }
    while let Some(position) = (0..events.len()).min_by_key(|it| events[*it]) {
        let (now, event) = events.swap_remove(position);
        if now > END {
            break;
        }
        let mut decisions = Vec::new();
        ranked.wake(Time(now), &mut decisions);
        match event {
            Event::Arrival(index) => {
                let kind = kinds[index];
                events.push((
                    now + next_gap(&mut random, kind.per_second),
                    Event::Arrival(index),
                ));
                let ticket = requests.len() as u64;
                requests.push((index, now, 0));
                outcomes[index].arrivals += u32::from(now >= WARM_UP);
                ranked.offer(Time(now), job(kinds, index, ticket, now), &mut decisions);
            }
            Event::End(ticket) => {
                let (index, arrived, started) = requests[ticket as usize];
                if arrived >= WARM_UP {
                    outcomes[index].served += u32::from(now - arrived <= kinds[index].deadline);
                    outcomes[index].in_time += u32::from(now - arrived <= kinds[index].objective);
                    outcomes[index].slot_time += now - started;
                }
                let completion = Completion {
                    latency: Duration::from_micros(now - started),
                    shed: false,
                };
                ranked.finish(Time(now), Ticket(ticket), completion, &mut decisions);
            }
        }
        for decision in decisions {
            if let Decision::Start(Ticket(ticket)) = decision {
                let request = &mut requests[ticket as usize];
                request.2 = now;
                let service_time = kinds[request.0].service_time;
                // Service times vary by half either way.
                let varied = service_time / 2 + random.below(service_time as usize) as u64;
                events.push((now + varied, Event::End(ticket)));
            }
        }
    }
    outcomes
}

/// Load: short urgent calls next to long requests that exceed the capacity of the same upstream, as at a service that
/// callers query at length and that other services call on behalf of their own requests.
///
/// Guards against three failures under a lasting overload by long requests: slots that stay empty for
/// urgent calls although these could wait until a long request ends; long requests in all slots
/// although the calls could not wait that long; and long requests that start so late that most miss
/// their objective.
#[rstest]
#[case::patient_calls(80_000, 45_000, 0.9)]
#[case::brief_requests(60_000, 60_000, 0.9)]
#[case::impatient_calls(400_000, 60_000, 0.8)]
#[case::very_long_requests(1_500_000, 100_000, 0.8)]
fn simulate_long_overload(
    #[case] long: u64,
    #[case] call_objective: u64,
    #[case] min_slot_share: f64,
) {
    const SLOTS: u32 = 6;
    let calls = Kind {
        rank: 0,
        onward: false,
        organisation: None,
        service_time: 15_000,
        objective: call_objective,
        deadline: 200_000,
        per_second: 100.0,
    };
    let long_requests = Kind {
        rank: 2,
        service_time: long,
        objective: long * 4,
        deadline: long * 8,
        per_second: 1.3 * f64::from(SLOTS) / (long as f64 / 1e6),
        ..calls
    };
    let slots = |kind: Kind| kind.per_second * kind.service_time as f64 / 1e6;
    let servable = (f64::from(SLOTS) - slots(calls)) / slots(long_requests);
    for seed in 1..=3 {
        let outcomes = simulate(&[calls, long_requests], SLOTS, seed);
        let in_time = |it: &Outcome| f64::from(it.in_time) / f64::from(it.arrivals);
        let capacity = f64::from(SLOTS) * (END - WARM_UP) as f64;
        let used: u64 = outcomes.iter().map(|it| it.slot_time).sum();
        let slot_share = used as f64 / capacity;
        let result = (in_time(&outcomes[0]), in_time(&outcomes[1]), slot_share);
        assert!(result.0 >= 0.9, "seed {seed}: calls in time: {result:?}");
        assert!(
            result.1 >= 0.75 * servable,
            "seed {seed}: long requests in time: {result:?}, servable {servable}"
        );
        assert!(
            result.2 >= min_slot_share,
            "seed {seed}: slot time used: {result:?}"
        );
    }
}

/// Load: upstream calls beside new work of their rank at overload. Guards against runs that are lost because
/// their call waits behind new work, and against new work that gets nothing from calls without end.
#[rstest]
#[case::some_calls(40.0, 50.0, 0.97, 0.5)]
#[case::calls_beyond_capacity(300.0, 50.0, 0.0, 0.02)]
fn simulate_onward_overload(
    #[case] calls_per_second: f64,
    #[case] new_per_second: f64,
    #[case] min_calls: f64,
    #[case] min_new: f64,
) {
    let calls = Kind {
        rank: 1,
        onward: true,
        organisation: None,
        service_time: 19_000,
        objective: 80_000,
        deadline: 250_000,
        per_second: calls_per_second,
    };
    let new = Kind {
        onward: false,
        service_time: 100_000,
        objective: 400_000,
        deadline: 1_000_000,
        per_second: new_per_second,
        ..calls
    };
    for seed in 1..=3 {
        let outcomes = simulate(&[calls, new], 4, seed);
        let shares = (outcomes[0].share(), outcomes[1].share());
        assert!(shares.0 >= min_calls, "seed {seed}: {shares:?}");
        assert!(shares.1 >= min_new, "seed {seed}: {shares:?}");
    }
}

/// Load: an organisation that floods at six times its usual rate beside 20 others on the same route, at an
/// upstream that its usual load uses to 85% or in full. Guards against a flood that takes the room of the others, and
/// against one that shuts its own organisation out.
#[rstest]
#[case::one_rank(1, 0.85, 0.85)]
#[case::one_rank_full(1, 1.0, 0.65)]
#[case::most_urgent_flood(0, 0.85, 0.7)]
fn simulate_flood(#[case] flood_rank: u8, #[case] usage: f64, #[case] min_least: f64) {
    const OTHERS: u64 = 20;
    const SLOTS: u32 = 4;
    let usual_rate = usage * f64::from(SLOTS) / 0.077 / (OTHERS + 1) as f64;
    let kind = |index: u64| Kind {
        // Organisations with the priorities 0 and 1.
        rank: if index == 0 { flood_rank } else { 1 } * Rank::COUNT as u8,
        onward: false,
        organisation: Some(OrganisationId(index)),
        service_time: 77_000,
        objective: 250_000,
        deadline: 800_000,
        per_second: if index == 0 {
            6.0 * usual_rate
        } else {
            usual_rate
        },
    };
    let kinds: Vec<Kind> = (0..=OTHERS).map(kind).collect();
    for seed in 1..=3 {
        let outcomes = simulate(&kinds, SLOTS, seed);
        let total = outcomes
            .iter()
            .skip(1)
            .fold(Outcome::default(), |sum, it| Outcome {
                arrivals: sum.arrivals + it.arrivals,
                served: sum.served + it.served,
                ..sum
            });
        let least = outcomes
            .iter()
            .skip(1)
            .map(|it| it.share())
            .fold(1.0, f64::min);
        let result = (outcomes[0].share(), total.share(), least);
        assert!(result.0 >= 0.25 * total.share(), "seed {seed}: {result:?}");
        assert!(total.share() >= 0.8, "seed {seed}: {result:?}");
        assert!(least >= min_least, "seed {seed}: {result:?}");
    }
}
