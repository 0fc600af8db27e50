//! Detection of duplicate requests, and the ledger records on which it is based.

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

/// Checks whether a request that the ledger has already recorded may be accepted again.
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

/// Refusal of a duplicate. The duplicate itself does not run; the verdict is that on the recorded
/// attempt.
fn duplicate_refusal(verdict: Verdict) -> Refusal {
    Refusal {
        reason: Reason::Duplicate,
        verdict,
        retry_after: Duration::ZERO,
    }
}

/// Record of an arriving request.
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

/// Creates the record by which an outcome query fences a request that has not arrived.
pub(super) fn new_fenced_record(query: OutcomeQuery) -> Record {
    Record {
        id: query.id,
        attempt: query.attempt,
        expires: query.expires,
        idempotent: false,
        state: RecordState::Fenced,
        earlier_verdict: Verdict::NotRun,
    }
}
