//! Settings of a node, read from a TOML file.

use crate::memory::MemoryBudget;
use firshore_logging::LogSettings;
use firshore_types::ids::{NodeName, RegionName, ZoneName};
pub use firshore_types::settings::SettingsError;
use rustix::process::{Resource, getrlimit};
use schemars::JsonSchema;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Settings file of a node.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name, unique in the cluster.
    pub name: NodeName,
    /// Region of the node.
    pub region: RegionName,
    /// Zone of the node.
    pub zone: ZoneName,
    /// Region of each zone. Requests that are restricted to some regions use no zone that is missing here.
    #[serde(default)]
    pub zones: BTreeMap<ZoneName, RegionName>,
    /// Addresses to listen on.
    pub listen: Listen,
    /// Store of versioned objects.
    pub objects: Objects,
    /// Cluster membership.
    pub cluster: Cluster,
    /// Data folder, on nodes with a disk.
    pub storage: Option<Storage>,
    /// Resource limits.
    #[serde(default)]
    pub limits: Limits,
    /// Counting of tenants' limits.
    #[serde(default)]
    pub tenants: Tenants,
    /// Requests that crash back ends.
    #[serde(default)]
    pub crashes: Crashes,
    /// Handling of services without enough free capacity.
    #[serde(default)]
    pub overload: Overload,
    /// Graceful shutdown.
    #[serde(default)]
    pub leave: Leave,
    /// Logging.
    #[serde(default)]
    pub log: LogSettings,
}

/// Addresses to listen on.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// HTTP for callers; absent on nodes that serve no callers.
    pub callers: Option<SocketAddr>,
    /// HTTP for the readiness status; optional.
    pub readiness: Option<SocketAddr>,
    /// HTTP for metrics; optional.
    pub metrics: Option<SocketAddr>,
    /// Connections from other nodes.
    pub peers: SocketAddr,
}

/// Store of versioned objects.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Objects {
    /// Address of the store.
    pub address: SocketAddr,
    /// Age at which the store may drop changes from its history, in seconds.
    #[serde(default = "default_history_seconds")]
    pub history_seconds: f64,
    /// Maximum time until a change of the configuration takes effect on all nodes, in milliseconds.
    #[serde(default = "default_bound_milliseconds")]
    pub configuration_bound_milliseconds: f64,
    /// Maximum time until a back end that is marked as leaving gets no new requests, in milliseconds.
    #[serde(default = "default_bound_milliseconds")]
    pub leaving_bound_milliseconds: f64,
    /// Maximum time until the back ends of a drained zone get no new requests, in milliseconds; absent where the
    /// operators drain no zones.
    pub zone_drain_bound_milliseconds: Option<f64>,
}

impl Objects {
    /// Returns the maximum time until a change of the configuration takes effect on all nodes.
    pub fn configuration_bound(&self) -> Duration {
        Duration::from_secs_f64(self.configuration_bound_milliseconds / 1_000.0)
    }

    /// Returns the maximum time until a back end that is marked as leaving gets no new requests.
    pub fn leaving_bound(&self) -> Duration {
        Duration::from_secs_f64(self.leaving_bound_milliseconds / 1_000.0)
    }

    /// Returns the maximum time until the back ends of a drained zone get no new requests.
    pub fn zone_drain_bound(&self) -> Option<Duration> {
        let milliseconds = self.zone_drain_bound_milliseconds?;
        Some(Duration::from_secs_f64(milliseconds / 1_000.0))
    }
}

fn default_bound_milliseconds() -> f64 {
    2_000.0
}

fn default_history_seconds() -> f64 {
    20.0
}

