//! The entry's side: route, choice of endpoint, retries, outcome queries.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::Refusal;
use crate::ledger::Outcome;
use config::RouteKey;
use control::EndpointKey;
use control::Life;
use control::Picture;
use errors::Reason;
use errors::Verdict;
use ids::NodeId;
use ids::Rank;
use ids::RequestId;
use ids::RouteId;
use ids::ServiceId;
use kernel::Arena;
use kernel::Key;
use kernel::Random;
use kernel::Time;
use member::Stage;
use policy::Balance;
use policy::Candidate;
use policy::Failure;
use policy::Health;
use policy::Load;
use policy::Retry;

/// Age at which a reported load is no longer used.
const LOAD_AGE: Duration = Duration::from_secs(1);
/// Time after which a refused caller may try again.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Address of a call in the entry machine.
pub type CallKey = Key<Call>;

/// What the entry needs to know of a request's head.
#[derive(Clone, Debug)]
pub struct Head {
    /// Identity.
    pub id: RequestId,
    /// HTTP method in capitals.
    pub method: String,
    /// Path without query.
    pub path: String,
    /// Time that an outer level leaves; `None` from a caller that sets no deadline.
    pub left: Option<Duration>,
    /// Whether a level further out retries.
    pub outer_retries: bool,
    /// Whether the body can be sent again.
    pub replayable: bool,
}

/// Where to send a request and with what.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// Number of the attempt, from 1.
    pub number: u32,
    /// Node of the endpoint.
    pub node: NodeId,
    /// Its address for requests.
    pub requests: SocketAddr,
    /// Its address for control calls.
    pub peer: SocketAddr,
    /// When the answer is no longer of use.
    pub deadline: Time,
    /// Wait before sending.
    pub wait: Duration,
}

/// What can happen to a call.
#[derive(Clone, Debug)]
pub enum Input {
    /// A caller's request arrived.
    Arrived { picture: Arc<Picture>, head: Head },
    /// The answer to an attempt has begun.
    Answered {
        call: CallKey,
        picture: Arc<Picture>,
        report: Report,
    },
    /// Nothing has come back for the silence bound.
    Silent { call: CallKey },
    /// The owner told what became of the attempt.
    Told {
        call: CallKey,
        picture: Arc<Picture>,
        outcome: Outcome,
    },
    /// The caller left, or the answer has been relayed to its end or broke off.
    Ended { call: CallKey },
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug)]
pub struct Report {
    /// What is known of the execution.
    pub verdict: Verdict,
    /// Why there is no answer to relay; `None` if there is one.
    pub reason: Option<Reason>,
    /// When the owner allows another try.
    pub retry_after: Duration,
    /// Load that the owner reported.
    pub load: Option<Load>,
}

/// What a call needs.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Send the request.
    Forward {
        call: CallKey,
        route: Way,
        attempt: Attempt,
    },
    /// Ask the owner what became of the attempt.
    Query { call: CallKey, attempt: Attempt },
    /// Wait on for the answer.
    Wait { call: CallKey },
    /// Relay the answer that has begun.
    Deliver { call: CallKey },
    /// Answer with a refusal; the call is closed.
    Refuse { refusal: Refusal },
    /// A retry was decided on.
    Retrying { reason: Reason },
}

/// What a route asks of each attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Way {
    /// Identity of the route.
    pub route: RouteId,
    /// Urgency.
    pub rank: Rank,
    /// Whether the request can run more than once.
    pub idempotent: bool,
}

/// A request that the entry works on.
#[derive(Debug)]
pub struct Call {
    way: Way,
    service: ServiceId,
    service_name: Arc<str>,
    deadline: Time,
    outer_retries: bool,
    replayable: bool,
    attempt: Option<Attempt>,
    tried: Vec<NodeId>,
}

#[derive(Clone, Copy, Debug)]
struct Seen {
    node: NodeId,
    in_flight: u32,
    load: Option<(Load, Time)>,
}

/// The entry's side of one node.
pub struct Machine {
    balance: Box<dyn Balance>,
    retry: Box<dyn Retry>,
    health: Box<dyn Health>,
    calls: Arena<Call>,
    /// Sorted by node.
    seen: Vec<Seen>,
}

impl Machine {
    /// An entry with these policies.
    pub fn new(balance: Box<dyn Balance>, retry: Box<dyn Retry>, health: Box<dyn Health>) -> Self {
        Self {
            balance,
            retry,
            health,
            calls: Arena::default(),
            seen: Vec::new(),
        }
    }

    /// Calls that have not ended.
    pub fn open_calls(&self) -> usize {
        self.calls.len()
    }

