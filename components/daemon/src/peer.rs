//! Answers control calls of other nodes.

use std::sync::Arc;
use std::sync::Mutex;

use tarpc::context::Context;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::executor::Waiting;
use control::Input;
use front::Desk;
use ids::Digest;
use ids::Version;
use member::Stamp;
use wire::control::Offer;
use wire::control::Outcome;
use wire::control::Peer;
use wire::control::Question;

/// Handler of one connection.
#[derive(Clone)]
pub(crate) struct Handler {
    pub(crate) inputs: mpsc::Sender<Input>,
    pub(crate) waiting: Arc<Mutex<Waiting>>,
    pub(crate) desk: Arc<Desk>,
}

impl Peer for Handler {
    async fn pull(self, _: Context, version: u64, digest: u64) -> Offer {
        let (sender, receiver) = oneshot::channel();
        let Some(token) = self.waiting.lock().ok().map(|mut it| it.add(sender)) else {
            return Offer::Same;
        };
        let have = Stamp {
            version: Version(version),
            digest: Digest(digest),
        };
        // A closed channel means that the node stops; it then has nothing to give.
        let _ = self.inputs.send(Input::PullAsked { token, have }).await;
        receiver
            .await
            .map_or(Offer::Same, |offer| Offer::from(&offer))
    }

    async fn outcome(self, _: Context, question: Question) -> Outcome {
        self.desk.tell_outcome(question.into()).await.into()
    }
}
