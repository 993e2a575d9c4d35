//! Nodes, relays, back ends and callers in virtual time: no sockets, no disks. What nodes keep of back ends
//! that ended, and how they tell each other, is the product's own code.

pub mod backends;
pub mod callers;
pub mod nodes;

use backends::BackendPark;
use firshore_node::journal::registry::{KIND, NodeRecord};
use firshore_replication::types::DiskId;
use firshore_stand_in::store::MemoryStore;
use nodes::{Network, SimNode, address};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use slog::{Discard, Logger, o};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;
use tokio::runtime::Builder;
use tokio::task::{JoinHandle, LocalSet};
use tokio::time::{Instant, sleep};

/// Zones that nodes and relays stand in.
pub const ZONES: usize = 3;

/// Back ends that end under a request before its further sends are counted.
const ENDS: usize = 3;

/// Time after the last request in which what is under way ends.
const AFTERWARDS: Duration = Duration::from_secs(8);

pub fn log() -> Logger {
    Logger::root(Discard, o!())
}

/// Why back ends end beside the requests that crash them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnEnds {
    /// They do not.
    None,
    /// One each second, about.
    Single,
    /// Each goes down and comes up by turns.
    Flapping,
    /// Half of them at the same moment, each five seconds.
    Mass,
}

/// What happens to nodes, relays and the ways between them, again and again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    None,
    /// Nodes start again and know nothing.
    Restarts,
    /// All relays are killed and start again.
    RelaysKilled,
    /// All relays say nothing for a while.
    RelaysDark,
    /// A zone is cut off from the others.
    ZoneCut,
    /// Nodes stand still for a while.
    Pauses,
}

/// What is played.
#[derive(Clone, Copy, Debug)]
pub struct Scene {
    pub seed: u64,
    pub nodes: usize,
    pub relays: usize,
    pub backends: usize,
    /// Whether back ends start again under their names, and tell when.
    pub keeps_names: bool,
    /// Requests that crash back ends.
    pub fatal: usize,
    /// Longest pause between two repeats of each, in milliseconds.
    pub longest_pause: u64,
    /// Longest pause between two repeats of each popular request that harms nobody, in milliseconds.
    pub popular_pause: u64,
    pub own_ends: OwnEnds,
    pub trouble: Trouble,
    /// Of a thousand runs so many break off while their back end lives.
    pub resets: u32,
    /// Time after which what disturbed a node excuses nothing any more.
    pub contact: Duration,
    pub length: Duration,
}

/// What came of it.
#[derive(Debug, Default)]
pub struct Played {
    /// Of each request that crashes back ends: sends by nodes in touch, later than the bound after the third
    /// end under it.
    pub later: Vec<usize>,
    /// Back ends that ended under each.
    pub ended: Vec<usize>,
    /// Innocent requests that were held back somewhere.
    pub condemned: usize,
    /// Tries of innocent requests.
    pub tries: usize,
    /// Calls between nodes.
    pub calls: u64,
}

/// All of a play.
pub struct World {
    pub scene: Scene,
    pub network: Rc<Network>,
    pub park: Rc<BackendPark>,
    /// The relays come first.
    pub nodes: Vec<Rc<SimNode>>,
    random: RefCell<StdRng>,
    pub is_over: Cell<bool>,
    /// Sends of each request that crashes back ends, by nodes in touch.
    pub fatal_sends: RefCell<BTreeMap<usize, Vec<Instant>>>,
    /// Innocent requests that were held back, by name.
    pub condemned: RefCell<BTreeSet<String>>,
    pub tries: Cell<usize>,
}

/// Plays a scene.
pub fn play(scene: Scene) -> Played {
    let runtime = Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, async { World::start(scene).play().await })
}

fn record(number: usize) -> serde_json::Value {
    let record = NodeRecord {
        address: address(number),
        zone: nodes::zone(number),
        disk: DiskId(number as u64),
    };
    serde_json::to_value(record).expect("records serialise")
}

impl World {
    fn start(scene: Scene) -> Rc<Self> {
        let store = MemoryStore::new();
        for number in 0..scene.relays {
            store.put(KIND, &format!("node.n{number}"), record(number));
        }
        let network = Network::new(scene.relays);
        let park = BackendPark::new(scene.backends, scene.keeps_names);
        let nodes: Vec<Rc<SimNode>> = (0..scene.relays + scene.nodes)
            .map(|number| SimNode::new(number, scene.seed, &network, &park, &store))
            .collect();
        network.nodes.borrow_mut().extend(nodes.iter().cloned());
        Rc::new(Self {
            scene,
            network,
            park,
            nodes,
            random: RefCell::new(StdRng::seed_from_u64(scene.seed)),
            is_over: Cell::new(false),
            fatal_sends: RefCell::default(),
            condemned: RefCell::default(),
            tries: Cell::new(0),
        })
    }

    /// Draws a number.
    pub fn draw(&self, range: std::ops::Range<u64>) -> u64 {
        self.random.borrow_mut().random_range(range)
    }

    /// Waits for a drawn number of milliseconds.
    pub async fn pause(&self, range: std::ops::Range<u64>) {
        let span = Duration::from_millis(self.draw(range));
        sleep(span).await;
    }

    /// The nodes that serve callers.
    pub fn front(&self) -> &[Rc<SimNode>] {
        &self.nodes[self.scene.relays..]
    }

    async fn play(self: Rc<Self>) -> Played {
        for node in &self.nodes {
            node.start();
        }
        let mut tasks = callers::start(&self);
        tasks.push(spawn(backends::end_by_themselves(self.clone())));
        tasks.push(spawn(nodes::trouble(self.clone())));
        sleep(self.scene.length).await;
        self.is_over.set(true);
        sleep(AFTERWARDS).await;
        let played = self.judge();
        tasks.iter().for_each(JoinHandle::abort);
        self.nodes.iter().for_each(|node| node.end());
        played
    }

    fn judge(&self) -> Played {
        let mut played = Played {
            tries: self.tries.get(),
            calls: self.network.calls.get(),
            condemned: self.condemned.borrow().len(),
            ..Played::default()
        };
        for fatal in 0..self.scene.fatal {
            let ends = self.park.ends_under(fatal);
            let sends = self.fatal_sends.borrow();
            let sends = sends.get(&fatal).map_or(&[][..], Vec::as_slice);
            let later = match ends.get(ENDS - 1) {
                Some(third) => {
                    let bound = *third + self.scene.contact;
                    sends.iter().filter(|at| **at > bound).count()
                }
                None => 0,
            };
            played.later.push(later);
            played.ended.push(ends.len());
        }
        played
    }
}

/// Starts a task of the play.
pub fn spawn(work: impl Future<Output = ()> + 'static) -> JoinHandle<()> {
    tokio::task::spawn_local(work)
}
