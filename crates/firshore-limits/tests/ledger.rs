//! What a ledger tells nodes that move, fall silent, or come from the ledger before.

use firshore_limits::ledger::UsageLedger;
use firshore_limits::report::{TenantDigest, TenantUsage, UsageReport};
use std::time::{Duration, Instant};

const SPAN: Duration = Duration::from_secs(5);
const TENANT: TenantDigest = TenantDigest(7);

/// A report of a node that is asked `demand` requests a second, and admitted some.
fn report(ledger: u64, demand: f32, admitted: i32, recent: f32) -> UsageReport {
    UsageReport {
        version: 1,
        ledger,
        relayed: false,
        tenants: vec![TenantUsage {
            tenant: TENANT,
            admitted,
            demand,
            silent: 0.0,
            recent,
            known: demand,
            rate: 100.0,
            burst: 100.0,
        }],
    }
}

#[test]
fn a_node_that_tells_another_is_counted_once() {
    let start = Instant::now();
    let mut ledger = UsageLedger::new(1, start, SPAN);
    let later = start + SPAN;
    let told = report(1, 40.0, 0, 0.0);
    ledger.apply_report(later, &"n".into(), &told);
    // The node tells a relay from now on, and takes back what it told the ledger itself.
    let news = ledger.apply_report(later, &"relay".into(), &told);
    assert_eq!(news.pictures[0].demand, 80.0);
    ledger.apply_report(later, &"n".into(), &told.retraction());
    let mut news = news;
    for tenth in 0..100 {
        let now = later + Duration::from_millis(100 * tenth);
        news = ledger.apply_report(now, &"relay".into(), &told);
    }
    assert_eq!(news.pictures[0].demand, 40.0);
    assert!(
        news.pictures[0].left > 500.0,
        "a share is kept for a node that is not silent"
    );
}

#[test]
fn the_share_of_a_silent_node_is_kept_for_it() {
    let start = Instant::now();
    let mut ledger = UsageLedger::new(1, start, SPAN);
    let later = start + SPAN;
    ledger.apply_report(later, &"silent".into(), &report(1, 60.0, 0, 0.0));
    let told = report(1, 60.0, 0, 0.0);
    let mut left_after = |seconds: u64| {
        let mut left = 0.0;
        for tenth in 0..10 * seconds {
            let now = later + Duration::from_millis(100 * tenth);
            ledger.remove_stale(now);
            let news = ledger.apply_report(now, &"other".into(), &told);
            left = news.pictures[0].left;
        }
        left
    };
    // Half of the demand is the silent node's: it may admit half of the rate meanwhile.
    let left = left_after(10);
    assert!((200.0..400.0).contains(&left), "{left}");
    // It has given its share up by itself long before.
    let left = left_after(30);
    assert!(left > 500.0, "{left}");
}

#[test]
fn a_new_ledger_takes_in_what_was_admitted_before_it() {
    let start = Instant::now();
    let mut ledger = UsageLedger::new(2, start, SPAN);
    let first = ledger.apply_report(start, &"n".into(), &report(1, 40.0, 0, 300.0));
    assert!(first.pictures[0].left < 100.0, "before all have told");
    let later = start + Duration::from_millis(400);
    let news = ledger.apply_report(later, &"n".into(), &report(2, 40.0, 0, 300.0));
    let left = news.pictures[0].left;
    assert!((200.0..300.0).contains(&left), "{left}");
}

#[test]
fn what_a_relay_tells_of_a_node_is_not_counted_with_what_the_node_tells() {
    let start = Instant::now();
    let mut ledger = UsageLedger::new(2, start, SPAN);
    let own = report(1, 40.0, 0, 200.0);
    let relayed = UsageReport {
        relayed: true,
        ..report(1, 40.0, 0, 300.0)
    };
    ledger.apply_report(start, &"relay".into(), &relayed);
    ledger.apply_report(start, &"n".into(), &own);
    // A report that was not answered is told once more.
    ledger.apply_report(start, &"n".into(), &own);
    let later = start + Duration::from_millis(400);
    let news = ledger.apply_report(later, &"relay".into(), &report(2, 40.0, 0, 300.0));
    let left = news.pictures[0].left;
    assert!((200.0..300.0).contains(&left), "{left}");
}
