//! Tests of the distribution machine of one node: pulls, refused records, store and contacts.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rstest::rstest;

use config::Delta;
use config::NEWEST_FORMAT;
use config::Record;
use ids::Digest;
use ids::Domain;
use ids::Incarnation;
use ids::NodeId;
use ids::Version;
use kernel::Time;
use kernel::random::SeededRandom;
use member::ConfigId;
use member::ListenAddresses;
use member::Member;
use member::MemberTable;
use member::Stage;
use member::Status;
use spread::ContactsEvent;
use spread::Era;
use spread::Machine;
use spread::Output;
use spread::PullResponse;
use spread::Revision;
use spread::StoreEvent;

fn config_text(salt: u64) -> String {
    format!(
        "services:\n- name: planta\n  routes:\n  - {{method: GET, path: /hoy, rank: 1, deadline_ms: {salt}}}\n"
    )
}

fn record(version: u64, text: &str) -> Record {
    Record {
        version: Version(version),
        edit_hash: 1,
        parent_digest: Digest::default(),
        digest: Digest::of(text.as_bytes()),
        format: NEWEST_FORMAT,
        text: Arc::from(text),
    }
}

fn config_id(record: &Record) -> ConfigId {
    let (version, digest) = (record.version, record.digest);
    ConfigId { version, digest }
}

fn peer_address(host: u8) -> SocketAddr {
    SocketAddr::from(([127, 31, 7, host], 1))
}

/// A node with version 5 in force.
struct Node {
    machine: Machine,
    random: SeededRandom,
    now: Time,
}

impl Node {
    fn new() -> Self {
        let (machine, random) = (Machine::default(), SeededRandom::new(1));
        let mut node = Self {
            machine,
            random,
            now: Time(0),
        };
        node.receive_response(1, PullResponse::Full(record(5, &config_text(5))));
        node
    }

    fn handle_config_id(&mut self, host: u8, config_id: ConfigId) -> Vec<Output> {
        let mut out = Vec::new();
        self.machine
            .handle_config_id(self.now, peer_address(host), config_id, &mut out);
        out
    }

    fn receive_response(
        &mut self,
        host: u8,
        response: impl Into<Option<PullResponse>>,
    ) -> Vec<Output> {
        let mut out = Vec::new();
        self.machine.handle_pull_response(
            self.now,
            peer_address(host),
            response.into(),
            &mut self.random,
            &mut out,
        );
        out
    }

    fn handle_store_event(&mut self, event: StoreEvent) -> Vec<Output> {
        let mut out = Vec::new();
        self.machine
            .handle_store_event(self.now, event, &mut self.random, &mut out);
        out
    }

    fn wake(&mut self, after: Duration) -> Vec<Output> {
        let mut out = Vec::new();
        self.now = self.now + after;
        self.machine.wake(self.now, &mut self.random, &mut out);
        out
    }

    fn start_watching(&mut self) -> Vec<Output> {
        self.machine.set_watcher(true, self.now, &mut Vec::new());
        self.wake(Duration::ZERO)
    }

    fn version(&self) -> u64 {
        self.machine.history().config_id().version.0
    }
}

fn pull_requests(out: &[Output]) -> Vec<(SocketAddr, ConfigId)> {
    let pull = |it: &Output| match it {
        Output::Pull { from, have } => Some((*from, *have)),
        _ => None,
    };
    out.iter().filter_map(pull).collect()
}

/// Checks that another source is asked when the first one doesn't answer or its call fails.
#[rstest]
#[case::call_failed(true)]
#[case::timeout(false)]
fn pull_other_source(#[case] call_fails: bool) {
    let mut node = Node::new();
    let newer = config_id(&record(6, &config_text(6)));
    assert_eq!(pull_requests(&node.handle_config_id(1, newer)).len(), 1);
    assert_eq!(pull_requests(&node.handle_config_id(2, newer)).len(), 0);
    if call_fails {
        node.receive_response(1, None);
    }
    let mut out = node.wake(Duration::from_millis(750));
    out.extend(node.wake(Duration::from_millis(60)));
    assert_eq!(pull_requests(&out)[0].0, peer_address(2));
    // The response of the first source is still used when it arrives late.
    node.receive_response(1, PullResponse::Full(record(6, &config_text(6))));
    assert_eq!(node.version(), 6);
}

