//! The distribution machine of one node.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::ContactsEvent;
use crate::DistributionReport;
use crate::History;
use crate::PullResponse;
use crate::Refusal;
use crate::Revision;
use crate::StoreEvent;
use crate::contacts::Contacts;
use crate::pull::Pull;
use crate::pull::without_text;
use crate::report::Stamps;
use crate::store_call::Budget;
use crate::store_watch::Feed;
use config::Accepted;
use config::MAX_TEXT_BYTES;
use config::Record;
use ids::Digest;
use ids::Domain;
use ids::Version;
use kernel::Random;
use kernel::Time;
use member::ConfigId;
use member::MemberTable;

/// What the distribution asks for.
#[derive(Clone, Debug)]
pub enum Output {
    /// Read the configuration key, then report a [`StoreEvent`].
    ReadConfig,
    /// Report the first change after the revision.
    WatchConfig { after: Revision },
    /// End whatever call for the configuration key runs.
    CancelConfigCall,
    /// Write the record if the key still has the revision, then report a [`StoreEvent`].
    WriteBack { expected: Revision, record: Record },
    /// Read the contacts of the node's failure domain, then report a [`ContactsEvent`]; those of
    /// another one too if it is given.
    ReadContacts { other: Option<Domain> },
    /// Write the contacts if the key still has the revision, then report a [`ContactsEvent`].
    WriteContacts {
        expected: Revision,
        addresses: Vec<SocketAddr>,
    },
    /// The store lists these contacts.
    ContactsFound(Vec<SocketAddr>),
    /// Ask a node for its record.
    Pull { from: SocketAddr, have: ConfigId },
    /// A newer record is in force: tell other nodes.
    ConfigChanged,
    /// The report has changed.
    ReportChanged,
    /// A record was refused.
    Refused { version: Version, message: String },
}

/// What became of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Applied {
    InForce,
    NotNewer,
    Refused,
    Corrupt,
}

/// Distribution of the configuration at one node.
#[derive(Debug, Default)]
pub struct Machine {
    history: History,
    report: DistributionReport,
    refused: Stamps,
    conflicting: Stamps,
    budget: Budget,
    feed: Feed,
    contacts: Contacts,
    pull: Pull,
}

impl Machine {
    /// The configuration in force and the texts before it.
    pub fn history(&self) -> &History {
        &self.history
    }

    /// What to give a node that has `have`.
    pub fn respond_to_pull(&mut self, have: ConfigId) -> PullResponse {
        self.history.respond_to_pull(have)
    }

    /// What an operator should know.
    pub fn report(&self) -> &DistributionReport {
        &self.report
    }

    /// Whether a configuration is in force and no newer one is known of.
    pub fn is_up_to_date(&self) -> bool {
        self.history.current().is_some() && !self.pull.is_busy()
    }

    /// When `wake` is due next.
    pub fn next_wake(&self) -> Option<Time> {
        let feed = self.feed.next_wake().into_iter();
        feed.chain(self.contacts.next_wake())
            .chain(self.pull.next_wake())
            .min()
    }

    /// Makes the calls that are due.
    pub fn wake(&mut self, now: Time, random: &mut dyn Random, out: &mut Vec<Output>) {
        self.feed.wake(now, &mut self.budget, random, out);
        self.contacts.wake(now, &mut self.budget, random, out);
        self.pull.expire(now, random);
        self.ask_next(now, out);
    }

    /// Sets the failure domains that the fleet is known to have.
    pub fn set_domains(&mut self, domains: Vec<Domain>) {
        self.contacts.set_domains(domains);
    }

    /// Starts or ends watching.
    pub fn set_watcher(&mut self, on: bool, now: Time, out: &mut Vec<Output>) {
        self.feed.set_watcher(on, now, out);
        self.contacts.set_watcher(on, now);
    }

