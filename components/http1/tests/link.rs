//! Admission by what the link of the instance can carry.

mod support;

use std::time::Duration;

use rstest::rstest;
use support::Node;
use support::raw::exchange;
use support::raw::get_request;
use support::raw::wait_until;
use support::upstream;

use kernel::plugin::Params;

/// Guards against lengths of responses that do not reach the owner, so that it runs requests whose response
/// its link cannot carry, and against decisions by the link where no rate is stated.
#[rstest]
#[case::rate(Some(8.0), true)]
#[case::no_rate(None, false)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn relay_large_responses(#[case] link_mbps: Option<f64>, #[case] expected: bool) {
    let (address, record) = upstream::start().await;
    let front = Params::default();
    let plugins = ("fifo", "none");
    let link_rate = link_mbps.map(link::Rate::from_mbps);
    let node = Node::start_node(address, (10, 10), plugins, &front, link_rate).await;
    // 1 MB, and so is the mean of the route then: 1.1 s of the link, of the deadline of 3 s.
    let first = exchange(node.callers, get_request("/large")).await;
    assert_eq!(first.expect("there is a response").status(), 200);
    assert_eq!(node.driver.load().link_busy, Duration::ZERO);
    let callers = node.callers;
    let slow = || tokio::spawn(async move { exchange(callers, get_request("/wait/700")).await });
    let running = [slow(), slow()];
    wait_until("two running requests", || record.request_count() == 3).await;
    assert_eq!(
        node.driver.load().link_busy > Duration::from_secs(2),
        link_rate.is_some()
    );
    // The entry tries again once there is room.
    let third = exchange(node.callers, get_request("/x")).await;
    assert_eq!(third.expect("there is a response").status(), 200);
    let refused = "medlar_refusals_total{reason=\"link-busy\"";
    assert_eq!(node.counter_value(refused) > 0, expected);
    for request in running {
        let response = request.await.expect("the task has not failed");
        assert_eq!(response.expect("there is a response").status(), 200);
    }
    assert_eq!(record.request_count(), 4);
}
