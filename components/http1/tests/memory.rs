//! Test of the memory that a node uses for responses without end. In a file of its own, because it reads the memory of the
//! whole process.

mod support;

use std::sync::atomic::Ordering::SeqCst;
use std::time::Duration;

use support::Node;
use support::endless::CHUNKED;
use support::endless::start_endless;
use support::raw::CallerConnection;
use support::raw::exchange;
use support::raw::get_request;
use support::raw::wait_until;

use kernel::plugin::Params;

/// Memory of the smallest instances, which a process must never use, in bytes.
const MAX_RESIDENT_BYTES: usize = 110 * 1024 * 1024;
const CALLERS: u32 = 100;
const LINK_MBPS: f64 = 1.0;
/// Deadline of the GET route in the support configuration, and time for the node to act on it.
const DEADLINE: Duration = Duration::from_secs(3);

/// Returns the memory of this process that is resident, in bytes.
fn resident_bytes() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").expect("the status of the process");
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<usize>().ok());
    kilobytes.expect("the resident memory") * 1024
}

/// Guards against bodies that are counted by their bytes while each of their chunks keeps the read buffer that it came in:
/// upstreams that send short chunks without end took many times the limit on bytes that are read ahead.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn read_ahead_short_chunks() {
    // More than the link carries until the deadline, so that most of it waits in the node.
    let part = format!("80\r\n{}\r\n", "a".repeat(0x80));
    let (address, record) = start_endless(CHUNKED, part.leak(), Duration::from_millis(1)).await;
    let limits = (CALLERS + 1, CALLERS + 1);
    let link = Some(link::Rate::from_mbps(LINK_MBPS));
    let node = Node::start_node(address, limits, ("fifo", "none"), &Params::default(), link).await;
    let mut callers = Vec::new();
    for _ in 0..CALLERS {
        let mut caller = CallerConnection::connect(node.callers).await;
        caller.send(get_request("/endless")).await;
        callers.push(caller);
    }
    wait_until("running requests", || node.driver.load().running == CALLERS).await;
    let mut peak = 0;
    while record.closed.load(SeqCst) == 0 {
        peak = peak.max(resident_bytes());
        tokio::time::sleep(DEADLINE / 60).await;
    }
    assert!(peak < MAX_RESIDENT_BYTES, "{peak} bytes");
    let response = exchange(node.callers, get_request("/x")).await;
    assert_eq!(response.map(|it| it.status()), Some(200));
}
