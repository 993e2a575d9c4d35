//! Rendezvous ownership and the hashes of prompt blocks.

use firshore_types::hash::{
    WORDS_PER_BLOCK, prompt_block_hashes, rendezvous_owner, rendezvous_top,
};

#[test]
fn removing_a_candidate_moves_only_its_own_keys() {
    let keys: Vec<String> = (0..200).map(|number| format!("engine-{number}")).collect();
    for key in &keys {
        let before = rendezvous_owner(key, 1..=5).unwrap();
        let after = rendezvous_owner(key, 1..=4).unwrap();
        assert!(
            before == after || before == 5,
            "{key} moved from {before} to {after}"
        );
    }
}

#[test]
fn the_owner_is_the_first_of_the_top() {
    for number in 0..50 {
        let key = format!("job-{number}");
        let top = rendezvous_top(&key, 1..=7, 3);
        assert_eq!(top.len(), 3);
        assert_eq!(Some(top[0]), rendezvous_owner(&key, 1..=7));
    }
}

#[test]
fn key_without_candidates_has_no_owner() {
    assert_eq!(rendezvous_owner("key", []), None);
    assert!(rendezvous_top("key", [], 3).is_empty());
}

#[test]
fn prompts_share_block_hashes_exactly_as_far_as_their_blocks() {
    let words = |first: &str, second: &str| {
        let one = vec![first; WORDS_PER_BLOCK].join(" ");
        let two = vec![second; WORDS_PER_BLOCK].join(" ");
        prompt_block_hashes(&format!("{one} {two} rest"))
    };
    let base = words("a", "b");
    assert_eq!(base.len(), 2, "a part of a block has no hash");
    let same_start = words("a", "c");
    assert_eq!(base[0], same_start[0]);
    assert_ne!(base[1], same_start[1]);
    let same_second = words("x", "b");
    assert_ne!(base[1], same_second[1], "a block covers those before it");
}
