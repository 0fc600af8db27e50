//! Wall clock in microseconds, and sleeps that are more precise than those of the runtime's timer,
//! which rounds up to 1 ms.

use std::cmp::Ordering;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use tokio::sync::oneshot;

/// Returns the microseconds since 1970 by the wall clock, which all processes of a machine share.
pub fn wall_clock_us() -> u64 {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX)
}

/// A sleeping task and the time at which it is woken, by which sleepers are ordered.
struct Sleeper {
    due: Instant,
    wake: oneshot::Sender<()>,
}

impl PartialEq for Sleeper {
    fn eq(&self, other: &Self) -> bool {
        self.due == other.due
    }
}

impl Eq for Sleeper {}

impl PartialOrd for Sleeper {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Sleeper {
    fn cmp(&self, other: &Self) -> Ordering {
        self.due.cmp(&other.due)
    }
}

/// The sleeping tasks and the thread that wakes them.
#[derive(Default)]
struct Timer {
    sleepers: Mutex<BinaryHeap<Reverse<Sleeper>>>,
    /// Notified when a new sleeper is due before all others.
    earliest_changed: Condvar,
}

/// Returns the timer of the process; the first call starts its thread.
fn timer() -> &'static Timer {
    static TIMER: OnceLock<&'static Timer> = OnceLock::new();
    TIMER.get_or_init(|| {
        let timer: &'static Timer = Box::leak(Box::default());
        thread::spawn(|| run_timer(timer));
        timer
    })
}

fn run_timer(timer: &Timer) {
    let mut sleepers = timer
        .sleepers
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    loop {
        let now = Instant::now();
        while sleepers
            .peek()
            .is_some_and(|Reverse(earliest)| earliest.due <= now)
        {
            if let Some(Reverse(sleeper)) = sleepers.pop() {
                // Sending fails if the sleeping task was dropped, which is not an error.
                let _ = sleeper.wake.send(());
            }
        }
        let wait = sleepers
            .peek()
            .map_or(Duration::from_secs(1), |Reverse(earliest)| {
                earliest.due - now
            });
        sleepers = match timer.earliest_changed.wait_timeout(sleepers, wait) {
            Ok((sleepers, _)) => sleepers,
            Err(error) => error.into_inner().0,
        };
    }
}

/// Sleeps until `due`, with an error of about 0.1 ms.
pub async fn sleep_until(due: Instant) {
    if due <= Instant::now() {
        return;
    }
    let (wake, woken) = oneshot::channel();
    let timer = timer();
    {
        let mut sleepers = timer
            .sleepers
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let is_earliest = sleepers
            .peek()
            .is_none_or(|Reverse(earliest)| due < earliest.due);
        sleepers.push(Reverse(Sleeper { due, wake }));
        if is_earliest {
            timer.earliest_changed.notify_one();
        }
    }
    let _ = woken.await;
}

/// Sleeps for `duration`, as precisely as [`sleep_until`].
pub async fn sleep(duration: Duration) {
    sleep_until(Instant::now() + duration).await;
}
