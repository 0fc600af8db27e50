//! Polling of the nodes' status over their admin addresses.

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

/// Timeout for reading a status; generous, since a node under load may respond slowly.
const STATUS_TIMEOUT: Duration = Duration::from_secs(2);

/// What a node reported at one reading of its status.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeStatus {
    /// Node identifier, which is new at each start of the process.
    pub node: String,
    /// Wall-clock time in microseconds at which the status was received.
    pub read_at_us: u64,
    /// Configuration version in force; 0 if there is none.
    pub version: u64,
    /// Live members that the node knew, itself included.
    pub live_members: u64,
}

/// Reads the status of one node and keeps the connection open between readings.
struct StatusReader {
    admin: SocketAddr,
    sender: Option<SendRequest<Body>>,
}

impl StatusReader {
    /// Reads the node's status once; closes the connection if that fails or times out.
    async fn read(&mut self) -> Result<NodeStatus, Error> {
        let status = timeout(STATUS_TIMEOUT, self.request_status()).await;
        let status = status.unwrap_or_else(|error| Err(error.into()));
        if status.is_err() {
            self.sender = None;
        }
        status
    }

    async fn request_status(&mut self) -> Result<NodeStatus, Error> {
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

/// Returns the interval at which each of `nodes` nodes is polled. It grows with their number, so that
/// the processor time of polling stays about constant.
pub fn poll_period(nodes: usize) -> Duration {
    Duration::from_micros(10_000 + 200 * nodes as u64)
}

/// Waits until all nodes have configuration `version` or a newer one. Returns, in the order of `admins`,
/// the wall-clock time in microseconds at which each first reported it; `None` if not in time.
pub async fn wait_for_version(
    admins: &[SocketAddr],
    version: u64,
    timeout: Duration,
) -> Vec<Option<u64>> {
    wait_until(admins, timeout, move |status| status.version >= version).await
}

/// Waits until `condition` holds for the status of each node. Returns, in the order of `admins`, the
/// wall-clock time in microseconds at which it first held; `None` if not in time.
pub async fn wait_until<C>(
    admins: &[SocketAddr],
    timeout: Duration,
    condition: C,
) -> Vec<Option<u64>>
where
    C: Fn(&NodeStatus) -> bool + Copy + Send + 'static,
{
    let deadline = Instant::now() + timeout;
    let period = poll_period(admins.len());
    let mut tasks = JoinSet::new();
    for (index, admin) in admins.iter().enumerate() {
        let mut reader = StatusReader {
            admin: *admin,
            sender: None,
        };
        tasks.spawn(async move {
            // The first readings of the nodes are spread over one period.
            let offset = period.mul_f64((index as f64 * 0.618).fract());
            tokio::time::sleep(offset).await;
            while Instant::now() < deadline {
                if let Ok(status) = reader.read().await
                    && condition(&status)
                {
                    return (index, Some(status.read_at_us));
                }
                tokio::time::sleep(period).await;
            }
            (index, None)
        });
    }
    let mut results = tasks.join_all().await;
    results.sort_unstable();
    results
        .into_iter()
        .map(|(_, read_at_us)| read_at_us)
        .collect()
}

/// Polls the status of all nodes and records it until dropped.
pub struct StatusPoller {
    statuses: Arc<Mutex<Vec<NodeStatus>>>,
    admins: Arc<Mutex<Vec<SocketAddr>>>,
    task: JoinHandle<()>,
}

impl StatusPoller {
    /// Starts to poll all nodes, with a pause of `period` between two rounds.
    pub fn start(admins: Vec<SocketAddr>, period: Duration) -> Self {
        let statuses = Arc::new(Mutex::new(Vec::new()));
        let admins = Arc::new(Mutex::new(admins));
        let task = tokio::spawn(poll_statuses(
            Arc::clone(&statuses),
            Arc::clone(&admins),
            period,
        ));
        Self {
            statuses,
            admins,
            task,
        }
    }

    /// Adds a node to those that are polled.
    pub fn add(&self, admin: SocketAddr) {
        let mut admins = self.admins.lock().unwrap_or_else(PoisonError::into_inner);
        admins.push(admin);
    }

    /// Returns the statuses recorded so far.
    pub fn statuses(&self) -> Vec<NodeStatus> {
        let statuses = self.statuses.lock().unwrap_or_else(PoisonError::into_inner);
        statuses.clone()
    }
}

impl Drop for StatusPoller {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Polls the nodes forever and appends each status to `statuses`. Failed readings are left out.
async fn poll_statuses(
    statuses: Arc<Mutex<Vec<NodeStatus>>>,
    admins: Arc<Mutex<Vec<SocketAddr>>>,
    period: Duration,
) {
    let mut readers: Vec<StatusReader> = Vec::new();
    loop {
        let current_admins = {
            let admins = admins.lock().unwrap_or_else(PoisonError::into_inner);
            admins.clone()
        };
        readers.extend(
            current_admins
                .iter()
                .skip(readers.len())
                .map(|admin| StatusReader {
                    admin: *admin,
                    sender: None,
                }),
        );
        let readings = readers.iter_mut().map(StatusReader::read);
        let readings = futures::future::join_all(readings).await;
        statuses
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .extend(readings.into_iter().flatten());
        tokio::time::sleep(period).await;
    }
}
