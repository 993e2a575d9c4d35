//! Batch jobs on the admin address, of every tenant.

use crate::gateway::batches::output::{self, Lines, OutputRequest};
use crate::gateway::batches::{cancel, unknown};
use crate::gateway::response;
use crate::journal;
use crate::shared::Shared;
use actix_http::body::BoxBody;
use actix_http::{Method, Request, Response, StatusCode};
use firshore_types::error::{ApiError, ErrorCode};
use firshore_types::ids::JobId;
use std::sync::Arc;

/// Answers a request for `path`, which is `/jobs` or below it.
pub async fn handle(
    shared: &Arc<Shared>,
    request: &Request,
    path: &str,
) -> Result<Response<BoxBody>, ApiError> {
    let segments: Vec<&str> = path.trim_matches('/').split('/').collect();
    let query = request.uri().query().unwrap_or("");
    match (request.method().clone(), &segments[1..]) {
        (Method::GET, []) => {
            let jobs = journal::summaries(shared).await?;
            Ok(response::json(StatusCode::OK, &jobs))
        }
        (Method::GET, [id]) => {
            let job = journal::summary(shared, JobId::from(*id)).await?;
            let job = job.ok_or_else(|| unknown(id))?;
            Ok(response::json(StatusCode::OK, &job))
        }
        (Method::POST, [id, "cancel"]) => {
            let job = cancel(shared, JobId::from(*id)).await?;
            Ok(response::json(StatusCode::OK, &job))
        }
        (Method::GET, [id, "output"]) => {
            let job = journal::summary(shared, JobId::from(*id)).await?;
            let job = job.ok_or_else(|| unknown(id))?;
            output::stream(shared, OutputRequest::parse(job.id, query, Lines::All)?).await
        }
        _ => Err(ApiError::not_run(
            ErrorCode::NotFound,
            format!("No path '{path}'."),
        )),
    }
}
