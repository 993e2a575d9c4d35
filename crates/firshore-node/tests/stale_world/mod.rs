//! Followers, relays and their store in virtual time: no sockets, no disks.

pub mod machines;
pub mod ways;

use firshore_node::journal::PeerClient;
use firshore_node::journal::registry::{KIND, NodeRecord};
use firshore_node::relay::budget::FreshnessBudget;
use firshore_replication::types::DiskId;
use firshore_stand_in::adapter::{BACKENDS, CONFIGURATION};
use firshore_stand_in::store::MemoryStore;
use machines::{Follower, Health, RelayNode};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};
use slog::{Discard, Logger, o};
use std::collections::VecDeque;
use std::fmt::{Display, Formatter};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::runtime::Builder;
use tokio::task::LocalSet;
use tokio::time::{Instant, sleep_until};
use ways::{Cuts, OwnStore, Way};

/// Time between two looks at what followers know.
const STEP: Duration = Duration::from_millis(20);

/// Time for which a node has to be in touch before it is judged.
const IN_TOUCH_AFTER: Duration = Duration::from_secs(3);

/// Time by which the copy of the store is behind that a relay may read after its restart.
const LAG: Duration = Duration::from_millis(300);

/// Back ends that come and leave: no more than the stand-in lists in one page.
const BACKEND_COUNT: u64 = 3;

/// Kinds that are followed.
pub const KINDS: [&str; 2] = [CONFIGURATION, BACKENDS];

pub fn log() -> Logger {
    Logger::root(Discard, o!())
}

/// Whose way to the store something happens to.
#[derive(Clone, Copy, Debug)]
pub enum Who {
    All,
    Relays,
    Relay(usize),
    Follower(usize),
}

/// Something that happens to a machine or to the store.
#[derive(Clone, Copy, Debug)]
pub enum Event {
    /// A relay's machine is reached in this way from now on; its process goes on.
    Reached(usize, Health),
    /// A relay's process ends, and its machine is reached in this way.
    Ends(usize, Health),
    /// A relay's process starts, and its machine is reached.
    Starts(usize),
    /// The way to the store changes.
    Ways(Who, Way),
    /// Answers of the store take so much longer.
    Delays(Who, Duration),
    /// A relay reads a copy of the store that is behind, or no more.
    Lags(usize, bool),
    /// All watches that wait hear nothing any more.
    CutBegins,
    /// These watches fail, and the store's history is gone.
    CutEnds,
    /// One more follower starts.
    Joins,
}

/// What is played.
#[derive(Clone, Debug)]
pub struct Scene {
    pub class: &'static str,
    pub seed: u64,
    /// Zones of the relays.
    pub zones: Vec<usize>,
    pub followers: usize,
    /// Whether the store takes changes while no machine of the cluster hears of it.
    pub changes_unheard: bool,
    /// What happens, in order of time.
    pub events: Vec<(Duration, Event)>,
    pub length: Duration,
}

/// A change of an object, in order of when the store acknowledged it.
#[derive(Clone, Debug)]
struct Acknowledged {
    at: Instant,
    kind: &'static str,
    name: String,
    number: u64,
}

/// A follower that did not know a change.
#[derive(Clone, Debug)]
pub struct Late {
    pub after: Duration,
    pub follower: String,
    pub kind: &'static str,
    pub age: Duration,
    /// How relays were reached, and their ways to the store.
    pub relays: String,
}

impl Display for Late {
    fn fmt(&self, text: &mut Formatter<'_>) -> std::fmt::Result {
        let Self {
            after,
            follower,
            kind,
            age,
            relays,
        } = self;
        write!(
            text,
            "{follower} lacked a change of {kind} {age:?} old at {after:?} ({relays})"
        )
    }
}

/// What came of a scene.
#[derive(Debug, Default)]
pub struct Played {
    /// Oldest change that a follower in touch did not know, of each of [`KINDS`].
    pub oldest: [Duration; 2],
    /// When the bound was first passed.
    pub first_late: Option<Late>,
    /// When a change was unknown for longest.
    pub latest: Option<Late>,
    /// What a follower took back.
    pub taken_back: Option<String>,
    /// Changes that were acknowledged.
    pub changes: usize,
}

struct World {
    store: Rc<MemoryStore>,
    lagging: Rc<MemoryStore>,
    cuts: Rc<Cuts>,
    peers: PeerClient,
    budget: FreshnessBudget,
    relays: Vec<Rc<RelayNode>>,
    followers: Vec<Follower>,
    /// Changes that the copy of the store lacks.
    delayed: VecDeque<(Instant, &'static str, String, Value)>,
    acknowledged: VecDeque<Acknowledged>,
    /// Whether the store is shut to all.
    shut: bool,
    random: StdRng,
}

/// Plays a scene, and judges by a bound on the age of what is unknown.
pub fn play(scene: &Scene, bound: Duration) -> Played {
    let runtime = Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        World::new(scene, bound).play(scene, bound).await
    })
}

fn record(number: usize, zone: usize) -> Value {
    let record = NodeRecord {
        address: address(number),
        zone: format!("z{zone}").as_str().into(),
        disk: DiskId(number as u64),
    };
    serde_json::to_value(record).expect("records serialise")
}

/// A name for a relay's machine; nothing listens there.
fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1 + number as u16))
}

