//! Followers, relays and their store in virtual time: no sockets, no disks.

pub mod crowd;
pub mod followers;
pub mod links;
pub mod losses;
pub mod machines;
pub mod process;
pub mod record;
pub mod scene;
pub mod troubles;
pub mod ways;

use crowd::Made;
use firshore_node::journal::registry::{KIND, NodeRecord};
use firshore_node::relay::budget::FreshnessBudget;
use firshore_replication::types::DiskId;
use firshore_stand_in::adapter::{BACKENDS, CONFIGURATION};
use firshore_stand_in::store::MemoryStore;
use followers::{Follower, Removed};
use links::{Network, address};
use machines::RelayNode;
use process::Process;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use record::Acknowledgements;
use scene::{Event, Late, Played, Scene, Sheet, Who};
use serde_json::{Value, json};
use slog::{Discard, Logger, o};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::ops::Add;
use std::rc::Rc;
use std::time::Duration;
use tokio::runtime::Builder;
use tokio::task::LocalSet;
use tokio::time::{Instant, sleep_until};
use ways::{Cuts, OwnStore, Way};

/// Time between two looks at what followers know.
const STEP: Duration = Duration::from_millis(20);

/// Back ends that come and leave: no more than the stand-in lists in one page.
const BACKEND_COUNT: u64 = 3;

/// Kinds that are followed.
pub const KINDS: [&str; 2] = [CONFIGURATION, BACKENDS];

pub fn log() -> Logger {
    Logger::root(Discard, o!())
}

struct World {
    store: Rc<MemoryStore>,
    lagging: Rc<MemoryStore>,
    cuts: Rc<Cuts>,
    network: Rc<Network>,
    budget: FreshnessBudget,
    seed: u64,
    follower_zones: usize,
    lag: Duration,
    removals: bool,
    relays: Vec<Rc<RelayNode>>,
    followers: Vec<Follower>,
    /// Changes that the copy of the store lacks; those without content are removals.
    delayed: VecDeque<(Instant, &'static str, String, Option<Value>)>,
    /// Numbers of the next changes, of each of [`KINDS`].
    numbers: [u64; 2],
    removed: Removed,
    /// When open connections fell silent last.
    silent_at: Option<Instant>,
    acknowledged: Acknowledgements,
    /// Whether the store is shut to all.
    shut: bool,
    random: StdRng,
}

/// Plays a scene, and judges by a sheet how old what is unknown may be.
pub fn play(scene: &Scene, sheet: Sheet) -> Played {
    in_virtual_time(async { World::new(scene, sheet.bound).play(scene, sheet).await })
}

fn in_virtual_time<T>(work: impl Future<Output = T>) -> T {
    let runtime = Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, work)
}

fn record(number: usize, zone: usize) -> Value {
    let record = NodeRecord {
        address: address(number),
        zone: format!("z{zone}").as_str().into(),
        disk: DiskId(number as u64),
    };
    serde_json::to_value(record).expect("records serialise")
}

