//! Simulates each kind of fault at each step of a change and checks the guarantees over the history of
//! every node.

use std::sync::Arc;

use rstest::rstest;

use crate::driver::Fleet;
use crate::driver::SECOND;
use crate::driver::checker::HistoryEvent;
use crate::driver::checker::write_record;
use crate::driver::checker::write_text;
use control::Input;
use control::Topology;
use ids::Digest;
use member::Stage;

const NODES: usize = 24;
const SERVICES: usize = 6;

/// Step of a change of configuration, upstream or membership at which a fault starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    Watch,
    Read,
    Push,
    Pull,
    Compile,
    Apply,
    Announce,
    Drain,
    Leave,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    Loss,
    Delay,
    Corruption,
    Partition,
    Pause,
    Kill,
    Outage,
    LostResponses,
}

impl Fleet {
    /// Writes a new version to the store, as an accepted edit of an operator does.
    fn accept(&mut self, version: u64) {
        let text = write_text(self.services, version);
        let record = write_record(version, &text);
        let accepted = (self.now, record.version, record.digest);
        self.history.accepted.push(accepted);
        let deliveries = self.store.put(Some(record));
        self.deliver_all(deliveries);
    }

    /// Starts a fleet of `nodes` nodes with version 1 and runs it for 25 s, by when all nodes serve.
    fn start_serving(seed: u64, nodes: usize) -> Self {
        let mut fleet = Self::new(seed, 3, SERVICES);
        fleet.accept(1);
        (0..nodes).for_each(|_| {
            fleet.add(Some(Stage::Ready));
        });
        fleet.run(25.0);
        fleet
    }

    /// Records in the history that a fault starts or ends on all nodes.
    fn record_fault_on_all(&mut self, on: bool) {
        for index in 0..self.nodes.len() {
            let event = if on {
                HistoryEvent::Impaired
            } else {
                HistoryEvent::Restored
            };
            self.history.add(self.now, index, event);
        }
    }

    fn start_fault(&mut self, fault: Fault) {
        if fault != Fault::None {
            self.record_fault_on_all(true);
        }
        match fault {
            Fault::None => {}
            Fault::Loss => self.faults.loss = 250,
            Fault::Delay => self.faults.delay = 600_000,
            Fault::Corruption => self.faults.corrupt = 400,
            Fault::Partition => {
                let cut = self.nodes.iter_mut().filter(|it| it.domain == 0);
                cut.for_each(|it| it.partition = 1);
            }
            Fault::Pause => {
                (0..self.nodes.len() / 4).for_each(|index| self.pause(index * 3, 30 * SECOND))
            }
            Fault::Kill => (0..self.nodes.len() / 4).for_each(|index| self.kill(index * 3 + 1)),
            Fault::Outage => {
                let deliveries = self.store.start_outage();
                self.deliver_all(deliveries);
            }
            Fault::LostResponses => self.store.lost_responses = 500,
        }
    }

    fn end_fault(&mut self, fault: Fault) {
        self.faults = Default::default();
        self.store.down = false;
        self.store.lost_responses = 0;
        self.nodes.iter_mut().for_each(|it| it.partition = 0);
        for index in 0..self.nodes.len() {
            if !self.nodes[index].up && fault == Fault::Kill {
                self.restart(index);
            }
        }
        if fault != Fault::None {
            self.record_fault_on_all(false);
        }
    }

    /// Number of nodes that watch the store, by failure domain.
    fn count_watchers(&self) -> [usize; 3] {
        let watchers = self.store.watchers();
        [0, 1, 2].map(|domain| {
            watchers
                .iter()
                .filter(|index| self.nodes[**index].domain == domain)
                .count()
        })
    }

