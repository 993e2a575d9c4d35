//! What a node learns from the environment's objects: back ends and the configuration.

use crate::list_watch::{IDLE_WAIT, ObjectUpdate, WatchOptions};
use crate::refusals::RefusalLog;
use crate::relay::RelayedKind;
use crate::relay::budget::FreshnessBudget;
use crate::relay::client::RelayClient;
use crate::relay::store::RelayedStore;
use crate::settings::Objects;
use crate::task::Task;
use crate::watcher::{self, Watcher};
use firshore_adapter::backend::Backend;
use firshore_adapter::incarnation::BackendName;
use firshore_adapter::objects::{Change, Object};
use firshore_gateway::freshness::Freshness;
use firshore_gateway::gateway::Gateway;
use slog::{info, warn};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

/// Terms on which a kind is observed.
pub fn watch_options(objects: &Objects, spacing: Duration) -> WatchOptions {
    WatchOptions {
        history: Duration::from_secs_f64(objects.history_seconds),
        spacing,
        creation_spacing: spacing * 2,
        max_wait: IDLE_WAIT,
    }
}

/// The same for a relay: what it knows must not grow older while everything is being created, and its watch
/// has to be answered now and then.
fn relay_terms(objects: &Objects, budget: FreshnessBudget, spacing: Duration) -> WatchOptions {
    WatchOptions {
        creation_spacing: spacing,
        max_wait: budget.watch_wait(),
        ..watch_options(objects, spacing)
    }
}

/// What nodes follow in the store, and how soon they must know of changes.
pub struct FollowedKinds {
    backends: RelayedKind,
    configuration: RelayedKind,
}

impl FollowedKinds {
    /// The kinds as an environment names them.
    pub fn new(gateway: &Gateway, objects: &Objects) -> Self {
        let decoder = &gateway.adapter.decoder;
        let backends = FreshnessBudget::new(objects.leaving_bound());
        let configuration = FreshnessBudget::new(objects.configuration_bound());
        Self {
            backends: RelayedKind {
                name: decoder.backend_kind().to_owned(),
                terms: relay_terms(objects, backends, backends.relay_spacing()),
                budget: backends,
            },
            // No pause after a change: each configuration has to be in force everywhere at once.
            configuration: RelayedKind {
                name: decoder.configuration_kind().to_owned(),
                terms: relay_terms(objects, configuration, Duration::ZERO),
                budget: configuration,
            },
        }
    }

    /// Returns the kinds that relays pass on.
    pub fn relayed(self) -> Vec<RelayedKind> {
        vec![self.backends, self.configuration]
    }
}

/// Follows back ends and the configuration through relays until the tasks are dropped; the store itself
/// is asked where they do not tell in time.
pub fn follow(
    gateway: &Rc<Gateway>,
    objects: &Objects,
    asker: impl Fn() -> RelayClient,
) -> [Task; 2] {
    let kinds = FollowedKinds::new(gateway, objects);
    let watcher = |kind: RelayedKind, belief: &Rc<Freshness>| {
        belief.limit_age(kind.budget.bound());
        let direct = gateway.adapter.objects.clone();
        Watcher {
            log: gateway.log.clone(),
            store: RelayedStore::new(asker(), direct, kind.budget, belief.clone()),
            kind: kind.name,
            // Relays pause after changes: what they tell is wanted at once.
            options: watch_options(objects, Duration::ZERO),
            renewal: Rc::default(),
        }
    };
    let beliefs = &gateway.freshness;
    let for_backends = Learner::new(gateway);
    let backends = watcher::follow(watcher(kinds.backends, &beliefs.backends), move |learned| {
        for_backends.learn_backends(learned);
    });
    let for_configuration = Learner::new(gateway);
    let configuration = watcher::follow(
        watcher(kinds.configuration, &beliefs.configuration),
        move |learned| for_configuration.learn_configuration(learned),
    );
    [Task::spawn(backends), Task::spawn(configuration)]
}

/// Takes in what is learned of one kind.
struct Learner {
    gateway: Rc<Gateway>,
    refusals: RefCell<RefusalLog>,
}

impl Learner {
    fn new(gateway: &Rc<Gateway>) -> Self {
        Self {
            gateway: gateway.clone(),
            refusals: RefCell::default(),
        }
    }

    fn learn_backends(&self, learned: ObjectUpdate) {
        match learned {
            ObjectUpdate::All(objects) => {
                let backends: Vec<Backend> =
                    objects.iter().filter_map(|one| self.backend(one)).collect();
                info!(self.gateway.log, "fleet: Back ends listed."; "count" => backends.len());
                self.gateway.replace_backends(backends);
            }
            ObjectUpdate::Changed(changes) => {
                for change in changes {
                    self.learn_backend(change);
                }
            }
        }
    }

    fn learn_backend(&self, change: Change) {
        let gateway = &self.gateway;
        match change {
            Change::Removed(name) => {
                info!(gateway.log, "fleet: Back end gone."; "backend" => &name);
                self.refusals.borrow_mut().forget(&name);
                gateway.fleet.borrow_mut().remove(&BackendName::from(name));
            }
            Change::Written(object) => match self.backend(&object) {
                Some(backend) => {
                    info!(gateway.log, "fleet: Back end listed."; "backend" => %backend.incarnation,
                        "service" => %backend.service, "leaving" => backend.leaving,
                        "revision" => object.revision);
                    gateway.upsert_backend(backend);
                }
                // What its entry said before holds no longer: requests would go where nobody says that a
                // back end of that service is.
                None => {
                    let name = BackendName::from(object.name);
                    gateway.fleet.borrow_mut().remove(&name);
                }
            },
        }
    }

    fn backend(&self, object: &Object) -> Option<Backend> {
        match self.gateway.adapter.decoder.backend(object) {
            Ok(backend) => {
                self.refusals.borrow_mut().forget(&object.name);
                Some(backend)
            }
            Err(error) => {
                if let Some(untold) = self.admit(object) {
                    warn!(self.gateway.log, "fleet: Back end unusable."; "backend" => &object.name,
                        "revision" => object.revision, "reason" => %error, "untold" => untold);
                }
                None
            }
        }
    }

    /// Returns how many refusals were not told, if this one is to be told.
    fn admit(&self, object: &Object) -> Option<u64> {
        let now = firshore_clock::now();
        let mut refusals = self.refusals.borrow_mut();
        refusals.admit(now, &object.name, object.revision)
    }

    fn learn_configuration(&self, learned: ObjectUpdate) {
        let written: Vec<Object> = match learned {
            ObjectUpdate::All(objects) => objects,
            ObjectUpdate::Changed(changes) => changes
                .into_iter()
                .filter_map(|change| match change {
                    Change::Written(object) => Some(object),
                    Change::Removed(_) => None,
                })
                .collect(),
        };
        let gateway = &self.gateway;
        let name = gateway.adapter.decoder.configuration_name();
        for object in written.iter().filter(|object| object.name == name) {
            match gateway.adapter.decoder.configuration(object) {
                Ok(configuration) => gateway.configure(configuration),
                // The former stays in force.
                Err(error) => {
                    if let Some(untold) = self.admit(object) {
                        warn!(gateway.log, "configuration: Refused."; "revision" => object.revision,
                            "reason" => %error, "untold" => untold);
                    }
                }
            }
        }
    }
}
