//! Tests of the scheduler of large bodies, alone and beside small responses on a link.

use std::time::Duration;

use rstest::rstest;

use ids::Rank;
use kernel::Time;
use link::Body;
use link::BodyKey;
use link::Grant;
use link::Rate;
use link::Scheduler;

/// Rate of the slower of the links that the scheduler is made for, and the bytes that it carries in a second.
const MBPS: f64 = 12.0;
const LINK_BYTES_PER_SECOND: f64 = 1_500_000.0;
/// Piece of a body on this link.
const PIECE_BYTES: u64 = 6_000;
const LARGE_BYTES: u64 = 90_000;
const FAR: Time = Time(100_000_000);

fn millis(millis: u64) -> Time {
    Time(millis * 1_000)
}

fn body(rank: u8, objective: Option<Time>, deadline: Time) -> Body {
    Body {
        rank: Rank(rank),
        objective,
        deadline,
        bytes: Some(LARGE_BYTES),
    }
}

fn wake(scheduler: &mut Scheduler, now: Time) -> Vec<BodyKey> {
    let mut woken = Vec::new();
    scheduler.wake(now, &mut woken);
    woken
}

/// Pseudo-random number in 0..1, the same in each run.
struct Sequence(u64);

impl Sequence {
    fn next(&mut self) -> f64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        (self.0 >> 40) as f64 / (1u64 << 24) as f64
    }

    /// Exponentially distributed number with this mean.
    fn exponential(&mut self, mean: f64) -> f64 {
        -(1.0 - self.next()).ln() * mean
    }
}

/// A link that sends what is written in order, with headers for each segment.
#[derive(Default)]
struct Link {
    free_at: Time,
}

impl Link {
    /// Writes bytes and returns how long it takes until the last one is sent.
    fn write(&mut self, now: Time, bytes: u64) -> Duration {
        let wire = bytes + bytes.div_ceil(1_448) * 66;
        let time = Duration::from_secs_f64(wire as f64 / LINK_BYTES_PER_SECOND);
        self.free_at = self.free_at.max(now) + time;
        now.until(self.free_at)
    }
}

/// Results of a run of small responses beside large bodies.
#[derive(Debug, Default)]
struct Run {
    /// By how much each small response was later than on a link without large ones.
    added_delays: Vec<Duration>,
    /// Steps in which large bodies were open, and those of them in which the link was idle.
    busy_steps: u64,
    idle_steps: u64,
    large_sent: u64,
    wakes: u64,
}

/// Runs a link for 30 s. Timers fire up to 1 ms late, as in the runtime.
fn run(small_load: f64, large_load: f64) -> Run {
    let mut random = Sequence(7);
    let mut scheduler = Scheduler::new(Rate::from_mbps(MBPS));
    let (mut link, mut link_without_large) = (Link::default(), Link::default());
    let mut run = Run::default();
    let mut remaining: Vec<(BodyKey, u64)> = Vec::new();
    let micros = |bytes: f64, load: f64| bytes / (load * LINK_BYTES_PER_SECOND) * 1e6;
    let (mut next_small, mut next_large) = (0.0, 0.0);
    let mut timer: Option<u64> = None;
    for now in (0..30_000_000_u64).step_by(50) {
        let time = Time(now);
        let mut ready = Vec::new();
        while next_small <= now as f64 {
            let bytes = 200 + random.exponential(2_800.0) as u64;
            let delay_alone = link_without_large.write(time, bytes);
            run.added_delays.push(link.write(time, bytes) - delay_alone);
            scheduler.record_written(time, bytes);
            next_small += random.exponential(micros(3_000.0, small_load));
        }
        while next_large <= now as f64 {
            let bytes = 20_000 + random.exponential(70_000.0) as u64;
            let deadline = time + Duration::from_millis(1_200);
            let objective = Some(time + Duration::from_millis(500));
            let bytes_known = Body {
                bytes: Some(bytes),
                ..body(2, objective, deadline)
            };
            let key = scheduler.open(time, bytes_known);
            remaining.push((key, bytes));
            ready.push(key);
            next_large += random.exponential(micros(90_000.0, large_load));
        }
        if timer.is_some_and(|due| due <= now) {
            timer = None;
            run.wakes += 1;
            scheduler.wake(time, &mut ready);
        }
        while let Some(key) = ready.pop() {
            let Some(index) = remaining.iter().position(|(it, _)| *it == key) else {
                continue;
            };
            match scheduler.request(time, key) {
                Grant::Wait => continue,
                Grant::Send(bytes) => {
                    link.write(time, bytes);
                    run.large_sent += bytes;
                    remaining[index].1 -= bytes;
                }
                Grant::Expired => remaining[index].1 = u64::MAX,
            }
            if [0, u64::MAX].contains(&remaining[index].1) {
                remaining.remove(index);
                scheduler.close(key);
            } else {
                ready.push(key);
            }
        }
        run.busy_steps += u64::from(!remaining.is_empty());
        run.idle_steps += u64::from(!remaining.is_empty() && link.free_at < time);
        let due = scheduler
            .next_wake()
            .map(|due| due.0.div_ceil(1_000).max(now / 1_000 + 1) * 1_000);
        timer = timer.min(due).or(due);
    }
    run.added_delays.sort_unstable();
    run
}