/// Checks that an invalid record is refused as a whole, and is remembered so that it isn't pulled
/// again.
#[rstest]
#[case::newer_format(NEWEST_FORMAT + 1, config_text(6))]
#[case::does_not_compile(NEWEST_FORMAT, "services: [{name: a, depends: [b]}]\n".into())]
fn refuse_record(#[case] format: u32, #[case] text: String) {
    let mut node = Node::new();
    let refused_record = Record {
        format,
        ..record(6, &text)
    };
    node.handle_config_id(1, config_id(&refused_record));
    let out = node.receive_response(1, PullResponse::Full(refused_record.clone()));
    assert!(out.iter().any(|it| matches!(
        it,
        Output::Refused {
            version: Version(6),
            ..
        }
    )));
    assert_eq!((node.version(), node.machine.report().refused), (5, 1));
    node.now = node.now + Duration::from_secs(5);
    assert_eq!(
        pull_requests(&node.handle_config_id(2, config_id(&refused_record))).len(),
        0
    );
    node.receive_response(2, PullResponse::Full(refused_record));
    assert_eq!(node.machine.report().refused, 1);
}

/// Checks that a delta that doesn't fit the text in force is followed by one pull of the full text.
#[rstest]
fn pull_full_text_after_delta() {
    let mut node = Node::new();
    let newer = record(6, &config_text(6));
    let delta = Delta::from_texts("other\n", &newer.text);
    let response = PullResponse::Delta {
        record: newer.clone(),
        delta,
    };
    node.handle_config_id(1, config_id(&newer));
    let requests = pull_requests(&node.receive_response(1, response.clone()));
    assert_eq!(requests[0].1.digest, Digest::default());
    assert_eq!(pull_requests(&node.receive_response(1, response)).len(), 0);
    node.receive_response(1, PullResponse::Full(newer));
    assert_eq!(node.version(), 6);
}

/// Checks that an old, repeated, conflicting or damaged record doesn't change the configuration.
#[rstest]
#[case::older(record(4, &config_text(4)), 0, 0)]
#[case::repeated(record(5, &config_text(5)), 0, 0)]
#[case::conflict(record(5, &config_text(9)), 0, 1)]
#[case::damaged(Record { text: Arc::from(config_text(9)), ..record(6, &config_text(6)) }, 1, 0)]
fn ignore_record(#[case] ignored_record: Record, #[case] corrupt: u64, #[case] conflicts: u64) {
    let mut node = Node::new();
    let before = node.machine.history().config_id();
    node.handle_config_id(3, config_id(&ignored_record));
    node.receive_response(3, PullResponse::Full(ignored_record.clone()));
    node.handle_config_id(4, config_id(&ignored_record));
    let report = node.machine.report();
    assert_eq!(node.machine.history().config_id(), before);
    assert_eq!((report.corrupt, report.conflicts), (corrupt, conflicts));
}

/// Checks that a newer configuration is written back to the store, on the revision that was read, if
/// nodes may write the key. A write that the store refuses left the node without a watch for
/// seconds, so that the next change was noticed too late.
#[rstest]
#[case::older(Some(record(3, &config_text(3))), 7, true, true)]
#[case::missing(None, 0, true, true)]
#[case::same(Some(record(5, &config_text(5))), 7, true, false)]
#[case::newer(Some(record(8, &config_text(8))), 7, true, false)]
#[case::older_read_only(Some(record(3, &config_text(3))), 7, false, false)]
#[case::missing_read_only(None, 0, false, false)]
fn write_back(
    #[case] stored: Option<Record>,
    #[case] revision: u64,
    #[case] is_writable: bool,
    #[case] is_written: bool,
) {
    let is_behind = stored.as_ref().is_none_or(|it| it.version < Version(5));
    let mut node = Node::new();
    node.start_watching();
    let revision = Revision::from(revision);
    let out = node.handle_store_event(StoreEvent::Value {
        record: stored,
        revision,
        store_revision: Revision::from(9),
        is_writable,
    });
    let writes = out.iter().filter(|it| {
        matches!(it, Output::WriteBack { expected, record } if *expected == revision && record.version == Version(5))
    });
    assert_eq!(writes.count(), usize::from(is_written));
    let watches = out
        .iter()
        .any(|it| matches!(it, Output::WatchConfig { after } if *after == Revision::from(9)));
    assert_eq!(watches, !is_written);
    assert_eq!(node.machine.report().store_behind, u64::from(is_behind));
}

