//! When the contact to the journal's nodes counts as lost, and when a question is not asked.

use firshore_node::journal::contact::PeerContact;
use std::time::{Duration, Instant};

fn milliseconds(count: u64) -> Duration {
    Duration::from_millis(count)
}

#[test]
fn contact_is_lost_after_a_second_without_any_answer() {
    let now = Instant::now();
    let mut contact = PeerContact::default();
    assert!(
        !contact.is_lost(now + milliseconds(60_000)),
        "nothing was asked"
    );
    contact.record_query(now, now);
    contact.record_query(now + milliseconds(500), now + milliseconds(500));
    assert!(!contact.is_lost(now + milliseconds(999)));
    assert!(contact.is_lost(now + milliseconds(1_000)));
    contact.record_response();
    assert!(!contact.is_lost(now + milliseconds(1_000)));
}

#[test]
fn a_question_that_may_wait_is_not_overdue_before() {
    let now = Instant::now();
    let mut contact = PeerContact::default();
    contact.record_query(now, now + milliseconds(1_000));
    assert!(!contact.is_lost(now + milliseconds(1_900)));
    assert!(contact.is_lost(now + milliseconds(2_000)));
}

#[test]
fn a_lost_contact_is_tried_again_where_nobody_else_asks() {
    let now = Instant::now();
    let mut contact = PeerContact::default();
    contact.record_query(now, now);
    assert!(contact.should_fail_fast(now + milliseconds(1_400)));
    assert!(!contact.should_fail_fast(now + milliseconds(1_500)));
    contact.record_query(now + milliseconds(1_500), now + milliseconds(1_500));
    assert!(contact.should_fail_fast(now + milliseconds(1_600)));
    contact.record_response();
    assert!(!contact.should_fail_fast(now + milliseconds(1_600)));
}
