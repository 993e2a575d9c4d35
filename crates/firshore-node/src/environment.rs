//! Applies the environment's objects to a node: back ends and the configuration.

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

/// Returns the options with which a kind is watched.
pub fn watch_options(objects: &Objects, spacing: Duration) -> WatchOptions {
    WatchOptions {
        history: Duration::from_secs_f64(objects.history_seconds),
        spacing,
        creation_spacing: spacing * 2,
        max_wait: IDLE_WAIT,
    }
}

/// Returns the options for a relay. Its copy must stay fresh while all objects are being created, and its watch
/// has to return within the freshness budget.
fn relay_options(objects: &Objects, budget: FreshnessBudget, spacing: Duration) -> WatchOptions {
    WatchOptions {
        creation_spacing: spacing,
        max_wait: budget.watch_wait(),
        ..watch_options(objects, spacing)
    }
}

/// Kinds of objects that nodes watch, with their freshness budgets.
pub struct FollowedKinds {
    backends: RelayedKind,
    configuration: RelayedKind,
}

impl FollowedKinds {
    /// Creates the kinds with the names that the environment's adapter uses.
    pub fn new(gateway: &Gateway, objects: &Objects) -> Self {
        let decoder = &gateway.adapter.decoder;
        let backends = FreshnessBudget::new(objects.leaving_bound());
        let configuration = FreshnessBudget::new(objects.configuration_bound());
        Self {
            backends: RelayedKind {
                name: decoder.backend_kind().to_owned(),
                options: relay_options(objects, backends, backends.relay_spacing()),
                budget: backends,
            },
            // No delay after a change: a new configuration has to take effect on all nodes at once.
            configuration: RelayedKind {
                name: decoder.configuration_kind().to_owned(),
                options: relay_options(objects, configuration, Duration::ZERO),
                budget: configuration,
            },
        }
    }

    /// Returns the kinds that relays distribute.
    pub fn relayed(self) -> Vec<RelayedKind> {
        vec![self.backends, self.configuration]
    }
}

/// Watches back ends and the configuration through relays until the tasks are dropped. Queries the object store
/// itself if the relays don't respond in time.
pub fn follow(
    gateway: &Rc<Gateway>,
    objects: &Objects,
    make_client: impl Fn() -> RelayClient,
) -> [Task; 2] {
    let kinds = FollowedKinds::new(gateway, objects);
    let watcher = |kind: RelayedKind, freshness: &Rc<Freshness>| {
        freshness.limit_age(kind.budget.bound());
        let direct = gateway.adapter.objects.clone();
        Watcher {
            log: gateway.log.clone(),
            store: RelayedStore::new(make_client(), direct, kind.budget, freshness.clone()),
            kind: kind.name,
            // Relays already delay and combine changes.
            options: watch_options(objects, Duration::ZERO),
            renewal: Rc::default(),
        }
    };
    let freshness = &gateway.freshness;
    let backend_applier = UpdateApplier::new(gateway);
    let backends = watcher::follow(
        watcher(kinds.backends, &freshness.backends),
        move |update| {
            backend_applier.apply_backends(update);
        },
    );
    let configuration_applier = UpdateApplier::new(gateway);
    let configuration = watcher::follow(
        watcher(kinds.configuration, &freshness.configuration),
        move |update| configuration_applier.apply_configuration(update),
    );
    [Task::spawn(backends), Task::spawn(configuration)]
}

/// Applies updates of one kind to the gateway.
struct UpdateApplier {
    gateway: Rc<Gateway>,
    refusals: RefCell<RefusalLog>,
}

impl UpdateApplier {
    fn new(gateway: &Rc<Gateway>) -> Self {
        Self {
            gateway: gateway.clone(),
            refusals: RefCell::default(),
        }
    }

    fn apply_backends(&self, update: ObjectUpdate) {
        match update {
            ObjectUpdate::All(objects) => {
                let backends: Vec<Backend> = objects
                    .iter()
                    .filter_map(|object| self.decode_backend(object))
                    .collect();
                info!(self.gateway.log, "fleet: Back ends listed."; "count" => backends.len());
                self.gateway.replace_backends(backends);
            }
            ObjectUpdate::Changed(changes) => {
                for change in changes {
                    self.apply_backend(change);
                }
            }
        }
    }

    fn apply_backend(&self, change: Change) {
        let gateway = &self.gateway;
        match change {
            Change::Removed(name) => {
                info!(gateway.log, "fleet: Back end removed."; "backend" => &name);
                self.refusals.borrow_mut().forget(&name);
                gateway.fleet.borrow_mut().remove(&BackendName::from(name));
            }
            Change::Written(object) => match self.decode_backend(&object) {
                Some(backend) => {
                    info!(gateway.log, "fleet: Back end updated."; "backend" => %backend.incarnation,
                        "service" => %backend.service, "leaving" => backend.leaving,
                        "revision" => object.revision);
                    gateway.upsert_backend(backend);
                }
                // The former entry is no longer valid: requests could go to a back end of another service.
                None => {
                    let name = BackendName::from(object.name);
                    gateway.fleet.borrow_mut().remove(&name);
                }
            },
        }
    }

    /// Decodes a back end, and logs the error if it can't be decoded.
    fn decode_backend(&self, object: &Object) -> Option<Backend> {
        match self.gateway.adapter.decoder.backend(object) {
            Ok(backend) => {
                self.refusals.borrow_mut().forget(&object.name);
                Some(backend)
            }
            Err(error) => {
                if let Some(suppressed) = self.should_log(object) {
                    warn!(self.gateway.log, "fleet: Back end unusable."; "backend" => &object.name,
                        "revision" => object.revision, "reason" => %error, "untold" => suppressed);
                }
                None
            }
        }
    }

    /// Returns the number of suppressed log lines if this refusal has to be logged.
    fn should_log(&self, object: &Object) -> Option<u64> {
        let now = firshore_clock::now();
        let mut refusals = self.refusals.borrow_mut();
        refusals.should_log(now, &object.name, object.revision)
    }

    fn apply_configuration(&self, update: ObjectUpdate) {
        let written: Vec<Object> = match update {
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
                // The former configuration stays in effect.
                Err(error) => {
                    if let Some(suppressed) = self.should_log(object) {
                        warn!(gateway.log, "configuration: Refused."; "revision" => object.revision,
                            "reason" => %error, "untold" => suppressed);
                    }
                }
            }
        }
    }
}
