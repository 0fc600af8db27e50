//! Passive outlier detection: ejects nodes by consecutive failures and by their failure rate.
//!
//! An ejected node gets no requests for a time that doubles with each ejection. Then it gets one
//! trial request, whose outcome either readmits the node or ejects it again. The weight of a
//! readmitted node rises to the full weight over some seconds. Only the outcomes of requests count;
//! there are no active health checks.

use std::cmp::Reverse;
use std::time::Duration;

use linkme::distributed_slice;

use ids::NodeId;
use kernel::Plugin;
use kernel::Time;
use kernel::plugin::Error;
use kernel::plugin::Params;
use policy::FULL_WEIGHT;
use policy::HEALTH_PLUGINS;
use policy::Health;
use policy::HealthChange;

const DEFAULT_FAILURE_THRESHOLD: u64 = 3;
const DEFAULT_PERCENT_THRESHOLD: u64 = 50;
const DEFAULT_INITIAL_EJECTION_MS: u64 = 2_000;
const DEFAULT_MAX_EJECTION_MS: u64 = 60_000;
/// Number of outcomes below which the failure rate is ignored, since it says too little.
const MIN_OUTCOMES: u32 = 10;
/// Interval at which the counts of outcomes are halved.
const HALF_LIFE: Duration = Duration::from_secs(5);
/// Time after the end of an ejection after which the next one has the initial length again.
const EJECTION_COUNT_RESET: Duration = Duration::from_secs(120);
/// Time after which a trial request without an outcome no longer blocks the next one.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(5);
/// Time over which the weight of a readmitted node rises to the full weight.
const READMISSION_RAMP: Duration = Duration::from_secs(5);
/// Weight of a node at its readmission, in thousandths.
const READMISSION_WEIGHT: u32 = 100;
/// Weight, in thousandths, of an ejected node that stays in use because too many others are
/// ejected.
const EJECTED_WEIGHT: u32 = 50;
/// Smoothing factor of the moving average of the share of requests that an upstream sheds.
const SHED_SMOOTHING: f64 = 1.0 / 16.0;
/// Minimum weight of a node whose upstream sheds requests, in thousandths. Some requests have to
/// reach the upstream for its recovery to be noticed.
const MIN_SHEDDING_WEIGHT: u32 = 50;
/// At most one node is ejected per this number of nodes, so that the others are not overloaded.
const NODES_PER_EJECTION: usize = 3;

#[distributed_slice(HEALTH_PLUGINS)]
static PLUGIN: Plugin<dyn Health> = Plugin {
    name: "outcomes",
    make: |params| Ok(Box::new(OutlierDetection::from_params(params)?)),
};

/// Whether a node is ejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EjectionState {
    /// The node gets requests; `readmitted` is the time of its last readmission, if there was one.
    Active { readmitted: Option<Time> },
    /// The node was ejected at `since` and gets no requests before `until`.
    Ejected { since: Time, until: Time },
    /// The outcome of a trial request decides on readmission; `sent` is the time when the request
    /// was sent, if that has happened.
    Trial { sent: Option<Time> },
}

/// Outcomes of the requests to one node, and its ejections.
#[derive(Clone, Copy, Debug)]
struct NodeRecord {
    node: NodeId,
    state: EjectionState,
    consecutive_failures: u32,
    /// Successful requests, halved every [`HALF_LIFE`].
    successes: u32,
    /// Failed requests, halved every [`HALF_LIFE`].
    failures: u32,
    last_halving: Time,
    /// Ejections since the count was last reset, see [`EJECTION_COUNT_RESET`].
    ejections: u32,
    last_ejection_end: Time,
    /// Moving average of the share of requests that the upstream sheds, from 0 to 1.
    shed_share: f64,
}

/// Ejects nodes by the outcomes of the requests to them.
#[derive(Debug)]
pub struct OutlierDetection {
    /// Consecutive failures that eject a node.
    failure_threshold: u32,
    /// Failure rate that ejects a node, in percent.
    percent_threshold: u32,
    /// Length of the first ejection.
    initial_ejection: Duration,
    /// Upper bound of the length of an ejection.
    max_ejection: Duration,
    /// Records of the nodes, sorted by node.
    records: Vec<NodeRecord>,
}

impl NodeRecord {
    fn new(node: NodeId, now: Time) -> Self {
        Self {
            node,
            state: EjectionState::Active { readmitted: None },
            consecutive_failures: 0,
            successes: 0,
            failures: 0,
            last_halving: now,
            ejections: 0,
            last_ejection_end: Time::default(),
            shed_share: 0.0,
        }
    }

