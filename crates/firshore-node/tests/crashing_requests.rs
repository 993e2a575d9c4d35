//! Requests under which back ends end, before some 50 nodes in virtual time: each node sees a part of what
//! they do, and none sends them on for long.
//!
//! Two requests came back with a new identifier each time, at any of seven gateways, and ended 17 and 23 back
//! ends; later than the bound after the third they were sent 10 and 16 times more, 3 being allowed. Nothing
//! knew a request by what it asks, and no gateway heard of what another one had seen: `forward: Answer lost.`
//! named another request each time. The same must not be said of requests that harm nobody and are lost
//! because back ends end for reasons of their own.

mod crash_world;

use crash_world::{OwnEnds, Played, Scene, Trouble, play};
use std::time::Duration;

/// Seeds that are played of each class: `FIRSHORE_CRASH_SEEDS`, or so many.
const SEEDS: u64 = 3;

/// Sends later than the bound that are allowed.
const MOST_LATER: usize = 3;

const CALM: Scene = Scene {
    seed: 0,
    nodes: 46,
    relays: 6,
    backends: 24,
    keeps_names: false,
    fatal: 1,
    longest_pause: 500,
    popular_pause: 400,
    own_ends: OwnEnds::None,
    trouble: Trouble::None,
    resets: 0,
    contact: Duration::from_secs(3),
    length: Duration::from_secs(25),
};

fn seeds() -> u64 {
    let wanted = std::env::var("FIRSHORE_CRASH_SEEDS");
    wanted.map_or(SEEDS, |seeds| seeds.parse().expect("a number of seeds"))
}

/// Plays a class with each seed, and prints what came of it.
fn played(class: &str, scene: Scene) -> Vec<Played> {
    let mut all = Vec::new();
    for seed in 1..=seeds() {
        let played = play(Scene { seed, ..scene });
        eprintln!("{class}, seed {seed}: {played:?}");
        all.push(played);
    }
    all
}

/// Plays a class, and checks that no request is sent on for long and none that harms nobody is held back.
fn hold(class: &str, scene: Scene) {
    for (idx, played) in played(class, scene).iter().enumerate() {
        let seed = idx + 1;
        let most = played.later.iter().max().copied().unwrap_or(0);
        assert!(most <= MOST_LATER, "{class}, seed {seed}: {played:?}");
        assert_eq!(played.condemned, 0, "{class}, seed {seed}: {played:?}");
        assert!(played.tries > 500, "{class}, seed {seed}: {played:?}");
    }
}

#[test]
fn one_request_that_crashes_back_ends_is_held_back() {
    hold("often", CALM);
    hold(
        "at once",
        Scene {
            longest_pause: 60,
            ..CALM
        },
    );
    hold(
        "seldom",
        Scene {
            longest_pause: 6_000,
            length: Duration::from_secs(60),
            ..CALM
        },
    );
    hold(
        "longer bound",
        Scene {
            contact: Duration::from_secs(5),
            ..CALM
        },
    );
}

#[test]
fn several_requests_that_crash_back_ends_are_held_back() {
    hold("two", Scene { fatal: 2, ..CALM });
    hold(
        "six",
        Scene {
            fatal: 6,
            longest_pause: 1_500,
            ..CALM
        },
    );
}

#[test]
fn they_are_held_back_while_back_ends_end_by_themselves() {
    for own_ends in [OwnEnds::Single, OwnEnds::Mass, OwnEnds::Flapping] {
        hold(&format!("{own_ends:?}"), Scene { own_ends, ..CALM });
    }
}

/// Back ends that start again under their names and tell when: few, of which each ends more than once, and as many
/// as elsewhere, which end by themselves too.
#[test]
fn they_are_held_back_where_back_ends_start_again_under_their_names() {
    let kept = Scene {
        keeps_names: true,
        ..CALM
    };
    let few = Scene {
        backends: 6,
        length: Duration::from_secs(40),
        ..kept
    };
    hold("names kept", kept);
    hold("few, names kept", few);
    for own_ends in [OwnEnds::Single, OwnEnds::Mass, OwnEnds::Flapping] {
        let scene = Scene { own_ends, ..kept };
        hold(&format!("{own_ends:?}, names kept"), scene);
        let innocent = Scene {
            fatal: 0,
            resets: 20,
            ..scene
        };
        hold(&format!("innocent {own_ends:?}, names kept"), innocent);
    }
}

#[test]
fn requests_that_harm_nobody_are_not_held_back_while_back_ends_end() {
    for own_ends in [
        OwnEnds::None,
        OwnEnds::Single,
        OwnEnds::Mass,
        OwnEnds::Flapping,
    ] {
        let scene = Scene {
            fatal: 0,
            own_ends,
            resets: 20,
            ..CALM
        };
        hold(&format!("innocent {own_ends:?}"), scene);
        let popular = Scene {
            popular_pause: 40,
            length: Duration::from_secs(12),
            ..scene
        };
        hold(&format!("popular {own_ends:?}"), popular);
    }
}

#[test]
fn they_are_held_back_whatever_happens_to_nodes_and_relays() {
    let troubles = [
        Trouble::Restarts,
        Trouble::RelaysKilled,
        Trouble::RelaysDark,
        Trouble::ZoneCut,
        Trouble::Pauses,
    ];
    for trouble in troubles {
        hold(
            &format!("{trouble:?}"),
            Scene {
                trouble,
                resets: 5,
                ..CALM
            },
        );
        let seldom = Scene {
            longest_pause: 3_000,
            length: Duration::from_secs(40),
            ..CALM
        };
        hold(&format!("seldom {trouble:?}"), Scene { trouble, ..seldom });
    }
}

#[test]
fn nothing_is_called_on_a_calm_day() {
    for played in played(
        "calm",
        Scene {
            fatal: 0,
            resets: 20,
            ..CALM
        },
    ) {
        assert_eq!(played.calls, 0, "{played:?}");
    }
}
