//! Life cycle of the upstream that a node owns.

use std::marker::PhantomData;
use std::sync::Arc;

/// Stage of an endpoint as members announce it, in the order of its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Stage {
    /// Not ready for requests.
    Warming,
    /// Takes requests.
    Ready,
    /// Finishes what runs and takes no new requests.
    Draining,
    /// Has left.
    Gone,
}

/// What an upstream is: its service and its limits.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Upstream {
    /// Name of its service.
    pub service: Arc<str>,
    /// Identity of its present run, if it has one; another run at its address has another one.
    pub run_id: Option<Arc<str>>,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Connections that it accepts.
    pub connections: u32,
}

/// Typestate: not ready for requests.
#[derive(Clone, Copy, Debug)]
pub struct Warming;
/// Typestate: takes requests.
#[derive(Clone, Copy, Debug)]
pub struct Ready;
/// Typestate: finishes what runs.
#[derive(Clone, Copy, Debug)]
pub struct Draining;
/// Typestate: has left.
#[derive(Clone, Copy, Debug)]
pub struct Gone;

/// The endpoint of a node in the stage `S`; there is no way back to an earlier stage.
#[derive(Clone, Debug)]
pub struct Endpoint<S> {
    upstream: Upstream,
    stage: PhantomData<S>,
}

impl<S> Endpoint<S> {
    /// What the upstream is.
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
    /// An upstream that has announced itself.
    pub fn new(upstream: Upstream) -> Self {
        Self {
            upstream,
            stage: PhantomData,
        }
    }

    /// The upstream says that it takes requests.
    pub fn become_ready(self) -> Endpoint<Ready> {
        self.advance()
    }

    /// The upstream leaves before it was ready.
    pub fn drain(self) -> Endpoint<Draining> {
        self.advance()
    }

    /// The upstream has vanished before it was ready.
    pub fn terminate(self) -> Endpoint<Gone> {
        self.advance()
    }
}

impl Endpoint<Ready> {
    /// The upstream or an operator asks for a drain.
    pub fn drain(self) -> Endpoint<Draining> {
        self.advance()
    }

    /// The upstream has vanished.
    pub fn terminate(self) -> Endpoint<Gone> {
        self.advance()
    }
}

impl Endpoint<Draining> {
    /// All that ran has finished, or the upstream has vanished.
    pub fn finish(self) -> Endpoint<Gone> {
        self.advance()
    }
}
