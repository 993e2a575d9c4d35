//! Status of a journal: which reason is reported, and how often.

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
fn each_reason_has_its_own_status() {
    let status = |facts: StatusFacts| JournalStatus::of(&facts);
    assert_eq!(status(SERVING), JournalStatus::Serves);
    let follows = StatusFacts {
        leads: false,
        ..SERVING
    };
    assert_eq!(status(follows), JournalStatus::Follows);
    let leaderless = StatusFacts {
        knows_leader: false,
        ..follows
    };
    assert_eq!(status(leaderless), JournalStatus::NoLeader);
    let outside = StatusFacts {
        is_replica: false,
        ..leaderless
    };
    assert_eq!(status(outside), JournalStatus::Outside);
    let short = StatusFacts {
        enough_disks: false,
        ..SERVING
    };
    assert_eq!(status(short), JournalStatus::TooFewDisks);
    let behind = StatusFacts {
        caught_up: false,
        ..SERVING
    };
    assert_eq!(status(behind), JournalStatus::CatchingUp);
    let disk_full = StatusFacts {
        disk_full: true,
        ..SERVING
    };
    assert_eq!(status(disk_full), JournalStatus::DiskFull);
    let memory_full = StatusFacts {
        memory_full: true,
        ..SERVING
    };
    assert_eq!(status(memory_full), JournalStatus::MemoryFull);
}

#[test]
fn only_blocking_statuses_block_work() {
    for status in JournalStatus::ALL {
        let is_unblocked = matches!(
            status,
            JournalStatus::Serves | JournalStatus::Follows | JournalStatus::Outside
        );
        assert_eq!(status.blocks_work(), !is_unblocked, "{}", status.name());
    }
}

#[test]
fn change_is_reported_at_once_with_its_duration() {
    let start = Instant::now();
    let mut tracker = StatusTracker::new(start);
    let first = tracker.step(start + milliseconds(300), JournalStatus::TooFewDisks);
    assert_eq!(first.unwrap().status, JournalStatus::TooFewDisks);
    let next = tracker.step(start + milliseconds(2_300), JournalStatus::Serves);
    assert_eq!(next.unwrap().status, JournalStatus::Serves);
    let current = tracker.current(start + milliseconds(2_800));
    assert_eq!(current.duration, milliseconds(500));
}

#[test]
fn blocking_status_is_reported_repeatedly() {
    let start = Instant::now();
    let mut tracker = StatusTracker::new(start);
    let mut reports = Vec::new();
    for tick in 1..=100 {
        let now = start + milliseconds(200 * tick);
        reports.extend(tracker.step(now, JournalStatus::NoLeader));
    }
    let ages: Vec<_> = reports.iter().map(|one| one.duration.as_secs()).collect();
    assert_eq!(ages, [0, 5, 10, 15]);
    let served = start + milliseconds(30_000);
    assert!(tracker.step(served, JournalStatus::Serves).is_some());
    let later = served + milliseconds(60_000);
    assert!(tracker.step(later, JournalStatus::Serves).is_none());
}

#[test]
fn flapping_status_is_reported_at_most_once_per_second() {
    let start = Instant::now();
    let mut tracker = StatusTracker::new(start);
    let mut reports = 0;
    for tick in 0..1_000 {
        let status = match tick % 2 {
            0 => JournalStatus::MemoryFull,
            _ => JournalStatus::Serves,
        };
        let now = start + milliseconds(10 * tick);
        reports += tracker.step(now, status).iter().count();
    }
    assert!(reports <= 11, "{reports} reports in 10 s");
}

#[test]
fn change_within_the_interval_is_reported_after_it() {
    let start = Instant::now();
    let mut tracker = StatusTracker::new(start);
    assert!(tracker.step(start, JournalStatus::Serves).is_some());
    let changed = start + milliseconds(100);
    assert!(tracker.step(changed, JournalStatus::NoLeader).is_none());
    let reports = tracker.step(start + milliseconds(1_000), JournalStatus::NoLeader);
    assert_eq!(reports.unwrap().duration, milliseconds(900));
}
