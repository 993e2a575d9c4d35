//! Tests the bounds and duration of ejections and the gradual return.

mod support;

use firshore_routing::ejection::{
    CONSECUTIVE_FAILURES, EndpointHealth, FIRST_EJECTION_MILLISECONDS, MAX_EJECTION_MILLISECONDS,
    RAMP_UP_MILLISECONDS,
};
use firshore_routing::endpoint::Outcome;
use firshore_routing::speed::SpeedObservation;
use support::{index, machines, random, router_of};

#[test]
fn failures_during_an_ejection_do_not_extend_it() {
    let mut health = EndpointHealth::default();
    let until = health.eject(0);
    assert!(!health.record_failure(until - 1));
    assert!(health.record_failure(until));
}

#[test]
fn ejection_duration_doubles_up_to_the_maximum_and_resets() {
    let mut health = EndpointHealth::default();
    let mut durations = Vec::new();
    let mut now = 0;
    for _ in 0..8 {
        let until = health.eject(now);
        durations.push(until - now);
        now = until;
    }
    assert_eq!(durations[..3], [2_000, 4_000, 8_000]);
    assert_eq!(*durations.last().unwrap(), MAX_EJECTION_MILLISECONDS);
    now += RAMP_UP_MILLISECONDS;
    health.record_success(now);
    assert_eq!(health.eject(now) - now, FIRST_EJECTION_MILLISECONDS);
}

#[test]
fn admission_ramps_up_after_an_ejection() {
    let mut health = EndpointHealth::default();
    let until = health.eject(0);
    let mut random = random();
    let mut admitted = |now| {
        (0..1000)
            .filter(|_| health.admits(now, &mut random))
            .count()
    };
    let counts =
        [0, 25, 50, 100].map(|percent| admitted(until + RAMP_UP_MILLISECONDS * percent / 100));
    assert!(counts.is_sorted(), "{counts:?}");
    assert!((10..150).contains(&counts[0]), "{counts:?}");
    assert!((400..600).contains(&counts[2]), "{counts:?}");
    assert_eq!(counts[3], 1000);
    assert_eq!(admitted(until - 1), 0);
}

#[test]
fn at_most_half_are_ejected_at_once() {
    let mut router = router_of(&machines(7, "a"));
    for number in 0..7 {
        let target = index(&router, number);
        for _ in 0..CONSECUTIVE_FAILURES {
            router.endpoints.record_outcome(0, target, Outcome::Failed);
        }
    }
    let ejected = (0..7)
        .filter(|number| {
            router
                .endpoints
                .get(index(&router, *number))
                .health
                .is_ejected(1)
        })
        .count();
    assert_eq!(ejected, 3);
}

#[test]
fn only_failures_eject() {
    let cases = [
        (Outcome::Failed, true),
        (Outcome::Completed, false),
        (Outcome::Refused, false),
        (Outcome::Cancelled, false),
    ];
    for (outcome, expected) in cases {
        let mut router = router_of(&machines(4, "a"));
        let target = index(&router, 0);
        for _ in 0..CONSECUTIVE_FAILURES * 3 {
            router.endpoints.record_outcome(0, target, outcome);
        }
        let ejected = router.endpoints.get(target).health.is_ejected(1);
        assert_eq!(ejected, expected, "{outcome:?}");
    }
}

#[test]
fn latency_outlier_is_ejected_but_slow_back_end_is_not() {
    for (factor, expected) in [(3.0, false), (100.0, true)] {
        let mut router = router_of(&machines(8, "a"));
        for round in 0..60 {
            for number in 0..8 {
                let target = index(&router, number);
                let observed = if number == 0 { factor * 10.0 } else { 10.0 };
                let observation = SpeedObservation {
                    observed,
                    nominal: 10.0,
                    weight: 0.2,
                };
                router.endpoints.observe_speed(round, target, observation);
                router
                    .endpoints
                    .record_outcome(round, target, Outcome::Completed);
            }
        }
        let ejected = router
            .endpoints
            .get(index(&router, 0))
            .health
            .is_ejected(60);
        assert_eq!(ejected, expected, "factor {factor}");
    }
}

#[test]
fn refusing_back_end_is_skipped_until_it_succeeds() {
    let mut health = EndpointHealth::default();
    let mut random = random();
    health.record_refusal(0);
    assert!(health.admits(0, &mut random), "a single refusal is ignored");
    let mut now = 0;
    let mut refusals = 0;
    while now < 60_000 {
        if health.admits(now, &mut random) {
            health.record_refusal(now);
            refusals += 1;
        }
        now += 1;
    }
    assert!(refusals < 12, "{refusals} requests in one minute");
    health.record_success(now);
    assert!(health.admits(now, &mut random));
}
