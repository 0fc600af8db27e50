//! Coordination of the order of one service.

use std::sync::Arc;
use std::time::Duration;

use crate::Judgement;
use crate::Order;
use crate::Phase;
use crate::Record;
use crate::Report;
use crate::Revision;
use crate::Role;
use crate::StoreCall;
use crate::StoreEvent;
use crate::Table;
use crate::coordinator::Fleet;
use crate::coordinator::first_record;
use crate::evidence::Evidence;
use crate::table::FRESH_TIME;
use ids::NodeId;
use kernel::Time;

/// Part of the duration of an order, in thousandths, before which it is not judged good.
const EARLIEST_GOOD_PERMILLE: u64 = 600;
/// Part of the duration of an order, in thousandths, after which it is rolled back if it was not judged good.
const NO_EVIDENCE_PERMILLE: u64 = 900;
/// Part of the duration, in thousandths, after which it is rolled back if the nodes have not confirmed it. The
/// rest is for the write and its status.
const NO_CONFIRMATION_PERMILLE: u64 = 950;
/// Time without a statement of the coordinator after which the stand-by node acts.
const SILENCE_LIMIT: Duration = Duration::from_millis(1_500);
/// Delay of a call after one that has failed.
const RETRY_DELAY: Duration = Duration::from_millis(250);
/// Interval between two statements of the coordinator about an order that runs.
const STATEMENT_INTERVAL: Duration = Duration::from_millis(500);
/// Time for which a verdict is stated again.
const VERDICT_REPEAT: Duration = Duration::from_secs(5);

/// What is known of the state in the store.
#[derive(Debug, Default)]
enum Stored {
    /// It has to be read.
    #[default]
    Unknown,
    /// Revision of the key, and the state.
    Known(Revision, Option<Record>),
}

/// Coordination of one service.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) service: Arc<str>,
    /// Revision of the store when the order was read; `None` until then.
    pub(crate) order_read_at: Option<Revision>,
    order: Option<Order>,
    /// When this node learned of the order, in milliseconds of Unix time.
    order_seen_ms: u64,
    stored: Stored,
    /// When the state was read or written last.
    stored_at: Time,
    /// Whether a call for the order or the state is open.
    is_calling: bool,
    is_calling_status: bool,
    retry_at: Time,
    status_retry_at: Time,
    status_revision: Revision,
    /// Order and phase that the status shows.
    status: Option<(Revision, Phase)>,
    statement_due: Time,
    /// When this node began to wait for the coordinator to act.
    waiting_since: Option<Time>,
    /// When this node first stated the verdict.
    verdict_at: Option<Time>,
    /// Whether the verdict was stated and written for long enough.
    is_finished: bool,
    evidence: Evidence,
    /// State of the promotion, and the members that were live when this node first saw it.
    promoted_members: Option<(Revision, Vec<NodeId>)>,
    /// Since when those of them that are live have confirmed the promotion.
    confirmed_since: Option<Time>,
}

impl Job {
    pub(crate) fn new(service: Arc<str>) -> Self {
        Self {
            service,
            order_read_at: None,
            order: None,
            order_seen_ms: 0,
            stored: Stored::Unknown,
            stored_at: Time(0),
            is_calling: false,
            is_calling_status: false,
            retry_at: Time(0),
            status_retry_at: Time(0),
            status_revision: Revision::default(),
            status: None,
            statement_due: Time(0),
            waiting_since: None,
            verdict_at: None,
            is_finished: false,
            evidence: Evidence::default(),
            promoted_members: None,
            confirmed_since: None,
        }
    }

    /// Reads everything again.
    pub(crate) fn forget(&mut self) {
        self.is_finished = false;
        self.order_read_at = None;
        self.stored = Stored::Unknown;
        self.status = None;
        self.status_revision = Revision::default();
    }

