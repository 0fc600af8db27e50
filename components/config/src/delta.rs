//! Differences between two texts: [`Delta`] for the nodes, a unified diff for operators.

use std::fmt::Write;

use similar::DiffOp;
use similar::group_diff_ops;

use crate::edit_script::compute_edit_script;
use ids::Digest;

/// Unchanged lines around each change of a unified diff.
const CONTEXT_LINES: usize = 3;

/// One operation of a [`Delta`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DeltaOp {
    /// Copies `count` lines of the old text, from the line with index `start`.
    Keep { start: u32, count: u32 },
    /// Inserts lines, given with their line ends.
    Insert(String),
}

/// Operations that turn one text into another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Delta {
    /// Hash of the old text.
    pub base: Digest,
    /// The operations whose results, in order, make up the new text.
    pub ops: Vec<DeltaOp>,
}

impl Delta {
    /// Computes the delta from `old` to `new`, in bounded time for any two texts.
    pub fn from_texts(old: &str, new: &str) -> Self {
        let old_lines = split_lines(old);
        let new_lines = split_lines(new);
        let mut ops = Vec::new();
        for op in compute_edit_script(&old_lines, &new_lines) {
            if let DiffOp::Equal { old_index, len, .. } = op {
                ops.push(DeltaOp::Keep {
                    start: u32::try_from(old_index).unwrap_or(u32::MAX),
                    count: u32::try_from(len).unwrap_or(u32::MAX),
                });
            } else if !op.new_range().is_empty() {
                ops.push(DeltaOp::Insert(new_lines[op.new_range()].concat()));
            }
        }
        Self {
            base: Digest::of(old.as_bytes()),
            ops,
        }
    }

    /// Applies the delta to `old`; `None` if `old` is not the text that it was computed for, if an
    /// operation is out of range, or if the result exceeds `max_bytes`.
    pub fn apply(&self, old: &str, max_bytes: usize) -> Option<String> {
        if Digest::of(old.as_bytes()) != self.base {
            return None;
        }
        let lines = split_lines(old);
        let mut text = String::new();
        for op in &self.ops {
            let added = match op {
                DeltaOp::Keep { start, count } => {
                    let start = usize::try_from(*start).ok()?;
                    let end = start.checked_add(usize::try_from(*count).ok()?)?;
                    &join_lines(old, lines.get(start..end)?)
                }
                DeltaOp::Insert(inserted) => inserted.as_str(),
            };
            // Checked before `text` grows, so that its memory stays within the limit.
            if added.len() > max_bytes.saturating_sub(text.len()) {
                return None;
            }
            text.push_str(added);
        }
        Some(text)
    }
}

/// The difference from `old` to `new` as a unified diff without file names; empty if they are
/// equal.
pub fn unified_diff(old: &str, new: &str) -> String {
    let old_lines = split_lines(old);
    let new_lines = split_lines(new);
    let mut text = String::new();
    let edit_script = compute_edit_script(&old_lines, &new_lines);
    if edit_script
        .iter()
        .all(|op| matches!(op, DiffOp::Equal { .. }))
    {
        return text;
    }
    for group in group_diff_ops(edit_script, CONTEXT_LINES) {
        let (Some(first), Some(last)) = (group.first(), group.last()) else {
            continue;
        };
        let (old_start, old_end) = (first.old_range().start, last.old_range().end);
        let (new_start, new_end) = (first.new_range().start, last.new_range().end);
        // Writing to a string does not fail.
        let _ = writeln!(
            text,
            "@@ -{},{} +{},{} @@",
            old_start + 1,
            old_end - old_start,
            new_start + 1,
            new_end - new_start,
        );
        for op in group {
            if matches!(op, DiffOp::Equal { .. }) {
                push_lines(&mut text, ' ', &old_lines[op.old_range()]);
            } else {
                push_lines(&mut text, '-', &old_lines[op.old_range()]);
                push_lines(&mut text, '+', &new_lines[op.new_range()]);
            }
        }
    }
    text
}

fn push_lines(text: &mut String, sign: char, lines: &[&str]) {
    for line in lines {
        text.push(sign);
        text.push_str(line.trim_end_matches(['\r', '\n']));
        text.push('\n');
    }
}

fn split_lines(text: &str) -> Vec<&str> {
    text.split_inclusive('\n').collect()
}

/// Concatenates adjacent lines of `text`.
fn join_lines(text: &str, lines: &[&str]) -> String {
    let bytes = lines.iter().map(|line| line.len()).sum::<usize>();
    let mut joined = String::with_capacity(bytes.min(text.len()));
    lines.iter().for_each(|line| joined.push_str(line));
    joined
}
