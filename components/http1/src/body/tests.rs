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

use crate::body::Payload;
use crate::body::RelayEnd;
use crate::body::RelaySource;
use crate::body::RelayedResponse;
use crate::body::full;

/// Guards against a deadline that cuts a response whose last bytes and end are ready when the deadline is noticed.
#[rstest]
#[case::one_part(&["ab"])]
#[case::parts(&["ab", "cd", "ef"])]
#[case::empty_end(&["ab", ""])]
#[tokio::test]
async fn poll_frame_ready_at_deadline(#[case] parts: &[&'static str]) {
    let mut body = full("");
    for part in parts.iter().rev() {
        body = Payload::Continued(Some(Bytes::from(*part)), Box::new(body));
    }
    let complete = Arc::new(Mutex::new(None));
    let record = Arc::clone(&complete);
    let on_end = move |end, bytes| {
        let end = (matches!(end, RelayEnd::Complete(_)), bytes);
        *record.lock().expect("not poisoned") = Some(end);
    };
    let relay = RelayedResponse::new(RelaySource::Payload(body), Instant::now(), on_end);
    let mut relay = Payload::Relayed(Box::new(relay));
    let mut context = Context::from_waker(Waker::noop());
    let mut read = Vec::new();
    while let Poll::Ready(Some(frame)) = Pin::new(&mut relay).poll_frame(&mut context) {
        let frame = frame.expect("the body is complete");
        read.extend_from_slice(&frame.into_data().expect("no trailers"));
    }
    let expected = parts.concat().into_bytes();
    let end = *complete.lock().expect("not poisoned");
    assert_eq!(end, Some((true, expected.len() as u64)));
    assert_eq!(read, expected);
    assert!(relay.is_end_stream());
}
