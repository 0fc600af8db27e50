//! State machine that distributes the configuration at one node.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::ContactsEvent;
use crate::DistributionReport;
use crate::History;
use crate::PullResponse;
use crate::Refusal;
use crate::Revision;
use crate::StoreEvent;
use crate::contacts::ContactsSync;
use crate::pull::PullState;
use crate::pull::without_digest;
use crate::report::RecentConfigIds;
use crate::revision::StorePosition;
use crate::store_call::CallBudget;
use crate::store_watch::StoreWatch;
use config::AcceptedConfig;
use config::MAX_TEXT_BYTES;
use config::Record;
use ids::Digest;
use ids::Domain;
use ids::Version;
use kernel::Random;
use kernel::Time;
use member::ConfigId;
use member::MemberTable;

/// Action that [`Machine`] requests.
#[derive(Clone, Debug)]
pub enum Output {
    /// Read the configuration key, then report a [`StoreEvent`].
    ReadConfig,
    /// Watch the configuration key, then report its first change after the revision as a
    /// [`StoreEvent`].
    WatchConfig { after: Revision },
    /// Read what has changed of the configuration key after the revision, without waiting, then report
    /// a [`StoreEvent`].
    ReadConfigChanges { after: Revision },
    /// Cancel the running call for the configuration key, of whatever kind.
    CancelConfigCall,
    /// Write the record to the configuration key if it still has the expected revision, then report
    /// a [`StoreEvent`].
    WriteBack { expected: Revision, record: Record },
    /// Read the contacts of the node's failure domain, and those of the failure domain `other` if
    /// it is given. Report a [`ContactsEvent`] for each.
    ReadContacts { other: Option<Domain> },
    /// Write the contacts of the node's failure domain if the key still has the expected revision,
    /// then report a [`ContactsEvent`].
    WriteContacts {
        expected: Revision,
        addresses: Vec<SocketAddr>,
    },
    /// The store lists these contacts, which may be addresses of unknown members.
    ContactsFound(Vec<SocketAddr>),
    /// Pull the configuration from a node, given what this node has.
    Pull { from: SocketAddr, have: ConfigId },
    /// A newer configuration is in force and is to be announced to other nodes.
    ConfigChanged,
    /// The value of [`Machine::report`] has changed.
    ReportChanged,
    /// A record was refused, for the reason in `message`.
    Refused { version: Version, message: String },
}

/// Result of applying a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ApplyResult {
    Applied,
    NotNewer,
    Refused,
    Corrupt,
}

/// Distribution of the configuration at one node.
#[derive(Debug, Default)]
pub struct Machine {
    history: History,
    report: DistributionReport,
    /// Configurations that were refused and aren't pulled again.
    refused_ids: RecentConfigIds,
    /// Configurations already counted in [`DistributionReport::conflicts`].
    conflicting_ids: RecentConfigIds,
    budget: CallBudget,
    store_position: StorePosition,
    store_watch: StoreWatch,
    contacts: ContactsSync,
    pull: PullState,
    proved_version: Option<Version>,
}

impl Machine {
    /// The configuration in force and the texts that were in force before it.
    pub fn history(&self) -> &History {
        &self.history
    }

    /// Answers a pull from a node that has `have`.
    pub fn respond_to_pull(&mut self, have: ConfigId) -> PullResponse {
        self.history.respond_to_pull(have)
    }

    /// Configuration problems since the process started.
    pub fn report(&self) -> &DistributionReport {
        &self.report
    }

    /// Version that the last answer of the store about the configuration key proves to be the newest, as of the time
    /// when the call was sent; `Version::NONE` if the key didn't exist, `None` if the answer proves nothing.
    pub fn proved_version(&self) -> Option<Version> {
        self.proved_version
    }

    /// Allows the calls that watches of a second need, or ends that.
    pub fn allow_short_watches(&mut self, allowed: bool) {
        self.budget.allow_short_watches(allowed);
    }

    /// Whether a configuration is in force and no newer one is known to exist.
    pub fn is_up_to_date(&self) -> bool {
        self.history.current().is_some() && !self.pull.is_pending()
    }

