//! Small application services, passed through.

use crate::gateway::dispatch::{self, Outbound};
use crate::gateway::{authenticate, read_body};
use crate::routing::Target;
use crate::shared::Shared;
use actix_http::body::{BodyStream, BoxBody};
use actix_http::header::{self, HeaderMap, HeaderName};
use actix_http::{HttpMessage, Request, Response};
use firshore_routing::endpoint::Outcome;
use firshore_types::error::{ApiError, ErrorCode};
use std::sync::Arc;

/// Headers that belong to one hop and are not passed on.
const HOP_HEADERS: [HeaderName; 8] = [
    header::AUTHORIZATION,
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::HOST,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

fn passed_on(headers: &HeaderMap) -> HeaderMap {
    let mut passed = HeaderMap::new();
    for (name, value) in headers {
        if !HOP_HEADERS.contains(name) {
            passed.append(name.clone(), value.clone());
        }
    }
    passed
}

/// Passes a request to the service named in its path.
pub async fn handle(
    shared: &Arc<Shared>,
    request: &mut Request,
    service: &str,
) -> Result<Response<BoxBody>, ApiError> {
    let view = shared.configuration();
    authenticate::tenant(&view, request)?;
    let unknown = || ApiError::not_run(ErrorCode::NotFound, format!("No service '{service}'."));
    let (_, spec) = view.service(service).ok_or_else(unknown)?;
    let (_, pool) = view.pool(spec.pool.as_str()).ok_or_else(unknown)?;
    let prefix = format!("/services/{service}");
    let full = request
        .uri()
        .path_and_query()
        .map_or("/", |path| path.as_str());
    let rest = full.strip_prefix(&prefix).unwrap_or("/");
    let path = if rest.starts_with('/') {
        rest.to_owned()
    } else {
        format!("/{rest}")
    };
    let outbound = Outbound {
        method: request.method().clone(),
        path,
        headers: passed_on(request.headers()),
        body: read_body(request, shared.settings.limits.request_body_bytes).await?,
    };
    shared.metrics.requests.inc();
    let target = Target::of_pool(pool);
    let (exchange, running) = dispatch::send(shared, &target, &outbound).await?;
    let mut builder = Response::build(exchange.head.status);
    for (name, value) in &passed_on(&exchange.head.headers) {
        builder.append_header((name.clone(), value.clone()));
    }
    let state = (exchange.body, running);
    let stream = futures_util::stream::try_unfold(state, |(mut body, running)| async move {
        match body.next().await {
            Ok(Some(chunk)) => Ok(Some((chunk, (body, running)))),
            Ok(None) => {
                running.ended(Outcome::Completed);
                Ok(None)
            }
            Err(error) => {
                running.ended(Outcome::Failed);
                Err(ApiError::maybe_run(
                    ErrorCode::BackendFailed,
                    error.to_string(),
                ))
            }
        }
    });
    Ok(builder.body(BodyStream::new(stream)).map_into_boxed_body())
}
