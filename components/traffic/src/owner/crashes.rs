//! Crashes of the upstream, and the requests that ran at it then.

use std::time::Duration;

use crate::owner::CrashedRequest;
use ids::Fingerprint;

/// Counts the crashes of the upstream. All requests that ran when the upstream crashed fail one after the
/// other, and count to the same crash.
#[derive(Debug, Default)]
pub(crate) struct Crashes {
    count: u32,
    /// Whether the upstream has not responded since its latest crash.
    down: bool,
}

impl Crashes {
    /// Records that the upstream has responded.
    pub(crate) fn record_response(&mut self) {
        self.down = false;
    }

    /// Records that a request ran for this long when the upstream crashed.
    pub(crate) fn record_crash(
        &mut self,
        fingerprint: Option<Fingerprint>,
        ran_for: Duration,
    ) -> Option<CrashedRequest> {
        if !self.down {
            self.down = true;
            self.count = self.count.saturating_add(1);
        }
        Some(CrashedRequest {
            fingerprint: fingerprint?,
            crash: self.count,
            ran_for,
        })
    }
}
