//! Tests which requests the `ranked` plug-in runs, queues and refuses.

use std::time::Duration;

use proptest::collection::vec;
use proptest::prelude::ProptestConfig;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::proptest;
use rstest::rstest;

use admit::RankedAdmission;
use errors::Reason;
use ids::Rank;
use ids::RouteId;
use kernel::Time;
use kernel::plugin::Params;
use policy::Admission;
use policy::Completion;
use policy::Decision;
use policy::Job;
use policy::Ticket;

/// Microseconds in a millisecond.
const MS: u64 = 1_000;
/// Expiry that no test reaches.
const FAR_DEADLINE: Time = Time(1_000_000_000);

fn new_ranked(pairs: &[(&str, u64)]) -> RankedAdmission {
    let pairs = pairs.iter();
    let params = pairs.map(|(name, value)| ((*name).to_owned(), value.to_string()));
    RankedAdmission::from_params(&Params::from_pairs(params)).expect("the params are valid")
}

fn job(ticket: u64, rank: u8, route: u64, expires: Time) -> Job {
    Job {
        ticket: Ticket(ticket),
        route: RouteId(route),
        rank: Rank(rank),
        weight: 1,
        expires,
        objective: None,
        spillable: false,
        onward: false,
        organisation: None,
    }
}

fn offer(ranked: &mut RankedAdmission, now: u64, job: Job) -> Vec<Decision> {
    let mut decisions = Vec::new();
    ranked.offer(Time(now), job, &mut decisions);
    decisions
}

/// Finishes a request that took `millis`.
fn finish(ranked: &mut RankedAdmission, now: u64, ticket: u64, millis: u64) -> Vec<Decision> {
    let mut decisions = Vec::new();
    let completion = Completion {
        latency: Duration::from_millis(millis),
        shed: false,
    };
    ranked.finish(Time(now), Ticket(ticket), completion, &mut decisions);
    decisions
}

fn set_slots(ranked: &mut RankedAdmission, slots: u32) {
    ranked.set_slots(Time(0), slots, &mut Vec::new());
}

/// Runs requests of the route that take `millis` each until their service time is known, and leaves
/// the only slot occupied by ticket 0. Returns the time afterwards, in microseconds.
fn measure_route(ranked: &mut RankedAdmission, route: u64, millis: u64) -> u64 {
    set_slots(ranked, 1);
    let mut now = 0;
    for ticket in 1_000..1_050 {
        offer(ranked, now, job(ticket, 0, route, FAR_DEADLINE));
        now += millis * MS;
        finish(ranked, now, ticket, millis);
    }
    offer(ranked, now, job(0, 0, route, FAR_DEADLINE));
    now
}

fn refusals(decisions: &[Decision]) -> Vec<(u64, Reason)> {
    let refused = decisions.iter().filter_map(|decision| match decision {
        Decision::Refuse { ticket, reason, .. } => Some((ticket.0, *reason)),
        Decision::Start(_) => None,
    });
    refused.collect()
}

/// Checks that a request that the queue before it would make too late is refused at once, with a
/// delay after which it may be retried, and that one that can finish in time is queued.
#[rstest]
#[case::in_time(200, &[])]
#[case::late(100, &[(9, Reason::DeadlineTooShort)])]
#[case::expired(0, &[(9, Reason::DeadlinePassed)])]
fn offer_deadline(#[case] millis: u64, #[case] expected: &[(u64, Reason)]) {
    let mut ranked = new_ranked(&[]);
    let now = measure_route(&mut ranked, 1, 20);
    for ticket in 1..6 {
        assert!(offer(&mut ranked, now, job(ticket, 0, 1, FAR_DEADLINE)).is_empty());
    }
    let decisions = offer(&mut ranked, now, job(9, 0, 1, Time(now + millis * MS)));
    assert_eq!(refusals(&decisions), expected);
    if let [Decision::Refuse { retry_after, .. }] = &decisions[..] {
        assert!(*retry_after >= Duration::from_millis(50));
        assert!(*retry_after <= Duration::from_secs(5));
    }
}

