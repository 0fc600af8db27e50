//! Sending of one attempt, at this node's upstream or to another node.

use std::pin::Pin;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::header::HeaderValue;
use hyper::http::request::Parts;
use tokio::time::Instant;

use crate::Shared;
use crate::answer::parse_header;
use crate::body::End;
use crate::body::Payload;
use crate::body::Relay;
use crate::body::Source;
use crate::body::full;
use crate::intake::Intake;
use crate::pool::Idle;
use crate::run::Work;
use crate::run::run;
use crate::upstream::judge;
use errors::Reason;
use errors::Verdict;
use front::query_outcome;
use ids::RequestId;
use kernel::Time;
use policy::Load;
use traffic::entry::Attempt;
use traffic::entry::AttemptReport;
use traffic::entry::CallKey;
use traffic::entry::Effect;
use traffic::entry::Input;
use traffic::entry::RouteProfile;
use traffic::owner::IncomingRequest;
use traffic::owner::OutcomeQuery;
use wire::header;

/// Longest wait for the head of an answer before the owner is asked.
const FIRST_SILENCE: Duration = Duration::from_millis(250);
const NEXT_SILENCE: Duration = Duration::from_millis(500);
/// Pause between questions to the owner while the node closes; it has some hundred milliseconds.
const CLOSING_SILENCE: Duration = Duration::from_millis(100);

/// A request in a form that can be sent more than once if its body is small.
pub(crate) struct Saved {
    pub(crate) id: RequestId,
    /// Without headers of the system and of one connection.
    pub(crate) parts: Parts,
    pub(crate) body: Intake,
}

/// An answer whose head is in hand.
pub(crate) struct Begun {
    pub(crate) response: Response<Payload>,
    pub(crate) report: AttemptReport,
}

/// What came of one attempt.
pub(crate) enum Sent {
    /// An answer or a failure to report to the entry machine.
    Begun(Begun),
    /// A stored answer, which the entry machine knows of.
    Fetched(Response<Payload>, Vec<Effect>),
    /// The entry machine has gone on without an answer.
    Decided(Vec<Effect>),
}

/// Sends one attempt and asks the owner about it while nothing comes back.
pub(crate) async fn send(
    shared: &Arc<Shared>,
    saved: &mut Saved,
    call: CallKey,
    profile: RouteProfile,
    attempt: Attempt,
) -> Sent {
    if attempt.node == shared.driver.node_id() {
        return Sent::Begun(send_local(shared, saved, profile, attempt).await);
    }
    let idle = match shared
        .nodes
        .take(attempt.request_address, attempt.node, shared.driver.clock())
        .await
    {
        Ok(idle) => idle,
        Err(reason) => return Sent::Begun(failed(Verdict::NotRun, reason)),
    };
    let expires = idle.remote.translate(attempt.deadline);
    let objective = attempt.objective.map(|it| idle.remote.translate(it));
    let query = OutcomeQuery {
        id: saved.id,
        intended_owner: attempt.node,
        attempt: attempt.number,
        expires,
        cancel_if_queued: false,
    };
    let mut answer = pin!(send_remote(
        shared,
        saved,
        profile,
        attempt,
        idle,
        (expires, objective)
    ));
    let deadline = Instant::from_std(shared.driver.clock().to_instant(attempt.deadline));
    let mut asking = pin!(None);
    // Work that takes as long as the operator expects is no silence.
    let first_silence = profile
        .objective
        .map_or(FIRST_SILENCE, |it| it.max(FIRST_SILENCE));
    let mut next_silence = first_silence.max(NEXT_SILENCE);
    let shutting_down = shared.driver.shutting_down();
    let mut due = (Instant::now() + first_silence).min(deadline);
    loop {
        let idle = asking.is_none();
        tokio::select! {
            biased;
            begun = answer.as_mut() => return Sent::Begun(begun),
            sent = wait_for(asking.as_mut()) => {
                let Sent::Decided(effects) = &sent else {
                    return sent;
                };
                if !effects.iter().any(|effect| matches!(effect, Effect::Wait { .. })) {
                    return sent;
                }
                asking.set(None);
                due = (Instant::now() + next_silence).min(deadline);
            }
            () = shutting_down.cancelled(), if next_silence != CLOSING_SILENCE => {
                next_silence = CLOSING_SILENCE;
                due = Instant::now();
            }
            () = tokio::time::sleep_until(if idle { due } else { deadline }) => {
                if Instant::now() >= deadline {
                    return Sent::Begun(failed(Verdict::MayHaveRun, Reason::DeadlinePassed));
                }
                asking.set(Some(ask(shared, query, call, attempt)));
            }
        }
    }
}

/// Waits for the future that may be there; forever if there is none.
async fn wait_for<F>(future: Pin<&mut Option<F>>) -> Sent
where
    F: Future<Output = Sent>,
{
    match future.as_pin_mut() {
        Some(asking) => asking.await,
        None => std::future::pending().await,
    }
}

