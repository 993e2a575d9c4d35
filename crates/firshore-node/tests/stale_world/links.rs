//! Calls between nodes, and the connections on which they go.

use super::machines::{Health, LATENCY, RelayNode};
use super::process::Process;
use firshore_link::client::{self, PeerError};
use firshore_node::journal::PeerClient;
use firshore_node::journal::messages::{PeerRequest, PeerResponse};
use futures_util::FutureExt;
use futures_util::future::pending;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// Time after which the product's client gives up a connect, and each step of the handshake.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Time after which the kernel ends a connection to a machine that vanished.
const KEPT: Duration = Duration::from_secs(3);

/// What lies between the nodes.
pub struct Network {
    /// Whether calls need connections. Without them, each call gets through as the machine is reached.
    connections: bool,
    relays: RefCell<Vec<Rc<RelayNode>>>,
    /// Counts how often what waits on open connections was lost.
    silences: watch::Sender<u64>,
}

/// A connection that is or was open.
struct Connection {
    relay: Rc<RelayNode>,
    /// How often the machine had gone dark when this was opened.
    darkened: u64,
    /// Nothing comes any more of what is sent here.
    silent: Cell<bool>,
    ended: watch::Sender<bool>,
}

/// What has become of a connect.
type Opened = watch::Receiver<Option<Result<Rc<Connection>, ()>>>;

/// Connections of one machine to relays.
struct Links {
    network: Rc<Network>,
    process: Rc<Process>,
    opened: RefCell<HashMap<usize, Opened>>,
}

/// A name for a relay's machine; nothing listens there.
pub fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1 + number as u16))
}

fn number(address: SocketAddr) -> usize {
    usize::from(address.port()) - 1
}

impl Network {
    pub fn new(connections: bool) -> Rc<Self> {
        Rc::new(Self {
            connections,
            relays: RefCell::default(),
            silences: watch::Sender::new(0),
        })
    }

    pub fn add(&self, relay: Rc<RelayNode>) {
        self.relays.borrow_mut().push(relay);
    }

    /// What waits on open connections is never answered. Where calls need connections, these stay open
    /// and silent until the kernel ends them; otherwise, calls from now on get through.
    pub fn fall_silent(&self) {
        self.silences.send_modify(|count| *count += 1);
    }

    /// How a process asks relays.
    pub fn client(self: &Rc<Self>, process: &Rc<Process>) -> PeerClient {
        let (peers, calls) = PeerClient::new();
        let links = Rc::new(Links {
            network: self.clone(),
            process: process.clone(),
            opened: RefCell::default(),
        });
        let answer = move |address: SocketAddr, request: PeerRequest| {
            let links = links.clone();
            async move { links.call(number(address), request).await }.boxed_local()
        };
        actix_rt::spawn(client::serve_with(calls, answer));
        peers
    }
}

impl Links {
    async fn call(
        self: Rc<Self>,
        number: usize,
        request: PeerRequest,
    ) -> Result<PeerResponse, PeerError> {
        let relay = self.network.relays.borrow()[number].clone();
        let answer = match self.network.connections {
            true => match self.connection(number, &relay).await {
                Ok(connection) => connection.call(request).await,
                Err(()) => Err(PeerError::NotSent),
            },
            false => self.call_anew(&relay, request).await,
        };
        self.process.takes_in().await;
        answer
    }

    async fn call_anew(
        &self,
        relay: &RelayNode,
        request: PeerRequest,
    ) -> Result<PeerResponse, PeerError> {
        let mut silences = self.network.silences.subscribe();
        tokio::select! {
            biased;
            _ = silences.changed() => pending().await,
            answer = relay.ask(request) => answer,
        }
    }

    /// Returns the connection that is open, or waits for the connect under way, or begins one.
    async fn connection(&self, number: usize, relay: &Rc<RelayNode>) -> Result<Rc<Connection>, ()> {
        let known = self.opened.borrow().get(&number).cloned();
        let known = known.filter(|opened| match &*opened.borrow() {
            None => true,
            Some(Ok(connection)) => !*connection.ended.borrow(),
            Some(Err(())) => false,
        });
        let mut opened = known.unwrap_or_else(|| {
            let opened = self.open(relay.clone());
            self.opened.borrow_mut().insert(number, opened.clone());
            opened
        });
        match opened.wait_for(Option::is_some).await {
            Ok(opened) => opened.clone().unwrap_or(Err(())),
            Err(_) => Err(()),
        }
    }

    fn open(&self, relay: Rc<RelayNode>) -> Opened {
        let (settle, opened) = watch::channel(None);
        let silences = self.network.silences.subscribe();
        actix_rt::spawn(async move {
            let connected = connect(&relay).await;
            let connection = connected.map(|()| Connection::new(relay));
            settle.send_replace(Some(connection.clone()));
            if let Ok(connection) = connection {
                connection.last(silences).await;
            }
        });
        opened
    }
}

/// Connects, and has the handshake done by the machine's process. What a dark machine was sent is lost:
/// the connect hangs also if the machine is back meanwhile.
async fn connect(relay: &RelayNode) -> Result<(), ()> {
    let reached = async {
        sleep(LATENCY).await;
        match relay.health() {
            Health::Dark => return pending().await,
            Health::Reset => return Err(()),
            Health::Up | Health::Slow | Health::Stopped => relay.goes_on().await,
        }
        // There and back: the connect, and two steps of the handshake.
        sleep(LATENCY * 5).await;
        match relay.health() {
            Health::Dark => pending().await,
            Health::Reset => Err(()),
            Health::Up | Health::Slow | Health::Stopped => Ok(()),
        }
    };
    timeout(CONNECT_TIMEOUT, reached).await.unwrap_or(Err(()))
}

impl Connection {
    fn new(relay: Rc<RelayNode>) -> Rc<Self> {
        Rc::new(Self {
            darkened: relay.darkened(),
            relay,
            silent: Cell::new(false),
            ended: watch::Sender::new(false),
        })
    }

    fn end(&self) {
        self.ended.send_replace(true);
    }

    /// Ends the connection once the machine's process is killed, or the kernel takes it for vanished.
    /// One that was dark for less is noticed with the next call.
    async fn last(&self, mut silences: watch::Receiver<u64>) {
        let vanished = async {
            while self.relay.lost().await == Health::Dark {
                if timeout(KEPT, self.relay.is_back()).await.is_err() {
                    return;
                }
            }
        };
        tokio::select! {
            biased;
            _ = silences.changed() => {
                self.silent.set(true);
                sleep(KEPT).await;
                self.end();
            }
            () = vanished => self.end(),
        }
    }

    async fn call(&self, request: PeerRequest) -> Result<PeerResponse, PeerError> {
        let relay = &self.relay;
        if relay.health() != Health::Dark && relay.darkened() != self.darkened {
            sleep(LATENCY * 2).await;
            self.end();
            return Err(PeerError::Unanswered);
        }
        let answered = async {
            let answer = match self.silent.get() {
                true => pending().await,
                false => relay.ask(request).await,
            };
            // It may have fallen silent meanwhile, or the machine was dark and has forgotten it.
            match self.silent.get() || relay.darkened() != self.darkened {
                true => pending().await,
                false => answer,
            }
        };
        let mut ended = self.ended.subscribe();
        tokio::select! {
            answer = answered => answer,
            _ = ended.wait_for(|ended| *ended) => Err(PeerError::Unanswered),
        }
    }
}
