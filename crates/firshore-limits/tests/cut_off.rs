//! Nodes that are cut off: what is far below a limit is admitted all the same, and all nodes together never admit
//! more than the limit allows.

mod support;

use firshore_adapter::tenant::{RateLimit, Tenant};
use firshore_limits::limiter::{Basis, TenantLimiter};
use firshore_limits::report::{TenantDigest, TenantView, UsageResponse};
use std::time::{Duration, Instant};
use support::{Fleet, Scene, Shape};

/// Part of what nodes that are cut off are asked that they may refuse, each knowing its own requests alone.
const REFUSED: f64 = 0.25;

/// Time for which a third of the nodes is cut off, in seconds.
const CUT_SECONDS: f64 = 12.0;

const SPAN: Duration = support::WINDOW;

/// Seeds that are played: `FIRSHORE_LIMIT_SEEDS`, or 1.
fn seeds() -> u64 {
    let wanted = std::env::var("FIRSHORE_LIMIT_SEEDS");
    wanted.map_or(1, |seeds| seeds.parse().expect("a number of seeds"))
}

/// The bound of the rule: a tenth beyond the limit, and 20 requests, in each five seconds.
fn bound(scene: &Scene) -> f64 {
    (scene.rate * SPAN.as_secs_f64() + scene.burst) * 1.1 + 20.0
}

/// Asserts the bound at many rates and demands.
fn assert_bounded(shape: Shape, bursts: [f64; 3]) {
    let mut beyond = Vec::new();
    for seed in 0..seeds() {
        for rate in [0.5, 2.0, 5.0, 20.0, 41.0, 100.0, 226.0] {
            for demand in [0.4, 0.9, 1.3, 3.0, 10.0] {
                let scene = Scene {
                    seed,
                    rate,
                    burst: rate * bursts[seed as usize % 3],
                    demand: rate * demand,
                    shape,
                    ..Scene::default()
                };
                let most = Fleet::play(&scene).most_in_window;
                if most > bound(&scene) {
                    beyond.push(format!("{most} of {}: {scene:?}", bound(&scene)));
                }
            }
        }
    }
    assert!(beyond.is_empty(), "{}", beyond.join("\n"));
}

#[test]
fn nodes_that_are_all_cut_off_keep_to_the_limit_in_sum() {
    assert_bounded(Shape::AllCut, [1.0, 0.0, 3.0]);
    assert_bounded(Shape::AllCut, [0.0, 3.0, 1.0]);
}

#[test]
fn what_jumps_while_some_are_cut_off_keeps_to_the_limit() {
    assert_bounded(Shape::JumpInCut, [0.0, 3.0, 1.0]);
}

#[test]
fn what_is_far_below_the_limit_is_admitted_by_nodes_that_are_cut_off() {
    for rate in [20.0, 100.0, 226.0, 515.0] {
        for part in [0.1, 0.37, 0.6] {
            let (mut asked, mut refused) = (0.0, 0.0);
            for seed in 20..24 {
                let scene = Scene {
                    seed,
                    rate,
                    burst: rate,
                    demand: rate * part,
                    shape: Shape::Cut,
                    ..Scene::default()
                };
                let cut_off = (scene.nodes / 3) as f64 / scene.nodes as f64;
                let played = Fleet::play(&scene);
                refused += played.ideal - played.admitted;
                asked += scene.demand * cut_off * CUT_SECONDS;
            }
            let line = format!("{refused} of {asked:.0}: rate {rate}, {part} of it asked");
            println!("{line}");
            assert!(refused <= asked * REFUSED, "{line}");
        }
    }
}

fn tenant(per_second: f64) -> Tenant {
    let limit = RateLimit {
        per_second,
        burst: 0.0,
    };
    Tenant {
        name: "t".into(),
        priority: None,
        limit: Some(limit),
    }
}

/// What is told of a tenant.
fn news(tenant: &Tenant, left: f32, demand: f32) -> UsageResponse {
    let picture = TenantView {
        tenant: TenantDigest::from(&tenant.name),
        left,
        next: 0.0,
        demand,
    };
    UsageResponse {
        pictures: vec![picture],
        ledger: 1,
        complete: true,
    }
}

/// A limiter that admitted 20 requests in the span before it was cut off, as of all nodes 100 were, but none in its
/// last second.
fn cut_off(start: Instant, tenant: &Tenant) -> TenantLimiter {
    let mut limiter = TenantLimiter::new(7, SPAN);
    limiter.admit(start, tenant).expect("a first request");
    limiter.report(start, 1);
    limiter.apply_response(start, &news(tenant, 400.0, 20.0));
    for _ in 0..19 {
        limiter.admit(start, tenant).expect("much is left");
    }
    for tenth in 1..=20 {
        let now = start + Duration::from_millis(100 * tenth);
        limiter.report(now, 1);
        limiter.apply_response(now, &news(tenant, 400.0, 20.0));
    }
    limiter
}

#[test]
fn a_node_goes_on_by_what_it_admitted_before_it_was_cut_off() {
    let start = Instant::now();
    let tenant = tenant(100.0);
    let mut limiter = cut_off(start, &tenant);
    let mut now = start + Duration::from_secs(8);
    let mut admitted = 0;
    let refused = loop {
        now += Duration::from_millis(50);
        match limiter.admit(now, &tenant) {
            Ok(()) => admitted += 1,
            Err(refused) => break refused,
        }
    };
    // Half as much again as before, and what may be chance.
    assert!((30..=34).contains(&admitted), "{admitted}");
    assert_eq!(refused.basis, Basis::OldShare);
    assert!(refused.wait < Duration::from_secs(4), "{refused:?}");
    // The wait that is told is true.
    let then = now + refused.wait;
    assert!(limiter.admit(then, &tenant).is_ok(), "{refused:?}");
}

#[test]
fn what_a_node_admitted_long_ago_is_not_told_as_of_now() {
    let start = Instant::now();
    let tenant = tenant(100.0);
    let mut limiter = cut_off(start, &tenant);
    for tenth in 0..120 {
        let now = start + Duration::from_millis(2_000 + 100 * tenth);
        // Some are admitted, and none of them is told.
        let _ = limiter.admit(now, &tenant);
        limiter.report(now, 1);
        limiter.report_failed();
    }
    let told = limiter.report(start + Duration::from_secs(14), 1);
    let admitted = told.tenants[0].admitted;
    assert!((10..=35).contains(&admitted), "{admitted}");
}

#[test]
fn what_a_tenant_asks_of_all_nodes_is_known_as_far_as_its_limit_lets_it() {
    let start = Instant::now();
    let tenant = tenant(100.0);
    let mut limiter = TenantLimiter::new(7, SPAN);
    assert!(limiter.reported_demand().is_none());
    limiter.admit(start, &tenant).expect("a first request");
    limiter.report(start, 1);
    for (demand, known) in [(30.0, 30.0), (700.0, 100.0)] {
        limiter.apply_response(start, &news(&tenant, 400.0, demand));
        let (at, mut demands) = limiter.reported_demand().expect("it was told");
        assert_eq!(at, start);
        let demand = demands.next().expect("one tenant");
        assert_eq!(demand.tenant, TenantDigest::from(&tenant.name));
        assert_eq!(demand.per_second, known);
    }
}
