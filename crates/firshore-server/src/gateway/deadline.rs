//! Until when a caller wants its answer (`Firshore-Timeout-Seconds`).

use actix_http::header::{HeaderMap, HeaderName};
use firshore_types::error::{ApiError, ErrorCode, Execution};
use std::future::Future;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// Header with the time that the caller gives the request, in seconds, fractions allowed.
pub const TIMEOUT_HEADER: HeaderName = HeaderName::from_static("firshore-timeout-seconds");

/// The time after which a request is given up.
#[derive(Clone, Copy, Debug)]
pub struct Deadline(Instant);

impl Deadline {
    /// In `time` from now.
    pub fn after(time: Duration) -> Self {
        Self(Instant::now() + time)
    }

    /// Reads the header; without it, and at most, `longest` from now.
    pub fn from_headers(headers: &HeaderMap, longest: Duration) -> Result<Self, ApiError> {
        let given = match headers.get(TIMEOUT_HEADER) {
            None => longest,
            Some(value) => value
                .to_str()
                .ok()
                .and_then(|text| text.trim().parse::<f64>().ok())
                .filter(|seconds| seconds.is_finite() && *seconds > 0.0)
                .map(|seconds| Duration::try_from_secs_f64(seconds).unwrap_or(longest))
                .ok_or_else(|| {
                    let message =
                        format!("'{TIMEOUT_HEADER}' is not a positive number of seconds.");
                    ApiError::not_run(ErrorCode::InvalidHeader, message)
                })?,
        };
        Ok(Self::after(given.min(longest)))
    }

    /// Waits for `work` until the deadline; `None` once it has passed.
    pub async fn bound<T>(&self, work: impl Future<Output = T>) -> Option<T> {
        timeout_at(self.0, work).await.ok()
    }

    /// Time left.
    pub fn remaining(&self) -> Duration {
        self.0.saturating_duration_since(Instant::now())
    }

    /// The answer to a request whose deadline has passed.
    pub fn exceeded(execution: Execution) -> ApiError {
        ApiError {
            execution,
            ..ApiError::not_run(ErrorCode::DeadlineExceeded, "The deadline has passed.")
        }
    }
}