    /// Halves the counts of outcomes if that is due, then counts one more outcome.
    fn count_outcome(&mut self, now: Time, success: bool) {
        let halvings = now.since(self.last_halving).as_micros() / HALF_LIFE.as_micros();
        let halvings = u32::try_from(halvings).unwrap_or(u32::MAX);
        if halvings > 0 {
            self.last_halving = now;
            self.successes = self.successes.checked_shr(halvings).unwrap_or(0);
            self.failures = self.failures.checked_shr(halvings).unwrap_or(0);
        }
        if success {
            self.successes = self.successes.saturating_add(1);
            self.consecutive_failures = 0;
        } else {
            self.failures = self.failures.saturating_add(1);
            self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        }
    }

    /// Returns the state at `now`. An ejection that is over, or a trial request that timed out,
    /// allows a new trial request.
    fn state_at(&self, now: Time) -> EjectionState {
        match self.state {
            EjectionState::Ejected { until, .. } if until <= now => {
                EjectionState::Trial { sent: None }
            }
            EjectionState::Trial { sent: Some(sent) } if now.since(sent) >= TRIAL_TIMEOUT => {
                EjectionState::Trial { sent: None }
            }
            other => other,
        }
    }

    /// Returns the time since which the node may not get requests, which is the time of its
    /// ejection or of its pending trial request. Returns `None` if the node may get a request at
    /// `now`.
    fn blocked_since(&self, now: Time) -> Option<Time> {
        match self.state_at(now) {
            EjectionState::Ejected { since, .. } => Some(since),
            EjectionState::Trial { sent } => sent,
            EjectionState::Active { .. } => None,
        }
    }
}

impl OutlierDetection {
    /// Reads the params `failures` (consecutive failures that eject a node), `percent` (failure
    /// rate that ejects a node), `ejection_ms` (length of the first ejection) and `longest_ms`
    /// (upper bound of the length of an ejection).
    pub fn from_params(params: &Params) -> Result<Self, Error> {
        params.check_names(&["ejection_ms", "failures", "longest_ms", "percent"])?;
        let failure_threshold = params.u64_or("failures", DEFAULT_FAILURE_THRESHOLD)?;
        let percent_threshold = params.u64_or("percent", DEFAULT_PERCENT_THRESHOLD)?;
        let millis = |name, default| params.u64_or(name, default).map(Duration::from_millis);
        Ok(Self {
            failure_threshold: u32::try_from(failure_threshold).unwrap_or(u32::MAX).max(1),
            percent_threshold: u32::try_from(percent_threshold)
                .unwrap_or(u32::MAX)
                .clamp(1, 100),
            initial_ejection: millis("ejection_ms", DEFAULT_INITIAL_EJECTION_MS)?,
            max_ejection: millis("longest_ms", DEFAULT_MAX_EJECTION_MS)?,
            records: Vec::new(),
        })
    }

    /// Number of nodes that have a record.
    pub fn record_count(&self) -> usize {
        self.records.len()
    }

    /// Ejects the node of the record at `index`; each ejection is twice as long as the one before
    /// it, up to the bound.
    fn eject(&mut self, now: Time, index: usize) -> HealthChange {
        let (initial_ejection, max_ejection) = (self.initial_ejection, self.max_ejection);
        let record = &mut self.records[index];
        if now.since(record.last_ejection_end) >= EJECTION_COUNT_RESET {
            record.ejections = 0;
        }
        let duration = initial_ejection
            .saturating_mul(2_u32.saturating_pow(record.ejections))
            .min(max_ejection);
        record.ejections = record.ejections.saturating_add(1);
        record.last_ejection_end = now + duration;
        record.state = EjectionState::Ejected {
            since: now,
            until: now + duration,
        };
        let health_change = HealthChange::Ejected {
            duration,
            ejections: record.ejections,
            consecutive_failures: record.consecutive_failures,
            failures: record.failures,
            outcomes: record.successes.saturating_add(record.failures),
        };
        (
            record.consecutive_failures,
            record.successes,
            record.failures,
        ) = (0, 0, 0);
        health_change
    }

    /// Whether the outcomes of the node reach a threshold for ejection.
    fn is_outlier(&self, record: &NodeRecord) -> bool {
        let outcomes = record.successes.saturating_add(record.failures);
        let is_rate_exceeded = u64::from(record.failures) * 100
            >= u64::from(outcomes) * u64::from(self.percent_threshold);
        record.consecutive_failures >= self.failure_threshold
            || (outcomes >= MIN_OUTCOMES && is_rate_exceeded)
    }

