//! Commands that change jobs, and their outcomes. Every command goes through the journal's log.

use crate::job::{ItemResult, JobSummary};
use firshore_types::ids::{ItemIndex, JobId, TenantName};
use firshore_types::labels::Labels;
use serde::{Deserialize, Serialize};

/// One line of a submitted job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// The caller's name for the item, unique in the job.
    pub custom_id: String,
    /// Path of the request, such as `/v1/completions`.
    pub url: String,
    /// JSON text of the request's body.
    pub body: String,
    /// Whether the item may be run again when its first run is lost.
    pub repeatable: bool,
}

/// What identifies a submission.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submission {
    /// Derived from tenant and key, so that a resubmission finds the same job.
    pub job: JobId,
    /// Owner.
    pub tenant: TenantName,
    /// SHA-256 of the submitted body; a resubmission must match it.
    pub body_digest: String,
    /// Labels that policies select on.
    pub labels: Labels,
    /// Items.
    pub items: Vec<Item>,
}

/// Permission to run one item until a deadline.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemLease {
    /// Job.
    pub job: JobId,
    /// Position in the job.
    pub index: ItemIndex,
    /// Counts the leases given for this item, from 1.
    pub attempt: u32,
    /// The item.
    pub item: Item,
}

/// A change to the job table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Accepts a job whole.
    Submit(Submission),
    /// Leases up to `count` pending items until `expires_at` (milliseconds, leader's clock).
    Lease {
        /// Most items wanted.
        count: u32,
        /// When the leases lapse.
        expires_at: u64,
    },
    /// Records the result of an item; the first one committed wins.
    Complete {
        /// Job.
        job: JobId,
        /// Item.
        index: ItemIndex,
        /// Attempt that produced it.
        attempt: u32,
        /// Result.
        result: ItemResult,
    },
    /// Hands a lease back unused.
    Return {
        /// Job.
        job: JobId,
        /// Item.
        index: ItemIndex,
        /// Attempt handed back.
        attempt: u32,
    },
    /// Stops a job.
    Cancel(JobId),
    /// Ends leases that lapsed before `now`.
    Expire {
        /// Leader's clock in milliseconds.
        now: u64,
    },
}

/// Answer to a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// Done, nothing to tell.
    Done,
    /// State of the job concerned.
    Job(JobSummary),
    /// Leases granted.
    Leased(Vec<ItemLease>),
    /// The key was used with another body.
    Conflict,
    /// No such job.
    UnknownJob,
}
