//! Distribution at one node: pulls, refusals, the store and the contacts.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rstest::rstest;

use config::Delta;
use config::FORMAT;
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
use spread::Machine;
use spread::Output;
use spread::PullResponse;
use spread::Revision;
use spread::StoreEvent;

fn text(salt: u64) -> String {
    format!(
        "services:\n- name: planta\n  routes:\n  - {{method: GET, path: /hoy, rank: 1, deadline_ms: {salt}}}\n"
    )
}

fn record(version: u64, text: &str) -> Record {
    Record {
        version: Version(version),
        edit: 1,
        parent: Digest::default(),
        digest: Digest::of(text.as_bytes()),
        format: FORMAT,
        text: Arc::from(text),
    }
}

fn config_id(record: &Record) -> ConfigId {
    let (version, digest) = (record.version, record.digest);
    ConfigId { version, digest }
}

fn teller(host: u8) -> SocketAddr {
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
        node.offer(1, PullResponse::Full(record(5, &text(5))));
        node
    }

    fn receive_config_id(&mut self, host: u8, config_id: ConfigId) -> Vec<Output> {
        let mut out = Vec::new();
        self.machine
            .receive_config_id(self.now, teller(host), config_id, &mut out);
        out
    }

    fn offer(&mut self, host: u8, offer: impl Into<Option<PullResponse>>) -> Vec<Output> {
        let mut out = Vec::new();
        self.machine.receive_pull_response(
            self.now,
            teller(host),
            offer.into(),
            &mut self.random,
            &mut out,
        );
        out
    }

    fn store(&mut self, event: StoreEvent) -> Vec<Output> {
        let mut out = Vec::new();
        self.machine
            .receive_store_event(self.now, event, &mut self.random, &mut out);
        out
    }

    fn wake(&mut self, after: Duration) -> Vec<Output> {
        let mut out = Vec::new();
        self.now = self.now + after;
        self.machine.wake(self.now, &mut self.random, &mut out);
        out
    }

    fn watch(&mut self) -> Vec<Output> {
        self.machine.set_watcher(true, self.now, &mut Vec::new());
        self.wake(Duration::ZERO)
    }

    fn version(&self) -> u64 {
        self.machine.history().config_id().version.0
    }
}

fn pulls(out: &[Output]) -> Vec<(SocketAddr, ConfigId)> {
    let pull = |it: &Output| match it {
        Output::Pull { from, have } => Some((*from, *have)),
        _ => None,
    };
    out.iter().filter_map(pull).collect()
}

/// Guards against a pull that ends with the first node that cannot answer.
#[rstest]
#[case::no_answer(true)]
#[case::silent(false)]
fn pull_other_teller(#[case] answers: bool) {
    let mut node = Node::new();
    let newer = config_id(&record(6, &text(6)));
    assert_eq!(pulls(&node.receive_config_id(1, newer)).len(), 1);
    assert_eq!(pulls(&node.receive_config_id(2, newer)).len(), 0);
    if answers {
        node.offer(1, None);
    }
    let mut out = node.wake(Duration::from_millis(750));
    out.extend(node.wake(Duration::from_millis(60)));
    assert_eq!(pulls(&out)[0].0, teller(2));
    // The first answer is of use even now.
    node.offer(1, PullResponse::Full(record(6, &text(6))));
    assert_eq!(node.version(), 6);
}

/// Guards against a record that is refused in part, forgotten, or pulled again and again.
#[rstest]
#[case::newer_format(FORMAT + 1, text(6))]
#[case::does_not_compile(FORMAT, "services: [{name: a, depends: [b]}]\n".into())]
fn refuse_whole(#[case] format: u32, #[case] text: String) {
    let mut node = Node::new();
    let bad = Record {
        format,
        ..record(6, &text)
    };
    node.receive_config_id(1, config_id(&bad));
    let out = node.offer(1, PullResponse::Full(bad.clone()));
    assert!(out.iter().any(|it| matches!(
        it,
        Output::Refused {
            version: Version(6),
            ..
        }
    )));
    assert_eq!((node.version(), node.machine.report().refused), (5, 1));
    node.now = node.now + Duration::from_secs(5);
    assert_eq!(pulls(&node.receive_config_id(2, config_id(&bad))).len(), 0);
    node.offer(2, PullResponse::Full(bad));
    assert_eq!(node.machine.report().refused, 1);
}

