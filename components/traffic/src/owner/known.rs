//! Requests that the owner has met before, and the records that it keeps of them.

use std::time::Duration;

use crate::Queued;
use crate::Refusal;
use crate::Request;
use crate::ledger::Record;
use crate::ledger::RecordState;
use crate::owner::IncomingRequest;
use crate::owner::OutcomeQuery;
use errors::Reason;
use errors::Verdict;

/// What a request that is known already may do.
pub(super) fn check(
    offer: &IncomingRequest,
    known: Record,
    request: Request<Queued>,
) -> Result<(), Refusal> {
    let newer = offer.attempt > known.attempt;
    if offer.attempt < known.attempt {
        return Err(duplicate(known.earlier_verdict));
    }
    let verdict = match known.state {
        RecordState::Fenced if newer => return Ok(()),
        RecordState::Fenced => return Err(request.refuse(Reason::Fenced, Duration::ZERO)),
        RecordState::Done {
            verdict: Verdict::NotRun,
            ..
        } if newer => return Ok(()),
        _ if newer && offer.idempotent => return Ok(()),
        RecordState::Done { verdict, .. } => verdict,
        RecordState::Open { .. } => Verdict::MayHaveRun,
    };
    Err(duplicate(verdict))
}

/// The refusal of a copy; the copy does not run, but the verdict is about the attempt.
fn duplicate(verdict: Verdict) -> Refusal {
    Refusal {
        reason: Reason::Duplicate,
        verdict,
        retry_after: Duration::ZERO,
    }
}

/// The record of an offered request.
pub(super) fn record(offer: &IncomingRequest, state: RecordState) -> Record {
    Record {
        id: offer.id,
        attempt: offer.attempt,
        expires: offer.expires,
        idempotent: offer.idempotent,
        state,
        earlier_verdict: Verdict::NotRun,
    }
}

/// The record by which a query keeps a request from running.
pub(super) fn fence(query: OutcomeQuery) -> Record {
    Record {
        id: query.id,
        attempt: query.attempt,
        expires: query.expires,
        idempotent: false,
        state: RecordState::Fenced,
        earlier_verdict: Verdict::NotRun,
    }
}
