//! Starts a node, runs it and drains it when it is asked to stop.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use arc_swap::ArcSwap;
use log::info;
use log::warn;
use tokio::net::TcpListener;
use tokio::runtime;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use crate::Error;
use crate::event_log::StoreHealth;
use crate::executor::ControlExecutor;
use crate::executor::PendingCalls;
use crate::peer::PeerHandler;
use crate::plugins::Plugins;
use crate::reload;
use control::Input;
use control::Machine;
use control::NodeStage;
use control::Topology;
use errors::Reason;
use front::FrontEnd;
use front::FrontEndAddresses;
use front::KeyValidity;
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
use transport::Datagram;
use transport::Sender;
use transport::Transport;
use transport::calls;

/// Number of inputs that can wait for the control thread.
const INPUT_QUEUE_CAPACITY: usize = 1_024;
/// Time for a leaving node to send its last gossip messages.
const LEAVE_GOSSIP_TIME: Duration = Duration::from_millis(300);
/// Part of the drain limit that is kept in reserve: calls that still wait for other nodes are ended
/// this long before the limit, and upstreams have to be done by then. The reserve allows for their
/// responses, and for an outcome query to the owner and its response, with slow processors on both sides.
const DRAIN_LIMIT_RESERVE: Duration = Duration::from_millis(500);
/// Time before the exit in which calls that still have no answer get one and their connections end.
const LAST_ANSWERS_TIME: Duration = Duration::from_millis(150);
/// Value of `rollout_stop_s` where the settings have none.
const DEFAULT_ROLLOUT_STOP_S: f64 = 5.0;
/// Number of stop requests that can wait: the first starts the drain and the second ends the node at once.
const STOP_QUEUE_CAPACITY: usize = 2;

/// Runs a node until a signal or an operator starts its drain and the drain has ended. The calling thread
/// becomes the control thread. `path` is the settings file, which is reread when it changes.
pub fn run(path: &Path, settings: &Settings) -> Result<(), Error> {
    run_node(settings, Some(path), None)
}

/// Runs a node that leaves on the first of `stop_requests` and ends at once on the second. Without
/// `stop_requests` the node responds to SIGTERM and SIGINT instead.
pub fn run_until(
    settings: &Settings,
    stop_requests: Option<mpsc::Receiver<()>>,
) -> Result<(), Error> {
    run_node(settings, None, stop_requests)
}

fn run_node(
    settings: &Settings,
    path: Option<&Path>,
    stop_requests: Option<mpsc::Receiver<()>>,
) -> Result<(), Error> {
    let plugins = Plugins::from_settings(settings)?;
    let traffic_runtime = runtime::Builder::new_multi_thread()
        .worker_threads(settings.traffic_threads)
        .thread_name("traffic")
        .enable_all()
        .build()?;
    let control_runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let result = control_runtime.block_on(async {
        let stop_requests = match stop_requests {
            Some(stop_requests) => stop_requests,
            None => receive_stop_signals()?,
        };
        if let Some(path) = path {
            let hangups = signal(SignalKind::hangup())?;
            tokio::spawn(reload::watch_settings(
                path.to_owned(),
                settings.clone(),
                hangups,
            ));
        }
        serve(
            settings,
            plugins,
            traffic_runtime.handle().clone(),
            stop_requests,
        )
        .await
    });
    traffic_runtime.shutdown_background();
    result
}

