//! An owner's process with its fake upstream.

use std::net::SocketAddr;
use std::time::Duration;

use crate::Event;
use crate::GOSSIP;
use crate::World;
use crate::build;
use crate::message::Message;
use crate::plan::Fault;
use crate::plan::Plan;
use crate::plan::Plant;
use crate::plan::exponential;
use crate::sorted::Sorted;
use errors::Reason;
use errors::Verdict;
use ids::NodeId;
use ids::RequestId;

use kernel::Random as _;
use kernel::StateMachine as _;
use kernel::Time;
use kernel::random::SeededRandom;
use member::Stage;
use traffic::Refusal;
use traffic::entry::AttemptReport;
use traffic::owner;
use traffic::owner::Effect;
use traffic::owner::IncomingRequest;
use traffic::owner::Input;

/// A request at an owner, as its connection's task knows it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Task {
    pub(crate) shell: usize,
    pub(crate) offer: IncomingRequest,
}

pub(crate) struct Node {
    pub(crate) at: usize,
    pub(crate) id: NodeId,
    pub(crate) address: SocketAddr,
    pub(crate) stage: Stage,
    pub(crate) machine: owner::Machine,
    pub(crate) paused: bool,
    pub(crate) gone: bool,
    pub(crate) held: Vec<Input>,
    pub(crate) tasks: Sorted<u64, Task>,
    /// Queries by tag: call at the entry and attempt.
    pub(crate) queries: Sorted<u64, (usize, u32)>,
    pub(crate) stored: Vec<RequestId>,
    random: SeededRandom,
    next_tag: u64,
    wake_at: Option<Time>,
    /// The owner's clock reads this much more than that of the run.
    offset: Duration,
}

impl Node {
    pub(crate) fn new(at: usize, process: u64, plan: &Plan, now: Time) -> Self {
        let id = NodeId(1 + at as u64 + 10 * process);
        let admission = build("admission", &policy::ADMISSION_PLUGINS, plan.admission);
        let mut node = Self {
            at,
            id,
            address: SocketAddr::from(([127, 0, 0, 1], 1_000 + at as u16)),
            stage: Stage::Ready,
            machine: owner::Machine::new(id, admission, owner::UpstreamEnd::Leave),
            paused: false,
            gone: false,
            held: Vec::new(),
            tasks: Sorted::default(),
            queries: Sorted::default(),
            stored: Vec::new(),
            random: SeededRandom::new(plan.seed + 10 + id.0),
            next_tag: 1,
            wake_at: None,
            offset: Duration::from_secs(1_000 * id.0),
        };
        let input = Input::UpstreamAnnounced {
            stage: Stage::Ready,
            slots: plan.slots,
        };
        let time = node.clock(now);
        node.machine
            .step(time, input, &mut node.random, &mut Vec::new());
        node
    }

    pub(crate) fn clock(&self, now: Time) -> Time {
        now + self.offset
    }

    pub(crate) fn tag(&mut self) -> u64 {
        self.next_tag += 1;
        self.next_tag
    }
}

impl World {
    pub(crate) fn node_at(&self, address: SocketAddr) -> Option<usize> {
        self.nodes
            .iter()
            .position(|node| node.address == address && !node.gone)
    }

    fn find_node(&self, id: NodeId) -> Option<usize> {
        self.nodes
            .iter()
            .position(|node| node.id == id && !node.gone)
    }

    pub(crate) fn step_owner(&mut self, at: usize, input: Input) {
        let node = &mut self.nodes[at];
        if node.paused {
            return node.held.push(input);
        }
        let mut effects = Vec::new();
        let now = node.clock(self.now);
        node.machine
            .step(now, input, &mut node.random, &mut effects);
        self.carry_out_owner(at, effects);
    }

    pub(crate) fn wake_owner(&mut self, at: usize) {
        let node = &mut self.nodes[at];
        node.wake_at = None;
        if node.paused || node.gone {
            return;
        }
        let mut effects = Vec::new();
        let now = node.clock(self.now);
        node.machine.wake(now, &mut node.random, &mut effects);
        self.carry_out_owner(at, effects);
    }

    fn carry_out_owner(&mut self, at: usize, effects: Vec<Effect>) {
        for effect in effects {
            self.note(&effect);
            match effect {
                Effect::Start { tag } => self.start(at, tag),
                Effect::Refuse { tag, refusal } => self.refused(at, tag, refusal),
                Effect::Abort { tag } => self.finish(at, tag, Verdict::MayHaveRun, false),
                Effect::ReportOutcome { tag, outcome } => {
                    let query = self.nodes[at].queries.remove(&tag);
                    if let Some((shell, attempt)) = query {
                        let id = self.shells[shell].id;
                        let node = self.nodes[at].id;
                        self.history.told(node, id, attempt, outcome);
                        self.send(Message::Tell {
                            shell,
                            attempt,
                            outcome,
                        });
                    }
                }
                Effect::Drained => self.exit(at),
            }
        }
        self.schedule_wake(at);
    }

    fn schedule_wake(&mut self, at: usize) {
        // Only work under way is driven to its end; an idle ledger would keep the run alive.
        let node = &mut self.nodes[at];
        let due = node.machine.next_wake().filter(|_| !node.tasks.is_empty());
        let Some(due) = due else {
            return;
        };
        let due = Time(due.0.saturating_sub(node.offset.as_micros() as u64)).max(self.now)
            + Duration::from_micros(1);
        if node.wake_at.is_none_or(|at| due < at) {
            node.wake_at = Some(due);
            let after = self.now.until(due);
            self.schedule(after, Event::OwnerWake(at));
        }
    }

