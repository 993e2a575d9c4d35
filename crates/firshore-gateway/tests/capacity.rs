//! Estimates of free capacity: from views and the load that back ends report, the distribution of the last slots
//! among nodes, and the start of a node without any reports.

use firshore_adapter::backend::{Backend, ReportedLoad};
use firshore_adapter::incarnation::{BackendName, Incarnation};
use firshore_adapter::residency::ResidencyPermit;
use firshore_adapter::route::Repetition;
use firshore_admission::admission::CapacityOutlook;
use firshore_gateway::attempts::Attempts;
use firshore_gateway::fleet::{BackendRequirements, Fleet};
use firshore_types::ids::ServiceName;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use std::collections::HashMap;
use std::time::{Duration, Instant};

const SLOTS: u32 = 8;
const FIRST_EVENT: Duration = Duration::from_millis(40);

/// View interval of a node in a large fleet.
const LONG_INTERVAL: Duration = Duration::from_millis(300);

/// Time in the slot after the first event.
const REST: Duration = Duration::from_millis(680);

/// Time within which requests must begin: half of an objective of 300 ms.
const BEGIN_WITHIN: Duration = Duration::from_millis(150);

fn incarnation(number: usize) -> Incarnation {
    Incarnation::named(format!("b{number}").as_str())
}

/// Creates the fleet of a node that has one request in flight, at the first back end.
fn fleet(backends: usize) -> Fleet {
    let mut fleet = idle_fleet(backends);
    fleet.record_start(Instant::now(), &incarnation(0));
    fleet
}

fn idle_fleet(backends: usize) -> Fleet {
    let mut fleet = Fleet::new("here".into());
    let listed = (0..backends).map(|number| Backend {
        incarnation: incarnation(number),
        service: "llm".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        zone: "here".into(),
        slots: SLOTS,
        leaving: false,
        warm_up: None,
        software: None,
    });
    fleet.replace(Instant::now(), listed.collect());
    for _ in 0..100 {
        fleet.record_served(&"llm".into(), FIRST_EVENT, REST);
    }
    fleet.set_view_interval(LONG_INTERVAL);
    fleet
}

/// Applies a view in which back ends hold `held` requests, including those of this node.
fn apply_view(fleet: &mut Fleet, now: Instant, held: &[u32]) {
    let local: HashMap<BackendName, u32> = fleet.in_flight().collect();
    let others = held.iter().enumerate().map(|(number, held)| {
        let name = incarnation(number).name;
        let own = local.get(&name).copied().unwrap_or(0);
        let others = held - own.min(*held);
        (name, others)
    });
    let mut random = ChaCha8Rng::seed_from_u64(1);
    fleet.apply_remote_load(now, &others.collect::<HashMap<_, _>>(), &mut random);
}

fn outlook(fleet: &Fleet, now: Instant) -> CapacityOutlook {
    let service = ServiceName::from("llm");
    let attempts = Attempts::new(Repetition::Idempotent, 1);
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
    fleet.outlook(now, &requirements, BEGIN_WITHIN).unwrap()
}

fn report_load(fleet: &mut Fleet, now: Instant, number: usize, running: u32, waiting: u32) {
    let load = ReportedLoad {
        running,
        waiting,
        slots: SLOTS,
        pace: None,
    };
    fleet.record_load(now, &incarnation(number), load);
}

#[test]
fn a_current_view_yields_the_expected_wait() {
    let now = Instant::now();
    let mut fleet = fleet(10);
    fleet.set_view_interval(Duration::from_millis(30));
    apply_view(&mut fleet, now, &[8; 10]);
    let at = outlook(&fleet, now);
    assert!(at.has_slot, "the first queued request begins in time");
    assert!(at.is_scarce);
    let expected = (FIRST_EVENT + REST).mul_f32(1.0 / SLOTS as f32);
    assert!(at.begin_delay.abs_diff(expected) < Duration::from_millis(2));
    apply_view(&mut fleet, now, &[12; 10]);
    assert!(!outlook(&fleet, now).has_slot);
    apply_view(&mut fleet, now, &[5; 10]);
    assert!(!outlook(&fleet, now).is_scarce);
}

