//! Followers: nodes that learn of both kinds through relays.

use super::machines::{Task, terms};
use super::process::Process;
use super::ways::OwnStore;
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
pub type Removed = Rc<RefCell<HashSet<String>>>;

/// What a follower knows: the number in each object, by kind and name.
struct Knowledge {
    numbers: BTreeMap<&'static str, BTreeMap<String, u64>>,
    removed: Removed,
    /// Names of objects that were dropped, as they were removed: none of them may come back.
    dropped: HashSet<String>,
    /// What was taken back, if anything was.
    taken_back: Option<String>,
}

impl Knowledge {
    fn new(removed: &Removed) -> Self {
        Self {
            numbers: BTreeMap::new(),
            removed: removed.clone(),
            dropped: HashSet::new(),
            taken_back: None,
        }
    }

    fn number(&self, kind: &str, name: &str) -> Option<u64> {
        let known = self.numbers.get(kind)?;
        known.get(name).copied()
    }

    fn take(&mut self, kind: &'static str, object: Object) {
        let number = object.spec["number"].as_u64().expect("a number");
        if self.dropped.contains(&object.name) {
            let back = format!("dropped {} of {kind}, and had it again", object.name);
            self.taken_back.get_or_insert(back);
        }
        let known = self.numbers.entry(kind).or_default();
        let before = known.get(&object.name).copied().unwrap_or(0);
        if number < before {
            let name = &object.name;
            let back = format!("knew {name} of {kind} at {before} and went back to {number}");
            self.taken_back.get_or_insert(back);
        }
        known.insert(object.name, number);
    }

    fn lose(&mut self, kind: &'static str, name: &str) {
        match self.removed.borrow().contains(name) {
            true => {
                self.dropped.insert(name.to_owned());
            }
            false => {
                let back = format!("lost {name} of {kind}, which nobody removed");
                self.taken_back.get_or_insert(back);
            }
        }
        if let Some(known) = self.numbers.get_mut(kind) {
            known.remove(name);
        }
    }

    fn learn(&mut self, kind: &'static str, learned: ObjectUpdate) {
        match learned {
            ObjectUpdate::All(objects) => {
                let known = self.numbers.get(kind).into_iter().flat_map(BTreeMap::keys);
                let gone = known.filter(|name| objects.iter().all(|one| one.name != **name));
                let gone: Vec<String> = gone.cloned().collect();
                gone.iter().for_each(|name| self.lose(kind, name));
                objects.into_iter().for_each(|one| self.take(kind, one));
            }
            ObjectUpdate::Changed(changes) => {
                for change in changes {
                    match change {
                        Change::Written(object) => self.take(kind, object),
                        Change::Removed(name) => self.lose(kind, &name),
                    }
                }
            }
        }
    }
}

/// A node that follows both kinds through relays.
pub struct Follower {
    pub name: String,
    pub own: Rc<OwnStore>,
    pub process: Rc<Process>,
    started_at: Instant,
    knowledge: Rc<RefCell<Knowledge>>,
    _following: [Task; 2],
}

impl Follower {
    /// Starts one in a zone, with its way to the store and to relays.
    pub fn start(
        name: String,
        zone: usize,
        own: Rc<OwnStore>,
        peers: PeerClient,
        budget: FreshnessBudget,
        removed: &Removed,
    ) -> Self {
        let process = own.process().clone();
        let registry = Rc::new(Registry::new(own.clone(), log()));
        let knowledge = Rc::new(RefCell::new(Knowledge::new(removed)));
        let following = KINDS.map(|kind| {
            let asker = RelayClient {
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
                store: RelayedStore::new(asker, own.clone(), budget, Rc::default()),
                kind: kind.to_owned(),
                options: terms(Duration::ZERO),
                renewal: Rc::default(),
            };
            let learning = knowledge.clone();
            let learn = move |learned| learning.borrow_mut().learn(kind, learned);
            let running = process.clone();
            let following = async move { running.run(watcher::follow(watcher, learn)).await };
            Task::spawn(following)
        });
        Self {
            name,
            own,
            process,
            started_at: Instant::now(),
            knowledge,
            _following: following,
        }
    }

    /// Whether it has run and reached the store for so long.
    pub fn in_touch_for(&self, span: Duration) -> bool {
        let runs = self.started_at.elapsed() >= span && self.process.has_run_for(span);
        runs && self.own.open_for(span)
    }

    /// Whether it knows an object at this number or a later one, or has it no more since it was removed.
    pub fn knows(&self, kind: &str, name: &str, number: u64) -> bool {
        let knowledge = self.knowledge.borrow();
        match knowledge.number(kind, name) {
            Some(known) => known >= number,
            None => knowledge.removed.borrow().contains(name),
        }
    }

    /// Whether it has an object, at whatever number.
    pub fn has(&self, kind: &str, name: &str) -> bool {
        self.knowledge.borrow().number(kind, name).is_some()
    }

    pub fn taken_back(&self) -> Option<String> {
        self.knowledge.borrow().taken_back.clone()
    }
}
