//! What is due, in order of time.

use super::network::Datagram;
use firshore_config::history::Record;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Something that happens at a time.
#[derive(Debug)]
pub enum Event {
    /// A node's membership is due to step.
    MembershipTick(Target),
    /// A node's configuration dissemination is due to step.
    ConfigurationTick(Target),
    /// A frame arrives.
    Arrival(Datagram),
    /// The object API answers a watch; `None` when it failed.
    ObjectsAnswer(Target, Option<Vec<Record>>),
    /// A watch of the object API that began at this time ends without news.
    WatchEnd(Target, u64),
    /// An operator's change is committed in the object API.
    Change,
    /// The node that wrote a change learns that it is committed.
    Written(Target, Record),
    /// A node is killed.
    Crash,
    /// A node is told to stop.
    PlannedRestart,
    /// A node that was told to stop has stopped.
    Stopped(Target),
    /// A new process starts in this place.
    Start(usize),
    /// A node is paused.
    Pause,
    /// A paused node goes on.
    Resume(Target),
    /// The region cut begins or ends.
    RegionCut(bool),
    /// The outage of the object API begins or ends.
    ObjectOutage(bool),
}

/// One run of the process in one place; what was meant for an earlier run is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Target {
    /// Place.
    pub place: usize,
    /// Run.
    pub generation: u64,
}

#[derive(Debug)]
struct Due {
    at: u64,
    number: u64,
    event: Event,
}

impl PartialEq for Due {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.number) == (other.at, other.number)
    }
}

impl Eq for Due {}

impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Due {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

/// Events by time; those of one millisecond in the order in which they were added.
#[derive(Debug, Default)]
pub struct Events {
    heap: BinaryHeap<Reverse<Due>>,
    added: u64,
}

impl Events {
    /// Adds an event at `at` (milliseconds).
    pub fn add(&mut self, at: u64, event: Event) {
        self.added += 1;
        let number = self.added;
        self.heap.push(Reverse(Due { at, number, event }));
    }

    /// The next event before `end`, with its time.
    pub fn next_before(&mut self, end: u64) -> Option<(u64, Event)> {
        if self.heap.peek()?.0.at >= end {
            return None;
        }
        let due = self.heap.pop()?.0;
        Some((due.at, due.event))
    }
}
