//! Choice of granters, delegation of the share, and requests to granters.

use crate::Ask;
use crate::Candidate;
use crate::DELEGATION_MARGIN;
use crate::DELEGATION_TIME;
use crate::GroupSet;
use crate::Holder;
use crate::MAX_ASKS;
use crate::Request;
use crate::Response;
use crate::demand::Demand;
use crate::group::group_of;
use crate::holder::AVOID_TIME;
use crate::holder::Effect;
use crate::holder::MAX_AVOIDED;
use crate::link::Link;
use ids::NodeId;
use kernel::Time;

impl Holder {
    /// Chooses a granter for each group that has none, and a better one for others. A share that a granter may still
    /// count is not delegated to another one, so a granter that does not respond keeps its group until then.
    pub(super) fn choose_granters(&mut self, now: Time, effects: &mut Vec<Effect>) {
        self.avoided.retain(|(_, until)| *until > now);
        for group in self.limits.groups().iter() {
            self.drop_lost_granter(now, group);
            match self.groups[group].granter {
                None => self.choose_granter(group, effects),
                Some(granter) => self.consider_move(now, group, granter, effects),
            }
        }
    }

    fn drop_lost_granter(&mut self, now: Time, group: usize) {
        let Some(granter) = self.groups[group].granter else {
            return;
        };
        let is_known = self.ranked[group].iter().any(|it| it.node == granter);
        let is_silent = self.link(granter).is_none_or(|it| it.is_silent(now));
        let may_count = self.groups[group]
            .counted
            .is_some_and(|(_, until)| until > now);
        if is_known && (!is_silent || may_count) {
            return;
        }
        (self.groups[group].granter, self.groups[group].release) = (None, None);
        if is_known {
            self.avoid(granter, now);
        }
    }

    fn choose_granter(&mut self, group: usize, effects: &mut Vec<Effect>) {
        let first = self
            .preferred(group)
            .or_else(|| self.ranked[group].first().copied());
        let Some(candidate) = first else {
            return;
        };
        self.ensure_link(candidate);
        self.groups[group].granter = Some(candidate.node);
        let before = self.groups[group].counted.map(|it| it.0);
        effects.push(Effect::GranterChanged {
            group,
            granter: candidate.node,
            silent: before.is_some_and(|before| before != candidate.node),
        });
    }

    /// Moves the group to the preferred candidate once that responds and the present granter has let go of the share.
    fn consider_move(
        &mut self,
        now: Time,
        group: usize,
        granter: NodeId,
        effects: &mut Vec<Effect>,
    ) {
        let Some(preferred) = self.preferred(group).filter(|it| it.node != granter) else {
            return;
        };
        self.ensure_link(preferred);
        let link = self.link(preferred.node);
        if link.is_some_and(|it| it.is_silent(now)) {
            return self.avoid(preferred.node, now);
        }
        if self.groups[group].release.is_some() || !link.is_some_and(|it| it.is_responsive(now)) {
            return;
        }
        // A granter before the present one may still count the share. The present one cannot release that.
        let may_count = self.groups[group]
            .counted
            .is_some_and(|(node, until)| node == granter && until > now);
        if may_count {
            self.groups[group].release = Some((0, preferred.node));
        } else {
            self.move_group(group, preferred.node, effects);
        }
    }

    /// Moves the group on from a granter that counts its share no longer.
    fn move_group(&mut self, group: usize, granter: NodeId, effects: &mut Vec<Effect>) {
        let delegation = &mut self.groups[group];
        let before = delegation.granter.replace(granter);
        delegation.counted = delegation.counted.filter(|it| Some(it.0) != before);
        delegation.release = None;
        let silent = false;
        effects.push(Effect::GranterChanged {
            group,
            granter,
            silent,
        });
    }

    /// Ends the delegations whose release a granter has confirmed by responding to a request without them.
    pub(super) fn complete_releases(&mut self, response: &Response, effects: &mut Vec<Effect>) {
        for group in 0..self.groups.len() {
            let delegation = self.groups[group];
            if delegation.granter == Some(response.granter)
                && let Some((number, next)) = delegation.release
                && number > 0
                && response.number >= number
            {
                self.move_group(group, next, effects);
            }
        }
    }

    /// Takes all groups back from a granter that leaves and counts nothing any more.
    pub(super) fn forget_granter(&mut self, now: Time, granter: NodeId) {
        for delegation in &mut self.groups {
            if delegation.counted.is_some_and(|(node, _)| node == granter) {
                delegation.counted = None;
            }
            if delegation.granter == Some(granter) {
                (delegation.granter, delegation.release) = (None, None);
            }
        }
        self.avoid(granter, now);
    }

    fn avoid(&mut self, granter: NodeId, now: Time) {
        self.avoided.retain(|(node, _)| *node != granter);
        if self.avoided.len() >= MAX_AVOIDED {
            self.avoided.remove(0);
        }
        self.avoided.push((granter, now + AVOID_TIME));
        let is_used = self.groups.iter().any(|it| it.granter == Some(granter));
        if !is_used {
            self.links.retain(|it| it.node != granter);
        }
    }

