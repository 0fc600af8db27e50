//! The waiting requests of one rank, in one lane for each route.
//!
//! Lanes take turns by start-time fair queueing: each dispatch moves a lane's pass on by its cost in
//! slot time over its weight, and the lane with the lowest pass is next. A lane that was empty starts
//! at the pass of the rank, so that idling saves nothing up.

use std::collections::VecDeque;

use ids::RouteId;
use kernel::Time;
use policy::Job;
use policy::Ticket;

/// A request that waits.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Waiting {
    pub(crate) job: Job,
    /// Slot time that it will take, in microseconds.
    pub(crate) cost: f64,
    /// The same, but without bound if the route has not been measured.
    pub(crate) size: f64,
    /// When it can no longer finish in time if it has not started.
    pub(crate) due: Time,
    /// When it can no longer meet its objective if it has not started.
    pub(crate) misses: Option<Time>,
}

#[derive(Debug)]
struct Lane {
    route: RouteId,
    weight: f64,
    pass: f64,
    work: f64,
    jobs: VecDeque<Waiting>,
}

/// Lanes of one rank.
#[derive(Debug, Default)]
pub(crate) struct Lanes {
    /// Sorted by route.
    lanes: Vec<Lane>,
    pass: f64,
    len: usize,
    work: f64,
}

impl Lanes {
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    /// Slot time of all waiting requests, in microseconds.
    pub(crate) fn work(&self) -> f64 {
        if self.len == 0 { 0.0 } else { self.work }
    }

    /// Slot time that this rank spends before one more request of the route, in microseconds.
    pub(crate) fn work_before(&self, route: RouteId, weight: u32, cost: f64) -> f64 {
        let lane = self.position(route).ok().map(|at| &self.lanes[at]);
        let own = lane.map_or(0.0, |lane| lane.work);
        let weight = f64::from(weight.max(1));
        let others = self.active_weight(route);
        // While the lane works off its own requests, the others get their shares beside it.
        let beside = (own + cost) * others / weight;
        (own + beside).min(self.work())
    }

    pub(crate) fn push(&mut self, waiting: Waiting) {
        let (route, weight) = (waiting.job.route, f64::from(waiting.job.weight.max(1)));
        let at = match self.position(route) {
            Ok(at) => at,
            Err(at) => {
                self.lanes.insert(
                    at,
                    Lane {
                        route,
                        weight,
                        pass: self.pass,
                        work: 0.0,
                        jobs: VecDeque::new(),
                    },
                );
                at
            }
        };
        let lane = &mut self.lanes[at];
        lane.weight = weight;
        if lane.jobs.is_empty() {
            lane.pass = lane.pass.max(self.pass);
        }
        lane.jobs.push_back(waiting);
        lane.work += waiting.cost;
        self.len += 1;
        self.work += waiting.cost;
    }

    /// Takes out the next request whose size is less than `most`.
    pub(crate) fn pop(&mut self, most: f64) -> Option<Waiting> {
        let at = self.next_lane(most)?;
        let waiting = self.lanes[at].jobs.pop_front()?;
        self.take_off(at, waiting.cost);
        Some(waiting)
    }

    /// Charges a dispatched request to its lane.
    pub(crate) fn charge(&mut self, waiting: &Waiting) {
        if let Ok(at) = self.position(waiting.job.route) {
            let lane = &mut self.lanes[at];
            self.pass = self.pass.max(lane.pass);
            // A cost of zero, before anything is learned, still has to pass the turn on.
            lane.pass += waiting.cost.max(1.0) / lane.weight;
        }
        let pass = self.pass;
        self.lanes
            .retain(|lane| !lane.jobs.is_empty() || lane.pass > pass);
        if self.len == 0 {
            self.lanes.clear();
            self.pass = 0.0;
        }
    }

    /// Cost of the next request whose size is less than `most`.
    pub(crate) fn next_cost(&self, most: f64) -> Option<f64> {
        let at = self.next_lane(most)?;
        self.lanes[at].jobs.front().map(|waiting| waiting.cost)
    }

