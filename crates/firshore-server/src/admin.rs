//! Operators' interface on the admin address: health, metrics, status, configuration, drain.

use crate::configuration::status::MemberStatus;
use crate::gateway::{read_body, response};
use crate::shared::Shared;
use crate::{admin_jobs, configuration, journal};
use actix_http::body::BoxBody;
use actix_http::header::CONTENT_TYPE;
use actix_http::{Method, Request, Response, StatusCode};
use firshore_config::proposal::Proposal;
use firshore_types::error::{ApiError, ErrorCode};
use firshore_types::ids::{ChangeId, Revision};
use serde::{Deserialize, Serialize};
use std::convert::Infallible;
use std::sync::Arc;

/// Text format that Prometheus scrapes.
const METRICS_CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

const MAXIMUM_PROPOSAL_BYTES: usize = 16 * 1024 * 1024;

/// What `firshore status` shows of a node.
#[derive(Serialize, Deserialize)]
pub struct Status {
    /// Revision in force.
    pub revision: Revision,
    /// Members as this node sees them, each with what it has in force.
    pub members: Vec<MemberStatus>,
    /// Highest floor that any of them knows of.
    pub floor: Revision,
    /// Back ends on its machine list.
    pub machines: usize,
}

/// Answer to an accepted proposal.
#[derive(Serialize, Deserialize)]
pub struct Accepted {
    /// Revision that the change became.
    pub revision: Revision,
}

/// Answer to the question what became of a change.
#[derive(Serialize, Deserialize)]
pub struct Settled {
    /// Revision that the change became, if it was accepted.
    pub revision: Option<Revision>,
}

/// Path below which changes are asked for by identifier.
const CHANGES_PATH: &str = "/configuration/changes/";

/// Answers one request on the admin address.
pub async fn handle(
    shared: Arc<Shared>,
    mut request: Request,
) -> Result<Response<BoxBody>, Infallible> {
    let result = route(&shared, &mut request).await;
    Ok(result.unwrap_or_else(|error| response::of_error(&error)))
}

async fn route(shared: &Arc<Shared>, request: &mut Request) -> Result<Response<BoxBody>, ApiError> {
    let path = request.path().to_owned();
    match (request.method().clone(), path.as_str()) {
        (Method::GET, "/healthz") => Ok(response::text("ok\n")),
        (Method::GET, "/readyz") => ready(shared),
        (Method::GET, "/metrics") => Ok(metrics(shared)),
        (Method::GET, "/journal") => Ok(response::json(
            StatusCode::OK,
            &journal::report::groups(shared),
        )),
        (Method::GET, "/status") => Ok(response::json(StatusCode::OK, &status(shared).await)),
        (Method::GET, "/configuration") => Ok(response::json(
            StatusCode::OK,
            &*shared.configuration().configuration,
        )),
        (Method::POST, "/configuration") => propose(shared, request).await,
        (Method::GET, path) if path.starts_with(CHANGES_PATH) => {
            let id = ChangeId::from(&path[CHANGES_PATH.len()..]);
            let revision = configuration::accept::settle(shared, &id).await?;
            Ok(response::json(StatusCode::OK, &Settled { revision }))
        }
        (_, path) if path == "/jobs" || path.starts_with("/jobs/") => {
            admin_jobs::handle(shared, request, path).await
        }
        (Method::POST, "/drain") => {
            shared.leaving.begin();
            Ok(response::text("leaving\n"))
        }
        _ => Err(ApiError::not_run(
            ErrorCode::NotFound,
            format!("No path '{path}'."),
        )),
    }
}

fn ready(shared: &Shared) -> Result<Response<BoxBody>, ApiError> {
    if shared.leaving.is_leaving() {
        return Err(ApiError::not_run(
            ErrorCode::Unavailable,
            "The node is leaving.",
        ));
    }
    configuration::floor::check(shared)?;
    Ok(response::text("ready\n"))
}

async fn status(shared: &Shared) -> Status {
    let members = configuration::status::of_members(shared).await;
    Status {
        revision: shared.configuration().configuration.revision,
        floor: configuration::status::highest_floor(&members),
        members,
        machines: shared.machines.read().len(),
    }
}

async fn propose(
    shared: &Arc<Shared>,
    request: &mut Request,
) -> Result<Response<BoxBody>, ApiError> {
    let body = read_body(request, MAXIMUM_PROPOSAL_BYTES).await?;
    let proposal: Proposal = serde_json::from_slice(&body).map_err(|error| {
        ApiError::not_run(
            ErrorCode::InvalidRequest,
            format!("The proposal is unusable: {error}."),
        )
    })?;
    let revision = configuration::accept(shared, &proposal).await?;
    Ok(response::json(StatusCode::OK, &Accepted { revision }))
}

fn metrics(shared: &Shared) -> Response<BoxBody> {
    let metrics = &shared.metrics;
    let revision = shared.configuration().configuration.revision;
    let alive = shared.members.lock().alive(shared.clock.now()).len();
    let machines = shared.machines.read().len();
    metrics.revision.set(revision.0 as i64);
    metrics.members_alive.set(alive as i64);
    metrics.machines.set(machines as i64);
    Response::build(StatusCode::OK)
        .insert_header((CONTENT_TYPE, METRICS_CONTENT_TYPE))
        .body(metrics.encode())
        .map_into_boxed_body()
}
