//! The record of a run and the checks of the promises on it.

use crate::node::Node;
use crate::node::Task;
use crate::sorted::Sorted;
use errors::Reason;
use errors::Verdict;
use ids::NodeId;
use ids::RequestId;
use kernel::Time;
use traffic::Refusal;
use traffic::ledger::Outcome;
use traffic::owner::IncomingRequest;

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    Answer { payload: RequestId },
    Refused { reason: Reason, verdict: Verdict },
    CallerLeft,
}

#[derive(Clone, Copy, Debug)]
pub struct Call {
    pub id: RequestId,
    pub route: usize,
    pub arrived: Time,
    pub ended: Option<(Time, Ending)>,
}

#[derive(Clone, Copy, Debug)]
struct Run {
    node: NodeId,
    id: RequestId,
    attempt: u32,
    idempotent: bool,
}

type Sent = (NodeId, RequestId, u32);

/// What a run has shown.
#[derive(Default)]
pub struct History {
    pub calls: Vec<Call>,
    runs: Vec<Run>,
    /// Attempts of which an owner or the entry said that they did not run.
    claims: Vec<Sent>,
    /// When each attempt first reached its owner.
    offered: Sorted<Sent, Time>,
    drains: Sorted<NodeId, Time>,
    /// Requests that a leaving owner had accepted and did not finish.
    cut: Vec<RequestId>,
    pub exits: usize,
    pub queries: usize,
    pub fetches: usize,
    pub retries: usize,
    pub cancels: usize,
}

impl History {
    /// Whether this is the first copy of the attempt to arrive.
    pub(crate) fn offered(&mut self, now: Time, offer: &IncomingRequest) -> bool {
        let key = (offer.intended_owner, offer.id, offer.attempt);
        self.offered.get(&key).is_none() && self.offered.insert(key, now)
    }

    pub(crate) fn ran(&mut self, _: Time, node: NodeId, offer: &IncomingRequest) {
        self.runs.push(Run {
            node,
            id: offer.id,
            attempt: offer.attempt,
            idempotent: offer.idempotent,
        });
    }

    pub(crate) fn claimed(&mut self, node: NodeId, id: RequestId, attempt: u32) {
        self.claims.push((node, id, attempt));
    }

    pub(crate) fn told(&mut self, node: NodeId, id: RequestId, attempt: u32, outcome: Outcome) {
        let not_run = match outcome {
            Outcome::Fenced | Outcome::Cancelled => true,
            Outcome::Done { verdict, .. } => verdict == Verdict::NotRun,
            Outcome::Running | Outcome::Unknown => false,
        };
        if not_run {
            self.claimed(node, id, attempt);
        }
    }

    pub(crate) fn drained(&mut self, now: Time, node: &Node) {
        if self.drains.get(&node.id).is_none() {
            self.drains.insert(node.id, now);
        }
    }

    fn was_accepted_before(&self, node: NodeId, task: &Task) -> bool {
        let key = (node, task.offer.id, task.offer.attempt);
        let offered = self.offered.get(&key);
        let drained = self.drains.get(&node);
        offered.zip(drained).is_some_and(|(at, drain)| at < drain)
    }

    pub(crate) fn refused(&mut self, node: &Node, task: &Task, refusal: Refusal) {
        if refusal.reason == Reason::Draining && self.was_accepted_before(node.id, task) {
            self.cut.push(task.offer.id);
        }
    }

    pub(crate) fn exited(&mut self, node: &Node) {
        self.exits += 1;
        for (_, task) in node.tasks.iter() {
            if self.was_accepted_before(node.id, task) {
                self.cut.push(task.offer.id);
            }
        }
    }

    /// Total runs.
    pub fn total_runs(&self) -> usize {
        self.runs.len()
    }

    /// Broken promises with the requests that they were broken for.
    pub fn check(&self) -> Vec<(&'static str, RequestId)> {
        let mut found = Vec::new();
        let mut runs: Vec<&Run> = self.runs.iter().collect();
        runs.sort_unstable_by_key(|run| run.id);
        let count = |id| {
            let first = runs.partition_point(|run| run.id < id);
            runs[first..].partition_point(|run| run.id == id)
        };
        for call in &self.calls {
            let ran = count(call.id);
            match call.ended {
                None => found.push(("unanswered", call.id)),
                Some((_, Ending::Answer { payload })) if payload != call.id => {
                    found.push(("P4", call.id));
                }
                Some((_, Ending::Refused { verdict, .. }))
                    if verdict == Verdict::NotRun && ran > 0 =>
                {
                    found.push(("P5", call.id));
                }
                Some(_) => {}
            }
        }
        for run in &runs {
            if !run.idempotent && count(run.id) > 1 {
                found.push(("P6", run.id));
            }
            let drain = self.drains.get(&run.node);
            let offered = self.offered.get(&(run.node, run.id, run.attempt));
            if drain.zip(offered).is_some_and(|(drain, at)| at > drain) {
                found.push(("P7", run.id));
            }
        }
        let ran: Vec<Sent> = {
            let mut ran: Vec<_> = self
                .runs
                .iter()
                .map(|it| (it.node, it.id, it.attempt))
                .collect();
            ran.sort_unstable();
            ran
        };
        let false_claims = self
            .claims
            .iter()
            .filter(|it| ran.binary_search(it).is_ok());
        found.extend(false_claims.map(|(_, id, _)| ("P5", *id)));
        found.extend(self.cut.iter().map(|id| ("P8", *id)));
        found
    }
}
