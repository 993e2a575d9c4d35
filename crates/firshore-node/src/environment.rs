//! What a node learns from the environment's objects: back ends and the configuration.

use crate::observation::{Learned, Terms};
use crate::relay::RelayedKind;
use crate::relay::store::{RelayAsker, RelayedStore};
use crate::settings::Objects;
use crate::task::Task;
use crate::watcher::{self, Watcher};
use firshore_adapter::backend::Incarnation;
use firshore_adapter::objects::{Change, Object, ObjectStore};
use firshore_gateway::belief::Belief;
use firshore_gateway::gateway::Gateway;
use slog::{info, warn};
use std::rc::Rc;
use std::time::Duration;

/// Pause after a change of the back ends. One that leaves must get nothing new within two seconds.
const BACKEND_SPACING: Duration = Duration::from_millis(1_200);

/// The same for a relay: there are few of them, and what they learn is passed on once more.
const RELAY_SPACING: Duration = Duration::from_millis(600);

/// Pause after a change of the configuration: none, as each has to be in force everywhere at once.
const CONFIGURATION_SPACING: Duration = Duration::ZERO;

/// Terms on which a kind is observed.
pub fn terms(objects: &Objects, spacing: Duration) -> Terms {
    Terms {
        history: Duration::from_secs_f64(objects.history_seconds),
        spacing,
    }
}

/// What nodes follow in the store, and on which terms.
pub struct FollowedKinds {
    backends: RelayedKind,
    configuration: RelayedKind,
}

impl FollowedKinds {
    /// The kinds as an environment names them.
    pub fn new(gateway: &Gateway, objects: &Objects) -> Self {
        let decoder = &gateway.adapter.decoder;
        Self {
            backends: RelayedKind {
                name: decoder.backend_kind().to_owned(),
                terms: terms(objects, BACKEND_SPACING),
            },
            configuration: RelayedKind {
                name: decoder.configuration_kind().to_owned(),
                terms: terms(objects, CONFIGURATION_SPACING),
            },
        }
    }

    /// Returns the kinds that relays pass on.
    pub fn relayed(self) -> Vec<RelayedKind> {
        let mut kinds = vec![self.backends, self.configuration];
        for kind in &mut kinds {
            kind.terms.spacing = kind.terms.spacing.min(RELAY_SPACING);
        }
        kinds
    }
}

/// Follows back ends and the configuration in the store itself until the tasks are dropped.
pub fn follow(gateway: &Rc<Gateway>, objects: &Objects) -> [Task; 2] {
    let kinds = FollowedKinds::new(gateway, objects);
    let store = gateway.adapter.objects.clone();
    follow_in(gateway, kinds, store.clone(), store)
}

/// Follows back ends and the configuration through relays until the tasks are dropped; the store itself
/// is asked where there are none.
pub fn follow_relayed(
    gateway: &Rc<Gateway>,
    objects: &Objects,
    asker: impl Fn() -> RelayAsker,
) -> [Task; 2] {
    let mut kinds = FollowedKinds::new(gateway, objects);
    let relayed = |kind: &mut RelayedKind, belief: &Rc<Belief>| {
        let direct = gateway.adapter.objects.clone();
        let spacing = std::mem::take(&mut kind.terms.spacing);
        RelayedStore::new(asker(), direct, spacing, belief.clone())
    };
    let beliefs = &gateway.beliefs;
    let backends = relayed(&mut kinds.backends, &beliefs.backends);
    let configuration = relayed(&mut kinds.configuration, &beliefs.configuration);
    follow_in(gateway, kinds, backends, configuration)
}

fn follow_in(
    gateway: &Rc<Gateway>,
    kinds: FollowedKinds,
    backend_store: Rc<dyn ObjectStore>,
    configuration_store: Rc<dyn ObjectStore>,
) -> [Task; 2] {
    let watcher = |store: Rc<dyn ObjectStore>, kind: RelayedKind| Watcher {
        log: gateway.log.clone(),
        store,
        kind: kind.name,
        terms: kind.terms,
        renewal: Rc::default(),
    };
    let for_backends = gateway.clone();
    let backends = watcher::follow(watcher(backend_store, kinds.backends), move |learned| {
        learn_backends(&for_backends, learned);
    });
    let for_configuration = gateway.clone();
    let configuration = watcher::follow(
        watcher(configuration_store, kinds.configuration),
        move |learned| learn_configuration(&for_configuration, learned),
    );
    [Task::spawn(backends), Task::spawn(configuration)]
}

fn learn_backends(gateway: &Gateway, learned: Learned) {
    match learned {
        Learned::All(objects) => {
            let decoded = objects
                .iter()
                .map(|object| gateway.adapter.decoder.backend(object));
            let backends = decoded.filter_map(|backend| match backend {
                Ok(backend) => Some(backend),
                Err(error) => {
                    warn!(gateway.log, "fleet: Back end unusable."; "reason" => %error);
                    None
                }
            });
            let backends: Vec<_> = backends.collect();
            info!(gateway.log, "fleet: Back ends listed."; "count" => backends.len());
            gateway.fleet.borrow_mut().replace(backends);
        }
        Learned::Changed(changes) => {
            for change in changes {
                learn_backend(gateway, change);
            }
        }
    }
}

fn learn_backend(gateway: &Gateway, change: Change) {
    match change {
        Change::Removed(name) => {
            info!(gateway.log, "fleet: Back end gone."; "backend" => &name);
            gateway.fleet.borrow_mut().remove(&Incarnation(name));
        }
        Change::Written(object) => match gateway.adapter.decoder.backend(&object) {
            Ok(backend) => {
                info!(gateway.log, "fleet: Back end listed."; "backend" => %backend.incarnation,
                    "service" => %backend.service, "leaving" => backend.leaving,
                    "revision" => object.revision);
                gateway.fleet.borrow_mut().upsert(backend);
            }
            Err(error) => warn!(gateway.log, "fleet: Back end unusable."; "reason" => %error),
        },
    }
}

fn learn_configuration(gateway: &Gateway, learned: Learned) {
    let written: Vec<Object> = match learned {
        Learned::All(objects) => objects,
        Learned::Changed(changes) => changes
            .into_iter()
            .filter_map(|change| match change {
                Change::Written(object) => Some(object),
                Change::Removed(_) => None,
            })
            .collect(),
    };
    let name = gateway.adapter.decoder.configuration_name();
    for object in written.iter().filter(|object| object.name == name) {
        match gateway.adapter.decoder.configuration(object) {
            Ok(configuration) => gateway.configure(configuration),
            Err(error) => warn!(gateway.log, "configuration: Refused."; "reason" => %error),
        }
    }
}
