//! Contacts: peer addresses that each failure domain keeps in the store, so that nodes can find
//! each other.

use std::net::SocketAddr;
use std::time::Duration;

use crate::Era;
use crate::Output;
use crate::Revision;
use crate::store_call::Backoff;
use crate::store_call::CallBudget;
use crate::store_call::CallState;
use crate::store_call::random_below;
use crate::watcher::rendezvous_score;
use ids::Domain;
use kernel::Random;
use kernel::Time;
use member::MemberTable;
use member::Status;

/// Maximum number of addresses kept for a failure domain.
const MAX_ADDRESSES: usize = 8;
/// Shortest interval between two reads by a node that isn't isolated, and between two writes.
const REFRESH_INTERVAL: Duration = Duration::from_secs(30);

/// Bound of the random delay before the read after the store has returned from an older copy.
const RESTORE_DELAY_BOUND: Duration = Duration::from_millis(500);

/// Answer of the store to a call for contacts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ContactsEvent {
    /// The key of the node's failure domain holds these addresses.
    Value {
        addresses: Vec<SocketAddr>,
        revision: Revision,
    },
    /// The write has been answered in this era; another write may have come first.
    Written { era: Era },
    /// The key of another failure domain holds these addresses.
    OtherDomain { addresses: Vec<SocketAddr> },
    /// The call failed.
    Failed,
}

impl ContactsEvent {
    /// Era of the answer; `None` if there was none.
    pub(crate) fn era(&self) -> Option<Era> {
        match self {
            Self::Value { revision, .. } => Some(revision.era),
            Self::Written { era } => Some(*era),
            Self::OtherDomain { .. } | Self::Failed => None,
        }
    }
}

/// Keeps the contacts of the node's failure domain up to date and reads those of other domains.
#[derive(Debug)]
pub(crate) struct ContactsSync {
    call: CallState,
    /// Call to make instead of a read, delayed because the budget was spent.
    delayed_call: Option<Output>,
    backoff: Backoff,
    /// Time of this node's last write of the contacts.
    last_write: Option<Time>,
    /// All failure domains of the fleet, as far as they are known.
    known_domains: Vec<Domain>,
    /// Failure domains without a known live node at the last answer.
    missing_domains: Vec<Domain>,
    /// Whether the store has returned from an older copy since the running call was made.
    is_superseded: bool,
    /// Whether the last list had addresses of nodes that aren't known to be alive.
    has_unconfirmed: bool,
}

impl Default for ContactsSync {
    fn default() -> Self {
        Self {
            call: CallState::Disabled,
            delayed_call: None,
            backoff: Backoff::for_store_calls(),
            last_write: None,
            known_domains: Vec::new(),
            missing_domains: Vec::new(),
            is_superseded: false,
            has_unconfirmed: false,
        }
    }
}

impl ContactsSync {
    pub(crate) fn next_wake(&self) -> Option<Time> {
        self.call.next_wake()
    }

    pub(crate) fn set_domains(&mut self, known_domains: Vec<Domain>) {
        self.missing_domains = known_domains.clone();
        self.known_domains = known_domains;
    }

    /// Failure domains without a known live node. The nodes of such a domain may likewise know only
    /// each other, so that neither side would ever learn of the other by gossip.
    fn find_missing_domains(&self, table: &MemberTable) -> Vec<Domain> {
        let known = |domain: &Domain| {
            let mut members = table.members().iter();
            members.any(|it| it.is_live() && it.domain == *domain)
        };
        let missing_domains = self.known_domains.iter().filter(|domain| !known(domain));
        missing_domains.cloned().collect()
    }

    pub(crate) fn set_watcher(&mut self, enabled: bool, now: Time) {
        match (enabled, self.call) {
            (true, CallState::Disabled) => self.call = CallState::Due(now),
            (false, _) => {
                self.call = CallState::Disabled;
                self.delayed_call = None;
            }
            _ => {}
        }
    }

    pub(crate) fn wake(
        &mut self,
        now: Time,
        budget: &mut CallBudget,
        random: &mut dyn Random,
        out: &mut Vec<Output>,
    ) {
        if self.call.has_timed_out(now) {
            self.call = CallState::Due(now + self.backoff.next_delay(random));
        }
        if matches!(self.call, CallState::Due(due) if due <= now) {
            // Reads one other domain at a time: once one node is found, gossip brings the others.
            let other = self
                .missing_domains
                .get(random.below(self.missing_domains.len()))
                .cloned();
            let call = self.delayed_call.take();
            let call = call.unwrap_or(Output::ReadContacts { other });
            self.start_call(now, budget, call, out);
        }
    }

