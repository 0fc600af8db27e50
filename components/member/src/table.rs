//! The member table.

use crate::Member;
use ids::NodeId;

/// Members sorted by id.
#[derive(Clone, Debug, Default)]
pub struct Table {
    members: Vec<Member>,
}

impl Table {
    /// All members, sorted by id.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Looks a member up.
    pub fn get(&self, id: NodeId) -> Option<&Member> {
        self.members
            .binary_search_by_key(&id, |member| member.id)
            .ok()
            .map(|at| &self.members[at])
    }

    /// Takes a statement in if it overrides what is known; tells whether it did.
    pub fn merge(&mut self, statement: Member) -> bool {
        match self
            .members
            .binary_search_by_key(&statement.id, |member| member.id)
        {
            Ok(at) if statement.overrides(&self.members[at]) => {
                self.members[at] = statement;
                true
            }
            Ok(_) => false,
            Err(at) => {
                self.members.insert(at, statement);
                true
            }
        }
    }
}
