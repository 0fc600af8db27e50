//! State of the node's own upstream, as announced by the upstream itself.

use std::sync::Arc;
use std::time::Duration;

use kernel::Time;
use member::Draining;
use member::Endpoint;
use member::Gone;
use member::Ready;
use member::Stage;
use member::Upstream;
use member::Warming;

/// Time for which an announcement of the upstream is valid; the upstream renews it every 3 s.
const ANNOUNCEMENT_LEASE: Duration = Duration::from_secs(10);

/// Time for which an upstream that was adopted from an earlier process of the node is considered ready;
/// upstreams announce themselves at least every 3 s.
const ADOPTED_LEASE: Duration = Duration::from_secs(4);

/// Maximum number of departed runs that are remembered. An instance restarts its upstream once in a few
/// seconds at most, so few runs depart within [`DEPARTED_RUN_RETENTION`].
const MAX_DEPARTED_RUNS: usize = 8;
/// Time for which a departed run is remembered. Announcements can arrive seconds late, and a run
/// continues for some seconds after it has announced its departure. The time is limited because a later
/// run can have the same id.
const DEPARTED_RUN_RETENTION: Duration = Duration::from_secs(30);

/// Time for which a run that has stated that it is leaving counts as draining whatever it announces.
/// Announcements from before the statement can arrive seconds late; a run that still announces itself as
/// ready after this time is not leaving.
const LEAVING_RUN_RETENTION: Duration = Duration::from_secs(30);

/// The endpoint, with its stage as the variant.
#[derive(Debug, Default)]
enum EndpointState {
    #[default]
    Empty,
    Warming(Endpoint<Warming>),
    Ready(Endpoint<Ready>),
    Draining(Endpoint<Draining>),
    Gone(Endpoint<Gone>),
}

impl EndpointState {
    /// Creates the endpoint of an upstream that has just announced itself in `stage`.
    fn from_announced(stage: Stage, upstream: Upstream) -> Self {
        let endpoint = Endpoint::new(upstream);
        match stage {
            Stage::Warming => Self::Warming(endpoint),
            Stage::Ready => Self::Ready(endpoint.become_ready()),
            Stage::Draining => Self::Draining(endpoint.drain()),
            Stage::Gone => Self::Gone(endpoint.terminate()),
        }
    }

    /// Advances the endpoint to `stage`. If the life cycle has no such transition, returns the endpoint
    /// unchanged as the error.
    fn advance(self, stage: Stage) -> Result<Self, Self> {
        match (self, stage) {
            (Self::Warming(it), Stage::Ready) => Ok(Self::Ready(it.become_ready())),
            (Self::Warming(it), Stage::Draining) => Ok(Self::Draining(it.drain())),
            (Self::Ready(it), Stage::Draining) => Ok(Self::Draining(it.drain())),
            (Self::Warming(it), Stage::Gone) => Ok(Self::Gone(it.terminate())),
            (Self::Ready(it), Stage::Gone) => Ok(Self::Gone(it.terminate())),
            (Self::Draining(it), Stage::Gone) => Ok(Self::Gone(it.finish())),
            (other, _) => Err(other),
        }
    }

    /// Stage and upstream; `None` if no upstream is known.
    fn state(&self) -> Option<(Stage, &Upstream)> {
        match self {
            Self::Empty => None,
            Self::Warming(it) => Some((Stage::Warming, it.upstream())),
            Self::Ready(it) => Some((Stage::Ready, it.upstream())),
            Self::Draining(it) => Some((Stage::Draining, it.upstream())),
            Self::Gone(it) => Some((Stage::Gone, it.upstream())),
        }
    }
}

/// Order of an announcement among all announcements of the runs of an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct AnnouncementOrder {
    /// Start of the run, in milliseconds of Unix time by the upstream's clock.
    pub run_started_ms: u64,
    /// Sequence number of the announcement within the run.
    pub sequence: u64,
}

/// The upstream that this node owns.
#[derive(Debug, Default)]
pub(crate) struct OwnUpstream {
    /// Order of the newest announcement; announcements can be delayed and arrive out of order.
    newest_order: Option<AnnouncementOrder>,
    /// Stage that the upstream has announced, whether or not the node itself is leaving.
    announced_stage: Option<Stage>,
    endpoint: EndpointState,
    /// When the upstream is considered gone unless it announces itself again.
    lease_end: Option<Time>,
    /// Whether the node itself is leaving.
    leaving: bool,
    /// Run that has stated in a response that it is leaving.
    leaving_run: Option<LeavingRun>,
    /// Runs whose departure was announced while another run or no run was known.
    departed_runs: Vec<DepartedRun>,
}

