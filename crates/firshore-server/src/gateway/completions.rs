//! Completions on model engines, streamed and whole.

use crate::admission;
use crate::gateway::classify::BackendKind;
use crate::gateway::connection::CallerConnection;
use crate::gateway::dispatch::{self, Answer, AnswerBody, Delivery, Dispatch, Outbound};
use crate::gateway::relay::Relay;
use crate::gateway::terms::Terms;
use crate::gateway::{authenticate, claim, read_body_until};
use crate::routing::Target;
use crate::shared::{ConfigurationView, Shared};
use actix_http::body::{BodyStream, BoxBody};
use actix_http::header::{CONTENT_TYPE, HeaderMap, HeaderName, HeaderValue};
use actix_http::{HttpMessage, Method, Request, Response};
use bytes::Bytes;
use firshore_routing::endpoint::Outcome;
use firshore_types::declaration::{MAXIMUM_PRIORITY, Metadata, PoolSpec};
use firshore_types::error::{ApiError, ErrorCode};
use serde::Deserialize;
use std::rc::Rc;
use std::sync::Arc;

/// Header by which engines learn a request's priority. Online requests have 128 or more, batch
/// items less, so that an engine never lets an online request wait behind an item.
pub const ENGINE_PRIORITY_HEADER: HeaderName = HeaderName::from_static("engine-priority");

/// Added to the priority of online requests.
pub const ONLINE_PRIORITY_BASE: u16 = 128;

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
    let (metadata, tenant) = authenticate::tenant(&view, request)?;
    let terms = Terms::from_headers(shared, request.headers())?;
    let path = request.path().to_owned();
    let limit = shared.settings.limits.request_body_bytes;
    let body = read_body_until(request, limit, terms.deadline).await?;
    let asked: RequestedModel = serde_json::from_slice(&body).map_err(|error| {
        ApiError::not_run(
            ErrorCode::InvalidRequest,
            format!("The body is not usable: {error}."),
        )
    })?;
    let (service, pool) = service(&view, &asked.model)?;
    shared.metrics.requests.inc();
    let target = Target::of_pool(pool).with_prompt(&body);
    let caller = (&metadata, &tenant);
    let admitted = admission::admit(shared, &view, caller, service, target, terms.deadline);
    let admitted = admitted.await?;
    let priority = ONLINE_PRIORITY_BASE + u16::from(admitted.priority.min(MAXIMUM_PRIORITY));
    let claimed_key = terms.key.clone().filter(|_| !terms.repeatable);
    let streamed = asked.stream && claimed_key.is_none();
    let dispatch = Dispatch {
        target: admitted.target,
        outbound: outbound(path, body, priority),
        kind: BackendKind::Engine,
        terms,
        delivery: if streamed {
            Delivery::Streamed
        } else {
            Delivery::Whole(limit)
        },
    };
    if let Some(key) = claimed_key {
        let tenant = metadata.name.as_str().into();
        return Ok(claim::run(shared, tenant, key, dispatch).await);
    }
    let answer = dispatch::send(shared, &dispatch).await?;
    let caller = request.conn_data::<Rc<CallerConnection>>().cloned();
    Ok(respond(shared, dispatch, caller, answer))
}

fn service<'a>(
    view: &'a ConfigurationView,
    model: &str,
) -> Result<(&'a Metadata, &'a PoolSpec), ApiError> {
    let (metadata, service) = view.service_of_model(model).ok_or_else(|| {
        ApiError::not_run(ErrorCode::UnknownModel, format!("No model '{model}'."))
    })?;
    let (_, pool) = view.pool(service.pool.as_str()).ok_or_else(|| {
        let message = "The service's pool is not declared.";
        ApiError::not_run(ErrorCode::NoBackend, message).retry_after(1)
    })?;
    Ok((metadata, pool))
}

fn respond(
    shared: &Arc<Shared>,
    dispatch: Dispatch,
    caller: Option<Rc<CallerConnection>>,
    mut answer: Answer,
) -> Response<BoxBody> {
    let mut builder = Response::build(answer.head.status);
    if let Some(kind) = answer.head.headers.get(CONTENT_TYPE) {
        builder.insert_header((CONTENT_TYPE, kind.clone()));
    }
    if let AnswerBody::Whole(bytes) = &mut answer.body {
        let bytes = std::mem::take(bytes);
        if let Some(run) = answer.run {
            run.ended();
        }
        answer.running.ended(Outcome::Completed);
        return builder.body(bytes).map_into_boxed_body();
    }
    match Relay::new(shared, dispatch, caller, answer) {
        Some(relay) => builder
            .body(BodyStream::new(relay.stream()))
            .map_into_boxed_body(),
        None => builder.body(Bytes::new()).map_into_boxed_body(),
    }
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
