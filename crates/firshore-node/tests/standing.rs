//! Why a journal promises or runs nothing: what is told, and how often.

use firshore_node::journal::standing::{JournalStanding, StandingFacts, StandingWatch};
use std::time::{Duration, Instant};

const SERVING: StandingFacts = StandingFacts {
    is_replica: true,
    leads: true,
    knows_leader: true,
    enough_disks: true,
    caught_up: true,
    disk_full: false,
    memory_full: false,
};

fn milliseconds(count: u64) -> Duration {
    Duration::from_millis(count)
}

#[test]
fn each_reason_is_told_apart() {
    let standing = |facts: StandingFacts| JournalStanding::of(&facts);
    assert_eq!(standing(SERVING), JournalStanding::Serves);
    let follows = StandingFacts {
        leads: false,
        ..SERVING
    };
    assert_eq!(standing(follows), JournalStanding::Follows);
    let leaderless = StandingFacts {
        knows_leader: false,
        ..follows
    };
    assert_eq!(standing(leaderless), JournalStanding::NoLeader);
    let outside = StandingFacts {
        is_replica: false,
        ..leaderless
    };
    assert_eq!(standing(outside), JournalStanding::Outside);
    let short = StandingFacts {
        enough_disks: false,
        ..SERVING
    };
    assert_eq!(standing(short), JournalStanding::TooFewDisks);
    let behind = StandingFacts {
        caught_up: false,
        ..SERVING
    };
    assert_eq!(standing(behind), JournalStanding::CatchingUp);
    let disk_full = StandingFacts {
        disk_full: true,
        ..SERVING
    };
    assert_eq!(standing(disk_full), JournalStanding::DiskFull);
    let memory_full = StandingFacts {
        memory_full: true,
        ..SERVING
    };
    assert_eq!(standing(memory_full), JournalStanding::MemoryFull);
}

#[test]
fn only_serving_and_following_hold_nothing_back() {
    for standing in JournalStanding::ALL {
        let at_ease = matches!(
            standing,
            JournalStanding::Serves | JournalStanding::Follows | JournalStanding::Outside
        );
        assert_eq!(standing.holds_back(), !at_ease, "{}", standing.name());
    }
}

#[test]
fn a_change_is_told_at_once_and_with_its_age() {
    let start = Instant::now();
    let mut watch = StandingWatch::new(start);
    let first = watch.step(start + milliseconds(300), JournalStanding::TooFewDisks);
    assert_eq!(first.unwrap().standing, JournalStanding::TooFewDisks);
    let next = watch.step(start + milliseconds(2_300), JournalStanding::Serves);
    assert_eq!(next.unwrap().standing, JournalStanding::Serves);
    let current = watch.current(start + milliseconds(2_800));
    assert_eq!(current.lasted, milliseconds(500));
}

#[test]
fn a_lasting_hold_is_told_again_and_ease_is_not() {
    let start = Instant::now();
    let mut watch = StandingWatch::new(start);
    let mut told = Vec::new();
    for tick in 1..=100 {
        let now = start + milliseconds(200 * tick);
        told.extend(watch.step(now, JournalStanding::NoLeader));
    }
    let ages: Vec<_> = told.iter().map(|one| one.lasted.as_secs()).collect();
    assert_eq!(ages, [0, 5, 10, 15]);
    let served = start + milliseconds(30_000);
    assert!(watch.step(served, JournalStanding::Serves).is_some());
    let later = served + milliseconds(60_000);
    assert!(watch.step(later, JournalStanding::Serves).is_none());
}

#[test]
fn a_standing_that_flaps_is_told_once_a_second_at_most() {
    let start = Instant::now();
    let mut watch = StandingWatch::new(start);
    let mut told = 0;
    for tick in 0..1_000 {
        let standing = match tick % 2 {
            0 => JournalStanding::MemoryFull,
            _ => JournalStanding::Serves,
        };
        let now = start + milliseconds(10 * tick);
        told += watch.step(now, standing).iter().count();
    }
    assert!(told <= 11, "{told} reports in ten seconds");
}

#[test]
fn a_change_within_the_pause_is_told_after_it() {
    let start = Instant::now();
    let mut watch = StandingWatch::new(start);
    assert!(watch.step(start, JournalStanding::Serves).is_some());
    let changed = start + milliseconds(100);
    assert!(watch.step(changed, JournalStanding::NoLeader).is_none());
    let told = watch.step(start + milliseconds(1_000), JournalStanding::NoLeader);
    assert_eq!(told.unwrap().lasted, milliseconds(900));
}