impl World {
    fn new(scene: &Scene, bound: Duration) -> Self {
        let budget = FreshnessBudget::new(bound);
        let (store, lagging, cuts) = (MemoryStore::new(), MemoryStore::new(), Cuts::new());
        let network = Network::new(scene.connections);
        let addresses: Vec<SocketAddr> = (0..scene.zones.len()).map(address).collect();
        let start = |number: usize| {
            let process = Process::new(scene.seed);
            let peers = network.client(&process);
            let own = OwnStore::new(&store, &lagging, &cuts, process);
            let others = addresses.iter().copied();
            let others = others.filter(|other| *other != addresses[number]).collect();
            let relay = RelayNode::start(own, peers, others, budget);
            network.add(relay.clone());
            relay
        };
        let relays: Vec<Rc<RelayNode>> = (0..scene.zones.len()).map(start).collect();
        let mut world = Self {
            store,
            lagging,
            cuts,
            network,
            budget,
            seed: scene.seed,
            follower_zones: scene.follower_zones,
            lag: scene.lag,
            removals: scene.removals,
            relays,
            followers: Vec::new(),
            delayed: VecDeque::new(),
            numbers: [0; 2],
            removed: Removed::default(),
            silent_at: None,
            acknowledged: Acknowledgements::default(),
            shut: false,
            random: StdRng::seed_from_u64(scene.seed),
        };
        for (number, zone) in scene.zones.iter().enumerate() {
            world.put(KIND, format!("node.r{number}"), record(number, *zone));
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
        let own = OwnStore::new(&self.store, &self.lagging, &self.cuts, process);
        let (name, zone) = (format!("f{number}"), number % self.follower_zones);
        let follower = Follower::start(name, zone, own, peers, self.budget, &self.removed);
        self.followers.push(follower);
    }

    fn put(&mut self, kind: &'static str, name: String, spec: Value) {
        self.store.put(kind, &name, spec.clone());
        let due = Instant::now() + self.lag;
        self.delayed.push_back((due, kind, name, Some(spec)));
    }

    fn remove(&mut self, kind: &'static str, name: String) {
        self.store.remove(kind, &name);
        self.removed.borrow_mut().insert(name.clone());
        let due = Instant::now() + self.lag;
        self.delayed.push_back((due, kind, name, None));
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
        self.acknowledged.add(CONFIGURATION, name, number, false);
    }

    /// A back end comes, or says that it leaves. Where entries are removed, that is next, and then another
    /// one comes in its place.
    fn change_backend(&mut self) {
        let number = self.next_number(BACKENDS);
        if self.removals {
            return self.replace_backend(number);
        }
        let name = format!("b{}", number % BACKEND_COUNT);
        let leaving = (number / BACKEND_COUNT) % 2 == 1;
        let spec = json!({"leaving": leaving, "number": number});
        self.put(BACKENDS, name.clone(), spec);
        self.acknowledged.add(BACKENDS, name, number, false);
    }

    fn replace_backend(&mut self, number: u64) {
        let (place, turn) = (number % BACKEND_COUNT, number / BACKEND_COUNT);
        let name = format!("b{place}-{}", turn / 3);
        let is_last = turn % 3 == 2;
        match is_last {
            true => self.remove(BACKENDS, name.clone()),
            false => {
                let spec = json!({"leaving": turn % 3 == 1, "number": number});
                self.put(BACKENDS, name.clone(), spec);
            }
        }
        self.acknowledged.add(BACKENDS, name, number, is_last);
    }

    async fn play(mut self, scene: &Scene, sheet: Sheet) -> Played {
        let start = Instant::now();
        let mut played = Played::default();
        let mut events = scene.events.iter().peekable();
        let mut marks = scene.marks.iter().peekable();
        let mut next_change = [Duration::ZERO; 2];
        let mut passed = Duration::ZERO;
        while passed < scene.length {
            sleep_until(start + passed).await;
            while let Some((_, event)) = events.next_if(|(at, _)| *at <= passed) {
                self.happen(*event);
            }
            let unheard = self.shut && !scene.changes_unheard;
            for kind in 0..KINDS.len() {
                if passed < next_change[kind] || unheard {
                    continue;
                }
                let pause = match KINDS[kind] {
                    CONFIGURATION => self.random.random_range(150..350),
                    _ => self.random.random_range(100..2_000),
                };
                next_change[kind] = passed + Duration::from_millis(pause);
                match KINDS[kind] {
                    CONFIGURATION => self.change_configuration(),
                    _ => self.change_backend(),
                }
            }
            self.catch_up();
            self.judge(passed, sheet, &mut played);
            self.acknowledged.forget_known(&self.followers);
            while marks.next_if(|mark| **mark <= passed).is_some() {
                played.made.push(self.made());
            }
            passed += STEP;
        }
        played.changes = self.numbers.iter().sum::<u64>() as usize;
        played
    }

    /// Makes changes in the copy of the store whose time has come.
    fn catch_up(&mut self) {
        let now = Instant::now();
        while let Some((_, kind, name, spec)) = self.delayed.pop_front_if(|(due, ..)| *due <= now) {
            match spec {
                Some(spec) => self.lagging.put(kind, &name, spec),
                None => self.lagging.remove(kind, &name),
            }
        }
    }

    fn ways(&self, who: Who) -> Vec<&Rc<OwnStore>> {
        let relays = self.relays.iter().map(|relay| &relay.own);
        let followers = self.followers.iter().map(|follower| &follower.own);
        match who {
            Who::All => relays.chain(followers).collect(),
            Who::Relays => relays.collect(),
            Who::Relay(number) => vec![&self.relays[number].own],
            Who::Follower(number) => vec![&self.followers[number].own],
        }
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Reached(relay, health) => self.relays[relay].reached(health),
            Event::Ends(relay, health) => self.relays[relay].end(health),
            Event::Starts(relay) => self.relays[relay].start_again(),
            Event::Ways(who, way) => {
                if matches!(who, Who::All) {
                    self.shut = way != Way::Open;
                }
                self.ways(who).into_iter().for_each(|own| own.set_way(way));
            }
            Event::Delays(who, delay) => {
                let ways = self.ways(who).into_iter();
                ways.for_each(|own| own.set_delay(delay));
            }
            Event::Lags(relay, lags) => self.relays[relay].own.set_lags(lags),
            Event::CutBegins => self.cuts.begin(),
            Event::CutEnds => {
                self.store.forget_history();
                self.cuts.end();
            }
            Event::Joins => self.join(),
            Event::Removes => {
                let before = self.removed.borrow().len();
                while self.removals && self.removed.borrow().len() == before {
                    self.change_backend();
                }
            }
            Event::ReplacesAll => {
                let changes = if self.removals { BACKEND_COUNT * 3 } else { 0 };
                (0..changes).for_each(|_| self.change_backend());
            }
            Event::Pauses(follower) => self.process(follower, Process::pause),
            Event::GoesOn(follower) => self.process(follower, Process::go_on),
            Event::Slows(follower, slow) => self.process(follower, |one| one.set_slow(slow)),
            Event::FallsSilent { idle, kept } => {
                self.silent_at = Some(Instant::now());
                self.network.fall_silent();
                let ways = self.ways(Who::All).into_iter();
                ways.for_each(|own| own.fall_silent(idle, kept));
            }
        }
    }

