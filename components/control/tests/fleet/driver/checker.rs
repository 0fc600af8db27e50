//! Checks the documented guarantees P1, P2, P3, P7 and P9 over the history of a simulation.

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

/// Time in microseconds after which an accepted version must be in force on a node without faults.
const CONVERGENCE_LIMIT: u64 = 4 * SECOND;
/// Time in microseconds after which a leaving upstream must get no new requests.
const DRAIN_LIMIT: u64 = 5 * SECOND;
/// Time in microseconds after the end of a fault during which P7 and P9 are not checked.
const RECOVERY_TIME: u64 = 20 * SECOND;

/// An event in the history of an instance.
pub(crate) enum HistoryEvent {
    /// A process has started on the instance.
    Started(NodeId),
    /// The process was killed or has left.
    Ended,
    /// A fault that delays changes has started.
    Impaired,
    /// The fault has ended.
    Restored,
    /// The process has published a topology, by which it routes from now on.
    Published(Arc<Topology>),
}

/// History of a simulation and the violations found in it.
#[derive(Default)]
pub(crate) struct History {
    events: Vec<(u64, usize, HistoryEvent)>,
    views: HashMap<usize, View>,
    /// Simulated second at which all views were last checked.
    last_check: u64,
    /// Violations of the guarantees.
    pub(crate) violations: Vec<String>,
    /// Time, version and hash of each accepted text.
    pub(crate) accepted: Vec<(u64, Version, Digest)>,
    /// Time and id of each node that was drained.
    pub(crate) drained: Vec<(u64, NodeId)>,
    /// Number of services that upstreams announce.
    services: usize,
}

/// State of an instance after the last event that was read from the history.
#[derive(Default)]
struct View {
    id: Option<NodeId>,
    impaired: bool,
    /// Time since which the instance has had no fault, in microseconds.
    healthy_since: u64,
    topology: Option<Arc<Topology>>,
}

impl History {
    pub(crate) fn new(services: usize) -> Self {
        Self {
            services,
            ..Self::default()
        }
    }

    pub(crate) fn add(&mut self, now: u64, index: usize, event: HistoryEvent) {
        self.events.push((now, index, event));
    }

    /// Reads the events up to `now` and, once a second, checks the topology of each node.
    pub(crate) fn advance(&mut self, now: u64) {
        let mut views = std::mem::take(&mut self.views);
        let mut violations = std::mem::take(&mut self.violations);
        for (time, index, event) in std::mem::take(&mut self.events) {
            let view = views.entry(index).or_default();
            self.apply(time, index, &event, view, &mut violations);
        }
        if now / SECOND > self.last_check {
            self.last_check = now / SECOND;
            for (index, view) in views.iter().filter(|(_, view)| view.id.is_some()) {
                self.check_view(now, *index, view, &mut violations);
            }
        }
        (self.views, self.violations) = (views, violations);
    }

    fn apply(
        &self,
        now: u64,
        index: usize,
        event: &HistoryEvent,
        view: &mut View,
        violations: &mut Vec<String>,
    ) {
        match event {
            HistoryEvent::Started(id) => {
                let id = Some(*id);
                *view = View {
                    id,
                    impaired: view.impaired,
                    healthy_since: now,
                    topology: None,
                };
            }
            HistoryEvent::Ended => view.id = None,
            HistoryEvent::Impaired => view.impaired = true,
            HistoryEvent::Restored => (view.impaired, view.healthy_since) = (false, now),
            HistoryEvent::Published(topology) => {
                for violation in self.check_topology(view.topology.as_deref(), topology) {
                    violations.push(format!("{violation} at {now} us, node {index}"));
                }
                view.topology = Some(Arc::clone(topology));
            }
        }
    }

    /// Checks P1, P2 and P3 on a topology that follows `before`.
    fn check_topology(&self, before: Option<&Topology>, topology: &Topology) -> Vec<&'static str> {
        let mut violations = Vec::new();
        let before = before.and_then(|it| it.snapshot.as_ref());
        let Some(snapshot) = &topology.snapshot else {
            let lost = before.is_some() || topology.node_stage == NodeStage::Serving;
            return lost.then_some("P1: no configuration").into_iter().collect();
        };
        if before.is_some_and(|it| it.version() > snapshot.version()) {
            violations.push("P1: older version");
        }
        let config = (snapshot.version(), snapshot.digest());
        if !self
            .accepted
            .iter()
            .any(|(_, version, digest)| (*version, *digest) == config)
        {
            violations.push("P3: text that was never accepted");
        }
        for (_, route) in snapshot.routes() {
            let Some(service) = snapshot.service(route.targets[0].service) else {
                violations.push("P2: route without its service");
                continue;
            };
            let mut endpoints = topology.endpoints_of(route.targets[0].service);
            if !endpoints
                .all(|(_, it)| name_service(it.request_address, self.services) == *service.name)
            {
                violations.push("P2: route to an endpoint of another service");
            }
        }
        violations
    }

    /// Checks P7 and P9 on the current topology of a node.
    fn check_view(&self, now: u64, index: usize, view: &View, violations: &mut Vec<String>) {
        let recovered = view.healthy_since == 0 || now >= view.healthy_since + RECOVERY_TIME;
        if view.impaired || !recovered {
            return;
        }
        let due = self
            .accepted
            .iter()
            .filter(|(time, ..)| time + CONVERGENCE_LIMIT <= now);
        let newest = due
            .map(|(_, version, _)| *version)
            .max()
            .unwrap_or_default();
        let snapshot = view.topology.as_ref().and_then(|it| it.snapshot.as_ref());
        if snapshot.map_or(Version::NONE, |it| it.version()) < newest {
            violations.push(format!(
                "P9: version {newest} not in force at {now} us, node {index}"
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
                violations.push(format!(
                    "P7: requests go to a leaving upstream at {now} us, node {index}"
                ));
            }
        }
    }
}

/// Name of the service of the upstream at an address.
pub(crate) fn name_service(address: SocketAddr, services: usize) -> String {
    let IpAddr::V4(ip) = address.ip() else {
        return String::new();
    };
    let [.., high, low] = ip.octets();
    let index = usize::from(high) * 250 + usize::from(low) - 1;
    format!("s{}", index % services)
}

/// Damages the text in a pull response.
pub(crate) fn corrupt(response: &mut PullResponse) {
    match response {
        PullResponse::UpToDate => {}
        PullResponse::Full(record) => {
            record.text = Arc::from(format!("{}# damaged\n", record.text))
        }
        PullResponse::Delta { delta, .. } => {
            delta.ops.pop();
        }
    }
}

/// Builds a configuration text with this number of services; a different `salt` gives a different text.
pub(crate) fn write_text(services: usize, salt: u64) -> String {
    let services = (0..services).map(|index| {
        let deadline = if index as u64 == salt % services as u64 { 1_000 + salt } else { 1_000 };
        format!("- name: s{index}\n  routes:\n  - {{method: GET, path: /s{index}, rank: 1, deadline_ms: {deadline}}}\n")
    });
    format!("services:\n{}", services.collect::<String>())
}

/// Creates the record of a text as the given version.
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