/// Checks that a measured service time does not refuse a route for ever: one request a second runs
/// although it is expected to be late.
#[rstest]
fn offer_probe() {
    let mut ranked = new_ranked(&[]);
    let mut now = measure_route(&mut ranked, 1, 100);
    finish(&mut ranked, now, 0, 100);
    now += 2_000 * MS;
    let short = |now: u64| Time(now + 20 * MS);
    let first = offer(&mut ranked, now, job(1, 0, 1, short(now)));
    assert_eq!(first, [Decision::Start(Ticket(1))]);
    finish(&mut ranked, now + MS, 1, 1);
    let second = offer(&mut ranked, now + MS, job(2, 0, 1, short(now + MS)));
    assert_eq!(refusals(&second), [(2, Reason::DeadlineTooShort)]);
}

/// Checks that an urgent request displaces a less urgent one if the queues are full, but that each
/// rank keeps a few waiting requests.
#[rstest]
fn offer_displacement() {
    let mut ranked = new_ranked(&[("queue", 8), ("total", 8)]);
    set_slots(&mut ranked, 1);
    offer(&mut ranked, 0, job(0, 0, 1, FAR_DEADLINE));
    for ticket in 1..=3 {
        offer(&mut ranked, 0, job(ticket, 2, 1, FAR_DEADLINE));
    }
    for ticket in 4..=8 {
        offer(&mut ranked, 0, job(ticket, 3, 1, FAR_DEADLINE));
    }
    let displaced = offer(&mut ranked, 0, job(9, 0, 1, FAR_DEADLINE));
    assert_eq!(refusals(&displaced), [(8, Reason::Displaced)]);
    let within_reserve = offer(&mut ranked, 0, job(10, 1, 1, FAR_DEADLINE));
    assert!(
        within_reserve.is_empty(),
        "each rank may queue a few requests even if the total bound is reached"
    );
    for ticket in 11..14 {
        offer(&mut ranked, 0, job(ticket, 1, 1, FAR_DEADLINE));
    }
    let refused = offer(&mut ranked, 0, job(14, 1, 1, FAR_DEADLINE));
    assert_eq!(refusals(&refused), [(14, Reason::QueueFull)]);
}

/// Checks that another route gets its fair share of the queue of a rank although one route has
/// filled that queue.
#[rstest]
fn offer_route_share() {
    let mut ranked = new_ranked(&[("queue", 8)]);
    set_slots(&mut ranked, 1);
    for ticket in 0..9 {
        offer(&mut ranked, 0, job(ticket, 1, 1, FAR_DEADLINE));
    }
    let over_queue = offer(&mut ranked, 0, job(9, 1, 1, FAR_DEADLINE));
    assert_eq!(refusals(&over_queue), [(9, Reason::QueueFull)]);
    for ticket in 10..14 {
        let other = offer(&mut ranked, 0, job(ticket, 1, 2, FAR_DEADLINE));
        assert_eq!(refusals(&other).len(), 1);
        assert_eq!(refusals(&other)[0].1, Reason::Displaced);
    }
    let over_share = offer(&mut ranked, 0, job(14, 1, 2, FAR_DEADLINE));
    assert_eq!(refusals(&over_share), [(14, Reason::QueueFull)]);
}

/// Checks that routes of a rank run in proportion to their weights.
#[rstest]
fn finish_weights() {
    let mut ranked = new_ranked(&[("queue", 400)]);
    set_slots(&mut ranked, 1);
    offer(&mut ranked, 0, job(0, 1, 9, FAR_DEADLINE));
    for ticket in 1..=200 {
        let route = ticket % 2;
        let weight = if route == 0 { 3 } else { 1 };
        let weighted = Job {
            weight,
            ..job(ticket, 1, route, FAR_DEADLINE)
        };
        offer(&mut ranked, 0, weighted);
    }
    let mut running = 0;
    let mut heavy_starts = 0;
    for step in 0..80 {
        let decisions = finish(&mut ranked, step * MS, running, 1);
        let [Decision::Start(Ticket(next))] = decisions[..] else {
            panic!("expected one start: {decisions:?}");
        };
        running = next;
        heavy_starts += u32::from(next % 2 == 0);
    }
    assert!((58..=62).contains(&heavy_starts), "{heavy_starts} of 80");
}