    /// Plans a read soon, because the store has returned from an older copy, which may lack the
    /// contacts. A call that is running may have been made on the lost history.
    pub(crate) fn read_again(&mut self, now: Time, random: &mut dyn Random) {
        self.last_write = None;
        self.delayed_call = None;
        match self.call {
            CallState::Disabled => {}
            CallState::Due(_) => {
                self.call = CallState::Due(now + random_below(RESTORE_DELAY_BOUND, random));
            }
            CallState::InFlight { .. } => self.is_superseded = true,
        }
    }

    fn start_call(
        &mut self,
        now: Time,
        budget: &mut CallBudget,
        call: Output,
        out: &mut Vec<Output>,
    ) {
        self.call = CallState::start(now, budget, call, &mut self.delayed_call, out);
    }

    /// Handles an answer of the store: reports the addresses, plans the next read, and writes the
    /// list if it needs a change.
    pub(crate) fn handle_event(
        &mut self,
        now: Time,
        event: ContactsEvent,
        (table, domain): (&MemberTable, &Domain),
        (budget, random): (&mut CallBudget, &mut dyn Random),
        out: &mut Vec<Output>,
    ) {
        if let ContactsEvent::Value { addresses, .. } | ContactsEvent::OtherDomain { addresses } =
            &event
        {
            out.push(Output::ContactsFound(addresses.clone()));
        }
        if matches!(event, ContactsEvent::OtherDomain { .. }) {
            return;
        }
        if !matches!(self.call, CallState::InFlight { .. }) {
            return;
        }
        let is_superseded = std::mem::take(&mut self.is_superseded);
        self.missing_domains = self.find_missing_domains(table);
        let is_isolated = table.live_count() <= 1 || !self.missing_domains.is_empty();
        self.call = match event {
            ContactsEvent::Failed => CallState::Due(now + self.backoff.next_delay(random)),
            _ if is_superseded => CallState::Due(now + random_below(RESTORE_DELAY_BOUND, random)),
            // An isolated node reads again soon to find others.
            _ if is_isolated => {
                CallState::Due(now + Duration::from_secs(1) + self.backoff.next_delay(random))
            }
            _ => {
                self.backoff.reset();
                CallState::Due(now + REFRESH_INTERVAL + random_below(REFRESH_INTERVAL / 3, random))
            }
        };
        if let ContactsEvent::Value {
            addresses,
            revision,
        } = event
            && let Some(addresses) = self.updated_addresses(now, &addresses, table, domain)
        {
            self.last_write = Some(now);
            let write = Output::WriteContacts {
                expected: revision,
                addresses,
            };
            self.start_call(now, budget, write, out);
        }
    }

    /// The list to write, with live members added and others removed; `None` if the listed
    /// addresses need no change, or it is too early to write.
    fn updated_addresses(
        &mut self,
        now: Time,
        listed: &[SocketAddr],
        table: &MemberTable,
        domain: &Domain,
    ) -> Option<Vec<SocketAddr>> {
        let mut live_by_score: Vec<_> = table
            .members()
            .iter()
            .filter(|it| it.domain == *domain && it.status == Status::Alive)
            .map(|it| (rendezvous_score(it.id), it.addresses.peer))
            .collect();
        live_by_score.sort_unstable();
        let is_live = |address: &SocketAddr| live_by_score.iter().any(|(_, it)| it == address);
        let has_unconfirmed_now = !listed.iter().all(is_live);
        let had_unconfirmed_before =
            std::mem::replace(&mut self.has_unconfirmed, has_unconfirmed_now);
        // Nodes that aren't known to be alive may be behind a network partition or not discovered
        // yet, so their addresses are removed only if they are still unconfirmed at the next read.
        let is_kept = |address: &SocketAddr| is_live(address) || !had_unconfirmed_before;
        let mut updated: Vec<_> = listed.iter().copied().filter(is_kept).collect();
        updated.truncate(MAX_ADDRESSES);
        let has_removed = updated.len() < listed.len();
        let is_missing = |(_, address): &(_, SocketAddr)| !updated.contains(address);
        let is_incomplete = updated.len() < MAX_ADDRESSES && live_by_score.iter().any(is_missing);
        let written_recently = self
            .last_write
            .is_some_and(|it| now.since(it) < REFRESH_INTERVAL);
        if !(is_incomplete || has_removed) || written_recently {
            return None;
        }
        for (_, address) in live_by_score {
            if updated.len() < MAX_ADDRESSES && !updated.contains(&address) {
                updated.push(address);
            }
        }
        Some(updated)
    }
}
