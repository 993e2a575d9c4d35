//! Upkeep of the groups on this node: founding, placement of replicas, forgetting old claims.

use super::founding;
use super::placement::{Candidate, GroupView, TARGET_VOTERS};
use super::{Group, MIN_DISKS};
use crate::clock::unix_milliseconds;
use crate::shared::Shared;
use firshore_journal::claim::ClaimCommand;
use firshore_journal::state::Command;
use firshore_membership::member::Member;
use firshore_protocol::message::{ReplicaIdentity, Request, Response};
use firshore_replication::types::{GroupId, Membership};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

/// Time between looks at each group.
const INTERVAL: Duration = Duration::from_millis(500);

/// Time that the outcome of a non-repeatable request is kept, in milliseconds.
const CLAIM_RETENTION: u64 = 7 * 24 * 3_600 * 1_000;

/// Time between commands that forget old claims, in milliseconds.
const FORGET_INTERVAL: u64 = 600_000;

/// Runs until the node ends.
pub async fn run(shared: Arc<Shared>) {
    let mut forget_due = FORGET_INTERVAL;
    loop {
        let Some(journal) = &shared.journal else {
            return;
        };
        for group in journal.groups() {
            let status = group.status();
            if !status.holds_log {
                founding::try_found(&shared, group).await;
            } else if status.leads {
                place(&shared, group).await;
            }
        }
        if shared.clock.now() >= forget_due {
            forget_due += FORGET_INTERVAL;
            forget_claims(&shared).await;
        }
        actix_rt::time::sleep(INTERVAL).await;
    }
}

async fn place(shared: &Shared, group: &Group) {
    let status = group.status();
    let view = GroupView {
        target: TARGET_VOTERS,
        min_disks: MIN_DISKS,
        leader: status.disk,
        membership: status.membership.clone(),
        unresponsive: status.unresponsive.clone(),
        unconfirmed: status.unconfirmed(),
        lost: BTreeSet::new(),
        leaving: BTreeSet::new(),
        caught_up: status.caught_up.clone(),
    };
    let found = if view.needs_candidate() {
        survey(shared, group.id()).await.candidates
    } else {
        Vec::new()
    };
    if let Some(change) = view.next_change(&found) {
        group.change(change);
    }
}

async fn forget_claims(shared: &Shared) {
    let Some(journal) = &shared.journal else {
        return;
    };
    let before = unix_milliseconds().saturating_sub(CLAIM_RETENTION);
    for group in journal.groups().iter().filter(|one| one.status().leads) {
        let forget = Command::Claim(ClaimCommand::Forget { before });
        let _ = group.propose(forget).await;
    }
}

/// This node's disk as a candidate.
pub fn own_candidate(shared: &Shared, group: &Group) -> Option<Candidate> {
    let status = group.status();
    status.stopped.is_none().then(|| Candidate {
        disk: status.disk,
        node: shared.settings.name.clone(),
        zone: shared.settings.zone.clone(),
    })
}

/// What the disks that answer tell.
#[derive(Default)]
pub struct Survey {
    /// Every disk.
    pub candidates: Vec<Candidate>,
    /// Whether any holds something of the group's log.
    pub holds_log: bool,
    /// The founding membership, if any node has read it.
    pub founding: Option<Membership>,
}

/// Asks every node with a disk for its replica of `group`.
pub async fn survey(shared: &Shared, group: GroupId) -> Survey {
    let members = shared.members.lock().alive(shared.clock.now());
    let holders = members.into_iter().filter(|member| member.has_disk);
    let answers = holders.map(|member| async move {
        let identity = identity(shared, &member, group).await?;
        Some((member, identity))
    });
    let answers = futures_util::future::join_all(answers).await;
    let mut survey = Survey::default();
    for (member, identity) in answers.into_iter().flatten() {
        survey.holds_log |= identity.holds_log;
        survey.founding = survey.founding.or(identity.founding);
        survey.candidates.push(Candidate {
            disk: identity.disk,
            node: member.name,
            zone: member.zone,
        });
    }
    survey
}

async fn identity(shared: &Shared, member: &Member, group: GroupId) -> Option<ReplicaIdentity> {
    let own = member.name == shared.settings.name;
    if let Some(journal) = shared.journal.as_ref().filter(|_| own) {
        return journal.identity(group);
    }
    let request = Request::ReplicaIdentity(group);
    match shared.peers.call(member.peer_address, request).await {
        Ok(Response::ReplicaIdentity(identity)) => identity,
        _ => None,
    }
}
