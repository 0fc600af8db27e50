//! The suspect requests that a node knows.

use std::time::Duration;

use crate::Crash;
use crate::Entry;
use crate::Report;
use crate::View;
use ids::Fingerprint;
use ids::NodeId;
use kernel::Time;

/// Backoff after the first, the second and the third crash: time in which no node runs the request again. A
/// request that merely ran at an upstream which another one crashed is rarely suspect twice, so the first
/// backoff only lasts until the requests of the crash have been retried. After the third crash, the next run
/// is a trial.
const BACKOFFS: [Duration; Report::MAX_CRASHES] = [
    Duration::from_millis(300),
    Duration::from_secs(10),
    Duration::from_secs(600),
];
/// Factor by which a node's backoffs are longer at most, so that the nodes do not all run the request again
/// at the same moment.
const MAX_STRETCH: f64 = 2.0;
/// Number of different factors.
const STRETCH_STEPS: u64 = 1_000;
/// Time after which a record is removed. It exceeds the longest backoff, so that a request which crashes
/// the upstream of its trial gets the longest backoff again.
const RETENTION: Duration = Duration::from_secs(1_800);
/// Maximum number of records. A crash adds one for each request that ran at the upstream.
const MAX_RECORDS: usize = 1_024;
/// Difference between the ages of two reports from which the younger one is news. Smaller ones arise from
/// the time that reports take.
const MIN_AGE_DIFFERENCE: Duration = Duration::from_secs(2);

/// What a report of another node told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Merge {
    /// The report contains news.
    News,
    /// The report contains nothing new.
    Known,
    /// The request was cleared since.
    Outdated,
}

/// What a node knows of one suspect request.
#[derive(Clone, Debug)]
struct Record {
    fingerprint: Fingerprint,
    clearances: u32,
    /// Sorted.
    crashes: Vec<Crash>,
    /// Time of the latest crash, or of the clearance if there is none, in microseconds on the clock of the
    /// process. Negative if that was before the process started: a later time would prolong the backoff at
    /// each node that starts.
    changed_at: i64,
}

/// Suspect requests, with the crashes at which they ran.
#[derive(Clone, Debug)]
pub struct Table {
    /// Sorted by fingerprint.
    records: Vec<Record>,
    /// Factor from 1 to [`MAX_STRETCH`] by which this node lengthens the backoffs.
    stretch: f64,
}

impl Table {
    /// Creates the empty table of the node `own_id`, which is random.
    pub fn new(own_id: NodeId) -> Self {
        let step = (own_id.0 % STRETCH_STEPS) as f64 / STRETCH_STEPS as f64;
        Self {
            records: Vec::new(),
            stretch: 1.0 + step * (MAX_STRETCH - 1.0),
        }
    }

    /// Records that the request ran at an upstream that crashed. Returns whether the record has changed.
    pub fn record_crash(&mut self, now: Time, fingerprint: Fingerprint, crash: Crash) -> bool {
        let clearances = self.get(fingerprint).map_or(0, |record| record.clearances);
        let report = Report {
            fingerprint,
            clearances,
            crashes: vec![crash],
            age: Duration::ZERO,
        };
        self.merge(now, report) == Merge::News
    }

    /// Clears a request that has completed. Returns whether it was suspect.
    pub fn record_completion(&mut self, now: Time, fingerprint: Fingerprint) -> bool {
        let Ok(index) = self.position(fingerprint) else {
            return false;
        };
        let record = &mut self.records[index];
        if record.crashes.is_empty() {
            return false;
        }
        record.clearances = record.clearances.saturating_add(1);
        record.crashes.clear();
        record.changed_at = to_micros(now);
        true
    }

    /// Merges the report of another node.
    pub fn merge(&mut self, now: Time, report: Report) -> Merge {
        if report.age >= RETENTION {
            return Merge::Known;
        }
        let changed_at = to_micros(now).saturating_sub(duration_micros(report.age));
        let Ok(index) = self.position(report.fingerprint) else {
            let is_kept = self.insert(Record {
                fingerprint: report.fingerprint,
                clearances: report.clearances,
                crashes: limit_crashes(report.crashes),
                changed_at,
            });
            return if is_kept { Merge::News } else { Merge::Known };
        };
        let record = &mut self.records[index];
        if report.clearances < record.clearances {
            return Merge::Outdated;
        }
        if report.clearances > record.clearances {
            record.clearances = report.clearances;
            record.crashes = limit_crashes(report.crashes);
            record.changed_at = changed_at;
            return Merge::News;
        }
        let known = record.crashes.len();
        let mut crashes = std::mem::take(&mut record.crashes);
        crashes.extend(report.crashes);
        record.crashes = limit_crashes(crashes);
        // Crashes beyond the maximum are not kept, so that only the age tells of a new one.
        let is_later = changed_at > record.changed_at + duration_micros(MIN_AGE_DIFFERENCE);
        if record.crashes.len() > known || is_later {
            record.changed_at = record.changed_at.max(changed_at);
            return Merge::News;
        }
        Merge::Known
    }

