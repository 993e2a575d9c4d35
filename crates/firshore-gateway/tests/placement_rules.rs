//! Rules on where requests may go: cold back ends, drained zones and allowed regions.

use firshore_adapter::backend::{Backend, WarmUp};
use firshore_adapter::incarnation::{BackendName, Incarnation};
use firshore_adapter::residency::{AllowedRegions, ResidencyPermit, ZoneRegions};
use firshore_adapter::route::Repetition;
use firshore_gateway::attempts::Attempts;
use firshore_gateway::fleet::{BackendRequirements, Fleet};
use firshore_limits::slow_start::SendPermit;
use firshore_types::ids::{RegionName, ServiceName};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeSet, HashMap, HashSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

const WARM_UP: Duration = Duration::from_secs(3);

fn backend(name: &str, zone: &str) -> Backend {
    Backend {
        incarnation: Incarnation::named(name),
        service: "llm".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        zone: zone.into(),
        slots: 10,
        leaving: false,
        warm_up: None,
        software: None,
    }
}

fn cold(name: &str, revision: u64) -> Backend {
    Backend {
        warm_up: Some(WarmUp {
            remaining: WARM_UP,
            revision,
        }),
        ..backend(name, "here")
    }
}

/// Returns a fleet whose cold back ends may get a few requests per second.
fn limited_fleet(now: Instant, backends: Vec<Backend>) -> Fleet {
    let mut fleet = Fleet::new("here".into());
    fleet.set_cold_rates(HashMap::from([(ServiceName::from("llm"), 5.0)]));
    fleet.replace(now, backends);
    fleet
}

/// Returns the back ends that any of 200 requests would go to, for online requests and for items.
fn chosen(fleet: &Fleet, now: Instant, residency: &ResidencyPermit) -> BTreeSet<String> {
    let attempts = Attempts::new(Repetition::Idempotent, 1);
    let service = ServiceName::from("llm");
    let mut found = BTreeSet::new();
    for seed in 0..200 {
        for load_limit in [f32::INFINITY, 0.9] {
            let requirements = BackendRequirements {
                origin: None,
                service: &service,
                attempts: &attempts,
                residency,
                affinity: (seed % 2 == 0).then_some(seed),
                load_limit,
                begin_objective: None,
                begin_within: None,
            };
            let mut random = ChaCha8Rng::seed_from_u64(seed);
            let backend = fleet.choose(now, &requirements, &mut random);
            found.extend(backend.map(|backend| backend.incarnation.name.to_string()));
        }
    }
    found
}

fn names(names: &[&str]) -> BTreeSet<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

fn permit(now: Instant, name: &str) -> SendPermit {
    SendPermit {
        backend: BackendName::from(name.to_owned()),
        expires_at: now + Duration::from_millis(400),
    }
}

#[test]
fn a_cold_back_end_gets_only_requests_with_a_permit() {
    let now = Instant::now();
    let anywhere = ResidencyPermit::default();
    let mut fleet = limited_fleet(now, vec![backend("warm", "here"), cold("cold", 1)]);
    assert_eq!(chosen(&fleet, now, &anywhere), names(&["warm"]));
    fleet.add_permits([permit(now, "cold")]);
    assert_eq!(chosen(&fleet, now, &anywhere), names(&["cold", "warm"]));
    fleet.record_start(now, &Incarnation::named("cold"));
    assert_eq!(chosen(&fleet, now, &anywhere), names(&["warm"]), "used up");
    fleet.record_end(now, &Incarnation::named("cold"));
    assert_eq!(
        chosen(&fleet, now + WARM_UP, &anywhere),
        names(&["cold", "warm"])
    );
}

#[test]
fn no_request_goes_anywhere_while_all_back_ends_are_cold() {
    let now = Instant::now();
    let fleet = limited_fleet(now, vec![cold("a", 1), cold("b", 2)]);
    assert!(chosen(&fleet, now, &ResidencyPermit::default()).is_empty());
}

