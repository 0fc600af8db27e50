//! One instance: a node and, unless it has no service, its upstream.
//!
//! The stage of its life is in its type: only a serving instance can be killed or drained, and only
//! an ended one gives its ledger.

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

/// Time between two looks at a starting instance.
const LOOK_PERIOD: Duration = Duration::from_millis(30);
/// Longest wait for the end of a drained process: the nodes' default drain limit and some more.
const DRAIN_LIMIT: Duration = Duration::from_secs(32);

/// Started, not yet serving.
#[derive(Debug)]
pub struct Starting;
/// Holds a configuration and takes requests.
#[derive(Debug)]
pub struct Serving;
/// Its processes have ended.
#[derive(Debug)]
pub struct Ended;

/// One of an instance's processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessRole {
    Node,
    Upstream,
}

/// What an instance is.
#[derive(Clone, Debug)]
pub struct Spec {
    pub name: String,
    pub service: Option<&'static Service>,
    pub domain: usize,
    pub addresses: InstanceAddresses,
}

/// An instance in a stage of its life.
#[derive(Debug)]
pub struct Instance<S> {
    pub spec: Spec,
    node: Option<Process>,
    upstream: Option<Process>,
    /// One for each start of the upstream.
    ledgers: Vec<PathBuf>,
    /// Starts of processes so far; numbers their files.
    starts: usize,
    /// Wall time of the order to end; 0 before.
    pub requested_us: u64,
    /// Wall time of the end; 0 before.
    pub ended_us: u64,
    stage: PhantomData<S>,
}

/// What all instances of a run share.
pub struct Setup<'a> {
    pub binaries: &'a Binaries,
    pub folder: &'a RunDirectory,
    pub topology: &'a Topology,
    pub links: Links,
    /// Settings that are the same for all nodes, plug-ins among them.
    pub common: &'a Value,
}

impl Instance<Starting> {
    /// Starts the processes.
    pub fn start(setup: &Setup<'_>, spec: Spec) -> Result<Self, Error> {
        let settings = settings(setup, &spec);
        // JSON is YAML too.
        fs::write(settings_path(setup, &spec), settings.to_string())?;
        let mut instance = Self {
            spec,
            node: None,
            upstream: None,
            ledgers: Vec::new(),
            starts: 0,
            requested_us: 0,
            ended_us: 0,
            stage: PhantomData,
        };
        instance.start_node(setup)?;
        instance.start_upstream(setup)?;
        Ok(instance)
    }

    /// Waits until the node is serving.
    pub async fn wait_until_serving(mut self, limit: Duration) -> Result<Instance<Serving>, Error> {
        let until = Instant::now() + limit;
        loop {
            let status = http::get_json(self.spec.addresses.admin, "/status").await;
            if status.as_ref().is_ok_and(|it| it["life"] == "serving") {
                return Ok(self.into_stage());
            }
            let ended = self.node.as_mut().is_none_or(Process::has_ended);
            if ended || Instant::now() > until {
                let log = self.node.as_ref().map(Process::log).unwrap_or_default();
                let name = &self.spec.name;
                return Err(format!("{name} is not serving: {status:?}\n{log}").into());
            }
            tokio::time::sleep(LOOK_PERIOD).await;
        }
    }
}

impl Instance<Serving> {
    /// Ends both processes at once, as the loss of the instance does.
    pub async fn kill(mut self) -> Result<Instance<Ended>, Error> {
        self.requested_us = wall_clock_us();
        let processes = [self.node.take(), self.upstream.take()];
        for process in processes.into_iter().flatten() {
            process.kill().await?;
        }
        self.ended_us = wall_clock_us();
        Ok(self.into_stage())
    }

    /// Drains the node, waits for its end, then ends the upstream by a signal to terminate.
    pub async fn drain(mut self) -> Result<Instance<Ended>, Error> {
        self.requested_us = wall_clock_us();
        http::call(self.spec.addresses.admin, "POST", "/drain", "").await?;
        if let Some(mut node) = self.node.take()
            && !node.wait(DRAIN_LIMIT).await
        {
            return Err(format!("{} did not end its drain", self.spec.name).into());
        }
        self.ended_us = wall_clock_us();
        if let Some(mut upstream) = self.upstream.take() {
            upstream.signal("TERM").await?;
            if !upstream.wait(DRAIN_LIMIT).await {
                return Err(format!("the upstream of {} did not end", self.spec.name).into());
            }
        }
        Ok(self.into_stage())
    }

