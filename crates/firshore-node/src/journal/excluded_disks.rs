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

/// Maximum backoff. Bounds the time from the end of a partition until the disk is tried again; a
/// lost node costs two log entries with each attempt.
const MAX_BACKOFF: Duration = Duration::from_secs(8);

#[derive(Clone, Copy, Debug)]
struct DiskExclusion {
    backoff: Duration,
    until: Instant,
}

/// Disks that failed, with the time until which each is excluded.
#[derive(Debug, Default)]
pub struct ExcludedDisks {
    disks: BTreeMap<DiskId, DiskExclusion>,
}

impl ExcludedDisks {
    /// Records that an attempt with a disk failed. Returns how long the disk is excluded.
    pub fn record_timeout(&mut self, now: Instant, disk: DiskId) -> Duration {
        let before = self.disks.get(&disk).map(|exclusion| exclusion.backoff);
        let backoff = before.map_or(INITIAL_BACKOFF, |backoff| (backoff * 2).min(MAX_BACKOFF));
        let until = now + backoff;
        self.disks.insert(disk, DiskExclusion { backoff, until });
        backoff
    }

    /// Returns whether a disk must not be tried yet.
    pub fn is_excluded(&self, now: Instant, disk: DiskId) -> bool {
        let exclusion = self.disks.get(&disk);
        exclusion.is_some_and(|exclusion| now < exclusion.until)
    }

    /// Returns the last backoff of a disk; it grows with consecutive failures and is zero without
    /// any.
    pub fn backoff(&self, disk: DiskId) -> Duration {
        let exclusion = self.disks.get(&disk);
        exclusion.map_or(Duration::ZERO, |exclusion| exclusion.backoff)
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
