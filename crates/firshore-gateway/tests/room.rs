//! What room there is: what pictures show and leave out, which of the last places a node may take, and how
//! it begins where nobody has told it anything.

use firshore_adapter::backend::{Backend, ReportedLoad};
use firshore_adapter::incarnation::{BackendName, Incarnation};
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

/// Time between two pictures of a node in a large fleet.
const OLD_PICTURES: Duration = Duration::from_millis(300);

const REST: Duration = Duration::from_millis(680);

/// Time in which requests are to begin: half of an objective of 300 ms.
const BEGIN_WITHIN: Duration = Duration::from_millis(150);

fn incarnation(number: usize) -> Incarnation {
    Incarnation::named(format!("b{number}").as_str())
}

/// A fleet at a node that has a request under way at the first back end.
fn fleet(backends: usize) -> Fleet {
    let mut fleet = idle_fleet(backends);
    fleet.started(Instant::now(), &incarnation(0));
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
    });
    fleet.replace(listed.collect());
    for _ in 0..100 {
        fleet.served(&"llm".into(), FIRST_EVENT, REST);
    }
    fleet.set_view_interval(OLD_PICTURES);
    fleet
}

/// Has back ends hold so many requests, the node's own among them.
fn pictured(fleet: &mut Fleet, now: Instant, held: &[u32]) {
    let own: HashMap<BackendName, u32> = fleet.in_flight().collect();
    let others = held.iter().enumerate().map(|(number, held)| {
        let name = incarnation(number).name;
        let others = held - own[&name].min(*held);
        (name, others)
    });
    let mut random = ChaCha8Rng::seed_from_u64(1);
    fleet.apply_remote_load(now, &others.collect::<HashMap<_, _>>(), &mut random);
}

fn outlook(fleet: &Fleet, now: Instant) -> CapacityOutlook {
    let service = ServiceName::from("llm");
    let attempts = Attempts::new(Repetition::Idempotent, 1);
    let wanted = BackendRequirements {
        service: &service,
        attempts: &attempts,
        affinity: None,
        load_limit: f32::INFINITY,
        answer_within: None,
        begin_within: None,
    };
    fleet.outlook(now, &wanted, BEGIN_WITHIN).unwrap()
}

fn reported(fleet: &mut Fleet, now: Instant, number: usize, running: u32, waiting: u32) {
    let load = ReportedLoad {
        running,
        waiting,
        slots: SLOTS,
        pace: None,
    };
    fleet.record_load(now, &incarnation(number), load);
}

/// Where pictures are current they tell how long a request waits.
#[test]
fn a_current_picture_tells_the_wait() {
    let now = Instant::now();
    let mut fleet = fleet(10);
    fleet.set_view_interval(Duration::from_millis(30));
    pictured(&mut fleet, now, &[8; 10]);
    let at = outlook(&fleet, now);
    assert!(at.has_slot, "the first in line begins in time");
    assert!(at.is_scarce);
    let expected = (FIRST_EVENT + REST).mul_f32(1.0 / SLOTS as f32);
    assert!(at.begin_delay.abs_diff(expected) < Duration::from_millis(2));
    pictured(&mut fleet, now, &[12; 10]);
    assert!(!outlook(&fleet, now).has_slot);
    pictured(&mut fleet, now, &[5; 10]);
    assert!(!outlook(&fleet, now).is_scarce);
}

/// The shortest line of many is so by chance, and all gateways see it.
#[test]
fn one_free_back_end_of_many_is_no_room() {
    let now = Instant::now();
    let mut fleet = fleet(20);
    fleet.set_view_interval(Duration::from_millis(30));
    let mut held = [14; 20];
    held[3] = 2;
    pictured(&mut fleet, now, &held);
    assert!(!outlook(&fleet, now).has_slot);
}

/// Requests that waited longer than was expected say that others were sent there meanwhile.
#[test]
fn what_came_later_than_expected_is_added_where_a_service_is_full() {
    let now = Instant::now();
    let mut fleet = fleet(10);
    fleet.set_view_interval(Duration::from_millis(30));
    pictured(&mut fleet, now, &[8; 10]);
    assert!(outlook(&fleet, now).has_slot);
    let began_after = FIRST_EVENT + Duration::from_millis(400);
    for _ in 0..10 {
        fleet.began(now, &"llm".into(), Duration::ZERO, began_after);
    }
    assert!(!outlook(&fleet, now).has_slot);
    pictured(&mut fleet, now, &[3; 10]);
    assert!(
        outlook(&fleet, now).has_slot,
        "a slow one or two were the cause"
    );
    let later = now + Duration::from_secs(2);
    pictured(&mut fleet, later, &[8; 10]);
    assert!(outlook(&fleet, later).has_slot, "it fades");
}

