//! State that the entry keeps of each node with an endpoint: reported load, requests in flight,
//! unavailability and slow start.

use std::time::Duration;

use ids::NodeId;
use ids::Rank;
use kernel::Time;
use policy::FULL_WEIGHT;
use policy::Load;
use policy::RequestRate;

/// Age at which a load report no longer counts; its weight falls linearly until then.
const LOAD_LIFETIME: Duration = Duration::from_secs(1);
/// Age up to which a load report can lead to early shedding. Owners under load send a report every
/// few milliseconds, so an older report says little.
const MAX_SHED_REPORT_AGE: Duration = Duration::from_millis(250);
/// Age at which a rate limit no longer counts. An owner sends a request to its upstream at least every
/// 5 s, however low the limit is.
const RATE_LIMIT_LIFETIME: Duration = Duration::from_secs(10);
/// Duration of the slow start, over which the weight of a new endpoint rises to its full value.
const SLOW_START: Duration = Duration::from_secs(5);
/// Time for which a new endpoint is not tried, because its speed says nothing about its version. Known upstreams are
/// at half their speed for 3 s.
const COLD_TIME: Duration = Duration::from_millis(3_200);
/// Weight of an endpoint at the beginning of its slow start, in thousandths.
const SLOW_START_MIN_WEIGHT: u32 = 100;
/// Maximum time for which one refusal makes the entry pass over a node.
const MAX_UNAVAILABLE_TIME: Duration = Duration::from_secs(5);

/// What the entry knows of one node.
#[derive(Clone, Copy, Debug)]
pub(crate) struct NodeState {
    node: NodeId,
    /// Time at which the node became ready, from which the slow start counts; `None` if the node
    /// was ready before the entry knew the service, or is not in the topology.
    ready_since: Option<Time>,
    /// Requests of this entry that the node has not answered, by rank.
    in_flight: [u32; Rank::REQUEST_COUNT],
    /// Latest load report and the time of its arrival.
    load: Option<(Load, Time)>,
    /// Rate limit that the upstream named in its latest response, and the time of that response.
    rate_limit: Option<(RequestRate, Time)>,
    unavailable_until: Time,
}

impl NodeState {
    fn new(node: NodeId) -> Self {
        Self {
            node,
            ready_since: None,
            in_flight: [0; Rank::REQUEST_COUNT],
            load: None,
            rate_limit: None,
            unavailable_until: Time::default(),
        }
    }

    /// Number of requests in flight at this rank and at more urgent ones.
    pub(crate) fn in_flight(&self, rank: Rank) -> u32 {
        self.in_flight[..=rank.index()].iter().sum()
    }

    /// The reported load, reduced in proportion to the age of the report. Queued requests count
    /// only up to `rank`, since the others do not delay a request of this rank. `None` without a
    /// recent report.
    pub(crate) fn aged_load(&self, now: Time, rank: Rank) -> Option<Load> {
        let (load, reported_at) = self.load?;
        let remaining = LOAD_LIFETIME.checked_sub(now.since(reported_at))?;
        let scale = |count: u32| {
            let scaled = u128::from(count) * remaining.as_micros() / LOAD_LIFETIME.as_micros();
            u32::try_from(scaled).unwrap_or(u32::MAX)
        };
        let queued_ahead = load.queued_by_rank[..=rank.index()].iter();
        let queued_ahead = queued_ahead.fold(0, |sum: u32, count| sum.saturating_add(*count));
        Some(Load {
            running: scale(load.running),
            queued: scale(queued_ahead),
            link_busy: self.link_busy(now),
            ..load
        })
    }

    /// Time for which the link of the node is still busy, by its latest report.
    pub(crate) fn link_busy(&self, now: Time) -> Duration {
        self.load.map_or(Duration::ZERO, |(load, reported_at)| {
            load.link_busy.saturating_sub(now.since(reported_at))
        })
    }

    /// Whether the node has recently reported that its link cannot carry a large response within `time_left`.
    pub(crate) fn refuses_large_responses(&self, now: Time, time_left: Duration) -> bool {
        let reported_at = self.load.map(|(_, reported_at)| reported_at);
        reported_at.is_some_and(|it| now.since(it) < MAX_SHED_REPORT_AGE)
            && self.link_busy(now) >= time_left
    }

