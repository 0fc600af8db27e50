//! Guards the owner's promises on single requests: what may run, and what is told of it.

use std::time::Duration;

use rstest::rstest;

use admit::RankedAdmission;
use errors::Reason;
use errors::Verdict;
use ids::NodeId;
use ids::Rank;
use ids::RequestId;
use ids::RouteId;

use kernel::StateMachine as _;
use kernel::Time;
use kernel::plugin::Params;
use kernel::random::SeededRandom;
use member::Stage;
use traffic::ledger::Outcome;
use traffic::owner::Effect;
use traffic::owner::IncomingRequest;
use traffic::owner::Input;
use traffic::owner::Machine;
use traffic::owner::OutcomeQuery;
use traffic::owner::UpstreamEnd;

const ME: NodeId = NodeId(1);
const ID: RequestId = RequestId(77);
const EXPIRES: Time = Time(1_000_000);

fn new_owner(slots: u32) -> Machine {
    new_owner_that(UpstreamEnd::Leave, slots)
}

fn new_owner_that(end: UpstreamEnd, slots: u32) -> Machine {
    let admission =
        RankedAdmission::from_params(&Params::default()).expect("default params are valid");
    let mut owner = Machine::new(ME, Box::new(admission), end);
    if slots > 0 {
        step(&mut owner, 0, ready(slots));
    }
    owner
}

