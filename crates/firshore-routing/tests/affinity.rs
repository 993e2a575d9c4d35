//! The prefix index is bounded, may lose entries, and never overloads a back end.

mod support;

use firshore_routing::affinity::AffinityIndex;
use firshore_routing::balance::Features;
use firshore_routing::endpoint::{EndpointIndex, Outcome};
use firshore_types::hash::prompt_block_hashes;
use support::{machines, pool, random, router_of};

fn prompt(name: &str, words: usize) -> Vec<u64> {
    let text: Vec<String> = (0..words).map(|word| format!("{name}{word}")).collect();
    prompt_block_hashes(&text.join(" "))
}

#[test]
fn the_deepest_known_prefix_is_found() {
    let mut index = AffinityIndex::new(64);
    let long = prompt("p", 16 * 20);
    index.sent(&long[..4], EndpointIndex(1));
    index.sent(&long[..16], EndpointIndex(2));
    let found = index.lookup(&long);
    assert_eq!(found.blocks, 16);
    assert_eq!(found.holders().collect::<Vec<_>>(), [EndpointIndex(2)]);
    let shallow = index.lookup(&long[..5]);
    assert_eq!(shallow.blocks, 4);
    assert_eq!(shallow.blocks_at(EndpointIndex(1)), 4);
    assert_eq!(shallow.blocks_at(EndpointIndex(9)), 0);
    assert_eq!(index.lookup(&prompt("q", 64)).blocks, 0);
}

#[test]
fn events_late_repeated_or_missing_cost_only_knowledge() {
    let mut index = AffinityIndex::new(64);
    let blocks = prompt("p", 64);
    index.stored(blocks[0], EndpointIndex(3));
    index.stored(blocks[0], EndpointIndex(3));
    index.evicted(blocks[1], EndpointIndex(3));
    assert_eq!(index.lookup(&blocks).blocks_at(EndpointIndex(3)), 1);
    index.evicted(blocks[0], EndpointIndex(3));
    index.evicted(blocks[0], EndpointIndex(3));
    assert_eq!(index.lookup(&blocks).blocks, 0);
    index.sent(&blocks, EndpointIndex(4));
    index.forget(EndpointIndex(4));
    assert_eq!(index.lookup(&blocks).blocks, 0);
}

#[test]
fn old_entries_give_way_when_full() {
    let mut index = AffinityIndex::new(4);
    for number in 0..10_000 {
        index.sent(&prompt(&format!("p{number}-"), 16), EndpointIndex(0));
    }
    assert_eq!(index.lookup(&prompt("p9999-", 16)).blocks, 1);
    assert_eq!(index.lookup(&prompt("p0-", 16)).blocks, 0);
}

#[test]
fn an_idle_fleet_follows_the_prefix() {
    let mut router = router_of(&machines(20, "a"));
    let blocks = prompt("p", 1600);
    let features = Features {
        prompt_tokens: 1600,
        blocks: &blocks,
        tried: &[],
    };
    let mut random = random();
    let mut homes = std::collections::BTreeSet::new();
    for now in 0..50 {
        let sent = router
            .choose(now, &[&pool()], features, &mut random)
            .unwrap();
        router.ended(now, &sent, Outcome::Completed);
        homes.insert(sent.endpoint);
    }
    assert_eq!(homes.len(), 1, "{homes:?}");
}

#[test]
fn a_popular_prefix_does_not_overload_one_engine() {
    let mut router = router_of(&machines(20, "a"));
    let blocks = prompt("p", 320);
    let features = Features {
        prompt_tokens: 330,
        blocks: &blocks,
        tried: &[],
    };
    let mut random = random();
    let mut counts = [0; 20];
    for _ in 0..400 {
        let sent = router.choose(0, &[&pool()], features, &mut random).unwrap();
        counts[usize::from(sent.endpoint.0)] += 1;
    }
    // The mean is 20.
    assert!(counts.iter().all(|count| *count <= 40), "{counts:?}");
}
