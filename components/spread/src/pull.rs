//! Choice of the node to pull from.

use std::net::SocketAddr;
use std::time::Duration;

use crate::store_call::Backoff;
use ids::Digest;
use kernel::Random;
use kernel::Time;
use member::ConfigId;

/// Time after which another node is asked. Well below the seconds in which a version has to be in
/// force; an answer that comes later is still used.
const PATIENCE: Duration = Duration::from_millis(700);
const FIRST_PAUSE: Duration = Duration::from_millis(50);
const LONGEST_PAUSE: Duration = Duration::from_secs(2);
/// Nodes remembered that have a newer version.
const MAX_TELLERS: usize = 4;

/// A pull that waits for its answer.
#[derive(Clone, Copy, Debug)]
struct Asked {
    from: SocketAddr,
    config_id: ConfigId,
    until: Time,
    whole: bool,
}

/// Nodes that have a newer version, and the one that is asked.
#[derive(Debug)]
pub(crate) struct Pull {
    asked: Option<Asked>,
    tellers: Vec<(SocketAddr, ConfigId)>,
    backoff: Backoff,
    pause: Option<Time>,
}

impl Default for Pull {
    fn default() -> Self {
        Self {
            asked: None,
            tellers: Vec::new(),
            backoff: Backoff::new(FIRST_PAUSE, LONGEST_PAUSE),
            pause: None,
        }
    }
}

impl Pull {
    /// Whether a newer version is known that has not arrived.
    pub(crate) fn is_busy(&self) -> bool {
        self.asked.is_some() || !self.tellers.is_empty()
    }

    pub(crate) fn next_wake(&self) -> Option<Time> {
        let asked = self.asked.map(|it| it.until);
        let pause = self.pause.filter(|_| !self.tellers.is_empty());
        asked.or(pause)
    }

    /// Remembers a node that has a newer version.
    pub(crate) fn add_teller(&mut self, from: SocketAddr, config_id: ConfigId) {
        if self
            .asked
            .is_some_and(|it| it.from == from && it.config_id == config_id)
        {
            return;
        }
        self.tellers.retain(|(known, _)| *known != from);
        if self.tellers.len() == MAX_TELLERS {
            self.tellers.remove(0);
        }
        self.tellers.push((from, config_id));
    }

    /// Forgets what is not newer than `have`.
    pub(crate) fn forget(&mut self, have: ConfigId, keep: impl Fn(ConfigId) -> bool) {
        let newer = |config_id: ConfigId| config_id.version > have.version && keep(config_id);
        self.tellers.retain(|(_, config_id)| newer(*config_id));
        self.asked = self.asked.filter(|it| newer(it.config_id));
    }

    /// The next node to ask, if it is time to ask one.
    pub(crate) fn ask_next(&mut self, now: Time) -> Option<SocketAddr> {
        if self.asked.is_some() || self.pause.is_some_and(|pause| pause > now) {
            return None;
        }
        self.pause = None;
        let newest = self
            .tellers
            .iter()
            .map(|(_, config_id)| config_id.version)
            .max()?;
        // The node that told last is the likeliest to live.
        let at = self
            .tellers
            .iter()
            .rposition(|(_, it)| it.version == newest)?;
        let (from, config_id) = self.tellers.remove(at);
        self.asked = Some(Asked {
            from,
            config_id,
            until: now + PATIENCE,
            whole: false,
        });
        Some(from)
    }

    /// Asks the same node for the whole text, once; tells whether it is to be asked.
    pub(crate) fn ask_whole(&mut self, now: Time, from: SocketAddr) -> bool {
        match &mut self.asked {
            Some(asked) if asked.from == from && !asked.whole => {
                asked.whole = true;
                asked.until = now + PATIENCE;
                true
            }
            _ => false,
        }
    }

    /// A pull brought a record into force.
    pub(crate) fn succeed(&mut self) {
        self.backoff.reset();
        self.pause = None;
    }

    /// The pull from a node brought nothing.
    pub(crate) fn fail(&mut self, now: Time, from: SocketAddr, random: &mut dyn Random) {
        if self.asked.is_some_and(|it| it.from == from) {
            self.asked = None;
            self.pause = Some(now + self.backoff.wait(random));
        }
    }

    /// Gives up on a node that takes too long.
    pub(crate) fn expire(&mut self, now: Time, random: &mut dyn Random) {
        if let Some(asked) = self.asked.filter(|it| it.until <= now) {
            self.fail(now, asked.from, random);
        }
    }
}

/// A configuration id that no teller has a delta for.
pub(crate) fn without_text(have: ConfigId) -> ConfigId {
    ConfigId {
        digest: Digest::default(),
        ..have
    }
}
