//! An accepted text with its version, and the differences between records.

use std::sync::Arc;

use similar::Algorithm;
use similar::DiffOp;
use similar::capture_diff_slices;

use ids::Digest;
use ids::Version;

/// Newest format of the text that this build understands.
pub const FORMAT: u32 = 1;

/// An accepted text as the store and the nodes hold it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Version; rises with each acceptance.
    pub version: Version,
    /// Random id of the edit; settles whether an edit was accepted.
    pub edit: u128,
    /// Hash of the text that was edited.
    pub parent: Digest,
    /// Hash of this text.
    pub digest: Digest,
    /// Format that a node needs to understand.
    pub format: u32,
    /// The operators' text.
    pub text: Arc<str>,
}

/// One step of a [`Delta`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Piece {
    /// Lines of the old text, from `start`, `count` of them.
    Keep { start: u32, count: u32 },
    /// New lines, with their line ends.
    Insert(String),
}

/// What turns one text into another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Delta {
    /// Hash of the text that it applies to.
    pub base: Digest,
    /// The steps, in order.
    pub pieces: Vec<Piece>,
}

impl Delta {
    /// The difference from `old` to `new`.
    pub fn from_texts(old: &str, new: &str) -> Self {
        let old_lines: Vec<&str> = old.split_inclusive('\n').collect();
        let new_lines: Vec<&str> = new.split_inclusive('\n').collect();
        let mut pieces = Vec::new();
        for op in capture_diff_slices(Algorithm::Myers, &old_lines, &new_lines) {
            match op {
                DiffOp::Equal { old_index, len, .. } => pieces.push(Piece::Keep {
                    start: u32::try_from(old_index).unwrap_or(u32::MAX),
                    count: u32::try_from(len).unwrap_or(u32::MAX),
                }),
                DiffOp::Delete { .. } => {}
                DiffOp::Insert {
                    new_index, new_len, ..
                }
                | DiffOp::Replace {
                    new_index, new_len, ..
                } => {
                    pieces.push(Piece::Insert(
                        new_lines[new_index..new_index + new_len].concat(),
                    ));
                }
            }
        }
        Self {
            base: Digest::from_bytes(old.as_bytes()),
            pieces,
        }
    }

    /// Applies the delta to `old`; `None` if it does not fit or the result exceeds `max_bytes`.
    pub fn apply(&self, old: &str, max_bytes: usize) -> Option<String> {
        if Digest::from_bytes(old.as_bytes()) != self.base {
            return None;
        }
        let lines: Vec<&str> = old.split_inclusive('\n').collect();
        let mut text = String::new();
        for piece in &self.pieces {
            match piece {
                Piece::Keep { start, count } => {
                    let start = usize::try_from(*start).ok()?;
                    let end = start.checked_add(usize::try_from(*count).ok()?)?;
                    lines
                        .get(start..end)?
                        .iter()
                        .for_each(|line| text.push_str(line));
                }
                Piece::Insert(inserted) => text.push_str(inserted),
            }
            if text.len() > max_bytes {
                return None;
            }
        }
        Some(text)
    }
}
