//! Answers control calls of other nodes.

use std::sync::Arc;
use std::sync::Mutex;

use tarpc::context::Context;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::executor::Reply;
use crate::executor::Waiting;
use control::CallId;
use control::Input;
use front::TrafficDriver;
use ids::Digest;
use ids::Version;
use member::ConfigId;
use wire::control::Outcome;
use wire::control::OutcomeQuery;
use wire::control::Peer;
use wire::control::PullResponse;
use wire::sync;

/// Handler of one connection.
#[derive(Clone)]
pub(crate) struct Handler {
    pub(crate) inputs: mpsc::Sender<Input>,
    pub(crate) waiting: Arc<Mutex<Waiting>>,
    pub(crate) driver: Arc<TrafficDriver>,
}

impl Handler {
    /// Has the control machine answer a call.
    async fn call_machine(&self, input: impl FnOnce(CallId) -> Input) -> Option<Reply> {
        let (sender, receiver) = oneshot::channel();
        let call_id = self.waiting.lock().ok().map(|mut it| it.add(sender))?;
        // A closed channel means that the node stops; it then has nothing to give.
        let _ = self.inputs.send(input(call_id)).await;
        receiver.await.ok()
    }
}

impl Peer for Handler {
    async fn pull(self, _: Context, version: u64, digest: u64) -> PullResponse {
        let have = ConfigId {
            version: Version(version),
            digest: Digest(digest),
        };
        match self
            .call_machine(|call_id| Input::PullRequested { call_id, have })
            .await
        {
            Some(Reply::Offer(offer)) => PullResponse::from(&offer),
            _ => PullResponse::UpToDate,
        }
    }

    async fn sync(self, _: Context, request: sync::SyncRequest) -> Option<sync::SyncResponse> {
        let request = request.into_request()?;
        match self
            .call_machine(|call_id| Input::SyncRequested { call_id, request })
            .await
        {
            Some(Reply::Sync(answer)) => Some(sync::SyncResponse::from(&answer)),
            _ => None,
        }
    }

    async fn outcome(self, _: Context, query: OutcomeQuery) -> Outcome {
        self.driver.report_outcome(query.into()).await.into()
    }
}
