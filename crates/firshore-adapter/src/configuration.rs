//! The configuration that the data path uses.

use crate::route::RouteTable;
use crate::tenant::TenantTable;
use firshore_types::ids::ServiceName;
use std::collections::HashMap;
use std::time::Duration;

/// Settings of a service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Service {
    /// Maximum connections that one back end accepts from all nodes together; 0: unknown.
    pub connections_per_backend: u32,
    /// Concurrent requests of one back end, if configured.
    pub slots: Option<u32>,
    /// Requests per second that one cold back end may get from all nodes together; `None`: unlimited.
    pub cold_rate: Option<f64>,
}

/// Size and time limits on callers' requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request's head in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request's body in bytes.
    pub body_bytes: usize,
    /// Timeout for a request's head, from its first byte.
    pub head_timeout: Duration,
    /// Idle timeout of a connection.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// Everything that operators declare, at one version.
#[derive(Clone, Debug, Default)]
pub struct ServingConfiguration {
    /// Version; increases with every change.
    pub version: u64,
    /// Routes.
    pub routes: RouteTable,
    /// Services by name.
    pub services: HashMap<ServiceName, Service>,
    /// Limits on callers.
    pub limits: CallerLimits,
    /// Tenants; `None` where callers need no key.
    pub tenants: Option<TenantTable>,
}
