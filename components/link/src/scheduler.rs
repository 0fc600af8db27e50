//! Pacing of large bodies on the link of an instance.
//!
//! The scheduler estimates how many bytes the kernel holds for the link from what was written and from
//! the rate of the link. It grants the next piece of one of the waiting bodies whenever little is left there. It
//! only decides: its owner moves the bytes, reports what was written and calls [`Scheduler::wake`] in time.

mod body;

use std::time::Duration;

use body::OpenBody;
use body::Urgency;

use kernel::Arena;
use kernel::Time;

pub use body::Body;
pub use body::BodyKey;
pub use body::Grant;

/// Time that the link takes for one piece of a body. A small response waits about this long behind a piece;
/// each piece costs a timer and a wake-up, so shorter ones would cost more processor time.
const PIECE_TIME: Duration = Duration::from_millis(4);
/// Bounds of a piece, in bytes. Below the lower one the cost of wake-ups exceeds that of sending.
const MIN_PIECE_BYTES: u64 = 4 * 1024;
const MAX_PIECE_BYTES: u64 = 64 * 1024;
/// Time for which the kernel still has bytes to send when the next piece is granted. Timers of the runtime have a
/// resolution of 1 ms, and the link must not fall idle until the piece is written.
const LOW_WATER_TIME: Duration = Duration::from_millis(2);
/// Bodies longer than this many pieces, or than the longest piece, are paced. Shorter ones are not worth the wait: the link
/// carries them in 8 ms at most.
const PACED_PIECES: u64 = 2;
/// Part of the rate that is used, so that the estimate does not fall behind the kernel. The rest is for datagrams,
/// control calls and acknowledgements of received data, which are not counted.
const USABLE_SHARE: f64 = 0.97;
/// Payload of a TCP segment on a link with an MTU of 1,500 bytes, and the bytes of its Ethernet, IP and TCP headers.
const SEGMENT_BYTES: u64 = 1_448;
const SEGMENT_HEADER_BYTES: u64 = 66;
/// Large bodies get one piece in the time that the link takes for this many, whatever else is written.
const GUARANTEED_SHARE_DIVISOR: f64 = 10.0;
/// Most bytes that the kernel is taken to hold, as time on the link. If the link is faster than stated, the estimate
/// would otherwise rise without bound.
const MAX_QUEUE_TIME: Duration = Duration::from_secs(1);

/// Rate of a link, in bytes a second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rate {
    bytes_per_second: f64,
}

impl Rate {
    /// Creates a rate from megabits a second.
    pub fn from_mbps(mbps: f64) -> Self {
        Self {
            bytes_per_second: mbps * 1_000_000.0 / 8.0,
        }
    }

    /// Bytes that the link carries in a second.
    pub fn bytes_per_second(self) -> f64 {
        self.bytes_per_second
    }

    /// Bytes that the link carries in `duration`.
    fn bytes_in(self, duration: Duration) -> f64 {
        self.bytes_per_second * duration.as_secs_f64()
    }

    /// Time that the link takes for `bytes`.
    fn time_for(self, bytes: f64) -> Duration {
        Duration::try_from_secs_f64(bytes / self.bytes_per_second).unwrap_or(Duration::MAX)
    }
}

/// Grants pieces of large bodies, so that the kernel never holds more than a few milliseconds of them.
#[derive(Clone, Debug)]
pub struct Scheduler {
    /// Rate at which the estimate of the kernel's queue falls.
    usable_rate: Rate,
    piece_bytes: u64,
    bodies: Arena<OpenBody>,
    /// Bodies that wait for a grant.
    waiting: Vec<BodyKey>,
    /// Estimate of the bytes on the link that the kernel held at `updated`, with headers.
    kernel_bytes: f64,
    updated: Time,
    /// Time at which the guaranteed share allows the next piece.
    share_due: Time,
    /// Bytes of open bodies that were not granted yet.
    ungranted_bytes: u64,
}

impl Scheduler {
    /// Creates a scheduler for a link of this rate.
    pub fn new(rate: Rate) -> Self {
        let piece_bytes = rate.bytes_in(PIECE_TIME) as u64;
        Self {
            usable_rate: Rate {
                bytes_per_second: rate.bytes_per_second * USABLE_SHARE,
            },
            piece_bytes: piece_bytes.clamp(MIN_PIECE_BYTES, MAX_PIECE_BYTES),
            bodies: Arena::default(),
            waiting: Vec::new(),
            kernel_bytes: 0.0,
            updated: Time::default(),
            share_due: Time::default(),
            ungranted_bytes: 0,
        }
    }

    /// Length above which a body is paced, in bytes.
    pub fn paced_above(&self) -> u64 {
        (PACED_PIECES * self.piece_bytes).min(MAX_PIECE_BYTES)
    }

    /// Adds a body that is to be sent in pieces.
    pub fn open(&mut self, now: Time, body: Body) -> BodyKey {
        self.drain_kernel(now);
        let ungranted = body.bytes.unwrap_or(0);
        self.ungranted_bytes += ungranted;
        self.bodies.insert(OpenBody {
            body,
            ungranted,
            granted: None,
        })
    }

    /// Asks for the next piece of a body. The piece counts as written once it is granted. A body that has to wait is
    /// listed by a later [`Scheduler::wake`] and then asks again.
    pub fn request(&mut self, now: Time, key: BodyKey) -> Grant {
        self.drain_kernel(now);
        let Some(body) = self.bodies.get_mut(key) else {
            return Grant::Expired;
        };
        if let Some(bytes) = body.granted.take() {
            return Grant::Send(bytes);
        }
        if body.body.deadline <= now {
            self.stop_waiting(key);
            return Grant::Expired;
        }
        self.start_waiting(now, key);
        if self.next_turn() <= now && self.find_best(now) == Some(key) {
            return self.grant(now, key).map_or(Grant::Wait, Grant::Send);
        }
        Grant::Wait
    }

