//! Tests of retry decisions and of the budget that bounds retries.

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

fn budget_with(pairs: &[(&str, &str)]) -> RetryBudget {
    let to_owned = |(name, value): &(&str, &str)| (name.to_string(), value.to_string());
    let params = Params::from_pairs(pairs.iter().map(to_owned));
    RetryBudget::from_params(&params).expect("the params are valid")
}

/// A retry is denied if it could run a request twice, if a level further out retries too, if the
/// attempts or the body are used up, or if it would come after the deadline.
#[rstest]
#[case::not_run(FAILURE, None)]
#[case::may_have_run(FailedAttempt { verdict: Verdict::MayHaveRun, ..FAILURE }, Some(Reason::NotRepeatable))]
#[case::ran(FailedAttempt { verdict: Verdict::Ran, ..FAILURE }, Some(Reason::NotRepeatable))]
#[case::idempotent(FailedAttempt { verdict: Verdict::MayHaveRun, idempotent: true, ..FAILURE }, None)]
#[case::outer_retries(FailedAttempt { outer_retries: true, ..FAILURE }, Some(Reason::OuterRetries))]
#[case::attempts_spent(FailedAttempt { attempts: 3, ..FAILURE }, Some(Reason::AttemptsSpent))]
#[case::not_replayable(FailedAttempt { replayable: false, ..FAILURE }, Some(Reason::AttemptsSpent))]
#[case::no_time_left(FailedAttempt { time_left: Duration::ZERO, ..FAILURE }, Some(Reason::DeadlineTooShort))]
#[case::retry_after_deadline(
    FailedAttempt { has_untried_endpoint: false, retry_after: Duration::from_millis(300), ..FAILURE },
    Some(Reason::DeadlineTooShort)
)]
fn allow_failure(#[case] failure: FailedAttempt, #[case] denied: Option<Reason>) {
    let mut budget = new_budget();
    assert_eq!(budget.would_allow(Time(0), failure), denied.is_none());
    let allowed = budget.allow(Time(0), failure, &mut SeededRandom::new(1));
    assert_eq!(allowed.err(), denied);
}

/// A retry at the same owner waits for at least the time that the owner asked for, and the random
/// wait stays within its bound. A retry at another owner waits only for the random time.
#[rstest]
#[case::other_owner(true, 0, 10)]
#[case::same_owner(false, 100, 110)]
fn allow_wait(#[case] has_untried_endpoint: bool, #[case] min_ms: u64, #[case] max_ms: u64) {
    let failure = FailedAttempt {
        has_untried_endpoint,
        attempts: 2,
        ..FAILURE
    };
    for seed in 0..50 {
        let wait = new_budget().allow(Time(0), failure, &mut SeededRandom::new(seed));
        let wait = wait.expect("the retry is allowed");
        assert!(wait >= Duration::from_millis(min_ms));
        assert!(wait <= Duration::from_millis(max_ms));
    }
}

/// Buckets of services that are no longer in use must be dropped, or the state grows without bound.
#[rstest]
fn record_first_attempt_many_services() {
    let mut budget = new_budget();
    for service in 0..1_000 {
        budget.record_first_attempt(Time(service * 1_000_000), ServiceId(service));
    }
    assert!(budget.bucket_count() < 100);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(256) })]

    /// Retries never exceed a tenth of the first attempts plus the reserve, whatever their order.
    #[rstest]
    fn allow_any(steps in vec((0_u8..3, 0_u64..20_000), 1..600)) {
        let mut budget = new_budget();
        let mut random = SeededRandom::new(2);
        let mut now = 0;
        let (mut first_attempts, mut retries): (Vec<u64>, Vec<u64>) = (Vec::new(), Vec::new());
        for (kind, pause) in steps {
            now += pause;
            if kind < 2 {
                budget.record_first_attempt(Time(now), SERVICE);
                first_attempts.push(now);
            } else if let Ok(wait) = budget.allow(Time(now), FAILURE, &mut random) {
                prop_assert!(wait < FAILURE.time_left);
                retries.push(now);
            }
        }
        // The bucket starts with the reserve of 3 tokens and regains 1.5 tokens every 5 s;
        // the bound allows for 5 s more.
        let tenth = first_attempts.len() as f64 / 10.0;
        let refills = now as f64 / 5e6 + 1.0;
        prop_assert!(retries.len() as f64 <= tenth + 3.0 + 1.5 * refills);
    }
}

