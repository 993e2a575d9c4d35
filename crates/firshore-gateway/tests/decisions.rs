//! Decisions for a request: attempts, traffic split, routes, choice of a back end, events of streams.

use firshore_adapter::backend::{Backend, Pace, ReportedLoad};
use firshore_adapter::caller::PromptPart;
use firshore_adapter::incarnation::{BackendName, Incarnation};
use firshore_adapter::residency::ResidencyPermit;
use firshore_adapter::route::{Repetition, Route, RouteTable, WeightedService};
use firshore_gateway::attempts::{Attempts, NextStep, SendEnd};
use firshore_gateway::choice::{Candidate, Placement, affinity_key, choose};
use firshore_gateway::events::{EventError, EventStream, event_data};
use firshore_gateway::fleet::{BackendOutcome, BackendRequirements, Fleet};
use firshore_gateway::split::Split;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

fn incarnation(name: &str) -> Incarnation {
    Incarnation::named(name)
}

fn backend(name: &str, zone: &str) -> Backend {
    Backend {
        incarnation: incarnation(name),
        service: "llm".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        zone: zone.into(),
        slots: 10,
        leaving: false,
        warm_up: None,
        software: None,
    }
}

fn fleet(names: &[&str]) -> Fleet {
    let mut fleet = Fleet::new("here".into());
    fleet.replace(
        Instant::now(),
        names.iter().map(|name| backend(name, "here")).collect(),
    );
    fleet
}

fn chosen(
    fleet: &Fleet,
    now: Instant,
    attempts: &Attempts,
    affinity: Option<u64>,
) -> Option<String> {
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let service = "llm".into();
    let residency = ResidencyPermit::default();
    let requirements = BackendRequirements {
        origin: None,
        service: &service,
        attempts,
        affinity,
        load_limit: f32::INFINITY,
        begin_objective: None,
        begin_within: None,
        residency: &residency,
    };
    let found = fleet.choose(now, &requirements, &mut random);
    found.map(|backend| backend.incarnation.name.to_string())
}

fn route(services: &[(&str, u32)]) -> Route {
    let services = services.iter().map(|(name, weight)| WeightedService {
        service: (*name).into(),
        weight: *weight,
    });
    Route {
        name: "r".to_owned(),
        host: "a.example".to_owned(),
        path_prefix: "/".to_owned(),
        services: services.collect(),
        repetition: Repetition::Idempotent,
        streams: false,
        timeout: Duration::from_secs(1),
        objective: Duration::from_secs(1),
        attempts: 1,
        priority: 0,
        public: false,
        prefix_affinity: false,
        jobs: None,
        allowed_regions: Default::default(),
    }
}

#[test]
fn the_next_step_depends_on_what_may_have_run() {
    use NextStep::{FailMaybeRun, PassOn, RefuseNotRun, SendAgain};
    use Repetition::{AtMostOnce, Idempotent, Resumable};
    use SendEnd::{BrokenOff, Failed, Lost, NotRun, NotSent};
    // The sends of a case go to different back ends.
    let cases: [(&str, Repetition, u32, &[SendEnd], NextStep); 15] = [
        ("not sent", AtMostOnce, 1, &[NotSent], SendAgain),
        ("not run", AtMostOnce, 1, &[NotRun], SendAgain),
        ("refused by all", AtMostOnce, 1, &[NotRun; 5], RefuseNotRun),
        ("lost, at most once", AtMostOnce, 3, &[Lost], FailMaybeRun),
        ("failed, at most once", AtMostOnce, 3, &[Failed], PassOn),
        (
            "broken off, at most once",
            AtMostOnce,
            3,
            &[BrokenOff],
            FailMaybeRun,
        ),
        ("lost, one attempt", Idempotent, 1, &[Lost], FailMaybeRun),
        ("lost, two attempts", Idempotent, 2, &[Lost], SendAgain),
        (
            "lost twice, two attempts",
            Idempotent,
            2,
            &[Lost, Lost],
            FailMaybeRun,
        ),
        ("failed, two attempts", Idempotent, 2, &[Failed], SendAgain),
        (
            "failed twice, two attempts",
            Idempotent,
            2,
            &[Failed, Failed],
            PassOn,
        ),
        (
            "lost, then refused by all",
            Idempotent,
            2,
            &[Lost, NotRun, NotRun, NotRun, NotRun],
            FailMaybeRun,
        ),
        ("broken off", Resumable, 2, &[BrokenOff], SendAgain),
        (
            "broken off, one attempt: the same back end",
            Resumable,
            1,
            &[BrokenOff],
            SendAgain,
        ),
        ("failed stream", Resumable, 2, &[Failed], PassOn),
    ];
    for (name, repetition, limit, ends, expected) in cases {
        let mut attempts = Attempts::new(repetition, limit);
        let mut next = NextStep::SendAgain;
        for (number, end) in ends.iter().enumerate() {
            assert_eq!(next, NextStep::SendAgain, "{name}: send {number}");
            let backend = incarnation(&format!("b{number}"));
            assert!(attempts.allows(&backend), "{name}: send {number}");
            attempts.sending(&backend);
            next = attempts.ended(&backend, *end);
        }
        assert_eq!(next, expected, "{name}");
    }
}

