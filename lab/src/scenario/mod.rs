//! What the lab measures, one module a verb.

pub mod converge;
pub mod demo;
pub mod overload;
pub mod soak;

/// The value below which a share of the sorted values lies; 0 if there are none.
pub fn quantile(sorted: &[f64], share: f64) -> f64 {
    if sorted.is_empty() {
        return 0.0;
    }
    let rank = (share * sorted.len() as f64).ceil() as usize;
    sorted[rank.clamp(1, sorted.len()) - 1]
}

/// Median and worst of some runs.
pub fn median_and_worst(values: &[f64]) -> (f64, f64) {
    let mut sorted = values.to_vec();
    sorted.sort_unstable_by(f64::total_cmp);
    (quantile(&sorted, 0.5), quantile(&sorted, 1.0))
}
