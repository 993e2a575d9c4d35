//! The journal as the rest of the node sees it: commands committed, jobs read.

use crate::clock::unix_milliseconds;
use crate::peers::PeerError;
use crate::shared::Shared;
use firshore_batch::command as batch;
use firshore_batch::job::{JobSummary, NamedResult};
use firshore_journal::claim::{ClaimCommand, ClaimOutcome};
use firshore_journal::state::{Command, JournalState, Outcome};
use firshore_protocol::message::{JournalRequest, Request, Response};
use firshore_replication::types::GroupId;
use firshore_types::error::{ApiError, ErrorCode};
use firshore_types::ids::{JobId, Revision};
use parking_lot::Mutex;
use std::net::SocketAddr;

/// Bytes of results in one answer, beyond which it ends.
const RESULTS_BYTES: usize = 4 * 1024 * 1024;

/// A journal held by this node alone, in memory.
#[derive(Default)]
pub struct Journal {
    state: Mutex<JournalState>,
}

impl Journal {
    /// Answers a request that concerns the journal.
    pub async fn answer(&self, request: JournalRequest) -> Response {
        let mut state = self.state.lock();
        match request {
            JournalRequest::Propose(mut command) => {
                command.stamp(unix_milliseconds());
                Response::Proposed(state.apply(command))
            }
            JournalRequest::JobSummary(job) => {
                Response::Jobs(state.jobs.summary(&job).into_iter().collect())
            }
            JournalRequest::JobSummaries => Response::Jobs(state.jobs.summaries()),
            JournalRequest::JobResults { job, from, count } => {
                Response::Results(state.jobs.output(&job, from, count as usize, RESULTS_BYTES))
            }
        }
    }
}

fn holder(shared: &Shared) -> Option<SocketAddr> {
    let members = shared.members.lock().alive(shared.clock.now());
    members
        .into_iter()
        .filter(|member| member.has_disk)
        .min_by(|one, other| one.name.cmp(&other.name))
        .map(|member| member.peer_address)
}

/// Whether this node holds the journal.
pub fn holds(shared: &Shared) -> bool {
    let own = shared.members.lock().own().peer_address;
    holder(shared) == Some(own)
}

async fn ask(shared: &Shared, request: JournalRequest) -> Result<Response, ApiError> {
    let unavailable = |execution_known: bool| {
        let message = "The journal cannot be reached.";
        let error = if execution_known {
            ApiError::not_run(ErrorCode::JournalUnavailable, message)
        } else {
            ApiError::maybe_run(ErrorCode::JournalUnavailable, message)
        };
        error.retry_after(1)
    };
    let address = holder(shared).ok_or_else(|| unavailable(true))?;
    let request = Request::Journal {
        group: GroupId(0),
        request,
    };
    match shared.peers.call(address, request).await {
        Ok(Response::Refused(_)) | Err(PeerError::NotSent) => Err(unavailable(true)),
        Ok(response) => Ok(response),
        Err(PeerError::Unanswered) => Err(unavailable(false)),
    }
}

fn unexpected() -> ApiError {
    ApiError::maybe_run(
        ErrorCode::Internal,
        "A peer answered with another kind of message.",
    )
}

/// Commits a command that concerns batch jobs.
pub async fn propose(shared: &Shared, action: batch::Action) -> Result<batch::Outcome, ApiError> {
    match ask(
        shared,
        JournalRequest::Propose(Command::Batch(action.into())),
    )
    .await?
    {
        Response::Proposed(Outcome::Batch(outcome)) => Ok(outcome),
        _ => Err(unexpected()),
    }
}

/// Commits a command that concerns claims.
pub async fn claim(shared: &Shared, command: ClaimCommand) -> Result<ClaimOutcome, ApiError> {
    match ask(shared, JournalRequest::Propose(Command::Claim(command))).await? {
        Response::Proposed(Outcome::Claim(outcome)) => Ok(outcome),
        _ => Err(unexpected()),
    }
}

/// Raises the floor of the configuration and returns it.
pub async fn raise_floor(shared: &Shared, revision: Revision) -> Result<Revision, ApiError> {
    match ask(
        shared,
        JournalRequest::Propose(Command::RaiseFloor(revision)),
    )
    .await?
    {
        Response::Proposed(Outcome::Floor(floor)) => Ok(floor),
        _ => Err(unexpected()),
    }
}

/// State of one job.
pub async fn summary(shared: &Shared, job: JobId) -> Result<Option<JobSummary>, ApiError> {
    match ask(shared, JournalRequest::JobSummary(job)).await? {
        Response::Jobs(jobs) => Ok(jobs.into_iter().next()),
        _ => Err(unexpected()),
    }
}

/// State of every job.
pub async fn summaries(shared: &Shared) -> Result<Vec<JobSummary>, ApiError> {
    match ask(shared, JournalRequest::JobSummaries).await? {
        Response::Jobs(jobs) => Ok(jobs),
        _ => Err(unexpected()),
    }
}

/// Results of a job from a position on.
pub async fn results(
    shared: &Shared,
    job: JobId,
    from: u32,
    count: u32,
) -> Result<Vec<NamedResult>, ApiError> {
    match ask(shared, JournalRequest::JobResults { job, from, count }).await? {
        Response::Results(results) => Ok(results),
        _ => Err(unexpected()),
    }
}
