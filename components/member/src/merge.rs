//! Rules by which statements about members change the table.

use std::sync::Arc;

use crate::Machine;
use crate::Member;
use crate::MergeOutcome;
use crate::Status;
use crate::Update;
use crate::suspicion::Suspicion;
use crate::suspicion::shortest_suspicion;
use ids::Incarnation;
use ids::NodeId;
use kernel::Time;

impl Machine {
    /// Applies a statement from a message.
    pub(crate) fn apply_update(&mut self, now: Time, update: &Update) {
        let member = &update.member;
        if member.id == self.me {
            self.refute(member);
            return;
        }
        // Nodes forget ended members at different times; to learn of one again would keep it
        // forever.
        if !member.is_live() && self.table.get(member.id).is_none() {
            return;
        }
        if member.status == Status::Dead && self.is_hasty(now, member) {
            self.suspect_first(now, update);
            return;
        }
        self.defend_address(member);
        if self.confirm(update) {
            return;
        }
        self.spread(now, member, update.source);
    }

    fn spread(&mut self, now: Time, member: &Arc<Member>, source: NodeId) {
        let settled = self.settle_rival(now, member);
        if self.store(now, settled, source) {
            self.rumors
                .replace(member.id, source, self.table.live_count());
        }
    }

    /// Whether a member that lives had no time to refute the death that is stated of it.
    fn is_hasty(&self, now: Time, dead: &Member) -> bool {
        let known = self.table.get(dead.id);
        if known.is_none_or(|known| !known.is_live() || !dead.overrides(known)) {
            return false;
        }
        let suspicion = self.suspicions.iter().find(|it| it.id == dead.id);
        let shortest =
            shortest_suspicion(self.parameters.suspicion_timeout, self.table.live_count());
        suspicion.is_none_or(|it| now.since(it.since) < shortest)
    }

    /// Takes a statement of death as one of suspicion. Nodes that were cut off have declared deaths
    /// that are wrong here; the member itself is told, so that it can refute at once.
    fn suspect_first(&mut self, now: Time, update: &Update) {
        let member = with_status(&update.member, Status::Suspect);
        let source = update.source;
        let update = Update { member, source };
        if !self.confirm(&update) {
            self.spread(now, &update.member, source);
            self.doubted.push(update.member.id);
        }
    }

    /// Takes the tables of another node in. The statements are not spread further: the comparison
    /// with the next node does that for the cost of the difference. Gives the number of statements
    /// that were news.
    pub(crate) fn take_all(&mut self, now: Time, members: &[Arc<Member>]) -> usize {
        let mut news = 0;
        for member in members {
            let known = self.table.get(member.id);
            match member.status {
                _ if member.id == self.me => self.refute(member),
                // The other side may have been cut off. Whether the member lives is settled by the
                // member itself, so that healed partitions cause no false deaths.
                Status::Dead => {
                    if known.is_some_and(|known| known.is_live() && member.overrides(known)) {
                        self.challenge(now, member);
                        news += 1;
                    }
                }
                Status::Left => {
                    if known.is_some() && self.store(now, Arc::clone(member), member.id) {
                        news += 1;
                    }
                }
                Status::Alive | Status::Suspect => {
                    let mut member = Arc::clone(member);
                    if member.status == Status::Suspect {
                        Arc::make_mut(&mut member).status = Status::Alive;
                    }
                    self.defend_address(&member);
                    let settled = self.settle_rival(now, &member);
                    news += usize::from(self.store(now, settled, member.id));
                }
            }
        }
        news
    }

    /// Overrides a statement about this node that is not its own.
    fn refute(&mut self, statement: &Member) {
        let Some(me) = self.table.get(self.me) else {
            return;
        };
        if statement.overrides(me) {
            if statement.status != Status::Alive {
                self.health.worsen();
            }
            let incarnation = Incarnation(statement.incarnation.0.saturating_add(1));
            self.restate(|me| me.incarnation = incarnation);
        }
    }

    /// Rises above an earlier process at the address of this node.
    fn defend_address(&mut self, other: &Member) {
        let Some(me) = self.table.get(self.me) else {
            return;
        };
        let clashes = other.is_live() && other.addresses.peer == me.addresses.peer;
        if clashes && me.is_live() && other.incarnation >= me.incarnation {
            let incarnation = Incarnation(other.incarnation.0.saturating_add(1));
            self.restate(|me| me.incarnation = incarnation);
        }
    }