    /// Has something happen to a follower's process, if there is such a follower.
    fn process(&self, follower: usize, happen: impl Fn(&Process)) {
        if let Some(follower) = self.followers.get(follower) {
            happen(&follower.process);
        }
    }

    /// Looks what followers in touch lack. Nobody is while all connections that were open are lost.
    fn judge(&self, passed: Duration, sheet: Sheet, played: &mut Played) {
        let connected = |at: Instant| at.elapsed() >= sheet.in_touch_after;
        let connected = self.silent_at.is_none_or(connected);
        for follower in &self.followers {
            if let Some(back) = follower.taken_back() {
                played
                    .taken_back
                    .get_or_insert(format!("{} {back}", follower.name));
            }
            if !connected || !follower.in_touch_for(sheet.in_touch_after) {
                continue;
            }
            for (kind, oldest) in KINDS.into_iter().zip(&mut played.oldest) {
                let Some(age) = self.acknowledged.age(follower, kind) else {
                    continue;
                };
                let late = || Late {
                    after: passed,
                    follower: follower.name.clone(),
                    kind,
                    age,
                    relays: self.relays_now(),
                };
                if age > sheet.bound && played.first_late.is_none() {
                    played.first_late = Some(late());
                }
                *oldest = age.max(*oldest);
                if played.latest.as_ref().is_none_or(|latest| latest.age < age) {
                    played.latest = Some(late());
                }
            }
        }
    }

    /// What all followers together have asked of the store.
    fn made(&self) -> Made {
        let made = self.followers.iter().map(|follower| follower.own.made());
        made.fold(Made::default(), Made::add)
    }

    fn relays_now(&self) -> String {
        let relays = self.relays.iter().enumerate();
        let relays = relays.map(|(number, relay)| {
            format!(
                "r{number} {:?}, store {:?}",
                relay.health(),
                relay.own.way()
            )
        });
        relays.collect::<Vec<String>>().join("; ")
    }
}
