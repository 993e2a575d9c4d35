//! What items have produced, kept by nodes that may lead next, so that a new leader goes on where
//! the last one was. No I/O.
//!
//! Nothing here is promised: what is missing is made again. What is held is always the beginning of
//! an item's output, as the engine numbers its events.

use super::ItemKey;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// Bytes that the allocator and the container add to each event, about.
const EVENT_OVERHEAD_BYTES: usize = 40;

/// Memory that events take in bytes, about.
pub(super) fn event_bytes(events: &[String]) -> usize {
    let bytes: usize = events.iter().map(String::len).sum();
    bytes + events.len() * EVENT_OVERHEAD_BYTES
}

/// What an item has produced since it was told last.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProgressDelta {
    /// Job.
    #[serde(rename = "j")]
    pub job: String,
    /// Position of the item in the job.
    #[serde(rename = "i")]
    pub index: u32,
    /// Events that were told before.
    #[serde(rename = "o")]
    pub offset: usize,
    /// Data of the events since.
    #[serde(rename = "e")]
    pub events: Vec<String>,
    /// Number of the last event.
    #[serde(rename = "l")]
    pub last: Option<u64>,
}

/// How far a delta goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DeltaEnd {
    /// Item.
    pub key: ItemKey,
    /// Events that a node holds once it has taken the delta in.
    pub events: usize,
}

impl ProgressDelta {
    /// How far it goes.
    pub fn end(&self) -> DeltaEnd {
        DeltaEnd {
            key: (self.job.clone(), self.index),
            events: self.offset + self.events.len(),
        }
    }

    /// Size of its events in bytes.
    pub fn bytes(&self) -> usize {
        self.events.iter().map(String::len).sum()
    }
}

/// What one item has produced, as told by its leader.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HeldProgress {
    /// Data of its events.
    pub events: Vec<String>,
    /// Number of the last one.
    pub last: Option<u64>,
}

/// Progress that other nodes told.
#[derive(Clone, Debug, Default)]
pub struct HeldItems {
    items: HashMap<ItemKey, HeldProgress>,
}

impl HeldItems {
    /// Takes in what a leader told. Returns the items of which something before is missing: they
    /// have to be told from the start.
    pub fn apply(&mut self, deltas: Vec<ProgressDelta>) -> Vec<ItemKey> {
        let mut gaps = Vec::new();
        for delta in deltas {
            let key = (delta.job, delta.index);
            let held = self.items.entry(key.clone()).or_default();
            if delta.offset > held.events.len() {
                self.items.remove(&key);
                gaps.push(key);
                continue;
            }
            held.events.truncate(delta.offset);
            held.events.extend(delta.events);
            held.last = delta.last;
        }
        gaps
    }

    /// Forgets items that are not to be run any more.
    pub fn keep(&mut self, is_open: impl Fn(&ItemKey) -> bool) {
        self.items.retain(|key, _| is_open(key));
    }

    /// Memory that the held events take in bytes, about.
    pub fn held_bytes(&self) -> usize {
        let held = self.items.values();
        held.map(|held| event_bytes(&held.events)).sum()
    }

    /// Everything that is held.
    pub fn all(&self) -> HashMap<ItemKey, HeldProgress> {
        self.items.clone()
    }

    /// Everything that is held, as it would be told from the start.
    pub fn deltas(&self) -> Vec<ProgressDelta> {
        let items = self.items.iter().map(|(key, held)| ProgressDelta {
            job: key.0.clone(),
            index: key.1,
            offset: 0,
            events: held.events.clone(),
            last: held.last,
        });
        items.collect()
    }
}

/// How much of each item one other node has been told.
#[derive(Debug, Default)]
pub struct SentProgress {
    lengths: HashMap<ItemKey, usize>,
}

impl SentProgress {
    /// What the node has not been told of an item with these events.
    pub fn delta(
        &self,
        key: &ItemKey,
        events: &[String],
        last: Option<u64>,
    ) -> Option<ProgressDelta> {
        let offset = self.lengths.get(key).copied().unwrap_or(0);
        let rest = events.get(offset..).filter(|rest| !rest.is_empty())?;
        Some(ProgressDelta {
            job: key.0.clone(),
            index: key.1,
            offset,
            events: rest.to_vec(),
            last,
        })
    }

    /// What the node has not been told of these items, up to about `limit` bytes of events.
    pub fn deltas<'a>(
        &self,
        items: impl Iterator<Item = (&'a ItemKey, &'a [String], Option<u64>)>,
        limit: usize,
    ) -> Vec<ProgressDelta> {
        let mut bytes = 0;
        let untold = items.filter_map(|(key, events, last)| self.delta(key, events, last));
        let within_limit = untold.take_while(|delta| {
            let fits = bytes < limit;
            bytes += delta.bytes();
            fits
        });
        within_limit.collect()
    }

    /// The node has answered: it holds what was sent, but for the gaps that it names.
    pub fn acknowledge(&mut self, sent: Vec<DeltaEnd>, gaps: Vec<ItemKey>) {
        for one in sent {
            self.lengths.insert(one.key, one.events);
        }
        for key in gaps {
            self.lengths.remove(&key);
        }
    }

    /// Forgets items that are not to be run any more.
    pub fn keep(&mut self, is_open: impl Fn(&ItemKey) -> bool) {
        self.lengths.retain(|key, _| is_open(key));
    }
}
