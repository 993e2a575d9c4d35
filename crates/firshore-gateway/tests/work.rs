//! Work of a gateway by the number of back ends: a change, a view, an exchange and a request visit as many of 10,000
//! as of 1,000.

use firshore_adapter::backend::Backend;
use firshore_adapter::incarnation::{BackendName, Incarnation};
use firshore_adapter::residency::ResidencyPermit;
use firshore_adapter::route::Repetition;
use firshore_gateway::attempts::Attempts;
use firshore_gateway::fleet::{BackendRequirements, Fleet};
use firshore_types::ids::ServiceName;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::{Duration, Instant};

const SIZES: [usize; 3] = [1_000, 10_000, 20_000];
const BEGIN_WITHIN: Duration = Duration::from_millis(300);

fn name(number: usize) -> BackendName {
    BackendName::from(format!("b{number}"))
}

fn incarnation(number: usize) -> Incarnation {
    Incarnation::named(format!("b{number}"))
}

fn backend(number: usize) -> Backend {
    Backend {
        incarnation: incarnation(number),
        service: "llm".into(),
        address: ([10, 1, (number / 250) as u8, (number % 250) as u8], 80).into(),
        zone: format!("z{}", number % 5).as_str().into(),
        slots: 8,
        leaving: false,
        warm_up: None,
        software: None,
    }
}

fn fleet(now: Instant, size: usize) -> Fleet {
    let mut fleet = Fleet::new("z0".into());
    fleet.replace(now, (0..size).map(backend).collect());
    fleet
}

fn requirements<'a>(
    service: &'a ServiceName,
    attempts: &'a Attempts,
    residency: &'a ResidencyPermit,
) -> BackendRequirements<'a> {
    BackendRequirements {
        origin: None,
        service,
        attempts,
        residency,
        affinity: None,
        load_limit: f32::INFINITY,
        begin_objective: Some(BEGIN_WITHIN),
        begin_within: Some(BEGIN_WITHIN),
    }
}

/// Returns the back ends that each kind of work visits at a size.
fn visits(size: usize) -> BTreeMap<&'static str, u64> {
    let now = Instant::now();
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let mut fleet = fleet(now, size);
    let view: HashMap<BackendName, u32> = (0..40).map(|number| (name(number * 7), 3)).collect();
    fleet.apply_remote_load(now, &view, &mut random);
    for number in 0..3 {
        fleet.record_start(now, &incarnation(number));
    }
    let mut visits = BTreeMap::new();
    let mut measure = |what, fleet: &mut Fleet, work: &mut dyn FnMut(&mut Fleet)| {
        let before = fleet.visits();
        work(fleet);
        visits.insert(what, fleet.visits() - before);
    };
    measure("change", &mut fleet, &mut |fleet| {
        fleet.upsert(now, backend(5));
        fleet.upsert(now, backend(size + 1));
        fleet.remove(now, &name(size + 1));
    });
    measure("view", &mut fleet, &mut |fleet| {
        fleet.apply_remote_load(now, &view, &mut random);
    });
    measure("report", &mut fleet, &mut |fleet| {
        assert_eq!(fleet.in_flight().count(), 3);
        fleet.take_unreported_paces();
    });
    measure("occupancy", &mut fleet, &mut |fleet| {
        let occupancy = fleet.occupancy(now, &"llm".into());
        assert_eq!(occupancy.slots as usize, size * 8);
    });
    measure("lost run", &mut fleet, &mut |fleet| {
        assert!(!fleet.has_successor(&backend(9)));
    });
    measure("request", &mut fleet, &mut |fleet| {
        let service = ServiceName::from("llm");
        let attempts = Attempts::new(Repetition::Idempotent, 2);
        let residency = ResidencyPermit::default();
        let requirements = requirements(&service, &attempts, &residency);
        let outlook = fleet.outlook(now, &requirements, BEGIN_WITHIN);
        assert!(outlook.unwrap().has_slot);
        let mut random = ChaCha8Rng::seed_from_u64(2);
        assert!(fleet.choose(now, &requirements, &mut random).is_some());
    });
    visits
}

