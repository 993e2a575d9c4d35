//! Bounds the memory that callers' input may hold, over all connections. No I/O.
//!
//! A request's bytes count from the first one until the request has ended. When the memory is used up, requests that
//! are incomplete and make no progress are evicted, the largest and longest stalled ones first. Large requests may use
//! only a part of the memory, so that a crowd of them leaves memory for small ones.

use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Size from which a request counts as large, in bytes.
const LARGE_BYTES: usize = 64 * 1024;

/// Fraction of the memory that large requests may use together.
const LARGE_FRACTION: f64 = 0.75;

/// Bytes that an incomplete request must receive within [`STALL_TIME`].
const PROGRESS_BYTES: usize = 16 * 1024;

/// Time without progress from which an incomplete request may be evicted.
const STALL_TIME: Duration = Duration::from_secs(1);

/// Fraction of the memory that an eviction frees beyond what is needed, so that few evictions are needed.
const SPARE_FRACTION: f64 = 1.0 / 16.0;

/// Identifies a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct HolderId(u64);

/// Phase of the connection's current request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// There is none.
    Idle,
    /// It is being received.
    Reading,
    /// It is complete and not answered yet.
    Serving,
    /// It was evicted; its connection has not let go of the memory yet.
    Evicted,
}

/// Result of asking for memory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Growth {
    /// It is granted.
    Granted,
    /// It will be there once evicted requests have let go of theirs, among them these, which are evicted now.
    AfterEviction(Vec<HolderId>),
    /// It is not granted; the request keeps what it held.
    Denied(Denial),
}

/// Memory of one connection.
#[derive(Debug)]
struct Holder {
    phase: Phase,
    bytes: usize,
    /// When the last [`PROGRESS_BYTES`] were complete, and the bytes at that time.
    progress_at: Instant,
    progress_bytes: usize,
}

impl Holder {
    fn is_large(&self) -> bool {
        self.bytes > LARGE_BYTES
    }

    fn stalled_for(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.progress_at)
    }

    fn is_stalled(&self, now: Instant) -> bool {
        self.stalled_for(now) >= STALL_TIME
    }

    /// Bytes times milliseconds without progress.
    fn eviction_rank(&self, now: Instant) -> u128 {
        self.bytes as u128 * self.stalled_for(now).as_millis()
    }
}

/// Why memory is not granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// More than a single request may ever hold.
    TooLarge,
    /// The memory is used up for now.
    Full,
    /// The request was evicted before.
    Evicted,
}

/// Bytes by which the memory is exceeded, and the part of it for large requests.
#[derive(Clone, Copy, Debug)]
struct Missing {
    bytes: usize,
    by_large: usize,
}

impl Missing {
    fn is_none(self) -> bool {
        self.bytes == 0 && self.by_large == 0
    }
}

/// Memory of callers' input.
#[derive(Debug)]
pub struct InputBudget {
    max_bytes: usize,
    holders: HashMap<HolderId, Holder>,
    next_id: u64,
    held: usize,
    held_by_large: usize,
    /// Parts of both that evicted requests still hold.
    leaving: usize,
    leaving_by_large: usize,
}

impl InputBudget {
    /// Creates a budget of `max_bytes`.
    pub fn new(max_bytes: usize) -> Self {
        Self {
            max_bytes,
            holders: HashMap::new(),
            next_id: 0,
            held: 0,
            held_by_large: 0,
            leaving: 0,
            leaving_by_large: 0,
        }
    }

    /// Returns the maximum bytes that a single request may hold.
    pub fn max_request_bytes(&self) -> usize {
        (self.max_bytes as f64 * LARGE_FRACTION) as usize
    }

    /// Returns the bytes that are held.
    pub fn held(&self) -> usize {
        self.held
    }

    /// Adds a connection.
    pub fn open(&mut self, now: Instant) -> HolderId {
        let id = HolderId(self.next_id);
        self.next_id += 1;
        let holder = Holder {
            phase: Phase::Idle,
            bytes: 0,
            progress_at: now,
            progress_bytes: 0,
        };
        self.holders.insert(id, holder);
        id
    }

    /// Removes a connection and what it holds.
    pub fn close(&mut self, id: HolderId) {
        self.set_bytes(id, 0);
        self.holders.remove(&id);
    }

    /// Records that the previous request of a connection has ended: it holds nothing.
    pub fn become_idle(&mut self, now: Instant, id: HolderId) {
        self.set_bytes(id, 0);
        self.begin_phase(now, id, Phase::Idle);
    }

    /// Records that the first byte of a request has arrived.
    pub fn begin_reading(&mut self, now: Instant, id: HolderId) {
        self.begin_phase(now, id, Phase::Reading);
    }

    /// Records that a request is complete; it can't be evicted any more.
    pub fn begin_serving(&mut self, now: Instant, id: HolderId) {
        self.begin_phase(now, id, Phase::Serving);
    }

    fn begin_phase(&mut self, now: Instant, id: HolderId, phase: Phase) {
        let holder = self.holders.get_mut(&id).expect("the connection is open");
        if holder.phase != Phase::Evicted {
            holder.phase = phase;
            holder.progress_at = now;
            holder.progress_bytes = holder.bytes;
        }
    }

