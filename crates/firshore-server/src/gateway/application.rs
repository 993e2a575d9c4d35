//! Small application services, passed through.

use crate::admission;
use crate::gateway::classify::BackendKind;
use crate::gateway::dispatch::{self, Answer, AnswerBody, Delivery, Dispatch, Outbound};
use crate::gateway::terms::Terms;
use crate::gateway::{authenticate, claim, read_body_until, response};
use crate::routing::Target;
use crate::shared::Shared;
use actix_http::body::{BodyStream, BoxBody};
use actix_http::header::{self, HeaderMap, HeaderName, HeaderValue};
use actix_http::{HttpMessage, Request, Response, ResponseHead};
use firshore_exchange::framing::BodyEnd;
use firshore_routing::endpoint::Outcome;
use firshore_types::error::{ApiError, ErrorCode};
use std::sync::Arc;

/// Headers that belong to one hop and are not passed on.
const HOP_HEADERS: [HeaderName; 10] = [
    header::AUTHORIZATION,
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::EXPECT,
    header::HOST,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Headers between the system and its back ends.
const ENGINE_PREFIX: &str = "engine-";

/// Header on an answer whose end is marked only by the connection's close, so that a cut would
/// not be noticed.
const END_HEADER: HeaderName = HeaderName::from_static("firshore-answer-end");

fn passed_on(headers: &HeaderMap) -> HeaderMap {
    let named: Vec<String> = headers
        .get_all(header::CONNECTION)
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let mut passed = HeaderMap::new();
    for (name, value) in headers {
        let of_the_hop = HOP_HEADERS.contains(name)
            || name.as_str().starts_with(ENGINE_PREFIX)
            || named.iter().any(|one| one == name.as_str());
        if !of_the_hop {
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
    let (metadata, tenant) = authenticate::tenant(&view, request)?;
    let terms = Terms::from_headers(shared, request.headers())?;
    let unknown = || ApiError::not_run(ErrorCode::NotFound, format!("No service '{service}'."));
    let (service_metadata, spec) = view.service(service).ok_or_else(unknown)?;
    let (_, pool) = view.pool(spec.pool.as_str()).ok_or_else(unknown)?;
    let limit = shared.settings.limits.request_body_bytes;
    let outbound = Outbound {
        method: request.method().clone(),
        path: path_at_service(request, service),
        headers: passed_on(request.headers()),
        body: read_body_until(request, limit, terms.deadline).await?,
    };
    shared.metrics.requests.inc();
    let caller = (&metadata, &tenant);
    let target = Target::of_pool(pool);
    let deadline = terms.deadline;
    let admitted =
        admission::admit(shared, &view, caller, service_metadata, target, deadline).await?;
    let claimed_key = terms.key.clone().filter(|_| !terms.repeatable);
    let dispatch = Dispatch {
        target: admitted.target,
        outbound,
        kind: BackendKind::Application,
        terms,
        delivery: if claimed_key.is_some() {
            Delivery::Whole(limit)
        } else {
            Delivery::Streamed
        },
    };
    if let Some(key) = claimed_key {
        let tenant = metadata.name.as_str().into();
        return Ok(claim::run(shared, tenant, key, dispatch).await);
    }
    let deadline = dispatch.terms.deadline;
    let answer = dispatch::send(shared, &dispatch).await?;
    let head = response_head(&answer);
    let AnswerBody::Streamed(body) = answer.body else {
        let message = "The back end's answer was taken the wrong way.";
        return Err(ApiError::maybe_run(ErrorCode::Internal, message));
    };
    let state = (body, answer.running);
    let stream = futures_util::stream::try_unfold(state, move |(mut body, running)| async move {
        let broken = match deadline.bound(body.next()).await {
            Some(Ok(Some(chunk))) => return Ok(Some((chunk, (body, running)))),
            Some(Ok(None)) => {
                running.ended(Outcome::Completed);
                return Ok(None);
            }
            Some(Err(error)) => error.to_string(),
            None => "The deadline has passed.".to_owned(),
        };
        running.ended(Outcome::Failed);
        response::flush().await;
        Err(ApiError::maybe_run(ErrorCode::BackendFailed, broken))
    });
    let body = BodyStream::new(stream);
    Ok(head.set_body(body).map_into_boxed_body())
}

fn path_at_service(request: &Request, service: &str) -> String {
    let prefix = format!("/services/{service}");
    let full = request.uri().path_and_query();
    let full = full.map_or("/", |path| path.as_str());
    let rest = full.strip_prefix(&prefix).unwrap_or("/");
    if rest.starts_with('/') {
        rest.to_owned()
    } else {
        format!("/{rest}")
    }
}

fn response_head(answer: &Answer) -> Response<()> {
    let ResponseHead {
        status, headers, ..
    } = &answer.head;
    let mut response = Response::with_body(*status, ());
    *response.headers_mut() = passed_on(headers);
    if let AnswerBody::Streamed(body) = &answer.body
        && body.end() == BodyEnd::ByClose
    {
        let value = HeaderValue::from_static("unverified");
        response.headers_mut().insert(END_HEADER, value);
    }
    response
}
