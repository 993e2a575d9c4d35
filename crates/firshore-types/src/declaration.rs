//! What operators declare: services, engine pools, policies and tenants.

use crate::ids::{PoolName, ServiceName, TenantName};
use crate::labels::{Labels, Selector};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Name and labels of a declaration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Metadata {
    /// Name, unique within the kind.
    pub name: String,
    /// Labels that selectors match.
    #[serde(default)]
    pub labels: Labels,
}

/// Queue priority of a caller or job; a larger number goes first.
pub type Priority = u8;

/// Highest priority that a tenant or policy may set. Engines receive online priorities above all batch
/// priorities, in the upper half of their range.
pub const MAXIMUM_PRIORITY: Priority = 127;

/// What a service speaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Protocol {
    /// OpenAI-style completions on model engines.
    Model,
    /// Plain HTTP passed through to small application services.
    Application,
}

/// A service callers can name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct ServiceSpec {
    /// What it speaks.
    pub protocol: Protocol,
    /// Model name in requests; required for `protocol: model`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<String>,
    /// Pool whose engines run it.
    pub pool: PoolName,
}

/// Back ends of one kind, chosen by selecting over the machine list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct PoolSpec {
    /// Machines that belong to the pool.
    pub machines: Selector,
    /// Requests one engine runs at once before online requests queue.
    #[serde(default = "default_slots")]
    pub slots: u32,
}

fn default_slots() -> u32 {
    32
}

/// Which requests, jobs or back ends a policy applies to, and what it sets for them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct PolicySpec {
    /// Tenants, by label, whose requests it governs; with none of the selectors it governs all.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tenants: Option<Selector>,
    /// Batch jobs, by label, that it governs.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub jobs: Option<Selector>,
    /// Services, by label, that it governs.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub services: Option<Selector>,
    /// Machines, by label, that governed work may run on.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub backends: Option<Selector>,
    /// Priority of governed work.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub priority: Option<Priority>,
    /// Limits for each governed tenant.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limits: Option<Limits>,
    /// Whether governed jobs may run; `false` pauses them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub batch_allowed: Option<bool>,
    /// Share of each role among the selected back ends, in percent; must add up to 100.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub role_shares: BTreeMap<EngineRole, u8>,
}

/// Role an engine can be ordered to take.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema,
)]
#[serde(rename_all = "lowercase")]
pub enum EngineRole {
    /// Takes online requests, and batch items into idle slots.
    Mixed,
    /// Takes online requests only.
    Online,
    /// Takes batch items only.
    Batch,
}

/// Limits on one tenant over the whole cluster.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct Limits {
    /// Online requests a second.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub requests_per_second: Option<f64>,
    /// Online requests at once.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub concurrent_requests: Option<u32>,
}

impl Eq for Limits {}

/// A paying caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct TenantSpec {
    /// SHA-256 digests, in hexadecimal, of the keys the tenant may present.
    pub key_digests: Vec<String>,
    /// Priority of its work unless a policy sets another.
    pub priority: Priority,
    /// Its limits.
    #[serde(default)]
    pub limits: Limits,
}

/// One declaration of any kind.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(tag = "kind", deny_unknown_fields)]
pub enum Declaration {
    /// A service.
    Service {
        /// Name and labels.
        metadata: Metadata,
        /// Content.
        spec: ServiceSpec,
    },
    /// An engine pool.
    EnginePool {
        /// Name and labels.
        metadata: Metadata,
        /// Content.
        spec: PoolSpec,
    },
    /// A policy.
    Policy {
        /// Name and labels.
        metadata: Metadata,
        /// Content.
        spec: PolicySpec,
    },
    /// A tenant.
    Tenant {
        /// Name and labels.
        metadata: Metadata,
        /// Content.
        spec: TenantSpec,
    },
}

/// Kinds of declaration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Kind {
    /// See [`ServiceSpec`].
    Service,
    /// See [`PoolSpec`].
    EnginePool,
    /// See [`PolicySpec`].
    Policy,
    /// See [`TenantSpec`].
    Tenant,
}

/// Kind and name, which identify a declaration.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct DeclarationKey {
    /// Kind.
    pub kind: Kind,
    /// Name within the kind.
    pub name: String,
}

impl std::fmt::Display for DeclarationKey {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{:?}/{}", self.kind, self.name)
    }
}

impl Declaration {
    /// Returns its name and labels.
    pub fn metadata(&self) -> &Metadata {
        match self {
            Self::Service { metadata, .. }
            | Self::EnginePool { metadata, .. }
            | Self::Policy { metadata, .. }
            | Self::Tenant { metadata, .. } => metadata,
        }
    }

    /// Returns its kind and name.
    pub fn key(&self) -> DeclarationKey {
        let kind = match self {
            Self::Service { .. } => Kind::Service,
            Self::EnginePool { .. } => Kind::EnginePool,
            Self::Policy { .. } => Kind::Policy,
            Self::Tenant { .. } => Kind::Tenant,
        };
        DeclarationKey {
            kind,
            name: self.metadata().name.clone(),
        }
    }
}

impl ServiceSpec {
    /// Returns whether the service is served by model engines.
    pub fn is_model(&self) -> bool {
        self.protocol == Protocol::Model
    }
}

/// Returns the name of a service declaration as an identifier.
pub fn service_name(metadata: &Metadata) -> ServiceName {
    ServiceName(metadata.name.clone())
}

/// Returns the name of a tenant declaration as an identifier.
pub fn tenant_name(metadata: &Metadata) -> TenantName {
    TenantName(metadata.name.clone())
}