/// Cluster membership and authentication between nodes.
#[derive(Clone, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Cluster {
    /// Shared secret of at least 16 bytes.
    pub secret: String,
    /// Whether the cluster starts for the first time, with empty disks.
    #[serde(default)]
    pub first_start: bool,
    /// Number of disks that may be lost at the same time without loss of accepted jobs.
    #[serde(default = "default_disk_losses")]
    pub tolerated_disk_losses: u32,
    /// Maximum time until a new or returned node holds all data, in seconds. Another disk may be lost after it.
    #[serde(default = "default_catch_up_seconds")]
    pub catch_up_seconds: f64,
}

fn default_catch_up_seconds() -> f64 {
    5.0
}

impl Cluster {
    /// Returns the maximum time until a new or returned node holds all data.
    pub fn catch_up(&self) -> Duration {
        Duration::from_secs_f64(self.catch_up_seconds)
    }
}

fn default_disk_losses() -> u32 {
    1
}

impl std::fmt::Debug for Cluster {
    /// Omits the secret, so that settings can be logged.
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("Cluster")
            .field("first_start", &self.first_start)
            .field("tolerated_disk_losses", &self.tolerated_disk_losses)
            .finish_non_exhaustive()
    }
}

/// Storage on disk.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Storage {
    /// Folder for all data of the node.
    pub data_folder: PathBuf,
}

/// Resource limits.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Memory that the node may use, in megabytes of 2^20 bytes.
    pub memory_megabytes: f64,
    /// Descriptors that the node may have open; absent: as many as the system allows the process.
    pub descriptors: Option<u64>,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            memory_megabytes: 256.0,
            descriptors: None,
        }
    }
}

impl Limits {
    /// Returns the memory that the node may use, in bytes.
    pub fn memory_bytes(&self) -> usize {
        const BYTES_PER_MEGABYTE: f64 = 1_048_576.0;
        (self.memory_megabytes * BYTES_PER_MEGABYTE) as usize
    }

    /// Returns the descriptors that the node may have open, at most those that the system allows the process.
    pub fn max_descriptors(&self) -> u64 {
        let allowed = getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX);
        allowed.min(self.descriptors.unwrap_or(u64::MAX))
    }

    /// Returns the bounds on each use of the memory.
    pub fn memory_budget(&self) -> MemoryBudget {
        MemoryBudget::new(self.memory_bytes())
    }
}

/// Counting of tenants' limits.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Tenants {
    /// Span over which a tenant's requests are counted, in seconds; the same on all nodes. In any span of this
    /// length a tenant may send its rate times the span, plus its burst.
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
    /// Returns the span over which a tenant's requests are counted.
    pub fn rate_span(&self) -> Duration {
        Duration::from_secs_f64(self.rate_span_seconds)
    }
}

/// Quarantine of requests that crash back ends.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Crashes {
    /// Time for which a crash is remembered, in seconds; the same on all nodes. A quarantined request is admitted
    /// again this long after its last crash.
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
    /// Returns the time for which a crash is remembered.
    pub fn remember(&self) -> Duration {
        Duration::from_secs_f64(self.remember_seconds)
    }
}

/// Handling of services without enough free capacity.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Overload {
    /// Whether requests that would start too late for their route's objective are refused at once, instead of
    /// being queued at full back ends.
    pub refuse_late: bool,
}

impl Default for Overload {
    fn default() -> Self {
        Self { refuse_late: true }
    }
}

/// Graceful shutdown.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Leave {
    /// Time between the stop signal and the kill signal, in seconds.
    pub grace_seconds: f64,
}

impl Default for Leave {
    fn default() -> Self {
        Self { grace_seconds: 8.0 }
    }
}

impl Leave {
    /// Returns the time between the stop signal and the kill signal.
    pub fn grace(&self) -> Duration {
        Duration::from_secs_f64(self.grace_seconds)
    }
}

/// Minimum length of the cluster secret.
const MIN_SECRET_BYTES: usize = 16;

/// Minimum grace period for an orderly shutdown.
const MIN_GRACE_SECONDS: f64 = 1.0;

/// Minimum span for counting requests: reports between nodes are a fraction of a second old.
const MIN_RATE_SPAN_SECONDS: f64 = 1.0;

