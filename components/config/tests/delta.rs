//! Deltas and diffs of texts: exact, computed in bounded time, and safe to apply if malformed.

use std::time::Instant;

use proptest::proptest;
use rstest::rstest;

use config::Delta;
use config::DeltaOp;
use config::unified_diff;
use ids::Digest;

const MAX_BYTES: usize = 1_000_000;

/// A text of `count` lines, each with `word` and its number.
fn lines(count: usize, word: &str) -> String {
    (0..count)
        .map(|n| format!("      - {word} {n}\n"))
        .collect()
}

/// Bytes of the inserted lines of a delta.
fn inserted_bytes(delta: &Delta) -> usize {
    let size = |op: &DeltaOp| match op {
        DeltaOp::Insert(text) => text.len(),
        DeltaOp::Keep { .. } => 0,
    };
    delta.ops.iter().map(size).sum()
}

// Checks that a delta stays small when two distant lines change.
#[test]
fn from_texts_distant_changes() {
    let old = lines(4_000, "route");
    let new = old
        .replace("route 5\n", "changed 5\n")
        .replace("route 3990\n", "changed 3990\n");
    let delta = Delta::from_texts(&old, &new);
    assert_eq!(delta.apply(&old, MAX_BYTES).as_deref(), Some(new.as_str()));
    assert!(
        inserted_bytes(&delta) < 50,
        "{} bytes",
        inserted_bytes(&delta)
    );
}

// Checks that no pair of texts occupies the control thread for long.
#[rstest]
#[case::nothing_in_common(lines(30_000, "a"), lines(30_000, "b"))]
#[case::shuffled("a\nb\n".repeat(200_000), "b\na\na\n".repeat(120_000))]
#[case::equal_lines("a\n".repeat(400_000), "a\n".repeat(200_000) + "b\n")]
fn from_texts_bounded(#[case] old: String, #[case] new: String) {
    let start = Instant::now();
    let delta = Delta::from_texts(&old, &new);
    let elapsed = start.elapsed();
    assert_eq!(delta.apply(&old, MAX_BYTES).as_deref(), Some(new.as_str()));
    // 100 times the usual time; time that grows with the square of the text would exceed it.
    assert!(elapsed.as_secs() < 10, "{elapsed:?}");
}

// Checks that invalid operations from another node cause neither a panic nor unbounded memory.
#[rstest]
#[case::lines_out_of_range(vec![DeltaOp::Keep { start: 2, count: 1 }])]
#[case::overflow(vec![DeltaOp::Keep { start: u32::MAX, count: u32::MAX }])]
#[case::kept_lines_too_long(vec![DeltaOp::Keep { start: 0, count: 2 }; 10])]
#[case::insert_too_long(vec![DeltaOp::Insert("x".repeat(9))])]
fn apply_hostile(#[case] ops: Vec<DeltaOp>) {
    let old = "a\nb\n";
    let base = Digest::of(old.as_bytes());
    assert_eq!(Delta { base, ops }.apply(old, 8), None);
}

// Checks that a delta isn't applied to a text other than the one that it was computed for.
#[test]
fn apply_other_base() {
    assert_eq!(
        Delta::from_texts("a\n", "b\n").apply("c\n", MAX_BYTES),
        None
    );
}

// Checks the format of the diff for one changed line.
#[test]
fn unified_diff_one_line() {
    let old = lines(9, "x");
    let text = unified_diff(&old, &old.replace("x 4\n", "y 4\n"));
    let expected = "@@ -2,7 +2,7 @@\n       - x 1\n       - x 2\n       - x 3\n-      - x 4\n+      - y 4\n       - x 5\n       - x 6\n       - x 7\n";
    assert_eq!(text, expected);
    assert_eq!(unified_diff(&old, &old), "");
}

proptest! {
    // Checks that a delta applied to the old text gives the new text.
    #[test]
    fn from_texts_arbitrary(old in "([abc]?\n?){0,30}", new in "([abc]?\n?){0,30}") {
        let delta = Delta::from_texts(&old, &new);
        assert_eq!(delta.apply(&old, MAX_BYTES), Some(new.clone()));
        assert_eq!(unified_diff(&old, &new).is_empty(), old == new);
    }
}
