//! Tests of when the contact to the journal's nodes counts as lost, and when queries fail without being sent.

use firshore_node::journal::contact::PeerContact;
use std::time::{Duration, Instant};

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

#[test]
fn contact_is_lost_after_a_second_without_a_response() {
    let now = Instant::now();
    let mut contact = PeerContact::default();
    assert!(!contact.is_lost(now + millis(60_000)), "no query was sent");
    contact.record_query(now, now);
    contact.record_query(now + millis(500), now + millis(500));
    assert!(!contact.is_lost(now + millis(999)));
    assert!(contact.is_lost(now + millis(1_000)));
    contact.record_response();
    assert!(!contact.is_lost(now + millis(1_000)));
}

#[test]
fn a_query_that_may_wait_is_overdue_only_after_its_wait() {
    let now = Instant::now();
    let mut contact = PeerContact::default();
    contact.record_query(now, now + millis(1_000));
    assert!(!contact.is_lost(now + millis(1_900)));
    assert!(contact.is_lost(now + millis(2_000)));
}

#[test]
fn a_lost_contact_is_retried_periodically() {
    let now = Instant::now();
    let mut contact = PeerContact::default();
    contact.record_query(now, now);
    assert!(contact.should_fail_fast(now + millis(1_400)));
    assert!(!contact.should_fail_fast(now + millis(1_500)));
    contact.record_query(now + millis(1_500), now + millis(1_500));
    assert!(contact.should_fail_fast(now + millis(1_600)));
    contact.record_response();
    assert!(!contact.should_fail_fast(now + millis(1_600)));
}
