//! Client side of outcome queries.

use std::net::SocketAddr;
use std::time::Duration;

use traffic::ledger::Outcome;
use traffic::owner::OutcomeQuery;
use transport::calls;

/// Timeout for connecting and, separately, for the response to an outcome query.
const QUERY_TIMEOUT: Duration = Duration::from_millis(500);

/// Sends an outcome query to the node at `peer` over a new connection; the outcome is unknown if the
/// call fails.
pub async fn query_outcome(peer: SocketAddr, query: OutcomeQuery) -> Outcome {
    let response = async {
        let client = calls::connect(peer, QUERY_TIMEOUT).await?;
        let context = calls::context_with_timeout(QUERY_TIMEOUT);
        Ok::<_, calls::Error>(client.outcome(context, query.into()).await?)
    };
    response.await.map_or(Outcome::Unknown, Outcome::from)
}
