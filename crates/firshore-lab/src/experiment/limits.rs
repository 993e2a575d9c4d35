//! `experiment limits`: how far shared limits are missed, in simulated time, and what their tables
//! take of memory.

use crate::experiment::Experiment;
use crate::report::Report;
use firshore_routing::allocator::LimitAllocator;
use firshore_routing::limits::{
    LimitGrant, REPORT_INTERVAL_MILLISECONDS, TenantKey, TenantLimiter,
};
use firshore_types::declaration::Limits;
use firshore_types::ids::InstanceId;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::VecDeque;

const SIZES: [usize; 3] = [8, 60, 630];
const LIMIT: f64 = 1_000.0;
const TENANT: TenantKey = TenantKey(7);

/// Tenants whose tables are weighed.
const TENANTS: u64 = 12_000;

/// Offered load as a multiple of the limit.
const OFFERED: f64 = 3.0;

/// Times in milliseconds.
const SETTLE: u64 = 10_000;
const MEASURE: u64 = 30_000;
const ANSWER_DELAY: u64 = 50;
const FIRST_CONTACT_TICK: u64 = 100;

/// Largest excess and shortfall allowed once demand is steady, as shares of the limit.
const STEADY_ERROR_LIMIT: f64 = 0.06;

struct Answer {
    at: u64,
    node: usize,
    reported_at: u64,
    grant: LimitGrant,
}

struct Cluster {
    limits: Limits,
    nodes: Vec<TenantLimiter>,
    side: Vec<usize>,
    allocators: [LimitAllocator; 2],
    answers: VecDeque<Answer>,
    cumulative: Vec<f64>,
    random: ChaCha8Rng,
}

impl Cluster {
    fn new(count: usize, seed: u64) -> Self {
        let mut total = 0.0;
        let cumulative = (1..=count)
            .map(|rank| {
                total += 1.0 / rank as f64;
                total
            })
            .collect();
        let limits = Limits {
            requests_per_second: Some(LIMIT),
            concurrent_requests: None,
        };
        let mut cluster = Self {
            limits,
            nodes: (0..count).map(|_| TenantLimiter::default()).collect(),
            side: vec![0; count],
            allocators: Default::default(),
            answers: VecDeque::new(),
            cumulative,
            random: ChaCha8Rng::seed_from_u64(seed),
        };
        cluster.count_nodes();
        cluster
    }

    fn count_nodes(&mut self) {
        for node in 0..self.nodes.len() {
            let alive = self.alive(node);
            self.nodes[node].set_live_nodes(alive);
        }
    }

    fn alive(&self, node: usize) -> u32 {
        let side = self.side[node];
        self.side.iter().filter(|other| **other == side).count() as u32
    }

    fn partition(&mut self) {
        let count = self.nodes.len();
        self.side = (0..count).map(|node| node % 2).collect();
        self.count_nodes();
    }

    /// Demand moves to the nodes that had least of it.
    fn reverse(&mut self) {
        self.nodes.reverse();
        self.side.reverse();
    }

    fn exchange(&mut self, now: u64, whole: bool) {
        for node in 0..self.nodes.len() {
            let limiter = &mut self.nodes[node];
            let demands = if whole {
                limiter.take_demands(now)
            } else {
                limiter.new_tenant_demands(now)
            };
            let alive = self.alive(node);
            for demand in demands {
                let instance = InstanceId(node as u64);
                let allocator = &mut self.allocators[self.side[node]];
                let share = allocator.grant(now, instance, demand, alive);
                let tenant = demand.tenant;
                self.answers.push_back(Answer {
                    at: now + ANSWER_DELAY,
                    node,
                    reported_at: now,
                    grant: LimitGrant { tenant, share },
                });
            }
        }
    }

    fn deliver(&mut self, now: u64) {
        while self.answers.front().is_some_and(|answer| answer.at <= now) {
            if let Some(answer) = self.answers.pop_front() {
                let LimitGrant { tenant, share } = answer.grant;
                self.nodes[answer.node].apply_grant(answer.reported_at, tenant, share);
            }
        }
    }

