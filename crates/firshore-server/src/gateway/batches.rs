//! Batch jobs: submission, state, cancellation, output.

use crate::gateway::{authenticate, read_body, response};
use crate::journal;
use crate::shared::Shared;
use actix_http::body::BoxBody;
use actix_http::header::CONTENT_TYPE;
use actix_http::{HttpMessage, Method, Request, Response, StatusCode};
use bytes::Bytes;
use firshore_batch::command::{Command, Item, Outcome, Submission};
use firshore_batch::job::{JobStatus, JobSummary, RequestCounts};
use firshore_types::configuration::key_digest;
use firshore_types::error::{ApiError, ErrorCode};
use firshore_types::ids::{ItemIndex, JobId, TenantName};
use firshore_types::labels::Labels;
use serde::{Deserialize, Serialize};
use std::collections::HashSet;
use std::sync::Arc;

const KEY_HEADER: &str = "idempotency-key";
const LABELS_HEADER: &str = "firshore-labels";
const OUTPUT_PAGE: u32 = 1000;

#[derive(Deserialize)]
struct Line {
    custom_id: String,
    #[serde(default = "default_url")]
    url: String,
    #[serde(default = "default_repeatable")]
    repeatable: bool,
    body: Box<serde_json::value::RawValue>,
}

fn default_url() -> String {
    "/v1/completions".to_owned()
}

fn default_repeatable() -> bool {
    true
}

#[derive(Serialize)]
struct JobBody<'a> {
    id: &'a JobId,
    object: &'static str,
    status: JobStatus,
    request_counts: RequestCounts,
}

#[derive(Serialize)]
struct OutputLine {
    position: ItemIndex,
    custom_id: String,
    response: OutputResponse,
}

#[derive(Serialize)]
struct OutputResponse {
    status_code: u16,
    body: Box<serde_json::value::RawValue>,
}

/// Answers a request under `/v1/batches`; `rest` is the path below it.
pub async fn handle(
    shared: &Arc<Shared>,
    request: &mut Request,
    rest: &[&str],
) -> Result<Response<BoxBody>, ApiError> {
    let (tenant, _) = authenticate::tenant(&shared.configuration(), request)?;
    let tenant = TenantName(tenant.name);
    match (request.method().clone(), rest) {
        (Method::POST, []) => submit(shared, request, tenant).await,
        (Method::GET, [id]) => Ok(job_response(&owned(shared, &tenant, id).await?)),
        (Method::POST, [id, "cancel"]) => {
            let job = owned(shared, &tenant, id).await?;
            match journal::propose(shared, Command::Cancel(job.id)).await? {
                Outcome::Job(summary) => Ok(job_response(&summary)),
                _ => Err(unknown(id)),
            }
        }
        (Method::GET, [id, "output"]) => output(shared, request, &tenant, id).await,
        _ => Err(ApiError::not_run(
            ErrorCode::NotFound,
            "No such path under /v1/batches.",
        )),
    }
}

fn unknown(id: &str) -> ApiError {
    ApiError::not_run(ErrorCode::NotFound, format!("No job '{id}'."))
}

fn job_response(summary: &JobSummary) -> Response<BoxBody> {
    let body = JobBody {
        id: &summary.id,
        object: "batch",
        status: summary.status,
        request_counts: summary.request_counts,
    };
    response::json(StatusCode::OK, &body)
}

async fn owned(shared: &Shared, tenant: &TenantName, id: &str) -> Result<JobSummary, ApiError> {
    let found = journal::summary(shared, JobId::from(id)).await?;
    found
        .filter(|job| job.tenant == *tenant)
        .ok_or_else(|| unknown(id))
}

fn parse_lines(body: &Bytes, limit: usize) -> Result<Vec<Item>, ApiError> {
    let mut items = Vec::new();
    let mut seen = HashSet::new();
    for (number, line) in body.split(|byte| *byte == b'\n').enumerate() {
        if line.iter().all(u8::is_ascii_whitespace) {
            continue;
        }
        let invalid = |reason: String| {
            let message = format!("Line {}: {reason}.", number + 1);
            ApiError::not_run(ErrorCode::InvalidItem, message)
        };
        let parsed: Line =
            serde_json::from_slice(line).map_err(|error| invalid(error.to_string()))?;
        if !seen.insert(parsed.custom_id.clone()) {
            return Err(invalid(format!(
                "custom_id '{}' stands twice",
                parsed.custom_id
            )));
        }
        if items.len() == limit {
            let message = format!("The job has more than {limit} items.");
            return Err(ApiError::not_run(ErrorCode::TooLarge, message));
        }
        items.push(Item {
            custom_id: parsed.custom_id,
            url: parsed.url,
            body: parsed.body.get().to_owned(),
            repeatable: parsed.repeatable,
        });
    }
    Ok(items)
}

async fn submit(
    shared: &Shared,
    request: &mut Request,
    tenant: TenantName,
) -> Result<Response<BoxBody>, ApiError> {
    let header = |name: &str| {
        request
            .headers()
            .get(name)
            .and_then(|value| value.to_str().ok())
            .map(str::to_owned)
    };
    let key = header(KEY_HEADER).ok_or_else(|| {
        ApiError::not_run(
            ErrorCode::InvalidHeader,
            "A job needs an 'Idempotency-Key' header.",
        )
    })?;
    let labels_text = header(LABELS_HEADER).unwrap_or_default();
    let labels = Labels::from_pairs(
        labels_text
            .split(',')
            .filter_map(|pair| pair.split_once('=')),
    );
    let body = read_body(request, shared.settings.limits.batch_body_bytes).await?;
    let items = parse_lines(&body, shared.settings.limits.batch_items)?;
    let digest = key_digest(&format!("{tenant}\n{key}"));
    let submission = Submission {
        job: JobId(format!("batch_{}", &digest[..24])),
        tenant,
        body_digest: key_digest(&String::from_utf8_lossy(&body)),
        labels,
        items,
    };
    match journal::propose(shared, Command::Submit(submission)).await? {
        Outcome::Job(summary) => Ok(job_response(&summary)),
        Outcome::Conflict => Err(ApiError::not_run(
            ErrorCode::Conflict,
            "This Idempotency-Key was used for a job with another body.",
        )),
        _ => Err(ApiError::maybe_run(
            ErrorCode::Internal,
            "The journal answered unexpectedly.",
        )),
    }
}

async fn output(
    shared: &Shared,
    request: &Request,
    tenant: &TenantName,
    id: &str,
) -> Result<Response<BoxBody>, ApiError> {
    let job = owned(shared, tenant, id).await?;
    let query = request.uri().query().unwrap_or("");
    let from = query.split('&').find_map(|pair| pair.strip_prefix("from="));
    let from: ItemIndex = from
        .map_or(Ok(0), str::parse)
        .map_err(|_| ApiError::not_run(ErrorCode::InvalidRequest, "'from' is not a position."))?;
    let results = journal::results(shared, job.id, from, OUTPUT_PAGE).await?;
    let mut text = String::new();
    for result in results {
        let body = serde_json::value::RawValue::from_string(result.result.body)
            .unwrap_or_else(|_| serde_json::value::RawValue::NULL.to_owned());
        let line = OutputLine {
            position: result.index,
            custom_id: result.custom_id,
            response: OutputResponse {
                status_code: result.result.status,
                body,
            },
        };
        text.push_str(&serde_json::to_string(&line).expect("output serialises"));
        text.push('\n');
    }
    Ok(Response::build(StatusCode::OK)
        .insert_header((CONTENT_TYPE, "application/jsonl"))
        .body(text)
        .map_into_boxed_body())
}
