//! Simulation of followers, relays and their store in virtual time, without sockets and disks.

pub mod acknowledgements;
pub mod crowd;
pub mod faults;
pub mod followers;
pub mod links;
pub mod losses;
pub mod machines;
pub mod process;
pub mod scene;
pub mod store_access;

use acknowledgements::Acknowledgements;
use crowd::CallCounts;
use firshore_node::journal::registry::{KIND, NodeRecord};
use firshore_node::relay::budget::FreshnessBudget;
use firshore_replication::types::DiskId;
use firshore_stand_in::adapter::{BACKENDS, CONFIGURATION};
use firshore_stand_in::store::MemoryStore;
use followers::{Follower, RemovedNames};
use links::{Network, address};
use machines::RelayNode;
use process::Process;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use scene::{Event, FreshnessLimits, LateChange, Scene, SceneResult, Target};
use serde_json::{Value, json};
use slog::{Discard, Logger, o};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::ops::Add;
use std::rc::Rc;
use std::time::Duration;
use store_access::{LocalStore, StoreAccess, WatchCuts};
use tokio::runtime::Builder;
use tokio::task::LocalSet;
use tokio::time::{Instant, sleep_until};

/// Interval between checks of the followers' views.
const STEP: Duration = Duration::from_millis(20);

/// Number of back ends that join and leave; at most one page of the stand-in's listing.
const BACKEND_COUNT: u64 = 3;

/// The kinds of objects that followers watch.
pub const KINDS: [&str; 2] = [CONFIGURATION, BACKENDS];

pub fn log() -> Logger {
    Logger::root(Discard, o!())
}

/// The simulated machines, network and store.
struct World {
    store: Rc<MemoryStore>,
    lagging_copy: Rc<MemoryStore>,
    cuts: Rc<WatchCuts>,
    network: Rc<Network>,
    budget: FreshnessBudget,
    seed: u64,
    follower_zones: usize,
    lag: Duration,
    removals: bool,
    relays: Vec<Rc<RelayNode>>,
    followers: Vec<Follower>,
    /// Changes that the lagging copy hasn't received, with the time at which it does; `None` removes the object.
    delayed_changes: VecDeque<(Instant, &'static str, String, Option<Value>)>,
    /// Number of the next change for each of [`KINDS`].
    numbers: [u64; 2],
    removed: RemovedNames,
    /// When the last outage of open connections began.
    outage_at: Option<Instant>,
    acknowledged: Acknowledgements,
    /// Whether no machine can reach the store.
    store_unreachable: bool,
    random: StdRng,
}

/// Runs a scene and checks the age of missing changes against the limits.
pub fn run_scene(scene: &Scene, limits: FreshnessLimits) -> SceneResult {
    run_in_virtual_time(async {
        World::new(scene, limits.bound)
            .run_scene(scene, limits)
            .await
    })
}

fn run_in_virtual_time<T>(work: impl Future<Output = T>) -> T {
    let runtime = Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .expect("failed to build a runtime");
    LocalSet::new().block_on(&runtime, work)
}

fn node_record(number: usize, zone: usize) -> Value {
    let spec = NodeRecord {
        address: address(number),
        zone: format!("z{zone}").as_str().into(),
        disk: DiskId(number as u64),
    };
    serde_json::to_value(spec).expect("record is serializable")
}

impl World {
    fn new(scene: &Scene, bound: Duration) -> Self {
        let budget = FreshnessBudget::new(bound);
        let (store, lagging_copy, cuts) =
            (MemoryStore::new(), MemoryStore::new(), WatchCuts::new());
        let network = Network::new(scene.connections);
        let addresses: Vec<SocketAddr> = (0..scene.zones.len()).map(address).collect();
        let start = |number: usize| {
            let process = Process::new(scene.seed);
            let peers = network.client(&process);
            let local_store = LocalStore::new(&store, &lagging_copy, &cuts, process);
            let others = addresses.iter().copied();
            let others = others.filter(|other| *other != addresses[number]).collect();
            let relay = RelayNode::start(local_store, peers, others, budget);
            network.add(relay.clone());
            relay
        };
        let relays: Vec<Rc<RelayNode>> = (0..scene.zones.len()).map(start).collect();
        let mut world = Self {
            store,
            lagging_copy,
            cuts,
            network,
            budget,
            seed: scene.seed,
            follower_zones: scene.follower_zones,
            lag: scene.lag,
            removals: scene.removals,
            relays,
            followers: Vec::new(),
            delayed_changes: VecDeque::new(),
            numbers: [0; 2],
            removed: RemovedNames::default(),
            outage_at: None,
            acknowledged: Acknowledgements::default(),
            store_unreachable: false,
            random: StdRng::seed_from_u64(scene.seed),
        };
        for (number, zone) in scene.zones.iter().enumerate() {
            world.put(KIND, format!("node.r{number}"), node_record(number, *zone));
        }
        for _ in 0..BACKEND_COUNT {
            world.change_backend();
        }
        world.change_configuration();
        for _ in 0..scene.followers {
            world.join();
        }
        world
    }