/// Guards against small responses that wait behind large ones: a response of 90 KB takes 65 ms on this link, a piece
/// and what was left before it 6 ms. Also against a link that stays idle while large ones wait, and against more than
/// two or three wake-ups of the timer for a piece.
#[rstest]
#[case::light(0.2, 0.5)]
#[case::full(0.2, 0.8)]
#[case::overloaded(0.2, 1.0)]
#[case::mostly_small(0.5, 0.7)]
fn small_delay_load(#[case] small: f64, #[case] large: f64) {
    let run = run(small, large);
    let p99 = run.added_delays[run.added_delays.len() * 99 / 100];
    assert!(p99 < Duration::from_millis(9), "{p99:?}");
    assert!(
        run.idle_steps * 100 < 7 * run.busy_steps,
        "{} of {}",
        run.idle_steps,
        run.busy_steps
    );
    let pieces = run.large_sent / PIECE_BYTES;
    assert!(
        2 * run.wakes < 5 * pieces,
        "{} wakes, {pieces} pieces",
        run.wakes
    );
}

/// Guards against a wrong order of waiting bodies: what can meet its objective goes first, then what can meet its
/// deadline, then by rank and due time; what can meet neither comes last. A body of 90 KB takes 65 ms.
#[rstest]
#[case::objective_before_rank(body(0, Some(millis(40)), FAR), body(2, Some(millis(500)), FAR))]
#[case::rank(body(2, Some(millis(300)), FAR), body(1, Some(millis(500)), FAR))]
#[case::due(body(1, Some(millis(500)), FAR), body(1, Some(millis(300)), FAR))]
#[case::deadline_is_due(body(1, None, millis(500)), body(1, None, millis(300)))]
#[case::lost_goes_last(body(0, None, millis(40)), body(2, Some(millis(40)), millis(900)))]
fn order_case(#[case] later: Body, #[case] first: Body) {
    let mut scheduler = Scheduler::new(Rate::from_mbps(MBPS));
    scheduler.record_written(Time(0), 10_000);
    let keys = [later, first].map(|it| scheduler.open(Time(0), it));
    for key in keys {
        assert_eq!(scheduler.request(Time(0), key), Grant::Wait);
    }
    assert_eq!(wake(&mut scheduler, millis(6)), [keys[1]]);
    assert_eq!(
        scheduler.request(millis(6), keys[1]),
        Grant::Send(PIECE_BYTES)
    );
}

/// Guards against bodies that share the link, so that all of them end late: the second one gets nothing before
/// the first one has its last piece.
#[test]
fn order_one_after_another() {
    let mut scheduler = Scheduler::new(Rate::from_mbps(MBPS));
    let first = scheduler.open(Time(0), body(2, None, millis(900)));
    let second = scheduler.open(Time(0), body(2, None, millis(901)));
    let mut sent = [0, 0];
    for now in 0..70 {
        wake(&mut scheduler, millis(now));
        for (index, key) in [first, second].into_iter().enumerate() {
            while sent[index] < LARGE_BYTES
                && let Grant::Send(bytes) = scheduler.request(millis(now), key)
            {
                sent[index] += bytes;
                assert!(index == 0 || sent[0] == LARGE_BYTES);
            }
        }
    }
    assert!(sent[1] > 0);
}

/// Guards against a peer that stops reading, or leaves, and keeps the link for itself: the others go on, and a granted
/// piece that was never claimed is free again.
#[rstest]
#[case::stops_reading(false)]
#[case::leaves(true)]
fn peer_stops(#[case] leaves: bool) {
    let mut scheduler = Scheduler::new(Rate::from_mbps(MBPS));
    scheduler.record_written(Time(0), 10_000);
    let stopped = scheduler.open(Time(0), body(0, None, FAR));
    let other = scheduler.open(Time(0), body(1, None, FAR));
    for key in [stopped, other] {
        assert_eq!(scheduler.request(Time(0), key), Grant::Wait);
    }
    assert_eq!(wake(&mut scheduler, millis(6)), [stopped]);
    if leaves {
        scheduler.close(stopped);
        assert_eq!(wake(&mut scheduler, millis(6)), [other]);
        assert_eq!(scheduler.open_bodies(), 1);
        return;
    }
    // The piece counts as written, because it may be on its way; after that the other body goes on alone.
    let mut sent = 0;
    for now in 7..27 {
        wake(&mut scheduler, millis(now));
        if let Grant::Send(bytes) = scheduler.request(millis(now), other) {
            sent += bytes;
        }
    }
    assert!(sent >= 4 * PIECE_BYTES, "{sent}");
}

