//! Whose share of a full service a request is: what nobody is denied, and what one that asks too much gets.

mod sharing;

use firshore_admission::admission::ShareStatus;
use firshore_admission::shares::{CallerRank, ShareRequest, ShareTable};
use firshore_limits::report::{TenantDemand, TenantDigest};
use firshore_types::ids::ServiceName;
use sharing::{Played, Scene, TenantEnd, Way, play};
use std::time::{Duration, Instant};

/// Part of its fair share below which nobody of equal rank is to be.
const LEAST_PART: f64 = 0.5;

/// Part by which the one that asks too much may have more or less than what is left, as with its limit, while
/// some nodes are in touch.
const OVER: f64 = 0.1;

/// Part of the room by which more may be let in, as the line grows until the service is full.
const SLACK: f64 = 0.02;

/// Requests below which chance alone may leave a tenant with half.
const COUNTED_REQUESTS: u32 = 20;

const SEEDS: std::ops::Range<u64> = 0..3;

fn worst_part(played: &Played) -> f64 {
    let counted = played.tenants.iter();
    let counted = counted.filter(|end| end.asked >= COUNTED_REQUESTS);
    counted.map(TenantEnd::part).fold(f64::INFINITY, f64::min)
}

/// Sums of scenes that differ by their seed alone.
fn play_all(scene: &Scene) -> Played {
    let mut plays = SEEDS.map(|seed| play(&Scene { seed, ..*scene }));
    let mut sum = plays.next().expect("a seed");
    for played in plays {
        sum.room += played.room;
        for (end, other) in sum.tenants.iter_mut().zip(played.tenants) {
            end.asked += other.asked;
            end.admitted += other.admitted;
            end.within += other.within;
        }
    }
    sum
}

fn others(played: &Played, hot: usize) -> f64 {
    let others = played.tenants.iter().enumerate();
    let others = others.filter(|(tenant, _)| *tenant != hot);
    let (asked, admitted) = others.fold((0, 0), |(asked, admitted), (_, end)| {
        (asked + end.asked, admitted + end.admitted)
    });
    f64::from(admitted) / f64::from(asked)
}

fn line(scene: &Scene, played: &Played) -> String {
    format!(
        "{:?} hot {} cut {}: worst {:.2}, hot {:.2} of its share, others {:.3} of what they ask, {:.3} of the room",
        scene.way,
        scene.hot,
        scene.cut,
        worst_part(played),
        played.tenants[scene.hot].part(),
        others(played, scene.hot),
        played.admitted() / played.room,
    )
}

#[test]
fn nobody_pays_for_one_that_asks_too_much() {
    for hot in [0, 2, 10] {
        for cut in [0.0, 0.35, 1.0] {
            let scene = Scene {
                hot,
                cut,
                ..Scene::default()
            };
            let played = play_all(&scene);
            let line = line(&scene, &played);
            println!("{line}");
            assert!(worst_part(&played) >= LEAST_PART, "{line}");
            if cut < 1.0 {
                let hot = played.tenants[hot].part();
                assert!((1.0 - OVER..=1.0 + OVER).contains(&hot), "{line}");
            }
            let part = played.admitted() / played.room;
            assert!((1.0 - OVER..=1.0 + SLACK).contains(&part), "{line}");
        }
    }
}

#[test]
fn without_shares_one_tenant_takes_its_neighbours_room() {
    let scene = Scene {
        way: Way::None,
        ..Scene::default()
    };
    let played = play_all(&scene);
    let line = line(&scene, &played);
    println!("{line}");
    assert!(worst_part(&played) < LEAST_PART, "{line}");
    assert!(played.tenants[scene.hot].part() > 1.5, "{line}");
}

#[test]
fn what_all_nodes_are_asked_tells_more_than_equal_parts_at_each() {
    for hot in [0, 2] {
        let scene = Scene {
            hot,
            ..Scene::default()
        };
        let local = Scene {
            way: Way::Local,
            ..scene
        };
        let played = play_all(&scene);
        let played_local = play_all(&local);
        println!("{}", line(&local, &played_local));
        assert!(worst_part(&played) > worst_part(&played_local));
    }
}

/// Requests of each tenant that are counted, and such as come before them: a table that has seen none of a tenant
/// does not know yet what it asks for.
const COUNTED: usize = 200;
const FIRST: usize = 50;

/// A table, and the moment that it is asked.
struct Asked {
    table: ShareTable,
    now: Instant,
    service: ServiceName,
}

impl Asked {
    /// Told of tenants that ask so many requests a second of all nodes.
    fn new(demands: &[f64]) -> Self {
        let now = Instant::now();
        let mut asked = Self {
            table: ShareTable::new(7),
            now,
            service: "s".into(),
        };
        asked.tell(demands);
        asked
    }

    fn tell(&mut self, demands: &[f64]) {
        let told = demands.iter().enumerate();
        let told = told.map(|(tenant, per_second)| TenantDemand {
            tenant: TenantDigest(tenant as u64),
            per_second: *per_second,
        });
        self.table.update_demand(self.now, told);
    }

    fn pass(&mut self, time: Duration) {
        self.now += time;
    }

