//! Admin API: responses, errors and resource limits.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use arc_swap::ArcSwap;
use rstest::rstest;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;

use admin::AdminHandler;
use admin::Explanation;
use admin::MemberView;
use admin::Status;
use control::Input;
use control::NodeStage;
use control::Topology;
use front::TrafficDriver;
use front::TrafficDriverParts;
use ids::Domain;
use ids::Incarnation;
use ids::NodeId;
use ids::Version;
use kernel::clock::MonotonicClock;
use kernel::plugin;
use kernel::plugin::Params;
use member::ListenAddresses;
use member::Member;
use member::MemberTable;
use member::Stage;
use member::Upstream;
use policy::ADMISSION_PLUGINS;
use policy::BALANCE_PLUGINS;
use policy::HEALTH_PLUGINS;
use policy::RETRY_PLUGINS;
use telemetry::Metrics;
use traffic::owner::UpstreamEnd;

// These imports keep the linker from dropping the plug-ins and their registrations.
use admit as _;
use balance as _;
use health as _;
use retry as _;

/// Configuration text with two routes that match the same paths.
const TEXT: &str = "\
services:
  - name: reservas
    routes:
      - {method: GET, path: '/slots/{day}', rank: 0, deadline_ms: 200}
      - {method: GET, path: '/slots/**', rank: 2, deadline_ms: 900}
";

fn member(id: u64, domain: &str, stage: Stage) -> Member {
    let address = |port| SocketAddr::from(([127, 33, 9, u8::try_from(id).expect("small")], port));
    Member {
        id: NodeId(id),
        addresses: ListenAddresses {
            peer: address(1),
            requests: address(2),
            admin: address(3),
        },
        domain: Domain::new(domain),
        incarnation: Incarnation(1),
        status: member::Status::Alive,
        stage,
        upstream: Some(Upstream {
            service: Arc::from("reservas"),
            run_id: None,
            version: None,
            slots: 10,
            max_connections: 100,
        }),
    }
}

/// Topology of node 1 in a fleet of three nodes.
fn topology() -> Topology {
    let mut table = MemberTable::default();
    for member in [
        member(1, "huesca", Stage::Ready),
        member(2, "tudela", Stage::Ready),
        member(3, "huesca", Stage::Draining),
    ] {
        table.merge(member);
    }
    let snapshot = config::compile(TEXT, Version(7)).expect("valid");
    Topology::new(
        NodeId(1),
        Domain::new("huesca"),
        NodeStage::Serving,
        Some(Arc::new(snapshot)),
        &table,
        1,
    )
}

/// Starts the admin API of a node on a free port; returns its address and the receiver of the inputs to
/// the control thread.
async fn start_admin() -> (SocketAddr, mpsc::Receiver<Input>) {
    let params = Params::default();
    let entry = traffic::entry::Machine::new(
        plugin::build("balance", &BALANCE_PLUGINS, "p2c", &params).expect("registered"),
        plugin::build("retry", &RETRY_PLUGINS, "budget", &params).expect("registered"),
        plugin::build("health", &HEALTH_PLUGINS, "outcomes", &params).expect("registered"),
    );
    let admission =
        plugin::build("admission", &ADMISSION_PLUGINS, "ranked", &params).expect("registered");
    let (inputs, receiver) = mpsc::channel(8);
    let driver = TrafficDriver::new(TrafficDriverParts {
        node_id: NodeId(1),
        clock: MonotonicClock::new(),
        topology: Arc::new(ArcSwap::from_pointee(topology())),
        entry,
        owner: traffic::owner::Machine::new(NodeId(1), admission, UpstreamEnd::Leave),
        metrics: Arc::new(Metrics::new().expect("counters")),
        control_inputs: inputs.clone(),
    });
    let listener = TcpListener::bind("127.33.9.1:0")
        .await
        .expect("a free port");
    let address = listener.local_addr().expect("bound");
    let handler = AdminHandler::new(Arc::new(driver), inputs, "instance: i1\n".into());
    tokio::spawn(admin::serve(listener, handler));
    (address, receiver)
}

/// Sends the bytes of a request and returns everything that is received until the connection ends.
async fn exchange(address: SocketAddr, request: &str) -> String {
    let mut stream = TcpStream::connect(address).await.expect("connects");
    stream.write_all(request.as_bytes()).await.expect("sends");
    let mut response = Vec::new();
    // The server resets the connection after a head that is too long.
    let _ = stream.read_to_end(&mut response).await;
    String::from_utf8(response).expect("text")
}

/// Sends a request and returns the status code and the body of the response.
async fn send_request(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
) -> (String, String) {
    let length = body.len();
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n"
    );
    let response = exchange(address, &(head + body)).await;
    let (head, body) = response.split_once("\r\n\r\n").expect("a head");
    let status = head.split(' ').nth(1).expect("a status");
    (status.to_owned(), body.to_owned())
}

/// Body of a valid `PUT /upstream`.
const ANNOUNCEMENT: &str =
    r#"{"service": "reservas", "state": "ready", "slots": 10, "connections": 100}"#;

