//! The topologies that scenarios run: services, routes and their normal load, and the configuration
//! that describes them.

use std::fmt::Write;
use std::time::Duration;

use linkme::distributed_slice;

use crate::load::LoadProfile;

/// Registered topologies, selected by name.
#[distributed_slice]
pub static TOPOLOGIES: [Topology];

/// Failure domains, services and limits of a deployment.
#[derive(Debug)]
pub struct Topology {
    pub name: &'static str,
    pub domains: [&'static str; 3],
    /// Maximum number of requests that each endpoint executes concurrently.
    pub slots: u32,
    /// Maximum number of connections that each endpoint accepts.
    pub max_connections: u32,
    /// One-way delay between callers and nodes.
    pub caller_delay: Duration,
    pub services: &'static [Service],
}

/// A service with its endpoints and routes.
#[derive(Debug)]
pub struct Service {
    pub name: &'static str,
    /// Number of endpoints of the service.
    pub endpoints: usize,
    /// Names of the services that this service calls.
    pub dependencies: &'static [&'static str],
    pub routes: &'static [Route],
}

/// A route with its normal load and the execution time of its requests.
#[derive(Debug)]
pub struct Route {
    pub name: &'static str,
    pub method: &'static str,
    /// Path up to its variable part.
    pub prefix: &'static str,
    /// Path of generated requests; `{}` stands for a number.
    pub path: &'static str,
    pub rank: u8,
    pub deadline_ms: u64,
    /// Time that a request occupies a slot of the upstream.
    pub work_ms: u64,
    /// Requests per second at normal load.
    pub normal_rate: f64,
    /// Path that the upstream requests from another service while it executes a request of this route.
    pub onward_path: Option<&'static str>,
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
                    normal_rate: 150.0,
                    onward_path: None,
                },
                Route {
                    name: "booking",
                    method: "POST",
                    prefix: "/bookings/",
                    path: "/bookings/{}",
                    rank: 1,
                    deadline_ms: 1_000,
                    work_ms: 40,
                    normal_rate: 60.0,
                    onward_path: Some("/moisture/1"),
                },
                Route {
                    name: "load-sheet",
                    method: "GET",
                    prefix: "/loadsheets/",
                    path: "/loadsheets/{}",
                    rank: 3,
                    deadline_ms: 5_000,
                    work_ms: 200,
                    normal_rate: 25.0,
                    onward_path: None,
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
                normal_rate: 20.0,
                onward_path: None,
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
                    normal_rate: 200.0,
                    onward_path: None,
                },
                Route {
                    name: "pickup",
                    method: "POST",
                    prefix: "/pickups/",
                    path: "/pickups/{}",
                    rank: 1,
                    deadline_ms: 1_000,
                    work_ms: 40,
                    normal_rate: 60.0,
                    onward_path: Some("/manifests/1"),
                },
                Route {
                    name: "yield-summary",
                    method: "GET",
                    prefix: "/yields/",
                    path: "/yields/{}",
                    rank: 3,
                    deadline_ms: 5_000,
                    work_ms: 200,
                    normal_rate: 25.0,
                    onward_path: None,
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
                normal_rate: 30.0,
                onward_path: None,
            }],
        },
    ],
};

/// Returns the topology with this name. The error lists the known names.
pub fn find(name: &str) -> Result<&'static Topology, String> {
    let topology = TOPOLOGIES.iter().find(|topology| topology.name == name);
    topology.ok_or_else(|| {
        let names: Vec<&str> = TOPOLOGIES.iter().map(|topology| topology.name).collect();
        format!(
            "unknown topology {name:?}; known topologies: {}",
            names.join(", ")
        )
    })
}

impl Topology {
    /// Returns the load profiles of all routes at their normal rates.
    pub fn normal_load(&self) -> Vec<LoadProfile> {
        let routes = self.services.iter().flat_map(|service| service.routes);
        routes.map(Route::load_profile).collect()
    }

    /// Returns how many requests per second of the route `name` all endpoints of its service together can
    /// execute if they execute no others; 0 if there is no such route.
    pub fn capacity(&self, name: &str) -> f64 {
        let service = self.services.iter().find_map(|service| {
            Some((
                service,
                service.routes.iter().find(|route| route.name == name)?,
            ))
        });
        service.map_or(0.0, |(service, route)| {
            let slots = service.endpoints as f64 * f64::from(self.slots);
            slots * 1_000.0 / route.work_ms as f64
        })
    }

    /// Returns the configuration in YAML. Configurations with different `edit` differ in the weight of
    /// the routes, which repeats every 100 edits; `filler` unused services make the configuration longer.
    pub fn config_yaml(&self, edit: u32, filler: usize) -> String {
        let mut text = String::from("services:\n");
        for service in self.services {
            let _ = writeln!(text, "  - name: {}", service.name);
            let _ = writeln!(text, "    depends: [{}]", service.dependencies.join(", "));
            let _ = writeln!(text, "    not_run_statuses: [503]\n    routes:");
            for route in service.routes {
                route.write_config(&mut text, 1 + edit % 100);
            }
        }
        for number in 0..filler {
            let _ = write!(
                text,
                "  - name: filler-{number}\n    routes:\n      - method: GET\n        \
                 path: /filler-{number}/**\n        rank: 2\n        deadline_ms: 1000\n"
            );
        }
        text
    }
}

impl Route {
    /// Returns the load profile of this route at its normal rate.
    fn load_profile(&self) -> LoadProfile {
        LoadProfile {
            name: self.name,
            method: self.method,
            path: self.path,
            rank: self.rank,
            idempotent: self.method == "GET",
            deadline: Duration::from_millis(self.deadline_ms),
            rate: self.normal_rate,
        }
    }

    /// Appends the configuration of this route.
    fn write_config(&self, text: &mut String, weight: u32) {
        let _ = writeln!(text, "      - method: {}", self.method);
        let _ = writeln!(text, "        path: {}{{number}}", self.prefix);
        let _ = writeln!(text, "        rank: {}", self.rank);
        let _ = writeln!(text, "        deadline_ms: {}", self.deadline_ms);
        let _ = writeln!(text, "        idempotent: {}", self.method == "GET");
        let _ = writeln!(text, "        weight: {weight}");
    }
}