fn ready(slots: u32) -> Input {
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

fn offer(tag: u64, attempt: u32, idempotent: bool) -> IncomingRequest {
    IncomingRequest {
        tag,
        id: ID,
        attempt,
        intended_owner: ME,
        expires: EXPIRES,
        objective: None,
        route: RouteId(1),
        rank: Rank(0),
        weight: 1,
        idempotent,
    }
}

fn other(tag: u64) -> IncomingRequest {
    let id = RequestId(u128::from(tag));
    IncomingRequest {
        id,
        ..offer(tag, 1, true)
    }
}

fn ask(tag: u64, attempt: u32, cancel_if_queued: bool) -> Input {
    let query = OutcomeQuery {
        id: ID,
        intended_owner: ME,
        attempt,
        expires: EXPIRES,
        cancel_if_queued,
    };
    Input::OutcomeQueried { tag, query }
}

fn finished(tag: u64, verdict: Verdict) -> Input {
    Input::Finished {
        tag,
        verdict,
        shed: false,
        stored: false,
    }
}

fn refusal(effects: &[Effect]) -> (Reason, Verdict) {
    match effects {
        [Effect::Refuse { refusal, .. }] => (refusal.reason, refusal.verdict),
        other => panic!("not one refusal: {other:?}"),
    }
}

fn told(effects: &[Effect]) -> Outcome {
    let told = effects.iter().find_map(|effect| match effect {
        Effect::ReportOutcome { outcome, .. } => Some(*outcome),
        _ => None,
    });
    told.expect("a query is answered")
}

/// Guards against a copy of a request that ran being refused as not run, which let the sender run
/// it a second time elsewhere.
#[rstest]
#[case::running(None, 3, Verdict::MayHaveRun)]
#[case::ran(Some(Verdict::Ran), 3, Verdict::Ran)]
#[case::ran_expired(Some(Verdict::Ran), EXPIRES.0 + 1, Verdict::Ran)]
#[case::broken(Some(Verdict::MayHaveRun), 3, Verdict::MayHaveRun)]
fn offer_duplicate(#[case] end: Option<Verdict>, #[case] micros: u64, #[case] expected: Verdict) {
    let mut owner = new_owner(4);
    let started = step(&mut owner, 1, Input::Arrived(offer(1, 1, false)));
    assert_eq!(started, [Effect::Start { tag: 1 }]);
    if let Some(verdict) = end {
        step(&mut owner, 2, finished(1, verdict));
    }
    for (tag, attempt) in [(2, 1), (3, 2)] {
        let copy = Input::Arrived(offer(tag, attempt, false));
        let effects = step(&mut owner, micros, copy);
        assert_eq!(refusal(&effects), (Reason::Duplicate, expected));
    }
}

/// Guards against a copy that runs after the request was refused as not run, and against a later
/// attempt being taken for a copy.
#[rstest]
#[case::warming(0)]
#[case::fenced(4)]
fn offer_refused_before(#[case] slots: u32) {
    let mut owner = new_owner(slots);
    if slots > 0 {
        assert_eq!(
            told(&step(&mut owner, 1, ask(9, 1, false))),
            Outcome::Fenced
        );
    } else {
        let effects = step(&mut owner, 1, Input::Arrived(offer(1, 1, false)));
        assert_eq!(refusal(&effects), (Reason::Warming, Verdict::NotRun));
        step(&mut owner, 2, ready(4));
    }
    let copy = step(&mut owner, 3, Input::Arrived(offer(2, 1, false)));
    assert_eq!(refusal(&copy).1, Verdict::NotRun);
    let retry = step(&mut owner, 4, Input::Arrived(offer(3, 2, false)));
    assert_eq!(retry, [Effect::Start { tag: 3 }]);
    let late = step(&mut owner, 5, Input::Arrived(offer(4, 1, false)));
    assert_eq!(refusal(&late).0, Reason::Duplicate);
}

/// Guards against "not run" for a request that ran, told after its ledger entry is gone.
#[rstest]
#[case::entry_kept(2_000_000, Outcome::Done { verdict: Verdict::Ran, stored: false })]
#[case::entry_gone(60_000_000, Outcome::Unknown)]
fn ask_after_expiry(#[case] micros: u64, #[case] expected: Outcome) {
    let mut owner = new_owner(4);
    step(&mut owner, 1, Input::Arrived(offer(1, 1, false)));
    step(&mut owner, 2, finished(1, Verdict::Ran));
    owner.wake(Time(micros), &mut SeededRandom::new(1), &mut Vec::new());
    assert_eq!(told(&step(&mut owner, micros, ask(9, 1, false))), expected);
}

/// Guards against a queued request that runs after the sender was told that it is cancelled, and
/// against cancelling for a sender that still waits.
#[rstest]
#[case::waits(false, Outcome::Running)]
#[case::cancel_if_queued(true, Outcome::Cancelled)]
fn ask_queued(#[case] cancel_if_queued: bool, #[case] expected: Outcome) {
    let mut owner = new_owner(1);
    step(&mut owner, 1, Input::Arrived(other(1)));
    assert!(step(&mut owner, 2, Input::Arrived(offer(2, 1, true))).is_empty());
    let outcome = told(&step(&mut owner, 3, ask(9, 1, cancel_if_queued)));
    assert_eq!(outcome, expected);
    let next = step(&mut owner, 4, finished(1, Verdict::Ran));
    assert_eq!(next.contains(&Effect::Start { tag: 2 }), !cancel_if_queued);
}

/// Guards against a slot that is lost for good because a queued request was ended as if it ran.
#[rstest]
fn finish_queued() {
    let mut owner = new_owner(1);
    step(&mut owner, 1, Input::Arrived(other(1)));
    step(&mut owner, 2, Input::Arrived(other(2)));
    step(&mut owner, 3, finished(2, Verdict::MayHaveRun));
    assert_eq!(
        step(&mut owner, 4, finished(1, Verdict::Ran)),
        [Effect::Start { tag: 2 }]
    );
    step(&mut owner, 5, finished(2, Verdict::Ran));
    assert_eq!(owner.load().running, 0);
}

/// Guards against a drain that drops what was accepted, takes new work, or ends early or twice.
#[rstest]
#[case::by_signal(Input::Drain)]
#[case::by_announcement(Input::UpstreamAnnounced { stage: Stage::Draining, slots: 0 })]
fn drain_queued(#[case] drain: Input) {
    let mut owner = new_owner(1);
    step(&mut owner, 1, Input::Arrived(other(1)));
    step(&mut owner, 2, Input::Arrived(other(2)));
    assert!(step(&mut owner, 3, drain).is_empty());
    let refused = step(&mut owner, 4, Input::Arrived(other(3)));
    assert_eq!(refusal(&refused), (Reason::Draining, Verdict::NotRun));
    assert_eq!(
        step(&mut owner, 5, finished(1, Verdict::Ran)),
        [Effect::Start { tag: 2 }]
    );
    assert_eq!(
        step(&mut owner, 6, finished(2, Verdict::Ran)),
        [Effect::Drained]
    );
    assert!(step(&mut owner, 7, Input::Drain).is_empty());
    assert!(step(&mut owner, 8, ready(4)).is_empty());
}

/// Guards against a request that waits at the owner and reaches a leaving upstream seconds after
/// that has announced its end, although other upstreams could serve it.
#[rstest]
#[case::by_signal(Input::Drain)]
#[case::by_announcement(Input::UpstreamAnnounced { stage: Stage::Draining, slots: 1 })]
#[case::gone(Input::UpstreamAnnounced { stage: Stage::Gone, slots: 1 })]
fn drain_waiting_stays(#[case] drain: Input) {
    let mut owner = new_owner_that(UpstreamEnd::Stay, 1);
    step(&mut owner, 1, Input::Arrived(other(1)));
    step(&mut owner, 2, Input::Arrived(other(2)));
    let refused = step(&mut owner, 3, drain);
    assert_eq!(refusal(&refused), (Reason::Draining, Verdict::NotRun));
    let ended = step(&mut owner, 4, finished(1, Verdict::Ran));
    assert!(!ended.iter().any(|it| matches!(it, Effect::Start { .. })));
}

/// Guards against a node that takes no work any more because one run of its upstream has ended.
#[rstest]
fn upstream_returns_stays() {
    let mut owner = new_owner_that(UpstreamEnd::Stay, 1);
    let gone = Input::UpstreamAnnounced {
        stage: Stage::Gone,
        slots: 1,
    };
    assert!(step(&mut owner, 1, gone).is_empty());
    step(&mut owner, 2, ready(1));
    let started = step(&mut owner, 3, Input::Arrived(other(1)));
    assert_eq!(started, [Effect::Start { tag: 1 }]);
}

/// Guards against a process that tells "not run" of a request that ran at the one before it.
#[rstest]
fn ask_replaced_owner() {
    let mut owner = new_owner(4);
    let query = OutcomeQuery {
        id: ID,
        intended_owner: NodeId(2),
        attempt: 1,
        expires: EXPIRES,
        cancel_if_queued: false,
    };
    let effects = step(&mut owner, 1, Input::OutcomeQueried { tag: 9, query });
    assert_eq!(told(&effects), Outcome::Unknown);
}

/// Guards against a request that a sender was frozen with running after its expiry.
#[rstest]
fn offer_expired() {
    let mut owner = new_owner(4);
    let effects = step(&mut owner, EXPIRES.0, Input::Arrived(offer(1, 1, false)));
    assert_eq!(refusal(&effects), (Reason::DeadlinePassed, Verdict::NotRun));
    let after = EXPIRES.0 + Duration::from_secs(1).as_micros() as u64;
    assert_eq!(
        told(&step(&mut owner, after, ask(9, 1, false))),
        Outcome::Fenced
    );
}

/// Guards against a ledger that fills because clean-ups drop fewer entries than requests add.
#[rstest]
fn wake_many_expired() {
    let mut owner = new_owner(4);
    for tag in 1..=4_000 {
        step(&mut owner, 1, Input::Arrived(other(tag)));
        step(&mut owner, 2, finished(tag, Verdict::Ran));
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
