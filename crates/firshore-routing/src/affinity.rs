//! A bounded, approximate index of the back ends that hold a prompt prefix in their cache.
//!
//! Entries come from the requests that this node sends and from the engines' cache events, which
//! may be late or missing. A wrong entry affects latency only: the engine processes the prefix
//! again. Block hashes are chained, so the hash of a block identifies the whole prompt up to that
//! block. A lookup probes a fixed set of depths, deepest first, which bounds its cost for long
//! prompts.

use crate::endpoint::EndpointIndex;

/// Maximum number of back ends stored for one block.
pub const HOLDERS_PER_BLOCK: usize = 4;

/// Entries per bucket.
const WAYS: usize = 4;

/// Default number of buckets: 2 MiB at four entries of 16 bytes per bucket.
pub const DEFAULT_BUCKETS: usize = 32_768;

/// Prefix lengths, in blocks, that are stored and looked up.
const INDEXED_DEPTHS: [usize; 16] = [1, 2, 3, 4, 6, 8, 12, 16, 24, 32, 48, 64, 96, 128, 192, 256];

/// Marks an unused position in [`Entry::holders`].
const NO_HOLDER: u16 = u16::MAX;

#[derive(Clone, Copy, Debug)]
struct Entry {
    hash: u64,
    holders: [u16; HOLDERS_PER_BLOCK],
}

const EMPTY_ENTRY: Entry = Entry {
    hash: 0,
    holders: [NO_HOLDER; HOLDERS_PER_BLOCK],
};

/// The longest indexed prefix of a prompt and the back ends that probably hold it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PrefixMatch {
    /// Length of the prefix in blocks; 0 if no prefix was found.
    pub blocks: usize,
    holders: [Option<EndpointIndex>; HOLDERS_PER_BLOCK],
}

impl PrefixMatch {
    /// Returns the back ends that probably hold the prefix, most recently recorded first.
    pub fn holders(&self) -> impl Iterator<Item = EndpointIndex> + '_ {
        self.holders.iter().flatten().copied()
    }

    /// Returns the number of blocks that `endpoint` probably holds: all or none.
    pub fn blocks_at(&self, endpoint: EndpointIndex) -> usize {
        let holds = self.holders().any(|holder| holder == endpoint);
        if holds { self.blocks } else { 0 }
    }
}

/// A set-associative index from block hash to back ends, with LRU eviction within each bucket.
#[derive(Debug)]
pub struct AffinityIndex {
    buckets: Vec<[Entry; WAYS]>,
}

impl AffinityIndex {
    /// Creates an empty index with `buckets` buckets, rounded up to a power of two.
    pub fn new(buckets: usize) -> Self {
        Self {
            buckets: vec![[EMPTY_ENTRY; WAYS]; buckets.next_power_of_two()],
        }
    }

    fn bucket_index(&self, hash: u64) -> usize {
        hash as usize & (self.buckets.len() - 1)
    }

    fn find(&self, hash: u64) -> Option<&Entry> {
        let bucket = &self.buckets[self.bucket_index(hash)];
        bucket
            .iter()
            .find(|entry| entry.hash == hash && entry.holders[0] != NO_HOLDER)
    }

    /// Returns the longest indexed prefix of the prompt with the chained block hashes `blocks`.
    pub fn lookup(&self, blocks: &[u64]) -> PrefixMatch {
        let depths = INDEXED_DEPTHS
            .iter()
            .rev()
            .filter(|depth| **depth <= blocks.len());
        for depth in depths {
            if let Some(entry) = self.find(blocks[depth - 1]) {
                let holder = |raw: u16| (raw != NO_HOLDER).then_some(EndpointIndex(raw));
                return PrefixMatch {
                    blocks: *depth,
                    holders: entry.holders.map(holder),
                };
            }
        }
        PrefixMatch::default()
    }

    /// Records that a prompt with the block hashes `blocks` was sent to `endpoint`.
    pub fn record_sent(&mut self, blocks: &[u64], endpoint: EndpointIndex) {
        let depths = INDEXED_DEPTHS
            .iter()
            .filter(|depth| **depth <= blocks.len());
        for depth in depths {
            self.record_stored(blocks[depth - 1], endpoint);
        }
    }

    /// Records that `endpoint` holds the block with this hash.
    pub fn record_stored(&mut self, hash: u64, endpoint: EndpointIndex) {
        let position = self.bucket_index(hash);
        let bucket = &mut self.buckets[position];
        let found = bucket
            .iter()
            .position(|entry| entry.hash == hash && entry.holders[0] != NO_HOLDER);
        let way = found.unwrap_or(WAYS - 1);
        if found.is_none() {
            bucket[way] = Entry {
                hash,
                ..EMPTY_ENTRY
            };
        }
        let holders = &mut bucket[way].holders;
        let existing = holders.iter().position(|holder| *holder == endpoint.0);
        holders[..=existing.unwrap_or(HOLDERS_PER_BLOCK - 1)].rotate_right(1);
        holders[0] = endpoint.0;
        bucket[..=way].rotate_right(1);
    }

    /// Records that `endpoint` no longer holds the block with this hash.
    pub fn record_evicted(&mut self, hash: u64, endpoint: EndpointIndex) {
        let position = self.bucket_index(hash);
        for entry in &mut self.buckets[position] {
            if entry.hash == hash {
                remove_holder(&mut entry.holders, endpoint);
            }
        }
    }

    /// Removes `endpoint` from all entries, for a back end whose events had a gap or which was
    /// replaced.
    pub fn remove_endpoint(&mut self, endpoint: EndpointIndex) {
        for bucket in &mut self.buckets {
            for entry in bucket {
                remove_holder(&mut entry.holders, endpoint);
            }
        }
    }
}

fn remove_holder(holders: &mut [u16; HOLDERS_PER_BLOCK], endpoint: EndpointIndex) {
    if let Some(position) = holders.iter().position(|holder| *holder == endpoint.0) {
        holders[position..].rotate_left(1);
        holders[HOLDERS_PER_BLOCK - 1] = NO_HOLDER;
    }
}
