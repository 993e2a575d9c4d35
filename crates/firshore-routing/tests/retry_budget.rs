//! Tests that retries stay a small fraction of the load.

mod support;

use firshore_routing::retry_budget::{
    MAX_BACKOFF_MILLISECONDS, MAX_SAVED_RETRIES, RetryBudget, backoff,
};
use support::random;

#[test]
fn load_stays_below_1_1_times_the_offered_load() {
    for failing_percent in [0_u32, 10, 33, 100] {
        let mut budget = RetryBudget::default();
        let (offered, mut attempts) = (100_000, 0);
        for request in 0..offered {
            budget.record_first_attempt();
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
fn saved_retries_allow_a_few_retries_without_first_attempts() {
    let mut budget = RetryBudget::default();
    let allowed = (0..100).filter(|_| budget.try_retry()).count();
    assert_eq!(allowed, MAX_SAVED_RETRIES as usize);
}

#[test]
fn backoff_grows_and_is_randomized() {
    let mut random = random();
    let mut max_backoff = |retry| {
        (0..1000)
            .map(|_| backoff(retry, &mut random))
            .max()
            .unwrap()
    };
    let bounds = [1, 2, 3, 60].map(&mut max_backoff);
    assert!(bounds.is_sorted(), "{bounds:?}");
    assert!(bounds[3] <= MAX_BACKOFF_MILLISECONDS);
    let mut random = support::random();
    let distinct: std::collections::BTreeSet<u64> =
        (0..100).map(|_| backoff(5, &mut random)).collect();
    assert!(distinct.len() > 20);
}