/// Checks that lower ranks keep their share of the slot time during an overload, and no more, even
/// if their requests take longer.
#[rstest]
#[case::equal_cost(1, 4, 6)]
#[case::long_requests(10, 0, 1)]
fn finish_share(#[case] cost_factor: u64, #[case] min_percent: u32, #[case] max_percent: u32) {
    let mut ranked = new_ranked(&[("queue", 1_000), ("total", 4_000)]);
    let mut now = measure_route(&mut ranked, 2, 10 * cost_factor);
    for ticket in 1..50 {
        let decisions = finish(&mut ranked, now, ticket - 1, 10);
        assert!(decisions.is_empty());
        offer(&mut ranked, now, job(ticket, 0, 1, FAR_DEADLINE));
        now += 10 * MS;
    }
    for ticket in 100..700 {
        let (rank, route) = if ticket < 600 { (0, 1) } else { (3, 2) };
        offer(&mut ranked, now, job(ticket, rank, route, FAR_DEADLINE));
    }
    let (mut running, mut low_rank_starts) = (49, 0);
    for _ in 0..300 {
        let is_low_rank = running >= 600;
        let millis = if is_low_rank { 10 * cost_factor } else { 10 };
        now += millis * MS;
        let decisions = finish(&mut ranked, now, running, millis);
        let started = decisions.iter().find_map(|decision| match decision {
            Decision::Start(ticket) => Some(ticket.0),
            Decision::Refuse { .. } => None,
        });
        running = started.expect("requests wait");
        low_rank_starts += u32::from(running >= 600);
        // A refusal makes the urgent rank count as overloaded, so that the full share applies.
        let expired = job(10_000 + now, 0, 1, Time(now));
        offer(&mut ranked, now, expired);
    }
    let percent = low_rank_starts * 100 / 300;
    assert!(
        (min_percent..=max_percent).contains(&percent),
        "{low_rank_starts} of 300"
    );
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(256) })]

    /// Checks for any sequence of calls that each request gets exactly one decision, that the
    /// queues stay within their bounds, and that no more requests run than there are slots.
    #[rstest]
    fn offer_any(steps in vec((0_u8..8, 0_u8..4, 0_u64..3, 1_u64..400), 1..300)) {
        let mut ranked = new_ranked(&[("queue", 6), ("total", 10)]);
        let mut decisions = Vec::new();
        ranked.set_slots(Time(0), 3, &mut decisions);
        let (mut waiting, mut running): (Vec<u64>, Vec<u64>) = (Vec::new(), Vec::new());
        let mut now = 0;
        for (ticket, (kind, rank, route, span)) in steps.into_iter().enumerate() {
            let ticket = ticket as u64;
            now += span * MS / 20;
            match kind {
                0..4 => {
                    waiting.push(ticket);
                    let job = job(ticket, rank, route, Time(now + span * MS));
                    ranked.offer(Time(now), job, &mut decisions);
                }
                4 | 5 if !running.is_empty() => {
                    let finished = running.remove(span as usize % running.len());
                    let shed = kind == 5 && span % 3 == 0;
                    let latency = Duration::from_millis(span / 4);
                    let completion = Completion { latency, shed };
                    ranked.finish(Time(now), Ticket(finished), completion, &mut decisions);
                }
                6 if !waiting.is_empty() => {
                    let cancelled = waiting.remove(span as usize % waiting.len());
                    prop_assert!(ranked.cancel(Time(now), Ticket(cancelled)));
                    prop_assert!(!ranked.cancel(Time(now), Ticket(cancelled)));
                }
                _ => ranked.wake(Time(now), &mut decisions),
            }
            for decision in decisions.drain(..) {
                let (Decision::Start(decided) | Decision::Refuse { ticket: decided, .. }) = decision;
                let index = waiting.iter().position(|it| *it == decided.0);
                prop_assert!(index.is_some(), "{:?} for a request that is not waiting", decision);
                waiting.remove(index.unwrap_or_default());
                if let Decision::Start(ticket) = decision {
                    running.push(ticket.0);
                }
            }
            let load = ranked.load();
            prop_assert_eq!(load.queued as usize, waiting.len());
            prop_assert_eq!(load.running as usize, running.len());
            prop_assert!(running.len() <= 3 && load.limit <= 3 && load.limit >= 1);
            prop_assert!(waiting.len() <= 10 + 3 * 4);
            prop_assert!(waiting.is_empty() || ranked.next_wake().is_some());
        }
        ranked.wake(Time(now + 1_000 * MS), &mut decisions);
        prop_assert_eq!(ranked.load().queued, 0);
    }
}

