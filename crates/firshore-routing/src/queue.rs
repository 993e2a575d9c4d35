//! A bounded queue in strict priority order, with deadlines.
//!
//! When the queue is full, a request of a higher priority replaces the newest entry of the lowest
//! priority. Entries that are shed, expired or cancelled leave the queue in the same call, so that
//! they take up no capacity.

use firshore_types::declaration::Priority;
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// Maximum retry delay advised to refused callers, in seconds.
const MAX_RETRY_AFTER_SECONDS: u64 = 30;

/// Weight of the latest interval between dequeued entries in the moving average.
const INTERVAL_WEIGHT: f32 = 0.1;

/// Identifies an entry. Tickets sort in dequeue order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QueueTicket {
    priority: Reverse<Priority>,
    number: u64,
}

#[derive(Debug)]
struct Entry<T> {
    deadline: u64,
    item: T,
}

/// The result of [`AdmissionQueue::enqueue`].
#[derive(Debug, PartialEq, Eq)]
pub enum EnqueueResult<T> {
    /// The item was queued.
    Queued(QueueTicket),
    /// The item was queued, and this item of a lower priority was shed.
    QueuedInPlaceOf(QueueTicket, T),
    /// The item was refused: the queue is full and no entry has a lower priority.
    Refused(T),
}

/// The result of [`AdmissionQueue::dequeue`].
#[derive(Debug, PartialEq, Eq)]
pub struct DequeueResult<T> {
    /// The next item to run.
    pub next: Option<T>,
    /// Items removed because their deadline has passed.
    pub expired: Vec<T>,
}

/// A bounded priority queue of requests that wait for capacity. Times are in milliseconds.
#[derive(Debug)]
pub struct AdmissionQueue<T> {
    capacity: usize,
    entries: BTreeMap<QueueTicket, Entry<T>>,
    last_number: u64,
    last_dequeue: u64,
    mean_interval: f32,
}

impl<T> AdmissionQueue<T> {
    /// Creates an empty queue for at most `capacity` entries.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            entries: BTreeMap::new(),
            last_number: 0,
            last_dequeue: 0,
            mean_interval: 0.0,
        }
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the queue has no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Adds an item that expires at `deadline`, if there is capacity or a lower-priority entry to
    /// shed.
    pub fn enqueue(&mut self, priority: Priority, deadline: u64, item: T) -> EnqueueResult<T> {
        self.last_number += 1;
        let ticket = QueueTicket {
            priority: Reverse(priority),
            number: self.last_number,
        };
        if self.entries.len() < self.capacity {
            self.entries.insert(ticket, Entry { deadline, item });
            return EnqueueResult::Queued(ticket);
        }
        match self.entries.last_entry() {
            Some(last) if last.key().priority > ticket.priority => {
                let shed = last.remove().item;
                self.entries.insert(ticket, Entry { deadline, item });
                EnqueueResult::QueuedInPlaceOf(ticket, shed)
            }
            _ => EnqueueResult::Refused(item),
        }
    }

    /// Removes the oldest entry of the highest priority that has not expired at `now`, and all
    /// expired entries before it.
    pub fn dequeue(&mut self, now: u64) -> DequeueResult<T> {
        let mut expired = Vec::new();
        while let Some((_, entry)) = self.entries.pop_first() {
            if entry.deadline > now {
                self.record_dequeue(now);
                let next = Some(entry.item);
                return DequeueResult { next, expired };
            }
            expired.push(entry.item);
        }
        DequeueResult {
            next: None,
            expired,
        }
    }

    fn record_dequeue(&mut self, now: u64) {
        let interval = now.saturating_sub(self.last_dequeue) as f32;
        self.mean_interval += INTERVAL_WEIGHT * (interval - self.mean_interval);
        self.last_dequeue = now;
    }

    /// Removes and returns all entries whose deadline has passed at `now`.
    pub fn remove_expired(&mut self, now: u64) -> Vec<T> {
        let expired = self
            .entries
            .extract_if(.., |_, entry| entry.deadline <= now);
        expired.map(|(_, entry)| entry.item).collect()
    }

    /// Removes an entry whose caller has cancelled. Returns `None` if it has already left the queue.
    pub fn remove(&mut self, ticket: QueueTicket) -> Option<T> {
        self.entries.remove(&ticket).map(|entry| entry.item)
    }

    /// Returns the estimated time to drain the queue at the recent dequeue rate, in seconds, from 1
    /// to 30.
    pub fn retry_after_seconds(&self) -> u32 {
        let drain_seconds = self.mean_interval * self.entries.len() as f32 / 1_000.0;
        (drain_seconds.ceil() as u64).clamp(1, MAX_RETRY_AFTER_SECONDS) as u32
    }
}
