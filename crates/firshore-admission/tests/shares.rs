//! Fair shares of a full service: tenants with typical demand are protected, and a tenant with too
//! much demand gets its share.

mod sharing;

use firshore_admission::admission::ShareStatus;
use firshore_admission::shares::{CallerRank, ShareRequest, ShareTable};
use firshore_limits::report::{TenantDemand, TenantDigest};
use firshore_types::ids::ServiceName;
use sharing::{Outcome, Policy, Scenario, TenantOutcome, run};
use std::time::{Duration, Instant};

/// Minimum fraction of its fair share that each tenant of equal rank gets.
const MIN_FRACTION: f64 = 0.5;

/// Fraction by which the tenant with too much demand may exceed or miss its share, as with its limit,
/// while some nodes have a current view.
const OVER: f64 = 0.1;

/// Fraction by which admissions may exceed the capacity, as the queue grows until the service is
/// full.
const SLACK: f64 = 0.02;

/// Requests below which a tenant may get half of its share by chance.
const COUNTED_REQUESTS: u32 = 20;

const SEEDS: std::ops::Range<u64> = 0..3;

fn worst_fraction(outcome: &Outcome) -> f64 {
    let counted = outcome.tenants.iter();
    let counted = counted.filter(|tenant_outcome| tenant_outcome.requested >= COUNTED_REQUESTS);
    counted
        .map(TenantOutcome::fraction)
        .fold(f64::INFINITY, f64::min)
}

/// Returns the sums of runs that differ only in their seed.
fn run_all(scenario: &Scenario) -> Outcome {
    let mut outcomes = SEEDS.map(|seed| run(&Scenario { seed, ..*scenario }));
    let mut sum = outcomes.next().expect("a seed");
    for outcome in outcomes {
        sum.capacity += outcome.capacity;
        for (tenant_outcome, other) in sum.tenants.iter_mut().zip(outcome.tenants) {
            tenant_outcome.requested += other.requested;
            tenant_outcome.admitted += other.admitted;
            tenant_outcome.within += other.within;
        }
    }
    sum
}

fn others(outcome: &Outcome, hot: usize) -> f64 {
    let others = outcome.tenants.iter().enumerate();
    let others = others.filter(|(tenant, _)| *tenant != hot);
    let (requested, admitted) =
        others.fold((0, 0), |(requested, admitted), (_, tenant_outcome)| {
            (
                requested + tenant_outcome.requested,
                admitted + tenant_outcome.admitted,
            )
        });
    f64::from(admitted) / f64::from(requested)
}

fn line(scenario: &Scenario, outcome: &Outcome) -> String {
    format!(
        "{:?} hot {} isolated {}: worst {:.2}, hot {:.2} of share, others {:.3} of demand, {:.3} of capacity",
        scenario.policy,
        scenario.hot,
        scenario.isolated,
        worst_fraction(outcome),
        outcome.tenants[scenario.hot].fraction(),
        others(outcome, scenario.hot),
        outcome.admitted() / outcome.capacity,
    )
}

#[test]
fn tenants_are_protected_from_one_with_too_much_demand() {
    for hot in [0, 2, 10] {
        for isolated in [0.0, 0.35, 1.0] {
            let scenario = Scenario {
                hot,
                isolated,
                ..Scenario::default()
            };
            let outcome = run_all(&scenario);
            let line = line(&scenario, &outcome);
            println!("{line}");
            assert!(worst_fraction(&outcome) >= MIN_FRACTION, "{line}");
            if isolated < 1.0 {
                let hot = outcome.tenants[hot].fraction();
                assert!((1.0 - OVER..=1.0 + OVER).contains(&hot), "{line}");
            }
            let fraction = outcome.admitted() / outcome.capacity;
            assert!((1.0 - OVER..=1.0 + SLACK).contains(&fraction), "{line}");
        }
    }
}

#[test]
fn one_tenant_takes_its_neighbors_capacity_without_shares() {
    let scenario = Scenario {
        policy: Policy::None,
        ..Scenario::default()
    };
    let outcome = run_all(&scenario);
    let line = line(&scenario, &outcome);
    println!("{line}");
    assert!(worst_fraction(&outcome) < MIN_FRACTION, "{line}");
    assert!(outcome.tenants[scenario.hot].fraction() > 1.5, "{line}");
}

#[test]
fn shares_by_total_demand_are_fairer_than_equal_parts_per_node() {
    for hot in [0, 2] {
        let scenario = Scenario {
            hot,
            ..Scenario::default()
        };
        let local = Scenario {
            policy: Policy::Local,
            ..scenario
        };
        let outcome = run_all(&scenario);
        let local_outcome = run_all(&local);
        println!("{}", line(&local, &local_outcome));
        assert!(worst_fraction(&outcome) > worst_fraction(&local_outcome));
    }
}

/// Requests of each tenant that are counted, and uncounted ones before them: a table needs some
/// requests of a tenant to know its demand.
const COUNTED_ROUNDS: usize = 200;
const WARM_UP_ROUNDS: usize = 50;

/// A table with a clock.
struct TableClient {
    table: ShareTable,
    now: Instant,
    service: ServiceName,
}

impl TableClient {
    /// Returns a table after a report of the tenants' demand over all nodes, in requests per second.
    fn new(demands: &[f64]) -> Self {
        let now = Instant::now();
        let mut client = Self {
            table: ShareTable::new(7),
            now,
            service: "s".into(),
        };
        client.report(demands);
        client
    }

    fn report(&mut self, demands: &[f64]) {
        let reported = demands.iter().enumerate();
        let reported = reported.map(|(tenant, per_second)| TenantDemand {
            tenant: TenantDigest(tenant as u64),
            per_second: *per_second,
        });
        self.table.update_demand(self.now, reported);
    }