/// Guards against a delta that fits no text and ends the pull, or is asked for forever.
#[rstest]
fn pull_whole_after_delta() {
    let mut node = Node::new();
    let newer = record(6, &text(6));
    let delta = Delta::from_texts("other\n", &newer.text);
    let offer = PullResponse::Delta {
        record: newer.clone(),
        delta,
    };
    node.receive_config_id(1, config_id(&newer));
    let asked = pulls(&node.offer(1, offer.clone()));
    assert_eq!(asked[0].1.digest, Digest::default());
    assert_eq!(pulls(&node.offer(1, offer)).len(), 0);
    node.offer(1, PullResponse::Full(newer));
    assert_eq!(node.version(), 6);
}

/// Guards against updates that are old, damaged, repeated or in conflict and yet change something.
#[rstest]
#[case::older(record(4, &text(4)), 0, 0)]
#[case::repeated(record(5, &text(5)), 0, 0)]
#[case::conflict(record(5, &text(9)), 0, 1)]
#[case::damaged(Record { text: Arc::from(text(9)), ..record(6, &text(6)) }, 1, 0)]
fn ignore_update(#[case] update: Record, #[case] corrupt: u64, #[case] conflicts: u64) {
    let mut node = Node::new();
    let before = node.machine.history().config_id();
    node.receive_config_id(3, config_id(&update));
    node.offer(3, PullResponse::Full(update.clone()));
    node.receive_config_id(4, config_id(&update));
    let report = node.machine.report();
    assert_eq!(node.machine.history().config_id(), before);
    assert_eq!((report.corrupt, report.conflicts), (corrupt, conflicts));
}

/// Guards against a store that stays behind the fleet, and a write over something unknown.
#[rstest]
#[case::older(Some(record(3, &text(3))), 7, true)]
#[case::missing(None, 0, true)]
#[case::same(Some(record(5, &text(5))), 7, false)]
#[case::newer(Some(record(8, &text(8))), 7, false)]
fn write_back(#[case] stored: Option<Record>, #[case] revision: u64, #[case] written: bool) {
    let mut node = Node::new();
    node.watch();
    let revision = Revision(revision);
    let out = node.store(StoreEvent::Value {
        record: stored,
        revision,
    });
    let writes = out.iter().filter(|it| {
        matches!(it, Output::WriteBack { expected, record } if *expected == revision && record.version == Version(5))
    });
    assert_eq!(writes.count(), usize::from(written));
    let watches = out
        .iter()
        .any(|it| matches!(it, Output::WatchConfig { after } if *after == revision));
    assert_eq!(watches, !written);
    assert_eq!(node.machine.report().store_behind, u64::from(written));
}

/// Guards against a node that calls a failing or flapping store without bound, or that spends all
/// its calls on reads and never watches.
#[rstest]
#[case::fails(true)]
#[case::flaps(false)]
fn bound_store_calls(#[case] fails: bool) {
    let mut node = Node::new();
    let (mut calls, mut watches) = (0, 0);
    let mut out = node.watch();
    for _ in 0..6_000 {
        for output in std::mem::take(&mut out) {
            let event = match output {
                Output::ReadConfig | Output::WatchConfig { .. } if fails => StoreEvent::Failed,
                Output::ReadConfig | Output::WatchConfig { .. } => StoreEvent::Value {
                    record: Some(record(5, &text(5))),
                    revision: Revision(1),
                },
                _ => continue,
            };
            calls += 1;
            watches += usize::from(matches!(output, Output::WatchConfig { .. }));
            out.extend(node.store(event));
        }
        out.extend(node.wake(Duration::from_millis(10)));
    }
    assert!(calls <= 64, "{calls} calls in 60 s");
    assert!(fails || watches > 20, "{watches} watches");
}