    fn preferred(&self, group: usize) -> Option<Candidate> {
        let is_avoided = |node| self.avoided.iter().any(|(it, _)| *it == node);
        self.ranked[group]
            .iter()
            .find(|it| !is_avoided(it.node))
            .copied()
    }

    fn link(&self, node: NodeId) -> Option<&Link> {
        self.find_link(node).ok().map(|index| &self.links[index])
    }

    fn ensure_link(&mut self, candidate: Candidate) {
        if let Err(index) = self.find_link(candidate.node) {
            self.links.insert(index, Link::new(candidate));
        }
    }

    /// Sends the requests that are due.
    pub(super) fn send_due(&mut self, now: Time, effects: &mut Vec<Effect>) {
        for index in 0..self.links.len() {
            let link = &self.links[index];
            let is_due = now >= link.next_heartbeat()
                || now >= link.next_urgent() && self.is_needed(now, link);
            if is_due {
                self.send(now, index, effects);
            }
        }
    }

    /// Whether a request to this granter has a use before the next heartbeat.
    fn is_needed(&self, now: Time, link: &Link) -> bool {
        let of_link = |it: &&Demand| self.granter_of(group_of(it.organisation)) == Some(link.node);
        self.is_delegation_due(now, link)
            || self
                .demands
                .iter()
                .filter(of_link)
                .any(|it| it.is_urgent(now) || it.is_low(now))
    }

    /// Whether a share is to be delegated to this granter, or taken back from it, by the next request.
    pub(super) fn is_delegation_due(&self, now: Time, link: &Link) -> bool {
        let is_fresh = link.is_responsive(now);
        self.limits.groups().iter().any(|group| {
            let delegation = &self.groups[group];
            let counts = |(node, until): (NodeId, Time)| node == link.node && until > now;
            let is_new = is_fresh
                && self.delegates(now, group, link)
                && !delegation.counted.is_some_and(counts);
            let is_release = delegation.release.is_some_and(|(number, _)| number == 0);
            delegation.granter == Some(link.node) && (is_new || is_release)
        })
    }

    /// Whether the next request to this granter delegates the share of a group.
    fn delegates(&self, now: Time, group: usize, link: &Link) -> bool {
        let delegation = &self.groups[group];
        let counted_elsewhere = delegation.counted;
        let counted_elsewhere =
            counted_elsewhere.is_some_and(|(node, until)| node != link.node && until > now);
        let may_delegate = self.view.may_delegate && now >= self.start && link.echo.is_some();
        may_delegate
            && delegation.granter == Some(link.node)
            && delegation.release.is_none()
            && !counted_elsewhere
    }

    fn send(&mut self, now: Time, index: usize, effects: &mut Vec<Effect>) {
        self.last_request += 1;
        let (number, granter) = (self.last_request, self.links[index].node);
        let shares = self.delegate(now, index, number);
        let asks = self.collect_asks(now, granter);
        let link = &mut self.links[index];
        link.record_sent(now, number);
        effects.push(Effect::Send {
            to: link.address,
            request: Request {
                holder: self.id,
                granter,
                number,
                echo: link.echo.map(|(reading, _)| reading),
                instances: self.view.instances,
                shares,
                asks,
            },
        });
    }

    /// Returns the groups that a request delegates. The granter may count them for [`DELEGATION_TIME`] from the reading
    /// that the request echoes, which was made before its response arrived here.
    fn delegate(&mut self, now: Time, index: usize, number: u64) -> GroupSet {
        let mut shares = GroupSet::default();
        for group in self.limits.groups().iter() {
            let link = &self.links[index];
            let node = link.node;
            if self.delegates(now, group, link)
                && let Some((_, heard)) = link.echo
            {
                shares.insert(group);
                let until = heard + DELEGATION_TIME + DELEGATION_MARGIN;
                self.groups[group].counted = Some((node, until));
            }
            let delegation = &mut self.groups[group];
            if delegation.granter == Some(node)
                && let Some((unsent @ 0, _)) = &mut delegation.release
            {
                *unsent = number;
            }
        }
        shares
    }

    /// Asks for the organisations of a granter, those with waiting requests first.
    fn collect_asks(&mut self, now: Time, granter: NodeId) -> Vec<Ask> {
        let groups = &self.groups;
        let of_granter = |it: &Demand| groups[group_of(it.organisation)].granter == Some(granter);
        let mut order: Vec<usize> = (0..self.demands.len())
            .filter(|index| of_granter(&self.demands[*index]))
            .collect();
        order.sort_by_key(|index| !self.demands[*index].is_urgent(now));
        let mut asks = Vec::new();
        for index in order {
            if asks.len() >= MAX_ASKS {
                break;
            }
            asks.extend(self.demands[index].make_ask(now, granter));
        }
        asks
    }
}
