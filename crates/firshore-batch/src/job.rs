//! A job as callers and operators see it.

use firshore_types::declaration::Priority;
use firshore_types::ids::{ItemIndex, JobId, TenantName};
use firshore_types::labels::Labels;
use serde::{Deserialize, Serialize};

/// Status of a job, with the names of the usual batch interface.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobStatus {
    /// Items are being run.
    InProgress,
    /// The deadline passed; leases are still open and no new item starts.
    Finalizing,
    /// Cancellation is committed; leases are still open and no new item starts.
    Cancelling,
    /// Cancelled: no item runs or will run.
    Cancelled,
    /// The deadline passed before every item had its result; the rest have an error.
    Expired,
    /// Every item has its result.
    Completed,
}

impl JobStatus {
    /// Returns whether no item of the job runs or will run.
    pub fn is_terminal(self) -> bool {
        matches!(self, Self::Cancelled | Self::Expired | Self::Completed)
    }

    /// Returns the name in the batch interface.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::InProgress => "in_progress",
            Self::Finalizing => "finalizing",
            Self::Cancelling => "cancelling",
            Self::Cancelled => "cancelled",
            Self::Expired => "expired",
            Self::Completed => "completed",
        }
    }
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

/// Times of a job's state changes, in Unix milliseconds of the journal's clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobTimes {
    /// Accepted.
    pub created_at: u64,
    /// First item leased.
    pub in_progress_at: Option<u64>,
    /// Cancellation committed.
    pub cancelling_at: Option<u64>,
    /// Reached a terminal status.
    pub ended_at: Option<u64>,
    /// Deadline.
    pub deadline_at: Option<u64>,
}

/// Settings of a job that come from policies.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Governance {
    /// Revision of the configuration that it was computed from; older ones are ignored.
    pub revision: firshore_types::ids::Revision,
    /// Priority among jobs; larger numbers are served first.
    pub priority: Priority,
    /// `true` keeps items from being leased.
    pub paused: bool,
    /// Engines that may run items, by label.
    pub backends: firshore_types::labels::Selector,
}

/// State of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSummary {
    /// Identifier.
    pub id: JobId,
    /// Owner.
    pub tenant: TenantName,
    /// Status.
    pub status: JobStatus,
    /// Counts.
    pub request_counts: RequestCounts,
    /// Path that every item is sent to.
    pub endpoint: String,
    /// Model that every item names.
    pub model: String,
    /// Labels given at submission.
    pub labels: Labels,
    /// Times of its state changes.
    pub times: JobTimes,
    /// Settings from policies.
    pub governance: Governance,
    /// Items waiting for an engine.
    pub backlog: u32,
    /// Items leased to owners.
    pub leased: u32,
    /// Current completion rate, in items per 1000 seconds.
    pub items_per_kilosecond: u64,
    /// Estimated end at the current rate, in Unix milliseconds.
    pub estimated_end_at: Option<u64>,
}

/// Result of an item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemResult {
    /// HTTP status of the back end's response, or of the error.
    pub status: u16,
    /// JSON text of the response body.
    pub body: String,
}

impl ItemResult {
    /// Returns whether the item counts as completed rather than failed.
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }
}

/// One line of a job's output. Positions follow the commit order of results, so that a reader
/// that resumes at a position misses no result while the job runs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NamedResult {
    /// Position in the output.
    pub position: u32,
    /// Position of the item in the job.
    pub index: ItemIndex,
    /// The caller's name for the item.
    pub custom_id: String,
    /// Result.
    pub result: ItemResult,
}
