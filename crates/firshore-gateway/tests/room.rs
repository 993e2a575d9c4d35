//! How soon a request would begin: what pictures show, what they leave out, and what a node's own requests
//! show where nobody tells.

use firshore_adapter::backend::{Backend, ReportedLoad};
use firshore_adapter::incarnation::Incarnation;
use firshore_adapter::route::Repetition;
use firshore_gateway::attempts::Attempts;
use firshore_gateway::fleet::{Fleet, Wanted};
use firshore_types::ids::ServiceName;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use std::collections::HashMap;
use std::time::{Duration, Instant};

const SLOTS: u32 = 8;
const FIRST_EVENT: Duration = Duration::from_millis(40);
const REST: Duration = Duration::from_millis(680);

fn incarnation(number: usize) -> Incarnation {
    Incarnation::named(format!("b{number}").as_str())
}

fn fleet(backends: usize) -> Fleet {
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
    fleet
}

fn pictured(fleet: &mut Fleet, now: Instant, held: &[u32]) {
    let others = held.iter().enumerate();
    let others = others.map(|(number, held)| (incarnation(number).name, *held));
    fleet.learned_others(now, &others.collect::<HashMap<_, _>>());
}

fn begin_delay(fleet: &Fleet, now: Instant) -> Duration {
    let service = ServiceName::from("llm");
    let attempts = Attempts::new(Repetition::Idempotent, 1);
    let outlook = fleet.outlook(now, &wanted(&service, &attempts, None));
    outlook.unwrap().begin_delay
}

fn wanted<'a>(
    service: &'a ServiceName,
    attempts: &'a Attempts,
    begin_within: Option<Duration>,
) -> Wanted<'a> {
    Wanted {
        service,
        attempts,
        affinity: None,
        load_limit: f32::INFINITY,
        begin_within,
    }
}

#[test]
fn a_request_waits_for_as_many_ends_as_stand_before_it() {
    let now = Instant::now();
    let mut fleet = fleet(2);
    assert_eq!(begin_delay(&fleet, now), Duration::ZERO);
    pictured(&mut fleet, now, &[8, 7]);
    assert_eq!(begin_delay(&fleet, now), Duration::ZERO, "one slot is free");
    pictured(&mut fleet, now, &[9, 11]);
    let slot_time = FIRST_EVENT + REST;
    let expected = slot_time.mul_f32(2.0 / SLOTS as f32);
    let delay = begin_delay(&fleet, now);
    assert!(
        delay.abs_diff(expected) < Duration::from_millis(1),
        "{delay:?}"
    );
}

#[test]
fn only_back_ends_that_begin_in_time_are_chosen() {
    let now = Instant::now();
    let mut fleet = fleet(3);
    pictured(&mut fleet, now, &[16, 9, 16]);
    let service = ServiceName::from("llm");
    let attempts = Attempts::new(Repetition::Idempotent, 1);
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let mut choose = |within| {
        let wanted = wanted(&service, &attempts, Some(Duration::from_millis(within)));
        let chosen = fleet.choose(now, &wanted, &mut random);
        chosen.map(|backend| backend.incarnation)
    };
    assert_eq!(choose(200), Some(incarnation(1)));
    assert_eq!(choose(50), None);
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
        pictured(&mut fleet, now, &[9; 20]);
        let load = ReportedLoad {
            running: SLOTS,
            waiting: 6,
            slots: SLOTS,
        };
        fleet.reported(now, &incarnation(number), load);
    }
    pictured(&mut fleet, now, &[9; 20]);
    let delay = begin_delay(&fleet, now);
    assert!(delay > Duration::from_millis(500), "{delay:?}");
    let healed = now + Duration::from_secs(3);
    pictured(&mut fleet, healed, &[4; 20]);
    assert_eq!(begin_delay(&fleet, healed), Duration::ZERO);
}

#[test]
fn reports_that_scatter_about_the_picture_show_nothing_that_it_leaves_out() {
    let now = Instant::now();
    let mut fleet = fleet(20);
    for round in 0..100 {
        pictured(&mut fleet, now, &[8; 20]);
        let load = ReportedLoad {
            running: 7,
            waiting: 2 * (round % 2),
            slots: SLOTS,
        };
        fleet.reported(now, &incarnation(round as usize % 20), load);
    }
    pictured(&mut fleet, now, &[7; 20]);
    let delay = begin_delay(&fleet, now);
    assert!(delay < Duration::from_millis(50), "{delay:?}");
}

/// After all nodes lost power nobody tells anything, and back ends still run what was sent before.
#[test]
fn a_node_without_a_picture_sees_by_its_own_requests_that_all_back_ends_are_full() {
    let start = Instant::now();
    let mut fleet = fleet(20);
    for number in 0..10 {
        fleet.started(start, &incarnation(number));
    }
    assert_eq!(begin_delay(&fleet, start), Duration::ZERO);
    let later = start + Duration::from_millis(400);
    assert!(begin_delay(&fleet, later) > Duration::from_millis(300));
    for number in 0..9 {
        fleet.began(&incarnation(number), start);
    }
    let delay = begin_delay(&fleet, later);
    assert_eq!(delay, Duration::ZERO, "one may be slow by itself");
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
        };
        fleet.reported(now, &incarnation(0), load);
    }
    let unseen = fleet.unseen(now, &service);
    assert!((0.45..=0.5).contains(&unseen), "4 of 8 slots: {unseen}");
    assert_eq!(fleet.unseen(now, &"desk".into()), 0.0);
    assert_eq!(fleet.occupancy(now, &"desk".into()).slots, 0);
}
