//! Classes of loss of those that inform a node.

use super::machines::Health;
use super::scene::{Event, Who};
use super::ways::Way;
use rand::RngExt;
use rand::rngs::StdRng;
use std::time::Duration;

/// When something happens first, in milliseconds: all have started and are judged.
pub const FIRST: u64 = 5_000;

/// Time for which watches that are cut hear nothing before they fail.
const DEAF: u64 = 1_000;

/// Time that a slow store's answer takes.
const SLOWNESS: Duration = Duration::from_millis(200);

/// What happens in a scene, with the milliseconds at which it does.
pub type Events = Vec<(u64, Event)>;

/// Ends relays within a span, and has each start again after a time drawn.
fn end_all(
    random: &mut StdRng,
    relays: usize,
    health: Health,
    span: u64,
    away: std::ops::Range<u64>,
) -> Events {
    let mut events = Events::new();
    for relay in 0..relays {
        let at = FIRST + random.random_range(0..=span);
        let back = at.max(FIRST + span) + random.random_range(away.clone());
        events.push((at, Event::Ends(relay, health)));
        events.push((back, Event::Starts(relay)));
    }
    events
}

/// Has relays reached in a way for a time drawn of each.
fn reach_all(random: &mut StdRng, relays: usize, health: Health, most: u64) -> Events {
    let mut events = Events::new();
    for relay in 0..relays {
        let at = FIRST + random.random_range(0..300);
        let back = at + random.random_range(300..most);
        events.push((at, Event::Reached(relay, health)));
        events.push((back, Event::Reached(relay, Health::Up)));
    }
    events
}

fn shut(random: &mut StdRng, who: Who, way: Way, longest: u64) -> Events {
    let back = FIRST + random.random_range(300..longest);
    vec![
        (FIRST, Event::Ways(who, way)),
        (back, Event::Ways(who, Way::Open)),
    ]
}

pub fn cut(at: u64) -> Events {
    vec![(at, Event::CutBegins), (at + DEAF, Event::CutEnds)]
}

pub fn nothing(_: &mut StdRng, _: usize) -> Events {
    Events::new()
}

pub fn all_dark(random: &mut StdRng, relays: usize) -> Events {
    end_all(random, relays, Health::Dark, 20, 1_000..12_000)
}

pub fn all_cut_off(random: &mut StdRng, relays: usize) -> Events {
    reach_all(random, relays, Health::Dark, 12_000)
}

pub fn dark_in_turn(random: &mut StdRng, relays: usize) -> Events {
    end_all(random, relays, Health::Dark, 5_000, 2_000..6_000)
}

pub fn all_killed(random: &mut StdRng, relays: usize) -> Events {
    end_all(random, relays, Health::Reset, 200, 200..6_000)
}

pub fn relays_slow(random: &mut StdRng, relays: usize) -> Events {
    reach_all(random, relays, Health::Slow, 8_000)
}

pub fn relays_paused(random: &mut StdRng, relays: usize) -> Events {
    reach_all(random, relays, Health::Stopped, 5_000)
}

pub fn store_slow(random: &mut StdRng, _: usize) -> Events {
    let back = FIRST + random.random_range(1_000..8_000);
    vec![
        (FIRST, Event::Delays(Who::All, SLOWNESS)),
        (back, Event::Delays(Who::All, Duration::ZERO)),
    ]
}

pub fn store_silent(random: &mut StdRng, _: usize) -> Events {
    shut(random, Who::All, Way::Silent, 9_000)
}

/// So long that some nodes ask the store themselves meanwhile.
pub fn store_silent_for_long(random: &mut StdRng, _: usize) -> Events {
    let back = FIRST + random.random_range(8_500..15_000);
    vec![
        (FIRST, Event::Ways(Who::All, Way::Silent)),
        (back, Event::Ways(Who::All, Way::Open)),
    ]
}

pub fn store_silent_for_relays(random: &mut StdRng, _: usize) -> Events {
    shut(random, Who::Relays, Way::Silent, 9_000)
}

pub fn store_refuses_relays(random: &mut StdRng, _: usize) -> Events {
    shut(random, Who::Relays, Way::Refused, 9_000)
}

pub fn watches_cut(random: &mut StdRng, _: usize) -> Events {
    cut(FIRST + random.random_range(0..500))
}

/// A relay that nobody reached, nor it the store, is reached again while it is behind: it is still cut from
/// the store, or it starts anew and reads a copy that is behind.
pub fn come_back_behind(random: &mut StdRng, relays: usize) -> Events {
    let mut events = Events::new();
    for relay in 0..relays {
        let at = FIRST + random.random_range(0..3_000);
        let back = at + random.random_range(100..3_000);
        let sound = back + random.random_range(50..800);
        if random.random_bool(0.5) {
            events.push((at, Event::Reached(relay, Health::Dark)));
            events.push((at, Event::Ways(Who::Relay(relay), Way::Silent)));
            events.push((back, Event::Reached(relay, Health::Up)));
            events.push((sound, Event::Ways(Who::Relay(relay), Way::Open)));
        } else {
            events.push((at, Event::Ends(relay, Health::Reset)));
            events.push((at, Event::Lags(relay, true)));
            events.push((back, Event::Starts(relay)));
            events.push((sound, Event::Lags(relay, false)));
        }
    }
    events
}

pub fn one_relay_behind(random: &mut StdRng, _: usize) -> Events {
    come_back_behind(random, 1)
}

/// Relays that were away start anew and read a copy that is behind, while watches at the store itself are
/// cut: whoever asked it lists anew, at a relay that knows less.
pub fn listed_behind(random: &mut StdRng, relays: usize) -> Events {
    let away = random.random_range(4_000..6_000);
    let mut events = end_all(random, relays, Health::Reset, 20, away..away + 1);
    let back = FIRST + away;
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
        events.push((FIRST + random.random_range(0..5_000), Event::Joins));
    }
    events
}

/// Draws one thing that happens from `at` on, for some seconds at most.
fn trouble(random: &mut StdRng, relays: usize, at: u64) -> Events {
    let back = at + random.random_range(100..5_000);
    let relay = random.random_range(0..relays);
    let who = [Who::All, Who::Relays, Who::Relay(relay), Who::Follower(0)];
    let who = who[random.random_range(0..who.len())];
    let way = [Way::Silent, Way::Refused][random.random_range(0..2)];
    let lost = [Health::Dark, Health::Reset][random.random_range(0..2)];
    let health = [Health::Dark, Health::Slow, Health::Stopped][random.random_range(0..3)];
    match random.random_range(0..7) {
        0 => cut(at),
        1 => vec![(at, Event::Joins)],
        2 => vec![
            (at, Event::Delays(who, SLOWNESS)),
            (back, Event::Delays(who, Duration::ZERO)),
        ],
        3 => vec![
            (at, Event::Ways(who, way)),
            (back, Event::Ways(who, Way::Open)),
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
        let at = FIRST + random.random_range(0..15_000);
        events.extend(trouble(random, relays, at));
    }
    events
}
