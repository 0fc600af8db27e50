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
pub(super) fn check_repeat(
    incoming: &IncomingRequest,
    existing: Record,
    request: Request<Queued>,
) -> Result<(), Refusal> {
    let newer = incoming.attempt > existing.attempt;
    if incoming.attempt < existing.attempt {
        return Err(duplicate_refusal(existing.earlier_verdict));
    }
    let verdict = match existing.state {
        RecordState::Fenced if newer => return Ok(()),
        RecordState::Fenced => return Err(request.refuse(Reason::Fenced, Duration::ZERO)),
        RecordState::Done {
            verdict: Verdict::NotRun,
            ..
        } if newer => return Ok(()),
        _ if newer && incoming.idempotent => return Ok(()),
        RecordState::Done { verdict, .. } => verdict,
        RecordState::Open { .. } => Verdict::MayHaveRun,
    };
    Err(duplicate_refusal(verdict))
}

/// The refusal of a copy; the copy does not run, but the verdict is about the attempt.
fn duplicate_refusal(verdict: Verdict) -> Refusal {
    Refusal {
        reason: Reason::Duplicate,
        verdict,
        retry_after: Duration::ZERO,
    }
}

/// The record of an offered request.
pub(super) fn new_record(incoming: &IncomingRequest, state: RecordState) -> Record {
    Record {
        id: incoming.id,
        attempt: incoming.attempt,
        expires: incoming.expires,
        idempotent: incoming.idempotent,
        state,
        earlier_verdict: Verdict::NotRun,
    }
}

/// The record by which a query keeps a request from running.
pub(super) fn fence_record(query: OutcomeQuery) -> Record {
    Record {
        id: query.id,
        attempt: query.attempt,
        expires: query.expires,
        idempotent: false,
        state: RecordState::Fenced,
        earlier_verdict: Verdict::NotRun,
    }
}
