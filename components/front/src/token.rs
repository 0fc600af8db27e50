//! Guard of one request's token of its organisation's rate limit.

use std::sync::Arc;
use std::time::Duration;

use crate::TrafficDriver;
use crate::limit_log;
use crate::rate_limits::Wait;
use errors::Reason;
use errors::Verdict;
use ids::OrganisationId;
use quota::Refusal;
use quota::Ticket;
use quota::TokenLease;

/// Token that a caller's request has spent. It stays spent unless [`Token::give_back`] is called.
#[must_use]
pub struct Token {
    /// `None` if the organisation has no limit.
    spent: Option<(Arc<TrafficDriver>, OrganisationId, TokenLease)>,
}

impl Token {
    /// Token of a request that no limit applies to.
    pub fn unlimited() -> Self {
        Self { spent: None }
    }

    /// Returns the token, because the request has certainly not run.
    pub fn give_back(self) {
        if let Some((driver, organisation, lease)) = self.spent {
            driver.metrics().count_limit_token("returned");
            driver.rate_limits().give_back(organisation, lease);
        }
    }
}

/// Ends the wait if the request's future is dropped.
struct WaitGuard<'a> {
    driver: &'a TrafficDriver,
    ticket: Option<Ticket>,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket.take() {
            self.driver.rate_limits().cancel(ticket);
        }
    }
}

impl TrafficDriver {
    /// Whether an organisation of the configuration in force has a rate limit.
    pub fn has_rate_limits(&self) -> bool {
        self.rate_limits().is_active()
    }

    /// Spends a token for a request of an organisation. Waits for one for at most `wait`, unless the granter states that
    /// none will be free by then. Dropping the future ends the wait.
    pub async fn acquire_token(
        self: &Arc<Self>,
        organisation: OrganisationId,
        wait: Duration,
    ) -> Result<Token, traffic::Refusal> {
        if !self.has_rate_limits() {
            return Ok(Token::unlimited());
        }
        let spent = |lease| {
            self.metrics().count_limit_token("spent");
            let spent = Some((Arc::clone(self), organisation, lease));
            Token { spent }
        };
        match self.rate_limits().acquire(organisation, wait) {
            Wait::Unlimited => Ok(Token::unlimited()),
            Wait::Token(lease) => Ok(spent(lease)),
            Wait::Refused(refusal) => Err(self.refuse(organisation, refusal)),
            Wait::Waiting(pending) => {
                let mut guard = WaitGuard {
                    driver: self,
                    ticket: Some(pending.ticket),
                };
                let answer = pending.answer.await;
                guard.ticket = None;
                match answer {
                    Ok(Ok(lease)) => Ok(spent(lease)),
                    Ok(Err(refusal)) => Err(self.refuse(organisation, refusal)),
                    // The limits have ended with the configuration that contained them.
                    Err(_) => Ok(Token::unlimited()),
                }
            }
        }
    }

    fn refuse(&self, organisation: OrganisationId, refusal: Refusal) -> traffic::Refusal {
        let topology = self.topology();
        let snapshot = topology.snapshot.as_ref();
        let found = snapshot.and_then(|it| it.organisation(it.find_organisation(organisation)?));
        limit_log::log_refusal(found.map_or("", |it| &it.name), refusal);
        let (reason, retry_after) = match refusal {
            Refusal::Reached(retry_after) => (Reason::LimitReached, retry_after),
            Refusal::Unknown(retry_after) => (Reason::LimitUnknown, retry_after),
        };
        traffic::Refusal {
            reason,
            verdict: Verdict::NotRun,
            retry_after,
        }
    }
}
