//! As of when a node knows the store.

use firshore_gateway::freshness::{Freshness, FreshnessSource};
use std::time::Duration;
use tokio::time::Instant;

fn relay() -> FreshnessSource {
    FreshnessSource::Relay("n1".into())
}

#[test]
fn a_belief_is_as_old_as_the_moment_that_was_told() {
    let belief = Freshness::default();
    assert_eq!(belief.age_ms(), None);
    let told = Instant::now() - Duration::from_secs(3);
    belief.confirm(told, relay());
    assert_eq!(belief.as_of(), Some(told));
    assert!(belief.age_ms() >= Some(3_000));
    assert_eq!(belief.source().as_deref(), Some("n1"));
}

#[test]
fn an_answer_that_tells_of_an_earlier_moment_says_nothing() {
    let belief = Freshness::default();
    let now = Instant::now();
    belief.confirm(now, FreshnessSource::Store);
    belief.confirm(now - Duration::from_secs(1), relay());
    assert_eq!(belief.as_of(), Some(now));
    assert_eq!(belief.source().as_deref(), Some("store"));
}
