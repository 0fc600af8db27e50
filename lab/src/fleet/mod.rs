//! A fleet of real processes on loopback: a fake store, a fake link, nodes and fake upstreams.

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
use instance::InstanceSpec;
use instance::Serving;
use instance::SharedSetup;
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

/// Timeout for the start of the store and of the nodes.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// Timeout of a call of `medlarctl`.
const MEDLARCTL_TIMEOUT: Duration = Duration::from_secs(20);

/// Connections that go over the fake link, where delay and faults can be set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Links {
    /// No connections; the link is not started.
    None,
    /// Connections of callers, with the delay of the topology.
    Callers,
    /// Connections of callers, as with `Callers`, and of nodes to their upstreams and to the store.
    All,
}

/// Options of a fleet.
#[derive(Clone, Debug)]
pub struct Options {
    pub topology: &'static Topology,
    /// Number of nodes without upstreams to start instead of the services of the topology; `None` for
    /// the services.
    pub bare_nodes: Option<usize>,
    /// Name of the admission plug-in; `None` for the default of the node.
    pub admission: Option<&'static str>,
    /// Name of the balancing plug-in; `None` for the default of the node.
    pub balance: Option<&'static str>,
    /// Connections that go over the link.
    pub links: Links,
    /// Settings of all nodes, in addition to those that the fleet sets.
    pub settings: Value,
    /// Number of traffic threads of each node.
    pub traffic_threads: usize,
    /// Number of unused services that are added to the configuration to lengthen it.
    pub filler: usize,
}

impl Options {
    /// Returns options for all services of a topology, with the default plug-ins of the node.
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

/// A configuration version that the store has accepted.
#[derive(Clone, Copy, Debug)]
pub struct AcceptedVersion {
    pub version: u64,
    /// Wall-clock time in microseconds at which the store wrote the version.
    pub accepted_us: u64,
}

/// A running fleet. All its processes are killed when it is dropped.
pub struct Fleet {
    pub options: Options,
    /// Instances that serve. Methods that take the index of an instance mean its position in this list.
    pub serving: Vec<Instance<Serving>>,
    /// Instances that were killed or drained.
    pub ended: Vec<Instance<Ended>>,
    binaries: Binaries,
    run_directory: RunDirectory,
    address_block: AddressBlock,
    store: Process,
    link: Option<Process>,
    common_settings: Value,
    /// Number of instances created so far, by failure domain.
    instances_created: [usize; 3],
    /// Number of configurations applied so far.
    config_edits: u32,
}

impl Fleet {
    /// Starts the store, applies a configuration, starts all instances and waits until they serve.
    pub async fn start(binaries: &Binaries, options: Options) -> Result<Self, Error> {
        let run_directory = RunDirectory::create()?;
        let address_block = AddressBlock::claim()?;
        let args: Vec<String> = [
            "store",
            "--listen",
            &address_block.store_address().to_string(),
            "--control",
            &address_block.store_control_address().to_string(),
        ]
        .map(str::to_owned)
        .to_vec();
        let store = Process::start(&binaries.lab, &args, &run_directory.path("store.log"))?;
        let link = if options.links != Links::None {
            let control = address_block.link_control_address().to_string();
            let args = ["link", "--control", &control].map(str::to_owned);
            Some(Process::start(
                &binaries.lab,
                &args,
                &run_directory.path("link.log"),
            )?)
        } else {
            None
        };
        let mut fleet = Self {
            binaries: binaries.clone(),
            common_settings: json!({}),
            run_directory,
            address_block,
            store,
            link,
            serving: Vec::new(),
            ended: Vec::new(),
            instances_created: [0; 3],
            config_edits: 0,
            options,
        };
        fleet.common_settings = fleet.build_common_settings()?;
        fleet.wait_for_store().await?;
        fleet.apply_new_config().await?;
        fleet.start_instances().await?;
        Ok(fleet)
    }