    /// A request of a tenant, by itself at its rank.
    fn ask(&mut self, tenant: u64, priority: u32, room: f64) -> ShareStatus {
        let ask = ShareRequest {
            service: &self.service,
            tenant: TenantDigest(tenant),
            rank: CallerRank::new(Some(priority), 0),
        };
        self.table.record_arrival(self.now, &ask);
        self.table.status(self.now, &ask, room)
    }

    /// Part of each tenant's requests that is within its share, where requests come in turn.
    fn parts<const COUNT: usize>(&mut self, asks: [(u64, u32); COUNT], room: f64) -> [f64; COUNT] {
        let mut within = [0; COUNT];
        for round in 0..FIRST + COUNTED {
            self.pass(Duration::from_millis(4));
            for (number, (tenant, priority)) in asks.into_iter().enumerate() {
                let standing = self.ask(tenant, priority, room);
                within[number] += usize::from(round >= FIRST && standing == ShareStatus::Within);
            }
        }
        within.map(|within| within as f64 / COUNTED as f64)
    }
}

#[track_caller]
fn assert_near(part: f64, expected: f64) {
    assert!((part - expected).abs() < 0.05, "{part}, not {expected}");
}

#[test]
fn room_that_one_does_not_ask_for_goes_to_the_others() {
    let mut asked = Asked::new(&[10.0, 50.0, 400.0]);
    let [small, middle, large] = asked.parts([(0, 0), (1, 0), (2, 0)], 160.0);
    assert_near(small, 1.0);
    assert_near(middle, 1.0);
    assert_near(large, 100.0 / 400.0);
}

#[test]
fn those_above_the_level_get_as_much_as_each_other() {
    let mut asked = Asked::new(&[10.0, 200.0, 400.0]);
    let [small, middle, large] = asked.parts([(0, 0), (1, 0), (2, 0)], 110.0);
    assert_near(small, 1.0);
    assert_near(middle, 50.0 / 200.0);
    assert_near(large, 50.0 / 400.0);
}

#[test]
fn a_higher_priority_goes_first_and_starves_nobody() {
    let mut asked = Asked::new(&[90.0, 90.0]);
    let [first, second] = asked.parts([(0, 0), (1, 1)], 100.0);
    assert_near(first, 1.0);
    assert_near(second, 10.0 / 90.0);
    let mut asked = Asked::new(&[400.0, 90.0]);
    let [first, second] = asked.parts([(0, 0), (1, 1)], 100.0);
    assert_near(first, 90.0 / 400.0);
    assert_near(second, 10.0 / 90.0);
}

#[test]
fn the_priority_of_a_tenant_comes_before_that_of_the_route() {
    let bought = CallerRank::new(Some(1), 5);
    assert!(bought < CallerRank::new(None, 2));
    assert!(CallerRank::new(None, 0) < bought);
    assert!(bought < CallerRank::new(Some(1), 6));
}

#[test]
fn a_node_cut_off_sees_by_its_own_requests_that_a_tenant_asks_more() {
    let usual = [10.0, 20.0];
    let mut asked = Asked::new(&usual);
    for _ in 0..50 {
        asked.pass(Duration::from_millis(100));
        asked.tell(&usual);
        asked.ask(0, 0, 30.0);
        asked.ask(1, 0, 30.0);
        asked.ask(1, 0, 30.0);
    }
    // Nothing is told any more, and the second asks six times its usual from now on.
    let mut within = [0, 0];
    for _ in 0..80 {
        asked.pass(Duration::from_millis(100));
        within[0] += u32::from(asked.ask(0, 0, 30.0) == ShareStatus::Within);
        for _ in 0..12 {
            within[1] += u32::from(asked.ask(1, 0, 30.0) == ShareStatus::Within);
        }
    }
    let [small, hot] = within;
    assert!(small >= 75, "{small}");
    assert!((80..480).contains(&hot), "{hot} of 960, due are 160");
}

#[test]
fn everybody_is_within_where_nothing_is_known() {
    let mut asked = Asked::new(&[400.0]);
    asked.pass(Duration::from_secs(20));
    assert_eq!(asked.ask(0, 0, 1.0), ShareStatus::Within);
    let mut asked = Asked::new(&[]);
    assert_eq!(asked.ask(0, 0, 1.0), ShareStatus::Within);
}

#[test]
fn one_of_whom_nothing_is_told_is_known_by_its_requests_here() {
    // The first is told of; of the second, which has no limit, nothing is.
    let mut asked = Asked::new(&[100.0]);
    let mut within = [0, 0];
    for _ in 0..100 {
        asked.pass(Duration::from_millis(10));
        within[0] += u32::from(asked.ask(0, 0, 200.0) == ShareStatus::Within);
        for _ in 0..5 {
            within[1] += u32::from(asked.ask(1, 0, 200.0) == ShareStatus::Within);
        }
    }
    let [usual, hot] = within;
    assert!(usual >= 95, "{usual}");
    assert!((50..250).contains(&hot), "{hot} of 500, due are 100");
}

#[test]
fn a_table_forgets_those_that_ask_least() {
    let mut asked = Asked::new(&[1_000.0]);
    for caller in 0..20_000 {
        asked.pass(Duration::from_micros(500));
        asked.ask(0, 0, 100.0);
        asked.ask(1 + caller, 0, 100.0);
    }
    assert!(asked.table.len() <= 512, "{}", asked.table.len());
    let parts = asked.parts([(0, 0)], 100.0);
    assert!(parts[0] < 0.2, "{parts:?}");
}