fn table(live: u8) -> MemberTable {
    let mut table = MemberTable::default();
    for host in 1..=live {
        let address = teller(host);
        table.merge(Member {
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
    table
}

/// Guards against contacts that are written without need, or with dead members.
#[rstest]
#[case::complete(&[1, 2, 3], 3, [None, None])]
#[case::short(&[1, 2], 3, [Some(3), Some(3)])]
#[case::many_members(&[], 20, [Some(8), Some(8)])]
#[case::dead_seen_twice(&[1, 2, 3, 99], 3, [None, Some(3)])]
fn keep_contacts(#[case] listed: &[u8], #[case] live: u8, #[case] written: [Option<usize>; 2]) {
    let mut node = Node::new();
    let (table, domain) = (table(live), Domain::new("apapa"));
    node.watch();
    for expected in written {
        let mut out = Vec::new();
        let addresses = listed.iter().map(|host| teller(*host)).collect();
        let event = ContactsEvent::Value {
            addresses,
            revision: Revision(2),
        };
        node.machine.receive_contacts_event(
            node.now,
            event,
            (&table, &domain),
            &mut node.random,
            &mut out,
        );
        let write = out.iter().find_map(|it| match it {
            Output::WriteContacts { addresses, .. } => Some(addresses),
            _ => None,
        });
        assert_eq!(write.map(Vec::len), expected);
        assert!(write.is_none_or(|it| !it.contains(&teller(99))));
        let due = node.machine.next_wake().unwrap_or_default();
        node.wake(node.now.until(due).min(Duration::from_secs(4)));
        node.wake(Duration::from_secs(25));
        node.wake(Duration::from_secs(25));
    }
}

/// Guards against old texts that take the memory of a node, and against a node one version behind
/// that gets a large text whole.
#[rstest]
#[case::small(100, 16)]
#[case::large(280_000, 2)]
#[case::largest(700_000, 1)]
fn offer_kept(#[case] bytes: usize, #[case] kept: u64) {
    let mut node = Node::new();
    let large = |salt| text(salt) + "#" + &"x".repeat(bytes) + "\n";
    let last = 30;
    for version in 6..=last {
        node.offer(1, PullResponse::Full(record(version, &large(version))));
    }
    let as_changes = (6..last).filter(|version| {
        let have = config_id(&record(*version, &large(*version)));
        matches!(
            node.machine.respond_to_pull(have),
            PullResponse::Delta { .. }
        )
    });
    assert_eq!(
        as_changes.collect::<Vec<_>>(),
        (last - kept..last).collect::<Vec<_>>()
    );
}

/// Guards against a start of many nodes that reads the contacts of all failure domains at each of them,
/// and against a node that never looks for a failure domain that it knows nobody of.
#[rstest]
fn read_missing_domain() {
    let mut node = Node::new();
    let domains = ["apapa", "ikeja", "lekki"].map(Domain::new);
    node.machine.set_domains(domains.to_vec());
    node.watch();
    let (table, own) = (table(3), Domain::new("apapa"));
    let (mut reads, mut asked) = (0, Vec::new());
    for _ in 0..60 {
        for output in node.wake(Duration::from_millis(500)) {
            let Output::ReadContacts { other } = output else {
                continue;
            };
            reads += 1;
            asked.extend(other);
            let event = ContactsEvent::Value {
                addresses: vec![teller(1), teller(2), teller(3)],
                revision: Revision(2),
            };
            let view = (&table, &own);
            node.machine.receive_contacts_event(
                node.now,
                event,
                view,
                &mut node.random,
                &mut Vec::new(),
            );
        }
    }
    assert!(reads >= 3 && asked.len() <= reads, "{reads} {asked:?}");
    asked.retain(|domain| *domain != own);
    asked.sort_unstable();
    asked.dedup();
    assert_eq!(asked, domains[1..]);
}
