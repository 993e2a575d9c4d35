//! Disks that were added as learners but failed: their nodes are registered, but lost or isolated.
//! No I/O; the time is passed in.
//!
//! Each is tried again after a backoff, since a partition ends: a replica that was removed while it
//! was alive returns without an operator.

use firshore_replication::types::DiskId;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Backoff after a disk's first failure; doubled with each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(500);

/// Maximum backoff, as a fraction of the time in which a new disk has to hold everything. A disk that
/// can be reached again also has to catch up and become a voter in that time. A lost node costs two
/// log entries with each attempt.
const MAX_BACKOFF_FRACTION: f64 = 0.2;

/// Doublings after which a backoff grows no further.
const MAX_DOUBLINGS: u32 = 16;

#[derive(Clone, Copy, Debug)]
struct DiskExclusion {
    /// Consecutive failed attempts.
    failures: u32,
    until: Instant,
}

/// Disks that failed, with the time until which each is excluded.
#[derive(Debug)]
pub struct ExcludedDisks {
    disks: BTreeMap<DiskId, DiskExclusion>,
    max_backoff: Duration,
}

impl ExcludedDisks {
    /// Creates an empty set for a group whose new disks have `catch_up` to hold everything.
    pub fn new(catch_up: Duration) -> Self {
        Self {
            disks: BTreeMap::new(),
            max_backoff: catch_up.mul_f64(MAX_BACKOFF_FRACTION),
        }
    }

    /// Records that an attempt with a disk failed. Returns how long the disk is excluded.
    pub fn record_timeout(&mut self, now: Instant, disk: DiskId) -> Duration {
        let failures = self.failures(disk) + 1;
        let doubled = INITIAL_BACKOFF.saturating_mul(1 << (failures - 1).min(MAX_DOUBLINGS));
        let backoff = doubled.min(self.max_backoff);
        let until = now + backoff;
        self.disks.insert(disk, DiskExclusion { failures, until });
        backoff
    }

    /// Returns whether a disk must not be tried yet.
    pub fn is_excluded(&self, now: Instant, disk: DiskId) -> bool {
        let exclusion = self.disks.get(&disk);
        exclusion.is_some_and(|exclusion| now < exclusion.until)
    }

    fn failures(&self, disk: DiskId) -> u32 {
        let exclusion = self.disks.get(&disk);
        exclusion.map_or(0, |exclusion| exclusion.failures)
    }

    /// Returns until when a disk is or was excluded after its last attempt; `None` if that did not fail.
    pub fn excluded_until(&self, disk: DiskId) -> Option<Instant> {
        self.disks.get(&disk).map(|exclusion| exclusion.until)
    }

    /// Returns whether the last attempt with a disk failed.
    pub fn has_failed(&self, disk: DiskId) -> bool {
        self.disks.contains_key(&disk)
    }

    /// Removes disks that have responded since.
    pub fn forget(&mut self, answered: impl Fn(DiskId) -> bool) {
        self.disks.retain(|disk, _| !answered(*disk));
    }
}