impl World {
    fn new(scene: &Scene, bound: Duration) -> Self {
        let budget = FreshnessBudget::new(bound);
        let (store, lagging, cuts) = (MemoryStore::new(), MemoryStore::new(), Cuts::new());
        let (peers, calls) = PeerClient::new();
        let addresses: Vec<SocketAddr> = (0..scene.zones.len()).map(address).collect();
        let start = |number: usize| {
            let own = OwnStore::new(&store, &lagging, &cuts);
            let others = addresses.iter().copied();
            let others = others.filter(|other| *other != addresses[number]).collect();
            RelayNode::start(own, peers.clone(), others, budget)
        };
        let relays: Vec<Rc<RelayNode>> = (0..scene.zones.len()).map(start).collect();
        actix_rt::spawn(machines::serve(calls, addresses, relays.clone()));
        let mut world = Self {
            store,
            lagging,
            cuts,
            peers,
            budget,
            relays,
            followers: Vec::new(),
            delayed: VecDeque::new(),
            acknowledged: VecDeque::new(),
            shut: false,
            random: StdRng::seed_from_u64(scene.seed),
        };
        for (number, zone) in scene.zones.iter().enumerate() {
            world.put(KIND, format!("node.r{number}"), record(number, *zone));
        }
        for number in 0..BACKEND_COUNT {
            world.change_backend(number);
        }
        world.change_configuration(0);
        for _ in 0..scene.followers {
            world.join();
        }
        world
    }

    fn join(&mut self) {
        let own = OwnStore::new(&self.store, &self.lagging, &self.cuts);
        let number = self.followers.len();
        let follower = Follower::start(number, own, self.peers.clone(), self.budget);
        self.followers.push(follower);
    }

    fn put(&mut self, kind: &'static str, name: String, spec: Value) {
        self.store.put(kind, &name, spec.clone());
        let due = Instant::now() + LAG;
        self.delayed.push_back((due, kind, name, spec));
    }

    fn acknowledge(&mut self, kind: &'static str, name: String, number: u64) {
        let at = Instant::now();
        self.acknowledged.push_back(Acknowledged {
            at,
            kind,
            name,
            number,
        });
    }

    fn change_configuration(&mut self, number: u64) {
        let name = "newest".to_owned();
        self.put(CONFIGURATION, name.clone(), json!({"number": number}));
        self.acknowledge(CONFIGURATION, name, number);
    }

    /// A back end comes, or says that it leaves.
    fn change_backend(&mut self, number: u64) {
        let name = format!("b{}", number % BACKEND_COUNT);
        let leaving = (number / BACKEND_COUNT) % 2 == 1;
        let spec = json!({"leaving": leaving, "number": number});
        self.put(BACKENDS, name.clone(), spec);
        self.acknowledge(BACKENDS, name, number);
    }

    async fn play(mut self, scene: &Scene, bound: Duration) -> Played {
        let start = Instant::now();
        let mut played = Played::default();
        let mut events = scene.events.iter().peekable();
        let mut next_change = [Duration::ZERO; 2];
        let mut numbers = [1, BACKEND_COUNT];
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
                let number = numbers[kind];
                numbers[kind] += 1;
                let pause = match KINDS[kind] {
                    CONFIGURATION => self.random.random_range(150..350),
                    _ => self.random.random_range(100..2_000),
                };
                next_change[kind] = passed + Duration::from_millis(pause);
                match KINDS[kind] {
                    CONFIGURATION => self.change_configuration(number),
                    _ => self.change_backend(number),
                }
            }
            self.catch_up();
            self.judge(passed, bound, &mut played);
            self.forget_known();
            passed += STEP;
        }
        played.changes = numbers.iter().sum::<u64>() as usize;
        played
    }

    /// Makes changes in the copy of the store whose time has come.
    fn catch_up(&mut self) {
        let now = Instant::now();
        while let Some((_, kind, name, spec)) = self.delayed.pop_front_if(|(due, ..)| *due <= now) {
            self.lagging.put(kind, &name, spec);
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
        }
    }

    /// Looks what followers in touch lack.
    fn judge(&self, passed: Duration, bound: Duration, played: &mut Played) {
        let now = Instant::now();
        for follower in &self.followers {
            if let Some(back) = follower.taken_back() {
                played
                    .taken_back
                    .get_or_insert(format!("{} {back}", follower.name));
            }
            if !follower.in_touch_for(IN_TOUCH_AFTER) {
                continue;
            }
            for (kind, oldest) in KINDS.into_iter().zip(&mut played.oldest) {
                let Some(age) = self.age(now, follower, kind) else {
                    continue;
                };
                let late = || Late {
                    after: passed,
                    follower: follower.name.clone(),
                    kind,
                    age,
                    relays: self.relays_now(),
                };
                if age > bound && played.first_late.is_none() {
                    played.first_late = Some(late());
                }
                *oldest = age.max(*oldest);
                if played.latest.as_ref().is_none_or(|latest| latest.age < age) {
                    played.latest = Some(late());
                }
            }
        }
    }

    /// Forgets the oldest changes as far as all followers know them and later ones of the same objects
    /// are left to ask for.
    fn forget_known(&mut self) {
        while let Some(first) = self.acknowledged.front() {
            let same = |one: &&Acknowledged| one.kind == first.kind && one.name == first.name;
            let is_last = self.acknowledged.iter().filter(same).count() == 1;
            let mut followers = self.followers.iter();
            if is_last || !followers.all(|one| one.knows(first.kind, &first.name, first.number)) {
                return;
            }
            self.acknowledged.pop_front();
        }
    }

    /// Age of the oldest change of a kind that a follower does not know.
    fn age(&self, now: Instant, follower: &Follower, kind: &str) -> Option<Duration> {
        let of_kind = self.acknowledged.iter().filter(|one| one.kind == kind);
        let mut unknown = of_kind.filter(|one| !follower.knows(kind, &one.name, one.number));
        unknown.next().map(|one| now.duration_since(one.at))
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
