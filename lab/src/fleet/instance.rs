//! An instance: the process of a node and, if it has a service, the process of its fake upstream.
//!
//! The type parameter of [`Instance`] is its stage: only a serving instance can be killed or drained,
//! and only the ledgers of an ended one can be read.

use std::fs;
use std::marker::PhantomData;
use std::path::PathBuf;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;
use tokio::time::Instant;

use super::Links;
use super::addresses::InstanceAddresses;
use crate::Error;
use crate::check::UpstreamRecord;
use crate::http;
use crate::process::Binaries;
use crate::process::Process;
use crate::process::ProcessUsage;
use crate::process::RunDirectory;
use crate::time::wall_clock_us;
use crate::topology::Service;
use crate::topology::Topology;
use crate::upstream::ledger;

/// Interval at which the status of a starting instance is polled.
const STATUS_POLL_PERIOD: Duration = Duration::from_millis(30);
/// Timeout for the exit of a drained process: the default drain limit of the nodes and a margin.
const EXIT_TIMEOUT: Duration = Duration::from_secs(32);

/// Stage of an instance whose processes are started and whose node is not serving yet.
#[derive(Debug)]
pub struct Starting;
/// Stage of an instance whose node holds a configuration and takes requests.
#[derive(Debug)]
pub struct Serving;
/// Stage of an instance whose processes have ended.
#[derive(Debug)]
pub struct Ended;

/// Role of a process in its instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessRole {
    Node,
    Upstream,
}

/// Name, service, failure domain and addresses of an instance.
#[derive(Clone, Debug)]
pub struct InstanceSpec {
    pub name: String,
    /// Service of the upstream; `None` for a node without an upstream.
    pub service: Option<&'static Service>,
    /// Index of the failure domain in the topology.
    pub domain: usize,
    pub addresses: InstanceAddresses,
}

/// An instance in stage `S`.
#[derive(Debug)]
pub struct Instance<S> {
    pub spec: InstanceSpec,
    node: Option<Process>,
    upstream: Option<Process>,
    /// Files of the upstream's ledgers, one for each start of the upstream.
    ledger_paths: Vec<PathBuf>,
    /// Number of processes started so far; part of the names of their log files.
    process_starts: usize,
    /// Wall-clock time in microseconds at which the kill or drain of the instance was requested; 0 until
    /// then.
    pub requested_us: u64,
    /// Wall-clock time in microseconds at which all killed processes or the drained node had exited; 0
    /// until then.
    pub ended_us: u64,
    stage: PhantomData<S>,
}

/// Executables, run directory, topology and settings that all instances of a fleet share.
pub struct SharedSetup<'a> {
    pub binaries: &'a Binaries,
    pub run_directory: &'a RunDirectory,
    pub topology: &'a Topology,
    pub links: Links,
    /// Settings that are the same for all nodes, such as their plug-ins.
    pub common_settings: &'a Value,
}

impl Instance<Starting> {
    /// Writes the settings file of the node and starts the node and the upstream.
    pub fn start(setup: &SharedSetup<'_>, spec: InstanceSpec) -> Result<Self, Error> {
        let settings = node_settings(setup, &spec);
        // The settings file is YAML, of which JSON is a subset.
        fs::write(settings_path(setup, &spec), settings.to_string())?;
        let mut instance = Self {
            spec,
            node: None,
            upstream: None,
            ledger_paths: Vec::new(),
            process_starts: 0,
            requested_us: 0,
            ended_us: 0,
            stage: PhantomData,
        };
        instance.start_node(setup)?;
        instance.start_upstream(setup)?;
        Ok(instance)
    }

