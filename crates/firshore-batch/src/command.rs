//! Commands that change jobs, and their outcomes. Every command goes through the journal's log.
//! Commands are idempotent: one with an unknown outcome may be proposed again.

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
    /// Whether the item may be run again when a run is lost.
    pub repeatable: bool,
}

/// Attributes of a submitted job, without its items.
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
    /// Settings from policies at submission.
    pub governance: Governance,
}

/// One attempt to submit a job. Concurrent attempts with the same key stay separate: the first
/// one sealed becomes the job.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct UploadId {
    /// Job.
    pub job: JobId,
    /// Random number of the attempt.
    pub attempt: u64,
}

/// Fencing token of a lease, unique among the leases of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LeaseToken(pub u64);

/// Identifies a lease across journal groups.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseReference {
    /// Job.
    pub job: JobId,
    /// Position in the job.
    pub index: ItemIndex,
    /// Token.
    pub token: LeaseToken,
}

/// Permission to run one item until the lease expires.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemLease {
    /// The lease.
    pub lease: LeaseReference,
    /// Path to send the item to.
    pub endpoint: String,
    /// The item.
    pub item: Item,
}

/// Identifies a lease request, so that a repeated proposal returns the same leases.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LeaseRequestId {
    /// Owner that requests the leases.
    pub holder: InstanceId,
    /// Sequence number among the owner's requests.
    pub sequence: u64,
}

/// A request for leases on behalf of one engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Identifier of the request.
    pub id: LeaseRequestId,
    /// Models that the engine serves.
    pub models: Vec<String>,
    /// Labels of the engine, for the jobs' selectors.
    pub engine_labels: Labels,
    /// Maximum number of items to lease.
    pub count: u32,
    /// Duration of the leases in milliseconds, from the leader's timestamp.
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

/// Reason for which a lease is returned without a result.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HandbackReason {
    /// The item was definitely not run.
    NotRun,
    /// The run was stopped deliberately; for a repeatable item it doesn't count as lost.
    Interrupted,
    /// The run ended without a response; it may have taken effect.
    Lost,
}

/// A lease returned without a result.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handback {
    /// The lease.
    pub lease: LeaseReference,
    /// Reason.
    pub reason: HandbackReason,
}

/// A change to the job table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Command {
    /// Unix milliseconds, set by the journal's leader before the command enters the log.
    pub at: u64,
    /// Action to apply.
    pub action: Action,
}

impl From<Action> for Command {
    fn from(action: Action) -> Self {
        Self { at: 0, action }
    }
}

/// Action of a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Action {
    /// Begins an upload; the job is accepted only when the upload is sealed.
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
        /// Number of the chunk in the upload, from 0.
        sequence: u32,
        /// Items.
        items: Vec<Item>,
    },
    /// Accepts the whole upload as a job, or returns the job accepted earlier under its key.
    Seal {
        /// The upload.
        upload: UploadId,
        /// SHA-256 of the submitted body; a resubmission must match it.
        body_digest: String,
        /// Number of items in all chunks.
        total: u32,
    },
    /// Drops an upload.
    Abandon(UploadId),
    /// Leases pending items.
    Lease(LeaseRequest),
    /// Extends leases.
    Renew {
        /// The leases.
        leases: Vec<LeaseReference>,
        /// New duration in milliseconds, from the leader's timestamp.
        duration_milliseconds: u64,
    },
    /// Records that a non-repeatable item is about to be sent.
    Start(LeaseReference),
    /// Records results; the first one committed for an item is kept.
    Complete(Vec<Completion>),
    /// Returns leases without results.
    Return(Vec<Handback>),
    /// Stops a job.
    Cancel(JobId),
    /// Replaces a job's settings from policies, unless they came from a later revision.
    Govern {
        /// Job.
        job: JobId,
        /// Settings from policies.
        governance: Governance,
    },
    /// Deletes a job that has ended.
    Delete(JobId),
    /// Applies the current time: expires leases, ends jobs past their deadline, drops idle uploads
    /// and deletes jobs whose retention has ended.
    Tick,
}

/// Result of a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The command was applied; there is no further result.
    Done,
    /// The upload is open.
    Opened {
        /// Whether a job with this key exists; sealing then only compares the digests.
        exists: bool,
    },
    /// State of the job concerned.
    Job(Box<JobSummary>),
    /// Leases granted.
    Leased(Vec<ItemLease>),
    /// Leases that were not extended; their items must stop.
    Renewed {
        /// Leases that expired, or whose job was stopped.
        refused: Vec<LeaseReference>,
    },
    /// Whether the item may be sent, once.
    Start {
        /// `false` if the item must not be sent.
        allowed: bool,
    },
    /// The key was used earlier with another body.
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
