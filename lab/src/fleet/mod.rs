//! A mesh of real processes on loopback: store, link, nodes and upstreams.

pub mod addresses;
pub mod instance;
pub mod watch;

use std::fs;
use std::net::SocketAddr;
use std::time::Duration;

use addresses::AddressBlock;
use futures::future::try_join_all;
use instance::Ended;
use instance::Instance;
use instance::Serving;
use instance::Setup;
use instance::Spec;
use serde_json::Value;
use serde_json::json;
use tokio::process::Command;
use tokio::time::Instant;
use tokio::time::timeout;

use crate::Error;
use crate::check::UpstreamRecord;
use crate::http;
use crate::http::full_body;
use crate::metrics::CounterTotals;
use crate::process::Binaries;
use crate::process::Process;
use crate::process::RunDirectory;
use crate::topology::Service;
use crate::topology::Topology;

/// Longest wait for nodes to be serving.
const START_LIMIT: Duration = Duration::from_secs(30);
/// Longest run of `medlarctl`.
const CONTROL_LIMIT: Duration = Duration::from_secs(20);

/// Connections that go over the stand-in link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Links {
    /// None.
    None,
    /// Those of callers, with the topology's delay.
    Callers,
    /// Those of callers, from nodes to their upstreams and to the store.
    All,
}

/// What differs from one fleet to another.
#[derive(Clone, Debug)]
pub struct Options {
    pub topology: &'static Topology,
    /// Nodes without a service, beside or instead of the topology's.
    pub bare_nodes: Option<usize>,
    /// Admission plug-in; the default of the node if absent.
    pub admission: Option<&'static str>,
    /// Balancing plug-in; the default of the node if absent.
    pub balance: Option<&'static str>,
    /// Connections that go over the link.
    pub links: Links,
    /// Settings of all nodes beside those that every fleet has.
    pub settings: Value,
    pub traffic_threads: usize,
    /// Services that only lengthen the text.
    pub filler: usize,
}

impl Options {
    /// The whole topology with the defaults of the node.
    pub fn new(topology: &'static Topology) -> Self {
        Self {
            topology,
            bare_nodes: None,
            admission: None,
            balance: None,
            links: Links::None,
            settings: json!({}),
            traffic_threads: 2,
            filler: 0,
        }
    }
}

/// An accepted text.
#[derive(Clone, Copy, Debug)]
pub struct AcceptedVersion {
    pub version: u64,
    /// Wall time at which the store took it.
    pub accepted_us: u64,
}

/// A running mesh; all its processes end when it is dropped.
pub struct Fleet {
    pub options: Options,
    pub serving: Vec<Instance<Serving>>,
    pub ended: Vec<Instance<Ended>>,
    binaries: Binaries,
    folder: RunDirectory,
    block: AddressBlock,
    store: Process,
    link: Option<Process>,
    common: Value,
    /// Instances placed so far, by domain.
    placed: [usize; 3],
    edit: u32,
}

impl Fleet {
    /// Starts the store, has a text accepted, starts all instances and waits until they serve.
    pub async fn start(binaries: &Binaries, options: Options) -> Result<Self, Error> {
        let folder = RunDirectory::create()?;
        let block = AddressBlock::claim()?;
        let args: Vec<String> = [
            "store",
            "--listen",
            &block.store().to_string(),
            "--control",
            &block.store_control().to_string(),
        ]
        .map(str::to_owned)
        .to_vec();
        let store = Process::start(&binaries.lab, &args, &folder.path("store.log"))?;
        let link = if options.links != Links::None {
            let control = block.link_control().to_string();
            let args = ["link", "--control", &control].map(str::to_owned);
            Some(Process::start(
                &binaries.lab,
                &args,
                &folder.path("link.log"),
            )?)
        } else {
            None
        };
        let mut fleet = Self {
            binaries: binaries.clone(),
            common: json!({}),
            folder,
            block,
            store,
            link,
            serving: Vec::new(),
            ended: Vec::new(),
            placed: [0; 3],
            edit: 0,
            options,
        };
        fleet.common = fleet.common_settings()?;
        fleet.wait_for_store().await?;
        fleet.apply_new_config().await?;
        fleet.start_instances().await?;
        Ok(fleet)
    }

    fn common_settings(&self) -> Result<Value, Error> {
        // The first instance of each domain is the contact of the others.
        let mut contacts = Vec::new();
        for domain in 0..self.options.topology.domains.len() {
            contacts.push(self.block.instance_addresses(domain, 0)?.peer.to_string());
        }
        let store = match self.options.links {
            Links::All => self.block.store_link(),
            Links::None | Links::Callers => self.block.store(),
        };
        let address = json!({ "name": "address", "value": store.to_string() });
        let mut common = json!({
            "contacts": contacts,
            "traffic_threads": self.options.traffic_threads,
            "store": { "plugin": "etcd-json", "params": [address] },
        });
        if let (Some(common), Some(more)) =
            (common.as_object_mut(), self.options.settings.as_object())
        {
            common.extend(more.clone());
        }
        if let Some(name) = self.options.admission {
            common["admission"] = json!({ "plugin": name });
        }
        if let Some(name) = self.options.balance {
            common["balance"] = json!({ "plugin": name });
        }
        Ok(common)
    }

