//! Whether a request is sent, waits at the node, or is refused.

use firshore_admission::admission::{
    Admission, AdmissionRequest, CapacityOutlook, ShareStatus, decide,
};
use std::time::Duration;

const OBJECTIVE: Duration = Duration::from_millis(300);
const TIMEOUT: Duration = Duration::from_secs(5);

fn ask() -> AdmissionRequest {
    AdmissionRequest {
        objective: OBJECTIVE,
        timeout: TIMEOUT,
        time_left: TIMEOUT,
        age: Duration::ZERO,
        share_status: ShareStatus::Within,
        behind_others: false,
        node_is_draining: false,
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
fn a_request_is_sent_where_there_is_a_place() {
    assert_eq!(decide(&ask(), &outlook(true, false)), Admission::Send);
    assert_eq!(decide(&ask(), &outlook(true, true)), Admission::Send);
}

/// A refusal after a part of the objective leaves its caller too little to come back with.
#[test]
fn without_a_place_it_waits_for_a_moment_and_is_refused_then() {
    let full = outlook(false, true);
    let waits = decide(&ask(), &full);
    assert!(matches!(waits, Admission::Wait(wait) if wait <= OBJECTIVE / 4));
    let old = AdmissionRequest {
        age: OBJECTIVE / 4,
        ..ask()
    };
    assert_eq!(decide(&old, &full), Admission::Refuse);
}

#[test]
fn a_caller_beyond_its_share_gets_no_scarce_place() {
    let beyond = AdmissionRequest {
        share_status: ShareStatus::Beyond,
        ..ask()
    };
    assert_eq!(decide(&beyond, &outlook(true, true)), Admission::Refuse);
    assert_eq!(decide(&beyond, &outlook(true, false)), Admission::Send);
}

#[test]
fn who_waits_at_the_node_goes_first() {
    let behind = AdmissionRequest {
        behind_others: true,
        ..ask()
    };
    let decided = decide(&behind, &outlook(true, false));
    assert!(matches!(decided, Admission::Wait(_)));
}

/// What stands in a line when the node ends is cut off.
#[test]
fn a_node_on_its_way_out_lets_nothing_into_lines() {
    let leaving = AdmissionRequest {
        node_is_draining: true,
        ..ask()
    };
    assert_eq!(decide(&leaving, &outlook(true, false)), Admission::Send);
    assert_eq!(decide(&leaving, &outlook(true, true)), Admission::Refuse);
    assert_eq!(decide(&leaving, &outlook(false, true)), Admission::Refuse);
}

#[test]
fn who_was_refused_before_is_known_by_the_time_it_has_left() {
    assert!(!ask().is_retry());
    let returned = AdmissionRequest {
        time_left: TIMEOUT - Duration::from_millis(1_500),
        ..ask()
    };
    assert!(returned.is_retry());
    assert!(returned.begin_within() > ask().begin_within());
    assert!(returned.begin_within() < OBJECTIVE);
}