    /// Waits until the node reports that it is serving. Fails with the log of the node if it ends before
    /// that or `timeout` passes.
    pub async fn wait_until_serving(
        mut self,
        timeout: Duration,
    ) -> Result<Instance<Serving>, Error> {
        let deadline = Instant::now() + timeout;
        loop {
            let status = http::get_json(self.spec.addresses.admin, "/status").await;
            if status
                .as_ref()
                .is_ok_and(|status| status["life"] == "serving")
            {
                return Ok(self.into_stage());
            }
            let node_ended = self.node.as_mut().is_none_or(Process::has_ended);
            if node_ended || Instant::now() > deadline {
                let log = self.node.as_ref().map(Process::log).unwrap_or_default();
                let name = &self.spec.name;
                return Err(format!("{name} is not serving: {status:?}\n{log}").into());
            }
            tokio::time::sleep(STATUS_POLL_PERIOD).await;
        }
    }
}

impl Instance<Serving> {
    /// Kills the node and the upstream, as when the machine fails.
    pub async fn kill(mut self) -> Result<Instance<Ended>, Error> {
        self.requested_us = wall_clock_us();
        let processes = [self.node.take(), self.upstream.take()];
        for process in processes.into_iter().flatten() {
            process.kill().await?;
        }
        self.ended_us = wall_clock_us();
        Ok(self.into_stage())
    }

    /// Drains the node and waits for its exit, then sends SIGTERM to the upstream and waits for its exit.
    pub async fn drain(mut self) -> Result<Instance<Ended>, Error> {
        self.requested_us = wall_clock_us();
        http::call(self.spec.addresses.admin, "POST", "/drain", "").await?;
        if let Some(mut node) = self.node.take()
            && !node.wait(EXIT_TIMEOUT).await
        {
            return Err(format!(
                "{}: the node did not exit in time after its drain started",
                self.spec.name
            )
            .into());
        }
        self.ended_us = wall_clock_us();
        if let Some(mut upstream) = self.upstream.take() {
            upstream.signal("TERM").await?;
            if !upstream.wait(EXIT_TIMEOUT).await {
                return Err(format!(
                    "{}: the upstream did not exit in time after SIGTERM",
                    self.spec.name
                )
                .into());
            }
        }
        Ok(self.into_stage())
    }

    /// Changes the behaviour of the fake upstream; `body` holds the values to change.
    pub async fn set_upstream_behaviour(&self, body: &Value) -> Result<(), Error> {
        let address = self.spec.addresses.upstream;
        http::call(address, "POST", "/lab/behaviour", &body.to_string()).await?;
        Ok(())
    }

    /// Kills the upstream and leaves the node running.
    pub async fn kill_upstream(&mut self) -> Result<(), Error> {
        match self.upstream.take() {
            Some(process) => process.kill().await,
            None => Ok(()),
        }
    }

    /// Sends a signal, such as `STOP`, to one of the processes; does nothing if the process has ended.
    pub async fn signal(&mut self, role: ProcessRole, name: &str) -> Result<(), Error> {
        let process = match role {
            ProcessRole::Node => &mut self.node,
            ProcessRole::Upstream => &mut self.upstream,
        };
        match process {
            Some(process) => match process.has_ended() {
                true => Ok(()),
                false => process.signal(name).await,
            },
            None => Ok(()),
        }
    }

    /// Restarts the processes that have ended.
    pub fn restart_ended(&mut self, setup: &SharedSetup<'_>) -> Result<(), Error> {
        if self.node.as_mut().is_none_or(Process::has_ended) {
            self.start_node(setup)?;
        }
        if self.upstream.as_mut().is_none_or(Process::has_ended) {
            self.start_upstream(setup)?;
        }
        Ok(())
    }

    /// Returns the processor time and memory of the node; `None` if it does not run.
    pub fn usage(&self) -> Option<ProcessUsage> {
        self.node.as_ref()?.usage()
    }
}

impl Instance<Ended> {
    /// Reads the executions at the upstream from the ledgers of all its starts.
    pub fn read_upstream(&self) -> Result<UpstreamRecord, Error> {
        let mut executions = Vec::new();
        for path in &self.ledger_paths {
            executions.extend(ledger::parse(&fs::read_to_string(path)?)?);
        }
        Ok(UpstreamRecord {
            name: self.spec.name.clone(),
            executions,
            drain: None,
        })
    }
}

