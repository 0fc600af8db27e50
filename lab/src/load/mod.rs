//! Open-loop load generator, bounded in duration, number of requests and requests in flight.
//!
//! Requests are sent on a schedule that does not depend on responses, and latency counts from the
//! scheduled time. A slow mesh therefore shows up as latency instead of reducing the load.

pub mod response;
pub mod sample;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use http_body_util::BodyExt;
use hyper::Request;
use hyper::client::conn::http1::SendRequest;
use response::REQUEST_NUMBER_HEADER;
use response::classify_response;
use sample::Outcome;
use sample::Sample;
use tokio::task::JoinSet;
use tokio::time::timeout_at;

use crate::http;
use crate::http::Body;
use crate::http::full_body;
use crate::time;

/// Maximum number of requests that one generator schedules.
const MAX_REQUESTS: u64 = 1_000_000;
/// Maximum number of idle connections kept for each entry.
const MAX_IDLE_CONNECTIONS: usize = 256;
/// Idle time after which a connection is not reused.
const MAX_IDLE_TIME: Duration = Duration::from_secs(2);
/// Time after the deadline of a request at which the generator gives up waiting for the response.
const RESPONSE_GRACE: Duration = Duration::from_secs(2);
/// Time for which an entry that refused or broke a connection is skipped.
const ENTRY_BACKOFF: Duration = Duration::from_millis(500);
/// Time for which an excluded entry is skipped; longer than any run.
const EXCLUSION_TIME: Duration = Duration::from_secs(3_600);
/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The requests that are sent to one route, and their rate.
#[derive(Clone, Debug)]
pub struct LoadProfile {
    pub name: &'static str,
    pub method: &'static str,
    /// Path of the requests; `{}` is replaced by a number that varies from request to request.
    pub path: &'static str,
    pub rank: u8,
    pub idempotent: bool,
    pub deadline: Duration,
    /// Mean rate in requests per second; the intervals are distributed exponentially.
    pub rate: f64,
}

/// An open connection without a request.
struct IdleConnection {
    sender: SendRequest<Body>,
    idle_since: Instant,
}

/// An entry of the mesh and the generator's idle connections to it.
struct MeshEntry {
    address: SocketAddr,
    idle_connections: Mutex<Vec<IdleConnection>>,
    /// Time until which no requests are sent to the entry; `None` if it was never skipped.
    skipped_until: Mutex<Option<Instant>>,
}

/// Sends requests to the entries of a mesh in turn and records their outcomes.
pub struct LoadGenerator {
    entries: Vec<MeshEntry>,
    next_entry: AtomicUsize,
    next_request_number: AtomicU64,
    in_flight: AtomicUsize,
    max_in_flight: usize,
}

impl LoadGenerator {
    /// Creates a generator for the entries at these addresses, with at most `max_in_flight`
    /// requests in flight.
    pub fn new(addresses: &[SocketAddr], max_in_flight: usize) -> Arc<Self> {
        let entry = |address: &SocketAddr| MeshEntry {
            address: *address,
            idle_connections: Mutex::default(),
            skipped_until: Mutex::default(),
        };
        Arc::new(Self {
            entries: addresses.iter().map(entry).collect(),
            next_entry: AtomicUsize::new(0),
            next_request_number: AtomicU64::new(1),
            in_flight: AtomicUsize::new(0),
            max_in_flight,
        })
    }

    /// Sends no more requests to an entry, as callers do once they learn that it has ended.
    pub fn exclude_entry(&self, address: SocketAddr) {
        let excluded = self.entries.iter().filter(|it| it.address == address);
        for entry in excluded {
            *lock(&entry.skipped_until) = Some(Instant::now() + EXCLUSION_TIME);
        }
    }

    /// Sends the requests of all profiles for `duration` and waits for their outcomes. The samples
    /// are sorted by scheduled time.
    pub async fn run(
        self: &Arc<Self>,
        load_profiles: &[LoadProfile],
        duration: Duration,
    ) -> Vec<Sample> {
        let mut profile_tasks = JoinSet::new();
        for (profile_index, profile) in load_profiles.iter().enumerate() {
            if profile.rate > 0.0 {
                let generator = Arc::clone(self);
                profile_tasks.spawn(generator.run_profile(
                    profile_index,
                    profile.clone(),
                    duration,
                ));
            }
        }
        let mut samples: Vec<Sample> = profile_tasks
            .join_all()
            .await
            .into_iter()
            .flatten()
            .collect();
        samples.sort_by_key(|sample| sample.scheduled_us);
        samples
    }

    /// Sends the requests of one profile on a pseudo-random schedule, which depends only on the
    /// index and the rate of the profile.
    async fn run_profile(
        self: Arc<Self>,
        profile_index: usize,
        profile: LoadProfile,
        duration: Duration,
    ) -> Vec<Sample> {
        let profile = Arc::new(profile);
        let started = Instant::now();
        let mut intervals = ExponentialIntervals(profile_index as u64 + 1);
        let mut scheduled_offset = Duration::ZERO;
        let mut request_tasks = JoinSet::new();
        let mut samples = Vec::new();
        loop {
            scheduled_offset += Duration::from_secs_f64(intervals.next_interval() / profile.rate);
            let request_number = self.next_request_number.fetch_add(1, Ordering::Relaxed);
            if scheduled_offset > duration || request_number > MAX_REQUESTS {
                break;
            }
            let scheduled = started + scheduled_offset;
            time::sleep_until(scheduled).await;
            let generator = Arc::clone(&self);
            let profile = Arc::clone(&profile);
            request_tasks.spawn(generator.measure_request(
                profile_index,
                profile,
                request_number,
                scheduled,
            ));
            while let Some(Ok(sample)) = request_tasks.try_join_next() {
                samples.push(sample);
            }
        }
        samples.extend(request_tasks.join_all().await);
        samples
    }

