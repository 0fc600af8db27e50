//! Selection of the node to pull a newer configuration from.

use std::net::SocketAddr;
use std::time::Duration;

use crate::store_call::Backoff;
use ids::Digest;
use kernel::Random;
use kernel::Time;
use member::ConfigId;

/// Time after which another node is asked. A version must be in force within a few seconds, so this
/// is well below that. A response that arrives later is still used.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(700);
/// Bounds of the random delay before the next pull after a failed one.
const INITIAL_DELAY_BOUND: Duration = Duration::from_millis(50);
const MAX_DELAY_BOUND: Duration = Duration::from_secs(2);
/// Maximum number of sources remembered.
const MAX_SOURCES: usize = 4;

/// A pull that waits for its response.
#[derive(Clone, Copy, Debug)]
struct PendingPull {
    from: SocketAddr,
    /// Version and hash that the node announced.
    config_id: ConfigId,
    deadline: Time,
    /// Whether the full text was requested, after a delta that could not be applied.
    full_text: bool,
}

/// Nodes known to have a newer version (sources), and the pull that is pending.
#[derive(Debug)]
pub(crate) struct PullState {
    pending: Option<PendingPull>,
    /// The sources, the one heard of last at the end.
    sources: Vec<(SocketAddr, ConfigId)>,
    backoff: Backoff,
    /// Earliest time of the next pull after a failed one.
    not_before: Option<Time>,
}

impl Default for PullState {
    fn default() -> Self {
        Self {
            pending: None,
            sources: Vec::new(),
            backoff: Backoff::new(INITIAL_DELAY_BOUND, MAX_DELAY_BOUND),
            not_before: None,
        }
    }
}

impl PullState {
    /// Whether a newer version is known that hasn't arrived.
    pub(crate) fn is_pending(&self) -> bool {
        self.pending.is_some() || !self.sources.is_empty()
    }

    pub(crate) fn next_wake(&self) -> Option<Time> {
        let pending = self.pending.map(|it| it.deadline);
        let not_before = self.not_before.filter(|_| !self.sources.is_empty());
        pending.or(not_before)
    }

    /// Remembers a node that has a newer version; replaces what was known of the node.
    pub(crate) fn add_source(&mut self, from: SocketAddr, config_id: ConfigId) {
        if self
            .pending
            .is_some_and(|it| it.from == from && it.config_id == config_id)
        {
            return;
        }
        self.sources.retain(|(known, _)| *known != from);
        if self.sources.len() == MAX_SOURCES {
            self.sources.remove(0);
        }
        self.sources.push((from, config_id));
    }

    /// Drops sources and the pending pull unless their version is newer than `have` and passes
    /// `keep`.
    pub(crate) fn retain_newer(&mut self, have: ConfigId, keep: impl Fn(ConfigId) -> bool) {
        let newer = |config_id: ConfigId| config_id.version > have.version && keep(config_id);
        self.sources.retain(|(_, config_id)| newer(*config_id));
        self.pending = self.pending.filter(|it| newer(it.config_id));
    }

    /// Starts a pull from the best source and returns its address, unless a pull is pending or the
    /// backoff delay has not passed.
    pub(crate) fn start_next(&mut self, now: Time) -> Option<SocketAddr> {
        if self.pending.is_some() || self.not_before.is_some_and(|not_before| not_before > now) {
            return None;
        }
        self.not_before = None;
        let newest_version = self
            .sources
            .iter()
            .map(|(_, config_id)| config_id.version)
            .max()?;
        // The node that was heard of last is the most likely to be alive.
        let at = self
            .sources
            .iter()
            .rposition(|(_, it)| it.version == newest_version)?;
        let (from, config_id) = self.sources.remove(at);
        self.pending = Some(PendingPull {
            from,
            config_id,
            deadline: now + RESPONSE_TIMEOUT,
            full_text: false,
        });
        Some(from)
    }

    /// Marks the pending pull as one for the full text; returns whether to send it. That is done
    /// only once, and only if `from` is the node that is asked.
    pub(crate) fn request_full_text(&mut self, now: Time, from: SocketAddr) -> bool {
        match &mut self.pending {
            Some(pending) if pending.from == from && !pending.full_text => {
                pending.full_text = true;
                pending.deadline = now + RESPONSE_TIMEOUT;
                true
            }
            _ => false,
        }
    }

    /// Resets the backoff after a pull that brought a record into force.
    pub(crate) fn record_success(&mut self) {
        self.backoff.reset();
        self.not_before = None;
    }

    /// Ends the pending pull from a node and delays the next one.
    pub(crate) fn record_failure(&mut self, now: Time, from: SocketAddr, random: &mut dyn Random) {
        if self.pending.is_some_and(|it| it.from == from) {
            self.pending = None;
            self.not_before = Some(now + self.backoff.next_delay(random));
        }
    }

    /// Ends the pending pull if its response is overdue.
    pub(crate) fn expire(&mut self, now: Time, random: &mut dyn Random) {
        if let Some(pending) = self.pending.filter(|it| it.deadline <= now) {
            self.record_failure(now, pending.from, random);
        }
    }
}

/// `have` without its hash: no node has a delta for it, so a pull with it returns the full text.
pub(crate) fn without_digest(have: ConfigId) -> ConfigId {
    ConfigId {
        digest: Digest::default(),
        ..have
    }
}
