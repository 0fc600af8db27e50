//! Near names for hints.

/// Longest name that is compared; bounds the work for hostile input.
const MAX_COMPARED: usize = 64;

/// The name in `known` nearest to `written`, if one is near enough to be a slip of the hand.
pub fn suggest_name<'a>(
    written: &str,
    known: impl IntoIterator<Item = &'a str>,
) -> Option<&'a str> {
    if written.len() > MAX_COMPARED {
        return None;
    }
    let limit = (written.chars().count() / 3).max(1);
    known
        .into_iter()
        .filter(|name| name.len() <= MAX_COMPARED)
        .map(|name| (count_edits(written, name), name))
        .filter(|(edits, _)| *edits <= limit)
        .min_by_key(|(edits, _)| *edits)
        .map(|(_, name)| name)
}

/// Levenshtein distance, without regard to case.
fn count_edits(a: &str, b: &str) -> usize {
    let b: Vec<char> = b.chars().flat_map(char::to_lowercase).collect();
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, x) in a.chars().flat_map(char::to_lowercase).enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, y) in b.iter().enumerate() {
            let replaced = diagonal + usize::from(x != *y);
            diagonal = row[j + 1];
            row[j + 1] = replaced.min(row[j] + 1).min(diagonal + 1);
        }
    }
    row[b.len()]
}
