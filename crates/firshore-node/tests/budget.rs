//! Division of the freshness bound into intervals and timeouts.

use firshore_node::relay::budget::{FreshnessBudget, StoreSchedule};
use std::time::Duration;
use tokio::time::Instant;

/// Freshness bounds in milliseconds: those of the supported limits, and the shortest that settings allow.
const BOUNDS: [u64; 4] = [1_000, 2_000, 3_000, 4_000];

/// Response time of the store for a node with a tenth of a core, as a fraction of the bound.
const STORE_RESPONSE_FRACTION: f64 = 0.25;

fn budgets() -> impl Iterator<Item = FreshnessBudget> {
    let bounds = BOUNDS.into_iter().map(Duration::from_millis);
    bounds.map(FreshnessBudget::new)
}

/// Without failures, a view's age is at most the sum of a relay's spacing, its probe interval and the time for
/// which it holds a watch.
#[test]
fn store_is_not_due_without_failures() {
    for budget in budgets() {
        let max_age = budget.relay_spacing() + budget.probe_interval() + budget.relay_wait();
        for drawn in [0.0, 1.0] {
            let now = Instant::now();
            let due = StoreSchedule::new(budget, now, drawn).due(Some(now), false);
            assert!(max_age < due - now, "{budget:?}: {max_age:?}");
        }
    }
}

#[test]
fn store_is_due_early_enough_to_respond_within_the_bound() {
    for budget in budgets() {
        let now = Instant::now();
        let due = StoreSchedule::new(budget, now, 1.0).due(Some(now), false);
        let updated_after = due - now + budget.bound().mul_f64(STORE_RESPONSE_FRACTION);
        assert!(
            updated_after < budget.bound(),
            "{budget:?}: {updated_after:?}"
        );
    }
}

#[test]
fn probe_leaves_time_for_the_response() {
    for budget in budgets() {
        let now = Instant::now();
        let schedule = StoreSchedule::new(budget, now, 1.0);
        let due = schedule.due(Some(now), true);
        let updated_after = due - now + budget.probe_timeout() + schedule.timeout();
        assert!(
            updated_after < budget.bound(),
            "{budget:?}: {updated_after:?}"
        );
    }
}

#[test]
fn relayed_response_clears_earlier_failures() {
    let budget = FreshnessBudget::new(Duration::from_secs(2));
    let now = Instant::now();
    let mut schedule = StoreSchedule::new(budget, now, 1.0);
    let first_timeout = schedule.timeout();
    (0..5).for_each(|_| schedule.record_failure(now));
    assert!(
        schedule.timeout() > first_timeout,
        "a large listing needs more time"
    );
    schedule.record_relayed(now - Duration::from_millis(1));
    assert!(schedule.has_failed());
    schedule.record_relayed(now + Duration::from_millis(1));
    assert!(!schedule.has_failed());
    assert_eq!(schedule.timeout(), first_timeout);
}

/// An isolated relay reports that before its clients would query the store.
#[test]
fn relay_detects_isolation_before_the_store_is_due_at_its_clients() {
    for budget in budgets() {
        let detected_after = budget.probe_interval() + budget.probe_timeout();
        assert!(detected_after < budget.relay_age(), "{budget:?}");
        let now = Instant::now();
        let due = StoreSchedule::new(budget, now, 0.0).due(Some(now), false);
        assert!(budget.relay_age() < due - now, "{budget:?}");
    }
}

#[test]
fn failing_store_is_queried_with_backoff_until_it_responds() {
    for budget in budgets() {
        let now = Instant::now();
        let mut schedule = StoreSchedule::new(budget, now, 1.0);
        let stale = Some(now - budget.bound());
        assert!(schedule.due(stale, true) <= now);
        let mut backoffs = Vec::new();
        for _ in 0..20 {
            schedule.record_failure(now);
            assert!(schedule.has_failed());
            backoffs.push(schedule.due(stale, true) - now);
        }
        assert!(backoffs.is_sorted(), "{backoffs:?}");
        assert_eq!(backoffs[0], budget.bound().mul_f64(0.1));
        assert_eq!(backoffs[19], budget.bound().mul_f64(0.7));
        schedule.record_success(1.0);
        assert!(!schedule.has_failed() && schedule.due(stale, true) <= now);
    }
}

/// A node without a view serves no requests yet, so it can wait longer for relays to return.
#[test]
fn node_without_a_view_waits_longer_for_relays() {
    for budget in budgets() {
        let now = Instant::now();
        let schedule = StoreSchedule::new(budget, now, 1.0);
        assert!(
            schedule.due(None, false) > schedule.due(Some(now), false),
            "{budget:?}"
        );
    }
}

#[test]
fn long_first_listing_from_a_relay_is_no_reason_to_query_the_store() {
    for budget in budgets() {
        let start = Instant::now();
        let mut schedule = StoreSchedule::new(budget, start, 0.0);
        let first_due = schedule.due(None, false);
        for page in 1..20 {
            let now = start + budget.bound().mul_f64(0.3) * page;
            assert!(schedule.due(None, false) > now, "{budget:?}, page {page}");
            schedule.record_progress(now);
        }
        assert!(schedule.due(None, false) > first_due + budget.bound() * 5);
        let known = Some(start);
        assert!(
            schedule.due(known, false) < first_due + budget.bound(),
            "once listed"
        );
    }
}
