//! Tests limits that are divided among nodes, including nodes isolated from their allocator.

use firshore_routing::allocator::LimitAllocator;
use firshore_routing::limits::{
    GRANT_MILLISECONDS, LimitExceeded, LimitShare, REPORT_INTERVAL_MILLISECONDS, TenantKey,
    TenantLimiter,
};
use firshore_types::declaration::Limits;
use firshore_types::ids::InstanceId;

const TENANT: TenantKey = TenantKey(1);

fn rate_limit(limit: f64) -> Limits {
    Limits {
        requests_per_second: Some(limit),
        concurrent_requests: None,
    }
}

fn concurrency_limit(limit: u32) -> Limits {
    Limits {
        requests_per_second: None,
        concurrent_requests: Some(limit),
    }
}

/// Nodes in isolated groups, each with its own allocator.
struct Cluster {
    limits: Limits,
    nodes: Vec<TenantLimiter>,
    groups: Vec<usize>,
    allocators: Vec<LimitAllocator>,
}

impl Cluster {
    fn new(nodes: usize, limits: Limits) -> Self {
        let mut cluster = Self {
            limits,
            nodes: (0..nodes).map(|_| TenantLimiter::default()).collect(),
            groups: Vec::new(),
            allocators: Vec::new(),
        };
        cluster.set_groups(vec![0; nodes]);
        cluster
    }

    fn set_groups(&mut self, groups: Vec<usize>) {
        self.groups = groups;
        while self.allocators.len() <= *self.groups.iter().max().unwrap() {
            self.allocators.push(LimitAllocator::default());
        }
        for node in 0..self.nodes.len() {
            let live_nodes = self.live_nodes(node);
            self.nodes[node].set_live_nodes(live_nodes);
        }
    }

    fn live_nodes(&self, node: usize) -> u32 {
        let own_group = self.groups[node];
        self.groups
            .iter()
            .filter(|group| **group == own_group)
            .count() as u32
    }

    fn exchange(&mut self, now: u64, new_tenants_only: bool) {
        for node in 0..self.nodes.len() {
            let limiter = &mut self.nodes[node];
            let demands = if new_tenants_only {
                limiter.new_tenant_demands(now)
            } else {
                limiter.take_demands(now)
            };
            let live_nodes = self.live_nodes(node);
            let allocator = &mut self.allocators[self.groups[node]];
            for demand in demands {
                let instance = InstanceId(node as u64);
                let share = allocator.grant(now, instance, demand, live_nodes);
                self.nodes[node].apply_grant(now, demand.tenant, share);
            }
        }
    }

    /// Offers `per_second` requests per second to each node from `start` for `milliseconds`, and returns
    /// the number of admitted requests.
    fn offer(&mut self, start: u64, milliseconds: u64, per_second: &[u32]) -> u32 {
        let mut admitted = 0;
        for now in start..start + milliseconds {
            for (node, offered) in per_second.iter().enumerate() {
                let due = |moment: u64| moment * u64::from(*offered) / 1_000;
                for _ in due(now)..due(now + 1) {
                    if self.nodes[node].admit(now, TENANT, &self.limits).is_ok() {
                        self.nodes[node].release(TENANT);
                        admitted += 1;
                    }
                }
            }
            if now % REPORT_INTERVAL_MILLISECONDS == 0 {
                self.exchange(now, false);
            } else if now % 50 == 0 {
                self.exchange(now, true);
            }
        }
        admitted
    }
}

#[test]
fn admitted_rate_matches_the_limit_under_skewed_demand() {
    let cases: [(&str, &[u32]); 4] = [
        ("one node", &[500, 0, 0, 0, 0, 0, 0, 0]),
        ("skewed", &[300, 100, 50, 20, 10, 5, 2, 1]),
        ("even", &[60, 60, 60, 60, 60, 60, 60, 60]),
        ("below the limit", &[40, 20, 10, 10, 5, 3, 1, 1]),
    ];
    for (name, demand) in cases {
        let mut cluster = Cluster::new(8, rate_limit(100.0));
        cluster.offer(0, 5_000, demand);
        let admitted = cluster.offer(5_000, 20_000, demand);
        let offered: u32 = demand.iter().sum::<u32>() * 20;
        let expected = offered.min(2_000);
        // The equal split for nodes without demand, and rounding, remain unused.
        let minimum = f64::from(expected) * 0.93;
        assert!(
            f64::from(admitted) >= minimum,
            "{name}: {admitted} of {expected}"
        );
        // The shares add up to the limit; full token buckets add at most one second of it.
        assert!(
            admitted <= expected + 100,
            "{name}: {admitted} of {expected}"
        );
    }
}

#[test]
fn shares_follow_moving_demand_within_the_limit() {
    let mut cluster = Cluster::new(4, rate_limit(100.0));
    cluster.offer(0, 10_000, &[200, 0, 0, 0]);
    let while_moving = cluster.offer(10_000, 5_000, &[0, 200, 0, 0]);
    assert!(while_moving <= 500 + 150, "{while_moving}");
    let settled = cluster.offer(15_000, 10_000, &[0, 200, 0, 0]);
    assert!((900..=1_100).contains(&settled), "{settled}");
}

