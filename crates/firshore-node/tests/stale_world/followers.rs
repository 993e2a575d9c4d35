//! Followers: nodes that follow both kinds through relays.

use super::machines::{Task, watch_options};
use super::process::Process;
use super::store_access::LocalStore;
use super::{KINDS, log};
use firshore_adapter::objects::{Change, Object};
use firshore_node::journal::PeerClient;
use firshore_node::journal::registry::Registry;
use firshore_node::list_watch::ObjectUpdate;
use firshore_node::relay::budget::FreshnessBudget;
use firshore_node::relay::client::RelayClient;
use firshore_node::relay::store::RelayedStore;
use firshore_node::watcher::{self, Watcher};
use std::cell::RefCell;
use std::collections::{BTreeMap, HashSet};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Names of objects that were removed.
pub type RemovedNames = Rc<RefCell<HashSet<String>>>;

/// A follower's view: the number in each object, by kind and name.
struct ObjectView {
    numbers: BTreeMap<&'static str, BTreeMap<String, u64>>,
    removed: RemovedNames,
    /// Names of removed objects that the follower has dropped; none of them may return.
    dropped: HashSet<String>,
    /// The first return to an older state.
    regression: Option<String>,
}

impl ObjectView {
    fn new(removed: &RemovedNames) -> Self {
        Self {
            numbers: BTreeMap::new(),
            removed: removed.clone(),
            dropped: HashSet::new(),
            regression: None,
        }
    }

    fn number(&self, kind: &str, name: &str) -> Option<u64> {
        let numbers = self.numbers.get(kind)?;
        numbers.get(name).copied()
    }

    fn insert(&mut self, kind: &'static str, object: Object) {
        let number = object.spec["number"].as_u64().expect("a number");
        if self.dropped.contains(&object.name) {
            let regression = format!("dropped {} of {kind} and received it again", object.name);
            self.regression.get_or_insert(regression);
        }
        let numbers = self.numbers.entry(kind).or_default();
        let before = numbers.get(&object.name).copied().unwrap_or(0);
        if number < before {
            let name = &object.name;
            let regression = format!("had {name} of {kind} at {before} and returned to {number}");
            self.regression.get_or_insert(regression);
        }
        numbers.insert(object.name, number);
    }

    fn remove(&mut self, kind: &'static str, name: &str) {
        match self.removed.borrow().contains(name) {
            true => {
                self.dropped.insert(name.to_owned());
            }
            false => {
                let regression = format!("lost {name} of {kind}, which was not removed");
                self.regression.get_or_insert(regression);
            }
        }
        if let Some(numbers) = self.numbers.get_mut(kind) {
            numbers.remove(name);
        }
    }

    fn apply(&mut self, kind: &'static str, update: ObjectUpdate) {
        match update {
            ObjectUpdate::All(objects) => {
                let names = self.numbers.get(kind).into_iter().flat_map(BTreeMap::keys);
                let removed_names =
                    names.filter(|name| objects.iter().all(|one| one.name != **name));
                let removed_names: Vec<String> = removed_names.cloned().collect();
                removed_names
                    .iter()
                    .for_each(|name| self.remove(kind, name));
                objects.into_iter().for_each(|one| self.insert(kind, one));
            }
            ObjectUpdate::Changed(changes) => {
                for change in changes {
                    match change {
                        Change::Written(object) => self.insert(kind, object),
                        Change::Removed(name) => self.remove(kind, &name),
                    }
                }
            }
        }
    }
}

/// A node that follows both kinds through relays.
pub struct Follower {
    pub name: String,
    pub local_store: Rc<LocalStore>,
    pub process: Rc<Process>,
    started_at: Instant,
    view: Rc<RefCell<ObjectView>>,
    _tasks: [Task; 2],
}

impl Follower {
    /// Starts a follower in a zone, with its access to the store and its client for relays.
    pub fn start(
        name: String,
        zone: usize,
        local_store: Rc<LocalStore>,
        peers: PeerClient,
        budget: FreshnessBudget,
        removed: &RemovedNames,
    ) -> Self {
        let process = local_store.process().clone();
        let registry = Rc::new(Registry::new(local_store.clone(), log()));
        let view = Rc::new(RefCell::new(ObjectView::new(removed)));
        let tasks = KINDS.map(|kind| {
            let client = RelayClient {
                node: name.as_str().into(),
                zone: format!("z{zone}").as_str().into(),
                registry: registry.clone(),
                peers: peers.clone(),
                log: log(),
                on_contact: Rc::new(|_, _| {}),
                excluded: RefCell::default(),
            };
            let watcher = Watcher {
                log: log(),
                store: RelayedStore::new(client, local_store.clone(), budget, Rc::default()),
                kind: kind.to_owned(),
                options: watch_options(Duration::ZERO),
                renewal: Rc::default(),
            };
            let updated_view = view.clone();
            let apply = move |update| updated_view.borrow_mut().apply(kind, update);
            let runner = process.clone();
            let task = async move { runner.run(watcher::follow(watcher, apply)).await };
            Task::spawn(task)
        });
        Self {
            name,
            local_store,
            process,
            started_at: Instant::now(),
            view,
            _tasks: tasks,
        }
    }

    /// Returns whether the follower has run, with access to the store, for at least `span`.
    pub fn connected_for(&self, span: Duration) -> bool {
        let is_running = self.started_at.elapsed() >= span && self.process.running_for(span);
        is_running && self.local_store.open_for(span)
    }

    /// Returns whether the follower has the object at this number or a later one, or has dropped it after its
    /// removal.
    pub fn has_received(&self, kind: &str, name: &str, number: u64) -> bool {
        let view = self.view.borrow();
        match view.number(kind, name) {
            Some(current) => current >= number,
            None => view.removed.borrow().contains(name),
        }
    }

    /// Returns whether the follower has the object, at any number.
    pub fn has_object(&self, kind: &str, name: &str) -> bool {
        self.view.borrow().number(kind, name).is_some()
    }

    pub fn regression(&self) -> Option<String> {
        self.view.borrow().regression.clone()
    }
}
