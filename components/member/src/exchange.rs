//! Anti-entropy and join: comparison of member tables with other nodes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::Machine;
use crate::Member;
use crate::Output;
use crate::Status;
use crate::SyncRequest;
use crate::SyncResponse;
use crate::SyncResponseBody;
use crate::probe::shuffle;
use ids::Domain;
use ids::NodeId;
use kernel::Random;
use kernel::Time;

/// Failure domains that a joining node compares with one node of.
const JOIN_DOMAINS: usize = 3;
/// Time until the next contact is tried while one has not answered.
const JOIN_STEP: Duration = Duration::from_millis(500);
/// Time for contacts to answer before a node goes on alone.
const JOIN_LIMIT: Duration = Duration::from_secs(3);
/// Time between comparisons with members that were held for dead.
const MEET_PAUSE: Duration = Duration::from_secs(5);
/// Statements of one comparison that are more than ordinary churn in a small fleet; one in a hundred
/// members in a large one.
const MUCH_NEWS: usize = 2;
/// Time until the next comparison after much news, and after any.
const MUCH_NEWS_PAUSE: Duration = Duration::from_secs(2);
const NEWS_PAUSE: Duration = Duration::from_secs(8);
/// Age up to which comparisons follow one another like after much news. Nodes that start together
/// know few others at first.
const YOUNG: Duration = Duration::from_secs(10);
/// Contacts that are kept.
const MAX_CONTACTS: usize = 64;

/// State of the comparison with other nodes.
#[derive(Debug)]
pub(crate) struct Exchange {
    own: SocketAddr,
    contacts: Vec<SocketAddr>,
    untried: Vec<SocketAddr>,
    /// Failure domains that a joining node has compared with.
    covered: Vec<Domain>,
    joining: bool,
    synced: bool,
    alone: bool,
    started: Time,
    next: Time,
    next_meet: Time,
}

impl Exchange {
    pub(crate) fn new(own: SocketAddr, mut contacts: Vec<SocketAddr>, now: Time) -> Self {
        contacts.retain(|contact| *contact != own);
        contacts.truncate(MAX_CONTACTS);
        Self {
            own,
            contacts,
            untried: Vec::new(),
            covered: Vec::new(),
            joining: true,
            synced: false,
            alone: false,
            started: now,
            next: now,
            next_meet: now,
        }
    }

    pub(crate) fn contacts(&self) -> &[SocketAddr] {
        &self.contacts
    }

    pub(crate) fn is_joined(&self) -> bool {
        (self.synced && !self.joining) || self.alone
    }

    pub(crate) fn next_wake(&self) -> Time {
        self.next
    }

    pub(crate) fn restart(&mut self, now: Time) {
        self.next = now;
        if !self.synced && !self.alone {
            self.started = now;
        }
    }

    fn is_young(&self, now: Time) -> bool {
        self.synced && now.since(self.started) < YOUNG
    }

    /// Time after which all contacts had their chance.
    fn give_up(&self) -> Time {
        let contacts = u32::try_from(self.contacts.len()).unwrap_or(u32::MAX);
        self.started + JOIN_LIMIT.max(JOIN_STEP * (contacts + 4))
    }
}

impl Machine {
    /// Adds addresses that the store lists; none at all means that this node is the first.
    pub fn add_contacts(&mut self, now: Time, found: &[SocketAddr]) {
        let exchange = &mut self.exchange;
        let mut news: Vec<SocketAddr> = found.to_vec();
        news.retain(|it| *it != exchange.own && !exchange.contacts.contains(it));
        if exchange.contacts.is_empty() && news.is_empty() {
            exchange.alone = true;
        }
        if !news.is_empty() {
            if !exchange.synced && !exchange.alone {
                exchange.started = now;
                exchange.next = now;
            }
            exchange.untried.extend(&news);
            exchange.contacts.extend(news);
            let excess = exchange.contacts.len().saturating_sub(MAX_CONTACTS);
            exchange.contacts.drain(..excess);
        }
    }

    /// Answers another node that compares tables.
    pub fn handle_sync_request(
        &mut self,
        now: Time,
        request: SyncRequest,
        out: &mut Vec<Output>,
    ) -> SyncResponse {
        let body = match request {
            SyncRequest::Hashes { hashes } => {
                let own = self.table.bucket_hashes();
                let pairs = own.iter().zip(hashes.iter().chain(std::iter::repeat(&0)));
                let differ = pairs.enumerate().filter(|(_, (own, other))| own != other);
                SyncResponseBody::Differ(differ.fold(0, |set, (bucket, _)| set | 1 << bucket))
            }
            SyncRequest::Members { buckets, members } => {
                let own = self.table.members_in_buckets(buckets);
                self.take_table(now, &members, out);
                SyncResponseBody::Members(own)
            }
        };
        SyncResponse {
            from: self.me,
            config_id: self.config_id,
            body,
        }
    }

