//! Messages between nodes.

use firshore_batch::job::{JobSummary, NamedResult};
use firshore_journal::state::{Command, Outcome};
use firshore_membership::member::Member;
use firshore_types::ids::JobId;
use serde::{Deserialize, Serialize};

/// A question or notice to a peer, with a number that its answer repeats.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RequestFrame {
    /// Chosen by the sender, unique on the connection.
    pub correlation: u64,
    /// Content.
    pub request: Request,
}

/// The answer to a request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ResponseFrame {
    /// The request's number.
    pub correlation: u64,
    /// Content.
    pub response: Response,
}

/// What a node asks of a peer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Request {
    /// The sender is alive, in this state.
    Heartbeat(Member),
    /// Commit a command in the journal.
    Propose(Command),
    /// State of one job.
    JobSummary(JobId),
    /// State of all jobs.
    JobSummaries,
    /// Results of a job from a position on.
    JobResults {
        /// Job.
        job: JobId,
        /// First position of the output wanted.
        from: u32,
        /// Most results wanted.
        count: u32,
    },
}

/// What a peer answers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Response {
    /// The peer, alive, in this state.
    Heartbeat(Member),
    /// Outcome of a committed command.
    Proposed(Outcome),
    /// State of jobs.
    Jobs(Vec<JobSummary>),
    /// Results.
    Results(Vec<NamedResult>),
    /// The peer does not hold the journal.
    NotLeader,
}
