//! Carries out the effects of the control state machine.

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
use tokio::time::Instant;

use crate::event_log::StoreCall;
use crate::event_log::StoreHealth;
use crate::event_log::log_failed_call;
use crate::event_log::log_malformed_contacts;
use crate::event_log::log_member_changes;
use crate::event_log::log_store_changes;
use crate::key_freshness;
use crate::rollout_calls;
use crate::rollout_log;
use crate::state_metrics;
use config::Record;
use control::CallId;
use control::Effect;
use control::Input;
use control::NodeStage;
use control::Topology;
use errors::Reason;
use front::KeyValidity;
use front::TrafficDriver;
use ids::Domain;
use kernel::Clock;
use kernel::control_loop::EffectExecutor;
use member::Stage;
use spread::ContactsEvent;
use spread::Revision;
use spread::StoreEvent;
use store::CONFIG_KEY;
use store::Entry;
use store::ORDER_PREFIX;
use store::Store;
use store::WatchOutcome;
use store::contacts_key;
use store::decode_contacts;
use store::decode_record;
use store::encode_contacts;
use store::encode_record;
use store::order_key;
use store::state_key;
use store::status_key;
use telemetry::Metrics;
use transport::Datagram;
use transport::Sender;
use transport::calls;
use transport::calls::PULL_TIMEOUT;
use transport::log_malformed_entries;

/// Timeout of connecting to another node, and of the control call that follows.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Result of a control call that another node has made to this one.
#[derive(Debug)]
pub(crate) enum CallResult {
    Pull(spread::PullResponse),
    Sync(member::SyncResponse),
}

/// Call for the configuration key that may wait for a change after a revision.
#[derive(Clone, Copy, Debug)]
enum ConfigCall {
    Read,
    ReadChanges(Revision),
    Watch(Revision),
    /// A watch that ends after [`fresh::WATCH_TIME`].
    BriefWatch(Revision),
}

/// Control calls from other nodes that wait for their result from the control thread.
#[derive(Debug, Default)]
pub(crate) struct PendingCalls {
    /// Identifier of the newest call.
    last_id: u64,
    /// Sorted by call identifier.
    waiting: Vec<(CallId, oneshot::Sender<CallResult>)>,
}

impl PendingCalls {
    /// Adds a call and returns its new identifier; removes calls whose caller no longer waits.
    pub(crate) fn add(&mut self, sender: oneshot::Sender<CallResult>) -> CallId {
        self.waiting.retain(|(_, sender)| !sender.is_closed());
        self.last_id += 1;
        let call_id = CallId(self.last_id);
        self.waiting.push((call_id, sender));
        call_id
    }

    fn take(&mut self, call_id: CallId) -> Option<oneshot::Sender<CallResult>> {
        let index = self
            .waiting
            .binary_search_by_key(&call_id, |(waiting_id, _)| *waiting_id)
            .ok()?;
        Some(self.waiting.remove(index).1)
    }
}

/// Carries out effects on the control thread; each network call runs as a task of the thread's runtime.
pub(crate) struct ControlExecutor {
    pub(crate) sender: Arc<dyn Sender>,
    pub(crate) store: Arc<dyn Store>,
    pub(crate) inputs: mpsc::Sender<Input>,
    pub(crate) pending_calls: Arc<Mutex<PendingCalls>>,
    pub(crate) topology: Arc<ArcSwap<Topology>>,
    pub(crate) driver: Arc<TrafficDriver>,
    pub(crate) metrics: Arc<Metrics>,
    /// Running call to the store for the configuration; at most one runs at a time.
    pub(crate) config_call: Option<JoinHandle<()>>,
    pub(crate) store_health: Arc<StoreHealth>,
    /// `None` if the settings do not ask for freshness of keys.
    pub(crate) key_validity: Option<KeyValidity>,
}

