//! What the traffic threads need to know of rollouts.

use std::sync::Arc;

use crate::Phase;
use crate::Revision;
use kernel::Time;

/// An order whose target may get requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Trial {
    /// Revision of the order, which identifies it.
    pub order: Revision,
    /// Version on trial.
    pub target: Arc<str>,
    /// Phase of the order.
    pub phase: Phase,
    /// Whether the target gets no more requests.
    pub halted: bool,
    /// Time from which the state is too old to send requests to the target.
    pub fresh_until: Time,
}

/// State of one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceView {
    /// Name of the service.
    pub service: Arc<str>,
    /// Established version; `None` until it is known.
    pub established: Option<Arc<str>>,
    /// The newest order.
    pub trial: Option<Trial>,
}

impl ServiceView {
    /// Whether an endpoint of this version gets requests without limit. An endpoint without a version is of a
    /// node that announces none, and gets them as before.
    pub fn is_open(&self, version: Option<&str>) -> bool {
        let Some(version) = version else {
            return true;
        };
        let promoted = self
            .trial
            .as_ref()
            .filter(|it| it.phase == Phase::Promoting && !it.halted);
        match (promoted, &self.established) {
            (Some(trial), _) => *trial.target == *version,
            (None, Some(established)) => **established == *version,
            (None, None) => true,
        }
    }

    /// The order that has no verdict yet.
    pub fn open_trial(&self) -> Option<&Trial> {
        self.trial.as_ref().filter(|it| !it.phase.is_verdict())
    }

    /// The order whose target gets a share of the requests, if one runs.
    pub fn canary(&self) -> Option<&Trial> {
        let trial = self.trial.as_ref()?;
        (trial.phase == Phase::Running && !trial.halted).then_some(trial)
    }
}

/// State of all services of which the node knows something, sorted by name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct View {
    services: Vec<ServiceView>,
    holds_unknown: bool,
    canary_permille: u32,
}

impl View {
    /// Creates a view; `services` is sorted by name. With `holds_unknown`, a service whose established version is not
    /// known gets no requests at endpoints that announce a version: the node has just started, and cannot tell
    /// an established version from one on trial.
    pub fn new(services: Vec<ServiceView>, holds_unknown: bool) -> Self {
        Self {
            services,
            holds_unknown,
            canary_permille: 0,
        }
    }

    /// Returns the view with this part of a service's requests, in thousandths, for a version on trial.
    #[must_use]
    pub fn with_canary_permille(self, canary_permille: u32) -> Self {
        Self {
            canary_permille,
            ..self
        }
    }

    /// Part of a service's requests, in thousandths, for a version on trial.
    pub fn canary_permille(&self) -> u32 {
        self.canary_permille
    }

    /// Whether an endpoint of a service gets requests without limit if any endpoint of the service does; `None`
    /// if no endpoint of its version gets requests in any case.
    pub fn is_open(&self, service: &str, version: Option<&str>) -> Option<bool> {
        let known = self.find(service);
        let is_known = known.is_some_and(|it| it.established.is_some());
        if self.holds_unknown && !is_known && version.is_some() {
            return None;
        }
        Some(known.is_none_or(|it| it.is_open(version)))
    }

    /// All services.
    pub fn services(&self) -> &[ServiceView] {
        &self.services
    }

    /// State of the service with this name.
    pub fn find(&self, service: &str) -> Option<&ServiceView> {
        let index = self
            .services
            .binary_search_by(|it| (*it.service).cmp(service));
        index.ok().map(|index| &self.services[index])
    }
}
