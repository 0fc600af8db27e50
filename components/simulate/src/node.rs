//! Processes of the owners with their fake upstreams, and the execution of their effects.

use std::net::SocketAddr;
use std::time::Duration;

use crate::Event;
use crate::GOSSIP_DELAY;
use crate::Simulation;
use crate::build_plugin;
use crate::message::Message;
use crate::plan::Fault;
use crate::plan::Plan;
use crate::plan::PlantedViolation;
use crate::plan::sample_exponential;
use crate::sorted_map::SortedMap;
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

/// A request that an owner has received and that has not ended there.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingRequest {
    /// Index of the call at the entry.
    pub(crate) call_index: usize,
    pub(crate) incoming: IncomingRequest,
}

/// Process of an owner, with its fake upstream.
pub(crate) struct OwnerNode {
    /// Index of the owner; a process that replaces this one has the same index.
    pub(crate) index: usize,
    /// Identifier of the process.
    pub(crate) id: NodeId,
    /// Address for requests and control calls.
    pub(crate) address: SocketAddr,
    /// Stage that the upstream announces.
    pub(crate) stage: Stage,
    pub(crate) machine: owner::Machine,
    pub(crate) paused: bool,
    pub(crate) exited: bool,
    /// Inputs that arrived while the process was paused.
    pub(crate) pending_inputs: Vec<Input>,
    /// Requests that have not ended, by tag.
    pub(crate) pending_requests: SortedMap<u64, PendingRequest>,
    /// Outcome queries without an answer, by tag: index of the call at the entry and number of the
    /// attempt.
    pub(crate) queries: SortedMap<u64, (usize, u32)>,
    /// Requests whose responses are stored.
    pub(crate) stored_responses: Vec<RequestId>,
    random: SeededRandom,
    /// Tag that was assigned last.
    last_tag: u64,
    /// Time of the earliest scheduled wake-up.
    wake_at: Option<Time>,
    /// How far the owner's clock is ahead of the simulation's.
    clock_offset: Duration,
}

impl OwnerNode {
    /// Creates an owner whose upstream is ready. `process` counts its earlier processes.
    pub(crate) fn new(index: usize, process: u64, plan: &Plan, now: Time) -> Self {
        let id = NodeId(1 + index as u64 + 10 * process);
        let admission = build_plugin("admission", &policy::ADMISSION_PLUGINS, plan.admission);
        let mut node = Self {
            index,
            id,
            address: SocketAddr::from(([127, 0, 0, 1], 1_000 + index as u16)),
            stage: Stage::Ready,
            machine: owner::Machine::new(id, admission, owner::UpstreamEnd::Leave),
            paused: false,
            exited: false,
            pending_inputs: Vec::new(),
            pending_requests: SortedMap::default(),
            queries: SortedMap::default(),
            stored_responses: Vec::new(),
            random: SeededRandom::new(plan.seed + 10 + id.0),
            last_tag: 1,
            wake_at: None,
            clock_offset: Duration::from_secs(1_000 * id.0),
        };
        let input = Input::UpstreamAnnounced {
            stage: Stage::Ready,
            slots: plan.slots,
        };
        let time = node.local_time(now);
        node.machine
            .step(time, input, &mut node.random, &mut Vec::new());
        node
    }

    /// The time on the owner's clock.
    pub(crate) fn local_time(&self, now: Time) -> Time {
        now + self.clock_offset
    }

    /// Assigns the next tag.
    pub(crate) fn next_tag(&mut self) -> u64 {
        self.last_tag += 1;
        self.last_tag
    }
}

impl Simulation {
    /// Index of the owner whose process listens at the address.
    pub(crate) fn find_owner_by_address(&self, address: SocketAddr) -> Option<usize> {
        self.owners
            .iter()
            .position(|node| node.address == address && !node.exited)
    }

    /// Index of the owner whose current process has this identifier.
    fn find_owner_by_id(&self, id: NodeId) -> Option<usize> {
        self.owners
            .iter()
            .position(|node| node.id == id && !node.exited)
    }

    /// Passes an input to an owner's state machine, or keeps it while the process is paused.
    pub(crate) fn step_owner(&mut self, owner: usize, input: Input) {
        let node = &mut self.owners[owner];
        if node.paused {
            return node.pending_inputs.push(input);
        }
        let mut effects = Vec::new();
        let now = node.local_time(self.now);
        node.machine
            .step(now, input, &mut node.random, &mut effects);
        self.execute_owner_effects(owner, effects);
    }