    fn perform_step(&mut self, step: Step) {
        match step {
            Step::Watch => self.accept(2),
            Step::Read => {
                for index in self.store.watchers() {
                    self.restart(index);
                }
                self.accept(2);
            }
            Step::Push | Step::Pull => {}
            Step::Compile => {
                let mut newer = write_record(2, &write_text(SERVICES, 2));
                newer.format = config::NEWEST_FORMAT + 1;
                let bad = write_record(3, "services: [{name: a, depends: [b]}]\n");
                for record in [newer, bad] {
                    let deliveries = self.store.put(Some(record));
                    self.deliver_all(deliveries);
                    self.run(1.0);
                }
                self.accept(4);
            }
            Step::Apply => {
                for version in 2..6 {
                    self.accept(version);
                    self.run(0.05);
                }
            }
            Step::Announce => {
                (0..4).for_each(|index| self.nodes[index].announced_stage = None);
                (4..8).for_each(|index| self.nodes[index].announced_stage = Some(Stage::Draining));
            }
            Step::Drain => self.drain(7),
            Step::Leave => {
                self.drain(7);
                self.run(0.5);
                self.input(7, Input::Drained);
                self.run(0.3);
                self.kill(7);
            }
        }
    }
}

/// Checks that no fault at any step violates P1, P2, P3, P7 or P9.
#[rstest]
fn check_fault(
    #[values(
        Step::Watch,
        Step::Read,
        Step::Push,
        Step::Pull,
        Step::Compile,
        Step::Apply,
        Step::Announce,
        Step::Drain,
        Step::Leave
    )]
    step: Step,
    #[values(
        Fault::None,
        Fault::Loss,
        Fault::Delay,
        Fault::Corruption,
        Fault::Partition,
        Fault::Pause,
        Fault::Kill,
        Fault::Outage,
        Fault::LostResponses
    )]
    fault: Fault,
) {
    run_case(step, fault, NODES);
}

/// Checks faults whose effects show only in larger fleets.
#[rstest]
#[case::cut_domain(Step::Apply, Fault::Partition)]
#[case::pause_many(Step::Leave, Fault::Pause)]
#[case::kill_many(Step::Pull, Fault::Kill)]
fn check_large_fleet(#[case] step: Step, #[case] fault: Fault) {
    run_case(step, fault, 200);
}

fn run_case(step: Step, fault: Fault, nodes: usize) {
    let mut fleet = Fleet::start_serving(step as u64 * 100 + fault as u64, nodes);
    // In these steps the fault starts after the change has left the store.
    let lead_seconds = match step {
        Step::Push => 0.003,
        Step::Pull => 0.006,
        _ => 0.0,
    };
    if lead_seconds > 0.0 {
        fleet.accept(2);
        fleet.run(lead_seconds);
    }
    fleet.start_fault(fault);
    fleet.perform_step(step);
    fleet.run(35.0);
    fleet.end_fault(fault);
    fleet.run(35.0);
    assert_eq!(fleet.history.violations, Vec::<String>::new());
    let up = fleet.nodes.iter().filter(|it| it.up);
    let live = up.clone().count();
    assert!(
        up.clone().all(|it| it.machine.table().live_count() == live),
        "tables differ"
    );
    // A watcher has no watch at the store for a short time between two calls, so several samples are
    // taken.
    let complete = (0..20).any(|_| {
        fleet.run(0.1);
        fleet.count_watchers() == [2, 2, 2]
    });
    assert!(complete, "watchers {:?}", fleet.count_watchers());
}

