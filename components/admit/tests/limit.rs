//! Tests the learned concurrency limit with simulated upstreams whose capacity differs from the
//! slots that they declare.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use rstest::rstest;

use admit::FifoAdmission;
use admit::RankedAdmission;
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

/// Slots that the simulated upstream declares.
const SLOTS: u32 = 20;
/// Time after its arrival at which a request expires.
const DEADLINE: Duration = Duration::from_millis(300);

/// Behaviour of a simulated upstream.
#[derive(Clone, Copy)]
struct Upstream {
    /// Number of requests that run at full speed.
    cores: f64,
    /// Slowdown by each request above `cores`, as a fraction, in addition to the sharing of the
    /// cores.
    contention_slowdown: f64,
    /// Number of running requests above which a request is shed.
    shed_above: usize,
    /// Share of requests that are shed regardless of the number of running requests.
    faulty_shed_share: f64,
}

/// Totals of the finished requests.
#[derive(Default)]
struct Outcome {
    /// Requests that were served before they expired.
    in_time: f64,
    finished: f64,
    shed: f64,
    /// Sum of the concurrency limits at the end of each request.
    limit_sum: f64,
    limit_samples: f64,
}

/// Sends `rate` requests a second for ten seconds, and counts those that finish after the third
/// second.
fn simulate(admission: &mut dyn Admission, upstream: Upstream, rate: u64) -> Outcome {
    let mut random = SeededRandom::new(3);
    let mut events = BinaryHeap::new();
    for number in 0..10 * rate {
        events.push(Reverse((number * 1_000_000 / rate, true, number)));
    }
    let mut start_times: Vec<(u64, u64)> = Vec::new();
    let (mut outcome, mut running) = (Outcome::default(), 0_usize);
    let mut decisions = Vec::new();
    admission.set_slots(Time(0), SLOTS, &mut decisions);
    while let Some(Reverse((now, is_arrival, ticket))) = events.pop() {
        if is_arrival {
            let job = Job {
                ticket: Ticket(ticket),
                route: RouteId(1),
                rank: Rank(0),
                weight: 1,
                expires: Time(ticket * 1_000_000 / rate) + DEADLINE,
                objective: None,
                spillable: false,
                onward: false,
                organisation: None,
            };
            admission.offer(Time(now), job, &mut decisions);
        } else {
            let index = start_times
                .binary_search_by_key(&ticket, |it| it.0)
                .expect("the request runs");
            let (_, started_at) = start_times.remove(index);
            let shed = now - started_at < 1_000;
            let latency = Duration::from_micros(now - started_at);
            running -= 1;
            if now > 3_000_000 {
                let arrived = ticket * 1_000_000 / rate;
                outcome.finished += 1.0;
                outcome.shed += f64::from(u8::from(shed));
                let in_time = !shed && Time(now) < Time(arrived) + DEADLINE;
                outcome.in_time += f64::from(u8::from(in_time));
                outcome.limit_sum += f64::from(admission.load().limit);
                outcome.limit_samples += 1.0;
            }
            let completion = Completion { latency, shed };
            admission.finish(Time(now), Ticket(ticket), completion, &mut decisions);
        }
        for decision in decisions.drain(..) {
            if let Decision::Start(Ticket(started)) = decision {
                running += 1;
                let uniform = (random.below(1_000_000) + 1) as f64 / 1e6;
                let excess = (running as f64 - upstream.cores).max(0.0);
                let core_sharing = (running as f64 / upstream.cores).max(1.0);
                let slowdown = core_sharing * (1.0 + upstream.contention_slowdown * excess);
                let shed_by_fault = upstream.faulty_shed_share > 0.0
                    && (random.below(1_000) as f64) < upstream.faulty_shed_share * 1e3;
                let micros = if running > upstream.shed_above || shed_by_fault {
                    500.0
                } else {
                    (10_000.0 - 10_000.0 * uniform.ln()) * slowdown
                };
                let index = start_times.partition_point(|it| it.0 < started);
                start_times.insert(index, (started, now));
                events.push(Reverse((now + micros as u64, false, started)));
            }
        }
    }
    outcome
}

