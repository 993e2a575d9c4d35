//! Nodes before one full service, in simulated time: tenants of skewed size, one of which asks several times its
//! usual, a line of requests that all nodes see, and nodes that are cut off from what the others tell.

use firshore_admission::admission::ShareStatus;
use firshore_admission::shares::{CallerRank, ShareRequest, ShareTable};
use firshore_limits::report::{TenantDemand, TenantDigest};
use firshore_types::ids::ServiceName;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::{Duration, Instant};

const STEP: Duration = Duration::from_millis(5);

/// Time that is played.
const LENGTH: Duration = Duration::from_secs(14);

/// When the hot tenant begins, and from when on it is counted what becomes of requests.
const HOT_FROM: Duration = Duration::from_secs(5);
const COUNTED_FROM: Duration = Duration::from_secs(6);

/// When nodes are cut off: before the hot tenant begins.
const CUT_FROM: Duration = Duration::from_millis(4_800);

/// Time between two pictures, and time over which the demand in them is averaged.
const TELL_INTERVAL: Duration = Duration::from_millis(100);
const DEMAND_TIME: Duration = Duration::from_millis(400);

/// Age of what nodes see of the line.
const LINE_STEPS: usize = 10;

/// Time in line up to which a request is let in, within its share and beyond; from the shorter one on the service
/// is full.
const WITHIN_LINE: Duration = Duration::from_millis(150);
const BEYOND_LINE: Duration = Duration::from_millis(45);

/// Requests a second of which one client sends each; a client keeps to one node.
const CLIENT_RATE: f64 = 3.0;

/// How shares are found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// No shares: first come, first served.
    None,
    /// Each node divides an equal part of the room among those who ask it.
    Local,
    /// By what all nodes are asked.
    Known,
}

/// What is played.
#[derive(Clone, Copy, Debug)]
pub struct Scene {
    pub seed: u64,
    pub way: Way,
    pub nodes: usize,
    pub tenants: usize,
    /// Requests a second that begin.
    pub room: f64,
    /// Requests a second of all tenants, as usual.
    pub usual: f64,
    /// The tenant that asks more than usual, and how much more.
    pub hot: usize,
    pub factor: f64,
    /// Part of the nodes that is cut off.
    pub cut: f64,
}

impl Default for Scene {
    fn default() -> Self {
        Self {
            seed: 1,
            way: Way::Known,
            nodes: 70,
            tenants: 84,
            room: 980.0,
            usual: 900.0,
            hot: 0,
            factor: 5.7,
            cut: 0.35,
        }
    }
}

/// What became of one tenant's requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct TenantEnd {
    /// Requests a second.
    pub demand: f64,
    /// Requests a second that its share of the room is.
    pub fair: f64,
    pub asked: u32,
    pub admitted: u32,
    /// Of these, such as were within the share.
    pub within: u32,
}

impl TenantEnd {
    /// Part of what it was due that it got.
    pub fn part(&self) -> f64 {
        let due = f64::from(self.asked) * self.fair / self.demand;
        f64::from(self.admitted) / due
    }
}

/// What came of a scene.
#[derive(Clone, Debug)]
pub struct Played {
    pub tenants: Vec<TenantEnd>,
    /// Requests that would have begun in the time that was counted.
    pub room: f64,
}

impl Played {
    pub fn admitted(&self) -> f64 {
        let admitted: u32 = self.tenants.iter().map(|end| end.admitted).sum();
        f64::from(admitted)
    }
}

struct Node {
    table: ShareTable,
    cut: bool,
    /// Arrivals by tenant of late, each forgotten by and by.
    arrivals: Vec<f64>,
}

/// Sizes of tenants, by Zipf's law with exponent 1.2.
fn sizes(scene: &Scene) -> Vec<f64> {
    let size = |rank: usize| ((rank + 1) as f64).powf(-1.2);
    let all: f64 = (0..scene.tenants).map(size).sum();
    let usual = |rank| scene.usual * size(rank) / all;
    (0..scene.tenants).map(usual).collect()
}

/// What each is due, by the definition: raised for all alike until it has what it asks, or the room is used up.
pub fn fair_shares(demands: &[f64], room: f64) -> Vec<f64> {
    const RAISE: f64 = 0.01;
    let mut level = 0.0;
    let sum = |level: f64| -> f64 { demands.iter().map(|demand| demand.min(level)).sum() };
    let most = demands.iter().copied().fold(0.0, f64::max);
    while level < most && sum(level + RAISE) <= room {
        level += RAISE;
    }
    demands.iter().map(|demand| demand.min(level)).collect()
}

fn poisson(random: &mut ChaCha8Rng, mean: f64) -> u32 {
    let limit = (-mean).exp();
    let mut product: f64 = random.random();
    let mut count = 0;
    while product > limit {
        product *= random.random::<f64>();
        count += 1;
    }
    count
}

struct Replay {
    scene: Scene,
    start: Instant,
    random: ChaCha8Rng,
    service: ServiceName,
    nodes: Vec<Node>,
    /// Node of each client, by tenant.
    clients: Vec<Vec<usize>>,
    usual: Vec<f64>,
    /// Demand of all nodes by tenant, as it is told.
    told: Vec<f64>,
    /// Requests in line, the newest last.
    line: Vec<f64>,
    ends: Vec<TenantEnd>,
}

