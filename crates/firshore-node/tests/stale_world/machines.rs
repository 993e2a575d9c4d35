//! Relays and followers: the product's own code on machines that are lost, slow or stopped.

use super::ways::OwnStore;
use super::{KINDS, log};
use firshore_adapter::objects::{Change, Object};
use firshore_link::client::{self, PeerCalls, PeerError};
use firshore_node::journal::PeerClient;
use firshore_node::journal::messages::{PeerRequest, PeerResponse};
use firshore_node::journal::registry::Registry;
use firshore_node::observation::{CALM_WAIT, Learned, Terms};
use firshore_node::relay::asker::RelayAsker;
use firshore_node::relay::budget::FreshnessBudget;
use firshore_node::relay::store::RelayedStore;
use firshore_node::relay::{Announce, Relay, RelayedKind};
use firshore_node::watcher::{self, Watcher};
use firshore_stand_in::adapter::BACKENDS;
use futures_util::FutureExt;
use futures_util::future::pending;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

/// Time that a call between nodes takes each way.
const LATENCY: Duration = Duration::from_millis(2);

/// Time that a slow machine's answer takes.
const SLOWNESS: Duration = Duration::from_millis(300);

/// Age at which the store may forget changes, as the settings have it by default.
const HISTORY: Duration = Duration::from_secs(20);

/// How a machine is reached by others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    Up,
    /// Each answer takes longer.
    Slow,
    /// It stands still: answers come once it goes on.
    Stopped,
    /// It says nothing, and what it was asked is never answered.
    Dark,
    /// Calls fail at once.
    Reset,
}

/// A task that ends with the machine that it runs on.
struct Task(actix_rt::task::JoinHandle<()>);

impl Task {
    fn spawn(work: impl Future<Output = ()> + 'static) -> Self {
        Self(actix_rt::spawn(work))
    }
}

impl Drop for Task {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Pause of a relay after a change, as nodes in an environment have it: for back ends only.
fn relay_spacing(kind: &str, budget: FreshnessBudget) -> Duration {
    match kind {
        BACKENDS => budget.relay_spacing(),
        _ => Duration::ZERO,
    }
}

fn terms(spacing: Duration) -> Terms {
    Terms {
        history: HISTORY,
        spacing,
        creation_spacing: spacing,
        longest_wait: CALM_WAIT,
    }
}

/// Hands calls to the relays at their addresses.
pub async fn serve(
    calls: PeerCalls<PeerRequest, PeerResponse>,
    addresses: Vec<SocketAddr>,
    relays: Vec<Rc<RelayNode>>,
) {
    let answer = move |address: SocketAddr, request: PeerRequest| {
        let number = addresses.iter().position(|one| *one == address);
        let relay = relays[number.expect("a relay's address")].clone();
        async move { relay.ask(request).await }.boxed_local()
    };
    client::serve_with(calls, answer).await;
}

/// What runs on a relay's machine.
struct RelayProcess {
    relay: Rc<Relay>,
    _running: Task,
}

/// A relay's machine.
pub struct RelayNode {
    pub own: Rc<OwnStore>,
    peers: PeerClient,
    others: Vec<SocketAddr>,
    budget: FreshnessBudget,
    health: Rc<watch::Sender<Health>>,
    process: RefCell<Option<RelayProcess>>,
}

impl RelayNode {
    pub fn start(
        own: Rc<OwnStore>,
        peers: PeerClient,
        others: Vec<SocketAddr>,
        budget: FreshnessBudget,
    ) -> Rc<Self> {
        let node = Rc::new(Self {
            own,
            peers,
            others,
            budget,
            health: Rc::new(watch::Sender::new(Health::Up)),
            process: RefCell::new(None),
        });
        node.start_again();
        node
    }

    pub fn health(&self) -> Health {
        *self.health.borrow()
    }

    /// Has a machine whose process runs reached in this way.
    pub fn reached(&self, health: Health) {
        if self.process.borrow().is_some() {
            self.health.send_replace(health);
        }
    }

    /// Ends the process; the machine is reached in this way.
    pub fn end(&self, health: Health) {
        self.process.take();
        self.health.send_replace(health);
    }

    /// Starts the process anew: it knows nothing.
    pub fn start_again(&self) {
        let kinds = KINDS.map(|kind| RelayedKind {
            name: kind.to_owned(),
            terms: terms(relay_spacing(kind, self.budget)),
            budget: self.budget,
        });
        let relay = Relay::new(self.own.clone(), log(), kinds.to_vec(), self.announce());
        let process = RelayProcess {
            _running: Task::spawn(relay.clone().run()),
            relay,
        };
        self.process.replace(Some(process));
        self.reached(Health::Up);
    }

    fn relay(&self) -> Option<Rc<Relay>> {
        let process = self.process.borrow();
        process.as_ref().map(|process| process.relay.clone())
    }

    /// Tells the other relays of changes while the machine can.
    fn announce(&self) -> Announce {
        let (peers, others) = (self.peers.clone(), self.others.clone());
        let health = self.health.clone();
        Rc::new(move |kind, revision| {
            if !matches!(*health.borrow(), Health::Up | Health::Slow) {
                return;
            }
            for other in &others {
                let changed = PeerRequest::Changed {
                    kind: kind.to_owned(),
                    revision,
                };
                peers.notify(*other, changed);
            }
        })
    }

