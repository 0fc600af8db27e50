//! Tests of the failures that the freshness of keys has to withstand, each in a simulated fleet.

mod support;

use std::time::Duration;

use rstest::rstest;
use support::Fleet;
use support::LIMIT;

use fresh::Machine;
use fresh::Message;
use fresh::Output;
use fresh::ProofResult;
use ids::NodeId;
use ids::Version;
use kernel::Time;
use kernel::random::SeededRandom;

const SECOND: Duration = Duration::from_secs(1);
const VALIDITY: Duration = Duration::from_millis(4_500);

/// Runs a fleet until all nodes have a proof and those of the start are replaced.
fn settled_fleet(size: usize, domains: usize, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(size, domains, seed);
    fleet.run(8 * SECOND, |_| {});
    fleet
}

fn oldest(fleet: &Fleet) -> Duration {
    let ages = fleet.nodes.iter().map(|it| it.age(fleet.now));
    ages.max().unwrap_or_default()
}

/// Nodes that refuse requests with keys though nothing has failed harm callers: the ages along the path from the store
/// must leave a second to the limit, also where answers are late, and no node may be flooded.
#[rstest]
#[case::small(27, 1, 2, 0)]
#[case::fleet(81, 3, 2, 0)]
#[case::slow_store(81, 3, 120, 0)]
#[case::losses(81, 3, 2, 5)]
#[case::large_domain(300, 1, 2, 0)]
fn ask_calm(
    #[case] size: usize,
    #[case] domains: usize,
    #[case] store_latency_ms: u64,
    #[case] loss: usize,
) {
    let mut fleet = Fleet::new(size, domains, 1);
    fleet.store_latency = Duration::from_millis(store_latency_ms);
    fleet.network.loss = loss;
    fleet.run(8 * SECOND, |_| {});
    fleet.received.fill(0);
    fleet.store_calls = 0;
    let (mut worst, seconds) = (Duration::ZERO, 20);
    fleet.run(seconds * SECOND, |fleet| worst = worst.max(oldest(fleet)));
    let busiest = fleet.received.iter().max().copied().unwrap_or_default();
    let (per_second, calls) = (busiest / seconds as usize, fleet.store_calls);
    println!("worst age {worst:?}, busiest node {per_second} a second, {calls} store calls");
    assert!(worst <= VALIDITY - SECOND, "{worst:?}");
    assert!(per_second <= 48, "{per_second}");
    let watch_calls = 2 * domains * seconds as usize;
    assert!(calls <= watch_calls + watch_calls / 4, "{calls}");
}

/// A store that is away for all nodes must end the acceptance of keys after the validity of the last proof, not
/// sooner, and its return must restore it.
#[rstest]
fn is_valid_store_away() {
    let mut fleet = settled_fleet(27, 3, 2);
    fleet.nodes.iter_mut().for_each(|it| it.rejected = true);
    let lost = fleet.now;
    fleet.run(10 * SECOND, |fleet| {
        let since = fleet.now.since(lost);
        for node in &fleet.nodes {
            assert!(node.is_valid(fleet.now) || since >= SECOND);
            assert!(!node.is_valid(fleet.now) || since < VALIDITY);
        }
    });
    fleet.nodes.iter_mut().for_each(|it| it.rejected = false);
    fleet.run(2 * SECOND, |_| {});
    assert!(fleet.nodes.iter().all(|it| it.is_valid(fleet.now)));
}

/// Nodes that the store turns away, and those that depend on them, must get proofs from others and not refuse, however
/// slow the store is: the watchers of one failure domain, or all watchers.
#[rstest]
#[case::domain(81, 3, 1, 2)]
#[case::domain_slow(81, 3, 1, 120)]
#[case::large_domain(300, 2, 1, 2)]
#[case::all_watchers(81, 3, 3, 2)]
fn is_valid_watchers_rejected(
    #[case] size: usize,
    #[case] domains: usize,
    #[case] rejected_domains: usize,
    #[case] store_latency_ms: u64,
) {
    let mut fleet = settled_fleet(size, domains, 3);
    fleet.store_latency = Duration::from_millis(store_latency_ms);
    for (index, node) in fleet.nodes.iter_mut().enumerate() {
        node.rejected = node.is_watcher && index % domains < rejected_domains;
    }
    let mut worst = Duration::ZERO;
    fleet.run(20 * SECOND, |fleet| worst = worst.max(oldest(fleet)));
    println!("worst age {worst:?}, {} store calls", fleet.store_calls);
    assert!(worst < VALIDITY, "{worst:?}");
}

