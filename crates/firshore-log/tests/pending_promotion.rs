//! While the promotion of a second voter is pending, what the lone voter committed is on one disk only: a repeated
//! submission was accepted, a snapshot covered it, and the loss of that disk lost it.

mod word_groups;

use firshore_log::refusal::JournalRefusal;
use firshore_replication::types::MembershipChange;
use word_groups::{WordPair, settings};

/// Long enough for the lone leader to stay one for as long as the tests look at it.
const ELECTION_TIMEOUT_MS: u64 = 1_000;

/// Returns a pair of which one voter has committed `word` alone, and has the promotion of the other one pending.
async fn with_pending_promotion(word: &str, snapshot_after_bytes: usize) -> WordPair {
    let pair = WordPair::start(settings(ELECTION_TIMEOUT_MS, snapshot_after_bytes)).await;
    let (lone, other) = (&pair.lone, &pair.other);
    pair.cut_link(true);
    let (group, command) = (lone.group.clone(), word.to_owned());
    let proposed = actix_rt::spawn(async move { group.propose(command).await });
    lone.wait_until("the loss of the quorum", |status| !status.leads)
        .await;
    lone.continue_alone(0);
    assert_eq!(proposed.await.unwrap(), Err(JournalRefusal::Unsettled));
    lone.wait_until("the lone leader", |status| status.leads)
        .await;
    lone.wait_until("the committed word", |status| status.commit > 1)
        .await;
    assert_eq!(lone.words(), [word]);

    pair.cut_link(false);
    let disk = other.disk();
    lone.group
        .change(MembershipChange::AddLearner(disk, other.info()));
    lone.wait_until("a learner that has caught up", |status| {
        status.membership_committed && status.caught_up.contains(&disk)
    })
    .await;
    pair.cut_link(true);
    lone.group.change(MembershipChange::Promote(disk));
    lone.wait_until("a pending promotion", |status| {
        status.leads && status.membership.is_voter(disk) && !status.membership_committed
    })
    .await;
    pair
}

#[actix_rt::test]
async fn repeated_submission_was_accepted_while_one_disk_held_it() {
    let pair = with_pending_promotion("job", 1 << 20).await;
    let outcome = pair.lone.group.propose("job".to_owned()).await;
    pair.stop();
    assert_eq!(outcome, Err(JournalRefusal::Unsettled), "it may still run");
}

#[actix_rt::test]
async fn snapshot_covered_what_one_disk_held() {
    let word = "long ".repeat(1_000);
    let pair = with_pending_promotion(&word, 1_000).await;
    let lone = &pair.lone;
    lone.wait_until("the loss of the quorum", |status| !status.leads)
        .await;
    let snapshot_bytes = lone.group.status().snapshot_bytes;
    pair.stop();
    // One of the state before the word may be there.
    let covers_word = snapshot_bytes >= word.len();
    assert!(!covers_word, "another disk may continue without it");
}
