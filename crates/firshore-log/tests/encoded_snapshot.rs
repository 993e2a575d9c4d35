//! What is committed while a snapshot is encoded is applied and acknowledged after it: a job was accepted that a lone
//! voter had committed, because the promotion of a second one was pending by then.

mod word_groups;

use firshore_log::refusal::JournalRefusal;
use firshore_replication::types::MembershipChange;
use std::sync::atomic::Ordering;
use word_groups::{HOLD_SNAPSHOTS, WordPair, settings};

/// Long enough for the leader to stay one for as long as the test looks at it.
const ELECTION_TIMEOUT_MS: u64 = 1_000;

#[actix_rt::test]
async fn job_was_accepted_that_one_disk_held_during_a_snapshot() {
    let pair = WordPair::start(settings(ELECTION_TIMEOUT_MS, 1_000)).await;
    let (lone, other) = (&pair.lone, &pair.other);
    HOLD_SNAPSHOTS.store(true, Ordering::Relaxed);
    pair.cut_link(true);
    let before = lone.group.status().last.index;
    // Long enough for a snapshot to begin when it is appended.
    let (group, job) = (lone.group.clone(), "long ".repeat(1_000));
    let proposed = actix_rt::spawn(async move { group.propose(job).await });
    lone.wait_until("the appended job", |status| status.last.index > before)
        .await;
    let disk = other.disk();
    lone.group.change(MembershipChange::Remove(disk));
    lone.wait_until("a lone voter", |status| {
        status.membership_committed && !status.membership.is_voter(disk)
    })
    .await;

    pair.cut_link(false);
    lone.group
        .change(MembershipChange::AddLearner(disk, other.info()));
    lone.wait_until("a learner that has caught up", |status| {
        status.membership_committed && status.caught_up.contains(&disk)
    })
    .await;
    pair.cut_link(true);
    lone.group.change(MembershipChange::Promote(disk));
    lone.wait_until("a pending promotion", |status| {
        status.membership.is_voter(disk) && !status.membership_committed
    })
    .await;
    HOLD_SNAPSHOTS.store(false, Ordering::Relaxed);
    let outcome = proposed.await.unwrap();
    pair.stop();
    assert_eq!(outcome, Err(JournalRefusal::Unsettled));
}
