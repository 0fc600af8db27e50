//! Suggestions for mistyped names.

/// Longest name that is compared, in bytes; bounds the time for hostile input.
const MAX_COMPARED_BYTES: usize = 64;
/// Largest edit distance of a suggestion.
const MAX_EDITS: usize = 3;

/// The name in `known_names` that is most similar to `mistyped_name`, if one is similar enough for
/// a typing mistake to explain the difference.
pub fn suggest_name<'a>(
    mistyped_name: &str,
    known_names: impl IntoIterator<Item = &'a str>,
) -> Option<&'a str> {
    if mistyped_name.len() > MAX_COMPARED_BYTES {
        return None;
    }
    let max_edits = (mistyped_name.len() / 3).clamp(1, MAX_EDITS);
    known_names
        .into_iter()
        .filter(|name| {
            name.len() <= MAX_COMPARED_BYTES
                && name.len().abs_diff(mistyped_name.len()) <= max_edits
        })
        .map(|name| {
            (
                edit_distance(mistyped_name.as_bytes(), name.as_bytes()),
                name,
            )
        })
        .filter(|(edits, _)| *edits <= max_edits)
        .min_by_key(|(edits, _)| *edits)
        .map(|(_, name)| name)
}

/// Levenshtein distance of two names, ignoring ASCII case. Exact up to [`MAX_EDITS`]; a larger
/// distance is returned as `MAX_EDITS + 1`.
fn edit_distance(a: &[u8], b: &[u8]) -> usize {
    let beyond_max = MAX_EDITS + 1;
    let mut row = [0; MAX_COMPARED_BYTES + 1];
    for (j, cell) in row.iter_mut().enumerate() {
        *cell = j.min(beyond_max);
    }
    for (i, a_byte) in a.iter().enumerate() {
        // Cells further than `MAX_EDITS` from the diagonal have a larger distance and are skipped.
        let first = (i + 1).saturating_sub(MAX_EDITS).max(1);
        let last = (i + 1 + MAX_EDITS).min(b.len());
        let mut diagonal = row[first - 1];
        row[first - 1] = if first == 1 {
            (i + 1).min(beyond_max)
        } else {
            beyond_max
        };
        for j in first..=last {
            let substituted = diagonal + usize::from(!a_byte.eq_ignore_ascii_case(&b[j - 1]));
            diagonal = row[j];
            let above = if j == i + 1 + MAX_EDITS {
                beyond_max
            } else {
                row[j]
            };
            row[j] = substituted
                .min(above + 1)
                .min(row[j - 1] + 1)
                .min(beyond_max);
        }
    }
    row[b.len()]
}
