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
const LEASE: Duration = Duration::from_secs(10);

/// Time that an upstream is held that an earlier process of the node knew; upstreams announce
/// themselves every 3 s at most.
const ADOPTED_LEASE: Duration = Duration::from_secs(4);

/// Departed runs that are remembered; an instance restarts its upstream once in seconds at most.
const MAX_DEPARTED: usize = 8;
/// Time for which they are remembered: announcements can arrive seconds late, and a run goes on for some
/// seconds after it has said that it leaves. A later run can bear the same name.
const DEPARTED_TIME: Duration = Duration::from_secs(30);

/// The endpoint in whichever stage it is.
#[derive(Debug, Default)]
enum Slot {
    #[default]
    Empty,
    Warming(Endpoint<Warming>),
    Ready(Endpoint<Ready>),
    Draining(Endpoint<Draining>),
    Gone(Endpoint<Gone>),
}

impl Slot {
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
pub(crate) struct Own {
    /// The newest announcement; announcements can be delayed and cross.
    newest: Option<AnnouncementOrder>,
    /// Stage that the upstream has announced, whatever the node does.
    announced: Option<Stage>,
    slot: Slot,
    lease: Option<Time>,
    leaving: bool,
    /// Runs whose end was told while another run, or none, was known.
    departed: Vec<Departed>,
}

/// A run that has told its end.
#[derive(Debug)]
struct Departed {
    run: Arc<str>,
    /// Its start, once it is known.
    run_started_ms: Option<u64>,
    until: Time,
}

impl Own {
    /// Stage and limits as they are to be announced.
    pub(crate) fn state(&self) -> (Stage, Option<Upstream>) {
        match self.slot.state() {
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
    pub(crate) fn announce(
        &mut self,
        now: Time,
        stage: Stage,
        upstream: Upstream,
        order: Option<AnnouncementOrder>,
    ) {
        if order.is_some() && order <= self.newest {
            return;
        }
        if self.has_departed(now, &upstream, order) {
            return;
        }
        self.newest = self.newest.max(order);
        self.announced = Some(stage);
        let stage = if self.leaving {
            stage.max(Stage::Draining)
        } else {
            stage
        };
        self.lease = (stage != Stage::Gone).then_some(now + LEASE);
        let same = self.slot.state().filter(|(_, known)| **known == upstream);
        match same.map(|(known, _)| known) {
            Some(known) if known == stage => {}
            Some(_) => {
                let advanced = std::mem::take(&mut self.slot).advance(stage);
                self.slot = advanced.unwrap_or_else(|_| Slot::from_announced(stage, upstream));
            }
            None => self.slot = Slot::from_announced(stage, upstream),
        }
    }

    /// Ends the endpoint if it is this run of the upstream. Announcements of the run that are still
    /// on their way change nothing.
    pub(crate) fn depart(&mut self, now: Time, run_id: &str, order: Option<AnnouncementOrder>) {
        let known = self
            .slot
            .state()
            .and_then(|(_, upstream)| upstream.run_id.as_deref());
        if known != Some(run_id) {
            return self.remember_departed(now, run_id, order);
        }
        if order.is_some_and(|it| Some(it) < self.newest) {
            return;
        }
        match &mut self.newest {
            Some(newest) => newest.sequence = u64::MAX,
            // It was taken over and has announced nothing to this process.
            None => self.remember_departed(now, run_id, order),
        }
        self.announced = Some(Stage::Gone);
        self.move_to(Stage::Gone);
    }

    /// A process that has just started can hear of the end of a run before anything else of it.
    fn remember_departed(&mut self, now: Time, run_id: &str, order: Option<AnnouncementOrder>) {
        self.departed.retain(|it| *it.run != *run_id);
        if self.departed.len() == MAX_DEPARTED {
            self.departed.remove(0);
        }
        self.departed.push(Departed {
            run: Arc::from(run_id),
            run_started_ms: order.map(|order| order.run_started_ms),
            until: now + DEPARTED_TIME,
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
        self.departed.retain(|it| it.until > now);
        let run = upstream.run_id.as_ref();
        let known = self.departed.iter_mut().find(|it| Some(&it.run) == run);
        let Some(known) = known else {
            return false;
        };
        let run_started_ms = order.map(|order| order.run_started_ms);
        let first = *known
            .run_started_ms
            .get_or_insert(run_started_ms.unwrap_or(u64::MAX));
        run_started_ms.is_none_or(|run_started_ms| run_started_ms <= first)
    }

    /// Ends the endpoint if its upstream has stopped announcing itself.
    pub(crate) fn expire(&mut self, now: Time) {
        if self.lease.is_some_and(|lease| lease <= now) {
            self.announced = Some(Stage::Gone);
            self.move_to(Stage::Gone);
        }
    }

    /// Takes over the upstream that an earlier process of the node left, until the upstream announces
    /// itself. It names the run that it stands for, so that another one refuses its requests.
    pub(crate) fn adopt(&mut self, now: Time, upstream: Upstream) {
        let run = upstream.run_id.as_ref();
        let departed = self.departed.iter().any(|it| Some(&it.run) == run);
        if self.is_empty() && !self.leaving && !departed {
            self.slot = Slot::from_announced(Stage::Ready, upstream);
            self.lease = Some(now + ADOPTED_LEASE);
        }
    }

    /// Whether the node knows no upstream yet.
    pub(crate) fn is_empty(&self) -> bool {
        matches!(self.slot, Slot::Empty)
    }

    /// Stage that the upstream has announced; [`Stage::Gone`] if there is none.
    pub(crate) fn announced(&self) -> Stage {
        self.announced.unwrap_or(Stage::Gone)
    }

    /// Gives the upstream time to announce itself after a pause of this process.
    pub(crate) fn restart(&mut self, now: Time) {
        self.lease = self.lease.map(|_| now + LEASE);
    }

    /// The node takes no new requests from now on.
    pub(crate) fn drain(&mut self) {
        self.leaving = true;
        self.move_to(Stage::Draining);
    }

    /// All that ran has finished.
    pub(crate) fn finish(&mut self) {
        self.leaving = true;
        self.move_to(Stage::Gone);
    }

    fn move_to(&mut self, stage: Stage) {
        if stage == Stage::Gone {
            self.lease = None;
        }
        let moved = std::mem::take(&mut self.slot).advance(stage);
        self.slot = moved.unwrap_or_else(|unmoved| unmoved);
    }
}
