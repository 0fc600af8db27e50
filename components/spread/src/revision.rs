//! Revisions of the store, and the eras in which the store gives them out.
//!
//! A store that returns from an older copy of its data loses what was written since, and gives the
//! revisions of those writes out again. A revision therefore only means something within its era.

/// Number that rises each time the store returns from an older copy. A store that states none is
/// always in era 0.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Era(pub u64);

/// Revision of the store or of a key, which every write changes. Revisions have no order, because
/// those of different eras cannot be compared.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Revision {
    /// Era in which the store gave the number out.
    pub era: Era,
    /// Number of the write; 0 for a missing key.
    pub number: u64,
}

impl Revision {
    /// Creates a revision.
    pub const fn new(era: Era, number: u64) -> Self {
        Self { era, number }
    }

    /// Whether the history up to this revision of the store includes `earlier`.
    pub fn includes(self, earlier: Self) -> bool {
        self.era == earlier.era && self.number >= earlier.number
    }
}

impl From<u64> for Revision {
    /// The revision of a store that states no era.
    fn from(number: u64) -> Self {
        Self::new(Era::default(), number)
    }
}

/// Newest state of the store that its answers have shown.
#[derive(Debug, Default)]
pub(crate) struct StorePosition {
    newest: Option<Revision>,
}

impl StorePosition {
    /// Whether an answer of this era was given before the store returned from a copy.
    pub(crate) fn is_outdated(&self, era: Era) -> bool {
        self.newest.is_some_and(|newest| era < newest.era)
    }

    /// Records the store's revision in an answer, whose number is 0 if it isn't known. Returns whether
    /// it shows that the store has returned from an older copy.
    pub(crate) fn advance(&mut self, answer: Revision) -> bool {
        let Some(newest) = self.newest else {
            self.newest = Some(answer);
            return false;
        };
        // Where the store states no era, only a number that has fallen shows it. Where it does, such
        // an answer has been overtaken by another.
        let states_no_era = answer.era == Era::default();
        let has_fallen = states_no_era && answer.number != 0 && answer.number < newest.number;
        let is_restored = answer.era > newest.era || (answer.era == newest.era && has_fallen);
        if is_restored || answer.includes(newest) {
            self.newest = Some(answer);
        }
        is_restored
    }
}