/// The stored record of `version` in an answer at this revision of the store.
fn stored(version: u64, store_revision: Revision) -> StoreEvent {
    StoreEvent::Value {
        record: Some(record(version, &config_text(version))),
        revision: store_revision,
        store_revision,
        is_writable: false,
    }
}

/// Time for which a watch stays open in these tests.
const WATCH_TIME: Duration = Duration::from_secs(4);

fn config_reads(out: &[Output]) -> usize {
    let reads = out.iter().filter(|it| matches!(it, Output::ReadConfig));
    reads.count()
}

fn watched(out: &[Output]) -> Option<Revision> {
    out.iter().find_map(|it| match it {
        Output::WatchConfig { after } => Some(*after),
        _ => None,
    })
}

/// Checks that a watch which ends in another history than it began in is followed by a read. Renewed at
/// its old revision, it never reports a change that the restored store wrote under that number or a
/// lower one, so that an accepted version was not in force until the next change.
#[rstest]
#[case::same_number(3, 100, 4, 100, true)]
#[case::lower_number(3, 100, 4, 95, true)]
#[case::higher_number(3, 100, 4, 120, true)]
#[case::no_era_lower_number(0, 100, 0, 95, true)]
#[case::same_era(3, 100, 3, 120, false)]
#[case::late_answer(3, 100, 2, 120, true)]
fn end_watch_restored(
    #[case] watched_era: u64,
    #[case] watched_number: u64,
    #[case] era: u64,
    #[case] number: u64,
    #[case] is_read: bool,
) {
    let mut node = Node::new();
    node.start_watching();
    let base = Revision::new(Era(watched_era), watched_number);
    let out = node.handle_store_event(stored(5, base));
    assert_eq!(watched(&out), Some(base));
    node.now = node.now + WATCH_TIME;
    let store_revision = Revision::new(Era(era), number);
    let mut out = node.handle_store_event(StoreEvent::Unchanged { store_revision });
    // Only an answer that was overtaken is followed by the backoff.
    let delay = if era < watched_era { 500 } else { 0 };
    out.extend(node.wake(Duration::from_millis(delay)));
    assert_eq!(
        (config_reads(&out), watched(&out).is_some()),
        (usize::from(is_read), !is_read)
    );
    if is_read && era >= watched_era {
        let out = node.handle_store_event(stored(6, store_revision));
        assert_eq!(watched(&out), Some(store_revision));
        assert_eq!(
            (node.version(), node.machine.report().store_restores),
            (6, 1)
        );
    }
}

/// Checks that a node notices each of two restores, and that an answer of an earlier era which arrives
/// late neither counts as one nor is watched from.
#[rstest]
fn end_watch_restored_twice() {
    let mut node = Node::new();
    node.start_watching();
    for (era, version) in [(1, 5), (2, 6), (3, 7)] {
        let store_revision = Revision::new(Era(era), 10);
        let out = node.handle_store_event(stored(version, store_revision));
        assert_eq!(
            (watched(&out), node.version()),
            (Some(store_revision), version)
        );
        node.now = node.now + WATCH_TIME;
        let unchanged = StoreEvent::Unchanged {
            store_revision: Revision::new(Era(era + 1), 10),
        };
        node.handle_store_event(unchanged);
        assert_eq!(config_reads(&node.wake(Duration::ZERO)), 1);
    }
    assert_eq!(node.machine.report().store_restores, 3);
    let out = node.handle_store_event(stored(8, Revision::new(Era(1), 90)));
    assert_eq!((watched(&out), node.version()), (None, 8));
    assert_eq!(config_reads(&node.wake(Duration::from_secs(1))), 1);
    assert_eq!(node.machine.report().store_restores, 3);
}

