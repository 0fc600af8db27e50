//! State machine that keeps the proof of one node.

use std::net::SocketAddr;
use std::time::Duration;

use crate::Message;
use crate::Proof;
use crate::ProofResult;
use crate::Sources;
use crate::sources::random_member;
use crate::validity;
use ids::NodeId;
use ids::Version;
use kernel::Random;
use kernel::Time;
use member::MemberTable;

/// Age of a proof from which a node asks random members too. Without failures, few proofs get as old
/// (`docs/design/key-freshness.md`).
const STALE_AGE: Duration = Duration::from_millis(2_500);
/// Age of a proof from which a node that is no watcher may read the store itself. From 2.5 s on, a failure domain of
/// 300 nodes made a read a second without any failure.
const READ_AGE: Duration = Duration::from_secs(3);
/// Age of a proof from which a parent that has nothing newer is replaced by another.
const PARENT_STALE_AGE: Duration = Duration::from_millis(2_300);
/// Time after which a parent that has not answered is replaced by another. Slow instances answer within some 100 ms.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(250);
/// Time for which a late response still counts.
const REQUEST_LIFETIME: Duration = Duration::from_secs(1);
/// Requests that can await their response, a multiple of those sent in [`REQUEST_LIFETIME`].
const MAX_REQUESTS: usize = 16;
/// Shortest and longest time from a response to the next request, and the random part added to it, by which the nodes
/// that ask one parent spread.
const MIN_ASK_INTERVAL: Duration = Duration::from_millis(300);
const MAX_ASK_INTERVAL: Duration = Duration::from_secs(1);
const ASK_JITTER: Duration = Duration::from_millis(150);
/// Time that a request and its response take on slow instances.
const EXPECTED_ANSWER_TIME: Duration = Duration::from_millis(50);
/// Longest time that a call to the store counts for when the next answer is expected.
const MAX_EXPECTED_CALL: Duration = Duration::from_millis(1_200);
/// Nodes of the whole fleet that read the store on their own in each interval between two requests, if all proofs
/// are stale: some six calls a second, whatever the number of nodes.
const FLEET_READS: usize = 2;
/// The same in the second before keys cannot be verified any more, which passes once in an outage. If no watcher
/// reaches the store, proofs have to spread from these reads.
const URGENT_FLEET_READS: usize = 8;
const URGENT_TIME: Duration = Duration::from_secs(1);
/// Shortest time between two such reads of one node; longer than a slow store takes, as a read ends the one before.
const READ_INTERVAL: Duration = Duration::from_secs(2);

/// Action that [`Machine`] requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a message to another node.
    Send { to: SocketAddr, message: Message },
    /// Read the configuration from the store, though this node is no watcher.
    ReadStore,
    /// Keys are verified until this time.
    ValidUntil(Time),
    /// Keys are verified again, or for the first time.
    Verified,
    /// Keys are no longer verified, because the proof has this age.
    Unverified { age: Duration },
    /// A proof has been received.
    Received(ProofResult),
}

/// Request whose response has not arrived.
#[derive(Clone, Copy, Debug)]
struct Request {
    nonce: u64,
    sent: Time,
    /// Whether the request went to a parent, not to a random member.
    to_parent: bool,
}

/// Proof of one node and its requests for newer ones.
#[derive(Debug)]
pub struct Machine {
    own: NodeId,
    validity: Duration,
    /// Whether the configuration in force lists organisations. Nothing is sent otherwise.
    active: bool,
    /// Version of the configuration that the traffic threads use.
    version: Version,
    held: Option<Proof>,
    /// Newest proof of a version that the traffic threads do not use yet.
    pending: Option<Proof>,
    /// Whether keys were verified at the last step.
    verified: bool,
    requests: Vec<Request>,
    next_ask: Time,
    /// Parents that have been replaced by the next one.
    shift: usize,
    parent_unanswered: bool,
    /// When this node expects a newer proof.
    renewal: Time,
    last_read: Option<Time>,
}

impl Machine {
    /// Creates the state of a node that has no proof. Withdrawn keys have to be refused within `limit`.
    pub fn new(own: NodeId, limit: Duration) -> Self {
        Self {
            own,
            validity: validity(limit),
            active: false,
            version: Version::NONE,
            held: None,
            pending: None,
            verified: false,
            requests: Vec::new(),
            next_ask: Time(0),
            shift: 0,
            parent_unanswered: false,
            renewal: Time(0),
            last_read: None,
        }
    }

    /// The newest proof of a version that this node has in force.
    pub fn proof(&self) -> Option<Proof> {
        self.held
    }

    /// Whether the configuration in force lists organisations.
    pub fn is_active(&self) -> bool {
        self.active
    }

