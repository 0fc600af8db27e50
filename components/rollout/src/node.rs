//! One node of the fleet in the rollouts: what it knows, what it tells others, and its part in the coordination.
//!
//! A node that has just started asks its peers before it serves, because the number of endpoints does not tell it
//! which version is established while a rollout runs. News is pushed on to some members at once.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::Coordinator;
use crate::Fleet;
use crate::Limits;
use crate::Merge;
use crate::Message;
use crate::Notice;
use crate::ReadyCount;
use crate::Report;
use crate::Revision;
use crate::Role;
use crate::StoreCall;
use crate::StoreEvent;
use crate::Table;
use crate::Tally;
use crate::View;
use ids::NodeId;
use kernel::Time;

/// Interval between two queries of a node that has just started.
const QUERY_INTERVAL: Duration = Duration::from_millis(200);
/// Interval between two queries of a node that serves and misses something.
const LATE_QUERY_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between two reports to a coordinator.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Delay of a report after a change, in which the traffic threads get the change.
const CONFIRMATION_DELAY: Duration = Duration::from_millis(100);
/// Number of members that are asked each time.
const QUERY_FANOUT: usize = 3;
/// Number of members to which news is pushed.
const PUSH_FANOUT: usize = 4;
/// Longest time that a node waits for an answer before it serves. All nodes of a fleet that starts as a whole
/// wait for that long.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// The same where endpoints of a service differ in their version, so that a wrong assumption would matter.
const LONG_ANSWER_TIMEOUT: Duration = Duration::from_secs(3);

/// Messages to send.
#[derive(Debug, Default)]
pub struct Outbox {
    /// Messages to a node.
    pub replies: Vec<(SocketAddr, Message)>,
    /// Messages to a number of random members.
    pub pushes: Vec<(usize, Message)>,
    /// Messages to the members with these ids.
    pub reports: Vec<(NodeId, Message)>,
    /// Calls to the store.
    pub calls: Vec<StoreCall>,
    /// Whether the state for the traffic threads has changed.
    pub has_changed: bool,
}

/// State of one node. Without limits from the settings nothing of it runs.
#[derive(Debug)]
pub struct Node {
    own_id: NodeId,
    limits: Option<Limits>,
    table: Table,
    coordinator: Coordinator,
    /// When the node became a member; `None` while it joins.
    joined_at: Option<Time>,
    /// Whether a node that serves has answered a query.
    is_answered: bool,
    /// Whether this node determines established versions by itself where none is known.
    decides: bool,
    query_due: Option<Time>,
    /// Whether endpoints of one service differ in their version.
    has_differing_versions: bool,
    view: Arc<View>,
    longest_deadline: Duration,
    /// Newest totals of this node's entry, by service and order.
    tallies: Vec<(Arc<str>, Revision, Vec<Tally>)>,
    report_due: Time,
    report_sequence: u64,
}

impl Node {
    /// Creates the state of the node with this id, for which rollouts are not enabled.
    pub fn new(own_id: NodeId) -> Self {
        Self {
            own_id,
            limits: None,
            table: Table::default(),
            coordinator: Coordinator::new(own_id),
            joined_at: None,
            is_answered: false,
            decides: false,
            query_due: None,
            has_differing_versions: false,
            view: Arc::default(),
            longest_deadline: Duration::ZERO,
            tallies: Vec::new(),
            report_due: Time(0),
            report_sequence: 0,
        }
    }

    /// Enables rollouts with these bounds.
    pub fn set_limits(&mut self, now: Time, limits: Option<Limits>) {
        self.limits = limits;
        if self.is_enabled() {
            self.update_view(now);
        }
    }

    /// Whether rollouts are enabled.
    pub fn is_enabled(&self) -> bool {
        self.limits.is_some()
    }

    /// The state for the traffic threads.
    pub fn view(&self) -> Arc<View> {
        Arc::clone(&self.view)
    }

