//! Faulty link: relays TCP connections and injects delays, cuts, silence, resets and held bytes, which
//! `POST /lab/link` sets.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use argh::FromArgs;
use bytes::Bytes;
use bytes::BytesMut;
use futures::future;
use hyper::Request;
use hyper::StatusCode;
use hyper::body::Incoming;
use serde_json::Value;
use socket2::SockRef;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::mpsc;
use tokio::sync::watch;

use crate::Error;
use crate::http::HandlerResult;
use crate::http::ListenerLimits;
use crate::http::read_body;
use crate::http::serve;
use crate::http::text_response;
use crate::time;

/// Maximum delay of one direction of a relay; a longer one is reduced to it.
const MAX_DELAY: Duration = Duration::from_secs(60);
/// Bytes that the read buffer of a connection reserves before each read.
const CHUNK_BYTES: usize = 16 * 1024;
/// Maximum number of chunks that one direction of a connection queues until their delay has passed.
const MAX_QUEUED_CHUNKS: usize = 1_024;

/// run a faulty link that relays TCP connections
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "link")]
pub struct Args {
    /// address for control calls
    #[argh(option)]
    control: SocketAddr,
    /// a relay: LISTEN=TARGET or LISTEN=TARGET=DELAY_US
    #[argh(option)]
    relay: Vec<String>,
}

/// Faults of a relay, which apply to its connections.
///
/// Connections are numbered from 0 in the order of their arrival.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct LinkState {
    /// Delay of the bytes in each of the two directions.
    delay: Duration,
    /// Whether the relay closes its open connections, and each new connection as soon as it is accepted.
    is_cut: bool,
    /// Connections with a number below this one stay open but relay no more bytes.
    silent_before: u64,
    /// Connections with a number below this one are reset.
    reset_before: u64,
    /// Whether bytes to the target are held back until this is unset, as in a partition of one direction.
    hold_to_target: bool,
    /// Whether bytes from the target are held back until this is unset.
    hold_from_target: bool,
}

/// A listening address whose connections are relayed to a target.
struct Relay {
    listen: SocketAddr,
    target: SocketAddr,
    state: watch::Sender<LinkState>,
    /// Number of connections accepted so far.
    opened_connections: Mutex<u64>,
}

/// Runs the relays and the control listener until the process ends.
pub async fn run(args: Args) -> Result<(), Error> {
    let relays = Arc::new(Relays::default());
    for argument in &args.relay {
        relays.open(parse_relay(argument)?).await?;
    }
    let control = TcpListener::bind(args.control).await?;
    serve(&control, ListenerLimits::default(), move |request| {
        handle_control(Arc::clone(&relays), request)
    })
    .await;
    Ok(())
}

/// Parses a relay in the form of the option `--relay`.
fn parse_relay(argument: &str) -> Result<Arc<Relay>, String> {
    let malformed = || format!("--relay {argument}: not LISTEN=TARGET or LISTEN=TARGET=DELAY_US");
    let mut parts = argument.split('=');
    let mut address = || parts.next()?.parse::<SocketAddr>().ok();
    let listen = address().ok_or_else(malformed)?;
    let target = address().ok_or_else(malformed)?;
    let delay = match parts.next() {
        Some(micros) => Duration::from_micros(micros.parse().map_err(|_| malformed())?),
        None => Duration::ZERO,
    };
    let state = LinkState {
        delay: delay.min(MAX_DELAY),
        ..LinkState::default()
    };
    Ok(Arc::new(Relay {
        listen,
        target,
        state: watch::Sender::new(state),
        opened_connections: Mutex::new(0),
    }))
}

/// Opens the relay given in `relay`. Otherwise applies the faults in the body to the relay that listens
/// on the address `listen`, or to all relays if `listen` is absent; absent fields leave a fault
/// unchanged.
async fn handle_control(relays: Arc<Relays>, request: Request<Incoming>) -> HandlerResult {
    let body = read_body(request.into_body()).await?;
    let Ok(body) = serde_json::from_slice::<Value>(&body) else {
        return Ok(text_response(
            StatusCode::BAD_REQUEST,
            "the body is not JSON",
        ));
    };
    if let Some(argument) = body["relay"].as_str() {
        let result = match parse_relay(argument) {
            Ok(relay) => relays.open(relay).await.map_err(|it| it.to_string()),
            Err(message) => Err(message),
        };
        return Ok(match result {
            Ok(()) => text_response(StatusCode::OK, "{}"),
            Err(message) => text_response(StatusCode::BAD_REQUEST, message),
        });
    }
    if relays.apply_settings(&body) {
        return Ok(text_response(StatusCode::OK, "{}"));
    }
    Ok(text_response(StatusCode::NOT_FOUND, "no such relay"))
}

/// All relays of the process.
#[derive(Default)]
struct Relays(Mutex<Vec<Arc<Relay>>>);

impl Relays {
    /// Starts to listen for a relay.
    async fn open(&self, relay: Arc<Relay>) -> io::Result<()> {
        let listener = TcpListener::bind(relay.listen).await?;
        tokio::spawn(accept_connections(Arc::clone(&relay), listener));
        let mut relays = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        relays.push(relay);
        Ok(())
    }

