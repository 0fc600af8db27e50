//! Load pattern: an upstream in need names how many requests a second it accepts, and far more arrive.
//!
//! The upstream neither refuses requests nor slows down, so that nothing but its statement shows the limit.

use std::time::Duration;

use rstest::rstest;

use admit::FifoAdmission;
use admit::RankedAdmission;
use errors::Reason;
use ids::Rank;
use ids::RouteId;
use kernel::Time;
use kernel::plugin::Params;
use policy::Admission;
use policy::Completion;
use policy::Decision;
use policy::Job;
use policy::RequestRate;
use policy::Ticket;

/// Microseconds in a millisecond and in a second.
const MS: u64 = 1_000;
const SECOND: u64 = 1_000 * MS;
const SLOTS: u32 = 13;
/// Service time of each request.
const SERVICE_TIME: u64 = 61 * MS;

/// Runs an admission policy under a steady load.
struct Upstream {
    admission: Box<dyn Admission>,
    now: u64,
    last_ticket: u64,
    /// Tickets and ends of the running requests, in the order of their starts.
    running: Vec<(u64, u64)>,
    /// Times of all starts.
    starts: Vec<u64>,
    /// Tickets of the started requests.
    started: Vec<u64>,
    refusals: Vec<(u64, Reason, Duration)>,
}

impl Upstream {
    fn new(name: &str) -> Self {
        let params = Params::default();
        let admission: Box<dyn Admission> = if name == "fifo" {
            Box::new(FifoAdmission::from_params(&params).expect("the params are valid"))
        } else {
            Box::new(RankedAdmission::from_params(&params).expect("the params are valid"))
        };
        let mut upstream = Self {
            admission,
            now: 0,
            last_ticket: 0,
            running: Vec::new(),
            starts: Vec::new(),
            started: Vec::new(),
            refusals: Vec::new(),
        };
        let mut decisions = Vec::new();
        upstream.admission.set_slots(Time(0), SLOTS, &mut decisions);
        upstream.admission.end_slow_start(Time(0), &mut decisions);
        upstream
    }

    fn set_limit(&mut self, per_second: Option<f64>) {
        let rate = per_second.and_then(RequestRate::from_per_second);
        let mut decisions = Vec::new();
        let now = Time(self.now);
        self.admission.set_rate_limit(now, rate, &mut decisions);
        self.apply(decisions);
    }

    fn apply(&mut self, decisions: Vec<Decision>) {
        for decision in decisions {
            match decision {
                Decision::Start(Ticket(ticket)) => {
                    self.running.push((ticket, self.now + SERVICE_TIME));
                    self.starts.push(self.now);
                    self.started.push(ticket);
                }
                Decision::Refuse {
                    ticket: Ticket(ticket),
                    reason,
                    retry_after,
                } => self.refusals.push((ticket, reason, retry_after)),
            }
        }
    }

    /// Offers a request of the rank that expires after `time_left`, and returns its ticket.
    fn offer(&mut self, rank: u8, time_left: u64) -> u64 {
        self.last_ticket += 1;
        let job = Job {
            ticket: Ticket(self.last_ticket),
            route: RouteId(u64::from(rank)),
            rank: Rank(rank),
            weight: 1,
            expires: Time(self.now + time_left),
            objective: None,
            spillable: false,
            onward: false,
            organisation: None,
        };
        let mut decisions = Vec::new();
        self.admission.offer(Time(self.now), job, &mut decisions);
        self.apply(decisions);
        self.last_ticket
    }

