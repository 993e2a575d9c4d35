//! Classes of events: suspended or slow processes, connections that hang, are reset or become unresponsive, and
//! listings that contain removed objects.

use super::losses::{
    Events, FIRST_EVENT_MS, all_dark, all_killed, mixtures, store_slow, watches_cut,
};
use super::machines::Health;
use super::scene::{Event, Target};
use super::store_access::StoreAccess;
use rand::RngExt;
use rand::rngs::StdRng;
use std::time::Duration;

/// Time in milliseconds after which the kernel closes a connection to a lost machine: the next keepalive probe
/// follows within 1 s, and two more after it.
const KERNEL_TIMEOUT_MS: std::ops::Range<u64> = 2_000..3_000;

/// Lag of the copy from which relays list again: longer than their spacing after a change, so that they have
/// received changes that the copy lacks, and below the freshness bound.
pub const FAR_BEHIND: Duration = Duration::from_millis(800);

/// Maximum number of followers with events; a scene starts with at most as many.
const MAX_FOLLOWERS: usize = 4;

/// Suspends each follower twice, at independent times.
pub fn followers_paused(random: &mut StdRng, _: usize) -> Events {
    let mut events = Events::new();
    for follower in 0..MAX_FOLLOWERS {
        let mut at = FIRST_EVENT_MS + random.random_range(0..3_000);
        for _ in 0..2 {
            let back = at + random.random_range(200..6_000);
            events.push((at, Event::Pauses(follower)));
            events.push((back, Event::GoesOn(follower)));
            at = back + random.random_range(1_000..6_000);
        }
    }
    events
}

/// Suspends followers while relays or watches fail.
pub fn followers_paused_with_losses(random: &mut StdRng, relays: usize) -> Events {
    let losses = [all_dark, all_killed, watches_cut, store_slow];
    let draw_losses = losses[random.random_range(0..losses.len())];
    let mut events = followers_paused(random, relays);
    events.extend(draw_losses(random, relays));
    events
}

pub fn followers_slow(random: &mut StdRng, _: usize) -> Events {
    let mut events = Events::new();
    for follower in 0..MAX_FOLLOWERS {
        let back = FIRST_EVENT_MS + random.random_range(4_000..12_000);
        events.push((FIRST_EVENT_MS, Event::Slows(follower, true)));
        events.push((back, Event::Slows(follower, false)));
    }
    events
}

/// Slows followers down while relays or watches fail.
pub fn followers_slow_with_losses(random: &mut StdRng, relays: usize) -> Events {
    let losses = [all_dark, all_killed, watches_cut, store_slow];
    let draw_losses = losses[random.random_range(0..losses.len())];
    let mut events = followers_slow(random, relays);
    events.extend(draw_losses(random, relays));
    events
}

/// Makes relays dark once or twice, for less than the connect timeout; their processes keep running or end.
pub fn dark_briefly(random: &mut StdRng, relays: usize) -> Events {
    let mut events = Events::new();
    for relay in 0..relays {
        let mut at = FIRST_EVENT_MS + random.random_range(0..300);
        for _ in 0..random.random_range(1..=2) {
            let back = at + random.random_range(100..1_900);
            let (ends, starts) = match random.random_bool(0.5) {
                true => (
                    Event::Reached(relay, Health::Dark),
                    Event::Reached(relay, Health::Up),
                ),
                false => (Event::Ends(relay, Health::Dark), Event::Starts(relay)),
            };
            events.push((at, ends));
            events.push((back, starts));
            at = back + random.random_range(300..6_000);
        }
    }
    events
}

/// Makes relays dark until the kernel closes connections to them, then dark again briefly while connects are in
/// flight.
pub fn dark_again(random: &mut StdRng, relays: usize) -> Events {
    let mut events = Events::new();
    for relay in 0..relays {
        let at = FIRST_EVENT_MS + random.random_range(0..300);
        let back = at + random.random_range(3_000..6_000);
        let second_at = back + random.random_range(0..2_500);
        events.push((at, Event::Ends(relay, Health::Dark)));
        events.push((back, Event::Starts(relay)));
        events.push((second_at, Event::Reached(relay, Health::Dark)));
        let back = second_at + random.random_range(100..1_000);
        events.push((back, Event::Reached(relay, Health::Up)));
    }
    events
}

fn unresponsive_twice(random: &mut StdRng, idle: bool, closed: bool) -> Events {
    let at = FIRST_EVENT_MS + random.random_range(0..1_000);
    let second_at = at + random.random_range(4_500..9_000);
    let mut outage = |at| {
        let kernel_timeout = random.random_range(KERNEL_TIMEOUT_MS);
        let kernel_timeout = closed.then_some(Duration::from_millis(kernel_timeout));
        (
            at,
            Event::FallsSilent {
                idle,
                kernel_timeout,
            },
        )
    };
    vec![outage(at), outage(second_at)]
}

/// Calls in flight get no response, later calls do. The caller's kernel keeps the connection, as with a load
/// balancer that has lost the machine behind it.
pub fn in_flight_unresponsive(random: &mut StdRng, _: usize) -> Events {
    unresponsive_twice(random, false, false)
}

/// Calls in flight to lost machines get no response, and the kernel closes these connections.
pub fn in_flight_unresponsive_and_closed(random: &mut StdRng, _: usize) -> Events {
    unresponsive_twice(random, false, true)
}

pub fn all_connections_unresponsive(random: &mut StdRng, _: usize) -> Events {
    unresponsive_twice(random, true, false)
}

/// Relays list again from a copy that is older than their view: an entry is removed, and their watches are cut
/// while the copy responds. Nodes that start then list from such a relay. Needs a copy with the lag
/// [`FAR_BEHIND`], and removals.
pub fn relays_list_lagging_copy(random: &mut StdRng, relays: usize) -> Events {
    let mut events = Events::new();
    for number in 0..5 {
        let at = FIRST_EVENT_MS + number * 2_500 + random.random_range(0..500);
        let cut = at + random.random_range(450..600);
        events.push((at, Event::Removes));
        for relay in 0..relays {
            events.push((cut, Event::Lags(relay, true)));
            events.push((cut + 600, Event::Lags(relay, false)));
        }
        events.push((cut, Event::CutBegins));
        events.push((cut + 40, Event::CutEnds));
        let joined_at = at + random.random_range(300..800);
        events.push((joined_at, Event::Joins));
    }
    events
}

/// Replaces entries while relays lack access to the store and followers query it themselves, and again at about
/// the time when relays regain access, so that relays never had these entries. Needs removals.
pub fn removed_while_relays_isolated(random: &mut StdRng, _: usize) -> Events {
    let back = FIRST_EVENT_MS + random.random_range(3_000..7_000);
    let added_at = FIRST_EVENT_MS + random.random_range(200..1_000);
    let removed_at = back + random.random_range(0..1_100) - 500;
    vec![
        (
            FIRST_EVENT_MS,
            Event::Ways(Target::Relays, StoreAccess::Silent),
        ),
        (added_at, Event::ReplacesAll),
        (removed_at, Event::ReplacesAll),
        (back, Event::Ways(Target::Relays, StoreAccess::Open)),
    ]
}

/// Draws mixtures of all faults, including those of followers.
pub fn mixtures_of_all(random: &mut StdRng, relays: usize) -> Events {
    let mut events = mixtures(random, relays);
    let classes = [followers_paused, followers_slow, dark_briefly];
    for _ in 0..2 {
        let draw = classes[random.random_range(0..classes.len())];
        events.extend(draw(random, relays));
    }
    events
}
