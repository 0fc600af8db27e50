//! Carries out the effects of the control machine.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use arc_swap::ArcSwap;
use log::info;
use log::warn;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

use crate::beliefs::StoreHealth;
use crate::beliefs::log_failed_call;
use crate::beliefs::log_members;
use crate::states;
use config::Record;
use control::CallId;
use control::Effect;
use control::Input;
use control::NodeStage;
use control::Topology;
use front::TrafficDriver;
use ids::Domain;
use kernel::control_loop::EffectExecutor;
use member::Stage;
use spread::ContactsEvent;
use spread::Revision;
use spread::StoreEvent;
use store::CONFIG_KEY;
use store::Entry;
use store::Store;
use store::WatchOutcome;
use store::contacts_key;
use store::decode_contacts;
use store::decode_record;
use store::encode_contacts;
use store::encode_record;
use telemetry::Metrics;
use transport::Sender;
use transport::calls;

/// Longest time of a control call.
const CALL_LIMIT: Duration = Duration::from_secs(2);

/// Answer to a control call.
#[derive(Debug)]
pub(crate) enum Reply {
    Offer(spread::PullResponse),
    Sync(member::SyncResponse),
}

/// Senders that wait for the answer to a control call, sorted by token.
#[derive(Debug, Default)]
pub(crate) struct Waiting {
    next: u64,
    senders: Vec<(CallId, oneshot::Sender<Reply>)>,
}

impl Waiting {
    pub(crate) fn add(&mut self, sender: oneshot::Sender<Reply>) -> CallId {
        self.senders.retain(|(_, sender)| !sender.is_closed());
        self.next += 1;
        let call_id = CallId(self.next);
        self.senders.push((call_id, sender));
        call_id
    }

    fn take(&mut self, call_id: CallId) -> Option<oneshot::Sender<Reply>> {
        let at = self
            .senders
            .binary_search_by_key(&call_id, |(known, _)| *known)
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
    pub(crate) topology: Arc<ArcSwap<Topology>>,
    pub(crate) driver: Arc<TrafficDriver>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) watch: Option<JoinHandle<()>>,
    pub(crate) store_health: Arc<StoreHealth>,
}

impl EffectExecutor<Effect> for Effects {
    fn execute(&mut self, effect: Effect) {
        match effect {
            Effect::Send { to, message } => self.sender.send(to, &message),
            Effect::Pull { from, have } => {
                self.report(async move {
                    let response = pull(from, have).await;
                    let response =
                        response.inspect_err(|error| log_failed_call("pull", from, error));
                    let response = response.ok();
                    Input::PullCompleted { from, response }
                });
            }
            Effect::Sync { to, request } => {
                self.report(async move {
                    let response = compare(to, &request).await;
                    let response = response.inspect_err(|error| log_failed_call("sync", to, error));
                    let response = response.ok().flatten();
                    Input::SyncCompleted { from: to, response }
                });
            }
            Effect::RespondToPull { call_id, response } => {
                self.reply(call_id, Reply::Offer(response))
            }
            Effect::RespondToSync { call_id, response } => {
                self.reply(call_id, Reply::Sync(response))
            }
            Effect::ReadConfig => self.call_store(None),
            Effect::WatchConfig { after } => self.call_store(Some(after)),
            Effect::CancelConfigCall => self.stop_watch(),
            Effect::WriteConfig { expected, record } => self.write_store(expected, &record),
            Effect::ReadContacts { domain, other } => {
                self.read_contacts(&domain);
                if let Some(other) = other.filter(|other| *other != domain) {
                    self.read_other_contacts(&other);
                }
            }
            Effect::WriteContacts {
                domain,
                expected,
                addresses,
            } => self.write_contacts(&domain, expected, &addresses),
            Effect::Publish(topology) => self.publish(topology),
            Effect::ConfigRefused { version, message } => {
                warn!(
                    event = "configuration-refused", version = version.0,
                    error = message.as_str();
                    "configuration refused"
                );
            }
        }
    }
}

impl Effects {
    /// Starts a call whose end is an input.
    fn report(&self, call: impl Future<Output = Input> + Send + 'static) -> JoinHandle<()> {
        let inputs = self.inputs.clone();
        tokio::spawn(async move {
            let input = call.await;
            // The channel closes only when the node stops.
            let _ = inputs.send(input).await;
        })
    }

    fn reply(&self, call_id: CallId, reply: Reply) {
        let sender = self.waiting.lock().ok().and_then(|mut it| it.take(call_id));
        if let Some(sender) = sender {
            // A caller that no longer waits needs no answer.
            let _ = sender.send(reply);
        }
    }

    fn call_store(&mut self, watch_after: Option<Revision>) {
        self.stop_watch();
        let store = Arc::clone(&self.store);
        self.metrics.count_store_call(if watch_after.is_some() {
            "watch"
        } else {
            "read"
        });
        let health = Arc::clone(&self.store_health);
        self.watch = Some(self.report(async move {
            let answer = match watch_after {
                Some(after) => store.watch(CONFIG_KEY, after).await,
                None => store.read(CONFIG_KEY).await.map(WatchOutcome::Changed),
            };
            Input::Store(match answer {
                Ok(WatchOutcome::Unchanged) => {
                    health.note_answer();
                    StoreEvent::Unchanged
                }
                Ok(WatchOutcome::Changed(entry)) => {
                    health.note_answer();
                    read_event(entry)
                }
                Err(error) => {
                    health.note_failure(&error);
                    StoreEvent::Failed
                }
            })
        }));
    }

