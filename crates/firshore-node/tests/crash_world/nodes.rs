//! Nodes and relays, and the ways between them.

use super::backends::BackendPark;
use super::{Trouble, World, ZONES, log, spawn};
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

/// Time that a call between nodes takes each way.
const LATENCY: Duration = Duration::from_millis(2);

/// Time between questions of a node to its relay: what a relay holds a question for, about.
const POLL: Duration = Duration::from_millis(400);

/// Time in which a relay must answer such a question.
const POLL_TIMEOUT: Duration = Duration::from_millis(700);

/// Milliseconds after which a node knows what the store lists.
const LISTING_LAG: u64 = 300;

/// Milliseconds between two troubles, and that one lasts.
const BETWEEN: std::ops::Range<u64> = 1_500..5_000;
const LASTS: std::ops::Range<u64> = 300..3_500;

/// How a machine is reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    Up,
    /// Calls fail at once.
    Down,
    /// Nothing is answered.
    Dark,
}

/// What lies between nodes.
pub struct Network {
    relays: usize,
    pub nodes: RefCell<Vec<Rc<SimNode>>>,
    /// Zone that is cut off from the others.
    cut: Cell<Option<usize>>,
    pub calls: Cell<u64>,
    /// When a relay was disturbed last.
    relays_disturbed_at: Cell<Option<Instant>>,
}

/// A name for a node's machine; nothing listens there.
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
            cut: Cell::default(),
            calls: Cell::new(0),
            relays_disturbed_at: Cell::default(),
        })
    }

    fn is_cut(&self, one: usize, other: usize) -> bool {
        let cut = self.cut.get();
        cut.is_some_and(|zone| (one % ZONES == zone) != (other % ZONES == zone))
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
        if self.is_cut(from, to) || peer.health.get() == Health::Dark {
            return pending().await;
        }
        let monitor = peer.monitor();
        let (Health::Up, Some(monitor)) = (peer.health.get(), monitor) else {
            return Err(PeerError::NotSent);
        };
        let PeerRequest::Crashes(question) = request else {
            panic!("{request:?}");
        };
        let answer = monitor.handle_request(&question);
        sleep(LATENCY).await;
        match self.is_cut(from, to) {
            true => pending().await,
            false => Ok(PeerResponse::Crashes(answer)),
        }
    }
}

/// What runs on a node from its start to its end.
struct NodeLife {
    monitor: Rc<CrashMonitor>,
    tasks: Vec<JoinHandle<()>>,
}

/// A node.
pub struct SimNode {
    pub number: usize,
    seed: u64,
    network: Rc<Network>,
    park: Rc<BackendPark>,
    store: Rc<MemoryStore>,
    pub health: Cell<Health>,
    starts: Cell<u64>,
    life: RefCell<Option<NodeLife>>,
    disturbed_at: Cell<Option<Instant>>,
}

impl SimNode {
    pub fn new(
        number: usize,
        seed: u64,
        network: &Rc<Network>,
        park: &Rc<BackendPark>,
        store: &Rc<MemoryStore>,
    ) -> Rc<Self> {
        Rc::new(Self {
            number,
            seed,
            network: network.clone(),
            park: park.clone(),
            store: store.clone(),
            health: Cell::new(Health::Up),
            starts: Cell::new(0),
            life: RefCell::default(),
            disturbed_at: Cell::default(),
        })
    }

    pub fn monitor(&self) -> Option<Rc<CrashMonitor>> {
        let life = self.life.borrow();
        life.as_ref().map(|life| life.monitor.clone())
    }

    /// Ends what runs: all that was known is lost.
    pub fn end(&self) {
        if let Some(life) = self.life.take() {
            life.tasks.iter().for_each(JoinHandle::abort);
        }
    }

