//! Relays: the product's code on machines that may be lost, slow or stopped.

use super::store_access::LocalStore;
use super::{KINDS, log};
use firshore_link::client::PeerError;
use firshore_node::journal::PeerClient;
use firshore_node::journal::messages::{PeerRequest, PeerResponse};
use firshore_node::list_watch::{IDLE_WAIT, WatchOptions};
use firshore_node::relay::budget::FreshnessBudget;
use firshore_node::relay::{Announce, Relay, RelayedKind};
use firshore_node::stream_origins::StreamOrigins;
use firshore_stand_in::adapter::{BACKENDS, Plain};
use futures_util::future::pending;
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::sleep;

/// One-way latency of calls between nodes.
pub const LATENCY: Duration = Duration::from_millis(2);

/// Delay of a slow machine's responses.
const SLOW_RESPONSE: Duration = Duration::from_millis(300);

/// Age at which the store may drop changes, as in the default settings.
const HISTORY: Duration = Duration::from_secs(20);

/// How a machine responds to others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    Up,
    /// Responses are delayed.
    Slow,
    /// The machine is suspended and responds once it is resumed.
    Stopped,
    /// Calls never get a response, even after the machine is back.
    Dark,
    /// Calls fail at once.
    Reset,
}

/// A task that is aborted when dropped, with its machine.
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

/// Returns the minimum interval of a relay's watches after a change, as configured on nodes: for back ends only.
fn relay_spacing(kind: &str, budget: FreshnessBudget) -> Duration {
    match kind {
        BACKENDS => budget.relay_spacing(),
        _ => Duration::ZERO,
    }
}

pub fn watch_options(spacing: Duration) -> WatchOptions {
    WatchOptions {
        history: HISTORY,
        spacing,
        creation_spacing: spacing,
        max_wait: IDLE_WAIT,
    }
}

/// The process on a relay's machine.
struct RelayProcess {
    relay: Rc<Relay>,
    _task: Task,
}

/// A relay's machine.
pub struct RelayNode {
    pub local_store: Rc<LocalStore>,
    peers: PeerClient,
    others: Vec<SocketAddr>,
    budget: FreshnessBudget,
    health: Rc<watch::Sender<Health>>,
    /// Number of times that the machine has gone dark.
    dark_count: Cell<u64>,
    process: RefCell<Option<RelayProcess>>,
}

impl RelayNode {
    pub fn start(
        local_store: Rc<LocalStore>,
        peers: PeerClient,
        others: Vec<SocketAddr>,
        budget: FreshnessBudget,
    ) -> Rc<Self> {
        let node = Rc::new(Self {
            local_store,
            peers,
            others,
            budget,
            health: Rc::new(watch::Sender::new(Health::Up)),
            dark_count: Cell::new(0),
            process: RefCell::new(None),
        });
        node.restart();
        node
    }

    pub fn health(&self) -> Health {
        *self.health.borrow()
    }

    /// Sets the health if the machine's process is running.
    pub fn set_health_if_running(&self, health: Health) {
        if self.process.borrow().is_some() {
            self.set_health(health);
        }
    }

    /// Ends the process and sets the machine's health.
    pub fn end(&self, health: Health) {
        self.process.take();
        self.set_health(health);
    }

    fn set_health(&self, health: Health) {
        let before = self.health.send_replace(health);
        if health == Health::Dark && before != Health::Dark {
            self.dark_count.set(self.dark_count.get() + 1);
        }
    }

    /// Returns the number of times that the machine has gone dark.
    pub fn dark_count(&self) -> u64 {
        self.dark_count.get()
    }

    /// Starts a new process with an empty cache.
    pub fn restart(&self) {
        let kinds = KINDS.map(|kind| RelayedKind {
            name: kind.to_owned(),
            options: WatchOptions {
                max_wait: self.budget.watch_wait(),
                ..watch_options(relay_spacing(kind, self.budget))
            },
            budget: self.budget,
        });
        let relay = Relay::new(
            self.local_store.clone(),
            log(),
            kinds.to_vec(),
            self.announce(),
            StreamOrigins::new(Rc::new(Plain)),
        );
        let process = RelayProcess {
            _task: Task::spawn(relay.clone().run()),
            relay,
        };
        self.process.replace(Some(process));
        self.set_health_if_running(Health::Up);
    }

    fn relay(&self) -> Option<Rc<Relay>> {
        let process = self.process.borrow();
        process.as_ref().map(|process| process.relay.clone())
    }

    /// Returns a callback that notifies the other relays of changes while the machine is up or slow.
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

    pub async fn call(&self, request: PeerRequest) -> Result<PeerResponse, PeerError> {
        sleep(LATENCY).await;
        let response = tokio::select! {
            biased;
            health = self.wait_until_lost() => match health {
                Health::Dark => return pending().await,
                _ => return Err(PeerError::NotSent),
            },
            response = self.handle(request) => response,
        };
        sleep(LATENCY).await;
        Ok(response)
    }

    /// Waits until the machine is lost and returns its health.
    pub async fn wait_until_lost(&self) -> Health {
        let mut health = self.health.subscribe();
        let is_lost = |health: &Health| matches!(health, Health::Dark | Health::Reset);
        health
            .wait_for(is_lost)
            .await
            .map_or(Health::Dark, |health| *health)
    }

    /// Waits until the machine isn't dark.
    pub async fn wait_until_back(&self) {
        let mut health = self.health.subscribe();
        let _ = health.wait_for(|health| *health != Health::Dark).await;
    }

    async fn handle(&self, request: PeerRequest) -> PeerResponse {
        self.wait_until_running().await;
        let Some(relay) = self.relay() else {
            return pending().await;
        };
        let response = match request {
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
        self.wait_until_running().await;
        if self.health() == Health::Slow {
            sleep(SLOW_RESPONSE).await;
        }
        response
    }

    /// Waits until the machine isn't stopped.
    pub async fn wait_until_running(&self) {
        let mut health = self.health.subscribe();
        let _ = health.wait_for(|health| *health != Health::Stopped).await;
    }
}
