//! Age of the state that connected nodes act on while their sources fail, simulated in virtual time with the
//! product's relays, watchers and registries of nodes.
//!
//! Guards against timeouts that add up (relays queried in turn, a wait before the store is queried, watches without
//! a response): requests were then refused with 404 for routes older than the freshness bound, or sent to leaving
//! back ends.

mod stale_world;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use stale_world::crowd::{self, CallCounts};
use stale_world::faults::*;
use stale_world::losses::*;
use stale_world::machines::Health;
use stale_world::scene::{Event, FreshnessLimits, Scene, SceneResult, Target};
use stale_world::store_access::StoreAccess;
use stale_world::{KINDS, run_scene};
use std::time::Duration;

/// The freshness limits to check.
const LIMITS: [FreshnessLimits; 2] = [
    FreshnessLimits {
        bound: Duration::from_millis(2_000),
        connected_after: Duration::from_secs(3),
    },
    FreshnessLimits {
        bound: Duration::from_millis(3_000),
        connected_after: Duration::from_secs(4),
    },
];

/// Number of seeds per class unless `FIRSHORE_STALE_SEEDS` is set; the second limits use a quarter of them.
const DEFAULT_SEED_COUNT: u64 = 12;

/// Simulated time after the last event, so that its effects are checked and watches without a response have timed
/// out.
const TIME_AFTER_EVENTS: Duration = Duration::from_secs(20);

/// Lag of the copy of the store that relays may read.
const DEFAULT_LAG: Duration = Duration::from_millis(300);

/// Time in milliseconds by which a crowd has finished its start.
const CALM_AT_MS: u64 = 4_000;

/// Number of objects per page of the stand-in store.
const PAGE_OBJECTS: u64 = 3;

/// Draws the events of a scene with this many relays.
type DrawEvents = fn(&mut StdRng, usize) -> Events;

fn seeds() -> u64 {
    let setting = std::env::var("FIRSHORE_STALE_SEEDS");
    setting.map_or(DEFAULT_SEED_COUNT, |seeds| {
        seeds
            .parse()
            .expect("FIRSHORE_STALE_SEEDS must be a number")
    })
}

/// A class of scenes with a common kind of failure.
#[derive(Clone, Copy)]
struct EventClass {
    name: &'static str,
    draw: DrawEvents,
    connections: bool,
    removals: bool,
    lag: Duration,
    /// One of this many seeds is run.
    one_seed_in: u64,
}

const fn class(name: &'static str, draw: DrawEvents) -> EventClass {
    EventClass {
        name,
        draw,
        connections: false,
        removals: false,
        lag: DEFAULT_LAG,
        one_seed_in: 1,
    }
}

impl EventClass {
    /// Simulates connections for calls between nodes.
    const fn with_connections(mut self) -> Self {
        self.connections = true;
        self
    }

    /// Removes entries of back ends.
    const fn with_removals(mut self) -> Self {
        self.removals = true;
        self
    }

    /// Sets the lag of the copy of the store that relays may read.
    const fn with_lag(mut self, lag: Duration) -> Self {
        self.lag = lag;
        self
    }

    /// Runs a third of the seeds, because the class extends another one.
    const fn with_fewer_seeds(mut self) -> Self {
        self.one_seed_in = 3;
        self
    }

    fn scene(&self, seed: u64) -> Scene {
        let mut random = StdRng::seed_from_u64(seed);
        let relays = random.random_range(1..=3);
        let zones = random.random_range(1..=3);
        let mut events = (self.draw)(&mut random, relays);
        events.sort_by_key(|(at, _)| *at);
        let last = events.last().map_or(FIRST_EVENT_MS, |(at, _)| *at);
        let at = |(at, event)| (Duration::from_millis(at), event);
        Scene {
            class: self.name,
            seed,
            zones: (0..relays).map(|number| number % zones).collect(),
            followers: random.random_range(2..=4),
            follower_zones: 3,
            connections: self.connections,
            removals: self.removals,
            lag: self.lag,
            changes_while_unreachable: random.random_bool(0.5),
            events: events.into_iter().map(at).collect(),
            length: Duration::from_millis(last) + TIME_AFTER_EVENTS,
            count_at: Vec::new(),
        }
    }
}