/// A node that is cut off, or whose process is frozen, must not accept keys once its last proof is too old, and must
/// accept them again soon after it is back. A restarted one starts without a proof.
#[rstest]
#[case::cut_off(true)]
#[case::frozen(false)]
fn is_valid_isolated_node(#[case] cut_off: bool) {
    let mut fleet = settled_fleet(27, 3, 4);
    let index = fleet.nodes.iter().position(|it| !it.is_watcher);
    let index = index.expect("a node that is no watcher");
    match cut_off {
        true => fleet.nodes[index].cut_off = true,
        false => fleet.nodes[index].frozen_until = fleet.now + 8 * SECOND,
    }
    fleet.run(5 * SECOND, |_| {});
    assert!(!fleet.nodes[index].is_valid(fleet.now));
    fleet.run(3 * SECOND, |_| {});
    fleet.nodes[index].cut_off = false;
    fleet.run(SECOND, |_| {});
    assert!(fleet.nodes[index].is_valid(fleet.now));
    fleet.restart(index);
    assert!(!fleet.nodes[index].is_valid(fleet.now));
    fleet.run(SECOND, |_| {});
    assert!(fleet.nodes[index].is_valid(fleet.now));
}

/// A proof for a configuration that a node does not have yet would make it accept keys which that withdraws. A proof
/// of a lower version, of a store restored from an older copy, counts.
#[rstest]
#[case::same(5, true)]
#[case::newer(6, false)]
#[case::restored(3, true)]
fn record_store_answer_version(#[case] proved: u64, #[case] adopted: bool) {
    let (now, mut out) = (Time(9_000_000), Vec::new());
    let mut machine = Machine::new(NodeId(1), LIMIT);
    machine.set_active(now, true, &mut out);
    machine.set_version(now, Version(5), &mut out);
    machine.record_store_answer(now, now, Version(proved), &mut out);
    assert_eq!(machine.is_valid(now), adopted);
    machine.set_version(now, Version(6), &mut out);
    assert!(machine.is_valid(now));
}

/// A response that nobody asked for, or that arrives twice, must change nothing; one that is late must not make its
/// proof younger. One older than the clock must not pass for one from its start.
#[rstest]
#[case::solicited(0, 2_000, Some(2_000))]
#[case::unsolicited(1, 2_000, None)]
#[case::before_clock(0, 60_000, None)]
fn handle_message_response(
    #[case] nonce_offset: u64,
    #[case] age_ms: u64,
    #[case] expected_age_ms: Option<u64>,
) {
    let mut fleet = Fleet::new(9, 1, 5);
    let index = fleet.nodes.iter().position(|it| !it.is_watcher);
    let index = index.expect("a node that is no watcher");
    let (now, mut out, mut random) = (Time(9_000_000), Vec::new(), SeededRandom::new(1));
    let mut machine = Machine::new(NodeId(index as u64), LIMIT);
    machine.set_version(now, Version(1), &mut out);
    machine.set_active(now, true, &mut out);
    machine.wake(now, fleet.table(), &mut random, &mut out);
    let request = out.iter().find_map(|it| match it {
        Output::Send {
            to,
            message: Message::Request { nonce },
        } => Some((*to, *nonce)),
        _ => None,
    });
    let (parent, nonce) = request.expect("a request");
    let response = Message::Response {
        nonce: nonce.wrapping_add(nonce_offset),
        version: Version(1),
        age: Duration::from_millis(age_ms),
        renewal: SECOND,
    };
    let arrival = now + Duration::from_millis(700);
    for _ in 0..2 {
        out.clear();
        machine.handle_message(arrival, parent, response, &mut random, &mut out);
    }
    let age = machine.proof().map(|it| now.since(it.time));
    assert_eq!(age, expected_age_ms.map(Duration::from_millis));
    assert_eq!(out, [Output::Received(ProofResult::Unsolicited)]);
    fleet.run(SECOND, |_| {});
}

/// A configuration without organisations must cause no messages, calls or wake-ups.
#[rstest]
fn set_active_without_organisations() {
    let (now, mut out) = (Time(9_000_000), Vec::new());
    let mut machine = Machine::new(NodeId(1), LIMIT);
    machine.set_version(now, Version(1), &mut out);
    machine.record_store_answer(now, now, Version(1), &mut out);
    out.clear();
    assert_eq!(machine.next_wake(), None);
    let request = Message::Request { nonce: 1 };
    let from = "127.0.0.1:1".parse().expect("an address");
    machine.handle_message(now, from, request, &mut SeededRandom::new(1), &mut out);
    assert_eq!(out, []);
}
