//! What nodes tell each other about tenants.

use firshore_adapter::tenant::RateLimit;
use firshore_types::ids::TenantName;
use serde::{Deserialize, Serialize};
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// A tenant, by a hash of its name, as tables and messages hold it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TenantDigest(pub u64);

impl From<&TenantName> for TenantDigest {
    fn from(name: &TenantName) -> Self {
        Self(xxh3_64(name.as_str().as_bytes()))
    }
}

/// What a node tells of one tenant.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct TenantUsage {
    /// Tenant.
    #[serde(rename = "t")]
    pub tenant: TenantDigest,
    /// Requests admitted since the node told last, less those that came to nothing.
    #[serde(rename = "a")]
    pub admitted: i32,
    /// Requests a second that are asked of the node, refused ones included.
    #[serde(rename = "d")]
    pub demand: f32,
    /// Part of that which is asked of nodes that have fallen silent, as a relay tells it.
    #[serde(rename = "s", default)]
    pub silent: f32,
    /// Requests admitted in the last span, of which only a ledger takes note that began meanwhile.
    #[serde(rename = "h", default)]
    pub recent: f32,
    /// Requests a second that are asked of all nodes, as the node was told last.
    #[serde(rename = "k")]
    pub known: f32,
    /// Rate that the node's configuration allows, in requests a second.
    #[serde(rename = "r")]
    pub rate: f32,
    /// Requests beyond that which it allows to be saved up.
    #[serde(rename = "b")]
    pub burst: f32,
}

/// What a node tells of all tenants that asked it a while ago.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct UsageReport {
    /// Version of the configuration that the limits stand in.
    #[serde(rename = "v")]
    pub version: u64,
    /// Ledger that the sender heard of last; 0: none.
    #[serde(rename = "l")]
    pub ledger: u64,
    /// Whether a relay tells it, of several nodes.
    #[serde(rename = "r", default)]
    pub relayed: bool,
    /// Tenants.
    #[serde(rename = "t")]
    pub tenants: Vec<TenantUsage>,
}

impl UsageReport {
    /// The report with which a node takes back what it told another before: that one is told no more, and
    /// must not keep the node's share as that of a silent one.
    pub fn retraction(&self) -> Self {
        let tenants = self.tenants.iter().map(|told| TenantUsage {
            admitted: 0,
            demand: 0.0,
            recent: 0.0,
            ..*told
        });
        Self {
            tenants: tenants.collect(),
            ..*self
        }
    }
}

/// What a node is told of one tenant.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct TenantView {
    /// Tenant.
    #[serde(rename = "t")]
    pub tenant: TenantDigest,
    /// Requests that may still be admitted at once; negative where more were than may.
    #[serde(rename = "l")]
    pub left: f32,
    /// Requests a second that become free next, as those before them are a span old.
    #[serde(rename = "n")]
    pub next: f32,
    /// Requests a second that are asked of all nodes.
    #[serde(rename = "d")]
    pub demand: f32,
}

/// What one tenant asks of all nodes, as far as its limit lets it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TenantDemand {
    /// Tenant.
    pub tenant: TenantDigest,
    /// Requests a second.
    pub per_second: f64,
}

/// What a node is told of all tenants.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct UsageResponse {
    /// The tenants that the node has told of, and all that are near their limit.
    #[serde(rename = "p")]
    pub pictures: Vec<TenantView>,
    /// The ledger that it comes from; never 0.
    #[serde(rename = "l")]
    pub ledger: u64,
    /// Whether a tenant that is not named is known not to be near its limit.
    #[serde(rename = "c")]
    pub complete: bool,
}

/// Part of what a tenant may ask in a span below which what is left is near its end.
const NEAR_LEFT: f64 = 0.2;

/// Part of what a tenant may ask beyond which what it asks is near its limit.
const NEAR_DEMAND: f64 = 0.8;

/// Part of what a tenant may ask that is kept back, and requests less that: where what it asks jumps, nodes
/// admit too much until they hear of it, by about a second of its rate.
const KEPT_BACK: f64 = 0.09;
const SMALL_ERROR: f64 = 5.0;

/// What a tenant may ask, and the span in which.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Quota {
    /// Requests in each span.
    pub(crate) requests: f64,
    span: Duration,
}

impl Quota {
    pub(crate) fn new(limit: &RateLimit, span: Duration) -> Self {
        let whole = limit.per_second * span.as_secs_f64() + limit.burst;
        let kept_back = (whole * KEPT_BACK - SMALL_ERROR).max(0.0);
        Self {
            requests: whole - kept_back,
            span,
        }
    }

    /// Requests a second, on average.
    pub(crate) fn mean(&self) -> f64 {
        self.requests / self.span.as_secs_f64()
    }

    /// What may be taken to be left where it is not near its end: a whole request, where it holds one.
    pub(crate) fn least_left(&self) -> f64 {
        (self.requests * NEAR_LEFT).max(self.requests.min(1.0))
    }

    /// What may be taken to be asked at most where that is not near the limit, in requests a second.
    pub(crate) fn most_demand(&self) -> f64 {
        self.mean() * NEAR_DEMAND
    }

    /// Returns whether a tenant has to be named to all nodes.
    pub(crate) fn is_near(&self, left: f64, demand: f64) -> bool {
        left < self.least_left() || demand > self.most_demand()
    }
}
