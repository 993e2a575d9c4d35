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
fn a_quiet_engine_gives_all_slots_to_batch() {
    let mut controller = HeadroomController::default();
    assert_eq!(controller.allowed(0, occupancy(0, 0)), 16);
    controller.online_seen(1_000);
    assert_eq!(controller.allowed(1_001, occupancy(0, 9)), 0);
    let quiet = 1_000 + QUIET_MILLISECONDS;
    assert_eq!(controller.allowed(quiet, occupancy(0, 9)), 16);
}

/// Advances one step with `samples` token gaps of `milliseconds` while batch items run.
fn step(
    controller: &mut HeadroomController,
    now: &mut u64,
    samples: u32,
    milliseconds: f64,
) -> u32 {
    *now += STEP_MILLISECONDS;
    for _ in 0..samples {
        controller.observe_token_gap(occupancy(2, 4), milliseconds);
    }
    controller.allowed(*now, occupancy(2, 4))
}

fn calibrated_controller() -> HeadroomController {
    let mut controller = HeadroomController::default();
    controller.observe_token_gap(occupancy(2, 0), 10.0);
    controller
}

#[test]
fn the_allowance_grows_by_addition_and_shrinks_by_multiplication() {
    let mut controller = calibrated_controller();
    let mut now = 0;
    let mut allowed = 0;
    for _ in 0..20 {
        allowed = step(&mut controller, &mut now, 5, 10.2);
    }
    assert_eq!(allowed, 10);
    for expected in [5, 2, 1, 0] {
        let allowed = step(&mut controller, &mut now, 50, 11.0);
        assert_eq!(allowed, expected);
    }
}

#[test]
fn the_allowance_grows_only_to_one_item_without_samples() {
    let mut controller = calibrated_controller();
    let mut now = 0;
    let grown: Vec<u32> = (0..150)
        .map(|_| step(&mut controller, &mut now, 0, 0.0))
        .collect();
    assert_eq!(grown[10], 0);
    assert_eq!(grown[149], 1);
}

#[test]
fn too_few_samples_leave_the_allowance_unchanged() {
    let mut controller = calibrated_controller();
    let mut now = 0;
    for _ in 0..10 {
        step(&mut controller, &mut now, 5, 10.0);
    }
    assert_eq!(step(&mut controller, &mut now, 1, 30.0), 5);
    // The earlier sample counts together with the next ones.
    assert_eq!(step(&mut controller, &mut now, 4, 10.0), 2);
}

#[test]
fn slow_first_tokens_reduce_the_allowance() {
    let mut controller = calibrated_controller();
    let mut now = 0;
    for _ in 0..8 {
        step(&mut controller, &mut now, 5, 10.0);
    }
    controller.observe_first_token(occupancy(1, 0), 400, 30.0);
    for _ in 0..5 {
        controller.observe_first_token(occupancy(1, 3), 400, 90.0);
    }
    assert_eq!(step(&mut controller, &mut now, 5, 10.0), 2);
}

#[test]
fn online_requests_are_subtracted_from_the_slots() {
    let mut controller = calibrated_controller();
    let mut now = 0;
    for _ in 0..40 {
        step(&mut controller, &mut now, 5, 10.0);
    }
    assert_eq!(controller.allowed(now + 1, occupancy(15, 0)), 1);
    assert_eq!(controller.allowed(now + 2, occupancy(20, 0)), 0);
}