    fn join(&mut self) {
        let number = self.followers.len();
        let process = Process::new(self.seed ^ (1 + number as u64) << 32);
        let peers = self.network.client(&process);
        let local_store = LocalStore::new(&self.store, &self.lagging_copy, &self.cuts, process);
        let (name, zone) = (format!("f{number}"), number % self.follower_zones);
        let follower = Follower::start(name, zone, local_store, peers, self.budget, &self.removed);
        self.followers.push(follower);
    }

    fn put(&mut self, kind: &'static str, name: String, spec: Value) {
        self.store.put(kind, &name, spec.clone());
        let due = Instant::now() + self.lag;
        self.delayed_changes
            .push_back((due, kind, name, Some(spec)));
    }

    fn remove(&mut self, kind: &'static str, name: String) {
        self.store.remove(kind, &name);
        self.removed.borrow_mut().insert(name.clone());
        let due = Instant::now() + self.lag;
        self.delayed_changes.push_back((due, kind, name, None));
    }

    fn next_number(&mut self, kind: &str) -> u64 {
        let kind = usize::from(kind == BACKENDS);
        self.numbers[kind] += 1;
        self.numbers[kind] - 1
    }

    fn change_configuration(&mut self) {
        let number = self.next_number(CONFIGURATION);
        let name = "newest".to_owned();
        self.put(CONFIGURATION, name.clone(), json!({"number": number}));
        self.acknowledged.record(CONFIGURATION, name, number, false);
    }

    /// Adds a back end or marks one as leaving. In scenes with removals, it is removed next, and then replaced by
    /// another one.
    fn change_backend(&mut self) {
        let number = self.next_number(BACKENDS);
        if self.removals {
            return self.replace_backend(number);
        }
        let name = format!("b{}", number % BACKEND_COUNT);
        let leaving = (number / BACKEND_COUNT) % 2 == 1;
        let spec = json!({"leaving": leaving, "number": number});
        self.put(BACKENDS, name.clone(), spec);
        self.acknowledged.record(BACKENDS, name, number, false);
    }

    fn replace_backend(&mut self, number: u64) {
        let (position, round) = (number % BACKEND_COUNT, number / BACKEND_COUNT);
        let name = format!("b{position}-{}", round / 3);
        let is_removal = round % 3 == 2;
        match is_removal {
            true => self.remove(BACKENDS, name.clone()),
            false => {
                let spec = json!({"leaving": round % 3 == 1, "number": number});
                self.put(BACKENDS, name.clone(), spec);
            }
        }
        self.acknowledged.record(BACKENDS, name, number, is_removal);
    }

    async fn run_scene(mut self, scene: &Scene, limits: FreshnessLimits) -> SceneResult {
        let start = Instant::now();
        let mut result = SceneResult::default();
        let mut events = scene.events.iter().peekable();
        let mut count_at = scene.count_at.iter().peekable();
        let mut next_change = [Duration::ZERO; 2];
        let mut elapsed = Duration::ZERO;
        while elapsed < scene.length {
            sleep_until(start + elapsed).await;
            while let Some((_, event)) = events.next_if(|(at, _)| *at <= elapsed) {
                self.apply(*event);
            }
            let skip_changes = self.store_unreachable && !scene.changes_while_unreachable;
            for kind in 0..KINDS.len() {
                if elapsed < next_change[kind] || skip_changes {
                    continue;
                }
                let interval = match KINDS[kind] {
                    CONFIGURATION => self.random.random_range(150..350),
                    _ => self.random.random_range(100..2_000),
                };
                next_change[kind] = elapsed + Duration::from_millis(interval);
                match KINDS[kind] {
                    CONFIGURATION => self.change_configuration(),
                    _ => self.change_backend(),
                }
            }
            self.apply_delayed();
            self.check_followers(elapsed, limits, &mut result);
            self.acknowledged.prune(&self.followers);
            while count_at.next_if(|at| **at <= elapsed).is_some() {
                result.calls.push(self.calls());
            }
            elapsed += STEP;
        }
        result.changes = self.numbers.iter().sum::<u64>() as usize;
        result
    }

    /// Applies the changes that are due to the lagging copy.
    fn apply_delayed(&mut self) {
        let now = Instant::now();
        while let Some((_, kind, name, spec)) =
            self.delayed_changes.pop_front_if(|(due, ..)| *due <= now)
        {
            match spec {
                Some(spec) => self.lagging_copy.put(kind, &name, spec),
                None => self.lagging_copy.remove(kind, &name),
            }
        }
    }

