//! Order in which items are started.

use firshore_node::runner::urgency::{DueTable, ItemUrgency};
use std::time::{Duration, Instant};

const DUE_AFTER: Option<Duration> = Some(Duration::from_secs(18));

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

#[test]
fn earliest_deadline_goes_first_and_late_items_last() {
    let mut table = DueTable::default();
    let start = Instant::now();
    let late = table.due(start, "late", seconds(10), DUE_AFTER);
    let later_still = table.due(start, "later still", seconds(12), DUE_AFTER);
    let soonest = table.due(start, "next", seconds(5), DUE_AFTER);
    let newest = table.due(start, "newest", seconds(0), DUE_AFTER);
    let undated = table.due(start, "undated", seconds(17), None);
    let now = start + seconds(9);
    let mut jobs = [
        ("late", late.urgency(now)),
        ("newest", newest.urgency(now)),
        ("undated", undated.urgency(now)),
        ("later still", later_still.urgency(now)),
        ("next", soonest.urgency(now)),
    ];
    jobs.sort_by_key(|(_, urgency)| *urgency);
    let order = jobs.map(|(job, _)| job);
    assert_eq!(order, ["next", "newest", "undated", "later still", "late"]);
}

#[test]
fn item_is_late_after_its_deadline() {
    let mut table = DueTable::default();
    let now = Instant::now();
    let due = table.due(now, "job", seconds(8), DUE_AFTER);
    let deadline = now + seconds(10);
    assert_eq!(due.urgency(deadline), ItemUrgency::InTime(deadline));
    let after = deadline + Duration::from_millis(1);
    assert_eq!(due.urgency(after), ItemUrgency::Late(deadline));
}

#[test]
fn clock_jump_does_not_move_known_jobs() {
    let mut table = DueTable::default();
    let now = Instant::now();
    let due = table.due(now, "job", seconds(1), DUE_AFTER);
    let later = now + seconds(3);
    for age in [seconds(0), seconds(4), seconds(100_000)] {
        assert_eq!(table.due(later, "job", age, DUE_AFTER), due, "{age:?} old");
    }
    table.retain(|job| job != "job");
    let reinserted = table.due(later, "job", seconds(4), DUE_AFTER);
    assert_eq!(reinserted.deadline, due.deadline);
}

#[test]
fn wrong_clock_only_makes_a_job_late() {
    let now = Instant::now();
    for age in [seconds(100_000), seconds(u64::MAX / 4), Duration::MAX] {
        let mut table = DueTable::default();
        let due = table.due(now, "job", age, DUE_AFTER);
        let urgency = due.urgency(now + seconds(18) + Duration::from_millis(1));
        assert!(
            matches!(urgency, ItemUrgency::Late(_)),
            "{age:?}: {urgency:?}"
        );
        let correct = table.due(now, "other", seconds(1), DUE_AFTER);
        assert!(correct.urgency(now) < urgency, "{age:?}");
    }
}
