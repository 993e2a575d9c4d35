//! The callers' interface.

pub mod application;
pub mod authenticate;
pub mod batches;
pub mod completions;
pub mod dispatch;
pub mod response;

use crate::configuration;
use crate::shared::Shared;
use actix_http::body::BoxBody;
use actix_http::{Method, Request, Response};
use bytes::{Bytes, BytesMut};
use firshore_types::error::{ApiError, ErrorCode};
use futures_util::StreamExt;
use std::convert::Infallible;
use std::sync::Arc;

/// Answers one request of a caller.
pub async fn handle(
    shared: Arc<Shared>,
    request: Request,
) -> Result<Response<BoxBody>, Infallible> {
    let result = route(&shared, request).await;
    Ok(result.unwrap_or_else(|error| {
        shared.metrics.count_error(&error);
        response::of_error(&error)
    }))
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

/// Reads a request's body of at most `limit` bytes.
pub async fn read_body(request: &mut Request, limit: usize) -> Result<Bytes, ApiError> {
    let mut payload = request.take_payload();
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|error| {
            ApiError::not_run(
                ErrorCode::InvalidRequest,
                format!("The body broke off: {error}."),
            )
        })?;
        if body.len() + chunk.len() > limit {
            let message = format!("The body exceeds {limit} bytes.");
            return Err(ApiError::not_run(ErrorCode::TooLarge, message));
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}