    /// Returns the settings that all nodes share.
    fn build_common_settings(&self) -> Result<Value, Error> {
        // All nodes get the first instance of each failure domain as a contact.
        let mut contacts = Vec::new();
        for domain in 0..self.options.topology.domains.len() {
            contacts.push(
                self.address_block
                    .instance_addresses(domain, 0)?
                    .peer
                    .to_string(),
            );
        }
        let store = match self.options.links {
            Links::All => self.address_block.store_link_address(),
            Links::None | Links::Callers => self.address_block.store_address(),
        };
        let address = json!({ "name": "address", "value": store.to_string() });
        let mut common = json!({
            "contacts": contacts,
            "traffic_threads": self.options.traffic_threads,
            "store": { "plugin": "etcd-json", "params": [address] },
        });
        if let (Some(common), Some(extra)) =
            (common.as_object_mut(), self.options.settings.as_object())
        {
            common.extend(extra.clone());
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
        let deadline = Instant::now() + START_TIMEOUT;
        while let Err(error) = self.store_counts().await {
            if Instant::now() > deadline || self.store.has_ended() {
                return Err(format!("the store does not respond: {error}").into());
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        Ok(())
    }

    async fn start_instances(&mut self) -> Result<(), Error> {
        let mut specs = Vec::new();
        match self.options.bare_nodes {
            Some(count) => {
                for index in 0..count {
                    specs.push(self.next_spec(None, index % 3)?);
                }
            }
            None => {
                for service in self.options.topology.services {
                    for index in 0..service.endpoints {
                        specs.push(self.next_spec(Some(service), index % 3)?);
                    }
                }
            }
        }
        if self.options.links == Links::All {
            let relay = format!(
                "{}={}",
                self.address_block.store_link_address(),
                self.address_block.store_address()
            );
            self.set_link(&json!({ "relay": relay })).await?;
            for spec in &specs {
                let relay = format!(
                    "{}={}",
                    spec.addresses.upstream_link, spec.addresses.upstream
                );
                self.set_link(&json!({ "relay": relay })).await?;
            }
        }
        let setup = self.shared_setup();
        let mut starting = Vec::new();
        for spec in specs {
            starting.push(Instance::start(&setup, spec)?);
        }
        let serving = starting
            .into_iter()
            .map(|instance| instance.wait_until_serving(START_TIMEOUT));
        self.serving = try_join_all(serving).await?;
        for index in 0..self.serving.len() {
            self.open_callers_link(index).await?;
        }
        Ok(())
    }

    fn shared_setup(&self) -> SharedSetup<'_> {
        SharedSetup {
            binaries: &self.binaries,
            run_directory: &self.run_directory,
            topology: self.options.topology,
            links: self.options.links,
            common_settings: &self.common_settings,
        }
    }

    /// Returns the specification of another instance, with addresses of `domain` that no instance has
    /// had before.
    fn next_spec(
        &mut self,
        service: Option<&'static Service>,
        domain: usize,
    ) -> Result<InstanceSpec, Error> {
        let number = self.instances_created[domain];
        self.instances_created[domain] += 1;
        let service_name = service.map_or("node", |service| service.name);
        let domain_name = self.options.topology.domains[domain];
        Ok(InstanceSpec {
            name: format!("{service_name}-{domain_name}-{number}"),
            service,
            domain,
            addresses: self.address_block.instance_addresses(domain, number)?,
        })
    }

    /// Opens the relay of the link for callers of an instance, if the fleet uses the link.
    async fn open_callers_link(&self, index: usize) -> Result<(), Error> {
        if self.options.links == Links::None {
            return Ok(());
        }
        let addresses = self.serving[index].spec.addresses;
        let delay = self.options.topology.caller_delay.as_micros();
        let relay = format!("{}={}={delay}", addresses.callers_link, addresses.callers);
        self.set_link(&json!({ "relay": relay })).await
    }

    /// Opens a relay of the link or changes its delay and faults.
    pub async fn set_link(&self, body: &Value) -> Result<(), Error> {
        let control = self.address_block.link_control_address();
        http::call(control, "POST", "/lab/link", &body.to_string()).await?;
        Ok(())
    }

    /// Returns the address at which the link relays connections to the store.
    pub fn store_link_address(&self) -> SocketAddr {
        self.address_block.store_link_address()
    }

    /// Sends a signal, such as `STOP`, to the store.
    pub async fn signal_store(&self, name: &str) -> Result<(), Error> {
        self.store.signal(name).await
    }

    /// Restarts the processes of an instance that have ended.
    pub fn restart_ended(&mut self, index: usize) -> Result<(), Error> {
        let mut instance = self.serving.remove(index);
        let result = instance.restart_ended(&self.shared_setup());
        self.serving.insert(index, instance);
        result
    }

    /// Starts another instance, waits until it serves and returns its index in `serving`.
    pub async fn add(
        &mut self,
        service: Option<&'static Service>,
        domain: usize,
    ) -> Result<usize, Error> {
        let spec = self.next_spec(service, domain)?;
        let starting = Instance::start(&self.shared_setup(), spec)?;
        self.serving
            .push(starting.wait_until_serving(START_TIMEOUT).await?);
        self.open_callers_link(self.serving.len() - 1).await?;
        Ok(self.serving.len() - 1)
    }

    /// Kills the node and the upstream of an instance.
    pub async fn kill(&mut self, index: usize) -> Result<&Instance<Ended>, Error> {
        let ended = self.serving.remove(index).kill().await?;
        self.ended.push(ended);
        Ok(&self.ended[self.ended.len() - 1])
    }

    /// Drains an instance and waits until its processes have exited.
    pub async fn drain(&mut self, index: usize) -> Result<&Instance<Ended>, Error> {
        let ended = self.serving.remove(index).drain().await?;
        self.ended.push(ended);
        Ok(&self.ended[self.ended.len() - 1])
    }

    /// Kills all instances, after which all ledgers can be read.
    pub async fn kill_all(&mut self) -> Result<(), Error> {
        while !self.serving.is_empty() {
            self.kill(self.serving.len() - 1).await?;
        }
        Ok(())
    }

    /// Reads the executions at the upstreams of all instances that have ended.
    pub fn read_upstreams(&self) -> Result<Vec<UpstreamRecord>, Error> {
        self.ended.iter().map(Instance::read_upstream).collect()
    }

    /// Kills all processes and waits for their exit, so that the next fleet can use the addresses.
    pub async fn stop(mut self) -> Result<(), Error> {
        self.kill_all().await?;
        if let Some(link) = self.link.take() {
            link.kill().await?;
        }
        self.store.kill().await
    }

    /// Returns the addresses at which callers reach the instances: those of the link if the fleet uses it.
    pub fn entries(&self) -> Vec<SocketAddr> {
        let entry = |instance: &Instance<Serving>| match self.options.links {
            Links::None => instance.spec.addresses.callers,
            Links::Callers | Links::All => instance.spec.addresses.callers_link,
        };
        self.serving.iter().map(entry).collect()
    }

    /// Returns the admin addresses of the instances.
    pub fn admins(&self) -> Vec<SocketAddr> {
        self.serving
            .iter()
            .map(|instance| instance.spec.addresses.admin)
            .collect()
    }

    /// Applies a changed configuration with `medlarctl` and returns the version that the store accepted.
    pub async fn apply_new_config(&mut self) -> Result<AcceptedVersion, Error> {
        self.config_edits += 1;
        let text = self
            .options
            .topology
            .config_yaml(self.config_edits, self.options.filler);
        let path = self
            .run_directory
            .path(&format!("text-{}.yaml", self.config_edits));
        fs::write(&path, text)?;
        let medlarctl_run = Command::new(&self.binaries.medlarctl)
            .args([
                "--store",
                &self.address_block.store_address().to_string(),
                "apply",
            ])
            .arg(&path)
            .kill_on_drop(true)
            .output();
        let output = timeout(MEDLARCTL_TIMEOUT, medlarctl_run).await??;
        let stdout = String::from_utf8_lossy(&output.stdout).into_owned();
        let version = stdout
            .split_once("accepted as version ")
            .and_then(|(_, rest)| rest.split_whitespace().next()?.parse().ok());
        let Some(version) = version.filter(|_| output.status.success()) else {
            let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
            return Err(format!("medlarctl apply: {}: {stdout}{stderr}", output.status).into());
        };
        let accepted_us = self.store_counts().await?["config_written_us"]
            .as_u64()
            .unwrap_or(0);
        Ok(AcceptedVersion {
            version,
            accepted_us,
        })
    }

    /// Returns the counters of the fake store.
    pub async fn store_counts(&self) -> Result<Value, Error> {
        http::get_json(self.address_block.store_control_address(), "/lab/counts").await
    }

    /// Sets a fault that the fake store injects.
    pub async fn set_store_fault(&self, fault: &Value) -> Result<(), Error> {
        let control = self.address_block.store_control_address();
        http::call(control, "POST", "/lab/fault", &fault.to_string()).await?;
        Ok(())
    }

    /// Reads the counters of all serving nodes and returns their sums.
    pub async fn counter_totals(&self) -> Result<CounterTotals, Error> {
        let mut totals = CounterTotals::default();
        for node_totals in try_join_all(self.admins().into_iter().map(CounterTotals::fetch)).await?
        {
            totals.add(node_totals);
        }
        Ok(totals)
    }

    /// Waits until each entry serves the first GET route of each service. Fails after `timeout`.
    pub async fn wait_until_served(&self, timeout: Duration) -> Result<(), Error> {
        let deadline = Instant::now() + timeout;
        for entry in self.entries() {
            for service in self.options.topology.services {
                let route = service.routes.iter().find(|route| route.method == "GET");
                let Some(path) = route.map(|route| format!("{}1", route.prefix)) else {
                    continue;
                };
                while let Err(error) = send_probe(entry, &path).await {
                    if Instant::now() > deadline {
                        return Err(format!("{entry}{path} is not served: {error}").into());
                    }
                    tokio::time::sleep(Duration::from_millis(50)).await;
                }
            }
        }
        Ok(())
    }
}

/// Sends a GET request; an error unless the response has a success status.
async fn send_probe(entry: SocketAddr, path: &str) -> Result<(), Error> {
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