    fn local_stores(&self, target: Target) -> Vec<&Rc<LocalStore>> {
        let relays = self.relays.iter().map(|relay| &relay.local_store);
        let followers = self.followers.iter().map(|follower| &follower.local_store);
        match target {
            Target::All => relays.chain(followers).collect(),
            Target::Relays => relays.collect(),
            Target::Relay(number) => vec![&self.relays[number].local_store],
            Target::Follower(number) => vec![&self.followers[number].local_store],
        }
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Reached(relay, health) => self.relays[relay].set_health_if_running(health),
            Event::Ends(relay, health) => self.relays[relay].end(health),
            Event::Starts(relay) => self.relays[relay].restart(),
            Event::Ways(target, access) => {
                if matches!(target, Target::All) {
                    self.store_unreachable = access != StoreAccess::Open;
                }
                self.local_stores(target)
                    .into_iter()
                    .for_each(|local_store| local_store.set_access(access));
            }
            Event::Delays(target, delay) => {
                let stores = self.local_stores(target).into_iter();
                stores.for_each(|local_store| local_store.set_delay(delay));
            }
            Event::Lags(relay, lagging) => self.relays[relay]
                .local_store
                .set_reads_lagging_copy(lagging),
            Event::CutBegins => self.cuts.begin(),
            Event::CutEnds => {
                self.store.forget_history();
                self.cuts.end();
            }
            Event::Joins => self.join(),
            Event::Removes => {
                let count = self.removed.borrow().len();
                while self.removals && self.removed.borrow().len() == count {
                    self.change_backend();
                }
            }
            Event::ReplacesAll => {
                let changes = if self.removals { BACKEND_COUNT * 3 } else { 0 };
                (0..changes).for_each(|_| self.change_backend());
            }
            Event::Pauses(follower) => self.with_process(follower, Process::suspend),
            Event::GoesOn(follower) => self.with_process(follower, Process::resume),
            Event::Slows(follower, slow) => self.with_process(follower, |one| one.set_slow(slow)),
            Event::FallsSilent {
                idle,
                kernel_timeout,
            } => {
                self.outage_at = Some(Instant::now());
                self.network.begin_outage();
                let stores = self.local_stores(Target::All).into_iter();
                stores.for_each(|local_store| local_store.begin_outage(idle, kernel_timeout));
            }
        }
    }

    /// Applies a change to a follower's process, if that follower exists.
    fn with_process(&self, follower: usize, change: impl Fn(&Process)) {
        if let Some(follower) = self.followers.get(follower) {
            change(&follower.process);
        }
    }

    /// Records the age of changes that connected followers lack. After an outage of all open connections, no
    /// follower counts as connected until `connected_after` has passed.
    fn check_followers(
        &self,
        elapsed: Duration,
        limits: FreshnessLimits,
        result: &mut SceneResult,
    ) {
        let is_connected = |at: Instant| at.elapsed() >= limits.connected_after;
        let is_connected = self.outage_at.is_none_or(is_connected);
        for follower in &self.followers {
            if let Some(regression) = follower.regression() {
                result
                    .regression
                    .get_or_insert(format!("{} {regression}", follower.name));
            }
            if !is_connected || !follower.connected_for(limits.connected_after) {
                continue;
            }
            for (kind, max_age) in KINDS.into_iter().zip(&mut result.max_ages) {
                let Some(age) = self.acknowledged.age(follower, kind) else {
                    continue;
                };
                let late = || LateChange {
                    after: elapsed,
                    follower: follower.name.clone(),
                    kind,
                    age,
                    relays: self.describe_relays(),
                };
                if age > limits.bound && result.first_late.is_none() {
                    result.first_late = Some(late());
                }
                *max_age = age.max(*max_age);
                if result
                    .max_late
                    .as_ref()
                    .is_none_or(|max_late| max_late.age < age)
                {
                    result.max_late = Some(late());
                }
            }
        }
    }

    /// Returns the sum of all followers' calls to the store.
    fn calls(&self) -> CallCounts {
        let calls = self
            .followers
            .iter()
            .map(|follower| follower.local_store.call_counts());
        calls.fold(CallCounts::default(), CallCounts::add)
    }

    fn describe_relays(&self) -> String {
        let relays = self.relays.iter().enumerate();
        let relays = relays.map(|(number, relay)| {
            format!(
                "r{number} {:?}, store {:?}",
                relay.health(),
                relay.local_store.access()
            )
        });
        relays.collect::<Vec<String>>().join("; ")
    }
}