    /// Reports on the requests that are suspect in two crashes or more, so that chance hardly explains it:
    /// those with the most crashes first, and of these the latest first.
    pub fn repeated_suspects(&self, now: Time) -> Vec<Report> {
        let records = self.records.iter();
        let mut records: Vec<&Record> = records.filter(|it| it.crashes.len() > 1).collect();
        records.sort_by_key(|it| std::cmp::Reverse((it.crashes.len(), it.changed_at)));
        let reports = records.into_iter().map(|it| it.report(now));
        reports.collect()
    }

    /// Report on one request; `None` if it is unknown.
    pub fn report(&self, now: Time, fingerprint: Fingerprint) -> Option<Report> {
        Some(self.get(fingerprint)?.report(now))
    }

    /// Number of suspect and cleared requests.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there is no suspect or cleared request.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Removes the records that are too old.
    pub fn expire(&mut self, now: Time) {
        self.records.retain(|it| it.age(now) < RETENTION);
    }

    /// The suspect requests, for the traffic threads.
    pub fn view(&self) -> View {
        let suspects = self.records.iter().filter(|it| !it.crashes.is_empty());
        View::new(suspects.map(|it| self.entry(it)).collect())
    }

    fn entry(&self, record: &Record) -> Entry {
        let last = BACKOFFS.len() - 1;
        let backoff = BACKOFFS[record.crashes.len().saturating_sub(1).min(last)];
        let held_until = record.changed_at + duration_micros(backoff.mul_f64(self.stretch));
        Entry {
            fingerprint: record.fingerprint,
            crashes: record.crashes.len(),
            held_until: Time(u64::try_from(held_until).unwrap_or(0)),
        }
    }

    /// Inserts a record; if there are too many, the one with the fewest crashes and of these the oldest is
    /// removed. Returns whether the record is kept.
    fn insert(&mut self, record: Record) -> bool {
        let fingerprint = record.fingerprint;
        if let Err(index) = self.position(fingerprint) {
            self.records.insert(index, record);
        }
        if self.records.len() > MAX_RECORDS {
            let records = self.records.iter().enumerate();
            let least = records.min_by_key(|(_, it)| (it.crashes.len(), it.changed_at));
            if let Some(index) = least.map(|(index, _)| index) {
                self.records.remove(index);
            }
        }
        self.position(fingerprint).is_ok()
    }

    fn get(&self, fingerprint: Fingerprint) -> Option<&Record> {
        self.position(fingerprint)
            .ok()
            .map(|index| &self.records[index])
    }

    fn position(&self, fingerprint: Fingerprint) -> Result<usize, usize> {
        self.records
            .binary_search_by_key(&fingerprint, |it| it.fingerprint)
    }
}

impl Record {
    fn report(&self, now: Time) -> Report {
        Report {
            fingerprint: self.fingerprint,
            clearances: self.clearances,
            crashes: self.crashes.clone(),
            age: self.age(now),
        }
    }

    /// Time since the latest crash, or since the clearance.
    fn age(&self, now: Time) -> Duration {
        let micros = to_micros(now).saturating_sub(self.changed_at);
        Duration::from_micros(u64::try_from(micros).unwrap_or(0))
    }
}

fn to_micros(time: Time) -> i64 {
    i64::try_from(time.0).unwrap_or(i64::MAX)
}

fn duration_micros(duration: Duration) -> i64 {
    i64::try_from(duration.as_micros()).unwrap_or(i64::MAX)
}

/// Sorts the crashes, and drops repeated ones and those beyond the maximum.
fn limit_crashes(mut crashes: Vec<Crash>) -> Vec<Crash> {
    crashes.sort_unstable();
    crashes.dedup();
    crashes.truncate(Report::MAX_CRASHES);
    crashes
}