    /// Whether keys are verified at `now`.
    pub fn is_valid(&self, now: Time) -> bool {
        self.held
            .is_some_and(|it| now.since(it.time) < self.validity)
    }

    /// Starts or ends the requests for proofs.
    pub fn set_active(&mut self, now: Time, active: bool, out: &mut Vec<Output>) {
        if active == self.active {
            return;
        }
        self.active = active;
        self.next_ask = now;
        self.requests.clear();
        self.verified = false;
        self.report_verified(now, out);
    }

    /// Sets the version of the configuration that the traffic threads use from now on.
    pub fn set_version(&mut self, now: Time, version: Version, out: &mut Vec<Output>) {
        self.version = self.version.max(version);
        if let Some(pending) = self.pending.take() {
            self.offer(now, pending, out);
        }
    }

    /// Records that the store answered a call, sent at `sent`, that the newest configuration is `version`.
    pub fn record_store_answer(
        &mut self,
        now: Time,
        sent: Time,
        version: Version,
        out: &mut Vec<Output>,
    ) {
        let proof = Proof {
            time: sent,
            version,
        };
        let result = match self.offer(now, proof, out) {
            ProofResult::FromNode => ProofResult::FromStore,
            other => other,
        };
        out.push(Output::Received(result));
        self.renewal = now + now.since(sent).min(MAX_EXPECTED_CALL);
    }

    /// Handles a message that arrived at `now`.
    pub fn handle_message(
        &mut self,
        now: Time,
        from: SocketAddr,
        message: Message,
        random: &mut dyn Random,
        out: &mut Vec<Output>,
    ) {
        if !self.active {
            return;
        }
        match message {
            Message::Request { nonce } => self.respond(now, from, nonce, out),
            Message::Response {
                nonce,
                version,
                age,
                renewal,
            } => {
                let index = self.requests.iter().position(|it| it.nonce == nonce);
                let Some(request) = index.map(|index| self.requests.swap_remove(index)) else {
                    out.push(Output::Received(ProofResult::Unsolicited));
                    return;
                };
                let proof = Proof::from_response(request.sent, age, version);
                let result = proof.map_or(ProofResult::NotNewer, |it| self.offer(now, it, out));
                out.push(Output::Received(result));
                if request.to_parent {
                    self.schedule_after_response(now, result, renewal, random);
                }
            }
        }
    }

    fn respond(&self, now: Time, to: SocketAddr, nonce: u64, out: &mut Vec<Output>) {
        if let Some(proof) = self.held.filter(|_| self.is_valid(now)) {
            let message = Message::Response {
                nonce,
                version: proof.version,
                age: now.since(proof.time),
                renewal: now.until(self.renewal),
            };
            out.push(Output::Send { to, message });
        }
    }

    /// Schedules the next request for when the parent has a newer proof.
    fn schedule_after_response(
        &mut self,
        now: Time,
        result: ProofResult,
        renewal: Duration,
        random: &mut dyn Random,
    ) {
        self.parent_unanswered = false;
        if result == ProofResult::NotNewer && self.is_older(now, PARENT_STALE_AGE) {
            self.shift = self.shift.wrapping_add(1);
        }
        if self.is_older(now, STALE_AGE) {
            return;
        }
        let interval = (renewal + EXPECTED_ANSWER_TIME).clamp(MIN_ASK_INTERVAL, MAX_ASK_INTERVAL);
        let due = now + interval + random_below(ASK_JITTER, random);
        let stale_at = self.stale_at().max(now + MIN_ASK_INTERVAL);
        self.set_next_ask(due.min(stale_at));
    }

    /// Sends the requests that are due and notices the end of the proof's validity.
    pub fn wake(
        &mut self,
        now: Time,
        table: &MemberTable,
        random: &mut dyn Random,
        out: &mut Vec<Output>,
    ) {
        if !self.active {
            return;
        }
        if self.verified && !self.is_valid(now) {
            self.verified = false;
            let age = self.held.map_or(Duration::MAX, |it| now.since(it.time));
            out.push(Output::Unverified { age });
        }
        if self.next_ask <= now {
            self.ask(now, table, random, out);
        }
    }

    /// Time at which `wake` is due next.
    pub fn next_wake(&self) -> Option<Time> {
        let end = self.held.filter(|_| self.verified);
        let end = end.map(|it| it.time + self.validity);
        let next_ask = Some(self.next_ask).filter(|_| self.active);
        next_ask.into_iter().chain(end).min()
    }

