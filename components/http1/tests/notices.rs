//! Tests of what upstreams state about themselves in their responses.

mod support;

use std::time::Duration;
use std::time::Instant;

use rstest::rstest;
use support::raw::exchange;
use support::raw::get_request;
use support::start_entry_and_owner;
use support::upstream;

use control::Input;

/// Guards against an owner that does not apply the rate limit that its upstream names in its responses.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn relay_response_rate_limit() {
    let (address, upstream_record) = upstream::start().await;
    let (entry, _owner) = start_entry_and_owner(address, 20, 20).await;
    let first = exchange(entry.callers, get_request("/limited/20")).await;
    assert_eq!(first.expect("there is a response").status(), 200);
    let began = Instant::now();
    let mut requests = tokio::task::JoinSet::new();
    for _ in 0..12 {
        let callers = entry.callers;
        requests.spawn(async move { exchange(callers, get_request("/limited/20")).await });
    }
    while let Some(response) = requests.join_next().await {
        let response = response.expect("the task has not failed");
        assert_eq!(response.expect("there is a response").status(), 200);
    }
    assert_eq!(upstream_record.request_count(), 13);
    // 11 intervals of 50 ms, less the tolerance of 100 ms.
    assert!(began.elapsed() >= Duration::from_millis(450));
}

/// Guards against a node whose control thread does not learn that its upstream states in a response that it
/// is leaving; the other nodes would go on to send requests.
#[rstest]
#[case::other_response("/x", false)]
#[case::leaving("/leaving", true)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn relay_response_leaving(#[case] path: &str, #[case] expected: bool) {
    let (address, _) = upstream::start().await;
    let (entry, owner) = start_entry_and_owner(address, 20, 20).await;
    let response = exchange(entry.callers, get_request(path)).await;
    assert_eq!(response.expect("there is a response").status(), 200);
    let reported = owner.control_inputs.lock().unwrap().try_recv();
    let is_leaving = matches!(reported, Ok(Input::UpstreamLeaving { run_id: None }));
    assert_eq!(is_leaving, expected, "{reported:?}");
}
