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
use firshore_adapter::decode::log_name;
use firshore_adapter::incarnation::BackendName;
use firshore_adapter::objects::{Change, Object};
use firshore_gateway::freshness::Freshness;
use firshore_gateway::gateway::Gateway;
use firshore_types::ids::ZoneName;
use slog::{info, warn};
use std::cell::RefCell;
use std::collections::{BTreeSet, HashSet};
use std::rc::Rc;
use std::time::Duration;

/// Maximum number of changes in one update that are logged each. Larger updates come from a start or a loss of many
/// back ends, which all nodes see: one line tells their number.
const MAX_LOGGED_CHANGES: usize = 16;

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
    /// Present if the operators may drain zones.
    zone_drains: Option<RelayedKind>,
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
            zone_drains: objects.zone_drain_bound().map(|bound| {
                let budget = FreshnessBudget::new(bound);
                RelayedKind {
                    name: decoder.zone_drain_kind().to_owned(),
                    options: relay_options(objects, budget, budget.relay_spacing()),
                    budget,
                }
            }),
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
        let mut kinds = vec![self.backends, self.configuration];
        kinds.extend(self.zone_drains);
        kinds
    }
}

/// Watches back ends and the configuration through relays until the tasks are dropped. Queries the object store
/// itself if the relays don't respond in time.
pub fn follow(
    gateway: &Rc<Gateway>,
    objects: &Objects,
    make_client: impl Fn() -> RelayClient,
) -> Vec<Task> {
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
    let mut tasks = vec![Task::spawn(backends), Task::spawn(configuration)];
    if let Some(kind) = kinds.zone_drains {
        gateway.follow_zone_drains();
        let applier = ZoneDrainApplier::new(gateway);
        let zone_drains = watcher::follow(watcher(kind, &freshness.zone_drains), move |update| {
            applier.apply(update);
        });
        tasks.push(Task::spawn(zone_drains));
    }
    tasks
}

/// Applies drains of zones to the gateway.
struct ZoneDrainApplier {
    gateway: Rc<Gateway>,
    drained: RefCell<HashSet<ZoneName>>,
}

impl ZoneDrainApplier {
    fn new(gateway: &Rc<Gateway>) -> Self {
        Self {
            gateway: gateway.clone(),
            drained: RefCell::default(),
        }
    }

    fn apply(&self, update: ObjectUpdate) {
        let mut drained = self.drained.borrow_mut();
        match update {
            ObjectUpdate::All(objects) => {
                let zones = objects.into_iter().map(|object| ZoneName(object.name));
                *drained = zones.collect();
            }
            ObjectUpdate::Changed(changes) => {
                for change in changes {
                    match change {
                        Change::Written(object) => drained.insert(ZoneName(object.name)),
                        Change::Removed(name) => drained.remove(&ZoneName(name)),
                    };
                }
            }
        }
        let zones: BTreeSet<&str> = drained.iter().map(ZoneName::as_str).collect();
        info!(self.gateway.log, "fleet: Drained zones changed."; "zones" => ?zones);
        self.gateway.set_drained_zones(drained.clone());
    }
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
                let log_each = changes.len() <= MAX_LOGGED_CHANGES;
                if !log_each {
                    let removed = changes
                        .iter()
                        .filter(|change| matches!(change, Change::Removed(_)));
                    info!(self.gateway.log, "fleet: Many back ends changed.";
                        "count" => changes.len(), "removed" => removed.count());
                }
                for change in changes {
                    self.apply_backend(change, log_each);
                }
            }
        }
    }

    fn apply_backend(&self, change: Change, log: bool) {
        let gateway = &self.gateway;
        match change {
            Change::Removed(name) => {
                if log {
                    info!(gateway.log, "fleet: Back end removed."; "backend" => log_name(&name));
                }
                self.refusals.borrow_mut().forget(&name);
                gateway.remove_backend(&BackendName::from(name));
            }
            Change::Written(object) => match self.decode_backend(&object) {
                Some(backend) => {
                    if log {
                        info!(gateway.log, "fleet: Back end updated.";
                            "backend" => %backend.incarnation, "service" => %backend.service,
                            "software" => backend.software.as_ref().map(ToString::to_string),
                            "leaving" => backend.leaving, "revision" => object.revision);
                    }
                    gateway.upsert_backend(backend);
                }
                // The former entry is no longer valid: requests could go to a back end of another service.
                None => {
                    let name = BackendName::from(object.name);
                    gateway.remove_backend(&name);
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
                    warn!(self.gateway.log, "fleet: Back end unusable."; "backend" => log_name(&object.name),
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