/// Checks P1 and P9 when the store returns from a copy while watches stay open, and the operator's next
/// version gets the revision that the lost one had. The watches do not report it, so only the next call
/// of a watcher can.
#[rstest]
fn restore_store(
    #[values(0.0, 0.001, 0.003, 0.01, 3.0)] elapsed: f64,
    #[values(false, true)] read_only_config: bool,
    #[values(1, 2)] restores: u64,
) {
    let mut fleet = Fleet::start_serving(21, NODES);
    fleet.store.read_only_config = read_only_config;
    let mut version = 1;
    for _ in 0..restores {
        let copy = fleet.store.copy();
        version += 1;
        fleet.accept(version);
        fleet.run(elapsed);
        fleet.store.restore(copy);
        version += 1;
        fleet.accept(version);
        fleet.run(2.0);
        let deliveries = fleet.store.expire_watches();
        fleet.deliver_all(deliveries);
        fleet.run(3.0);
    }
    fleet.run(20.0);
    assert_eq!(fleet.history.violations, Vec::<String>::new());
    let versions = fleet
        .nodes
        .iter()
        .map(|it| it.machine.config_id().version.0);
    assert!(versions.into_iter().all(|it| it == version));
}

/// Checks that the contacts of each failure domain are in the store again within the time of a change, after it
/// returned from a copy without them. A node that starts without them serves alone.
#[rstest]
fn restore_store_without_contacts() {
    let mut fleet = Fleet::start_serving(22, NODES);
    fleet.store.read_only_config = true;
    let mut copy = fleet.store.copy();
    copy.clear_contacts();
    fleet.store.restore(copy);
    fleet.run(2.0);
    let deliveries = fleet.store.expire_watches();
    fleet.deliver_all(deliveries);
    fleet.run(2.0);
    assert_eq!(fleet.store.contacts_domains(), 3);
    assert_eq!(fleet.history.violations, Vec::<String>::new());
}

/// Checks that a node which starts on a restored store, with neither contacts nor the newest version there,
/// gets the newest version once the others have written their contacts again. It serves the older one
/// until then, as it knows of no other node. A node that lists itself before the others have read the contacts
/// was alone there until their next read, 30 s or more later.
#[rstest]
#[case::start_at_restore(23, 0.0)]
#[case::start_before_reads(177, 1.6016)]
fn restore_store_new_node(#[case] seed: u64, #[case] elapsed: f64) {
    let mut fleet = Fleet::start_serving(seed, NODES);
    fleet.store.read_only_config = true;
    let mut copy = fleet.store.copy();
    copy.clear_contacts();
    fleet.accept(2);
    fleet.run(5.0);
    fleet.store.restore(copy);
    fleet.settings_contacts = false;
    fleet.run(elapsed);
    let index = fleet.add(Some(Stage::Ready));
    fleet.run(2.0 - elapsed);
    let deliveries = fleet.store.expire_watches();
    fleet.deliver_all(deliveries);
    // Nodes serve again within 15 s of a fault.
    fleet.run(13.0);
    let machine = &fleet.nodes[index].machine;
    assert_eq!(machine.config_id().version.0, 2);
    assert_eq!(machine.table().live_count(), NODES + 1);
}

/// Checks that a watcher writes the configuration back, once nodes may write it, also if the store returns from
/// the copy again while the writes are under way.
#[rstest]
fn restore_store_write_back(#[values(0.001, 0.003, 0.005)] elapsed: f64) {
    let mut fleet = Fleet::start_serving(24, NODES);
    let copy = fleet.store.copy();
    fleet.accept(2);
    fleet.run(5.0);
    fleet.store.restore(copy.clone());
    let deliveries = fleet.store.expire_watches();
    fleet.deliver_all(deliveries);
    fleet.run(elapsed);
    fleet.store.restore(copy);
    for _ in 0..2 {
        fleet.run(2.0);
        let deliveries = fleet.store.expire_watches();
        fleet.deliver_all(deliveries);
    }
    fleet.run(2.0);
    assert_eq!(fleet.store.version(), 2);
    assert_eq!(fleet.history.violations, Vec::<String>::new());
}

/// Checks that effects depend only on inputs, time and random numbers.
#[rstest]
fn replay_same_seed() {
    let run = || {
        let mut fleet = Fleet::new(7, 3, SERVICES);
        fleet.effect_hash = Some(Digest::default());
        fleet.accept(1);
        (0..NODES).for_each(|_| {
            fleet.add(Some(Stage::Ready));
        });
        fleet.faults.loss = 100;
        fleet.run(8.0);
        fleet.kill(3);
        fleet.accept(2);
        fleet.run(8.0);
        (fleet.effect_hash, fleet.counters.datagrams)
    };
    assert_eq!(run(), run());
}

