//! The headroom controller.

use firshore_batch::headroom::{
    EngineOccupancy, HeadroomController, QUIET_MILLISECONDS, STEP_MILLISECONDS,
};

fn occupancy(online: u32, batch: u32) -> EngineOccupancy {
    EngineOccupancy {
        slots: 16,
        online,
        batch,
    }
}

#[test]
fn a_quiet_engine_is_free_for_batch() {
    let mut controller = HeadroomController::default();
    assert_eq!(controller.allowed(0, occupancy(0, 0)), 16);
    controller.online_seen(1_000);
    assert_eq!(controller.allowed(1_001, occupancy(0, 9)), 0);
    let quiet = 1_000 + QUIET_MILLISECONDS;
    assert_eq!(controller.allowed(quiet, occupancy(0, 9)), 16);
}

#[test]
fn the_allowance_grows_by_addition_and_shrinks_by_multiplication() {
    let mut controller = HeadroomController::default();
    controller.observe_token_gap(occupancy(2, 0), 10.0);
    let mut now = 0;
    let mut allowed = 0;
    for _ in 0..20 {
        now += STEP_MILLISECONDS;
        controller.observe_token_gap(occupancy(2, 4), 10.2);
        allowed = controller.allowed(now, occupancy(2, 4));
    }
    assert_eq!(allowed, 10);
    for expected in [5, 2, 1, 0] {
        now += STEP_MILLISECONDS;
        controller.observe_token_gap(occupancy(2, 4), 11.0);
        assert_eq!(controller.allowed(now, occupancy(2, 4)), expected);
    }
}

#[test]
fn several_samples_in_one_step_shrink_it_once() {
    let mut controller = HeadroomController::default();
    controller.observe_first_token(occupancy(1, 0), 400, 30.0);
    let mut now = 0;
    for _ in 0..16 {
        now += STEP_MILLISECONDS;
        controller.allowed(now, occupancy(1, 0));
    }
    for _ in 0..5 {
        controller.observe_first_token(occupancy(1, 3), 400, 90.0);
    }
    now += STEP_MILLISECONDS;
    assert_eq!(controller.allowed(now, occupancy(1, 3)), 4);
}

#[test]
fn online_requests_are_subtracted_from_the_slots() {
    let mut controller = HeadroomController::default();
    for step in 1..200 {
        controller.allowed(step * STEP_MILLISECONDS, occupancy(12, 0));
    }
    assert_eq!(controller.allowed(41_000, occupancy(15, 0)), 1);
    assert_eq!(controller.allowed(41_001, occupancy(20, 0)), 0);
}
