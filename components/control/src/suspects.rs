//! Spreading of what the nodes know of suspect requests, those that crash upstreams.
//!
//! News is pushed to some random members at once, and each of them pushes it on. While a request is suspect in
//! more than one crash, each node repeats its reports to random members, so that nodes that missed the news
//! or have just started know it within a second or two.

use std::time::Duration;

use ids::Fingerprint;
use ids::NodeId;
use kernel::Time;
use quarantine::Crash;
use quarantine::Merge;
use quarantine::Report;
use quarantine::Table;

/// Delay of a push after the first news, so that the requests of one crash are pushed together.
const PUSH_DELAY: Duration = Duration::from_millis(5);
/// Number of members to which news is pushed.
const PUSH_FANOUT: usize = 4;
/// Interval between two repetitions of the reports.
const REPEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Number of members to which the reports are repeated each time. On average each node hears from as many.
const REPEAT_FANOUT: usize = 2;

/// Reports to send, and to how many members.
pub(crate) struct Push {
    pub(crate) reports: Vec<Report>,
    pub(crate) fanout: usize,
}

/// The suspect requests that this node knows, and what it has to tell others.
#[derive(Debug)]
pub(crate) struct Suspects {
    own_id: NodeId,
    table: Table,
    /// Requests about which there is news that was not pushed yet.
    news: Vec<Fingerprint>,
    push_due: Option<Time>,
    repeat_due: Option<Time>,
}

impl Suspects {
    pub(crate) fn new(own_id: NodeId) -> Self {
        Self {
            own_id,
            table: Table::new(own_id),
            news: Vec::new(),
            push_due: None,
            repeat_due: None,
        }
    }

    pub(crate) fn table(&self) -> &Table {
        &self.table
    }

    /// Records that the request ran at the own upstream when that crashed. Returns whether this is news.
    pub(crate) fn record_crash(
        &mut self,
        now: Time,
        fingerprint: Fingerprint,
        number: u32,
    ) -> bool {
        let crash = Crash {
            node: self.own_id,
            number,
        };
        let is_news = self.table.record_crash(now, fingerprint, crash);
        self.add_news(now, is_news, fingerprint)
    }

    /// Records that the request has completed at the own upstream. Returns whether this is news.
    pub(crate) fn record_completion(&mut self, now: Time, fingerprint: Fingerprint) -> bool {
        let is_news = self.table.record_completion(now, fingerprint);
        self.add_news(now, is_news, fingerprint)
    }

    /// Merges the reports of another node. Returns whether they contain news, and the reports that the
    /// other node lacks.
    pub(crate) fn merge(&mut self, now: Time, reports: Vec<Report>) -> (bool, Vec<Report>) {
        let (mut has_news, mut replies) = (false, Vec::new());
        for report in reports {
            let fingerprint = report.fingerprint;
            match self.table.merge(now, report) {
                Merge::News => has_news |= self.add_news(now, true, fingerprint),
                Merge::Known => {}
                Merge::Outdated => replies.extend(self.table.report(now, fingerprint)),
            }
        }
        (has_news, replies)
    }

    fn add_news(&mut self, now: Time, is_news: bool, fingerprint: Fingerprint) -> bool {
        if is_news {
            if !self.news.contains(&fingerprint) {
                self.news.push(fingerprint);
            }
            self.push_due.get_or_insert(now + PUSH_DELAY);
            self.repeat_due.get_or_insert(now + REPEAT_INTERVAL);
        }
        is_news
    }

    /// When [`Self::wake`] is due next.
    pub(crate) fn next_wake(&self) -> Option<Time> {
        self.push_due.into_iter().chain(self.repeat_due).min()
    }

    /// Returns what has to be sent now.
    pub(crate) fn wake(&mut self, now: Time) -> Vec<Push> {
        let mut pushes = Vec::new();
        if self.push_due.is_some_and(|due| due <= now) {
            let news = std::mem::take(&mut self.news);
            let reports: Vec<Report> = news
                .iter()
                .filter_map(|it| self.table.report(now, *it))
                .collect();
            self.push_due = None;
            pushes.extend(reports.chunks(Report::MAX_PER_MESSAGE).map(|chunk| Push {
                reports: chunk.to_vec(),
                fanout: PUSH_FANOUT,
            }));
        }
        if self.repeat_due.is_some_and(|due| due <= now) {
            self.table.expire(now);
            let mut reports = self.table.repeated_suspects(now);
            reports.truncate(Report::MAX_PER_MESSAGE);
            self.repeat_due = (!reports.is_empty()).then_some(now + REPEAT_INTERVAL);
            pushes.extend(self.repeat_due.map(|_| Push {
                reports,
                fanout: REPEAT_FANOUT,
            }));
        }
        pushes
    }
}