    /// Changes how the upstream behaves.
    pub async fn set_upstream_behaviour(&self, body: &Value) -> Result<(), Error> {
        let address = self.spec.addresses.upstream;
        http::call(address, "POST", "/lab/behaviour", &body.to_string()).await?;
        Ok(())
    }

    /// Ends the upstream at once and leaves the node.
    pub async fn kill_upstream(&mut self) -> Result<(), Error> {
        match self.upstream.take() {
            Some(process) => process.kill().await,
            None => Ok(()),
        }
    }

    /// Sends a signal, such as `STOP`, to one of the processes, if it runs.
    pub async fn signal(&mut self, part: ProcessRole, name: &str) -> Result<(), Error> {
        let process = match part {
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

    /// Starts the processes again that have ended.
    pub fn restart_ended(&mut self, setup: &Setup<'_>) -> Result<(), Error> {
        if self.node.as_mut().is_none_or(Process::has_ended) {
            self.start_node(setup)?;
        }
        if self.upstream.as_mut().is_none_or(Process::has_ended) {
            self.start_upstream(setup)?;
        }
        Ok(())
    }

    /// What the node has used.
    pub fn usage(&self) -> Option<ProcessUsage> {
        self.node.as_ref()?.usage()
    }
}

impl Instance<Ended> {
    /// The runs at the upstream, over all its starts.
    pub fn read_upstream(&self) -> Result<UpstreamRecord, Error> {
        let mut executions = Vec::new();
        for path in &self.ledgers {
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
    fn start_node(&mut self, setup: &Setup<'_>) -> Result<(), Error> {
        let settings = settings_path(setup, &self.spec).display().to_string();
        let args = ["--settings".to_owned(), settings];
        let log = self.next_file(setup, "log");
        self.node = Some(Process::start(&setup.binaries.node, &args, &log)?);
        Ok(())
    }

    fn start_upstream(&mut self, setup: &Setup<'_>) -> Result<(), Error> {
        let Some(service) = self.spec.service else {
            return Ok(());
        };
        let log = self.next_file(setup, "upstream.log");
        let ledger = log.with_extension("ledger");
        let mut args = upstream_args(setup.topology, service, &self.spec.addresses);
        args.extend(["--ledger".to_owned(), ledger.display().to_string()]);
        self.upstream = Some(Process::start(&setup.binaries.lab, &args, &log)?);
        self.ledgers.push(ledger);
        Ok(())
    }

    fn next_file(&mut self, setup: &Setup<'_>, suffix: &str) -> PathBuf {
        self.starts += 1;
        let name = format!("{}-{}.{suffix}", self.spec.name, self.starts);
        setup.folder.path(&name)
    }

    fn into_stage<T>(self) -> Instance<T> {
        Instance {
            spec: self.spec,
            node: self.node,
            upstream: self.upstream,
            ledgers: self.ledgers,
            starts: self.starts,
            requested_us: self.requested_us,
            ended_us: self.ended_us,
            stage: PhantomData,
        }
    }
}

fn settings_path(setup: &Setup<'_>, spec: &Spec) -> PathBuf {
    setup.folder.path(&format!("{}.yaml", spec.name))
}

fn settings(setup: &Setup<'_>, spec: &Spec) -> Value {
    let addresses = &spec.addresses;
    let mut settings = setup.common.clone();
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

fn upstream_args(
    topology: &Topology,
    service: &Service,
    addresses: &InstanceAddresses,
) -> Vec<String> {
    let mut args = vec!["upstream".to_owned()];
    let mut add = |name: &str, value: String| args.extend([format!("--{name}"), value]);
    add("listen", addresses.upstream.to_string());
    add("node", addresses.admin.to_string());
    add("entry", addresses.callers.to_string());
    add("service", service.name.to_owned());
    add("slots", topology.slots.to_string());
    add("connections", topology.max_connections.to_string());
    for route in service.routes {
        add(
            "work",
            format!("{}={}", route.prefix, route.work_ms * 1_000),
        );
        if let Some(target) = route.onward {
            add("onward", format!("{}={target}", route.prefix));
        }
    }
    args
}
