//! A read that was confirmed while a replica led, and waits for a snapshot to be encoded, was answered after the replica
//! had lost its leadership: with what a lone voter had committed meanwhile.

mod word_groups;

use firshore_log::refusal::JournalRefusal;
use std::sync::atomic::Ordering;
use std::time::Duration;
use word_groups::HOLD_SNAPSHOTS;
use word_groups::trio::WordTrio;

#[actix_rt::test]
async fn former_leader_showed_what_a_lone_voter_committed() {
    let trio = WordTrio::start(1_000).await;
    trio.settled().await;
    HOLD_SNAPSHOTS.store(true, Ordering::Relaxed);
    // Long enough for a snapshot to begin when it is appended; nothing is applied until that ends.
    let group = trio.former.group.clone();
    let first = actix_rt::spawn(async move { group.propose("first ".repeat(500)).await });
    trio.former
        .wait_until("the append", |status| status.log_bytes > 3_000)
        .await;
    let group = trio.former.group.clone();
    let read = actix_rt::spawn(async move {
        let state = group.read().await?;
        let words = state.read().words().len();
        Ok::<_, JournalRefusal>(words)
    });
    // Until a quorum has confirmed the read.
    actix_rt::time::sleep(Duration::from_millis(200)).await;

    let proposed = trio.propose_to_one("job".to_owned()).await;
    trio.continue_with_lone().await;
    HOLD_SNAPSHOTS.store(false, Ordering::Relaxed);
    let shown = read.await.unwrap();
    first.abort();
    proposed.abort();
    trio.stop();
    assert!(shown.is_err(), "{shown:?} words");
}
