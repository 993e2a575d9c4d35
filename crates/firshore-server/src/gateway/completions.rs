//! Completions on model engines, streamed and whole.

use crate::engine::exchange::ExchangeBody;
use crate::gateway::dispatch::{self, Outbound};
use crate::gateway::{authenticate, read_body};
use crate::routing::{RunningRequest, Target};
use crate::shared::Shared;
use actix_http::body::{BodyStream, BoxBody};
use actix_http::header::{CONTENT_TYPE, HeaderMap, HeaderName, HeaderValue};
use actix_http::{Method, Request, Response};
use bytes::Bytes;
use firshore_routing::endpoint::Outcome;
use firshore_types::declaration::MAXIMUM_PRIORITY;
use firshore_types::error::{ApiError, ErrorCode};
use serde::Deserialize;
use std::sync::Arc;

/// Header by which engines learn a request's priority. Online requests have 128 or more, batch
/// items less, so that an engine never lets an online request wait behind an item.
pub const ENGINE_PRIORITY_HEADER: HeaderName = HeaderName::from_static("engine-priority");

/// Added to the priority of online requests.
pub const ONLINE_PRIORITY_BASE: u16 = 128;

/// Last event of a complete stream.
const TERMINAL_EVENT: &[u8] = b"data: [DONE]";

#[derive(Deserialize)]
struct RequestedModel {
    model: String,
    #[serde(default)]
    stream: bool,
}

/// Runs a completion.
pub async fn handle(
    shared: &Arc<Shared>,
    request: &mut Request,
) -> Result<Response<BoxBody>, ApiError> {
    let view = shared.configuration();
    let (_, tenant) = authenticate::tenant(&view, request)?;
    let path = request.path().to_owned();
    let body = read_body(request, shared.settings.limits.request_body_bytes).await?;
    let asked: RequestedModel = serde_json::from_slice(&body).map_err(|error| {
        ApiError::not_run(
            ErrorCode::InvalidRequest,
            format!("The body is not usable: {error}."),
        )
    })?;
    let (_, service) = view.service_of_model(&asked.model).ok_or_else(|| {
        ApiError::not_run(
            ErrorCode::UnknownModel,
            format!("No model '{}'.", asked.model),
        )
    })?;
    let Some((_, pool)) = view.pool(service.pool.as_str()) else {
        return Err(ApiError::not_run(
            ErrorCode::NoBackend,
            "The service's pool is not declared.",
        ));
    };
    shared.metrics.requests.inc();
    let priority = ONLINE_PRIORITY_BASE + u16::from(tenant.priority.min(MAXIMUM_PRIORITY));
    let target = Target::of_pool(pool).with_prompt(&body);
    let outbound = outbound(path, body, priority);
    let (mut exchange, running) = dispatch::send(shared, &target, &outbound).await?;
    let mut builder = Response::build(exchange.head.status);
    if let Some(kind) = exchange.head.headers.get(CONTENT_TYPE) {
        builder.insert_header((CONTENT_TYPE, kind.clone()));
    }
    if asked.stream && exchange.head.status.is_success() {
        let stream = relay(exchange.body, running);
        return Ok(builder.body(BodyStream::new(stream)).map_into_boxed_body());
    }
    let limit = shared.settings.limits.request_body_bytes;
    let whole = exchange
        .body
        .read_whole(limit)
        .await
        .map_err(|error| ApiError::maybe_run(ErrorCode::BackendFailed, error.to_string()))?;
    running.ended(Outcome::Completed);
    Ok(builder.body(whole).map_into_boxed_body())
}

/// The request that an engine gets.
pub fn outbound(path: String, body: Bytes, priority: u16) -> Outbound {
    let mut headers = HeaderMap::new();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers.insert(ENGINE_PRIORITY_HEADER, HeaderValue::from(priority));
    Outbound {
        method: Method::POST,
        path,
        headers,
        body,
    }
}

struct Relay {
    body: ExchangeBody,
    tail: Vec<u8>,
    running: RunningRequest,
}

impl Relay {
    fn remember(&mut self, chunk: &[u8]) {
        self.tail.extend_from_slice(chunk);
        let excess = self.tail.len().saturating_sub(TERMINAL_EVENT.len() + 4);
        self.tail.drain(..excess);
    }

    fn ended_properly(&self) -> bool {
        self.tail
            .windows(TERMINAL_EVENT.len())
            .any(|window| window == TERMINAL_EVENT)
    }
}

/// Passes a stream on chunk by chunk. A stream without its terminal event ends with an error, so
/// that the caller's connection closes without a proper end.
fn relay(
    body: ExchangeBody,
    running: RunningRequest,
) -> impl futures_util::Stream<Item = Result<Bytes, ApiError>> {
    let start = Some(Relay {
        body,
        tail: Vec::new(),
        running,
    });
    futures_util::stream::unfold(start, |state| async move {
        let mut relay = state?;
        match relay.body.next().await {
            Ok(Some(chunk)) => {
                relay.running.chunk();
                relay.remember(&chunk);
                Some((Ok(chunk), Some(relay)))
            }
            Ok(None) if relay.ended_properly() => {
                relay.running.ended(Outcome::Completed);
                None
            }
            Ok(None) | Err(_) => {
                relay.running.ended(Outcome::Failed);
                let message = "The engine broke off before the answer's end.";
                Some((
                    Err(ApiError::maybe_run(ErrorCode::BackendFailed, message)),
                    None,
                ))
            }
        }
    })
}
