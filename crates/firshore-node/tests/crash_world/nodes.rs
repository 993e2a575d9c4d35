//! Simulated nodes and relays, and the network between them.

use super::backends::BackendPool;
use super::{FaultKind, World, ZONES, log, spawn};
use firshore_gateway::crash_monitor::{CrashCounters, CrashMonitor};
use firshore_gateway::fleet::Fleet;
use firshore_link::client::{self, PeerError};
use firshore_node::crash_exchange::CrashExchange;
use firshore_node::journal::PeerClient;
use firshore_node::journal::messages::{PeerRequest, PeerResponse};
use firshore_node::journal::registry::Registry;
use firshore_node::relay::ranking;
use firshore_stand_in::store::MemoryStore;
use firshore_types::ids::{NodeName, ZoneName};
use futures_util::FutureExt;
use futures_util::future::pending;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout};

/// One-way network latency.
const LATENCY: Duration = Duration::from_millis(2);

/// Interval between a node's queries to its relay, about as long as a relay holds a query.
const POLL_INTERVAL: Duration = Duration::from_millis(400);

/// Timeout of a query to a relay.
const POLL_TIMEOUT: Duration = Duration::from_millis(700);

/// Upper bound of a node's delay in following the store's listing, in milliseconds.
const MAX_LISTING_LAG_MS: u64 = 300;

/// Milliseconds between two faults, and the duration of one.
const FAULT_INTERVAL_MS: std::ops::Range<u64> = 1_500..5_000;
const FAULT_LENGTH_MS: std::ops::Range<u64> = 300..3_500;

/// Reachability of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    Up,
    /// Calls fail at once.
    Down,
    /// Calls get no response.
    Unresponsive,
}

/// Network between the nodes.
pub struct Network {
    relays: usize,
    pub nodes: RefCell<Vec<Rc<SimNode>>>,
    /// Zone that is isolated from the others.
    isolated_zone: Cell<Option<usize>>,
    pub calls: Cell<u64>,
    /// Time of the latest fault of a relay.
    relay_fault_at: Cell<Option<Instant>>,
}

/// Returns the address that identifies a node; no socket is opened.
pub fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1 + number as u16))
}

fn number(address: SocketAddr) -> usize {
    usize::from(address.port()) - 1
}

pub fn zone(number: usize) -> ZoneName {
    format!("z{}", number % ZONES).as_str().into()
}

fn name(number: usize) -> NodeName {
    format!("n{number}").as_str().into()
}

impl Network {
    pub fn new(relays: usize) -> Rc<Self> {
        Rc::new(Self {
            relays,
            nodes: RefCell::default(),
            isolated_zone: Cell::default(),
            calls: Cell::new(0),
            relay_fault_at: Cell::default(),
        })
    }

    fn is_separated(&self, one: usize, other: usize) -> bool {
        let isolated_zone = self.isolated_zone.get();
        isolated_zone.is_some_and(|zone| (one % ZONES == zone) != (other % ZONES == zone))
    }

    async fn call(
        self: Rc<Self>,
        from: usize,
        to: usize,
        request: PeerRequest,
    ) -> Result<PeerResponse, PeerError> {
        self.calls.set(self.calls.get() + 1);
        sleep(LATENCY).await;
        let peer = self.nodes.borrow()[to].clone();
        if self.is_separated(from, to) || peer.health.get() == Health::Unresponsive {
            return pending().await;
        }
        let monitor = peer.monitor();
        let (Health::Up, Some(monitor)) = (peer.health.get(), monitor) else {
            return Err(PeerError::NotSent);
        };
        let PeerRequest::Crashes(query) = request else {
            panic!("{request:?}");
        };
        let response = monitor.handle_request(&query);
        sleep(LATENCY).await;
        match self.is_separated(from, to) {
            true => pending().await,
            false => Ok(PeerResponse::Crashes(response)),
        }
    }
}

/// Monitor and tasks of a running node.
struct NodeProcess {
    monitor: Rc<CrashMonitor>,
    tasks: Vec<JoinHandle<()>>,
}

/// A simulated node or relay.
pub struct SimNode {
    pub number: usize,
    seed: u64,
    network: Rc<Network>,
    pool: Rc<BackendPool>,
    store: Rc<MemoryStore>,
    pub health: Cell<Health>,
    starts: Cell<u64>,
    process: RefCell<Option<NodeProcess>>,
    last_fault_at: Cell<Option<Instant>>,
}

impl SimNode {
    pub fn new(
        number: usize,
        seed: u64,
        network: &Rc<Network>,
        pool: &Rc<BackendPool>,
        store: &Rc<MemoryStore>,
    ) -> Rc<Self> {
        Rc::new(Self {
            number,
            seed,
            network: network.clone(),
            pool: pool.clone(),
            store: store.clone(),
            health: Cell::new(Health::Up),
            starts: Cell::new(0),
            process: RefCell::default(),
            last_fault_at: Cell::default(),
        })
    }

    pub fn monitor(&self) -> Option<Rc<CrashMonitor>> {
        let process = self.process.borrow();
        process.as_ref().map(|process| process.monitor.clone())
    }

    /// Stops the node; its state is lost.
    pub fn stop(&self) {
        if let Some(process) = self.process.take() {
            process.tasks.iter().for_each(JoinHandle::abort);
        }
    }

