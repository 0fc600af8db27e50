//! Load generator: open loop, bounded in count and time.
//!
//! Requests are sent by schedule, not by answers, and latency counts from the scheduled time, so a
//! slow mesh shows in the figures instead of slowing the load.

pub mod answer;
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

use answer::BOOKING;
use answer::classify;
use http_body_util::BodyExt;
use hyper::Request;
use hyper::client::conn::http1::SendRequest;
use sample::Class;
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
pub struct Kind {
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
pub struct Callers {
    entries: Vec<Entry>,
    next: AtomicUsize,
    next_booking: AtomicU64,
    open: AtomicUsize,
    max_open: usize,
}

impl Callers {
    /// Callers with at most `max_open` requests open.
    pub fn new(addresses: &[SocketAddr], max_open: usize) -> Arc<Self> {
        let entry = |address: &SocketAddr| Entry {
            address: *address,
            idle: Mutex::default(),
            down_until: Mutex::default(),
        };
        Arc::new(Self {
            entries: addresses.iter().map(entry).collect(),
            next: AtomicUsize::new(0),
            next_booking: AtomicU64::new(1),
            open: AtomicUsize::new(0),
            max_open,
        })
    }

    /// Passes an entry over from now on, as callers do that learn of its end.
    pub fn forget(&self, address: SocketAddr) {
        let gone = self.entries.iter().filter(|it| it.address == address);
        for entry in gone {
            *lock(&entry.down_until) = Some(Instant::now() + FORGET_TIME);
        }
    }

    /// Offers requests of all kinds for `length` and waits for their outcomes.
    pub async fn offer(self: &Arc<Self>, kinds: &[Kind], length: Duration) -> Vec<Sample> {
        let mut senders = JoinSet::new();
        for (route, kind) in kinds.iter().enumerate() {
            if kind.rate > 0.0 {
                let callers = Arc::clone(self);
                senders.spawn(callers.offer_kind(route, kind.clone(), length));
            }
        }
        let mut samples: Vec<Sample> = senders.join_all().await.into_iter().flatten().collect();
        samples.sort_by_key(|sample| sample.scheduled_us);
        samples
    }

    async fn offer_kind(
        self: Arc<Self>,
        route: usize,
        kind: Kind,
        length: Duration,
    ) -> Vec<Sample> {
        let kind = Arc::new(kind);
        let started = Instant::now();
        let mut random = Exponential(route as u64 + 1);
        let mut due = Duration::ZERO;
        let mut sending = JoinSet::new();
        let mut samples = Vec::new();
        loop {
            due += Duration::from_secs_f64(random.draw() / kind.rate);
            let booking = self.next_booking.fetch_add(1, Ordering::Relaxed);
            if due > length || booking > MAX_REQUESTS {
                break;
            }
            let scheduled = started + due;
            time::sleep_until(scheduled).await;
            let callers = Arc::clone(&self);
            let kind = Arc::clone(&kind);
            sending.spawn(callers.send(route, kind, booking, scheduled));
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
        kind: Arc<Kind>,
        booking: u64,
        scheduled: Instant,
    ) -> Sample {
        let late = scheduled.elapsed();
        let scheduled_us = time::wall_us().saturating_sub(late.as_micros() as u64);
        let (entry, class) = if self.open.fetch_add(1, Ordering::Relaxed) < self.max_open {
            let limit = scheduled + kind.deadline + GRACE;
            let mut chosen = 0;
            let call = self.call(&kind, booking, &mut chosen);
            let class = timeout_at(limit.into(), call).await;
            (chosen, class.unwrap_or(Class::TimedOut))
        } else {
            (0, Class::Overrun)
        };
        self.open.fetch_sub(1, Ordering::Relaxed);
        Sample {
            booking,
            route,
            rank: kind.rank,
            idempotent: kind.idempotent,
            entry,
            scheduled_us,
            latency_us: scheduled.elapsed().as_micros() as u64,
            class,
        }
    }

    async fn call(&self, kind: &Kind, booking: u64, chosen: &mut usize) -> Class {
        for _ in 0..self.entries.len() {
            let at = self.next.fetch_add(1, Ordering::Relaxed) % self.entries.len();
            let entry = &self.entries[at];
            *chosen = at;
            // A connection that closed while idle took nothing, so another one is used.
            while let Some(sender) = entry.take().await {
                match exchange(entry, sender, kind, booking).await {
                    Some(class) => {
                        // Behind a link, an entry that is gone accepts connections and breaks them.
                        if class == Class::Broken {
                            entry.pause();
                        }
                        return class;
                    }
                    None => continue,
                }
            }
        }
        Class::Unreachable
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
    kind: &Kind,
    booking: u64,
) -> Option<Class> {
    let path = kind.path.replace("{}", &(booking % 97).to_string());
    let request = Request::builder()
        .method(kind.method)
        .uri(path)
        .header("host", "mesh")
        .header(BOOKING, booking)
        .body(full(if kind.method == "GET" { "" } else { "{}" }));
    let Ok(request) = request else {
        return Some(Class::Unreachable);
    };
    let response = match sender.try_send_request(request).await {
        Ok(response) => response,
        Err(mut error) => {
            return error.take_message().is_none().then_some(Class::Broken);
        }
    };
    let (head, body) = response.into_parts();
    let Ok(body) = body.collect().await else {
        return Some(Class::Broken);
    };
    entry.keep(sender);
    let class = classify(
        booking,
        head.status.as_u16(),
        &head.headers,
        &body.to_bytes(),
    );
    Some(class)
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