/// One short queue among many is a coincidence, and all gateways see the same one.
#[test]
fn one_free_back_end_of_many_is_no_capacity() {
    let now = Instant::now();
    let mut fleet = fleet(20);
    fleet.set_view_interval(Duration::from_millis(30));
    let mut held = [14; 20];
    held[3] = 2;
    apply_view(&mut fleet, now, &held);
    assert!(!outlook(&fleet, now).has_slot);
}

/// Requests that waited longer than expected indicate load that the view doesn't contain yet.
#[test]
fn unexpected_waits_reduce_the_capacity_of_a_full_service() {
    let now = Instant::now();
    let mut fleet = fleet(10);
    fleet.set_view_interval(Duration::from_millis(30));
    apply_view(&mut fleet, now, &[8; 10]);
    assert!(outlook(&fleet, now).has_slot);
    let began_after = FIRST_EVENT + Duration::from_millis(400);
    for _ in 0..10 {
        fleet.record_begin(now, &"llm".into(), Duration::ZERO, began_after);
    }
    assert!(!outlook(&fleet, now).has_slot);
    apply_view(&mut fleet, now, &[3; 10]);
    assert!(
        outlook(&fleet, now).has_slot,
        "with free slots, single slow back ends are the cause"
    );
    let later = now + Duration::from_secs(2);
    apply_view(&mut fleet, later, &[8; 10]);
    assert!(outlook(&fleet, later).has_slot, "the correction expires");
}

#[test]
fn any_slot_may_be_used_while_many_are_free() {
    let now = Instant::now();
    let mut fleet = fleet(10);
    apply_view(&mut fleet, now, &[4; 10]);
    let outlook = outlook(&fleet, now);
    assert!(outlook.has_slot);
    assert!(!outlook.is_scarce);
    assert_eq!(outlook.begin_delay, Duration::ZERO);
}

/// All nodes see the same last free slots; if each could use them, all would.
#[test]
fn the_last_slots_are_distributed_by_requests_in_flight() {
    const NODES: u32 = 50;
    let now = Instant::now();
    let mut admitting = 0;
    for node in 0..NODES {
        let mut fleet = idle_fleet(20);
        for number in 0..4 {
            fleet.record_start(now, &incarnation((node + number) as usize % 20));
        }
        let others = [10 - 3; 20];
        let others = others.iter().enumerate();
        let others = others.map(|(number, held)| (incarnation(number).name, *held));
        let mut random = ChaCha8Rng::seed_from_u64(u64::from(node));
        fleet.apply_remote_load(now, &others.collect(), &mut random);
        admitting += u32::from(outlook(&fleet, now).has_slot);
    }
    // 20 slots are free, minus those that the node itself holds. The nodes together must not use them several times.
    assert!(admitting > 0);
    assert!(admitting < 30, "{admitting}");
}

#[test]
fn a_slot_freed_by_a_local_request_is_reserved_for_a_short_time() {
    let now = Instant::now();
    let mut fleet = fleet(4);
    fleet.record_start(now, &incarnation(2));
    apply_view(&mut fleet, now, &[8; 4]);
    assert!(!outlook(&fleet, now).has_slot);
    fleet.record_end(now, &incarnation(2));
    assert!(outlook(&fleet, now).has_slot);
    let later = now + Duration::from_millis(60);
    assert!(
        !outlook(&fleet, later).has_slot,
        "other nodes may have used it"
    );
    fleet.record_start(now, &incarnation(1));
    fleet.record_end(now, &incarnation(1));
    let at = outlook(&fleet, now);
    assert!(at.has_slot, "the slot at the second back end is still free");
}

#[test]
fn a_reserved_slot_is_used_once() {
    let now = Instant::now();
    let mut fleet = fleet(1);
    fleet.record_start(now, &incarnation(0));
    apply_view(&mut fleet, now, &[7]);
    fleet.record_end(now, &incarnation(0));
    assert!(outlook(&fleet, now).has_slot);
    fleet.record_start(now, &incarnation(0));
    assert!(!outlook(&fleet, now).has_slot);
}