/// Checks that a request that can still meet its objective runs before an older one that cannot: in
/// an overload, a queue in order of arrival would serve every request after its objective.
#[rstest]
#[case::same_rank(0)]
#[case::lower_rank(1)]
fn finish_missed_objective(#[case] rank: u8) {
    let mut ranked = new_ranked(&[]);
    set_slots(&mut ranked, 1);
    offer(&mut ranked, 0, job(1, 0, 1, FAR_DEADLINE));
    finish(&mut ranked, 100 * MS, 1, 100);
    offer(&mut ranked, 100 * MS, job(2, 0, 1, FAR_DEADLINE));
    let objective = Some(Time(300 * MS));
    offer(
        &mut ranked,
        101 * MS,
        Job {
            objective,
            ..job(3, 0, 1, FAR_DEADLINE)
        },
    );
    // At 250 ms the third request can no longer finish by 300 ms, but the fourth can by 500 ms.
    let objective = Some(Time(500 * MS));
    offer(
        &mut ranked,
        240 * MS,
        Job {
            objective,
            ..job(4, rank, 1, FAR_DEADLINE)
        },
    );
    let started = finish(&mut ranked, 250 * MS, 2, 150);
    assert_eq!(started, [Decision::Start(Ticket(4))]);
    let started = finish(&mut ranked, 350 * MS, 4, 100);
    assert_eq!(started, [Decision::Start(Ticket(3))]);
}

/// Checks that long requests that missed their objective do not occupy all slots, since short
/// urgent requests would then wait for a slot past their deadline.
#[rstest]
fn offer_missed_long_requests() {
    let mut ranked = new_ranked(&[]);
    set_slots(&mut ranked, 4);
    for ticket in 0..40 {
        let now = ticket * 10 * MS;
        offer(&mut ranked, now, job(ticket, 0, 1, Time(now + 50 * MS)));
        finish(&mut ranked, now + 5 * MS, ticket, 10);
        offer(&mut ranked, now, job(100 + ticket, 2, 2, FAR_DEADLINE));
        finish(&mut ranked, now + 5 * MS, 100 + ticket, 150);
    }
    let missed = Some(Time(1));
    let started = (200..208).flat_map(|ticket| {
        let job = Job {
            objective: missed,
            ..job(ticket, 2, 2, FAR_DEADLINE)
        };
        offer(&mut ranked, 400 * MS, job)
    });
    assert!(started.count() < 4);
}

/// Guards against a request that its sender could send elsewhere being queued past its objective, and
/// against one that has no other endpoint being refused for its objective.
#[rstest]
#[case::free_slot(0, true, 30, &[])]
#[case::queue_in_time(1, true, 100, &[])]
#[case::queue_too_long(6, true, 100, &[(9, Reason::ObjectiveTooShort)])]
#[case::no_alternative(6, false, 100, &[])]
fn offer_spillable(
    #[case] queued: u64,
    #[case] spillable: bool,
    #[case] objective: u64,
    #[case] expected: &[(u64, Reason)],
) {
    let mut ranked = new_ranked(&[]);
    let now = measure_route(&mut ranked, 1, 20);
    if queued == 0 {
        finish(&mut ranked, now, 0, 20);
    }
    for ticket in 1..queued {
        offer(&mut ranked, now, job(ticket, 0, 1, FAR_DEADLINE));
    }
    let job = Job {
        objective: Some(Time(now + objective * MS)),
        spillable,
        ..job(9, 0, 1, FAR_DEADLINE)
    };
    let decisions = offer(&mut ranked, now, job);
    assert_eq!(refusals(&decisions), expected);
    assert!(ranked.load().least_urgent_accepted == Rank(3));
}
