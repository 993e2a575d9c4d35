//! Commands that change jobs, and their outcomes. Every command goes through the journal's log.
//! Each may be proposed again when its outcome is unknown: the second time changes nothing.

use crate::job::{Governance, ItemResult, JobSummary};
use firshore_types::ids::{InstanceId, ItemIndex, JobId, TenantName};
use firshore_types::labels::Labels;
use serde::{Deserialize, Serialize};

/// One line of a submitted job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// The caller's name for the item, unique in the job.
    pub custom_id: String,
    /// JSON text of the request's body.
    pub body: String,
    /// Whether the item may be run again when its first run is lost.
    pub repeatable: bool,
}

/// What is known of a job before its items.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submission {
    /// Derived from tenant and key, so that a resubmission finds the same job.
    pub job: JobId,
    /// Owner.
    pub tenant: TenantName,
    /// Labels that policies select on.
    pub labels: Labels,
    /// Path that every item is sent to, such as `/v1/completions`.
    pub endpoint: String,
    /// Model that every item names.
    pub model: String,
    /// Milliseconds from acceptance to the deadline.
    pub deadline_milliseconds: Option<u64>,
    /// Milliseconds that the job is kept after its end.
    pub retention_milliseconds: u64,
    /// What policies set at submission.
    pub governance: Governance,
}

/// One attempt to submit a job. Two attempts with the same key race without mixing: the first
/// one sealed becomes the job.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct UploadId {
    /// Job.
    pub job: JobId,
    /// Chosen at random for the attempt.
    pub attempt: u64,
}

/// Fences one lease: no two leases of one job ever have the same token.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LeaseToken(pub u64);

/// Names one lease, in whichever journal group its job is.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseReference {
    /// Job.
    pub job: JobId,
    /// Position in the job.
    pub index: ItemIndex,
    /// Token.
    pub token: LeaseToken,
}

/// Permission to run one item for a time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemLease {
    /// The lease.
    pub lease: LeaseReference,
    /// Path to send the item to.
    pub endpoint: String,
    /// The item.
    pub item: Item,
}

/// Names one request for leases, so that it can be proposed again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LeaseRequestId {
    /// Owner that asks.
    pub holder: InstanceId,
    /// Counts the owner's requests.
    pub sequence: u64,
}

/// A request for leases on behalf of one engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Names it.
    pub id: LeaseRequestId,
    /// Models that the engine runs.
    pub models: Vec<String>,
    /// Labels of the engine, for the jobs' selectors.
    pub engine_labels: Labels,
    /// Most items wanted.
    pub count: u32,
    /// How long the leases last, in milliseconds from the leader's stamp.
    pub duration_milliseconds: u64,
}

/// The result of a leased item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Completion {
    /// The lease that it was run under.
    pub lease: LeaseReference,
    /// Result.
    pub result: ItemResult,
}

/// Why a lease comes back without a result.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HandbackReason {
    /// The item certainly was not run.
    NotRun,
    /// The run was stopped on purpose before its end; it does not count against the item.
    Interrupted,
    /// The run ended without an answer; whether it took effect is unknown.
    Lost,
}

/// A lease handed back without a result.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handback {
    /// The lease.
    pub lease: LeaseReference,
    /// Why.
    pub reason: HandbackReason,
}

/// A change to the job table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Command {
    /// Unix milliseconds; the journal's leader stamps it before the command enters the log.
    pub at: u64,
    /// What to do.
    pub action: Action,
}

impl From<Action> for Command {
    fn from(action: Action) -> Self {
        Self { at: 0, action }
    }
}

/// What a command does.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Action {
    /// Begins an upload; nothing is accepted until it is sealed.
    Open {
        /// The upload.
        upload: UploadId,
        /// The job.
        submission: Box<Submission>,
    },
    /// Adds items to an upload.
    Append {
        /// The upload.
        upload: UploadId,
        /// Counts the upload's chunks from 0.
        sequence: u32,
        /// Items.
        items: Vec<Item>,
    },
    /// Accepts the whole upload as a job, or finds the job that was accepted before.
    Seal {
        /// The upload.
        upload: UploadId,
        /// SHA-256 of the submitted body; a resubmission must match it.
        body_digest: String,
        /// Items in all chunks.
        total: u32,
    },
    /// Drops an upload.
    Abandon(UploadId),
    /// Leases pending items.
    Lease(LeaseRequest),
    /// Prolongs leases.
    Renew {
        /// The leases.
        leases: Vec<LeaseReference>,
        /// How long they last from the leader's stamp, in milliseconds.
        duration_milliseconds: u64,
    },
    /// Records that a non-repeatable item is about to be sent.
    Start(LeaseReference),
    /// Records results; for each item the first one committed wins.
    Complete(Vec<Completion>),
    /// Hands leases back.
    Return(Vec<Handback>),
    /// Stops a job.
    Cancel(JobId),
    /// Replaces what policies set for a job, unless it came from a later revision.
    Govern {
        /// Job.
        job: JobId,
        /// What policies set.
        governance: Governance,
    },
    /// Deletes a job that has ended.
    Delete(JobId),
    /// Lets time pass: ends lapsed leases, passed deadlines, abandoned uploads, kept jobs.
    Tick,
}

/// Answer to a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// Done, nothing to tell.
    Done,
    /// The upload is open.
    Opened {
        /// A job with this key exists; only the digest needs to be compared, by sealing.
        exists: bool,
    },
    /// State of the job concerned.
    Job(Box<JobSummary>),
    /// Leases granted.
    Leased(Vec<ItemLease>),
    /// Leases that were not prolonged: their items must stop.
    Renewed {
        /// Leases that lapsed, or whose job has been stopped.
        refused: Vec<LeaseReference>,
    },
    /// Whether the item may be sent, once.
    Start {
        /// `false`: it must not be sent.
        allowed: bool,
    },
    /// The key was used with another body.
    Conflict,
    /// No such job.
    UnknownJob,
    /// The upload was abandoned, or a chunk is missing.
    UnknownUpload,
    /// Too many uploads are open.
    TooManyUploads,
    /// The job has not ended.
    NotEnded,
}