/// Checks that live nodes are not declared dead: neither by a process that was paused for 30 s, nor
/// when a whole failure domain fails at once, nor when a partition heals.
#[rstest]
#[case::after_pause(Fault::Pause, 30.5, NODES)]
#[case::after_domain_loss(Fault::Kill, 0.0, NODES)]
#[case::after_large_domain_loss(Fault::Kill, 0.0, 150)]
#[case::after_partition(Fault::Partition, 40.0, NODES)]
#[case::after_large_partition(Fault::Partition, 35.0, 150)]
fn declare_no_false_death(#[case] fault: Fault, #[case] elapsed: f64, #[case] nodes: usize) {
    let mut fleet = Fleet::start_serving(11, nodes);
    let others: Vec<usize> = (0..nodes).filter(|index| index % 3 != 0).collect();
    if fault == Fault::Kill {
        (0..nodes / 3).for_each(|index| fleet.kill(index * 3));
    } else {
        fleet.start_fault(fault);
    }
    fleet.run(elapsed);
    if fault == Fault::Partition {
        fleet.end_fault(fault);
    }
    // After a pause, the paused nodes observe the others. Otherwise the others observe each other.
    for _ in 0..200 {
        fleet.run(0.1);
        for observer in fleet.nodes.iter().filter(|it| it.up) {
            let same_side =
                |index: &&usize| observer.domain != 0 || fault == Fault::Pause || **index == 0;
            for index in others.iter().filter(same_side) {
                let id = fleet.nodes[*index].machine.id();
                let live = observer
                    .machine
                    .table()
                    .get(id)
                    .is_some_and(|it| it.is_live());
                assert!(live, "node {index} is considered dead at {} us", fleet.now);
            }
        }
    }
}

/// Checks that [`History`] reports a violation of each guarantee that is added to it on purpose.
#[rstest]
#[case::older_version("P1", 1, ["q", "q"])]
#[case::other_endpoints("P2", 2, ["s0", "s1"])]
#[case::other_text("P3", 2, ["1002", "1003"])]
#[case::old_topology("P7", 0, ["", ""])]
#[case::missing_version("P9", 0, ["", ""])]
fn check_planted_violation(
    #[case] guarantee: &str,
    #[case] version: u64,
    #[case] swapped: [&str; 2],
) {
    let mut fleet = Fleet::start_serving(5, 6);
    fleet.accept(2);
    fleet.run(6.0);
    let before = fleet.nodes[4].topology.clone().unwrap();
    assert_eq!(fleet.history.violations, Vec::<String>::new());
    match guarantee {
        "P9" => fleet
            .history
            .accepted
            .push((fleet.now, ids::Version(3), Digest(3))),
        "P7" => fleet.drain(1),
        _ => {
            let text = write_text(SERVICES, version);
            let text = text
                .replace(swapped[0], "x")
                .replace(swapped[1], swapped[0]);
            let text = text.replace('x', swapped[1]);
            let snapshot = Arc::new(config::compile(&text, ids::Version(version)).unwrap());
            let mut topology = Topology::clone(&before);
            topology.snapshot = Some(snapshot);
            let event = HistoryEvent::Published(Arc::new(topology));
            fleet.history.add(fleet.now, 4, event);
        }
    }
    fleet.run(7.0);
    if guarantee == "P7" {
        fleet
            .history
            .add(fleet.now, 4, HistoryEvent::Published(before));
        fleet.run(1.0);
    }
    let violations = &fleet.history.violations;
    assert!(
        violations.iter().any(|it| it.starts_with(guarantee)),
        "{violations:?}"
    );
}
