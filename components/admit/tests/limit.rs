//! Guards the learned concurrency limit, by simulated upstreams that differ from what they declare.

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

const SLOTS: u32 = 20;
const DEADLINE: Duration = Duration::from_millis(300);

/// What the upstream really is.
#[derive(Clone, Copy)]
struct Upstream {
    /// Requests that it runs at full speed.
    cores: f64,
    /// Slow-down by each request beyond that, over the sharing of the cores.
    thrash: f64,
    /// Requests from which it sheds.
    sheds_from: usize,
    /// Share of requests that it sheds whatever it runs.
    sheds: f64,
}

#[derive(Default)]
struct Outcome {
    good: f64,
    ended: f64,
    shed: f64,
    limits: f64,
    samples: f64,
}

/// Runs a load of `rate` a second for ten seconds; counts from the third second on.
fn run(admission: &mut dyn Admission, upstream: Upstream, rate: u64) -> Outcome {
    let mut random = SeededRandom::new(3);
    let mut events = BinaryHeap::new();
    for at in 0..10 * rate {
        events.push(Reverse((at * 1_000_000 / rate, true, at)));
    }
    let mut begun: Vec<(u64, u64)> = Vec::new();
    let (mut outcome, mut running) = (Outcome::default(), 0_usize);
    let mut decisions = Vec::new();
    admission.set_slots(Time(0), SLOTS, &mut decisions);
    while let Some(Reverse((now, arrives, ticket))) = events.pop() {
        if arrives {
            let job = Job {
                ticket: Ticket(ticket),
                route: RouteId(1),
                rank: Rank(0),
                weight: 1,
                expires: Time(ticket * 1_000_000 / rate) + DEADLINE,
                objective: None,
            };
            admission.offer(Time(now), job, &mut decisions);
        } else {
            let at = begun
                .binary_search_by_key(&ticket, |it| it.0)
                .expect("it runs");
            let (_, since) = begun.remove(at);
            let shed = now - since < 1_000;
            let latency = Duration::from_micros(now - since);
            running -= 1;
            if now > 3_000_000 {
                let arrived = ticket * 1_000_000 / rate;
                outcome.ended += 1.0;
                outcome.shed += f64::from(u8::from(shed));
                let good = !shed && Time(now) < Time(arrived) + DEADLINE;
                outcome.good += f64::from(u8::from(good));
                outcome.limits += f64::from(admission.load().limit);
                outcome.samples += 1.0;
            }
            let finish = Completion { latency, shed };
            admission.finish(Time(now), Ticket(ticket), finish, &mut decisions);
        }
        for decision in decisions.drain(..) {
            if let Decision::Start(Ticket(started)) = decision {
                running += 1;
                let chance = (random.below(1_000_000) + 1) as f64 / 1e6;
                let beyond = (running as f64 - upstream.cores).max(0.0);
                let sharing = (running as f64 / upstream.cores).max(1.0);
                let slow = sharing * (1.0 + upstream.thrash * beyond);
                let faulty =
                    upstream.sheds > 0.0 && (random.below(1_000) as f64) < upstream.sheds * 1e3;
                let micros = if running > upstream.sheds_from || faulty {
                    500.0
                } else {
                    (10_000.0 - 10_000.0 * chance.ln()) * slow
                };
                let at = begun.partition_point(|it| it.0 < started);
                begun.insert(at, (started, now));
                events.push(Reverse((now + micros as u64, false, started)));
            }
        }
    }
    outcome
}

fn ranked() -> RankedAdmission {
    RankedAdmission::from_params(&Params::default()).expect("default params are valid")
}

