//! Ejection by failures in a row and by the share of failures.
//!
//! An ejected node gets no request for a time that doubles with each ejection. Then it is on trial:
//! one request goes to it, and its outcome ends the ejection or starts the next one. A node that
//! returns gets up to its full share of work over some seconds. Only the outcomes of requests count;
//! health endpoints are never read.

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

const DEFAULT_FAILURES: u64 = 3;
const DEFAULT_PERCENT: u64 = 50;
const DEFAULT_EJECTION_MS: u64 = 2_000;
const DEFAULT_LONGEST_MS: u64 = 60_000;
/// Outcomes below which the share of failures says too little.
const MIN_OUTCOMES: u32 = 10;
/// Time after which the counts of outcomes are halved.
const HALF_LIFE: Duration = Duration::from_secs(5);
/// Time without an ejection after which the next one is short again.
const FORGIVE: Duration = Duration::from_secs(120);
/// Time after which a trial request without outcome no longer bars the next one.
const TRIAL_LIMIT: Duration = Duration::from_secs(5);
/// Time over which a returned node gets up to its full share.
const RETURN_RAMP: Duration = Duration::from_secs(5);
/// Weight of a node that has just returned, in thousandths.
const RETURN_WEIGHT: u32 = 100;
/// Weight of a node that would be ejected if the bound on ejections allowed it, in thousandths.
const SPARED_WEIGHT: u32 = 50;
/// Weight of an outcome in the share of requests that an upstream sheds.
const SHED_GAIN: f64 = 1.0 / 16.0;
/// Least weight of an upstream that sheds, in thousandths, so that its recovery is noticed.
const SHEDDING_WEIGHT: u32 = 50;
/// At most one in so many endpoints is ejected.
const EJECTED_PART: usize = 3;

#[distributed_slice(HEALTH_PLUGINS)]
static PLUGIN: Plugin<dyn Health> = Plugin {
    name: "outcomes",
    make: |params| Ok(Box::new(OutlierDetection::from_params(params)?)),
};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Standing {
    /// It gets requests; `since` is when it returned, if it was ejected.
    In { since: Option<Time> },
    /// It gets none.
    Out { since: Time, until: Time },
    /// One request decides; `sent` is when that went out.
    Trial { sent: Option<Time> },
}

#[derive(Clone, Copy, Debug)]
struct Record {
    node: NodeId,
    standing: Standing,
    in_a_row: u32,
    good: u32,
    bad: u32,
    halved: Time,
    ejections: u32,
    last_ejection: Time,
    /// Share of requests that the upstream sheds.
    shed: f64,
}

/// Outcomes of the requests to each node.
#[derive(Debug)]
pub struct OutlierDetection {
    failures: u32,
    percent: u32,
    ejection: Duration,
    longest: Duration,
    /// Sorted by node.
    records: Vec<Record>,
}

impl Record {
    fn new(node: NodeId, now: Time) -> Self {
        Self {
            node,
            standing: Standing::In { since: None },
            in_a_row: 0,
            good: 0,
            bad: 0,
            halved: now,
            ejections: 0,
            last_ejection: Time::default(),
            shed: 0.0,
        }
    }

    fn count(&mut self, now: Time, good: bool) {
        let halvings = now.since(self.halved).as_micros() / HALF_LIFE.as_micros();
        let halvings = u32::try_from(halvings).unwrap_or(u32::MAX);
        if halvings > 0 {
            self.halved = now;
            self.good = self.good.checked_shr(halvings).unwrap_or(0);
            self.bad = self.bad.checked_shr(halvings).unwrap_or(0);
        }
        if good {
            self.good = self.good.saturating_add(1);
            self.in_a_row = 0;
        } else {
            self.bad = self.bad.saturating_add(1);
            self.in_a_row = self.in_a_row.saturating_add(1);
        }
    }

    /// The standing at `now`: an ejection whose time is over becomes a trial.
    fn standing(&self, now: Time) -> Standing {
        match self.standing {
            Standing::Out { until, .. } if until <= now => Standing::Trial { sent: None },
            Standing::Trial { sent: Some(sent) } if now.since(sent) >= TRIAL_LIMIT => {
                Standing::Trial { sent: None }
            }
            other => other,
        }
    }

    /// When the node was ejected, if it must get no request now.
    fn barred_since(&self, now: Time) -> Option<Time> {
        match self.standing(now) {
            Standing::Out { since, .. } => Some(since),
            Standing::Trial { sent } => sent,
            Standing::In { .. } => None,
        }
    }
}

impl OutlierDetection {
    /// Reads `failures` (in a row, before ejection), `percent` (share of failures before ejection),
    /// `ejection_ms` (first ejection) and `longest_ms` (longest one).
    pub fn from_params(params: &Params) -> Result<Self, Error> {
        params.check_names(&["ejection_ms", "failures", "longest_ms", "percent"])?;
        let failures = params.u64_or("failures", DEFAULT_FAILURES)?;
        let percent = params.u64_or("percent", DEFAULT_PERCENT)?;
        let millis = |name, default| params.u64_or(name, default).map(Duration::from_millis);
        Ok(Self {
            failures: u32::try_from(failures).unwrap_or(u32::MAX).max(1),
            percent: u32::try_from(percent).unwrap_or(u32::MAX).clamp(1, 100),
            ejection: millis("ejection_ms", DEFAULT_EJECTION_MS)?,
            longest: millis("longest_ms", DEFAULT_LONGEST_MS)?,
            records: Vec::new(),
        })
    }