/// Checks that an answer about contacts which shows a restore ends the open watch, which would otherwise
/// wait at a revision of the lost history for its whole time.
#[rstest]
#[case::restored(2, 1)]
#[case::same_era(1, 0)]
#[case::late_answer(0, 0)]
fn read_contacts_restored(#[case] era: u64, #[case] expected_reads: usize) {
    let mut node = Node::new();
    node.start_watching();
    node.handle_store_event(stored(5, Revision::new(Era(1), 10)));
    let mut out = Vec::new();
    let event = ContactsEvent::Value {
        addresses: vec![peer_address(1)],
        revision: Revision::new(Era(era), 7),
    };
    let table_and_domain = (&member_table(1), &Domain::new("apapa"));
    node.machine.handle_contacts_event(
        node.now,
        event,
        table_and_domain,
        &mut node.random,
        &mut out,
    );
    let cancels = out
        .iter()
        .filter(|it| matches!(it, Output::CancelConfigCall));
    assert_eq!(cancels.count(), expected_reads);
    assert_eq!(config_reads(&node.wake(Duration::ZERO)), expected_reads);
}

/// Checks that contacts which a restored store has lost are written again soon, whichever answer shows the
/// restore. They stayed lost for the interval between two reads, 30 s or more, in which a node that
/// started found no other node.
#[rstest]
#[case::seen_by_watch(false, false)]
#[case::seen_by_late_answer(true, false)]
#[case::seen_by_write(true, true)]
fn write_contacts_restored(#[case] seen_by_contacts: bool, #[case] write_in_flight: bool) {
    let mut node = Node::new();
    let (member_table, domain) = (member_table(3), Domain::new("apapa"));
    let view = (&member_table, &domain);
    let hosts = [1, 2, 3].map(peer_address).to_vec();
    let (old, new) = (Era(1), Era(2));
    node.start_watching();
    node.handle_store_event(stored(5, Revision::new(old, 10)));
    let listed = |addresses: &[SocketAddr], era, number| ContactsEvent::Value {
        addresses: addresses.to_vec(),
        revision: Revision::new(era, number),
    };
    let handle = |node: &mut Node, event| {
        let mut out = Vec::new();
        let (now, random) = (node.now, &mut node.random);
        node.machine
            .handle_contacts_event(now, event, view, random, &mut out);
        out
    };
    // The first read finds no contacts, so the node writes them.
    let mut out = handle(&mut node, listed(&[], old, 0));
    let has_write = |out: &[Output]| {
        out.iter()
            .any(|it| matches!(it, Output::WriteContacts { .. }))
    };
    assert!(has_write(&out));
    if !write_in_flight {
        handle(&mut node, ContactsEvent::Written { era: old });
        // The wait for the next read spans several lengths of a watch.
        node.now = node.now + WATCH_TIME;
    }
    if seen_by_contacts {
        out = handle(&mut node, ContactsEvent::Written { era: new });
    } else {
        let store_revision = Revision::new(new, 10);
        out = node.handle_store_event(StoreEvent::Unchanged { store_revision });
    }
    let restored_at = node.now;
    while !has_write(&out) {
        let calls = std::mem::take(&mut out);
        for call in calls {
            out.extend(match call {
                Output::ReadConfig => node.handle_store_event(stored(5, Revision::new(new, 10))),
                Output::ReadContacts { .. } => handle(&mut node, listed(&[], new, 0)),
                _ => continue,
            });
        }
        if has_write(&out) {
            break;
        }
        out.extend(node.wake(Duration::from_millis(100)));
        let elapsed = node.now.since(restored_at);
        assert!(elapsed <= Duration::from_secs(4), "no write of contacts");
    }
    let written = out.iter().find_map(|it| match it {
        Output::WriteContacts {
            expected,
            addresses,
        } => Some((*expected, addresses.clone())),
        _ => None,
    });
    let (expected, mut addresses) = written.expect("contacts are written");
    addresses.sort_unstable();
    assert_eq!((expected, addresses), (Revision::new(new, 0), hosts));
}