    /// Sends one request that is due at `scheduled` and returns its sample.
    async fn measure_request(
        self: Arc<Self>,
        profile_index: usize,
        profile: Arc<LoadProfile>,
        request_number: u64,
        scheduled: Instant,
    ) -> Sample {
        let lateness = scheduled.elapsed();
        let scheduled_us = time::wall_clock_us().saturating_sub(lateness.as_micros() as u64);
        let (entry_index, outcome) =
            if self.in_flight.fetch_add(1, Ordering::Relaxed) < self.max_in_flight {
                let give_up_at = scheduled + profile.deadline + RESPONSE_GRACE;
                let mut entry_index = 0;
                let call = self.send_request(&profile, request_number, &mut entry_index);
                let outcome = timeout_at(give_up_at.into(), call).await;
                (entry_index, outcome.unwrap_or(Outcome::TimedOut))
            } else {
                (0, Outcome::GeneratorOverloaded)
            };
        self.in_flight.fetch_sub(1, Ordering::Relaxed);
        Sample {
            request_number,
            profile_index,
            rank: profile.rank,
            idempotent: profile.idempotent,
            entry_index,
            scheduled_us,
            latency_us: scheduled.elapsed().as_micros() as u64,
            outcome,
        }
    }

    /// Sends the request to the next entry that can be reached, and stores its index in
    /// `entry_index`.
    async fn send_request(
        &self,
        profile: &LoadProfile,
        request_number: u64,
        entry_index: &mut usize,
    ) -> Outcome {
        for _ in 0..self.entries.len() {
            let index = self.next_entry.fetch_add(1, Ordering::Relaxed) % self.entries.len();
            let entry = &self.entries[index];
            *entry_index = index;
            // Nothing was written to a connection that closed while idle, so the request is sent
            // on another one.
            while let Some(sender) = entry.acquire_connection().await {
                match exchange(entry, sender, profile, request_number).await {
                    Some(outcome) => {
                        // The link accepts connections to an entry that has ended and then breaks
                        // them, so that connecting alone does not show the end.
                        if outcome == Outcome::ConnectionBroken {
                            entry.back_off();
                        }
                        return outcome;
                    }
                    None => continue,
                }
            }
        }
        Outcome::Unreachable
    }
}

impl MeshEntry {
    /// Returns an idle connection or a new one, or `None` if the entry is skipped or cannot be
    /// reached.
    async fn acquire_connection(&self) -> Option<SendRequest<Body>> {
        let now = Instant::now();
        if lock(&self.skipped_until).is_some_and(|until| now < until) {
            return None;
        }
        loop {
            let connection = lock(&self.idle_connections).pop();
            let Some(mut connection) = connection else {
                break;
            };
            if connection.idle_since.elapsed() < MAX_IDLE_TIME
                && connection.sender.ready().await.is_ok()
            {
                return Some(connection.sender);
            }
        }
        let connected = tokio::time::timeout(CONNECT_TIMEOUT, http::connect(self.address)).await;
        if let Ok(Ok(sender)) = connected {
            return Some(sender);
        }
        self.back_off();
        None
    }

    /// Skips the entry for [`ENTRY_BACKOFF`], or longer if it is skipped longer already.
    fn back_off(&self) {
        let until = Some(Instant::now() + ENTRY_BACKOFF);
        let mut skipped_until = lock(&self.skipped_until);
        *skipped_until = until.max(*skipped_until);
    }

    /// Keeps an open connection for later requests.
    fn release_connection(&self, sender: SendRequest<Body>) {
        let mut idle_connections = lock(&self.idle_connections);
        if !sender.is_closed() && idle_connections.len() < MAX_IDLE_CONNECTIONS {
            let idle_since = Instant::now();
            idle_connections.push(IdleConnection { sender, idle_since });
        }
    }
}

/// Sends a request on one connection and classifies its response. Returns `None` if nothing of the
/// request was written.
async fn exchange(
    entry: &MeshEntry,
    mut sender: SendRequest<Body>,
    profile: &LoadProfile,
    request_number: u64,
) -> Option<Outcome> {
    let path = profile
        .path
        .replace("{}", &(request_number % 97).to_string());
    let request = Request::builder()
        .method(profile.method)
        .uri(path)
        .header("host", "mesh")
        .header(REQUEST_NUMBER_HEADER, request_number)
        .body(full_body(if profile.method == "GET" { "" } else { "{}" }));
    let Ok(request) = request else {
        return Some(Outcome::Unreachable);
    };
    let response = match sender.try_send_request(request).await {
        Ok(response) => response,
        Err(mut error) => {
            return error
                .take_message()
                .is_none()
                .then_some(Outcome::ConnectionBroken);
        }
    };
    let (head, body) = response.into_parts();
    let Ok(body) = body.collect().await else {
        return Some(Outcome::ConnectionBroken);
    };
    entry.release_connection(sender);
    let outcome = classify_response(
        request_number,
        head.status.as_u16(),
        &head.headers,
        &body.to_bytes(),
    );
    Some(outcome)
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Pseudo-random intervals with an exponential distribution and mean 1, from SplitMix64.
struct ExponentialIntervals(u64);

impl ExponentialIntervals {
    fn next_interval(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut bits = self.0;
        bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        let uniform = ((bits ^ (bits >> 31)) >> 11) as f64 / (1_u64 << 53) as f64;
        -(1.0 - uniform).ln()
    }
}