/// Builds and starts the parts of a node, then runs the control loop until the node has drained.
async fn serve(
    settings: &Settings,
    plugins: Plugins,
    traffic_runtime: runtime::Handle,
    stop_requests: mpsc::Receiver<()>,
) -> Result<(), Error> {
    let metrics = Arc::new(Metrics::new()?);
    let clock = MonotonicClock::new();
    let own_member = initial_member(settings);
    let node_id = own_member.id;
    let topology = Arc::new(ArcSwap::from_pointee(Topology::new(
        node_id,
        own_member.domain.clone(),
        NodeStage::Joining,
        None,
        &MemberTable::default(),
        0,
    )));
    let (inputs, receiver) = mpsc::channel(INPUT_QUEUE_CAPACITY);
    let mut entry = traffic::entry::Machine::new(plugins.balance, plugins.retry, plugins.health);
    let mut owner =
        traffic::owner::Machine::new(node_id, plugins.admission, upstream_end(settings));
    let link_rate = settings.link_mbps.map(link::Rate::from_mbps);
    if let Some(rate) = link_rate {
        entry.prefer_onward_calls();
        owner.set_link_rate(rate);
    }
    let key_limit = settings.key_freshness_s.map(Duration::from_secs_f64);
    let key_validity = key_limit.map(|_| KeyValidity::default());
    let driver = TrafficDriver::new(TrafficDriverParts {
        node_id,
        clock,
        topology: Arc::clone(&topology),
        entry,
        owner,
        metrics: Arc::clone(&metrics),
        control_inputs: inputs.clone(),
    });
    let driver = driver.with_link_rate(link_rate);
    let driver = Arc::new(match &key_validity {
        Some(key_validity) => driver.with_key_validity(key_validity.clone()),
        None => driver,
    });
    // The driver owns the metrics; a strong reference from them to the driver would be a cycle.
    let weak_driver = Arc::downgrade(&driver);
    metrics.register_gauges(move || {
        weak_driver
            .upgrade()
            .map(|it| it.gauges())
            .unwrap_or_default()
    });
    let pending_calls = Arc::new(Mutex::new(PendingCalls::default()));

    let sender = open_transport(
        settings,
        plugins.transport.as_ref(),
        &inputs,
        &metrics,
        key_validity.clone(),
        &driver,
    )
    .await?;
    let may_be_alone = settings.contacts.is_empty() && settings.domains.len() <= 1;
    driver.set_transport(Arc::clone(&sender), may_be_alone);
    start_control_calls(settings, &inputs, &pending_calls, &driver).await?;
    start_admin_api(settings, &inputs, &driver).await?;
    let front_end_stop = CancellationToken::new();
    let front_end_task = start_front_end(
        settings,
        plugins.front,
        &traffic_runtime,
        &driver,
        &front_end_stop,
    )
    .await?;
    let agent = plugins.agent.start(Arc::clone(&driver), inputs.clone());
    tokio::spawn(agent.await.map_err(Error::Agent)?);
    let timer_driver = Arc::clone(&driver);
    traffic_runtime.spawn(async move { timer_driver.run_timers().await });

    let mut executor = ControlExecutor {
        sender,
        store: Arc::from(plugins.store),
        inputs: inputs.clone(),
        pending_calls,
        topology,
        driver: Arc::clone(&driver),
        store_health: Arc::new(StoreHealth::new(Arc::clone(&metrics))),
        metrics,
        config_call: None,
        key_validity: key_validity.clone(),
    };
    let contacts = settings.contacts.clone();
    let mut machine = Machine::new(own_member, contacts, Parameters::default(), clock.now())
        .with_domains(settings.domains.iter().map(|it| Domain::new(it)).collect())
        .with_service(settings.service.as_deref())
        .with_rollouts(rollout_limits(settings));
    if let Some((limit, key_validity)) = key_limit.zip(key_validity) {
        let proof_now = key_validity.clock().now();
        machine = machine.with_key_freshness(limit, clock.now(), proof_now);
    }
    let mut random = SeededRandom::from_os_entropy();
    info!(event = "start", node = node_id.to_string().as_str(); "node started");
    let control_loop = run_control_loop(&mut machine, receiver, &mut executor, &clock, &mut random);
    let drain_sequence = drain_on_stop(
        settings,
        &driver,
        inputs,
        front_end_stop,
        front_end_task,
        stop_requests,
    );
    tokio::select! {
        () = control_loop => {}
        result = drain_sequence => result?,
    }
    info!(event = "stop"; "node stopped");
    Ok(())
}

/// Bounds of rollouts; `None` if the settings do not enable them.
fn rollout_limits(settings: &Settings) -> Option<rollout::Limits> {
    let stop_s = settings.rollout_stop_s.unwrap_or(DEFAULT_ROLLOUT_STOP_S);
    settings.rollout_share.map(|share| rollout::Limits {
        share,
        slack: settings.rollout_slack.unwrap_or_default(),
        stop: Duration::from_secs_f64(stop_s),
    })
}

fn upstream_end(settings: &Settings) -> UpstreamEnd {
    match settings.upstream_end {
        settings::UpstreamEnd::Leave => UpstreamEnd::Leave,
        settings::UpstreamEnd::Stay => UpstreamEnd::Stay,
    }
}

