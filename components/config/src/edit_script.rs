//! Edit scripts between two lists of lines, computed in bounded time.
//!
//! The algorithms of the crate `similar` can be bounded only by a deadline, which would make the
//! result depend on the load of the machine. The replay of a trace needs the same result each time.

use similar::DiffOp;

/// Maximum number of inserted and deleted lines in a script; a longer script is not searched for.
const MAX_EDITS: usize = 512;
/// Maximum number of line comparisons in the search for the shortest script.
const MAX_COMPARISONS: usize = 2_000_000;

/// A run of equal lines: its index in the old list, its index in the new list, and its length.
type EqualRun = (usize, usize, usize);

/// Operations that turn `old` into `new`: the shortest script, or, if that exceeds the bounds, one
/// that replaces all lines between the common prefix and suffix.
pub(crate) fn compute_edit_script(old: &[&str], new: &[&str]) -> Vec<DiffOp> {
    let pairs = old.iter().zip(new);
    let prefix_len = pairs.take_while(|(a, b)| a == b).count();
    let (old_rest, new_rest) = (&old[prefix_len..], &new[prefix_len..]);
    let pairs = old_rest.iter().rev().zip(new_rest.iter().rev());
    let suffix_len = pairs.take_while(|(a, b)| a == b).count();
    let old_middle = &old_rest[..old_rest.len() - suffix_len];
    let new_middle = &new_rest[..new_rest.len() - suffix_len];

    let mut runs = vec![(0, 0, prefix_len)];
    let middle_runs = find_equal_runs(old_middle, new_middle).unwrap_or_default();
    runs.extend(
        middle_runs
            .into_iter()
            .map(|(a, b, len)| (a + prefix_len, b + prefix_len, len)),
    );
    runs.push((old.len() - suffix_len, new.len() - suffix_len, suffix_len));
    // `runs_to_ops` emits the lines before each run, so an empty run at the end of both lists makes
    // it emit the lines after the last match too.
    runs.push((old.len(), new.len(), 0));
    runs_to_ops(&runs)
}

/// Converts runs of equal lines into operations; the lines between two runs are replaced.
fn runs_to_ops(runs: &[EqualRun]) -> Vec<DiffOp> {
    let mut ops: Vec<DiffOp> = Vec::new();
    let (mut old_index, mut new_index) = (0, 0);
    for &(old_start, new_start, len) in runs {
        let (old_len, new_len) = (old_start - old_index, new_start - new_index);
        if old_len > 0 || new_len > 0 {
            ops.push(DiffOp::Replace {
                old_index,
                old_len,
                new_index,
                new_len,
            });
        }
        if let Some(DiffOp::Equal {
            len: previous_len, ..
        }) = ops.last_mut()
        {
            *previous_len += len;
        } else if len > 0 {
            ops.push(DiffOp::Equal {
                old_index: old_start,
                new_index: new_start,
                len,
            });
        }
        (old_index, new_index) = (old_start + len, new_start + len);
    }
    ops
}

/// Finds the runs of equal lines of the shortest script, by the greedy algorithm of Myers; `None`
/// if the script exceeds the bounds.
fn find_equal_runs(old: &[&str], new: &[&str]) -> Option<Vec<EqualRun>> {
    if old.is_empty() || new.is_empty() {
        return Some(Vec::new());
    }
    let max_edits = MAX_EDITS.min(old.len() + new.len());
    // Furthest index in `old` that is reached on each diagonal; diagonal 0 is at `center`.
    let center = max_edits + 1;
    let mut furthest_x = vec![0_usize; 2 * max_edits + 3];
    let mut frontiers: Vec<Vec<usize>> = Vec::new();
    let mut comparisons = 0;
    for edits in 0..=max_edits {
        frontiers.push(furthest_x[center - edits - 1..=center + edits + 1].to_vec());
        for diagonal in (center - edits..=center + edits).step_by(2) {
            let mut x = diagonal_start(&furthest_x, diagonal, center, edits);
            // A diagonal has the number x - y, and x is never less than that.
            let mut y = (x + center).checked_sub(diagonal)?;
            while x < old.len() && y < new.len() && old[x] == new[y] {
                x += 1;
                y += 1;
                comparisons += 1;
            }
            furthest_x[diagonal] = x;
            if x >= old.len() && y >= new.len() {
                return Some(backtrack(&frontiers, old.len(), new.len()));
            }
            comparisons += 1;
            if comparisons > MAX_COMPARISONS {
                return None;
            }
        }
    }
    None
}

/// Index in `old` at which the furthest path with `edits` edits enters a diagonal.
fn diagonal_start(furthest_x: &[usize], diagonal: usize, center: usize, edits: usize) -> usize {
    let is_insertion = diagonal == center - edits
        || (diagonal != center + edits && furthest_x[diagonal - 1] < furthest_x[diagonal + 1]);
    if is_insertion {
        furthest_x[diagonal + 1]
    } else {
        furthest_x[diagonal - 1] + 1
    }
}

/// Follows the shortest script back from the end of both lists and returns its runs of equal lines.
/// `frontiers` holds the furthest indexes as they were before each number of edits was tried.
fn backtrack(frontiers: &[Vec<usize>], old_len: usize, new_len: usize) -> Vec<EqualRun> {
    let (mut x, mut y) = (old_len, new_len);
    let mut runs = Vec::new();
    for (edits, furthest_x) in frontiers.iter().enumerate().rev() {
        // A saved frontier has diagonal 0 in its middle.
        let center = edits + 1;
        let diagonal = x + center - y;
        let start = diagonal_start(furthest_x, diagonal, center, edits);
        let len = x - start;
        if len > 0 {
            runs.push((start, y - len, len));
        }
        if edits == 0 {
            break;
        }
        let is_insertion = diagonal == center - edits
            || (diagonal != center + edits && furthest_x[diagonal - 1] < furthest_x[diagonal + 1]);
        (x, y) = if is_insertion {
            (start, y - len - 1)
        } else {
            (start - 1, y - len)
        };
    }
    runs.reverse();
    runs
}
