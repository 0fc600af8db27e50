//! Freshness of keys in the control state machine.
//!
//! Proofs use a clock that includes the time during which the instance was suspended, the rest of the control state
//! machine one that does not. The clock of proofs is estimated from the latest readings that inputs contain. The
//! estimate is never ahead, which makes requests and proofs older than they are.

use std::net::SocketAddr;
use std::time::Duration;

use fresh::Message;
use fresh::Output;
use ids::NodeId;
use ids::Version;
use kernel::Random;
use kernel::Time;
use member::MemberTable;

/// Proof of this node, with the difference between the two clocks.
#[derive(Debug)]
pub(crate) struct Freshness {
    machine: fresh::Machine,
    /// Lower bound of the time by which the clock of proofs is ahead.
    ahead: Duration,
}

impl Freshness {
    /// Creates the state of a node that has just started, at `now` by the clock of the control state machine and at
    /// `proof_now` by that of proofs.
    pub(crate) fn new(own: NodeId, limit: Duration, now: Time, proof_now: Time) -> Self {
        Self {
            machine: fresh::Machine::new(own, limit),
            ahead: proof_now.since(now),
        }
    }

    pub(crate) fn is_active(&self) -> bool {
        self.machine.is_active()
    }

    /// Records that the clock of proofs showed `reading` at `now` or before.
    fn record_reading(&mut self, now: Time, reading: Time) {
        self.ahead = self.ahead.max(reading.since(now));
    }

    pub(crate) fn set_active(&mut self, now: Time, active: bool, out: &mut Vec<Output>) {
        self.machine.set_active(now + self.ahead, active, out);
    }

    pub(crate) fn set_version(&mut self, now: Time, version: Version, out: &mut Vec<Output>) {
        self.machine.set_version(now + self.ahead, version, out);
    }

    pub(crate) fn record_store_answer(
        &mut self,
        now: Time,
        sent: Time,
        version: Version,
        out: &mut Vec<Output>,
    ) {
        self.record_reading(now, sent);
        let proof_now = now + self.ahead;
        self.machine
            .record_store_answer(proof_now, sent, version, out);
    }

    /// Handles a message that arrived when the clock of proofs showed `received`.
    pub(crate) fn handle_message(
        &mut self,
        now: Time,
        (from, received): (SocketAddr, Time),
        message: Message,
        random: &mut dyn Random,
        out: &mut Vec<Output>,
    ) {
        self.record_reading(now, received);
        self.machine
            .handle_message(received, from, message, random, out);
    }

    pub(crate) fn wake(
        &mut self,
        now: Time,
        table: &MemberTable,
        random: &mut dyn Random,
        out: &mut Vec<Output>,
    ) {
        self.machine.wake(now + self.ahead, table, random, out);
    }

    /// Time at which `wake` is due next, by the clock of the control state machine.
    pub(crate) fn next_wake(&self) -> Option<Time> {
        let due = self.machine.next_wake()?;
        Some(Time(0) + due.since(Time(0) + self.ahead))
    }
}
