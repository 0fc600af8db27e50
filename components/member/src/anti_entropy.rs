//! Anti-entropy and join: comparison of the member table with those of other nodes.

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

/// Number of failure domains in which a joining node compares its table with that of one node.
const JOIN_DOMAINS: usize = 3;
/// Time after which a joining node tries another contact if the last one has not answered.
const JOIN_RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Minimum time that a joining node gives its contacts to answer, before it continues without them.
const JOIN_TIMEOUT: Duration = Duration::from_secs(3);
/// Minimum time between comparisons with unexpected senders, which are considered dead or unknown.
const UNEXPECTED_SYNC_INTERVAL: Duration = Duration::from_secs(5);
/// Number of changes found in one comparison that still counts as normal churn. In larger fleets, one
/// change per hundred members does.
const MAX_CHURN_CHANGES: usize = 2;
/// Time until the next comparison after one that found more changes than normal churn.
const FAST_SYNC_DELAY: Duration = Duration::from_secs(2);
/// Time until the next comparison after one that found changes within normal churn.
const CHANGED_SYNC_DELAY: Duration = Duration::from_secs(8);
/// Time after the start of this node during which it compares its table every [`FAST_SYNC_DELAY`],
/// because nodes that start at the same time know few others at first.
const STARTUP_PERIOD: Duration = Duration::from_secs(10);
/// Maximum number of contacts that a node keeps.
const MAX_CONTACTS: usize = 64;

/// State of anti-entropy and join.
#[derive(Debug)]
pub(crate) struct AntiEntropy {
    own_address: SocketAddr,
    contacts: Vec<SocketAddr>,
    /// Contacts that have not been tried in the current round; a new round starts with all contacts.
    untried_contacts: Vec<SocketAddr>,
    /// Failure domains of the nodes with which this node has compared its table while joining.
    compared_domains: Vec<Domain>,
    /// Whether the join still needs comparisons with nodes of further failure domains.
    joining: bool,
    /// Whether the table has been compared with that of at least one other node.
    has_synced: bool,
    /// Whether the node has joined without a comparison, because there is no contact or no contact
    /// answers.
    is_standalone: bool,
    started: Time,
    next_sync: Time,
    /// Earliest time of the next comparison with an unexpected sender.
    next_unexpected_sync: Time,
}

impl AntiEntropy {
    pub(crate) fn new(own_address: SocketAddr, mut contacts: Vec<SocketAddr>, now: Time) -> Self {
        contacts.retain(|contact| *contact != own_address);
        contacts.truncate(MAX_CONTACTS);
        Self {
            own_address,
            contacts,
            untried_contacts: Vec::new(),
            compared_domains: Vec::new(),
            joining: true,
            has_synced: false,
            is_standalone: false,
            started: now,
            next_sync: now,
            next_unexpected_sync: now,
        }
    }

    pub(crate) fn contacts(&self) -> &[SocketAddr] {
        &self.contacts
    }

    /// Whether the node has joined the fleet.
    pub(crate) fn is_joined(&self) -> bool {
        (self.has_synced && !self.joining) || self.is_standalone
    }

    /// When [`Machine::run_anti_entropy`] is due next.
    pub(crate) fn next_wake(&self) -> Time {
        self.next_sync
    }

    /// Makes the next comparison due at once and restarts the timeout of a join in progress.
    pub(crate) fn restart(&mut self, now: Time) {
        self.next_sync = now;
        if !self.has_synced && !self.is_standalone {
            self.started = now;
        }
    }

    fn is_starting(&self, now: Time) -> bool {
        self.has_synced && now.since(self.started) < STARTUP_PERIOD
    }

    /// When a joining node stops waiting for its contacts; each contact has been tried by then.
    fn join_deadline(&self) -> Time {
        let contacts = u32::try_from(self.contacts.len()).unwrap_or(u32::MAX);
        self.started + JOIN_TIMEOUT.max(JOIN_RETRY_INTERVAL * (contacts + 4))
    }
}

impl Machine {
    /// Adds peer addresses that the store lists. If it lists none and no other contact is known, this
    /// node is the first of its fleet.
    pub fn add_contacts(&mut self, now: Time, addresses: &[SocketAddr]) {
        let anti_entropy = &mut self.anti_entropy;
        let mut added: Vec<SocketAddr> = addresses.to_vec();
        added.retain(|it| *it != anti_entropy.own_address && !anti_entropy.contacts.contains(it));
        if anti_entropy.contacts.is_empty() && added.is_empty() {
            anti_entropy.is_standalone = true;
        }
        if !added.is_empty() {
            if !anti_entropy.has_synced && !anti_entropy.is_standalone {
                anti_entropy.started = now;
                anti_entropy.next_sync = now;
            }
            anti_entropy.untried_contacts.extend(&added);
            anti_entropy.contacts.extend(added);
            let excess = anti_entropy.contacts.len().saturating_sub(MAX_CONTACTS);
            anti_entropy.contacts.drain(..excess);
        }
    }

