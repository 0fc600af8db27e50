//! What the entries have reported about an order, as its coordinator holds it.

use std::time::Duration;

use crate::Counts;
use crate::Judgement;
use crate::Phase;
use crate::Report;
use crate::Revision;
use crate::Tally;
use crate::judge;
use ids::NodeId;
use kernel::Time;

/// Span of the most recent outcomes that are judged by themselves, so that a version which turns bad late is not
/// judged by its good beginning.
const RECENT_SPAN: Duration = Duration::from_secs(2);
/// Shortest time between two of the totals that are kept for this.
const SNAPSHOT_INTERVAL: Duration = Duration::from_millis(500);
/// Largest number of nodes whose reports are kept.
const MAX_REPORTERS: usize = 4_000;

/// Newest report of each node about one order.
#[derive(Debug, Default)]
pub(crate) struct Evidence {
    order: Revision,
    /// Sorted by node.
    reports: Vec<(NodeId, Report)>,
    /// Totals of the last [`RECENT_SPAN`], with their time.
    snapshots: Vec<(Time, Vec<Tally>)>,
}

impl Evidence {
    /// Takes the report of a node. Its totals replace those of its earlier report.
    pub(crate) fn add(&mut self, report: Report) {
        if self.order != report.order {
            if self.order.number > report.order.number {
                return;
            }
            *self = Self {
                order: report.order,
                ..Self::default()
            };
        }
        match self.reports.binary_search_by_key(&report.node, |it| it.0) {
            Ok(index) => {
                let known = &mut self.reports[index].1;
                // A report that was overtaken on the way has smaller totals.
                if (report.state, report.sequence) > (known.state, known.sequence) {
                    *known = report;
                }
            }
            Err(_) if self.reports.len() >= MAX_REPORTERS => {}
            Err(index) => self.reports.insert(index, (report.node, report)),
        }
    }

    /// Whether each of these nodes has confirmed the state with this revision.
    pub(crate) fn is_confirmed(&self, order: Revision, state: Revision, live: &[NodeId]) -> bool {
        self.order.number == order.number
            && live.iter().all(|node| {
                let found = self.reports.binary_search_by_key(node, |it| it.0);
                found.is_ok_and(|index| self.reports[index].1.state == state)
            })
    }

    /// Whether a node has seen that the target is bad.
    pub(crate) fn is_halted(&self, order: Revision) -> bool {
        self.order.number == order.number && self.reports.iter().any(|(_, it)| it.halted)
    }

    /// Judges the target by all outcomes and by the recent ones.
    ///
    /// Once the target gets all requests there is nothing to compare its speed with, so that only failures count.
    pub(crate) fn judge(&mut self, now: Time, order: Revision, phase: Phase) -> Judgement {
        if self.order.number != order.number {
            return Judgement::Open;
        }
        let mut totals = self.sum();
        if phase == Phase::Promoting {
            totals.iter_mut().for_each(|it| it.counts.slow = 0);
        }
        let earlier = self.snapshots.first().map(|(_, tallies)| tallies);
        let recent = earlier.map(|earlier| subtract(&totals, earlier));
        let recent = recent.map_or(Judgement::Open, |recent| judge(&recent));
        let judgement = match (judge(&totals), recent) {
            (Judgement::Bad, _) | (_, Judgement::Bad) => Judgement::Bad,
            (total, _) => total,
        };
        self.take_snapshot(now, totals);
        judgement
    }

    fn sum(&self) -> Vec<Tally> {
        let mut sums: Vec<Tally> = Vec::new();
        for tally in self.reports.iter().flat_map(|(_, it)| &it.tallies) {
            add_tally(&mut sums, *tally);
        }
        sums
    }

    fn take_snapshot(&mut self, now: Time, totals: Vec<Tally>) {
        let is_due = self
            .snapshots
            .last()
            .is_none_or(|(at, _)| now.since(*at) >= SNAPSHOT_INTERVAL);
        if is_due {
            self.snapshots.push((now, totals));
        }
        let is_old = |at: Time| now.since(at) > RECENT_SPAN;
        while self.snapshots.len() > 1 && is_old(self.snapshots[1].0) {
            self.snapshots.remove(0);
        }
    }
}

fn add_tally(sums: &mut Vec<Tally>, tally: Tally) {
    let key = (tally.route, tally.canary);
    match sums.binary_search_by_key(&key, |it| (it.route, it.canary)) {
        Ok(index) => sums[index].counts.add(tally.counts),
        Err(index) => sums.insert(index, tally),
    }
}

fn subtract(totals: &[Tally], earlier: &[Tally]) -> Vec<Tally> {
    let rest = totals.iter().map(|tally| {
        let key = (tally.route, tally.canary);
        let known = earlier.binary_search_by_key(&key, |it| (it.route, it.canary));
        let known = known.map_or(Counts::default(), |index| earlier[index].counts);
        Tally {
            counts: tally.counts.since(known),
            ..*tally
        }
    });
    rest.collect()
}