/// Runs classes with all limits.
///
/// # Panics
///
/// Panics if a connected follower exceeded the bound or returned to an older state; the message describes each
/// failed class.
fn check_classes(classes: &[EventClass]) {
    let mut failed = Vec::new();
    for class in classes {
        for (limits, seeds) in LIMITS.into_iter().zip([seeds(), seeds().div_ceil(4)]) {
            failed.extend(check_class(
                class,
                limits,
                seeds.div_ceil(class.one_seed_in),
            ));
        }
    }
    assert!(failed.is_empty(), "{}", failed.join("\n\n"));
}

/// Runs a class, prints its maximum ages, and describes its failures, if any.
fn check_class(class: &EventClass, limits: FreshnessLimits, seeds: u64) -> Option<String> {
    let mut max_ages = [Duration::ZERO; 2];
    let mut failed = Vec::new();
    for seed in 0..seeds {
        let scene = class.scene(seed);
        let result = run_scene(&scene, limits);
        assert!(result.changes > 20, "too few changes: {scene:?}");
        for (max_age, age) in max_ages.iter_mut().zip(result.max_ages) {
            *max_age = age.max(*max_age);
        }
        if result.first_late.is_some() || result.regression.is_some() {
            failed.push((scene, result));
        }
    }
    let ages = KINDS.into_iter().zip(max_ages);
    let ages: Vec<String> = ages.map(|(kind, age)| format!("{kind} {age:?}")).collect();
    let ages = ages.join(", ");
    println!(
        "{} at {:?}: {} of {seeds} failed; maximum ages: {ages}",
        class.name,
        limits.bound,
        failed.len(),
    );
    // A regression is worse than a late change and is reported first.
    let first_regression = failed
        .iter()
        .find(|(_, result)| result.regression.is_some());
    let (scene, result) = first_regression.or(failed.first())?;
    let seeds: Vec<u64> = failed.iter().map(|(scene, _)| scene.seed).collect();
    let description = describe(scene, result);
    Some(format!(
        "{description}\nat {:?}, seeds {seeds:?} failed; maximum ages: {ages}",
        limits.bound
    ))
}

fn describe(scene: &Scene, result: &SceneResult) -> String {
    let mut lines = vec![format!("{}, seed {}", scene.class, scene.seed)];
    let first = result.first_late.iter();
    lines.extend(first.map(|late| format!("first over the bound: {late}")));
    let max_late = result.max_late.iter();
    lines.extend(max_late.map(|late| format!("maximum age: {late}")));
    let regression = result.regression.iter();
    lines.extend(regression.map(|regression| format!("returned to an older state: {regression}")));
    lines.push(format!("{scene:?}"));
    lines.join("\n")
}

#[test]
fn changes_arrive_in_time_without_losses() {
    check_classes(&[
        class("no events", no_events),
        class("relays slow", relays_slow),
        class("store slow", store_slow),
        class("watches cut", watches_cut),
    ]);
}

#[test]
fn changes_arrive_in_time_with_lost_relays() {
    check_classes(&[
        class("all dark at once", all_dark),
        class("all isolated at once", all_isolated),
        class("dark one after the other", dark_in_turn),
        class("all killed", all_killed),
        class("relays paused", relays_paused),
        class("just started", just_started),
    ]);
}

#[test]
fn changes_arrive_in_time_with_an_unreachable_store() {
    check_classes(&[
        class("store unresponsive for all", store_unresponsive),
        class("store unresponsive for long", store_unresponsive_for_long),
        class(
            "store unresponsive for relays",
            store_unresponsive_for_relays,
        ),
        class("store refuses relays", store_refuses_relays),
    ]);
}

