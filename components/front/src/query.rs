//! Asking an owner what became of a request.

use std::net::SocketAddr;
use std::time::Duration;

use traffic::ledger::Outcome;
use traffic::owner::OutcomeQuery;
use transport::calls;

/// Longest wait for the answer to an outcome query.
const QUERY_LIMIT: Duration = Duration::from_millis(500);

/// Asks the node at `peer` over a new connection.
pub async fn query_outcome(peer: SocketAddr, query: OutcomeQuery) -> Outcome {
    let answer = async {
        let client = calls::connect(peer, QUERY_LIMIT).await?;
        let context = calls::context_with_timeout(QUERY_LIMIT);
        Ok::<_, calls::Error>(client.outcome(context, query.into()).await?)
    };
    answer.await.map_or(Outcome::Unknown, Outcome::from)
}
