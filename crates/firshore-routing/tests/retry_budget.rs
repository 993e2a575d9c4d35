//! Retries stay a small share of the load whatever fails.

mod support;

use firshore_routing::retry_budget::{LONGEST_BACKOFF_MILLISECONDS, RESERVE, RetryBudget, backoff};
use support::random;

#[test]
fn load_stays_under_one_point_one_times_the_offered() {
    for failing_percent in [0_u32, 10, 33, 100] {
        let mut budget = RetryBudget::default();
        let (offered, mut attempts) = (100_000, 0);
        for request in 0..offered {
            budget.first_attempt();
            attempts += 1;
            let fails = (request * 37) % 100 < failing_percent;
            while fails && budget.try_retry() {
                attempts += 1;
            }
        }
        let factor = f64::from(attempts) / f64::from(offered);
        assert!(factor < 1.1, "{failing_percent} % failing: {factor}");
    }
}

#[test]
fn a_quiet_node_can_retry_a_few_times() {
    let mut budget = RetryBudget::default();
    let allowed = (0..100).filter(|_| budget.try_retry()).count();
    assert_eq!(allowed, RESERVE as usize);
}

#[test]
fn pauses_grow_and_are_spread() {
    let mut random = random();
    let mut longest = |retry| {
        (0..1000)
            .map(|_| backoff(retry, &mut random))
            .max()
            .unwrap()
    };
    let bounds = [1, 2, 3, 60].map(&mut longest);
    assert!(bounds.is_sorted(), "{bounds:?}");
    assert!(bounds[3] <= LONGEST_BACKOFF_MILLISECONDS);
    let mut random = support::random();
    let distinct: std::collections::BTreeSet<u64> =
        (0..100).map(|_| backoff(5, &mut random)).collect();
    assert!(distinct.len() > 20);
}