    fn ask(
        &mut self,
        now: Time,
        table: &MemberTable,
        random: &mut dyn Random,
        out: &mut Vec<Output>,
    ) {
        self.requests
            .retain(|it| now.since(it.sent) < REQUEST_LIFETIME);
        let sources = Sources::select(table, self.own);
        if std::mem::take(&mut self.parent_unanswered) {
            self.shift = self.shift.wrapping_add(1);
        }
        if let Some(parent) = sources.parent(self.shift) {
            self.parent_unanswered = true;
            self.send_request(now, parent, true, random, out);
        }
        if !self.is_older(now, STALE_AGE) {
            // A watcher has no parent, and asks only once its proof is stale.
            let due = match sources.is_watcher {
                true => self.stale_at(),
                false => now + ANSWER_TIMEOUT,
            };
            self.next_ask = due;
            return;
        }
        // A watcher makes up for the parent that it does not have.
        let extra = sources.is_watcher || self.is_older(now, READ_AGE);
        for _ in 0..1 + usize::from(extra) {
            if let Some(member) = random_member(table, self.own, random) {
                self.send_request(now, member, false, random, out);
            }
        }
        self.read_at_random(now, &sources, table.live_count(), random, out);
        self.set_next_ask(now + self.stale_interval(now) + random_below(ASK_JITTER, random));
    }

    /// Time between two requests while the proof is stale.
    fn stale_interval(&self, now: Time) -> Duration {
        match (self.is_valid(now), self.is_older(now, READ_AGE)) {
            // There is little time left until keys are refused.
            (true, true) => MIN_ASK_INTERVAL / 2,
            (true, false) => MIN_ASK_INTERVAL,
            // In a long outage, a watcher with 24 askers would get 64 requests a second.
            (false, _) => MIN_ASK_INTERVAL * 2,
        }
    }

    /// Reads the store with a probability by which the fleet makes a few reads a second.
    fn read_at_random(
        &mut self,
        now: Time,
        sources: &Sources,
        live_count: usize,
        random: &mut dyn Random,
        out: &mut Vec<Output>,
    ) {
        let is_recent = self
            .last_read
            .is_some_and(|it| now.since(it) < READ_INTERVAL);
        // A watcher repeats its own calls.
        let may_read = !sources.is_watcher && !is_recent && self.is_older(now, READ_AGE);
        let is_urgent = self.is_valid(now) && !self.is_valid(now + URGENT_TIME);
        let fleet_reads = match is_urgent {
            true => URGENT_FLEET_READS,
            false => FLEET_READS,
        };
        if may_read && random.below(live_count) < fleet_reads {
            self.last_read = Some(now);
            out.push(Output::ReadStore);
        }
    }

    fn send_request(
        &mut self,
        now: Time,
        to: SocketAddr,
        to_parent: bool,
        random: &mut dyn Random,
        out: &mut Vec<Output>,
    ) {
        if self.requests.len() == MAX_REQUESTS {
            self.requests.remove(0);
        }
        let nonce = random.next_u64();
        self.requests.push(Request {
            nonce,
            sent: now,
            to_parent,
        });
        let message = Message::Request { nonce };
        out.push(Output::Send { to, message });
    }

    /// Adopts a proof if it is newer and the traffic threads use a configuration that is as new as its version.
    fn offer(&mut self, now: Time, proof: Proof, out: &mut Vec<Output>) -> ProofResult {
        let is_newer_than = |it: Option<Proof>| it.is_none_or(|it| it.time < proof.time);
        if !is_newer_than(self.held) {
            return ProofResult::NotNewer;
        }
        if proof.version > self.version {
            if is_newer_than(self.pending) {
                self.pending = Some(proof);
            }
            return ProofResult::Behind;
        }
        self.held = Some(proof);
        out.push(Output::ValidUntil(proof.time + self.validity));
        self.report_verified(now, out);
        ProofResult::FromNode
    }

    fn report_verified(&mut self, now: Time, out: &mut Vec<Output>) {
        if self.active && !self.verified && self.is_valid(now) {
            self.verified = true;
            out.push(Output::Verified);
        }
    }

    fn set_next_ask(&mut self, due: Time) {
        self.next_ask = due;
        self.renewal = due + EXPECTED_ANSWER_TIME;
    }

    /// When the proof gets stale.
    fn stale_at(&self) -> Time {
        self.held.map_or(Time(0), |it| it.time + STALE_AGE)
    }

    fn is_older(&self, now: Time, age: Duration) -> bool {
        self.held.is_none_or(|it| now.since(it.time) >= age)
    }
}

/// A random duration below `bound`, in whole microseconds.
fn random_below(bound: Duration, random: &mut dyn Random) -> Duration {
    let micros = usize::try_from(bound.as_micros()).unwrap_or(usize::MAX);
    Duration::from_micros(random.below(micros) as u64)
}
