//! The reference users' meshes: services, routes, calm rates, and the text that describes them.

use std::fmt::Write;
use std::time::Duration;

use linkme::distributed_slice;

use crate::load::LoadProfile;

/// Registered topologies, chosen by name.
#[distributed_slice]
pub static TOPOLOGIES: [Topology];

/// A mesh.
#[derive(Debug)]
pub struct Topology {
    pub name: &'static str,
    pub domains: [&'static str; 3],
    /// Requests that each endpoint runs at once.
    pub slots: u32,
    /// Connections that each endpoint accepts.
    pub max_connections: u32,
    /// Delay one way to callers.
    pub caller_delay: Duration,
    pub services: &'static [Service],
}

/// A service.
#[derive(Debug)]
pub struct Service {
    pub name: &'static str,
    pub endpoints: usize,
    pub dependencies: &'static [&'static str],
    pub routes: &'static [Route],
}

/// A route with the work behind it.
#[derive(Debug)]
pub struct Route {
    pub name: &'static str,
    pub method: &'static str,
    /// Path up to the part that varies.
    pub prefix: &'static str,
    /// Path in the load, `{}` for a number.
    pub path: &'static str,
    pub rank: u8,
    pub deadline_ms: u64,
    pub work_ms: u64,
    /// Calm rate of callers, in requests a second.
    pub rate: f64,
    /// Call to another service within the work.
    pub onward: Option<&'static str>,
}

#[distributed_slice(TOPOLOGIES)]
static SECADEROS: Topology = Topology {
    name: "secaderos",
    domains: ["zaragoza", "huesca", "tudela"],
    slots: 10,
    max_connections: 100,
    caller_delay: Duration::from_millis(8),
    services: &[
        Service {
            name: "reservas",
            endpoints: 5,
            dependencies: &["planta"],
            routes: &[
                Route {
                    name: "slot-view",
                    method: "GET",
                    prefix: "/slots/",
                    path: "/slots/{}",
                    rank: 0,
                    deadline_ms: 500,
                    work_ms: 40,
                    rate: 150.0,
                    onward: None,
                },
                Route {
                    name: "booking",
                    method: "POST",
                    prefix: "/bookings/",
                    path: "/bookings/{}",
                    rank: 1,
                    deadline_ms: 1_000,
                    work_ms: 40,
                    rate: 60.0,
                    onward: Some("/moisture/1"),
                },
                Route {
                    name: "load-sheet",
                    method: "GET",
                    prefix: "/loadsheets/",
                    path: "/loadsheets/{}",
                    rank: 3,
                    deadline_ms: 5_000,
                    work_ms: 200,
                    rate: 25.0,
                    onward: None,
                },
            ],
        },
        Service {
            name: "planta",
            endpoints: 3,
            dependencies: &[],
            routes: &[Route {
                name: "moisture",
                method: "GET",
                prefix: "/moisture/",
                path: "/moisture/{}",
                rank: 1,
                deadline_ms: 500,
                work_ms: 20,
                rate: 20.0,
                onward: None,
            }],
        },
    ],
};

#[distributed_slice(TOPOLOGIES)]
static OGBONNA: Topology = Topology {
    name: "ogbonna",
    domains: ["ikeja", "apapa", "lekki"],
    slots: 15,
    max_connections: 120,
    caller_delay: Duration::from_millis(3),
    services: &[
        Service {
            name: "returns-app",
            endpoints: 6,
            dependencies: &["manifest"],
            routes: &[
                Route {
                    name: "drum-count",
                    method: "GET",
                    prefix: "/drums/",
                    path: "/drums/{}",
                    rank: 0,
                    deadline_ms: 500,
                    work_ms: 40,
                    rate: 200.0,
                    onward: None,
                },
                Route {
                    name: "pickup",
                    method: "POST",
                    prefix: "/pickups/",
                    path: "/pickups/{}",
                    rank: 1,
                    deadline_ms: 1_000,
                    work_ms: 40,
                    rate: 60.0,
                    onward: Some("/manifests/1"),
                },
                Route {
                    name: "yield-summary",
                    method: "GET",
                    prefix: "/yields/",
                    path: "/yields/{}",
                    rank: 3,
                    deadline_ms: 5_000,
                    work_ms: 200,
                    rate: 25.0,
                    onward: None,
                },
            ],
        },
        Service {
            name: "manifest",
            endpoints: 4,
            dependencies: &[],
            routes: &[Route {
                name: "drum-status",
                method: "GET",
                prefix: "/manifests/",
                path: "/manifests/{}",
                rank: 1,
                deadline_ms: 500,
                work_ms: 20,
                rate: 30.0,
                onward: None,
            }],
        },
    ],
};

/// The topology of a name; an error lists the names.
pub fn find(name: &str) -> Result<&'static Topology, String> {
    let found = TOPOLOGIES.iter().find(|it| it.name == name);
    found.ok_or_else(|| {
        let names: Vec<&str> = TOPOLOGIES.iter().map(|it| it.name).collect();
        format!("no topology {name:?}; there are: {}", names.join(", "))
    })
}

impl Topology {
    /// Requests of callers at the calm rates.
    pub fn normal_load(&self) -> Vec<LoadProfile> {
        let routes = self.services.iter().flat_map(|it| it.routes);
        routes.map(Route::load_profile).collect()
    }

    /// Requests a second of the route `name` that its service can run if it runs nothing else.
    pub fn capacity(&self, name: &str) -> f64 {
        let service = self
            .services
            .iter()
            .find_map(|it| Some((it, it.routes.iter().find(|route| route.name == name)?)));
        service.map_or(0.0, |(service, route)| {
            let slots = service.endpoints as f64 * f64::from(self.slots);
            slots * 1_000.0 / route.work_ms as f64
        })
    }

    /// The operators' text. Edits differ in one weight; `filler` services make the text longer.
    pub fn text(&self, edit: u32, filler: usize) -> String {
        let mut text = String::from("services:\n");
        for service in self.services {
            let _ = writeln!(text, "  - name: {}", service.name);
            let _ = writeln!(text, "    depends: [{}]", service.dependencies.join(", "));
            let _ = writeln!(text, "    not_run_statuses: [503]\n    routes:");
            for route in service.routes {
                route.write(&mut text, 1 + edit % 100);
            }
        }
        for at in 0..filler {
            let _ = write!(
                text,
                "  - name: filler-{at}\n    routes:\n      - method: GET\n        \
                 path: /filler-{at}/**\n        rank: 2\n        deadline_ms: 1000\n"
            );
        }
        text
    }
}

impl Route {
    fn load_profile(&self) -> LoadProfile {
        LoadProfile {
            name: self.name,
            method: self.method,
            path: self.path,
            rank: self.rank,
            idempotent: self.method == "GET",
            deadline: Duration::from_millis(self.deadline_ms),
            rate: self.rate,
        }
    }

    fn write(&self, text: &mut String, weight: u32) {
        let _ = writeln!(text, "      - method: {}", self.method);
        let _ = writeln!(text, "        path: {}{{number}}", self.prefix);
        let _ = writeln!(text, "        rank: {}", self.rank);
        let _ = writeln!(text, "        deadline_ms: {}", self.deadline_ms);
        let _ = writeln!(text, "        idempotent: {}", self.method == "GET");
        let _ = writeln!(text, "        weight: {weight}");
    }
}
