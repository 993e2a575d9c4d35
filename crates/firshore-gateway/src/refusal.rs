//! Error responses of the node itself: refusals, which guarantee that the request did not run, and failures.

use crate::answer_end::CompleteAnswer;
use crate::caller_connection::{CallerConnection, CallerDisconnected};
use actix_http::StatusCode;
use actix_http::body::BodySize;
use actix_http::header::{CONTENT_TYPE, HeaderMap, HeaderValue, RETRY_AFTER};
use bytes::Bytes;
use firshore_types::error::{ApiError, ErrorCode, Execution};
use std::time::Duration;

/// Error response of the node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Code, message and whether the request may have run.
    pub error: ApiError,
    /// Time after which the caller should retry.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates the response to a request that has not run and never will, to be retried after `retry_after`.
    pub fn not_run(code: ErrorCode, message: impl Into<String>, retry_after: Duration) -> Self {
        Self {
            error: ApiError::not_run(code, message),
            retry_after: Some(retry_after),
        }
    }

    /// Creates the response to a request that may have run.
    pub fn maybe_run(code: ErrorCode, message: impl Into<String>) -> Self {
        Self {
            error: ApiError::maybe_run(code, message),
            retry_after: None,
        }
    }

    /// Returns the HTTP status of the error code.
    pub fn status(&self) -> StatusCode {
        StatusCode::from_u16(self.error.code.status()).expect("codes have valid statuses")
    }

    /// Returns whether the response guarantees that the request has not run and never will.
    pub fn promises_not_run(&self) -> bool {
        self.error.execution == Execution::None
    }

    /// Returns the bytes of the response, after which the connection closes.
    pub fn closing_response(&self) -> Vec<u8> {
        let status = self.status();
        let wait = self.retry_after.map(seconds);
        let wait = wait.and_then(|wait| wait.to_str().map(str::to_owned).ok());
        let wait = wait.map_or(String::new(), |wait| format!("retry-after: {wait}\r\n"));
        let body = self.error.body();
        let length = body.len();
        let head = format!(
            "HTTP/1.1 {status}\r\nconnection: close\r\n{wait}content-type: application/json\r\n\
             content-length: {length}\r\n\r\n"
        );
        [head, body].concat().into_bytes()
    }

    /// Writes the response to the caller.
    ///
    /// # Errors
    ///
    /// Fails if the caller has closed the connection.
    pub async fn write(
        &self,
        connection: &mut CallerConnection,
        close: bool,
    ) -> Result<(), CallerDisconnected> {
        let mut headers = HeaderMap::new();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Some(wait) = self.retry_after {
            headers.insert(RETRY_AFTER, seconds(wait));
        }
        let body = Bytes::from(self.error.body());
        let size = BodySize::Sized(body.len() as u64);
        connection.put_head(self.status(), headers, size, close);
        connection.put_chunk(body);
        connection.put_end(CompleteAnswer::local());
        connection.flush().await
    }
}

impl From<ApiError> for Refusal {
    fn from(error: ApiError) -> Self {
        let wait = error.retry_after_seconds;
        Self {
            retry_after: wait.map(|seconds| Duration::from_secs(seconds.into())),
            error,
        }
    }
}

/// Formats a duration in seconds, with three decimals unless it is whole.
fn seconds(wait: Duration) -> HeaderValue {
    let text = match wait.subsec_millis() {
        0 => wait.as_secs().to_string(),
        _ => format!("{:.3}", wait.as_secs_f64()),
    };
    HeaderValue::from_str(&text).expect("digits are valid in headers")
}
