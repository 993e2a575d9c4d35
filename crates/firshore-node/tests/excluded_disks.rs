//! Exclusion of unresponsive disks, with a bounded backoff.

use firshore_node::journal::excluded_disks::ExcludedDisks;
use firshore_replication::types::DiskId;
use std::time::{Duration, Instant};

const DISK: DiskId = DiskId(7);
const CATCH_UP: Duration = Duration::from_secs(5);

/// Guards against a disk that is reached again and waits for longer than it has for catching up.
#[test]
fn unresponsive_disk_is_retried_with_bounded_backoff() {
    let mut excluded = ExcludedDisks::new(CATCH_UP);
    let mut now = Instant::now();
    assert!(!excluded.is_excluded(now, DISK));
    let mut last_backoff = Duration::ZERO;
    for _ in 0..10 {
        let backoff = excluded.record_timeout(now, DISK);
        assert!(
            backoff >= last_backoff && backoff <= CATCH_UP / 5,
            "{backoff:?}"
        );
        assert!(excluded.is_excluded(now, DISK));
        assert!(!excluded.is_excluded(now, DiskId(8)));
        now += backoff;
        assert!(!excluded.is_excluded(now, DISK));
        last_backoff = backoff;
    }
}

#[test]
fn backoff_starts_over_after_a_response() {
    let mut excluded = ExcludedDisks::new(CATCH_UP);
    let now = Instant::now();
    let first = excluded.record_timeout(now, DISK);
    excluded.record_timeout(now, DISK);
    excluded.forget(|disk| disk == DiskId(8));
    assert!(excluded.is_excluded(now, DISK));
    excluded.forget(|disk| disk == DISK);
    assert!(!excluded.is_excluded(now, DISK));
    assert_eq!(excluded.record_timeout(now, DISK), first);
}