    /// Advances the time to `end`, and wakes the policy when it asks for it.
    fn run_until(&mut self, end: u64) {
        loop {
            let next_end = self.running.first().map(|(_, ends)| *ends);
            let next_wake = self.admission.next_wake().map(|due| due.0.max(self.now));
            let Some(next) = next_end.into_iter().chain(next_wake).min() else {
                break;
            };
            if next > end {
                break;
            }
            self.now = next;
            let mut decisions = Vec::new();
            if next_end == Some(next) {
                let (ticket, _) = self.running.remove(0);
                let completion = Completion {
                    latency: Duration::from_micros(SERVICE_TIME),
                    shed: false,
                };
                self.admission
                    .finish(Time(next), Ticket(ticket), completion, &mut decisions);
            } else {
                self.admission.wake(Time(next), &mut decisions);
                assert!(
                    self.admission
                        .next_wake()
                        .is_none_or(|due| due > Time(next)),
                    "a wake-up without an effect is due again at once"
                );
            }
            self.apply(decisions);
        }
        self.now = end;
    }

    /// Offers `per_second` requests a second until `end`.
    fn load_until(&mut self, end: u64, per_second: u64, rank: u8, time_left: u64) {
        while self.now < end {
            self.offer(rank, time_left);
            let next = (self.now + SECOND / per_second).min(end);
            self.run_until(next);
        }
    }

    fn starts_between(&self, from: u64, to: u64) -> usize {
        let started = self.starts.iter().filter(|at| (from..to).contains(at));
        started.count()
    }

    /// Maximum number of starts in a span of this length that begins at `from` or later.
    fn max_starts(&self, from: u64, span: u64) -> usize {
        let begins = self.starts.iter().filter(|at| **at >= from);
        let counts = begins.map(|begin| self.starts_between(*begin, begin + span));
        counts.max().unwrap_or_default()
    }
}

/// Guards against an upstream that gets its usual traffic although it names a limit, and against one that
/// gets less than it offers to take.
#[rstest]
fn offer_rate_limit(
    #[values("ranked", "fifo")] name: &str,
    #[values(0.5, 1.0, 8.7, 42.25, 75.0)] limit: f64,
) {
    let mut upstream = Upstream::new(name);
    upstream.load_until(2 * SECOND, 150, 0, SECOND);
    upstream.set_limit(Some(limit));
    let named_at = upstream.now;
    upstream.load_until(named_at + 20 * SECOND, 150, 0, SECOND);
    // The limit holds for any second, but for the tolerance of a tenth of a second.
    let allowed = limit * 1.1 + 1.0;
    let started = upstream.max_starts(named_at + 1, SECOND);
    assert!(started as f64 <= allowed, "{started} in one second");
    let started = upstream.starts_between(named_at + 2 * SECOND, named_at + 20 * SECOND);
    assert!(
        started as f64 >= limit * 18.0 * 0.95 - 1.0,
        "{started} in 18 s"
    );
}

/// Guards against a limit that outlives the need of the upstream.
#[rstest]
fn set_rate_limit_ended(#[values("ranked", "fifo")] name: &str) {
    let mut upstream = Upstream::new(name);
    upstream.load_until(2 * SECOND, 150, 0, SECOND);
    upstream.set_limit(Some(5.0));
    upstream.load_until(5 * SECOND, 150, 0, SECOND);
    upstream.set_limit(None);
    let refused = upstream.refusals.len();
    upstream.load_until(7 * SECOND, 150, 0, SECOND);
    assert_eq!(upstream.refusals.len(), refused);
    assert!(upstream.starts_between(5 * SECOND, 7 * SECOND) >= 300);
}

/// Guards against an upstream whose limit of zero can never end, because only a response tells that.
#[rstest]
fn set_rate_limit_zero(#[values("ranked", "fifo")] name: &str) {
    let mut upstream = Upstream::new(name);
    upstream.set_limit(Some(0.0));
    upstream.load_until(21 * SECOND, 20, 0, SECOND);
    let started = upstream.starts.len();
    assert!((4..=5).contains(&started), "{started} in 21 s");
}

