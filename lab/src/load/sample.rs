//! Outcomes of single requests, and their summary by rank.

use std::fmt;

use hdrhistogram::Histogram;

/// Outcome of one request as the load generator observes it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    /// A complete and intact response to this request.
    Good,
    /// A response with another status than 200.
    ///
    /// `verdict` and `reason` are the values of the response headers `medlar-verdict` and
    /// `medlar-reason`; without these headers they are `none` and `status-` with the status code.
    Refused { verdict: String, reason: String },
    /// The connection broke before the response was complete.
    ConnectionBroken,
    /// The checksum of the body does not match, since the body was cut short or altered.
    Corrupted,
    /// The response belongs to another request.
    Mismatched,
    /// No complete response within the route's deadline and the generator's grace period.
    TimedOut,
    /// No entry could be reached; nothing was sent.
    Unreachable,
    /// The generator had too many requests in flight; nothing was sent.
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

/// Measurement of one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sample {
    /// Number that the generator gave the request, unique among the requests of that generator.
    pub request_number: u64,
    /// Index of the request's load profile.
    pub profile_index: usize,
    pub rank: u8,
    pub idempotent: bool,
    /// Index of the entry that was tried last; 0 if none was tried.
    pub entry_index: usize,
    /// Scheduled time by the wall clock, in microseconds since 1970.
    pub scheduled_us: u64,
    /// Time from the scheduled time to the end of the response, in microseconds.
    pub latency_us: u64,
    pub outcome: Outcome,
}

/// Summary of the requests of one rank.
#[derive(Clone, Debug)]
pub struct RankSummary {
    pub rank: u8,
    /// Number of scheduled requests, whether they were sent or not.
    pub offered: u64,
    /// Number of requests with the outcome [`Outcome::Good`].
    pub good: u64,
    /// Number of requests for each other outcome, sorted by outcome.
    pub other_outcomes: Vec<(Outcome, u64)>,
    /// Median latency of the good responses.
    pub p50_ms: f64,
    /// 99th percentile of the latency of the good responses.
    pub p99_ms: f64,
}

/// Summarizes the requests of each rank, sorted by rank.
pub fn summarize_by_rank(samples: &[Sample]) -> Vec<RankSummary> {
    let mut ranks: Vec<u8> = samples.iter().map(|it| it.rank).collect();
    ranks.sort_unstable();
    ranks.dedup();
    ranks
        .into_iter()
        .map(|rank| summarize_rank(rank, samples.iter().filter(|it| it.rank == rank)))
        .collect()
}

fn summarize_rank<'a>(rank: u8, samples: impl Iterator<Item = &'a Sample>) -> RankSummary {
    // Latencies from 1 us to 1 h with 3 significant digits. These bounds are valid, so the
    // constructor does not fail.
    let mut latencies = Histogram::<u64>::new_with_bounds(1, 3_600_000_000, 3)
        .expect("the histogram's bounds are valid");
    let mut offered = 0;
    let mut other_outcomes: Vec<(Outcome, u64)> = Vec::new();
    for sample in samples {
        offered += 1;
        if sample.outcome == Outcome::Good {
            latencies.saturating_record(sample.latency_us);
            continue;
        }
        match other_outcomes.binary_search_by(|(outcome, _)| outcome.cmp(&sample.outcome)) {
            Ok(index) => other_outcomes[index].1 += 1,
            Err(index) => other_outcomes.insert(index, (sample.outcome.clone(), 1)),
        }
    }
    let latency_ms = |quantile| latencies.value_at_quantile(quantile) as f64 / 1_000.0;
    RankSummary {
        rank,
        offered,
        good: latencies.len(),
        other_outcomes,
        p50_ms: latency_ms(0.5),
        p99_ms: latency_ms(0.99),
    }
}

impl RankSummary {
    /// Returns the share of the offered requests that had good responses, from 0 to 1.
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
        let other_outcomes: Vec<String> = self
            .other_outcomes
            .iter()
            .map(|(outcome, count)| format!("{outcome} {count}"))
            .collect();
        write!(f, " {} |", other_outcomes.join(", "))
    }
}

/// Header of a Markdown table whose rows are [`RankSummary`]s.
pub const SUMMARY_HEADER: &str = "| rank | offered | good | good share | p50 ms | p99 ms | not good |\n\
                        |---|---|---|---|---|---|---|";