#[test]
fn a_slot_freed_before_a_queue_is_not_reserved() {
    let now = Instant::now();
    let mut fleet = fleet(1);
    fleet.record_start(now, &incarnation(0));
    apply_view(&mut fleet, now, &[9]);
    fleet.record_end(now, &incarnation(0));
    assert!(!outlook(&fleet, now).has_slot);
}

/// Short requests may wait for many others and still begin in time.
#[test]
fn the_allowed_queue_depends_on_the_objective() {
    let now = Instant::now();
    let mut fleet = fleet(2);
    for _ in 0..200 {
        fleet.record_served(&"llm".into(), Duration::from_millis(15), Duration::ZERO);
    }
    apply_view(&mut fleet, now, &[20; 2]);
    assert!(outlook(&fleet, now).has_slot);
    apply_view(&mut fleet, now, &[60; 2]);
    assert!(!outlook(&fleet, now).has_slot);
}

/// A third of the gateways is isolated from the others but not from back ends: views contain two thirds of the
/// back ends' load.
#[test]
fn load_missing_in_views_is_derived_from_reports_of_back_ends() {
    let start = Instant::now();
    let mut fleet = fleet(20);
    let mut now = start;
    for number in 0..20 {
        now += Duration::from_millis(50);
        apply_view(&mut fleet, now, &[5; 20]);
        report_load(&mut fleet, now, number, SLOTS, 4);
    }
    apply_view(&mut fleet, now, &[5; 20]);
    assert!(outlook(&fleet, now).is_scarce);
    let reconnected = now + Duration::from_secs(3);
    apply_view(&mut fleet, reconnected, &[4; 20]);
    assert!(!outlook(&fleet, reconnected).is_scarce);
}

/// An isolated node uses the load that back ends report.
#[test]
fn a_node_without_views_uses_reports_of_back_ends() {
    let now = Instant::now();
    let mut fleet = fleet(20);
    report_load(&mut fleet, now, 3, 3, 0);
    let at = outlook(&fleet, now);
    assert!(at.has_slot);
    for number in 0..20 {
        report_load(&mut fleet, now, number, SLOTS, 1);
    }
    let at = outlook(&fleet, now);
    assert!(at.is_scarce);
    assert!(!at.has_slot);
}

#[test]
fn reports_scattered_around_the_view_indicate_no_missing_load() {
    let now = Instant::now();
    let mut fleet = fleet(20);
    for round in 0..100 {
        apply_view(&mut fleet, now, &[8; 20]);
        report_load(&mut fleet, now, round as usize % 20, 7, 2 * (round % 2));
    }
    apply_view(&mut fleet, now, &[5; 20]);
    assert!(!outlook(&fleet, now).is_scarce);
}

/// A view that was just received may contain old counts of other nodes: the free slots that it shows are then taken.
#[test]
fn a_current_view_that_back_ends_contradict_leaves_only_claims() {
    let now = Instant::now();
    let mut fleet = fleet(10);
    fleet.set_view_interval(Duration::from_millis(30));
    let report_scattered = |fleet: &mut Fleet, by: u32| {
        for number in 0..100 {
            apply_view(fleet, now, &[7; 10]);
            let running = if number % 2 == 0 { 7 + by } else { 7 - by };
            report_load(fleet, now, number % 10, running, 0);
        }
        apply_view(fleet, now, &[7; 10]);
    };
    report_scattered(&mut fleet, 0);
    let agreeing = outlook(&fleet, now);
    assert!(agreeing.has_slot && !agreeing.is_scarce, "{agreeing:?}");
    report_scattered(&mut fleet, 3);
    let contradicted = outlook(&fleet, now);
    assert!(
        !contradicted.has_slot && contradicted.is_scarce,
        "{contradicted:?}"
    );
    report_scattered(&mut fleet, 0);
    let agreeing = outlook(&fleet, now);
    assert!(agreeing.has_slot && !agreeing.is_scarce, "{agreeing:?}");
}

