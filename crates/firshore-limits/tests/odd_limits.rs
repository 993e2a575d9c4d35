//! Limits of tenants near the ends of the range of numbers. Guards against a number in the configuration that ends the
//! process that counts with it.

use firshore_adapter::residency::AllowedRegions;
use firshore_adapter::tenant::{RateLimit, Tenant};
use firshore_limits::ledger::UsageLedger;
use firshore_limits::limiter::TenantLimiter;
use firshore_types::ids::TenantName;
use std::time::{Duration, Instant};

const SPAN: Duration = Duration::from_secs(5);
const ROUND: Duration = Duration::from_millis(100);
const ROUNDS: u32 = 100;
const REQUESTS_PER_ROUND: usize = 20;

/// Maximum requests admitted at 20 a second and a burst of 20, with half as much on top.
const MAX_ADMITTED: usize = 330;

const ODD_NUMBERS: [f64; 7] = [
    f64::from_bits(1), // The smallest number above 0.
    1e-300,
    1e39, // Beyond the range of f32, in which nodes report limits.
    1e300,
    f64::MAX,
    0.0,
    20.0,
];

fn tenant(per_second: f64, burst: f64) -> Tenant {
    Tenant {
        name: TenantName("t".to_owned()),
        priority: None,
        limit: Some(RateLimit { per_second, burst }),
        allowed_regions: AllowedRegions::default(),
    }
}

/// Returns how many requests of a tenant two nodes admit that report to one ledger.
fn admitted(tenant: &Tenant) -> usize {
    let start = Instant::now();
    let mut ledger = UsageLedger::new(1, start, SPAN);
    let mut limiters = [TenantLimiter::new(1, SPAN), TenantLimiter::new(2, SPAN)];
    let mut admitted = 0;
    for round in 0..ROUNDS {
        let now = start + ROUND * round;
        for (node, limiter) in ["a", "b"].into_iter().zip(&mut limiters) {
            limiter.configure([tenant]);
            for _ in 0..REQUESTS_PER_ROUND {
                admitted += usize::from(limiter.admit(now, tenant).is_ok());
            }
            let report = limiter.report(now, 1);
            // The second node does not reach the ledger for some time.
            if node == "b" && (30..60).contains(&round) {
                limiter.report_failed();
                continue;
            }
            let response = ledger.apply_report(now, &node.into(), &report);
            limiter.apply_response(now, &response);
        }
        ledger.remove_stale(now);
    }
    admitted
}

#[test]
fn limits_near_the_ends_of_the_range_are_counted() {
    let all = ROUNDS as usize * REQUESTS_PER_ROUND * 2;
    for per_second in ODD_NUMBERS {
        for burst in ODD_NUMBERS {
            let admitted = admitted(&tenant(per_second, burst));
            let expected = match (per_second > 1e6, burst > 1e6) {
                (true, _) => all..=all,
                // Before the first response a node goes by the rate only.
                (false, true) => all * 9 / 10..=all,
                (false, false) => 1..=MAX_ADMITTED,
            };
            let case = format!("{per_second:e} a second, burst {burst:e}");
            assert!(expected.contains(&admitted), "{case}: {admitted} of {all}");
        }
    }
}
