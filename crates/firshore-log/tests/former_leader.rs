//! A proposal that waits at a former leader was acknowledged, and covered by a snapshot, though a lone voter had committed
//! it: the former leader learns the new members from a later entry.

mod word_groups;

use firshore_log::refusal::JournalRefusal;
use word_groups::trio::WordTrio;

#[actix_rt::test]
async fn former_leader_acknowledged_what_a_lone_voter_committed() {
    let trio = WordTrio::start(1 << 20).await;
    let proposed = trio.propose_to_one("job".to_owned()).await;
    trio.continue_with_lone().await;
    let outcome = proposed.await.unwrap();
    trio.stop();
    assert_eq!(outcome, Err(JournalRefusal::Unsettled));
}

/// Another disk may continue without it, and entries in a snapshot cannot be undone.
#[actix_rt::test]
async fn former_leader_took_a_snapshot_of_what_a_lone_voter_committed() {
    let trio = WordTrio::start(1_000).await;
    let word = "long ".repeat(1_000);
    let proposed = trio.propose_to_one(word.clone()).await;
    trio.continue_with_lone().await;
    let snapshot_bytes = trio.former.group.status().snapshot_bytes;
    proposed.abort();
    trio.stop();
    assert!(snapshot_bytes < word.len(), "{snapshot_bytes} bytes");
}
