//! Retries of failed attempts.

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

/// A failed attempt, and the state of its request.
#[derive(Clone, Copy, Debug)]
pub struct FailedAttempt {
    /// Service of the request.
    pub service: ServiceId,
    /// Whether the attempt ran, as far as that is known.
    pub verdict: Verdict,
    /// Reason for the failure.
    pub reason: Reason,
    /// Whether the route is idempotent.
    pub idempotent: bool,
    /// Number of attempts so far, including this one.
    pub attempts: u32,
    /// Number of upstreams that the request was or may have been sent to. An attempt that the owner
    /// refused without sending it to its upstream does not count.
    pub upstreams_tried: u32,
    /// Bound on `upstreams_tried`, if the operator has set one.
    pub max_upstreams: Option<u32>,
    /// Time left until the deadline of the request.
    pub time_left: Duration,
    /// Whether an outer level, such as the caller, retries by itself; retries here would multiply
    /// with those.
    pub outer_retries: bool,
    /// Whether the whole body is still available, so that it can be sent again.
    pub replayable: bool,
    /// Time after which the owner that refused the attempt allows a retry.
    pub retry_after: Duration,
    /// Whether there is an available endpoint to which the request has not been sent.
    pub has_untried_endpoint: bool,
}

/// Decides on retries.
pub trait Retry: Send {
    /// Records the first attempt of a request.
    fn record_first_attempt(&mut self, now: Time, service: ServiceId);

    /// Decides on a retry: returns the delay before it, or the reason why there is none. A retry
    /// that is allowed uses up budget.
    fn allow(
        &mut self,
        now: Time,
        failure: FailedAttempt,
        random: &mut dyn Random,
    ) -> Result<Duration, Reason>;

    /// Sets the number of nodes that share a budget.
    fn set_node_count(&mut self, _count: usize) {}

    /// Whether [`Retry::allow`] would allow a retry now; uses up no budget.
    fn would_allow(&self, now: Time, failure: FailedAttempt) -> bool;
}
