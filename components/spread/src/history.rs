//! The configuration in force and its previous texts, from which deltas are made for nodes that
//! lag.

use std::sync::Arc;

use config::AcceptedConfig;
use config::Delta;
use config::Record;
use ids::Digest;
use member::ConfigId;

/// Maximum number of previous configuration texts kept for deltas.
const MAX_PREVIOUS_TEXTS: usize = 16;
/// Limit on the size of the previous texts together; the newest of them is kept in any case. With
/// 1,600 routes a text has 280 KB, and 16 of them took a fifth of a node's memory. A node that lags
/// further behind gets the full text.
const MAX_PREVIOUS_BYTES: usize = 600_000;

/// Answer of a node to another that pulls its configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PullResponse {
    /// The answering node has no newer version than the asking node.
    UpToDate,
    /// The record with its full text.
    Full(Record),
    /// The record without its text, and the delta from the asking node's text to it.
    Delta { record: Record, delta: Delta },
}

/// A text that was in force before, with the delta from it to the current text. The delta is
/// computed when a node first needs it.
#[derive(Debug)]
struct PreviousText {
    digest: Digest,
    text: Arc<str>,
    delta: Option<Delta>,
}

/// The configuration in force and the texts that were in force before it, oldest first.
#[derive(Debug, Default)]
pub struct History {
    current: Option<AcceptedConfig>,
    previous_texts: Vec<PreviousText>,
}

impl History {
    /// The configuration in force.
    pub fn current(&self) -> Option<&AcceptedConfig> {
        self.current.as_ref()
    }

    /// Version and hash of the configuration in force; the default value if there is none.
    pub fn config_id(&self) -> ConfigId {
        self.current
            .as_ref()
            .map_or_else(ConfigId::default, |accepted| ConfigId {
                version: accepted.record().version,
                digest: accepted.record().digest,
            })
    }

    /// Puts `accepted` in force if its version is higher than the current one; returns whether it
    /// was.
    pub fn advance(&mut self, accepted: AcceptedConfig) -> bool {
        if accepted.record().version <= self.config_id().version {
            return false;
        }
        if let Some(previous) = self.current.replace(accepted) {
            self.previous_texts
                .iter_mut()
                .for_each(|it| it.delta = None);
            self.previous_texts.push(PreviousText {
                digest: previous.record().digest,
                text: Arc::clone(&previous.record().text),
                delta: None,
            });
            self.drop_oldest();
        }
        true
    }

    /// Drops the oldest texts beyond the limits on number and size.
    fn drop_oldest(&mut self) {
        let mut bytes = 0;
        let newest_first = self.previous_texts.iter().rev();
        let within_limit = newest_first.take_while(|previous| {
            bytes += previous.text.len();
            bytes <= MAX_PREVIOUS_BYTES
        });
        let kept = within_limit.count().clamp(1, MAX_PREVIOUS_TEXTS);
        self.previous_texts
            .drain(..self.previous_texts.len().saturating_sub(kept));
    }

    /// Answers a pull from a node that has `have`.
    pub fn respond_to_pull(&mut self, have: ConfigId) -> PullResponse {
        let Some(current) = &self.current else {
            return PullResponse::UpToDate;
        };
        let record = current.record();
        if record.version <= have.version {
            return PullResponse::UpToDate;
        }
        let Some(previous) = self
            .previous_texts
            .iter_mut()
            .find(|it| it.digest == have.digest)
        else {
            return PullResponse::Full(record.clone());
        };
        let delta = previous
            .delta
            .get_or_insert_with(|| Delta::from_texts(&previous.text, &record.text));
        let record = Record {
            text: Arc::from(""),
            ..record.clone()
        };
        let delta = delta.clone();
        PullResponse::Delta { record, delta }
    }
}
