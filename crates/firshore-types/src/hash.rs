//! Rendezvous hashing: every node computes the same owner for a key without talking.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Weight of `candidate` for `key`; the candidate with the highest weight owns the key.
pub fn rendezvous_weight(key: &str, candidate: u64) -> u64 {
    xxh3_64_with_seed(key.as_bytes(), candidate)
}

/// The candidate with the highest weight for `key`, or `None` when there is none. Ties, which
/// need a 64-bit collision, go to the larger candidate so that all nodes still agree.
pub fn rendezvous_owner(key: &str, candidates: impl IntoIterator<Item = u64>) -> Option<u64> {
    candidates
        .into_iter()
        .max_by_key(|candidate| (rendezvous_weight(key, *candidate), *candidate))
}

/// The `count` candidates with the highest weights for `key`, best first.
pub fn rendezvous_top(
    key: &str,
    candidates: impl IntoIterator<Item = u64>,
    count: usize,
) -> Vec<u64> {
    let mut all: Vec<u64> = candidates.into_iter().collect();
    all.sort_by_key(|candidate| {
        std::cmp::Reverse((rendezvous_weight(key, *candidate), *candidate))
    });
    all.truncate(count);
    all
}

/// Words of a prompt that make one cache block.
pub const WORDS_PER_BLOCK: usize = 16;

/// Hashes of a prompt's whole blocks, each covering all blocks before it, so that two prompts
/// share the first `n` hashes exactly when they share their first `n` blocks. A word stands for a
/// token, as in the engine's cache events.
pub fn prompt_block_hashes(prompt: &str) -> Vec<u64> {
    let words: Vec<&str> = prompt.split_whitespace().collect();
    let mut hashes = Vec::new();
    let mut previous = 0;
    for block in words.chunks_exact(WORDS_PER_BLOCK) {
        previous = xxh3_64_with_seed(block.join(" ").as_bytes(), previous);
        hashes.push(previous);
    }
    hashes
}