    async fn wait_for_store(&mut self) -> Result<(), Error> {
        let until = Instant::now() + START_LIMIT;
        while let Err(error) = self.store_counts().await {
            if Instant::now() > until || self.store.has_ended() {
                return Err(format!("the store does not answer: {error}").into());
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        Ok(())
    }

    async fn start_instances(&mut self) -> Result<(), Error> {
        let mut specs = Vec::new();
        match self.options.bare_nodes {
            Some(count) => {
                for at in 0..count {
                    specs.push(self.next_spec(None, at % 3)?);
                }
            }
            None => {
                for service in self.options.topology.services {
                    for at in 0..service.endpoints {
                        specs.push(self.next_spec(Some(service), at % 3)?);
                    }
                }
            }
        }
        if self.options.links == Links::All {
            let relay = format!("{}={}", self.block.store_link(), self.block.store());
            self.set_link(&json!({ "relay": relay })).await?;
            for spec in &specs {
                let relay = format!(
                    "{}={}",
                    spec.addresses.upstream_link, spec.addresses.upstream
                );
                self.set_link(&json!({ "relay": relay })).await?;
            }
        }
        let setup = self.setup();
        let mut starting = Vec::new();
        for spec in specs {
            starting.push(Instance::start(&setup, spec)?);
        }
        let serving = starting
            .into_iter()
            .map(|it| it.wait_until_serving(START_LIMIT));
        self.serving = try_join_all(serving).await?;
        for at in 0..self.serving.len() {
            self.open_link(at).await?;
        }
        Ok(())
    }

    fn setup(&self) -> Setup<'_> {
        Setup {
            binaries: &self.binaries,
            folder: &self.folder,
            topology: self.options.topology,
            links: self.options.links,
            common: &self.common,
        }
    }

    fn next_spec(
        &mut self,
        service: Option<&'static Service>,
        domain: usize,
    ) -> Result<Spec, Error> {
        let number = self.placed[domain];
        self.placed[domain] += 1;
        let service_name = service.map_or("node", |it| it.name);
        let domain_name = self.options.topology.domains[domain];
        Ok(Spec {
            name: format!("{service_name}-{domain_name}-{number}"),
            service,
            domain,
            addresses: self.block.instance_addresses(domain, number)?,
        })
    }

    async fn open_link(&self, at: usize) -> Result<(), Error> {
        if self.options.links == Links::None {
            return Ok(());
        }
        let addresses = self.serving[at].spec.addresses;
        let delay = self.options.topology.caller_delay.as_micros();
        let relay = format!("{}={}={delay}", addresses.callers_link, addresses.callers);
        self.set_link(&json!({ "relay": relay })).await
    }

    /// Opens or sets relays of the link.
    pub async fn set_link(&self, body: &Value) -> Result<(), Error> {
        let control = self.block.link_control();
        http::call(control, "POST", "/lab/link", &body.to_string()).await?;
        Ok(())
    }

    /// Where nodes reach the store over the link.
    pub fn store_link(&self) -> SocketAddr {
        self.block.store_link()
    }

    /// Sends a signal, such as `STOP`, to the store.
    pub async fn signal_store(&self, name: &str) -> Result<(), Error> {
        self.store.signal(name).await
    }

    /// Starts the processes of an instance again that have ended.
    pub fn restart_ended(&mut self, at: usize) -> Result<(), Error> {
        let mut instance = self.serving.remove(at);
        let done = instance.restart_ended(&self.setup());
        self.serving.insert(at, instance);
        done
    }

    /// Starts one more instance and waits until it serves; gives its index.
    pub async fn add(
        &mut self,
        service: Option<&'static Service>,
        domain: usize,
    ) -> Result<usize, Error> {
        let spec = self.next_spec(service, domain)?;
        let starting = Instance::start(&self.setup(), spec)?;
        self.serving
            .push(starting.wait_until_serving(START_LIMIT).await?);
        self.open_link(self.serving.len() - 1).await?;
        Ok(self.serving.len() - 1)
    }

    /// Kills an instance.
    pub async fn kill(&mut self, at: usize) -> Result<&Instance<Ended>, Error> {
        let ended = self.serving.remove(at).kill().await?;
        self.ended.push(ended);
        Ok(&self.ended[self.ended.len() - 1])
    }

    /// Drains an instance.
    pub async fn drain(&mut self, at: usize) -> Result<&Instance<Ended>, Error> {
        let ended = self.serving.remove(at).drain().await?;
        self.ended.push(ended);
        Ok(&self.ended[self.ended.len() - 1])
    }

    /// Ends all instances; then all ledgers can be read.
    pub async fn kill_all(&mut self) -> Result<(), Error> {
        while !self.serving.is_empty() {
            self.kill(self.serving.len() - 1).await?;
        }
        Ok(())
    }

    /// The runs at the upstreams of all instances that have ended.
    pub fn read_upstreams(&self) -> Result<Vec<UpstreamRecord>, Error> {
        self.ended.iter().map(Instance::read_upstream).collect()
    }

    /// Ends all processes and waits for that, so that the next fleet can use the addresses.
    pub async fn stop(mut self) -> Result<(), Error> {
        self.kill_all().await?;
        if let Some(link) = self.link.take() {
            link.kill().await?;
        }
        self.store.kill().await
    }

    /// Where callers reach the instances.
    pub fn entries(&self) -> Vec<SocketAddr> {
        let entry = |it: &Instance<Serving>| match self.options.links {
            Links::None => it.spec.addresses.callers,
            Links::Callers | Links::All => it.spec.addresses.callers_link,
        };
        self.serving.iter().map(entry).collect()
    }

    /// Admin addresses of the instances.
    pub fn admins(&self) -> Vec<SocketAddr> {
        self.serving
            .iter()
            .map(|it| it.spec.addresses.admin)
            .collect()
    }

    /// Edits the text and has it accepted.
    pub async fn apply_new_config(&mut self) -> Result<AcceptedVersion, Error> {
        self.edit += 1;
        let text = self.options.topology.text(self.edit, self.options.filler);
        let path = self.folder.path(&format!("text-{}.yaml", self.edit));
        fs::write(&path, text)?;
        let run = Command::new(&self.binaries.control)
            .args(["--store", &self.block.store().to_string(), "apply"])
            .arg(&path)
            .kill_on_drop(true)
            .output();
        let output = timeout(CONTROL_LIMIT, run).await??;
        let out = String::from_utf8_lossy(&output.stdout).into_owned();
        let version = out
            .split_once("accepted as version ")
            .and_then(|(_, rest)| rest.split_whitespace().next()?.parse().ok());
        let Some(version) = version.filter(|_| output.status.success()) else {
            let errors = String::from_utf8_lossy(&output.stderr).into_owned();
            return Err(format!("medlarctl apply: {}: {out}{errors}", output.status).into());
        };
        let accepted_us = self.store_counts().await?["config_written_us"]
            .as_u64()
            .unwrap_or(0);
        Ok(AcceptedVersion {
            version,
            accepted_us,
        })
    }

    /// Counts of the store.
    pub async fn store_counts(&self) -> Result<Value, Error> {
        http::get_json(self.block.store_control(), "/lab/counts").await
    }

    /// Sets a fault of the store.
    pub async fn set_store_fault(&self, fault: &Value) -> Result<(), Error> {
        let control = self.block.store_control();
        http::call(control, "POST", "/lab/fault", &fault.to_string()).await?;
        Ok(())
    }

    /// Sum of the counters of all nodes.
    pub async fn counter_totals(&self) -> Result<CounterTotals, Error> {
        let mut totals = CounterTotals::default();
        for totals_of_node in
            try_join_all(self.admins().into_iter().map(CounterTotals::fetch)).await?
        {
            totals.add(totals_of_node);
        }
        Ok(totals)
    }

    /// Waits until each entry serves a route of each service that may be repeated.
    pub async fn wait_until_served(&self, limit: Duration) -> Result<(), Error> {
        let until = Instant::now() + limit;
        for entry in self.entries() {
            for service in self.options.topology.services {
                let route = service.routes.iter().find(|it| it.method == "GET");
                let Some(path) = route.map(|it| format!("{}1", it.prefix)) else {
                    continue;
                };
                while let Err(error) = probe(entry, &path).await {
                    if Instant::now() > until {
                        return Err(format!("{entry}{path} is not served: {error}").into());
                    }
                    tokio::time::sleep(Duration::from_millis(50)).await;
                }
            }
        }
        Ok(())
    }
}

async fn probe(entry: SocketAddr, path: &str) -> Result<(), Error> {
    let request = hyper::Request::get(path)
        .header("host", "mesh")
        .body(full_body(""))?;
    let response = http::send(entry, request).await?;
    if response.status().is_success() {
        return Ok(());
    }
    let reason = response.headers().get("medlar-reason").cloned();
    Err(format!("status {}, reason {reason:?}", response.status()).into())
}