/// Asks the owner what became of an attempt, and fetches its stored answer if need be.
async fn ask(shared: &Shared, query: OutcomeQuery, call: CallKey, attempt: Attempt) -> Sent {
    let effects = shared.driver.step_entry(Input::SilenceTimeout { call });
    let cancel_if_queued = effects.iter().any(|effect| {
        matches!(
            effect,
            Effect::Query {
                cancel_if_queued: true,
                ..
            }
        )
    });
    let query = OutcomeQuery {
        cancel_if_queued,
        ..query
    };
    let outcome = query_outcome(attempt.peer_address, query).await;
    let topology = shared.driver.topology();
    let mut effects = shared.driver.step_entry(Input::OutcomeReceived {
        call,
        topology,
        outcome,
    });
    while effects
        .iter()
        .any(|effect| matches!(effect, Effect::Fetch { .. }))
    {
        let (address, clock) = (attempt.request_address, shared.driver.clock());
        let fetched = shared.nodes.fetch(address, attempt.node, query.id, clock);
        let fetched = fetched.await;
        let topology = shared.driver.topology();
        let found = fetched.is_some();
        effects = shared.driver.step_entry(Input::FetchCompleted {
            call,
            topology,
            found,
        });
        if let Some(response) = fetched {
            return Sent::Fetched(response, effects);
        }
    }
    Sent::Decided(effects)
}

/// Runs an attempt at this node's own upstream.
async fn send_local(
    shared: &Arc<Shared>,
    saved: &mut Saved,
    profile: RouteProfile,
    attempt: Attempt,
) -> Begun {
    let Some(request) = copy(saved) else {
        return failed(Verdict::MayHaveRun, Reason::ConnectionBroken);
    };
    let topology = shared.driver.topology();
    let snapshot = topology.snapshot.as_ref();
    let weight = snapshot
        .and_then(|it| it.route(it.find_route_by_id(profile.route)?))
        .map_or(1, |route| route.weight);
    let offer = IncomingRequest {
        tag: 0,
        id: saved.id,
        attempt: attempt.number,
        intended_owner: attempt.node,
        expires: attempt.deadline,
        objective: attempt.objective,
        route: profile.route,
        rank: profile.rank,
        weight,
        idempotent: profile.idempotent,
    };
    let work = Work {
        offer,
        service: Some(profile.service),
        head_only: saved.parts.method == Method::HEAD,
        request,
    };
    match run(shared, work).await {
        Ok(done) => begun(done.response),
        Err(refusal) => Begun {
            response: Response::new(full("")),
            report: AttemptReport {
                verdict: refusal.verdict,
                reason: Some(saved.body.failure().unwrap_or(refusal.reason)),
                retry_after: refusal.retry_after,
                load: Some(shared.driver.load()),
                upstream_failed: false,
            },
        },
    }
}

/// Sends an attempt to another node.
async fn send_remote(
    shared: &Arc<Shared>,
    saved: &mut Saved,
    profile: RouteProfile,
    attempt: Attempt,
    idle: Idle,
    (expires, objective): (Time, Option<Time>),
) -> Begun {
    let Some(mut request) = copy(saved) else {
        return failed(Verdict::MayHaveRun, Reason::ConnectionBroken);
    };
    let objective = objective.map(|it| (header::OBJECTIVE, it.0.to_string()));
    let values = [
        (header::REQUEST_ID, saved.id.to_string()),
        (header::ROUTE, profile.route.to_string()),
        (header::OWNER, attempt.node.to_string()),
        (header::EXPIRES, expires.0.to_string()),
        (header::ATTEMPT, attempt.number.to_string()),
        (header::SERVICE, profile.service.to_string()),
    ];
    for (name, value) in values.into_iter().chain(objective) {
        if let Ok(value) = HeaderValue::from_str(&value) {
            request.headers_mut().insert(name, value);
        }
    }
    let Idle { mut link, remote } = idle;
    match link.send(request).await {
        Ok(response) => {
            let (parts, body) = response.into_parts();
            let source = Source::Link {
                prefix: None,
                body,
                link,
            };
            let shared = Arc::clone(shared);
            let deadline = Instant::from_std(shared.driver.clock().to_instant(attempt.deadline));
            let on_end = move |end| {
                if let End::Whole(Some(link)) = end {
                    let idle = Idle { link, remote };
                    shared
                        .nodes
                        .keep(attempt.request_address, idle, shared.driver.now());
                }
            };
            let payload = Payload::Relay(Box::new(Relay::new(source, deadline, on_end)));
            begun(Response::from_parts(parts, payload))
        }
        Err(mut error) => {
            let reason = saved.body.failure().unwrap_or(Reason::ConnectionBroken);
            failed(judge(&mut error), reason)
        }
    }
}

/// The request for one attempt; `None` if its body cannot be sent again.
fn copy(saved: &mut Saved) -> Option<Request<Payload>> {
    let payload = saved.body.payload()?;
    Some(Request::from_parts(saved.parts.clone(), payload))
}

/// Reads what an owner's answer says of the request.
pub(crate) fn begun(response: Response<Payload>) -> Begun {
    let upstream_failed = response.status().is_server_error();
    let headers = response.headers();
    let verdict = parse_header::<Verdict>(headers, header::VERDICT).unwrap_or(Verdict::MayHaveRun);
    let reason = parse_header::<Reason>(headers, header::REASON);
    let load: Option<Load> = headers
        .get(header::LOAD)
        .and_then(|value| header::parse_load(value.to_str().ok()?));
    let retry_after =
        parse_header(headers, header::RETRY_AFTER).map_or(Duration::ZERO, Duration::from_millis);
    Begun {
        response,
        report: AttemptReport {
            verdict,
            reason,
            retry_after,
            load,
            upstream_failed,
        },
    }
}

fn failed(verdict: Verdict, reason: Reason) -> Begun {
    let report = AttemptReport {
        verdict,
        reason: Some(reason),
        retry_after: Duration::ZERO,
        load: None,
        upstream_failed: false,
    };
    Begun {
        response: Response::new(full("")),
        report,
    }
}
