//! Settings of a node: a TOML file that the environment fills in.

use crate::memory::MemoryBudget;
use firshore_logging::LogSettings;
use firshore_types::ids::{NodeName, RegionName, ZoneName};
pub use firshore_types::settings::SettingsError;
use schemars::JsonSchema;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

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
    /// Store of versioned objects.
    pub objects: Objects,
    /// Other nodes.
    pub cluster: Cluster,
    /// Disk, on the nodes that have one.
    pub storage: Option<Storage>,
    /// What the machine has.
    #[serde(default)]
    pub limits: Limits,
    /// How tenants' limits are counted.
    #[serde(default)]
    pub tenants: Tenants,
    /// Requests under which back ends end.
    #[serde(default)]
    pub crashes: Crashes,
    /// What happens where a service has too little room.
    #[serde(default)]
    pub overload: Overload,
    /// The way out.
    #[serde(default)]
    pub leave: Leave,
    /// Log.
    #[serde(default)]
    pub log: LogSettings,
}

/// Addresses to listen on.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// Callers' HTTP; absent on nodes that serve no callers.
    pub callers: Option<SocketAddr>,
    /// Where the node tells whether it is ready; absent where nobody asks.
    pub readiness: Option<SocketAddr>,
    /// Where the node tells its metrics; absent where nobody asks.
    pub metrics: Option<SocketAddr>,
    /// Other nodes.
    pub peers: SocketAddr,
}

/// Store of versioned objects.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Objects {
    /// Where it listens.
    pub address: SocketAddr,
    /// Age at which it may forget changes, in seconds.
    #[serde(default = "default_history_seconds")]
    pub history_seconds: f64,
    /// Time within which a change of the configuration must be in force on every node, in milliseconds.
    #[serde(default = "default_bound_milliseconds")]
    pub configuration_bound_milliseconds: f64,
    /// Time after which a back end that says that it leaves must get no new request, in milliseconds.
    #[serde(default = "default_bound_milliseconds")]
    pub leaving_bound_milliseconds: f64,
}

impl Objects {
    /// Time within which a change of the configuration must be in force on every node.
    pub fn configuration_bound(&self) -> Duration {
        Duration::from_secs_f64(self.configuration_bound_milliseconds / 1_000.0)
    }

    /// Time after which a back end that says that it leaves must get no new request.
    pub fn leaving_bound(&self) -> Duration {
        Duration::from_secs_f64(self.leaving_bound_milliseconds / 1_000.0)
    }
}

fn default_bound_milliseconds() -> f64 {
    2_000.0
}

fn default_history_seconds() -> f64 {
    20.0
}

/// How nodes found the cluster and trust each other.
#[derive(Clone, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Cluster {
    /// Shared secret of at least 16 bytes.
    pub secret: String,
    /// Whether the whole cluster starts for the first time, with empty disks.
    #[serde(default)]
    pub first_start: bool,
    /// Disks that may be lost at once with nothing lost.
    #[serde(default = "one")]
    pub tolerated_disk_losses: u32,
    /// Time after which a node that is new, or back, must hold everything, in seconds: from then on
    /// another disk may be lost.
    #[serde(default = "default_catch_up_seconds")]
    pub catch_up_seconds: f64,
}

fn default_catch_up_seconds() -> f64 {
    5.0
}

impl Cluster {
    /// Time after which a node that is new, or back, must hold everything.
    pub fn catch_up(&self) -> Duration {
        Duration::from_secs_f64(self.catch_up_seconds)
    }
}

fn one() -> u32 {
    1
}

impl std::fmt::Debug for Cluster {
    /// Leaves the secret out, so that settings can be logged.
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("Cluster")
            .field("first_start", &self.first_start)
            .field("tolerated_disk_losses", &self.tolerated_disk_losses)
            .finish_non_exhaustive()
    }
}

/// The data folder.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Storage {
    /// Folder for everything the node keeps on disk.
    pub data_folder: PathBuf,
}

/// What the machine has.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Memory that the node may use, in megabytes (2^20 bytes).
    pub memory_megabytes: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            memory_megabytes: 256.0,
        }
    }
}

impl Limits {
    /// Memory that the node may use, in bytes.
    pub fn memory_bytes(&self) -> usize {
        const BYTES_PER_MEGABYTE: f64 = 1_048_576.0;
        (self.memory_megabytes * BYTES_PER_MEGABYTE) as usize
    }

    /// Returns how the memory is divided among its uses.
    pub fn memory_budget(&self) -> MemoryBudget {
        MemoryBudget::new(self.memory_bytes())
    }
}

/// How tenants' limits are counted.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Tenants {
    /// Span over which a tenant's requests are counted, in seconds; the same on every node. In any span of
    /// this length a tenant may ask its rate times the span, and its burst beyond that.
    pub rate_span_seconds: f64,
}

impl Default for Tenants {
    fn default() -> Self {
        Self {
            rate_span_seconds: 5.0,
        }
    }
}

impl Tenants {
    /// Span over which a tenant's requests are counted.
    pub fn rate_span(&self) -> Duration {
        Duration::from_secs_f64(self.rate_span_seconds)
    }
}