/// Plays a scene.
pub fn play(scene: &Scene) -> Played {
    let mut replay = Replay::new(scene);
    let mut elapsed = Duration::ZERO;
    while elapsed < LENGTH {
        replay.step(elapsed);
        elapsed += STEP;
    }
    let counted = LENGTH - COUNTED_FROM;
    let mut ends = replay.ends;
    let demands: Vec<f64> = (0..scene.tenants)
        .map(|tenant| ends[tenant].demand)
        .collect();
    let fair = fair_shares(&demands, scene.room);
    for (end, fair) in ends.iter_mut().zip(fair) {
        end.fair = fair;
    }
    Played {
        tenants: ends,
        room: scene.room * counted.as_secs_f64(),
    }
}

impl Replay {
    fn new(scene: &Scene) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(scene.seed);
        let cut = (scene.nodes as f64 * scene.cut) as usize;
        let nodes = (0..scene.nodes).map(|number| Node {
            table: ShareTable::new(random.random()),
            cut: number < cut,
            arrivals: vec![0.0; scene.tenants],
        });
        let nodes: Vec<Node> = nodes.collect();
        let usual = sizes(scene);
        let clients = usual.iter().map(|rate| {
            let count = (rate / CLIENT_RATE).ceil() as usize;
            let draw = |_| random.random_range(0..scene.nodes);
            (0..count).map(draw).collect()
        });
        let clients: Vec<Vec<usize>> = clients.collect();
        Self {
            scene: *scene,
            start: Instant::now(),
            random,
            service: "s".into(),
            nodes,
            clients,
            told: usual.clone(),
            line: vec![0.0; LINE_STEPS],
            ends: vec![TenantEnd::default(); scene.tenants],
            usual,
        }
    }

    fn demand(&self, elapsed: Duration, tenant: usize) -> f64 {
        match tenant == self.scene.hot && elapsed >= HOT_FROM {
            true => self.usual[tenant] * self.scene.factor,
            false => self.usual[tenant],
        }
    }

    fn step(&mut self, elapsed: Duration) {
        let now = self.start + elapsed;
        self.average(elapsed);
        if elapsed
            .as_millis()
            .is_multiple_of(TELL_INTERVAL.as_millis())
        {
            self.tell(now, elapsed);
        }
        let drained = self.scene.room * STEP.as_secs_f64();
        let mut line = (self.line[LINE_STEPS - 1] - drained).max(0.0);
        for tenant in 0..self.scene.tenants {
            let mean = self.demand(elapsed, tenant) * STEP.as_secs_f64();
            for _ in 0..poisson(&mut self.random, mean) {
                line += f64::from(u8::from(self.ask(now, elapsed, tenant)));
            }
        }
        self.line.remove(0);
        self.line.push(line);
    }

    fn average(&mut self, elapsed: Duration) {
        let weight = STEP.as_secs_f64() / DEMAND_TIME.as_secs_f64();
        for tenant in 0..self.scene.tenants {
            let demand = self.demand(elapsed, tenant);
            self.told[tenant] += weight * (demand - self.told[tenant]);
        }
        for node in &mut self.nodes {
            for arrivals in &mut node.arrivals {
                *arrivals *= 1.0 - weight;
            }
        }
    }

    fn tell(&mut self, now: Instant, elapsed: Duration) {
        let way = self.scene.way;
        for node in &mut self.nodes {
            let demands = match way {
                Way::None => continue,
                Way::Known if node.cut && elapsed >= CUT_FROM => continue,
                Way::Known => self.told.clone(),
                Way::Local => {
                    let seconds = DEMAND_TIME.as_secs_f64();
                    node.arrivals.iter().map(|count| count / seconds).collect()
                }
            };
            let told = demands.into_iter().enumerate();
            let told = told.map(|(tenant, per_second)| TenantDemand {
                tenant: TenantDigest(tenant as u64),
                per_second,
            });
            node.table.update_demand(now, told);
        }
    }

    /// A request of a tenant comes to the node of one of its clients. Returns whether it is let in.
    fn ask(&mut self, now: Instant, elapsed: Duration, tenant: usize) -> bool {
        let clients = &self.clients[tenant];
        let node = clients[self.random.random_range(0..clients.len())];
        let node = &mut self.nodes[node];
        node.arrivals[tenant] += 1.0;
        let ask = ShareRequest {
            service: &self.service,
            tenant: TenantDigest(tenant as u64),
            rank: CallerRank::new(None, 0),
        };
        node.table.record_arrival(now, &ask);
        let delay = Duration::from_secs_f64(self.line[0] / self.scene.room);
        let is_full = delay > BEYOND_LINE;
        let room = match self.scene.way {
            Way::Local => self.scene.room / self.scene.nodes as f64,
            Way::Known | Way::None => self.scene.room,
        };
        let standing = match is_full && self.scene.way != Way::None {
            true => node.table.status(now, &ask, room),
            false => ShareStatus::Within,
        };
        let admitted = match standing {
            ShareStatus::Within => delay <= WITHIN_LINE,
            ShareStatus::Beyond => !is_full,
        };
        if elapsed >= COUNTED_FROM {
            let demand = self.demand(elapsed, tenant);
            let end = &mut self.ends[tenant];
            end.demand = demand;
            end.asked += 1;
            end.admitted += u32::from(admitted);
            end.within += u32::from(admitted && standing == ShareStatus::Within);
        }
        admitted
    }
}
