//! The fleets under `examples/`: zones, services, callers and their rates.

use serde::Deserialize;
use std::path::Path;

/// A fleet.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Topology {
    /// Name.
    pub name: String,
    /// Region of all zones.
    pub region: String,
    /// Zones.
    pub zones: Vec<String>,
    /// One-way delay between zones, in milliseconds.
    pub zone_delay_milliseconds: f64,
    /// One-way delay between callers and nodes, in milliseconds.
    pub caller_delay_milliseconds: f64,
    /// Nodes in each zone.
    pub nodes_per_zone: usize,
    /// Services.
    pub services: Vec<ServiceShape>,
    /// Online callers.
    pub callers: Vec<CallerShape>,
    /// Batch load.
    pub batch: BatchShape,
}

/// A service and its back ends.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceShape {
    /// Name as declared.
    pub name: String,
    /// `model` or `application`.
    pub protocol: firshore_types::declaration::Protocol,
    /// Value of the `pool` label of its machines.
    pub pool: String,
    /// Back ends, spread over the zones.
    pub engines: usize,
}

/// One kind of online caller.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerShape {
    /// Tenant.
    pub name: String,
    /// Bearer key.
    pub key: String,
    /// Service called.
    pub service: String,
    /// Mean rate.
    pub requests_per_second: f64,
    /// Length of prompts.
    pub prompt_tokens: usize,
    /// Length of answers.
    pub output_tokens: usize,
    /// Whether answers are streamed.
    pub stream: bool,
    /// Whether a request may run more than once.
    #[serde(default = "default_repeatable")]
    pub repeatable: bool,
}

fn default_repeatable() -> bool {
    true
}

/// Batch load.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BatchShape {
    /// Tenant.
    pub tenant: String,
    /// Bearer key.
    pub key: String,
    /// Model service that runs the items.
    pub service: String,
    /// Items in a job.
    pub items: usize,
    /// Length of prompts.
    pub prompt_tokens: usize,
    /// Length of answers.
    pub output_tokens: usize,
    /// Time between jobs.
    pub interval_seconds: f64,
}

impl Topology {
    /// Reads `topology.toml` in `folder`.
    pub fn read(folder: &Path) -> Result<Self, String> {
        let path = folder.join("topology.toml");
        let text = std::fs::read_to_string(&path).map_err(|error| {
            format!(
                "{} cannot be read: {error}. Check the path.",
                path.display()
            )
        })?;
        toml::from_str(&text).map_err(|error| format!("{} is invalid: {error}", path.display()))
    }
}