#[test]
fn no_kind_of_work_grows_with_the_number_of_back_ends() {
    let smallest = visits(SIZES[0]);
    assert!(smallest["change"] > 0 && smallest["request"] > 0);
    for size in SIZES {
        assert_eq!(visits(size), smallest, "{size} back ends");
    }
}

/// At hard load other nodes hold requests at all back ends, of which a request considers the sample only.
#[test]
fn a_request_at_hard_load_does_not_visit_all_busy_back_ends() {
    let visits = |size: usize| {
        let now = Instant::now();
        let mut random = ChaCha8Rng::seed_from_u64(1);
        let mut fleet = fleet(now, size);
        let view = (0..size).map(|number| (name(number), 7)).collect();
        fleet.apply_remote_load(now, &view, &mut random);
        fleet.record_start(now, &incarnation(3));
        let before = fleet.visits();
        let service = ServiceName::from("llm");
        let attempts = Attempts::new(Repetition::Idempotent, 2);
        let residency = ResidencyPermit::default();
        let requirements = requirements(&service, &attempts, &residency);
        assert!(fleet.choose(now, &requirements, &mut random).is_some());
        fleet.visits() - before
    };
    assert_eq!(visits(10_000), visits(1_000));
}

#[test]
fn requests_reach_all_back_ends_of_a_large_service_evenly() {
    const SIZE: usize = 1_500;
    /// The gateway's own zone is preferred while it is idle.
    const OWN_ZONE: usize = SIZE / 5;
    const REQUESTS: usize = OWN_ZONE * 40;
    let now = Instant::now();
    let fleet = fleet(now, SIZE);
    let service = ServiceName::from("llm");
    let attempts = Attempts::new(Repetition::Idempotent, 2);
    let residency = ResidencyPermit::default();
    let requirements = requirements(&service, &attempts, &residency);
    let mut random = ChaCha8Rng::seed_from_u64(3);
    let mut chosen: HashMap<BackendName, usize> = HashMap::new();
    for _ in 0..REQUESTS {
        let backend = fleet.choose(now, &requirements, &mut random).unwrap();
        *chosen.entry(backend.incarnation.name).or_default() += 1;
    }
    assert!(
        chosen.len() > OWN_ZONE * 99 / 100,
        "{} are used",
        chosen.len()
    );
    let busiest = chosen.values().max().unwrap();
    assert!(*busiest < 40 * 2, "{busiest} at the busiest");
}

#[test]
fn a_request_finds_the_few_usable_back_ends_of_a_large_service() {
    let now = Instant::now();
    let mut fleet = fleet(now, 5_000);
    let drained = (1..5).map(|zone| format!("z{zone}").as_str().into());
    fleet.set_drained_zones(drained.collect::<HashSet<_>>());
    for number in (0..4_990).filter(|number| number % 5 == 0) {
        fleet.upsert(
            now,
            Backend {
                leaving: true,
                ..backend(number)
            },
        );
    }
    let service = ServiceName::from("llm");
    let residency = ResidencyPermit::default();
    let mut random = ChaCha8Rng::seed_from_u64(4);
    for _ in 0..100 {
        let attempts = Attempts::new(Repetition::Idempotent, 2);
        let requirements = requirements(&service, &attempts, &residency);
        let found = fleet.choose(now, &requirements, &mut random).unwrap();
        assert!([name(4_990), name(4_995)].contains(&found.incarnation.name));
    }
}

#[test]
fn a_request_is_sent_again_to_the_back_end_that_may_have_run_it() {
    let now = Instant::now();
    let fleet = fleet(now, 5_000);
    let service = ServiceName::from("llm");
    let residency = ResidencyPermit::default();
    let mut attempts = Attempts::new(Repetition::Resumable, 1);
    attempts.sending(&incarnation(77));
    let requirements = requirements(&service, &attempts, &residency);
    let mut random = ChaCha8Rng::seed_from_u64(5);
    for _ in 0..20 {
        let found = fleet.choose(now, &requirements, &mut random).unwrap();
        assert_eq!(found.incarnation, incarnation(77));
    }
}
