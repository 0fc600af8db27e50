//! Asking an owner what became of a request.

use std::net::SocketAddr;
use std::time::Duration;

use ids::RequestId;
use kernel::Time;
use traffic::ledger::Outcome;
use transport::calls;

/// Longest wait for the answer to an outcome query.
const QUERY_LIMIT: Duration = Duration::from_millis(500);

/// Asks the node at `peer` over a new connection; `expires` is on that node's clock.
pub async fn query_outcome(peer: SocketAddr, id: RequestId, expires: Time) -> Outcome {
    let answer = async {
        let client = calls::connect(peer, QUERY_LIMIT).await?;
        let context = calls::limit_call(QUERY_LIMIT);
        Ok::<_, calls::Error>(client.outcome(context, id.0, expires.0).await?)
    };
    answer.await.map_or(Outcome::Unknown, Outcome::from)
}
