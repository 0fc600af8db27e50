//! Wall time in microseconds, and sleeps finer than the millisecond of the runtime's timer.

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

/// Microseconds since 1970; the processes of one machine share this clock.
pub fn wall_clock_us() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
}

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

#[derive(Default)]
struct Timer {
    sleepers: Mutex<BinaryHeap<Reverse<Sleeper>>>,
    earlier: Condvar,
}

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
            .is_some_and(|Reverse(first)| first.due <= now)
        {
            if let Some(Reverse(sleeper)) = sleepers.pop() {
                // The sleeper was dropped if nobody receives this.
                let _ = sleeper.wake.send(());
            }
        }
        let wait = sleepers
            .peek()
            .map_or(Duration::from_secs(1), |Reverse(first)| first.due - now);
        sleepers = match timer.earlier.wait_timeout(sleepers, wait) {
            Ok((sleepers, _)) => sleepers,
            Err(error) => error.into_inner().0,
        };
    }
}

/// Sleeps until `due` with about 0.1 ms of error; the runtime's own timer rounds up to 1 ms.
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
        let first = sleepers.peek().is_none_or(|Reverse(first)| due < first.due);
        sleepers.push(Reverse(Sleeper { due, wake }));
        if first {
            timer.earlier.notify_one();
        }
    }
    let _ = woken.await;
}

/// Sleeps for `time`, as finely as [`sleep_until`].
pub async fn sleep(time: Duration) {
    sleep_until(Instant::now() + time).await;
}
