//! Stand-in link: relays TCP connections with delay, cut and silence, set by `POST /lab/link`.

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

/// Longest delay that can be set.
const MAX_DELAY: Duration = Duration::from_secs(60);
/// Bytes read at once.
const CHUNK: usize = 16 * 1024;
/// Chunks of one direction that are under way.
const CHUNKS: usize = 1_024;

/// run a stand-in link that relays TCP connections
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "link")]
pub struct Args {
    /// address for settings
    #[argh(option)]
    control: SocketAddr,
    /// a relay: LISTEN=TARGET or LISTEN=TARGET=DELAY_US
    #[argh(option)]
    relay: Vec<String>,
}

/// State of a relay, which its connections follow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct State {
    delay: Duration,
    cut: bool,
    /// Connections opened before this count carry nothing any more.
    silent_before: u64,
    /// Connections opened before this count are reset.
    reset_before: u64,
    /// Whether bytes to the target wait, as behind a cut one way.
    hold_there: bool,
    /// Whether bytes from the target wait.
    hold_back: bool,
}

struct Relay {
    listen: SocketAddr,
    target: SocketAddr,
    state: watch::Sender<State>,
    opened: Mutex<u64>,
}

/// Relays until the process ends.
pub async fn run(args: Args) -> Result<(), Error> {
    let relays = Arc::new(Relays::default());
    for text in &args.relay {
        relays.open(parse(text)?).await?;
    }
    let control = TcpListener::bind(args.control).await?;
    serve(&control, ListenerLimits::default(), move |request| {
        set(Arc::clone(&relays), request)
    })
    .await;
    Ok(())
}

fn parse(text: &str) -> Result<Arc<Relay>, String> {
    let wrong = || format!("--relay {text}: not LISTEN=TARGET or LISTEN=TARGET=DELAY_US");
    let mut parts = text.split('=');
    let mut address = || parts.next()?.parse::<SocketAddr>().ok();
    let listen = address().ok_or_else(wrong)?;
    let target = address().ok_or_else(wrong)?;
    let delay = match parts.next() {
        Some(micros) => Duration::from_micros(micros.parse().map_err(|_| wrong())?),
        None => Duration::ZERO,
    };
    let state = State {
        delay: delay.min(MAX_DELAY),
        ..State::default()
    };
    Ok(Arc::new(Relay {
        listen,
        target,
        state: watch::Sender::new(state),
        opened: Mutex::new(0),
    }))
}

/// Opens the relay in `relay`, or sets the one with the address in `listen`, or all; absent fields
/// stay.
async fn set(relays: Arc<Relays>, request: Request<Incoming>) -> HandlerResult {
    let body = read_body(request.into_body()).await?;
    let Ok(body) = serde_json::from_slice::<Value>(&body) else {
        return Ok(text_response(
            StatusCode::BAD_REQUEST,
            "the body is no JSON",
        ));
    };
    if let Some(text) = body["relay"].as_str() {
        let opened = match parse(text) {
            Ok(relay) => relays.open(relay).await.map_err(|it| it.to_string()),
            Err(message) => Err(message),
        };
        return Ok(match opened {
            Ok(()) => text_response(StatusCode::OK, "{}"),
            Err(message) => text_response(StatusCode::BAD_REQUEST, message),
        });
    }
    if relays.set(&body) {
        return Ok(text_response(StatusCode::OK, "{}"));
    }
    Ok(text_response(StatusCode::NOT_FOUND, "no such relay"))
}

/// All relays of the process.
#[derive(Default)]
struct Relays(Mutex<Vec<Arc<Relay>>>);

impl Relays {
    async fn open(&self, relay: Arc<Relay>) -> io::Result<()> {
        let listener = TcpListener::bind(relay.listen).await?;
        tokio::spawn(accept(Arc::clone(&relay), listener));
        let mut all = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        all.push(relay);
        Ok(())
    }

    fn set(&self, body: &Value) -> bool {
        let all = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let mut matched = false;
        for relay in all.iter() {
            let listen = relay.listen.to_string();
            if body["listen"].as_str().is_none_or(|it| it == listen) {
                matched = true;
                relay.set(body);
            }
        }
        matched
    }
}