    /// Counts bytes of a write that were not granted.
    pub fn record_written(&mut self, now: Time, bytes: u64) {
        self.drain_kernel(now);
        self.add_to_kernel(bytes);
    }

    /// Removes a body, whether all of it was sent or not.
    pub fn close(&mut self, key: BodyKey) {
        self.stop_waiting(key);
        if let Some(body) = self.bodies.remove(key) {
            self.ungranted_bytes -= body.ungranted;
            let unclaimed = wire_bytes(body.granted.unwrap_or(0));
            self.kernel_bytes = (self.kernel_bytes - unclaimed).max(0.0);
        }
    }

    /// Adds the bodies to `woken` that can continue: those with a granted piece and those whose deadline has
    /// passed.
    pub fn wake(&mut self, now: Time, woken: &mut Vec<BodyKey>) {
        self.drain_kernel(now);
        let bodies = &self.bodies;
        self.waiting.retain(|key| {
            let expired = bodies.get(*key).is_none_or(|it| it.body.deadline <= now);
            if expired {
                woken.push(*key);
            }
            !expired
        });
        while self.next_turn() <= now
            && let Some(key) = self.find_best(now)
        {
            let granted = self.grant(now, key);
            if let Some(body) = self.bodies.get_mut(key) {
                body.granted = granted;
            }
            woken.push(key);
        }
    }

    /// When [`Scheduler::wake`] is due; `None` while no body waits.
    pub fn next_wake(&self) -> Option<Time> {
        let deadlines = self.waiting.iter().filter_map(|key| self.bodies.get(*key));
        let first_deadline = deadlines.map(|it| it.body.deadline).min()?;
        Some(first_deadline.min(self.next_turn()))
    }

    /// Earliest time of the next grant if nothing else is written until then.
    pub fn next_turn(&self) -> Time {
        let low_water = self.usable_rate.bytes_in(LOW_WATER_TIME);
        let excess = (self.kernel_bytes - low_water).max(0.0);
        // The estimate has fallen below the low-water mark a microsecond later at the latest.
        let rounding = Duration::from_micros(u64::from(excess > 0.0));
        let drained = self.updated + self.usable_rate.time_for(excess) + rounding;
        drained.min(self.share_due)
    }

    /// Bytes that wait to be sent: those in the kernel and those of open bodies whose length is known.
    pub fn backlog(&self, now: Time) -> u64 {
        self.kernel_bytes_at(now) as u64 + self.ungranted_bytes
    }

    /// Number of open bodies.
    pub fn open_bodies(&self) -> usize {
        self.bodies.len()
    }

    fn kernel_bytes_at(&self, now: Time) -> f64 {
        let sent = self.usable_rate.bytes_in(now.since(self.updated));
        (self.kernel_bytes - sent).max(0.0)
    }

    fn drain_kernel(&mut self, now: Time) {
        self.kernel_bytes = self.kernel_bytes_at(now);
        self.updated = self.updated.max(now);
    }

    fn add_to_kernel(&mut self, bytes: u64) {
        let most = self.usable_rate.bytes_in(MAX_QUEUE_TIME);
        self.kernel_bytes = (self.kernel_bytes + wire_bytes(bytes)).min(most);
    }

    /// Grants the next piece of a body.
    fn grant(&mut self, now: Time, key: BodyKey) -> Option<u64> {
        self.stop_waiting(key);
        let body = self.bodies.get_mut(key)?;
        let ungranted = body.ungranted;
        let bytes = body.take_piece(self.piece_bytes);
        // A body of unknown length is in neither sum.
        self.ungranted_bytes -= ungranted - body.ungranted;
        let bytes = bytes.max(1);
        self.add_to_kernel(bytes);
        let share_interval = self.share_interval();
        // A piece that was granted a little late does not delay the next one.
        let is_late = now.since(self.share_due) < share_interval;
        let start = if is_late {
            self.share_due.min(now)
        } else {
            now
        };
        self.share_due = start + share_interval;
        Some(bytes)
    }

    /// The waiting body that is granted first.
    fn find_best(&self, now: Time) -> Option<BodyKey> {
        self.waiting
            .iter()
            .filter_map(|key| Some((self.urgency(now, *key)?, *key)))
            .min()
            .map(|(_, key)| key)
    }

    fn urgency(&self, now: Time, key: BodyKey) -> Option<Urgency> {
        let body = self.bodies.get(key)?;
        let end = now + self.usable_rate.time_for(wire_bytes(body.ungranted));
        Some(body.urgency(end))
    }

    fn start_waiting(&mut self, now: Time, key: BodyKey) {
        // The guaranteed share does not accrue while no body waits for it.
        if self.waiting.is_empty() && self.share_due <= now {
            self.share_due = now + self.share_interval();
        }
        if !self.waiting.contains(&key) {
            self.waiting.push(key);
        }
    }

    /// Time between two pieces of the guaranteed share.
    fn share_interval(&self) -> Duration {
        let piece_time = self.usable_rate.time_for(wire_bytes(self.piece_bytes));
        piece_time.mul_f64(GUARANTEED_SHARE_DIVISOR)
    }

    fn stop_waiting(&mut self, key: BodyKey) {
        self.waiting.retain(|it| *it != key);
    }
}

/// Bytes that a write of this length takes on the link.
fn wire_bytes(bytes: u64) -> f64 {
    (bytes + bytes.div_ceil(SEGMENT_BYTES) * SEGMENT_HEADER_BYTES) as f64
}
