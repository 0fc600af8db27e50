//! Exchange of what the nodes know about rollouts.
//!
//! A node that has just started asks its peers before it serves, because the number of endpoints does not tell it
//! which version is established while a rollout runs. News is pushed on to some members at once.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use kernel::Time;
use member::MemberTable;
use member::Stage;
use rollout::Limits;
use rollout::Merge;
use rollout::Message;
use rollout::Notice;
use rollout::ReadyCount;
use rollout::Table;

/// Interval between two queries of a node that has just started.
const QUERY_INTERVAL: Duration = Duration::from_millis(200);
/// Interval between two queries of a node that serves and misses something.
const LATE_QUERY_INTERVAL: Duration = Duration::from_secs(1);
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
pub(crate) struct Outbox {
    /// Messages to a node.
    pub(crate) replies: Vec<(SocketAddr, Message)>,
    /// Messages to a number of random members.
    pub(crate) pushes: Vec<(usize, Message)>,
    /// Whether the state for the traffic threads has changed.
    pub(crate) has_changed: bool,
}

/// What this node knows of rollouts. Without limits from the settings nothing of it runs.
#[derive(Debug, Default)]
pub(crate) struct Rollouts {
    limits: Option<Limits>,
    table: Table,
    /// When the node became a member; `None` while it joins.
    joined_at: Option<Time>,
    /// Whether a node that serves has answered a query.
    is_answered: bool,
    /// Whether this node determines established versions by itself where none is known.
    decides: bool,
    query_due: Option<Time>,
    /// Revision of the member table at the last observation.
    observed_revision: Option<u64>,
    /// Whether endpoints of one service differ in their version.
    has_differing_versions: bool,
    view: Arc<rollout::View>,
}

impl Rollouts {
    pub(crate) fn set_limits(&mut self, limits: Option<Limits>) {
        self.limits = limits;
        if self.is_enabled() {
            self.update_view();
        }
    }

    pub(crate) fn is_enabled(&self) -> bool {
        self.limits.is_some()
    }

    pub(crate) fn view(&self) -> Arc<rollout::View> {
        Arc::clone(&self.view)
    }

    /// Starts to ask peers, once the node is a member. `has_peers` states whether there is anyone to ask.
    pub(crate) fn join(&mut self, now: Time, has_peers: bool) {
        if self.is_enabled() && self.joined_at.is_none() {
            self.joined_at = Some(now);
            self.is_answered = !has_peers;
            self.query_due = has_peers.then_some(now);
        }
    }

    /// Whether the node may serve requests.
    pub(crate) fn is_ready(&self, now: Time) -> bool {
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
    pub(crate) fn serve(&mut self, now: Time, table: &MemberTable) -> bool {
        self.decides = true;
        self.observed_revision = None;
        self.observe(now, table)
    }

    /// Takes note of the member table if it has changed. Returns whether the state for the traffic threads has
    /// changed.
    pub(crate) fn observe(&mut self, now: Time, table: &MemberTable) -> bool {
        let is_absence_due = self.table.next_absence().is_some_and(|due| due <= now);
        let is_known = self.observed_revision == Some(table.revision());
        if !self.is_enabled() || (is_known && !is_absence_due) {
            return false;
        }
        self.observed_revision = Some(table.revision());
        let counts = count_ready(table);
        self.has_differing_versions = counts.windows(2).any(|it| it[0].service == it[1].service);
        self.table.observe(now, &counts, self.decides);
        self.update_view()
    }

    /// Handles a message of another node.
    pub(crate) fn handle(&mut self, now: Time, from: SocketAddr, message: Message) -> Outbox {
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
        out.has_changed = self.update_view();
        out
    }

    /// When [`Self::wake`] is due next.
    pub(crate) fn next_wake(&self) -> Option<Time> {
        let absence = self.table.next_absence();
        // A stale order is asked for with the next query.
        let stale = self.query_due.is_none().then(|| self.table.next_stale());
        let dues = [self.query_due, absence, stale.flatten()];
        dues.into_iter().flatten().min()
    }

    /// Returns what has to be sent now.
    pub(crate) fn wake(&mut self, now: Time) -> Outbox {
        let mut out = Outbox::default();
        if !self.is_enabled() || self.joined_at.is_none() {
            return out;
        }
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

    fn update_view(&mut self) -> bool {
        let view = self.table.view(!self.decides);
        let has_changed = *self.view != view;
        if has_changed {
            self.view = Arc::new(view);
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

/// Number of ready endpoints by service and version, sorted.
fn count_ready(table: &MemberTable) -> Vec<ReadyCount> {
    let members = table.members().iter();
    let ready = members.filter(|it| it.is_live() && it.stage == Stage::Ready);
    let mut versions: Vec<_> = ready
        .filter_map(|it| {
            let upstream = it.upstream.as_ref()?;
            Some((&upstream.service, upstream.version.as_ref()?))
        })
        .collect();
    versions.sort_unstable();
    let groups = versions.chunk_by(|left, right| left == right);
    groups
        .map(|group| ReadyCount {
            service: Arc::clone(group[0].0),
            version: Arc::clone(group[0].1),
            endpoints: u32::try_from(group.len()).unwrap_or(u32::MAX),
        })
        .collect()
}