    async fn ask(&self, request: PeerRequest) -> Result<PeerResponse, PeerError> {
        sleep(LATENCY).await;
        let answer = tokio::select! {
            biased;
            health = self.lost() => match health {
                Health::Dark => return pending().await,
                _ => return Err(PeerError::NotSent),
            },
            answer = self.answer(request) => answer,
        };
        sleep(LATENCY).await;
        Ok(answer)
    }

    /// Returns how the machine is lost, once it is.
    async fn lost(&self) -> Health {
        let mut health = self.health.subscribe();
        let lost = |health: &Health| matches!(health, Health::Dark | Health::Reset);
        health
            .wait_for(lost)
            .await
            .map_or(Health::Dark, |health| *health)
    }

    async fn answer(&self, request: PeerRequest) -> PeerResponse {
        self.goes_on().await;
        let Some(relay) = self.relay() else {
            return pending().await;
        };
        let answer = match request {
            PeerRequest::List { kind, after, known } => {
                relay.list(&kind, after.as_deref(), known).await
            }
            PeerRequest::Watch { kind, known, wait } => {
                let wait = Duration::from_millis(wait);
                relay.watch(&kind, known, wait).await
            }
            PeerRequest::Changed { kind, revision } => {
                relay.heard(&kind, revision).await;
                return pending().await;
            }
            other => panic!("{other:?}"),
        };
        self.goes_on().await;
        if self.health() == Health::Slow {
            sleep(SLOWNESS).await;
        }
        answer
    }

    /// Ends once the machine does not stand still.
    async fn goes_on(&self) {
        let mut health = self.health.subscribe();
        let _ = health.wait_for(|health| *health != Health::Stopped).await;
    }
}

/// What a follower knows: the number in each object, by kind and name.
#[derive(Default)]
struct Knowledge {
    numbers: BTreeMap<(&'static str, String), u64>,
    /// What was taken back, if anything was.
    taken_back: Option<String>,
}

impl Knowledge {
    fn take(&mut self, kind: &'static str, object: Object) {
        let number = object.spec["number"].as_u64().expect("a number");
        let key = (kind, object.name);
        let before = self.numbers.get(&key).copied().unwrap_or(0);
        if number < before {
            let back = format!("knew {key:?} at {before} and went back to {number}");
            self.taken_back.get_or_insert(back);
        }
        self.numbers.insert(key, number);
    }

    fn lose(&mut self, kind: &'static str, name: &str) {
        let back = format!("lost {name} of {kind}, which nobody removed");
        self.taken_back.get_or_insert(back);
        self.numbers.remove(&(kind, name.to_owned()));
    }

    fn learn(&mut self, kind: &'static str, learned: Learned) {
        match learned {
            Learned::All(objects) => {
                let known = self.numbers.keys().filter(|(of, _)| *of == kind);
                let gone = known.filter(|(_, name)| objects.iter().all(|one| one.name != *name));
                let gone: Vec<String> = gone.map(|(_, name)| name.clone()).collect();
                gone.iter().for_each(|name| self.lose(kind, name));
                objects.into_iter().for_each(|one| self.take(kind, one));
            }
            Learned::Changed(changes) => {
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
    started_at: Instant,
    knowledge: Rc<RefCell<Knowledge>>,
    _following: [Task; 2],
}

impl Follower {
    pub fn start(
        number: usize,
        own: Rc<OwnStore>,
        peers: PeerClient,
        budget: FreshnessBudget,
    ) -> Self {
        let name = format!("f{number}");
        let registry = Rc::new(Registry::new(own.clone(), log()));
        let knowledge: Rc<RefCell<Knowledge>> = Rc::default();
        let following = KINDS.map(|kind| {
            let asker = RelayAsker {
                node: name.as_str().into(),
                zone: format!("z{}", number % 3).as_str().into(),
                registry: registry.clone(),
                peers: peers.clone(),
                log: log(),
                passed_over: RefCell::default(),
            };
            let watcher = Watcher {
                log: log(),
                store: RelayedStore::new(asker, own.clone(), budget, Rc::default()),
                kind: kind.to_owned(),
                terms: terms(Duration::ZERO),
                renewal: Rc::default(),
            };
            let learning = knowledge.clone();
            let learn = move |learned| learning.borrow_mut().learn(kind, learned);
            Task::spawn(watcher::follow(watcher, learn))
        });
        Self {
            name,
            own,
            started_at: Instant::now(),
            knowledge,
            _following: following,
        }
    }

    /// Whether it has run and reached the store for so long.
    pub fn in_touch_for(&self, span: Duration) -> bool {
        self.started_at.elapsed() >= span && self.own.open_for(span)
    }

    pub fn knows(&self, kind: &str, name: &str, number: u64) -> bool {
        let knowledge = self.knowledge.borrow();
        let known = knowledge.numbers.iter();
        let mut known = known.filter(|((of, one), _)| *of == kind && one == name);
        known.next().is_some_and(|(_, known)| *known >= number)
    }

    pub fn taken_back(&self) -> Option<String> {
        self.knowledge.borrow().taken_back.clone()
    }
}
