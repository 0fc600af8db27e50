//! Queue of the waiting requests of one level that is fair between routes and between the organisations that
//! use them.
//!
//! Each organisation is a flow on each route, and flows are scheduled by start-time fair queueing: a dispatched request
//! advances the start tag of its flow by its cost over the flow's weight, and the flow with the
//! lowest start tag is next. A flow that was empty starts at the virtual time of the queue, so that
//! an idle flow accumulates no credit.
//!
//! Calls that an upstream makes as part of a run have flows of their own, which go before all others,
//! because a run whose call fails has occupied a slot for nothing. The others keep a small share of the
//! slot time, so that calls without end do not exclude them.

use std::collections::VecDeque;

use ids::OrganisationId;
use ids::RouteId;
use kernel::Time;
use policy::Job;
use policy::Ticket;

/// Share of the slot time that flows of new requests keep while calls of upstreams wait.
const NEW_REQUESTS_SHARE: f64 = 0.05;
/// Number of waiting new requests that are not evicted for calls of upstreams, so that there are requests
/// to run from their share of the slot time.
const PROTECTED_NEW_REQUESTS: usize = 4;

/// A request that waits for a slot.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WaitingRequest {
    pub(crate) job: Job,
    /// Expected slot time, in microseconds.
    pub(crate) cost: f64,
    /// Slot time that the request is assumed to take at most, in microseconds; higher than every
    /// measured cost if the route has not been measured.
    pub(crate) worst_case_cost: f64,
    /// Latest time at which the request must start to finish before it expires.
    pub(crate) latest_start: Time,
    /// Latest time at which the request must start to meet its objective, if it has one.
    pub(crate) latest_objective_start: Option<Time>,
}

/// Kind of flow, in the order in which they run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum FlowClass {
    /// Calls that an upstream makes as part of a run.
    Onward,
    /// All other requests.
    New,
}

/// What the requests of a flow have in common.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct FlowId {
    class: FlowClass,
    route: RouteId,
    organisation: Option<OrganisationId>,
}

impl FlowId {
    fn of(job: &Job) -> Self {
        let class = if job.onward {
            FlowClass::Onward
        } else {
            FlowClass::New
        };
        Self {
            class,
            route: job.route,
            organisation: job.organisation,
        }
    }
}

/// Totals of the flows of one class.
#[derive(Clone, Copy, Debug, Default)]
struct ClassTotals {
    /// Highest start tag of the dispatched requests, in microseconds of slot time over weight.
    virtual_time: f64,
    len: usize,
    /// Slot time of the waiting requests, in microseconds.
    work: f64,
}

/// Waiting requests of one route and organisation.
#[derive(Debug)]
struct Flow {
    id: FlowId,
    weight: f64,
    /// Virtual time at which the next request of the flow starts.
    start_tag: f64,
    /// Expected slot time of the flow's waiting requests, in microseconds.
    work: f64,
    requests: VecDeque<WaitingRequest>,
}

/// Waiting requests of one level, with one flow for each route and organisation.
#[derive(Debug, Default)]
pub(crate) struct FairQueue {
    /// Sorted by identifier.
    flows: Vec<Flow>,
    /// Indexed by class.
    totals: [ClassTotals; 2],
    /// Slot time that new requests may use before calls of upstreams, in microseconds; negative after a
    /// long request.
    new_credit: f64,
}

impl FairQueue {
    pub(crate) fn len(&self) -> usize {
        self.totals.iter().map(|it| it.len).sum()
    }

    /// Whether a request that runs before a new request like `job` waits.
    pub(crate) fn has_waiting_before(&self, job: &Job) -> bool {
        let class = FlowId::of(job).class as usize;
        self.totals[..=class].iter().any(|it| it.len > 0)
    }

    /// Slot time of all waiting requests, in microseconds; exactly 0 if none waits, whatever the
    /// rounding of the sum.
    pub(crate) fn work(&self) -> f64 {
        self.totals.iter().map(ClassTotals::work).sum()
    }

    /// Expected slot time, in microseconds, of the waiting requests that run before a request like `job`
    /// whose cost is `cost`.
    pub(crate) fn work_before(&self, job: &Job, cost: f64) -> f64 {
        let id = FlowId::of(job);
        let flow = self
            .position(id)
            .ok()
            .map(|flow_index| &self.flows[flow_index]);
        let own_work = flow.map_or(0.0, |flow| flow.work);
        let weight = f64::from(job.weight.max(1));
        let other_weight = self.other_active_weight(id);
        // While the requests of this flow run, the other flows get their shares of the slot time.
        let other_work = (own_work + cost) * other_weight / weight;
        let class = id.class as usize;
        let class_work = (own_work + other_work).min(self.totals[class].work());
        let earlier_classes = self.totals[..class].iter();
        class_work + earlier_classes.map(ClassTotals::work).sum::<f64>()
    }