    /// Whether there is something to do apart from the watch.
    pub(crate) fn is_busy(&self) -> bool {
        self.order_read_at.is_none() || (self.order.is_some() && !self.is_finished)
    }

    /// Takes the report of a node.
    pub(crate) fn add_report(&mut self, report: Report) {
        self.evidence.add(report);
    }

    pub(crate) fn set_order(&mut self, order: Option<Order>, unix_ms: u64) {
        let is_known = match (&order, &self.order) {
            (Some(order), Some(known)) => {
                (order.revision.number, &order.target) == (known.revision.number, &known.target)
            }
            (None, None) => true,
            _ => false,
        };
        if !is_known {
            self.order_seen_ms = unix_ms;
            self.order = order;
            self.waiting_since = None;
            (self.verdict_at, self.is_finished) = (None, false);
            self.confirmed_since = None;
        }
    }

    pub(crate) fn finish_order_read(&mut self, order: Option<Order>, at: Revision, unix_ms: u64) {
        self.is_calling = false;
        self.order_read_at = Some(at);
        self.set_order(order, unix_ms);
    }

    /// Handles the result of a call about the state or the status.
    pub(crate) fn handle(&mut self, now: Time, event: StoreEvent) {
        match event {
            StoreEvent::StateRead {
                revision, record, ..
            } => {
                self.is_calling = false;
                (self.stored, self.stored_at) = (Stored::Known(revision, record), now);
            }
            StoreEvent::StateWritten {
                revision, record, ..
            } => {
                self.is_calling = false;
                (self.stored, self.stored_at) = (Stored::Known(revision, Some(record)), now);
            }
            StoreEvent::StatusWritten {
                revision,
                phase,
                target,
                ..
            } => {
                self.is_calling_status = false;
                self.status_revision = revision;
                let order = self.order.as_ref().filter(|it| it.target == target);
                self.status = order.map(|it| (it.revision, phase));
            }
            StoreEvent::StatusConflict { revision, .. } => {
                self.is_calling_status = false;
                // Another coordinator has written, so that the state can be a later one.
                if self.status_revision != Revision::default() {
                    self.stored = Stored::Unknown;
                }
                self.status_revision = revision;
            }
            StoreEvent::Failed { is_status, .. } if is_status => {
                self.is_calling_status = false;
                self.status_retry_at = now + RETRY_DELAY;
            }
            StoreEvent::Failed { .. } => {
                // A write can have taken effect, so the state is read before the next one.
                self.is_calling = false;
                self.stored = Stored::Unknown;
                self.retry_at = now + RETRY_DELAY;
            }
            StoreEvent::OrderRead { .. }
            | StoreEvent::OrdersWatched { .. }
            | StoreEvent::WatchFailed { .. } => {}
        }
    }