/// The node's own entry in the member table at its start.
fn initial_member(settings: &Settings) -> Member {
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

fn listen_error(key: &'static str, address: SocketAddr) -> impl Fn(io::Error) -> Error {
    move |error| Error::Listen {
        key,
        address,
        error,
    }
}

/// Opens the transport. A datagram that arrives while the input queue of the control thread is full is
/// dropped and counted.
async fn open_transport(
    settings: &Settings,
    transport: &dyn Transport,
    inputs: &mpsc::Sender<Input>,
    metrics: &Arc<Metrics>,
    key_validity: Option<KeyValidity>,
    driver: &Arc<TrafficDriver>,
) -> Result<Arc<dyn Sender>, Error> {
    let datagram_inputs = inputs.clone();
    let drop_metrics = Arc::clone(metrics);
    // The driver owns the sender; a strong reference from the transport to the driver would be a cycle.
    let weak_driver = Arc::downgrade(driver);
    let on_datagram = Box::new(move |from, datagram| {
        let input = match datagram {
            Datagram::Membership(message) => Input::Datagram { from, message },
            Datagram::CrashReports(reports) => Input::CrashReports { from, reports },
            Datagram::Freshness(message) => match &key_validity {
                // The age in a response counts until the request is read here, not until it is handled.
                Some(key_validity) => Input::Freshness {
                    from,
                    received: key_validity.clock().now(),
                    message,
                },
                None => return drop_metrics.count_drop(Reason::Malformed),
            },
            Datagram::RateLimits(message) => {
                if let Some(driver) = weak_driver.upgrade() {
                    driver.receive_rate_limits(from, &message);
                }
                return;
            }
            Datagram::Rollout(message) => Input::Rollout { from, message },
        };
        if datagram_inputs.try_send(input).is_err() {
            drop_metrics.count_drop(Reason::QueueOverflow);
        }
    });
    let address = settings.listen.peer;
    transport
        .open(address, on_datagram, Arc::clone(metrics))
        .await
        .map_err(listen_error("peer", address))
}

/// Starts to serve the control calls of other nodes on the runtime of the control thread.
async fn start_control_calls(
    settings: &Settings,
    inputs: &mpsc::Sender<Input>,
    pending_calls: &Arc<Mutex<PendingCalls>>,
    driver: &Arc<TrafficDriver>,
) -> Result<(), Error> {
    let handler = PeerHandler {
        inputs: inputs.clone(),
        pending_calls: Arc::clone(pending_calls),
        driver: Arc::clone(driver),
    };
    let address = settings.listen.peer;
    let accept_loop = calls::listen(address, handler)
        .await
        .map_err(listen_error("peer", address))?;
    tokio::spawn(accept_loop);
    Ok(())
}

/// Starts to serve the admin API and the upstream's announcements on the runtime of the control thread.
async fn start_admin_api(
    settings: &Settings,
    inputs: &mpsc::Sender<Input>,
    driver: &Arc<TrafficDriver>,
) -> Result<(), Error> {
    let address = settings.listen.admin;
    let listener = TcpListener::bind(address)
        .await
        .map_err(listen_error("admin", address))?;
    let settings_yaml = settings::to_yaml(settings);
    let admin_handler = admin::AdminHandler::new(Arc::clone(driver), inputs.clone(), settings_yaml);
    tokio::spawn(admin::serve(listener, admin_handler));
    Ok(())
}

/// Starts the front end on the traffic threads.
async fn start_front_end(
    settings: &Settings,
    front: Box<dyn FrontEnd>,
    traffic_runtime: &runtime::Handle,
    driver: &Arc<TrafficDriver>,
    front_end_stop: &CancellationToken,
) -> Result<JoinHandle<()>, Error> {
    let addresses = FrontEndAddresses {
        callers: settings.listen.callers,
        requests: settings.listen.requests,
        upstream: settings.upstream,
    };
    let (driver, front_end_stop) = (Arc::clone(driver), front_end_stop.clone());
    let start = async move { front.start(addresses, driver, front_end_stop).await };
    match traffic_runtime.spawn(start).await {
        Ok(started) => Ok(traffic_runtime.spawn(started.map_err(Error::FrontEnd)?)),
        Err(error) => Err(Error::Start(error.into())),
    }
}

/// Returns a channel that receives one stop request for each SIGTERM or SIGINT.
fn receive_stop_signals() -> Result<mpsc::Receiver<()>, Error> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let (sender, receiver) = mpsc::channel(STOP_QUEUE_CAPACITY);
    tokio::spawn(async move {
        loop {
            let name = tokio::select! {
                _ = terminate.recv() => "SIGTERM",
                _ = interrupt.recv() => "SIGINT",
            };
            info!(event = "signal", name = name; "stop signal received");
            // A full channel already holds the request that ends the node at once.
            let _ = sender.try_send(());
        }
    });
    Ok(receiver)
}

