//! Tests of what upstreams state about themselves in their responses.

mod support;

use std::time::Duration;
use std::time::Instant;

use rstest::rstest;
use support::raw::exchange;
use support::raw::get_request;
use support::start_entry_and_owner;
use support::upstream;

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
