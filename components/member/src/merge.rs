//! Rules by which updates change the member table.

use std::sync::Arc;

use crate::Machine;
use crate::Member;
use crate::MergeOutcome;
use crate::Status;
use crate::Update;
use crate::suspicion::Suspicion;
use crate::suspicion::min_suspicion_timeout;
use ids::Incarnation;
use ids::NodeId;
use kernel::Time;

impl Machine {
    /// Applies an update from a message.
    pub(crate) fn apply_update(&mut self, now: Time, update: &Update) {
        let member = &update.member;
        if member.id == self.own_id {
            self.refute(member);
            return;
        }
        // Nodes remove a dead or left member at different times. If a node could learn of the member
        // again from a node that still lists it, the member would never disappear.
        if !member.is_live() && self.table.get(member.id).is_none() {
            return;
        }
        if member.status == Status::Dead && self.is_premature_death(now, member) {
            self.treat_death_as_suspicion(now, update);
            return;
        }
        self.reclaim_own_address(member);
        if self.confirm_suspicion(update) {
            return;
        }
        self.merge_and_queue(now, member, update.source);
    }

    /// Merges an update into the table and queues it for other nodes if it changes the table.
    fn merge_and_queue(&mut self, now: Time, member: &Arc<Member>, source: NodeId) {
        let resolved = self.resolve_address_conflict(now, member);
        if self.merge_into_table(now, resolved, source) {
            self.update_queue
                .replace(member.id, source, self.table.live_count());
        }
    }

    /// Whether an update declares a live member dead before the member has had the minimum suspicion
    /// timeout to refute.
    fn is_premature_death(&self, now: Time, dead: &Member) -> bool {
        let known = self.table.get(dead.id);
        if known.is_none_or(|known| !known.is_live() || !dead.overrides(known)) {
            return false;
        }
        let suspicion = self.suspicions.iter().find(|it| it.id == dead.id);
        let min_timeout =
            min_suspicion_timeout(self.parameters.suspicion_timeout, self.table.live_count());
        suspicion.is_none_or(|it| now.since(it.since) < min_timeout)
    }

    /// Treats an update that declares a member dead as a suspicion, because a node that was cut off
    /// declares members dead that other nodes can reach. The member is notified, so that it can refute
    /// at once.
    fn treat_death_as_suspicion(&mut self, now: Time, update: &Update) {
        let member = with_status(&update.member, Status::Suspect);
        let source = update.source;
        let update = Update { member, source };
        if !self.confirm_suspicion(&update) {
            self.merge_and_queue(now, &update.member, source);
            self.suspects_to_notify.push(update.member.id);
        }
    }

    /// Merges members from the table of another node and returns the number of changes. The changes are
    /// not queued for gossip: later comparisons with other nodes spread them, at a cost proportional to
    /// the difference between the tables.
    pub(crate) fn merge_synced_members(&mut self, now: Time, members: &[Arc<Member>]) -> usize {
        let mut changes = 0;
        for member in members {
            let known = self.table.get(member.id);
            match member.status {
                _ if member.id == self.own_id => self.refute(member),
                // The other node may have been cut off. A probe of the member decides whether it is
                // alive, so that a healed partition causes no false deaths.
                Status::Dead => {
                    if known.is_some_and(|known| known.is_live() && member.overrides(known)) {
                        self.queue_death_check(now, member);
                        changes += 1;
                    }
                }
                Status::Left => {
                    if known.is_some() && self.merge_into_table(now, Arc::clone(member), member.id)
                    {
                        changes += 1;
                    }
                }
                Status::Alive | Status::Suspect => {
                    let mut member = Arc::clone(member);
                    if member.status == Status::Suspect {
                        Arc::make_mut(&mut member).status = Status::Alive;
                    }
                    self.reclaim_own_address(&member);
                    let resolved = self.resolve_address_conflict(now, &member);
                    changes += usize::from(self.merge_into_table(now, resolved, member.id));
                }
            }
        }
        changes
    }

    /// Refutes an update about this node by another node: announces this node's state with a higher
    /// incarnation.
    fn refute(&mut self, update: &Member) {
        let Some(own) = self.table.get(self.own_id) else {
            return;
        };
        if update.overrides(own) {
            if update.status != Status::Alive {
                self.local_health.worsen();
            }
            let incarnation = Incarnation(update.incarnation.0.saturating_add(1));
            self.update_self(|own| own.incarnation = incarnation);
        }
    }