    pub(crate) fn push(&mut self, waiting: WaitingRequest) {
        let id = FlowId::of(&waiting.job);
        let weight = f64::from(waiting.job.weight.max(1));
        let totals = &mut self.totals[id.class as usize];
        let virtual_time = totals.virtual_time;
        totals.len += 1;
        totals.work += waiting.cost;
        let flow_index = match self.position(id) {
            Ok(flow_index) => flow_index,
            Err(flow_index) => {
                self.flows.insert(
                    flow_index,
                    Flow {
                        id,
                        weight,
                        start_tag: virtual_time,
                        work: 0.0,
                        requests: VecDeque::new(),
                    },
                );
                flow_index
            }
        };
        let flow = &mut self.flows[flow_index];
        flow.weight = weight;
        if flow.requests.is_empty() {
            flow.start_tag = flow.start_tag.max(virtual_time);
        }
        flow.requests.push_back(waiting);
        flow.work += waiting.cost;
    }

    /// Removes and returns the next request whose worst-case cost is less than `cost_bound`.
    pub(crate) fn pop(&mut self, cost_bound: f64) -> Option<WaitingRequest> {
        let flow_index = self.next_flow(cost_bound)?;
        let waiting = self.flows[flow_index].requests.pop_front()?;
        self.deduct(flow_index, waiting.cost);
        Some(waiting)
    }

    /// Charges the cost of a dispatched request to its flow, and removes flows that are idle.
    pub(crate) fn charge(&mut self, waiting: &WaitingRequest) {
        let id = FlowId::of(&waiting.job);
        self.share_between_classes(id.class, waiting.cost);
        if let Ok(flow_index) = self.position(id) {
            let flow = &mut self.flows[flow_index];
            let totals = &mut self.totals[id.class as usize];
            totals.virtual_time = totals.virtual_time.max(flow.start_tag);
            // Before any service time is known, the cost is 0. The start tag must increase
            // nevertheless, so that the other flows get their turn.
            flow.start_tag += waiting.cost.max(1.0) / flow.weight;
        }
        let virtual_times = self.totals.map(|it| it.virtual_time);
        self.flows.retain(|flow| {
            !flow.requests.is_empty() || flow.start_tag > virtual_times[flow.id.class as usize]
        });
        if self.len() == 0 {
            self.flows.clear();
            self.totals = Default::default();
            self.new_credit = 0.0;
        }
    }

    /// Credits new requests with their share of the slot time of a call that starts before them, and
    /// charges them for one that starts before a call.
    fn share_between_classes(&mut self, class: FlowClass, cost: f64) {
        let [onward, new] = self.totals.map(|it| it.len);
        let cost = cost.max(1.0);
        match class {
            FlowClass::Onward if new > 0 => {
                let earned = cost * NEW_REQUESTS_SHARE / (1.0 - NEW_REQUESTS_SHARE);
                let max_credit = self.totals[FlowClass::New as usize].work.max(cost);
                self.new_credit = (self.new_credit + earned).min(max_credit);
            }
            FlowClass::New if onward > 0 => self.new_credit -= cost,
            FlowClass::Onward | FlowClass::New => {}
        }
    }

    /// Expected cost of the next request whose worst-case cost is less than `cost_bound`.
    pub(crate) fn next_cost(&self, cost_bound: f64) -> Option<f64> {
        let flow_index = self.next_flow(cost_bound)?;
        self.flows[flow_index]
            .requests
            .front()
            .map(|waiting| waiting.cost)
    }

    /// Makes room for a request like `job` in a queue of at most `max_len` requests: removes and
    /// returns the last request of the flow whose length exceeds its weighted share most. `None` if
    /// the flow of `job` has reached its own share or no other flow has requests. A call of an upstream
    /// replaces a new request if it can; a new request never replaces a call.
    pub(crate) fn evict_for(&mut self, job: &Job, max_len: usize) -> Option<WaitingRequest> {
        let id = FlowId::of(job);
        let [onward, new] = self.totals.map(|it| it.len);
        if id.class == FlowClass::Onward && new > PROTECTED_NEW_REQUESTS {
            return self.evict();
        }
        let max_len = match id.class {
            FlowClass::Onward => max_len.saturating_sub(new),
            FlowClass::New => max_len.saturating_sub(onward),
        };
        let weight = f64::from(job.weight.max(1));
        let total_weight = self.other_active_weight(id) + weight;
        let fair_len = |weight: f64| max_len as f64 * weight / total_weight;
        let own_len = self
            .position(id)
            .map_or(0, |flow_index| self.flows[flow_index].requests.len());
        // There can be more organisations than places, so that the share of a small one is less than a place.
        let is_first = id.organisation.is_some() && own_len == 0;
        if !is_first && own_len as f64 + 1.0 > fair_len(weight) {
            return None;
        }
        let excess = |flow: &Flow| flow.requests.len() as f64 - fair_len(flow.weight);
        let (flow_index, _) = self
            .flows
            .iter()
            .enumerate()
            .filter(|(_, flow)| flow.id != id && flow.id.class == id.class)
            .filter(|(_, flow)| flow.requests.len() > usize::from(is_first))
            .max_by(|a, b| excess(a.1).total_cmp(&excess(b.1)))?;
        self.pop_last(flow_index)
    }

