//! Copies of items' events on other nodes, so that a new leader resumes items after their last event. No I/O.
//!
//! These copies are not durable: missing events are generated again. A copy is always a prefix of one text, whose
//! events the engine numbered: a delta is appended only if it names the text of the held events.

use super::ItemKey;
use firshore_adapter::text_origin::TextOrigin;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::fmt;

/// Approximate overhead of the allocator and the container per event.
const EVENT_OVERHEAD_BYTES: usize = 40;

/// Returns the approximate memory of events in bytes.
pub(super) fn event_bytes(events: &[String]) -> usize {
    let bytes: usize = events.iter().map(String::len).sum();
    bytes + events.len() * EVENT_OVERHEAD_BYTES
}

/// Identifies a sequence of an item's events that only grows, as one leader holds it: drawn at random for each run from
/// the beginning and at each takeover. A [`TextOrigin`] says who may continue a text, and is the same for two runs at
/// one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TextId(pub u64);

impl fmt::Display for TextId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

/// Events of an item since the last report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProgressDelta {
    /// Identifier of the job.
    #[serde(rename = "j")]
    pub job: String,
    /// Position of the item in the job.
    #[serde(rename = "i")]
    pub index: u32,
    /// Number of events reported before.
    #[serde(rename = "o")]
    pub offset: usize,
    /// Data of the new events.
    #[serde(rename = "e")]
    pub events: Vec<String>,
    /// Engine's number of the last event.
    #[serde(rename = "l")]
    pub last: Option<u64>,
    /// What produced the first event. Reports of earlier versions don't have it: nothing may continue these events.
    #[serde(rename = "v", default, skip_serializing_if = "Option::is_none")]
    pub origin: Option<TextOrigin>,
    /// Text of the events. Reports of earlier versions don't name it.
    #[serde(rename = "x", default, skip_serializing_if = "Option::is_none")]
    pub text: Option<TextId>,
}

/// End of a delta.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DeltaEnd {
    /// Key of the item.
    pub key: ItemKey,
    /// Number of events that a node holds after it applied the delta.
    pub events: usize,
    /// Their text.
    pub text: Option<TextId>,
}

impl ProgressDelta {
    /// Returns the end of this delta.
    pub fn end(&self) -> DeltaEnd {
        DeltaEnd {
            key: (self.job.clone(), self.index),
            events: self.offset + self.events.len(),
            text: self.text,
        }
    }

    /// Returns whether the events continue held ones. A text that is not named is like no other.
    fn continues(&self, held: &HeldProgress) -> bool {
        let is_same_text = self.text.is_some() && self.text == held.text;
        is_same_text && self.origin == held.origin && self.offset <= held.events.len()
    }

    /// Returns the size of the events in bytes.
    pub fn bytes(&self) -> usize {
        self.events.iter().map(String::len).sum()
    }
}

/// Copy of the events of one item, as reported by the leader.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HeldProgress {
    /// Data of the events.
    pub events: Vec<String>,
    /// Engine's number of the last event.
    pub last: Option<u64>,
    /// What produced the first event, if known.
    pub origin: Option<TextOrigin>,
    /// Text of the events, if its leader named it.
    pub text: Option<TextId>,
}

/// Copies of the events of all items.
#[derive(Clone, Debug, Default)]
pub struct HeldItems {
    items: HashMap<ItemKey, HeldProgress>,
}

impl HeldItems {
    /// Applies a leader's deltas. Returns the items of which earlier events are missing: the leader has to
    /// report them from the start. What is held of these stays: it is a prefix of a text by itself.
    pub fn apply(&mut self, deltas: Vec<ProgressDelta>) -> Vec<ItemKey> {
        let mut gaps = Vec::new();
        for delta in deltas {
            let key = delta.end().key;
            let held = self.items.get(&key);
            let continues = held.is_some_and(|held| delta.continues(held));
            if delta.offset > 0 && !continues {
                gaps.push(key);
                continue;
            }
            let held = self.items.entry(key).or_default();
            held.events.truncate(delta.offset);
            held.events.extend(delta.events);
            held.last = delta.last;
            held.origin = delta.origin;
            held.text = delta.text;
        }
        gaps
    }

