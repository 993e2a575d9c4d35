//! Disks that were taken in as learners and never answered: their nodes are registered, but gone or
//! cut off. No I/O; the time is passed in.
//!
//! Each is tried again after a pause, since a cut ends: a replica that was removed while it lived
//! comes back without an operator.

use firshore_replication::types::DiskId;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Pause after a disk stayed silent for the first time; doubled with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(500);

/// Longest pause: bounds the time from the end of a cut until the disk is tried again, while a node
/// that is gone for good costs two entries of the log each time.
const LONGEST_PAUSE: Duration = Duration::from_secs(8);

#[derive(Clone, Copy, Debug)]
struct Silence {
    pause: Duration,
    until: Instant,
}

/// Disks that stayed silent, and until when each is passed over.
#[derive(Debug, Default)]
pub struct ExcludedDisks {
    disks: BTreeMap<DiskId, Silence>,
}

impl ExcludedDisks {
    /// Takes in that a disk was tried and stayed silent. Returns for how long it is passed over.
    pub fn record_timeout(&mut self, now: Instant, disk: DiskId) -> Duration {
        let before = self.disks.get(&disk).map(|silence| silence.pause);
        let pause = before.map_or(FIRST_PAUSE, |pause| (pause * 2).min(LONGEST_PAUSE));
        let until = now + pause;
        self.disks.insert(disk, Silence { pause, until });
        pause
    }

    /// Returns whether a disk is not to be tried yet.
    pub fn is_excluded(&self, now: Instant, disk: DiskId) -> bool {
        let silence = self.disks.get(&disk);
        silence.is_some_and(|silence| now < silence.until)
    }

    /// Returns the pause of a disk after it stayed silent last: the longer the more often it did.
    pub fn pause(&self, disk: DiskId) -> Duration {
        let silence = self.disks.get(&disk);
        silence.map_or(Duration::ZERO, |silence| silence.pause)
    }

    /// Returns whether a disk stayed silent when it was tried last.
    pub fn has_failed(&self, disk: DiskId) -> bool {
        self.disks.contains_key(&disk)
    }

    /// Forgets disks that have answered meanwhile.
    pub fn forget(&mut self, answered: impl Fn(DiskId) -> bool) {
        self.disks.retain(|disk, _| !answered(*disk));
    }
}
