//! Decision to try a request again.

use std::time::Duration;

use linkme::distributed_slice;

use errors::Reason;
use errors::Verdict;
use ids::ServiceId;
use kernel::Plugin;
use kernel::Random;
use kernel::Time;
use kernel::plugin;
use kernel::plugin::EXTENSION_POINTS;
use kernel::plugin::ExtensionPoint;

/// Registered retry plug-ins.
#[distributed_slice]
pub static RETRY_PLUGINS: [Plugin<dyn Retry>];

#[distributed_slice(EXTENSION_POINTS)]
static EXTENSION_POINT: ExtensionPoint = ExtensionPoint {
    kind: "retry",
    names: || plugin::list_names(&RETRY_PLUGINS),
};

/// An attempt that failed.
#[derive(Clone, Copy, Debug)]
pub struct FailedAttempt {
    /// Service of the request.
    pub service: ServiceId,
    /// What is known of its execution.
    pub verdict: Verdict,
    /// Why it failed.
    pub reason: Reason,
    /// Whether the route is idempotent.
    pub idempotent: bool,
    /// Attempts so far, this one included.
    pub attempts: u32,
    /// Upstreams that it was or may have been sent to; an owner that holds a request back sends it
    /// to none.
    pub upstreams_tried: u32,
    /// Upstreams that it may be sent to, if the operator bounds it.
    pub max_upstreams: Option<u32>,
    /// Time until the deadline.
    pub time_left: Duration,
    /// Whether a level further out retries.
    pub outer_retries: bool,
    /// Whether the body can be sent again.
    pub replayable: bool,
    /// When the owner that refused it allows another try.
    pub retry_after: Duration,
    /// Whether an endpoint is left that has not been tried.
    pub has_untried_endpoint: bool,
}

/// Decides on retries.
pub trait Retry: Send {
    /// A request is tried for the first time.
    fn record_first_attempt(&mut self, now: Time, service: ServiceId);

    /// The wait before the next attempt, or why there is none.
    fn allow(
        &mut self,
        now: Time,
        failure: FailedAttempt,
        random: &mut dyn Random,
    ) -> Result<Duration, Reason>;

    /// Takes in how many nodes share a budget.
    fn set_node_count(&mut self, _nodes: usize) {}

    /// Whether `allow` would permit a retry now; spends nothing.
    fn would_allow(&self, now: Time, failure: FailedAttempt) -> bool;
}
