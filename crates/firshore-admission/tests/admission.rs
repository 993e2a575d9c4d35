//! Decisions to send a request, let it wait at the node, or refuse it.

use firshore_admission::admission::{
    Admission, AdmissionRequest, CapacityOutlook, ShareStatus, decide, decision_elsewhere,
};
use std::time::Duration;

const OBJECTIVE: Duration = Duration::from_millis(300);
const TIMEOUT: Duration = Duration::from_secs(5);

fn request() -> AdmissionRequest {
    AdmissionRequest {
        objective: OBJECTIVE,
        timeout: TIMEOUT,
        time_left: TIMEOUT,
        age: Duration::ZERO,
        share_status: ShareStatus::Within,
        behind_others: false,
        node_stops_in: None,
    }
}

fn outlook(has_slot: bool, is_scarce: bool) -> CapacityOutlook {
    CapacityOutlook {
        has_slot,
        is_scarce,
        begin_delay: Duration::ZERO,
        age: None,
    }
}

#[test]
fn request_is_sent_to_a_free_slot() {
    assert_eq!(decide(&request(), &outlook(true, false)), Admission::Send);
    assert_eq!(decide(&request(), &outlook(true, true)), Admission::Send);
}

/// A refusal late in the objective leaves the caller too little time for a retry.
#[test]
fn request_without_a_slot_waits_briefly_and_is_refused() {
    let full = outlook(false, true);
    let waits = decide(&request(), &full);
    assert!(matches!(waits, Admission::Wait(wait) if wait <= OBJECTIVE / 4));
    let old = AdmissionRequest {
        age: OBJECTIVE / 4,
        ..request()
    };
    assert_eq!(decide(&old, &full), Admission::Refuse);
}

#[test]
fn caller_beyond_its_share_gets_no_scarce_slot() {
    let beyond = AdmissionRequest {
        share_status: ShareStatus::Beyond,
        ..request()
    };
    assert_eq!(decide(&beyond, &outlook(true, true)), Admission::Refuse);
    assert_eq!(decide(&beyond, &outlook(true, false)), Admission::Send);
}

#[test]
fn waiting_requests_go_first() {
    let behind = AdmissionRequest {
        behind_others: true,
        ..request()
    };
    let decided = decide(&behind, &outlook(true, false));
    assert!(matches!(decided, Admission::Wait(_)));
}

/// A queued request is aborted when the node stops.
#[test]
fn draining_node_queues_no_requests_that_may_outlive_it() {
    let draining = AdmissionRequest {
        node_stops_in: Some(TIMEOUT - Duration::from_millis(1)),
        ..request()
    };
    assert_eq!(decide(&draining, &outlook(true, false)), Admission::Send);
    assert_eq!(decide(&draining, &outlook(true, true)), Admission::Refuse);
    assert_eq!(decide(&draining, &outlook(false, true)), Admission::Refuse);
}

/// The load of soak seed 8844: a node that stops in 8 s keeps the connections of its callers, while slots are scarce.
/// It refused all of them until it was gone.
#[test]
fn draining_node_serves_requests_that_end_before_it_stops() {
    let draining = AdmissionRequest {
        node_stops_in: Some(TIMEOUT),
        ..request()
    };
    for outlook in [
        outlook(true, false),
        outlook(true, true),
        outlook(false, true),
    ] {
        assert_eq!(decide(&draining, &outlook), decide(&request(), &outlook));
    }
    let late = AdmissionRequest {
        age: Duration::from_millis(50),
        node_stops_in: Some(TIMEOUT - Duration::from_millis(51)),
        ..request()
    };
    assert_eq!(decide(&late, &outlook(true, true)), Admission::Refuse);
}

/// Guards against callers of a stopping node that are told that the service is full, though another node would admit them.
#[test]
fn refusal_of_a_stopping_node_tells_what_another_node_would_do() {
    let draining = AdmissionRequest {
        node_stops_in: Some(TIMEOUT - Duration::from_millis(1)),
        ..request()
    };
    for full in [outlook(true, true), outlook(false, true)] {
        let elsewhere = Some(decide(&request(), &full));
        assert_eq!(decision_elsewhere(&draining, &full), elsewhere);
        assert_eq!(decision_elsewhere(&request(), &full), None);
        let beyond = AdmissionRequest {
            share_status: ShareStatus::Beyond,
            ..draining
        };
        assert_eq!(decision_elsewhere(&beyond, &full), None);
    }
}

#[test]
fn retry_is_detected_by_its_time_left() {
    assert!(!request().is_retry());
    let retry = AdmissionRequest {
        time_left: TIMEOUT - Duration::from_millis(1_500),
        ..request()
    };
    assert!(retry.is_retry());
    assert!(retry.begin_within() > request().begin_within());
    assert!(retry.begin_within() < OBJECTIVE);
}
