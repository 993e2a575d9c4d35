//! Responses to callers.

use actix_http::body::BoxBody;
use actix_http::header::{CONTENT_TYPE, HeaderName, HeaderValue, RETRY_AFTER};
use actix_http::{Response, StatusCode};
use firshore_types::error::ApiError;
use serde::Serialize;
use std::time::Duration;

/// Header that says whether a refused or failed request ran.
pub const EXECUTION_HEADER: HeaderName = HeaderName::from_static("firshore-execution");

/// Time in which the library writes what a body has given it so far.
const FLUSH_PAUSE: Duration = Duration::from_millis(20);

/// To be waited for before a body ends with an error: the library then closes the connection
/// and drops what it has not written, the head included.
pub async fn flush() {
    actix_rt::time::sleep(FLUSH_PAUSE).await;
}

/// A plain text answer.
pub fn text(body: &'static str) -> Response<BoxBody> {
    Response::build(StatusCode::OK)
        .insert_header((CONTENT_TYPE, "text/plain"))
        .body(body)
        .map_into_boxed_body()
}

/// A JSON answer.
pub fn json(status: StatusCode, value: &impl Serialize) -> Response<BoxBody> {
    let body = serde_json::to_string(value).expect("answers serialise");
    Response::build(status)
        .insert_header((CONTENT_TYPE, "application/json"))
        .body(body)
        .map_into_boxed_body()
}

/// The one error body, with its headers.
pub fn of_error(error: &ApiError) -> Response<BoxBody> {
    let status =
        StatusCode::from_u16(error.code.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut builder = Response::build(status);
    builder.insert_header((CONTENT_TYPE, "application/json"));
    builder.insert_header((EXECUTION_HEADER, error.execution.header_value()));
    if let Some(seconds) = error.retry_after_seconds {
        builder.insert_header((RETRY_AFTER, HeaderValue::from(seconds)));
    }
    builder.body(error.body()).map_into_boxed_body()
}
