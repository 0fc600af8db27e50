//! Outcomes of requests and their summary by rank.

use std::fmt;

use hdrhistogram::Histogram;

/// What became of one request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    /// The whole answer to this request.
    Good,
    /// An answer that says why not.
    Refused { verdict: String, reason: String },
    /// The connection broke before the answer was complete.
    ConnectionBroken,
    /// The answer is shorter than it says or was altered.
    Corrupted,
    /// The answer belongs to another request.
    Mismatched,
    /// No answer within the generator's bound.
    TimedOut,
    /// No entry could be connected to; nothing was sent.
    Unreachable,
    /// The generator had too many requests open; nothing was sent.
    GeneratorOverloaded,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Good => f.write_str("good"),
            Self::Refused { verdict, reason } => write!(f, "{reason}/{verdict}"),
            Self::ConnectionBroken => f.write_str("broken"),
            Self::Corrupted => f.write_str("short"),
            Self::Mismatched => f.write_str("foreign"),
            Self::TimedOut => f.write_str("timed-out"),
            Self::Unreachable => f.write_str("unreachable"),
            Self::GeneratorOverloaded => f.write_str("overrun"),
        }
    }
}

/// One request with its outcome.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sample {
    pub request_number: u64,
    /// Index of the route in the plan.
    pub route: usize,
    pub rank: u8,
    pub idempotent: bool,
    /// Index of the entry that it was sent to.
    pub entry: usize,
    pub scheduled_us: u64,
    /// From the scheduled time to the end of the answer.
    pub latency_us: u64,
    pub outcome: Outcome,
}

/// Summary of the requests of one rank.
#[derive(Clone, Debug)]
pub struct RankSummary {
    pub rank: u8,
    pub offered: u64,
    pub good: u64,
    /// Sorted by class.
    pub others: Vec<(Outcome, u64)>,
    pub p50_ms: f64,
    pub p99_ms: f64,
}

/// Summaries by rank; latencies are those of good answers.
pub fn summarize_by_rank(samples: &[Sample]) -> Vec<RankSummary> {
    let mut ranks: Vec<u8> = samples.iter().map(|it| it.rank).collect();
    ranks.sort_unstable();
    ranks.dedup();
    ranks
        .into_iter()
        .map(|rank| summarise_rank(rank, samples.iter().filter(|it| it.rank == rank)))
        .collect()
}

fn summarise_rank<'a>(rank: u8, samples: impl Iterator<Item = &'a Sample>) -> RankSummary {
    // 1 us to 1 h with 3 digits; the bounds are valid, so this does not fail.
    let mut latencies = Histogram::<u64>::new_with_bounds(1, 3_600_000_000, 3)
        .expect("the histogram's bounds are valid");
    let mut offered = 0;
    let mut others: Vec<(Outcome, u64)> = Vec::new();
    for sample in samples {
        offered += 1;
        if sample.outcome == Outcome::Good {
            latencies.saturating_record(sample.latency_us);
            continue;
        }
        match others.binary_search_by(|(outcome, _)| outcome.cmp(&sample.outcome)) {
            Ok(at) => others[at].1 += 1,
            Err(at) => others.insert(at, (sample.outcome.clone(), 1)),
        }
    }
    let at = |quantile| latencies.value_at_quantile(quantile) as f64 / 1_000.0;
    RankSummary {
        rank,
        offered,
        good: latencies.len(),
        others,
        p50_ms: at(0.5),
        p99_ms: at(0.99),
    }
}

impl RankSummary {
    /// Good answers as a share of the offered requests.
    pub fn good_share(&self) -> f64 {
        self.good as f64 / self.offered.max(1) as f64
    }
}

impl fmt::Display for RankSummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "| {} | {} | {} | {:.1}% | {:.1} | {:.1} |",
            self.rank,
            self.offered,
            self.good,
            self.good_share() * 100.0,
            self.p50_ms,
            self.p99_ms
        )?;
        let others: Vec<String> = self
            .others
            .iter()
            .map(|(outcome, count)| format!("{outcome} {count}"))
            .collect();
        write!(f, " {} |", others.join(", "))
    }
}

/// Head of a table of [`Row`]s.
pub const SUMMARY_HEADER: &str = "| rank | offered | good | good share | p50 ms | p99 ms | not good |\n\
                        |---|---|---|---|---|---|---|";
