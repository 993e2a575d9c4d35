//! The journal as the rest of the node sees it: commands committed, jobs read. Jobs and claims are
//! spread over groups; each group is a replicated log on the disks of three nodes.

mod client;
mod founding;
mod maintenance;
pub mod report;
mod split;
mod transport;

pub use client::Leaders;
pub use firshore_log::{GroupStatus, placement};

/// Number of disks that must hold what a group commits; a majority of three has more.
const MIN_DISKS: usize = 1;

/// A replica of the product's journal.
pub type Group = firshore_log::Group<JournalState>;

use crate::shared::Shared;
use client::{ask, unexpected};
use firshore_batch::command as batch;
use firshore_batch::job::{JobSummary, NamedResult};
use firshore_journal::claim::{ClaimCommand, ClaimOutcome};
use firshore_journal::state::{Command, JournalState, Outcome};
use firshore_protocol::message::{JournalRefusal, JournalRequest, ReplicaIdentity, Response};
use firshore_replication::error::StorageError;
use firshore_replication::message::Envelope;
use firshore_replication::types::GroupId;
use firshore_types::error::ApiError;
use firshore_types::ids::{JobId, NodeName, Revision};
use std::path::Path;
use std::sync::Arc;

/// Bytes of results in one answer, beyond which it ends.
const RESULTS_BYTES: usize = 4 * 1024 * 1024;

/// The replicas on this node's disk, one a group.
pub struct Journal {
    groups: Vec<Group>,
}

impl Journal {
    /// Opens the storage of every group and checks it.
    pub fn open(folder: &Path, groups: u32) -> Result<Self, StorageError> {
        let groups: Result<Vec<Group>, StorageError> = (0..groups)
            .map(|number| Group::open(folder, GroupId(number), transport::CACHE_BYTES))
            .collect();
        Ok(Self { groups: groups? })
    }

    /// Starts the replicas and their upkeep.
    pub fn start(shared: &Arc<Shared>) {
        let Some(journal) = &shared.journal else {
            return;
        };
        for group in &journal.groups {
            group.start(
                &shared.log,
                transport::settings(shared),
                transport::new(shared),
            );
        }
        actix_rt::spawn(maintenance::run(shared.clone()));
    }

    /// Hands leadership over, then ends the replicas.
    pub async fn stop(&self) {
        for group in &self.groups {
            group.step_down().await;
        }
        for group in &self.groups {
            group.stop();
        }
    }

    /// The groups.
    pub fn groups(&self) -> &[Group] {
        &self.groups
    }

    fn group(&self, id: GroupId) -> Option<&Group> {
        self.groups.get(id.0 as usize)
    }

    /// Takes in a message from another replica.
    pub fn received(&self, group: GroupId, node: NodeName, envelope: Envelope) {
        if let Some(group) = self.group(group) {
            group.received(node, envelope);
        }
    }

    /// The replica of a group on this disk.
    pub fn identity(&self, group: GroupId) -> Option<ReplicaIdentity> {
        let group = self.group(group)?;
        let status = group.status();
        Some(ReplicaIdentity {
            disk: status.disk,
            holds_log: status.holds_log,
            founding: group.founding(),
        })
    }

    /// Answers a request that concerns a group, if this node leads it.
    pub async fn answer(&self, group: GroupId, request: JournalRequest) -> Response {
        let Some(group) = self.group(group) else {
            return Response::Refused(JournalRefusal::NotLeader { leader: None });
        };
        let answered = match request {
            JournalRequest::Propose(command) => {
                group.propose(command).await.map(Response::Proposed)
            }
            question => group
                .read()
                .await
                .map(|state| read(&state.read(), question)),
        };
        answered.unwrap_or_else(Response::Refused)
    }
}

fn read(state: &JournalState, question: JournalRequest) -> Response {
    match question {
        JournalRequest::JobSummary(job) => {
            Response::Jobs(state.jobs.summary(&job).into_iter().collect())
        }
        JournalRequest::JobSummaries => Response::Jobs(state.jobs.summaries()),
        JournalRequest::JobResults { job, from, count } => {
            Response::Results(state.jobs.output(&job, from, count as usize, RESULTS_BYTES))
        }
        JournalRequest::Propose(_) => Response::Refused(JournalRefusal::Unsettled),
    }
}

fn group_count(shared: &Shared) -> u32 {
    shared.settings.journal.groups
}

/// Term in which this node leads the group of the configuration's floor, as far as it knows.
pub fn leader_term(shared: &Shared) -> Option<u64> {
    let group = shared.journal.as_ref()?.group(split::FLOOR_GROUP)?;
    let status = group.status();
    status.leads.then_some(status.term)
}

/// Commits a command that concerns batch jobs. It may be proposed again when its outcome is
/// unknown.
pub async fn propose(shared: &Shared, action: batch::Action) -> Result<batch::Outcome, ApiError> {
    let mut merged = None;
    for part in split::parts(action, group_count(shared)) {
        let command = Command::Batch(part.action.into());
        let response = ask(shared, part.group, JournalRequest::Propose(command)).await?;
        let Response::Proposed(Outcome::Batch(outcome)) = response else {
            return Err(unexpected());
        };
        let enough = split::is_enough(&outcome);
        merged = Some(split::merge(merged, outcome));
        if enough {
            break;
        }
    }
    merged.ok_or_else(unexpected)
}

/// Commits a command that concerns claims.
pub async fn claim(shared: &Shared, command: ClaimCommand) -> Result<ClaimOutcome, ApiError> {
    let group = split::group_of_claim(&command, group_count(shared));
    let request = JournalRequest::Propose(Command::Claim(command));
    match ask(shared, group, request).await? {
        Response::Proposed(Outcome::Claim(outcome)) => Ok(outcome),
        _ => Err(unexpected()),
    }
}

/// Raises the floor of the configuration and returns it.
pub async fn raise_floor(shared: &Shared, revision: Revision) -> Result<Revision, ApiError> {
    let request = JournalRequest::Propose(Command::RaiseFloor(revision));
    match ask(shared, split::FLOOR_GROUP, request).await? {
        Response::Proposed(Outcome::Floor(floor)) => Ok(floor),
        _ => Err(unexpected()),
    }
}

/// State of one job.
pub async fn summary(shared: &Shared, job: JobId) -> Result<Option<JobSummary>, ApiError> {
    let group = split::group_of_job(&job, group_count(shared));
    match ask(shared, group, JournalRequest::JobSummary(job)).await? {
        Response::Jobs(jobs) => Ok(jobs.into_iter().next()),
        _ => Err(unexpected()),
    }
}

/// State of every job.
pub async fn summaries(shared: &Shared) -> Result<Vec<JobSummary>, ApiError> {
    let mut all = Vec::new();
    for number in 0..group_count(shared) {
        match ask(shared, GroupId(number), JournalRequest::JobSummaries).await? {
            Response::Jobs(jobs) => all.extend(jobs),
            _ => return Err(unexpected()),
        }
    }
    Ok(all)
}

/// Results of a job from a position on.
pub async fn results(
    shared: &Shared,
    job: JobId,
    from: u32,
    count: u32,
) -> Result<Vec<NamedResult>, ApiError> {
    let group = split::group_of_job(&job, group_count(shared));
    let request = JournalRequest::JobResults { job, from, count };
    match ask(shared, group, request).await? {
        Response::Results(results) => Ok(results),
        _ => Err(unexpected()),
    }
}
