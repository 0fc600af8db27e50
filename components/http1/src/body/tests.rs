//! Tests of the end of a relay at its deadline.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;

use bytes::Bytes;
use hyper::body::Body;
use rstest::rstest;
use tokio::time::Instant;

use crate::body::BodyError;
use crate::body::FramePoll;
use crate::body::MAX_OVERDUE_BYTES;
use crate::body::Payload;
use crate::body::RelayEnd;
use crate::body::RelaySource;
use crate::body::RelayedResponse;
use crate::body::full;
use errors::Reason;

/// How a relay ended and how many bytes it relayed.
type End = Option<(RelayEnd, u64)>;

/// Builds a relay of `parts` and then `rest` whose deadline has passed.
fn overdue_relay(parts: &[&[u8]], rest: Payload) -> (Payload, Arc<Mutex<End>>) {
    let mut body = rest;
    for part in parts.iter().rev() {
        let part = Bytes::copy_from_slice(part);
        body = Payload::Continued(Some(part), Box::new(body));
    }
    let end = Arc::new(Mutex::new(None));
    let record = Arc::clone(&end);
    let on_end = move |end, bytes| *record.lock().expect("not poisoned") = Some((end, bytes));
    let relay = RelayedResponse::new(RelaySource::Payload(body), Instant::now(), on_end);
    (Payload::Relayed(Box::new(relay)), end)
}

fn poll_once(body: &mut Payload) -> FramePoll {
    Pin::new(body).poll_frame(&mut Context::from_waker(Waker::noop()))
}

/// Guards against a deadline that cuts a response whose last bytes and end are ready when the deadline is noticed.
#[rstest]
#[case::one_part(&["ab"])]
#[case::parts(&["ab", "cd", "ef"])]
#[case::empty_end(&["ab", ""])]
#[tokio::test]
async fn poll_frame_ready_at_deadline(#[case] parts: &[&'static str]) {
    let bytes: Vec<&[u8]> = parts.iter().map(|it| it.as_bytes()).collect();
    let (mut relay, end) = overdue_relay(&bytes, full(""));
    let mut read = Vec::new();
    while let Poll::Ready(Some(frame)) = poll_once(&mut relay) {
        let frame = frame.expect("the body is complete");
        read.extend_from_slice(&frame.into_data().expect("no trailers"));
    }
    let expected = bytes.concat();
    let end = end.lock().expect("not poisoned").take();
    assert!(
        matches!(end, Some((RelayEnd::Complete(_), relayed)) if relayed == expected.len() as u64)
    );
    assert_eq!(read, expected);
    assert!(relay.is_end_stream());
}

/// Guards against a response without end that goes on beyond its deadline, or is read without limit then, because its
/// bytes are always ready; and against the reading of one that is known to be too long.
#[rstest]
#[case::unknown_length(Payload::Failed(None), 3)]
#[case::known_length(full(vec![0; 2 * MAX_OVERDUE_BYTES]), 1)]
#[tokio::test]
async fn poll_frame_long_at_deadline(#[case] rest: Payload, #[case] most_parts: u64) {
    const PART: &[u8] = &[0; MAX_OVERDUE_BYTES / 2];
    let (mut relay, end) = overdue_relay(&[PART; 8], rest);
    let polled = poll_once(&mut relay);
    let expected = BodyError::LimitExceeded(Reason::DeadlinePassed).to_string();
    assert!(matches!(polled, Poll::Ready(Some(Err(error))) if error.to_string() == expected));
    let end = end.lock().expect("not poisoned").take();
    let most_bytes = most_parts * PART.len() as u64;
    assert!(matches!(
        end,
        Some((RelayEnd::Failed(Reason::DeadlinePassed), relayed)) if relayed <= most_bytes
    ));
}
