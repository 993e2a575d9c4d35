//! Founds a group once: the first replicas are named by an object in the object API that can only
//! be created, never replaced. Every later change is committed in the group's own log.

use super::maintenance::{own_candidate, survey};
use super::placement::{self, Candidate, TARGET_VOTERS};
use super::{Group, MIN_DISKS};
use crate::platform::object_api::{ObjectApi, ObjectError};
use crate::shared::Shared;
use firshore_replication::types::Membership;
use rand::RngExt;
use slog::{info, warn};

/// Time with fewer than three disks in sight after which a group of one is founded, in
/// milliseconds.
const FOUNDING_PATIENCE: u64 = 4_000;

fn key(group: &Group) -> String {
    format!("journal/groups/{}", group.id())
}

/// Chance that a node whose turn it is not reads the founding object all the same, so that a group
/// half founded by a node that restarted is completed.
const READ_CHANCE: f64 = 0.05;

/// Lets an empty replica take part in the founding, if it is one of those named. One node at a
/// time reads the object API; the others learn what it read from the node.
pub async fn try_found(shared: &Shared, group: &Group) {
    if shared.settings.journal.standalone {
        return found_alone(shared, group);
    }
    let survey = survey(shared, group.id()).await;
    if let Some(membership) = survey.founding {
        return group.set_founding(membership);
    }
    let Some(own) = own_candidate(shared, group) else {
        return;
    };
    let first = survey.candidates.iter().map(|one| &one.node).min() == Some(&own.node);
    let reads = (first && !survey.holds_log) || rand::rng().random_bool(READ_CHANCE);
    if !reads {
        return;
    }
    let objects = ObjectApi::new(&shared.settings.platform.object_api);
    match objects.get(&key(group)).await {
        Ok(Some(object)) => match serde_json::from_str::<Membership>(&object.value) {
            Ok(membership) => group.set_founding(membership),
            Err(error) => {
                warn!(shared.log, "journal: Founding object unreadable."; "key" => object.key, "reason" => %error);
            }
        },
        Ok(None) if survey.holds_log => {
            warn!(shared.log, "journal: Group exists but its founding object is gone."; "key" => key(group));
        }
        Ok(None) if first => propose(shared, group, &objects, &survey.candidates, &own).await,
        Ok(None) => {}
        Err(error) => {
            warn!(shared.log, "journal: Founding object unknown."; "key" => key(group), "reason" => %error);
        }
    }
}

async fn propose(
    shared: &Shared,
    group: &Group,
    objects: &ObjectApi,
    found: &[Candidate],
    own: &Candidate,
) {
    let enough = placement::zone_count(found) >= TARGET_VOTERS;
    let patient = shared.clock.now() >= FOUNDING_PATIENCE;
    if !(enough || patient) {
        return;
    }
    let membership = placement::founding_membership(found, own, TARGET_VOTERS, MIN_DISKS);
    if membership.replicas.len() < TARGET_VOTERS {
        warn!(shared.log, "journal: Fewer than three disks; a lost one loses jobs."; "group" => group.id().0);
    }
    let text = serde_json::to_string(&membership).expect("memberships serialise");
    match objects.create(&key(group), text).await {
        Ok(()) => info!(shared.log, "journal: Founding object written."; "key" => key(group)),
        // Another node wrote it, or the answer was lost: it is read back next time.
        Err(ObjectError::Mismatch | ObjectError::Unanswered(_)) => {}
    }
}

fn found_alone(shared: &Shared, group: &Group) {
    let members = shared.members.lock().alive(shared.clock.now());
    let disks = members.iter().filter(|member| member.has_disk).count();
    let Some(own) = own_candidate(shared, group) else {
        return;
    };
    if disks > 1 {
        warn!(shared.log, "journal: Not alone; remove journal.standalone."; "disks" => disks);
        return;
    }
    group.set_founding(placement::founding_membership(
        &[],
        &own,
        TARGET_VOTERS,
        MIN_DISKS,
    ));
}
