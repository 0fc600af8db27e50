//! Carries out the effects of the control machine.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use arc_swap::ArcSwap;
use log::info;
use log::warn;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

use control::Effect;
use control::Input;
use control::Picture;
use control::Token;
use front::Desk;
use kernel::control::Executor;
use member::Stage;
use spread::Revision;
use spread::StoreEvent;
use store::CONFIG_KEY;
use store::Store;
use store::decode_record;
use telemetry::Counters;
use transport::Sender;
use transport::calls;

/// Longest time of a pull.
const PULL_LIMIT: Duration = Duration::from_secs(2);

/// Senders that wait for the answer to a control call, sorted by token.
#[derive(Debug, Default)]
pub(crate) struct Waiting {
    next: u64,
    senders: Vec<(Token, oneshot::Sender<spread::Offer>)>,
}

impl Waiting {
    pub(crate) fn add(&mut self, sender: oneshot::Sender<spread::Offer>) -> Token {
        self.senders.retain(|(_, sender)| !sender.is_closed());
        self.next += 1;
        let token = Token(self.next);
        self.senders.push((token, sender));
        token
    }

    fn take(&mut self, token: Token) -> Option<oneshot::Sender<spread::Offer>> {
        let at = self
            .senders
            .binary_search_by_key(&token, |(known, _)| *known)
            .ok()?;
        Some(self.senders.remove(at).1)
    }
}

/// Runs on the control thread; whatever takes time becomes a task of its runtime.
pub(crate) struct Effects {
    pub(crate) sender: Arc<dyn Sender>,
    pub(crate) store: Arc<dyn Store>,
    pub(crate) inputs: mpsc::Sender<Input>,
    pub(crate) waiting: Arc<Mutex<Waiting>>,
    pub(crate) picture: Arc<ArcSwap<Picture>>,
    pub(crate) desk: Arc<Desk>,
    pub(crate) counters: Arc<Counters>,
    pub(crate) watch: Option<JoinHandle<()>>,
}

impl Executor<Effect> for Effects {
    fn execute(&mut self, effect: Effect) {
        match effect {
            Effect::Send { to, message } => self.sender.send(to, &message),
            Effect::Pull { from, have } => {
                let inputs = self.inputs.clone();
                tokio::spawn(async move {
                    let offer = pull(from, have).await.ok();
                    // The channel closes only when the node stops.
                    let _ = inputs.send(Input::Pulled { offer }).await;
                });
            }
            Effect::AnswerPull { token, offer } => {
                let sender = self.waiting.lock().ok().and_then(|mut it| it.take(token));
                if let Some(sender) = sender {
                    let _ = sender.send(offer);
                }
            }
            Effect::ReadStore => self.call_store(None),
            Effect::WatchStore { after } => self.call_store(Some(after)),
            Effect::StopWatch => self.stop_watch(),
            Effect::Publish(picture) => self.publish(picture),
            Effect::Refused { version, message } => {
                warn!(version = version.0, error = message.as_str(); "configuration refused");
            }
        }
    }
}

impl Effects {
    fn call_store(&mut self, watch_after: Option<Revision>) {
        self.stop_watch();
        let store = Arc::clone(&self.store);
        let inputs = self.inputs.clone();
        self.counters.count_store_call(if watch_after.is_some() {
            "watch"
        } else {
            "read"
        });
        self.watch = Some(tokio::spawn(async move {
            let answer = match watch_after {
                Some(after) => store.watch(CONFIG_KEY, after).await,
                None => store.read(CONFIG_KEY).await,
            };
            let event = match answer {
                Ok(entry) => StoreEvent::Value {
                    revision: entry.as_ref().map(|it| it.revision).unwrap_or_default(),
                    record: entry.and_then(|it| decode_record(&it.value)),
                },
                Err(error) => {
                    warn!(error = error.to_string().as_str(); "store call failed");
                    StoreEvent::Failed
                }
            };
            let _ = inputs.send(Input::Store(event)).await;
        }));
    }

    fn stop_watch(&mut self) {
        if let Some(task) = self.watch.take() {
            task.abort();
        }
    }

    fn publish(&mut self, picture: Arc<Picture>) {
        let before = self.picture.load().snapshot.as_ref().map(|it| it.version());
        let now = picture.snapshot.as_ref().map(|it| it.version());
        let own = picture.own.clone();
        self.picture.store(picture);
        if let Some(version) = now.filter(|version| Some(*version) != before) {
            self.counters.set_version(version.0);
            info!(version = version.0; "configuration in force");
        }
        let (stage, slots) = own.map_or((Stage::Warming, 0), |(stage, it)| (stage, it.slots));
        self.desk
            .step_owner(traffic::owner::Input::Upstream { stage, slots });
    }
}

async fn pull(
    from: std::net::SocketAddr,
    have: member::Stamp,
) -> Result<spread::Offer, calls::Error> {
    let client = calls::connect(from, PULL_LIMIT).await?;
    let context = calls::limit_call(PULL_LIMIT);
    Ok(client
        .pull(context, have.version.0, have.digest.0)
        .await?
        .into())
}