impl<S> Instance<S> {
    fn start_node(&mut self, setup: &SharedSetup<'_>) -> Result<(), Error> {
        let settings = settings_path(setup, &self.spec).display().to_string();
        let args = ["--settings".to_owned(), settings];
        let log_path = self.next_log_path(setup, "log");
        self.node = Some(Process::start(&setup.binaries.node, &args, &log_path)?);
        Ok(())
    }

    fn start_upstream(&mut self, setup: &SharedSetup<'_>) -> Result<(), Error> {
        let Some(service) = self.spec.service else {
            return Ok(());
        };
        let log_path = self.next_log_path(setup, "upstream.log");
        let ledger_path = log_path.with_extension("ledger");
        let mut args = upstream_args(setup.topology, service, &self.spec.addresses);
        args.extend(["--ledger".to_owned(), ledger_path.display().to_string()]);
        self.upstream = Some(Process::start(&setup.binaries.lab, &args, &log_path)?);
        self.ledger_paths.push(ledger_path);
        Ok(())
    }

    /// Returns the path of a log file with a name that no other process of the fleet has.
    fn next_log_path(&mut self, setup: &SharedSetup<'_>, suffix: &str) -> PathBuf {
        self.process_starts += 1;
        let name = format!("{}-{}.{suffix}", self.spec.name, self.process_starts);
        setup.run_directory.path(&name)
    }

    /// Moves the instance to stage `T`.
    fn into_stage<T>(self) -> Instance<T> {
        Instance {
            spec: self.spec,
            node: self.node,
            upstream: self.upstream,
            ledger_paths: self.ledger_paths,
            process_starts: self.process_starts,
            requested_us: self.requested_us,
            ended_us: self.ended_us,
            stage: PhantomData,
        }
    }
}

/// Returns the path of the settings file of an instance.
fn settings_path(setup: &SharedSetup<'_>, spec: &InstanceSpec) -> PathBuf {
    setup.run_directory.path(&format!("{}.yaml", spec.name))
}

/// Returns the settings of the node, with its addresses.
fn node_settings(setup: &SharedSetup<'_>, spec: &InstanceSpec) -> Value {
    let addresses = &spec.addresses;
    let mut settings = setup.common_settings.clone();
    settings["instance"] = json!(spec.name);
    settings["domain"] = json!(setup.topology.domains[spec.domain]);
    settings["listen"] = json!({
        "callers": addresses.callers.to_string(),
        "requests": addresses.requests.to_string(),
        "peer": addresses.peer.to_string(),
        "admin": addresses.admin.to_string(),
    });
    let upstream = match setup.links {
        Links::All => addresses.upstream_link,
        Links::None | Links::Callers => addresses.upstream,
    };
    settings["upstream"] = json!(upstream.to_string());
    settings
}

/// Returns the command line of a fake upstream.
fn upstream_args(
    topology: &Topology,
    service: &Service,
    addresses: &InstanceAddresses,
) -> Vec<String> {
    let mut args = vec!["upstream".to_owned()];
    let mut push_flag = |name: &str, value: String| args.extend([format!("--{name}"), value]);
    push_flag("listen", addresses.upstream.to_string());
    push_flag("node", addresses.admin.to_string());
    push_flag("entry", addresses.callers.to_string());
    push_flag("service", service.name.to_owned());
    push_flag("slots", topology.slots.to_string());
    push_flag("connections", topology.max_connections.to_string());
    for route in service.routes {
        push_flag(
            "work",
            format!("{}={}", route.prefix, route.work_ms * 1_000),
        );
        if let Some(target) = route.onward_path {
            push_flag("onward", format!("{}={target}", route.prefix));
        }
    }
    args
}
