//! History of a simulation, and the check of the documented guarantees P4 to P8 on it.

use crate::node::OwnerNode;
use crate::node::PendingRequest;
use crate::sorted_map::SortedMap;
use errors::Reason;
use errors::Verdict;
use ids::NodeId;
use ids::RequestId;
use kernel::Time;
use traffic::Refusal;
use traffic::ledger::Outcome;
use traffic::owner::IncomingRequest;

/// How a call ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// A response; the payload is the identifier of the request that the response belongs to.
    Response { payload: RequestId },
    /// A refusal.
    Refused { reason: Reason, verdict: Verdict },
    /// The caller disconnected before the call ended.
    CallerDisconnected,
}

/// A call as its caller sees it.
#[derive(Clone, Copy, Debug)]
pub struct CallRecord {
    /// Identifier of the request.
    pub id: RequestId,
    /// Index into [`ROUTES`](crate::plan::ROUTES).
    pub route: usize,
    /// Time at which the call arrived at the entry.
    pub arrived: Time,
    /// Time and kind of the end; `None` while the call lasts.
    pub ended: Option<(Time, CallEnd)>,
}

/// One execution of a request at the upstream of a node.
#[derive(Clone, Copy, Debug)]
struct RunRecord {
    node: NodeId,
    id: RequestId,
    attempt: u32,
    idempotent: bool,
}

/// Owner, request and attempt number of an attempt.
type AttemptKey = (NodeId, RequestId, u32);

/// What happened in a simulation.
#[derive(Default)]
pub struct History {
    /// Calls in the order of their arrival.
    pub calls: Vec<CallRecord>,
    /// Executions of requests at all upstreams.
    runs: Vec<RunRecord>,
    /// Attempts that an owner or the entry reported as not run.
    reported_not_run: Vec<AttemptKey>,
    /// Time at which each attempt first reached its owner's address.
    first_arrivals: SortedMap<AttemptKey, Time>,
    /// Time of the drain command to each drained owner.
    drain_times: SortedMap<NodeId, Time>,
    /// Requests that an owner accepted before its drain and did not finish.
    unfinished: Vec<RequestId>,
    /// Number of owners that exited after a drain.
    pub exits: usize,
    /// Number of outcome queries that the entry sent.
    pub queries: usize,
    /// Number of fetches that the entry sent.
    pub fetches: usize,
    /// Number of retries.
    pub retries: usize,
    /// Number of cancellations that the entry sent.
    pub cancels: usize,
}

impl History {
    /// Records the arrival of an attempt at its owner's address; returns whether it is the first
    /// copy.
    pub(crate) fn record_arrival(&mut self, now: Time, incoming: &IncomingRequest) -> bool {
        let key = (incoming.intended_owner, incoming.id, incoming.attempt);
        self.first_arrivals.get(&key).is_none() && self.first_arrivals.insert(key, now)
    }

    pub(crate) fn record_run(&mut self, _: Time, node: NodeId, incoming: &IncomingRequest) {
        self.runs.push(RunRecord {
            node,
            id: incoming.id,
            attempt: incoming.attempt,
            idempotent: incoming.idempotent,
        });
    }

    /// Records that an attempt was reported as not run.
    pub(crate) fn record_not_run(&mut self, node: NodeId, id: RequestId, attempt: u32) {
        self.reported_not_run.push((node, id, attempt));
    }

    /// Records the outcome that an owner reported for an attempt.
    pub(crate) fn record_outcome(
        &mut self,
        node: NodeId,
        id: RequestId,
        attempt: u32,
        outcome: Outcome,
    ) {
        let not_run = match outcome {
            Outcome::Fenced | Outcome::Cancelled => true,
            Outcome::Done { verdict, .. } => verdict == Verdict::NotRun,
            Outcome::Running | Outcome::Unknown => false,
        };
        if not_run {
            self.record_not_run(node, id, attempt);
        }
    }

    /// Records the drain command to an owner; only the first one counts.
    pub(crate) fn record_drain(&mut self, now: Time, node: &OwnerNode) {
        if self.drain_times.get(&node.id).is_none() {
            self.drain_times.insert(node.id, now);
        }
    }

    /// Whether the attempt reached the owner before the drain command.
    fn arrived_before_drain(&self, node: NodeId, pending: &PendingRequest) -> bool {
        let key = (node, pending.incoming.id, pending.incoming.attempt);
        let arrived = self.first_arrivals.get(&key);
        let drained = self.drain_times.get(&node);
        arrived.zip(drained).is_some_and(|(at, drain)| at < drain)
    }

    /// Records a refusal; for a leaving owner it may end a request that was accepted before.
    pub(crate) fn record_refusal(
        &mut self,
        node: &OwnerNode,
        pending: &PendingRequest,
        refusal: Refusal,
    ) {
        if refusal.reason == Reason::Draining && self.arrived_before_drain(node.id, pending) {
            self.unfinished.push(pending.incoming.id);
        }
    }

    /// Records that a drained owner exited.
    pub(crate) fn record_exit(&mut self, node: &OwnerNode) {
        self.exits += 1;
        for (_, pending) in node.pending_requests.iter() {
            if self.arrived_before_drain(node.id, pending) {
                self.unfinished.push(pending.incoming.id);
            }
        }
    }

    /// Number of executions of requests at all upstreams.
    pub fn total_runs(&self) -> usize {
        self.runs.len()
    }

    /// Returns each violation of a guarantee with the request that it concerns:
    ///
    /// - `unanswered`: the call did not end.
    /// - P4: the caller got the response to another request.
    /// - P5: a request that ran was reported as not run.
    /// - P6: a request that is not idempotent ran more than once.
    /// - P7: an owner ran a request that reached it after its drain.
    /// - P8: an owner that was drained did not finish a request that it had accepted before.
    pub fn check(&self) -> Vec<(&'static str, RequestId)> {
        let mut violations = Vec::new();
        let mut runs: Vec<&RunRecord> = self.runs.iter().collect();
        runs.sort_unstable_by_key(|run| run.id);
        let count_runs = |id| {
            let first = runs.partition_point(|run| run.id < id);
            runs[first..].partition_point(|run| run.id == id)
        };
        for call in &self.calls {
            let run_count = count_runs(call.id);
            match call.ended {
                None => violations.push(("unanswered", call.id)),
                Some((_, CallEnd::Response { payload })) if payload != call.id => {
                    violations.push(("P4", call.id));
                }
                Some((_, CallEnd::Refused { verdict, .. }))
                    if verdict == Verdict::NotRun && run_count > 0 =>
                {
                    violations.push(("P5", call.id));
                }
                Some(_) => {}
            }
        }
        for run in &runs {
            if !run.idempotent && count_runs(run.id) > 1 {
                violations.push(("P6", run.id));
            }
            let drain = self.drain_times.get(&run.node);
            let arrived = self.first_arrivals.get(&(run.node, run.id, run.attempt));
            if drain.zip(arrived).is_some_and(|(drain, at)| at > drain) {
                violations.push(("P7", run.id));
            }
        }
        let run_attempts: Vec<AttemptKey> = {
            let mut run_attempts: Vec<_> = self
                .runs
                .iter()
                .map(|it| (it.node, it.id, it.attempt))
                .collect();
            run_attempts.sort_unstable();
            run_attempts
        };
        let false_reports = self
            .reported_not_run
            .iter()
            .filter(|it| run_attempts.binary_search(it).is_ok());
        violations.extend(false_reports.map(|(_, id, _)| ("P5", *id)));
        violations.extend(self.unfinished.iter().map(|id| ("P8", *id)));
        violations
    }
}