    /// Returns the position of the record of `node`; adds a record if there is none.
    fn position_or_insert(&mut self, now: Time, node: NodeId) -> usize {
        match self.position(node) {
            Ok(index) => index,
            Err(index) => {
                self.records.insert(index, NodeRecord::new(node, now));
                index
            }
        }
    }

    fn get(&self, node: NodeId) -> Option<&NodeRecord> {
        self.position(node).ok().map(|index| &self.records[index])
    }

    fn position(&self, node: NodeId) -> Result<usize, usize> {
        self.records
            .binary_search_by_key(&node, |record| record.node)
    }
}

impl Health for OutlierDetection {
    fn record_outcome(&mut self, now: Time, node: NodeId, success: bool) -> Option<HealthChange> {
        let index = self.position_or_insert(now, node);
        self.records[index].count_outcome(now, success);
        match (self.records[index].state_at(now), success) {
            (EjectionState::Active { .. }, _) => self
                .is_outlier(&self.records[index])
                .then(|| self.eject(now, index)),
            // The request was sent before the ejection, or the node stays in use because too many
            // others are ejected.
            (EjectionState::Ejected { .. }, _) => None,
            (EjectionState::Trial { .. }, true) => {
                self.records[index].state = EjectionState::Active {
                    readmitted: Some(now),
                };
                Some(HealthChange::Readmitted)
            }
            (EjectionState::Trial { .. }, false) => Some(self.eject(now, index)),
        }
    }

    fn retain_healthy(&mut self, now: Time, nodes: &mut Vec<NodeId>) {
        let mut blocked: Vec<(Reverse<Time>, NodeId)> = nodes
            .iter()
            .filter_map(|node| {
                let since = self.get(*node)?.blocked_since(now)?;
                Some((Reverse(since), *node))
            })
            .collect();
        // The most recently ejected nodes are the most likely to still fail, so they stay ejected and
        // the bound on ejections keeps the others in use.
        blocked.sort_unstable();
        blocked.truncate(nodes.len() / NODES_PER_EJECTION);
        nodes.retain(|node| !blocked.iter().any(|(_, other)| other == node));
    }

    fn record_shed(&mut self, now: Time, node: NodeId, shed: bool) {
        let index = self.position_or_insert(now, node);
        let sample = if shed { 1.0 } else { 0.0 };
        let record = &mut self.records[index];
        record.shed_share += (sample - record.shed_share) * SHED_SMOOTHING;
    }

    fn record_sent(&mut self, now: Time, node: NodeId) {
        if let Ok(index) = self.position(node) {
            let record = &mut self.records[index];
            if record.state_at(now) == (EjectionState::Trial { sent: None }) {
                record.state = EjectionState::Trial { sent: Some(now) };
            }
        }
    }

    fn is_trial_due(&self, now: Time, node: NodeId) -> bool {
        self.get(node)
            .is_some_and(|record| matches!(record.state_at(now), EjectionState::Trial { .. }))
    }

    fn weight(&self, now: Time, node: NodeId) -> u32 {
        let Some(record) = self.get(node) else {
            return FULL_WEIGHT;
        };
        let accepted_share = 1.0 - record.shed_share;
        // A request that an upstream sheds is lost, so the weight falls faster than the share of
        // requests that the upstream accepts: with its square.
        let full = ((f64::from(FULL_WEIGHT) * accepted_share * accepted_share) as u32)
            .max(MIN_SHEDDING_WEIGHT);
        match record.state_at(now) {
            EjectionState::Active { readmitted: None } | EjectionState::Trial { sent: None } => {
                full
            }
            EjectionState::Active {
                readmitted: Some(readmitted),
            } => {
                let gained = u128::from(FULL_WEIGHT - READMISSION_WEIGHT)
                    * now.since(readmitted).min(READMISSION_RAMP).as_millis()
                    / READMISSION_RAMP.as_millis();
                (READMISSION_WEIGHT + u32::try_from(gained).unwrap_or(0)).min(full)
            }
            EjectionState::Ejected { .. } | EjectionState::Trial { sent: Some(_) } => {
                EJECTED_WEIGHT
            }
        }
    }

    fn retain_nodes(&mut self, nodes: &[NodeId]) {
        self.records
            .retain(|record| nodes.binary_search(&record.node).is_ok());
    }
}
