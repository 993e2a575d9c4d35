//! A job as callers and operators see it.

use firshore_types::ids::{JobId, TenantName};
use serde::{Deserialize, Serialize};

/// Where a job stands, named as in the usual batch interface.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobStatus {
    /// Items are being run.
    InProgress,
    /// Cancellation is committed; leases are still out.
    Cancelling,
    /// No item runs or will run.
    Cancelled,
    /// Every item has its result.
    Completed,
}

/// Counts of a job's items.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestCounts {
    /// All items.
    pub total: u32,
    /// Items with a successful result.
    pub completed: u32,
    /// Items with an error as their result.
    pub failed: u32,
}

/// State of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSummary {
    /// Identifier.
    pub id: JobId,
    /// Owner.
    pub tenant: TenantName,
    /// Where it stands.
    pub status: JobStatus,
    /// Counts.
    pub request_counts: RequestCounts,
}

/// What became of an item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemResult {
    /// HTTP status of the back end's answer, or of the error.
    pub status: u16,
    /// JSON text of the answer's body.
    pub body: String,
}
