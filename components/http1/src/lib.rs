//! Front end `http1`: HTTP/1.1 with callers, other nodes and the upstream.
//!
//! Translates between HTTP messages and the inputs and effects of the state machines that
//! [`front::TrafficDriver`] runs. It decides nothing about routing, admission or retries.

mod attempt;
mod body;
mod caller;
mod connection;
mod delivery;
mod dialect;
mod dispatch;
mod events;
mod head;
mod head_limit;
mod headers;
mod listen;
mod metered_stream;
mod node;
mod node_pool;
mod paced_body;
mod peer_clock;
mod pipeline;
mod rate_limit;
mod read_ahead;
mod request_body;
mod responses;
mod stored_responses;
mod upstream;
mod write_timeout;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use linkme::distributed_slice;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use tokio_util::task::AbortOnDropHandle;

use config::CallerLimits;
use front::FRONT_END_PLUGINS;
use front::FrontEnd;
use front::FrontEndAddresses;
use front::ServeFuture;
use front::StartFuture;
use front::TrafficDriver;
use kernel::Plugin;
use kernel::plugin;

pub use dialect::DIALECT_PLUGINS;
pub use dialect::Dialect;
pub use dialect::DispatchContext;
pub use dialect::RefusalResponse;
pub use dialect::RequestDirectives;
pub use dialect::ResponseClass;
pub use dialect::UpstreamNotice;
pub use dialect::read_rate_limit;
pub use dialect::refusal_status;
pub use dialect::take_key;

#[distributed_slice(FRONT_END_PLUGINS)]
static PLUGIN: Plugin<dyn FrontEnd> = Plugin {
    name: "http1",
    make: |params| {
        let name = params
            .get(DIALECT_PARAM)
            .unwrap_or(dialect::DEFAULT_DIALECT);
        let dialect_params = params
            .without(DIALECT_PARAM)
            .without(DESCRIPTORS_PARAM)
            .without(PIPELINE_PARAM);
        let dialect = plugin::build(DIALECT_PARAM, &DIALECT_PLUGINS, name, &dialect_params)?;
        let descriptors = params.limit_or(DESCRIPTORS_PARAM, DEFAULT_DESCRIPTORS)?;
        let pipeline = params.u64_or(PIPELINE_PARAM, DEFAULT_PIPELINE)?;
        if !(1..=MAX_PIPELINE).contains(&pipeline) {
            return Err(plugin::Error::InvalidParam {
                name: PIPELINE_PARAM.to_owned(),
                value: pipeline.to_string(),
                expected: "from 1 to 64",
            });
        }
        Ok(Box::new(Http1 {
            max_pipeline: usize::try_from(pipeline).unwrap_or(1),
            dialect: Arc::from(dialect),
            descriptors: usize::try_from(descriptors).unwrap_or(usize::MAX),
        }))
    },
};

/// Param with the name of the dialect; all params not listed here are passed on to the dialect.
const DIALECT_PARAM: &str = "dialect";
/// Param with the number of file descriptors that the process may have open.
const DESCRIPTORS_PARAM: &str = "descriptors";
/// Default of the param [`DESCRIPTORS_PARAM`]. The callers' share of it is about 4,096 connections, the
/// former fixed limit of a listener.
const DEFAULT_DESCRIPTORS: u64 = 8_192;
/// Shares of the file descriptors, in tenths of the process's limit, for connections from callers
/// and from other nodes. The rest is for connections to other nodes, the upstream and the store.
const CALLER_DESCRIPTOR_TENTHS: usize = 5;
const NODE_DESCRIPTOR_TENTHS: usize = 2;
/// Param with the number of requests of one caller's connection that are processed at the same time.
const PIPELINE_PARAM: &str = "pipeline";
/// Default of the param [`PIPELINE_PARAM`]. Callers that pipeline rarely send more than a few requests
/// ahead, and one caller must not fill the slots of a service.
const DEFAULT_PIPELINE: u64 = 8;
/// Largest value of the param [`PIPELINE_PARAM`].
const MAX_PIPELINE: u64 = 64;
/// Number of requests of the node that may be in progress before it is their turn. With their responses
/// of at most 64 KB they take at most 16 MB.
const MAX_STARTED_REQUESTS: usize = 256;

