//! The fleet of the experiment: nodes and engines as processes, engines and platform behind
//! fault proxies.

use crate::engine_model::Faults;
use crate::fault_proxy::{CutKind, FaultProxy, ProxyFaults, ProxyHost};
use crate::http::Call;
use crate::judge::BackendLog;
use crate::processes::{Process, Signal, beside};
use crate::stand_in::engine::ExecutionLine;
use crate::stand_in::platform::Platform;
use firshore_config::proposal::Proposal;
use firshore_server::clock::unix_milliseconds;
use firshore_types::configuration::key_digest;
use firshore_types::ids::{ChangeId, MachineName, Revision};
use firshore_types::labels::Labels;
use firshore_types::machine::{Machine, MachineState};
use firshore_types::validation::parse_declarations;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// Nodes, one in each of three zones, all with a disk.
pub const NODES: usize = 3;

/// Engines, spread over the zones.
pub const ENGINES: usize = 6;

/// Bearer key of the callers.
pub const KEY: &str = "key-of-the-failures-experiment";

/// Model that the engines serve.
pub const MODEL: &str = "boundary-llm";

const SLOTS: u32 = 16;

/// A lost disk is replaced sooner than by default, so that several fit into a run.
const REPLACE_AFTER_SECONDS: u64 = 4;

/// The engines run at a multiple of the usual speed, so that many requests fit into the run.
const TIME_SCALE: &str = "0.5";

const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// Longest time of a planned stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(60);

/// Time that requests get to end on an engine that is about to be ended.
const SETTLE: Duration = Duration::from_millis(50);

/// Addresses of a node.
#[derive(Clone, Copy, Debug)]
pub struct NodeAddresses {
    /// Callers.
    pub callers: SocketAddr,
    /// Peers.
    pub peers: SocketAddr,
    /// Operators.
    pub admin: SocketAddr,
}

/// A node, running or not.
pub struct NodeSlot {
    number: usize,
    process: Option<Process>,
    /// Kept over restarts.
    pub addresses: Option<NodeAddresses>,
}

/// An engine, running or not.
pub struct EngineSlot {
    name: String,
    process: Option<Process>,
    direct: SocketAddr,
    /// Between nodes and engine.
    pub proxy: FaultProxy,
    leaving_since: Option<u64>,
    state: MachineState,
}

/// Everything.
pub struct Fleet {
    folder: PathBuf,
    platform: Platform,
    /// Between nodes and platform.
    pub platform_proxy: FaultProxy,
    /// Nodes.
    pub nodes: Vec<NodeSlot>,
    /// Engines.
    pub engines: Vec<EngineSlot>,
    /// Logs of engines that ended.
    logs: Vec<BackendLog>,
    _proxies: ProxyHost,
}

