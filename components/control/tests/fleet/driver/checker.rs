//! Checks the promises over the history of a run.

use std::collections::HashMap;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::driver::SECOND;
use config::Record;
use control::NodeStage;
use control::Topology;
use ids::Digest;
use ids::NodeId;
use ids::Version;
use member::Stage;
use spread::PullResponse;

/// Time for a change to reach a node that nothing is wrong with.
const CALM_LIMIT: u64 = 4 * SECOND;
/// Time after which a leaving upstream gets no new work.
const DRAIN_LIMIT: u64 = 5 * SECOND;
/// Time after the end of a fault in which nothing is demanded.
const RECOVERY: u64 = 20 * SECOND;

pub(crate) enum Fact {
    /// A process started on the instance.
    Started(NodeId),
    /// The process was killed or has left.
    Ended,
    /// A fault that slows changes down began or ended.
    Impaired,
    Restored,
    /// The process routes by this from now on.
    Published(Arc<Topology>),
}

#[derive(Default)]
pub(crate) struct History {
    facts: Vec<(u64, usize, Fact)>,
    views: HashMap<usize, View>,
    /// Second of the last check.
    checked: u64,
    /// Broken promises.
    pub(crate) broken: Vec<String>,
    /// Accepted texts.
    pub(crate) accepted: Vec<(u64, Version, Digest)>,
    pub(crate) drained: Vec<(u64, NodeId)>,
    /// Number of services that upstreams announce.
    services: usize,
}

/// What is known of an instance while its facts are read.
#[derive(Default)]
struct View {
    id: Option<NodeId>,
    impaired: bool,
    /// Since when nothing is wrong.
    clear: u64,
    topology: Option<Arc<Topology>>,
}

impl History {
    pub(crate) fn new(services: usize) -> Self {
        Self {
            services,
            ..Self::default()
        }
    }

    pub(crate) fn add(&mut self, now: u64, at: usize, fact: Fact) {
        self.facts.push((now, at, fact));
    }

    /// Reads the facts up to `now` and checks what nodes route by, once a second.
    pub(crate) fn advance(&mut self, now: u64) {
        let mut views = std::mem::take(&mut self.views);
        let mut broken = std::mem::take(&mut self.broken);
        for (time, at, fact) in std::mem::take(&mut self.facts) {
            let view = views.entry(at).or_default();
            self.read(time, at, &fact, view, &mut broken);
        }
        if now / SECOND > self.checked {
            self.checked = now / SECOND;
            for (at, view) in views.iter().filter(|(_, view)| view.id.is_some()) {
                self.check_view(now, *at, view, &mut broken);
            }
        }
        (self.views, self.broken) = (views, broken);
    }

    fn read(&self, now: u64, at: usize, fact: &Fact, view: &mut View, broken: &mut Vec<String>) {
        match fact {
            Fact::Started(id) => {
                let id = Some(*id);
                *view = View {
                    id,
                    impaired: view.impaired,
                    clear: now,
                    topology: None,
                };
            }
            Fact::Ended => view.id = None,
            Fact::Impaired => view.impaired = true,
            Fact::Restored => (view.impaired, view.clear) = (false, now),
            Fact::Published(topology) => {
                for promise in self.check_topology(view.topology.as_deref(), topology) {
                    broken.push(format!("{promise} at {now} us, node {at}"));
                }
                view.topology = Some(Arc::clone(topology));
            }
        }
    }

    /// P1, P2 and P3 of one topology after another.
    fn check_topology(&self, before: Option<&Topology>, topology: &Topology) -> Vec<&'static str> {
        let mut broken = Vec::new();
        let before = before.and_then(|it| it.snapshot.as_ref());
        let Some(snapshot) = &topology.snapshot else {
            let lost = before.is_some() || topology.node_stage == NodeStage::Serving;
            return lost.then_some("P1: no configuration").into_iter().collect();
        };
        if before.is_some_and(|it| it.version() > snapshot.version()) {
            broken.push("P1: older version");
        }
        let whole = (snapshot.version(), snapshot.digest());
        if !self
            .accepted
            .iter()
            .any(|(_, version, digest)| (*version, *digest) == whole)
        {
            broken.push("P3: text that was never accepted");
        }
        for (_, route) in snapshot.routes() {
            let Some(service) = snapshot.service(route.targets[0].service) else {
                broken.push("P2: route without its service");
                continue;
            };
            let mut endpoints = topology.endpoints_of(route.targets[0].service);
            if !endpoints
                .all(|(_, it)| name_service(it.request_address, self.services) == *service.name)
            {
                broken.push("P2: route to an endpoint of another service");
            }
        }
        broken
    }

    /// P7 and P9 of what a node routes by at a moment.
    fn check_view(&self, now: u64, at: usize, view: &View, broken: &mut Vec<String>) {
        let recovered = view.clear == 0 || now >= view.clear + RECOVERY;
        if view.impaired || !recovered {
            return;
        }
        let due = self
            .accepted
            .iter()
            .filter(|(time, ..)| time + CALM_LIMIT <= now);
        let newest = due
            .map(|(_, version, _)| *version)
            .max()
            .unwrap_or_default();
        let snapshot = view.topology.as_ref().and_then(|it| it.snapshot.as_ref());
        if snapshot.map_or(Version::NONE, |it| it.version()) < newest {
            broken.push(format!(
                "P9: version {newest} not in force at {now} us, node {at}"
            ));
        }
        let Some((topology, snapshot)) = view.topology.as_ref().zip(snapshot) else {
            return;
        };
        let endpoints = snapshot
            .services()
            .flat_map(|(key, _)| topology.endpoints_of(key));
        for (_, endpoint) in endpoints.filter(|(_, it)| it.stage == Stage::Ready) {
            let left =
                |(time, id): &(u64, NodeId)| *id == endpoint.node && time + DRAIN_LIMIT <= now;
            if self.drained.iter().any(left) {
                broken.push(format!(
                    "P7: work for a leaving upstream at {now} us, node {at}"
                ));
            }
        }
    }
}

/// Service of the upstream at an address.
pub(crate) fn name_service(address: SocketAddr, services: usize) -> String {
    let IpAddr::V4(ip) = address.ip() else {
        return String::new();
    };
    let [.., high, low] = ip.octets();
    let at = usize::from(high) * 250 + usize::from(low) - 1;
    format!("s{}", at % services)
}

/// Damages the text that an offer carries.
pub(crate) fn corrupt(offer: &mut PullResponse) {
    match offer {
        PullResponse::UpToDate => {}
        PullResponse::Full(record) => {
            record.text = Arc::from(format!("{}# damaged\n", record.text))
        }
        PullResponse::Delta { delta, .. } => {
            delta.ops.pop();
        }
    }
}

/// A text of so many services; `salt` makes it differ.
pub(crate) fn write_text(services: usize, salt: u64) -> String {
    let services = (0..services).map(|at| {
        let deadline = if at as u64 == salt % services as u64 { 1_000 + salt } else { 1_000 };
        format!("- name: s{at}\n  routes:\n  - {{method: GET, path: /s{at}, rank: 1, deadline_ms: {deadline}}}\n")
    });
    format!("services:\n{}", services.collect::<String>())
}

/// The record by which a text becomes a version.
pub(crate) fn write_record(version: u64, text: &str) -> Record {
    Record {
        version: Version(version),
        edit_hash: u128::from(version),
        parent_digest: Digest::default(),
        digest: Digest::of(text.as_bytes()),
        format: config::NEWEST_FORMAT,
        text: Arc::from(text),
    }
}
