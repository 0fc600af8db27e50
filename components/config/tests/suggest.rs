//! Near names for hints.

use proptest::proptest;
use rstest::rstest;

use config::suggest_name;

// Guards against hints that miss a slip of the hand or name something unrelated.
#[rstest]
#[case::letter_missing("plant", Some("planta"))]
#[case::letter_added("plantaa", Some("planta"))]
#[case::swapped("palnta", Some("planta"))]
#[case::case("PLANTA", Some("planta"))]
#[case::nearest("reserva", Some("reservas"))]
#[case::unrelated("manifest", None)]
#[case::too_short("x", None)]
#[case::empty("", None)]
fn suggest_name_case(#[case] written: &str, #[case] expected: Option<&str>) {
    assert_eq!(
        suggest_name(written, ["reservas", "planta", "returns-app"]),
        expected
    );
}

/// Levenshtein distance by the full table.
fn distance(a: &[u8], b: &[u8]) -> usize {
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, x) in a.iter().enumerate() {
        let mut next = vec![i + 1];
        for (j, y) in b.iter().enumerate() {
            next.push(
                (row[j] + usize::from(x != y))
                    .min(row[j + 1] + 1)
                    .min(next[j] + 1),
            );
        }
        row = next;
    }
    row[b.len()]
}

proptest! {
    // Guards against a search near the diagonal that is not exact there.
    #[test]
    fn suggest_name_exact(a in "[ab]{0,12}", b in "[ab]{0,12}") {
        let limit = (a.len() / 3).clamp(1, 3);
        let near = distance(a.as_bytes(), b.as_bytes()) <= limit;
        assert_eq!(suggest_name(&a, [b.as_str()]).is_some(), near, "{a} {b}");
    }

    // Guards against a panic on names of any length and script.
    #[test]
    fn suggest_name_any(a in "\\PC{0,70}", b in "\\PC{0,70}") {
        let _ = suggest_name(&a, [b.as_str()]);
    }
}