/// A run of the upstream that has stated in a response that it is leaving.
#[derive(Debug)]
struct LeavingRun {
    run_id: Option<Arc<str>>,
    /// Start of the run, in milliseconds of Unix time, once it is known.
    run_started_ms: Option<u64>,
    remembered_until: Time,
}

/// A run of the upstream that has announced its departure.
#[derive(Debug)]
struct DepartedRun {
    run_id: Arc<str>,
    /// Start of the run, in milliseconds of Unix time, once it is known.
    run_started_ms: Option<u64>,
    remembered_until: Time,
}

impl OwnUpstream {
    /// Stage and upstream that the node announces to the other members.
    pub(crate) fn state(&self) -> (Stage, Option<Upstream>) {
        match self.endpoint.state() {
            Some((stage, upstream)) => (stage, Some(upstream.clone())),
            None if self.leaving => (Stage::Draining, None),
            None => (Stage::Warming, None),
        }
    }

    /// When [`Self::expire`] is due next.
    pub(crate) fn next_wake(&self) -> Option<Time> {
        self.lease_end
    }

    /// Handles an announcement of the upstream. An announcement of an earlier stage or of other
    /// properties of the upstream starts a new endpoint.
    pub(crate) fn handle_announcement(
        &mut self,
        now: Time,
        stage: Stage,
        upstream: Upstream,
        order: Option<AnnouncementOrder>,
    ) {
        if order.is_some() && order <= self.newest_order {
            return;
        }
        if self.has_departed(now, &upstream, order) {
            return;
        }
        self.newest_order = self.newest_order.max(order);
        let stage = if self.is_leaving_run(now, &upstream, order) {
            stage.max(Stage::Draining)
        } else {
            stage
        };
        self.announced_stage = Some(stage);
        let stage = if self.leaving {
            stage.max(Stage::Draining)
        } else {
            stage
        };
        self.lease_end = (stage != Stage::Gone).then_some(now + ANNOUNCEMENT_LEASE);
        let unchanged = self
            .endpoint
            .state()
            .filter(|(_, known)| **known == upstream);
        match unchanged.map(|(known_stage, _)| known_stage) {
            Some(known_stage) if known_stage == stage => {}
            Some(_) => {
                let advanced = std::mem::take(&mut self.endpoint).advance(stage);
                self.endpoint =
                    advanced.unwrap_or_else(|_| EndpointState::from_announced(stage, upstream));
            }
            None => self.endpoint = EndpointState::from_announced(stage, upstream),
        }
    }

    /// Handles the statement of a run in a response that it is leaving: drains the endpoint if it belongs to
    /// this run.
    pub(crate) fn handle_leaving(&mut self, now: Time, run_id: Option<Arc<str>>) {
        let known = self.endpoint.state();
        if known.is_none_or(|(_, upstream)| upstream.run_id != run_id) {
            return;
        }
        self.leaving_run = Some(LeavingRun {
            run_id,
            run_started_ms: self.newest_order.map(|order| order.run_started_ms),
            remembered_until: now + LEAVING_RUN_RETENTION,
        });
        self.announced_stage = self.announced_stage.max(Some(Stage::Draining));
        self.advance_to(Stage::Draining);
    }

    /// Whether an announcement comes from a run that has stated that it is leaving. A later run can have the
    /// same id.
    fn is_leaving_run(
        &mut self,
        now: Time,
        upstream: &Upstream,
        order: Option<AnnouncementOrder>,
    ) -> bool {
        let leaving_run = self.leaving_run.as_mut();
        let Some(leaving_run) = leaving_run.filter(|it| it.run_id == upstream.run_id) else {
            return false;
        };
        let run_started_ms = order.map(|order| order.run_started_ms);
        let known_start = *leaving_run
            .run_started_ms
            .get_or_insert(run_started_ms.unwrap_or(u64::MAX));
        leaving_run.remembered_until > now
            && run_started_ms.is_none_or(|run_started_ms| run_started_ms <= known_start)
    }