fn text(error: impl std::fmt::Display) -> String {
    error.to_string()
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn zone(number: usize) -> String {
    format!("north-{}", number % NODES)
}

fn address_after(line: &str, word: &str) -> Result<SocketAddr, String> {
    let mut words = line.split_whitespace();
    words.find(|one| *one == word);
    let address = words.next().and_then(|address| address.parse().ok());
    address.ok_or_else(|| format!("'{line}' names no address of {word}"))
}

fn start_engine(folder: &Path, name: &str) -> Result<(Process, SocketAddr), String> {
    let arguments = [
        "stand-in",
        "engine",
        "--listen",
        "127.0.0.1:0",
        "--name",
        name,
        "--slots",
        &SLOTS.to_string(),
        "--model",
        MODEL,
        "--time-scale",
        TIME_SCALE,
    ]
    .map(str::to_owned);
    let program = std::env::current_exe().map_err(text)?;
    let log = folder.join(format!("{name}.log"));
    let (process, line) = Process::start(&program, &arguments, &log).map_err(text)?;
    Ok((process, address_after(&line, "engine")?))
}

impl Fleet {
    /// Starts everything and waits until each node serves.
    pub async fn start(folder: &Path, seed: u64) -> Result<Self, String> {
        let proxies = ProxyHost::start(seed).map_err(text)?;
        let platform = Platform::start(any_port()).map_err(text)?;
        let platform_proxy = proxies
            .add(any_port(), platform.server.address)
            .map_err(text)?;
        let mut engines = Vec::new();
        for number in 0..ENGINES {
            let name = format!("engine-{number}");
            let (process, direct) = start_engine(folder, &name)?;
            engines.push(EngineSlot {
                name,
                process: Some(process),
                direct,
                proxy: proxies.add(any_port(), direct).map_err(text)?,
                leaving_since: None,
                state: MachineState::Live,
            });
        }
        let nodes = (0..NODES)
            .map(|number| NodeSlot {
                number,
                process: None,
                addresses: None,
            })
            .collect();
        let mut fleet = Self {
            folder: folder.to_owned(),
            platform,
            platform_proxy,
            nodes,
            engines,
            logs: Vec::new(),
            _proxies: proxies,
        };
        fleet.publish_machines();
        for number in 0..NODES {
            fleet.start_node(number)?;
        }
        fleet.apply().await?;
        for number in 0..NODES {
            fleet.wait_ready(number).await?;
        }
        Ok(fleet)
    }

    fn publish_machines(&self) {
        let machines = self
            .engines
            .iter()
            .enumerate()
            .map(|(number, engine)| Machine {
                name: MachineName(engine.name.clone()),
                address: engine.proxy.address,
                region: "north".into(),
                zone: zone(number).as_str().into(),
                labels: Labels::from_pairs([("pool", "engines")]),
                state: engine.state,
            });
        self.platform.set_machines(machines.collect());
    }

    async fn apply(&self) -> Result<(), String> {
        let digest = key_digest(KEY);
        let declarations = format!(
            "kind: Service\nmetadata: {{name: {MODEL}}}\nspec: {{protocol: model, model: {MODEL}, pool: engines}}\n---\nkind: EnginePool\nmetadata: {{name: engines}}\nspec: {{machines: {{matchLabels: {{pool: engines}}}}, slots: {SLOTS}}}\n---\nkind: Tenant\nmetadata: {{name: callers}}\nspec: {{priority: 50, keyDigests: [{digest}]}}\n"
        );
        let upserts = parse_declarations("failures", &declarations)
            .map_err(|faults| faults.iter().map(text).collect::<Vec<_>>().join("\n"))?;
        let proposal = Proposal {
            change_id: ChangeId::from("failures"),
            author: "experiment".to_owned(),
            base: Revision(0),
            upserts,
            removals: Vec::new(),
        };
        let body = serde_json::to_string(&proposal).map_err(text)?;
        let start = Instant::now();
        loop {
            let admin = self.addresses(0)?.admin;
            let call = Call::post(admin, "/configuration", body.clone());
            let last = match call.send().await {
                Ok(answer) if answer.status() == 200 => return Ok(()),
                Ok(answer) => answer.text(),
                Err(error) => error.to_string(),
            };
            if start.elapsed() > READY_TIMEOUT {
                return Err(format!("the configuration was not accepted: {last}"));
            }
            actix_rt::time::sleep(Duration::from_millis(200)).await;
        }
    }

    /// Addresses of a node that was started.
    pub fn addresses(&self, number: usize) -> Result<NodeAddresses, String> {
        let missing = || format!("node {number} was never started");
        self.nodes[number].addresses.ok_or_else(missing)
    }

    fn settings(&self, number: usize) -> String {
        let seeds: Vec<String> = self
            .nodes
            .iter()
            .filter(|node| node.number != number)
            .filter_map(|node| node.addresses)
            .map(|addresses| format!("'{}'", addresses.peers))
            .collect();
        let listen = self.nodes[number].addresses.unwrap_or(NodeAddresses {
            callers: any_port(),
            peers: any_port(),
            admin: any_port(),
        });
        format!(
            "name = 'node-{number}'\nregion = 'north'\nzone = '{}'\n[listen]\ncallers = '{}'\npeers = '{}'\nadmin = '{}'\n[cluster]\nsecret = 'secret-of-the-failures-experiment'\nseeds = [{}]\n[platform]\nobject_api = 'http://{platform}'\nmachine_list = 'http://{platform}'\n[storage]\ndata_folder = '{}'\n[journal]\nreplace_after_seconds = {REPLACE_AFTER_SECONDS}\n[limits]\nworkers = 1\n",
            zone(number),
            listen.callers,
            listen.peers,
            listen.admin,
            seeds.join(", "),
            self.data_folder(number).display(),
            platform = self.platform_proxy.address,
        )
    }

    /// Folder of a node's disk.
    pub fn data_folder(&self, number: usize) -> PathBuf {
        self.folder.join(format!("node-{number}"))
    }

    /// Starts a node, on the addresses that it had before.
    pub fn start_node(&mut self, number: usize) -> Result<(), String> {
        let data = self.data_folder(number);
        std::fs::create_dir_all(&data).map_err(text)?;
        let path = self.folder.join(format!("node-{number}.toml"));
        std::fs::write(&path, self.settings(number)).map_err(text)?;
        let arguments = [
            "serve".to_owned(),
            "--settings".to_owned(),
            path.display().to_string(),
        ];
        let log = self.folder.join(format!("node-{number}.log"));
        let (process, line) =
            Process::start(&beside("firshore")?, &arguments, &log).map_err(text)?;
        self.nodes[number].process = Some(process);
        self.nodes[number].addresses = Some(NodeAddresses {
            callers: address_after(&line, "callers")?,
            peers: address_after(&line, "peers")?,
            admin: address_after(&line, "admin")?,
        });
        Ok(())
    }

    /// Waits until a node serves callers.
    pub async fn wait_ready(&self, number: usize) -> Result<(), String> {
        let addresses = self.addresses(number)?;
        let start = Instant::now();
        let mut last = String::new();
        while start.elapsed() < READY_TIMEOUT {
            match Call::get(addresses.admin, "/readyz").send().await {
                Ok(answer) if answer.status() == 200 => return Ok(()),
                Ok(answer) => last = answer.text(),
                Err(error) => last = error.to_string(),
            }
            actix_rt::time::sleep(Duration::from_millis(100)).await;
        }
        Err(format!("node {number} is not ready: {last}"))
    }

    /// Stops a node as planned; whether it exited in time with 0, and after how long.
    pub async fn stop_node(&mut self, number: usize) -> Result<(bool, Duration), String> {
        let start = Instant::now();
        let Some(mut process) = self.nodes[number].process.take() else {
            return Ok((false, Duration::ZERO));
        };
        process.signal(Signal::Terminate).map_err(text)?;
        let status = process.ended(STOP_TIMEOUT).await.map_err(text)?;
        let clean = status.is_some_and(|status| status.success());
        Ok((clean, start.elapsed()))
    }

    /// Kills a node.
    pub fn kill_node(&mut self, number: usize) {
        self.nodes[number].process = None;
    }

    /// Pauses or continues a node.
    pub fn signal_node(&self, number: usize, signal: Signal) {
        if let Some(process) = &self.nodes[number].process {
            let _ = process.signal(signal);
        }
    }

    /// Pauses or continues an engine.
    pub fn signal_engine(&self, number: usize, signal: Signal) {
        if let Some(process) = &self.engines[number].process {
            let _ = process.signal(signal);
        }
    }

    /// Lets an engine drain, as it says itself.
    pub async fn drain_engine(&mut self, number: usize) -> Result<(), String> {
        let engine = &mut self.engines[number];
        let faults = Faults {
            draining: true,
            ..Faults::default()
        };
        let body = serde_json::to_string(&faults).map_err(text)?;
        engine.leaving_since = Some(unix_milliseconds());
        let call = Call::post(engine.direct, "/faults", body);
        call.send().await.map_err(text)?;
        Ok(())
    }

    /// Marks an engine as leaving on the machine list, without its knowledge.
    pub fn list_as_leaving(&mut self, number: usize) {
        self.engines[number].leaving_since = Some(unix_milliseconds());
        self.engines[number].state = MachineState::Leaving;
        self.publish_machines();
    }

    /// Whether an engine runs nothing.
    pub async fn engine_is_idle(&self, number: usize) -> bool {
        match self.read_log(number).await {
            Ok(log) => log.lines.iter().all(|line| line.ended_unix_ms.is_some()),
            Err(_) => false,
        }
    }

    async fn read_log(&self, number: usize) -> Result<BackendLog, String> {
        let engine = &self.engines[number];
        let answer = Call::get(engine.direct, "/executions").send().await;
        let lines: Vec<ExecutionLine> = answer.map_err(text)?.json().map_err(text)?;
        Ok(BackendLog {
            backend: engine.name.clone(),
            lines,
            leaving_since_unix_ms: engine.leaving_since,
        })
    }

    /// Ends an engine as a kill does, as nodes see it. Its log is read between the cut of its
    /// connections and the kill: afterwards it is gone.
    pub async fn kill_engine(&mut self, number: usize) -> Result<(), String> {
        let proxy = &self.engines[number].proxy;
        proxy.set(ProxyFaults {
            refuse: true,
            ..ProxyFaults::default()
        });
        proxy.close_connections(CutKind::Reset);
        actix_rt::time::sleep(SETTLE).await;
        let log = self.read_log(number).await?;
        self.logs.push(log);
        self.engines[number].process = None;
        Ok(())
    }

    /// Starts an engine that was ended, anew and empty.
    pub fn restart_engine(&mut self, number: usize) -> Result<(), String> {
        let (process, direct) = start_engine(&self.folder, &self.engines[number].name)?;
        let engine = &mut self.engines[number];
        engine.process = Some(process);
        engine.direct = direct;
        engine.leaving_since = None;
        engine.state = MachineState::Live;
        engine.proxy.retarget(direct);
        engine.proxy.heal();
        self.publish_machines();
        Ok(())
    }

    /// All logs of the run.
    pub async fn collect(&mut self) -> Result<Vec<BackendLog>, String> {
        let mut logs = std::mem::take(&mut self.logs);
        for number in 0..ENGINES {
            if self.engines[number].process.is_some() {
                logs.push(self.read_log(number).await?);
            }
        }
        Ok(logs)
    }
}
