//! The ledger's responses to nodes that change relays, become stale, or come from an earlier ledger.

use firshore_limits::ledger::UsageLedger;
use firshore_limits::report::{TenantDigest, TenantUsage, UsageReport};
use std::time::{Duration, Instant};

const SPAN: Duration = Duration::from_secs(5);
const TENANT: TenantDigest = TenantDigest(7);

/// Returns the report of a node with a demand of `demand` requests per second.
fn report(ledger: u64, demand: f32, admitted: i32, recent: f32) -> UsageReport {
    UsageReport {
        version: 1,
        ledger,
        relayed: false,
        tenants: vec![TenantUsage {
            tenant: TENANT,
            admitted,
            demand,
            stale: 0.0,
            recent,
            known_demand: demand,
            rate: 100.0,
            burst: 100.0,
        }],
    }
}

#[test]
fn node_that_changes_its_relay_is_counted_once() {
    let start = Instant::now();
    let mut ledger = UsageLedger::new(1, start, SPAN);
    let later = start + SPAN;
    let usage_report = report(1, 40.0, 0, 0.0);
    ledger.apply_report(later, &"n".into(), &usage_report);
    // From now on the node reports to a relay, and withdraws its reports to the ledger.
    let response = ledger.apply_report(later, &"relay".into(), &usage_report);
    assert_eq!(response.views[0].demand, 80.0);
    ledger.apply_report(later, &"n".into(), &usage_report.retraction());
    let mut response = response;
    for tenth in 0..100 {
        let now = later + Duration::from_millis(100 * tenth);
        response = ledger.apply_report(now, &"relay".into(), &usage_report);
    }
    assert_eq!(response.views[0].demand, 40.0);
    assert!(
        response.views[0].left > 500.0,
        "a share is reserved for a node that is not stale"
    );
}

#[test]
fn share_of_stale_node_is_reserved() {
    let start = Instant::now();
    let mut ledger = UsageLedger::new(1, start, SPAN);
    let later = start + SPAN;
    ledger.apply_report(later, &"stale".into(), &report(1, 60.0, 0, 0.0));
    let usage_report = report(1, 60.0, 0, 0.0);
    let mut left_after = |seconds: u64| {
        let mut left = 0.0;
        for tenth in 0..10 * seconds {
            let now = later + Duration::from_millis(100 * tenth);
            ledger.remove_stale(now);
            let response = ledger.apply_report(now, &"other".into(), &usage_report);
            left = response.views[0].left;
        }
        left
    };
    // Half of the demand is at the stale node, which may admit half of the rate.
    let left = left_after(10);
    assert!((200.0..400.0).contains(&left), "{left}");
    // The stale node has given up its share before.
    let left = left_after(30);
    assert!(left > 500.0, "{left}");
}

#[test]
fn new_ledger_counts_earlier_admissions() {
    let start = Instant::now();
    let mut ledger = UsageLedger::new(2, start, SPAN);
    let first = ledger.apply_report(start, &"n".into(), &report(1, 40.0, 0, 300.0));
    assert!(
        first.views[0].left < 100.0,
        "before all nodes have reported"
    );
    let later = start + Duration::from_millis(400);
    let response = ledger.apply_report(later, &"n".into(), &report(2, 40.0, 0, 300.0));
    let left = response.views[0].left;
    assert!((200.0..300.0).contains(&left), "{left}");
}

#[test]
fn admissions_reported_by_node_and_relay_are_counted_once() {
    let start = Instant::now();
    let mut ledger = UsageLedger::new(2, start, SPAN);
    let direct = report(1, 40.0, 0, 200.0);
    let relayed = UsageReport {
        relayed: true,
        ..report(1, 40.0, 0, 300.0)
    };
    ledger.apply_report(start, &"relay".into(), &relayed);
    ledger.apply_report(start, &"n".into(), &direct);
    // A report without a response is sent again.
    ledger.apply_report(start, &"n".into(), &direct);
    let later = start + Duration::from_millis(400);
    let response = ledger.apply_report(later, &"relay".into(), &report(2, 40.0, 0, 300.0));
    let left = response.views[0].left;
    assert!((200.0..300.0).contains(&left), "{left}");
}
