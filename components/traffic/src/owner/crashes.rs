//! Crashes of the upstream, and the requests that ran at it then.

use crate::owner::CrashedRequest;
use ids::Fingerprint;
use kernel::Time;

/// Number of served requests that are remembered. The fingerprint of a request determines its place, where a
/// later one replaces it.
const MAX_COMPLETIONS: usize = 1_024;

/// Counts the crashes of the upstream. All requests that ran when the upstream crashed fail one after the
/// other, and count to the same crash.
#[derive(Debug, Default)]
pub(crate) struct Crashes {
    count: u32,
    /// When the latest crash was noticed; `None` if the upstream has responded since.
    noticed_at: Option<Time>,
    /// Fingerprints of requests that the upstream has served; empty before the first one.
    completions: Vec<Option<Fingerprint>>,
}

impl Crashes {
    /// Records that the upstream has responded.
    pub(crate) fn record_response(&mut self) {
        self.noticed_at = None;
    }

    /// Records that the upstream has served the request.
    pub(crate) fn record_completion(&mut self, fingerprint: Fingerprint) {
        self.completions.resize(MAX_COMPLETIONS, None);
        self.completions[position(fingerprint)] = Some(fingerprint);
    }

    /// Records that a request that was sent to the upstream at `dispatched_at` ran when the upstream crashed.
    /// Returns the request if it is suspect. One that the upstream has served before, or that was sent
    /// when the upstream was down already, is not the cause of the crash.
    pub(crate) fn record_crash(
        &mut self,
        now: Time,
        fingerprint: Option<Fingerprint>,
        dispatched_at: Time,
    ) -> Option<CrashedRequest> {
        if self.noticed_at.is_none() {
            self.count = self.count.saturating_add(1);
        }
        let noticed_at = *self.noticed_at.get_or_insert(now);
        let fingerprint = fingerprint?;
        let completed = self.completions.get(position(fingerprint));
        let is_suspect = completed != Some(&Some(fingerprint)) && dispatched_at < noticed_at;
        is_suspect.then_some(CrashedRequest {
            fingerprint,
            crash: self.count,
            ran_for: now.since(dispatched_at),
        })
    }
}

fn position(fingerprint: Fingerprint) -> usize {
    usize::try_from(fingerprint.0 % MAX_COMPLETIONS as u128).unwrap_or(0)
}
