//! The addresses by which nodes of a failure domain find one another through the store.

use std::net::SocketAddr;
use std::time::Duration;

use crate::Output;
use crate::Revision;
use crate::store_call::Backoff;
use crate::store_call::Budget;
use crate::store_call::Call;
use crate::store_call::pick_below;
use crate::watcher::score;
use ids::Domain;
use kernel::Random;
use kernel::Time;
use member::MemberTable;
use member::Status;

/// Addresses kept for a failure domain.
const MAX_ADDRESSES: usize = 8;
/// Time between two reads, and least time between two writes of a node.
const PERIOD: Duration = Duration::from_secs(30);
/// What the store said of the contacts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ContactsEvent {
    /// The key holds these addresses.
    Value {
        addresses: Vec<SocketAddr>,
        revision: Revision,
    },
    /// The write has ended, with or without effect.
    Written,
    /// The key of another failure domain holds these addresses.
    OtherDomain { addresses: Vec<SocketAddr> },
    /// The call failed.
    Failed,
}

/// Upkeep of the contacts of one failure domain.
#[derive(Debug)]
pub(crate) struct Contacts {
    call: Call,
    /// What is due instead of a read, because the budget was spent.
    delayed: Option<Output>,
    backoff: Backoff,
    written: Option<Time>,
    /// Failure domains that the fleet is known to have.
    domains: Vec<Domain>,
    /// Those of which no live node was known at the last answer.
    missing: Vec<Domain>,
    /// The last list had addresses that are not known to live.
    doubted: bool,
}

impl Default for Contacts {
    fn default() -> Self {
        Self {
            call: Call::Off,
            delayed: None,
            backoff: Backoff::for_store(),
            written: None,
            domains: Vec::new(),
            missing: Vec::new(),
            doubted: false,
        }
    }
}

impl Contacts {
    pub(crate) fn next_wake(&self) -> Option<Time> {
        self.call.next_wake()
    }

    pub(crate) fn set_domains(&mut self, domains: Vec<Domain>) {
        self.missing = domains.clone();
        self.domains = domains;
    }

    /// Failure domains of which no live node is known. Nodes of such a domain may know only
    /// themselves too, so that neither side would ever hear of the other.
    fn find_missing(&self, table: &MemberTable) -> Vec<Domain> {
        let known = |domain: &Domain| {
            let mut members = table.members().iter();
            members.any(|it| it.is_live() && it.domain == *domain)
        };
        let missing = self.domains.iter().filter(|domain| !known(domain));
        missing.cloned().collect()
    }

    pub(crate) fn set_watcher(&mut self, on: bool, now: Time) {
        match (on, self.call) {
            (true, Call::Off) => self.call = Call::Due(now),
            (false, _) => {
                self.call = Call::Off;
                self.delayed = None;
            }
            _ => {}
        }
    }

    pub(crate) fn wake(
        &mut self,
        now: Time,
        budget: &mut Budget,
        random: &mut dyn Random,
        out: &mut Vec<Output>,
    ) {
        if self.call.is_lost(now) {
            self.call = Call::Due(now + self.backoff.wait(random));
        }
        if matches!(self.call, Call::Due(due) if due <= now) {
            // One of them a time: gossip brings the others once a node has found one.
            let other = self.missing.get(random.below(self.missing.len())).cloned();
            let call = self.delayed.take();
            let call = call.unwrap_or(Output::ReadContacts { other });
            self.start(now, budget, call, out);
        }
    }

    fn start(&mut self, now: Time, budget: &mut Budget, call: Output, out: &mut Vec<Output>) {
        self.call = Call::start(now, budget, call, &mut self.delayed, out);
    }

    pub(crate) fn receive(
        &mut self,
        now: Time,
        event: ContactsEvent,
        (table, domain): (&MemberTable, &Domain),
        (budget, random): (&mut Budget, &mut dyn Random),
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
        if !matches!(self.call, Call::Busy { .. }) {
            return;
        }
        self.missing = self.find_missing(table);
        let lone = table.live_count() <= 1 || !self.missing.is_empty();
        self.call = match event {
            ContactsEvent::Failed => Call::Due(now + self.backoff.wait(random)),
            // A lone node looks for others soon.
            _ if lone => Call::Due(now + Duration::from_secs(1) + self.backoff.wait(random)),
            _ => {
                self.backoff.reset();
                Call::Due(now + PERIOD + pick_below(PERIOD / 3, random))
            }
        };
        if let ContactsEvent::Value {
            addresses,
            revision,
        } = event
            && let Some(addresses) = self.improve(now, &addresses, table, domain)
        {
            self.written = Some(now);
            let write = Output::WriteContacts {
                expected: revision,
                addresses,
            };
            self.start(now, budget, write, out);
        }
    }

    /// A better list; `None` if the present one will do or it is too early to tell.
    fn improve(
        &mut self,
        now: Time,
        present: &[SocketAddr],
        table: &MemberTable,
        domain: &Domain,
    ) -> Option<Vec<SocketAddr>> {
        let mut live: Vec<_> = table
            .members()
            .iter()
            .filter(|it| it.domain == *domain && it.status == Status::Alive)
            .map(|it| (score(it.id), it.addresses.peer))
            .collect();
        live.sort_unstable();
        let is_live = |address: &SocketAddr| live.iter().any(|(_, it)| it == address);
        let mut list: Vec<_> = present.iter().copied().filter(is_live).collect();
        list.truncate(MAX_ADDRESSES);
        let dead = list.len() < present.len();
        let short = list.len() < live.len().min(MAX_ADDRESSES);
        // Addresses that are not known to live may be alive behind a partition, or not met yet.
        let doubted_before = std::mem::replace(&mut self.doubted, dead);
        let early = self.written.is_some_and(|it| now.since(it) < PERIOD);
        if !(short || dead) || (dead && !doubted_before) || early {
            return None;
        }
        for (_, address) in live {
            if list.len() < MAX_ADDRESSES && !list.contains(&address) {
                list.push(address);
            }
        }
        Some(list)
    }
}
