//! Tests of the validity of arena keys.

use rstest::rstest;

use kernel::Arena;

/// The key of a removed item must not resolve to the item that reuses its slot.
#[rstest]
fn get_reused_slot() {
    let mut arena = Arena::new(0);
    let first = arena.insert("first");
    assert_eq!(arena.remove(first), Some("first"));
    let second = arena.insert("second");
    assert_eq!(arena.get(first), None);
    assert_eq!(arena.get(second), Some(&"second"));
}

/// A key of a replaced arena must not be valid in the arena that replaces it.
#[rstest]
fn get_other_generation() {
    let mut old = Arena::new(1);
    let mut new = Arena::new(2);
    let key = old.insert(1);
    new.insert(2);
    assert_eq!(new.get(key), None);
}