    fn start(&mut self, at: usize, tag: u64) {
        let node = &mut self.nodes[at];
        let id = node.id;
        let Some(task) = node.tasks.get(&tag).copied() else {
            return;
        };
        let (least, chance) = self.plan.service;
        let length = self.plan.lengths[self.history.calls[task.shell].route];
        let time = (least + exponential(&mut node.random, chance)) * length;
        if node.random.below(1_000) < self.plan.shedding {
            return self.finish(at, tag, Verdict::NotRun, true);
        }
        self.history.ran(self.now, id, &task.offer);
        if self.plan.plant == Some(Plant::FalseNotRun) && task.offer.id.0 % 50 == 7 {
            let refusal = Refusal {
                reason: Reason::QueueFull,
                verdict: Verdict::NotRun,
                retry_after: Duration::ZERO,
            };
            self.answer_refusal(at, task, refusal);
        }
        self.schedule(time, Event::UpstreamDone(id, tag));
    }

    fn refused(&mut self, at: usize, tag: u64, refusal: Refusal) {
        if let Some(task) = self.nodes[at].tasks.remove(&tag) {
            self.history.refused(&self.nodes[at], &task, refusal);
            self.answer_refusal(at, task, refusal);
        }
    }

    fn answer_refusal(&mut self, at: usize, task: Task, refusal: Refusal) {
        if refusal.verdict == Verdict::NotRun {
            self.history
                .claimed(self.nodes[at].id, task.offer.id, task.offer.attempt);
        }
        let report = AttemptReport {
            verdict: refusal.verdict,
            reason: Some(refusal.reason),
            retry_after: refusal.retry_after,
            load: Some(self.nodes[at].machine.load()),
            upstream_failed: false,
        };
        self.answer(task, report, None);
    }

    fn answer(&mut self, task: Task, report: AttemptReport, payload: Option<RequestId>) {
        self.send(Message::Answer {
            shell: task.shell,
            attempt: task.offer.attempt,
            report,
            payload,
        });
    }

    pub(crate) fn upstream_done(&mut self, id: NodeId, tag: u64) {
        let Some(at) = self.find_node(id) else {
            return;
        };
        let broken = self.nodes[at].random.below(1_000) < self.plan.breaking;
        let verdict = if broken {
            Verdict::MayHaveRun
        } else {
            Verdict::Ran
        };
        self.finish(at, tag, verdict, false);
    }

    fn finish(&mut self, at: usize, tag: u64, verdict: Verdict, shed: bool) {
        let Some(task) = self.nodes[at].tasks.remove(&tag) else {
            return;
        };
        let stored = verdict == Verdict::Ran && !task.offer.idempotent;
        if stored {
            self.nodes[at].stored.push(task.offer.id);
        }
        let input = Input::Finished {
            tag,
            verdict,
            shed,
            stored,
        };
        // The answer leaves before the next request starts.
        let reason = match verdict {
            Verdict::Ran => None,
            Verdict::NotRun => Some(Reason::UpstreamRefused),
            Verdict::MayHaveRun => Some(Reason::ConnectionBroken),
        };
        let report = AttemptReport {
            verdict,
            reason,
            retry_after: Duration::ZERO,
            load: Some(self.nodes[at].machine.load()),
            upstream_failed: false,
        };
        if verdict == Verdict::NotRun {
            self.history
                .claimed(self.nodes[at].id, task.offer.id, task.offer.attempt);
        }
        self.answer(task, report, reason.is_none().then_some(task.offer.id));
        self.step_owner(at, input);
    }

    fn exit(&mut self, at: usize) {
        self.history.exited(&self.nodes[at]);
        self.nodes[at].gone = true;
        self.nodes[at].stage = Stage::Gone;
        self.schedule(GOSSIP, Event::Publish);
    }

    pub(crate) fn resume(&mut self, at: usize) {
        self.nodes[at].paused = false;
        for input in std::mem::take(&mut self.nodes[at].held) {
            self.step_owner(at, input);
        }
        self.wake_owner(at);
    }

    pub(crate) fn break_owner(&mut self, at: usize, fault: &Fault) {
        match fault {
            Fault::Replaced => {
                let process = self.nodes[at].id.0 / 10 + 1;
                self.nodes[at] = Node::new(at, process, &self.plan, self.now);
                self.schedule(GOSSIP, Event::Publish);
            }
            Fault::Paused(time) => {
                self.nodes[at].paused = true;
                self.schedule(*time, Event::Resume(at));
            }
            Fault::Drained => {
                self.nodes[at].stage = Stage::Draining;
                self.history.drained(self.now, &self.nodes[at]);
                match self.plan.plant {
                    Some(Plant::IgnoreDrain) => {}
                    Some(Plant::ExitEarly) => self.exit(at),
                    _ => self.step_owner(at, Input::Drain),
                }
                self.schedule(GOSSIP, Event::Publish);
            }
            Fault::Lost | Fault::Duplicate | Fault::Late | Fault::Crossed => {}
        }
    }
}
