//! Bounds the connections of callers, and the memory that their input may hold, over all of them. No I/O.
//!
//! When there are too many connections, those that wait without a request are evicted, first those that never sent one.
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

/// Time for which a new connection is not evicted: its first request may be under way.
const NEW_TIME: Duration = Duration::from_millis(100);

/// Part of the connections that an eviction closes, so that few evictions are needed.
const EVICTED_PART: usize = 32;

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
    /// Whether it has sent anything.
    has_sent: bool,
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

/// Bounds of a budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InputLimits {
    /// Maximum bytes that all requests hold.
    pub bytes: usize,
    /// Maximum number of connections.
    pub connections: usize,
}

/// A connection that was added, and those that are evicted for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Opened {
    /// The connection.
    pub id: HolderId,
    /// Connections to close.
    pub evicted: Vec<HolderId>,
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
    limits: InputLimits,
    holders: HashMap<HolderId, Holder>,
    next_id: u64,
    held: usize,
    held_by_large: usize,
    /// Parts of both that evicted requests still hold.
    leaving: usize,
    leaving_by_large: usize,
    /// Number of evicted connections that are still open.
    leaving_connections: usize,
}

impl InputBudget {
    /// Creates an empty budget.
    pub fn new(limits: InputLimits) -> Self {
        Self {
            limits,
            holders: HashMap::new(),
            next_id: 0,
            held: 0,
            held_by_large: 0,
            leaving: 0,
            leaving_by_large: 0,
            leaving_connections: 0,
        }
    }

    /// Returns the maximum bytes that a single request may hold.
    pub fn max_request_bytes(&self) -> usize {
        (self.limits.bytes as f64 * LARGE_FRACTION) as usize
    }

    /// Returns the bytes that are held.
    pub fn held(&self) -> usize {
        self.held
    }

    /// Returns the number of connections.
    pub fn connections(&self) -> usize {
        self.holders.len()
    }

    /// Returns whether evicted connections are still open.
    pub fn is_evicting(&self) -> bool {
        self.leaving_connections > 0
    }

    /// Adds a connection; `None` if there are too many, and none that may be closed for it.
    pub fn open(&mut self, now: Instant) -> Option<Opened> {
        let staying = self.holders.len() - self.leaving_connections;
        let evicted = match staying < self.limits.connections {
            true => Vec::new(),
            false => self.connections_to_close(now),
        };
        if staying >= self.limits.connections && evicted.is_empty() {
            return None;
        }
        for victim in &evicted {
            self.evict(*victim);
        }
        let id = HolderId(self.next_id);
        self.next_id += 1;
        let holder = Holder {
            phase: Phase::Idle,
            has_sent: false,
            bytes: 0,
            progress_at: now,
            progress_bytes: 0,
        };
        self.holders.insert(id, holder);
        Some(Opened { id, evicted })
    }

    /// Removes a connection and what it holds.
    pub fn close(&mut self, id: HolderId) {
        self.set_bytes(id, 0);
        if self.holders[&id].phase == Phase::Evicted {
            self.leaving_connections -= 1;
        }
        self.holders.remove(&id);
    }

    fn evict(&mut self, id: HolderId) {
        let holder = self.holders.get_mut(&id).expect("victims are open");
        holder.phase = Phase::Evicted;
        self.leaving_connections += 1;
        self.leaving += holder.bytes;
        if holder.is_large() {
            self.leaving_by_large += holder.bytes;
        }
    }

    /// Returns the connections to close for a new one: those that wait without a request, first those that never sent
    /// one, the longest waiting first; otherwise those whose request is stalled.
    fn connections_to_close(&self, now: Instant) -> Vec<HolderId> {
        let is_new = |holder: &Holder| !holder.has_sent && holder.stalled_for(now) < NEW_TIME;
        let mut waiting: Vec<(HolderId, &Holder)> = self
            .holders
            .iter()
            .filter(|(_, holder)| match holder.phase {
                Phase::Idle => !is_new(holder),
                Phase::Reading => holder.is_stalled(now),
                Phase::Serving | Phase::Evicted => false,
            })
            .map(|(id, holder)| (*id, holder))
            .collect();
        waiting.sort_by_key(|(id, holder)| {
            let is_reading = holder.phase == Phase::Reading;
            (is_reading, holder.has_sent, holder.progress_at, *id)
        });
        let count = (self.limits.connections / EVICTED_PART).max(1);
        waiting.iter().take(count).map(|(id, _)| *id).collect()
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
            holder.has_sent |= phase == Phase::Reading;
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
            self.evict(*victim);
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
            bytes: (self.held - holder.bytes + bytes).saturating_sub(self.limits.bytes),
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
        let spare = (self.limits.bytes as f64 * SPARE_FRACTION) as usize;
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
