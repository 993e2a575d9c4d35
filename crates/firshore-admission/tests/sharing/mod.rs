//! Nodes with one full service, in simulated time: tenants of skewed size, one of which has several
//! times its typical demand, a queue that all nodes observe, and isolated nodes.

use firshore_admission::admission::ShareStatus;
use firshore_admission::shares::{CallerRank, ShareRequest, ShareTable};
use firshore_limits::report::{TenantDemand, TenantDigest};
use firshore_types::ids::ServiceName;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::{Duration, Instant};

const STEP: Duration = Duration::from_millis(5);

/// Simulated time.
const LENGTH: Duration = Duration::from_secs(14);

/// Start of the hot tenant's high demand, and of counting.
const HOT_FROM: Duration = Duration::from_secs(5);
const COUNTED_FROM: Duration = Duration::from_secs(6);

/// Start of the isolation: before the hot tenant's high demand.
const ISOLATED_FROM: Duration = Duration::from_millis(4_800);

/// Time between two reports, and time over which the reported demand is averaged.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);
const DEMAND_TIME: Duration = Duration::from_millis(400);

/// Age of the nodes' view of the queue, in steps.
const QUEUE_VIEW_STEPS: usize = 10;

/// Queueing time up to which a request is admitted, within its share and beyond. From the shorter one
/// on, the service is full.
const MAX_WITHIN_WAIT: Duration = Duration::from_millis(150);
const MAX_BEYOND_WAIT: Duration = Duration::from_millis(45);

/// Requests per second of each client; a client keeps to one node.
const CLIENT_RATE: f64 = 3.0;

/// How shares are determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// No shares: first come, first served.
    None,
    /// Each node divides an equal fraction of the capacity among its own requests.
    Local,
    /// By the demand over all nodes.
    Known,
}

/// Parameters of a run.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    pub seed: u64,
    pub policy: Policy,
    pub nodes: usize,
    pub tenants: usize,
    /// Capacity, in requests per second.
    pub capacity: f64,
    /// Typical demand of all tenants, in requests per second.
    pub typical: f64,
    /// The tenant with higher demand than typical, and the factor.
    pub hot: usize,
    pub factor: f64,
    /// Fraction of the nodes that is isolated.
    pub isolated: f64,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            seed: 1,
            policy: Policy::Known,
            nodes: 70,
            tenants: 84,
            capacity: 980.0,
            typical: 900.0,
            hot: 0,
            factor: 5.7,
            isolated: 0.35,
        }
    }
}

/// Result of one tenant.
#[derive(Clone, Copy, Debug, Default)]
pub struct TenantOutcome {
    /// Demand, in requests per second.
    pub demand: f64,
    /// Fair share of the capacity, in requests per second.
    pub fair: f64,
    pub requested: u32,
    pub admitted: u32,
    /// Of these, requests within the share.
    pub within: u32,
}

impl TenantOutcome {
    /// Returns the admitted fraction of its fair share.
    pub fn fraction(&self) -> f64 {
        let due = f64::from(self.requested) * self.fair / self.demand;
        f64::from(self.admitted) / due
    }
}

/// Result of a run.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub tenants: Vec<TenantOutcome>,
    /// Requests that the capacity allows in the counted time.
    pub capacity: f64,
}

impl Outcome {
    pub fn admitted(&self) -> f64 {
        let admitted: u32 = self
            .tenants
            .iter()
            .map(|tenant_outcome| tenant_outcome.admitted)
            .sum();
        f64::from(admitted)
    }
}

struct Node {
    table: ShareTable,
    isolated: bool,
    /// Recent arrivals by tenant, decaying exponentially.
    arrivals: Vec<f64>,
}

/// Returns the typical demand of each tenant, by Zipf's law with exponent 1.2.
fn sizes(scenario: &Scenario) -> Vec<f64> {
    let size = |rank: usize| ((rank + 1) as f64).powf(-1.2);
    let all: f64 = (0..scenario.tenants).map(size).sum();
    let typical = |rank| scenario.typical * size(rank) / all;
    (0..scenario.tenants).map(typical).collect()
}