    pub fn start(&self) {
        self.stop();
        self.starts.set(self.starts.get() + 1);
        let epoch = self.seed << 24 | (self.number as u64) << 8 | self.starts.get();
        let fleet = Rc::new(RefCell::new(Fleet::new(zone(self.number))));
        let pool = self.pool.clone();
        let monitor = Rc::new(CrashMonitor::with_probe(
            log(),
            fleet.clone(),
            epoch,
            CrashCounters::default(),
            Rc::new(move |address| {
                let pool = pool.clone();
                async move {
                    sleep(LATENCY).await;
                    pool.is_refused(address)
                }
                .boxed_local()
            }),
        ));
        let registry = Rc::new(Registry::new(self.store.clone(), log()));
        let (node, zone) = (name(self.number), zone(self.number));
        let exchange = CrashExchange::new(
            node.clone(),
            zone.clone(),
            monitor.clone(),
            registry.clone(),
            self.peers(),
            log(),
        );
        let polls_relay = self.number >= self.network.relays;
        let mut tasks = vec![
            spawn(exchange.clone().run()),
            spawn(follow_listing(
                self.pool.clone(),
                fleet,
                self.seed + self.number as u64,
            )),
        ];
        if polls_relay {
            let network = self.network.clone();
            tasks.push(spawn(poll_relay(network, self.number, registry, exchange)));
        } else {
            // Relays read the registry once, before the first fault.
            tasks.push(spawn(async move {
                registry.refresh().await;
            }));
        }
        self.process.replace(Some(NodeProcess { monitor, tasks }));
    }

    fn peers(&self) -> PeerClient {
        let (peers, calls) = PeerClient::new();
        let (network, from) = (self.network.clone(), self.number);
        let handler = move |address: SocketAddr, request: PeerRequest| {
            network
                .clone()
                .call(from, number(address), request)
                .boxed_local()
        };
        spawn(client::serve_with(calls, handler));
        peers
    }

    /// Records a fault of the node; its sends aren't counted until it has settled.
    fn record_fault(&self) {
        self.last_fault_at.set(Some(Instant::now()));
        if self.number < self.network.relays {
            self.network.relay_fault_at.set(Some(Instant::now()));
        }
    }

    /// Returns whether the node runs and neither it nor a relay had a fault within the given time.
    pub fn is_settled(&self, propagation_bound: Duration) -> bool {
        let has_settled = |at: Instant| at.elapsed() >= propagation_bound;
        let relays_stable = self.network.relay_fault_at.get().is_none_or(has_settled);
        let is_running = self.health.get() == Health::Up && self.process.borrow().is_some();
        let any_isolated = self.network.isolated_zone.get().is_some();
        is_running
            && !any_isolated
            && relays_stable
            && self.last_fault_at.get().is_none_or(has_settled)
    }
}

/// Copies the store's listing into a node's fleet, with a delay.
async fn follow_listing(pool: Rc<BackendPool>, fleet: Rc<RefCell<Fleet>>, seed: u64) {
    let mut listing_version = pool.listing_version.subscribe();
    loop {
        fleet
            .borrow_mut()
            .replace(Instant::now().into_std(), pool.backends());
        if listing_version.changed().await.is_err() {
            return;
        }
        sleep(Duration::from_millis(seed * 37 % MAX_LISTING_LAG_MS)).await;
    }
}

/// Reads the cursor of the first relay that responds; in production, responses to other queries carry it.
async fn poll_relay(
    network: Rc<Network>,
    from: usize,
    registry: Rc<Registry>,
    exchange: Rc<CrashExchange>,
) {
    registry.refresh().await;
    loop {
        let order = ranking::order(&registry.candidates(), &zone(from), &name(from));
        for relay in order {
            let to = registry
                .address(&relay)
                .map(number)
                .expect("relays are listed");
            let query = async {
                sleep(LATENCY).await;
                let peer = network.nodes.borrow()[to].clone();
                if network.is_separated(from, to) || peer.health.get() == Health::Unresponsive {
                    return pending().await;
                }
                peer.monitor().map(|monitor| monitor.cursor())
            };
            if let Ok(Some(cursor)) = timeout(POLL_TIMEOUT, query).await {
                exchange.update_cursor(&relay, cursor);
                break;
            }
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Applies the scenario's fault repeatedly until the run is finished.
pub async fn run_faults(world: Rc<World>) {
    let relays = 0..world.scenario.relays;
    while !world.is_finished.get() && world.scenario.fault != FaultKind::None {
        world.sleep_random(FAULT_INTERVAL_MS).await;
        match world.scenario.fault {
            FaultKind::None => {}
            FaultKind::Restarts => {
                for _ in 0..5 {
                    let index = world.random_in(0..world.nodes.len() as u64) as usize;
                    let node = &world.nodes[index];
                    node.record_fault();
                    node.start();
                }
            }
            FaultKind::RelaysKilled => {
                apply_fault(&world, relays.clone(), Health::Down).await;
                relays
                    .clone()
                    .for_each(|number| world.nodes[number].start());
            }
            FaultKind::RelaysDark => {
                apply_fault(&world, relays.clone(), Health::Unresponsive).await
            }
            FaultKind::Pauses => {
                let first = world.random_in(0..world.nodes.len() as u64 - 5) as usize;
                apply_fault(&world, first..first + 5, Health::Unresponsive).await;
            }
            FaultKind::ZoneCut => {
                world.nodes.iter().for_each(|node| node.record_fault());
                world
                    .network
                    .isolated_zone
                    .set(Some(world.random_in(0..ZONES as u64) as usize));
                world.sleep_random(FAULT_LENGTH_MS).await;
                world.network.isolated_zone.set(None);
                world.nodes.iter().for_each(|node| node.record_fault());
            }
        }
    }
}

async fn apply_fault(world: &World, nodes: std::ops::Range<usize>, health: Health) {
    let set_health = |health: Health| {
        for number in nodes.clone() {
            let node = &world.nodes[number];
            node.record_fault();
            node.health.set(health);
            if health == Health::Down {
                node.stop();
            }
        }
    };
    set_health(health);
    world.sleep_random(FAULT_LENGTH_MS).await;
    set_health(Health::Up);
}