fn new_ranked() -> RankedAdmission {
    RankedAdmission::from_params(&Params::default()).expect("default params are valid")
}

/// Checks that an upstream that declares four times the slots it can run is served by the learned
/// limit at nearly its capacity, while it thrashes with the declared slots as the limit.
#[rstest]
fn finish_thrashing_upstream() {
    let upstream = Upstream {
        cores: 5.0,
        contention_slowdown: 0.1,
        shed_above: usize::MAX,
        faulty_shed_share: 0.0,
    };
    let learned = simulate(&mut new_ranked(), upstream, 400);
    let mut fifo =
        FifoAdmission::from_params(&Params::default()).expect("default params are valid");
    let declared = simulate(&mut fifo, upstream, 400);
    // Five cores serve 250 requests per second if each takes 20 ms; requests are counted for seven
    // seconds.
    assert!(learned.in_time / 7.0 > 150.0);
    assert!(learned.in_time > 1.5 * declared.in_time);
}

/// Checks that the limit settles just below the concurrency at which the upstream sheds, so that
/// few requests are shed.
#[rstest]
fn finish_shedding_upstream() {
    let upstream = Upstream {
        cores: 20.0,
        contention_slowdown: 0.0,
        shed_above: 8,
        faulty_shed_share: 0.0,
    };
    let learned = simulate(&mut new_ranked(), upstream, 800);
    assert!(learned.shed / learned.finished < 0.05);
    assert!(learned.limit_sum / learned.limit_samples > 6.0);
}

/// Checks that latencies that vary at random do not count as congestion and lower the limit.
#[rstest]
fn finish_uncongested_upstream() {
    let upstream = Upstream {
        cores: 20.0,
        contention_slowdown: 0.0,
        shed_above: usize::MAX,
        faulty_shed_share: 0.0,
    };
    let learned = simulate(&mut new_ranked(), upstream, 1_500);
    assert!(learned.limit_sum / learned.limit_samples > 0.95 * f64::from(SLOTS));
    assert!(learned.in_time / 7.0 > 900.0);
}

/// Checks that an upstream that has just become ready starts with a quarter of its slots, also
/// after it was not ready for a while, and gets all of them in the end.
#[rstest]
fn set_slots_cold_start() {
    let mut ranked = new_ranked();
    let mut decisions = Vec::new();
    ranked.set_slots(Time(0), SLOTS, &mut decisions);
    assert_eq!(ranked.load().limit, SLOTS / 4);
    ranked.set_slots(Time(0), 3, &mut decisions);
    assert_eq!(ranked.load().limit, 3);
    ranked.set_slots(Time(0), 0, &mut decisions);
    ranked.set_slots(Time(0), SLOTS, &mut decisions);
    assert_eq!(ranked.load().limit, SLOTS / 4);
    let upstream = Upstream {
        cores: 20.0,
        contention_slowdown: 0.0,
        shed_above: usize::MAX,
        faulty_shed_share: 0.0,
    };
    simulate(&mut ranked, upstream, 900);
    assert_eq!(ranked.load().limit, SLOTS);
}

/// Checks that the limit does not fall because the requests of a route differ: nine in ten take 20
/// ms, but the baseline is learned from the fast ones, so that the others look congested.
#[rstest]
#[case::below_limit(6)]
#[case::above_limit(SLOTS as usize + 8)]
fn finish_mixed_route(#[case] callers: usize) {
    let mut ranked = new_ranked();
    let mut decisions = Vec::new();
    ranked.set_slots(Time(0), SLOTS, &mut decisions);
    let mut completions = BinaryHeap::new();
    let mut ticket = 0;
    let mut now = 0;
    while now < 20_000_000 {
        while completions.len() + ranked.load().queued as usize + decisions.len() < callers {
            ticket += 1;
            let job = Job {
                ticket: Ticket(ticket),
                route: RouteId(1),
                rank: Rank(0),
                weight: 1,
                expires: Time(now) + 10 * DEADLINE,
                objective: None,
                spillable: false,
                onward: false,
                organisation: None,
            };
            ranked.offer(Time(now), job, &mut decisions);
        }
        for decision in decisions.drain(..) {
            let Decision::Start(Ticket(started)) = decision else {
                panic!("refused at {now} us: {decision:?}");
            };
            let is_fast = started % 10 == 0 || started < 40;
            completions.push(Reverse((
                now + if is_fast { 300 } else { 20_000 },
                now,
                started,
            )));
        }
        let Some(Reverse((end, started_at, finished))) = completions.pop() else {
            panic!("nothing runs at {now} us");
        };
        now = end;
        let latency = Duration::from_micros(end - started_at);
        let completion = Completion {
            latency,
            shed: false,
        };
        ranked.finish(Time(now), Ticket(finished), completion, &mut decisions);
    }
    assert!(ranked.load().limit >= SLOTS * 3 / 4, "{:?}", ranked.load());
}