    fn arrive(
        &mut self,
        now: Time,
        picture: &Picture,
        head: &Head,
        random: &mut dyn Random,
        effects: &mut Vec<Effect>,
    ) {
        match find_call(now, picture, head) {
            Ok(call) => {
                self.retry.count_first(now, call.service);
                let key = self.calls.insert(call);
                self.forward(now, picture, key, Duration::ZERO, random, effects);
            }
            Err(reason) => effects.push(Effect::Refuse {
                refusal: not_run(reason),
            }),
        }
    }

    fn forward(
        &mut self,
        now: Time,
        picture: &Picture,
        key: CallKey,
        wait: Duration,
        random: &mut dyn Random,
        effects: &mut Vec<Effect>,
    ) {
        let Some(call) = self.calls.get(key) else {
            return;
        };
        let Some(endpoint) = self.choose(now, picture, call_service(picture, call), key, random)
        else {
            self.calls.remove(key);
            effects.push(Effect::Refuse {
                refusal: not_run(Reason::NoEndpoint),
            });
            return;
        };
        let Some((endpoint, call)) = picture.endpoint(endpoint).zip(self.calls.get_mut(key)) else {
            return;
        };
        let number = call.attempt.map_or(1, |before| before.number + 1);
        let attempt = Attempt {
            number,
            node: endpoint.node,
            requests: endpoint.requests,
            peer: endpoint.peer,
            deadline: call.deadline,
            wait,
        };
        call.attempt = Some(attempt);
        call.tried.push(endpoint.node);
        let route = call.way;
        self.seen(attempt.node).in_flight += 1;
        effects.push(Effect::Forward {
            call: key,
            route,
            attempt,
        });
    }

    fn choose(
        &mut self,
        now: Time,
        picture: &Picture,
        service: Option<config::ServiceKey>,
        key: CallKey,
        random: &mut dyn Random,
    ) -> Option<EndpointKey> {
        let ready: Vec<_> = picture
            .endpoints_of(service?)
            .filter(|(_, endpoint)| endpoint.stage == Stage::Ready)
            .collect();
        let mut nodes: Vec<NodeId> = ready.iter().map(|(_, endpoint)| endpoint.node).collect();
        nodes.sort_unstable();
        self.health.retain_healthy(now, &mut nodes);
        let tried = self
            .calls
            .get(key)
            .map(|call| call.tried.as_slice())
            .unwrap_or_default();
        let fresh = nodes.iter().any(|node| !tried.contains(node));
        let mut keys = Vec::new();
        let mut candidates = Vec::new();
        for (key, endpoint) in ready {
            let healthy = nodes.binary_search(&endpoint.node).is_ok();
            if !healthy || (fresh && tried.contains(&endpoint.node)) {
                continue;
            }
            let seen = self.find_seen(endpoint.node);
            keys.push(key);
            candidates.push(Candidate {
                node: endpoint.node,
                near: endpoint.domain == picture.domain,
                in_flight: seen.map_or(0, |seen| seen.in_flight),
                slots: endpoint.slots,
                load: seen
                    .and_then(|seen| seen.load)
                    .filter(|(_, at)| now.since(*at) < LOAD_AGE)
                    .map(|(load, _)| load),
            });
        }
        self.balance.choose(&candidates, random).map(|at| keys[at])
    }

    fn answered(
        &mut self,
        now: Time,
        picture: &Picture,
        key: CallKey,
        report: Report,
        random: &mut dyn Random,
        effects: &mut Vec<Effect>,
    ) {
        let Some(call) = self.calls.get(key) else {
            return;
        };
        let Some(attempt) = call.attempt else {
            return;
        };
        if let Some(load) = report.load {
            self.seen(attempt.node).load = Some((load, now));
        }
        self.health
            .record(now, attempt.node, !is_node_fault(report.reason));
        match report.reason {
            None => effects.push(Effect::Deliver { call: key }),
            Some(reason) => self.fail(now, picture, key, reason, report, random, effects),
        }
    }

