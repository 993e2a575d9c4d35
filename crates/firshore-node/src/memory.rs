//! Memory budget of a node. No I/O.
//!
//! The system kills a node that exceeds its machine's memory, with everything that it runs. So each use is
//! counted in bytes and bounded by a fraction of `limits.memory_megabytes`: jobs and callers' requests are refused
//! and runs wait before the bound is exceeded. The fractions of a node with a disk sum up to 0.7, or 0.8 if it also
//! serves callers; the rest is for the program, the allocator and socket buffers.

use firshore_gateway::input_budget::InputLimits;
use std::cell::Cell;
use std::rc::Rc;

/// Fraction for items of open jobs, and for jobs that are being committed.
const JOBS_FRACTION: f64 = 0.14;

/// The same for a job while there is no other, so that one of the largest legal size is accepted in calm.
const ONLY_JOB_FRACTION: f64 = 0.25;

/// Fraction for the events of items without a result, including the copy that is kept for a change of leader.
const PROGRESS_FRACTION: f64 = 0.12;

/// Fraction for connections and tasks of running items.
const RUNS_FRACTION: f64 = 0.22;

/// Fraction for results that are being read. One read is always admitted.
const RESULTS_FRACTION: f64 = 0.05;

/// Fraction for the replicated log: its entries, the latest snapshot, and the pages of the database.
pub const LOG_FRACTION: f64 = 0.17;

/// Fraction for callers' requests on a node without a disk.
const INPUT_FRACTION: f64 = 0.4;

/// The same on a node with a disk.
const INPUT_FRACTION_WITH_DISK: f64 = 0.1;

/// Fraction for connections of callers and their tasks, beside what requests hold.
const CONNECTIONS_FRACTION: f64 = 0.2;

/// The same on a node with a disk.
const CONNECTIONS_FRACTION_WITH_DISK: f64 = 0.05;

/// Resident memory of a caller's connection in bytes: socket, task and buffers.
const BYTES_PER_CONNECTION: usize = 16 * 1024;

/// Fraction of the descriptors for connections of callers; the rest is for back ends, peers, the store and files.
const CONNECTIONS_FRACTION_OF_DESCRIPTORS: f64 = 0.75;

/// Resident memory of one running item in bytes: connection, task and read buffer. Measured as 33 KB between 233 and
/// 1,033 runs on a machine of 130 MB, without their events.
const BYTES_PER_RUN: usize = 36 * 1024;

/// Copies of a job that is being committed: as received, as encoded, and as a log entry.
const COPIES_OF_SUBMISSION: usize = 3;

/// Copies of an item's events: in the run, and for a change of leader.
const COPIES_OF_PROGRESS: usize = 2;

/// Copies of a result that is being read: as read from disk, as decoded, and as sent.
const COPIES_OF_RESULT: usize = 3;

/// Counted memory in bytes, by purpose.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemoryUse {
    /// Applied jobs: mostly bodies of items without a result.
    pub jobs: usize,
    /// Jobs that are being committed.
    pub submissions: usize,
    /// Events of items that this node runs.
    pub progress: usize,
    /// Events received from the leader, for the case that this node becomes leader.
    pub handover: usize,
    /// Running items, estimated from their number.
    pub runs: usize,
    /// Results that are being read.
    pub results: usize,
    /// Entries of the replicated log and the latest snapshot.
    pub log: usize,
}

impl MemoryUse {
    /// Returns each use with its metric label.
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

/// Bound on each use.
#[derive(Clone, Copy, Debug)]
pub struct MemoryBudget {
    bytes: usize,
}

impl MemoryBudget {
    /// Creates the budget for a node that may use `bytes` of memory.
    pub fn new(bytes: usize) -> Self {
        Self { bytes }
    }

    fn fraction(&self, fraction: f64) -> usize {
        (self.bytes as f64 * fraction) as usize
    }

    /// Returns the bounds on callers' connections and their input, on a machine with this many descriptors.
    pub fn input_limits(&self, has_disk: bool, descriptors: u64) -> InputLimits {
        let (bytes, connections) = match has_disk {
            true => (INPUT_FRACTION_WITH_DISK, CONNECTIONS_FRACTION_WITH_DISK),
            false => (INPUT_FRACTION, CONNECTIONS_FRACTION),
        };
        let by_memory = self.fraction(connections) / BYTES_PER_CONNECTION;
        let by_descriptors = descriptors as f64 * CONNECTIONS_FRACTION_OF_DESCRIPTORS;
        InputLimits {
            bytes: self.fraction(bytes),
            connections: by_memory.min(by_descriptors as usize).max(1),
        }
    }

    /// Returns whether a job of `bytes` may be accepted. While no other is held, it may be larger.
    pub fn admits_job(&self, used: &MemoryUse, bytes: usize) -> bool {
        let held = used.jobs + used.submissions;
        let fraction = match held {
            0 => ONLY_JOB_FRACTION,
            _ => JOBS_FRACTION,
        };
        held + bytes * COPIES_OF_SUBMISSION <= self.fraction(fraction)
    }

    /// Returns whether an item without events may start while items hold `progress` bytes of events. Items with
    /// events may always continue: only their completion frees that memory.
    pub fn admits_new_run(&self, progress: usize) -> bool {
        progress * COPIES_OF_PROGRESS < self.fraction(PROGRESS_FRACTION)
    }

    /// Returns whether results of about `bytes` may be read while `used` bytes of results are held.
    pub fn admits_results(&self, used: usize, bytes: usize) -> bool {
        used == 0 || used + bytes * COPIES_OF_RESULT <= self.fraction(RESULTS_FRACTION)
    }

    /// Returns the maximum number of items that run at the same time.
    pub fn max_runs(&self) -> usize {
        (self.fraction(RUNS_FRACTION) / BYTES_PER_RUN).max(1)
    }

    /// Returns the estimated memory of `runs` running items in bytes.
    pub fn run_bytes(&self, runs: usize) -> usize {
        runs * BYTES_PER_RUN
    }
}

/// Counter of bytes in use.
#[derive(Clone, Debug, Default)]
pub struct ByteCounter {
    bytes: Rc<Cell<usize>>,
}

/// Guard that counts bytes until it is dropped.
#[derive(Debug)]
pub struct CountedBytes {
    counter: ByteCounter,
    bytes: usize,
}

impl ByteCounter {
    /// Returns the number of bytes in use.
    pub fn held(&self) -> usize {
        self.bytes.get()
    }

    /// Counts `bytes` until the returned guard is dropped.
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

/// Memory held for peers that wait for a response.
#[derive(Clone, Debug, Default)]
pub struct MemoryLedger {
    /// Jobs that are being committed.
    pub submissions: ByteCounter,
    /// Results that are being read.
    pub results: ByteCounter,
    /// Whether a job was refused for lack of memory since this flag was last reset.
    pub refused: Rc<Cell<bool>>,
}

/// Returns the resident memory of this process in bytes, or `None` if the system doesn't report it.
pub fn resident_bytes() -> Option<usize> {
    let text = std::fs::read_to_string("/proc/self/statm").ok()?;
    let pages: usize = text.split(' ').nth(1)?.parse().ok()?;
    Some(pages * rustix::param::page_size())
}