impl Relay {
    fn set(&self, body: &Value) {
        let opened = *self.opened.lock().unwrap_or_else(PoisonError::into_inner);
        self.state.send_modify(|state| {
            if let Some(micros) = body["delay_us"].as_u64() {
                state.delay = Duration::from_micros(micros).min(MAX_DELAY);
            }
            if let Some(cut) = body["cut"].as_bool() {
                state.cut = cut;
            }
            if body["silence"] == true {
                state.silent_before = opened;
            }
            if body["reset"] == true {
                state.reset_before = opened;
            }
            if let Some(hold) = body["hold_there"].as_bool() {
                state.hold_there = hold;
            }
            if let Some(hold) = body["hold_back"].as_bool() {
                state.hold_back = hold;
            }
        });
    }
}

async fn accept(relay: Arc<Relay>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        let number = {
            let mut opened = relay.opened.lock().unwrap_or_else(PoisonError::into_inner);
            *opened += 1;
            *opened - 1
        };
        tokio::spawn(carry(Arc::clone(&relay), stream, number));
    }
}

/// Carries one connection until either end closes or the link is cut.
async fn carry(relay: Arc<Relay>, near: TcpStream, number: u64) {
    let mut states = relay.state.subscribe();
    let state = *states.borrow_and_update();
    if state.cut {
        return;
    }
    // The handshake of a real link takes one way there and one way back.
    time::sleep(state.delay * 2).await;
    let Ok(far) = TcpStream::connect(relay.target).await else {
        return;
    };
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    let handles = [&near, &far].map(|stream| SockRef::from(stream).try_clone());
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let there = Way {
        states: states.clone(),
        number,
        holds: |state| state.hold_there,
    };
    let back = Way {
        states: states.clone(),
        number,
        holds: |state| state.hold_back,
    };
    let ended = |state: &State| state.cut || number < state.reset_before;
    let cut = async {
        // A dropped sender means the end of the process.
        let end = states.wait_for(ended).await.map(|state| !state.cut);
        match end {
            Ok(reset) => reset,
            Err(_) => future::pending().await,
        }
    };
    tokio::select! {
        _ = future::join(there.pump(near_read, far_write), back.pump(far_read, near_write)) => {}
        reset = cut => {
            if reset {
                // A connection that has ended already needs no reset.
                let _ = handles.iter().flatten().try_for_each(|it| it.set_linger(Some(Duration::ZERO)));
            }
        }
    }
}

/// One direction of a connection.
struct Way {
    states: watch::Receiver<State>,
    number: u64,
    /// Whether bytes of this direction wait.
    holds: fn(&State) -> bool,
}

impl Way {
    /// Moves bytes, each chunk after the delay that held when it was read.
    async fn pump(self, mut from: OwnedReadHalf, mut to: OwnedWriteHalf) {
        let Self {
            mut states,
            number,
            holds,
        } = self;
        let follow = states.clone();
        let (sender, mut receiver) = mpsc::channel::<(Instant, Bytes)>(CHUNKS);
        let silent = |states: &watch::Receiver<State>| number < states.borrow().silent_before;
        let reading = async {
            let mut buffer = BytesMut::new();
            loop {
                buffer.reserve(CHUNK);
                let Ok(1..) = from.read_buf(&mut buffer).await else {
                    break;
                };
                let due = Instant::now() + follow.borrow().delay;
                if silent(&follow) {
                    buffer.clear();
                } else if sender.send((due, buffer.split().freeze())).await.is_err() {
                    break;
                }
            }
            // The end of the stream is as late as the bytes before it; a silent one never shows.
            if silent(&follow) {
                future::pending::<()>().await;
            }
            let delay = follow.borrow().delay;
            time::sleep(delay).await;
            drop(sender);
        };
        let writing = async {
            while let Some((due, chunk)) = receiver.recv().await {
                time::sleep_until(due).await;
                // The process ends if this fails.
                let _ = states.wait_for(|state| !holds(state)).await;
                if !silent(&states) && to.write_all(&chunk).await.is_err() {
                    return;
                }
            }
            let _ = states.wait_for(|state| !holds(state)).await;
            let _ = to.shutdown().await;
        };
        future::join(reading, writing).await;
    }
}