/// Checks that a node limits its calls to a store whose answers alternate between two eras.
#[rstest]
fn limit_store_calls_eras() {
    let mut node = Node::new();
    let mut calls = 0;
    let mut out = node.start_watching();
    for _ in 0..6_000 {
        for output in std::mem::take(&mut out) {
            let store_revision = Revision::new(Era(1 + calls % 2), calls);
            let event = match output {
                Output::ReadConfig => stored(5, store_revision),
                Output::WatchConfig { .. } => StoreEvent::Unchanged { store_revision },
                _ => continue,
            };
            calls += 1;
            out.extend(node.handle_store_event(event));
        }
        out.extend(node.wake(Duration::from_millis(10)));
    }
    assert!(calls <= 64, "{calls} calls in 60 s");
    assert_eq!(node.machine.report().store_restores, 1);
}

/// Checks that a node limits its calls to a store that fails or reports changes all the time, and
/// doesn't spend all calls on reads but also watches.
#[rstest]
#[case::fails(true)]
#[case::changes_constantly(false)]
fn limit_store_calls(#[case] fails: bool) {
    let mut node = Node::new();
    let (mut calls, mut watches) = (0, 0);
    let mut out = node.start_watching();
    for _ in 0..6_000 {
        for output in std::mem::take(&mut out) {
            let event = match output {
                Output::ReadConfig
                | Output::ReadConfigChanges { .. }
                | Output::WatchConfig { .. }
                    if fails =>
                {
                    StoreEvent::Failed
                }
                Output::ReadConfig | Output::WatchConfig { .. } => StoreEvent::Value {
                    record: Some(record(5, &config_text(5))),
                    revision: Revision::from(1),
                    store_revision: Revision::from(1),
                    is_writable: true,
                },
                _ => continue,
            };
            calls += 1;
            watches += usize::from(matches!(output, Output::WatchConfig { .. }));
            out.extend(node.handle_store_event(event));
        }
        out.extend(node.wake(Duration::from_millis(10)));
    }
    assert!(calls <= 64, "{calls} calls in 60 s");
    assert!(fails || watches > 20, "{watches} watches");
}

fn member_table(live: u8) -> MemberTable {
    let mut member_table = MemberTable::default();
    for host in 1..=live {
        let address = peer_address(host);
        member_table.merge(Member {
            id: NodeId(host.into()),
            addresses: ListenAddresses {
                peer: address,
                requests: address,
                admin: address,
            },
            domain: Domain::new("apapa"),
            incarnation: Incarnation(1),
            status: Status::Alive,
            stage: Stage::Ready,
            upstream: None,
        });
    }
    member_table
}

/// Checks that contacts are only written if they need a change, and without dead members.
#[rstest]
#[case::complete(&[1, 2, 3], 3, [None, None])]
#[case::incomplete(&[1, 2], 3, [Some(3), Some(3)])]
#[case::many_members(&[], 20, [Some(8), Some(8)])]
#[case::dead_listed_twice(&[1, 2, 3, 99], 3, [None, Some(3)])]
#[case::new_listed_alone(&[98], 3, [Some(4), Some(3)])]
fn update_contacts(
    #[case] listed: &[u8],
    #[case] live: u8,
    #[case] written_sizes: [Option<usize>; 2],
) {
    let mut node = Node::new();
    let (member_table, domain) = (member_table(live), Domain::new("apapa"));
    node.start_watching();
    for expected in written_sizes {
        let mut out = Vec::new();
        let addresses = listed.iter().map(|host| peer_address(*host)).collect();
        let event = ContactsEvent::Value {
            addresses,
            revision: Revision::from(2),
        };
        node.machine.handle_contacts_event(
            node.now,
            event,
            (&member_table, &domain),
            &mut node.random,
            &mut out,
        );
        let write = out.iter().find_map(|it| match it {
            Output::WriteContacts { addresses, .. } => Some(addresses),
            _ => None,
        });
        assert_eq!(write.map(Vec::len), expected);
        assert!(write.is_none_or(|it| !it.contains(&peer_address(99))));
        let due = node.machine.next_wake().unwrap_or_default();
        node.wake(node.now.until(due).min(Duration::from_secs(4)));
        node.wake(Duration::from_secs(25));
        node.wake(Duration::from_secs(25));
    }
}

