//! Settings of a node: a TOML file, some of whose values flags override.

pub use firshore_logging::{LogFormat, LogLevel, LogSettings};
use firshore_types::ids::{NodeName, RegionName, ZoneName};
pub use firshore_types::settings::SettingsError;
use schemars::JsonSchema;
use serde::Deserialize;
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Everything a node is told at its start.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name, unique in the cluster.
    pub name: NodeName,
    /// Region it stands in.
    pub region: RegionName,
    /// Zone it stands in.
    pub zone: ZoneName,
    /// Sockets.
    pub listen: Listen,
    /// Other nodes.
    pub cluster: Cluster,
    /// Platform services.
    pub platform: Platform,
    /// Disk, on the nodes that have one.
    pub storage: Option<Storage>,
    /// Journal; the same on every node, but for the reserve.
    #[serde(default)]
    pub journal: JournalSettings,
    /// Log.
    #[serde(default)]
    pub log: LogSettings,
    /// Limits on what is held in memory.
    #[serde(default)]
    pub limits: LimitSettings,
}

/// Addresses to listen on; port 0 takes a free one.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// Callers' HTTP.
    pub callers: SocketAddr,
    /// Peers.
    pub peers: SocketAddr,
    /// Health, metrics and operators' HTTP.
    pub admin: SocketAddr,
    /// Address that peers are told to reach this node at; by default where it listens for them.
    #[serde(default)]
    pub advertised_peers: Option<SocketAddr>,
}

/// How the node finds and trusts its peers.
#[derive(Clone, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Cluster {
    /// Shared secret of at least 16 bytes.
    pub secret: String,
    /// Peer addresses of some other nodes.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
}

impl fmt::Debug for Cluster {
    /// Leaves the secret out, so that settings can be logged.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("Cluster")
            .field("seeds", &self.seeds)
            .finish_non_exhaustive()
    }
}

/// Where the platform's services answer.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// Object API, as `http://IP:PORT`.
    pub object_api: String,
    /// Machine list, as `http://IP:PORT`.
    pub machine_list: String,
}

/// The data folder.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Storage {
    /// Folder for everything the node keeps on disk.
    pub data_folder: PathBuf,
}

/// The replicated journal of batch jobs, claims and the configuration's floor.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct JournalSettings {
    /// Number of groups that jobs and claims are spread over. Fixed once work was accepted.
    pub groups: u32,
    /// Silence of a replica after which another node's disk takes its place, in seconds.
    pub replace_after_seconds: u64,
    /// Free space of the data folder below which new work is refused, in bytes.
    pub reserve_bytes: u64,
    /// This node is the only one with a disk: it founds the groups by itself, without the object
    /// API, once it has run alone for some seconds.
    pub standalone: bool,
}

impl Default for JournalSettings {
    fn default() -> Self {
        Self {
            groups: 1,
            replace_after_seconds: 60,
            reserve_bytes: 256 * 1024 * 1024,
            standalone: false,
        }
    }
}

/// Limits on what is held in memory.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct LimitSettings {
    /// Longest body of an online request in bytes.
    pub request_body_bytes: usize,
    /// Longest body of a batch submission in bytes.
    pub batch_body_bytes: usize,
    /// Most items in one job.
    pub batch_items: usize,
    /// Worker threads for callers' connections.
    pub workers: usize,
    /// Longest time a request may take, in seconds; callers may ask for less.
    pub request_seconds: u64,
    /// Longest time that running requests get to finish after the node stopped accepting, in
    /// seconds.
    pub leave_seconds: u64,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            request_body_bytes: 4 * 1024 * 1024,
            batch_body_bytes: 1024 * 1024 * 1024,
            batch_items: 400_000,
            workers: 2,
            request_seconds: 600,
            leave_seconds: 600,
        }
    }
}

/// Shortest secret accepted, in bytes.
const MINIMUM_SECRET_BYTES: usize = 16;

impl Settings {
    /// Reads and checks a settings file.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path)
            .map_err(|error| SettingsError::Read(path.to_owned(), error))?;
        let settings: Self =
            toml::from_str(&text).map_err(|error| SettingsError::Parse(path.to_owned(), error))?;
        settings.validate()?;
        Ok(settings)
    }

    /// Checks what the types cannot.
    pub fn validate(&self) -> Result<(), SettingsError> {
        self.validate_names()?;
        self.validate_sockets()?;
        self.validate_platform()?;
        self.validate_limits()?;
        if self.cluster.secret.len() < MINIMUM_SECRET_BYTES {
            return Err(SettingsError::Invalid(
                "cluster.secret",
                "(hidden)".to_owned(),
                "Set at least 16 random bytes, the same on every node.",
            ));
        }
        Ok(())
    }

    fn validate_names(&self) -> Result<(), SettingsError> {
        let names = [
            ("name", self.name.as_str()),
            ("region", self.region.as_str()),
            ("zone", self.zone.as_str()),
        ];
        for (key, value) in names {
            if !is_name(value) {
                return Err(SettingsError::Invalid(
                    key,
                    value.to_owned(),
                    "Use letters, digits, '-', '_' and '.'.",
                ));
            }
        }
        Ok(())
    }

    fn validate_sockets(&self) -> Result<(), SettingsError> {
        let sockets = [
            ("listen.peers", self.listen.peers, self.listen.callers),
            ("listen.admin", self.listen.admin, self.listen.callers),
            ("listen.admin", self.listen.admin, self.listen.peers),
        ];
        for (key, address, other) in sockets {
            if address == other && address.port() != 0 {
                return Err(SettingsError::Invalid(
                    key,
                    address.to_string(),
                    "Give each listener a port of its own.",
                ));
            }
        }
        Ok(())
    }

    fn validate_platform(&self) -> Result<(), SettingsError> {
        let addresses = [
            ("platform.object_api", &self.platform.object_api),
            ("platform.machine_list", &self.platform.machine_list),
        ];
        for (key, value) in addresses {
            let address = value.strip_prefix("http://").map(str::parse::<SocketAddr>);
            if !matches!(address, Some(Ok(_))) {
                return Err(SettingsError::Invalid(
                    key,
                    value.clone(),
                    "Write http://IP:PORT.",
                ));
            }
        }
        Ok(())
    }

    fn validate_limits(&self) -> Result<(), SettingsError> {
        let limits = [
            ("limits.request_body_bytes", self.limits.request_body_bytes),
            ("limits.batch_body_bytes", self.limits.batch_body_bytes),
            ("limits.batch_items", self.limits.batch_items),
            ("limits.workers", self.limits.workers),
            ("journal.groups", self.journal.groups as usize),
        ];
        for (key, value) in limits {
            if value == 0 {
                let value = value.to_string();
                return Err(SettingsError::Invalid(key, value, "Set at least 1."));
            }
        }
        Ok(())
    }
}

fn is_name(text: &str) -> bool {
    let allowed = |character: char| character.is_ascii_alphanumeric() || "-_.".contains(character);
    !text.is_empty() && text.chars().all(allowed)
}