    /// Starts to ask peers, once the node is a member. `has_peers` states whether there is anyone to ask.
    pub fn join(&mut self, now: Time, has_peers: bool) {
        if self.is_enabled() && self.joined_at.is_none() {
            self.joined_at = Some(now);
            self.is_answered = !has_peers;
            self.query_due = has_peers.then_some(now);
        }
    }

    /// Whether the node may serve requests.
    pub fn is_ready(&self, now: Time) -> bool {
        if !self.is_enabled() {
            return true;
        }
        let timeout = if self.has_differing_versions {
            LONG_ANSWER_TIMEOUT
        } else {
            ANSWER_TIMEOUT
        };
        self.joined_at
            .is_some_and(|joined_at| self.is_answered || now.since(joined_at) >= timeout)
    }

    /// Begins to determine established versions, because the node serves from now on.
    pub fn serve(&mut self, now: Time) {
        self.decides = true;
        self.update_view(now);
    }

    /// Whether the node serves.
    pub fn is_serving(&self) -> bool {
        self.decides
    }

    /// Whether [`Self::observe`] is due even if the endpoints have not changed.
    pub fn is_observation_due(&self, now: Time) -> bool {
        self.table.next_absence().is_some_and(|due| due <= now)
    }

    /// Takes note of the ready endpoints, sorted by service and version. Returns whether the state for the traffic
    /// threads has changed.
    pub fn observe(&mut self, now: Time, counts: &[ReadyCount]) -> bool {
        self.has_differing_versions = counts.windows(2).any(|it| it[0].service == it[1].service);
        self.table.observe(now, counts, self.decides);
        self.update_view(now)
    }

    /// Part of this node in the coordination.
    pub fn role(&self) -> Role {
        self.coordinator.role()
    }

    /// Sets the part of this node in the coordination, and what it needs to know of the configuration: the
    /// services, sorted, and the longest deadline of a request.
    pub fn configure(
        &mut self,
        now: Time,
        role: Role,
        services: &[Arc<str>],
        longest_deadline: Duration,
    ) {
        self.longest_deadline = longest_deadline;
        self.coordinator.configure(now, role, services);
    }

    /// Handles the result of a call to the store.
    pub fn handle_store_event(&mut self, now: Time, unix_ms: u64, event: StoreEvent) {
        self.coordinator.handle(now, unix_ms, event);
    }

    /// Whether [`Self::coordinate`] is due.
    pub fn is_coordination_due(&self, now: Time) -> bool {
        self.coordinator.next_wake().is_some_and(|due| due <= now)
    }

    /// Makes the decisions of the coordinator that are due; `live` are the live members, sorted.
    pub fn coordinate(&mut self, now: Time, live: &[NodeId]) -> Outbox {
        let mut out = Outbox::default();
        let fleet = Fleet {
            live,
            longest_deadline: self.longest_deadline,
        };
        self.coordinator
            .wake(now, &fleet, &mut self.table, &mut out.calls);
        let news = self.table.take_news();
        let notices = news
            .iter()
            .filter_map(|service| self.table.notice(now, service));
        let messages = self.pack_some(notices.collect());
        out.pushes
            .extend(messages.map(|message| (PUSH_FANOUT, message)));
        out.has_changed = self.update_view(now);
        out
    }

    /// Takes the totals of this node's entry about an order.
    pub fn record_tallies(&mut self, service: &Arc<str>, order: Revision, tallies: Vec<Tally>) {
        self.tallies.retain(|(known, ..)| known != service);
        self.tallies.push((Arc::clone(service), order, tallies));
    }

    /// Reports to the coordinators of the orders that run, if that is due. What a report confirms was published to
    /// the traffic threads before.
    fn report(&mut self, now: Time, out: &mut Outbox) {
        if !self.table.has_open_order() || self.report_due > now {
            return;
        }
        self.report_due = now + REPORT_INTERVAL;
        for (service, order) in self.table.list_open_orders() {
            self.report_sequence += 1;
            let found = self.tallies.iter();
            let mut found = found.filter(|it| it.0 == service && it.1 == order.order);
            let report = Report {
                node: self.own_id,
                service: Arc::clone(&service),
                order: order.order,
                state: order.revision,
                sequence: self.report_sequence,
                halted: order.halted,
                tallies: found.next().map(|it| it.2.clone()).unwrap_or_default(),
            };
            if order.coordinator == self.own_id {
                self.coordinator.add_report(now, report);
            } else {
                let message = Message::Report(report);
                out.reports.push((order.coordinator, message));
            }
        }
    }