    fn write_store(&mut self, expected: Revision, record: &Record) {
        self.stop_watch();
        let store = Arc::clone(&self.store);
        let health = Arc::clone(&self.store_health);
        let value = encode_record(record);
        self.metrics.count_store_call("write");
        warn!(
            event = "store-behind", version = record.version.0;
            "the store is behind the fleet; writing the record back"
        );
        self.watch = Some(self.report(async move {
            Input::Store(
                match store.compare_and_swap(CONFIG_KEY, expected, value).await {
                    Ok(_) => StoreEvent::Written,
                    Err(error) => {
                        health.note_failure(&error);
                        StoreEvent::Failed
                    }
                },
            )
        }));
    }

    fn read_contacts(&self, domain: &Domain) {
        let store = Arc::clone(&self.store);
        let health = Arc::clone(&self.store_health);
        let key = contacts_key(domain);
        self.metrics.count_store_call("read");
        self.report(async move {
            Input::Contacts(match store.read(&key).await {
                Ok(entry) => ContactsEvent::Value {
                    revision: entry.as_ref().map(|it| it.revision).unwrap_or_default(),
                    addresses: entry
                        .and_then(|it| decode_contacts(&it.value))
                        .unwrap_or_default(),
                },
                Err(error) => {
                    health.note_failure(&error);
                    ContactsEvent::Failed
                }
            })
        });
    }

    /// Reads the contacts of another failure domain.
    fn read_other_contacts(&self, domain: &Domain) {
        let store = Arc::clone(&self.store);
        let health = Arc::clone(&self.store_health);
        let key = contacts_key(domain);
        self.metrics.count_store_call("read");
        self.report(async move {
            let found = store.read(&key).await;
            let found = found
                .inspect_err(|error| health.note_failure(error))
                .ok()
                .flatten();
            let addresses = found.and_then(|it| decode_contacts(&it.value));
            Input::Contacts(ContactsEvent::OtherDomain {
                addresses: addresses.unwrap_or_default(),
            })
        });
    }

    fn write_contacts(&self, domain: &Domain, expected: Revision, addresses: &[SocketAddr]) {
        let store = Arc::clone(&self.store);
        let health = Arc::clone(&self.store_health);
        let key = contacts_key(domain);
        let value = encode_contacts(addresses);
        self.metrics.count_store_call("write");
        self.report(async move {
            Input::Contacts(match store.compare_and_swap(&key, expected, value).await {
                Ok(_) => ContactsEvent::Written,
                Err(error) => {
                    health.note_failure(&error);
                    ContactsEvent::Failed
                }
            })
        });
    }

    fn stop_watch(&mut self) {
        if let Some(task) = self.watch.take() {
            task.abort();
        }
    }

    fn publish(&mut self, topology: Arc<Topology>) {
        let old = self.topology.load_full();
        states::count_changes(&self.metrics, &old, &topology);
        log_members(&old, &topology);
        let before = old.snapshot.as_ref().map(|it| it.version());
        let now = topology.snapshot.as_ref().map(|it| it.version());
        let own = topology.own_upstream.clone();
        let leaving = topology.node_stage == NodeStage::Leaving;
        self.topology.store(topology);
        if leaving {
            self.driver.drain();
        }
        if let Some(version) = now.filter(|version| Some(*version) != before) {
            self.metrics.set_config_version(version.0);
            info!(event = "configuration", version = version.0; "configuration in force");
        }
        let (stage, slots) = own.map_or((Stage::Warming, 0), |(stage, it)| (stage, it.slots));
        self.driver
            .step_owner(traffic::owner::Input::UpstreamAnnounced { stage, slots });
    }
}

fn read_event(entry: Option<Entry>) -> StoreEvent {
    let Some(entry) = entry else {
        return StoreEvent::Value {
            record: None,
            revision: Revision::default(),
        };
    };
    let revision = entry.revision;
    match decode_record(&entry.value) {
        Some(record) => StoreEvent::Value {
            record: Some(record),
            revision,
        },
        None => StoreEvent::Unreadable { revision },
    }
}

async fn pull(
    from: SocketAddr,
    have: member::ConfigId,
) -> Result<spread::PullResponse, calls::Error> {
    let client = calls::connect(from, CALL_LIMIT).await?;
    let context = calls::context_with_timeout(CALL_LIMIT);
    let offer = client.pull(context, have.version.0, have.digest.0).await?;
    offer.into_response().ok_or(calls::Error::Malformed)
}

async fn compare(
    to: SocketAddr,
    request: &member::SyncRequest,
) -> Result<Option<member::SyncResponse>, calls::Error> {
    let client = calls::connect(to, CALL_LIMIT).await?;
    let context = calls::context_with_timeout(CALL_LIMIT);
    let response = client.sync(context, request.into()).await?;
    Ok(response.and_then(wire::sync::SyncResponse::into_response))
}
