//! Calls between nodes and their connections.

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

/// Timeout of the product's client for a connect and for each step of the handshake.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Time after which the kernel closes a connection to a lost machine.
const KERNEL_TIMEOUT: Duration = Duration::from_secs(3);

/// The network between the nodes.
pub struct Network {
    /// Whether calls use simulated connections. Otherwise each call depends only on the machine's health.
    uses_connections: bool,
    relays: RefCell<Vec<Rc<RelayNode>>>,
    /// Number of outages of open connections.
    outages: watch::Sender<u64>,
}

/// A connection that is open or was open.
struct Connection {
    relay: Rc<RelayNode>,
    /// Number of times that the machine had gone dark when the connection opened.
    dark_count: u64,
    /// Whether calls on this connection get no response.
    unresponsive: Cell<bool>,
    closed: watch::Sender<bool>,
}

/// The outcome of a connect; `None` while it is in flight.
type PendingConnection = watch::Receiver<Option<Result<Rc<Connection>, ()>>>;

/// Connections of one machine to relays, by the relay's number.
struct PeerConnections {
    network: Rc<Network>,
    process: Rc<Process>,
    connections: RefCell<HashMap<usize, PendingConnection>>,
}

/// Returns the address that identifies a relay's machine; nothing listens there.
pub fn address(relay_number: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1 + relay_number as u16))
}

fn relay_number(address: SocketAddr) -> usize {
    usize::from(address.port()) - 1
}

impl Network {
    pub fn new(uses_connections: bool) -> Rc<Self> {
        Rc::new(Self {
            uses_connections,
            relays: RefCell::default(),
            outages: watch::Sender::new(0),
        })
    }

    pub fn add(&self, relay: Rc<RelayNode>) {
        self.relays.borrow_mut().push(relay);
    }

    /// Leaves calls in flight without a response. Simulated connections stay open and unresponsive until the
    /// kernel closes them; without them, later calls succeed.
    pub fn begin_outage(&self) {
        self.outages.send_modify(|count| *count += 1);
    }

    /// Returns a process's client for relays.
    pub fn client(self: &Rc<Self>, process: &Rc<Process>) -> PeerClient {
        let (peers, calls) = PeerClient::new();
        let clients = Rc::new(PeerConnections {
            network: self.clone(),
            process: process.clone(),
            connections: RefCell::default(),
        });
        let respond = move |address: SocketAddr, request: PeerRequest| {
            let clients = clients.clone();
            async move { clients.call(relay_number(address), request).await }.boxed_local()
        };
        actix_rt::spawn(client::serve_with(calls, respond));
        peers
    }
}

impl PeerConnections {
    async fn call(
        self: Rc<Self>,
        relay_number: usize,
        request: PeerRequest,
    ) -> Result<PeerResponse, PeerError> {
        let relay = self.network.relays.borrow()[relay_number].clone();
        let response = match self.network.uses_connections {
            true => match self.connection(relay_number, &relay).await {
                Ok(connection) => connection.call(request).await,
                Err(()) => Err(PeerError::NotSent),
            },
            false => self.call_directly(&relay, request).await,
        };
        self.process.wait_until_handled().await;
        response
    }

    async fn call_directly(
        &self,
        relay: &RelayNode,
        request: PeerRequest,
    ) -> Result<PeerResponse, PeerError> {
        let mut outages = self.network.outages.subscribe();
        tokio::select! {
            biased;
            _ = outages.changed() => pending().await,
            response = relay.call(request) => response,
        }
    }

    /// Returns the open connection, or waits for the connect in flight, or starts one.
    async fn connection(
        &self,
        relay_number: usize,
        relay: &Rc<RelayNode>,
    ) -> Result<Rc<Connection>, ()> {
        let current = self.connections.borrow().get(&relay_number).cloned();
        let current = current.filter(|opened| match &*opened.borrow() {
            None => true,
            Some(Ok(connection)) => !*connection.closed.borrow(),
            Some(Err(())) => false,
        });
        let mut opened = current.unwrap_or_else(|| {
            let opened = self.open(relay.clone());
            self.connections
                .borrow_mut()
                .insert(relay_number, opened.clone());
            opened
        });
        match opened.wait_for(Option::is_some).await {
            Ok(opened) => opened.clone().unwrap_or(Err(())),
            Err(_) => Err(()),
        }
    }

    fn open(&self, relay: Rc<RelayNode>) -> PendingConnection {
        let (connection_sender, opened) = watch::channel(None);
        let outages = self.network.outages.subscribe();
        actix_rt::spawn(async move {
            let connected = connect(&relay).await;
            let connection = connected.map(|()| Connection::new(relay));
            connection_sender.send_replace(Some(connection.clone()));
            if let Ok(connection) = connection {
                connection.close_when_lost(outages).await;
            }
        });
        opened
    }
}

/// Connects, with the handshake done by the machine's process. Packets to a dark machine are lost, so the connect
/// hangs even if the machine returns meanwhile.
async fn connect(relay: &RelayNode) -> Result<(), ()> {
    let handshake = async {
        sleep(LATENCY).await;
        match relay.health() {
            Health::Dark => return pending().await,
            Health::Reset => return Err(()),
            Health::Up | Health::Slow | Health::Stopped => relay.wait_until_running().await,
        }
        // The rest of the connect's round trip, and two round trips of the handshake.
        sleep(LATENCY * 5).await;
        match relay.health() {
            Health::Dark => pending().await,
            Health::Reset => Err(()),
            Health::Up | Health::Slow | Health::Stopped => Ok(()),
        }
    };
    timeout(CONNECT_TIMEOUT, handshake).await.unwrap_or(Err(()))
}

impl Connection {
    fn new(relay: Rc<RelayNode>) -> Rc<Self> {
        Rc::new(Self {
            dark_count: relay.dark_count(),
            relay,
            unresponsive: Cell::new(false),
            closed: watch::Sender::new(false),
        })
    }

    fn close(&self) {
        self.closed.send_replace(true);
    }

    /// Closes the connection once the machine's process is killed or the kernel considers the machine lost. A
    /// shorter dark period is detected by the next call.
    async fn close_when_lost(&self, mut outages: watch::Receiver<u64>) {
        let lost = async {
            while self.relay.wait_until_lost().await == Health::Dark {
                if timeout(KERNEL_TIMEOUT, self.relay.wait_until_back())
                    .await
                    .is_err()
                {
                    return;
                }
            }
        };
        tokio::select! {
            biased;
            _ = outages.changed() => {
                self.unresponsive.set(true);
                sleep(KERNEL_TIMEOUT).await;
                self.close();
            }
            () = lost => self.close(),
        }
    }

    async fn call(&self, request: PeerRequest) -> Result<PeerResponse, PeerError> {
        let relay = &self.relay;
        if relay.health() != Health::Dark && relay.dark_count() != self.dark_count {
            sleep(LATENCY * 2).await;
            self.close();
            return Err(PeerError::Unanswered);
        }
        let exchange = async {
            let response = match self.unresponsive.get() {
                true => pending().await,
                false => relay.call(request).await,
            };
            // The response is lost if an outage began or the machine went dark meanwhile.
            match self.unresponsive.get() || relay.dark_count() != self.dark_count {
                true => pending().await,
                false => response,
            }
        };
        let mut closed = self.closed.subscribe();
        tokio::select! {
            response = exchange => response,
            _ = closed.wait_for(|closed| *closed) => Err(PeerError::Unanswered),
        }
    }
}