    /// Takes the answer of the node at `to` in; `None` if there was none.
    pub fn handle_sync_response(
        &mut self,
        now: Time,
        to: SocketAddr,
        response: Option<SyncResponse>,
        random: &mut dyn Random,
        out: &mut Vec<Output>,
    ) {
        match response {
            // Two nodes may be told to join by each other's address; a node may reach itself.
            Some(response) if response.from == self.me => {}
            Some(SyncResponse {
                body: SyncResponseBody::Differ(buckets),
                ..
            }) if buckets != 0 => {
                let members = self.table.members_in_buckets(buckets);
                let request = SyncRequest::Members { buckets, members };
                out.push(Output::Sync { to, request });
            }
            Some(response) => {
                if !std::mem::replace(&mut self.exchange.synced, true) {
                    self.exchange.next = now + MUCH_NEWS_PAUSE;
                }
                if let SyncResponseBody::Members(members) = &response.body {
                    self.take_table(now, members, out);
                }
                self.continue_join(response.from, random, out);
            }
            None if !self.exchange.synced && !self.exchange.untried.is_empty() => {
                self.exchange.next = now;
            }
            // One more failure domain is better, but not worth a wait.
            None => self.exchange.joining &= !self.exchange.synced,
        }
    }

    /// Takes the table of another node in. Much news means that a partition has ended or that many
    /// nodes start; the next comparison then comes soon, so that all tables agree within a time that
    /// grows with the logarithm of the fleet's size.
    fn take_table(&mut self, now: Time, members: &[Arc<Member>], out: &mut Vec<Output>) {
        let news = self.take_all(now, members);
        self.report_change(out);
        let pause = if news > MUCH_NEWS.max(self.table.live_count() / 100) {
            MUCH_NEWS_PAUSE
        } else {
            NEWS_PAUSE
        };
        if news > 0 {
            self.exchange.next = self.exchange.next.min(now + pause);
        }
    }

    /// Compares with a node of one more failure domain, as far as a joining node needs to.
    fn continue_join(&mut self, with: NodeId, random: &mut dyn Random, out: &mut Vec<Output>) {
        let domain = self.table.get(with).map(|it| it.domain.clone());
        let exchange = &mut self.exchange;
        if !exchange.joining {
            return;
        }
        exchange.covered.extend(domain);
        let covered = &exchange.covered;
        let others = self.table.members().iter().filter(|it| {
            it.id != self.me && it.status == Status::Alive && !covered.contains(&it.domain)
        });
        let others: Vec<SocketAddr> = others.map(|it| it.addresses.peer).collect();
        let more = covered.len() < JOIN_DOMAINS && !others.is_empty();
        self.exchange.joining = more;
        if more {
            self.compare(others[random.below(others.len())], out);
        }
    }

    pub(crate) fn run_exchange(
        &mut self,
        now: Time,
        random: &mut dyn Random,
        out: &mut Vec<Output>,
    ) {
        if now < self.exchange.next {
            return;
        }
        self.forget_ended(now);
        if self.exchange.synced || self.exchange.alone {
            self.exchange.joining = false;
            self.exchange.next = if self.exchange.is_young(now) {
                now + MUCH_NEWS_PAUSE
            } else {
                now + spread_out(self.parameters.sync_period, random)
            };
            let member = self.pick_live(random, &[]).map(|(to, _)| to);
            if let Some(to) = member.or_else(|| self.next_contact(random)) {
                self.compare(to, out);
            }
            return;
        }
        self.exchange.next = now + JOIN_STEP;
        self.exchange.alone = now >= self.exchange.give_up();
        if let Some(to) = self.next_contact(random) {
            self.compare(to, out);
        }
    }

    fn next_contact(&mut self, random: &mut dyn Random) -> Option<SocketAddr> {
        if self.exchange.untried.is_empty() {
            self.exchange.untried = self.exchange.contacts.clone();
            shuffle(&mut self.exchange.untried, random);
        }
        self.exchange.untried.pop()
    }

    fn compare(&mut self, to: SocketAddr, out: &mut Vec<Output>) {
        let hashes = self.table.bucket_hashes();
        let request = SyncRequest::Hashes { hashes };
        out.push(Output::Sync { to, request });
    }

    /// Compares tables at once with a node that was held for dead, because a partition has ended,
    /// and with an unknown one. A sender that is unknown may know this node already and then would
    /// not introduce itself.
    pub(crate) fn meet(&mut self, now: Time, from: SocketAddr, id: NodeId, out: &mut Vec<Output>) {
        let returned = match self.table.get(id) {
            Some(member) => member.status == Status::Dead,
            None => true,
        };
        if returned && now >= self.exchange.next_meet {
            self.exchange.next_meet = now + MEET_PAUSE;
            self.compare(from, out);
        }
    }
}

/// Between half and one and a half of `mean`, so that nodes do not act in step.
fn spread_out(mean: Duration, random: &mut dyn Random) -> Duration {
    let micros = usize::try_from(mean.as_micros()).unwrap_or(usize::MAX);
    mean / 2 + Duration::from_micros(random.below(micros) as u64)
}
