//! What the entry has seen of each endpoint's node.

use std::time::Duration;

use ids::NodeId;
use ids::Rank;
use kernel::Time;
use policy::FULL_WEIGHT;
use policy::Load;

/// Age at which a reported load counts for nothing.
const LOAD_LIFETIME: Duration = Duration::from_secs(1);
/// Age up to which a report can lead to early shedding; owners under load report every few
/// milliseconds, so an older report says little.
const MAX_SHED_REPORT_AGE: Duration = Duration::from_millis(250);
/// Time over which a new endpoint gets up to its full share of work.
const SLOW_START: Duration = Duration::from_secs(5);
/// Weight of an endpoint at the start of its ramp, in thousandths.
const SLOW_START_MIN_WEIGHT: u32 = 100;
/// Longest time for which a refusal keeps requests away from a node.
const MAX_UNAVAILABLE_TIME: Duration = Duration::from_secs(5);

/// Memory of one node.
#[derive(Clone, Copy, Debug)]
pub(crate) struct NodeState {
    node: NodeId,
    /// When it became ready; `None` if it was ready before the entry knew the service, or if it has
    /// left the topology.
    ready_since: Option<Time>,
    /// Requests that the node has not answered, by rank.
    in_flight: [u32; Rank::COUNT],
    load: Option<(Load, Time)>,
    unavailable_until: Time,
}

impl NodeState {
    fn new(node: NodeId) -> Self {
        Self {
            node,
            ready_since: None,
            in_flight: [0; Rank::COUNT],
            load: None,
            unavailable_until: Time::default(),
        }
    }

    /// Requests in flight that are as urgent as `rank` or more.
    pub(crate) fn in_flight(&self, rank: Rank) -> u32 {
        self.in_flight[..=rank.index()].iter().sum()
    }

    /// The reported load as a request of the rank meets it, reduced with its age.
    pub(crate) fn aged_load(&self, now: Time, rank: Rank) -> Option<Load> {
        let (load, at) = self.load?;
        let left = LOAD_LIFETIME.checked_sub(now.since(at))?;
        let age = |count: u32| {
            let scaled = u128::from(count) * left.as_micros() / LOAD_LIFETIME.as_micros();
            u32::try_from(scaled).unwrap_or(u32::MAX)
        };
        let ahead = load.queued_by_rank[..=rank.index()].iter();
        let ahead = ahead.fold(0, |sum: u32, count| sum.saturating_add(*count));
        Some(Load {
            running: age(load.running),
            queued: age(ahead),
            ..load
        })
    }

    /// Whether a recent report says that the node refuses this rank.
    pub(crate) fn refuses_rank(&self, now: Time, rank: Rank) -> bool {
        self.load.is_some_and(|(load, at)| {
            now.since(at) < MAX_SHED_REPORT_AGE && load.least_urgent_accepted < rank
        })
    }

    /// Whether the node has said that it takes no requests for a while.
    pub(crate) fn is_unavailable(&self, now: Time) -> bool {
        self.unavailable_until > now
    }

    /// Share of work, in thousandths, by the time since the node became ready.
    pub(crate) fn slow_start_weight(&self, now: Time) -> u32 {
        let Some(since) = self.ready_since else {
            return FULL_WEIGHT;
        };
        let part = now.since(since).min(SLOW_START).as_millis()
            * u128::from(FULL_WEIGHT - SLOW_START_MIN_WEIGHT)
            / SLOW_START.as_millis();
        SLOW_START_MIN_WEIGHT + u32::try_from(part).unwrap_or(0)
    }
}

/// Memory of all nodes in the topology.
#[derive(Debug, Default)]
pub(crate) struct NodeStates {
    /// Sorted by node.
    seen: Vec<NodeState>,
}

impl NodeStates {
    pub(crate) fn get(&self, node: NodeId) -> Option<&NodeState> {
        self.position(node).ok().map(|at| &self.seen[at])
    }

    pub(crate) fn get_mut(&mut self, node: NodeId) -> &mut NodeState {
        let at = match self.position(node) {
            Ok(at) => at,
            Err(at) => {
                self.seen.insert(at, NodeState::new(node));
                at
            }
        };
        &mut self.seen[at]
    }

    /// Number of nodes that it remembers.
    pub(crate) fn len(&self) -> usize {
        self.seen.len()
    }

    pub(crate) fn record_load(&mut self, now: Time, node: NodeId, load: Load) {
        self.get_mut(node).load = Some((load, now));
    }

    pub(crate) fn mark_unavailable(&mut self, now: Time, node: NodeId, time: Duration) {
        self.get_mut(node).unavailable_until = now + time.min(MAX_UNAVAILABLE_TIME);
    }

    pub(crate) fn add_in_flight(&mut self, node: NodeId, rank: Rank) {
        self.get_mut(node).in_flight[rank.index()] += 1;
    }

    pub(crate) fn release(&mut self, node: NodeId, rank: Rank) {
        if let Ok(at) = self.position(node) {
            let in_flight = &mut self.seen[at].in_flight[rank.index()];
            *in_flight = in_flight.saturating_sub(1);
        }
    }

    /// Takes in which nodes of a service are ready. One that becomes ready beside others that were
    /// ready before starts with a small share of work.
    pub(crate) fn add_ready(&mut self, now: Time, nodes: &[NodeId]) {
        let established = nodes.iter().any(|node| self.position(*node).is_ok());
        for node in nodes {
            if let Err(at) = self.position(*node) {
                let mut seen = NodeState::new(*node);
                seen.ready_since = established.then_some(now);
                self.seen.insert(at, seen);
            }
        }
    }

    /// Forgets nodes that are not ready (`ready` is sorted) and have no request in flight.
    pub(crate) fn retain_ready(&mut self, ready: &[NodeId]) {
        self.seen.retain(|seen| {
            let used = seen.in_flight.iter().any(|count| *count > 0);
            used || ready.binary_search(&seen.node).is_ok()
        });
    }

    fn position(&self, node: NodeId) -> Result<usize, usize> {
        self.seen.binary_search_by_key(&node, |seen| seen.node)
    }
}
