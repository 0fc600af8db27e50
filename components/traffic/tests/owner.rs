//! Tests of the owner: which requests may run, and which outcome it reports for them.

use std::time::Duration;

use rstest::rstest;

use admit::RankedAdmission;
use errors::Reason;
use errors::Verdict;
use ids::Fingerprint;
use ids::NodeId;
use ids::Rank;
use ids::RequestId;
use ids::RouteId;

use kernel::StateMachine as _;
use kernel::Time;
use kernel::plugin::Params;
use kernel::random::SeededRandom;
use member::Stage;
use policy::LimitNotice;
use policy::RequestRate;
use traffic::ledger::Outcome;
use traffic::owner::Effect;
use traffic::owner::IncomingRequest;
use traffic::owner::Input;
use traffic::owner::Machine;
use traffic::owner::OutcomeQuery;
use traffic::owner::UpstreamEnd;

const NODE_ID: NodeId = NodeId(1);
const ID: RequestId = RequestId(77);
const EXPIRES: Time = Time(1_000_000);

fn new_owner(slots: u32) -> Machine {
    new_owner_with_end(UpstreamEnd::Leave, slots)
}

fn new_owner_with_end(end: UpstreamEnd, slots: u32) -> Machine {
    let admission =
        RankedAdmission::from_params(&Params::default()).expect("default params are valid");
    let mut owner = Machine::new(NODE_ID, Box::new(admission), end);
    if slots > 0 {
        step(&mut owner, 0, ready_input(slots));
    }
    owner
}

fn ready_input(slots: u32) -> Input {
    Input::UpstreamAnnounced {
        stage: Stage::Ready,
        slots,
    }
}

fn step(owner: &mut Machine, micros: u64, input: Input) -> Vec<Effect> {
    let mut effects = Vec::new();
    owner.step(Time(micros), input, &mut SeededRandom::new(1), &mut effects);
    effects
}

fn incoming(tag: u64, attempt: u32, idempotent: bool) -> IncomingRequest {
    IncomingRequest {
        organisation: None,
        onward: false,
        link_backlog: 0,
        tag,
        id: ID,
        attempt,
        intended_owner: NODE_ID,
        expires: EXPIRES,
        deadline: EXPIRES,
        objective: None,
        spillable: false,
        route: RouteId(1),
        rank: Rank(0),
        weight: 1,
        idempotent,
        rate_limit: None,
        fingerprint: None,
        seen_crashes: 0,
    }
}

fn other_request(tag: u64) -> IncomingRequest {
    let id = RequestId(u128::from(tag));
    IncomingRequest {
        organisation: None,
        onward: false,
        link_backlog: 0,
        id,
        ..incoming(tag, 1, true)
    }
}

fn outcome_query(tag: u64, attempt: u32, cancel_if_queued: bool) -> Input {
    let query = OutcomeQuery {
        id: ID,
        intended_owner: NODE_ID,
        attempt,
        expires: EXPIRES,
        cancel_if_queued,
    };
    Input::OutcomeQueried { tag, query }
}

fn finish_input(tag: u64, verdict: Verdict) -> Input {
    Input::Finished {
        tag,
        verdict,
        shed: false,
        stored: false,
    }
}

fn start_effect(tag: u64) -> Effect {
    Effect::Start {
        tag,
        deadline: EXPIRES,
    }
}

fn sole_refusal(effects: &[Effect]) -> (Reason, Verdict) {
    match effects {
        [Effect::Refuse { refusal, .. }] => (refusal.reason, refusal.verdict),
        effects => panic!("not one refusal: {effects:?}"),
    }
}

fn find_outcome(effects: &[Effect]) -> Outcome {
    let outcome = effects.iter().find_map(|effect| match effect {
        Effect::ReportOutcome { outcome, .. } => Some(*outcome),
        _ => None,
    });
    outcome.expect("a query is answered")
}

