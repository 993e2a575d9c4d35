//! Watches that only the journal's leader runs. Calls to the store are expensive, and followers
//! read what they need when they become the leader.

use super::Journal;
use super::registry::KIND;
use super::retirement::Retirements;
use crate::environment;
use crate::list_watch::WatchOptions;
use crate::relay::client::RelayClient;
use crate::settings::Objects;
use crate::task::Task;
use crate::watcher::{self, Watcher};
use firshore_gateway::gateway::Gateway;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

/// Interval between checks while nothing changes.
const INTERVAL: Duration = Duration::from_millis(500);

/// Wait after a change of the nodes or of the requests to drain some.
const CHANGE_SPACING: Duration = Duration::from_millis(500);

/// Maximum wait of a watch, so that a lost one is noticed: 24 calls per minute in all.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(5);

/// Watches of the leader.
pub struct LeaderTasks {
    /// Receives back ends and configuration.
    pub gateway: Rc<Gateway>,
    /// The journal that this node may lead.
    pub journal: Rc<Journal>,
    /// Receives the nodes to drain.
    pub retirements: Rc<Retirements>,
    /// Settings of the object store.
    pub objects: Objects,
    /// Creates clients of relays for back ends and the configuration; `None` where something else
    /// on this node follows these.
    ///
    /// A leader that watched the store directly would notice a partition only when its connection
    /// is closed, and run items at back ends that were removed meanwhile.
    pub relay_client: Option<RelayClientFactory>,
}

/// Creates a client of relays; one is needed for each kind.
pub type RelayClientFactory = Rc<dyn Fn() -> RelayClient>;

impl LeaderTasks {
    /// Starts and stops the watches with leadership, until the node ends.
    pub async fn run(self) {
        let mut changes = self.journal.replica.changes();
        let mut tasks: Vec<Task> = Vec::new();
        loop {
            let leads = self.journal.replica.status().leads;
            if leads && tasks.is_empty() {
                tasks = self.follow();
            }
            if !leads && !tasks.is_empty() {
                tasks.clear();
                self.discard();
            }
            let _ = timeout(INTERVAL, changes.changed()).await;
        }
    }

    fn follow(&self) -> Vec<Task> {
        let options = WatchOptions {
            max_wait: MAX_WATCH_WAIT,
            ..environment::watch_options(&self.objects, CHANGE_SPACING)
        };
        let store = &self.gateway.adapter.objects;
        let log = &self.gateway.log;
        let registry = self.journal.registry.clone();
        let watcher = |kind: &str| Watcher {
            log: log.clone(),
            store: store.clone(),
            kind: kind.to_owned(),
            options,
            renewal: Rc::default(),
        };
        let node_watch = watcher::follow(watcher(KIND), move |observed| registry.apply(observed));
        let (retirements, gateway) = (self.retirements.clone(), self.gateway.clone());
        let kind = self.gateway.adapter.decoder.retirement_kind();
        let retirement_watch = watcher::follow(watcher(kind), move |observed| {
            retirements.apply(&gateway.adapter, &gateway.log, observed);
        });
        let mut tasks = vec![Task::spawn(node_watch), Task::spawn(retirement_watch)];
        if let Some(relay_client) = &self.relay_client {
            let relay_client = relay_client.clone();
            tasks.extend(environment::follow(&self.gateway, &self.objects, || {
                relay_client()
            }));
        }
        tasks
    }

    /// Drops watched state, which must not be used once it is no longer updated.
    fn discard(&self) {
        self.retirements.stop_watching();
        if self.relay_client.is_some() {
            self.gateway.forget();
        }
    }
}