    /// Time at which `wake` is due next.
    pub fn next_wake(&self) -> Option<Time> {
        let store_watch = self.store_watch.next_wake().into_iter();
        store_watch
            .chain(self.contacts.next_wake())
            .chain(self.pull.next_wake())
            .min()
    }

    /// Requests the calls that are due, and drops pulls whose response is overdue.
    pub fn wake(&mut self, now: Time, random: &mut dyn Random, out: &mut Vec<Output>) {
        self.store_watch.wake(now, &mut self.budget, random, out);
        self.contacts.wake(now, &mut self.budget, random, out);
        self.pull.expire(now, random);
        self.start_next_pull(now, out);
    }

    /// Sets the known failure domains of the fleet.
    pub fn set_domains(&mut self, domains: Vec<Domain>) {
        self.contacts.set_domains(domains);
    }

    /// Starts or ends the calls to the store, which only a watcher makes.
    pub fn set_watcher(&mut self, enabled: bool, now: Time, out: &mut Vec<Output>) {
        self.store_watch.set_watcher(enabled, now, out);
        self.contacts.set_watcher(enabled, now);
    }

    /// Handles an answer of the store about the configuration key.
    pub fn handle_store_event(
        &mut self,
        now: Time,
        event: StoreEvent,
        random: &mut dyn Random,
        out: &mut Vec<Output>,
    ) {
        let store_revision = event.store_revision();
        let is_outdated = store_revision.is_some_and(|it| self.store_position.is_outdated(it.era));
        if store_revision.is_some_and(|it| self.store_position.advance(it)) {
            self.record_restore(out);
            self.contacts.read_again(now, random);
        }
        let mut newer_record = None;
        match &event {
            StoreEvent::Value {
                record,
                is_writable,
                ..
            } => {
                let version = record.as_ref().map_or(Version::NONE, |it| it.version);
                if version < self.history.config_id().version {
                    let current = self.history.current().filter(|_| *is_writable);
                    newer_record = current.map(|it| it.record().clone());
                    self.report.store_behind += 1;
                    out.push(Output::ReportChanged);
                } else if let Some(record) = record {
                    self.apply_record(record.clone(), out);
                }
            }
            StoreEvent::Unreadable { .. } => {
                self.report.corrupt += 1;
                out.push(Output::ReportChanged);
            }
            StoreEvent::Unchanged { .. }
            | StoreEvent::Written { .. }
            | StoreEvent::Failed
            | StoreEvent::HistoryUnavailable => {}
        }
        // An answer from before the restore gives no revision from which to continue.
        let (event, newer_record) = match is_outdated {
            true => (StoreEvent::HistoryUnavailable, None),
            false => (event, newer_record),
        };
        self.proved_version = self.store_watch.proved_version(&event);
        let budget_and_random = (&mut self.budget, random);
        self.store_watch
            .continue_after(now, &event, newer_record, budget_and_random, out);
    }

    /// Handles an answer of the store about contacts, given the member table and the node's failure
    /// domain.
    pub fn handle_contacts_event(
        &mut self,
        now: Time,
        event: ContactsEvent,
        table_and_domain: (&MemberTable, &Domain),
        random: &mut dyn Random,
        out: &mut Vec<Output>,
    ) {
        let era = event.era();
        let is_outdated = era.is_some_and(|it| self.store_position.is_outdated(it));
        if era.is_some_and(|it| self.store_position.advance(Revision::new(it, 0))) {
            self.record_restore(out);
            self.store_watch.read_again(now, out);
            self.contacts.read_again(now, random);
        }
        let event = match is_outdated {
            true => ContactsEvent::Failed,
            false => event,
        };
        let budget_and_random = (&mut self.budget, random);
        self.contacts
            .handle_event(now, event, table_and_domain, budget_and_random, out);
    }

    /// Counts a return of the store from an older copy.
    fn record_restore(&mut self, out: &mut Vec<Output>) {
        self.report.store_restores += 1;
        out.push(Output::ReportChanged);
    }