/// Minimum time for remembering crashes: clients repeat a failed request within it.
const MIN_REMEMBER_SECONDS: f64 = 60.0;

/// Minimum memory of a node.
const MIN_MEMORY_MEGABYTES: f64 = 16.0;

/// Minimum number of descriptors: those of the node itself, and a few callers.
const MIN_DESCRIPTORS: u64 = 128;

/// Minimum history of a store that can be watched.
const MIN_HISTORY_SECONDS: f64 = 1.0;

/// Minimum bound on propagating changes: the fractions of it for relays and the store must exceed their
/// response times.
const MIN_BOUND_MILLISECONDS: f64 = 1_000.0;

/// Minimum time for copying all data to a new disk.
const MIN_CATCH_UP_SECONDS: f64 = 1.0;

/// Maximum number of tolerated disk losses: more would need groups of more than seven replicas.
const MAX_DISK_LOSSES: u32 = 3;

impl Settings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read or parsed, or if a value is out of bounds.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path)
            .map_err(|error| SettingsError::Read(path.to_owned(), error))?;
        let settings: Self =
            toml::from_str(&text).map_err(|error| SettingsError::Parse(path.to_owned(), error))?;
        settings.validate()?;
        Ok(settings)
    }

    /// Checks bounds that the types don't enforce.
    ///
    /// # Errors
    ///
    /// Returns the first value that is out of bounds.
    pub fn validate(&self) -> Result<(), SettingsError> {
        if self.cluster.secret.len() < MIN_SECRET_BYTES {
            return Err(SettingsError::Invalid(
                "cluster.secret",
                "(hidden)".to_owned(),
                "Set at least 16 random bytes, the same on every node.",
            ));
        }
        if self.cluster.tolerated_disk_losses > MAX_DISK_LOSSES {
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
                MIN_HISTORY_SECONDS,
                "Set at least 1.",
            ),
            (
                "objects.configuration_bound_milliseconds",
                self.objects.configuration_bound_milliseconds,
                MIN_BOUND_MILLISECONDS,
                "Set at least 1000.",
            ),
            (
                "objects.leaving_bound_milliseconds",
                self.objects.leaving_bound_milliseconds,
                MIN_BOUND_MILLISECONDS,
                "Set at least 1000.",
            ),
            (
                "objects.zone_drain_bound_milliseconds",
                (self.objects.zone_drain_bound_milliseconds).unwrap_or(MIN_BOUND_MILLISECONDS),
                MIN_BOUND_MILLISECONDS,
                "Set at least 1000, or remove it.",
            ),
            (
                "cluster.catch_up_seconds",
                self.cluster.catch_up_seconds,
                MIN_CATCH_UP_SECONDS,
                "Set at least 1.",
            ),
            (
                "limits.memory_megabytes",
                self.limits.memory_megabytes,
                MIN_MEMORY_MEGABYTES,
                "Set at least 16.",
            ),
            (
                "tenants.rate_span_seconds",
                self.tenants.rate_span_seconds,
                MIN_RATE_SPAN_SECONDS,
                "Set at least 1.",
            ),
            (
                "crashes.remember_seconds",
                self.crashes.remember_seconds,
                MIN_REMEMBER_SECONDS,
                "Set at least 60.",
            ),
            (
                "leave.grace_seconds",
                self.leave.grace_seconds,
                MIN_GRACE_SECONDS,
                "Set at least 1.",
            ),
        ];
        for (key, value, minimum, remedy) in bounds {
            if !value.is_finite() || value < minimum {
                return Err(SettingsError::Invalid(key, value.to_string(), remedy));
            }
        }
        if let Some(descriptors) = self.limits.descriptors
            && descriptors < MIN_DESCRIPTORS
        {
            return Err(SettingsError::Invalid(
                "limits.descriptors",
                descriptors.to_string(),
                "Set at least 128, or remove it.",
            ));
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
