//! Load generator: open loop, bounded in count and time.
//!
//! Requests are sent by schedule, not by answers, and latency counts from the scheduled time, so a
//! slow mesh shows in the figures instead of slowing the load.

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
use crate::http::full;
use crate::time;

/// Requests that one run offers at most.
const MAX_REQUESTS: u64 = 1_000_000;
/// Idle connections kept for each entry.
const MAX_IDLE: usize = 256;
/// Age after which the generator does not reuse a connection.
const MAX_IDLE_AGE: Duration = Duration::from_secs(2);
/// Time that an answer may take beyond the route's deadline.
const GRACE: Duration = Duration::from_secs(2);
/// Time for which an entry that refused or broke a connection is passed over.
const ENTRY_PAUSE: Duration = Duration::from_millis(500);
/// Longer than any run.
const FORGET_TIME: Duration = Duration::from_secs(3_600);
/// Longest wait for a connection.
const CONNECT_LIMIT: Duration = Duration::from_secs(1);

/// Requests of one kind.
#[derive(Clone, Debug)]
pub struct LoadProfile {
    pub name: &'static str,
    pub method: &'static str,
    /// `{}` stands for a number that varies.
    pub path: &'static str,
    pub rank: u8,
    pub idempotent: bool,
    pub deadline: Duration,
    /// Requests a second.
    pub rate: f64,
}

struct Idle {
    sender: SendRequest<Body>,
    since: Instant,
}

struct Entry {
    address: SocketAddr,
    idle: Mutex<Vec<Idle>>,
    down_until: Mutex<Option<Instant>>,
}

/// The entries that callers know, used in turn.
pub struct LoadGenerator {
    entries: Vec<Entry>,
    next: AtomicUsize,
    next_request_number: AtomicU64,
    in_flight: AtomicUsize,
    max_in_flight: usize,
}

impl LoadGenerator {
    /// Callers with at most `max_open` requests open.
    pub fn new(addresses: &[SocketAddr], max_in_flight: usize) -> Arc<Self> {
        let entry = |address: &SocketAddr| Entry {
            address: *address,
            idle: Mutex::default(),
            down_until: Mutex::default(),
        };
        Arc::new(Self {
            entries: addresses.iter().map(entry).collect(),
            next: AtomicUsize::new(0),
            next_request_number: AtomicU64::new(1),
            in_flight: AtomicUsize::new(0),
            max_in_flight,
        })
    }

    /// Passes an entry over from now on, as callers do that learn of its end.
    pub fn exclude_entry(&self, address: SocketAddr) {
        let gone = self.entries.iter().filter(|it| it.address == address);
        for entry in gone {
            *lock(&entry.down_until) = Some(Instant::now() + FORGET_TIME);
        }
    }

    /// Offers requests of all kinds for `length` and waits for their outcomes.
    pub async fn run(
        self: &Arc<Self>,
        load_profiles: &[LoadProfile],
        length: Duration,
    ) -> Vec<Sample> {
        let mut senders = JoinSet::new();
        for (route, profile) in load_profiles.iter().enumerate() {
            if profile.rate > 0.0 {
                let generator = Arc::clone(self);
                senders.spawn(generator.offer_kind(route, profile.clone(), length));
            }
        }
        let mut samples: Vec<Sample> = senders.join_all().await.into_iter().flatten().collect();
        samples.sort_by_key(|sample| sample.scheduled_us);
        samples
    }

    async fn offer_kind(
        self: Arc<Self>,
        route: usize,
        profile: LoadProfile,
        length: Duration,
    ) -> Vec<Sample> {
        let profile = Arc::new(profile);
        let started = Instant::now();
        let mut random = Exponential(route as u64 + 1);
        let mut due = Duration::ZERO;
        let mut sending = JoinSet::new();
        let mut samples = Vec::new();
        loop {
            due += Duration::from_secs_f64(random.draw() / profile.rate);
            let request_number = self.next_request_number.fetch_add(1, Ordering::Relaxed);
            if due > length || request_number > MAX_REQUESTS {
                break;
            }
            let scheduled = started + due;
            time::sleep_until(scheduled).await;
            let generator = Arc::clone(&self);
            let profile = Arc::clone(&profile);
            sending.spawn(generator.send(route, profile, request_number, scheduled));
            while let Some(Ok(sample)) = sending.try_join_next() {
                samples.push(sample);
            }
        }
        samples.extend(sending.join_all().await);
        samples
    }