    /// Applies the faults in `body` to the relays that it selects; returns false if it selects none.
    fn apply_settings(&self, body: &Value) -> bool {
        let relays = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let mut matched = false;
        for relay in relays.iter() {
            let listen = relay.listen.to_string();
            if body["listen"].as_str().is_none_or(|it| it == listen) {
                matched = true;
                relay.apply_settings(body);
            }
        }
        matched
    }
}

impl Relay {
    fn apply_settings(&self, body: &Value) {
        let opened_connections = *self
            .opened_connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        self.state.send_modify(|state| {
            if let Some(micros) = body["delay_us"].as_u64() {
                state.delay = Duration::from_micros(micros).min(MAX_DELAY);
            }
            if let Some(is_cut) = body["cut"].as_bool() {
                state.is_cut = is_cut;
            }
            if body["silence"] == true {
                state.silent_before = opened_connections;
            }
            if body["reset"] == true {
                state.reset_before = opened_connections;
            }
            if let Some(hold) = body["hold_there"].as_bool() {
                state.hold_to_target = hold;
            }
            if let Some(hold) = body["hold_back"].as_bool() {
                state.hold_from_target = hold;
            }
        });
    }
}

async fn accept_connections(relay: Arc<Relay>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        let number = {
            let mut opened_connections = relay
                .opened_connections
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            *opened_connections += 1;
            *opened_connections - 1
        };
        tokio::spawn(relay_connection(Arc::clone(&relay), stream, number));
    }
}

/// Relays one connection until both directions have ended or the link cuts or resets it.
async fn relay_connection(relay: Arc<Relay>, client: TcpStream, number: u64) {
    let mut states = relay.state.subscribe();
    let state = *states.borrow_and_update();
    if state.is_cut {
        return;
    }
    // The TCP handshake of a real link takes one round trip, which is twice the delay of one direction.
    time::sleep(state.delay * 2).await;
    let Ok(target) = TcpStream::connect(relay.target).await else {
        return;
    };
    let _ = client.set_nodelay(true);
    let _ = target.set_nodelay(true);
    let handles = [&client, &target].map(|stream| SockRef::from(stream).try_clone());
    let (client_read, client_write) = client.into_split();
    let (target_read, target_write) = target.into_split();
    let to_target = Direction {
        states: states.clone(),
        number,
        is_held: |state| state.hold_to_target,
    };
    let from_target = Direction {
        states: states.clone(),
        number,
        is_held: |state| state.hold_from_target,
    };
    let should_end = |state: &LinkState| state.is_cut || number < state.reset_before;
    let cut_or_reset = async {
        // The sender is only dropped when the process ends.
        let end = states.wait_for(should_end).await.map(|state| !state.is_cut);
        match end {
            Ok(reset) => reset,
            Err(_) => future::pending().await,
        }
    };
    tokio::select! {
        _ = future::join(to_target.relay_bytes(client_read, target_write), from_target.relay_bytes(target_read, client_write)) => {}
        reset = cut_or_reset => {
            if reset {
                // Fails for a connection that has already ended, which needs no reset.
                let _ = handles.iter().flatten().try_for_each(|it| it.set_linger(Some(Duration::ZERO)));
            }
        }
    }
}

/// One direction of a connection.
struct Direction {
    states: watch::Receiver<LinkState>,
    /// Number of the connection.
    number: u64,
    /// Whether bytes of this direction are held back.
    is_held: fn(&LinkState) -> bool,
}

impl Direction {
    /// Relays the bytes of this direction. Each chunk has the delay that was set when it was read.
    async fn relay_bytes(self, mut from: OwnedReadHalf, mut to: OwnedWriteHalf) {
        let Self {
            mut states,
            number,
            is_held,
        } = self;
        let current_state = states.clone();
        let (sender, mut receiver) = mpsc::channel::<(Instant, Bytes)>(MAX_QUEUED_CHUNKS);
        let is_silent =
            |states: &watch::Receiver<LinkState>| number < states.borrow().silent_before;
        let reading = async {
            let mut buffer = BytesMut::new();
            loop {
                buffer.reserve(CHUNK_BYTES);
                let Ok(1..) = from.read_buf(&mut buffer).await else {
                    break;
                };
                let due = Instant::now() + current_state.borrow().delay;
                if is_silent(&current_state) {
                    buffer.clear();
                } else if sender.send((due, buffer.split().freeze())).await.is_err() {
                    break;
                }
            }
            // The end of the stream is delayed like the bytes before it; a silent connection never
            // relays it.
            if is_silent(&current_state) {
                future::pending::<()>().await;
            }
            let delay = current_state.borrow().delay;
            time::sleep(delay).await;
            drop(sender);
        };
        let writing = async {
            while let Some((due, chunk)) = receiver.recv().await {
                time::sleep_until(due).await;
                // Fails only when the process ends.
                let _ = states.wait_for(|state| !is_held(state)).await;
                if !is_silent(&states) && to.write_all(&chunk).await.is_err() {
                    return;
                }
            }
            let _ = states.wait_for(|state| !is_held(state)).await;
            let _ = to.shutdown().await;
        };
        future::join(reading, writing).await;
    }
}
