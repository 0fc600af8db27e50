//! Inputs, effects and outcomes of the state machines.

use quick_error::quick_error;

use crate::EditId;
use config::Record;
use ids::Version;
use spread::Revision;

/// The configuration record in the store, with the revision of its key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The stored record.
    pub record: Record,
    /// Revision of the configuration key.
    pub revision: Revision,
}

quick_error! {
    /// Why a call to the store gave no usable answer.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum StoreError {
        /// The store could not be reached: the call had no effect and may be retried.
        Unreachable { message: String } {
            display("{message}")
        }
        /// The store refused the call, which had no effect.
        Refused { message: String } {
            display("{message}")
        }
        /// The answer was lost: a write may have taken effect, or may still do so.
        OutcomeUnknown { message: String } {
            display("{message}")
        }
        /// The configuration key holds a value that is not a record.
        Unreadable {
            display("the configuration key holds a value that is not a record")
        }
    }
}

/// Result of a compare-and-swap write that the store answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The record was written.
    Done,
    /// The key had another revision, so nothing was written. Holds what the key has; `None` if it
    /// doesn't exist.
    Conflict(Option<Entry>),
}

/// Input of a state machine.
#[derive(Clone, Debug)]
pub enum Input {
    /// Starts the machine.
    Start,
    /// The answer to [`Effect::Read`].
    ReadDone(Result<Option<Entry>, StoreError>),
    /// The answer to [`Effect::Write`].
    WriteDone(Result<WriteOutcome, StoreError>),
}

/// Call that a state machine requests, or its end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Read the configuration key, then report [`Input::ReadDone`].
    Read,
    /// Write the record if the key still has the expected revision, then report
    /// [`Input::WriteDone`].
    Write { record: Record, expected: Revision },
    /// The machine has finished and requests nothing more.
    Finish(Outcome),
}

/// Final outcome of an edit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The edit was accepted as `version`. `replaced_by` is the later version that has replaced it,
    /// if one has.
    Accepted {
        version: Version,
        replaced_by: Option<Version>,
    },
    /// The accepted configuration had the same text already; nothing was written.
    Unchanged { version: Version },
    /// The edit was not accepted and cannot be any more.
    NotAccepted(Rejection),
    /// The edit may have been accepted, or its write may still take effect.
    Unknown { edit_id: EditId, message: String },
}

quick_error! {
    /// Why an edit was not accepted.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum Rejection {
        /// Another edit was accepted first; `base` is the record that the operator edited, if
        /// known.
        ConcurrentEdit { current: Box<Record>, base: Option<Box<Record>> } {
            display("version {} was accepted meanwhile", current.version)
        }
        /// The store has the version that was edited, but with another text.
        BaseTextMismatch { version: Version } {
            display("version {version} in the store is not the text that was edited; the store may have been restored from a backup")
        }
        /// The store holds no configuration, or an older version than the edited one.
        BaseMissing { base: Version, store: Version } {
            display("the edit is based on version {base}, but the store holds {}", describe_store_version(*store))
        }
        /// A node has a newer version than the store.
        StoreBehind { fleet: Version, store: Version } {
            display("nodes have version {fleet}, but the store holds {}; it may have been restored from a backup; a node writes the newest version back within a minute of reaching the store", describe_store_version(*store))
        }
        /// A node has the same version as the store, but another text.
        FleetTextMismatch { version: Version } {
            display("nodes have another text under version {version} than the store, which may have been restored from a backup; merge the two texts, then apply without --node")
        }
        /// No answer came from the store before the deadline.
        Timeout { message: String } {
            display("the store gave no answer in time: {message}")
        }
        /// The store refused the call.
        Refused { message: String } {
            display("{message}")
        }
        /// The configuration key holds a value that is not a record.
        Unreadable {
            display("the configuration key holds a value that is not a record; it was not changed")
        }
        /// The accepted configuration has a newer format than this program supports.
        NewerFormat { found: u32 } {
            display("the accepted text has format {found}, which this medlarctl does not support; upgrade it first")
        }
        /// The write of the edit did not take effect and cannot do so any more.
        NeverWritten {
            display("its write did not take effect and cannot do so any more")
        }
    }
}

fn describe_store_version(version: Version) -> String {
    if version == Version::NONE {
        return "no configuration".into();
    }
    format!("version {version}")
}
