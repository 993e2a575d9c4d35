//! Prefix cache: blocks of prompts, shared between runs, evicted least recently used first.

use crate::engine_model::{EngineSettings, Microseconds};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize, Serializer};
use std::collections::{BTreeMap, HashMap, VecDeque};

/// What happened to a block.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CacheEventKind {
    /// The block is in the cache now.
    Stored,
    /// The block was evicted.
    Evicted,
}

/// One published event.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct CacheEvent {
    /// Position in the engine's events, from 1.
    pub sequence: u64,
    /// What happened.
    pub kind: CacheEventKind,
    /// The block's hash, in hexadecimal.
    #[serde(serialize_with = "hexadecimal")]
    pub block: u64,
}

fn hexadecimal<S: Serializer>(block: &u64, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_str(&format!("{block:016x}"))
}

/// Events after a position.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct CachePage {
    /// Events in order.
    pub events: Vec<CacheEvent>,
    /// Position to ask from next.
    pub next: u64,
    /// Whether events are missing in this page.
    pub gap: bool,
}

struct Published {
    event: CacheEvent,
    visible_at: Microseconds,
    lost: bool,
}

struct Block {
    users: u32,
    last_used: u64,
}

/// The cache. Blocks in use by a run cannot be evicted.
pub(crate) struct PrefixCache {
    blocks: HashMap<u64, Block>,
    unused: BTreeMap<u64, u64>,
    tick: u64,
    events: VecDeque<Published>,
    sequence: u64,
    random: ChaCha8Rng,
}

impl PrefixCache {
    pub(crate) fn new(random: ChaCha8Rng) -> Self {
        Self {
            blocks: HashMap::new(),
            unused: BTreeMap::new(),
            tick: 0,
            events: VecDeque::new(),
            sequence: 0,
            random,
        }
    }

    /// Blocks held, in use or not.
    pub(crate) fn len(&self) -> u32 {
        self.blocks.len() as u32
    }

    /// Blocks that no run uses.
    pub(crate) fn evictable(&self) -> u32 {
        self.unused.len() as u32
    }

    /// How many of the first blocks are held.
    pub(crate) fn hits(&self, blocks: &[u64]) -> usize {
        blocks
            .iter()
            .take_while(|block| self.blocks.contains_key(block))
            .count()
    }

    /// How many of `blocks` are held but unused.
    pub(crate) fn unused_among(&self, blocks: &[u64]) -> u32 {
        let unused = |block: &&u64| self.blocks.get(block).is_some_and(|held| held.users == 0);
        blocks.iter().filter(unused).count() as u32
    }

    /// Marks a held block as used by one more run.
    pub(crate) fn pin(&mut self, block: u64) {
        if let Some(held) = self.blocks.get_mut(&block) {
            if held.users == 0 {
                self.unused.remove(&held.last_used);
            }
            held.users += 1;
        }
    }

    /// Ends the use of `blocks`, a prefix in order. Its end becomes older than its start, so
    /// that eviction shortens a prefix rather than cutting its head off.
    pub(crate) fn unpin(&mut self, blocks: &[u64]) {
        for block in blocks.iter().rev() {
            self.tick += 1;
            let Some(held) = self.blocks.get_mut(block) else {
                continue;
            };
            held.users = held.users.saturating_sub(1);
            if held.users == 0 {
                held.last_used = self.tick;
                self.unused.insert(self.tick, *block);
            }
        }
    }

    /// Stores a block for one run. Returns whether it was new; one already held is shared.
    pub(crate) fn store(
        &mut self,
        now: Microseconds,
        block: u64,
        settings: &EngineSettings,
    ) -> bool {
        if self.blocks.contains_key(&block) {
            self.pin(block);
            return false;
        }
        let held = Block {
            users: 1,
            last_used: 0,
        };
        self.blocks.insert(block, held);
        self.publish(now, CacheEventKind::Stored, block, settings);
        true
    }

    /// Evicts the least recently used block; `false` when all are in use.
    pub(crate) fn evict(&mut self, now: Microseconds, settings: &EngineSettings) -> bool {
        let Some((_, block)) = self.unused.pop_first() else {
            return false;
        };
        self.blocks.remove(&block);
        self.publish(now, CacheEventKind::Evicted, block, settings);
        true
    }

    fn publish(
        &mut self,
        now: Microseconds,
        kind: CacheEventKind,
        block: u64,
        settings: &EngineSettings,
    ) {
        self.sequence += 1;
        let event = CacheEvent {
            sequence: self.sequence,
            kind,
            block,
        };
        self.events.push_back(Published {
            event,
            visible_at: now + settings.scaled(settings.cache_event_lag),
            lost: self.random.random_bool(settings.cache_event_loss),
        });
        if self.events.len() > settings.cache_event_limit {
            self.events.pop_front();
        }
    }

    /// Events after `after` that are visible at `now`.
    pub(crate) fn events_after(&self, now: Microseconds, after: u64) -> CachePage {
        let oldest = self.events.front().map(|first| first.event.sequence);
        let mut page = CachePage {
            next: after,
            gap: oldest.is_some_and(|oldest| oldest > after + 1),
            ..CachePage::default()
        };
        let visible = self
            .events
            .iter()
            .filter(|one| one.event.sequence > after)
            .take_while(|one| one.visible_at <= now);
        for published in visible {
            page.next = published.event.sequence;
            page.gap |= published.lost;
            if !published.lost {
                page.events.push(published.event.clone());
            }
        }
        page
    }
}
