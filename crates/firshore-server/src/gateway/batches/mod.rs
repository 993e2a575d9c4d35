//! Batch jobs: submission, state, cancellation, output.

pub mod description;
pub mod lines;
pub mod output;
pub mod submission;

use crate::gateway::{authenticate, response};
use crate::journal;
use crate::shared::Shared;
use actix_http::body::BoxBody;
use actix_http::{Method, Request, Response, StatusCode};
use description::{DeletedJob, JobDescription, JobList};
use firshore_batch::command::{Action, Outcome};
use firshore_batch::job::JobSummary;
use firshore_types::error::{ApiError, ErrorCode};
use firshore_types::ids::{JobId, TenantName};
use output::{Lines, OutputRequest};
use std::sync::Arc;

/// Jobs in one answer of the list unless the caller wants fewer.
const MAXIMUM_LISTED: usize = 100;

/// Answers a request under `/v1/batches`; `rest` is the path below it.
pub async fn handle(
    shared: &Arc<Shared>,
    request: &mut Request,
    rest: &[&str],
) -> Result<Response<BoxBody>, ApiError> {
    let view = shared.configuration();
    let (metadata, spec) = authenticate::tenant(&view, request)?;
    let tenant = TenantName(metadata.name.clone());
    let query = request.uri().query().unwrap_or("").to_owned();
    match (request.method().clone(), rest) {
        (Method::POST, []) => {
            let summary = submission::submit(shared, request, &metadata, &spec).await?;
            Ok(described(&summary))
        }
        (Method::GET, []) => list(shared, &tenant, &query).await,
        (Method::GET, [id]) => Ok(described(&owned(shared, &tenant, id).await?)),
        (Method::POST, [id, "cancel"]) => {
            let job = owned(shared, &tenant, id).await?;
            Ok(described(&cancel(shared, job.id).await?))
        }
        (Method::DELETE, [id]) => {
            let job = owned(shared, &tenant, id).await?;
            delete(shared, job.id).await
        }
        (Method::GET, [id, "output"]) => {
            let job = owned(shared, &tenant, id).await?;
            output::stream(shared, OutputRequest::parse(job.id, &query, Lines::All)?).await
        }
        (Method::GET, [id, "errors"]) => {
            let job = owned(shared, &tenant, id).await?;
            output::stream(shared, OutputRequest::parse(job.id, &query, Lines::Errors)?).await
        }
        (_, [] | [_] | [_, "cancel" | "output" | "errors"]) => Err(ApiError::not_run(
            ErrorCode::MethodNotAllowed,
            "This path under /v1/batches does not take this method.",
        )),
        _ => Err(ApiError::not_run(
            ErrorCode::NotFound,
            "No such path under /v1/batches.",
        )),
    }
}

/// The error for a job that does not exist, or is another tenant's.
pub fn unknown(id: &str) -> ApiError {
    ApiError::not_run(ErrorCode::NotFound, format!("No job '{id}'."))
}

fn described(summary: &JobSummary) -> Response<BoxBody> {
    response::json(StatusCode::OK, &JobDescription::of(summary))
}

async fn owned(shared: &Shared, tenant: &TenantName, id: &str) -> Result<JobSummary, ApiError> {
    let found = journal::summary(shared, JobId::from(id)).await?;
    found
        .filter(|job| job.tenant == *tenant)
        .ok_or_else(|| unknown(id))
}

/// Commits a job's cancellation and returns its state.
pub async fn cancel(shared: &Shared, job: JobId) -> Result<JobSummary, ApiError> {
    let id = job.clone();
    match journal::propose(shared, Action::Cancel(job)).await? {
        Outcome::Job(summary) => Ok(*summary),
        _ => Err(unknown(id.as_str())),
    }
}

async fn delete(shared: &Shared, job: JobId) -> Result<Response<BoxBody>, ApiError> {
    match journal::propose(shared, Action::Delete(job.clone())).await? {
        Outcome::Done => Ok(response::json(StatusCode::OK, &DeletedJob::of(job))),
        Outcome::NotEnded => Err(ApiError::not_run(
            ErrorCode::Conflict,
            "The job has not ended; cancel it first.",
        )),
        _ => Err(unknown(job.as_str())),
    }
}

async fn list(
    shared: &Shared,
    tenant: &TenantName,
    query: &str,
) -> Result<Response<BoxBody>, ApiError> {
    let parameter = |name: &str| {
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let mut found = pairs.filter(|(key, _)| *key == name);
        found.next().map(|(_, value)| value)
    };
    let limit = parameter("limit").map_or(Ok(MAXIMUM_LISTED), str::parse);
    let limit = limit.map_err(|_| {
        ApiError::not_run(ErrorCode::InvalidRequest, "'limit' is not a whole number.")
    })?;
    let mut jobs = journal::summaries(shared).await?;
    jobs.retain(|job| job.tenant == *tenant);
    // The newest first, as usual in this interface.
    jobs.sort_by_key(|job| (std::cmp::Reverse(job.times.created_at), job.id.clone()));
    let after = parameter("after");
    let position = after.and_then(|after| jobs.iter().position(|job| job.id.as_str() == after));
    let rest = &jobs[position.map_or(0, |position| position + 1)..];
    let page = &rest[..rest.len().min(limit).min(MAXIMUM_LISTED)];
    let body = JobList::of(page, page.len() < rest.len());
    Ok(response::json(StatusCode::OK, &body))
}
