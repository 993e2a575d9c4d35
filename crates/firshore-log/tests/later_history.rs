//! A replica that joins a later history of its group restarts from its file and follows the leader that
//! excluded it.

mod word_groups;

use firshore_log::refusal::JournalRefusal;
use firshore_replication::types::MembershipChange;
use word_groups::{WordPair, settings};

#[actix_rt::test]
async fn excluded_lone_voter_restarts_and_follows() {
    let pair = WordPair::start(settings(200, 1 << 20)).await;
    let (lone, other) = (&pair.lone, &pair.other);
    assert_eq!(lone.group.propose("replicated".to_owned()).await, Ok(1));

    pair.cut_link(true);
    lone.wait_until("the loss of the quorum", |status| !status.leads)
        .await;
    lone.continue_alone(0);
    lone.wait_until("the lone leader", |status| status.leads)
        .await;
    let refused = Err(JournalRefusal::NotLeader { leader: None });
    assert_eq!(lone.group.propose("alone".to_owned()).await, refused);
    assert!(
        lone.group.read().await.is_err(),
        "a lone voter must not serve reads"
    );

    other.continue_alone(1);
    other
        .wait_until("a leader of the later history", |status| status.leads)
        .await;
    lone.group.join_history(1);
    lone.wait_until("the switch to the later history", |status| {
        status.history == 1 && !status.leads
    })
    .await;

    pair.cut_link(false);
    let disk = lone.disk();
    other
        .group
        .change(MembershipChange::AddLearner(disk, lone.info()));
    other
        .wait_until("a learner that has caught up", |status| {
            status.membership_committed && status.caught_up.contains(&disk)
        })
        .await;
    other.group.change(MembershipChange::Promote(disk));
    other
        .wait_until("two voters", |status| {
            status.membership_committed && status.membership.is_voter(disk)
        })
        .await;
    assert_eq!(other.group.propose("after".to_owned()).await, Ok(2));
    let commit = other.group.status().commit;
    lone.wait_until("the same log", |status| status.commit >= commit)
        .await;
    assert!(other.group.read().await.is_ok());
    pair.stop();
    assert_eq!(other.words(), ["replicated", "after"]);
    assert_eq!(lone.words(), ["replicated", "after"]);
}
