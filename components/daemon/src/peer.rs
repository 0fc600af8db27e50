//! Server side of the control calls that nodes make to each other.

use std::sync::Arc;
use std::sync::Mutex;

use tarpc::context::Context;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::executor::CallResult;
use crate::executor::PendingCalls;
use control::CallId;
use control::Input;
use errors::Reason;
use front::TrafficDriver;
use ids::Digest;
use ids::Version;
use member::ConfigId;
use wire::control::Outcome;
use wire::control::OutcomeQuery;
use wire::control::Peer;
use wire::control::PullResponse;
use wire::sync;

/// Serves the control calls of one connection.
#[derive(Clone)]
pub(crate) struct PeerHandler {
    pub(crate) inputs: mpsc::Sender<Input>,
    pub(crate) pending_calls: Arc<Mutex<PendingCalls>>,
    pub(crate) driver: Arc<TrafficDriver>,
}

impl PeerHandler {
    /// Passes a call to the control thread and waits for its result; `None` if the node stops first.
    async fn call_control_thread(&self, input: impl FnOnce(CallId) -> Input) -> Option<CallResult> {
        let (sender, receiver) = oneshot::channel();
        let call_id = self
            .pending_calls
            .lock()
            .ok()
            .map(|mut it| it.add(sender))?;
        // Sending fails only if the node is stopping; the receiver then returns an error as well.
        let _ = self.inputs.send(input(call_id)).await;
        receiver.await.ok()
    }
}

impl Peer for PeerHandler {
    async fn pull(self, _: Context, version: u64, digest: u64) -> PullResponse {
        let have = ConfigId {
            version: Version(version),
            digest: Digest(digest),
        };
        match self
            .call_control_thread(|call_id| Input::PullRequested { call_id, have })
            .await
        {
            Some(CallResult::Pull(response)) => PullResponse::from(&response),
            _ => PullResponse::UpToDate,
        }
    }

    async fn sync(self, _: Context, request: sync::SyncRequest) -> Option<sync::SyncResponse> {
        let decoded = request.into_request()?;
        if decoded.malformed > 0 {
            self.driver.metrics().count_drop(Reason::Malformed);
        }
        let request = decoded.message;
        match self
            .call_control_thread(|call_id| Input::SyncRequested { call_id, request })
            .await
        {
            Some(CallResult::Sync(response)) => Some(sync::SyncResponse::from(&response)),
            _ => None,
        }
    }

    async fn outcome(self, _: Context, query: OutcomeQuery) -> Outcome {
        self.driver.report_outcome(query.into()).await.into()
    }
}
