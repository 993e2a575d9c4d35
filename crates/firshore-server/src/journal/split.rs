//! Which group keeps what: jobs and claims are spread by rendezvous hashing over the groups.

use firshore_batch::command::{Action, LeaseReference, Outcome};
use firshore_journal::claim::{ClaimCommand, ClaimKey};
use firshore_replication::types::GroupId;
use firshore_types::hash::rendezvous_owner;
use firshore_types::ids::JobId;
use std::collections::BTreeMap;

/// Group that keeps the floor of the configuration.
pub const FLOOR_GROUP: GroupId = GroupId(0);

/// A part of an action that concerns one group.
pub struct Part {
    /// Group.
    pub group: GroupId,
    /// What it is to do.
    pub action: Action,
}

fn group_of(key: &str, groups: u32) -> GroupId {
    let owner = rendezvous_owner(key, (0..groups).map(u64::from));
    GroupId(owner.unwrap_or(0) as u32)
}

/// Group that keeps a job.
pub fn group_of_job(job: &JobId, groups: u32) -> GroupId {
    group_of(job.as_str(), groups)
}

/// Group that keeps the claim that a command concerns.
pub fn group_of_claim(command: &ClaimCommand, groups: u32) -> GroupId {
    let of_key = |key: &ClaimKey| group_of(&format!("{}\n{}", key.tenant, key.key), groups);
    match command {
        ClaimCommand::Claim { key, .. }
        | ClaimCommand::Settle { key, .. }
        | ClaimCommand::Release { key, .. } => of_key(key),
        ClaimCommand::Forget { .. } => FLOOR_GROUP,
    }
}

/// Divides an action among the groups that it concerns.
pub fn parts(action: Action, groups: u32) -> Vec<Part> {
    let one = |job: &JobId| group_of_job(job, groups);
    let group = match &action {
        Action::Open { upload, .. }
        | Action::Append { upload, .. }
        | Action::Seal { upload, .. }
        | Action::Abandon(upload) => one(&upload.job),
        Action::Start(lease) => one(&lease.job),
        Action::Cancel(job) | Action::Govern { job, .. } | Action::Delete(job) => one(job),
        _ => return divided(action, groups),
    };
    vec![Part { group, action }]
}

fn divided(action: Action, groups: u32) -> Vec<Part> {
    match action {
        Action::Renew {
            leases,
            duration_milliseconds,
        } => by_job(
            leases,
            groups,
            |lease| lease,
            |leases| Action::Renew {
                leases,
                duration_milliseconds,
            },
        ),
        Action::Complete(completions) => {
            by_job(completions, groups, |one| &one.lease, Action::Complete)
        }
        Action::Return(handbacks) => by_job(handbacks, groups, |one| &one.lease, Action::Return),
        Action::Lease(request) => {
            // Each request starts at another group, so that none is favoured.
            let first = (request.id.sequence % u64::from(groups)) as u32;
            (0..groups)
                .map(|step| Part {
                    group: GroupId((first + step) % groups),
                    action: Action::Lease(request.clone()),
                })
                .collect()
        }
        other => (0..groups)
            .map(|number| Part {
                group: GroupId(number),
                action: other.clone(),
            })
            .collect(),
    }
}

fn by_job<T>(
    items: Vec<T>,
    groups: u32,
    lease: impl Fn(&T) -> &LeaseReference,
    action: impl Fn(Vec<T>) -> Action,
) -> Vec<Part> {
    let mut shares: BTreeMap<GroupId, Vec<T>> = BTreeMap::new();
    for item in items {
        let group = group_of_job(&lease(&item).job, groups);
        shares.entry(group).or_default().push(item);
    }
    if shares.is_empty() {
        shares.insert(FLOOR_GROUP, Vec::new());
    }
    shares
        .into_iter()
        .map(|(group, items)| Part {
            group,
            action: action(items),
        })
        .collect()
}

/// Whether the remaining groups need not be asked.
pub fn is_enough(outcome: &Outcome) -> bool {
    matches!(outcome, Outcome::Leased(leases) if !leases.is_empty())
}

/// Puts the outcomes of two parts together.
pub fn merge(earlier: Option<Outcome>, later: Outcome) -> Outcome {
    match (earlier, later) {
        (Some(Outcome::Renewed { mut refused }), Outcome::Renewed { refused: more }) => {
            refused.extend(more);
            Outcome::Renewed { refused }
        }
        (_, later) => later,
    }
}
