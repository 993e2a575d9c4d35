//! What the memory of a node with a disk is used for, and how much of it each use may take. No I/O.
//!
//! A node that goes over its machine's memory is ended, and everything that it runs with it. So each
//! use is counted in bytes as it grows, and bounded by a share of `limits.memory_megabytes`: jobs are
//! refused and runs wait before that is reached. The shares sum up to 0.7; the rest is for the program,
//! the allocator and bytes that wait in sockets.

use std::cell::Cell;
use std::rc::Rc;

/// Share for items of open jobs, and for jobs that are being committed.
const JOBS_SHARE: f64 = 0.14;

/// Share for the events of items that have no result yet, counted once here and once more where they
/// are kept for the next leader.
const PROGRESS_SHARE: f64 = 0.12;

/// Share for connections and tasks of the items that run.
const RUNS_SHARE: f64 = 0.22;

/// Share for results that are being read. One answer is always made.
const RESULTS_SHARE: f64 = 0.05;

/// Share for the log: its entries, the latest snapshot, and the pages of the database.
pub const LOG_FRACTION: f64 = 0.17;

/// Memory that a run of an item takes in bytes: its connection, its task and what it has read. Measured as
/// 33 KB between 233 and 1,033 runs on a machine of 130 MB (resident memory, events not counted off).
const BYTES_PER_RUN: usize = 36 * 1024;

/// Times that a job being committed is held: as received, as encoded, and as an entry of the log.
const COPIES_OF_SUBMISSION: usize = 3;

/// Times that events are held: by the run, and for the next leader.
const COPIES_OF_PROGRESS: usize = 2;

/// Times that a result being read is held: as read from the disk, as decoded and as sent.
const COPIES_OF_RESULT: usize = 3;

/// Bytes by use, as counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemoryUse {
    /// Jobs as applied: bodies of items without a result for the most part.
    pub jobs: usize,
    /// Jobs that are being committed.
    pub submissions: usize,
    /// Events of items that this node runs.
    pub progress: usize,
    /// Events that are kept for the case that this node leads next.
    pub handover: usize,
    /// Runs, as many as there are times what one takes.
    pub runs: usize,
    /// Results that are being read.
    pub results: usize,
    /// Entries of the log and the latest snapshot.
    pub log: usize,
}

impl MemoryUse {
    /// Returns each use under its name.
    pub fn by_purpose(&self) -> [(&'static str, usize); 7] {
        [
            ("jobs", self.jobs),
            ("submissions", self.submissions),
            ("progress", self.progress),
            ("handover", self.handover),
            ("runs", self.runs),
            ("results", self.results),
            ("log", self.log),
        ]
    }

    /// Returns the sum of all uses.
    pub fn sum(&self) -> usize {
        self.by_purpose().iter().map(|(_, bytes)| bytes).sum()
    }
}

/// How much each use may take.
#[derive(Clone, Copy, Debug)]
pub struct MemoryBudget {
    bytes: usize,
}

impl MemoryBudget {
    /// Divides the memory of a node, in bytes.
    pub fn new(bytes: usize) -> Self {
        Self { bytes }
    }

    fn share(&self, share: f64) -> usize {
        (self.bytes as f64 * share) as usize
    }

    /// Returns whether a job of `bytes` more may be taken in.
    pub fn admits_job(&self, used: &MemoryUse, bytes: usize) -> bool {
        let held = used.jobs + used.submissions;
        held + bytes * COPIES_OF_SUBMISSION <= self.share(JOBS_SHARE)
    }

    /// Returns whether an item may start that has produced nothing yet, while `progress` bytes of events
    /// are held. Items that have begun go on: only their end frees what they hold.
    pub fn admits_new_run(&self, progress: usize) -> bool {
        progress * COPIES_OF_PROGRESS < self.share(PROGRESS_SHARE)
    }

    /// Returns whether results of about `bytes` may be read now.
    pub fn admits_results(&self, used: usize, bytes: usize) -> bool {
        used == 0 || used + bytes * COPIES_OF_RESULT <= self.share(RESULTS_SHARE)
    }

    /// Returns how many items run at most at once.
    pub fn max_runs(&self) -> usize {
        (self.share(RUNS_SHARE) / BYTES_PER_RUN).max(1)
    }

    /// Returns what runs of this number take in bytes, about.
    pub fn run_bytes(&self, runs: usize) -> usize {
        runs * BYTES_PER_RUN
    }
}

/// Counts bytes for as long as something holds them.
#[derive(Clone, Debug, Default)]
pub struct ByteCounter {
    bytes: Rc<Cell<usize>>,
}

/// Bytes that are counted until this is dropped.
#[derive(Debug)]
pub struct CountedBytes {
    counter: ByteCounter,
    bytes: usize,
}

impl ByteCounter {
    /// Returns the bytes that are held.
    pub fn held(&self) -> usize {
        self.bytes.get()
    }

    /// Counts `bytes` until the answer is dropped.
    pub fn count(&self, bytes: usize) -> CountedBytes {
        self.bytes.set(self.bytes.get() + bytes);
        CountedBytes {
            counter: self.clone(),
            bytes,
        }
    }
}

impl Drop for CountedBytes {
    fn drop(&mut self) {
        let held = self.counter.bytes.get();
        self.counter.bytes.set(held - self.bytes);
    }
}

/// What is held on behalf of peers that wait for an answer.
#[derive(Clone, Debug, Default)]
pub struct MemoryLedger {
    /// Jobs that are being committed.
    pub submissions: ByteCounter,
    /// Results that are being read.
    pub results: ByteCounter,
    /// Whether a job was refused for lack of memory since this was last taken.
    pub refused: Rc<Cell<bool>>,
}

/// Returns the memory of this process that is resident, in bytes; `None` where the system does not
/// tell.
pub fn resident_bytes() -> Option<usize> {
    const PAGE_BYTES: usize = 4_096;
    let text = std::fs::read_to_string("/proc/self/statm").ok()?;
    let pages: usize = text.split(' ').nth(1)?.parse().ok()?;
    Some(pages * PAGE_BYTES)
}
