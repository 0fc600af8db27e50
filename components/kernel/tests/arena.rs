//! Guards the key rules of the arena.

use rstest::rstest;

use kernel::Arena;

/// Guards against a stale key that finds the item now in its slot.
#[rstest]
fn get_reused_slot() {
    let mut arena = Arena::new(0);
    let first = arena.insert("first");
    assert_eq!(arena.remove(first), Some("first"));
    let second = arena.insert("second");
    assert_eq!(arena.get(first), None);
    assert_eq!(arena.get(second), Some(&"second"));
}

/// Guards against a key of one snapshot that is valid in the next.
#[rstest]
fn get_other_generation() {
    let mut old = Arena::new(1);
    let mut new = Arena::new(2);
    let key = old.insert(1);
    new.insert(2);
    assert_eq!(new.get(key), None);
}