    /// Handles a request of another node that compares its table with that of this node.
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
                self.merge_table(now, &members, out);
                SyncResponseBody::Members(own)
            }
        };
        SyncResponse {
            from: self.own_id,
            config_id: self.config_id,
            body,
        }
    }

    /// Handles the response of the node at `to` to an anti-entropy request; `None` if the node did not
    /// respond.
    pub fn handle_sync_response(
        &mut self,
        now: Time,
        to: SocketAddr,
        response: Option<SyncResponse>,
        random: &mut dyn Random,
        out: &mut Vec<Output>,
    ) {
        match response {
            // Two nodes can each have the address of the other as a contact, so a node can reach itself.
            Some(response) if response.from == self.own_id => {}
            Some(SyncResponse {
                body: SyncResponseBody::Differ(buckets),
                ..
            }) if buckets != 0 => {
                let members = self.table.members_in_buckets(buckets);
                let request = SyncRequest::Members { buckets, members };
                out.push(Output::Sync { to, request });
            }
            Some(response) => {
                if !std::mem::replace(&mut self.anti_entropy.has_synced, true) {
                    self.anti_entropy.next_sync = now + FAST_SYNC_DELAY;
                }
                if let SyncResponseBody::Members(members) = &response.body {
                    self.merge_table(now, members, out);
                }
                self.continue_join(response.from, random, out);
            }
            None if !self.anti_entropy.has_synced
                && !self.anti_entropy.untried_contacts.is_empty() =>
            {
                self.anti_entropy.next_sync = now;
            }
            // Once one node has answered, the join ends at the first node that does not.
            None => self.anti_entropy.joining &= !self.anti_entropy.has_synced,
        }
    }

    /// Merges members from the table of another node. Many changes mean that a partition has ended or
    /// that many nodes are starting. The next comparison is then made soon, so that all tables agree
    /// within a time that grows with the logarithm of the number of nodes.
    fn merge_table(&mut self, now: Time, members: &[Arc<Member>], out: &mut Vec<Output>) {
        let changes = self.merge_synced_members(now, members);
        self.emit_routing_change(out);
        let delay = if changes > MAX_CHURN_CHANGES.max(self.table.live_count() / 100) {
            FAST_SYNC_DELAY
        } else {
            CHANGED_SYNC_DELAY
        };
        if changes > 0 {
            self.anti_entropy.next_sync = self.anti_entropy.next_sync.min(now + delay);
        }
    }

    /// Continues a join: compares the table with that of a node in a further failure domain, until this
    /// is done for [`JOIN_DOMAINS`] domains or no further domain is known. `with` is the node that has
    /// just responded.
    fn continue_join(&mut self, with: NodeId, random: &mut dyn Random, out: &mut Vec<Output>) {
        let domain = self.table.get(with).map(|it| it.domain.clone());
        let anti_entropy = &mut self.anti_entropy;
        if !anti_entropy.joining {
            return;
        }
        anti_entropy.compared_domains.extend(domain);
        let compared_domains = &anti_entropy.compared_domains;
        let others = self.table.members().iter().filter(|it| {
            it.id != self.own_id
                && it.status == Status::Alive
                && !compared_domains.contains(&it.domain)
        });
        let others: Vec<SocketAddr> = others.map(|it| it.addresses.peer).collect();
        let more = compared_domains.len() < JOIN_DOMAINS && !others.is_empty();
        self.anti_entropy.joining = more;
        if more {
            self.start_sync(others[random.below(others.len())], out);
        }
    }

    /// Starts the next comparison if it is due: with a random live member, or with a contact if no
    /// other member is live or the node has not joined yet.
    pub(crate) fn run_anti_entropy(
        &mut self,
        now: Time,
        random: &mut dyn Random,
        out: &mut Vec<Output>,
    ) {
        if now < self.anti_entropy.next_sync {
            return;
        }
        self.remove_ended_members(now);
        if self.anti_entropy.has_synced || self.anti_entropy.is_standalone {
            self.anti_entropy.joining = false;
            self.anti_entropy.next_sync = if self.anti_entropy.is_starting(now) {
                now + FAST_SYNC_DELAY
            } else {
                now + jittered(self.parameters.sync_period, random)
            };
            let member = self.random_live_member(random, &[]).map(|(to, _)| to);
            if let Some(to) = member.or_else(|| self.next_contact(random)) {
                self.start_sync(to, out);
            }
            return;
        }
        self.anti_entropy.next_sync = now + JOIN_RETRY_INTERVAL;
        self.anti_entropy.is_standalone = now >= self.anti_entropy.join_deadline();
        if let Some(to) = self.next_contact(random) {
            self.start_sync(to, out);
        }
    }

    /// Next contact in random order; starts again with all contacts once each has been tried.
    fn next_contact(&mut self, random: &mut dyn Random) -> Option<SocketAddr> {
        if self.anti_entropy.untried_contacts.is_empty() {
            self.anti_entropy.untried_contacts = self.anti_entropy.contacts.clone();
            shuffle(&mut self.anti_entropy.untried_contacts, random);
        }
        self.anti_entropy.untried_contacts.pop()
    }

    /// Starts a comparison with the node at `to`.
    fn start_sync(&mut self, to: SocketAddr, out: &mut Vec<Output>) {
        let hashes = self.table.bucket_hashes();
        let request = SyncRequest::Hashes { hashes };
        out.push(Output::Sync { to, request });
    }

    /// Starts a comparison if the sender of a message is considered dead or is unknown. A message from
    /// a dead member means that a partition has ended. An unknown sender may know this node already,
    /// and would then not include its own state in its gossip.
    pub(crate) fn sync_with_unexpected(
        &mut self,
        now: Time,
        from: SocketAddr,
        id: NodeId,
        out: &mut Vec<Output>,
    ) {
        let unexpected = match self.table.get(id) {
            Some(member) => member.status == Status::Dead,
            None => true,
        };
        if unexpected && now >= self.anti_entropy.next_unexpected_sync {
            self.anti_entropy.next_unexpected_sync = now + UNEXPECTED_SYNC_INTERVAL;
            self.start_sync(from, out);
        }
    }
}

/// Random duration between half and one and a half times `mean`, so that nodes do not start comparisons
/// in step.
fn jittered(mean: Duration, random: &mut dyn Random) -> Duration {
    let micros = usize::try_from(mean.as_micros()).unwrap_or(usize::MAX);
    mean / 2 + Duration::from_micros(random.below(micros) as u64)
}