    /// Makes the decisions that are due.
    #[expect(clippy::too_many_arguments, reason = "the facts of one decision")]
    pub(crate) fn advance(
        &mut self,
        now: Time,
        unix_ms: Option<u64>,
        own_id: NodeId,
        role: Role,
        fleet: &Fleet<'_>,
        table: &mut Table,
        calls: &mut Vec<StoreCall>,
    ) {
        if self.order_read_at.is_none() {
            let service = Arc::clone(&self.service);
            return self.call(now, StoreCall::ReadOrder { service }, calls);
        }
        let Some(order) = self.order.clone() else {
            return;
        };
        if !self.is_acting(now, own_id, role, &order, table) {
            // What the store holds can change meanwhile by the hand of the coordinator.
            self.stored = Stored::Unknown;
            return;
        }
        let newest = table.order_revision(&self.service);
        // After a pause of this process another node can have ended the rollout.
        let silence = table.coordinator_silence(now, &self.service, &order);
        let is_state_old = now.since(self.stored_at) >= FRESH_TIME;
        let was_paused = is_state_old
            && silence.is_some_and(|it| it >= FRESH_TIME)
            && table.known_verdict(&self.service, &order).is_none();
        if let Stored::Known(revision, _) = &self.stored
            && (was_paused || newest.is_some_and(|newest| newest > *revision))
        {
            self.stored = Stored::Unknown;
        }
        let Stored::Known(revision, record) = &self.stored else {
            let service = Arc::clone(&self.service);
            return self.call(now, StoreCall::ReadState { service }, calls);
        };
        let (revision, record) = (*revision, record.clone());
        let Some(record) = record.filter(|it| it.is_of(&order)) else {
            return self.begin(now, revision, &order, table, calls);
        };
        table.apply_record(now, &self.service, revision, &record, own_id);
        self.state_order(now, &record, table);
        let verdict = table.known_verdict(&self.service, &order);
        if verdict.is_none_or(|verdict| verdict == record.phase) {
            self.write_status(now, &record, calls);
        }
        let unix_ms = unix_ms.unwrap_or(record.started_ms);
        let elapsed_ms = unix_ms.saturating_sub(record.started_ms);
        if let Some(phase) = self.decide(now, elapsed_ms, revision, &record, fleet, table)
            && !self.is_calling
        {
            let service = Arc::clone(&self.service);
            let record = Record { phase, ..record };
            let expected = revision;
            let call = StoreCall::WriteState {
                service,
                expected,
                record,
            };
            self.call(now, call, calls);
        }
    }

    /// Whether this node acts on the order now.
    fn is_acting(
        &mut self,
        now: Time,
        own_id: NodeId,
        role: Role,
        order: &Order,
        table: &Table,
    ) -> bool {
        if role == Role::Coordinator {
            return true;
        }
        if table.known_verdict(&self.service, order).is_some() {
            self.is_finished = true;
            return false;
        }
        if table.is_coordinated_by(&self.service, order, own_id) {
            return true;
        }
        let since = *self.waiting_since.get_or_insert(now);
        let silence = table.coordinator_silence(now, &self.service, order);
        silence.unwrap_or(now.since(since)) >= SILENCE_LIMIT
    }

    /// Writes the first state of an order.
    fn begin(
        &mut self,
        now: Time,
        expected: Revision,
        order: &Order,
        table: &Table,
        calls: &mut Vec<StoreCall>,
    ) {
        let stored = match &self.stored {
            Stored::Known(_, record) => record.as_ref(),
            Stored::Unknown => None,
        };
        // The state of the order before counts more than an older state, and than what nodes have seen.
        let known = table.established(&self.service);
        let known = known.filter(|(_, at)| stored.is_none() || *at >= expected);
        let stored = stored.map(|it| Arc::clone(it.established_version()));
        let Some(established) = known.map(|(version, _)| version).or(stored) else {
            return;
        };
        let mut record = first_record(order, &established, self.order_seen_ms);
        // A store that has returned from an older copy can have lost a verdict that the nodes know.
        if let Some(verdict) = table.known_verdict(&self.service, order) {
            record.phase = verdict;
        }
        let service = Arc::clone(&self.service);
        let call = StoreCall::WriteState {
            service,
            expected,
            record,
        };
        self.call(now, call, calls);
    }

    /// The next phase, if it is due.
    fn decide(
        &mut self,
        now: Time,
        elapsed_ms: u64,
        revision: Revision,
        record: &Record,
        fleet: &Fleet<'_>,
        table: &mut Table,
    ) -> Option<Phase> {
        let permille = elapsed_ms.saturating_mul(1_000) / record.order.duration_ms.max(1);
        if record.phase.is_verdict() {
            return None;
        }
        let verdict = table.known_verdict(&self.service, &record.order);
        if verdict.is_some() {
            return verdict;
        }
        // A write that is open can have taken effect, so nothing is announced before its outcome is known.
        if self.is_calling {
            return None;
        }
        let order = record.order.revision;
        let judgement = self.evidence.judge(now, order, record.phase);
        let is_late = permille >= late_permille(record.phase);
        if judgement == Judgement::Bad || is_late || self.evidence.is_halted(order) {
            table.halt(now, &self.service);
        }
        if table.is_halted(&self.service) {
            return Some(Phase::RolledBack);
        }
        match record.phase {
            Phase::Running => {
                let is_good = judgement == Judgement::Good
                    && permille >= EARLIEST_GOOD_PERMILLE
                    && table.can_promote(&self.service, &record.order.target);
                is_good.then_some(Phase::Promoting)
            }
            _ => {
                let is_due = self.is_confirmed(now, order, revision, fleet);
                is_due.then_some(Phase::Succeeded)
            }
        }
    }