/// Guards against refusing the duplicate of a request that ran as not run, after which the sender
/// would run it a second time at another endpoint.
#[rstest]
#[case::running(None, 3, Verdict::MayHaveRun)]
#[case::ran(Some(Verdict::Ran), 3, Verdict::Ran)]
#[case::ran_expired(Some(Verdict::Ran), EXPIRES.0 + 1, Verdict::Ran)]
#[case::broken(Some(Verdict::MayHaveRun), 3, Verdict::MayHaveRun)]
fn arrive_duplicate(#[case] end: Option<Verdict>, #[case] micros: u64, #[case] expected: Verdict) {
    let mut owner = new_owner(4);
    let started = step(&mut owner, 1, Input::Arrived(incoming(1, 1, false)));
    assert_eq!(started, [start_effect(1)]);
    if let Some(verdict) = end {
        step(&mut owner, 2, finish_input(1, verdict));
    }
    for (tag, attempt) in [(2, 1), (3, 2)] {
        let copy = Input::Arrived(incoming(tag, attempt, false));
        let effects = step(&mut owner, micros, copy);
        assert_eq!(sole_refusal(&effects), (Reason::Duplicate, expected));
    }
}

/// Guards against a duplicate that runs after the request was refused as not run, and against
/// treating a later attempt as a duplicate.
#[rstest]
#[case::warming(0)]
#[case::fenced(4)]
fn arrive_refused_before(#[case] slots: u32) {
    let mut owner = new_owner(slots);
    if slots > 0 {
        assert_eq!(
            find_outcome(&step(&mut owner, 1, outcome_query(9, 1, false))),
            Outcome::Fenced
        );
    } else {
        let effects = step(&mut owner, 1, Input::Arrived(incoming(1, 1, false)));
        assert_eq!(sole_refusal(&effects), (Reason::Warming, Verdict::NotRun));
        step(&mut owner, 2, ready_input(4));
    }
    let copy = step(&mut owner, 3, Input::Arrived(incoming(2, 1, false)));
    assert_eq!(sole_refusal(&copy).1, Verdict::NotRun);
    let retry = step(&mut owner, 4, Input::Arrived(incoming(3, 2, false)));
    assert_eq!(retry, [start_effect(3)]);
    let late = step(&mut owner, 5, Input::Arrived(incoming(4, 1, false)));
    assert_eq!(sole_refusal(&late).0, Reason::Duplicate);
}

/// Guards against reporting "not run" for a request that ran and whose ledger entry has been
/// removed.
#[rstest]
#[case::entry_kept(2_000_000, Outcome::Done { verdict: Verdict::Ran, stored: false })]
#[case::entry_gone(60_000_000, Outcome::Unknown)]
fn query_after_expiry(#[case] micros: u64, #[case] expected: Outcome) {
    let mut owner = new_owner(4);
    step(&mut owner, 1, Input::Arrived(incoming(1, 1, false)));
    step(&mut owner, 2, finish_input(1, Verdict::Ran));
    owner.wake(Time(micros), &mut SeededRandom::new(1), &mut Vec::new());
    assert_eq!(
        find_outcome(&step(&mut owner, micros, outcome_query(9, 1, false))),
        expected
    );
}

/// Guards against a queued request that runs after it was reported as cancelled, and against
/// cancelling the request of a sender that is still waiting.
#[rstest]
#[case::waits(false, Outcome::Running)]
#[case::cancel_if_queued(true, Outcome::Cancelled)]
fn query_queued(#[case] cancel_if_queued: bool, #[case] expected: Outcome) {
    let mut owner = new_owner(1);
    step(&mut owner, 1, Input::Arrived(other_request(1)));
    assert!(step(&mut owner, 2, Input::Arrived(incoming(2, 1, true))).is_empty());
    let outcome = find_outcome(&step(&mut owner, 3, outcome_query(9, 1, cancel_if_queued)));
    assert_eq!(outcome, expected);
    let next = step(&mut owner, 4, finish_input(1, Verdict::Ran));
    assert_eq!(next.contains(&start_effect(2)), !cancel_if_queued);
}

/// Guards against a slot that stays occupied because a queued request was finished as if it had
/// been dispatched.
#[rstest]
fn finish_queued() {
    let mut owner = new_owner(1);
    step(&mut owner, 1, Input::Arrived(other_request(1)));
    step(&mut owner, 2, Input::Arrived(other_request(2)));
    step(&mut owner, 3, finish_input(2, Verdict::MayHaveRun));
    assert_eq!(
        step(&mut owner, 4, finish_input(1, Verdict::Ran)),
        [start_effect(2)]
    );
    step(&mut owner, 5, finish_input(2, Verdict::Ran));
    assert_eq!(owner.load(0).running, 0);
}