#[test]
fn any_place_may_be_taken_while_there_are_plenty() {
    let now = Instant::now();
    let mut fleet = fleet(10);
    pictured(&mut fleet, now, &[4; 10]);
    let outlook = outlook(&fleet, now);
    assert!(outlook.has_slot);
    assert!(!outlook.is_scarce);
    assert_eq!(outlook.begin_delay, Duration::ZERO);
}

/// All nodes see the same last places: were each free to take them, all would.
#[test]
fn the_last_places_are_dealt_to_nodes_by_what_each_has_under_way() {
    const NODES: u32 = 50;
    let now = Instant::now();
    let mut dealt = 0;
    for node in 0..NODES {
        let mut fleet = idle_fleet(20);
        for number in 0..4 {
            fleet.started(now, &incarnation((node + number) as usize % 20));
        }
        let others = [10 - 3; 20];
        let others = others.iter().enumerate();
        let others = others.map(|(number, held)| (incarnation(number).name, *held));
        let mut random = ChaCha8Rng::seed_from_u64(u64::from(node));
        fleet.apply_remote_load(now, &others.collect(), &mut random);
        dealt += u32::from(outlook(&fleet, now).has_slot);
    }
    // Free are 20 places less what each node itself holds; all together must not take them several times.
    assert!(dealt > 0);
    assert!(dealt < 30, "{dealt}");
}

#[test]
fn a_place_that_an_own_request_left_is_the_nodes_own_for_a_moment() {
    let now = Instant::now();
    let mut fleet = fleet(4);
    fleet.started(now, &incarnation(2));
    pictured(&mut fleet, now, &[8; 4]);
    assert!(!outlook(&fleet, now).has_slot);
    fleet.ended(now, &incarnation(2));
    assert!(outlook(&fleet, now).has_slot);
    let later = now + Duration::from_millis(60);
    assert!(!outlook(&fleet, later).has_slot, "others have seen it");
    fleet.started(now, &incarnation(1));
    fleet.ended(now, &incarnation(1));
    let at = outlook(&fleet, now);
    assert!(at.has_slot, "the one of the second back end is still there");
}

#[test]
fn a_place_is_taken_once() {
    let now = Instant::now();
    let mut fleet = fleet(1);
    fleet.started(now, &incarnation(0));
    pictured(&mut fleet, now, &[7]);
    fleet.ended(now, &incarnation(0));
    assert!(outlook(&fleet, now).has_slot);
    fleet.started(now, &incarnation(0));
    assert!(!outlook(&fleet, now).has_slot);
}

#[test]
fn a_request_that_ends_before_a_line_leaves_no_place() {
    let now = Instant::now();
    let mut fleet = fleet(1);
    fleet.started(now, &incarnation(0));
    pictured(&mut fleet, now, &[9]);
    fleet.ended(now, &incarnation(0));
    assert!(!outlook(&fleet, now).has_slot);
}

/// Requests of short work may wait for many others and still begin in time.
#[test]
fn lines_are_as_long_as_begins_in_time() {
    let now = Instant::now();
    let mut fleet = fleet(2);
    for _ in 0..200 {
        fleet.served(&"llm".into(), Duration::from_millis(15), Duration::ZERO);
    }
    pictured(&mut fleet, now, &[20; 2]);
    assert!(outlook(&fleet, now).has_slot);
    pictured(&mut fleet, now, &[60; 2]);
    assert!(!outlook(&fleet, now).has_slot);
}

/// A third of the gateways is cut off from the others, not from back ends: pictures show two thirds of
/// what these hold.
#[test]
fn what_pictures_leave_out_is_learnt_from_back_ends_own_reports() {
    let start = Instant::now();
    let mut fleet = fleet(20);
    let mut now = start;
    for number in 0..20 {
        now += Duration::from_millis(50);
        pictured(&mut fleet, now, &[5; 20]);
        reported(&mut fleet, now, number, SLOTS, 4);
    }
    pictured(&mut fleet, now, &[5; 20]);
    assert!(outlook(&fleet, now).is_scarce);
    let healed = now + Duration::from_secs(3);
    pictured(&mut fleet, healed, &[4; 20]);
    assert!(!outlook(&fleet, healed).is_scarce);
}