/// Requests under which back ends end.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Crashes {
    /// Time for which an end of a back end under a request is kept, in seconds; the same on every node. A
    /// request that is held back is tried again this long after the last end.
    pub remember_seconds: f64,
}

impl Default for Crashes {
    fn default() -> Self {
        Self {
            remember_seconds: 3_600.0,
        }
    }
}

impl Crashes {
    /// Time for which an end of a back end under a request is kept.
    pub fn remember(&self) -> Duration {
        Duration::from_secs_f64(self.remember_seconds)
    }
}

/// What happens where a service has too little room.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Overload {
    /// Whether requests that would begin too late for their route's objective are refused at once, in place of
    /// being sent into the lines of full back ends.
    pub refuse_late: bool,
}

impl Default for Overload {
    fn default() -> Self {
        Self { refuse_late: true }
    }
}

/// The way out.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Leave {
    /// Time between the request to stop and the kill, in seconds.
    pub grace_seconds: f64,
}

impl Default for Leave {
    fn default() -> Self {
        Self { grace_seconds: 8.0 }
    }
}

impl Leave {
    /// Time between the request to stop and the kill.
    pub fn grace(&self) -> Duration {
        Duration::from_secs_f64(self.grace_seconds)
    }
}

/// Shortest secret accepted, in bytes.
const MINIMUM_SECRET_BYTES: usize = 16;

/// Shortest time between the request to stop and the kill that allows an orderly end.
const MINIMUM_GRACE_SECONDS: f64 = 1.0;

/// Shortest span over which requests can be counted: what nodes tell each other is a part of a second old.
const MINIMUM_RATE_SPAN_SECONDS: f64 = 1.0;

/// Shortest time for which ends of back ends can be kept: a request that crashes them comes again within it.
const MINIMUM_REMEMBER_SECONDS: f64 = 60.0;

/// Least memory that a node can be run with, in megabytes.
const MINIMUM_MEMORY_MEGABYTES: f64 = 16.0;

/// Shortest history of the store that can be watched.
const MINIMUM_HISTORY_SECONDS: f64 = 1.0;

/// Shortest time within which changes can be known: the shares of it that relays and the store have must
/// be longer than an answer takes.
const MINIMUM_BOUND_MILLISECONDS: f64 = 1_000.0;

/// Shortest time in which a new disk can be made to hold everything.
const MINIMUM_CATCH_UP_SECONDS: f64 = 1.0;

/// Most disks that may be lost at once: more needs groups of more than seven.
const MAXIMUM_DISK_LOSSES: u32 = 3;

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
        if self.cluster.secret.len() < MINIMUM_SECRET_BYTES {
            return Err(SettingsError::Invalid(
                "cluster.secret",
                "(hidden)".to_owned(),
                "Set at least 16 random bytes, the same on every node.",
            ));
        }
        if self.cluster.tolerated_disk_losses > MAXIMUM_DISK_LOSSES {
            return Err(SettingsError::Invalid(
                "cluster.tolerated_disk_losses",
                self.cluster.tolerated_disk_losses.to_string(),
                "Set 0 to 3.",
            ));
        }
        let bounds = [
            (
                "objects.history_seconds",
                self.objects.history_seconds,
                MINIMUM_HISTORY_SECONDS,
                "Set at least 1.",
            ),
            (
                "objects.configuration_bound_milliseconds",
                self.objects.configuration_bound_milliseconds,
                MINIMUM_BOUND_MILLISECONDS,
                "Set at least 1000.",
            ),
            (
                "objects.leaving_bound_milliseconds",
                self.objects.leaving_bound_milliseconds,
                MINIMUM_BOUND_MILLISECONDS,
                "Set at least 1000.",
            ),
            (
                "cluster.catch_up_seconds",
                self.cluster.catch_up_seconds,
                MINIMUM_CATCH_UP_SECONDS,
                "Set at least 1.",
            ),
            (
                "limits.memory_megabytes",
                self.limits.memory_megabytes,
                MINIMUM_MEMORY_MEGABYTES,
                "Set at least 16.",
            ),
            (
                "tenants.rate_span_seconds",
                self.tenants.rate_span_seconds,
                MINIMUM_RATE_SPAN_SECONDS,
                "Set at least 1.",
            ),
            (
                "crashes.remember_seconds",
                self.crashes.remember_seconds,
                MINIMUM_REMEMBER_SECONDS,
                "Set at least 60.",
            ),
            (
                "leave.grace_seconds",
                self.leave.grace_seconds,
                MINIMUM_GRACE_SECONDS,
                "Set at least 1.",
            ),
        ];
        for (key, value, minimum, remedy) in bounds {
            if !value.is_finite() || value < minimum {
                return Err(SettingsError::Invalid(key, value.to_string(), remedy));
            }
        }
        if self.name.as_str().is_empty() {
            return Err(SettingsError::Invalid(
                "name",
                String::new(),
                "Give each node a name of its own.",
            ));
        }
        Ok(())
    }
}