    fn advance(&mut self, time: Duration) {
        self.now += time;
    }

    /// Sends one request of a tenant and returns its share status.
    fn send(&mut self, tenant: u64, priority: u32, capacity: f64) -> ShareStatus {
        let request = ShareRequest {
            service: &self.service,
            tenant: TenantDigest(tenant),
            rank: CallerRank::new(Some(priority), 0),
        };
        self.table.record_arrival(self.now, &request);
        self.table.status(self.now, &request, capacity)
    }

    /// Returns the fraction of each tenant's requests that is within its share, with requests in
    /// turn.
    fn fractions<const COUNT: usize>(
        &mut self,
        senders: [(u64, u32); COUNT],
        capacity: f64,
    ) -> [f64; COUNT] {
        let mut within = [0; COUNT];
        for round in 0..WARM_UP_ROUNDS + COUNTED_ROUNDS {
            self.advance(Duration::from_millis(4));
            for (number, (tenant, priority)) in senders.into_iter().enumerate() {
                let status = self.send(tenant, priority, capacity);
                within[number] +=
                    usize::from(round >= WARM_UP_ROUNDS && status == ShareStatus::Within);
            }
        }
        within.map(|within| within as f64 / COUNTED_ROUNDS as f64)
    }
}

#[track_caller]
fn assert_near(fraction: f64, expected: f64) {
    assert!(
        (fraction - expected).abs() < 0.05,
        "{fraction}, not {expected}"
    );
}

#[test]
fn unused_capacity_goes_to_other_tenants() {
    let mut client = TableClient::new(&[10.0, 50.0, 400.0]);
    let [small, middle, large] = client.fractions([(0, 0), (1, 0), (2, 0)], 160.0);
    assert_near(small, 1.0);
    assert_near(middle, 1.0);
    assert_near(large, 100.0 / 400.0);
}

#[test]
fn tenants_above_the_level_get_equal_capacity() {
    let mut client = TableClient::new(&[10.0, 200.0, 400.0]);
    let [small, middle, large] = client.fractions([(0, 0), (1, 0), (2, 0)], 110.0);
    assert_near(small, 1.0);
    assert_near(middle, 50.0 / 200.0);
    assert_near(large, 50.0 / 400.0);
}

#[test]
fn higher_priority_goes_first_without_starving_others() {
    let mut client = TableClient::new(&[90.0, 90.0]);
    let [first, second] = client.fractions([(0, 0), (1, 1)], 100.0);
    assert_near(first, 1.0);
    assert_near(second, 10.0 / 90.0);
    let mut client = TableClient::new(&[400.0, 90.0]);
    let [first, second] = client.fractions([(0, 0), (1, 1)], 100.0);
    assert_near(first, 90.0 / 400.0);
    assert_near(second, 10.0 / 90.0);
}

#[test]
fn tenant_priority_comes_before_route_priority() {
    let bought = CallerRank::new(Some(1), 5);
    assert!(bought < CallerRank::new(None, 2));
    assert!(CallerRank::new(None, 0) < bought);
    assert!(bought < CallerRank::new(Some(1), 6));
}

#[test]
fn isolated_node_detects_higher_demand_by_its_arrivals() {
    let typical = [10.0, 20.0];
    let mut client = TableClient::new(&typical);
    for _ in 0..50 {
        client.advance(Duration::from_millis(100));
        client.report(&typical);
        client.send(0, 0, 30.0);
        client.send(1, 0, 30.0);
        client.send(1, 0, 30.0);
    }
    // From now on there are no reports, and the second tenant's demand is six times as high.
    let mut within = [0, 0];
    for _ in 0..80 {
        client.advance(Duration::from_millis(100));
        within[0] += u32::from(client.send(0, 0, 30.0) == ShareStatus::Within);
        for _ in 0..12 {
            within[1] += u32::from(client.send(1, 0, 30.0) == ShareStatus::Within);
        }
    }
    let [small, hot] = within;
    assert!(small >= 75, "{small}");
    assert!((80..480).contains(&hot), "{hot} of 960, due are 160");
}

#[test]
fn all_requests_are_within_their_share_without_a_view() {
    let mut client = TableClient::new(&[400.0]);
    client.advance(Duration::from_secs(20));
    assert_eq!(client.send(0, 0, 1.0), ShareStatus::Within);
    let mut client = TableClient::new(&[]);
    assert_eq!(client.send(0, 0, 1.0), ShareStatus::Within);
}

#[test]
fn demand_of_an_unreported_tenant_is_estimated_from_local_arrivals() {
    // The first tenant is reported; the second has no limit, and is not.
    let mut client = TableClient::new(&[100.0]);
    let mut within = [0, 0];
    for _ in 0..100 {
        client.advance(Duration::from_millis(10));
        within[0] += u32::from(client.send(0, 0, 200.0) == ShareStatus::Within);
        for _ in 0..5 {
            within[1] += u32::from(client.send(1, 0, 200.0) == ShareStatus::Within);
        }
    }
    let [typical, hot] = within;
    assert!(typical >= 95, "{typical}");
    assert!((50..250).contains(&hot), "{hot} of 500, due are 100");
}

#[test]
fn tenants_with_least_demand_are_removed() {
    let mut client = TableClient::new(&[1_000.0]);
    for caller in 0..20_000 {
        client.advance(Duration::from_micros(500));
        client.send(0, 0, 100.0);
        client.send(1 + caller, 0, 100.0);
    }
    assert!(client.table.len() <= 512, "{}", client.table.len());
    let fractions = client.fractions([(0, 0)], 100.0);
    assert!(fractions[0] < 0.2, "{fractions:?}");
}