/// After a power failure of all nodes there are no reports, and back ends may still run earlier requests.
#[test]
fn a_node_without_reports_starts_with_a_few_requests() {
    let start = Instant::now();
    let mut fleet = idle_fleet(20);
    let mut sent = 0;
    for number in 0..20 {
        if outlook(&fleet, start).has_slot {
            fleet.record_start(start, &incarnation(number));
            sent += 1;
        }
    }
    assert_eq!(sent, 4);
    let later = start + Duration::from_millis(400);
    assert!(
        outlook(&fleet, later).has_slot,
        "it keeps admitting some requests"
    );
    report_load(&mut fleet, later, 0, 2, 0);
    let at = outlook(&fleet, later);
    assert!(at.has_slot);
    assert!(!at.is_scarce);
}

#[test]
fn occupancy_and_load_missing_in_views_are_separate() {
    let now = Instant::now();
    let mut fleet = fleet(3);
    let service = ServiceName::from("llm");
    apply_view(&mut fleet, now, &[2, 4, 0]);
    fleet.record_start(now, &incarnation(2));
    let occupancy = fleet.occupancy(now, &service);
    assert_eq!((occupancy.slots, occupancy.held), (3 * SLOTS, 7));
    assert_eq!(fleet.unseen_load(now, &service), 0.0);
    for _ in 0..30 {
        let load = ReportedLoad {
            running: 6,
            waiting: 0,
            slots: SLOTS,
            pace: None,
        };
        fleet.record_load(now, &incarnation(0), load);
    }
    let unseen = fleet.unseen_load(now, &service);
    assert!((0.45..=0.5).contains(&unseen), "4 of 8 slots: {unseen}");
    assert_eq!(fleet.unseen_load(now, &"desk".into()), 0.0);
    assert_eq!(fleet.occupancy(now, &"desk".into()).slots, 0);
}

/// Without any reports, the waiting times of the node's own requests show whether there is capacity.
#[test]
fn a_node_without_reports_uses_waits_of_local_requests() {
    let now = Instant::now();
    let mut fleet = idle_fleet(5);
    for number in 0..4 {
        fleet.record_start(now, &incarnation(number));
    }
    assert!(!outlook(&fleet, now).has_slot);
    fleet.record_begin(now, &"llm".into(), Duration::ZERO, FIRST_EVENT);
    assert!(outlook(&fleet, now).has_slot);
    for _ in 0..20 {
        fleet.record_begin(now, &"llm".into(), Duration::ZERO, REST);
    }
    assert!(!outlook(&fleet, now).has_slot);
}

/// Nodes reuse the slots of their completed requests; without an exception, a node that starts later would refuse
/// all requests.
#[test]
fn a_node_without_slots_gets_one() {
    for interval in [Duration::from_millis(30), LONG_INTERVAL] {
        let now = Instant::now();
        let mut fleet = idle_fleet(4);
        fleet.set_view_interval(interval);
        apply_view(&mut fleet, now, &[20; 4]);
        assert!(outlook(&fleet, now).has_slot, "{interval:?}");
        assert!(has_backend(&fleet, now), "{interval:?}");
        fleet.record_start(now, &incarnation(1));
        assert!(!outlook(&fleet, now).has_slot, "{interval:?}");
    }
}

fn has_backend(fleet: &Fleet, now: Instant) -> bool {
    let service = ServiceName::from("llm");
    let attempts = Attempts::new(Repetition::Idempotent, 1);
    let residency = ResidencyPermit::default();
    let requirements = BackendRequirements {
        origin: None,
        service: &service,
        attempts: &attempts,
        affinity: None,
        load_limit: f32::INFINITY,
        begin_objective: None,
        begin_within: Some(BEGIN_WITHIN),
        residency: &residency,
    };
    let mut random = ChaCha8Rng::seed_from_u64(1);
    fleet.choose(now, &requirements, &mut random).is_some()
}
