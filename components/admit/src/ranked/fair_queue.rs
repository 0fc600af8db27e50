//! Queue of the waiting requests of one level that is fair between routes.
//!
//! Each route is a flow, and flows are scheduled by start-time fair queueing: a dispatched request
//! advances the start tag of its flow by its cost over the flow's weight, and the flow with the
//! lowest start tag is next. A flow that was empty starts at the virtual time of the queue, so that
//! an idle flow accumulates no credit.

use std::collections::VecDeque;

use ids::RouteId;
use kernel::Time;
use policy::Job;
use policy::Ticket;

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

/// Waiting requests of one route.
#[derive(Debug)]
struct Flow {
    route: RouteId,
    weight: f64,
    /// Virtual time at which the next request of the flow starts.
    start_tag: f64,
    /// Expected slot time of the flow's waiting requests, in microseconds.
    work: f64,
    requests: VecDeque<WaitingRequest>,
}

/// Waiting requests of one level, with one flow for each route.
#[derive(Debug, Default)]
pub(crate) struct FairQueue {
    /// Sorted by route.
    flows: Vec<Flow>,
    /// Highest start tag of the dispatched requests, in microseconds of slot time over weight.
    virtual_time: f64,
    len: usize,
    /// Slot time of all waiting requests, in microseconds.
    work: f64,
}

impl FairQueue {
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    /// Slot time of all waiting requests, in microseconds; exactly 0 if none waits, whatever the
    /// rounding of the sum.
    pub(crate) fn work(&self) -> f64 {
        if self.len == 0 { 0.0 } else { self.work }
    }

    /// Expected slot time, in microseconds, of the waiting requests that run before a new request
    /// of the route whose cost is `cost`.
    pub(crate) fn work_before(&self, route: RouteId, weight: u32, cost: f64) -> f64 {
        let flow = self
            .position(route)
            .ok()
            .map(|flow_index| &self.flows[flow_index]);
        let own_work = flow.map_or(0.0, |flow| flow.work);
        let weight = f64::from(weight.max(1));
        let other_weight = self.other_active_weight(route);
        // While the requests of this flow run, the other flows get their shares of the slot time.
        let other_work = (own_work + cost) * other_weight / weight;
        (own_work + other_work).min(self.work())
    }

    pub(crate) fn push(&mut self, waiting: WaitingRequest) {
        let (route, weight) = (waiting.job.route, f64::from(waiting.job.weight.max(1)));
        let flow_index = match self.position(route) {
            Ok(flow_index) => flow_index,
            Err(flow_index) => {
                self.flows.insert(
                    flow_index,
                    Flow {
                        route,
                        weight,
                        start_tag: self.virtual_time,
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
            flow.start_tag = flow.start_tag.max(self.virtual_time);
        }
        flow.requests.push_back(waiting);
        flow.work += waiting.cost;
        self.len += 1;
        self.work += waiting.cost;
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
        if let Ok(flow_index) = self.position(waiting.job.route) {
            let flow = &mut self.flows[flow_index];
            self.virtual_time = self.virtual_time.max(flow.start_tag);
            // Before any service time is known, the cost is 0. The start tag must increase
            // nevertheless, so that the other flows get their turn.
            flow.start_tag += waiting.cost.max(1.0) / flow.weight;
        }
        let virtual_time = self.virtual_time;
        self.flows
            .retain(|flow| !flow.requests.is_empty() || flow.start_tag > virtual_time);
        if self.len == 0 {
            self.flows.clear();
            self.virtual_time = 0.0;
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

    /// Makes room for a request of `route` in a queue of at most `max_len` requests: removes and
    /// returns the last request of the flow whose length exceeds its weighted share most. `None` if
    /// the flow of `route` has reached its own share or no other flow has requests.
    pub(crate) fn evict_for(
        &mut self,
        route: RouteId,
        weight: u32,
        max_len: usize,
    ) -> Option<WaitingRequest> {
        let weight = f64::from(weight.max(1));
        let total_weight = self.other_active_weight(route) + weight;
        let fair_len = |weight: f64| max_len as f64 * weight / total_weight;
        let own_len = self
            .position(route)
            .map_or(0, |flow_index| self.flows[flow_index].requests.len());
        if own_len as f64 + 1.0 > fair_len(weight) {
            return None;
        }
        let excess = |flow: &Flow| flow.requests.len() as f64 - fair_len(flow.weight);
        let (flow_index, _) = self
            .flows
            .iter()
            .enumerate()
            .filter(|(_, flow)| flow.route != route && !flow.requests.is_empty())
            .max_by(|a, b| excess(a.1).total_cmp(&excess(b.1)))?;
        self.pop_last(flow_index)
    }

    /// Removes the last request of the flow with the most work relative to its weight.
    pub(crate) fn evict(&mut self) -> Option<WaitingRequest> {
        let normalized_work = |flow: &Flow| flow.work / flow.weight;
        let (flow_index, _) = self
            .flows
            .iter()
            .enumerate()
            .filter(|(_, flow)| !flow.requests.is_empty())
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
        self.len -= 1;
        self.work = (self.work - cost).max(0.0);
    }

    /// Flow with the lowest start tag of those whose first request costs less than `cost_bound`.
    fn next_flow(&self, cost_bound: f64) -> Option<usize> {
        let waiting = self.flows.iter().enumerate();
        let fits = |flow: &Flow| {
            flow.requests
                .front()
                .is_some_and(|it| it.worst_case_cost < cost_bound)
        };
        let waiting = waiting.filter(|(_, flow)| fits(flow));
        let next = waiting.min_by(|a, b| a.1.start_tag.total_cmp(&b.1.start_tag));
        next.map(|(flow_index, _)| flow_index)
    }

    /// Total weight of the flows with waiting requests, except that of `route`.
    fn other_active_weight(&self, route: RouteId) -> f64 {
        let active_flows = self.flows.iter().filter(|flow| !flow.requests.is_empty());
        active_flows
            .filter(|flow| flow.route != route)
            .map(|flow| flow.weight)
            .sum()
    }

    fn position(&self, route: RouteId) -> Result<usize, usize> {
        self.flows.binary_search_by_key(&route, |flow| flow.route)
    }
}