/// Each node gets an equal part of the shared reserve, so that all nodes together stay within it.
#[rstest]
#[case::few_nodes("56", 4, 7)]
#[case::many_nodes("56", 14, 2)]
#[case::fraction("33.82352941176471", 4, 4)]
#[case::part_of_a_fraction("33.9", 3, 5)]
fn set_node_count_share(#[case] slack: &str, #[case] node_count: usize, #[case] expected: usize) {
    let mut budget = budget_with(&[("slack", slack)]);
    budget.set_node_count(node_count);
    let mut random = SeededRandom::new(1);
    let allowed = (0..100).filter(|_| budget.allow(Time(0), FAILURE, &mut random).is_ok());
    assert_eq!(allowed.count(), expected);
}

/// Guards against settings whose limits on retries contradict each other or have no meaning: the node
/// refuses them, and an accepted ratio bounds all executions beyond the first, onward calls included.
#[rstest]
#[case::ratio(&[("ratio", "0.2")], Some(12))]
#[case::fraction(&[("ratio", "0.05"), ("window_s", "2.5")], Some(3))]
#[case::with_percent(&[("ratio", "0.2"), ("percent", "10")], None)]
#[case::above_one(&[("ratio", "20")], None)]
#[case::not_a_number(&[("ratio", "NaN")], None)]
#[case::no_window(&[("window_s", "0")], None)]
fn from_params_ratio(#[case] pairs: &[(&str, &str)], #[case] retries_per_100: Option<u32>) {
    let pairs = pairs.iter().copied().chain([("reserve", "50")]);
    let params = Params::from_pairs(pairs.map(|(name, value)| (name.into(), value.into())));
    let budget = RetryBudget::from_params(&params);
    assert_eq!(budget.is_ok(), retries_per_100.is_some());
    let Ok(mut budget) = budget else { return };
    while budget
        .allow(Time(0), FAILURE, &mut SeededRandom::new(1))
        .is_ok()
    {}
    for _ in 0..101 {
        budget.record_first_attempt(Time(0), SERVICE);
    }
    let mut retries = 0;
    while budget
        .allow(Time(0), FAILURE, &mut SeededRandom::new(1))
        .is_ok()
    {
        retries += 1;
    }
    assert_eq!(Some(retries), retries_per_100);
}

/// Guards against nodes that end at their start because a limit on retries is a fraction or not stated, and
/// against a limit that is not stated and forbids or allows all retries: the default holds.
#[rstest]
#[case::slack_fraction("slack", "33.82352941176471")]
#[case::slack_absent("slack", "")]
#[case::slack_switched_off("slack", "false")]
#[case::ratio_absent("ratio", "")]
#[case::ratio_switched_on("ratio", "true")]
#[case::window_fraction("window_s", "9.5")]
#[case::window_absent("window_s", "")]
#[case::window_switched_off("window_s", "false")]
fn from_params_accepted(#[case] name: &str, #[case] value: &str) {
    let mut budget = budget_with(&[(name, value)]);
    let mut random = SeededRandom::new(1);
    for _ in 0..3 {
        assert!(budget.allow(Time(0), FAILURE, &mut random).is_ok());
    }
    assert!(budget.allow(Time(0), FAILURE, &mut random).is_err());
    for _ in 0..11 {
        budget.record_first_attempt(Time(0), SERVICE);
    }
    assert!(budget.allow(Time(0), FAILURE, &mut random).is_ok());
    assert!(budget.allow(Time(0), FAILURE, &mut random).is_err());
}

