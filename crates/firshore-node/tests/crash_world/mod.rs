//! Simulation of nodes, relays, back ends and clients in virtual time, without sockets or disks. The tracking of
//! crashes and their exchange between nodes are the production code.

pub mod backends;
pub mod callers;
pub mod nodes;

use backends::BackendPool;
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

/// Number of zones over which nodes and relays are spread.
pub const ZONES: usize = 3;

/// Crashes under a request after which it must be quarantined.
const CRASHES_UNTIL_QUARANTINE: usize = 3;

/// Crashes under a part of prompts after which it must be quarantined.
const CRASHES_UNTIL_PART_QUARANTINE: usize = 5;

/// Time after the last request in which attempts in flight end.
const DRAIN_TIME: Duration = Duration::from_secs(8);

pub fn log() -> Logger {
    Logger::root(Discard, o!())
}

/// How back ends exit without a fatal request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitPattern {
    /// No such exits.
    None,
    /// About one per second.
    Single,
    /// Each alternates between running and down.
    Flapping,
    /// Half of them simultaneously, about every five seconds.
    Mass,
}

/// Recurring fault of nodes, relays and the network between them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    None,
    /// Some nodes restart and lose their state.
    Restarts,
    /// All relays are killed and restart.
    RelaysKilled,
    /// All relays are unresponsive for a while.
    RelaysDark,
    /// One zone is isolated from the others.
    ZoneCut,
    /// Some nodes are unresponsive for a while.
    Pauses,
}

/// Parameters of one run.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    pub seed: u64,
    pub nodes: usize,
    pub relays: usize,
    pub backends: usize,
    /// Whether back ends restart with the same name and a later start time.
    pub reuses_names: bool,
    /// Number of fatal requests.
    pub fatal: usize,
    /// Number of fatal parts of prompts, each in requests that are sent once.
    pub fatal_parts: usize,
    /// Whether most requests with a fatal part have the part behind it in common, too.
    pub has_child_part: bool,
    /// Number of callers over which the requests with a fatal part are spread.
    pub callers: usize,
    /// Maximum interval between two sends of a fatal request or part, in milliseconds.
    pub max_interval_ms: u64,
    /// Maximum interval between two sends of a popular harmless request, in milliseconds.
    pub popular_interval_ms: u64,
    pub exit_pattern: ExitPattern,
    pub fault: FaultKind,
    /// Runs per thousand that are interrupted while their back end keeps running.
    pub resets: u32,
    /// Time within which a node must know of a quarantine, counted from the third crash or the last fault.
    pub propagation_bound: Duration,
    pub duration: Duration,
}

/// Result of one run.
#[derive(Debug, Default)]
pub struct RunReport {
    /// For each fatal request and part: sends by settled nodes after the propagation bound that follows the crash after
    /// which it must be quarantined.
    pub late_sends: Vec<usize>,
    /// For each fatal request and part: back ends that crashed.
    pub crashed: Vec<usize>,
    /// Harmless requests that any node quarantined.
    pub quarantined: usize,
    /// Attempts of harmless requests.
    pub attempts: usize,
    /// Calls between nodes.
    pub calls: u64,
}

/// State of one run.
pub struct World {
    pub scenario: Scenario,
    pub network: Rc<Network>,
    pub pool: Rc<BackendPool>,
    /// Relays, followed by the gateway nodes.
    pub nodes: Vec<Rc<SimNode>>,
    random: RefCell<StdRng>,
    pub is_finished: Cell<bool>,
    /// Send times of each fatal request and part, from settled nodes only.
    pub fatal_sends: RefCell<BTreeMap<usize, Vec<Instant>>>,
    /// Names of harmless requests that were quarantined.
    pub quarantined: RefCell<BTreeSet<String>>,
    pub attempts: Cell<usize>,
}

/// Runs a scenario in virtual time.
pub fn simulate(scenario: Scenario) -> RunReport {
    let runtime = Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, async { World::start(scenario).simulate().await })
}

fn record(number: usize) -> serde_json::Value {
    let record = NodeRecord {
        address: address(number),
        zone: nodes::zone(number),
        disk: DiskId(number as u64),
    };
    serde_json::to_value(record).expect("node records serialize")
}

impl World {
    fn start(scenario: Scenario) -> Rc<Self> {
        let store = MemoryStore::new();
        for number in 0..scenario.relays {
            store.put(KIND, &format!("node.n{number}"), record(number));
        }
        let network = Network::new(scenario.relays);
        let pool = BackendPool::new(scenario.backends, scenario.reuses_names);
        let nodes: Vec<Rc<SimNode>> = (0..scenario.relays + scenario.nodes)
            .map(|number| SimNode::new(number, scenario.seed, &network, &pool, &store))
            .collect();
        network.nodes.borrow_mut().extend(nodes.iter().cloned());
        Rc::new(Self {
            scenario,
            network,
            pool,
            nodes,
            random: RefCell::new(StdRng::seed_from_u64(scenario.seed)),
            is_finished: Cell::new(false),
            fatal_sends: RefCell::default(),
            quarantined: RefCell::default(),
            attempts: Cell::new(0),
        })
    }

    /// Returns a random number within a range.
    pub fn random_in(&self, range: std::ops::Range<u64>) -> u64 {
        self.random.borrow_mut().random_range(range)
    }

    /// Sleeps for a random number of milliseconds within a range.
    pub async fn sleep_random(&self, range: std::ops::Range<u64>) {
        let span = Duration::from_millis(self.random_in(range));
        sleep(span).await;
    }

    /// Returns the nodes that serve clients.
    pub fn gateways(&self) -> &[Rc<SimNode>] {
        &self.nodes[self.scenario.relays..]
    }

    async fn simulate(self: Rc<Self>) -> RunReport {
        for node in &self.nodes {
            node.start();
        }
        let mut tasks = callers::start(&self);
        tasks.push(spawn(backends::run_spontaneous_exits(self.clone())));
        tasks.push(spawn(nodes::run_faults(self.clone())));
        sleep(self.scenario.duration).await;
        self.is_finished.set(true);
        sleep(DRAIN_TIME).await;
        let report = self.evaluate();
        tasks.iter().for_each(JoinHandle::abort);
        self.nodes.iter().for_each(|node| node.stop());
        report
    }

    fn evaluate(&self) -> RunReport {
        let mut report = RunReport {
            attempts: self.attempts.get(),
            calls: self.network.calls.get(),
            quarantined: self.quarantined.borrow().len(),
            ..RunReport::default()
        };
        for fatal in 0..self.scenario.fatal + self.scenario.fatal_parts {
            let until = match fatal < self.scenario.fatal {
                true => CRASHES_UNTIL_QUARANTINE,
                false => CRASHES_UNTIL_PART_QUARANTINE,
            };
            let crashes = self.pool.crash_times(fatal);
            let sends = self.fatal_sends.borrow();
            let sends = sends.get(&fatal).map_or(&[][..], Vec::as_slice);
            let late_sends = match crashes.get(until - 1) {
                Some(last) => {
                    let bound = *last + self.scenario.propagation_bound;
                    sends.iter().filter(|at| **at > bound).count()
                }
                None => 0,
            };
            report.late_sends.push(late_sends);
            report.crashed.push(crashes.len());
        }
        report
    }
}

/// Spawns a task on the local set.
pub fn spawn(work: impl Future<Output = ()> + 'static) -> JoinHandle<()> {
    tokio::task::spawn_local(work)
}
