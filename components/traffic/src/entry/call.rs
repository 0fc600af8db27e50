//! State of one request at the entry, from its arrival to its end.

use std::sync::Arc;
use std::time::Duration;

use crate::entry::Attempt;
use crate::entry::AttemptReport;
use crate::entry::RequestHead;
use crate::entry::RouteProfile;
use crate::entry::identify;
use config::ServiceKey;
use control::NodeStage;
use control::Topology;
use errors::Reason;
use errors::Verdict;
use ids::Fingerprint;
use ids::NodeId;
use kernel::Random;
use kernel::Time;
use policy::FailedAttempt;

/// Number of owners that may refuse a request because it would miss its objective there. With three
/// endpoints to choose from, few requests meet only full ones while others have room.
const MAX_SPILLS: u32 = 2;

/// Time for the answer of an upstream that stops at the deadline to reach the entry, with slow processors on
/// the way.
const RESPONSE_TRANSIT_TIME: Duration = Duration::from_millis(250);

/// A caller's request that the entry is processing, over all its attempts.
#[derive(Debug)]
pub struct Call {
    pub(crate) profile: RouteProfile,
    fingerprint: Option<Fingerprint>,
    /// Number of upstreams that have crashed while they ran the request.
    pub(crate) seen_crashes: u32,
    /// Time at which the caller no longer waits for the answer.
    caller_deadline: Time,
    /// Time by which an upstream has to be done; earlier than `caller_deadline` if this node ends before that.
    pub(crate) deadline: Time,
    /// Time by which the route's latency objective asks for the answer.
    pub(crate) objective: Option<Time>,
    service_name: Arc<str>,
    outer_retries: bool,
    replayable: bool,
    /// Number of upstreams that the request may be sent to, if the operator limits it.
    max_upstreams: Option<u32>,
    /// Number of upstreams that the request was or may have been sent to.
    upstreams_tried: u32,
    pub(crate) attempt: Option<Attempt>,
    /// When the current attempt was started; it is sent after its delay.
    pub(crate) attempt_started: Time,
    pub(crate) tried_nodes: Vec<NodeId>,
    /// Attempts that their owners refused because the request would have missed its objective there.
    pub(crate) spills: u32,
    /// Combined verdict of the failed attempts.
    pub(crate) verdict: Verdict,
    /// Silence timeouts of the current attempt.
    pub(crate) silence_timeouts: u32,
    /// Whether the owner has reported that the current attempt is queued or running.
    pub(crate) owner_responded: bool,
    /// Times that the owner has reported the current attempt as ended without a stored answer.
    pub(crate) ended_reports: u32,
    /// Failed fetches of the current attempt's stored answer.
    pub(crate) fetches: u32,
}

impl Call {
    /// Creates the call for a request that has arrived, with its route and target service.
    ///
    /// # Errors
    ///
    /// The reason for a refusal: the node is leaving, there is no configuration or no route, or the
    /// deadline has passed.
    pub(crate) fn resolve(
        now: Time,
        topology: &Topology,
        head: &RequestHead,
        random: &mut dyn Random,
    ) -> Result<Self, Reason> {
        // A leaving node finishes the requests that are running, and these can depend on calls of
        // their own.
        if topology.node_stage == NodeStage::Leaving && !head.allowed_while_leaving {
            return Err(Reason::Draining);
        }
        let snapshot = topology.snapshot.as_ref().ok_or(Reason::NoConfiguration)?;
        let key = snapshot
            .find_route(head.host.as_deref(), &head.method, &head.path)
            .ok_or(Reason::NoRoute)?;
        let route = snapshot.route(key).ok_or(Reason::NoRoute)?;
        let organisation = identify(snapshot, route, head.credential)?;
        let target = route.target_at(random.below(route.total_weight()));
        let service = target.and_then(|target| snapshot.service(target));
        let service = service.ok_or(Reason::NoRoute)?;
        let time_left = head
            .time_left
            .map_or(route.deadline, |time_left| time_left.min(route.deadline));
        if time_left.is_zero() {
            return Err(Reason::DeadlinePassed);
        }
        Ok(Self {
            profile: RouteProfile {
                route: route.id,
                service: service.id,
                rank: route.rank,
                idempotent: route.idempotent,
                objective: route.objective,
                organisation: organisation.map(|it| it.id),
            },
            fingerprint: head.fingerprint,
            seen_crashes: 0,
            max_upstreams: route.max_upstreams,
            upstreams_tried: 0,
            service_name: Arc::clone(&service.name),
            caller_deadline: now + time_left,
            deadline: now + time_left,
            objective: None,
            outer_retries: head.outer_retries,
            replayable: head.replayable,
            attempt: None,
            attempt_started: now,
            tried_nodes: Vec::new(),
            spills: 0,
            verdict: Verdict::NotRun,
            silence_timeouts: 0,
            owner_responded: false,
            ended_reports: 0,
            fetches: 0,
        })
    }

