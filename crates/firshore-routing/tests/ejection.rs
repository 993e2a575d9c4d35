//! Ejection is bounded, lengthens, and ends gradually.

mod support;

use firshore_routing::ejection::{
    CONSECUTIVE_FAILURES, FIRST_EJECTION_MILLISECONDS, Health, LONGEST_EJECTION_MILLISECONDS,
    RETURN_MILLISECONDS,
};
use firshore_routing::endpoint::Outcome;
use firshore_routing::speed::Observation;
use support::{index, machines, random, router_of};

#[test]
fn failures_of_requests_under_way_do_not_lengthen_an_ejection() {
    let mut health = Health::default();
    let until = health.eject(0);
    assert!(!health.failed(until - 1));
    assert!(health.failed(until));
}

#[test]
fn ejections_lengthen_up_to_a_bound_and_recover() {
    let mut health = Health::default();
    let mut lengths = Vec::new();
    let mut now = 0;
    for _ in 0..8 {
        let until = health.eject(now);
        lengths.push(until - now);
        now = until;
    }
    assert_eq!(lengths[..3], [2_000, 4_000, 8_000]);
    assert_eq!(*lengths.last().unwrap(), LONGEST_EJECTION_MILLISECONDS);
    now += RETURN_MILLISECONDS;
    health.succeeded(now);
    assert_eq!(health.eject(now) - now, FIRST_EJECTION_MILLISECONDS);
}

#[test]
fn a_return_is_gradual() {
    let mut health = Health::default();
    let until = health.eject(0);
    let mut random = random();
    let mut admitted = |now| {
        (0..1000)
            .filter(|_| health.admits(now, &mut random))
            .count()
    };
    let shares =
        [0, 25, 50, 100].map(|percent| admitted(until + RETURN_MILLISECONDS * percent / 100));
    assert!(shares.is_sorted(), "{shares:?}");
    assert!((10..150).contains(&shares[0]), "{shares:?}");
    assert!((400..600).contains(&shares[2]), "{shares:?}");
    assert_eq!(shares[3], 1000);
    assert_eq!(admitted(until - 1), 0);
}

#[test]
fn at_most_half_are_out_at_once() {
    let mut router = router_of(&machines(7, "a"));
    for number in 0..7 {
        let target = index(&router, number);
        for _ in 0..CONSECUTIVE_FAILURES {
            router.endpoints.outcome(0, target, Outcome::Failed);
        }
    }
    let out = (0..7)
        .filter(|number| {
            router
                .endpoints
                .get(index(&router, *number))
                .health
                .ejected(1)
        })
        .count();
    assert_eq!(out, 3);
}

#[test]
fn which_outcomes_eject() {
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
            router.endpoints.outcome(0, target, outcome);
        }
        let ejected = router.endpoints.get(target).health.ejected(1);
        assert_eq!(ejected, expected, "{outcome:?}");
    }
}

#[test]
fn a_latency_outlier_is_ejected_but_a_slow_engine_is_not() {
    for (factor, expected) in [(3.0, false), (100.0, true)] {
        let mut router = router_of(&machines(8, "a"));
        for round in 0..60 {
            for number in 0..8 {
                let target = index(&router, number);
                let observed = if number == 0 { factor * 10.0 } else { 10.0 };
                let observation = Observation {
                    observed,
                    nominal: 10.0,
                    weight: 0.2,
                };
                router.endpoints.observe_speed(round, target, observation);
                router.endpoints.outcome(round, target, Outcome::Completed);
            }
        }
        let ejected = router.endpoints.get(index(&router, 0)).health.ejected(60);
        assert_eq!(ejected, expected, "factor {factor}");
    }
}

#[test]
fn a_refusing_back_end_is_passed_over_until_it_answers() {
    let mut health = Health::default();
    let mut random = random();
    health.refused(0);
    assert!(health.admits(0, &mut random), "one refusal is chance");
    let mut now = 0;
    let mut refusals = 0;
    while now < 60_000 {
        if health.admits(now, &mut random) {
            health.refused(now);
            refusals += 1;
        }
        now += 1;
    }
    assert!(refusals < 12, "{refusals} requests in a minute");
    health.succeeded(now);
    assert!(health.admits(now, &mut random));
}
