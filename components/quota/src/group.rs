//! Groups of organisations, which are delegated together.

use ids::OrganisationId;

/// Number of groups that organisations are divided into. More groups spread the granters' work over more nodes and cost
/// each node more messages.
pub const GROUP_COUNT: usize = 8;

/// Set of groups.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GroupSet(pub u8);

impl GroupSet {
    /// Whether the set contains a group.
    pub fn contains(self, group: usize) -> bool {
        self.0 >> group & 1 == 1
    }

    /// Adds a group.
    pub fn insert(&mut self, group: usize) {
        self.0 |= 1 << group;
    }

    /// Groups of the set, in ascending order.
    pub fn iter(self) -> impl Iterator<Item = usize> {
        (0..GROUP_COUNT).filter(move |group| self.contains(*group))
    }
}

/// Group of an organisation, from 0 to [`GROUP_COUNT`] - 1.
pub(crate) fn group_of(organisation: OrganisationId) -> usize {
    usize::try_from(organisation.0 % GROUP_COUNT as u64).unwrap_or(0)
}
