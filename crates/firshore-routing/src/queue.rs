//! A bounded queue in strict order of priority, with deadlines.
//!
//! When it is full, the newest entry of the lowest priority makes way for one of a higher
//! priority. What is shed, expired or withdrawn leaves the queue in the same call, so that the
//! queue never holds a request that has been given up.

use firshore_types::declaration::Priority;
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// Longest time advised for coming back, in seconds.
const LONGEST_RETRY_AFTER_SECONDS: u64 = 30;

/// Weight of the latest pause between departures in their mean.
const DEPARTURE_WEIGHT: f32 = 0.1;

/// Names an entry for withdrawal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket {
    priority: Reverse<Priority>,
    number: u64,
}

#[derive(Debug)]
struct Entry<T> {
    deadline: u64,
    item: T,
}

/// What became of an arrival.
#[derive(Debug, PartialEq, Eq)]
pub enum Arrival<T> {
    /// It waits.
    Queued(Ticket),
    /// It waits, and this entry of a lower priority was shed for it.
    QueuedInPlaceOf(Ticket, T),
    /// The queue is full of entries at least as important: it is refused.
    Refused(T),
}

/// What leaves the queue when there is room for one.
#[derive(Debug, PartialEq, Eq)]
pub struct Departure<T> {
    /// The next to run.
    pub next: Option<T>,
    /// Entries whose deadline has passed.
    pub expired: Vec<T>,
}

/// The queue.
#[derive(Debug)]
pub struct AdmissionQueue<T> {
    capacity: usize,
    entries: BTreeMap<Ticket, Entry<T>>,
    arrivals: u64,
    last_departure: u64,
    mean_pause: f32,
}

impl<T> AdmissionQueue<T> {
    /// An empty queue of at most `capacity` entries.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            entries: BTreeMap::new(),
            arrivals: 0,
            last_departure: 0,
            mean_pause: 0.0,
        }
    }

    /// Entries waiting.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Takes in an arrival that is given up at `deadline` (milliseconds).
    pub fn arrive(&mut self, priority: Priority, deadline: u64, item: T) -> Arrival<T> {
        self.arrivals += 1;
        let ticket = Ticket {
            priority: Reverse(priority),
            number: self.arrivals,
        };
        if self.entries.len() < self.capacity {
            self.entries.insert(ticket, Entry { deadline, item });
            return Arrival::Queued(ticket);
        }
        match self.entries.last_entry() {
            Some(last) if last.key().priority > ticket.priority => {
                let shed = last.remove().item;
                self.entries.insert(ticket, Entry { deadline, item });
                Arrival::QueuedInPlaceOf(ticket, shed)
            }
            _ => Arrival::Refused(item),
        }
    }

    /// Takes out the most important entry that is still wanted at `now`.
    pub fn depart(&mut self, now: u64) -> Departure<T> {
        let mut expired = Vec::new();
        while let Some((_, entry)) = self.entries.pop_first() {
            if entry.deadline > now {
                self.count_departure(now);
                let next = Some(entry.item);
                return Departure { next, expired };
            }
            expired.push(entry.item);
        }
        Departure {
            next: None,
            expired,
        }
    }

    fn count_departure(&mut self, now: u64) {
        let pause = now.saturating_sub(self.last_departure) as f32;
        self.mean_pause += DEPARTURE_WEIGHT * (pause - self.mean_pause);
        self.last_departure = now;
    }

    /// Takes out every entry whose deadline has passed at `now`.
    pub fn expire(&mut self, now: u64) -> Vec<T> {
        let late = self
            .entries
            .extract_if(.., |_, entry| entry.deadline <= now);
        late.map(|(_, entry)| entry.item).collect()
    }

    /// Takes out an entry whose caller has given up; `None` when it has left already.
    pub fn withdraw(&mut self, ticket: Ticket) -> Option<T> {
        self.entries.remove(&ticket).map(|entry| entry.item)
    }

    /// Seconds after which a refused caller finds the queue shorter, by the pace of departures.
    pub fn retry_after_seconds(&self) -> u32 {
        let drain = self.mean_pause * self.entries.len() as f32 / 1_000.0;
        (drain.ceil() as u64).clamp(1, LONGEST_RETRY_AFTER_SECONDS) as u32
    }
}