    async fn send(
        self: Arc<Self>,
        route: usize,
        profile: Arc<LoadProfile>,
        request_number: u64,
        scheduled: Instant,
    ) -> Sample {
        let late = scheduled.elapsed();
        let scheduled_us = time::wall_clock_us().saturating_sub(late.as_micros() as u64);
        let (entry, outcome) =
            if self.in_flight.fetch_add(1, Ordering::Relaxed) < self.max_in_flight {
                let limit = scheduled + profile.deadline + GRACE;
                let mut chosen = 0;
                let call = self.call(&profile, request_number, &mut chosen);
                let outcome = timeout_at(limit.into(), call).await;
                (chosen, outcome.unwrap_or(Outcome::TimedOut))
            } else {
                (0, Outcome::GeneratorOverloaded)
            };
        self.in_flight.fetch_sub(1, Ordering::Relaxed);
        Sample {
            request_number,
            route,
            rank: profile.rank,
            idempotent: profile.idempotent,
            entry,
            scheduled_us,
            latency_us: scheduled.elapsed().as_micros() as u64,
            outcome,
        }
    }

    async fn call(
        &self,
        profile: &LoadProfile,
        request_number: u64,
        chosen: &mut usize,
    ) -> Outcome {
        for _ in 0..self.entries.len() {
            let at = self.next.fetch_add(1, Ordering::Relaxed) % self.entries.len();
            let entry = &self.entries[at];
            *chosen = at;
            // A connection that closed while idle took nothing, so another one is used.
            while let Some(sender) = entry.take().await {
                match exchange(entry, sender, profile, request_number).await {
                    Some(outcome) => {
                        // Behind a link, an entry that is gone accepts connections and breaks them.
                        if outcome == Outcome::ConnectionBroken {
                            entry.pause();
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

impl Entry {
    /// An idle connection or a new one; none if the entry cannot be reached.
    async fn take(&self) -> Option<SendRequest<Body>> {
        let now = Instant::now();
        if lock(&self.down_until).is_some_and(|until| now < until) {
            return None;
        }
        loop {
            let idle = lock(&self.idle).pop();
            let Some(mut idle) = idle else {
                break;
            };
            if idle.since.elapsed() < MAX_IDLE_AGE && idle.sender.ready().await.is_ok() {
                return Some(idle.sender);
            }
        }
        let opened = tokio::time::timeout(CONNECT_LIMIT, http::connect(self.address)).await;
        if let Ok(Ok(sender)) = opened {
            return Some(sender);
        }
        self.pause();
        None
    }

    fn pause(&self) {
        let until = Some(Instant::now() + ENTRY_PAUSE);
        let mut down_until = lock(&self.down_until);
        *down_until = until.max(*down_until);
    }

    fn keep(&self, sender: SendRequest<Body>) {
        let mut idle = lock(&self.idle);
        if !sender.is_closed() && idle.len() < MAX_IDLE {
            let since = Instant::now();
            idle.push(Idle { sender, since });
        }
    }
}

/// Sends on one connection; `None` if nothing of the request was written.
async fn exchange(
    entry: &Entry,
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
        .body(full(if profile.method == "GET" { "" } else { "{}" }));
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
    entry.keep(sender);
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

/// Exponentially distributed numbers with mean 1, from a SplitMix64 generator.
struct Exponential(u64);

impl Exponential {
    fn draw(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut bits = self.0;
        bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        let unit = ((bits ^ (bits >> 31)) >> 11) as f64 / (1_u64 << 53) as f64;
        -(1.0 - unit).ln()
    }
}
