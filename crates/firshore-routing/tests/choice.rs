//! Tests which back ends get requests and which are excluded.

mod support;

use firshore_routing::balance::RequestFeatures;
use firshore_routing::endpoint::{ABSENT_GRACE_MILLISECONDS, DRAINING_MILLISECONDS, Outcome};
use firshore_routing::load::LoadReport;
use firshore_routing::router::Router;
use firshore_types::labels::Selector;
use firshore_types::machine::{Machine, MachineState};
use support::{index, machine, machines, pool_selector, random, router_of};

/// Sends `requests` requests that do not end, and returns their number per back end.
fn send_requests(router: &mut Router, now: u64, requests: usize, back_ends: usize) -> Vec<usize> {
    let mut counts = vec![0; back_ends];
    let mut random = random();
    for _ in 0..requests {
        let features = RequestFeatures {
            prompt_tokens: 100,
            ..RequestFeatures::default()
        };
        let sent = router.choose(now, &[&pool_selector()], features, &mut random);
        counts[usize::from(sent.unwrap().endpoint.0)] += 1;
    }
    counts
}

#[test]
fn equal_back_ends_get_similar_load() {
    let mut router = router_of(&machines(10, "a"));
    let counts = send_requests(&mut router, 0, 500, 10);
    assert!(
        counts.iter().all(|count| (40..=60).contains(count)),
        "{counts:?}"
    );
}

#[test]
fn unavailable_back_ends_get_no_requests() {
    type Change = fn(&mut Router, &mut [Machine]);
    let cases: [(&str, Change); 4] = [
        ("reported as draining", |router, _| {
            let target = index(router, 0);
            router.record_draining(0, target);
        }),
        ("leaving in the machine list", |router, machines| {
            machines[0].state = MachineState::Leaving;
            router.update(0, machines);
        }),
        ("ejected after consecutive failures", |router, _| {
            let mut random = random();
            let target = index(router, 0);
            for _ in 0..200 {
                let sent = router.choose(
                    0,
                    &[&pool_selector()],
                    RequestFeatures::default(),
                    &mut random,
                );
                let sent = sent.unwrap();
                let failed = sent.endpoint == target;
                let outcome = if failed {
                    Outcome::Failed
                } else {
                    Outcome::Completed
                };
                router.record_end(0, &sent, outcome);
            }
        }),
        ("no longer selected", |router, machines| {
            machines[0].labels = Default::default();
            router.update(0, machines);
        }),
    ];
    for (name, change) in cases {
        let mut machines = machines(4, "a");
        let mut router = router_of(&machines);
        change(&mut router, &mut machines);
        let counts = send_requests(&mut router, 1, 200, 4);
        assert_eq!(counts[0], 0, "{name}: {counts:?}");
        assert!(
            counts[1..].iter().all(|count| *count > 0),
            "{name}: {counts:?}"
        );
    }
}

#[test]
fn choose_returns_none_while_all_back_ends_drain() {
    let mut router = router_of(&machines(2, "a"));
    for number in 0..2 {
        let target = index(&router, number);
        router.record_draining(0, target);
    }
    let while_draining = router.choose(
        1,
        &[&pool_selector()],
        RequestFeatures::default(),
        &mut random(),
    );
    assert_eq!(while_draining, None);
    let after_draining = DRAINING_MILLISECONDS;
    let recovered = router.choose(
        after_draining,
        &[&pool_selector()],
        RequestFeatures::default(),
        &mut random(),
    );
    assert!(recovered.is_some());
}

#[test]
fn unlisted_back_end_is_kept_while_it_responds() {
    let mut router = router_of(&machines(2, "a"));
    let shorter = machines(1, "a");
    let target = index(&router, 1);
    let mut now = 0;
    for _ in 0..5 {
        now += ABSENT_GRACE_MILLISECONDS / 2;
        router.update(now, &shorter);
        router
            .endpoints
            .record_outcome(now, target, Outcome::Completed);
    }
    assert!(router.endpoints.get(target).is_available(now));
    now += ABSENT_GRACE_MILLISECONDS;
    router.update(now, &shorter);
    assert!(!router.endpoints.get(target).is_available(now));
    assert_eq!(send_requests(&mut router, now, 20, 2)[1], 0);
}

#[test]
fn index_is_not_reused_while_requests_are_in_flight() {
    let mut router = router_of(&machines(1, "a"));
    let sent = router
        .choose(
            0,
            &[&pool_selector()],
            RequestFeatures::default(),
            &mut random(),
        )
        .unwrap();
    let removal_delay = ABSENT_GRACE_MILLISECONDS + 1;
    let replacement = [machine(7, "a")];
    router.update(1, &replacement);
    router.update(1 + removal_delay, &replacement);
    assert_ne!(index(&router, 7), sent.endpoint);
    router.record_end(1 + removal_delay, &sent, Outcome::Completed);
    let both = [machine(7, "a"), machine(8, "a")];
    router.update(2 + removal_delay, &both);
    assert_eq!(index(&router, 8), sent.endpoint);
    assert_eq!(router.endpoints.get(sent.endpoint).load.local_requests(), 0);
}