/// Guards against a limit whose first second is used up again after it was changed, and against requests
/// that run when the limit is named and do not count.
#[rstest]
#[case::lower(40.0, 4.0)]
#[case::higher(4.0, 40.0)]
#[case::same(20.0, 20.0)]
fn set_rate_limit_changed(#[case] before: f64, #[case] after: f64) {
    let mut upstream = Upstream::new("ranked");
    upstream.load_until(SECOND, 200, 0, SECOND);
    upstream.set_limit(Some(before));
    upstream.load_until(3 * SECOND, 200, 0, SECOND);
    // Each response names the limit.
    for _ in 0..50 {
        upstream.set_limit(Some(after));
        upstream.load_until(upstream.now + 10 * MS, 200, 0, SECOND);
    }
    let started = upstream.starts_between(3 * SECOND, 3_500 * MS);
    assert!(
        started as f64 <= after * 0.6 + 1.0,
        "{started} in half a second"
    );
    assert!(
        started as f64 >= after * 0.4 - 1.0,
        "{started} in half a second"
    );
}

/// Guards against a limit under which requests of low rank take the rate of urgent ones.
#[rstest]
fn offer_rate_limit_urgent() {
    let mut upstream = Upstream::new("ranked");
    upstream.load_until(2 * SECOND, 100, 0, SECOND);
    upstream.set_limit(Some(20.0));
    let first = upstream.last_ticket + 1;
    let mut urgent = Vec::new();
    while upstream.now < 12 * SECOND {
        urgent.push(upstream.offer(0, SECOND));
        for _ in 0..5 {
            upstream.offer(1, SECOND);
        }
        let next = upstream.now + 67 * MS;
        upstream.run_until(next);
    }
    let started = urgent.iter().filter(|it| upstream.started.contains(it));
    let share = started.count() as f64 / urgent.len() as f64;
    assert!(
        first > 0 && share >= 0.9,
        "{share} of the urgent requests ran"
    );
}

/// Guards against requests that wait until their deadline for a rate that cannot reach them in time; the
/// delay after which to come again follows from the rate.
#[rstest]
fn offer_rate_limit_hopeless() {
    let mut upstream = Upstream::new("ranked");
    upstream.load_until(2 * SECOND, 50, 0, SECOND);
    upstream.set_limit(Some(2.0));
    for _ in 0..6 {
        upstream.offer(0, 60 * SECOND);
    }
    upstream.refusals.clear();
    let ticket = upstream.offer(0, SECOND);
    let [(refused, reason, retry_after)] = upstream.refusals[..] else {
        panic!("not one refusal: {:?}", upstream.refusals);
    };
    assert_eq!((refused, reason), (ticket, Reason::DeadlineTooShort));
    assert!(
        (Duration::from_secs(2)..=Duration::from_secs(5)).contains(&retry_after),
        "{retry_after:?}"
    );
}

/// Guards against entries that take an upstream with a limit for an idle one, because few requests run at
/// it, and send it more and more.
#[rstest]
fn load_rate_limit() {
    let mut upstream = Upstream::new("ranked");
    upstream.load_until(2 * SECOND, 150, 0, SECOND);
    assert_eq!(upstream.admission.load().limit, SLOTS);
    upstream.set_limit(Some(42.25));
    // 42.25 requests a second of 61 ms each.
    assert_eq!(upstream.admission.load().limit, 3);
    upstream.set_limit(None);
    assert_eq!(upstream.admission.load().limit, SLOTS);
}

/// Guards against a process that ends because its upstream names an absurd limit, and against an upstream that
/// gets no request for minutes after its limit has fallen.
#[rstest]
fn set_rate_limit_extreme(
    #[values("ranked", "fifo")] name: &str,
    #[values(1e18, f64::MAX, 1_000.0, 0.2, 1e-18, 0.0)] before: f64,
    #[values(1e18, f64::MAX, 0.2, 1e-18, 0.0)] after: f64,
) {
    let mut upstream = Upstream::new(name);
    upstream.load_until(SECOND, 200, 0, SECOND);
    for limit in [before, after, before, after] {
        upstream.set_limit(Some(limit));
        upstream.load_until(upstream.now + 100 * MS, 500, 0, SECOND);
    }
    let changed_at = upstream.now;
    upstream.load_until(changed_at + 6 * SECOND, 20, 0, SECOND);
    let started = upstream.starts_between(changed_at, upstream.now);
    assert!(started >= 1, "no request in 6 s");
}
