//! Tests of how nodes learn which requests crash upstreams.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use rstest::rstest;
use support::new_member;

use control::Effect;
use control::Input;
use control::Machine;
use ids::Fingerprint;
use ids::NodeId;

use kernel::Random as _;
use kernel::StateMachine as _;
use kernel::Time;
use kernel::random::SeededRandom;
use member::Parameters;

const DEADLY: Fingerprint = Fingerprint(7);
/// Delay of each datagram and call between two nodes.
const DELAY: Duration = Duration::from_millis(3);

/// Nodes that exchange datagrams and control calls.
struct Fleet {
    machines: Vec<Machine>,
    random: SeededRandom,
    now: Time,
    /// Inputs under way, with their arrival and receiver.
    in_flight: Vec<(Time, usize, Input)>,
    /// Percentage of the datagrams that are lost.
    loss_percent: usize,
    /// Sync requests under way from this node to the responder.
    last_call: u64,
    calls: Vec<(u64, usize, usize)>,
    /// Whether each node held the request in the topology that it published last.
    holds: Vec<bool>,
    reports_sent: usize,
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 31, 7, 1], 1_000 + index as u16))
}

impl Fleet {
    fn new(size: usize, loss_percent: usize) -> Self {
        let mut fleet = Self {
            machines: Vec::new(),
            random: SeededRandom::new(5),
            now: Time(0),
            in_flight: Vec::new(),
            loss_percent,
            last_call: 0,
            calls: Vec::new(),
            holds: Vec::new(),
            reports_sent: 0,
        };
        for _ in 0..size {
            fleet.start_node();
        }
        fleet
    }

    fn start_node(&mut self) {
        let index = self.machines.len();
        let own = new_member(NodeId(1 + index as u64 * 7_919), address(index));
        let contacts = vec![address(0), address(1)];
        let machine = Machine::new(own, contacts, Parameters::default(), self.now);
        self.machines.push(machine);
        self.holds.push(false);
    }

    fn input(&mut self, index: usize, input: Input) {
        let mut effects = Vec::new();
        self.machines[index].step(self.now, input, &mut self.random, &mut effects);
        self.execute(index, effects);
    }

    fn execute(&mut self, index: usize, effects: Vec<Effect>) {
        let from = address(index);
        for effect in effects {
            let (to, input) = match effect {
                Effect::Send { to, message } => (to, Input::Datagram { from, message }),
                Effect::SendCrashReports { to, reports } => {
                    self.reports_sent += 1;
                    (to, Input::CrashReports { from, reports })
                }
                Effect::Sync { to, request } => {
                    self.last_call += 1;
                    let call_id = control::CallId(self.last_call);
                    let target = usize::from(to.port()) - 1_000;
                    self.calls.push((self.last_call, index, target));
                    (to, Input::SyncRequested { call_id, request })
                }
                Effect::RespondToSync { call_id, response } => {
                    let position = self.calls.iter().position(|it| it.0 == call_id.0);
                    let (_, caller, _) = self.calls.remove(position.expect("the call is open"));
                    let response = Some(response);
                    (address(caller), Input::SyncCompleted { from, response })
                }
                Effect::Publish(topology) => {
                    self.holds[index] = topology.suspects.hold(self.now, DEADLY, 0).is_some();
                    continue;
                }
                _ => continue,
            };
            let is_datagram = matches!(input, Input::Datagram { .. } | Input::CrashReports { .. });
            let target = usize::from(to.port()) - 1_000;
            let lost = is_datagram && self.random.below(100) < self.loss_percent;
            if !lost && target < self.machines.len() {
                self.in_flight.push((self.now + DELAY, target, input));
            }
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + Duration::from_millis(1);
            let mut due = Vec::new();
            for (at, target, input) in std::mem::take(&mut self.in_flight) {
                if at <= self.now {
                    due.push((target, input));
                } else {
                    self.in_flight.push((at, target, input));
                }
            }
            for (target, input) in due {
                self.input(target, input);
            }
            for index in 0..self.machines.len() {
                let next_wake = self.machines[index].next_wake();
                if next_wake.is_some_and(|due| due <= self.now) {
                    let mut effects = Vec::new();
                    self.machines[index].wake(self.now, &mut self.random, &mut effects);
                    self.execute(index, effects);
                }
            }
        }
    }

    /// Crashes the upstream of a node while it runs the request.
    fn crash(&mut self, index: usize, number: u32) {
        self.input(
            index,
            Input::RequestCrashed {
                fingerprint: DEADLY,
                crash: number,
            },
        );
    }

    fn holding(&self) -> usize {
        self.holds.iter().filter(|holds| **holds).count()
    }
}

/// Guards against nodes that run a request which has crashed three upstreams elsewhere, because no news of it
/// has reached them.
#[rstest]
#[case::small(10, 0)]
#[case::lossy(10, 30)]
#[case::large(95, 0)]
#[case::large_lossy(95, 30)]
fn report_crash_spread(#[case] size: usize, #[case] loss_percent: usize) {
    let mut fleet = Fleet::new(size, loss_percent);
    fleet.run(Duration::from_secs(10));
    for index in 0..3 {
        fleet.crash(index, 1);
    }
    fleet.run(Duration::from_millis(100));
    let most = if loss_percent == 0 {
        size * 9 / 10
    } else {
        size / 2
    };
    assert!(fleet.holding() >= most, "{} after 100 ms", fleet.holding());
    fleet.run(Duration::from_secs(2));
    assert_eq!(fleet.holding(), size);
    // No flood: the repetition takes four datagrams a second of each node.
    let before = fleet.reports_sent;
    fleet.run(Duration::from_secs(10));
    let per_node = (fleet.reports_sent - before) as f64 / size as f64 / 10.0;
    assert!(per_node <= 6.0, "{per_node} datagrams a second");
}

/// Guards against a node that starts after the crashes and runs the request.
#[rstest]
fn report_crash_new_node() {
    let mut fleet = Fleet::new(10, 0);
    fleet.run(Duration::from_secs(10));
    for index in 0..3 {
        fleet.crash(index, 1);
    }
    fleet.run(Duration::from_secs(5));
    fleet.start_node();
    fleet.run(Duration::from_secs(3));
    assert_eq!(fleet.holding(), 11);
}

/// Guards against an innocent request that stays held anywhere after it has completed at one node.
#[rstest]
fn report_completion_spread() {
    let mut fleet = Fleet::new(20, 20);
    fleet.run(Duration::from_secs(10));
    for index in 0..2 {
        fleet.crash(index, 1);
    }
    fleet.run(Duration::from_millis(500));
    assert!(fleet.holding() >= 10);
    let fingerprint = DEADLY;
    fleet.input(7, Input::RequestCompleted { fingerprint });
    fleet.run(Duration::from_secs(3));
    assert_eq!(fleet.holding(), 0);
    // Without a suspect there is nothing to repeat.
    let before = fleet.reports_sent;
    fleet.run(Duration::from_secs(5));
    assert_eq!(fleet.reports_sent, before);
}
