//! Life cycle of an endpoint, the upstream that a node owns.

use std::marker::PhantomData;
use std::sync::Arc;

/// Stage of an endpoint as members announce it, in the order of the life cycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Stage {
    /// The upstream is not ready for requests yet.
    Warming,
    /// The upstream takes requests.
    Ready,
    /// The upstream finishes the running requests and takes no new ones.
    Draining,
    /// The upstream has ended or no longer announces itself.
    Gone,
}

/// Service, run and capacity of an upstream, as the upstream has announced them.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Upstream {
    /// Name of the service that the upstream provides.
    pub service: Arc<str>,
    /// Id of the current run of the upstream program, if the upstream announces one. Each run at the
    /// same address has a different id.
    pub run_id: Option<Arc<str>>,
    /// Version of the upstream program; `None` where nodes do not announce versions.
    pub version: Option<Arc<str>>,
    /// Maximum number of requests that the upstream runs at the same time.
    pub slots: u32,
    /// Maximum number of connections that the upstream accepts.
    pub max_connections: u32,
}

/// Typestate of [`Stage::Warming`].
#[derive(Clone, Copy, Debug)]
pub struct Warming;
/// Typestate of [`Stage::Ready`].
#[derive(Clone, Copy, Debug)]
pub struct Ready;
/// Typestate of [`Stage::Draining`].
#[derive(Clone, Copy, Debug)]
pub struct Draining;
/// Typestate of [`Stage::Gone`].
#[derive(Clone, Copy, Debug)]
pub struct Gone;

/// The endpoint of a node in the stage `S`. An endpoint never returns to an earlier stage.
#[derive(Clone, Debug)]
pub struct Endpoint<S> {
    upstream: Upstream,
    stage: PhantomData<S>,
}

impl<S> Endpoint<S> {
    /// Service, run and capacity of the upstream.
    pub fn upstream(&self) -> &Upstream {
        &self.upstream
    }

    fn advance<T>(self) -> Endpoint<T> {
        Endpoint {
            upstream: self.upstream,
            stage: PhantomData,
        }
    }
}

impl Endpoint<Warming> {
    /// Creates the endpoint of an upstream that has just announced itself.
    pub fn new(upstream: Upstream) -> Self {
        Self {
            upstream,
            stage: PhantomData,
        }
    }

    /// Marks the endpoint as ready, because the upstream has announced that it takes requests.
    pub fn become_ready(self) -> Endpoint<Ready> {
        self.advance()
    }

    /// Starts to drain an endpoint that was never ready.
    pub fn drain(self) -> Endpoint<Draining> {
        self.advance()
    }

    /// Ends an endpoint that was never ready, because its upstream has gone.
    pub fn terminate(self) -> Endpoint<Gone> {
        self.advance()
    }
}

impl Endpoint<Ready> {
    /// Starts to drain the endpoint, at the request of the upstream or of an operator.
    pub fn drain(self) -> Endpoint<Draining> {
        self.advance()
    }

    /// Ends the endpoint without a drain, because its upstream has gone.
    pub fn terminate(self) -> Endpoint<Gone> {
        self.advance()
    }
}

impl Endpoint<Draining> {
    /// Ends the drain, because all requests have finished or the upstream has gone.
    pub fn finish(self) -> Endpoint<Gone> {
        self.advance()
    }
}