    fn canary_permille(&self) -> u32 {
        self.limits.map_or(0, |it| it.canary_permille())
    }

    /// Handles a message of another node.
    pub fn handle(&mut self, now: Time, from: SocketAddr, message: Message) -> Outbox {
        let mut out = Outbox::default();
        if !self.is_enabled() {
            return out;
        }
        match message {
            Message::Query => {
                let messages = self.pack(self.table.notices(now));
                out.replies
                    .extend(messages.into_iter().map(|message| (from, message)));
            }
            Message::Report(report) => self.coordinator.add_report(now, report),
            Message::Notices {
                is_serving,
                notices,
            } => {
                self.is_answered |= is_serving;
                let (mut news, mut replies) = (Vec::new(), Vec::new());
                for notice in &notices {
                    let known = |table: &Table| table.notice(now, &notice.service);
                    match self.table.merge(now, notice) {
                        Merge::News => news.extend(known(&self.table)),
                        Merge::Outdated => replies.extend(known(&self.table)),
                        Merge::Known => {}
                    }
                }
                out.replies
                    .extend(self.pack_some(replies).map(|message| (from, message)));
                out.pushes
                    .extend(self.pack_some(news).map(|message| (PUSH_FANOUT, message)));
            }
        }
        out.has_changed = self.update_view(now);
        out
    }

    /// When [`Self::wake`] is due next.
    pub fn next_wake(&self) -> Option<Time> {
        let absence = self.table.next_absence();
        // A stale order is asked for with the next query.
        let stale = self.query_due.is_none().then(|| self.table.next_stale());
        let coordinator = self.coordinator.next_wake();
        let report = self.table.has_open_order().then_some(self.report_due);
        let dues = [
            self.query_due,
            absence,
            stale.flatten(),
            coordinator,
            report,
        ];
        dues.into_iter().flatten().min()
    }

    /// Returns what has to be sent now.
    pub fn wake(&mut self, now: Time) -> Outbox {
        let mut out = Outbox::default();
        if !self.is_enabled() || self.joined_at.is_none() {
            return out;
        }
        self.table.abandon_stale(now);
        self.report(now, &mut out);
        let is_missing = !self.is_answered || self.table.has_stale_order(now);
        if !is_missing {
            self.query_due = None;
        } else if self.query_due.is_none_or(|due| due <= now) {
            let interval = if self.decides {
                LATE_QUERY_INTERVAL
            } else {
                QUERY_INTERVAL
            };
            self.query_due = Some(now + interval);
            out.pushes.push((QUERY_FANOUT, Message::Query));
        }
        out
    }

    fn update_view(&mut self, now: Time) -> bool {
        let view = self.table.view(!self.decides, self.canary_permille());
        let has_changed = *self.view != view;
        if has_changed {
            self.view = Arc::new(view);
            self.report_due = now + CONFIRMATION_DELAY;
        }
        has_changed
    }

    /// Packs notices into messages; at least one, so that the receiver learns that this node answers.
    fn pack(&self, notices: Vec<Notice>) -> Vec<Message> {
        let message = |notices: &[Notice]| Message::Notices {
            is_serving: self.decides,
            notices: notices.to_vec(),
        };
        if notices.is_empty() {
            return vec![message(&[])];
        }
        let chunks = notices.chunks(Notice::MAX_PER_MESSAGE);
        chunks.map(message).collect()
    }

    fn pack_some(&self, notices: Vec<Notice>) -> impl Iterator<Item = Message> + use<> {
        let messages = if notices.is_empty() {
            Vec::new()
        } else {
            self.pack(notices)
        };
        messages.into_iter()
    }
}