// Checks that invalid requests are rejected with a message that states the reason, and valid ones are
// accepted.
#[rstest]
#[case::settings("GET", "/settings", String::new(), "200", "instance: i1")]
#[case::metrics("GET", "/metrics", String::new(), "200", "")]
#[case::drain("POST", "/drain", String::new(), "200", "{}")]
#[case::drain_by_get("GET", "/drain", String::new(), "405", "/drain accepts only POST")]
#[case::unknown(
    "GET",
    "/reset",
    String::new(),
    "404",
    "no such path; available: /status, /members"
)]
#[case::listed("PUT", "/upstream", ANNOUNCEMENT.into(), "200", "{\"listed\":true}")]
#[case::not_listed("PUT", "/upstream", ANNOUNCEMENT.replace("reservas", "reserva"), "200", "{\"listed\":false}")]
#[case::no_slots("PUT", "/upstream", ANNOUNCEMENT.replace("10,", "0,"), "400", "slots must be 1 to 10000")]
#[case::no_service("PUT", "/upstream", ANNOUNCEMENT.replace("reservas", ""), "400", "service must have 1 to 63 bytes")]
#[case::unknown_field("PUT", "/upstream", ANNOUNCEMENT.replace("slots", "slot"), "400", "unknown field `slot`")]
#[case::unknown_state("PUT", "/upstream", ANNOUNCEMENT.replace("ready", "up"), "400", "unknown variant `up`")]
#[case::not_json("PUT", "/upstream", "{".into(), "400", "EOF")]
#[case::long_body("PUT", "/upstream", " ".repeat(5_000), "413", "longer than 4096 bytes")]
#[case::explain_no_path(
    "GET",
    "/explain?method=GET",
    String::new(),
    "400",
    "missing query parameter path"
)]
#[case::explain_bad_escape(
    "GET",
    "/explain?method=GET&path=%+1",
    String::new(),
    "400",
    "path is not percent-encoded"
)]
#[tokio::test]
async fn handle_request(
    #[case] method: &str,
    #[case] path: &str,
    #[case] request_body: String,
    #[case] expected_status: &str,
    #[case] expected_body: &str,
) {
    let (address, _inputs) = start_admin().await;
    let (status, body) = send_request(address, method, path, &request_body).await;
    assert_eq!(status, expected_status, "{body}");
    assert!(body.contains(expected_body), "{body}");
}

// Checks that the views show the state by which the node routes requests.
#[tokio::test]
async fn handle_views() {
    let (address, _inputs) = start_admin().await;
    let (_, body) = send_request(address, "GET", "/status", "").await;
    let status: Status = serde_json::from_str(&body).expect("JSON");
    assert_eq!(
        (
            status.version,
            status.node_stage.as_str(),
            status.live_members
        ),
        (7, "serving", 3)
    );
    assert_eq!(
        (status.service.as_str(), status.state.as_str()),
        ("reservas", "ready")
    );
    let (_, body) = send_request(address, "GET", "/members", "").await;
    let members: Vec<MemberView> = serde_json::from_str(&body).expect("JSON");
    assert_eq!(members.len(), 3);
    assert_eq!(
        (members[1].admin.as_str(), members[1].domain.as_str()),
        ("127.33.9.2:3", "tudela")
    );
    let (_, body) = send_request(
        address,
        "GET",
        "/explain?method=GET&path=/slots/%6donday",
        "",
    )
    .await;
    let explanation: Explanation = serde_json::from_str(&body).expect("JSON");
    let route = explanation.route.expect("a route");
    assert_eq!(
        (route.path.as_str(), route.deadline_ms),
        ("/slots/{day}", 200)
    );
    assert_eq!(explanation.passed_over[0].path, "/slots/**");
    let endpoints: Vec<_> = explanation
        .endpoints
        .iter()
        .map(|it| (it.takes_requests, it.reason.as_str()))
        .collect();
    assert_eq!(
        endpoints,
        [
            (true, "own upstream"),
            (
                true,
                "other failure domain: used when the local endpoints are highly utilized"
            ),
            (false, "leaving: takes no new requests"),
        ]
    );
    let (_, body) = send_request(address, "GET", "/explain?method=PUT&path=/slots/1", "").await;
    let explanation: Explanation = serde_json::from_str(&body).expect("JSON");
    assert_eq!(
        (explanation.route, explanation.reason.as_str()),
        (None, "the path has routes for GET only")
    );
}

// Checks that connections on which nothing is sent lock operators out only briefly, even if there are
// more of them than the listener accepts.
#[tokio::test]
async fn serve_idle_connections() {
    let (address, _inputs) = start_admin().await;
    let mut idle_connections = Vec::new();
    for _ in 0..100 {
        idle_connections.push(TcpStream::connect(address).await.expect("connects"));
    }
    let started = Instant::now();
    let (status, _) = send_request(address, "GET", "/status", "").await;
    assert_eq!(status, "200");
    // The request may wait for two timeouts of 2 s for a head, but not for the 30 s that a connection
    // may last.
    assert!(
        started.elapsed() < Duration::from_secs(10),
        "{:?}",
        started.elapsed()
    );
}

// Checks that a request head over the limit is rejected, so that a client cannot fill the memory with
// headers.
#[tokio::test]
async fn serve_long_head() {
    let (address, _inputs) = start_admin().await;
    let response = exchange(
        address,
        &format!(
            "GET /status HTTP/1.1\r\nhost: a\r\nx: {}\r\n\r\n",
            "x".repeat(64_000)
        ),
    )
    .await;
    assert!(!response.starts_with("HTTP/1.1 200"), "{response}");
}