#[test]
fn attempts_limit_back_ends_not_sends() {
    let mut attempts = Attempts::new(Repetition::Resumable, 1);
    let (first, second) = (incarnation("first"), incarnation("second"));
    attempts.sending(&first);
    assert_eq!(
        attempts.ended(&first, SendEnd::BrokenOff),
        NextStep::SendAgain
    );
    assert!(attempts.allows(&first) && !attempts.allows(&second));
    attempts.sending(&first);
    assert_eq!(attempts.ended(&first, SendEnd::NotRun), NextStep::SendAgain);
    assert!(attempts.may_have_run(), "the first send ran");
    assert!(!attempts.allows(&second));
}

#[test]
fn traffic_splits_are_exact_over_every_round() {
    let mut split = Split::default();
    let route = route(&[("a", 90), ("b", 10)]);
    for round in 0..5 {
        let mut counts: BTreeMap<String, u32> = BTreeMap::new();
        for _ in 0..10 {
            *counts.entry(split.next(&route).0).or_default() += 1;
        }
        let expected = BTreeMap::from([("a".to_owned(), 9), ("b".to_owned(), 1)]);
        assert_eq!(counts, expected, "round {round}");
    }
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let named = |name: &str, host: &str, prefix: &str| Route {
        name: name.to_owned(),
        host: host.to_owned(),
        path_prefix: prefix.to_owned(),
        ..route(&[("s", 1)])
    };
    let table = RouteTable::new([
        named("short", "a.example", "/x/"),
        named("long", "a.example", "/x/y/"),
        named("other", "b.example", "/"),
    ]);
    let cases = [
        ("a.example", "/x/y/z", Some("long")),
        ("A.Example:80", "/x/z", Some("short")),
        ("a.example", "/x", None),
        ("b.example", "/x", Some("other")),
        ("c.example", "/x/", None),
    ];
    for (host, path, expected) in cases {
        let found = table.find(host, path).map(|route| route.name.as_str());
        assert_eq!(found, expected, "{host}{path}");
    }
}

#[test]
fn requests_with_a_common_prefix_share_a_back_end_while_it_has_capacity() {
    let part = |hash| PromptPart { hash, tokens: 600 };
    let key = affinity_key(&[part(1), part(2), part(30)]);
    assert_eq!(key, affinity_key(&[part(1), part(2), part(31)]));
    assert_ne!(key, affinity_key(&[part(1), part(3), part(30)]));
    assert_eq!(affinity_key(&[]), None);
    let short = [part(1), part(30)];
    assert_eq!(
        affinity_key(&short),
        None,
        "a short common prefix gives no affinity"
    );
    let now = Instant::now();
    let attempts = Attempts::new(Repetition::Idempotent, 1);
    let names = ["a", "b", "c", "d"];
    let mut local = fleet(&names);
    let other_node = fleet(&names);
    let preferred = chosen(&local, now, &attempts, key).unwrap();
    assert_eq!(
        chosen(&other_node, now, &attempts, key),
        Some(preferred.clone())
    );
    for _ in 0..8 {
        local.record_start(now, &incarnation(&preferred));
    }
    let second = chosen(&local, now, &attempts, key).unwrap();
    assert_ne!(second, preferred, "a busy back end is skipped");
    local.remove(now, &preferred.as_str().into());
    assert_eq!(
        chosen(&local, now, &attempts, key),
        Some(second),
        "the order of the others is unchanged"
    );
}