    /// Whether all live nodes have confirmed the promotion, and the requests that they sent to the old endpoints
    /// before have ended. A node that has started since asked its peers before it served, so that it does not
    /// lengthen the wait, but has to confirm too.
    fn is_confirmed(
        &mut self,
        now: Time,
        order: Revision,
        state: Revision,
        fleet: &Fleet<'_>,
    ) -> bool {
        let (first_state, first_live) = self
            .promoted_members
            .get_or_insert_with(|| (state, fleet.live.to_vec()));
        if *first_state != state {
            (*first_state, *first_live) = (state, fleet.live.to_vec());
            self.confirmed_since = None;
        }
        let is_live = |node: &NodeId| fleet.live.binary_search(node).is_ok();
        let known: Vec<NodeId> = first_live.iter().copied().filter(is_live).collect();
        if !self.evidence.is_confirmed(order, state, &known) {
            self.confirmed_since = None;
            return false;
        }
        let since = *self.confirmed_since.get_or_insert(now);
        now.since(since) >= fleet.longest_deadline
            && self.evidence.is_confirmed(order, state, fleet.live)
    }

    /// States the order to the other nodes again, if that is due.
    fn state_order(&mut self, now: Time, record: &Record, table: &mut Table) {
        if record.phase.is_verdict() {
            let since = *self.verdict_at.get_or_insert(now);
            let is_stated = now.since(since) >= VERDICT_REPEAT;
            self.is_finished = is_stated && self.is_status_current();
            if is_stated {
                return;
            }
        }
        if self.statement_due <= now {
            self.statement_due = now + STATEMENT_INTERVAL;
            table.state_again(now, &self.service);
        }
    }

    fn write_status(&mut self, now: Time, record: &Record, calls: &mut Vec<StoreCall>) {
        if self.is_status_current() || self.is_calling_status || self.status_retry_at > now {
            return;
        }
        self.is_calling_status = true;
        calls.push(StoreCall::WriteStatus {
            service: Arc::clone(&self.service),
            expected: self.status_revision,
            phase: record.phase,
            target: Arc::clone(&record.order.target),
        });
    }

    /// Whether the status shows the state. An operator sees a promotion as running.
    fn is_status_current(&self) -> bool {
        let shown = |phase| match phase {
            Phase::Promoting => Phase::Running,
            phase => phase,
        };
        let Some((order, record)) = self.order.as_ref().zip(self.record()) else {
            return true;
        };
        let status = self.status.map(|(order, phase)| (order, shown(phase)));
        status == Some((order.revision, shown(record.phase)))
    }

    fn record(&self) -> Option<&Record> {
        match &self.stored {
            Stored::Known(_, record) => record.as_ref(),
            Stored::Unknown => None,
        }
    }

    fn call(&mut self, now: Time, call: StoreCall, calls: &mut Vec<StoreCall>) {
        if !self.is_calling && self.retry_at <= now {
            self.is_calling = true;
            calls.push(call);
        }
    }
}

/// Part of the duration, in thousandths, after which an order in this phase is rolled back.
fn late_permille(phase: Phase) -> u64 {
    match phase {
        Phase::Promoting => NO_CONFIRMATION_PERMILLE,
        _ => NO_EVIDENCE_PERMILLE,
    }
}
