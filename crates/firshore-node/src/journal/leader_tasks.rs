//! What only the leader of the journal follows: calls to the store are dear, and its followers
//! learn what they need when they lead.

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

/// Time between looks while nothing changes.
const INTERVAL: Duration = Duration::from_millis(500);

/// Pause after a change of the nodes or of the wishes to empty some.
const SPACING: Duration = Duration::from_millis(500);

/// Longest wait for a change of these, so that a swallowed watch is noticed: 24 calls a minute in all.
const LONGEST_WAIT: Duration = Duration::from_secs(5);

/// What a leader follows.
pub struct LeaderTasks {
    /// Back ends and configuration.
    pub gateway: Rc<Gateway>,
    /// The journal.
    pub journal: Rc<Journal>,
    /// Nodes that are to be emptied.
    pub retirements: Rc<Retirements>,
    /// The store.
    pub objects: Objects,
    /// Who asks relays for back ends and the configuration; `None` where something else on this node
    /// follows them.
    ///
    /// A leader that watched the store itself learned of a cut only when its connection was given up, 3 s
    /// later, and ran items at back ends that had left meanwhile.
    pub relay_client: Option<RelayClientFactory>,
}

/// Makes who asks relays, one for each kind.
pub type RelayClientFactory = Rc<dyn Fn() -> RelayClient>;

impl LeaderTasks {
    /// Runs until the node ends.
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
                self.forget();
            }
            let _ = timeout(INTERVAL, changes.changed()).await;
        }
    }

    fn follow(&self) -> Vec<Task> {
        let options = WatchOptions {
            max_wait: LONGEST_WAIT,
            ..environment::watch_options(&self.objects, SPACING)
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
        let nodes = watcher::follow(watcher(KIND), move |learned| registry.apply(learned));
        let (retirements, gateway) = (self.retirements.clone(), self.gateway.clone());
        let kind = self.gateway.adapter.decoder.retirement_kind();
        let wishes = watcher::follow(watcher(kind), move |learned| {
            retirements.apply(&gateway.adapter, &gateway.log, learned);
        });
        let mut tasks = vec![Task::spawn(nodes), Task::spawn(wishes)];
        if let Some(asker) = &self.relay_client {
            let asker = asker.clone();
            tasks.extend(environment::follow(&self.gateway, &self.objects, || {
                asker()
            }));
        }
        tasks
    }

    /// What is not followed any more must not be acted on.
    fn forget(&self) {
        self.retirements.unfollow();
        if self.relay_client.is_some() {
            self.gateway.forget();
        }
    }
}
