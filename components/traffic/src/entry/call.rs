//! One request at the entry, from its arrival to its end.

use std::sync::Arc;

use crate::entry::Attempt;
use crate::entry::AttemptReport;
use crate::entry::RequestHead;
use crate::entry::RouteProfile;
use config::ServiceKey;
use control::NodeStage;
use control::Topology;
use errors::Reason;
use errors::Verdict;
use ids::NodeId;
use kernel::Random;
use kernel::Time;
use policy::FailedAttempt;

/// A request that the entry works on.
#[derive(Debug)]
pub struct Call {
    pub(crate) profile: RouteProfile,
    pub(crate) deadline: Time,
    /// Until when the answer is worth most.
    pub(crate) objective: Option<Time>,
    service_name: Arc<str>,
    outer_retries: bool,
    replayable: bool,
    /// Upstreams that the request may be sent to, if the operator bounds it.
    max_upstreams: Option<u32>,
    /// Upstreams that it was or may have been sent to.
    upstreams: u32,
    pub(crate) attempt: Option<Attempt>,
    pub(crate) tried: Vec<NodeId>,
    /// What is known of the execution over all attempts that have failed.
    pub(crate) verdict: Verdict,
    /// Times that the silence bound has passed for the attempt.
    pub(crate) silence_timeouts: u32,
    /// Whether the owner has said that the attempt waits or runs.
    pub(crate) owner_responded: bool,
    /// Times that the owner said the attempt has ended while no answer had come.
    pub(crate) ended_reports: u32,
    /// Failed fetches of the stored answer.
    pub(crate) fetches: u32,
}

impl Call {
    /// Finds the route of a request that arrived.
    pub(crate) fn resolve(
        now: Time,
        topology: &Topology,
        head: &RequestHead,
        random: &mut dyn Random,
    ) -> Result<Self, Reason> {
        // What runs is finished, and it can depend on an onward call.
        if topology.node_stage == NodeStage::Leaving && !head.allowed_while_leaving {
            return Err(Reason::Draining);
        }
        let snapshot = topology.snapshot.as_ref().ok_or(Reason::NoConfiguration)?;
        let key = snapshot
            .find_route(head.host.as_deref(), &head.method, &head.path)
            .ok_or(Reason::NoRoute)?;
        let route = snapshot.route(key).ok_or(Reason::NoRoute)?;
        let target = route.target_at(random.below(route.total_weight()));
        let service = target.and_then(|target| snapshot.service(target));
        let service = service.ok_or(Reason::NoRoute)?;
        let left = head
            .time_left
            .map_or(route.deadline, |left| left.min(route.deadline));
        if left.is_zero() {
            return Err(Reason::DeadlinePassed);
        }
        Ok(Self {
            profile: RouteProfile {
                route: route.id,
                service: service.id,
                rank: route.rank,
                idempotent: route.idempotent,
                objective: route.objective,
            },
            max_upstreams: route.attempts,
            upstreams: 0,
            service_name: Arc::clone(&service.name),
            deadline: now + left,
            objective: None,
            outer_retries: head.outer_retries,
            replayable: head.replayable,
            attempt: None,
            tried: Vec::new(),
            verdict: Verdict::NotRun,
            silence_timeouts: 0,
            owner_responded: false,
            ended_reports: 0,
            fetches: 0,
        })
    }

    /// The service in this topology, which can be newer than the one that the call began with.
    pub(crate) fn find_service_in(&self, topology: &Topology) -> Option<ServiceKey> {
        topology.snapshot.as_ref()?.find_service(&self.service_name)
    }

    /// Notes that an attempt begins.
    pub(crate) fn start_attempt(&mut self, attempt: Attempt) {
        self.attempt = Some(attempt);
        self.tried.push(attempt.node);
        self.silence_timeouts = 0;
        self.owner_responded = false;
        self.ended_reports = 0;
        self.fetches = 0;
    }

    /// What a report on the present attempt says of the node; `None` if nothing.
    pub(crate) fn assess(&self, report: &AttemptReport) -> Option<bool> {
        match report.reason {
            Some(Reason::ConnectFailed | Reason::ConnectionBroken | Reason::ConnectionSilent) => {
                Some(false)
            }
            // A deadline shorter than the silence bound passes without a query.
            Some(Reason::DeadlinePassed) if report.verdict == Verdict::MayHaveRun => {
                let owner_responded = self.owner_responded || report.load.is_some();
                (!owner_responded).then_some(false)
            }
            // A failure that comes quickly makes the endpoint look idle, so it would draw more work.
            None => Some(!report.upstream_failed),
            // A full or leaving node answers, so it is healthy.
            Some(_) => Some(true),
        }
    }

    /// Counts the upstream of an attempt that has failed, unless its owner held the request back.
    pub(crate) fn count_upstream(&mut self, reason: Reason, verdict: Verdict) {
        if verdict != Verdict::NotRun || reason == Reason::UpstreamRefused {
            self.upstreams += 1;
        }
    }

    /// The failure of the present attempt, as the retry policy sees it.
    pub(crate) fn failure(
        &self,
        now: Time,
        reason: Reason,
        report: &AttemptReport,
        has_untried_endpoint: bool,
    ) -> FailedAttempt {
        FailedAttempt {
            service: self.profile.service,
            verdict: report.verdict,
            reason,
            idempotent: self.profile.idempotent,
            attempts: self.attempt.map_or(0, |attempt| attempt.number),
            upstreams_tried: self.upstreams,
            max_upstreams: self.max_upstreams,
            time_left: now.until(self.deadline),
            outer_retries: self.outer_retries,
            replayable: self.replayable,
            retry_after: report.retry_after,
            has_untried_endpoint,
        }
    }
}
