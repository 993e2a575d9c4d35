//! Isolated nodes admit demand far below a limit, and all nodes together never exceed the limit.

mod support;

use firshore_adapter::tenant::{RateLimit, Tenant};
use firshore_limits::limiter::{Basis, TenantLimiter};
use firshore_limits::report::{TenantDigest, TenantView, UsageResponse};
use std::time::{Duration, Instant};
use support::{Fleet, Scenario, Shape};

/// Fraction of the demand at isolated nodes that they may refuse, as each knows only its own
/// requests.
const MAX_REFUSED: f64 = 0.25;

/// Time for which a third of the nodes is isolated, in seconds.
const ISOLATED_SECONDS: f64 = 12.0;

const SPAN: Duration = support::WINDOW;

/// Number of seeds to run: `FIRSHORE_LIMIT_SEEDS`, or 1.
fn seeds() -> u64 {
    let wanted = std::env::var("FIRSHORE_LIMIT_SEEDS");
    wanted.map_or(1, |seeds| seeds.parse().expect("a number of seeds"))
}

/// Returns the most that may be admitted in five seconds: 10 % beyond the limit, and 20 requests.
fn bound(scenario: &Scenario) -> f64 {
    (scenario.rate * SPAN.as_secs_f64() + scenario.burst) * 1.1 + 20.0
}

/// Asserts the bound at many rates and demands.
fn assert_bounded(shape: Shape, bursts: [f64; 3]) {
    let mut beyond = Vec::new();
    for seed in 0..seeds() {
        for rate in [0.5, 2.0, 5.0, 20.0, 41.0, 100.0, 226.0] {
            for demand in [0.4, 0.9, 1.3, 3.0, 10.0] {
                let scenario = Scenario {
                    seed,
                    rate,
                    burst: rate * bursts[seed as usize % 3],
                    demand: rate * demand,
                    shape,
                    ..Scenario::default()
                };
                let max = Fleet::run(&scenario).max_in_window;
                if max > bound(&scenario) {
                    beyond.push(format!("{max} of {}: {scenario:?}", bound(&scenario)));
                }
            }
        }
    }
    assert!(beyond.is_empty(), "{}", beyond.join("\n"));
}

#[test]
fn all_nodes_isolated_keep_to_the_limit_in_sum() {
    assert_bounded(Shape::AllIsolated, [1.0, 0.0, 3.0]);
    assert_bounded(Shape::AllIsolated, [0.0, 3.0, 1.0]);
}

#[test]
fn jump_while_some_nodes_are_isolated_keeps_to_the_limit() {
    assert_bounded(Shape::JumpWhileIsolated, [0.0, 3.0, 1.0]);
}

#[test]
fn what_is_far_below_the_limit_is_admitted_by_nodes_that_are_cut_off() {
    for rate in [20.0, 100.0, 226.0, 515.0] {
        for fraction in [0.1, 0.37, 0.6] {
            let (mut requested, mut refused) = (0.0, 0.0);
            for seed in 20..24 {
                let scenario = Scenario {
                    seed,
                    rate,
                    burst: rate,
                    demand: rate * fraction,
                    shape: Shape::Isolated,
                    ..Scenario::default()
                };
                let isolated = (scenario.nodes / 3) as f64 / scenario.nodes as f64;
                let outcome = Fleet::run(&scenario);
                refused += outcome.ideal - outcome.admitted;
                requested += scenario.demand * isolated * ISOLATED_SECONDS;
            }
            let line =
                format!("{refused} of {requested:.0}: rate {rate}, {fraction} of it requested");
            println!("{line}");
            assert!(refused <= requested * MAX_REFUSED, "{line}");
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
        allowed_regions: Default::default(),
    }
}

/// Returns a response about one tenant.
fn response(tenant: &Tenant, left: f32, demand: f32) -> UsageResponse {
    let view = TenantView {
        tenant: TenantDigest::from(&tenant.name),
        left,
        next: 0.0,
        demand,
    };
    UsageResponse {
        views: vec![view],
        ledger: 1,
        complete: true,
    }
}

/// Returns a limiter that admitted 20 of all nodes' 100 requests in the span before it was isolated,
/// and none in its last second.
fn isolated(start: Instant, tenant: &Tenant) -> TenantLimiter {
    let mut limiter = TenantLimiter::new(7, SPAN);
    limiter.admit(start, tenant).expect("a first request");
    limiter.report(start, 1);
    limiter.apply_response(start, &response(tenant, 400.0, 20.0));
    for _ in 0..19 {
        limiter.admit(start, tenant).expect("much is left");
    }
    for tenth in 1..=20 {
        let now = start + Duration::from_millis(100 * tenth);
        limiter.report(now, 1);
        limiter.apply_response(now, &response(tenant, 400.0, 20.0));
    }
    limiter
}

#[test]
fn isolated_node_admits_by_its_earlier_admissions() {
    let start = Instant::now();
    let tenant = tenant(100.0);
    let mut limiter = isolated(start, &tenant);
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
    // A caller that waits for the returned time is admitted.
    let then = now + refused.wait;
    assert!(limiter.admit(then, &tenant).is_ok(), "{refused:?}");
}

#[test]
fn admissions_older_than_the_span_are_not_reported() {
    let start = Instant::now();
    let tenant = tenant(100.0);
    let mut limiter = isolated(start, &tenant);
    for tenth in 0..120 {
        let now = start + Duration::from_millis(2_000 + 100 * tenth);
        // Some are admitted, and none of them is reported successfully.
        let _ = limiter.admit(now, &tenant);
        limiter.report(now, 1);
        limiter.report_failed();
    }
    let last_report = limiter.report(start + Duration::from_secs(14), 1);
    let admitted = last_report.tenants[0].admitted;
    assert!((10..=35).contains(&admitted), "{admitted}");
}

#[test]
fn known_demand_is_capped_at_the_limit() {
    let start = Instant::now();
    let tenant = tenant(100.0);
    let mut limiter = TenantLimiter::new(7, SPAN);
    assert!(limiter.reported_demand().is_none());
    limiter.admit(start, &tenant).expect("a first request");
    limiter.report(start, 1);
    for (demand, known) in [(30.0, 30.0), (700.0, 100.0)] {
        limiter.apply_response(start, &response(&tenant, 400.0, demand));
        let (at, mut demands) = limiter.reported_demand().expect("a response was received");
        assert_eq!(at, start);
        let demand = demands.next().expect("one tenant");
        assert_eq!(demand.tenant, TenantDigest::from(&tenant.name));
        assert_eq!(demand.per_second, known);
    }
}
