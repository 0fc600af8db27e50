//! Front end `http1`: HTTP/1.1 with callers, other nodes and the upstream.
//!
//! Translates between HTTP and the machines that [`front::TrafficDriver`] runs; it makes no decision about
//! routing, admission or retries itself.

mod attempt;
mod body;
mod caller;
mod connection;
mod dialect;
mod dispatch;
mod events;
mod headers;
mod listen;
mod node;
mod node_pool;
mod peer_clock;
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
use tokio_util::sync::CancellationToken;

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
pub use dialect::refusal_status;

#[distributed_slice(FRONT_END_PLUGINS)]
static PLUGIN: Plugin<dyn FrontEnd> = Plugin {
    name: "http1",
    make: |params| {
        let name = params
            .get(DIALECT_PARAM)
            .unwrap_or(dialect::DEFAULT_DIALECT);
        let others = params.without(DIALECT_PARAM).without(DESCRIPTORS_PARAM);
        let dialect = plugin::build(DIALECT_PARAM, &DIALECT_PLUGINS, name, &others)?;
        let descriptors = params.u64_or(DESCRIPTORS_PARAM, DEFAULT_DESCRIPTORS)?;
        Ok(Box::new(Http1 {
            dialect: Arc::from(dialect),
            descriptors: usize::try_from(descriptors).unwrap_or(usize::MAX),
        }))
    },
};

/// Param that names the dialect; the other params are the dialect's.
const DIALECT_PARAM: &str = "dialect";
/// Param with the file descriptors that the process may have open.
const DESCRIPTORS_PARAM: &str = "descriptors";
/// Twice the 4,096 connections that a listener served when it had a fixed bound.
const DEFAULT_DESCRIPTORS: u64 = 8_192;
/// Parts of the descriptors, in tenths, that callers and other nodes may take; the rest is for
/// connections to other nodes, the upstream and the store.
const CALLER_TENTHS: usize = 5;
const NODE_TENTHS: usize = 2;

struct Http1 {
    /// File descriptors that the process may have open.
    descriptors: usize,
    dialect: Arc<dyn Dialect>,
}

/// State that all connections of the front end share.
struct SharedState {
    driver: Arc<TrafficDriver>,
    dialect: Arc<dyn Dialect>,
    node_pool: Arc<node_pool::NodeConnectionPool>,
    upstream: upstream::UpstreamClient,
    stored_responses: stored_responses::StoredResponses,
}

impl SharedState {
    /// Bounds on callers in force.
    fn limits(&self) -> CallerLimits {
        let topology = self.driver.topology();
        let snapshot = topology.snapshot.as_ref();
        snapshot.map_or_else(CallerLimits::default, |it| *it.limits())
    }

    /// Closes and forgets what is old until the future is dropped.
    async fn sweep_periodically(&self) {
        loop {
            tokio::time::sleep(node_pool::SWEEP_PERIOD).await;
            let now = self.driver.now();
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
            let callers = (callers, share(CALLER_TENTHS));
            let requests = bind("requests", addresses.requests).await?;
            let requests = (requests, share(NODE_TENTHS));
            let shared = Arc::new(SharedState {
                driver,
                dialect: Arc::clone(&self.dialect),
                node_pool: Arc::default(),
                upstream: upstream::UpstreamClient::new(addresses.upstream),
                stored_responses: stored_responses::StoredResponses::default(),
            });
            let serving: ServeFuture = Box::pin(async move {
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