/// Checks that previous texts are kept within the memory limit, and that a node one version behind
/// gets a delta even of a large text.
#[rstest]
#[case::small(100, 16)]
#[case::large(280_000, 2)]
#[case::largest(700_000, 1)]
fn respond_with_delta(#[case] bytes: usize, #[case] kept: u64) {
    let mut node = Node::new();
    let large_text = |salt| config_text(salt) + "#" + &"x".repeat(bytes) + "\n";
    let last_version = 30;
    for version in 6..=last_version {
        node.receive_response(1, PullResponse::Full(record(version, &large_text(version))));
    }
    let with_delta = (6..last_version).filter(|version| {
        let have = config_id(&record(*version, &large_text(*version)));
        matches!(
            node.machine.respond_to_pull(have),
            PullResponse::Delta { .. }
        )
    });
    assert_eq!(
        with_delta.collect::<Vec<_>>(),
        (last_version - kept..last_version).collect::<Vec<_>>()
    );
}

/// Checks that a node reads the contacts of every failure domain without a known live node, but at
/// most one of them per read, so that the start of many nodes doesn't read all domains at each
/// node.
#[rstest]
fn read_contacts_missing_domain() {
    let mut node = Node::new();
    let domains = ["apapa", "ikeja", "lekki"].map(Domain::new);
    node.machine.set_domains(domains.to_vec());
    node.start_watching();
    let (member_table, own_domain) = (member_table(3), Domain::new("apapa"));
    let (mut reads, mut requested_domains) = (0, Vec::new());
    for _ in 0..60 {
        for output in node.wake(Duration::from_millis(500)) {
            let Output::ReadContacts { other } = output else {
                continue;
            };
            reads += 1;
            requested_domains.extend(other);
            let event = ContactsEvent::Value {
                addresses: vec![peer_address(1), peer_address(2), peer_address(3)],
                revision: Revision::from(2),
            };
            let table_and_domain = (&member_table, &own_domain);
            node.machine.handle_contacts_event(
                node.now,
                event,
                table_and_domain,
                &mut node.random,
                &mut Vec::new(),
            );
        }
    }
    assert!(
        reads >= 3 && requested_domains.len() <= reads,
        "{reads} {requested_domains:?}"
    );
    requested_domains.retain(|domain| *domain != own_domain);
    requested_domains.sort_unstable();
    requested_domains.dedup();
    assert_eq!(requested_domains, domains[1..]);
}

/// Checks that a watch goes on from the revision up to which it saw no change. Renewed at the revision of
/// the read, it leaves the history that the store keeps, gets 410, and the node has no watch until the
/// next read.
#[rstest]
fn continue_watch_unchanged() {
    let mut node = Node::new();
    node.start_watching();
    node.handle_store_event(stored(5, Revision::new(Era(3), 100)));
    for number in [120, 120, 150] {
        node.now = node.now + WATCH_TIME;
        let store_revision = Revision::new(Era(3), number);
        let out = node.handle_store_event(StoreEvent::Unchanged { store_revision });
        assert_eq!(watched(&out), Some(store_revision));
    }
}