    /// Makes room for a request of the route by giving up the last one of the lane that exceeds its
    /// share of `bound` most; `None` if the route's own lane has its share.
    pub(crate) fn displace_for(
        &mut self,
        route: RouteId,
        weight: u32,
        bound: usize,
    ) -> Option<Waiting> {
        let weight = f64::from(weight.max(1));
        let total = self.active_weight(route) + weight;
        let places = |weight: f64| bound as f64 * weight / total;
        let own = self
            .position(route)
            .map_or(0, |at| self.lanes[at].jobs.len());
        if own as f64 + 1.0 > places(weight) {
            return None;
        }
        let excess = |lane: &Lane| lane.jobs.len() as f64 - places(lane.weight);
        let (at, _) = self
            .lanes
            .iter()
            .enumerate()
            .filter(|(_, lane)| lane.route != route && !lane.jobs.is_empty())
            .max_by(|a, b| excess(a.1).total_cmp(&excess(b.1)))?;
        self.drop_last(at)
    }

    /// Gives up the last request of the longest lane.
    pub(crate) fn displace(&mut self) -> Option<Waiting> {
        let longest = |lane: &Lane| lane.work / lane.weight;
        let (at, _) = self
            .lanes
            .iter()
            .enumerate()
            .filter(|(_, lane)| !lane.jobs.is_empty())
            .max_by(|a, b| longest(a.1).total_cmp(&longest(b.1)))?;
        self.drop_last(at)
    }

    /// Takes a request out; tells whether it waited here.
    pub(crate) fn remove(&mut self, ticket: Ticket) -> bool {
        for at in 0..self.lanes.len() {
            let jobs = &mut self.lanes[at].jobs;
            if let Some(place) = jobs.iter().position(|it| it.job.ticket == ticket)
                && let Some(waiting) = jobs.remove(place)
            {
                self.take_off(at, waiting.cost);
                return true;
            }
        }
        false
    }

    /// Takes out those whose time, as `time` gives it, has come.
    pub(crate) fn extract(
        &mut self,
        now: Time,
        time: impl Fn(&Waiting) -> Option<Time>,
        out: &mut Vec<Waiting>,
    ) {
        for at in 0..self.lanes.len() {
            let first = out.len();
            self.lanes[at].jobs.retain(|waiting| {
                let goes = time(waiting).is_some_and(|time| time <= now);
                if goes {
                    out.push(*waiting);
                }
                !goes
            });
            for waiting in &out[first..] {
                self.take_off(at, waiting.cost);
            }
        }
    }

    /// The first time of all that wait.
    pub(crate) fn first(&self, time: impl Fn(&Waiting) -> Option<Time>) -> Option<Time> {
        let jobs = self.lanes.iter().flat_map(|lane| &lane.jobs);
        jobs.filter_map(time).min()
    }

    fn drop_last(&mut self, at: usize) -> Option<Waiting> {
        let waiting = self.lanes[at].jobs.pop_back()?;
        self.take_off(at, waiting.cost);
        Some(waiting)
    }

    fn take_off(&mut self, at: usize, cost: f64) {
        let lane = &mut self.lanes[at];
        lane.work = (lane.work - cost).max(0.0);
        self.len -= 1;
        self.work = (self.work - cost).max(0.0);
    }

    fn next_lane(&self, most: f64) -> Option<usize> {
        let waiting = self.lanes.iter().enumerate();
        let fits = |lane: &Lane| lane.jobs.front().is_some_and(|it| it.size < most);
        let waiting = waiting.filter(|(_, lane)| fits(lane));
        let next = waiting.min_by(|a, b| a.1.pass.total_cmp(&b.1.pass));
        next.map(|(at, _)| at)
    }

    /// Weight of the lanes with waiting requests, except that of `route`.
    fn active_weight(&self, route: RouteId) -> f64 {
        let active = self.lanes.iter().filter(|lane| !lane.jobs.is_empty());
        active
            .filter(|lane| lane.route != route)
            .map(|lane| lane.weight)
            .sum()
    }

    fn position(&self, route: RouteId) -> Result<usize, usize> {
        self.lanes.binary_search_by_key(&route, |lane| lane.route)
    }
}
