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

use super::place::Place;
use crate::Error;
use crate::http;
use crate::process::Binaries;
use crate::process::Folder;
use crate::process::Process;
use crate::process::Usage;
use crate::time::wall_us;
use crate::topology::Service;
use crate::topology::Topology;
use crate::upstream::ledger;
use crate::upstream::ledger::Run;

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

/// What an instance is.
#[derive(Clone, Debug)]
pub struct Spec {
    pub name: String,
    pub service: Option<&'static Service>,
    pub domain: usize,
    pub place: Place,
}

/// An instance in a stage of its life.
#[derive(Debug)]
pub struct Instance<S> {
    pub spec: Spec,
    node: Option<Process>,
    upstream: Option<Process>,
    ledger: PathBuf,
    /// Wall time of the order to end; 0 before.
    pub ordered_us: u64,
    /// Wall time of the end; 0 before.
    pub ended_us: u64,
    stage: PhantomData<S>,
}

/// What all instances of a run share.
pub struct Setup<'a> {
    pub binaries: &'a Binaries,
    pub folder: &'a Folder,
    pub topology: &'a Topology,
    /// Settings that are the same for all nodes, plug-ins among them.
    pub common: &'a Value,
}

impl Instance<Starting> {
    /// Starts the processes.
    pub fn start(setup: &Setup<'_>, spec: Spec) -> Result<Self, Error> {
        let file = |suffix: &str| setup.folder.path(&format!("{}{suffix}", spec.name));
        let settings = settings(setup, &spec);
        let path = file(".yaml");
        // JSON is YAML too.
        fs::write(&path, settings.to_string())?;
        let args = ["--settings".to_owned(), path.display().to_string()];
        let node = Process::start(&setup.binaries.node, &args, &file(".log"))?;
        let ledger = file(".ledger");
        let upstream = match spec.service {
            Some(service) => {
                let mut args = upstream_args(setup.topology, service, &spec.place);
                args.extend(["--ledger".to_owned(), ledger.display().to_string()]);
                let log = file("-upstream.log");
                Some(Process::start(&setup.binaries.lab, &args, &log)?)
            }
            None => None,
        };
        Ok(Self {
            spec,
            node: Some(node),
            upstream,
            ledger,
            ordered_us: 0,
            ended_us: 0,
            stage: PhantomData,
        })
    }

    /// Waits until the node is serving.
    pub async fn ready(mut self, limit: Duration) -> Result<Instance<Serving>, Error> {
        let until = Instant::now() + limit;
        loop {
            let status = http::get_json(self.spec.place.admin, "/status").await;
            if status.as_ref().is_ok_and(|it| it["life"] == "serving") {
                return Ok(self.into_stage());
            }
            let ended = self.node.as_mut().is_none_or(Process::has_ended);
            if ended || Instant::now() > until {
                let log = self.ledger.with_extension("log");
                let log = fs::read_to_string(log).unwrap_or_default();
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
        self.ordered_us = wall_us();
        let processes = [self.node.take(), self.upstream.take()];
        for process in processes.into_iter().flatten() {
            process.kill().await?;
        }
        self.ended_us = wall_us();
        Ok(self.into_stage())
    }

    /// Drains the node, waits for its end, then ends the upstream by a signal to terminate.
    pub async fn drain(mut self) -> Result<Instance<Ended>, Error> {
        self.ordered_us = wall_us();
        http::call(self.spec.place.admin, "POST", "/drain", "").await?;
        if let Some(mut node) = self.node.take()
            && !node.wait(DRAIN_LIMIT).await
        {
            return Err(format!("{} did not end its drain", self.spec.name).into());
        }
        self.ended_us = wall_us();
        if let Some(mut upstream) = self.upstream.take() {
            upstream.signal("TERM").await?;
            if !upstream.wait(DRAIN_LIMIT).await {
                return Err(format!("the upstream of {} did not end", self.spec.name).into());
            }
        }
        Ok(self.into_stage())
    }

    /// Changes how the upstream behaves.
    pub async fn behave(&self, body: &Value) -> Result<(), Error> {
        let address = self.spec.place.upstream;
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

    /// What the node has used.
    pub fn usage(&self) -> Option<Usage> {
        self.node.as_ref()?.usage()
    }
}

impl Instance<Ended> {
    /// The runs at the upstream.
    pub fn read_ledger(&self) -> Result<Vec<Run>, Error> {
        if self.spec.service.is_none() {
            return Ok(Vec::new());
        }
        Ok(ledger::parse(&fs::read_to_string(&self.ledger)?)?)
    }
}

impl<S> Instance<S> {
    fn into_stage<T>(self) -> Instance<T> {
        Instance {
            spec: self.spec,
            node: self.node,
            upstream: self.upstream,
            ledger: self.ledger,
            ordered_us: self.ordered_us,
            ended_us: self.ended_us,
            stage: PhantomData,
        }
    }
}

fn settings(setup: &Setup<'_>, spec: &Spec) -> Value {
    let place = &spec.place;
    let mut settings = setup.common.clone();
    settings["instance"] = json!(spec.name);
    settings["domain"] = json!(setup.topology.domains[spec.domain]);
    settings["listen"] = json!({
        "callers": place.callers.to_string(),
        "requests": place.requests.to_string(),
        "peer": place.peer.to_string(),
        "admin": place.admin.to_string(),
    });
    settings["upstream"] = json!(place.upstream.to_string());
    settings
}

fn upstream_args(topology: &Topology, service: &Service, place: &Place) -> Vec<String> {
    let mut args = vec!["upstream".to_owned()];
    let mut add = |name: &str, value: String| args.extend([format!("--{name}"), value]);
    add("listen", place.upstream.to_string());
    add("node", place.admin.to_string());
    add("entry", place.callers.to_string());
    add("service", service.name.to_owned());
    add("slots", topology.slots.to_string());
    add("connections", topology.connections.to_string());
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