/// Guards against a drain that drops accepted requests, accepts new ones, or reports its end early
/// or twice.
#[rstest]
#[case::by_signal(Input::Drain)]
#[case::by_announcement(Input::UpstreamAnnounced { stage: Stage::Draining, slots: 0 })]
fn drain_queued(#[case] drain: Input) {
    let mut owner = new_owner(1);
    step(&mut owner, 1, Input::Arrived(other_request(1)));
    step(&mut owner, 2, Input::Arrived(other_request(2)));
    assert!(step(&mut owner, 3, drain).is_empty());
    let refused = step(&mut owner, 4, Input::Arrived(other_request(3)));
    assert_eq!(sole_refusal(&refused), (Reason::Draining, Verdict::NotRun));
    assert_eq!(
        step(&mut owner, 5, finish_input(1, Verdict::Ran)),
        [start_effect(2)]
    );
    assert_eq!(
        step(&mut owner, 6, finish_input(2, Verdict::Ran)),
        [Effect::Drained]
    );
    assert!(step(&mut owner, 7, Input::Drain).is_empty());
    assert!(step(&mut owner, 8, ready_input(4)).is_empty());
}

/// Guards against a queued request that is dispatched to an upstream seconds after the upstream has
/// announced that it is leaving, although other upstreams could serve it.
#[rstest]
#[case::by_signal(Input::Drain)]
#[case::by_announcement(Input::UpstreamAnnounced { stage: Stage::Draining, slots: 1 })]
#[case::gone(Input::UpstreamAnnounced { stage: Stage::Gone, slots: 1 })]
fn drain_queued_stay(#[case] drain: Input) {
    let mut owner = new_owner_with_end(UpstreamEnd::Stay, 1);
    step(&mut owner, 1, Input::Arrived(other_request(1)));
    step(&mut owner, 2, Input::Arrived(other_request(2)));
    let refused = step(&mut owner, 3, drain);
    assert_eq!(sole_refusal(&refused), (Reason::Draining, Verdict::NotRun));
    let ended = step(&mut owner, 4, finish_input(1, Verdict::Ran));
    assert!(!ended.iter().any(|it| matches!(it, Effect::Start { .. })));
}

/// Guards against a node that accepts no requests any more after one run of its upstream has ended.
#[rstest]
fn upstream_returns_stay() {
    let mut owner = new_owner_with_end(UpstreamEnd::Stay, 1);
    let gone = Input::UpstreamAnnounced {
        stage: Stage::Gone,
        slots: 1,
    };
    assert!(step(&mut owner, 1, gone).is_empty());
    step(&mut owner, 2, ready_input(1));
    let started = step(&mut owner, 3, Input::Arrived(other_request(1)));
    assert_eq!(started, [start_effect(1)]);
}

/// Guards against a process that reports "not run" for a request that ran at the previous process
/// on the same address.
#[rstest]
fn query_replaced_owner() {
    let mut owner = new_owner(4);
    let query = OutcomeQuery {
        id: ID,
        intended_owner: NodeId(2),
        attempt: 1,
        expires: EXPIRES,
        cancel_if_queued: false,
    };
    let effects = step(&mut owner, 1, Input::OutcomeQueried { tag: 9, query });
    assert_eq!(find_outcome(&effects), Outcome::Unknown);
}

/// Guards against a request that runs after its expiry because the sender was suspended before it
/// sent the request.
#[rstest]
fn arrive_expired() {
    let mut owner = new_owner(4);
    let effects = step(&mut owner, EXPIRES.0, Input::Arrived(incoming(1, 1, false)));
    assert_eq!(
        sole_refusal(&effects),
        (Reason::DeadlinePassed, Verdict::NotRun)
    );
    let after = EXPIRES.0 + Duration::from_secs(1).as_micros() as u64;
    assert_eq!(
        find_outcome(&step(&mut owner, after, outcome_query(9, 1, false))),
        Outcome::Fenced
    );
}

