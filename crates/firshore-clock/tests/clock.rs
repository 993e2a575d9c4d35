//! Time that goes on while the machine is suspended.

use firshore_clock::{elapsed, now, simulate_suspension, timer_deadline};
use std::time::Duration;
use tokio::time::Instant;

#[test]
fn without_a_suspension_it_is_the_steady_clock() {
    let (before, at, after) = (Instant::now(), now(), Instant::now());
    assert!(before <= at && at <= after);
    assert!(timer_deadline(at) == at);
}

#[test]
fn it_goes_on_while_the_machine_is_suspended() {
    let began = now();
    simulate_suspension(Duration::from_secs(5));
    assert!(elapsed(began) >= Duration::from_secs(5));
    let later = now() + Duration::from_secs(1);
    let timer = timer_deadline(later).saturating_duration_since(Instant::now());
    assert!(timer <= Duration::from_secs(1), "{timer:?}");
}

#[test]
fn it_never_goes_back() {
    let mut last = now();
    for _ in 0..100_000 {
        let next = now();
        assert!(next >= last);
        last = next;
    }
}
