//! Tests that the prefix index is bounded, tolerates missing events, and does not overload a back
//! end.

mod support;

use firshore_routing::affinity::AffinityIndex;
use firshore_routing::balance::RequestFeatures;
use firshore_routing::endpoint::{EndpointIndex, Outcome};
use firshore_types::hash::prompt_block_hashes;
use support::{machines, pool_selector, random, router_of};

fn prompt(name: &str, words: usize) -> Vec<u64> {
    let text: Vec<String> = (0..words).map(|word| format!("{name}{word}")).collect();
    prompt_block_hashes(&text.join(" "))
}

#[test]
fn lookup_returns_longest_indexed_prefix() {
    let mut index = AffinityIndex::new(64);
    let blocks = prompt("p", 16 * 20);
    index.record_sent(&blocks[..4], EndpointIndex(1));
    index.record_sent(&blocks[..16], EndpointIndex(2));
    let found = index.lookup(&blocks);
    assert_eq!(found.blocks, 16);
    assert_eq!(found.holders().collect::<Vec<_>>(), [EndpointIndex(2)]);
    let shallow = index.lookup(&blocks[..5]);
    assert_eq!(shallow.blocks, 4);
    assert_eq!(shallow.blocks_at(EndpointIndex(1)), 4);
    assert_eq!(shallow.blocks_at(EndpointIndex(9)), 0);
    assert_eq!(index.lookup(&prompt("q", 64)).blocks, 0);
}

#[test]
fn index_tolerates_repeated_and_missing_events() {
    let mut index = AffinityIndex::new(64);
    let blocks = prompt("p", 64);
    index.record_stored(blocks[0], EndpointIndex(3));
    index.record_stored(blocks[0], EndpointIndex(3));
    index.record_evicted(blocks[1], EndpointIndex(3));
    assert_eq!(index.lookup(&blocks).blocks_at(EndpointIndex(3)), 1);
    index.record_evicted(blocks[0], EndpointIndex(3));
    index.record_evicted(blocks[0], EndpointIndex(3));
    assert_eq!(index.lookup(&blocks).blocks, 0);
    index.record_sent(&blocks, EndpointIndex(4));
    index.remove_endpoint(EndpointIndex(4));
    assert_eq!(index.lookup(&blocks).blocks, 0);
}

#[test]
fn full_index_evicts_old_entries() {
    let mut index = AffinityIndex::new(4);
    for number in 0..10_000 {
        index.record_sent(&prompt(&format!("p{number}-"), 16), EndpointIndex(0));
    }
    assert_eq!(index.lookup(&prompt("p9999-", 16)).blocks, 1);
    assert_eq!(index.lookup(&prompt("p0-", 16)).blocks, 0);
}

#[test]
fn idle_fleet_sends_same_prefix_to_one_back_end() {
    let mut router = router_of(&machines(20, "a"));
    let blocks = prompt("p", 1600);
    let features = RequestFeatures {
        prompt_tokens: 1600,
        blocks: &blocks,
        tried: &[],
    };
    let mut random = random();
    let mut endpoints = std::collections::BTreeSet::new();
    for now in 0..50 {
        let sent = router
            .choose(now, &[&pool_selector()], features, &mut random)
            .unwrap();
        router.record_end(now, &sent, Outcome::Completed);
        endpoints.insert(sent.endpoint);
    }
    assert_eq!(endpoints.len(), 1, "{endpoints:?}");
}

#[test]
fn popular_prefix_does_not_overload_one_back_end() {
    let mut router = router_of(&machines(20, "a"));
    let blocks = prompt("p", 320);
    let features = RequestFeatures {
        prompt_tokens: 330,
        blocks: &blocks,
        tried: &[],
    };
    let mut random = random();
    let mut counts = [0; 20];
    for _ in 0..400 {
        let sent = router
            .choose(0, &[&pool_selector()], features, &mut random)
            .unwrap();
        counts[usize::from(sent.endpoint.0)] += 1;
    }
    // The mean is 20.
    assert!(counts.iter().all(|count| *count <= 40), "{counts:?}");
}
