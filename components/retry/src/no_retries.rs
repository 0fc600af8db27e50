//! Retry plug-in that never retries.

use std::time::Duration;

use linkme::distributed_slice;

use errors::Reason;
use ids::ServiceId;
use kernel::Plugin;
use kernel::Random;
use kernel::Time;
use policy::FailedAttempt;
use policy::RETRY_PLUGINS;
use policy::Retry;

#[distributed_slice(RETRY_PLUGINS)]
static PLUGIN: Plugin<dyn Retry> = Plugin {
    name: "none",
    make: |params| {
        params.check_names(&[])?;
        Ok(Box::new(NoRetries))
    },
};

/// Denies every retry.
#[derive(Clone, Copy, Debug)]
pub struct NoRetries;

impl Retry for NoRetries {
    fn record_first_attempt(&mut self, _: Time, _: ServiceId) {}

    fn allow(&mut self, _: Time, _: FailedAttempt, _: &mut dyn Random) -> Result<Duration, Reason> {
        Err(Reason::AttemptsSpent)
    }

    fn would_allow(&self, _: Time, _: FailedAttempt) -> bool {
        false
    }
}