#[test]
fn new_tenant_is_admitted_and_its_excess_is_bounded() {
    let mut cluster = Cluster::new(8, rate_limit(100.0));
    let first = cluster.offer(0, 1_000, &[90, 0, 0, 0, 0, 0, 0, 0]);
    assert!(first >= 80, "{first}");
    let mut cluster = Cluster::new(8, rate_limit(100.0));
    let all = cluster.offer(0, 1_000, &[400; 8]);
    // Each of 8 nodes may admit at most one burst of the whole limit before its first grant.
    assert!(all <= 8 * 100 + 200, "{all}");
}

#[test]
fn each_side_of_a_partition_gets_the_limit_until_it_heals() {
    let mut cluster = Cluster::new(4, rate_limit(100.0));
    let demand = [200, 200, 200, 200];
    cluster.offer(0, 10_000, &demand);
    cluster.set_groups(vec![0, 0, 1, 1]);
    let during_partition = cluster.offer(10_000, 10_000, &demand);
    assert!(
        during_partition <= 2 * 1_000 + 200,
        "at most twice the limit: {during_partition}"
    );
    assert!(
        during_partition >= 900,
        "each side still admits requests: {during_partition}"
    );
    cluster.set_groups(vec![0; 4]);
    cluster.offer(20_000, 2 * GRANT_MILLISECONDS, &demand);
    let healed = cluster.offer(26_000, 10_000, &demand);
    assert!(healed <= 1_100, "{healed}");
}

#[test]
fn node_isolated_from_its_allocator_falls_back_to_equal_split() {
    let mut limiter = TenantLimiter::default();
    limiter.set_live_nodes(10);
    let limits = rate_limit(100.0);
    limiter.admit(0, TENANT, &limits).unwrap();
    limiter.apply_grant(
        0,
        TENANT,
        LimitShare {
            rate: 80.0,
            concurrent: 80,
        },
    );
    let mut admitted = [0; 8];
    for now in 0..8_000_u64 {
        if limiter.admit(now, TENANT, &limits).is_ok() {
            admitted[(now / 1_000) as usize] += 1;
        }
    }
    assert!((80..=160).contains(&admitted[1]), "{admitted:?}");
    assert!((9..=11).contains(&admitted[7]), "{admitted:?}");
}

#[test]
fn new_allocator_does_not_grant_shares_that_others_hold() {
    let limits = rate_limit(100.0);
    let mut allocator = LimitAllocator::default();
    let mut total = 0.0;
    for node in 0..4 {
        let demand = firshore_routing::limits::LimitDemand {
            tenant: TENANT,
            limits,
            wanted: LimitShare {
                rate: 200.0,
                concurrent: 0,
            },
            held: LimitShare {
                rate: 25.0,
                concurrent: 0,
            },
        };
        total += allocator.grant(0, InstanceId(node), demand, 4).rate;
    }
    assert!(total <= 100.0, "{total}");
}

#[test]
fn concurrency_is_shared_and_released() {
    let limits = concurrency_limit(10);
    let mut cluster = Cluster::new(2, limits);
    let node = &mut cluster.nodes[0];
    for _ in 0..10 {
        node.admit(0, TENANT, &limits).unwrap();
    }
    assert_eq!(
        node.admit(0, TENANT, &limits),
        Err(LimitExceeded::Concurrency)
    );
    node.release(TENANT);
    assert_eq!(node.admit(0, TENANT, &limits), Ok(()));
    cluster.exchange(50, true);
    cluster.nodes[1].admit(60, TENANT, &limits).unwrap();
    cluster.nodes[1].release(TENANT);
    cluster.exchange(100, true);
    let refusal = cluster.nodes[1].admit(110, TENANT, &limits);
    assert_eq!(
        refusal,
        Err(LimitExceeded::Concurrency),
        "the first node holds all ten slots"
    );
}

#[test]
fn refusal_reports_the_time_until_admission() {
    let mut limiter = TenantLimiter::default();
    limiter.set_live_nodes(1);
    let limits = rate_limit(2.0);
    let refusal = (0..10).find_map(|_| limiter.admit(0, TENANT, &limits).err());
    assert_eq!(refusal, Some(LimitExceeded::Rate(500)));
}

#[test]
fn idle_tenants_are_removed() {
    let mut limiter = TenantLimiter::default();
    for tenant in 0..1_000 {
        limiter
            .admit(0, TenantKey(tenant), &rate_limit(1.0))
            .unwrap();
        if tenant > 0 {
            limiter.release(TenantKey(tenant));
        }
    }
    limiter.take_demands(60_000);
    assert_eq!(
        limiter.len(),
        1,
        "the tenant with a running request remains"
    );
}
