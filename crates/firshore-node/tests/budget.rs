//! How the time within which a change must be known is divided.

use firshore_node::relay::budget::{FreshnessBudget, StoreSchedule};
use std::time::Duration;
use tokio::time::Instant;

/// Bounds of the sheets that are served, and the shortest that settings allow.
const BOUNDS: [u64; 4] = [1_000, 2_000, 3_000, 4_000];

/// Time that an answer of the store takes at a tenth of a core, as a share of the bound.
const ANSWER: f64 = 0.25;

fn budgets() -> impl Iterator<Item = FreshnessBudget> {
    let bounds = BOUNDS.into_iter().map(Duration::from_millis);
    bounds.map(FreshnessBudget::new)
}

/// The waits that follow each other where nothing fails: a relay's pause, its next look, and the time for
/// which it holds a question.
#[test]
fn on_a_calm_day_the_store_is_not_due() {
    for budget in budgets() {
        let oldest = budget.relay_spacing() + budget.probe_interval() + budget.relay_wait();
        for drawn in [0.0, 1.0] {
            let now = Instant::now();
            let due = StoreSchedule::new(budget, now, drawn).due(Some(now), false);
            assert!(oldest < due - now, "{budget:?}: {oldest:?}");
        }
    }
}

#[test]
fn the_store_is_due_early_enough_to_answer_within_the_bound() {
    for budget in budgets() {
        let now = Instant::now();
        let due = StoreSchedule::new(budget, now, 1.0).due(Some(now), false);
        let known = due - now + budget.bound().mul_f64(ANSWER);
        assert!(known < budget.bound(), "{budget:?}: {known:?}");
    }
}

#[test]
fn a_look_that_comes_first_leaves_time_for_the_answer() {
    for budget in budgets() {
        let now = Instant::now();
        let turn = StoreSchedule::new(budget, now, 1.0);
        let due = turn.due(Some(now), true);
        let known = due - now + budget.probe_timeout() + turn.timeout();
        assert!(known < budget.bound(), "{budget:?}: {known:?}");
    }
}

#[test]
fn failures_that_lie_before_what_relays_told_are_past() {
    let budget = FreshnessBudget::new(Duration::from_secs(2));
    let now = Instant::now();
    let mut turn = StoreSchedule::new(budget, now, 1.0);
    let patient = turn.timeout();
    (0..5).for_each(|_| turn.record_failure(now));
    assert!(turn.timeout() > patient, "a large listing has time to come");
    turn.record_relayed(now - Duration::from_millis(1));
    assert!(turn.has_failed());
    turn.record_relayed(now + Duration::from_millis(1));
    assert!(!turn.has_failed());
    assert_eq!(turn.timeout(), patient);
}

/// A relay that is cut off says so before its askers would find out by themselves.
#[test]
fn a_relay_finds_a_cut_before_the_store_is_due_at_its_askers() {
    for budget in budgets() {
        let found = budget.probe_interval() + budget.probe_timeout();
        assert!(found < budget.relay_age(), "{budget:?}");
        let now = Instant::now();
        let due = StoreSchedule::new(budget, now, 0.0).due(Some(now), false);
        assert!(budget.relay_age() < due - now, "{budget:?}");
    }
}

#[test]
fn a_store_that_fails_is_asked_less_and_less_often_and_at_once_when_it_has_answered() {
    for budget in budgets() {
        let now = Instant::now();
        let mut turn = StoreSchedule::new(budget, now, 1.0);
        let old = Some(now - budget.bound());
        assert!(turn.due(old, true) <= now);
        let mut pauses = Vec::new();
        for _ in 0..20 {
            turn.record_failure(now);
            assert!(turn.has_failed());
            pauses.push(turn.due(old, true) - now);
        }
        assert!(pauses.is_sorted(), "{pauses:?}");
        assert_eq!(pauses[0], budget.bound().mul_f64(0.1));
        assert_eq!(pauses[19], budget.bound().mul_f64(0.7));
        turn.record_success(1.0);
        assert!(!turn.has_failed() && turn.due(old, true) <= now);
    }
}

/// Nodes that know nothing act on nothing: relays have time to come back.
#[test]
fn a_node_that_knows_nothing_waits_longer_for_relays() {
    for budget in budgets() {
        let now = Instant::now();
        let turn = StoreSchedule::new(budget, now, 1.0);
        assert!(
            turn.due(None, false) > turn.due(Some(now), false),
            "{budget:?}"
        );
    }
}
