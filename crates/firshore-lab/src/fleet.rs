//! A whole fleet in one process over loopback sockets: platform, back ends, nodes, and proxies
//! that give the links their delays.

use crate::engine_model::EngineSettings;
use crate::fault_proxy::{FaultProxy, ProxyFaults, ProxyHost};
use crate::http::{Call, CallError};
use crate::judge::BackendLog;
use crate::stand_in::engine::EngineOptions;
use crate::stand_in::platform::Platform;
use crate::stand_in::server::Server;
use crate::stand_in::{application, engine};
use crate::topology::{ServiceShape, Topology};
use firshore_config::proposal::Proposal;
use firshore_server::logging;
use firshore_server::node::Node;
use firshore_server::settings::{
    Cluster, JournalSettings, LimitSettings, Listen, LogSettings, Platform as PlatformSettings,
    Settings, Storage,
};
use firshore_types::configuration::Configuration;
use firshore_types::declaration::{Declaration, Protocol};
use firshore_types::ids::{ChangeId, MachineName, Revision};
use firshore_types::labels::Labels;
use firshore_types::machine::{Machine, MachineState};
use firshore_types::validation::parse_declarations;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

/// Longest wait until every node holds the configuration and the machine list.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

const READY_POLL: Duration = Duration::from_millis(50);

/// Upstream of a proxy whose node has not started yet.
const NOWHERE: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 1);

/// A free port of the loopback address.
pub fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// How a fleet differs from its topology.
#[derive(Clone, Debug)]
pub struct FleetOptions {
    /// Model of the engines; the service's model name is filled in.
    pub engine: EngineSettings,
    /// Whether links have the delays of the topology.
    pub delays: bool,
    /// Worker threads of each node.
    pub workers: usize,
    /// Seed of everything random.
    pub seed: u64,
    /// The nodes' journal.
    pub journal: JournalSettings,
}

impl Default for FleetOptions {
    fn default() -> Self {
        Self {
            engine: EngineSettings::default(),
            delays: true,
            workers: 1,
            seed: 1,
            journal: JournalSettings::default(),
        }
    }
}

/// A back end that runs.
pub struct Backend {
    /// Name in the machine list.
    pub name: String,
    /// Service it serves.
    pub service: String,
    /// What it speaks.
    pub protocol: Protocol,
    /// Zone it stands in.
    pub zone: String,
    /// Its server.
    pub server: Server,
}

/// A node that runs.
pub struct FleetNode {
    /// Zone it stands in.
    pub zone: String,
    /// Where callers reach it, behind the delay of their link.
    pub entrance: SocketAddr,
    /// The node.
    pub node: Node,
}

/// A fleet that runs.
pub struct Fleet {
    /// Nodes, zone by zone.
    pub nodes: Vec<FleetNode>,
    /// Platform.
    pub platform: Platform,
    /// Back ends.
    pub backends: Vec<Backend>,
    views: HashMap<String, Server>,
    links: Links,
    data: tempfile::TempDir,
}

/// Proxies on the links.
struct Links {
    host: ProxyHost,
    proxies: Vec<FaultProxy>,
    delays: bool,
}

impl Links {
    /// The address at which `upstream` is reached over a link with this one-way delay.
    fn via(&mut self, upstream: SocketAddr, milliseconds: f64) -> io::Result<SocketAddr> {
        if !self.delays || milliseconds <= 0.0 {
            return Ok(upstream);
        }
        let proxy = self.host.add(any_port(), upstream)?;
        proxy.set(ProxyFaults::delay((milliseconds * 1000.0) as u64, 0));
        let address = proxy.address;
        self.proxies.push(proxy);
        Ok(address)
    }
}

impl Fleet {
    /// Starts platform, back ends and nodes.
    pub fn start(topology: &Topology, options: &FleetOptions) -> io::Result<Self> {
        let mut fleet = Self {
            nodes: Vec::new(),
            platform: Platform::start(any_port())?,
            backends: start_backends(topology, options)?,
            views: HashMap::new(),
            links: Links {
                host: ProxyHost::start(options.seed)?,
                proxies: Vec::new(),
                delays: options.delays,
            },
            data: tempfile::tempdir()?,
        };
        fleet
            .platform
            .set_machines(machines(topology, &fleet.backends));
        for zone in &topology.zones {
            fleet.add_view(topology, zone)?;
            for number in 0..topology.nodes_per_zone {
                fleet.add_node(topology, options, zone, number)?;
            }
        }
        Ok(fleet)
    }