    /// Removes items that are no longer open.
    pub fn retain(&mut self, is_open: impl Fn(&ItemKey) -> bool) {
        self.items.retain(|key, _| is_open(key));
    }

    /// Returns the approximate memory of the held events in bytes.
    pub fn held_bytes(&self) -> usize {
        let held = self.items.values();
        held.map(|held| event_bytes(&held.events)).sum()
    }

    /// Returns a copy of all items.
    pub fn all(&self) -> HashMap<ItemKey, HeldProgress> {
        self.items.clone()
    }

    /// Returns all items as deltas from the start.
    pub fn deltas(&self) -> Vec<ProgressDelta> {
        let items = self.items.iter().map(|(key, held)| ProgressDelta {
            job: key.0.clone(),
            index: key.1,
            offset: 0,
            events: held.events.clone(),
            last: held.last,
            origin: held.origin.clone(),
            text: held.text,
        });
        items.collect()
    }
}

/// Events of an item, as its runner holds them.
#[derive(Clone, Copy, Debug)]
pub struct HeldEvents<'a> {
    /// Data of the events.
    pub events: &'a [String],
    /// Engine's number of the last event.
    pub last: Option<u64>,
    /// What produced the first event, if known.
    pub origin: Option<&'a TextOrigin>,
    /// Text of the events; `None` if there are none.
    pub text: Option<TextId>,
}

/// Events of an item that were sent to one other node.
#[derive(Clone, Debug, PartialEq, Eq)]
struct SentEvents {
    count: usize,
    text: Option<TextId>,
}

/// Events of each item that were sent to one other node.
#[derive(Debug, Default)]
pub struct SentProgress {
    sent: HashMap<ItemKey, SentEvents>,
}

impl SentProgress {
    /// Returns the events of an item that were not sent yet, or `None` if there are none. Another text than the one that
    /// was sent is sent from the start.
    pub fn delta(&self, key: &ItemKey, held: HeldEvents<'_>) -> Option<ProgressDelta> {
        let sent = self.sent.get(key);
        let sent = sent.filter(|sent| sent.text == held.text);
        let offset = sent.map_or(0, |sent| sent.count);
        let rest = held.events.get(offset..).filter(|rest| !rest.is_empty())?;
        Some(ProgressDelta {
            job: key.0.clone(),
            index: key.1,
            offset,
            events: rest.to_vec(),
            last: held.last,
            origin: held.origin.cloned(),
            text: held.text,
        })
    }

    /// Returns the events of these items that were not sent yet, up to about `limit` bytes.
    pub fn deltas<'a>(
        &self,
        items: impl Iterator<Item = (&'a ItemKey, HeldEvents<'a>)>,
        limit: usize,
    ) -> Vec<ProgressDelta> {
        let mut bytes = 0;
        let unsent = items.filter_map(|(key, held)| self.delta(key, held));
        let within_limit = unsent.take_while(|delta| {
            let fits = bytes < limit;
            bytes += delta.bytes();
            fits
        });
        within_limit.collect()
    }

    /// Records the node's response: it holds the sent events, except those of items with gaps.
    pub fn acknowledge(&mut self, sent: Vec<DeltaEnd>, gaps: Vec<ItemKey>) {
        for end in sent {
            let events = SentEvents {
                count: end.events,
                text: end.text,
            };
            self.sent.insert(end.key, events);
        }
        for key in gaps {
            self.sent.remove(&key);
        }
    }

    /// Removes items that are no longer open.
    pub fn retain(&mut self, is_open: impl Fn(&ItemKey) -> bool) {
        self.sent.retain(|key, _| is_open(key));
    }
}