#[test]
fn state_never_returns_to_an_older_one() {
    check_classes(&[
        class("one relay returns behind", one_relay_returns_behind),
        class("relays return behind", relays_return_behind),
        class("listing from the lagging copy", listed_from_lagging_copy),
        class("mixtures", mixtures),
    ]);
}

#[test]
fn changes_arrive_in_time_at_paused_or_slow_followers() {
    check_classes(&[
        class("followers paused", followers_paused),
        class(
            "followers paused, with losses",
            followers_paused_with_losses,
        )
        .with_fewer_seeds(),
        class("followers slow", followers_slow),
        class("followers slow, with losses", followers_slow_with_losses).with_fewer_seeds(),
    ]);
}

#[test]
fn changes_arrive_in_time_with_hanging_or_reset_connections() {
    let classes = [
        class("connections: all dark at once", all_dark),
        class("connections: dark one after the other", dark_in_turn),
        class("connections: all killed", all_killed),
        class("connections: relays paused", relays_paused),
        class(
            "connections: followers paused",
            followers_paused_with_losses,
        ),
    ];
    check_classes(&classes.map(|class| class.with_connections().with_fewer_seeds()));
    check_classes(&[
        class("connections: dark briefly", dark_briefly).with_connections(),
        class("connections: dark again", dark_again).with_connections(),
    ]);
}

#[test]
fn changes_arrive_in_time_with_unresponsive_connections() {
    check_classes(&[
        class(
            "unresponsive: all connections",
            all_connections_unresponsive,
        ),
        class(
            "unresponsive: all connections, links kept",
            all_connections_unresponsive,
        )
        .with_connections(),
    ]);
}

#[test]
fn changes_arrive_in_time_with_unresponsive_calls_in_flight() {
    check_classes(&[
        class("unresponsive: in flight", in_flight_unresponsive),
        class(
            "unresponsive: in flight, links kept",
            in_flight_unresponsive,
        )
        .with_connections(),
        class(
            "unresponsive: in flight, closed",
            in_flight_unresponsive_and_closed,
        ),
    ]);
}

#[test]
fn removals_arrive_in_time_with_losses() {
    let classes = [
        class("removals: no events", no_events),
        class("removals: all dark at once", all_dark),
        class("removals: watches cut", watches_cut),
    ];
    check_classes(&classes.map(|class| class.with_removals().with_fewer_seeds()));
}

#[test]
fn removed_objects_do_not_return() {
    let classes = [
        class("removals: relays return behind", relays_return_behind),
        class(
            "removals: listing from the lagging copy",
            listed_from_lagging_copy,
        ),
        class("removals: mixtures", mixtures),
        class("removals: mixtures of all", mixtures_of_all).with_connections(),
    ];
    check_classes(&classes.map(|class| class.with_removals().with_fewer_seeds()));
}

#[test]
fn removals_unknown_to_relays_arrive() {
    let classes = [
        class("removals: relays isolated", removed_while_relays_isolated),
        class("removals: store unresponsive for all", store_unresponsive),
    ];
    check_classes(&classes.map(EventClass::with_removals));
}

#[test]
fn removed_objects_do_not_return_by_a_stale_listing() {
    let lagging_listing = class(
        "removals: relays list the lagging copy",
        relays_list_lagging_copy,
    );
    check_classes(&[lagging_listing.with_removals().with_lag(FAR_BEHIND)]);
}

/// Runs a crowd with the first limits and returns its followers' calls to the store between marks (milliseconds).
fn calls_between(class: &'static str, events: Events, marks: &[u64]) -> Vec<CallCounts> {
    let scene = crowd::scene(class, events, marks);
    let result = run_scene(&scene, LIMITS[0]);
    let spans = result.calls.windows(2);
    let calls: Vec<CallCounts> = spans.map(|counts| counts[1] - counts[0]).collect();
    for (marks, calls) in marks.windows(2).zip(&calls) {
        println!("{class}: {} to {} ms: {calls}", marks[0], marks[1]);
    }
    println!("{class}: maximum ages: {:?}", result.max_ages);
    let failed = result.first_late.is_some() || result.regression.is_some();
    assert!(!failed, "{}", describe(&scene, &result));
    calls
}

