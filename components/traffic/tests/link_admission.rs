//! Load pattern: downloads at 120% of the owner's link, with small calls beside them.

use std::time::Duration;

use rstest::rstest;

use admit::RankedAdmission;
use errors::Reason;
use errors::Verdict;
use ids::NodeId;
use ids::Rank;
use ids::RequestId;
use ids::RouteId;
use kernel::Random;

use kernel::StateMachine as _;
use kernel::Time;
use kernel::plugin::Params;
use kernel::random::SeededRandom;
use member::Stage;
use traffic::owner::Effect;
use traffic::owner::IncomingRequest;
use traffic::owner::Input;
use traffic::owner::Machine;
use traffic::owner::UpstreamEnd;

const NODE_ID: NodeId = NodeId(1);
/// Rate of a link of 12 Mbit/s.
const BYTES_PER_SECOND: f64 = 1_500_000.0;
const MEAN_DOWNLOAD: u64 = 90_000;
const DOWNLOAD_WORK: u64 = 62_000;
const CALL_WORK: u64 = 19_000;
/// Objective and deadline of a download, in microseconds.
const OBJECTIVE: u64 = 800_000;
const DEADLINE: u64 = 1_200_000;
/// Duration of the load, and of its beginning that is not counted, in microseconds.
const END: u64 = 60_000_000;
const WARM_UP: u64 = 5_000_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival { download: bool },
    WorkEnd(u64),
    Sent,
}

/// A request by its tag.
#[derive(Clone, Copy)]
struct Request {
    download: bool,
    arrived: u64,
    bytes: u64,
}

/// Counts of the downloads that arrived after the warm-up, and of the calls.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    downloads: u32,
    in_time: u32,
    sent: u32,
    broken: u32,
    link_busy: u32,
    spilled: u32,
    calls: u32,
    calls_in_time: u32,
}

/// An owner whose link sends bodies one after another: first those that can meet their objective, then by
/// deadline.
struct Load {
    owner: Machine,
    random: SeededRandom,
    requests: Vec<Request>,
    events: Vec<(u64, Event)>,
    /// Bodies that wait for the link, and the one that it sends.
    waiting: Vec<u64>,
    sending: Option<u64>,
    spillable: bool,
    counts: Counts,
}

impl Load {
    fn new(link_rate: Option<f64>, spillable: bool, seed: u64) -> Self {
        let admission = RankedAdmission::from_params(&Params::default()).expect("valid params");
        let mut owner = Machine::new(NODE_ID, Box::new(admission), UpstreamEnd::Leave);
        if let Some(rate) = link_rate {
            owner.set_link_rate(link::Rate::from_mbps(rate * 8.0 / 1e6));
        }
        let mut load = Self {
            owner,
            random: SeededRandom::new(seed),
            requests: Vec::new(),
            events: vec![
                (0, Event::Arrival { download: false }),
                (0, Event::Arrival { download: true }),
            ],
            waiting: Vec::new(),
            sending: None,
            spillable,
            counts: Counts::default(),
        };
        let ready = Input::UpstreamAnnounced {
            stage: Stage::Ready,
            slots: 4,
        };
        load.step(0, ready);
        load.step(0, Input::UpstreamWarmed { warm: true });
        load
    }

    fn gap(&mut self, per_second: f64) -> u64 {
        let uniform = (self.random.below(1_000_000) as f64 + 1.0) / 1_000_001.0;
        (-uniform.ln() / per_second * 1e6) as u64
    }

    fn arrive(&mut self, now: u64, download: bool) {
        let per_second = if download {
            1.2 * BYTES_PER_SECOND / MEAN_DOWNLOAD as f64
        } else {
            30.0
        };
        let gap = self.gap(per_second);
        self.events.push((now + gap, Event::Arrival { download }));
        let tag = self.requests.len() as u64;
        // Exponential lengths, cut at six times their mean.
        let bytes = self.gap(1e6 / MEAN_DOWNLOAD as f64).min(540_000);
        self.requests.push(Request {
            download,
            arrived: now,
            bytes,
        });
        let counted = u32::from(now >= WARM_UP);
        if download {
            self.counts.downloads += counted;
        } else {
            self.counts.calls += counted;
        }
        let deadline = Time(now + if download { DEADLINE } else { 250_000 });
        let backlog = self.waiting.iter().chain(&self.sending);
        let link_backlog = backlog.map(|tag| self.requests[*tag as usize].bytes).sum();
        let incoming = IncomingRequest {
            tag,
            id: RequestId(u128::from(tag)),
            attempt: 1,
            intended_owner: NODE_ID,
            expires: deadline,
            deadline,
            objective: Some(Time(now + if download { OBJECTIVE } else { 80_000 })),
            spillable: self.spillable && download,
            route: RouteId(download.into()),
            rank: Rank(if download { 2 } else { 1 }),
            organisation: None,
            onward: !download,
            link_backlog,
            weight: 1,
            idempotent: true,
            rate_limit: None,
            fingerprint: None,
            seen_crashes: 0,
        };
        self.step(now, Input::Arrived(incoming));
    }