/// Guards against a ledger that fills up because its expiry removes fewer entries than requests
/// add.
#[rstest]
fn wake_many_expired() {
    let mut owner = new_owner(4);
    for tag in 1..=4_000 {
        step(&mut owner, 1, Input::Arrived(other_request(tag)));
        step(&mut owner, 2, finish_input(tag, Verdict::Ran));
    }
    let mut now = EXPIRES.0 + 6_000_000;
    let mut wakes = 0;
    while let Some(due) = owner.next_wake() {
        now = now.max(due.0);
        owner.wake(Time(now), &mut SeededRandom::new(1), &mut Vec::new());
        wakes += 1;
    }
    assert!(wakes <= 10, "{wakes}");
    assert!(now <= EXPIRES.0 + 6_200_000);
}

/// Guards against a warm upstream that starts with a part of its slots, whether the owner learns first
/// that it is warm or that it is ready, and against a cold one that gets all slots.
#[rstest]
#[case::before_slots(&[true], &[], 8)]
#[case::after_slots(&[], &[true], 8)]
#[case::cold(&[true, false], &[], 2)]
#[case::unknown(&[], &[], 2)]
#[case::warmed_up(&[false], &[false, true], 8)]
fn announce_warm(#[case] before: &[bool], #[case] after: &[bool], #[case] limit: u32) {
    let mut owner = new_owner(0);
    for warm in before {
        step(&mut owner, 0, Input::UpstreamWarmed { warm: *warm });
    }
    step(&mut owner, 0, ready_input(8));
    for warm in after {
        step(&mut owner, 0, Input::UpstreamWarmed { warm: *warm });
    }
    assert_eq!(owner.load(0).limit, limit);
}

/// Guards against a request that a leaving owner starts for longer than it exists, because it has waited or
/// arrived while the node was leaving.
#[rstest]
#[case::earlier(EXPIRES.0 / 2)]
#[case::later(EXPIRES.0 * 2)]
fn dispatch_end_scheduled(#[case] work_end: u64) {
    let mut owner = new_owner_with_end(UpstreamEnd::Stay, 1);
    step(&mut owner, 0, Input::Arrived(incoming(1, 1, true)));
    step(&mut owner, 1, Input::Arrived(other_request(2)));
    let work_end = Time(work_end);
    step(&mut owner, 2, Input::EndScheduled { work_end });
    let effects = step(&mut owner, 3, finish_input(1, Verdict::Ran));
    let deadline = EXPIRES.min(work_end);
    assert_eq!(effects, [Effect::Start { tag: 2, deadline }]);
}

/// Guards against requests that still wait at an owner when its process exits: they are refused as not run,
/// also if the node finishes queued requests while it leaves.
#[rstest]
#[case::leave(UpstreamEnd::Leave)]
#[case::stay(UpstreamEnd::Stay)]
fn shut_down_queued(#[case] end: UpstreamEnd) {
    let mut owner = new_owner_with_end(end, 1);
    step(&mut owner, 0, Input::Arrived(incoming(1, 1, true)));
    step(&mut owner, 1, Input::Arrived(other_request(2)));
    let effects = step(&mut owner, 2, Input::Shutdown);
    assert_eq!(sole_refusal(&effects), (Reason::Draining, Verdict::NotRun));
}

/// Guards against a queued request that a leaving owner starts after its work has to be done, because the end
/// of a running request frees a slot just then. Its upstream would get a deadline that has passed.
#[rstest]
fn dispatch_after_end() {
    let mut owner = new_owner_with_end(UpstreamEnd::Leave, 1);
    step(&mut owner, 0, Input::Arrived(incoming(1, 1, true)));
    step(&mut owner, 1, Input::Arrived(other_request(2)));
    let work_end = Time(3);
    step(&mut owner, 2, Input::EndScheduled { work_end });
    let effects = step(&mut owner, 3, finish_input(1, Verdict::Ran));
    assert_eq!(sole_refusal(&effects), (Reason::Draining, Verdict::NotRun));
}

/// Guards against a request that a leaving owner accepts after its work has to be done.
#[rstest]
fn arrive_after_end() {
    let mut owner = new_owner_with_end(UpstreamEnd::Stay, 1);
    let work_end = Time(2);
    step(&mut owner, 1, Input::EndScheduled { work_end });
    let effects = step(&mut owner, 2, Input::Arrived(incoming(1, 1, true)));
    assert_eq!(sole_refusal(&effects), (Reason::Draining, Verdict::NotRun));
}

