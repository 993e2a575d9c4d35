//! A job as callers and operators see it.

use firshore_types::declaration::Priority;
use firshore_types::ids::{ItemIndex, JobId, TenantName};
use firshore_types::labels::Labels;
use serde::{Deserialize, Serialize};

/// Where a job stands, named as in the usual batch interface.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobStatus {
    /// Items are being run.
    InProgress,
    /// The deadline passed; leases are still out, nothing new starts.
    Finalizing,
    /// Cancellation is committed; leases are still out, nothing new starts.
    Cancelling,
    /// Cancelled: no item runs or will run.
    Cancelled,
    /// The deadline passed before every item had its result; the rest have an error.
    Expired,
    /// Every item has its result.
    Completed,
}

impl JobStatus {
    /// Whether nothing of the job runs or will run.
    pub fn is_terminal(self) -> bool {
        matches!(self, Self::Cancelled | Self::Expired | Self::Completed)
    }

    /// The name in the interface.
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

/// When a job passed each step, in Unix milliseconds of the journal's clock.
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

/// What policies set for a job.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Governance {
    /// Revision of the configuration that it was worked out from; older ones are ignored.
    pub revision: firshore_types::ids::Revision,
    /// Place among jobs; a larger number goes first.
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
    /// Where it stands.
    pub status: JobStatus,
    /// Counts.
    pub request_counts: RequestCounts,
    /// Path that every item is sent to.
    pub endpoint: String,
    /// Model that every item names.
    pub model: String,
    /// Labels given at submission.
    pub labels: Labels,
    /// When it passed each step.
    pub times: JobTimes,
    /// What policies set.
    pub governance: Governance,
    /// Items waiting for an engine.
    pub backlog: u32,
    /// Items leased to owners.
    pub leased: u32,
    /// Items finished in a thousand seconds at the present rate.
    pub items_per_kilosecond: u64,
    /// When it will be done at the present rate, in Unix milliseconds.
    pub estimated_end_at: Option<u64>,
}

/// What became of an item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemResult {
    /// HTTP status of the back end's answer, or of the error.
    pub status: u16,
    /// JSON text of the answer's body.
    pub body: String,
}

impl ItemResult {
    /// Whether the item counts as completed rather than failed.
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }
}

/// One line of a job's output. Positions follow the order in which results were committed, so
/// that a reader that resumes at a position misses nothing while the job runs.
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