/// Returns `count` + 1 marks, one per second from [`CALM_AT_MS`] on.
fn every_second(count: u64) -> Vec<u64> {
    let marks = (0..=count).map(|second| CALM_AT_MS + second * 1_000);
    marks.collect()
}

#[test]
fn crowd_makes_no_store_calls_without_failures() {
    let calls = calls_between(
        "crowd: calm",
        Events::new(),
        &[0, CALM_AT_MS, CALM_AT_MS + 60_000],
    );
    // During the start, each follower lists the nodes once, on this many pages.
    let pages = (2 * crowd::ZONES as u64).div_ceil(PAGE_OBJECTS);
    let startup = CallCounts {
        node_pages: crowd::FOLLOWERS * pages,
        ..CallCounts::default()
    };
    assert_eq!(calls, [startup, CallCounts::default()]);
}

/// The zone's other relay is queried before the view is too old, so few nodes query the store, once each. More
/// queries would mean that the loss of a relay loads the store.
#[test]
fn crowd_rarely_queries_the_store_while_one_relay_per_zone_is_dark() {
    let one_each = 0..crowd::ZONES;
    let events = one_each.map(|relay| (CALM_AT_MS, Event::Ends(relay, Health::Dark)));
    let calls = calls_between(
        "crowd: one of each zone dark",
        events.collect(),
        &every_second(6),
    );
    let queries: u64 = calls.iter().map(|counts| counts.queries).sum();
    assert!(queries <= crowd::FOLLOWERS, "{queries} queries");
}

/// Each node queries the store for each kind once per 0.6 of the bound. More than two queries per node, kind and
/// second would mean that intervals are too short or synchronized, so that the loss of all relays overloads the
/// store.
#[test]
fn crowd_spreads_its_store_queries_while_all_relays_are_dark() {
    let relays = 0..2 * crowd::ZONES;
    let dark = relays
        .clone()
        .map(|relay| (CALM_AT_MS, Event::Ends(relay, Health::Dark)));
    let back = relays.map(|relay| (CALM_AT_MS + 3_000, Event::Starts(relay)));
    let events = dark.chain(back).collect();
    let calls = calls_between("crowd: all relays dark", events, &every_second(6));
    let max_per_second = calls.iter().map(|counts| counts.queries).max().unwrap_or(0);
    assert!(
        max_per_second <= 4 * crowd::FOLLOWERS,
        "{max_per_second} queries in 1 s"
    );
}

/// Relays report that the store is unreachable, so nodes probe it with backoff before they query it. One query per
/// node while the store is unresponsive would mean that they don't probe first; more than two probes or queries
/// per node, kind and second would mean that they overload the store when it returns.
#[test]
fn crowd_rarely_calls_an_unresponsive_store() {
    let events = vec![
        (CALM_AT_MS, Event::Ways(Target::All, StoreAccess::Silent)),
        (
            CALM_AT_MS + 10_000,
            Event::Ways(Target::All, StoreAccess::Open),
        ),
    ];
    let calls = calls_between("crowd: store unresponsive", events, &every_second(13));
    let queries: u64 = calls.iter().take(10).map(|counts| counts.queries).sum();
    assert!(
        queries <= crowd::FOLLOWERS,
        "{queries} queries to an unresponsive store"
    );
    let max_per_second = calls
        .iter()
        .map(|counts| counts.queries.max(counts.probes))
        .max();
    let max_per_second = max_per_second.unwrap_or(0);
    assert!(
        max_per_second <= 4 * crowd::FOLLOWERS,
        "{max_per_second} calls in 1 s"
    );
}
