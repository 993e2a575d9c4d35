//! Disks that stay silent are tried again, after pauses that grow to a bound.

use firshore_node::journal::excluded_disks::ExcludedDisks;
use firshore_replication::types::DiskId;
use std::time::{Duration, Instant};

const DISK: DiskId = DiskId(7);

#[test]
fn a_silent_disk_is_tried_again_after_bounded_pauses() {
    let mut passed_over = ExcludedDisks::default();
    let mut now = Instant::now();
    assert!(!passed_over.is_excluded(now, DISK));
    let mut before = Duration::ZERO;
    for _ in 0..10 {
        let pause = passed_over.record_timeout(now, DISK);
        assert!(
            pause >= before && pause <= Duration::from_secs(8),
            "{pause:?}"
        );
        assert!(passed_over.is_excluded(now, DISK));
        assert!(!passed_over.is_excluded(now, DiskId(8)));
        now += pause;
        assert!(!passed_over.is_excluded(now, DISK));
        before = pause;
    }
}

#[test]
fn a_disk_that_answered_starts_over() {
    let mut passed_over = ExcludedDisks::default();
    let now = Instant::now();
    let first = passed_over.record_timeout(now, DISK);
    passed_over.record_timeout(now, DISK);
    passed_over.forget(|disk| disk == DiskId(8));
    assert!(passed_over.is_excluded(now, DISK));
    passed_over.forget(|disk| disk == DISK);
    assert!(!passed_over.is_excluded(now, DISK));
    assert_eq!(passed_over.record_timeout(now, DISK), first);
}
