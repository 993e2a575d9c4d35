//! The command line of the stand-ins, each a process of its own.

use crate::engine_model::EngineSettings;
use crate::stand_in::application;
use crate::stand_in::engine::{self, EngineOptions};
use crate::stand_in::platform::Platform;
use crate::stand_in::server::Server;
use crate::stand_in::weight_store::{self, WeightStoreSettings};
use argh::FromArgs;
use firshore_types::declaration::EngineRole;
use firshore_types::machine::Machine;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Run a stand-in for an outside system until it is killed.
#[derive(FromArgs)]
#[argh(subcommand, name = "stand-in")]
pub struct StandIn {
    #[argh(subcommand)]
    kind: Kind,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Kind {
    Engine(EngineArguments),
    Platform(PlatformArguments),
    WeightStore(WeightStoreArguments),
    Application(ApplicationArguments),
}

/// A model engine.
#[derive(FromArgs)]
#[argh(subcommand, name = "engine")]
struct EngineArguments {
    /// address to listen on
    #[argh(option)]
    listen: SocketAddr,
    /// name
    #[argh(option)]
    name: String,
    /// requests run at once
    #[argh(option, default = "EngineSettings::default().slots")]
    slots: u32,
    /// blocks of KV memory, of 16 tokens each
    #[argh(option, default = "EngineSettings::default().kv_blocks")]
    kv_blocks: u32,
    /// model loaded at the start, may be repeated; with none every model is taken
    #[argh(option)]
    model: Vec<String>,
    /// role at the start: mixed, online or batch
    #[argh(option, default = "EngineRole::Mixed", from_str_fn(parse_role))]
    role: EngineRole,
    /// factor on all times; 0.1 is ten times faster
    #[argh(option, default = "1.0")]
    time_scale: f64,
    /// weight store to ask before loading a model
    #[argh(option)]
    weight_store: Option<SocketAddr>,
    /// seed of the cache events that are lost
    #[argh(option, default = "1")]
    seed: u64,
}

/// Object API and machine list.
#[derive(FromArgs)]
#[argh(subcommand, name = "platform")]
struct PlatformArguments {
    /// address to listen on
    #[argh(option)]
    listen: SocketAddr,
    /// JSON file of the machine list
    #[argh(option)]
    machines: Option<PathBuf>,
}

/// Weight store.
#[derive(FromArgs)]
#[argh(subcommand, name = "weight-store")]
struct WeightStoreArguments {
    /// address to listen on
    #[argh(option)]
    listen: SocketAddr,
    /// loads that may begin at once after a quiet time
    #[argh(option, default = "WeightStoreSettings::default().burst")]
    burst: u32,
    /// loads a second that may begin in the long run
    #[argh(option, default = "WeightStoreSettings::default().loads_per_second")]
    loads_per_second: f64,
}

/// Back end of a small application service.
#[derive(FromArgs)]
#[argh(subcommand, name = "application")]
struct ApplicationArguments {
    /// address to listen on
    #[argh(option)]
    listen: SocketAddr,
    /// name
    #[argh(option)]
    name: String,
}

fn parse_role(text: &str) -> Result<EngineRole, String> {
    match text {
        "mixed" => Ok(EngineRole::Mixed),
        "online" => Ok(EngineRole::Online),
        "batch" => Ok(EngineRole::Batch),
        _ => Err(format!("'{text}' is no role. Use mixed, online or batch.")),
    }
}

impl StandIn {
    /// Serves until the process is killed.
    pub fn run(self) -> Result<(), String> {
        let (kind, server) = match self.kind {
            Kind::Engine(arguments) => ("engine", arguments.start()),
            Kind::Platform(arguments) => ("platform", Ok(arguments.start()?)),
            Kind::WeightStore(arguments) => ("weight-store", arguments.start()),
            Kind::Application(arguments) => (
                "application",
                application::start(arguments.listen, &arguments.name),
            ),
        };
        let server = server.map_err(|error| {
            format!("The {kind} stand-in did not start: {error}. Choose another --listen.")
        })?;
        println!("{kind} {}", server.address);
        server.join();
        Ok(())
    }
}

impl EngineArguments {
    fn start(self) -> std::io::Result<Server> {
        let settings = EngineSettings {
            slots: self.slots,
            kv_blocks: self.kv_blocks,
            models: self.model,
            role: self.role,
            time_scale: self.time_scale,
            ..EngineSettings::default()
        };
        let options = EngineOptions {
            settings,
            seed: self.seed,
            weight_store: self.weight_store,
        };
        engine::start_with(self.listen, &self.name, options)
    }
}

impl PlatformArguments {
    fn start(self) -> Result<Server, String> {
        let machines = self.machines.as_deref().map(read_machines).transpose()?;
        let platform = Platform::start(self.listen).map_err(|error| {
            format!("The platform stand-in did not start: {error}. Choose another --listen.")
        })?;
        platform.set_machines(machines.unwrap_or_default());
        Ok(platform.server)
    }
}

impl WeightStoreArguments {
    fn start(self) -> std::io::Result<Server> {
        let settings = WeightStoreSettings {
            burst: self.burst,
            loads_per_second: self.loads_per_second,
        };
        weight_store::start(self.listen, settings)
    }
}

fn read_machines(path: &Path) -> Result<Vec<Machine>, String> {
    let text = std::fs::read_to_string(path)
        .map_err(|error| format!("{} cannot be read: {error}.", path.display()))?;
    serde_json::from_str(&text)
        .map_err(|error| format!("{} is no machine list: {error}.", path.display()))
}
