//! Rate of requests that an upstream accepts.

use std::str::FromStr;
use std::time::Duration;

/// Thousandths in one request a second.
const THOUSANDTHS: f64 = 1_000.0;

/// A number of requests a second, with a resolution of one request in 1,000 s.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestRate {
    thousandths: u64,
}

/// What a response of an upstream says of a limit on the rate of its requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LimitNotice {
    /// The upstream has no limit.
    #[default]
    Unlimited,
    /// The upstream accepts this rate.
    Limited(RequestRate),
    /// The statement cannot be read, so that the limit stays as it is.
    Unreadable,
}

impl LimitNotice {
    /// The rate, if there is one that can be read.
    pub fn rate(self) -> Option<RequestRate> {
        match self {
            Self::Limited(rate) => Some(rate),
            Self::Unlimited | Self::Unreadable => None,
        }
    }
}

impl RequestRate {
    /// Converts requests a second; `None` if the number is negative, infinite or not a number.
    pub fn from_per_second(requests: f64) -> Option<Self> {
        let is_rate = requests.is_finite() && requests >= 0.0;
        is_rate.then_some(Self {
            thousandths: (requests * THOUSANDTHS) as u64,
        })
    }

    /// Requests a second.
    pub fn per_second(self) -> f64 {
        self.thousandths as f64 / THOUSANDTHS
    }

    /// Time between two requests at this rate, at least a microsecond; `None` if the rate is zero.
    pub fn interval(self) -> Option<Duration> {
        let micros = 1_000_000_000_u64.checked_div(self.thousandths)?;
        Some(Duration::from_micros(micros.max(1)))
    }
}

impl FromStr for RequestRate {
    type Err = ();

    /// Parses requests a second, a decimal number.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let requests = text.trim().parse().map_err(|_| ())?;
        Self::from_per_second(requests).ok_or(())
    }
}
