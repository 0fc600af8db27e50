//! Share of the slot time that is reserved for levels below the most urgent one with waiting
//! requests.
//!
//! Each request of the most urgent level that runs adds to a credit in slot time, and each request
//! of a lower level that runs before it is charged to this credit. Long requests of lower levels
//! thus use no more than the share. A second, smaller credit applies while the full share would
//! delay urgent requests that could be served in time.

/// Default percentage of the slot time that is reserved for lower levels, while urgent requests
/// exceed the capacity or hardly wait.
pub(crate) const DEFAULT_PERCENT: u64 = 5;
/// Maximum percentage of the slot time that is reserved for lower levels while urgent requests wait
/// but are not refused, so that urgent requests keep 99% of their goodput.
const CONTENDED_PERCENT: f64 = 1.0;
/// Maximum credit, in requests of mean cost; a higher maximum would let lower levels occupy all
/// slots at once.
const MAX_CREDIT_REQUESTS: f64 = 2.0;

/// Credits of the lower levels, in microseconds of slot time; negative after a long request.
#[derive(Debug)]
pub(crate) struct LowRankShare {
    percent: f64,
    /// Credit that grows by `percent` of the slot time.
    base_credit: f64,
    /// Credit that grows by [`CONTENDED_PERCENT`] or `percent` of the slot time, whichever is
    /// lower.
    contended_credit: f64,
}

impl LowRankShare {
    pub(crate) fn new(percent: u64) -> Self {
        Self {
            percent: percent.min(50) as f64,
            base_credit: 0.0,
            contended_credit: 0.0,
        }
    }

    /// Fraction of the slot time that is reserved for lower levels; `contended` if many urgent
    /// requests wait and few are refused.
    pub(crate) fn fraction(&self, contended: bool) -> f64 {
        let percent = if contended {
            self.percent.min(CONTENDED_PERCENT)
        } else {
            self.percent
        };
        percent.max(f64::EPSILON) / 100.0
    }

    /// Whether the credit suffices for a request of this cost.
    pub(crate) fn can_afford(&self, cost: f64, mean_cost: f64, contended: bool) -> bool {
        let credit = if contended {
            self.contended_credit
        } else {
            self.base_credit
        };
        credit > 0.0 && credit >= cost.min(mean_cost * MAX_CREDIT_REQUESTS)
    }

    /// Increases the credit, because an urgent request starts while requests of lower levels wait.
    /// `cost` is the cost of the urgent request.
    pub(crate) fn earn(&mut self, cost: f64, mean_cost: f64) {
        let max_credit = mean_cost * MAX_CREDIT_REQUESTS;
        let earned = |percent: f64| cost * percent / (100.0 - percent);
        self.base_credit = (self.base_credit + earned(self.percent)).min(max_credit);
        let contended_earned = earned(self.percent.min(CONTENDED_PERCENT));
        self.contended_credit = (self.contended_credit + contended_earned).min(max_credit);
    }

    /// Reduces the credit by the cost of a request of a lower level that starts before urgent
    /// requests.
    pub(crate) fn spend(&mut self, cost: f64) {
        self.base_credit -= cost;
        self.contended_credit = (self.contended_credit - cost).max(-cost);
    }
}