    /// Of two live members at one address the one with the higher incarnation stays; the process
    /// that really listens there raises its own above the other's.
    fn settle_rival(&mut self, now: Time, member: &Arc<Member>) -> Arc<Member> {
        let rival = self
            .table
            .live_member_at(member.addresses.peer)
            .filter(|id| member.is_live() && *id != member.id)
            .and_then(|id| self.table.get(id).cloned());
        let Some(rival) = rival else {
            return Arc::clone(member);
        };
        if (rival.incarnation, rival.id) > (member.incarnation, member.id) {
            return with_status(member, Status::Dead);
        }
        self.claim(now, &rival, Status::Dead);
        Arc::clone(member)
    }

    /// Counts a further source of a suspicion; tells whether the statement needs nothing else.
    fn confirm(&mut self, update: &Update) -> bool {
        let member = &update.member;
        let same = member.status == Status::Suspect
            && self.table.get(member.id).is_some_and(|known| {
                known.status == Status::Suspect && known.incarnation == member.incarnation
            });
        let suspicion = self.suspicions.iter_mut().find(|it| it.id == member.id);
        if same && suspicion.is_some_and(|it| it.confirm(update.source)) {
            self.rumors
                .add(member.id, update.source, self.table.live_count());
        }
        same
    }

    /// Puts a statement into the table; tells whether it was news.
    fn store(&mut self, now: Time, member: Arc<Member>, source: NodeId) -> bool {
        let (id, status) = (member.id, member.status);
        let was_live = self.table.get(id).is_some_and(|known| known.is_live());
        let merge = self.table.merge(member);
        if merge == MergeOutcome::Unchanged {
            return false;
        }
        self.changed |= merge == MergeOutcome::RoutingChanged;
        self.suspicions.retain(|it| it.id != id);
        if matches!(status, Status::Alive | Status::Suspect) {
            if !was_live {
                self.ended.retain(|(ended, _)| *ended != id);
                self.probing.add_target(id);
            }
            if status == Status::Suspect {
                self.suspicions.push(Suspicion::new(id, now, source));
            }
        } else {
            self.ended.retain(|(ended, _)| *ended != id);
            self.ended.push((id, now));
        }
        true
    }

    /// States something about another member that this node has found out itself.
    pub(crate) fn claim(&mut self, now: Time, member: &Arc<Member>, status: Status) {
        if self.store(now, with_status(member, status), self.me) {
            self.rumors
                .replace(member.id, self.me, self.table.live_count());
        }
    }

    /// Suspects a member, or confirms the suspicion of others.
    pub(crate) fn suspect(&mut self, now: Time, id: NodeId) {
        let Some(member) = self.table.get(id).filter(|it| it.is_live()).cloned() else {
            return;
        };
        if member.status == Status::Alive {
            self.claim(now, &member, Status::Suspect);
        } else {
            let source = self.me;
            self.confirm(&Update { member, source });
        }
    }

    pub(crate) fn expire_suspicions(&mut self, now: Time) {
        let due: Vec<NodeId> = self
            .suspicions
            .iter()
            .filter(|it| self.due_of(it) <= now)
            .map(|it| it.id)
            .collect();
        self.suspicions.retain(|it| !due.contains(&it.id));
        for id in due {
            if let Some(member) = self.table.get(id).cloned() {
                self.claim(now, &member, Status::Dead);
            }
        }
    }

    /// Forgets members that ended long ago.
    pub(crate) fn forget_ended(&mut self, now: Time) {
        let (table, parameters) = (&mut self.table, &self.parameters);
        self.ended.retain(|(id, since)| {
            let Some(member) = table.get(*id) else {
                return false;
            };
            let replaced = table.live_member_at(member.addresses.peer).is_some();
            let keep = match member.status {
                Status::Dead if !replaced => parameters.dead_retention,
                _ => parameters.left_retention,
            };
            let kept = now.since(*since) < keep;
            if !kept {
                table.remove(*id);
            }
            kept
        });
    }
}

fn with_status(member: &Arc<Member>, status: Status) -> Arc<Member> {
    let mut member = Arc::clone(member);
    Arc::make_mut(&mut member).status = status;
    member
}