    pub(crate) fn wake_owner(&mut self, owner: usize) {
        let node = &mut self.owners[owner];
        node.wake_at = None;
        if node.paused || node.exited {
            return;
        }
        let mut effects = Vec::new();
        let now = node.local_time(self.now);
        node.machine.wake(now, &mut node.random, &mut effects);
        self.execute_owner_effects(owner, effects);
    }

    fn execute_owner_effects(&mut self, owner: usize, effects: Vec<Effect>) {
        for effect in effects {
            self.update_trace_hash(&effect);
            match effect {
                Effect::Start { tag, .. } => self.start_request(owner, tag),
                Effect::Refuse { tag, refusal } => self.handle_refusal(owner, tag, refusal),
                Effect::Abort { tag } => {
                    self.finish_request(owner, tag, Verdict::MayHaveRun, false)
                }
                Effect::ReportOutcome { tag, outcome } => {
                    let query = self.owners[owner].queries.remove(&tag);
                    if let Some((call_index, attempt)) = query {
                        let id = self.entry_calls[call_index].id;
                        let node = self.owners[owner].id;
                        self.history.record_outcome(node, id, attempt, outcome);
                        self.send(Message::OutcomeReport {
                            call_index,
                            attempt,
                            outcome,
                        });
                    }
                }
                Effect::RateLimitReported(_) | Effect::RequestCrashed(_) => {}
                Effect::Drained => self.exit_owner(owner),
            }
        }
        self.schedule_wake(owner);
    }

    fn schedule_wake(&mut self, owner: usize) {
        // The owner is woken only while it has pending requests: the wake-ups for the expiry of its
        // ledger would prolong the simulation after the last call.
        let node = &mut self.owners[owner];
        let due = node
            .machine
            .next_wake()
            .filter(|_| !node.pending_requests.is_empty());
        let Some(due) = due else {
            return;
        };
        let due = Time(due.0.saturating_sub(node.clock_offset.as_micros() as u64)).max(self.now)
            + Duration::from_micros(1);
        if node.wake_at.is_none_or(|wake_at| due < wake_at) {
            node.wake_at = Some(due);
            let delay = self.now.until(due);
            self.schedule(delay, Event::OwnerWake(owner));
        }
    }

    /// Starts a request at the upstream, unless the upstream sheds it.
    fn start_request(&mut self, owner: usize, tag: u64) {
        let node = &mut self.owners[owner];
        let id = node.id;
        let Some(pending) = node.pending_requests.get(&tag).copied() else {
            return;
        };
        let (minimum, added_mean) = self.plan.service_time;
        let factor = self.plan.service_time_factors[self.history.calls[pending.call_index].route];
        let time = (minimum + sample_exponential(&mut node.random, added_mean)) * factor;
        if node.random.below(1_000) < self.plan.shed_per_mille {
            return self.finish_request(owner, tag, Verdict::NotRun, true);
        }
        self.history.record_run(self.now, id, &pending.incoming);
        if self.plan.planted_violation == Some(PlantedViolation::FalseNotRun)
            && pending.incoming.id.0 % 50 == 7
        {
            let refusal = Refusal {
                reason: Reason::QueueFull,
                verdict: Verdict::NotRun,
                retry_after: Duration::ZERO,
            };
            self.send_refusal(owner, pending, refusal);
        }
        self.schedule(time, Event::UpstreamCompletion(id, tag));
    }

    /// Removes a request that the owner has refused, and sends the refusal.
    fn handle_refusal(&mut self, owner: usize, tag: u64, refusal: Refusal) {
        if let Some(pending) = self.owners[owner].pending_requests.remove(&tag) {
            self.history
                .record_refusal(&self.owners[owner], &pending, refusal);
            self.send_refusal(owner, pending, refusal);
        }
    }

    fn send_refusal(&mut self, owner: usize, pending: PendingRequest, refusal: Refusal) {
        if refusal.verdict == Verdict::NotRun {
            self.history.record_not_run(
                self.owners[owner].id,
                pending.incoming.id,
                pending.incoming.attempt,
            );
        }
        let report = AttemptReport {
            verdict: refusal.verdict,
            reason: Some(refusal.reason),
            retry_after: refusal.retry_after,
            load: Some(self.owners[owner].machine.load(0)),
            rate_limit: None,
            upstream_failed: false,
        };
        self.send_response(pending, report, None);
    }