    /// Whether the node has recently reported that it refuses requests of this rank.
    pub(crate) fn refuses_rank(&self, now: Time, rank: Rank) -> bool {
        self.load.is_some_and(|(load, reported_at)| {
            now.since(reported_at) < MAX_SHED_REPORT_AGE && !load.accepts(rank)
        })
    }

    /// The rate limit that the upstream has named in a recent response.
    pub(crate) fn rate_limit(&self, now: Time) -> Option<RequestRate> {
        let (rate, named_at) = self.rate_limit?;
        (now.since(named_at) < RATE_LIMIT_LIFETIME).then_some(rate)
    }

    /// Whether the node has refused a request because it accepts none for some time.
    pub(crate) fn is_unavailable(&self, now: Time) -> bool {
        self.unavailable_until > now
    }

    /// Whether the node has become ready too recently for its upstream to have its full speed.
    pub(crate) fn is_cold(&self, now: Time) -> bool {
        self.ready_since
            .is_some_and(|since| now.since(since) < COLD_TIME)
    }

    /// Weight of the node, in thousandths, by the time since it became ready.
    pub(crate) fn slow_start_weight(&self, now: Time) -> u32 {
        let Some(since) = self.ready_since else {
            return FULL_WEIGHT;
        };
        let gained = now.since(since).min(SLOW_START).as_millis()
            * u128::from(FULL_WEIGHT - SLOW_START_MIN_WEIGHT)
            / SLOW_START.as_millis();
        SLOW_START_MIN_WEIGHT + u32::try_from(gained).unwrap_or(0)
    }
}

/// State of the nodes in the topology and of those that still have requests in flight.
#[derive(Debug, Default)]
pub(crate) struct NodeStates {
    /// Sorted by node.
    nodes: Vec<NodeState>,
}

impl NodeStates {
    pub(crate) fn get(&self, node: NodeId) -> Option<&NodeState> {
        self.position(node).ok().map(|index| &self.nodes[index])
    }

    pub(crate) fn get_mut(&mut self, node: NodeId) -> &mut NodeState {
        let index = match self.position(node) {
            Ok(index) => index,
            Err(index) => {
                self.nodes.insert(index, NodeState::new(node));
                index
            }
        };
        &mut self.nodes[index]
    }

    /// Number of nodes with state.
    pub(crate) fn len(&self) -> usize {
        self.nodes.len()
    }

    pub(crate) fn record_load(&mut self, now: Time, node: NodeId, load: Load) {
        self.get_mut(node).load = Some((load, now));
    }

    pub(crate) fn record_rate_limit(&mut self, now: Time, node: NodeId, rate: Option<RequestRate>) {
        self.get_mut(node).rate_limit = rate.map(|rate| (rate, now));
    }

    pub(crate) fn mark_unavailable(&mut self, now: Time, node: NodeId, duration: Duration) {
        self.get_mut(node).unavailable_until = now + duration.min(MAX_UNAVAILABLE_TIME);
    }

    pub(crate) fn add_in_flight(&mut self, node: NodeId, rank: Rank) {
        self.get_mut(node).in_flight[rank.index()] += 1;
    }

    pub(crate) fn remove_in_flight(&mut self, node: NodeId, rank: Rank) {
        if let Ok(index) = self.position(node) {
            let in_flight = &mut self.nodes[index].in_flight[rank.index()];
            *in_flight = in_flight.saturating_sub(1);
        }
    }

    /// Adds the ready nodes of a service that have no state yet. If another node of the service has
    /// state, the added ones begin a slow start.
    pub(crate) fn add_ready(&mut self, now: Time, nodes: &[NodeId]) {
        let has_known_node = nodes.iter().any(|node| self.position(*node).is_ok());
        for node in nodes {
            if let Err(index) = self.position(*node) {
                let mut state = NodeState::new(*node);
                state.ready_since = has_known_node.then_some(now);
                self.nodes.insert(index, state);
            }
        }
    }

    /// Removes nodes that are not in `ready`, which is sorted, and have no request in flight.
    pub(crate) fn retain_ready(&mut self, ready: &[NodeId]) {
        self.nodes.retain(|state| {
            let in_use = state.in_flight.iter().any(|count| *count > 0);
            in_use || ready.binary_search(&state.node).is_ok()
        });
    }

    fn position(&self, node: NodeId) -> Result<usize, usize> {
        self.nodes.binary_search_by_key(&node, |state| state.node)
    }
}