/// Guards against an upstream that declares four times the slots it can run: with the declared
/// slots as limit it thrashes, with the learned one it serves nearly what it can.
#[rstest]
fn learn_thrashing() {
    let upstream = Upstream {
        cores: 5.0,
        thrash: 0.1,
        sheds_from: usize::MAX,
        sheds: 0.0,
    };
    let learned = run(&mut ranked(), upstream, 400);
    let mut fifo =
        FifoAdmission::from_params(&Params::default()).expect("default params are valid");
    let declared = run(&mut fifo, upstream, 400);
    // Five cores of 20 ms serve 250 a second; counted are seven seconds.
    assert!(learned.good / 7.0 > 150.0);
    assert!(learned.good > 1.5 * declared.good);
}

/// Guards against a limit that keeps running into the upstream's shedding.
#[rstest]
fn learn_shedding() {
    let upstream = Upstream {
        cores: 20.0,
        thrash: 0.0,
        sheds_from: 8,
        sheds: 0.0,
    };
    let learned = run(&mut ranked(), upstream, 800);
    assert!(learned.shed / learned.ended < 0.05);
    assert!(learned.limits / learned.samples > 6.0);
}

/// Guards against cuts by chance: times that vary are no congestion.
#[rstest]
fn learn_honest() {
    let upstream = Upstream {
        cores: 20.0,
        thrash: 0.0,
        sheds_from: usize::MAX,
        sheds: 0.0,
    };
    let learned = run(&mut ranked(), upstream, 1_500);
    assert!(learned.limits / learned.samples > 0.95 * f64::from(SLOTS));
    assert!(learned.good / 7.0 > 900.0);
}

/// Guards against a cold upstream that gets all its slots at once, and one that never does.
#[rstest]
fn set_slots_cold() {
    let mut ranked = ranked();
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
        thrash: 0.0,
        sheds_from: usize::MAX,
        sheds: 0.0,
    };
    run(&mut ranked, upstream, 900);
    assert_eq!(ranked.load().limit, SLOTS);
}

/// Guards against a limit that falls although the upstream is not congested, because the requests
/// of a route differ: nine in ten take 20 ms and the base is learned from the quick ones.
#[rstest]
#[case::not_in_use(6)]
#[case::in_use(SLOTS as usize + 8)]
fn learn_mixed_route(#[case] callers: usize) {
    let mut ranked = ranked();
    let mut decisions = Vec::new();
    ranked.set_slots(Time(0), SLOTS, &mut decisions);
    let mut ends = BinaryHeap::new();
    let mut ticket = 0;
    let mut now = 0;
    while now < 20_000_000 {
        while ends.len() + ranked.load().queued as usize + decisions.len() < callers {
            ticket += 1;
            let job = Job {
                ticket: Ticket(ticket),
                route: RouteId(1),
                rank: Rank(0),
                weight: 1,
                expires: Time(now) + 10 * DEADLINE,
                objective: None,
            };
            ranked.offer(Time(now), job, &mut decisions);
        }
        for decision in decisions.drain(..) {
            let Decision::Start(Ticket(started)) = decision else {
                panic!("refused at {now} us: {decision:?}");
            };
            let quick = started % 10 == 0 || started < 40;
            ends.push(Reverse((
                now + if quick { 300 } else { 20_000 },
                now,
                started,
            )));
        }
        let Some(Reverse((end, since, ended))) = ends.pop() else {
            panic!("nothing runs at {now} us");
        };
        now = end;
        let latency = Duration::from_micros(end - since);
        let finish = Completion {
            latency,
            shed: false,
        };
        ranked.finish(Time(now), Ticket(ended), finish, &mut decisions);
    }
    assert!(ranked.load().limit >= SLOTS * 3 / 4, "{:?}", ranked.load());
}

/// Guards against a limit that falls to one because a faulty upstream sheds half of its requests
/// whatever it runs, which takes away the other half too.
#[rstest]
fn learn_faulty() {
    let upstream = Upstream {
        cores: 20.0,
        thrash: 0.0,
        sheds_from: usize::MAX,
        sheds: 0.55,
    };
    let learned = run(&mut ranked(), upstream, 1_500);
    assert!(learned.limits / learned.samples > 0.7 * f64::from(SLOTS));
}
