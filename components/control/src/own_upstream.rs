//! The node's own upstream: its stage and the lease of its announcement.

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

/// Time that an announcement holds; the upstream renews it every 3 s.
const ANNOUNCEMENT_LEASE: Duration = Duration::from_secs(10);

/// Time that an upstream is held that an earlier process of the node knew; upstreams announce
/// themselves every 3 s at most.
const ADOPTED_LEASE: Duration = Duration::from_secs(4);

/// Departed runs that are remembered; an instance restarts its upstream once in seconds at most.
const MAX_DEPARTED_RUNS: usize = 8;
/// Time for which they are remembered: announcements can arrive seconds late, and a run goes on for some
/// seconds after it has said that it leaves. A later run can bear the same name.
const DEPARTED_RUN_RETENTION: Duration = Duration::from_secs(30);

/// The endpoint in whichever stage it is.
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
    /// The endpoint that has just announced itself in `stage`.
    fn from_announced(stage: Stage, upstream: Upstream) -> Self {
        let endpoint = Endpoint::new(upstream);
        match stage {
            Stage::Warming => Self::Warming(endpoint),
            Stage::Ready => Self::Ready(endpoint.become_ready()),
            Stage::Draining => Self::Draining(endpoint.drain()),
            Stage::Gone => Self::Gone(endpoint.terminate()),
        }
    }

    /// Moves forward to `stage`; gives the endpoint back if that is no step of its life.
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

/// Place of an announcement among all that the runs of an upstream make.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct AnnouncementOrder {
    /// Start of the run, in milliseconds of Unix time on the upstream's clock.
    pub run_started_ms: u64,
    /// Number of the announcement within the run.
    pub sequence: u64,
}

/// The upstream that this node owns.
#[derive(Debug, Default)]
pub(crate) struct OwnUpstream {
    /// The newest announcement; announcements can be delayed and cross.
    newest_order: Option<AnnouncementOrder>,
    /// Stage that the upstream has announced, whatever the node does.
    announced_stage: Option<Stage>,
    endpoint: EndpointState,
    lease: Option<Time>,
    leaving: bool,
    /// Runs whose end was told while another run, or none, was known.
    departed_runs: Vec<DepartedRun>,
}

/// A run that has told its end.
#[derive(Debug)]
struct DepartedRun {
    run_id: Arc<str>,
    /// Its start, once it is known.
    run_started_ms: Option<u64>,
    forget_at: Time,
}

impl OwnUpstream {
    /// Stage and limits as they are to be announced.
    pub(crate) fn state(&self) -> (Stage, Option<Upstream>) {
        match self.endpoint.state() {
            Some((stage, upstream)) => (stage, Some(upstream.clone())),
            None if self.leaving => (Stage::Draining, None),
            None => (Stage::Warming, None),
        }
    }

    pub(crate) fn next_wake(&self) -> Option<Time> {
        self.lease
    }

    /// Takes an announcement of the upstream in. One that is no step forward, or that changes what
    /// the upstream is, starts a new life of the endpoint.
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
        self.announced_stage = Some(stage);
        let stage = if self.leaving {
            stage.max(Stage::Draining)
        } else {
            stage
        };
        self.lease = (stage != Stage::Gone).then_some(now + ANNOUNCEMENT_LEASE);
        let same = self
            .endpoint
            .state()
            .filter(|(_, known)| **known == upstream);
        match same.map(|(known, _)| known) {
            Some(known) if known == stage => {}
            Some(_) => {
                let advanced = std::mem::take(&mut self.endpoint).advance(stage);
                self.endpoint =
                    advanced.unwrap_or_else(|_| EndpointState::from_announced(stage, upstream));
            }
            None => self.endpoint = EndpointState::from_announced(stage, upstream),
        }
    }

    /// Ends the endpoint if it is this run of the upstream. Announcements of the run that are still
    /// on their way change nothing.
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
            // It was taken over and has announced nothing to this process.
            None => self.remember_departed_run(now, run_id, order),
        }
        self.announced_stage = Some(Stage::Gone);
        self.advance_to(Stage::Gone);
    }

    /// A process that has just started can hear of the end of a run before anything else of it.
    fn remember_departed_run(&mut self, now: Time, run_id: &str, order: Option<AnnouncementOrder>) {
        self.departed_runs.retain(|it| *it.run_id != *run_id);
        if self.departed_runs.len() == MAX_DEPARTED_RUNS {
            self.departed_runs.remove(0);
        }
        self.departed_runs.push(DepartedRun {
            run_id: Arc::from(run_id),
            run_started_ms: order.map(|order| order.run_started_ms),
            forget_at: now + DEPARTED_RUN_RETENTION,
        });
    }

    /// Whether the upstream is a run that has told its end. The first announcement after an end that did
    /// not say when its run had started is taken to be of that run.
    fn has_departed(
        &mut self,
        now: Time,
        upstream: &Upstream,
        order: Option<AnnouncementOrder>,
    ) -> bool {
        self.departed_runs.retain(|it| it.forget_at > now);
        let run_id = upstream.run_id.as_ref();
        let known = self
            .departed_runs
            .iter_mut()
            .find(|it| Some(&it.run_id) == run_id);
        let Some(known) = known else {
            return false;
        };
        let run_started_ms = order.map(|order| order.run_started_ms);
        let run_start = *known
            .run_started_ms
            .get_or_insert(run_started_ms.unwrap_or(u64::MAX));
        run_started_ms.is_none_or(|run_started_ms| run_started_ms <= run_start)
    }

    /// Ends the endpoint if its upstream has stopped announcing itself.
    pub(crate) fn expire(&mut self, now: Time) {
        if self.lease.is_some_and(|lease| lease <= now) {
            self.announced_stage = Some(Stage::Gone);
            self.advance_to(Stage::Gone);
        }
    }

    /// Takes over the upstream that an earlier process of the node left, until the upstream announces
    /// itself. It names the run that it stands for, so that another one refuses its requests.
    pub(crate) fn adopt(&mut self, now: Time, upstream: Upstream) {
        let run_id = upstream.run_id.as_ref();
        let departed = self
            .departed_runs
            .iter()
            .any(|it| Some(&it.run_id) == run_id);
        if self.is_empty() && !self.leaving && !departed {
            self.endpoint = EndpointState::from_announced(Stage::Ready, upstream);
            self.lease = Some(now + ADOPTED_LEASE);
        }
    }

    /// Whether the node knows no upstream yet.
    pub(crate) fn is_empty(&self) -> bool {
        matches!(self.endpoint, EndpointState::Empty)
    }

    /// Stage that the upstream has announced; [`Stage::Gone`] if there is none.
    pub(crate) fn announced_stage(&self) -> Stage {
        self.announced_stage.unwrap_or(Stage::Gone)
    }

    /// Gives the upstream time to announce itself after a pause of this process.
    pub(crate) fn renew_lease(&mut self, now: Time) {
        self.lease = self.lease.map(|_| now + ANNOUNCEMENT_LEASE);
    }

    /// The node takes no new requests from now on.
    pub(crate) fn drain(&mut self) {
        self.leaving = true;
        self.advance_to(Stage::Draining);
    }

    /// All that ran has finished.
    pub(crate) fn finish(&mut self) {
        self.leaving = true;
        self.advance_to(Stage::Gone);
    }

    fn advance_to(&mut self, stage: Stage) {
        if stage == Stage::Gone {
            self.lease = None;
        }
        let advanced = std::mem::take(&mut self.endpoint).advance(stage);
        self.endpoint = advanced.unwrap_or_else(|unchanged| unchanged);
    }
}
