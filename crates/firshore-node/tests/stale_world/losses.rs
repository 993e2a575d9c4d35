//! Classes of events: losses of relays and of access to the store.

use super::machines::Health;
use super::scene::{Event, Target};
use super::store_access::StoreAccess;
use rand::RngExt;
use rand::rngs::StdRng;
use std::time::Duration;

/// Earliest time of an event: all nodes have started and the freshness bound applies to them.
pub const FIRST_EVENT_MS: u64 = 5_000;

/// Time for which cut watches receive nothing before they fail.
const CUT_DURATION_MS: u64 = 1_000;

/// Delay of a slow store's responses.
const SLOW_RESPONSE: Duration = Duration::from_millis(200);

/// Events of a scene with their times in milliseconds.
pub type Events = Vec<(u64, Event)>;

/// Ends all relays within `span` milliseconds, and restarts each after a random time.
fn end_all(
    random: &mut StdRng,
    relays: usize,
    health: Health,
    span: u64,
    downtime_ms: std::ops::Range<u64>,
) -> Events {
    let mut events = Events::new();
    for relay in 0..relays {
        let at = FIRST_EVENT_MS + random.random_range(0..=span);
        let back = at.max(FIRST_EVENT_MS + span) + random.random_range(downtime_ms.clone());
        events.push((at, Event::Ends(relay, health)));
        events.push((back, Event::Starts(relay)));
    }
    events
}

/// Sets the health of all relays, each for a random time from 300 to `max_ms` milliseconds.
fn set_health_of_all(random: &mut StdRng, relays: usize, health: Health, max_ms: u64) -> Events {
    let mut events = Events::new();
    for relay in 0..relays {
        let at = FIRST_EVENT_MS + random.random_range(0..300);
        let back = at + random.random_range(300..max_ms);
        events.push((at, Event::Reached(relay, health)));
        events.push((back, Event::Reached(relay, Health::Up)));
    }
    events
}

fn restrict_access(
    random: &mut StdRng,
    target: Target,
    access: StoreAccess,
    max_ms: u64,
) -> Events {
    let back = FIRST_EVENT_MS + random.random_range(300..max_ms);
    vec![
        (FIRST_EVENT_MS, Event::Ways(target, access)),
        (back, Event::Ways(target, StoreAccess::Open)),
    ]
}

pub fn cut_watches(at: u64) -> Events {
    vec![
        (at, Event::CutBegins),
        (at + CUT_DURATION_MS, Event::CutEnds),
    ]
}

pub fn no_events(_: &mut StdRng, _: usize) -> Events {
    Events::new()
}

pub fn all_dark(random: &mut StdRng, relays: usize) -> Events {
    end_all(random, relays, Health::Dark, 20, 1_000..12_000)
}

pub fn all_isolated(random: &mut StdRng, relays: usize) -> Events {
    set_health_of_all(random, relays, Health::Dark, 12_000)
}

pub fn dark_in_turn(random: &mut StdRng, relays: usize) -> Events {
    end_all(random, relays, Health::Dark, 5_000, 2_000..6_000)
}

pub fn all_killed(random: &mut StdRng, relays: usize) -> Events {
    end_all(random, relays, Health::Reset, 200, 200..6_000)
}

pub fn relays_slow(random: &mut StdRng, relays: usize) -> Events {
    set_health_of_all(random, relays, Health::Slow, 8_000)
}

pub fn relays_paused(random: &mut StdRng, relays: usize) -> Events {
    set_health_of_all(random, relays, Health::Stopped, 5_000)
}

pub fn store_slow(random: &mut StdRng, _: usize) -> Events {
    let back = FIRST_EVENT_MS + random.random_range(1_000..8_000);
    vec![
        (FIRST_EVENT_MS, Event::Delays(Target::All, SLOW_RESPONSE)),
        (back, Event::Delays(Target::All, Duration::ZERO)),
    ]
}

pub fn store_unresponsive(random: &mut StdRng, _: usize) -> Events {
    restrict_access(random, Target::All, StoreAccess::Silent, 9_000)
}

/// Makes the store unresponsive for so long that some nodes query it themselves meanwhile.
pub fn store_unresponsive_for_long(random: &mut StdRng, _: usize) -> Events {
    let back = FIRST_EVENT_MS + random.random_range(8_500..15_000);
    vec![
        (
            FIRST_EVENT_MS,
            Event::Ways(Target::All, StoreAccess::Silent),
        ),
        (back, Event::Ways(Target::All, StoreAccess::Open)),
    ]
}

pub fn store_unresponsive_for_relays(random: &mut StdRng, _: usize) -> Events {
    restrict_access(random, Target::Relays, StoreAccess::Silent, 9_000)
}

