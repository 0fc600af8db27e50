//! Requests that the owner has met before, and the records that it keeps of them.

use std::time::Duration;

use crate::Queued;
use crate::Refusal;
use crate::Request;
use crate::ledger::Record;
use crate::ledger::State;
use crate::owner::Offer;
use crate::owner::Question;
use errors::Reason;
use errors::Verdict;

/// What a request that is known already may do.
pub(super) fn check(offer: &Offer, known: Record, request: Request<Queued>) -> Result<(), Refusal> {
    let newer = offer.attempt > known.attempt;
    if offer.attempt < known.attempt {
        return Err(duplicate(known.earlier));
    }
    let verdict = match known.state {
        State::Fenced if newer => return Ok(()),
        State::Fenced => return Err(request.refuse(Reason::Fenced, Duration::ZERO)),
        State::Done {
            verdict: Verdict::NotRun,
            ..
        } if newer => return Ok(()),
        _ if newer && offer.idempotent => return Ok(()),
        State::Done { verdict, .. } => verdict,
        State::Open { .. } => Verdict::MayHaveRun,
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
pub(super) fn record(offer: &Offer, state: State) -> Record {
    Record {
        id: offer.id,
        attempt: offer.attempt,
        expires: offer.expires,
        idempotent: offer.idempotent,
        state,
        earlier: Verdict::NotRun,
    }
}

/// The record by which a query keeps a request from running.
pub(super) fn fence(question: Question) -> Record {
    Record {
        id: question.id,
        attempt: question.attempt,
        expires: question.expires,
        idempotent: false,
        state: State::Fenced,
        earlier: Verdict::NotRun,
    }
}
