//! Guards the decision to try again and the budget that bounds it.

use std::time::Duration;

use proptest::collection::vec;
use proptest::prelude::ProptestConfig;
use proptest::prop_assert;
use proptest::proptest;
use rstest::rstest;

use errors::Reason;
use errors::Verdict;
use ids::ServiceId;
use kernel::Time;
use kernel::plugin::Params;
use kernel::random::SeededRandom;
use policy::FailedAttempt;
use policy::Retry;
use retry::RetryBudget;

const SERVICE: ServiceId = ServiceId(1);
const FAILURE: FailedAttempt = FailedAttempt {
    service: SERVICE,
    verdict: Verdict::NotRun,
    reason: Reason::QueueFull,
    idempotent: false,
    attempts: 1,
    upstreams_tried: 1,
    max_upstreams: None,
    time_left: Duration::from_millis(200),
    outer_retries: false,
    replayable: true,
    retry_after: Duration::from_millis(100),
    has_untried_endpoint: true,
};

fn new_budget() -> RetryBudget {
    RetryBudget::from_params(&Params::default()).expect("default params are valid")
}

/// Guards against a retry that could run a request twice, double the work of an outer level, or
/// come too late.
#[rstest]
#[case::not_run(FAILURE, None)]
#[case::may_have_run(FailedAttempt { verdict: Verdict::MayHaveRun, ..FAILURE }, Some(Reason::NotRepeatable))]
#[case::ran(FailedAttempt { verdict: Verdict::Ran, ..FAILURE }, Some(Reason::NotRepeatable))]
#[case::idempotent(FailedAttempt { verdict: Verdict::MayHaveRun, idempotent: true, ..FAILURE }, None)]
#[case::outer(FailedAttempt { outer_retries: true, ..FAILURE }, Some(Reason::OuterRetries))]
#[case::attempts(FailedAttempt { attempts: 3, ..FAILURE }, Some(Reason::AttemptsSpent))]
#[case::body_gone(FailedAttempt { replayable: false, ..FAILURE }, Some(Reason::AttemptsSpent))]
#[case::no_time(FailedAttempt { time_left: Duration::ZERO, ..FAILURE }, Some(Reason::DeadlineTooShort))]
#[case::owner_says_later(
    FailedAttempt { has_untried_endpoint: false, retry_after: Duration::from_millis(300), ..FAILURE },
    Some(Reason::DeadlineTooShort)
)]
fn allow_failure(#[case] failure: FailedAttempt, #[case] denied: Option<Reason>) {
    let mut budget = new_budget();
    assert_eq!(budget.would_allow(Time(0), failure), denied.is_none());
    let allowed = budget.allow(Time(0), failure, &mut SeededRandom::new(1));
    assert_eq!(allowed.err(), denied);
}

/// Guards against a retry at the same owner before the time that it gave, or after the deadline.
#[rstest]
#[case::has_untried_endpoint(true, 0, 10)]
#[case::same_owner(false, 100, 110)]
fn allow_wait(#[case] has_untried_endpoint: bool, #[case] least: u64, #[case] most: u64) {
    let failure = FailedAttempt {
        has_untried_endpoint,
        attempts: 2,
        ..FAILURE
    };
    for seed in 0..50 {
        let wait = new_budget().allow(Time(0), failure, &mut SeededRandom::new(seed));
        let wait = wait.expect("it is allowed");
        assert!(wait >= Duration::from_millis(least));
        assert!(wait <= Duration::from_millis(most));
    }
}

/// Guards against state of services that are no longer used.
#[rstest]
fn record_first_attempt_many() {
    let mut budget = new_budget();
    for service in 0..1_000 {
        budget.record_first_attempt(Time(service * 1_000_000), ServiceId(service));
    }
    assert!(budget.bucket_count() < 100);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(256) })]

    /// Guards against retries beyond a tenth of the first tries, in any stretch of time.
    #[rstest]
    fn allow_any(steps in vec((0_u8..3, 0_u64..20_000), 1..600)) {
        let mut budget = new_budget();
        let mut random = SeededRandom::new(2);
        let mut now = 0;
        let (mut firsts, mut retries): (Vec<u64>, Vec<u64>) = (Vec::new(), Vec::new());
        for (kind, pause) in steps {
            now += pause;
            if kind < 2 {
                budget.record_first_attempt(Time(now), SERVICE);
                firsts.push(now);
            } else if let Ok(wait) = budget.allow(Time(now), FAILURE, &mut random) {
                prop_assert!(wait < FAILURE.time_left);
                retries.push(now);
            }
        }
        // Both counts are halved together; that gives back at most half of the reserve each time.
        let tenth = firsts.len() as f64 / 10.0;
        let halvings = now as f64 / 5e6 + 1.0;
        prop_assert!(retries.len() as f64 <= tenth + 3.0 + 1.5 * halvings);
    }
}

/// Guards against a fleet whose nodes together retry more than the reserve that they share.
#[rstest]
#[case::few(4, 7)]
#[case::many(14, 2)]
fn set_nodes_share(#[case] nodes: usize, #[case] expected: usize) {
    let params = Params::from_pairs([("slack".to_owned(), "56".to_owned())]);
    let mut budget = RetryBudget::from_params(&params).expect("the params are valid");
    budget.set_node_count(nodes);
    let mut random = SeededRandom::new(1);
    let allowed = (0..100).filter(|_| budget.allow(Time(0), FAILURE, &mut random).is_ok());
    assert_eq!(allowed.count(), expected);
}