    pub fn start(&self) {
        self.end();
        self.starts.set(self.starts.get() + 1);
        let epoch = self.seed << 24 | (self.number as u64) << 8 | self.starts.get();
        let fleet = Rc::new(RefCell::new(Fleet::new(zone(self.number))));
        let park = self.park.clone();
        let monitor = Rc::new(CrashMonitor::with_probe(
            log(),
            fleet.clone(),
            epoch,
            CrashCounters::default(),
            Rc::new(move |address| {
                let park = park.clone();
                async move {
                    sleep(LATENCY).await;
                    park.is_refused(address)
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
        let asks = self.number >= self.network.relays;
        let mut tasks = vec![
            spawn(exchange.clone().run()),
            spawn(follow(
                self.park.clone(),
                fleet,
                self.seed + self.number as u64,
            )),
        ];
        if asks {
            let network = self.network.clone();
            tasks.push(spawn(poll(network, self.number, registry, exchange)));
        } else {
            // Relays know each other before anything happens.
            tasks.push(spawn(async move {
                registry.refresh().await;
            }));
        }
        self.life.replace(Some(NodeLife { monitor, tasks }));
    }

    fn peers(&self) -> PeerClient {
        let (peers, calls) = PeerClient::new();
        let (network, from) = (self.network.clone(), self.number);
        let answer = move |address: SocketAddr, request: PeerRequest| {
            network
                .clone()
                .call(from, number(address), request)
                .boxed_local()
        };
        spawn(client::serve_with(calls, answer));
        peers
    }

    /// Notes that what happens now excuses the node for a while.
    fn disturb(&self) {
        self.disturbed_at.set(Some(Instant::now()));
        if self.number < self.network.relays {
            self.network.relays_disturbed_at.set(Some(Instant::now()));
        }
    }

    /// Whether nothing has disturbed the node or the relays for so long.
    pub fn is_in_touch(&self, contact: Duration) -> bool {
        let is_old = |at: Instant| at.elapsed() >= contact;
        let relays_stable = self.network.relays_disturbed_at.get().is_none_or(is_old);
        let runs = self.health.get() == Health::Up && self.life.borrow().is_some();
        let is_cut = self.network.cut.get().is_some();
        runs && !is_cut && relays_stable && self.disturbed_at.get().is_none_or(is_old)
    }
}

/// Keeps what a node knows of back ends, a little late.
async fn follow(park: Rc<BackendPark>, fleet: Rc<RefCell<Fleet>>, seed: u64) {
    let mut listed = park.listed.subscribe();
    loop {
        fleet.borrow_mut().replace(park.backends());
        if listed.changed().await.is_err() {
            return;
        }
        sleep(Duration::from_millis(seed * 37 % LISTING_LAG)).await;
    }
}

/// Asks the first relay that answers how far its table is, as answers to other questions tell it.
async fn poll(
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
            let asked = async {
                sleep(LATENCY).await;
                let peer = network.nodes.borrow()[to].clone();
                if network.is_cut(from, to) || peer.health.get() == Health::Dark {
                    return pending().await;
                }
                peer.monitor().map(|monitor| monitor.cursor())
            };
            if let Ok(Some(cursor)) = timeout(POLL_TIMEOUT, asked).await {
                exchange.update_cursor(&relay, cursor);
                break;
            }
        }
        sleep(POLL).await;
    }
}

/// Lets the trouble of the scene happen again and again, until the play is over.
pub async fn trouble(world: Rc<World>) {
    let relays = 0..world.scene.relays;
    while !world.is_over.get() && world.scene.trouble != Trouble::None {
        world.pause(BETWEEN).await;
        match world.scene.trouble {
            Trouble::None => {}
            Trouble::Restarts => {
                for _ in 0..5 {
                    let drawn = world.draw(0..world.nodes.len() as u64) as usize;
                    let node = &world.nodes[drawn];
                    node.disturb();
                    node.start();
                }
            }
            Trouble::RelaysKilled => {
                lasts(&world, relays.clone(), Health::Down).await;
                relays
                    .clone()
                    .for_each(|number| world.nodes[number].start());
            }
            Trouble::RelaysDark => lasts(&world, relays.clone(), Health::Dark).await,
            Trouble::Pauses => {
                let first = world.draw(0..world.nodes.len() as u64 - 5) as usize;
                lasts(&world, first..first + 5, Health::Dark).await;
            }
            Trouble::ZoneCut => {
                world.nodes.iter().for_each(|node| node.disturb());
                world
                    .network
                    .cut
                    .set(Some(world.draw(0..ZONES as u64) as usize));
                world.pause(LASTS).await;
                world.network.cut.set(None);
                world.nodes.iter().for_each(|node| node.disturb());
            }
        }
    }
}

async fn lasts(world: &World, nodes: std::ops::Range<usize>, health: Health) {
    let each = |health: Health| {
        for number in nodes.clone() {
            let node = &world.nodes[number];
            node.disturb();
            node.health.set(health);
            if health == Health::Down {
                node.end();
            }
        }
    };
    each(health);
    world.pause(LASTS).await;
    each(Health::Up);
}
