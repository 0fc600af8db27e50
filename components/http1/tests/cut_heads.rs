//! Tests of upstreams that stop in the middle of a response and close the connection.

mod support;

use std::net::SocketAddr;

use hyper::HeaderMap;
use hyper::header::HeaderValue;
use hyper::http::response::Parts;
use linkme::distributed_slice;
use rstest::rstest;
use support::Node;
use support::free_address;
use support::raw::exchange;
use support::raw::listen;
use support::raw::read_message;
use support::raw::request_with_body;
use tokio::io::AsyncWriteExt;

use control::NodeStage;
use http1::DIALECT_PLUGINS;
use http1::Dialect;
use http1::DispatchContext;
use http1::RefusalResponse;
use http1::RequestDirectives;
use http1::ResponseClass;
use http1::UpstreamNotice;
use kernel::Plugin;
use kernel::plugin;
use kernel::plugin::Params;
use traffic::Refusal;

const DIALECT_NAME: &str = "close-delimited";
const DEFAULT_DIALECT: &str = "medlar";

#[distributed_slice(DIALECT_PLUGINS)]
static PLUGIN: Plugin<dyn Dialect> = Plugin {
    name: DIALECT_NAME,
    make: |params| {
        let inner = plugin::build("dialect", &DIALECT_PLUGINS, DEFAULT_DIALECT, params)?;
        Ok(Box::new(CloseDelimited(inner)))
    },
};

/// The default dialect for upstreams whose responses may have no length and end with their connection.
struct CloseDelimited(Box<dyn Dialect>);

impl Dialect for CloseDelimited {
    fn read_request_head(&self, headers: &mut HeaderMap) -> RequestDirectives {
        self.0.read_request_head(headers)
    }

    fn trace_id<'a>(&self, headers: &'a HeaderMap) -> Option<&'a HeaderValue> {
        self.0.trace_id(headers)
    }

    fn set_dispatch_headers(&self, headers: &mut HeaderMap, dispatch: &DispatchContext<'_>) {
        self.0.set_dispatch_headers(headers, dispatch);
    }

    fn classify_response(
        &self,
        trace_id: Option<&HeaderValue>,
        response: &Parts,
        status_means_not_run: bool,
    ) -> ResponseClass {
        self.0
            .classify_response(trace_id, response, status_means_not_run)
    }

    fn read_notice(&self, response: &Parts) -> Option<UpstreamNotice> {
        self.0.read_notice(response)
    }

    fn accepts_close_delimited(&self) -> bool {
        true
    }

    fn refusal_response(&self, refusal: Refusal) -> RefusalResponse {
        self.0.refusal_response(refusal)
    }
}

/// Starts an upstream that writes as many bytes of `response` as the last segment of the path says and closes
/// the connection.
async fn start_cutting_upstream(response: &'static str) -> SocketAddr {
    listen(move |mut stream| async move {
        let mut buffer = Vec::new();
        let message = read_message(&mut stream, &mut buffer).await?;
        let length = message.path().rsplit('/').next()?.parse().ok()?;
        let cut = response.as_bytes().get(..length)?;
        stream.write_all(cut).await.ok()
    })
    .await
}

/// Guards against a response that was cut in its head, or later, and reaches the caller as a whole one.
#[rstest]
#[case::length("HTTP/1.1 200 OK\r\nx-a: 1\r\ncontent-length: 5\r\n\r\n12345", false)]
#[case::length_accepts_close("HTTP/1.1 200 OK\r\nx-a: 1\r\ncontent-length: 5\r\n\r\n12345", true)]
#[case::chunked(
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\n12345\r\n0\r\n\r\n",
    false
)]
#[case::chunked_accepts_close(
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\n12345\r\n0\r\n\r\n",
    true
)]
#[case::interim(
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n1",
    true
)]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn relay_response_cut(
    #[case] response: &'static str,
    #[case] accepts_close: bool,
    #[values(false, true)] forwarded: bool,
) {
    let address = start_cutting_upstream(response).await;
    let name = if accepts_close {
        DIALECT_NAME
    } else {
        DEFAULT_DIALECT
    };
    let params = Params::from_pairs([("dialect".to_owned(), name.to_owned())]);
    let owner = Node::start_with_front(address, (10, 10), ("fifo", "none"), &params).await;
    let entry = Node::start(free_address(), 1, 1).await;
    entry.publish_nodes(&[(&owner, 10, 10)], NodeStage::Serving);
    let callers = if forwarded {
        entry.callers
    } else {
        owner.callers
    };
    for length in 0..response.len() {
        let request = request_with_body("POST", &format!("/cut/{length}"), 1);
        // `None` is a connection that ends before the response is complete.
        let received = exchange(callers, request).await;
        let status = received.map(|it| it.status());
        assert!(
            status.is_none_or(|it| it == 502),
            "{status:?} after {length} bytes"
        );
    }
    let whole = request_with_body("POST", &format!("/cut/{}", response.len()), 1);
    let status = exchange(callers, whole).await.map(|it| it.status());
    assert_eq!(status, Some(200));
}
