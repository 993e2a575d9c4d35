//! Which back ends get requests, and which must not.

mod support;

use firshore_routing::balance::Features;
use firshore_routing::endpoint::{
    ABSENT_GRACE_MILLISECONDS, DRAINING_MEMORY_MILLISECONDS, Outcome,
};
use firshore_routing::load::LoadReport;
use firshore_routing::router::Router;
use firshore_types::labels::Selector;
use firshore_types::machine::{Machine, MachineState};
use support::{index, machine, machines, pool, random, router_of};

/// Sends `requests` that stay at their back ends, and counts them by back end.
fn spread(router: &mut Router, now: u64, requests: usize, back_ends: usize) -> Vec<usize> {
    let mut counts = vec![0; back_ends];
    let mut random = random();
    for _ in 0..requests {
        let features = Features {
            prompt_tokens: 100,
            ..Features::default()
        };
        let sent = router.choose(now, &[&pool()], features, &mut random);
        counts[usize::from(sent.unwrap().endpoint.0)] += 1;
    }
    counts
}

#[test]
fn equal_back_ends_get_about_equal_work() {
    let mut router = router_of(&machines(10, "a"));
    let counts = spread(&mut router, 0, 500, 10);
    assert!(
        counts.iter().all(|count| (40..=60).contains(count)),
        "{counts:?}"
    );
}