    /// Nodes that it holds a record of.
    pub fn record_count(&self) -> usize {
        self.records.len()
    }

    fn eject(&mut self, now: Time, at: usize) -> HealthChange {
        let (ejection, longest) = (self.ejection, self.longest);
        let record = &mut self.records[at];
        if now.since(record.last_ejection) >= FORGIVE {
            record.ejections = 0;
        }
        let time = ejection
            .saturating_mul(2_u32.saturating_pow(record.ejections))
            .min(longest);
        record.ejections = record.ejections.saturating_add(1);
        record.last_ejection = now + time;
        record.standing = Standing::Out {
            since: now,
            until: now + time,
        };
        let health_change = HealthChange::Ejected {
            duration: time,
            ejections: record.ejections,
            consecutive_failures: record.in_a_row,
            failures: record.bad,
            outcomes: record.good.saturating_add(record.bad),
        };
        (record.in_a_row, record.good, record.bad) = (0, 0, 0);
        health_change
    }

    fn is_failing(&self, record: &Record) -> bool {
        let outcomes = record.good.saturating_add(record.bad);
        let share = u64::from(record.bad) * 100 >= u64::from(outcomes) * u64::from(self.percent);
        record.in_a_row >= self.failures || (outcomes >= MIN_OUTCOMES && share)
    }

    /// The record of a node; a new one if there is none.
    fn record_of(&mut self, now: Time, node: NodeId) -> usize {
        match self.position(node) {
            Ok(at) => at,
            Err(at) => {
                self.records.insert(at, Record::new(node, now));
                at
            }
        }
    }

    fn get(&self, node: NodeId) -> Option<&Record> {
        self.position(node).ok().map(|at| &self.records[at])
    }

    fn position(&self, node: NodeId) -> Result<usize, usize> {
        self.records
            .binary_search_by_key(&node, |record| record.node)
    }
}

impl Health for OutlierDetection {
    fn record_outcome(&mut self, now: Time, node: NodeId, good: bool) -> Option<HealthChange> {
        let at = self.record_of(now, node);
        self.records[at].count(now, good);
        match (self.records[at].standing(now), good) {
            (Standing::In { .. }, _) => self
                .is_failing(&self.records[at])
                .then(|| self.eject(now, at)),
            // Requests that were sent before the ejection, or to a node that could not be ejected.
            (Standing::Out { .. }, _) => None,
            (Standing::Trial { .. }, true) => {
                self.records[at].standing = Standing::In { since: Some(now) };
                Some(HealthChange::Readmitted)
            }
            (Standing::Trial { .. }, false) => Some(self.eject(now, at)),
        }
    }

    fn retain_healthy(&mut self, now: Time, nodes: &mut Vec<NodeId>) {
        let mut barred: Vec<(Reverse<Time>, NodeId)> = nodes
            .iter()
            .filter_map(|node| {
                let since = self.get(*node)?.barred_since(now)?;
                Some((Reverse(since), *node))
            })
            .collect();
        // Those that were ejected last are the likeliest to fail still.
        barred.sort_unstable();
        barred.truncate(nodes.len() / EJECTED_PART);
        nodes.retain(|node| !barred.iter().any(|(_, it)| it == node));
    }

    fn record_shed(&mut self, now: Time, node: NodeId, shed: bool) {
        let at = self.record_of(now, node);
        let target = if shed { 1.0 } else { 0.0 };
        let record = &mut self.records[at];
        record.shed += (target - record.shed) * SHED_GAIN;
    }

    fn record_sent(&mut self, now: Time, node: NodeId) {
        if let Ok(at) = self.position(node) {
            let record = &mut self.records[at];
            if record.standing(now) == (Standing::Trial { sent: None }) {
                record.standing = Standing::Trial { sent: Some(now) };
            }
        }
    }

    fn is_trial_due(&self, now: Time, node: NodeId) -> bool {
        self.get(node)
            .is_some_and(|record| matches!(record.standing(now), Standing::Trial { .. }))
    }

    fn weight(&self, now: Time, node: NodeId) -> u32 {
        let Some(record) = self.get(node) else {
            return FULL_WEIGHT;
        };
        let kept = 1.0 - record.shed;
        // A request is lost with the upstream that sheds it, so that its weight falls faster than
        // what it does.
        let full = ((f64::from(FULL_WEIGHT) * kept * kept) as u32).max(SHEDDING_WEIGHT);
        match record.standing(now) {
            Standing::In { since: None } | Standing::Trial { sent: None } => full,
            Standing::In { since: Some(since) } => {
                let gained = u128::from(FULL_WEIGHT - RETURN_WEIGHT)
                    * now.since(since).min(RETURN_RAMP).as_millis()
                    / RETURN_RAMP.as_millis();
                (RETURN_WEIGHT + u32::try_from(gained).unwrap_or(0)).min(full)
            }
            Standing::Out { .. } | Standing::Trial { sent: Some(_) } => SPARED_WEIGHT,
        }
    }

    fn retain_nodes(&mut self, nodes: &[NodeId]) {
        self.records
            .retain(|record| nodes.binary_search(&record.node).is_ok());
    }
}
