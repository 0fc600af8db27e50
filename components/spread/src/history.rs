//! Recent versions, kept so that deltas can be made for nodes that lag.

use std::sync::Arc;

use config::Accepted;
use config::Delta;
use config::Record;
use ids::Digest;
use member::Stamp;

/// Texts kept for deltas.
const KEPT: usize = 16;

/// What one node gives another that asks for its configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Offer {
    /// The asking node is not behind.
    Same,
    /// The whole record.
    Whole(Record),
    /// The record with its text as a delta to what the asking node has.
    Changes { record: Record, delta: Delta },
}

/// The record in force and the texts before it.
#[derive(Debug, Default)]
pub struct History {
    current: Option<Accepted>,
    texts: Vec<(Digest, Arc<str>)>,
}

impl History {
    /// The configuration in force.
    pub fn current(&self) -> Option<&Accepted> {
        self.current.as_ref()
    }

    /// Version and hash in force.
    pub fn stamp(&self) -> Stamp {
        self.current
            .as_ref()
            .map_or_else(Stamp::default, |accepted| Stamp {
                version: accepted.record().version,
                digest: accepted.record().digest,
            })
    }

    /// Puts `accepted` in force if its version is higher; tells whether it did.
    pub fn advance(&mut self, accepted: Accepted) -> bool {
        if accepted.record().version <= self.stamp().version {
            return false;
        }
        if let Some(old) = self.current.replace(accepted) {
            if self.texts.len() == KEPT {
                self.texts.remove(0);
            }
            self.texts
                .push((old.record().digest, Arc::clone(&old.record().text)));
        }
        true
    }

    /// What to give a node that has `have`.
    pub fn offer(&self, have: Stamp) -> Offer {
        let Some(current) = &self.current else {
            return Offer::Same;
        };
        let record = current.record();
        if record.version <= have.version {
            return Offer::Same;
        }
        match self.texts.iter().find(|(digest, _)| *digest == have.digest) {
            Some((_, old)) => {
                let delta = Delta::from_texts(old, &record.text);
                let record = Record {
                    text: Arc::from(""),
                    ..record.clone()
                };
                Offer::Changes { record, delta }
            }
            None => Offer::Whole(record.clone()),
        }
    }
}
