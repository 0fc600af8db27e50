//! Share of the slot time that is reserved for levels below the most urgent one with waiting
//! requests.
//!
//! Each request of the most urgent level that runs earns the lower levels a credit in slot time, so
//! that long requests of lower levels do not use more than that share. A second, smaller credit
//! applies while the share would delay urgent requests that can still be served.

/// Default percentage of the slot time that lower levels keep while urgent requests exceed the
/// capacity or hardly wait.
pub(crate) const DEFAULT_PERCENT: u64 = 5;
/// Greatest percentage of the slot time that lower levels keep while urgent requests wait but are
/// not refused, so that urgent requests keep 99% of their goodput.
const CONTENDED_PERCENT: f64 = 1.0;
/// Bound on the saved credit, in requests of mean cost; a higher bound would let lower levels
/// occupy all slots at once.
const MAX_CREDIT_REQUESTS: f64 = 2.0;

/// Credits of the lower levels, in microseconds of slot time; negative after a long request.
#[derive(Debug)]
pub(crate) struct LowRankShare {
    percent: f64,
    /// Earned at `percent`.
    base_credit: f64,
    /// Earned at [`CONTENDED_PERCENT`] or `percent`, whichever is lower.
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

    /// Fraction of the slot time that lower levels keep; `contended` if many urgent requests
    /// wait and few are refused.
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

    /// Adds the credit for an urgent request that ran while requests of lower levels waited.
    pub(crate) fn earn(&mut self, cost: f64, mean_cost: f64) {
        let max_credit = mean_cost * MAX_CREDIT_REQUESTS;
        let earned = |percent: f64| cost * percent / (100.0 - percent);
        self.base_credit = (self.base_credit + earned(self.percent)).min(max_credit);
        let contended_earned = earned(self.percent.min(CONTENDED_PERCENT));
        self.contended_credit = (self.contended_credit + contended_earned).min(max_credit);
    }

    /// Charges a request of a lower level that ran although urgent requests waited.
    pub(crate) fn spend(&mut self, cost: f64) {
        self.base_credit -= cost;
        self.contended_credit = (self.contended_credit - cost).max(-cost);
    }
}