    #[expect(
        clippy::too_many_arguments,
        reason = "one failed attempt with its surroundings"
    )]
    fn fail(
        &mut self,
        now: Time,
        picture: &Picture,
        key: CallKey,
        reason: Reason,
        report: Report,
        random: &mut dyn Random,
        effects: &mut Vec<Effect>,
    ) {
        let Some(call) = self.calls.get(key) else {
            return;
        };
        let failure = Failure {
            service: call.service,
            verdict: report.verdict,
            reason,
            idempotent: call.way.idempotent,
            attempts: call.attempt.map_or(0, |attempt| attempt.number),
            left: now.until(call.deadline),
            outer_retries: call.outer_retries,
            replayable: call.replayable,
        };
        self.release(key);
        match self.retry.allow(now, failure, random) {
            Ok(wait) => {
                effects.push(Effect::Retrying { reason });
                self.forward(now, picture, key, wait, random, effects);
            }
            Err(_) => {
                self.calls.remove(key);
                effects.push(Effect::Refuse {
                    refusal: Refusal {
                        reason,
                        verdict: report.verdict,
                        retry_after: report.retry_after.max(RETRY_AFTER),
                    },
                });
            }
        }
    }

    fn told(
        &mut self,
        now: Time,
        picture: &Picture,
        key: CallKey,
        outcome: Outcome,
        random: &mut dyn Random,
        effects: &mut Vec<Effect>,
    ) {
        let verdict = match outcome {
            Outcome::Running => {
                effects.push(Effect::Wait { call: key });
                return;
            }
            Outcome::Fenced | Outcome::Cancelled => Verdict::NotRun,
            Outcome::Done { verdict, .. } => verdict,
            Outcome::Unknown => Verdict::MayHaveRun,
        };
        let report = Report {
            verdict,
            reason: Some(Reason::ConnectionSilent),
            retry_after: RETRY_AFTER,
            load: None,
        };
        self.answered(now, picture, key, report, random, effects);
    }

    fn release(&mut self, key: CallKey) {
        let node = self
            .calls
            .get(key)
            .and_then(|call| call.attempt)
            .map(|attempt| attempt.node);
        if let Some(node) = node {
            let seen = self.seen(node);
            seen.in_flight = seen.in_flight.saturating_sub(1);
        }
    }

    fn find_seen(&self, node: NodeId) -> Option<&Seen> {
        let at = self.seen.binary_search_by_key(&node, |seen| seen.node);
        at.ok().map(|at| &self.seen[at])
    }

    fn seen(&mut self, node: NodeId) -> &mut Seen {
        let at = match self.seen.binary_search_by_key(&node, |seen| seen.node) {
            Ok(at) => at,
            Err(at) => {
                self.seen.insert(
                    at,
                    Seen {
                        node,
                        in_flight: 0,
                        load: None,
                    },
                );
                at
            }
        };
        &mut self.seen[at]
    }
}

impl kernel::Machine for Machine {
    type Input = Input;
    type Effect = Effect;

    fn step(
        &mut self,
        now: Time,
        input: Input,
        random: &mut dyn Random,
        effects: &mut Vec<Effect>,
    ) {
        match input {
            Input::Arrived { picture, head } => self.arrive(now, &picture, &head, random, effects),
            Input::Answered {
                call,
                picture,
                report,
            } => {
                self.answered(now, &picture, call, report, random, effects);
            }
            Input::Silent { call } => {
                let attempt = self.calls.get(call).and_then(|call| call.attempt);
                effects.extend(attempt.map(|attempt| Effect::Query { call, attempt }));
            }
            Input::Told {
                call,
                picture,
                outcome,
            } => {
                self.told(now, &picture, call, outcome, random, effects);
            }
            Input::Ended { call } => {
                self.release(call);
                self.calls.remove(call);
            }
        }
    }

    fn wake(&mut self, _: Time, _: &mut dyn Random, _: &mut Vec<Effect>) {}

    fn next_wake(&self) -> Option<Time> {
        None
    }
}

fn not_run(reason: Reason) -> Refusal {
    Refusal {
        reason,
        verdict: Verdict::NotRun,
        retry_after: RETRY_AFTER,
    }
}

/// Whether a failure speaks against the node rather than for a full or leaving one.
fn is_node_fault(reason: Option<Reason>) -> bool {
    matches!(
        reason,
        Some(Reason::ConnectFailed | Reason::ConnectionBroken | Reason::ConnectionSilent)
    )
}

fn call_service(picture: &Picture, call: &Call) -> Option<config::ServiceKey> {
    picture.snapshot.as_ref()?.find_service(&call.service_name)
}

fn find_call(now: Time, picture: &Picture, head: &Head) -> Result<Call, Reason> {
    if picture.life == Life::Leaving {
        return Err(Reason::Draining);
    }
    let snapshot = picture.snapshot.as_ref().ok_or(Reason::NoConfiguration)?;
    let key: RouteKey = snapshot
        .find_route(&head.method, &head.path)
        .ok_or(Reason::NoRoute)?;
    let route = snapshot.route(key).ok_or(Reason::NoRoute)?;
    let service = snapshot.service(route.service).ok_or(Reason::NoRoute)?;
    let left = head
        .left
        .map_or(route.deadline, |left| left.min(route.deadline));
    if left.is_zero() {
        return Err(Reason::DeadlinePassed);
    }
    Ok(Call {
        way: Way {
            route: route.id,
            rank: route.rank,
            idempotent: route.idempotent,
        },
        service: service.id,
        service_name: Arc::clone(&service.name),
        deadline: now + left,
        outer_retries: head.outer_retries,
        replayable: head.replayable,
        attempt: None,
        tried: Vec::new(),
    })
}