struct Http1 {
    /// Number of file descriptors that the process may have open.
    descriptors: usize,
    /// Number of requests of one caller's connection that are processed at the same time.
    max_pipeline: usize,
    dialect: Arc<dyn Dialect>,
}

/// State that all connections of the front end share.
struct SharedState {
    driver: Arc<TrafficDriver>,
    /// Limits on the heads of callers, renewed by [`SharedState::sweep_periodically`].
    head_limits: watch::Sender<head::Limits>,
    dialect: Arc<dyn Dialect>,
    node_pool: Arc<node_pool::NodeConnectionPool>,
    upstream: upstream::UpstreamClient,
    stored_responses: stored_responses::StoredResponses,
    /// Bytes of responses that were read before they are sent.
    read_ahead: Arc<read_ahead::Budget>,
    /// Requests that may be started before it is their turn on their connection.
    started_requests: Arc<Semaphore>,
}

impl SharedState {
    /// Limits on callers in the configuration in force, or the defaults.
    fn limits(&self) -> CallerLimits {
        let topology = self.driver.topology();
        let snapshot = topology.snapshot.as_ref();
        snapshot.map_or_else(CallerLimits::default, |it| *it.limits())
    }

    /// Limits on the heads of callers by the configuration in force.
    fn caller_head_limits(&self) -> head::Limits {
        head::Limits::for_callers(self.limits().max_head_bytes)
    }

    /// Closes expired connections, removes expired stored responses and renews the limits on heads
    /// periodically, until the future is dropped.
    async fn sweep_periodically(&self) {
        loop {
            tokio::time::sleep(node_pool::SWEEP_PERIOD).await;
            let now = self.driver.now();
            let head_limits = self.caller_head_limits();
            self.head_limits
                .send_if_modified(|it| std::mem::replace(it, head_limits) != head_limits);
            self.node_pool.sweep(self.driver.clock());
            self.upstream.close_idle(now);
            self.stored_responses.remove_expired(now);
        }
    }
}

impl FrontEnd for Http1 {
    fn start(
        &self,
        addresses: FrontEndAddresses,
        driver: Arc<TrafficDriver>,
        stop: CancellationToken,
    ) -> StartFuture<'_> {
        Box::pin(async move {
            let share = |tenths: usize| (self.descriptors / 10 * tenths).max(1);
            let callers = bind("callers", addresses.callers).await?;
            let callers = listen::Listener {
                kind: listen::Kind::Callers,
                listener: callers,
                max_connections: share(CALLER_DESCRIPTOR_TENTHS),
                max_requests: self.max_pipeline,
            };
            let requests = bind("requests", addresses.requests).await?;
            // Other nodes send one request at a time.
            let requests = listen::Listener {
                kind: listen::Kind::Nodes,
                listener: requests,
                max_connections: share(NODE_DESCRIPTOR_TENTHS),
                max_requests: 1,
            };
            let pacer = driver.link().cloned();
            let shared = Arc::new(SharedState {
                driver,
                head_limits: watch::Sender::new(head::Limits::for_callers(0)),
                dialect: Arc::clone(&self.dialect),
                node_pool: Arc::new(node_pool::NodeConnectionPool::new(pacer.clone())),
                upstream: upstream::UpstreamClient::new(addresses.upstream),
                stored_responses: stored_responses::StoredResponses::default(),
                read_ahead: Arc::default(),
                started_requests: Arc::new(Semaphore::new(MAX_STARTED_REQUESTS)),
            });
            let serving: ServeFuture = Box::pin(async move {
                // A task of its own, because a piece would otherwise wake the listeners too.
                let pacing = pacer.map(|pacer| tokio::spawn(async move { pacer.run().await }));
                let _pacing = pacing.map(AbortOnDropHandle::new);
                let listening = async {
                    tokio::join!(
                        listen::serve(callers, Arc::clone(&shared), stop.clone(), caller::handle),
                        listen::serve(requests, Arc::clone(&shared), stop, node::handle),
                    )
                };
                tokio::select! {
                    _ = listening => {}
                    () = shared.sweep_periodically() => {}
                }
            });
            Ok(serving)
        })
    }
}

async fn bind(key: &str, address: SocketAddr) -> io::Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .map_err(|error| io::Error::new(error.kind(), format!("{key}: {address}: {error}")))
}