#[test]
fn back_ends_that_must_get_nothing_new() {
    type Change = fn(&mut Router, &mut [Machine]);
    let cases: [(&str, Change); 4] = [
        ("draining by its own word", |router, _| {
            let target = index(router, 0);
            router.draining(0, target);
        }),
        ("leaving by the machine list", |router, machines| {
            machines[0].state = MachineState::Leaving;
            router.update(0, machines);
        }),
        ("ejected after failures in a row", |router, _| {
            let mut random = random();
            let target = index(router, 0);
            for _ in 0..200 {
                let sent = router.choose(0, &[&pool()], Features::default(), &mut random);
                let sent = sent.unwrap();
                let failed = sent.endpoint == target;
                let outcome = if failed {
                    Outcome::Failed
                } else {
                    Outcome::Completed
                };
                router.ended(0, &sent, outcome);
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
        let counts = spread(&mut router, 1, 200, 4);
        assert_eq!(counts[0], 0, "{name}: {counts:?}");
        assert!(
            counts[1..].iter().all(|count| *count > 0),
            "{name}: {counts:?}"
        );
    }
}

#[test]
fn every_back_end_draining_means_no_choice() {
    let mut router = router_of(&machines(2, "a"));
    for number in 0..2 {
        let target = index(&router, number);
        router.draining(0, target);
    }
    let none = router.choose(1, &[&pool()], Features::default(), &mut random());
    assert_eq!(none, None);
    let later = DRAINING_MEMORY_MILLISECONDS;
    let some = router.choose(later, &[&pool()], Features::default(), &mut random());
    assert!(some.is_some());
}

#[test]
fn a_back_end_cut_from_the_list_is_kept_while_it_answers() {
    let mut router = router_of(&machines(2, "a"));
    let shorter = machines(1, "a");
    let target = index(&router, 1);
    let mut now = 0;
    for _ in 0..5 {
        now += ABSENT_GRACE_MILLISECONDS / 2;
        router.update(now, &shorter);
        router.endpoints.outcome(now, target, Outcome::Completed);
    }
    assert!(router.endpoints.get(target).available(now));
    now += ABSENT_GRACE_MILLISECONDS;
    router.update(now, &shorter);
    assert!(!router.endpoints.get(target).available(now));
    assert_eq!(spread(&mut router, now, 20, 2)[1], 0);
}

#[test]
fn an_index_is_not_reused_while_requests_are_on_it() {
    let mut router = router_of(&machines(1, "a"));
    let sent = router
        .choose(0, &[&pool()], Features::default(), &mut random())
        .unwrap();
    let after = ABSENT_GRACE_MILLISECONDS + 1;
    let others = [machine(7, "a")];
    router.update(1, &others);
    router.update(1 + after, &others);
    assert_ne!(index(&router, 7), sent.endpoint);
    router.ended(1 + after, &sent, Outcome::Completed);
    let more = [machine(7, "a"), machine(8, "a")];
    router.update(2 + after, &more);
    assert_eq!(index(&router, 8), sent.endpoint);
    assert_eq!(router.endpoints.get(sent.endpoint).load.own_requests(), 0);
}

#[test]
fn the_own_zone_comes_first_and_spills_under_load() {
    let mut fleet = machines(2, "a");
    fleet.push(machine(2, "b"));
    fleet.push(machine(3, "far-z"));
    let mut router = router_of(&fleet);
    let mut random = random();
    for now in 0..50 {
        let sent = router.choose(now, &[&pool()], Features::default(), &mut random);
        let sent = sent.unwrap();
        let zone = router.endpoints.get(sent.endpoint).zone.clone();
        assert_eq!(zone.as_str(), "a", "an idle zone keeps its requests");
        router.ended(now, &sent, Outcome::Completed);
    }
    let many = spread(&mut router, 0, 200, 4);
    assert!(
        many[2] > 0,
        "the next nearest zone takes the spill: {many:?}"
    );
    assert!(many[2] > many[3], "a region far away comes last: {many:?}");
}

#[test]
fn a_zone_without_back_ends_uses_the_next_nearest() {
    let fleet = [machine(0, "far-z"), machine(1, "b")];
    let mut router = router_of(&fleet);
    let counts = spread(&mut router, 0, 3, 2);
    assert_eq!(counts, [0, 3]);
}

#[test]
fn a_slow_engine_gets_less() {
    let mut router = router_of(&machines(4, "a"));
    let slow = index(&router, 0);
    let mut random = random();
    let mut counts = [0; 4];
    let mut running: Vec<(u64, firshore_routing::router::Sent)> = Vec::new();
    for step in 0..6_000_u64 {
        let now = step * 4;
        let (due, rest) = running.into_iter().partition(|(end, _)| *end <= now);
        running = rest;
        let due: Vec<(u64, firshore_routing::router::Sent)> = due;
        for (_, mut sent) in due {
            router.first_token(now, &mut sent);
            router.ended(now, &sent, Outcome::Completed);
        }
        let features = Features {
            prompt_tokens: 400,
            ..Features::default()
        };
        let sent = router
            .choose(now, &[&pool()], features, &mut random)
            .unwrap();
        let own = running
            .iter()
            .filter(|(_, other)| other.endpoint == sent.endpoint)
            .count();
        let factor = if sent.endpoint == slow { 3 } else { 1 };
        running.push((now + factor * (10 + 8 * own as u64), sent));
        if step > 1_000 {
            counts[usize::from(sent.endpoint.0)] += 1;
        }
    }
    let others = (counts[1] + counts[2] + counts[3]) as f64 / 3.0;
    let share = f64::from(counts[0]) / others;
    assert!((0.15..0.6).contains(&share), "{counts:?}");
}

#[test]
fn selectors_are_a_conjunction() {
    let fleet = [machine(0, "a"), machine(1, "b")];
    let mut router = router_of(&fleet);
    let only_b = Selector::matching([("zone", "b")]);
    for _ in 0..10 {
        let sent = router.choose(0, &[&pool(), &only_b], Features::default(), &mut random());
        assert_eq!(sent.unwrap().endpoint, index(&router, 1));
    }
    let nothing = Selector::matching([("zone", "c")]);
    let sent = router.choose(0, &[&pool(), &nothing], Features::default(), &mut random());
    assert_eq!(sent, None);
}

#[test]
fn back_ends_tried_are_passed_over() {
    let mut router = router_of(&machines(3, "a"));
    let mut random = random();
    let mut tried = Vec::new();
    for _ in 0..3 {
        let features = Features {
            tried: &tried,
            ..Features::default()
        };
        let sent = router.choose(0, &[&pool()], features, &mut random).unwrap();
        assert!(!tried.contains(&sent.endpoint));
        tried.push(sent.endpoint);
    }
    let features = Features {
        tried: &tried,
        ..Features::default()
    };
    assert_eq!(router.choose(0, &[&pool()], features, &mut random), None);
}

#[test]
fn headers_of_load() {
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