    /// The key of the call's service in this topology, which can be newer than the one in which the
    /// call arrived.
    pub(crate) fn find_service_in(&self, topology: &Topology) -> Option<ServiceKey> {
        topology.snapshot.as_ref()?.find_service(&self.service_name)
    }

    /// Time for which the request must not run, because it is suspect of crashing upstreams; `None` if it may
    /// run.
    pub(crate) fn quarantine(&self, now: Time, topology: &Topology) -> Option<Duration> {
        let fingerprint = self.fingerprint?;
        topology.suspects.hold(now, fingerprint, self.seen_crashes)
    }

    /// Ends the time for upstreams at `work_end`, if the node ends before the caller's deadline.
    pub(crate) fn limit_deadline(&mut self, work_end: Option<Time>) {
        self.deadline = work_end.map_or(self.deadline, |it| it.min(self.deadline));
    }

    /// Time until which the entry waits for an answer that the upstream sends at the deadline.
    pub(crate) fn give_up_at(&self) -> Time {
        (self.deadline + RESPONSE_TRANSIT_TIME).min(self.caller_deadline)
    }

    /// The reason for which the caller is refused after an attempt failed for `reason`. An attempt that ended
    /// unstarted at the end of this node has not met the caller's own deadline.
    pub(crate) fn refusal_reason(&self, reason: Reason) -> Reason {
        let limited = self.deadline < self.caller_deadline;
        if limited && reason == Reason::DeadlinePassed && self.verdict == Verdict::NotRun {
            Reason::Draining
        } else {
            reason
        }
    }

    /// Makes this the current attempt.
    pub(crate) fn start_attempt(&mut self, now: Time, attempt: Attempt) {
        self.attempt_started = now;
        self.attempt = Some(attempt);
        self.tried_nodes.push(attempt.node);
        self.silence_timeouts = 0;
        self.owner_responded = false;
        self.ended_reports = 0;
        self.fetches = 0;
    }

    /// Whether a report on the current attempt counts as a success or a failure of the node's
    /// health; `None` if it says nothing about the node.
    pub(crate) fn assess(&self, report: &AttemptReport) -> Option<bool> {
        match report.reason {
            Some(
                Reason::ConnectFailed
                | Reason::ConnectionBroken
                | Reason::ConnectionSilent
                | Reason::UpstreamCrashed,
            ) => Some(false),
            // With a deadline below the silence timeout, no query shows whether the owner is
            // reachable.
            Some(Reason::DeadlinePassed) if report.verdict == Verdict::MayHaveRun => {
                let owner_responded = self.owner_responded || report.load.is_some();
                (!owner_responded).then_some(false)
            }
            // An upstream that fails quickly makes its endpoint look idle, so the endpoint would
            // attract more requests if this did not count as a failure.
            None => Some(!report.upstream_failed),
            // A node that refuses because it is full or leaving has answered and is healthy.
            Some(_) => Some(true),
        }
    }

    /// Whether the owner of the next attempt may refuse the request because it would miss its objective
    /// there: the objective can still be met, and not too many owners have refused it.
    pub(crate) fn is_spillable(&self, now: Time) -> bool {
        self.spills < MAX_SPILLS && self.objective.is_some_and(|objective| objective > now)
    }

    /// Counts the upstream of a failed attempt, unless the owner did not send it the request.
    pub(crate) fn count_upstream(&mut self, reason: Reason, verdict: Verdict) {
        if verdict != Verdict::NotRun || reason == Reason::UpstreamRefused {
            self.upstreams_tried += 1;
        }
    }

    /// The failed current attempt, as input for the retry policy.
    pub(crate) fn failed_attempt(
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
            attempts: self
                .attempt
                .map_or(0, |attempt| attempt.number - self.spills),
            upstreams_tried: self.upstreams_tried,
            max_upstreams: self.max_upstreams,
            time_left: now.until(self.deadline),
            outer_retries: self.outer_retries,
            replayable: self.replayable,
            retry_after: report.retry_after,
            has_untried_endpoint,
        }
    }
}
