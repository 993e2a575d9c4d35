//! Tables that the node's workers and background tasks share.
//!
//! Lock order: `dissemination`, `floor`, `configuration`, `machine_list`, `machines`, `members`,
//! `admission`, `router`, `limits`. A thread that holds one takes only later ones, and none is held
//! across an await.

use crate::admission::Admission;
use crate::clock::Clock;
use crate::engine::cancellation::Canceller;
use crate::journal::{Journal, Leaders};
use crate::leaving::Leaving;
use crate::limits::LimitTables;
use crate::metrics::Metrics;
use crate::online_arrivals::OnlineArrivals;
use crate::peers::PeerClient;
use crate::settings::Settings;
use firshore_config::dissemination::Dissemination;
use firshore_config::floor::FloorGate;
use firshore_config::machine_list::MachineList;
use firshore_membership::membership::Membership;
use firshore_routing::retry_budget::RetryBudget;
use firshore_routing::router::Router;
use firshore_types::configuration::{Configuration, key_digest};
use firshore_types::declaration::{Metadata, PoolSpec, ServiceSpec, TenantSpec};
use firshore_types::machine::{Machine, MachineState};
use parking_lot::{Mutex, RwLock};
use slog::Logger;
use std::collections::HashMap;
use std::sync::Arc;

/// The configuration in force with indexes for the request path.
#[derive(Debug, Default)]
pub struct ConfigurationView {
    /// Declarations.
    pub configuration: Arc<Configuration>,
    /// Names of tenants by the digests of their keys.
    tenants_by_digest: HashMap<String, String>,
    /// Names of services by the models that they serve.
    services_by_model: HashMap<String, String>,
}

impl ConfigurationView {
    /// Indexes a configuration.
    pub fn new(configuration: Arc<Configuration>) -> Self {
        let mut tenants_by_digest = HashMap::new();
        for (metadata, spec) in configuration.tenants() {
            for digest in &spec.key_digests {
                tenants_by_digest.insert(digest.to_ascii_lowercase(), metadata.name.clone());
            }
        }
        let mut services_by_model = HashMap::new();
        for (metadata, spec) in configuration.services() {
            if let Some(model) = &spec.model {
                services_by_model.insert(model.clone(), metadata.name.clone());
            }
        }
        Self {
            configuration,
            tenants_by_digest,
            services_by_model,
        }
    }

    /// The tenant that holds `key`.
    pub fn tenant(&self, key: &str) -> Option<(&Metadata, &TenantSpec)> {
        let name = self.tenants_by_digest.get(&key_digest(key))?;
        self.configuration.tenant(name)
    }

    /// The service that serves `model`.
    pub fn service_of_model(&self, model: &str) -> Option<(&Metadata, &ServiceSpec)> {
        let name = self.services_by_model.get(model)?;
        self.configuration.service(name)
    }

    /// The service of this name.
    pub fn service(&self, name: &str) -> Option<(&Metadata, &ServiceSpec)> {
        self.configuration.service(name)
    }

    /// The pool of this name.
    pub fn pool(&self, name: &str) -> Option<(&Metadata, &PoolSpec)> {
        self.configuration.pool(name)
    }
}

/// Everything shared.
pub struct Shared {
    /// Settings.
    pub settings: Settings,
    /// Root of the log.
    pub log: Logger,
    /// Clock.
    pub clock: Clock,
    /// How the configuration in force moves forward.
    pub dissemination: Mutex<Dissemination>,
    /// Whether the node may serve.
    pub floor: Mutex<FloorGate>,
    /// The last change that this node refused, and why; held alone.
    pub refused_change: Mutex<Option<String>>,
    /// Configuration in force.
    pub configuration: RwLock<Arc<ConfigurationView>>,
    /// How the machine list is spread.
    pub machine_list: Mutex<MachineList>,
    /// Back ends from the machine list.
    pub machines: RwLock<Arc<Vec<Machine>>>,
    /// Nodes.
    pub members: Mutex<Membership>,
    /// Load, speed and health of back ends.
    pub router: Mutex<Router>,
    /// Requests that wait for a back end.
    pub admission: Admission,
    /// Shares of tenants' limits.
    pub limits: Mutex<LimitTables>,
    /// What retries may still be made; held alone.
    pub retry_budget: Mutex<RetryBudget>,
    /// Connections to peers.
    pub peers: PeerClient,
    /// Journal, where this node holds it.
    pub journal: Option<Journal>,
    /// Leaders of the journal's groups, as last seen.
    pub journal_leaders: Leaders,
    /// Cancels runs at engines.
    pub canceller: Canceller,
    /// Notices of online requests to the owners of their engines.
    pub online_arrivals: OnlineArrivals,
    /// The node's way out.
    pub leaving: Leaving,
    /// What is counted.
    pub metrics: Metrics,
}

impl Shared {
    /// The configuration in force.
    pub fn configuration(&self) -> Arc<ConfigurationView> {
        self.configuration.read().clone()
    }

    /// Live machines of a pool.
    pub fn pool_machines(&self, pool: &PoolSpec) -> Vec<Machine> {
        let machines = self.machines.read().clone();
        machines
            .iter()
            .filter(|machine| machine.state == MachineState::Live)
            .filter(|machine| pool.machines.matches(&machine.labels))
            .cloned()
            .collect()
    }
}