/// Guards against an upstream that works until a leaving entry is gone: the entry's end counts although the
/// request expires later, to leave time for the answer.
#[rstest]
fn dispatch_entry_end() {
    let mut owner = new_owner(1);
    let deadline = Time(EXPIRES.0 / 2);
    let request = IncomingRequest {
        organisation: None,
        onward: false,
        link_backlog: 0,
        deadline,
        ..incoming(1, 1, true)
    };
    let effects = step(&mut owner, 0, Input::Arrived(request));
    assert_eq!(effects, [Effect::Start { tag: 1, deadline }]);
}

/// Guards against a sender whose knowledge of a limit is older than the upstream's latest response: the limit
/// would outlive the need of the upstream.
#[rstest]
#[case::before_response(None, 1)]
#[case::after_response(Some(Input::UpstreamResponded { rate_limit: LimitNotice::Unlimited, served: None }), 12)]
fn arrive_known_rate_limit(#[case] response: Option<Input>, #[case] expected: usize) {
    let mut owner = new_owner(12);
    step(&mut owner, 0, Input::UpstreamWarmed { warm: true });
    if let Some(response) = response {
        step(&mut owner, 0, response);
    }
    let arrivals = (1..=12).flat_map(|tag| {
        let request = IncomingRequest {
            organisation: None,
            onward: false,
            link_backlog: 0,
            rate_limit: RequestRate::from_per_second(2.0),
            ..other_request(tag)
        };
        step(&mut owner, 1, Input::Arrived(request))
    });
    let effects: Vec<Effect> = arrivals.collect();
    let started = effects.iter();
    let started = started.filter(|it| matches!(it, Effect::Start { .. }));
    assert_eq!(started.count(), expected);
}

/// Guards against an owner that sends its upstream more requests than the upstream accepts from all nodes
/// together, whichever nodes the requests come from and whether or not a new process owns the upstream.
#[rstest]
fn arrive_rate_limit(#[values(0.5, 9.5, 42.3)] limit: f64, #[values(false, true)] restarted: bool) {
    let rate = RequestRate::from_per_second(limit);
    let response = Input::UpstreamResponded {
        rate_limit: rate.map_or(LimitNotice::Unreadable, LimitNotice::Limited),
        served: None,
    };
    let mut owner = new_owner(13);
    step(&mut owner, 0, Input::UpstreamWarmed { warm: true });
    if !restarted {
        step(
            &mut owner,
            0,
            Input::UpstreamResponded {
                rate_limit: LimitNotice::Unlimited,
                served: None,
            },
        );
    }
    let (mut now, mut tag) = (0, 0);
    let mut starts = Vec::new();
    let mut running: Vec<(u64, u64)> = Vec::new();
    while now < 12_000_000 {
        now += 1_000;
        let mut effects = Vec::new();
        owner.wake(Time(now), &mut SeededRandom::new(1), &mut effects);
        // 200 requests a second arrive, and each takes 60 ms.
        if now % 5_000 == 0 {
            tag += 1;
            let request = IncomingRequest {
                organisation: None,
                onward: false,
                link_backlog: 0,
                expires: Time(now + 500_000),
                deadline: Time(now + 500_000),
                rate_limit: RequestRate::from_per_second(limit).filter(|_| restarted),
                ..other_request(tag)
            };
            effects.extend(step(&mut owner, now, Input::Arrived(request)));
        }
        while running.first().is_some_and(|(_, end)| *end <= now) {
            let (finished, _) = running.remove(0);
            effects.extend(step(&mut owner, now, response));
            effects.extend(step(&mut owner, now, finish_input(finished, Verdict::Ran)));
        }
        for effect in effects {
            if let Effect::Start { tag, .. } = effect {
                starts.push(now);
                running.push((tag, now + 60_000));
            }
        }
    }
    // The limit is first named 60 ms after the start. The senders know it from the process before.
    let from = if restarted { 0 } else { 3_000_000 };
    let allowed = 1.5 * 4.0 * limit + 5.0;
    for begin in starts.iter().filter(|it| **it >= from) {
        let span = starts
            .iter()
            .filter(|it| (*begin..begin + 4_000_000).contains(it));
        let count = span.count();
        assert!(
            count as f64 <= allowed,
            "{count} from {begin} us, allowed {allowed}"
        );
    }
    let late = starts.iter().filter(|it| **it >= 4_000_000).count();
    assert!(late as f64 >= limit * 8.0 * 0.9 - 1.0, "{late} in 8 s");
}

