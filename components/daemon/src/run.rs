//! Running of a node from start to end.

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
use tokio_util::sync::CancellationToken;

use crate::Error;
use crate::build::Plugins;
use crate::executor::Effects;
use crate::executor::Waiting;
use crate::peer::Handler;
use control::Input;
use control::Life;
use control::Machine;
use control::Picture;
use front::Addresses;
use front::Desk;
use front::Parts;
use ids::Domain;
use ids::Incarnation;
use ids::NodeId;
use kernel::Clock;
use kernel::clock::Monotonic;
use kernel::control::drive;
use kernel::random::Seeded;
use member::Address;
use member::Limits;
use member::Member;
use member::Stage;
use member::Status;
use member::Table;
use settings::Settings;
use telemetry::Counters;
use transport::calls;

/// Inputs that wait for the control thread.
const INPUT_BOUND: usize = 1_024;
/// Time for the last gossip of a leaving node to go out.
const LEAVE_TIME: Duration = Duration::from_millis(300);

/// Runs a node until it is told to stop; the calling thread becomes the control thread.
pub fn run(settings: &Settings) -> Result<(), Error> {
    let plugins = Plugins::from_settings(settings)?;
    let traffic = runtime::Builder::new_multi_thread()
        .worker_threads(settings.traffic_threads)
        .thread_name("traffic")
        .enable_all()
        .build()?;
    let control = runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let done = control.block_on(serve(settings, plugins, traffic.handle().clone()));
    traffic.shutdown_background();
    done
}

async fn serve(
    settings: &Settings,
    plugins: Plugins,
    traffic: runtime::Handle,
) -> Result<(), Error> {
    let counters = Arc::new(Counters::new()?);
    let clock = Monotonic::new();
    let me = Member {
        id: NodeId(rand::random()),
        address: Address {
            peer: settings.listen.peer,
            requests: settings.listen.requests,
            admin: settings.listen.admin,
        },
        domain: Domain::new(&settings.domain),
        incarnation: Incarnation(1),
        status: Status::Alive,
        stage: Stage::Warming,
        upstream: None,
    };
    let id = me.id;
    let first = Picture::new(
        id,
        me.domain.clone(),
        Life::Joining,
        None,
        &Table::default(),
        0,
    );
    let picture = Arc::new(ArcSwap::from_pointee(first));
    let desk = Arc::new(Desk::new(Parts {
        me: id,
        clock,
        picture: Arc::clone(&picture),
        entry: traffic::entry::Machine::new(plugins.balance, plugins.retry, plugins.health),
        owner: traffic::owner::Machine::new(id, plugins.admission),
        counters: Arc::clone(&counters),
    }));
    let (inputs, receiver) = mpsc::channel(INPUT_BOUND);
    let waiting = Arc::new(Mutex::new(Waiting::default()));

    let datagrams = inputs.clone();
    let dropped = Arc::clone(&counters);
    let inbox = Box::new(move |from, message| {
        if datagrams
            .try_send(Input::Datagram { from, message })
            .is_err()
        {
            dropped.count_drop(errors::Reason::QueueOverflow);
        }
    });
    let listen = |key| move |error| Error::Listen { key, error };
    let sender = plugins
        .transport
        .open(settings.listen.peer, inbox, Arc::clone(&counters))
        .await
        .map_err(listen("listen.peer"))?;
    let handler = Handler {
        inputs: inputs.clone(),
        waiting: Arc::clone(&waiting),
        desk: Arc::clone(&desk),
    };
    let answering = calls::listen(settings.listen.peer, handler)
        .await
        .map_err(listen("listen.peer"))?;
    tokio::spawn(answering);
    let admin = TcpListener::bind(settings.listen.admin)
        .await
        .map_err(listen("listen.admin"))?;
    let node = admin::Node::new(Arc::clone(&desk), inputs.clone(), settings::print(settings));
    tokio::spawn(admin::serve(admin, node));

    let stop = CancellationToken::new();
    let addresses = Addresses {
        callers: settings.listen.callers,
        requests: settings.listen.requests,
        upstream: settings.upstream,
    };
    let front = plugins.front;
    let serving = {
        let desk = Arc::clone(&desk);
        let stop = stop.clone();
        let start = async move { front.start(addresses, desk, stop).await };
        match traffic.spawn(start).await {
            Ok(started) => traffic.spawn(started.map_err(listen("listen"))?),
            Err(error) => return Err(Error::Start(error.into())),
        }
    };
    let timers = Arc::clone(&desk);
    traffic.spawn(async move { timers.run_timers().await });

    let mut effects = Effects {
        sender,
        store: Arc::from(plugins.store),
        inputs: inputs.clone(),
        waiting,
        picture,
        desk: Arc::clone(&desk),
        counters,
        watch: None,
    };
    let mut machine = Machine::new(
        me,
        settings.contacts.clone(),
        Limits::default(),
        clock.now(),
    );
    let mut random = Seeded::from_system();
    info!(node = id.to_string().as_str(); "node started");
    let driving = drive(&mut machine, receiver, &mut effects, &clock, &mut random);
    let leaving = leave(settings, &desk, inputs, stop, serving);
    tokio::select! {
        () = driving => {}
        done = leaving => done?,
    }
    info!("node stopped");
    Ok(())
}

/// Waits for a signal, then drains: stop advertising, refuse, finish, close, leave.
async fn leave(
    settings: &Settings,
    desk: &Desk,
    inputs: mpsc::Sender<Input>,
    stop: CancellationToken,
    serving: tokio::task::JoinHandle<()>,
) -> Result<(), Error> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        () = desk.drained().cancelled() => {}
    }
    info!("draining");
    let drain = async {
        // The channel is open as long as the control loop runs.
        let _ = inputs.send(Input::Drain).await;
        desk.drained().cancelled().await;
        stop.cancel();
        let _ = serving.await;
        let _ = inputs.send(Input::Drained).await;
        tokio::time::sleep(LEAVE_TIME).await;
    };
    tokio::select! {
        () = drain => {}
        () = tokio::time::sleep(Duration::from_millis(settings.drain_limit_ms)) => {
            warn!("drain limit passed; requests that still run are cut off");
        }
        _ = terminate.recv() => warn!("second signal; requests that still run are cut off"),
        _ = interrupt.recv() => warn!("second signal; requests that still run are cut off"),
    }
    Ok(())
}
