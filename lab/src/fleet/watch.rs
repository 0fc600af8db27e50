//! Watching of the nodes' versions over their admin addresses.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::Request;
use hyper::client::conn::http1::SendRequest;
use serde_json::Value;
use tokio::task::JoinHandle;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::timeout;

use crate::Error;
use crate::http;
use crate::http::Body;
use crate::http::full_body;
use crate::time::wall_clock_us;

/// Longest wait for a status; a node under load may take long.
const STATUS_LIMIT: Duration = Duration::from_secs(2);

/// A version that a node reported.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeStatus {
    /// Identity of the process.
    pub node: String,
    pub read_at_us: u64,
    pub version: u64,
    /// Live members that the node knew, itself included.
    pub live_members: u64,
}

/// Reads the status of one node over a kept connection.
struct Reader {
    admin: SocketAddr,
    sender: Option<SendRequest<Body>>,
}

impl Reader {
    async fn read(&mut self) -> Result<NodeStatus, Error> {
        let seen = timeout(STATUS_LIMIT, self.ask()).await;
        let seen = seen.unwrap_or_else(|error| Err(error.into()));
        if seen.is_err() {
            self.sender = None;
        }
        seen
    }

    async fn ask(&mut self) -> Result<NodeStatus, Error> {
        let mut sender = match self.sender.take() {
            Some(sender) => sender,
            None => http::connect(self.admin).await?,
        };
        sender.ready().await?;
        let request = Request::get("/status")
            .header("host", self.admin.to_string())
            .body(full_body(""))?;
        let body = sender.send_request(request).await?.into_body();
        let status: Value = serde_json::from_slice(&body.collect().await?.to_bytes())?;
        self.sender = Some(sender);
        Ok(NodeStatus {
            node: status["node"].as_str().unwrap_or_default().to_owned(),
            read_at_us: wall_clock_us(),
            version: status["version"].as_u64().unwrap_or(0),
            live_members: status["live_members"].as_u64().unwrap_or(0),
        })
    }
}

/// Time between two looks at each of `nodes` nodes; keeps the cost of looking about constant.
pub fn poll_period(nodes: usize) -> Duration {
    Duration::from_micros(10_000 + 200 * nodes as u64)
}

/// Waits for `version` on all nodes; gives the wall time at which each was seen to have it.
pub async fn wait_for_version(
    admins: &[SocketAddr],
    version: u64,
    limit: Duration,
) -> Vec<Option<u64>> {
    wait_until(admins, limit, move |seen| seen.version >= version).await
}

/// Waits until all nodes report what is wanted; gives the wall time at which each was seen to.
pub async fn wait_until<W>(admins: &[SocketAddr], limit: Duration, wanted: W) -> Vec<Option<u64>>
where
    W: Fn(&NodeStatus) -> bool + Copy + Send + 'static,
{
    let until = Instant::now() + limit;
    let period = poll_period(admins.len());
    let mut waiting = JoinSet::new();
    for (at, admin) in admins.iter().enumerate() {
        let mut reader = Reader {
            admin: *admin,
            sender: None,
        };
        waiting.spawn(async move {
            // Looks are spread over the period.
            let offset = period.mul_f64((at as f64 * 0.618).fract());
            tokio::time::sleep(offset).await;
            while Instant::now() < until {
                if let Ok(seen) = reader.read().await
                    && wanted(&seen)
                {
                    return (at, Some(seen.read_at_us));
                }
                tokio::time::sleep(period).await;
            }
            (at, None)
        });
    }
    let mut found = waiting.join_all().await;
    found.sort_unstable();
    found.into_iter().map(|(_, seen)| seen).collect()
}

/// Notes the versions of all nodes until it is dropped.
pub struct StatusPoller {
    seen: Arc<Mutex<Vec<NodeStatus>>>,
    admins: Arc<Mutex<Vec<SocketAddr>>>,
    task: JoinHandle<()>,
}

impl StatusPoller {
    /// Looks at each node once each `period`.
    pub fn start(admins: Vec<SocketAddr>, period: Duration) -> Self {
        let seen = Arc::new(Mutex::new(Vec::new()));
        let admins = Arc::new(Mutex::new(admins));
        let task = tokio::spawn(watch(Arc::clone(&seen), Arc::clone(&admins), period));
        Self { seen, admins, task }
    }

    /// Looks at another node too.
    pub fn add(&self, admin: SocketAddr) {
        let mut admins = self.admins.lock().unwrap_or_else(PoisonError::into_inner);
        admins.push(admin);
    }

    /// What was seen so far.
    pub fn statuses(&self) -> Vec<NodeStatus> {
        let seen = self.seen.lock().unwrap_or_else(PoisonError::into_inner);
        seen.clone()
    }
}

impl Drop for StatusPoller {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn watch(
    seen: Arc<Mutex<Vec<NodeStatus>>>,
    admins: Arc<Mutex<Vec<SocketAddr>>>,
    period: Duration,
) {
    let mut readers: Vec<Reader> = Vec::new();
    loop {
        let known = {
            let admins = admins.lock().unwrap_or_else(PoisonError::into_inner);
            admins.clone()
        };
        readers.extend(known.iter().skip(readers.len()).map(|admin| Reader {
            admin: *admin,
            sender: None,
        }));
        let looks = readers.iter_mut().map(Reader::read);
        let looks = futures::future::join_all(looks).await;
        seen.lock()
            .unwrap_or_else(PoisonError::into_inner)
            .extend(looks.into_iter().flatten());
        tokio::time::sleep(period).await;
    }
}