#[test]
fn only_a_later_entry_starts_the_warm_up_anew() {
    let now = Instant::now();
    let mut fleet = limited_fleet(now, vec![cold("a", 1)]);
    let later = now + WARM_UP / 2;
    fleet.replace(later, vec![cold("a", 1)]);
    assert_eq!(
        fleet.cold_rate(now + WARM_UP, &"a".into()),
        None,
        "the same entry"
    );
    fleet.upsert(later, cold("a", 7));
    assert_eq!(
        fleet.cold_rate(now + WARM_UP, &"a".into()),
        Some(5.0),
        "cold again"
    );
    fleet.upsert(later, backend("a", "here"));
    assert_eq!(fleet.cold_rate(later, &"a".into()), None, "warm");
    assert_eq!(fleet.take_newly_cold().len(), 1);
    assert!(fleet.take_newly_cold().is_empty());
}

#[test]
fn removed_back_ends_are_no_longer_newly_cold() {
    let now = Instant::now();
    let mut fleet = limited_fleet(now, Vec::new());
    for number in 0..100 {
        let name = format!("a-{number}");
        fleet.upsert(now, cold(&name, 1));
        fleet.remove(now, &name.as_str().into());
    }
    fleet.upsert(now, cold("stays", 1));
    fleet.upsert(now, cold("unlisted", 1));
    fleet.replace(now, vec![cold("stays", 1)]);
    let stays: BTreeSet<BackendName> = ["stays".into()].into();
    assert_eq!(fleet.take_newly_cold(), stays);

    fleet.upsert(now, cold("again", 1));
    fleet.remove(now, &"again".into());
    fleet.upsert(now, cold("again", 2));
    let again: BTreeSet<BackendName> = ["again".into()].into();
    assert_eq!(fleet.take_newly_cold(), again);
}

#[test]
fn a_service_without_a_cold_rate_uses_cold_back_ends() {
    let now = Instant::now();
    let mut fleet = limited_fleet(now, vec![cold("a", 1)]);
    fleet.set_cold_rates(HashMap::new());
    assert_eq!(
        chosen(&fleet, now, &ResidencyPermit::default()),
        names(&["a"])
    );
}

#[test]
fn a_drained_zone_gets_no_requests_until_the_drain_ends() {
    let now = Instant::now();
    let anywhere = ResidencyPermit::default();
    let mut fleet = Fleet::new("here".into());
    fleet.replace(now, vec![backend("a", "here"), backend("b", "there")]);
    fleet.await_zone_drains();
    assert!(
        chosen(&fleet, now, &anywhere).is_empty(),
        "each zone may be drained"
    );
    fleet.set_drained_zones(HashSet::from(["here".into()]));
    assert_eq!(chosen(&fleet, now, &anywhere), names(&["b"]));
    fleet.set_drained_zones(HashSet::from(["here".into(), "there".into()]));
    assert!(chosen(&fleet, now, &anywhere).is_empty());
    fleet.set_drained_zones(HashSet::new());
    assert_eq!(chosen(&fleet, now, &anywhere), names(&["a", "b"]));
}

#[test]
fn restricted_requests_stay_in_their_regions() {
    let now = Instant::now();
    let zones = [("n", "north"), ("s", "south")];
    let zones = zones.map(|(zone, region)| (zone.into(), region.into()));
    let regions = Arc::new(ZoneRegions::new(zones.into_iter().collect()));
    let mut fleet = Fleet::new("n".into());
    let backends = [("a", "n"), ("b", "s"), ("c", "unknown")];
    fleet.replace(
        now,
        backends.map(|(name, zone)| backend(name, zone)).to_vec(),
    );
    let only = |region: &str| AllowedRegions::new([RegionName::from(region)]);
    let anywhere = AllowedRegions::default();
    let chosen_under = |route: &AllowedRegions, tenant: &AllowedRegions| {
        let permit = ResidencyPermit::new(route, Some(tenant), &regions);
        assert_eq!(
            fleet.has_any(&"llm".into(), &permit),
            !chosen(&fleet, now, &permit).is_empty()
        );
        chosen(&fleet, now, &permit)
    };
    assert_eq!(chosen_under(&anywhere, &anywhere), names(&["a", "b", "c"]));
    assert_eq!(chosen_under(&only("north"), &anywhere), names(&["a"]));
    assert_eq!(chosen_under(&anywhere, &only("south")), names(&["b"]));
    assert_eq!(chosen_under(&only("north"), &only("south")), names(&[]));
}