/// Guards against a limit on retries that has no meaning and allows any number of them.
#[rstest]
fn from_params_slack_refused(
    #[values("-1", "-0.5", "NaN", "inf", "1e30", "56 retries")] slack: &str,
) {
    let params = Params::from_pairs([("slack".to_owned(), slack.to_owned())]);
    let error = RetryBudget::from_params(&params).expect_err("the value is refused");
    let expected =
        format!("plug-in param slack: {slack:?} is not usable; write a number from 0 to ");
    assert!(error.to_string().starts_with(&expected), "{error}");
}

/// What the nodes of a fleet do before an incident.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Calm {
    /// No node has a request.
    NoRequests,
    /// Each node has a request in each second; none fails.
    Requests,
    /// Each node spends all of its tokens, then no node has a request.
    NoRequestsAfterRetries,
}

/// Guards against a fleet that saves up retries while it is calm and sends them all at once when an
/// upstream fails: in any window, the nodes together retry no more often than the budget of one window.
#[rstest]
fn allow_after_calm(
    #[values(Calm::NoRequests, Calm::Requests, Calm::NoRequestsAfterRetries)] calm: Calm,
    #[values("56", "33.82352941176471")] slack: &str,
    #[values(0.25, 12.0, 1_000.0)] calm_windows: f64,
) {
    const NODE_COUNT: usize = 4;
    const WINDOW_MICROS: u64 = 10_000_000;
    const STEP_MICROS: u64 = 10_000;
    let incident = (calm_windows * WINDOW_MICROS as f64) as u64;
    let mut random = SeededRandom::new(1);
    let mut retries = Vec::new();
    for _ in 0..NODE_COUNT {
        let mut budget = budget_with(&[("slack", slack), ("ratio", "0.2"), ("window_s", "10")]);
        budget.set_node_count(NODE_COUNT);
        if calm == Calm::NoRequestsAfterRetries {
            while budget.allow(Time(0), FAILURE, &mut random).is_ok() {}
        }
        if calm == Calm::Requests {
            for now in (0..incident).step_by(1_000_000) {
                budget.record_first_attempt(Time(now), SERVICE);
            }
        }
        // From here on, each node retries whenever it may; nobody sends new requests.
        for now in (incident..incident + 3 * WINDOW_MICROS).step_by(STEP_MICROS as usize) {
            while budget.allow(Time(now), FAILURE, &mut random).is_ok() {
                retries.push(now);
            }
        }
    }
    retries.sort_unstable();
    let count_from = |index: usize| {
        let end = retries[index] + WINDOW_MICROS;
        retries.partition_point(|now| *now < end) - index
    };
    let most = (0..retries.len()).map(count_from).max().unwrap_or(0);
    let allowed: f64 = slack.parse().expect("the slack is a number");
    assert!(most as f64 <= allowed, "{most} retries in one window");
}

/// Retries after refusals that put no load on an upstream take no token, and those after a full queue do. With a token
/// for each, a change of the limits on heads spent the budget, and requests ended although another owner took them.
#[rstest]
#[case::limits_differ(Reason::LimitsDiffer, 0, true)]
#[case::connect_failed(Reason::ConnectFailed, 0, true)]
#[case::limits_differ_after_upstream(Reason::LimitsDiffer, 1, false)]
#[case::queue_full(Reason::QueueFull, 0, false)]
fn allow_spent_budget(
    #[case] reason: Reason,
    #[case] upstreams_tried: u32,
    #[case] expected: bool,
) {
    let mut budget = new_budget();
    let mut random = SeededRandom::new(4);
    while budget.allow(Time(0), FAILURE, &mut random).is_ok() {}
    let failure = FailedAttempt {
        reason,
        upstreams_tried,
        ..FAILURE
    };
    let allowed = budget.allow(Time(0), failure, &mut random);
    assert_eq!(allowed.is_ok(), expected, "{allowed:?}");
}