    /// The machine list as one zone sees it: back ends of other zones behind their delay.
    fn add_view(&mut self, topology: &Topology, zone: &str) -> io::Result<()> {
        let mut seen_at = HashMap::new();
        for backend in self.backends.iter().filter(|one| one.zone != zone) {
            let delay = topology.zone_delay_milliseconds;
            let address = self.links.via(backend.server.address, delay)?;
            seen_at.insert(MachineName(backend.name.clone()), address);
        }
        let view = self.platform.zone_view(any_port(), seen_at)?;
        self.views.insert(zone.to_owned(), view);
        Ok(())
    }

    fn add_node(
        &mut self,
        topology: &Topology,
        options: &FleetOptions,
        zone: &str,
        number: usize,
    ) -> io::Result<()> {
        // With one node in each zone every peer is a zone away.
        let delay = match topology.nodes_per_zone {
            1 => topology.zone_delay_milliseconds,
            _ => 0.0,
        };
        let advertised = self.links.via(NOWHERE, delay)?;
        let behind_proxy = advertised != NOWHERE;
        let name = format!("{zone}-{number}");
        let folder = self.data.path().join(&name);
        std::fs::create_dir_all(&folder)?;
        let settings = Settings {
            name: name.as_str().into(),
            region: topology.region.as_str().into(),
            zone: zone.into(),
            listen: Listen {
                callers: any_port(),
                peers: any_port(),
                admin: any_port(),
                advertised_peers: behind_proxy.then_some(advertised),
            },
            cluster: Cluster {
                secret: "demonstration-secret-only".to_owned(),
                seeds: self.nodes.iter().map(|one| one.node.peers).collect(),
            },
            platform: PlatformSettings {
                object_api: format!("http://{}", self.platform.server.address),
                machine_list: format!("http://{}", self.views[zone].address),
            },
            storage: Some(Storage {
                data_folder: folder,
            }),
            journal: options.journal.clone(),
            log: LogSettings::default(),
            limits: LimitSettings {
                workers: options.workers,
                ..LimitSettings::default()
            },
        };
        let node = Node::start(settings, logging::silent())?;
        if let Some(proxy) = self.links.proxies.last().filter(|_| behind_proxy) {
            proxy.retarget(node.peers);
        }
        let delay = topology.caller_delay_milliseconds;
        let entrance = self.links.via(node.callers, delay)?;
        self.nodes.push(FleetNode {
            zone: zone.to_owned(),
            entrance,
            node,
        });
        Ok(())
    }

    /// Applies declarations and waits until every node holds them.
    pub async fn apply(&self, declarations: Vec<Declaration>) -> Result<(), String> {
        let proposal = Proposal {
            change_id: ChangeId::from("fleet"),
            author: "fleet".to_owned(),
            base: Revision(0),
            upserts: declarations,
            removals: Vec::new(),
        };
        let body = serde_json::to_string(&proposal).map_err(|error| error.to_string())?;
        let admin = self.nodes[0].node.admin;
        let deadline = Instant::now() + READY_TIMEOUT;
        loop {
            let answer = Call::post(admin, "/configuration", body.clone()).send();
            let answer = answer.await.map_err(|error| error.to_string())?;
            match answer.status() {
                200 => break,
                // The nodes are still finding one another.
                500.. if Instant::now() < deadline => actix_rt::time::sleep(READY_POLL).await,
                _ => return Err(answer.text()),
            }
        }
        for one in &self.nodes {
            while !is_ready(&one.node).await.unwrap_or(false) {
                if Instant::now() > deadline {
                    let name = &one.node.shared.settings.name;
                    return Err(format!("Node {name} did not become ready in time."));
                }
                actix_rt::time::sleep(READY_POLL).await;
            }
        }
        Ok(())
    }