    /// Removes the last request of the flow with the most work relative to its weight; a call of an
    /// upstream only if no new request waits.
    pub(crate) fn evict(&mut self) -> Option<WaitingRequest> {
        let class = if self.totals[FlowClass::New as usize].len > 0 {
            FlowClass::New
        } else {
            FlowClass::Onward
        };
        let normalized_work = |flow: &Flow| flow.work / flow.weight;
        let (flow_index, _) = self
            .flows
            .iter()
            .enumerate()
            .filter(|(_, flow)| flow.id.class == class && !flow.requests.is_empty())
            .max_by(|a, b| normalized_work(a.1).total_cmp(&normalized_work(b.1)))?;
        self.pop_last(flow_index)
    }

    /// Removes a request. Returns whether the request was in the queue.
    pub(crate) fn remove(&mut self, ticket: Ticket) -> bool {
        for flow_index in 0..self.flows.len() {
            let requests = &mut self.flows[flow_index].requests;
            if let Some(request_index) = requests.iter().position(|it| it.job.ticket == ticket)
                && let Some(waiting) = requests.remove(request_index)
            {
                self.deduct(flow_index, waiting.cost);
                return true;
            }
        }
        false
    }

    /// Moves all requests whose `time` is at or before `now` to `out`.
    pub(crate) fn extract_due(
        &mut self,
        now: Time,
        time: impl Fn(&WaitingRequest) -> Option<Time>,
        out: &mut Vec<WaitingRequest>,
    ) {
        for flow_index in 0..self.flows.len() {
            let first_extracted = out.len();
            self.flows[flow_index].requests.retain(|waiting| {
                let is_due = time(waiting).is_some_and(|time| time <= now);
                if is_due {
                    out.push(*waiting);
                }
                !is_due
            });
            for waiting in &out[first_extracted..] {
                self.deduct(flow_index, waiting.cost);
            }
        }
    }

    /// Earliest `time` of all waiting requests.
    pub(crate) fn earliest(&self, time: impl Fn(&WaitingRequest) -> Option<Time>) -> Option<Time> {
        let requests = self.flows.iter().flat_map(|flow| &flow.requests);
        requests.filter_map(time).min()
    }

    fn pop_last(&mut self, flow_index: usize) -> Option<WaitingRequest> {
        let waiting = self.flows[flow_index].requests.pop_back()?;
        self.deduct(flow_index, waiting.cost);
        Some(waiting)
    }

    /// Updates the totals for a request that was removed from a flow.
    fn deduct(&mut self, flow_index: usize, cost: f64) {
        let flow = &mut self.flows[flow_index];
        flow.work = (flow.work - cost).max(0.0);
        let totals = &mut self.totals[flow.id.class as usize];
        totals.len -= 1;
        totals.work = (totals.work - cost).max(0.0);
    }

    /// Next flow of those whose first request costs less than `cost_bound`: one of calls, unless new
    /// requests have the credit for their first one.
    fn next_flow(&self, cost_bound: f64) -> Option<usize> {
        let onward = self.next_flow_of(FlowClass::Onward, cost_bound);
        let new = self.next_flow_of(FlowClass::New, cost_bound);
        if onward.is_none() {
            return new;
        }
        let first = new.and_then(|flow_index| self.flows[flow_index].requests.front());
        let new_affords = first.is_some_and(|it| it.cost.max(1.0) <= self.new_credit);
        if new_affords { new } else { onward }
    }

    /// Flow of the class with the lowest start tag of those whose first request costs less than
    /// `cost_bound`.
    fn next_flow_of(&self, class: FlowClass, cost_bound: f64) -> Option<usize> {
        if self.totals[class as usize].len == 0 {
            return None;
        }
        let waiting = self.flows.iter().enumerate();
        let waiting = waiting.filter(|(_, flow)| flow.id.class == class);
        let fits = |flow: &Flow| {
            flow.requests
                .front()
                .is_some_and(|it| it.worst_case_cost < cost_bound)
        };
        let waiting = waiting.filter(|(_, flow)| fits(flow));
        let next = waiting.min_by(|a, b| a.1.start_tag.total_cmp(&b.1.start_tag));
        next.map(|(flow_index, _)| flow_index)
    }

    /// Total weight of the flows of the same class with waiting requests, except that of `id`.
    fn other_active_weight(&self, id: FlowId) -> f64 {
        let active_flows = self.flows.iter().filter(|flow| !flow.requests.is_empty());
        active_flows
            .filter(|flow| flow.id != id && flow.id.class == id.class)
            .map(|flow| flow.weight)
            .sum()
    }

    fn position(&self, id: FlowId) -> Result<usize, usize> {
        self.flows.binary_search_by_key(&id, |flow| flow.id)
    }
}

impl ClassTotals {
    /// Slot time of the waiting requests, in microseconds; exactly 0 if none waits, whatever the rounding of
    /// the sum.
    fn work(&self) -> f64 {
        if self.len == 0 { 0.0 } else { self.work }
    }
}