#[test]
fn local_zone_is_preferred_until_overloaded() {
    let mut fleet = machines(2, "a");
    fleet.push(machine(2, "b"));
    fleet.push(machine(3, "far-z"));
    let mut router = router_of(&fleet);
    let mut random = random();
    for now in 0..50 {
        let sent = router.choose(
            now,
            &[&pool_selector()],
            RequestFeatures::default(),
            &mut random,
        );
        let sent = sent.unwrap();
        let zone = router.endpoints.get(sent.endpoint).zone.clone();
        assert_eq!(zone.as_str(), "a", "an idle local zone is preferred");
        router.record_end(now, &sent, Outcome::Completed);
    }
    let counts = send_requests(&mut router, 0, 200, 4);
    assert!(
        counts[2] > 0,
        "the nearest other zone gets the excess: {counts:?}"
    );
    assert!(
        counts[2] > counts[3],
        "another region is used last: {counts:?}"
    );
}

#[test]
fn zone_without_back_ends_uses_the_nearest_other_zone() {
    let fleet = [machine(0, "far-z"), machine(1, "b")];
    let mut router = router_of(&fleet);
    let counts = send_requests(&mut router, 0, 3, 2);
    assert_eq!(counts, [0, 3]);
}

#[test]
fn slow_back_end_gets_fewer_requests() {
    let mut router = router_of(&machines(4, "a"));
    let slow = index(&router, 0);
    let mut random = random();
    let mut counts = [0; 4];
    let mut running: Vec<(u64, firshore_routing::router::SentRequest)> = Vec::new();
    for step in 0..6_000_u64 {
        let now = step * 4;
        let (due, rest) = running.into_iter().partition(|(end, _)| *end <= now);
        running = rest;
        let due: Vec<(u64, firshore_routing::router::SentRequest)> = due;
        for (_, mut sent) in due {
            router.record_first_token(now, &mut sent);
            router.record_end(now, &sent, Outcome::Completed);
        }
        let features = RequestFeatures {
            prompt_tokens: 400,
            ..RequestFeatures::default()
        };
        let sent = router
            .choose(now, &[&pool_selector()], features, &mut random)
            .unwrap();
        let in_flight = running
            .iter()
            .filter(|(_, other)| other.endpoint == sent.endpoint)
            .count();
        let factor = if sent.endpoint == slow { 3 } else { 1 };
        running.push((now + factor * (10 + 8 * in_flight as u64), sent));
        if step > 1_000 {
            counts[usize::from(sent.endpoint.0)] += 1;
        }
    }
    let mean_of_others = (counts[1] + counts[2] + counts[3]) as f64 / 3.0;
    let ratio = f64::from(counts[0]) / mean_of_others;
    assert!((0.15..0.6).contains(&ratio), "{counts:?}");
}

#[test]
fn back_end_must_match_all_selectors() {
    let fleet = [machine(0, "a"), machine(1, "b")];
    let mut router = router_of(&fleet);
    let only_b = Selector::matching([("zone", "b")]);
    for _ in 0..10 {
        let sent = router.choose(
            0,
            &[&pool_selector(), &only_b],
            RequestFeatures::default(),
            &mut random(),
        );
        assert_eq!(sent.unwrap().endpoint, index(&router, 1));
    }
    let no_match = Selector::matching([("zone", "c")]);
    let sent = router.choose(
        0,
        &[&pool_selector(), &no_match],
        RequestFeatures::default(),
        &mut random(),
    );
    assert_eq!(sent, None);
}

#[test]
fn tried_back_ends_are_excluded() {
    let mut router = router_of(&machines(3, "a"));
    let mut random = random();
    let mut tried = Vec::new();
    for _ in 0..3 {
        let features = RequestFeatures {
            tried: &tried,
            ..RequestFeatures::default()
        };
        let sent = router
            .choose(0, &[&pool_selector()], features, &mut random)
            .unwrap();
        assert!(!tried.contains(&sent.endpoint));
        tried.push(sent.endpoint);
    }
    let features = RequestFeatures {
        tried: &tried,
        ..RequestFeatures::default()
    };
    assert_eq!(
        router.choose(0, &[&pool_selector()], features, &mut random),
        None
    );
}

#[test]
fn load_header_is_parsed_or_ignored() {
    let report = LoadReport {
        running: 3,
        waiting: 2,
        slots: 16,
    };
    let cases = [
        ("3/2/16", Some(report)),
        (" 3/2/16 ", Some(report)),
        ("3/2", None),
        ("3/2/16/1", None),
        ("3/-2/16", None),
        ("", None),
        ("many", None),
    ];
    for (text, expected) in cases {
        assert_eq!(LoadReport::from_header(text), expected, "{text}");
    }
}
