//! One node before stand-ins, for experiments that measure the node itself.

use crate::http::Call;
use crate::stand_in::engine;
use crate::stand_in::platform::Platform;
use crate::stand_in::server::Server;
use firshore_config::proposal::Proposal;
use firshore_server::logging;
use firshore_server::node::Node;
use firshore_server::settings::{
    Cluster, JournalSettings, LimitSettings, Listen, LogSettings, Platform as PlatformSettings,
    Settings, Storage,
};
use firshore_types::configuration::key_digest;
use firshore_types::ids::{ChangeId, MachineName, Revision};
use firshore_types::labels::Labels;
use firshore_types::machine::{Machine, MachineState};
use firshore_types::validation::parse_declarations;
use slog::Logger;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const ZONE: &str = "kelowna";
const REGION: &str = "bc-south";
const READY_TIMEOUT: Duration = Duration::from_secs(30);
const READY_POLL: Duration = Duration::from_millis(100);

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Platform and engines, before the node starts.
pub struct StandIns {
    platform: Platform,
    engines: Vec<Server>,
}

/// One node with its stand-ins.
pub struct FleetOfOne {
    stand_ins: StandIns,
    node: Node,
    // Holds the journal's disk until the end.
    _folder: tempfile::TempDir,
}

impl FleetOfOne {
    /// Bearer key of the only tenant.
    pub const KEY: &'static str = "measure-key";

    /// Model of the only service.
    pub const MODEL: &'static str = "measured";

    /// Starts the platform and `engines` engines of `slots` slots each.
    pub fn platform(engines: usize, slots: u32) -> io::Result<StandIns> {
        let platform = Platform::start(any_port())?;
        let mut servers = Vec::new();
        let mut machines = Vec::new();
        for number in 0..engines {
            let name = format!("engine-{number}");
            let server = engine::start(any_port(), &name, slots)?;
            machines.push(Machine {
                name: MachineName(name),
                address: server.address,
                region: REGION.into(),
                zone: ZONE.into(),
                labels: Labels::from_pairs([("pool", "measured")]),
                state: MachineState::Live,
            });
            servers.push(server);
        }
        platform.set_machines(machines);
        Ok(StandIns {
            platform,
            engines: servers,
        })
    }

    /// Callers' address of the node.
    pub fn callers(&self) -> SocketAddr {
        self.node.callers
    }

    /// Operators' address of the node.
    pub fn admin(&self) -> SocketAddr {
        self.node.admin
    }

    /// Stops node and stand-ins.
    pub fn stop(self) {
        self.node.stop();
        self.node.join();
        for engine in self.stand_ins.engines {
            engine.stop();
        }
        self.stand_ins.platform.server.stop();
    }
}

fn settings(platform: SocketAddr, folder: &std::path::Path) -> Settings {
    Settings {
        name: "measured-1".into(),
        region: REGION.into(),
        zone: ZONE.into(),
        listen: Listen {
            callers: any_port(),
            peers: any_port(),
            admin: any_port(),
            advertised_peers: None,
        },
        cluster: Cluster {
            secret: "measurement-secret-only".to_owned(),
            seeds: Vec::new(),
        },
        platform: PlatformSettings {
            object_api: format!("http://{platform}"),
            machine_list: format!("http://{platform}"),
        },
        storage: Some(Storage {
            data_folder: folder.to_owned(),
        }),
        journal: JournalSettings {
            standalone: true,
            ..JournalSettings::default()
        },
        log: LogSettings::default(),
        limits: LimitSettings::default(),
    }
}

fn declarations() -> String {
    format!(
        "kind: EnginePool\nmetadata: {{name: measured}}\n\
         spec: {{machines: {{matchLabels: {{pool: measured}}}}, slots: 128}}\n---\n\
         kind: Service\nmetadata: {{name: measured}}\n\
         spec: {{protocol: model, model: {}, pool: measured}}\n---\n\
         kind: Tenant\nmetadata: {{name: measurer}}\n\
         spec: {{keyDigests: [{}], priority: 50}}\n",
        FleetOfOne::MODEL,
        key_digest(FleetOfOne::KEY)
    )
}

impl StandIns {
    /// Starts the node with a silent log and waits until it serves.
    pub async fn start_node(self) -> Result<FleetOfOne, String> {
        self.start_node_with_log(logging::silent()).await
    }

    /// Starts the node with this log and waits until it serves.
    pub async fn start_node_with_log(self, log: Logger) -> Result<FleetOfOne, String> {
        let folder = tempfile::tempdir().map_err(|error| error.to_string())?;
        let settings = settings(self.platform.server.address, folder.path());
        let node = Node::start(settings, log).map_err(|error| error.to_string())?;
        let fleet = FleetOfOne {
            stand_ins: self,
            node,
            _folder: folder,
        };
        until_ok(|| fleet.apply()).await?;
        until_ok(|| fleet.run_one()).await?;
        Ok(fleet)
    }
}

/// Tries again until the attempt succeeds or the time for getting ready is over.
async fn until_ok<F>(attempt: impl Fn() -> F) -> Result<(), String>
where
    F: Future<Output = Result<(), String>>,
{
    let deadline = Instant::now() + READY_TIMEOUT;
    loop {
        match attempt().await {
            Ok(()) => return Ok(()),
            Err(reason) if Instant::now() > deadline => return Err(reason),
            Err(_) => actix_rt::time::sleep(READY_POLL).await,
        }
    }
}

impl FleetOfOne {
    async fn apply(&self) -> Result<(), String> {
        let upserts = parse_declarations("measured", &declarations())
            .map_err(|faults| faults.iter().map(ToString::to_string).collect::<String>())?;
        let proposal = Proposal {
            change_id: ChangeId::from("measured"),
            author: "measurer".to_owned(),
            base: Revision(0),
            upserts,
            removals: Vec::new(),
        };
        let body = serde_json::to_string(&proposal).expect("proposals serialise");
        let applied = Call::post(self.admin(), "/configuration", body)
            .send()
            .await
            .map_err(|error| error.to_string())?;
        if applied.status() == 200 {
            Ok(())
        } else {
            Err(applied.text())
        }
    }

    async fn run_one(&self) -> Result<(), String> {
        let request = serde_json::json!({
            "model": Self::MODEL, "prompt": "first", "max_tokens": 1,
        });
        let answer = Call::post(self.callers(), "/v1/completions", request.to_string())
            .key(Self::KEY)
            .send()
            .await
            .map_err(|error| error.to_string())?;
        if answer.status() == 200 {
            Ok(())
        } else {
            Err(answer.text())
        }
    }
}
