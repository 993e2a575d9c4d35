//! Rendezvous hashing: all nodes compute the same owner of a key without communication.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the weight of `candidate` for `key`; the candidate with the highest weight owns the key.
pub fn rendezvous_weight(key: &str, candidate: u64) -> u64 {
    xxh3_64_with_seed(key.as_bytes(), candidate)
}

/// Returns the candidate with the highest weight for `key`, or `None` without candidates. A tie (a
/// 64-bit collision) goes to the larger candidate, so that all nodes agree.
pub fn rendezvous_owner(key: &str, candidates: impl IntoIterator<Item = u64>) -> Option<u64> {
    candidates
        .into_iter()
        .max_by_key(|candidate| (rendezvous_weight(key, *candidate), *candidate))
}

/// Returns the `count` candidates with the highest weights for `key`, in descending order.
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

/// Words of a prompt in one cache block.
pub const WORDS_PER_BLOCK: usize = 16;

/// Returns the hashes of a prompt's complete blocks. Each hash covers all previous blocks, so two
/// prompts share the first `n` hashes exactly if they share the first `n` blocks. One word counts as
/// one token, as in the engine's cache events.
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
