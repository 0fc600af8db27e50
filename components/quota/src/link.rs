//! Exchange of messages of a holder with one granter.

use std::net::SocketAddr;
use std::time::Duration;

use crate::Candidate;
use crate::Response;
use ids::NodeId;
use kernel::Time;

/// Shortest time between two requests to one granter. What comes up in between shares a datagram.
const MIN_SPACING: Duration = Duration::from_millis(30);
/// Time after which a request counts as lost if requests of callers wait for its response.
const RESEND_TIME: Duration = Duration::from_millis(60);
/// Longest time between two requests while shares are delegated. A share counts for 2 s from the reading of the response
/// before; with 0.7 s it outlives the loss of a request or response.
const HEARTBEAT: Duration = Duration::from_millis(700);
/// Time after which an unanswered request is repeated when nothing waits for it.
const HEARTBEAT_RESEND: Duration = Duration::from_millis(200);
/// Time without a response after which the granter counts as silent.
const SILENCE: Duration = Duration::from_millis(400);
/// Number of requests whose responses are still accepted.
const MAX_OPEN: usize = 8;

/// A granter that the holder exchanges messages with.
#[derive(Debug)]
pub(crate) struct Link {
    pub(crate) node: NodeId,
    pub(crate) address: SocketAddr,
    /// Newest reading of the granter's clock, and when it arrived.
    pub(crate) echo: Option<(Time, Time)>,
    /// Number of the response that `echo` is from.
    echo_number: u64,
    /// Requests without a response, with the times at which they were sent; sorted by number.
    open: Vec<(u64, Time)>,
    last_sent: Option<Time>,
    /// When the first request was sent that has not been followed by any response.
    unanswered_since: Option<Time>,
}

impl Link {
    pub(crate) fn new(candidate: Candidate) -> Self {
        Self {
            node: candidate.node,
            address: candidate.address,
            echo: None,
            echo_number: 0,
            open: Vec::new(),
            last_sent: None,
            unanswered_since: None,
        }
    }

    pub(crate) fn record_sent(&mut self, now: Time, number: u64) {
        if self.open.len() >= MAX_OPEN {
            self.open.remove(0);
        }
        self.open.push((number, now));
        self.last_sent = Some(now);
        self.unanswered_since.get_or_insert(now);
    }

    /// Records a response and returns when its request was sent; `None` if no request waits for it.
    pub(crate) fn record_response(&mut self, now: Time, response: &Response) -> Option<Time> {
        let index = self.open.binary_search_by_key(&response.number, |it| it.0);
        let (number, sent_at) = self.open.remove(index.ok()?);
        self.unanswered_since = None;
        if number > self.echo_number {
            self.echo_number = number;
            self.echo = Some((response.reading, now));
        }
        Some(sent_at)
    }

    /// Whether the granter has not responded for too long.
    pub(crate) fn is_silent(&self, now: Time) -> bool {
        self.unanswered_since
            .is_some_and(|since| now.since(since) >= SILENCE)
    }

    /// Whether a response has arrived within the last second or so.
    pub(crate) fn is_responsive(&self, now: Time) -> bool {
        let heard = self
            .echo
            .is_some_and(|(_, at)| now.since(at) <= 2 * HEARTBEAT);
        heard && !self.is_silent(now)
    }

    /// Earliest time for a request that requests of callers wait for.
    pub(crate) fn next_urgent(&self) -> Time {
        let spaced = self.last_sent.map_or(Time(0), |it| it + MIN_SPACING);
        let newest_open = self
            .open
            .last()
            .filter(|(_, at)| Some(*at) == self.last_sent);
        newest_open.map_or(spaced, |(_, sent_at)| *sent_at + RESEND_TIME)
    }

    /// Time of the next request if nothing waits for one.
    pub(crate) fn next_heartbeat(&self) -> Time {
        let pause = if self.unanswered_since.is_some() {
            HEARTBEAT_RESEND
        } else {
            HEARTBEAT
        };
        self.last_sent.map_or(Time(0), |it| it + pause)
    }
}