pub fn store_refuses_relays(random: &mut StdRng, _: usize) -> Events {
    restrict_access(random, Target::Relays, StoreAccess::Refused, 9_000)
}

pub fn watches_cut(random: &mut StdRng, _: usize) -> Events {
    cut_watches(FIRST_EVENT_MS + random.random_range(0..500))
}

/// Isolated relays become reachable again while they are behind: they still lack access to the store, or they
/// restart and read the lagging copy.
pub fn relays_return_behind(random: &mut StdRng, relays: usize) -> Events {
    let mut events = Events::new();
    for relay in 0..relays {
        let at = FIRST_EVENT_MS + random.random_range(0..3_000);
        let back = at + random.random_range(100..3_000);
        let recovered = back + random.random_range(50..800);
        if random.random_bool(0.5) {
            events.push((at, Event::Reached(relay, Health::Dark)));
            events.push((at, Event::Ways(Target::Relay(relay), StoreAccess::Silent)));
            events.push((back, Event::Reached(relay, Health::Up)));
            events.push((
                recovered,
                Event::Ways(Target::Relay(relay), StoreAccess::Open),
            ));
        } else {
            events.push((at, Event::Ends(relay, Health::Reset)));
            events.push((at, Event::Lags(relay, true)));
            events.push((back, Event::Starts(relay)));
            events.push((recovered, Event::Lags(relay, false)));
        }
    }
    events
}

pub fn one_relay_returns_behind(random: &mut StdRng, _: usize) -> Events {
    relays_return_behind(random, 1)
}

/// Lost relays restart and read the lagging copy while watches at the store are cut: nodes that queried the store
/// list again at a relay with an older view.
pub fn listed_from_lagging_copy(random: &mut StdRng, relays: usize) -> Events {
    let downtime_ms = random.random_range(4_000..6_000);
    let mut events = end_all(
        random,
        relays,
        Health::Reset,
        20,
        downtime_ms..downtime_ms + 1,
    );
    let back = FIRST_EVENT_MS + downtime_ms;
    for relay in 0..relays {
        events.push((back, Event::Lags(relay, true)));
        events.push((back + 2_400, Event::Lags(relay, false)));
    }
    for number in 1..=6 {
        let at = back + number * 400;
        events.push((at, Event::CutBegins));
        events.push((at + 60, Event::CutEnds));
    }
    events
}

pub fn just_started(random: &mut StdRng, relays: usize) -> Events {
    let health = [Health::Dark, Health::Reset][random.random_range(0..2)];
    let mut events = end_all(random, relays, health, 1_000, 200..8_000);
    if random.random_bool(0.5) {
        events.clear();
    }
    for _ in 0..3 {
        events.push((FIRST_EVENT_MS + random.random_range(0..5_000), Event::Joins));
    }
    events
}

/// Draws one fault that begins at `at` and lasts less than 5 s.
fn fault(random: &mut StdRng, relays: usize, at: u64) -> Events {
    let back = at + random.random_range(100..5_000);
    let relay = random.random_range(0..relays);
    let target = [
        Target::All,
        Target::Relays,
        Target::Relay(relay),
        Target::Follower(0),
    ];
    let target = target[random.random_range(0..target.len())];
    let access = [StoreAccess::Silent, StoreAccess::Refused][random.random_range(0..2)];
    let lost = [Health::Dark, Health::Reset][random.random_range(0..2)];
    let health = [Health::Dark, Health::Slow, Health::Stopped][random.random_range(0..3)];
    match random.random_range(0..7) {
        0 => cut_watches(at),
        1 => vec![(at, Event::Joins)],
        2 => vec![
            (at, Event::Delays(target, SLOW_RESPONSE)),
            (back, Event::Delays(target, Duration::ZERO)),
        ],
        3 => vec![
            (at, Event::Ways(target, access)),
            (back, Event::Ways(target, StoreAccess::Open)),
        ],
        4 => vec![(at, Event::Ends(relay, lost)), (back, Event::Starts(relay))],
        5 => {
            let ends = (0..relays).map(|relay| (at, Event::Ends(relay, lost)));
            let starts = (0..relays).map(|relay| (back, Event::Starts(relay)));
            ends.chain(starts).collect()
        }
        _ => vec![
            (at, Event::Reached(relay, health)),
            (back, Event::Reached(relay, Health::Up)),
        ],
    }
}

pub fn mixtures(random: &mut StdRng, relays: usize) -> Events {
    let count = random.random_range(4..=8);
    let mut events = Events::new();
    for _ in 0..count {
        let at = FIRST_EVENT_MS + random.random_range(0..15_000);
        events.extend(fault(random, relays, at));
    }
    events
}
