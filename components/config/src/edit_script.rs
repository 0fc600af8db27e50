//! Edit scripts between two lists of lines, with bounded work.
//!
//! The library's own algorithms are bounded by the clock alone, which would make the result depend
//! on the load of the machine; replay of a trace needs the same result each time.

use similar::DiffOp;

/// Most changed lines for which the shortest script is searched.
const MAX_EDITS: usize = 512;
/// Most comparisons of lines.
const MAX_WORK: usize = 2_000_000;

/// Equal lines: position in the old and the new list, and their number.
type Run = (usize, usize, usize);

/// What turns `old` into `new`. Beyond the bounds, everything between the common head and tail is
/// replaced.
pub(crate) fn make_script(old: &[&str], new: &[&str]) -> Vec<DiffOp> {
    let pairs = old.iter().zip(new);
    let head = pairs.take_while(|(a, b)| a == b).count();
    let (old_rest, new_rest) = (&old[head..], &new[head..]);
    let pairs = old_rest.iter().rev().zip(new_rest.iter().rev());
    let tail = pairs.take_while(|(a, b)| a == b).count();
    let old_middle = &old_rest[..old_rest.len() - tail];
    let new_middle = &new_rest[..new_rest.len() - tail];

    let mut runs = vec![(0, 0, head)];
    let found = find_runs(old_middle, new_middle).unwrap_or_default();
    runs.extend(
        found
            .into_iter()
            .map(|(a, b, len)| (a + head, b + head, len)),
    );
    runs.push((old.len() - tail, new.len() - tail, tail));
    // Ends the last change at the end of both lists.
    runs.push((old.len(), new.len(), 0));
    to_ops(&runs)
}

fn to_ops(runs: &[Run]) -> Vec<DiffOp> {
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
        if let Some(DiffOp::Equal { len: before, .. }) = ops.last_mut() {
            *before += len;
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

/// Runs of equal lines in the shortest script (Myers, greedy); `None` beyond the bounds.
fn find_runs(old: &[&str], new: &[&str]) -> Option<Vec<Run>> {
    if old.is_empty() || new.is_empty() {
        return Some(Vec::new());
    }
    let limit = MAX_EDITS.min(old.len() + new.len());
    // Furthest position in `old` on each diagonal; diagonal 0 is at `middle`.
    let middle = limit + 1;
    let mut furthest = vec![0_usize; 2 * limit + 3];
    let mut steps: Vec<Vec<usize>> = Vec::new();
    let mut work = 0;
    for edits in 0..=limit {
        steps.push(furthest[middle - edits - 1..=middle + edits + 1].to_vec());
        for at in (middle - edits..=middle + edits).step_by(2) {
            let mut x = enter(&furthest, at, middle, edits);
            // The diagonal is x - y; x never falls behind it.
            let mut y = (x + middle).checked_sub(at)?;
            while x < old.len() && y < new.len() && old[x] == new[y] {
                x += 1;
                y += 1;
                work += 1;
            }
            furthest[at] = x;
            if x >= old.len() && y >= new.len() {
                return Some(walk_back(&steps, old.len(), new.len()));
            }
            work += 1;
            if work > MAX_WORK {
                return None;
            }
        }
    }
    None
}

/// Where a step of `edits` changes enters the diagonal at `at`.
fn enter(furthest: &[usize], at: usize, middle: usize, edits: usize) -> usize {
    let down =
        at == middle - edits || (at != middle + edits && furthest[at - 1] < furthest[at + 1]);
    if down {
        furthest[at + 1]
    } else {
        furthest[at - 1] + 1
    }
}

fn walk_back(steps: &[Vec<usize>], old_len: usize, new_len: usize) -> Vec<Run> {
    let (mut x, mut y) = (old_len, new_len);
    let mut runs = Vec::new();
    for (edits, furthest) in steps.iter().enumerate().rev() {
        // The saved part is centred on diagonal 0.
        let middle = edits + 1;
        let at = x + middle - y;
        let entered = enter(furthest, at, middle, edits);
        let len = x - entered;
        if len > 0 {
            runs.push((entered, y - len, len));
        }
        if edits == 0 {
            break;
        }
        let down =
            at == middle - edits || (at != middle + edits && furthest[at - 1] < furthest[at + 1]);
        (x, y) = if down {
            (entered, y - len - 1)
        } else {
            (entered - 1, y - len)
        };
    }
    runs.reverse();
    runs
}