    /// Takes an answer about the configuration key in.
    pub fn receive_store_event(
        &mut self,
        now: Time,
        event: StoreEvent,
        random: &mut dyn Random,
        out: &mut Vec<Output>,
    ) {
        let mut newer = None;
        match &event {
            StoreEvent::Value { record, .. } => {
                let version = record.as_ref().map_or(Version::NONE, |it| it.version);
                if version < self.history.config_id().version {
                    newer = self.history.current().map(|it| it.record().clone());
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
            StoreEvent::Unchanged | StoreEvent::Written | StoreEvent::Failed => {}
        }
        let means = (&mut self.budget, random);
        self.feed.go_on(now, &event, newer, means, out);
    }

    /// Takes an answer about the contacts in.
    pub fn receive_contacts_event(
        &mut self,
        now: Time,
        event: ContactsEvent,
        view: (&MemberTable, &Domain),
        random: &mut dyn Random,
        out: &mut Vec<Output>,
    ) {
        let means = (&mut self.budget, random);
        self.contacts.receive(now, event, view, means, out);
    }

    /// Another node has `config_id`: pulls if that is newer.
    pub fn receive_config_id(
        &mut self,
        now: Time,
        from: SocketAddr,
        config_id: ConfigId,
        out: &mut Vec<Output>,
    ) {
        let have = self.history.config_id();
        if config_id.version > have.version && !self.refused.contains(config_id) {
            self.pull.add_teller(from, config_id);
            self.ask_next(now, out);
        } else {
            self.note_conflict(config_id, out);
        }
    }

    /// Takes the answer of a node to a pull in; `None` if there was none.
    pub fn receive_pull_response(
        &mut self,
        now: Time,
        from: SocketAddr,
        offer: Option<PullResponse>,
        random: &mut dyn Random,
        out: &mut Vec<Output>,
    ) {
        let applied = match offer {
            None | Some(PullResponse::UpToDate) => Applied::NotNewer,
            Some(PullResponse::Full(record)) => self.apply_record(record, out),
            Some(PullResponse::Delta { record, delta }) => {
                let newer = record.version > self.history.config_id().version;
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
                    None if newer && self.pull.ask_whole(now, from) => {
                        let have = without_text(self.history.config_id());
                        out.push(Output::Pull { from, have });
                        return;
                    }
                    None => Applied::NotNewer,
                }
            }
        };
        if applied == Applied::InForce {
            self.pull.succeed();
        }
        let refused = &self.refused;
        let have = self.history.config_id();
        self.pull
            .forget(have, |config_id| !refused.contains(config_id));
        // Whatever else was promised did not come.
        self.pull.fail(now, from, random);
        self.ask_next(now, out);
    }

    fn ask_next(&mut self, now: Time, out: &mut Vec<Output>) {
        if let Some(from) = self.pull.ask_next(now) {
            let have = self.history.config_id();
            out.push(Output::Pull { from, have });
        }
    }

    fn note_conflict(&mut self, config_id: ConfigId, out: &mut Vec<Output>) {
        let have = self.history.config_id();
        let conflict = config_id.version == have.version && config_id.digest != have.digest;
        if conflict && self.conflicting.add(config_id) {
            self.report.conflicts += 1;
            out.push(Output::ReportChanged);
        }
    }

    /// Puts a record in force if it is newer and whole; otherwise nothing changes.
    fn apply_record(&mut self, record: Record, out: &mut Vec<Output>) -> Applied {
        let config_id = ConfigId {
            version: record.version,
            digest: record.digest,
        };
        if config_id.version <= self.history.config_id().version {
            self.note_conflict(config_id, out);
            return Applied::NotNewer;
        }
        // The hash tells nothing of a text that does not match it, so that it is not remembered.
        if Digest::of(record.text.as_bytes()) != record.digest {
            self.report.corrupt += 1;
            out.push(Output::ReportChanged);
            return Applied::Corrupt;
        }
        if self.refused.contains(config_id) {
            return Applied::Refused;
        }
        match Accepted::from_record(record) {
            Ok(accepted) => {
                self.history.advance(accepted);
                out.push(Output::ConfigChanged);
                Applied::InForce
            }
            Err(faults) => {
                self.refuse(config_id, faults.first().map(ToString::to_string), out);
                Applied::Refused
            }
        }
    }

    fn refuse(&mut self, config_id: ConfigId, message: Option<String>, out: &mut Vec<Output>) {
        let version = config_id.version;
        let message = message.unwrap_or_default();
        self.refused.add(config_id);
        self.report.refused += 1;
        self.report.last_refusal = Some(Refusal {
            version,
            message: message.clone(),
        });
        out.push(Output::ReportChanged);
        out.push(Output::Refused { version, message });
    }
}