    fn send_response(
        &mut self,
        pending: PendingRequest,
        report: AttemptReport,
        payload: Option<RequestId>,
    ) {
        self.send(Message::Response {
            call_index: pending.call_index,
            attempt: pending.incoming.attempt,
            report,
            payload,
        });
    }

    /// Ends a request at the upstream: with a response, or by a break of the connection.
    pub(crate) fn handle_upstream_completion(&mut self, id: NodeId, tag: u64) {
        let Some(owner) = self.find_owner_by_id(id) else {
            return;
        };
        let broken = self.owners[owner].random.below(1_000) < self.plan.connection_break_per_mille;
        let verdict = if broken {
            Verdict::MayHaveRun
        } else {
            Verdict::Ran
        };
        self.finish_request(owner, tag, verdict, false);
    }

    /// Sends the result of a started request to the entry and passes it to the owner's state
    /// machine.
    fn finish_request(&mut self, owner: usize, tag: u64, verdict: Verdict, shed: bool) {
        let Some(pending) = self.owners[owner].pending_requests.remove(&tag) else {
            return;
        };
        let stored = verdict == Verdict::Ran && !pending.incoming.idempotent;
        if stored {
            self.owners[owner]
                .stored_responses
                .push(pending.incoming.id);
        }
        let input = Input::Finished {
            tag,
            verdict,
            shed,
            stored,
        };
        // The response is sent before the owner starts the next request, and so reports the load
        // before that.
        let reason = match verdict {
            Verdict::Ran => None,
            Verdict::NotRun => Some(Reason::UpstreamRefused),
            Verdict::MayHaveRun => Some(Reason::ConnectionBroken),
        };
        let report = AttemptReport {
            verdict,
            reason,
            retry_after: Duration::ZERO,
            load: Some(self.owners[owner].machine.load(0)),
            rate_limit: None,
            upstream_failed: false,
        };
        if verdict == Verdict::NotRun {
            self.history.record_not_run(
                self.owners[owner].id,
                pending.incoming.id,
                pending.incoming.attempt,
            );
        }
        self.send_response(
            pending,
            report,
            reason.is_none().then_some(pending.incoming.id),
        );
        self.step_owner(owner, input);
    }

    /// Ends the process of a drained owner.
    fn exit_owner(&mut self, owner: usize) {
        self.history.record_exit(&self.owners[owner]);
        self.owners[owner].exited = true;
        self.owners[owner].stage = Stage::Gone;
        self.schedule(GOSSIP_DELAY, Event::TopologyUpdate);
    }

    /// Continues a paused process with the inputs that arrived meanwhile.
    pub(crate) fn resume_owner(&mut self, owner: usize) {
        self.owners[owner].paused = false;
        for input in std::mem::take(&mut self.owners[owner].pending_inputs) {
            self.step_owner(owner, input);
        }
        self.wake_owner(owner);
    }

    /// Applies a fault to an owner; faults of messages have no effect here.
    pub(crate) fn inject_owner_fault(&mut self, owner: usize, fault: &Fault) {
        match fault {
            Fault::Replaced => {
                let process = self.owners[owner].id.0 / 10 + 1;
                self.owners[owner] = OwnerNode::new(owner, process, &self.plan, self.now);
                self.schedule(GOSSIP_DELAY, Event::TopologyUpdate);
            }
            Fault::Paused(time) => {
                self.owners[owner].paused = true;
                self.schedule(*time, Event::OwnerResume(owner));
            }
            Fault::Drained => {
                self.owners[owner].stage = Stage::Draining;
                self.history.record_drain(self.now, &self.owners[owner]);
                match self.plan.planted_violation {
                    Some(PlantedViolation::IgnoreDrain) => {}
                    Some(PlantedViolation::ExitEarly) => self.exit_owner(owner),
                    _ => self.step_owner(owner, Input::Drain),
                }
                self.schedule(GOSSIP_DELAY, Event::TopologyUpdate);
            }
            Fault::Lost | Fault::Duplicated | Fault::Delayed | Fault::Reordered => {}
        }
    }
}
