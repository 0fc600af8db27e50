//! Deltas between texts: exact, bounded, and safe to apply when a node sends nonsense.

use std::time::Instant;

use proptest::proptest;
use rstest::rstest;

use config::Delta;
use config::DeltaOp;
use config::unified_diff;
use ids::Digest;

const MAX: usize = 1_000_000;

fn lines(count: usize, word: &str) -> String {
    (0..count)
        .map(|n| format!("      - {word} {n}\n"))
        .collect()
}

fn inserted(delta: &Delta) -> usize {
    let size = |piece: &DeltaOp| match piece {
        DeltaOp::Insert(text) => text.len(),
        DeltaOp::Keep { .. } => 0,
    };
    delta.ops.iter().map(size).sum()
}

// Guards against a delta as large as the text when two distant lines change.
#[test]
fn from_texts_distant_changes() {
    let old = lines(4_000, "route");
    let new = old
        .replace("route 5\n", "changed 5\n")
        .replace("route 3990\n", "changed 3990\n");
    let delta = Delta::from_texts(&old, &new);
    assert_eq!(delta.apply(&old, MAX).as_deref(), Some(new.as_str()));
    assert!(inserted(&delta) < 50, "{} bytes", inserted(&delta));
}

// Guards against a pair of texts that keeps the control thread busy.
#[rstest]
#[case::nothing_in_common(lines(30_000, "a"), lines(30_000, "b"))]
#[case::shuffled("a\nb\n".repeat(200_000), "b\na\na\n".repeat(120_000))]
#[case::same_letters("a\n".repeat(400_000), "a\n".repeat(200_000) + "b\n")]
fn from_texts_bounded(#[case] old: String, #[case] new: String) {
    let start = Instant::now();
    let delta = Delta::from_texts(&old, &new);
    let took = start.elapsed();
    assert_eq!(delta.apply(&old, MAX).as_deref(), Some(new.as_str()));
    // 100 times the time that it takes; guards against growth with the square of the text.
    assert!(took.as_secs() < 10, "{took:?}");
}

// Guards against a panic or unbounded memory on ops that another node made up.
#[rstest]
#[case::outside(vec![DeltaOp::Keep { start: 2, count: 1 }])]
#[case::overflow(vec![DeltaOp::Keep { start: u32::MAX, count: u32::MAX }])]
#[case::too_long(vec![DeltaOp::Keep { start: 0, count: 2 }; 10])]
#[case::long_insert(vec![DeltaOp::Insert("x".repeat(9))])]
fn apply_hostile(#[case] ops: Vec<DeltaOp>) {
    let old = "a\nb\n";
    let base = Digest::of(old.as_bytes());
    assert_eq!(Delta { base, ops }.apply(old, 8), None);
}

// Guards against a delta that is applied to a text that it was not made for.
#[test]
fn apply_other_base() {
    assert_eq!(Delta::from_texts("a\n", "b\n").apply("c\n", MAX), None);
}

// Guards against a difference that operators cannot read.
#[test]
fn describe_difference_one_line() {
    let old = lines(9, "x");
    let text = unified_diff(&old, &old.replace("x 4\n", "y 4\n"));
    let expected = "@@ -2,7 +2,7 @@\n       - x 1\n       - x 2\n       - x 3\n-      - x 4\n+      - y 4\n       - x 5\n       - x 6\n       - x 7\n";
    assert_eq!(text, expected);
    assert_eq!(unified_diff(&old, &old), "");
}

proptest! {
    // Guards against a delta that does not give the new text.
    #[test]
    fn from_texts_arbitrary(old in "([abc]?\n?){0,30}", new in "([abc]?\n?){0,30}") {
        let delta = Delta::from_texts(&old, &new);
        assert_eq!(delta.apply(&old, MAX), Some(new.clone()));
        assert_eq!(unified_diff(&old, &new).is_empty(), old == new);
    }
}