    /// Handles the version and hash that another node has, and pulls from it if the version is
    /// newer.
    pub fn handle_config_id(
        &mut self,
        now: Time,
        from: SocketAddr,
        config_id: ConfigId,
        out: &mut Vec<Output>,
    ) {
        let have = self.history.config_id();
        if config_id.version > have.version && !self.refused_ids.contains(config_id) {
            self.pull.add_source(from, config_id);
            self.start_next_pull(now, out);
        } else {
            self.record_conflict(config_id, out);
        }
    }

    /// Handles the response of a node to a pull; `None` if the call failed.
    pub fn handle_pull_response(
        &mut self,
        now: Time,
        from: SocketAddr,
        response: Option<PullResponse>,
        random: &mut dyn Random,
        out: &mut Vec<Output>,
    ) {
        let result = match response {
            None | Some(PullResponse::UpToDate) => ApplyResult::NotNewer,
            Some(PullResponse::Full(record)) => self.apply_record(record, out),
            Some(PullResponse::Delta { record, delta }) => {
                let is_newer = record.version > self.history.config_id().version;
                let text = self
                    .history
                    .current()
                    .and_then(|it| delta.apply(&it.record().text, MAX_TEXT_BYTES))
                    .filter(|text| Digest::of(text.as_bytes()) == record.digest);
                match text {
                    Some(text) => {
                        let text = Arc::from(text);
                        self.apply_record(Record { text, ..record }, out)
                    }
                    None if is_newer && self.pull.request_full_text(now, from) => {
                        let have = without_digest(self.history.config_id());
                        out.push(Output::Pull { from, have });
                        return;
                    }
                    None => ApplyResult::NotNewer,
                }
            }
        };
        if result == ApplyResult::Applied {
            self.pull.record_success();
        }
        let refused_ids = &self.refused_ids;
        let have = self.history.config_id();
        self.pull
            .retain_newer(have, |config_id| !refused_ids.contains(config_id));
        // A pull that is still pending here did not bring the version that the node announced.
        self.pull.record_failure(now, from, random);
        self.start_next_pull(now, out);
    }

    fn start_next_pull(&mut self, now: Time, out: &mut Vec<Output>) {
        if let Some(from) = self.pull.start_next(now) {
            let have = self.history.config_id();
            out.push(Output::Pull { from, have });
        }
    }

    /// Counts a configuration of another node that has the version in force but another text, once.
    fn record_conflict(&mut self, config_id: ConfigId, out: &mut Vec<Output>) {
        let have = self.history.config_id();
        let conflict = config_id.version == have.version && config_id.digest != have.digest;
        if conflict && self.conflicting_ids.insert(config_id) {
            self.report.conflicts += 1;
            out.push(Output::ReportChanged);
        }
    }

    /// Puts a record in force if it is newer, undamaged and valid. Otherwise the configuration in
    /// force stays.
    fn apply_record(&mut self, record: Record, out: &mut Vec<Output>) -> ApplyResult {
        let config_id = ConfigId {
            version: record.version,
            digest: record.digest,
        };
        if config_id.version <= self.history.config_id().version {
            self.record_conflict(config_id, out);
            return ApplyResult::NotNewer;
        }
        // A damaged text says nothing about the record with this hash, so the hash isn't remembered
        // as refused.
        if Digest::of(record.text.as_bytes()) != record.digest {
            self.report.corrupt += 1;
            out.push(Output::ReportChanged);
            return ApplyResult::Corrupt;
        }
        if self.refused_ids.contains(config_id) {
            return ApplyResult::Refused;
        }
        match AcceptedConfig::from_record(record) {
            Ok(accepted) => {
                self.history.advance(accepted);
                out.push(Output::ConfigChanged);
                ApplyResult::Applied
            }
            Err(errors) => {
                self.record_refusal(config_id, errors.first().map(ToString::to_string), out);
                ApplyResult::Refused
            }
        }
    }

    fn record_refusal(
        &mut self,
        config_id: ConfigId,
        message: Option<String>,
        out: &mut Vec<Output>,
    ) {
        let version = config_id.version;
        let message = message.unwrap_or_default();
        self.refused_ids.insert(config_id);
        self.report.refused += 1;
        self.report.last_refusal = Some(Refusal {
            version,
            message: message.clone(),
        });
        out.push(Output::ReportChanged);
        out.push(Output::Refused { version, message });
    }
}
