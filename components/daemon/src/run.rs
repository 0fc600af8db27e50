//! Running of a node from start to end.

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use arc_swap::ArcSwap;
use log::info;
use tokio::net::TcpListener;
use tokio::runtime;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use crate::Error;
use crate::build::Plugins;
use crate::executor::Effects;
use crate::executor::Waiting;
use crate::peer::Handler;
use crate::reload;
use control::Input;
use control::Machine;
use control::NodeStage;
use control::Topology;
use errors::Reason;
use front::FrontEnd;
use front::FrontEndAddresses;
use front::TrafficDriver;
use front::TrafficDriverParts;
use ids::Domain;
use ids::Incarnation;
use ids::NodeId;
use kernel::Clock;
use kernel::clock::MonotonicClock;
use kernel::control_loop::run_control_loop;
use kernel::random::SeededRandom;
use member::ListenAddresses;
use member::Member;
use member::MemberTable;
use member::Parameters;
use member::Stage;
use member::Status;
use settings::Settings;
use telemetry::Metrics;
use traffic::owner::UpstreamEnd;
use transport::Sender;
use transport::Transport;
use transport::calls;

/// Inputs that wait for the control thread.
const INPUT_BOUND: usize = 1_024;
/// Time for the last gossip of a leaving node to go out.
const LEAVE_TIME: Duration = Duration::from_millis(300);
/// Time before the end of a drain in which calls that still wait at other nodes get their answers: a
/// question to the owner and its answer, with slow processors on both sides.
const CLOSE_TIME: Duration = Duration::from_millis(500);
/// Signals that wait to be taken.
const STOP_BOUND: usize = 2;

/// Runs a node with the settings of the file at `path` until a signal or an operator tells it to
/// leave; the calling thread becomes the control thread.
pub fn run(path: &Path, settings: &Settings) -> Result<(), Error> {
    run_node(settings, Some(path), None)
}

/// Runs a node that `stops` tell to leave in place of signals; a second one ends it at once.
pub fn run_until(settings: &Settings, stops: Option<mpsc::Receiver<()>>) -> Result<(), Error> {
    run_node(settings, None, stops)
}

fn run_node(
    settings: &Settings,
    path: Option<&Path>,
    stops: Option<mpsc::Receiver<()>>,
) -> Result<(), Error> {
    let plugins = Plugins::from_settings(settings)?;
    let traffic = runtime::Builder::new_multi_thread()
        .worker_threads(settings.traffic_threads)
        .thread_name("traffic")
        .enable_all()
        .build()?;
    let control = runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let done = control.block_on(async {
        let stops = match stops {
            Some(stops) => stops,
            None => take_signals()?,
        };
        if let Some(path) = path {
            let hangups = signal(SignalKind::hangup())?;
            tokio::spawn(reload::follow(path.to_owned(), settings.clone(), hangups));
        }
        serve(settings, plugins, traffic.handle().clone(), stops).await
    });
    traffic.shutdown_background();
    done
}