#[test]
fn gateways_with_the_same_view_choose_different_back_ends() {
    const GATEWAYS: u64 = 200;
    let now = Instant::now();
    let names: Vec<String> = (0..30).map(|number| format!("b{number}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut fleet = fleet(&names);
    let others = names[1..].iter().map(|name| (BackendName::from(*name), 2));
    fleet.apply_remote_load(now, &others.collect(), &mut ChaCha8Rng::seed_from_u64(1));
    let attempts = Attempts::new(Repetition::Idempotent, 1);
    let service = "llm".into();
    let residency = ResidencyPermit::default();
    let requirements = BackendRequirements {
        origin: None,
        service: &service,
        attempts: &attempts,
        affinity: None,
        load_limit: f32::INFINITY,
        begin_objective: None,
        begin_within: None,
        residency: &residency,
    };
    let to_idle_backend = (0..GATEWAYS)
        .filter(|gateway| {
            let mut random = ChaCha8Rng::seed_from_u64(*gateway);
            let found = fleet.choose(now, &requirements, &mut random).unwrap();
            found.incarnation == incarnation("b0")
        })
        .count();
    assert!(to_idle_backend > 0, "the idle back end is found");
    assert!(to_idle_backend < 60, "{to_idle_backend} of {GATEWAYS}");
}

#[test]
fn the_least_loaded_back_end_takes_a_request() {
    let now = Instant::now();
    let attempts = Attempts::new(Repetition::Idempotent, 1);
    let mut fleet = fleet(&["a", "b", "c"]);
    let others = HashMap::from([("a".into(), 4), ("b".into(), 2)]);
    fleet.apply_remote_load(now, &others, &mut ChaCha8Rng::seed_from_u64(1));
    assert_eq!(chosen(&fleet, now, &attempts, None).as_deref(), Some("c"));
    for _ in 0..3 {
        fleet.record_start(now, &incarnation("c"));
    }
    assert_eq!(chosen(&fleet, now, &attempts, None).as_deref(), Some("b"));
    let later = now + Duration::from_secs(3);
    assert_ne!(
        chosen(&fleet, later, &attempts, None).as_deref(),
        Some("c"),
        "reports of others are stale, local counts are not"
    );
}

#[test]
fn local_requests_are_not_counted_twice_in_a_reported_load() {
    let now = Instant::now();
    let mut fleet = fleet(&["a"]);
    fleet.record_start(now, &incarnation("a"));
    let load = ReportedLoad {
        running: 3,
        waiting: 0,
        slots: 10,
        pace: None,
    };
    fleet.record_load(now, &incarnation("a"), load);
    assert_eq!(fleet.load(now, &incarnation("a")), Some(0.3));
    assert_eq!(fleet.excess(now, &incarnation("a"), 0.9), None);
    assert_eq!(fleet.excess(now, &incarnation("a"), 0.1), Some(2));
}

#[test]
fn leaving_and_removed_back_ends_get_no_request() {
    let now = Instant::now();
    let attempts = Attempts::new(Repetition::Idempotent, 1);
    let mut fleet = fleet(&["a", "b"]);
    fleet.upsert(
        Instant::now(),
        Backend {
            leaving: true,
            ..backend("a", "here")
        },
    );
    assert_eq!(chosen(&fleet, now, &attempts, None).as_deref(), Some("b"));
    fleet.remove(now, &"b".into());
    assert_eq!(chosen(&fleet, now, &attempts, None), None);
}

#[test]
fn ejections_expire() {
    let now = Instant::now();
    let attempts = Attempts::new(Repetition::Idempotent, 1);
    let mut fleet = fleet(&["a", "b"]);
    assert!(fleet.record_outcome(now, &incarnation("a"), BackendOutcome::Unreachable));
    assert_eq!(chosen(&fleet, now, &attempts, None).as_deref(), Some("b"));
    assert!(fleet.record_outcome(now, &incarnation("b"), BackendOutcome::Unreachable));
    assert!(
        chosen(&fleet, now, &attempts, None).is_some(),
        "an ejected back end is chosen if there is no other"
    );
    fleet.record_outcome(now, &incarnation("b"), BackendOutcome::Answered);
    assert_eq!(chosen(&fleet, now, &attempts, None).as_deref(), Some("b"));
    let later = now + Duration::from_secs(5);
    fleet.record_start(later, &incarnation("b"));
    assert_eq!(chosen(&fleet, later, &attempts, None).as_deref(), Some("a"));
}

#[test]
fn an_unresponsive_back_end_gets_no_new_request() {
    let now = Instant::now();
    let attempts = Attempts::new(Repetition::Idempotent, 1);
    let mut fleet = fleet(&["a", "b"]);
    let (unresponsive, other) = (incarnation("a"), incarnation("b"));
    fleet.record_start(now, &unresponsive);
    for _ in 0..3 {
        fleet.record_start(now, &other);
    }
    let later = now + Duration::from_millis(700);
    fleet.record_activity(later, &other);
    assert_eq!(chosen(&fleet, now, &attempts, None).as_deref(), Some("a"));
    assert_eq!(chosen(&fleet, later, &attempts, None).as_deref(), Some("b"));
    fleet.record_activity(later, &unresponsive);
    assert_eq!(chosen(&fleet, later, &attempts, None).as_deref(), Some("a"));
    let much_later = later + Duration::from_secs(1);
    fleet.record_activity(much_later, &other);
    fleet.record_end(now, &unresponsive);
    let idle = chosen(&fleet, much_later, &attempts, None);
    assert_eq!(idle.as_deref(), Some("a"), "it has no request in flight");
}

#[test]
fn events_are_forwarded_complete_and_in_order() {
    let mut stream = EventStream::after(None);
    assert!(stream.feed(b"id: 1\ndata: a").unwrap().is_empty());
    assert!(stream.has_partial());
    let events = stream.feed(b"\n\nid: 2\ndata: b\n\nid: 3").unwrap();
    assert_eq!(&events[..], b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    assert_eq!(event_data(&events), ["a", "b"]);
    assert_eq!(stream.last(), Some(2));
    stream.discard_partial();
    let rest = stream.feed(b"id: 3\ndata: c\ndata: d\n\n").unwrap();
    assert_eq!(event_data(&rest), ["c\nd"]);
    for event in ["id: 3\ndata: c\n\n", "id: 5\ndata: e\n\n"] {
        let mut stream = EventStream::after(Some(3));
        let found = if event.starts_with("id: 3") { 3 } else { 5 };
        let fault = EventError::OutOfOrder(4, found);
        assert_eq!(stream.feed(event.as_bytes()), Err(fault));
    }
}

#[test]
fn online_requests_are_spread_by_free_capacity() {
    const DRAWS: usize = 20_000;
    let candidate = |identity, load, same_zone| Candidate {
        identity,
        load,
        pace: 1.0,
        turnover: 0.0,
        same_zone,
    };
    // Free capacity: 0.5 and 0.25 in the local zone; 0.5 in another zone, weighted by 0.4; none at the others.
    let candidates = [
        candidate(1, 0.5, true),
        candidate(2, 0.75, true),
        candidate(3, 0.5, false),
        candidate(4, 1.0, true),
        candidate(5, 2.5, true),
    ];
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let mut counts = [0; 5];
    for _ in 0..DRAWS {
        let found = choose(&candidates, None, Placement::ByCapacity, &mut random);
        counts[found.unwrap()] += 1;
    }
    let fractions = counts.map(|count| f64::from(count) / DRAWS as f64);
    let expected = [0.526, 0.263, 0.211, 0.0, 0.0];
    for (fraction, expected) in fractions.iter().zip(expected) {
        assert!((fraction - expected).abs() < 0.02, "{fractions:?}");
    }
}

#[test]
fn stale_views_spread_requests_and_current_ones_do_not() {
    const DRAWS: usize = 400;
    let now = Instant::now();
    let attempts = Attempts::new(Repetition::Idempotent, 1);
    let service = "llm".into();
    let residency = ResidencyPermit::default();
    let requirements = BackendRequirements {
        origin: None,
        service: &service,
        attempts: &attempts,
        affinity: None,
        load_limit: f32::INFINITY,
        begin_objective: None,
        begin_within: None,
        residency: &residency,
    };
    let mut fleet = fleet(&["a", "b", "c"]);
    let others = HashMap::from([("a".into(), 4), ("b".into(), 2)]);
    fleet.apply_remote_load(now, &others, &mut ChaCha8Rng::seed_from_u64(1));
    let mut random = ChaCha8Rng::seed_from_u64(1);
    for (interval, min, max) in [(100, DRAWS, DRAWS), (400, 100, 240)] {
        fleet.set_view_interval(Duration::from_millis(interval));
        let chosen = (0..DRAWS).map(|_| fleet.choose(now, &requirements, &mut random).unwrap());
        let idle = incarnation("c");
        let count = chosen.filter(|backend| backend.incarnation == idle).count();
        assert!((min..=max).contains(&count), "{count} at {interval} ms");
    }
}

#[test]
fn without_capacity_the_least_loaded_back_end_is_chosen() {
    let candidate = |identity, load| Candidate {
        identity,
        load,
        pace: 1.0,
        turnover: 0.0,
        same_zone: true,
    };
    let candidates = [candidate(1, 1.5), candidate(2, 1.0), candidate(3, 2.0)];
    let mut random = ChaCha8Rng::seed_from_u64(1);
    for _ in 0..100 {
        let found = choose(&candidates, None, Placement::ByCapacity, &mut random);
        assert_eq!(found, Some(1));
    }
    assert_eq!(choose(&[], None, Placement::ByCapacity, &mut random), None);
}

#[test]
fn requests_admitted_under_a_load_limit_do_not_exceed_it() {
    let now = Instant::now();
    let attempts = Attempts::new(Repetition::Idempotent, 1);
    let service = "llm".into();
    for slots in 1..=40 {
        for load in [0.875, 0.9, 1.0] {
            let mut fleet = Fleet::new("here".into());
            let backend = Backend {
                slots,
                ..backend("b", "here")
            };
            fleet.replace(Instant::now(), vec![backend]);
            let residency = ResidencyPermit::default();
            let requirements = BackendRequirements {
                origin: None,
                service: &service,
                attempts: &attempts,
                affinity: None,
                load_limit: load,
                begin_objective: None,
                begin_within: None,
                residency: &residency,
            };
            let mut random = ChaCha8Rng::seed_from_u64(1);
            let mut started = 0;
            while fleet.choose(now, &requirements, &mut random).is_some() {
                fleet.record_start(now, &incarnation("b"));
                started += 1;
            }
            let excess = fleet.excess(now, &incarnation("b"), load);
            assert_eq!(excess, None, "{started} of {slots} slots at {load}");
            assert!(started >= 1 && started <= slots, "{started} of {slots}");
        }
    }
}

fn report_pace(fleet: &mut Fleet, now: Instant, name: &str, pace: u32) {
    let load = ReportedLoad {
        running: 0,
        waiting: 0,
        slots: 10,
        pace: Pace::from_hundredths(pace),
    };
    fleet.record_load(now, &incarnation(name), load);
}

/// Returns how often each of two back ends, `a` and `b`, is chosen in 2,000 draws.
fn count_choices(fleet: &Fleet, now: Instant, begin_objective: Option<Duration>) -> [usize; 2] {
    let attempts = Attempts::new(Repetition::Idempotent, 1);
    let service = "llm".into();
    let residency = ResidencyPermit::default();
    let requirements = BackendRequirements {
        origin: None,
        service: &service,
        attempts: &attempts,
        affinity: None,
        load_limit: f32::INFINITY,
        begin_objective,
        begin_within: None,
        residency: &residency,
    };
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let mut counts = [0; 2];
    for _ in 0..2_000 {
        let found = fleet.choose(now, &requirements, &mut random).unwrap();
        counts[usize::from(found.incarnation == incarnation("b"))] += 1;
    }
    counts
}

#[test]
fn slots_of_a_slow_back_end_have_less_weight() {
    let now = Instant::now();
    let mut fleet = fleet(&["a", "b"]);
    fleet.set_view_interval(Duration::from_millis(400));
    report_pace(&mut fleet, now, "a", 60);
    report_pace(&mut fleet, now, "b", 180);
    let [fast, slow] = count_choices(&fleet, now, None);
    assert!(
        (1_420..1_580).contains(&fast),
        "expected three times as many: {fast}, {slow}"
    );
    // With a current view, the slow one is skipped until the other is clearly fuller.
    fleet.set_view_interval(Duration::from_millis(100));
    assert_eq!(count_choices(&fleet, now, None), [2_000, 0]);
    let crowded = HashMap::from([("a".into(), 8)]);
    fleet.apply_remote_load(now, &crowded, &mut ChaCha8Rng::seed_from_u64(1));
    assert_eq!(count_choices(&fleet, now, None), [0, 2_000]);
}

#[test]
fn a_back_end_too_slow_for_the_objective_is_skipped_while_others_have_capacity() {
    let now = Instant::now();
    let objective = Some(Duration::from_millis(300));
    let mut fleet = fleet(&["a", "b"]);
    fleet.set_view_interval(Duration::from_millis(400));
    fleet.record_served(
        &"llm".into(),
        Duration::from_millis(80),
        Duration::from_millis(500),
    );
    report_pace(&mut fleet, now, "a", 100);
    report_pace(&mut fleet, now, "b", 500);
    assert_eq!(count_choices(&fleet, now, objective), [2_000, 0]);
    let [_, slow] = count_choices(&fleet, now, None);
    assert!(
        slow > 100,
        "without an objective it is chosen in proportion: {slow}"
    );
    let full = HashMap::from([("a".into(), 20)]);
    fleet.apply_remote_load(now, &full, &mut ChaCha8Rng::seed_from_u64(1));
    assert_eq!(
        count_choices(&fleet, now, objective),
        [0, 2_000],
        "the slow one is chosen if the other is full"
    );
}

#[test]
fn paces_reported_by_other_nodes_count_and_are_not_reported_back() {
    let now = Instant::now();
    let (mut local, mut remote) = (fleet(&["a", "b"]), fleet(&["a", "b"]));
    local.set_view_interval(Duration::from_millis(400));
    assert_eq!(remote.take_unreported_paces(), []);
    report_pace(&mut remote, now, "b", 300);
    let paces = remote.take_unreported_paces();
    assert_eq!(paces.len(), 1);
    assert_eq!(
        remote.take_unreported_paces(),
        [],
        "each pace is reported once"
    );
    local.apply_remote_paces(now, paces);
    assert_eq!(local.take_unreported_paces(), []);
    let [_, slow] = count_choices(&local, now, None);
    assert!(
        (400..600).contains(&slow),
        "expected a third of the choices of the other: {slow}"
    );
}

#[test]
fn a_back_end_that_fails_fast_is_chosen_less_often() {
    let now = Instant::now();
    let mut fleet = fleet(&["a", "b"]);
    fleet.set_view_interval(Duration::from_millis(400));
    report_pace(&mut fleet, now, "a", 100);
    report_pace(&mut fleet, now, "b", 60);
    for _ in 0..20 {
        fleet.record_outcome(now, &incarnation("b"), BackendOutcome::Failed);
    }
    let [_, failing] = count_choices(&fleet, now, None);
    assert!(failing < 700, "by pace alone it would get 1,250: {failing}");
    assert!(failing > 100, "it still gets some requests: {failing}");
}

#[test]
fn without_reported_paces_capacity_alone_decides() {
    let now = Instant::now();
    let mut fleet = fleet(&["a", "b"]);
    fleet.set_view_interval(Duration::from_millis(400));
    fleet.record_served(
        &"llm".into(),
        Duration::from_millis(900),
        Duration::from_millis(500),
    );
    for _ in 0..20 {
        fleet.record_outcome(now, &incarnation("b"), BackendOutcome::Failed);
    }
    let others = HashMap::from([("a".into(), 5)]);
    fleet.apply_remote_load(now, &others, &mut ChaCha8Rng::seed_from_u64(1));
    let [half_full, idle] = count_choices(&fleet, now, Some(Duration::from_millis(300)));
    assert!(
        (600..733).contains(&half_full),
        "expected by free capacity: {half_full}, {idle}"
    );
}