    /// Handles the departure of a run of the upstream: ends the endpoint if it belongs to this run.
    /// Announcements of the run that arrive later have no effect.
    pub(crate) fn handle_departure(
        &mut self,
        now: Time,
        run_id: &str,
        order: Option<AnnouncementOrder>,
    ) {
        let known = self
            .endpoint
            .state()
            .and_then(|(_, upstream)| upstream.run_id.as_deref());
        if known != Some(run_id) {
            return self.remember_departed_run(now, run_id, order);
        }
        if order.is_some_and(|it| Some(it) < self.newest_order) {
            return;
        }
        match &mut self.newest_order {
            Some(newest) => newest.sequence = u64::MAX,
            // The upstream was adopted and has not announced itself to this process.
            None => self.remember_departed_run(now, run_id, order),
        }
        self.announced_stage = Some(Stage::Gone);
        self.advance_to(Stage::Gone);
    }

    /// Remembers a departed run, because a process that has just started can learn of the departure of
    /// a run before it receives an announcement of that run.
    fn remember_departed_run(&mut self, now: Time, run_id: &str, order: Option<AnnouncementOrder>) {
        self.departed_runs.retain(|it| *it.run_id != *run_id);
        if self.departed_runs.len() == MAX_DEPARTED_RUNS {
            self.departed_runs.remove(0);
        }
        self.departed_runs.push(DepartedRun {
            run_id: Arc::from(run_id),
            run_started_ms: order.map(|order| order.run_started_ms),
            remembered_until: now + DEPARTED_RUN_RETENTION,
        });
    }

    /// Whether an announcement comes from a run that has departed. If the departure did not contain the
    /// start of the run, the first announcement with the same run id is taken to be of that run.
    fn has_departed(
        &mut self,
        now: Time,
        upstream: &Upstream,
        order: Option<AnnouncementOrder>,
    ) -> bool {
        self.departed_runs.retain(|it| it.remembered_until > now);
        let run_id = upstream.run_id.as_ref();
        let known = self
            .departed_runs
            .iter_mut()
            .find(|it| Some(&it.run_id) == run_id);
        let Some(known) = known else {
            return false;
        };
        let run_started_ms = order.map(|order| order.run_started_ms);
        let departed_start = *known
            .run_started_ms
            .get_or_insert(run_started_ms.unwrap_or(u64::MAX));
        run_started_ms.is_none_or(|run_started_ms| run_started_ms <= departed_start)
    }

    /// Ends the endpoint if its upstream has not announced itself again before the lease ended.
    pub(crate) fn expire(&mut self, now: Time) {
        if self.lease_end.is_some_and(|lease_end| lease_end <= now) {
            self.announced_stage = Some(Stage::Gone);
            self.advance_to(Stage::Gone);
        }
    }

    /// Adopts the upstream that an earlier process of the node knew, until the upstream announces
    /// itself. Requests to the upstream contain its run id, so that another run at its address refuses
    /// them.
    pub(crate) fn adopt(&mut self, now: Time, upstream: Upstream) {
        let run_id = upstream.run_id.as_ref();
        let departed = self
            .departed_runs
            .iter()
            .any(|it| Some(&it.run_id) == run_id);
        if self.is_empty() && !self.leaving && !departed {
            self.endpoint = EndpointState::from_announced(Stage::Ready, upstream);
            self.lease_end = Some(now + ADOPTED_LEASE);
        }
    }

    /// Whether no upstream is known yet.
    pub(crate) fn is_empty(&self) -> bool {
        matches!(self.endpoint, EndpointState::Empty)
    }

    /// Stage that the upstream has announced; [`Stage::Gone`] if there is none.
    pub(crate) fn announced_stage(&self) -> Stage {
        self.announced_stage.unwrap_or(Stage::Gone)
    }

    /// Restarts the lease, if one is running, after a pause of this process during which it could not
    /// receive announcements.
    pub(crate) fn renew_lease(&mut self, now: Time) {
        self.lease_end = self.lease_end.map(|_| now + ANNOUNCEMENT_LEASE);
    }

    /// Starts to drain the endpoint, because the node is leaving and takes no new requests.
    pub(crate) fn drain(&mut self) {
        self.leaving = true;
        self.advance_to(Stage::Draining);
    }

    /// Ends the endpoint, because the node has finished all its requests.
    pub(crate) fn finish(&mut self) {
        self.leaving = true;
        self.advance_to(Stage::Gone);
    }

    /// Advances the endpoint to `stage` if the life cycle has such a transition.
    fn advance_to(&mut self, stage: Stage) {
        if stage == Stage::Gone {
            self.lease_end = None;
        }
        let advanced = std::mem::take(&mut self.endpoint).advance(stage);
        self.endpoint = advanced.unwrap_or_else(|unchanged| unchanged);
    }
}