async fn serve(
    settings: &Settings,
    plugins: Plugins,
    traffic: runtime::Handle,
    stops: mpsc::Receiver<()>,
) -> Result<(), Error> {
    let metrics = Arc::new(Metrics::new()?);
    let clock = MonotonicClock::new();
    let me = describe_self(settings);
    let id = me.id;
    let topology = Arc::new(ArcSwap::from_pointee(Topology::new(
        id,
        me.domain.clone(),
        NodeStage::Joining,
        None,
        &MemberTable::default(),
        0,
    )));
    let driver = Arc::new(TrafficDriver::new(TrafficDriverParts {
        node_id: id,
        clock,
        topology: Arc::clone(&topology),
        entry: traffic::entry::Machine::new(plugins.balance, plugins.retry, plugins.health),
        owner: traffic::owner::Machine::new(id, plugins.admission, read_end(settings)),
        metrics: Arc::clone(&metrics),
    }));
    // The counters are part of the driver, which must not keep itself alive.
    let observed = Arc::downgrade(&driver);
    metrics.register_gauges(move || observed.upgrade().map(|it| it.gauges()).unwrap_or_default());
    let (inputs, receiver) = mpsc::channel(INPUT_BOUND);
    let waiting = Arc::new(Mutex::new(Waiting::default()));

    let sender = open_transport(settings, plugins.transport.as_ref(), &inputs, &metrics).await?;
    listen_for_nodes(settings, &inputs, &waiting, &driver).await?;
    listen_for_operators(settings, &inputs, &driver).await?;
    let stop = CancellationToken::new();
    let serving = start_front(settings, plugins.front, &traffic, &driver, &stop).await?;
    let agent = plugins.agent.start(Arc::clone(&driver), inputs.clone());
    tokio::spawn(agent.await.map_err(Error::Agent)?);
    let timers = Arc::clone(&driver);
    traffic.spawn(async move { timers.run_timers().await });

    let mut effects = Effects {
        sender,
        store: Arc::from(plugins.store),
        inputs: inputs.clone(),
        waiting,
        topology,
        driver: Arc::clone(&driver),
        metrics,
        watch: None,
        store_health: Arc::default(),
    };
    let contacts = settings.contacts.clone();
    let mut machine = Machine::new(me, contacts, Parameters::default(), clock.now())
        .with_domains(settings.domains.iter().map(|it| Domain::new(it)).collect())
        .with_service(settings.service.as_deref());
    let mut random = SeededRandom::from_os_entropy();
    info!(event = "start", node = id.to_string().as_str(); "node started");
    let driving = run_control_loop(&mut machine, receiver, &mut effects, &clock, &mut random);
    let leaving = leave(settings, &driver, inputs, stop, serving, stops);
    tokio::select! {
        () = driving => {}
        done = leaving => done?,
    }
    info!(event = "stop"; "node stopped");
    Ok(())
}

fn read_end(settings: &Settings) -> UpstreamEnd {
    match settings.upstream_end {
        settings::UpstreamEnd::Leave => UpstreamEnd::Leave,
        settings::UpstreamEnd::Stay => UpstreamEnd::Stay,
    }
}

/// The node's first statement about itself.
fn describe_self(settings: &Settings) -> Member {
    Member {
        id: NodeId(rand::random()),
        addresses: ListenAddresses {
            peer: settings.listen.peer,
            requests: settings.listen.requests,
            admin: settings.listen.admin,
        },
        domain: Domain::new(&settings.domain),
        incarnation: Incarnation(1),
        status: Status::Alive,
        stage: Stage::Warming,
        upstream: None,
    }
}

fn refuse_address(key: &'static str, address: SocketAddr) -> impl Fn(io::Error) -> Error {
    move |error| Error::Listen {
        key,
        address,
        error,
    }
}

/// Opens the transport; a message that the control thread has no room for is dropped and counted.
async fn open_transport(
    settings: &Settings,
    transport: &dyn Transport,
    inputs: &mpsc::Sender<Input>,
    metrics: &Arc<Metrics>,
) -> Result<Arc<dyn Sender>, Error> {
    let datagrams = inputs.clone();
    let dropped = Arc::clone(metrics);
    let inbox = Box::new(move |from, message| {
        let input = Input::Datagram { from, message };
        if datagrams.try_send(input).is_err() {
            dropped.count_drop(Reason::QueueOverflow);
        }
    });
    let address = settings.listen.peer;
    transport
        .open(address, inbox, Arc::clone(metrics))
        .await
        .map_err(refuse_address("peer", address))
}

/// Answers control calls of other nodes on the control thread.
async fn listen_for_nodes(
    settings: &Settings,
    inputs: &mpsc::Sender<Input>,
    waiting: &Arc<Mutex<Waiting>>,
    driver: &Arc<TrafficDriver>,
) -> Result<(), Error> {
    let handler = Handler {
        inputs: inputs.clone(),
        waiting: Arc::clone(waiting),
        driver: Arc::clone(driver),
    };
    let address = settings.listen.peer;
    let answering = calls::listen(address, handler)
        .await
        .map_err(refuse_address("peer", address))?;
    tokio::spawn(answering);
    Ok(())
}