/// Guards against large bodies that starve behind small traffic: they keep a tenth of the link, and no more than that
/// while the link is full.
#[rstest]
#[case::full(1.0)]
#[case::overloaded(1.5)]
fn share_kept(#[case] small_load: f64) {
    let mut scheduler = Scheduler::new(Rate::from_mbps(MBPS));
    let endless = Body {
        bytes: None,
        ..body(3, None, FAR)
    };
    let key = scheduler.open(Time(0), endless);
    let mut sent = 0;
    for now in 0..10_000 {
        let small = (LINK_BYTES_PER_SECOND * small_load / 1_000.0) as u64;
        scheduler.record_written(millis(now), small);
        wake(&mut scheduler, millis(now));
        if let Grant::Send(bytes) = scheduler.request(millis(now), key) {
            sent += bytes;
        }
    }
    let share = sent as f64 / (10.0 * LINK_BYTES_PER_SECOND);
    assert!((0.085..0.11).contains(&share), "{share}");
}

/// Guards against large bodies that add to what other writes have left in the kernel: the first piece waits until
/// 2 ms of it are left, and a write of small segments counts with their headers.
#[rstest]
#[case::nothing(0, 0, 0)]
#[case::below_low_water(2, 1_000, 0)]
#[case::segments(10, 1_448, 8)]
#[case::headers(100, 100, 9)]
fn unpaced_bytes(#[case] writes: u64, #[case] bytes: u64, #[case] wait_ms: u64) {
    let mut scheduler = Scheduler::new(Rate::from_mbps(MBPS));
    for _ in 0..writes {
        scheduler.record_written(Time(0), bytes);
    }
    let key = scheduler.open(Time(0), body(2, None, FAR));
    let granted = scheduler.request(Time(0), key) != Grant::Wait;
    let due = scheduler.next_wake().map_or(0, |it| it.0 / 1_000);
    assert_eq!((granted, due), (wait_ms == 0, wait_ms));
}

/// Guards against a body that waits beyond its deadline: it is woken then and told so, even if the link is busy.
#[test]
fn deadline_passed() {
    let mut scheduler = Scheduler::new(Rate::from_mbps(MBPS));
    let writing = scheduler.open(Time(0), body(0, None, FAR));
    assert_eq!(
        scheduler.request(Time(0), writing),
        Grant::Send(PIECE_BYTES)
    );
    scheduler.record_written(Time(0), 1_000_000);
    let key = scheduler.open(Time(0), body(2, None, millis(20)));
    assert_eq!(scheduler.request(Time(0), key), Grant::Wait);
    assert_eq!(scheduler.next_wake(), Some(millis(20)));
    assert_eq!(wake(&mut scheduler, millis(20)), [key]);
    assert_eq!(scheduler.request(millis(20), key), Grant::Expired);
    assert_eq!(scheduler.next_wake(), None);
}

/// Guards against a body of unknown length that takes its pieces from the sum of the others, so that the backlog wraps
/// around and the owner refuses every large response.
#[rstest]
fn backlog_unknown_length() {
    let mut scheduler = Scheduler::new(Rate::from_mbps(12.0));
    let unknown = Body {
        bytes: None,
        ..body(0, None, millis(10_000))
    };
    let unknown = scheduler.open(millis(0), unknown);
    let known = scheduler.open(millis(0), body(0, None, millis(10_000)));
    for step in 1..100 {
        scheduler.request(millis(step * 10), unknown);
        wake(&mut scheduler, millis(step * 10 + 5));
    }
    scheduler.close(known);
    scheduler.close(unknown);
    assert_eq!(scheduler.backlog(millis(20_000)), 0);
}

/// Guards against a wrong backlog: it counts what the kernel holds and what open bodies have left, and nothing once
/// these are closed and the link was idle.
#[test]
fn backlog_counts() {
    let mut scheduler = Scheduler::new(Rate::from_mbps(MBPS));
    let key = scheduler.open(Time(0), body(2, None, FAR));
    assert_eq!(scheduler.backlog(Time(0)), LARGE_BYTES);
    assert_eq!(scheduler.request(Time(0), key), Grant::Send(PIECE_BYTES));
    let backlog = scheduler.backlog(Time(0));
    assert!(
        (LARGE_BYTES..LARGE_BYTES + 500).contains(&backlog),
        "{backlog}"
    );
    scheduler.close(key);
    assert_eq!(scheduler.backlog(millis(10)), 0);
}

/// Guards against pieces and unpaced bodies that occupy a slow link for more than some milliseconds, and against pieces
/// that are too small to be worth a wake-up.
#[rstest]
#[case::slowest(0.1, 4_096, 8_192)]
#[case::small_instance(12.0, 6_000, 12_000)]
#[case::large_instance(200.0, 65_536, 65_536)]
fn piece_rate(#[case] mbps: f64, #[case] piece: u64, #[case] paced_above: u64) {
    let mut scheduler = Scheduler::new(Rate::from_mbps(mbps));
    assert_eq!(scheduler.paced_above(), paced_above);
    let key = scheduler.open(Time(0), body(0, None, FAR));
    assert_eq!(scheduler.request(Time(0), key), Grant::Send(piece));
}
