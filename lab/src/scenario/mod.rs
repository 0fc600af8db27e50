//! Scenarios that the lab runs, one module for each verb of the command line.

pub mod converge;
pub mod demo;
pub mod overload;
pub mod soak;

/// Returns the nearest-rank quantile: the smallest value that at least `fraction` (0 to 1) of the
/// sorted values do not exceed. Returns 0 if there are no values.
pub fn quantile(sorted: &[f64], fraction: f64) -> f64 {
    if sorted.is_empty() {
        return 0.0;
    }
    let rank = (fraction * sorted.len() as f64).ceil() as usize;
    sorted[rank.clamp(1, sorted.len()) - 1]
}

/// Returns the median and the maximum of the values.
pub fn median_and_max(values: &[f64]) -> (f64, f64) {
    let mut sorted = values.to_vec();
    sorted.sort_unstable_by(f64::total_cmp);
    (quantile(&sorted, 0.5), quantile(&sorted, 1.0))
}