/// Answers operators and the upstream's announcements on the control thread.
async fn listen_for_operators(
    settings: &Settings,
    inputs: &mpsc::Sender<Input>,
    driver: &Arc<TrafficDriver>,
) -> Result<(), Error> {
    let address = settings.listen.admin;
    let listener = TcpListener::bind(address)
        .await
        .map_err(refuse_address("admin", address))?;
    let printed = settings::to_yaml(settings);
    let node = admin::AdminHandler::new(Arc::clone(driver), inputs.clone(), printed);
    tokio::spawn(admin::serve(listener, node));
    Ok(())
}

/// Starts the front end on the traffic threads.
async fn start_front(
    settings: &Settings,
    front: Box<dyn FrontEnd>,
    traffic: &runtime::Handle,
    driver: &Arc<TrafficDriver>,
    stop: &CancellationToken,
) -> Result<JoinHandle<()>, Error> {
    let addresses = FrontEndAddresses {
        callers: settings.listen.callers,
        requests: settings.listen.requests,
        upstream: settings.upstream,
    };
    let (driver, stop) = (Arc::clone(driver), stop.clone());
    let start = async move { front.start(addresses, driver, stop).await };
    match traffic.spawn(start).await {
        Ok(started) => Ok(traffic.spawn(started.map_err(Error::FrontEnd)?)),
        Err(error) => Err(Error::Start(error.into())),
    }
}

/// Passes SIGTERM and SIGINT on.
fn take_signals() -> Result<mpsc::Receiver<()>, Error> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let (sender, receiver) = mpsc::channel(STOP_BOUND);
    tokio::spawn(async move {
        loop {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
            }
            // A full channel already holds what ends the node at once.
            let _ = sender.try_send(());
        }
    });
    Ok(receiver)
}

/// Waits for a reason to leave, then drains: stop advertising, refuse, finish, close, leave.
async fn leave(
    settings: &Settings,
    driver: &TrafficDriver,
    inputs: mpsc::Sender<Input>,
    stop: CancellationToken,
    serving: JoinHandle<()>,
    mut stops: mpsc::Receiver<()>,
) -> Result<(), Error> {
    tokio::select! {
        _ = stops.recv() => {}
        () = driver.leaving().cancelled() => {}
        () = driver.drained().cancelled() => {}
    }
    let limit = Duration::from_millis(settings.drain_limit_ms);
    let linger = Duration::from_millis(settings.drain_linger_ms);
    let notice = Duration::from_millis(settings.drain_notice_ms);
    info!(
        event = "drain", running = driver.load().running, forwarded = driver.open_calls();
        "draining"
    );
    let drain = async {
        let linger = linger.min(limit / 2);
        driver.announce_drain();
        tokio::time::sleep(linger.saturating_sub(notice)).await;
        // The channel is open as long as the control loop runs.
        let _ = inputs.send(Input::Drain).await;
        driver.drain();
        tokio::time::sleep(linger.min(notice)).await;
        stop.cancel();
        let _ = serving.await;
        driver.wait_until_idle().await;
        let _ = inputs.send(Input::Drained).await;
        tokio::time::sleep(LEAVE_TIME).await;
    };
    let close = async {
        tokio::time::sleep(limit.saturating_sub(CLOSE_TIME)).await;
        driver.shut_down();
        tokio::time::sleep(limit.min(CLOSE_TIME)).await;
    };
    let reason = tokio::select! {
        () = drain => return Ok(()),
        () = close => "the drain limit passed",
        Some(()) = stops.recv() => "a second signal came",
    };
    Err(Error::DrainIncomplete {
        reason,
        running: driver.load().running,
        forwarded: driver.open_calls(),
    })
}