/// Checks that the limit does not fall to 1 if a faulty upstream sheds half of its requests
/// regardless of the concurrency, since that would also stop most of the other half.
#[rstest]
fn finish_faulty_upstream() {
    let upstream = Upstream {
        cores: 20.0,
        contention_slowdown: 0.0,
        shed_above: usize::MAX,
        faulty_shed_share: 0.55,
    };
    let learned = simulate(&mut new_ranked(), upstream, 1_500);
    assert!(learned.limit_sum / learned.limit_samples > 0.7 * f64::from(SLOTS));
}

/// Guards against an upstream that is known to be warm and still starts with a quarter of its slots, and
/// against a limit that was learned since being forgotten.
#[rstest]
fn end_slow_start_once() {
    let mut ranked = new_ranked();
    let mut decisions = Vec::new();
    ranked.set_slots(Time(0), SLOTS, &mut decisions);
    assert_eq!(ranked.load().limit, SLOTS / 4);
    ranked.end_slow_start(Time(0), &mut decisions);
    assert_eq!(ranked.load().limit, SLOTS);
    ranked.set_slots(Time(0), 3, &mut decisions);
    ranked.set_slots(Time(0), SLOTS, &mut decisions);
    ranked.end_slow_start(Time(0), &mut decisions);
    assert_eq!(ranked.load().limit, 3);
}

/// Load pattern: all nodes of a fleet come back at once beside upstreams that went on running, and the
/// callers that could not be served meanwhile return together. Guards against a slow start in this
/// moment: of the requests that the slots can serve in time, nearly all are.
#[rstest]
#[case::warm(true, 0.9)]
#[case::unknown(false, 0.0)]
fn end_slow_start_returning_callers(#[case] warm: bool, #[case] min_share: f64) {
    const SERVICE_TIME: u64 = 200_000;
    const OBJECTIVE: u64 = 600_000;
    let mut ranked = new_ranked();
    let mut decisions = Vec::new();
    ranked.set_slots(Time(0), SLOTS, &mut decisions);
    if warm {
        ranked.end_slow_start(Time(0), &mut decisions);
    }
    for ticket in 0..u64::from(SLOTS) * 4 {
        let job = Job {
            ticket: Ticket(ticket),
            route: RouteId(1),
            rank: Rank(0),
            weight: 1,
            expires: Time(5 * OBJECTIVE),
            objective: Some(Time(OBJECTIVE)),
            spillable: false,
            onward: false,
            organisation: None,
        };
        ranked.offer(Time(0), job, &mut decisions);
    }
    let (mut completions, mut in_time, mut now) = (BinaryHeap::new(), 0, 0);
    loop {
        for decision in decisions.drain(..) {
            if let Decision::Start(Ticket(ticket)) = decision {
                completions.push(Reverse((now + SERVICE_TIME, ticket)));
            }
        }
        let Some(Reverse((end, ticket))) = completions.pop() else {
            break;
        };
        now = end;
        in_time += u32::from(now <= OBJECTIVE);
        let completion = Completion {
            latency: Duration::from_micros(SERVICE_TIME),
            shed: false,
        };
        ranked.finish(Time(now), Ticket(ticket), completion, &mut decisions);
    }
    let servable = f64::from(SLOTS) * (OBJECTIVE / SERVICE_TIME) as f64;
    let share = f64::from(in_time) / servable;
    assert!(share >= min_share, "{share}");
    assert!(
        warm || share < 0.9,
        "{share}: the slow start no longer shows"
    );
}
