//! Order of the states of a rollout.

/// Revision of a key in the store. A store that has returned from an older copy gives numbers out again in a
/// higher era.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Revision {
    /// Era of the store.
    pub era: u64,
    /// Number within the era; 0 stands for a key that does not exist.
    pub number: u64,
}