    /// Raises the incarnation of this node above that of an earlier process that is still listed as
    /// live at the same address.
    fn reclaim_own_address(&mut self, other: &Member) {
        let Some(own) = self.table.get(self.own_id) else {
            return;
        };
        let conflicts = other.is_live() && other.addresses.peer == own.addresses.peer;
        if conflicts && own.is_live() && other.incarnation >= own.incarnation {
            let incarnation = Incarnation(other.incarnation.0.saturating_add(1));
            self.update_self(|own| own.incarnation = incarnation);
        }
    }

    /// Of two live members at one address, declares the one with the lower incarnation dead. The
    /// process that listens at the address raises its incarnation above that of the other member, so it
    /// is the one that stays. Returns the state in which `member` is to be merged.
    fn resolve_address_conflict(&mut self, now: Time, member: &Arc<Member>) -> Arc<Member> {
        let other = self
            .table
            .live_member_at(member.addresses.peer)
            .filter(|id| member.is_live() && *id != member.id)
            .and_then(|id| self.table.get(id).cloned());
        let Some(other) = other else {
            return Arc::clone(member);
        };
        if (other.incarnation, other.id) > (member.incarnation, member.id) {
            return with_status(member, Status::Dead);
        }
        self.declare(now, &other, Status::Dead);
        Arc::clone(member)
    }

    /// Adds the source of an update to the suspicion that the update confirms. Returns whether the
    /// update repeats a known suspicion and needs no merge.
    fn confirm_suspicion(&mut self, update: &Update) -> bool {
        let member = &update.member;
        let known_suspicion = member.status == Status::Suspect
            && self.table.get(member.id).is_some_and(|known| {
                known.status == Status::Suspect && known.incarnation == member.incarnation
            });
        let suspicion = self.suspicions.iter_mut().find(|it| it.id == member.id);
        if known_suspicion && suspicion.is_some_and(|it| it.confirm(update.source)) {
            self.update_queue
                .add(member.id, update.source, self.table.live_count());
        }
        known_suspicion
    }

    /// Merges an update into the table and adjusts probing and suspicions. Returns whether the table
    /// has changed.
    fn merge_into_table(&mut self, now: Time, member: Arc<Member>, source: NodeId) -> bool {
        let (id, status) = (member.id, member.status);
        let was_live = self.table.get(id).is_some_and(|known| known.is_live());
        let outcome = self.table.merge(member);
        if outcome == MergeOutcome::Unchanged {
            return false;
        }
        self.routing_changed |= outcome == MergeOutcome::RoutingChanged;
        self.suspicions.retain(|it| it.id != id);
        if matches!(status, Status::Alive | Status::Suspect) {
            if !was_live {
                self.ended_members.retain(|(ended, _)| *ended != id);
                self.probe_state.add_target(id);
            }
            if status == Status::Suspect {
                self.suspicions.push(Suspicion::new(id, now, source));
            }
        } else {
            self.ended_members.retain(|(ended, _)| *ended != id);
            self.ended_members.push((id, now));
        }
        true
    }

    /// Sets the status of another member, with this node as the source of the update, and queues the
    /// update.
    pub(crate) fn declare(&mut self, now: Time, member: &Arc<Member>, status: Status) {
        if self.merge_into_table(now, with_status(member, status), self.own_id) {
            self.update_queue
                .replace(member.id, self.own_id, self.table.live_count());
        }
    }

    /// Suspects a member, or confirms an existing suspicion.
    pub(crate) fn suspect(&mut self, now: Time, id: NodeId) {
        let Some(member) = self.table.get(id).filter(|it| it.is_live()).cloned() else {
            return;
        };
        if member.status == Status::Alive {
            self.declare(now, &member, Status::Suspect);
        } else {
            let source = self.own_id;
            self.confirm_suspicion(&Update { member, source });
        }
    }

    /// Declares the members dead that have not refuted a suspicion in time.
    pub(crate) fn expire_suspicions(&mut self, now: Time) {
        let expired: Vec<NodeId> = self
            .suspicions
            .iter()
            .filter(|it| self.suspicion_deadline(it) <= now)
            .map(|it| it.id)
            .collect();
        self.suspicions.retain(|it| !expired.contains(&it.id));
        for id in expired {
            if let Some(member) = self.table.get(id).cloned() {
                self.declare(now, &member, Status::Dead);
            }
        }
    }

    /// Removes members whose retention time after death or leaving is over.
    pub(crate) fn remove_ended_members(&mut self, now: Time) {
        let (table, parameters) = (&mut self.table, &self.parameters);
        self.ended_members.retain(|(id, since)| {
            let Some(member) = table.get(*id) else {
                return false;
            };
            let replaced = table.live_member_at(member.addresses.peer).is_some();
            let retention = match member.status {
                Status::Dead if !replaced => parameters.dead_retention,
                _ => parameters.left_retention,
            };
            let kept = now.since(*since) < retention;
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
