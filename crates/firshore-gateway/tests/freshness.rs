//! Age and source of a node's copy of the object store.

use firshore_gateway::freshness::{Freshness, FreshnessSource};
use std::time::Duration;
use tokio::time::Instant;

fn relay() -> FreshnessSource {
    FreshnessSource::Relay("n1".into())
}

#[test]
fn the_age_counts_from_the_reported_time() {
    let freshness = Freshness::default();
    assert_eq!(freshness.age_ms(), None);
    let confirmed_at = Instant::now() - Duration::from_secs(3);
    freshness.confirm(confirmed_at, relay());
    assert_eq!(freshness.as_of(), Some(confirmed_at));
    assert!(freshness.age_ms() >= Some(3_000));
    assert_eq!(freshness.source().as_deref(), Some("n1"));
}

#[test]
fn an_earlier_confirmation_is_ignored() {
    let freshness = Freshness::default();
    let now = Instant::now();
    freshness.confirm(now, FreshnessSource::Store);
    freshness.confirm(now - Duration::from_secs(1), relay());
    assert_eq!(freshness.as_of(), Some(now));
    assert_eq!(freshness.source().as_deref(), Some("store"));
}
