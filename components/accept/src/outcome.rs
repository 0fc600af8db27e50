//! What the machines take, ask for and conclude.

use quick_error::quick_error;

use crate::EditId;
use config::Record;
use ids::Version;
use spread::Revision;

/// The record in the store with the revision of its key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The record.
    pub record: Record,
    /// Revision of the key.
    pub revision: Revision,
}

quick_error! {
    /// Why a call of the store gave no answer.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum StoreError {
        /// It had no effect and may work later.
        Unreachable { message: String } {
            display("{message}")
        }
        /// The store refused it; it had no effect.
        Refused { message: String } {
            display("{message}")
        }
        /// A write may have taken effect, or may still do so.
        Unknown { message: String } {
            display("{message}")
        }
        /// The key holds something that is not a record.
        Unreadable {
            display("the key of the configuration holds something else")
        }
    }
}

/// What a write did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The record is in the store.
    Done,
    /// The key had another revision; nothing was written.
    Conflict(Option<Entry>),
}

/// What can happen.
#[derive(Clone, Debug)]
pub enum Input {
    /// Begin.
    Start,
    /// The answer to [`Effect::Read`].
    ReadDone(Result<Option<Entry>, StoreError>),
    /// The answer to [`Effect::Write`].
    WriteDone(Result<WriteOutcome, StoreError>),
}

/// What is asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Read the key, then report [`Input::ReadDone`].
    Read,
    /// Write the record if the key has this revision, then report [`Input::WriteDone`].
    Write { record: Record, expected: Revision },
    /// Nothing more will be asked.
    Finish(Outcome),
}

/// What became of an edit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The edit is a version; a later one may have replaced it.
    Accepted {
        version: Version,
        replaced_by: Option<Version>,
    },
    /// The accepted text was the same already; nothing was written.
    Unchanged { version: Version },
    /// The edit is no version and will not become one.
    NotAccepted(Rejection),
    /// The edit may be a version or become one.
    Unknown { edit: EditId, message: String },
}

quick_error! {
    /// Why an edit was not accepted.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum Rejection {
        /// Another edit was accepted meanwhile; `base` is the record that was edited, if known.
        ConcurrentEdit { current: Box<Record>, base: Option<Box<Record>> } {
            display("version {} was accepted meanwhile", current.version)
        }
        /// The store holds another text under the version that was edited.
        BaseTextMismatch { version: Version } {
            display("version {version} in the store is not the text that was edited; the store may have been restored from a backup")
        }
        /// The store has nothing, or an older version than was edited.
        BaseMissing { base: Version, store: Version } {
            display("the edit is of version {base}, but the store holds {}", describe(*store))
        }
        /// A node has a higher version than the store.
        StoreBehind { fleet: Version, store: Version } {
            display("nodes have version {fleet}, but the store holds {}; it may have been restored from a backup; a node writes the newest version back within a minute of reaching the store", describe(*store))
        }
        /// A node has another text under the version that the store holds.
        FleetTextMismatch { version: Version } {
            display("nodes have another text under version {version} than the store, which may have been restored from a backup; bring the edits together, then apply without --node")
        }
        /// The store gave no answer within the time limit.
        Timeout { message: String } {
            display("the store gave no answer in time: {message}")
        }
        /// The store refused the call.
        Refused { message: String } {
            display("{message}")
        }
        /// The key holds something that is not a record.
        Unreadable {
            display("the key of the configuration holds something that is not a record; it is left alone")
        }
        /// The accepted text has a newer format.
        NewerFormat { found: u32 } {
            display("the accepted text has format {found}, which this medlarctl does not know; upgrade it first")
        }
        /// The write did not take effect and cannot do so any more.
        NeverWritten {
            display("its write did not take effect and cannot do so any more")
        }
    }
}

fn describe(version: Version) -> String {
    if version == Version::NONE {
        return "no configuration".into();
    }
    format!("version {version}")
}