/// A node that is cut off from all others hears from back ends how full they are.
#[test]
fn a_node_without_pictures_goes_by_back_ends_own_reports() {
    let now = Instant::now();
    let mut fleet = fleet(20);
    reported(&mut fleet, now, 3, 3, 0);
    let at = outlook(&fleet, now);
    assert!(at.has_slot);
    for number in 0..20 {
        reported(&mut fleet, now, number, SLOTS, 1);
    }
    let at = outlook(&fleet, now);
    assert!(at.is_scarce);
    assert!(!at.has_slot);
}

#[test]
fn reports_that_scatter_about_the_picture_show_nothing_that_it_leaves_out() {
    let now = Instant::now();
    let mut fleet = fleet(20);
    for round in 0..100 {
        pictured(&mut fleet, now, &[8; 20]);
        reported(&mut fleet, now, round as usize % 20, 7, 2 * (round % 2));
    }
    pictured(&mut fleet, now, &[5; 20]);
    assert!(!outlook(&fleet, now).is_scarce);
}

/// After all nodes lost power nobody tells anything, and back ends may still run what was sent before.
#[test]
fn a_node_that_knows_nothing_begins_with_a_few_requests() {
    let start = Instant::now();
    let mut fleet = idle_fleet(20);
    let mut sent = 0;
    for number in 0..20 {
        if outlook(&fleet, start).has_slot {
            fleet.started(start, &incarnation(number));
            sent += 1;
        }
    }
    assert_eq!(sent, 4);
    let later = start + Duration::from_millis(400);
    assert!(outlook(&fleet, later).has_slot, "it goes on trying");
    reported(&mut fleet, later, 0, 2, 0);
    let at = outlook(&fleet, later);
    assert!(at.has_slot);
    assert!(!at.is_scarce);
}

#[test]
fn how_full_a_service_is_and_what_pictures_leave_out_are_told_apart() {
    let now = Instant::now();
    let mut fleet = fleet(3);
    let service = ServiceName::from("llm");
    pictured(&mut fleet, now, &[2, 4, 0]);
    fleet.started(now, &incarnation(2));
    let occupancy = fleet.occupancy(now, &service);
    assert_eq!((occupancy.slots, occupancy.held), (3 * SLOTS, 7));
    assert_eq!(fleet.unseen(now, &service), 0.0);
    for _ in 0..30 {
        let load = ReportedLoad {
            running: 6,
            waiting: 0,
            slots: SLOTS,
            pace: None,
        };
        fleet.record_load(now, &incarnation(0), load);
    }
    let unseen = fleet.unseen(now, &service);
    assert!((0.45..=0.5).contains(&unseen), "4 of 8 slots: {unseen}");
    assert_eq!(fleet.unseen(now, &"desk".into()), 0.0);
    assert_eq!(fleet.occupancy(now, &"desk".into()).slots, 0);
}

/// Back ends that tell no load, at a node that nobody tells: its own answers show that there is room.
#[test]
fn a_node_that_is_told_nothing_goes_by_what_its_own_requests_met() {
    let now = Instant::now();
    let mut fleet = idle_fleet(5);
    for number in 0..4 {
        fleet.started(now, &incarnation(number));
    }
    assert!(!outlook(&fleet, now).has_slot);
    fleet.began(now, &"llm".into(), Duration::ZERO, FIRST_EVENT);
    assert!(outlook(&fleet, now).has_slot);
    for _ in 0..20 {
        fleet.began(now, &"llm".into(), Duration::ZERO, REST);
    }
    assert!(!outlook(&fleet, now).has_slot);
}

/// Others keep their places by their own ends: a node that has started later would refuse everybody.
#[test]
fn a_node_that_has_no_place_gets_one() {
    for pictures in [Duration::from_millis(30), OLD_PICTURES] {
        let now = Instant::now();
        let mut fleet = idle_fleet(4);
        fleet.set_view_interval(pictures);
        pictured(&mut fleet, now, &[20; 4]);
        assert!(outlook(&fleet, now).has_slot, "{pictures:?}");
        assert!(finds_backend(&fleet, now), "{pictures:?}");
        fleet.started(now, &incarnation(1));
        assert!(!outlook(&fleet, now).has_slot, "{pictures:?}");
    }
}

fn finds_backend(fleet: &Fleet, now: Instant) -> bool {
    let service = ServiceName::from("llm");
    let attempts = Attempts::new(Repetition::Idempotent, 1);
    let wanted = BackendRequirements {
        service: &service,
        attempts: &attempts,
        affinity: None,
        load_limit: f32::INFINITY,
        answer_within: None,
        begin_within: Some(BEGIN_WITHIN),
    };
    let mut random = ChaCha8Rng::seed_from_u64(1);
    fleet.choose(now, &wanted, &mut random).is_some()
}
