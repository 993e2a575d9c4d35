//! Sends a request to a chosen back end, trying another only where it certainly was not run.

use crate::engine::exchange::{self, Exchange, ExchangeError};
use crate::routing::{self, RunningRequest, Target};
use crate::shared::Shared;
use actix_http::header::HeaderMap;
use actix_http::{Method, RequestHead};
use bytes::Bytes;
use firshore_routing::endpoint::Outcome;
use firshore_types::error::{ApiError, ErrorCode};
use std::net::SocketAddr;
use std::sync::Arc;

/// Most back ends tried for one request.
const MAXIMUM_ATTEMPTS: usize = 3;

/// A request on its way to a back end.
pub struct Outbound {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers beyond those of the hop.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

fn request_head(outbound: &Outbound, address: SocketAddr) -> Result<RequestHead, ApiError> {
    let head = exchange::request_head(outbound.method.clone(), &outbound.path, address);
    let mut head = head.map_err(|error| {
        ApiError::not_run(
            ErrorCode::InvalidRequest,
            format!("The path is unusable: {error}."),
        )
    })?;
    for (name, value) in &outbound.headers {
        head.headers.append(name.clone(), value.clone());
    }
    Ok(head)
}

/// Sends `outbound` to a back end that `target` allows.
pub async fn send(
    shared: &Arc<Shared>,
    target: &Target,
    outbound: &Outbound,
) -> Result<(Exchange, RunningRequest), ApiError> {
    let mut tried = Vec::new();
    while tried.len() < MAXIMUM_ATTEMPTS {
        let Some(running) = routing::choose(shared, target, &tried) else {
            break;
        };
        tried.push(running.endpoint());
        let address = running.address();
        let head = request_head(outbound, address)?;
        match exchange::send(address, head, outbound.body.clone()).await {
            Ok(exchange) => {
                running.answered(&exchange.head.headers);
                return Ok((exchange, running));
            }
            Err(ExchangeError::NotConnected(_)) => running.ended(Outcome::Failed),
            Err(error) => {
                running.ended(Outcome::Failed);
                return Err(ApiError::maybe_run(
                    ErrorCode::BackendFailed,
                    error.to_string(),
                ));
            }
        }
    }
    let message = format!("None of {} back ends tried could be reached.", tried.len());
    Err(ApiError::not_run(ErrorCode::NoBackend, message).retry_after(1))
}
