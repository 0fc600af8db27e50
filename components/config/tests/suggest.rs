//! Suggestions for mistyped names.

use proptest::proptest;
use rstest::rstest;

use config::suggest_name;

// Checks that typing mistakes get the intended name, and that unrelated names are not suggested.
#[rstest]
#[case::missing_letter("plant", Some("planta"))]
#[case::added_letter("plantaa", Some("planta"))]
#[case::swapped_letters("palnta", Some("planta"))]
#[case::letter_case("PLANTA", Some("planta"))]
#[case::most_similar("reserva", Some("reservas"))]
#[case::unrelated("manifest", None)]
#[case::too_short("x", None)]
#[case::empty("", None)]
fn suggest_name_similarity(#[case] mistyped_name: &str, #[case] expected: Option<&str>) {
    assert_eq!(
        suggest_name(mistyped_name, ["reservas", "planta", "returns-app"]),
        expected
    );
}

/// Levenshtein distance, computed without the shortcuts of the code under test.
fn full_distance(a: &[u8], b: &[u8]) -> usize {
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
    // Checks that the distance, computed only near the diagonal of the table, is exact up to the
    // limit.
    #[test]
    fn suggest_name_exact(a in "[ab]{0,12}", b in "[ab]{0,12}") {
        let max_edits = (a.len() / 3).clamp(1, 3);
        let is_similar = full_distance(a.as_bytes(), b.as_bytes()) <= max_edits;
        assert_eq!(suggest_name(&a, [b.as_str()]).is_some(), is_similar, "{a} {b}");
    }

    // Checks that names of any length and script cause no panic.
    #[test]
    fn suggest_name_arbitrary(a in "\\PC{0,70}", b in "\\PC{0,70}") {
        let _ = suggest_name(&a, [b.as_str()]);
    }
}