    fn step(&mut self, now: u64, input: Input) {
        let mut effects = Vec::new();
        self.owner.wake(Time(now), &mut self.random, &mut effects);
        self.owner
            .step(Time(now), input, &mut self.random, &mut effects);
        for effect in effects {
            match effect {
                Effect::Start { tag, .. } => {
                    let request = self.requests[tag as usize];
                    let work = if request.download {
                        DOWNLOAD_WORK
                    } else {
                        CALL_WORK
                    };
                    self.events.push((now + work, Event::WorkEnd(tag)));
                }
                Effect::Refuse { tag, refusal } => {
                    assert_eq!(refusal.verdict, Verdict::NotRun);
                    if self.requests[tag as usize].arrived >= WARM_UP {
                        self.counts.link_busy += u32::from(refusal.reason == Reason::LinkBusy);
                        self.counts.spilled +=
                            u32::from(refusal.reason == Reason::ObjectiveTooShort);
                    }
                    assert!(refusal.retry_after >= Duration::from_millis(50));
                }
                _ => {}
            }
        }
    }

    /// Ends the work of a request; its response has been read completely then.
    fn end_work(&mut self, now: u64, tag: u64) {
        let Request {
            download,
            arrived,
            bytes,
        } = self.requests[tag as usize];
        self.step(
            now,
            Input::Finished {
                tag,
                verdict: Verdict::Ran,
                shed: false,
                stored: false,
            },
        );
        let route = RouteId(download.into());
        let bytes = if download { bytes } else { 400 };
        self.step(now, Input::ResponseEnded { route, bytes });
        if download {
            self.waiting.push(tag);
            self.send_next(now);
        } else {
            self.counts.calls_in_time += u32::from(arrived >= WARM_UP && now - arrived <= 80_000);
        }
    }

    /// Starts the next body if the link is idle; the calls take a twentieth of it.
    fn send_next(&mut self, now: u64) {
        if self.sending.is_some() {
            return;
        }
        // Bodies that wait past their deadline end there.
        let requests = &self.requests;
        let expired = |tag: &u64| requests[*tag as usize].arrived + DEADLINE < now;
        let broken = self.waiting.iter().filter(|it| expired(it)).count();
        self.counts.broken += u32::try_from(broken).expect("few bodies wait");
        self.waiting.retain(|it| !expired(it));
        let order = |tag: &u64| {
            let Request { arrived, bytes, .. } = self.requests[*tag as usize];
            let sent = now + (bytes as f64 / BYTES_PER_SECOND * 1e6) as u64;
            (sent > arrived + OBJECTIVE, arrived)
        };
        let next = (0..self.waiting.len()).min_by_key(|it| order(&self.waiting[*it]));
        let Some(index) = next else {
            return;
        };
        let tag = self.waiting.swap_remove(index);
        let seconds = self.requests[tag as usize].bytes as f64 / (BYTES_PER_SECOND * 0.95);
        self.events
            .push((now + (seconds * 1e6) as u64, Event::Sent));
        self.sending = Some(tag);
    }

    fn end_sending(&mut self, now: u64) {
        if let Some(tag) = self.sending.take() {
            let Request { arrived, .. } = self.requests[tag as usize];
            if arrived >= WARM_UP {
                self.counts.in_time += u32::from(now - arrived <= OBJECTIVE);
                self.counts.sent += u32::from(now - arrived <= DEADLINE);
                self.counts.broken += u32::from(now - arrived > DEADLINE);
            }
        }
        self.send_next(now);
    }

    fn run(mut self) -> Counts {
        while let Some(position) = (0..self.events.len()).min_by_key(|it| self.events[*it]) {
            let (now, event) = self.events.swap_remove(position);
            if now > END {
                break;
            }
            match event {
                Event::Arrival { download } => self.arrive(now, download),
                Event::WorkEnd(tag) => self.end_work(now, tag),
                Event::Sent => self.end_sending(now),
            }
        }
        self.counts
    }
}

/// Guards against downloads that run although the link cannot carry them in time, against a link that stays
/// empty instead, and against calls that suffer from either.
#[rstest]
#[case::retried_here(false)]
#[case::spillable(true)]
fn admit_downloads_beyond_link(#[case] spillable: bool) {
    for seed in 1..=3 {
        let counts = Load::new(Some(BYTES_PER_SECOND), spillable, seed).run();
        let share = |count: u32, of: u32| f64::from(count) / f64::from(of);
        // The longest bodies, which turn out late only when their length is known, are sent last.
        assert!(share(counts.broken, counts.downloads) < 0.07, "{counts:?}");
        assert!(share(counts.in_time, counts.downloads) > 0.7, "{counts:?}");
        assert!(
            share(counts.calls_in_time, counts.calls) > 0.97,
            "{counts:?}"
        );
        assert_eq!(counts.spilled > 0, spillable, "{counts:?}");
        assert!(spillable || counts.link_busy > 0, "{counts:?}");
    }
}

/// Guards against decisions by the link in a deployment that states no rate.
#[rstest]
fn admit_without_rate() {
    let counts = Load::new(None, true, 1).run();
    assert_eq!((counts.link_busy, counts.spilled), (0, 0));
    // What the admission by link prevents: a tenth of the downloads runs and is cut off.
    assert!(counts.broken * 12 > counts.downloads, "{counts:?}");
}
