//! Which back ends probably hold which prompt prefixes: a bounded index that may be wrong.
//!
//! Fed by this node's own sends and by engines' cache events, which are late and have gaps. A
//! wrong entry costs only time: the engine processes the prompt anew. Hashes are chained, so a
//! block's hash stands for the whole prompt up to it; a lookup probes a ladder of depths, deepest
//! first, which bounds its cost for long prompts.

use crate::endpoint::EndpointIndex;

/// Back ends remembered for one block.
pub const HOLDERS: usize = 4;

/// Entries that share one bucket.
const WAYS: usize = 4;

/// Buckets by default; with four entries of 16 bytes each, 2 MiB.
pub const DEFAULT_BUCKETS: usize = 32_768;

/// Depths in blocks at which prefixes are remembered and looked up.
const LADDER: [usize; 16] = [1, 2, 3, 4, 6, 8, 12, 16, 24, 32, 48, 64, 96, 128, 192, 256];

const NONE: u16 = u16::MAX;

#[derive(Clone, Copy, Debug)]
struct Entry {
    hash: u64,
    holders: [u16; HOLDERS],
}

const EMPTY: Entry = Entry {
    hash: 0,
    holders: [NONE; HOLDERS],
};

/// The deepest known prefix of a prompt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Match {
    /// Blocks of the prompt that it covers.
    pub blocks: usize,
    holders: [Option<EndpointIndex>; HOLDERS],
}

impl Match {
    /// Back ends that probably hold it, the latest first.
    pub fn holders(&self) -> impl Iterator<Item = EndpointIndex> + '_ {
        self.holders.iter().flatten().copied()
    }

    /// Blocks that `endpoint` probably holds.
    pub fn blocks_at(&self, endpoint: EndpointIndex) -> usize {
        let held = self.holders().any(|holder| holder == endpoint);
        if held { self.blocks } else { 0 }
    }
}

/// The index.
#[derive(Debug)]
pub struct AffinityIndex {
    buckets: Vec<[Entry; WAYS]>,
}

impl AffinityIndex {
    /// An empty index of `buckets` buckets, rounded up to a power of two.
    pub fn new(buckets: usize) -> Self {
        Self {
            buckets: vec![[EMPTY; WAYS]; buckets.next_power_of_two()],
        }
    }

    fn bucket(&self, hash: u64) -> usize {
        hash as usize & (self.buckets.len() - 1)
    }

    fn find(&self, hash: u64) -> Option<&Entry> {
        let bucket = &self.buckets[self.bucket(hash)];
        bucket
            .iter()
            .find(|entry| entry.hash == hash && entry.holders[0] != NONE)
    }

    /// The deepest known prefix of the prompt with these chained block hashes.
    pub fn lookup(&self, blocks: &[u64]) -> Match {
        let depths = LADDER.iter().rev().filter(|depth| **depth <= blocks.len());
        for depth in depths {
            if let Some(entry) = self.find(blocks[depth - 1]) {
                let holder = |raw: u16| (raw != NONE).then_some(EndpointIndex(raw));
                return Match {
                    blocks: *depth,
                    holders: entry.holders.map(holder),
                };
            }
        }
        Match::default()
    }

    /// Notes that a prompt with these block hashes was sent to `endpoint`.
    pub fn sent(&mut self, blocks: &[u64], endpoint: EndpointIndex) {
        let depths = LADDER.iter().filter(|depth| **depth <= blocks.len());
        for depth in depths {
            self.stored(blocks[depth - 1], endpoint);
        }
    }

    /// Notes that `endpoint` holds the block.
    pub fn stored(&mut self, hash: u64, endpoint: EndpointIndex) {
        let position = self.bucket(hash);
        let bucket = &mut self.buckets[position];
        let found = bucket
            .iter()
            .position(|entry| entry.hash == hash && entry.holders[0] != NONE);
        let way = found.unwrap_or(WAYS - 1);
        if found.is_none() {
            bucket[way] = Entry { hash, ..EMPTY };
        }
        let holders = &mut bucket[way].holders;
        let known = holders.iter().position(|holder| *holder == endpoint.0);
        holders[..=known.unwrap_or(HOLDERS - 1)].rotate_right(1);
        holders[0] = endpoint.0;
        bucket[..=way].rotate_right(1);
    }

    /// Notes that `endpoint` no longer holds the block.
    pub fn evicted(&mut self, hash: u64, endpoint: EndpointIndex) {
        let position = self.bucket(hash);
        for entry in &mut self.buckets[position] {
            if entry.hash == hash {
                remove(&mut entry.holders, endpoint);
            }
        }
    }

    /// Forgets everything about `endpoint`, whose events had a gap or which was replaced.
    pub fn forget(&mut self, endpoint: EndpointIndex) {
        for bucket in &mut self.buckets {
            for entry in bucket {
                remove(&mut entry.holders, endpoint);
            }
        }
    }
}

fn remove(holders: &mut [u16; HOLDERS], endpoint: EndpointIndex) {
    if let Some(position) = holders.iter().position(|holder| *holder == endpoint.0) {
        holders[position..].rotate_left(1);
        holders[HOLDERS - 1] = NONE;
    }
}
