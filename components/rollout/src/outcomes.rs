//! Outcomes of requests by version and route, as one entry counts them during an order.

use std::time::Duration;

use crate::Revision;
use ids::NodeId;
use ids::RouteId;
use ids::ServiceId;

/// Maximum number of tallies of one order, so that they fit into a datagram.
pub const MAX_TALLIES: usize = 24;
/// Maximum number of services that are counted at once.
const MAX_SERVICES: usize = 64;
/// Answers of the established version from which its mean duration is known.
const MIN_MEAN_SAMPLES: u32 = 10;
/// A request is slow from this multiple of the mean duration of the established version.
const SLOW_FACTOR: u32 = 3;

/// Numbers of requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// All requests with a known outcome.
    pub requests: u32,
    /// Requests that failed.
    pub failures: u32,
    /// Requests that were slow or refused for want of room.
    pub slow: u32,
}

impl Counts {
    /// Adds other numbers.
    pub fn add(&mut self, other: Self) {
        self.requests = self.requests.saturating_add(other.requests);
        self.failures = self.failures.saturating_add(other.failures);
        self.slow = self.slow.saturating_add(other.slow);
    }

    /// The numbers beyond those of an earlier count.
    pub fn since(self, earlier: Self) -> Self {
        Self {
            requests: self.requests.saturating_sub(earlier.requests),
            failures: self.failures.saturating_sub(earlier.failures),
            slow: self.slow.saturating_sub(earlier.slow),
        }
    }
}

/// Running totals of one route at one endpoint on trial, or at all others together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tally {
    /// The route.
    pub route: RouteId,
    /// Node of the endpoint on trial; `None` for the established version.
    pub canary: Option<NodeId>,
    /// The totals.
    pub counts: Counts,
}

/// Outcome of one request.
#[derive(Clone, Copy, Debug)]
pub struct Outcome {
    /// The route.
    pub route: RouteId,
    /// Node of the endpoint on trial; `None` for the established version.
    pub canary: Option<NodeId>,
    /// Whether it failed.
    pub failed: bool,
    /// Whether it was not served in time, or refused for want of room.
    pub overdue: bool,
    /// Time until the answer.
    pub duration: Duration,
    /// Latency objective of the route.
    pub objective: Option<Duration>,
}

/// Outcomes of one service during one order.
#[derive(Debug)]
struct ServiceOutcomes {
    service: ServiceId,
    order: Revision,
    tallies: Vec<Tally>,
    /// Number and summed duration of the answers of the established version, by route.
    durations: Vec<(RouteId, u32, Duration)>,
}

/// Outcomes of all services with an order.
#[derive(Debug, Default)]
pub struct Outcomes {
    services: Vec<ServiceOutcomes>,
}

impl Outcomes {
    /// Counts an outcome. The counts of a service begin with its order.
    pub fn record(&mut self, service: ServiceId, order: Revision, outcome: Outcome) {
        let known = self.services.iter().position(|it| it.service == service);
        if let Some(index) = known.filter(|index| self.services[*index].order != order) {
            self.services.swap_remove(index);
        }
        let index = self.services.iter().position(|it| it.service == service);
        let index = index.unwrap_or(self.services.len());
        if index >= MAX_SERVICES {
            return;
        }
        if index == self.services.len() {
            self.services.push(ServiceOutcomes {
                service,
                order,
                tallies: Vec::new(),
                durations: Vec::new(),
            });
        }
        self.services[index].record(outcome);
    }

    /// The totals of a service during this order.
    pub fn tallies(&self, service: ServiceId, order: Revision) -> &[Tally] {
        let found = self
            .services
            .iter()
            .find(|it| it.service == service && it.order == order);
        found.map_or(&[], |it| &it.tallies)
    }
}

impl ServiceOutcomes {
    fn record(&mut self, outcome: Outcome) {
        let is_slow = !outcome.failed && self.is_slow(&outcome);
        if outcome.canary.is_none() && !outcome.failed && !outcome.overdue {
            self.record_duration(&outcome);
        }
        let key = (outcome.route, outcome.canary);
        let position = self
            .tallies
            .iter()
            .position(|it| (it.route, it.canary) == key);
        let position = match position {
            Some(position) => position,
            None if self.tallies.len() >= MAX_TALLIES => return,
            None => {
                self.tallies.push(Tally {
                    route: outcome.route,
                    canary: outcome.canary,
                    counts: Counts::default(),
                });
                self.tallies.len() - 1
            }
        };
        self.tallies[position].counts.add(Counts {
            requests: 1,
            failures: outcome.failed.into(),
            slow: is_slow.into(),
        });
    }

    /// Whether a request took longer than the objective or than a multiple of the mean, whichever is shorter: a
    /// download can be several times as slow and still meet its objective.
    fn is_slow(&self, outcome: &Outcome) -> bool {
        let known = self.durations.iter().find(|it| it.0 == outcome.route);
        let known = known.filter(|(_, samples, _)| *samples >= MIN_MEAN_SAMPLES);
        let by_mean = known.map(|(_, samples, sum)| *sum / *samples * SLOW_FACTOR);
        let limit = outcome.objective.into_iter().chain(by_mean).min();
        outcome.overdue || limit.is_some_and(|limit| outcome.duration > limit)
    }

    fn record_duration(&mut self, outcome: &Outcome) {
        let position = self.durations.iter().position(|it| it.0 == outcome.route);
        match position {
            Some(index) => {
                let (_, samples, sum) = &mut self.durations[index];
                *samples = samples.saturating_add(1);
                *sum = sum.saturating_add(outcome.duration);
            }
            None if self.durations.len() < MAX_TALLIES => {
                self.durations.push((outcome.route, 1, outcome.duration));
            }
            None => {}
        }
    }
}
