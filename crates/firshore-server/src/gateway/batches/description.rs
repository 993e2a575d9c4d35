//! Jobs in the form of the usual batch interface.

use firshore_batch::job::{JobStatus, JobSummary, RequestCounts};
use firshore_types::ids::JobId;
use firshore_types::labels::Labels;
use serde::Serialize;

const MILLISECONDS_PER_SECOND: u64 = 1000;

/// A job. Times are Unix seconds.
#[derive(Debug, Serialize)]
pub struct JobDescription<'a> {
    id: &'a JobId,
    object: &'static str,
    endpoint: &'a str,
    model: &'a str,
    status: JobStatus,
    output_file_id: String,
    error_file_id: Option<String>,
    created_at: u64,
    in_progress_at: Option<u64>,
    expires_at: Option<u64>,
    finalizing_at: Option<u64>,
    completed_at: Option<u64>,
    expired_at: Option<u64>,
    cancelling_at: Option<u64>,
    cancelled_at: Option<u64>,
    request_counts: RequestCounts,
    metadata: &'a Labels,
    /// Whether policies keep its items from starting.
    paused: bool,
    /// Items finished a second.
    items_per_second: f64,
    /// When it will be done at the present rate.
    estimated_completion_at: Option<u64>,
}

/// A page of jobs.
#[derive(Debug, Serialize)]
pub struct JobList<'a> {
    object: &'static str,
    data: Vec<JobDescription<'a>>,
    first_id: Option<&'a JobId>,
    last_id: Option<&'a JobId>,
    has_more: bool,
}

/// Answer to a deletion.
#[derive(Debug, Serialize)]
pub struct DeletedJob {
    id: JobId,
    object: &'static str,
    deleted: bool,
}

fn seconds(milliseconds: u64) -> u64 {
    milliseconds / MILLISECONDS_PER_SECOND
}

impl<'a> JobDescription<'a> {
    /// Describes a job.
    pub fn of(job: &'a JobSummary) -> Self {
        let times = &job.times;
        let ended_as = |status| {
            let ended = times.ended_at.filter(|_| job.status == status);
            ended.map(seconds)
        };
        let finalizing = job.status == JobStatus::Finalizing;
        let has_errors = job.request_counts.failed > 0;
        Self {
            id: &job.id,
            object: "batch",
            endpoint: &job.endpoint,
            model: &job.model,
            status: job.status,
            output_file_id: format!("/v1/batches/{}/output", job.id),
            error_file_id: has_errors.then(|| format!("/v1/batches/{}/errors", job.id)),
            created_at: seconds(times.created_at),
            in_progress_at: times.in_progress_at.map(seconds),
            expires_at: times.deadline_at.map(seconds),
            finalizing_at: times.deadline_at.filter(|_| finalizing).map(seconds),
            completed_at: ended_as(JobStatus::Completed),
            expired_at: ended_as(JobStatus::Expired),
            cancelling_at: times.cancelling_at.map(seconds),
            cancelled_at: ended_as(JobStatus::Cancelled),
            request_counts: job.request_counts,
            metadata: &job.labels,
            paused: job.governance.paused,
            items_per_second: job.items_per_kilosecond as f64 / 1000.0,
            estimated_completion_at: job.estimated_end_at.map(seconds),
        }
    }
}

impl<'a> JobList<'a> {
    /// Describes a page.
    pub fn of(jobs: &'a [JobSummary], has_more: bool) -> Self {
        Self {
            object: "list",
            data: jobs.iter().map(JobDescription::of).collect(),
            first_id: jobs.first().map(|job| &job.id),
            last_id: jobs.last().map(|job| &job.id),
            has_more,
        }
    }
}

impl DeletedJob {
    /// The answer for a deleted job.
    pub fn of(id: JobId) -> Self {
        Self {
            id,
            object: "batch",
            deleted: true,
        }
    }
}
