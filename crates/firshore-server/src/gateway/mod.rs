//! The callers' interface.

pub mod application;
pub mod authenticate;
pub mod batches;
pub mod claim;
pub mod classify;
pub mod completions;
pub mod connection;
pub mod deadline;
pub mod dispatch;
pub mod event_stream;
pub mod relay;
pub mod response;
pub mod terms;

use crate::configuration;
use crate::gateway::connection::CallerConnection;
use crate::gateway::deadline::Deadline;
use crate::shared::Shared;
use actix_http::body::BoxBody;
use actix_http::{ConnectionType, HttpMessage, Method, Request, Response, StatusCode, Version};
use bytes::{Bytes, BytesMut};
use firshore_types::error::{ApiError, ErrorCode, Execution};
use futures_util::StreamExt;
use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

/// Answers one request of a caller.
pub async fn handle(
    shared: Arc<Shared>,
    request: Request,
) -> Result<Response<BoxBody>, Infallible> {
    let caller = request.conn_data::<Rc<CallerConnection>>().cloned();
    // Clients of HTTP/1.0 cannot be asked whether they are still there.
    let watched = caller.filter(|_| request.version() == Version::HTTP_11);
    let claimed = terms::asks_for_claim(request.headers());
    let work = route(&shared, request);
    let result = match watched {
        None => work.await,
        Some(caller) => tokio::select! {
            result = work => result,
            () = caller.left() => {
                shared.metrics.cancelled.inc();
                // Nobody reads it: the connection is closed.
                return Ok(Response::new(StatusCode::SERVICE_UNAVAILABLE));
            }
        },
    };
    let mut response = result.unwrap_or_else(|error| {
        let error = if claimed {
            claim::refused_before(error)
        } else {
            error
        };
        shared.metrics.count_error(&error);
        response::of_error(&error)
    });
    if shared.leaving.is_leaving() {
        response
            .head_mut()
            .set_connection_type(ConnectionType::Close);
    }
    Ok(response)
}

async fn route(shared: &Arc<Shared>, mut request: Request) -> Result<Response<BoxBody>, ApiError> {
    let path = request.path().to_owned();
    let segments: Vec<&str> = path
        .split('/')
        .filter(|segment| !segment.is_empty())
        .collect();
    if !matches!(segments.as_slice(), ["healthz"]) {
        configuration::floor::check(shared)?;
    }
    match (request.method().clone(), segments.as_slice()) {
        (Method::GET, ["readyz"]) if shared.leaving.is_leaving() => Err(ApiError::not_run(
            ErrorCode::Unavailable,
            "The node is leaving.",
        )),
        (Method::GET, ["healthz" | "readyz"]) => Ok(response::text("ok\n")),
        (Method::POST, ["v1", "completions"] | ["v1", "chat", "completions"]) => {
            completions::handle(shared, &mut request).await
        }
        (_, ["v1", "completions"] | ["v1", "chat", "completions"]) => Err(ApiError::not_run(
            ErrorCode::MethodNotAllowed,
            "Completions take POST only.",
        )),
        (_, ["v1", "batches", ..]) => batches::handle(shared, &mut request, &segments[2..]).await,
        (_, ["services", service, ..]) => application::handle(shared, &mut request, service).await,
        _ => Err(ApiError::not_run(
            ErrorCode::NotFound,
            format!("No path '{path}'."),
        )),
    }
}

/// Longest time without a byte of a request's body.
const BODY_STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Longest time for a body whose sender gives no deadline.
const BODY_TIMEOUT: Duration = Duration::from_secs(600);

/// Reads a request's body of at most `limit` bytes.
pub async fn read_body(request: &mut Request, limit: usize) -> Result<Bytes, ApiError> {
    read_body_until(request, limit, Deadline::after(BODY_TIMEOUT)).await
}

/// Reads a request's body of at most `limit` bytes, until `deadline`.
pub async fn read_body_until(
    request: &mut Request,
    limit: usize,
    deadline: Deadline,
) -> Result<Bytes, ApiError> {
    let invalid = |message: String| ApiError::not_run(ErrorCode::InvalidRequest, message);
    let mut payload = request.take_payload();
    let mut body = BytesMut::new();
    loop {
        let next = timeout(BODY_STALL_TIMEOUT, payload.next());
        let chunk = match deadline.bound(next).await {
            None => return Err(Deadline::exceeded(Execution::None)),
            Some(Err(_)) => return Err(invalid("The body did not arrive.".to_owned())),
            Some(Ok(None)) => return Ok(body.freeze()),
            Some(Ok(Some(chunk))) => {
                chunk.map_err(|error| invalid(format!("The body broke off: {error}.")))?
            }
        };
        if body.len() + chunk.len() > limit {
            let message = format!("The body exceeds {limit} bytes.");
            return Err(ApiError::not_run(ErrorCode::TooLarge, message));
        }
        body.extend_from_slice(&chunk);
    }
}