/// Checks that contacts which were read before a restore are not written on. Their revision is of the lost
/// history, and the restored store may have given the number out again for another list.
#[rstest]
#[case::late_answer(1, false)]
#[case::newest_era(2, true)]
fn write_contacts_late_answer(#[case] era: u64, #[case] is_written: bool) {
    let mut node = Node::new();
    node.start_watching();
    node.handle_store_event(stored(5, Revision::new(Era(2), 10)));
    let event = ContactsEvent::Value {
        addresses: Vec::new(),
        revision: Revision::new(Era(era), 7),
    };
    let mut out = Vec::new();
    node.machine.handle_contacts_event(
        node.now,
        event,
        (&member_table(3), &Domain::new("apapa")),
        &mut node.random,
        &mut out,
    );
    let writes = out
        .iter()
        .any(|it| matches!(it, Output::WriteContacts { .. }));
    assert_eq!(writes, is_written);
}

/// Answer of the store to the call that follows a failed watch.
#[derive(Clone, Copy, Debug)]
enum Resumption {
    Unchanged(Revision),
    Changed(Revision),
    Failed,
    HistoryUnavailable,
}

/// Checks that after a failed watch only what it has missed is read, and the whole value only where the store
/// cannot say that. A value of a megabyte was read again after each cut watch, so that a node with a slow link was
/// over a second behind when the next version was accepted.
#[rstest]
#[case::unchanged(Resumption::Unchanged(Revision::new(Era(1), 12)), 0, Some(12))]
#[case::changed(Resumption::Changed(Revision::new(Era(1), 12)), 0, Some(12))]
#[case::restored(Resumption::Unchanged(Revision::new(Era(2), 12)), 1, None)]
#[case::fails_again(Resumption::Failed, 1, None)]
#[case::compacted(Resumption::HistoryUnavailable, 1, None)]
fn fail_watch_then(
    #[case] resumption: Resumption,
    #[case] expected_reads: usize,
    #[case] expected_watch: Option<u64>,
) {
    let base = Revision::new(Era(1), 10);
    let mut node = Node::new();
    node.start_watching();
    assert_eq!(
        watched(&node.handle_store_event(stored(5, base))),
        Some(base)
    );
    node.handle_store_event(StoreEvent::Failed);
    let out = node.wake(Duration::from_millis(500));
    let resumed_after = out.iter().find_map(|it| match it {
        Output::ReadConfigChanges { after } => Some(*after),
        _ => None,
    });
    assert_eq!((resumed_after, config_reads(&out)), (Some(base), 0));
    let mut out = node.handle_store_event(match resumption {
        Resumption::Unchanged(store_revision) => StoreEvent::Unchanged { store_revision },
        Resumption::Changed(revision) => stored(6, revision),
        Resumption::Failed => StoreEvent::Failed,
        Resumption::HistoryUnavailable => StoreEvent::HistoryUnavailable,
    });
    out.extend(node.wake(Duration::from_secs(1)));
    assert_eq!(config_reads(&out), expected_reads);
    assert_eq!(watched(&out).map(|it| it.number), expected_watch);
}

/// Checks that a watch whose history is gone, or whose answer is too large, is followed by a read.
#[rstest]
fn fail_watch_history_unavailable() {
    let mut node = Node::new();
    node.start_watching();
    node.handle_store_event(stored(5, Revision::from(10)));
    let mut out = node.handle_store_event(StoreEvent::HistoryUnavailable);
    out.extend(node.wake(Duration::from_millis(500)));
    assert_eq!(config_reads(&out), 1);
}

/// Checks that a failed read is followed by a read, also where a watch was made before: its revision may be of a
/// history that the store no longer has.
#[rstest]
fn fail_read_after_watch() {
    let mut node = Node::new();
    node.start_watching();
    node.handle_store_event(stored(5, Revision::new(Era(1), 10)));
    let store_revision = Revision::new(Era(2), 10);
    node.handle_store_event(StoreEvent::Unchanged { store_revision });
    assert_eq!(config_reads(&node.wake(Duration::ZERO)), 1);
    node.handle_store_event(StoreEvent::Failed);
    // The budget of calls is spent by now.
    assert_eq!(config_reads(&node.wake(Duration::from_secs(2))), 1);
}
