//! Near names for hints.

/// Longest name that is compared; bounds the work for hostile input.
const MAX_COMPARED: usize = 64;
/// Most edits between a name and what was meant; the search looks no further from the diagonal.
const MAX_EDITS: usize = 3;

/// The name in `known` nearest to `written`, if one is near enough to be a slip of the hand.
pub fn suggest_name<'a>(
    written: &str,
    known: impl IntoIterator<Item = &'a str>,
) -> Option<&'a str> {
    if written.len() > MAX_COMPARED {
        return None;
    }
    let limit = (written.len() / 3).clamp(1, MAX_EDITS);
    known
        .into_iter()
        .filter(|name| name.len() <= MAX_COMPARED && name.len().abs_diff(written.len()) <= limit)
        .map(|name| (count_edits(written.as_bytes(), name.as_bytes()), name))
        .filter(|(edits, _)| *edits <= limit)
        .min_by_key(|(edits, _)| *edits)
        .map(|(_, name)| name)
}

/// Levenshtein distance without regard to case, exact up to [`MAX_EDITS`] and above it otherwise.
fn count_edits(a: &[u8], b: &[u8]) -> usize {
    let far = MAX_EDITS + 1;
    let mut row = [0; MAX_COMPARED + 1];
    for (j, cell) in row.iter_mut().enumerate() {
        *cell = j.min(far);
    }
    for (i, x) in a.iter().enumerate() {
        // Cells further from the diagonal than the most edits cannot lead to a near name.
        let first = (i + 1).saturating_sub(MAX_EDITS).max(1);
        let last = (i + 1 + MAX_EDITS).min(b.len());
        let mut diagonal = row[first - 1];
        row[first - 1] = if first == 1 { (i + 1).min(far) } else { far };
        for j in first..=last {
            let replaced = diagonal + usize::from(!x.eq_ignore_ascii_case(&b[j - 1]));
            diagonal = row[j];
            let above = if j == i + 1 + MAX_EDITS { far } else { row[j] };
            row[j] = replaced.min(above + 1).min(row[j - 1] + 1).min(far);
        }
    }
    row[b.len()]
}
