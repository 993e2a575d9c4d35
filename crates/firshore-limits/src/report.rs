//! Reports of nodes about tenants, and the responses to them.

use firshore_adapter::tenant::RateLimit;
use firshore_types::ids::TenantName;
use serde::{Deserialize, Serialize};
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// A tenant, as a hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TenantDigest(pub u64);

impl From<&TenantName> for TenantDigest {
    fn from(name: &TenantName) -> Self {
        Self(xxh3_64(name.as_str().as_bytes()))
    }
}

/// Usage of one tenant, as a node reports it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct TenantUsage {
    /// Tenant.
    #[serde(rename = "t")]
    pub tenant: TenantDigest,
    /// Requests admitted since the node's last report, less those that no back end ran.
    #[serde(rename = "a")]
    pub admitted: i32,
    /// Requests per second that arrive at the node, including refused ones.
    #[serde(rename = "d")]
    pub demand: f32,
    /// Of these, requests per second at nodes whose reports are stale, as a relay reports it.
    #[serde(rename = "s", default)]
    pub stale: f32,
    /// Requests admitted in the last span. Only a ledger that started since the last report uses it.
    #[serde(rename = "h", default)]
    pub recent: f32,
    /// Requests per second at all nodes, as the node received it last.
    #[serde(rename = "k")]
    pub known_demand: f32,
    /// Rate that the node's configuration allows, in requests per second.
    #[serde(rename = "r")]
    pub rate: f32,
    /// Requests beyond the rate that the configuration allows to be saved up.
    #[serde(rename = "b")]
    pub burst: f32,
}

/// Usage of all tenants with recent requests at a node.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct UsageReport {
    /// Version of the configuration that the limits are from.
    #[serde(rename = "v")]
    pub version: u64,
    /// Ledger that the sender last received a response from; 0: none.
    #[serde(rename = "l")]
    pub ledger: u64,
    /// Whether a relay sends it, for several nodes.
    #[serde(rename = "r", default)]
    pub relayed: bool,
    /// Tenants.
    #[serde(rename = "t")]
    pub tenants: Vec<TenantUsage>,
}

impl UsageReport {
    /// Returns the report with which a node withdraws its reports to another: that one receives no
    /// more, and must not reserve the node's share as that of a stale node.
    pub fn retraction(&self) -> Self {
        let tenants = self.tenants.iter().map(|usage| TenantUsage {
            admitted: 0,
            demand: 0.0,
            recent: 0.0,
            ..*usage
        });
        Self {
            tenants: tenants.collect(),
            ..*self
        }
    }
}

/// State of one tenant over all nodes.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct TenantView {
    /// Tenant.
    #[serde(rename = "t")]
    pub tenant: TenantDigest,
    /// Requests that may still be admitted at once; negative where the limit is exceeded.
    #[serde(rename = "l")]
    pub left: f32,
    /// Requests per second that become free next, as those before them become older than the span.
    #[serde(rename = "n")]
    pub next: f32,
    /// Requests per second at all nodes.
    #[serde(rename = "d")]
    pub demand: f32,
}

/// Demand of one tenant over all nodes, up to its limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TenantDemand {
    /// Tenant.
    pub tenant: TenantDigest,
    /// Requests per second.
    pub per_second: f64,
}

/// Response to a report.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct UsageResponse {
    /// The reported tenants, and all that are near their limit.
    #[serde(rename = "p")]
    pub views: Vec<TenantView>,
    /// Ledger that the response comes from; never 0.
    #[serde(rename = "l")]
    pub ledger: u64,
    /// Whether tenants that are not named are known not to be near their limit.
    #[serde(rename = "c")]
    pub complete: bool,
}

/// Fraction of the quota below which what is left is near 0.
const NEAR_LEFT: f64 = 0.2;

/// Fraction of the quota above which demand is near the limit.
const NEAR_DEMAND: f64 = 0.8;

/// Fraction of a quota that is reserved, and requests that are deducted from the reserve: when demand
/// jumps, nodes admit up to a second of the tenant's rate too much before they receive a new view.
const RESERVED_FRACTION: f64 = 0.09;
const RESERVE_DEDUCTION: f64 = 5.0;

/// Requests that a tenant may have admitted in a span.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Quota {
    /// Requests in each span.
    pub(crate) requests: f64,
    span: Duration,
}

impl Quota {
    pub(crate) fn new(limit: &RateLimit, span: Duration) -> Self {
        let total = limit.per_second * span.as_secs_f64() + limit.burst;
        let reserve = (total * RESERVED_FRACTION - RESERVE_DEDUCTION).max(0.0);
        Self {
            requests: total - reserve,
            span,
        }
    }

    /// Returns the mean rate, in requests per second.
    pub(crate) fn mean(&self) -> f64 {
        self.requests / self.span.as_secs_f64()
    }

    /// Returns the least that is left where a tenant is not near its limit: at least one request, if
    /// the quota holds one.
    pub(crate) fn min_left(&self) -> f64 {
        (self.requests * NEAR_LEFT).max(self.requests.min(1.0))
    }

    /// Returns the highest demand of a tenant that is not near its limit, in requests per second.
    pub(crate) fn max_demand(&self) -> f64 {
        self.mean() * NEAR_DEMAND
    }

    /// Returns whether a tenant has to be named to all nodes.
    pub(crate) fn is_near(&self, left: f64, demand: f64) -> bool {
        left < self.min_left() || demand > self.max_demand()
    }
}