    /// Back ends of model services.
    pub fn engines(&self) -> impl Iterator<Item = &Backend> {
        self.backends
            .iter()
            .filter(|backend| backend.protocol == Protocol::Model)
    }

    /// Reads every back end's execution log.
    pub async fn execution_logs(&self) -> Result<Vec<BackendLog>, CallError> {
        let mut logs = Vec::new();
        for backend in &self.backends {
            let call = Call::get(backend.server.address, "/executions");
            logs.push(BackendLog {
                backend: backend.name.clone(),
                lines: call.send().await?.json()?,
                leaving_since_unix_ms: None,
            });
        }
        Ok(logs)
    }

    /// Stops everything; nodes leave in order, all at once.
    pub fn stop(self) {
        for one in &self.nodes {
            one.node.stop();
        }
        for one in self.nodes {
            one.node.join();
        }
        let servers = self.backends.into_iter().map(|backend| backend.server);
        let servers: Vec<Server> = servers
            .chain(self.views.into_values())
            .chain([self.platform.server])
            .collect();
        for server in &servers {
            server.begin_stop();
        }
        for server in servers {
            server.join();
        }
    }
}

fn start_backends(topology: &Topology, options: &FleetOptions) -> io::Result<Vec<Backend>> {
    let mut backends = Vec::new();
    for service in &topology.services {
        for number in 0..service.engines {
            let name = format!("{}-{number}", service.name);
            let server = match service.protocol {
                Protocol::Application => application::start(any_port(), &name)?,
                Protocol::Model => start_engine(service, &name, number, options)?,
            };
            backends.push(Backend {
                name,
                service: service.name.clone(),
                protocol: service.protocol,
                zone: topology.zones[number % topology.zones.len()].clone(),
                server,
            });
        }
    }
    Ok(backends)
}

fn start_engine(
    service: &ServiceShape,
    name: &str,
    number: usize,
    options: &FleetOptions,
) -> io::Result<Server> {
    let settings = EngineSettings {
        models: vec![service.name.clone()],
        ..options.engine.clone()
    };
    let options = EngineOptions {
        settings,
        seed: options.seed.wrapping_add(number as u64),
        weight_store: None,
    };
    engine::start_with(any_port(), name, options)
}

fn machines(topology: &Topology, backends: &[Backend]) -> Vec<Machine> {
    let pool_of = |service: &str| {
        let shape = topology.services.iter().find(|one| one.name == service);
        shape.map_or("", |shape| shape.pool.as_str())
    };
    let machine = |backend: &Backend| Machine {
        name: MachineName(backend.name.clone()),
        address: backend.server.address,
        region: topology.region.as_str().into(),
        zone: backend.zone.as_str().into(),
        labels: Labels::from_pairs([("pool", pool_of(&backend.service))]),
        state: MachineState::Live,
    };
    backends.iter().map(machine).collect()
}

/// Reads the declarations of the topology in `folder`.
pub fn read_declarations(folder: &Path) -> Result<Vec<Declaration>, String> {
    let folder = folder.join("declarations");
    let unreadable = |error: io::Error| format!("{} cannot be read: {error}.", folder.display());
    let mut declarations = Vec::new();
    for entry in std::fs::read_dir(&folder).map_err(unreadable)? {
        let path = entry.map_err(unreadable)?.path();
        let text = std::fs::read_to_string(&path).map_err(unreadable)?;
        let found = parse_declarations(&path.display().to_string(), &text).map_err(|faults| {
            let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
            lines.join("\n")
        })?;
        declarations.extend(found);
    }
    Ok(declarations)
}

/// Whether a node serves, and holds the configuration and the machine list.
async fn is_ready(node: &Node) -> Result<bool, CallError> {
    let ready = Call::get(node.callers, "/readyz").send().await?;
    let answer = Call::get(node.admin, "/configuration").send().await?;
    let held: Configuration = answer.json()?;
    let in_force = held.revision > Revision(0) && !node.shared.machines.read().is_empty();
    Ok(in_force && ready.head.status.is_success())
}