    /// Sets what a request holds, if that is granted.
    pub fn resize(&mut self, now: Instant, id: HolderId, bytes: usize) -> Growth {
        let holder = &self.holders[&id];
        if holder.phase == Phase::Evicted {
            return Growth::Denied(Denial::Evicted);
        }
        if bytes > self.max_request_bytes() {
            return Growth::Denied(Denial::TooLarge);
        }
        if bytes > holder.bytes {
            let missing = self.missing(id, bytes);
            if !missing.is_none() {
                return self.evict_for(now, id, bytes, missing);
            }
        }
        self.set_bytes(id, bytes);
        self.note_progress(now, id);
        Growth::Granted
    }

    fn evict_for(&mut self, now: Instant, id: HolderId, bytes: usize, missing: Missing) -> Growth {
        let missing = Missing {
            bytes: missing.bytes.saturating_sub(self.leaving),
            by_large: missing.by_large.saturating_sub(self.leaving_by_large),
        };
        if missing.is_none() {
            return Growth::AfterEviction(Vec::new());
        }
        let Some(victims) = self.victims(now, id, bytes, missing) else {
            return Growth::Denied(Denial::Full);
        };
        for victim in &victims {
            let holder = self.holders.get_mut(victim).expect("victims are open");
            holder.phase = Phase::Evicted;
            self.leaving += holder.bytes;
            if holder.is_large() {
                self.leaving_by_large += holder.bytes;
            }
        }
        Growth::AfterEviction(victims)
    }

    fn note_progress(&mut self, now: Instant, id: HolderId) {
        let holder = self.holders.get_mut(&id).expect("the connection is open");
        if holder.bytes >= holder.progress_bytes + PROGRESS_BYTES {
            holder.progress_at = now;
            holder.progress_bytes = holder.bytes;
        }
    }

    fn set_bytes(&mut self, id: HolderId, bytes: usize) {
        let holder = self.holders.get_mut(&id).expect("the connection is open");
        let is_leaving = holder.phase == Phase::Evicted;
        self.held -= holder.bytes;
        if holder.is_large() {
            self.held_by_large -= holder.bytes;
        }
        if is_leaving {
            self.leaving -= holder.bytes;
        }
        if is_leaving && holder.is_large() {
            self.leaving_by_large -= holder.bytes;
        }
        holder.bytes = bytes;
        self.held += bytes;
        if holder.is_large() {
            self.held_by_large += bytes;
        }
    }

    /// Returns what is missing for `id` to hold `bytes`.
    fn missing(&self, id: HolderId, bytes: usize) -> Missing {
        let holder = &self.holders[&id];
        let others_large = match holder.is_large() {
            true => self.held_by_large - holder.bytes,
            false => self.held_by_large,
        };
        let large = match bytes > LARGE_BYTES {
            true => others_large + bytes,
            false => 0,
        };
        Missing {
            bytes: (self.held - holder.bytes + bytes).saturating_sub(self.max_bytes),
            by_large: large.saturating_sub(self.max_request_bytes()),
        }
    }

    /// Returns the requests to evict so that `id` may hold `bytes`; `None` if that isn't possible.
    fn victims(
        &self,
        now: Instant,
        id: HolderId,
        bytes: usize,
        missing: Missing,
    ) -> Option<Vec<HolderId>> {
        let spare = (self.max_bytes as f64 * SPARE_FRACTION) as usize;
        let (mut freed, mut freed_by_large) = (0, 0);
        let mut victims = Vec::new();
        for (victim, found) in self.candidates(now, id, bytes) {
            if missing.bytes == 0 && !found.is_large() {
                continue;
            }
            let is_enough = freed >= missing.bytes && freed_by_large >= missing.by_large;
            if is_enough && (freed >= missing.bytes + spare || !found.is_stalled(now)) {
                break;
            }
            freed += found.bytes;
            if found.is_large() {
                freed_by_large += found.bytes;
            }
            victims.push(victim);
        }
        (freed >= missing.bytes && freed_by_large >= missing.by_large).then_some(victims)
    }

    /// Returns the requests that may be evicted for a request of `bytes`, the first ones first: stalled ones, and for
    /// a small one also larger ones that make progress.
    fn candidates(&self, now: Instant, id: HolderId, bytes: usize) -> Vec<(HolderId, &Holder)> {
        let is_small = bytes <= LARGE_BYTES;
        let incomplete = self.holders.iter().filter(|(other, holder)| {
            let may_go = holder.is_stalled(now) || is_small && holder.bytes > bytes;
            **other != id && holder.phase == Phase::Reading && holder.bytes > 0 && may_go
        });
        let mut candidates: Vec<(HolderId, &Holder)> =
            incomplete.map(|(other, holder)| (*other, holder)).collect();
        candidates.sort_by_key(|(other, holder)| {
            let rank = (
                holder.is_stalled(now),
                holder.eviction_rank(now),
                holder.bytes,
            );
            (std::cmp::Reverse(rank), *other)
        });
        candidates
    }
}