/// Waits for a stop request or for a drain that an operator has begun, then drains the node.
///
/// The drain reports the node as not ready, refuses new requests, closes the listeners of the front end,
/// waits for the accepted requests and announces that the node has left. It fails if the drain limit
/// passes or a second stop request comes before the end.
async fn drain_on_stop(
    settings: &Settings,
    driver: &TrafficDriver,
    inputs: mpsc::Sender<Input>,
    front_end_stop: CancellationToken,
    front_end_task: JoinHandle<()>,
    mut stop_requests: mpsc::Receiver<()>,
) -> Result<(), Error> {
    let (cause, signals_before_exit) = tokio::select! {
        _ = stop_requests.recv() => ("signal", 1),
        // The signal that follows such a drain in a planned replacement does not end it.
        () = driver.leaving().cancelled() => ("operator", 2),
        () = driver.drained().cancelled() => ("upstream-drained", 2),
    };
    let limit = Duration::from_millis(settings.drain_limit_ms);
    let linger = Duration::from_millis(settings.drain_linger_ms);
    let notice = Duration::from_millis(settings.drain_notice_ms);
    info!(
        event = "drain", cause = cause, limit_ms = settings.drain_limit_ms,
        running = driver.load().running, forwarded = driver.open_calls();
        "draining"
    );
    let work_end = driver.now() + limit.saturating_sub(DRAIN_LIMIT_RESERVE);
    let step = Cell::new("callers and nodes to learn of the drain");
    let drain = async {
        let linger = linger.min(limit / 2);
        driver.announce_drain(work_end);
        tokio::time::sleep(linger.saturating_sub(notice)).await;
        // The channel is open as long as the control loop runs.
        let _ = inputs.send(Input::Drain).await;
        driver.drain();
        tokio::time::sleep(linger.min(notice)).await;
        step.set("requests at the upstream to end");
        // Calls that the upstream makes for its running requests still need the listeners.
        tokio::select! {
            () = driver.drained().cancelled() => {}
            () = tokio::time::sleep(driver.now().until(work_end)) => {}
        }
        front_end_stop.cancel();
        step.set("connections to end");
        let _ = front_end_task.await;
        step.set("requests to end");
        driver.wait_until_idle().await;
    };
    // Within the reserve between the limit and the end of the process: nothing is left to cut off.
    let announce_end = async {
        // A full input queue must not keep the process past its grace time.
        if timeout(LEAVE_GOSSIP_TIME, inputs.send(Input::Drained))
            .await
            .is_err()
        {
            warn!(event = "end-unannounced"; "input queue is full; the end is not announced");
        }
        tokio::time::sleep(LEAVE_GOSSIP_TIME).await;
    };
    let unfinished = Cell::new(None);
    let count_unfinished = || (driver.load().running, driver.open_calls());
    let shut_down_at_limit = async {
        tokio::time::sleep(limit.saturating_sub(DRAIN_LIMIT_RESERVE)).await;
        driver.shut_down();
        let reserve = limit.min(DRAIN_LIMIT_RESERVE);
        tokio::time::sleep(reserve.saturating_sub(LAST_ANSWERS_TIME)).await;
        unfinished.set(Some(count_unfinished()).filter(|counts| *counts != (0, 0)));
        driver.abandon_calls();
        tokio::time::sleep(reserve.min(LAST_ANSWERS_TIME)).await;
    };
    let urgent_stop = async {
        for _ in 0..signals_before_exit {
            if stop_requests.recv().await.is_none() {
                std::future::pending::<()>().await;
            }
        }
    };
    let reason = tokio::select! {
        () = drain => match unfinished.get() {
            Some(_) => "the drain limit passed",
            None => {
                announce_end.await;
                return Ok(());
            }
        },
        () = shut_down_at_limit => "the drain limit passed",
        () = urgent_stop => {
            unfinished.set(Some(count_unfinished()));
            driver.shut_down();
            driver.abandon_calls();
            tokio::time::sleep(LAST_ANSWERS_TIME).await;
            "a second signal came"
        }
    };
    let (running, forwarded) = unfinished.get().unwrap_or_else(count_unfinished);
    Err(Error::DrainIncomplete {
        reason,
        running,
        forwarded,
        step: step.get(),
    })
}
