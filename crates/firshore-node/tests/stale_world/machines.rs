//! Relays: the product's own code on machines that are lost, slow or stopped.

use super::ways::OwnStore;
use super::{KINDS, log};
use firshore_link::client::PeerError;
use firshore_node::journal::PeerClient;
use firshore_node::journal::messages::{PeerRequest, PeerResponse};
use firshore_node::list_watch::{IDLE_WAIT, WatchOptions};
use firshore_node::relay::budget::FreshnessBudget;
use firshore_node::relay::{Announce, Relay, RelayedKind};
use firshore_stand_in::adapter::BACKENDS;
use futures_util::future::pending;
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::sleep;

/// Time that a call between nodes takes each way.
pub const LATENCY: Duration = Duration::from_millis(2);

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
pub struct Task(actix_rt::task::JoinHandle<()>);

impl Task {
    pub fn spawn(work: impl Future<Output = ()> + 'static) -> Self {
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

pub fn terms(spacing: Duration) -> WatchOptions {
    WatchOptions {
        history: HISTORY,
        spacing,
        creation_spacing: spacing,
        max_wait: IDLE_WAIT,
    }
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
    /// How often the machine has gone dark.
    darkened: Cell<u64>,
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
            darkened: Cell::new(0),
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
            self.set_health(health);
        }
    }

    /// Ends the process; the machine is reached in this way.
    pub fn end(&self, health: Health) {
        self.process.take();
        self.set_health(health);
    }

    fn set_health(&self, health: Health) {
        let before = self.health.send_replace(health);
        if health == Health::Dark && before != Health::Dark {
            self.darkened.set(self.darkened.get() + 1);
        }
    }

    /// Returns how often the machine has gone dark.
    pub fn darkened(&self) -> u64 {
        self.darkened.get()
    }

    /// Starts the process anew: it knows nothing.
    pub fn start_again(&self) {
        let kinds = KINDS.map(|kind| RelayedKind {
            name: kind.to_owned(),
            options: WatchOptions {
                max_wait: self.budget.watch_wait(),
                ..terms(relay_spacing(kind, self.budget))
            },
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

    pub async fn ask(&self, request: PeerRequest) -> Result<PeerResponse, PeerError> {
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
    pub async fn lost(&self) -> Health {
        let mut health = self.health.subscribe();
        let lost = |health: &Health| matches!(health, Health::Dark | Health::Reset);
        health
            .wait_for(lost)
            .await
            .map_or(Health::Dark, |health| *health)
    }

    /// Ends once the machine is not dark.
    pub async fn is_back(&self) {
        let mut health = self.health.subscribe();
        let _ = health.wait_for(|health| *health != Health::Dark).await;
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
                relay.apply_hint(&kind, revision).await;
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
    pub async fn goes_on(&self) {
        let mut health = self.health.subscribe();
        let _ = health.wait_for(|health| *health != Health::Stopped).await;
    }
}