    fn offer_one(&mut self, now: u64) -> bool {
        let total = self.cumulative[self.cumulative.len() - 1];
        let drawn = self.random.random::<f64>() * total;
        let node = self.cumulative.partition_point(|sum| *sum < drawn);
        let admitted = self.nodes[node].admit(now, TENANT, &self.limits).is_ok();
        if admitted {
            self.nodes[node].release(TENANT);
        }
        admitted
    }

    /// Offers load from `start` on; gives the requests admitted in each second.
    fn run(&mut self, start: u64, milliseconds: u64) -> Vec<f64> {
        let mut seconds = vec![0.0; (milliseconds / 1_000) as usize];
        let each = (LIMIT * OFFERED / 1_000.0) as u64;
        for now in start..start + milliseconds {
            self.deliver(now);
            for _ in 0..each {
                let admitted = self.offer_one(now);
                seconds[((now - start) / 1_000) as usize] += f64::from(u8::from(admitted));
            }
            if now.is_multiple_of(REPORT_INTERVAL_MILLISECONDS) {
                self.exchange(now, true);
            } else if now.is_multiple_of(FIRST_CONTACT_TICK) {
                self.exchange(now, false);
            }
        }
        seconds
    }
}

fn mean(seconds: &[f64]) -> f64 {
    seconds.iter().sum::<f64>() / seconds.len() as f64
}

fn largest(seconds: &[f64]) -> f64 {
    seconds.iter().copied().fold(0.0, f64::max)
}

fn resident_bytes() -> f64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1);
    pages
        .and_then(|pages| pages.parse::<f64>().ok())
        .unwrap_or(0.0)
        * 4_096.0
}

fn memory(report: &mut Report) {
    let before = resident_bytes();
    let limits = Limits {
        requests_per_second: Some(100.0),
        concurrent_requests: Some(100),
    };
    let mut limiter = TenantLimiter::default();
    let mut allocator = LimitAllocator::default();
    for tenant in 0..TENANTS {
        let key = TenantKey::of(&format!("tenant-{tenant}"), &limits);
        let _ = limiter.admit(0, key, &limits);
    }
    let own = resident_bytes();
    report.figure("node_table_12000_tenants", "MB", (own - before) / 1e6, None);
    for demand in limiter.take_demands(0) {
        allocator.grant(0, InstanceId(1), demand, 630);
    }
    let both = (resident_bytes() - before) / 1e6;
    report.figure("node_and_allocator_12000_tenants", "MB", both, None);
}

/// Runs it; `Ok(true)` when every limit is kept.
pub fn run(experiment: &Experiment) -> Result<bool, String> {
    let mut report = Report::new("limits", experiment.seed);
    memory(&mut report);
    for count in SIZES {
        let mut cluster = Cluster::new(count, experiment.seed);
        let name = |figure: &str| format!("nodes_{count}_{figure}");
        let first = cluster.run(0, SETTLE);
        report.figure(&name("first_second"), "ratio", first[0] / LIMIT, None);
        let steady = cluster.run(SETTLE, MEASURE);
        let excess = mean(&steady) / LIMIT - 1.0;
        report.at_most(
            &name("steady_excess"),
            "ratio",
            excess,
            STEADY_ERROR_LIMIT,
            None,
        );
        report.at_most(
            &name("steady_shortfall"),
            "ratio",
            -excess,
            STEADY_ERROR_LIMIT,
            None,
        );
        report.figure(
            &name("steady_worst_second"),
            "ratio",
            largest(&steady) / LIMIT,
            None,
        );
        cluster.reverse();
        let start = SETTLE + MEASURE;
        let moved = cluster.run(start, SETTLE);
        report.figure(
            &name("moved_worst_second"),
            "ratio",
            largest(&moved) / LIMIT,
            None,
        );
        report.figure(&name("moved_mean_10s"), "ratio", mean(&moved) / LIMIT, None);
        cluster.partition();
        let apart = cluster.run(start + SETTLE, MEASURE);
        let after = mean(&apart[10..]) / LIMIT;
        report.figure(&name("two_sides_mean"), "ratio", after, None);
    }
    report.note("Ratios to the limit of 1,000 a second; three times as much is offered, skewed over the nodes as 1/rank. Answers of the allocator take 50 ms.");
    report.note("'moved': the demand of each node moves to another at once. 'two_sides': a partition in two halves, each with its own allocator.");
    report
        .write(&experiment.out)
        .map_err(|error| error.to_string())
}