impl EffectExecutor<Effect> for ControlExecutor {
    fn execute(&mut self, effect: Effect) {
        match effect {
            Effect::Send { to, message } => self.sender.send(to, &Datagram::Membership(message)),
            Effect::SendCrashReports { to, reports } => {
                self.sender.send(to, &Datagram::CrashReports(reports));
            }
            Effect::SendRollout { to, message } => {
                self.sender.send(to, &Datagram::Rollout(message));
            }
            Effect::CallRolloutStore(call) => self.call_rollout_store(call),
            Effect::Pull { from, have } => {
                self.spawn_call(async move {
                    let response = pull_config(from, have).await;
                    let response =
                        response.inspect_err(|error| log_failed_call("pull", from, error));
                    let response = response.ok();
                    Input::PullCompleted { from, response }
                });
            }
            Effect::Sync { to, request } => {
                let metrics = Arc::clone(&self.metrics);
                self.spawn_call(async move {
                    let response = sync_members(to, &request, &metrics).await;
                    let response = response.inspect_err(|error| log_failed_call("sync", to, error));
                    let response = response.ok().flatten();
                    Input::SyncCompleted { from: to, response }
                });
            }
            Effect::RespondToPull { call_id, response } => {
                self.complete_call(call_id, CallResult::Pull(response))
            }
            Effect::RespondToSync { call_id, response } => {
                self.complete_call(call_id, CallResult::Sync(response))
            }
            Effect::ReadConfig => self.start_config_call(ConfigCall::Read),
            Effect::WatchConfig { after } => self.start_config_call(ConfigCall::Watch(after)),
            Effect::WatchConfigBriefly { after } => {
                self.start_config_call(ConfigCall::BriefWatch(after));
            }
            Effect::Freshness(output) => self.apply_freshness(output),
            Effect::ReadConfigChanges { after } => {
                self.start_config_call(ConfigCall::ReadChanges(after));
            }
            Effect::CancelConfigCall => self.cancel_config_call(),
            Effect::WriteConfig { expected, record } => self.write_config(expected, &record),
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

impl ControlExecutor {
    /// Runs a call as a task and passes the input that it returns to the control state machine.
    fn spawn_call(&self, call: impl Future<Output = Input> + Send + 'static) -> JoinHandle<()> {
        let inputs = self.inputs.clone();
        tokio::spawn(async move {
            let input = call.await;
            // Sending fails only if the node has stopped.
            let _ = inputs.send(input).await;
        })
    }

    fn complete_call(&self, call_id: CallId, result: CallResult) {
        let sender = self
            .pending_calls
            .lock()
            .ok()
            .and_then(|mut it| it.take(call_id));
        if let Some(sender) = sender {
            // Sending fails if the call was abandoned, which needs no handling.
            let _ = sender.send(result);
        }
    }

    fn apply_freshness(&mut self, output: fresh::Output) {
        if let Some(key_validity) = &self.key_validity {
            let sender = self.sender.as_ref();
            key_freshness::apply(output, key_validity, sender, &self.metrics);
        }
    }

    /// Reads or watches the configuration.
    fn start_config_call(&mut self, config_call: ConfigCall) {
        self.cancel_config_call();
        let store = Arc::clone(&self.store);
        let is_writable = store.is_writable(CONFIG_KEY);
        // What the answer proves holds from when the call is sent, not from when it is answered.
        let sent = self.key_validity.as_ref().map(|it| it.clock().now());
        let call = match config_call {
            ConfigCall::Read => StoreCall::Read,
            ConfigCall::ReadChanges(_) => StoreCall::ReadChanges,
            ConfigCall::Watch(_) | ConfigCall::BriefWatch(_) => StoreCall::Watch,
        };
        let observed = self.observe_store_call(call, CONFIG_KEY, async move {
            match config_call {
                ConfigCall::Read => store.read(CONFIG_KEY).await.map(WatchOutcome::Changed),
                ConfigCall::ReadChanges(after) => store.read_changes(CONFIG_KEY, after).await,
                ConfigCall::Watch(after) => store.watch(CONFIG_KEY, after).await,
                ConfigCall::BriefWatch(after) => {
                    let wait = fresh::WATCH_TIME;
                    store.watch_within(CONFIG_KEY, after, wait).await
                }
            }
        });
        self.config_call = Some(self.spawn_call(async move {
            let event = match observed.await {
                Ok(WatchOutcome::Unchanged(store_revision)) => {
                    StoreEvent::Unchanged { store_revision }
                }
                Ok(WatchOutcome::Changed(entry)) => decode_store_event(&entry, is_writable),
                // A watch that has missed several large values gets all of them at once.
                Err(store::Error::HistoryUnavailable { .. } | store::Error::TooLarge { .. }) => {
                    StoreEvent::HistoryUnavailable
                }
                Err(_) => StoreEvent::Failed,
            };
            match sent {
                Some(sent) => Input::StoreAnswered { sent, event },
                None => Input::Store(event),
            }
        }));
    }

    /// Counts a call to the store, and records how it ends.
    fn observe_store_call<T, F>(
        &self,
        call: StoreCall,
        key: &str,
        response: F,
    ) -> impl Future<Output = F::Output> + use<T, F>
    where
        F: Future<Output = Result<T, store::Error>>,
    {
        self.metrics.count_store_call(call.name());
        let health = Arc::clone(&self.store_health);
        let key = key.to_owned();
        async move {
            let started = Instant::now();
            let result = response.await;
            match &result {
                // A small value that arrives does not show that the configuration can be read.
                Ok(_) if key == CONFIG_KEY => health.record_success(),
                Ok(_) => {}
                Err(error) => health.record_failure(call, &key, started.elapsed(), error),
            }
            result
        }
    }

    fn write_config(&mut self, expected: Revision, record: &Record) {
        self.cancel_config_call();
        let store = Arc::clone(&self.store);
        let value = encode_record(record);
        let observed = self.observe_store_call(StoreCall::Write, CONFIG_KEY, async move {
            store.compare_and_swap(CONFIG_KEY, expected, value).await
        });
        self.config_call = Some(self.spawn_call(async move {
            Input::Store(match observed.await {
                Ok(outcome) => StoreEvent::Written { era: outcome.era() },
                Err(_) => StoreEvent::Failed,
            })
        }));
    }

    /// Reads the contacts of a failure domain.
    fn call_for_contacts(
        &self,
        domain: &Domain,
    ) -> impl Future<Output = Result<Entry, store::Error>> + use<> {
        let store = Arc::clone(&self.store);
        let key = contacts_key(domain);
        let read_key = key.clone();
        self.observe_store_call(
            StoreCall::Read,
            &key,
            async move { store.read(&read_key).await },
        )
    }

    fn read_contacts(&self, domain: &Domain) {
        let observed = self.call_for_contacts(domain);
        let (domain, metrics) = (domain.clone(), Arc::clone(&self.metrics));
        self.spawn_call(async move {
            Input::Contacts(match observed.await {
                Ok(entry) => ContactsEvent::Value {
                    revision: entry.revision,
                    addresses: decode_addresses(&entry, &domain, &metrics),
                },
                Err(_) => ContactsEvent::Failed,
            })
        });
    }

    /// Reads the contacts of a failure domain other than the node's own.
    fn read_other_contacts(&self, domain: &Domain) {
        let observed = self.call_for_contacts(domain);
        let (domain, metrics) = (domain.clone(), Arc::clone(&self.metrics));
        self.spawn_call(async move {
            let addresses = observed.await;
            let addresses = addresses.map(|it| decode_addresses(&it, &domain, &metrics));
            Input::Contacts(ContactsEvent::OtherDomain {
                addresses: addresses.unwrap_or_default(),
            })
        });
    }

    fn write_contacts(&self, domain: &Domain, expected: Revision, addresses: &[SocketAddr]) {
        let store = Arc::clone(&self.store);
        let key = contacts_key(domain);
        let written_key = key.clone();
        let value = encode_contacts(addresses);
        let observed = self.observe_store_call(StoreCall::Write, &key, async move {
            store.compare_and_swap(&written_key, expected, value).await
        });
        self.spawn_call(async move {
            Input::Contacts(match observed.await {
                Ok(outcome) => ContactsEvent::Written { era: outcome.era() },
                Err(_) => ContactsEvent::Failed,
            })
        });
    }

    /// Makes a call about rollouts, of which each service has one at a time, beside one watch.
    fn call_rollout_store(&self, call: rollout::StoreCall) {
        let (kind, key) = describe_call(&call);
        self.metrics.count_store_call(kind.name());
        let (store, health) = (Arc::clone(&self.store), Arc::clone(&self.store_health));
        self.spawn_call(async move {
            let started = Instant::now();
            let (input, error) = rollout_calls::make_call(store, call).await;
            if let Some(error) = error {
                health.record_failure(kind, &key, started.elapsed(), &error);
            }
            input
        });
    }

    fn cancel_config_call(&mut self) {
        if let Some(task) = self.config_call.take() {
            task.abort();
        }
    }

    /// Makes a new topology visible to the traffic threads, and logs and counts what has changed.
    fn publish(&mut self, topology: Arc<Topology>) {
        let old_topology = self.topology.load_full();
        state_metrics::count_changes(&self.metrics, &old_topology, &topology);
        rollout_log::record_changes(&self.metrics, &old_topology, &topology);
        log_member_changes(&old_topology, &topology);
        log_store_changes(&old_topology, &topology);
        let old_version = old_topology.snapshot.as_ref().map(|it| it.version());
        let new_version = topology.snapshot.as_ref().map(|it| it.version());
        let own_upstream = topology.own_upstream.clone();
        let leaving = topology.node_stage == NodeStage::Leaving;
        self.topology.store(topology);
        self.driver.refresh_rate_limits();
        if leaving {
            self.driver.drain();
        }
        if let Some(version) = new_version.filter(|version| Some(*version) != old_version) {
            self.metrics.set_config_version(version.0);
            info!(event = "configuration", version = version.0; "configuration in force");
        }
        let (stage, slots) =
            own_upstream.map_or((Stage::Warming, 0), |(stage, it)| (stage, it.slots));
        self.driver
            .step_owner(traffic::owner::Input::UpstreamAnnounced { stage, slots });
    }
}

/// Kind and key of a call about rollouts.
fn describe_call(call: &rollout::StoreCall) -> (StoreCall, String) {
    match call {
        rollout::StoreCall::ReadOrder { service } => (StoreCall::Read, order_key(service)),
        rollout::StoreCall::WatchOrders { .. } => (StoreCall::Watch, ORDER_PREFIX.to_owned()),
        rollout::StoreCall::ReadState { service } => (StoreCall::Read, state_key(service)),
        rollout::StoreCall::WriteState { service, .. } => (StoreCall::Write, state_key(service)),
        rollout::StoreCall::WriteStatus { service, .. } => (StoreCall::Write, status_key(service)),
    }
}

fn decode_store_event(entry: &Entry, is_writable: bool) -> StoreEvent {
    let store_revision = entry.store_revision;
    let record = entry.value.as_deref().map(decode_record);
    if matches!(record, Some(None)) {
        return StoreEvent::Unreadable { store_revision };
    }
    StoreEvent::Value {
        record: record.flatten(),
        revision: entry.revision,
        store_revision,
        is_writable,
    }
}

/// Addresses in the contacts of a failure domain; counts and logs entries that cannot be used.
fn decode_addresses(entry: &Entry, domain: &Domain, metrics: &Metrics) -> Vec<SocketAddr> {
    let contacts = entry.value.as_deref().map(decode_contacts);
    let contacts = contacts.unwrap_or_default();
    if contacts.malformed > 0 {
        metrics.count_drop(Reason::Malformed);
        log_malformed_contacts(domain, contacts.malformed, contacts.addresses.len());
    }
    contacts.addresses
}

async fn pull_config(
    from: SocketAddr,
    have: member::ConfigId,
) -> Result<spread::PullResponse, calls::Error> {
    let client = calls::connect(from, CALL_TIMEOUT).await?;
    let context = calls::context_with_timeout(PULL_TIMEOUT);
    let response = client.pull(context, have.version.0, have.digest.0).await?;
    response.into_response().ok_or(calls::Error::Malformed)
}

async fn sync_members(
    to: SocketAddr,
    request: &member::SyncRequest,
    metrics: &Metrics,
) -> Result<Option<member::SyncResponse>, calls::Error> {
    let client = calls::connect(to, CALL_TIMEOUT).await?;
    let context = calls::context_with_timeout(CALL_TIMEOUT);
    let response = client.sync(context, request.into()).await?;
    let decoded = response.and_then(wire::sync::SyncResponse::into_response);
    let malformed = decoded.as_ref().map_or(0, |it| it.malformed);
    if malformed > 0 {
        metrics.count_drop(Reason::Malformed);
        log_malformed_entries("sync", to, malformed);
    }
    Ok(decoded.map(|it| it.message))
}
