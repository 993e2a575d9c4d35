//! Why a journal promises or runs nothing: what is told, and how often.

use firshore_node::journal::status::{JournalStatus, StatusFacts, StatusTracker};
use std::time::{Duration, Instant};

const SERVING: StatusFacts = StatusFacts {
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
    let standing = |facts: StatusFacts| JournalStatus::of(&facts);
    assert_eq!(standing(SERVING), JournalStatus::Serves);
    let follows = StatusFacts {
        leads: false,
        ..SERVING
    };
    assert_eq!(standing(follows), JournalStatus::Follows);
    let leaderless = StatusFacts {
        knows_leader: false,
        ..follows
    };
    assert_eq!(standing(leaderless), JournalStatus::NoLeader);
    let outside = StatusFacts {
        is_replica: false,
        ..leaderless
    };
    assert_eq!(standing(outside), JournalStatus::Outside);
    let short = StatusFacts {
        enough_disks: false,
        ..SERVING
    };
    assert_eq!(standing(short), JournalStatus::TooFewDisks);
    let behind = StatusFacts {
        caught_up: false,
        ..SERVING
    };
    assert_eq!(standing(behind), JournalStatus::CatchingUp);
    let disk_full = StatusFacts {
        disk_full: true,
        ..SERVING
    };
    assert_eq!(standing(disk_full), JournalStatus::DiskFull);
    let memory_full = StatusFacts {
        memory_full: true,
        ..SERVING
    };
    assert_eq!(standing(memory_full), JournalStatus::MemoryFull);
}

#[test]
fn only_serving_and_following_hold_nothing_back() {
    for standing in JournalStatus::ALL {
        let at_ease = matches!(
            standing,
            JournalStatus::Serves | JournalStatus::Follows | JournalStatus::Outside
        );
        assert_eq!(standing.blocks_work(), !at_ease, "{}", standing.name());
    }
}

#[test]
fn a_change_is_told_at_once_and_with_its_age() {
    let start = Instant::now();
    let mut watch = StatusTracker::new(start);
    let first = watch.step(start + milliseconds(300), JournalStatus::TooFewDisks);
    assert_eq!(first.unwrap().status, JournalStatus::TooFewDisks);
    let next = watch.step(start + milliseconds(2_300), JournalStatus::Serves);
    assert_eq!(next.unwrap().status, JournalStatus::Serves);
    let current = watch.current(start + milliseconds(2_800));
    assert_eq!(current.duration, milliseconds(500));
}

#[test]
fn a_lasting_hold_is_told_again_and_ease_is_not() {
    let start = Instant::now();
    let mut watch = StatusTracker::new(start);
    let mut told = Vec::new();
    for tick in 1..=100 {
        let now = start + milliseconds(200 * tick);
        told.extend(watch.step(now, JournalStatus::NoLeader));
    }
    let ages: Vec<_> = told.iter().map(|one| one.duration.as_secs()).collect();
    assert_eq!(ages, [0, 5, 10, 15]);
    let served = start + milliseconds(30_000);
    assert!(watch.step(served, JournalStatus::Serves).is_some());
    let later = served + milliseconds(60_000);
    assert!(watch.step(later, JournalStatus::Serves).is_none());
}

#[test]
fn a_standing_that_flaps_is_told_once_a_second_at_most() {
    let start = Instant::now();
    let mut watch = StatusTracker::new(start);
    let mut told = 0;
    for tick in 0..1_000 {
        let standing = match tick % 2 {
            0 => JournalStatus::MemoryFull,
            _ => JournalStatus::Serves,
        };
        let now = start + milliseconds(10 * tick);
        told += watch.step(now, standing).iter().count();
    }
    assert!(told <= 11, "{told} reports in ten seconds");
}

#[test]
fn a_change_within_the_pause_is_told_after_it() {
    let start = Instant::now();
    let mut watch = StatusTracker::new(start);
    assert!(watch.step(start, JournalStatus::Serves).is_some());
    let changed = start + milliseconds(100);
    assert!(watch.step(changed, JournalStatus::NoLeader).is_none());
    let told = watch.step(start + milliseconds(1_000), JournalStatus::NoLeader);
    assert_eq!(told.unwrap().duration, milliseconds(900));
}