/// Returns the fair share of each tenant, by definition: raised equally for all until the tenant's
/// demand is met or the capacity is used up.
pub fn fair_shares(demands: &[f64], capacity: f64) -> Vec<f64> {
    const RAISE: f64 = 0.01;
    let mut level = 0.0;
    let sum = |level: f64| -> f64 { demands.iter().map(|demand| demand.min(level)).sum() };
    let max = demands.iter().copied().fold(0.0, f64::max);
    while level < max && sum(level + RAISE) <= capacity {
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

struct Simulation {
    scenario: Scenario,
    start: Instant,
    random: ChaCha8Rng,
    service: ServiceName,
    nodes: Vec<Node>,
    /// Node of each client, by tenant.
    clients: Vec<Vec<usize>>,
    typical: Vec<f64>,
    /// Reported demand over all nodes, by tenant.
    reported: Vec<f64>,
    /// Queue length by step, the newest last.
    queue: Vec<f64>,
    tenants: Vec<TenantOutcome>,
}

/// Runs a scenario.
pub fn run(scenario: &Scenario) -> Outcome {
    let mut simulation = Simulation::new(scenario);
    let mut elapsed = Duration::ZERO;
    while elapsed < LENGTH {
        simulation.step(elapsed);
        elapsed += STEP;
    }
    let counted = LENGTH - COUNTED_FROM;
    let mut tenants = simulation.tenants;
    let demands: Vec<f64> = (0..scenario.tenants)
        .map(|tenant| tenants[tenant].demand)
        .collect();
    let fair = fair_shares(&demands, scenario.capacity);
    for (tenant_outcome, fair) in tenants.iter_mut().zip(fair) {
        tenant_outcome.fair = fair;
    }
    Outcome {
        tenants,
        capacity: scenario.capacity * counted.as_secs_f64(),
    }
}

impl Simulation {
    fn new(scenario: &Scenario) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(scenario.seed);
        let isolated = (scenario.nodes as f64 * scenario.isolated) as usize;
        let nodes = (0..scenario.nodes).map(|number| Node {
            table: ShareTable::new(random.random()),
            isolated: number < isolated,
            arrivals: vec![0.0; scenario.tenants],
        });
        let nodes: Vec<Node> = nodes.collect();
        let typical = sizes(scenario);
        let clients = typical.iter().map(|rate| {
            let count = (rate / CLIENT_RATE).ceil() as usize;
            let draw = |_| random.random_range(0..scenario.nodes);
            (0..count).map(draw).collect()
        });
        let clients: Vec<Vec<usize>> = clients.collect();
        Self {
            scenario: *scenario,
            start: Instant::now(),
            random,
            service: "s".into(),
            nodes,
            clients,
            reported: typical.clone(),
            queue: vec![0.0; QUEUE_VIEW_STEPS],
            tenants: vec![TenantOutcome::default(); scenario.tenants],
            typical,
        }
    }

    fn demand(&self, elapsed: Duration, tenant: usize) -> f64 {
        match tenant == self.scenario.hot && elapsed >= HOT_FROM {
            true => self.typical[tenant] * self.scenario.factor,
            false => self.typical[tenant],
        }
    }

    fn step(&mut self, elapsed: Duration) {
        let now = self.start + elapsed;
        self.average(elapsed);
        if elapsed
            .as_millis()
            .is_multiple_of(REPORT_INTERVAL.as_millis())
        {
            self.report(now, elapsed);
        }
        let drained = self.scenario.capacity * STEP.as_secs_f64();
        let mut queue = (self.queue[QUEUE_VIEW_STEPS - 1] - drained).max(0.0);
        for tenant in 0..self.scenario.tenants {
            let mean = self.demand(elapsed, tenant) * STEP.as_secs_f64();
            for _ in 0..poisson(&mut self.random, mean) {
                queue += f64::from(u8::from(self.send(now, elapsed, tenant)));
            }
        }
        self.queue.remove(0);
        self.queue.push(queue);
    }

    fn average(&mut self, elapsed: Duration) {
        let weight = STEP.as_secs_f64() / DEMAND_TIME.as_secs_f64();
        for tenant in 0..self.scenario.tenants {
            let demand = self.demand(elapsed, tenant);
            self.reported[tenant] += weight * (demand - self.reported[tenant]);
        }
        for node in &mut self.nodes {
            for arrivals in &mut node.arrivals {
                *arrivals *= 1.0 - weight;
            }
        }
    }

    fn report(&mut self, now: Instant, elapsed: Duration) {
        let policy = self.scenario.policy;
        for node in &mut self.nodes {
            let demands = match policy {
                Policy::None => continue,
                Policy::Known if node.isolated && elapsed >= ISOLATED_FROM => continue,
                Policy::Known => self.reported.clone(),
                Policy::Local => {
                    let seconds = DEMAND_TIME.as_secs_f64();
                    node.arrivals.iter().map(|count| count / seconds).collect()
                }
            };
            let reported = demands.into_iter().enumerate();
            let reported = reported.map(|(tenant, per_second)| TenantDemand {
                tenant: TenantDigest(tenant as u64),
                per_second,
            });
            node.table.update_demand(now, reported);
        }
    }

    /// Sends a tenant's request to the node of one of its clients. Returns whether it is admitted.
    fn send(&mut self, now: Instant, elapsed: Duration, tenant: usize) -> bool {
        let clients = &self.clients[tenant];
        let node = clients[self.random.random_range(0..clients.len())];
        let node = &mut self.nodes[node];
        node.arrivals[tenant] += 1.0;
        let request = ShareRequest {
            service: &self.service,
            tenant: TenantDigest(tenant as u64),
            rank: CallerRank::new(None, 0),
        };
        node.table.record_arrival(now, &request);
        let delay = Duration::from_secs_f64(self.queue[0] / self.scenario.capacity);
        let is_full = delay > MAX_BEYOND_WAIT;
        let capacity = match self.scenario.policy {
            Policy::Local => self.scenario.capacity / self.scenario.nodes as f64,
            Policy::Known | Policy::None => self.scenario.capacity,
        };
        let status = match is_full && self.scenario.policy != Policy::None {
            true => node.table.status(now, &request, capacity),
            false => ShareStatus::Within,
        };
        let admitted = match status {
            ShareStatus::Within => delay <= MAX_WITHIN_WAIT,
            ShareStatus::Beyond => !is_full,
        };
        if elapsed >= COUNTED_FROM {
            let demand = self.demand(elapsed, tenant);
            let tenant_outcome = &mut self.tenants[tenant];
            tenant_outcome.demand = demand;
            tenant_outcome.requested += 1;
            tenant_outcome.admitted += u32::from(admitted);
            tenant_outcome.within += u32::from(admitted && status == ShareStatus::Within);
        }
        admitted
    }
}
