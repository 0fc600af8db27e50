//! Recent versions, kept so that deltas can be made for nodes that lag.

use std::sync::Arc;

use config::Accepted;
use config::Delta;
use config::Record;
use ids::Digest;
use member::ConfigId;

/// Most texts kept for deltas.
const KEPT: usize = 16;
/// Bytes of kept texts, of which the newest one is kept in any case. With 1,600 routes a text has
/// 280 KB, and 16 of them were a fifth of a node's memory; a node that lags further gets the whole
/// text.
const KEPT_BYTES: usize = 600_000;

/// What one node gives another that asks for its configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PullResponse {
    /// The asking node is not behind.
    UpToDate,
    /// The whole record.
    Full(Record),
    /// The record with its text as a delta to what the asking node has.
    Delta { record: Record, delta: Delta },
}

/// A text that was in force, with the delta from it to the present one once that was asked for.
#[derive(Debug)]
struct Old {
    digest: Digest,
    text: Arc<str>,
    delta: Option<Delta>,
}

/// The record in force and the texts before it.
#[derive(Debug, Default)]
pub struct History {
    current: Option<Accepted>,
    texts: Vec<Old>,
}

impl History {
    /// The configuration in force.
    pub fn current(&self) -> Option<&Accepted> {
        self.current.as_ref()
    }

    /// Version and hash in force.
    pub fn config_id(&self) -> ConfigId {
        self.current
            .as_ref()
            .map_or_else(ConfigId::default, |accepted| ConfigId {
                version: accepted.record().version,
                digest: accepted.record().digest,
            })
    }

    /// Puts `accepted` in force if its version is higher; tells whether it did.
    pub fn advance(&mut self, accepted: Accepted) -> bool {
        if accepted.record().version <= self.config_id().version {
            return false;
        }
        if let Some(old) = self.current.replace(accepted) {
            self.texts.iter_mut().for_each(|it| it.delta = None);
            self.texts.push(Old {
                digest: old.record().digest,
                text: Arc::clone(&old.record().text),
                delta: None,
            });
            self.drop_oldest();
        }
        true
    }

    fn drop_oldest(&mut self) {
        let mut bytes = 0;
        let newest_first = self.texts.iter().rev();
        let fit = newest_first.take_while(|old| {
            bytes += old.text.len();
            bytes <= KEPT_BYTES
        });
        let kept = fit.count().clamp(1, KEPT);
        self.texts.drain(..self.texts.len().saturating_sub(kept));
    }

    /// What to give a node that has `have`.
    pub fn respond_to_pull(&mut self, have: ConfigId) -> PullResponse {
        let Some(current) = &self.current else {
            return PullResponse::UpToDate;
        };
        let record = current.record();
        if record.version <= have.version {
            return PullResponse::UpToDate;
        }
        let Some(old) = self.texts.iter_mut().find(|it| it.digest == have.digest) else {
            return PullResponse::Full(record.clone());
        };
        let delta = old
            .delta
            .get_or_insert_with(|| Delta::from_texts(&old.text, &record.text));
        let record = Record {
            text: Arc::from(""),
            ..record.clone()
        };
        let delta = delta.clone();
        PullResponse::Delta { record, delta }
    }
}