/// Guards against crashes that are attributed to the wrong requests or counted several times: the requests that
/// ran are suspect of one crash, but none that the upstream has completed before or that was sent after it.
#[rstest]
fn crash_suspects() {
    let mut owner = new_owner(8);
    step(&mut owner, 0, Input::UpstreamWarmed { warm: true });
    let request = |tag: u64, fingerprint: u128| IncomingRequest {
        organisation: None,
        onward: false,
        link_backlog: 0,
        fingerprint: Some(Fingerprint(fingerprint)),
        ..other_request(tag)
    };
    let crash_of = |effects: &[Effect]| {
        effects.iter().find_map(|effect| match effect {
            Effect::RequestCrashed(crashed) => Some((crashed.fingerprint.0, crashed.crash)),
            _ => None,
        })
    };
    step(&mut owner, 1, Input::Arrived(request(1, 100)));
    let response = Input::UpstreamResponded {
        rate_limit: LimitNotice::Unlimited,
        served: Some(Fingerprint(100)),
    };
    step(&mut owner, 2, response);
    step(&mut owner, 2, finish_input(1, Verdict::Ran));
    // A response that reports a failure, such as one at the deadline, proves nothing.
    step(&mut owner, 2, Input::Arrived(request(7, 200)));
    step(
        &mut owner,
        2,
        Input::UpstreamResponded {
            rate_limit: LimitNotice::Unlimited,
            served: None,
        },
    );
    step(&mut owner, 2, finish_input(7, Verdict::Ran));
    for (tag, fingerprint) in [(2, 200), (3, 100), (4, 300)] {
        step(&mut owner, 3, Input::Arrived(request(tag, fingerprint)));
    }
    let crash = |owner: &mut Machine, now: u64, tag: u64| {
        crash_of(&step(owner, now, Input::UpstreamCrashed { tag }))
    };
    assert_eq!(crash(&mut owner, 10, 2), Some((200, 1)));
    assert_eq!(crash(&mut owner, 11, 3), None);
    step(&mut owner, 12, Input::Arrived(request(5, 500)));
    assert_eq!(crash(&mut owner, 13, 4), Some((300, 1)));
    assert_eq!(crash(&mut owner, 14, 5), None);
    // The upstream is back and crashes again.
    step(
        &mut owner,
        20,
        Input::UpstreamResponded {
            rate_limit: LimitNotice::Unlimited,
            served: None,
        },
    );
    step(&mut owner, 21, Input::Arrived(request(6, 200)));
    assert_eq!(crash(&mut owner, 22, 6), Some((200, 2)));
    // A copy of a request that ended otherwise is no second crash.
    assert_eq!(crash(&mut owner, 23, 6), None);
}

/// Guards against a malformed figure in one response that ends the limit of an upstream in need.
#[rstest]
#[case::unreadable(LimitNotice::Unreadable, 1)]
#[case::ended(LimitNotice::Unlimited, 12)]
fn respond_rate_limit_unreadable(#[case] notice: LimitNotice, #[case] expected: usize) {
    let mut owner = new_owner(12);
    step(&mut owner, 0, Input::UpstreamWarmed { warm: true });
    let rate = RequestRate::from_per_second(2.0).expect("a valid rate");
    for rate_limit in [LimitNotice::Limited(rate), notice] {
        let served = None;
        step(
            &mut owner,
            0,
            Input::UpstreamResponded { rate_limit, served },
        );
    }
    let arrivals = (1..=12).flat_map(|tag| step(&mut owner, 1, Input::Arrived(other_request(tag))));
    let effects: Vec<Effect> = arrivals.collect();
    let started = effects.iter();
    let started = started.filter(|it| matches!(it, Effect::Start { .. }));
    assert_eq!(started.count(), expected);
}
