//! What a caller asks of a request's handling, by its headers.

use crate::gateway::deadline::Deadline;
use crate::shared::Shared;
use actix_http::header::{HeaderMap, HeaderName};
use firshore_types::error::{ApiError, ErrorCode};
use std::time::Duration;

/// Header that marks a request that must run at most once, by `no`.
pub const REPEATABLE_HEADER: HeaderName = HeaderName::from_static("firshore-repeatable");

/// Header with the key under which a non-repeatable request is claimed.
pub const KEY_HEADER: HeaderName = HeaderName::from_static("idempotency-key");

const MAXIMUM_KEY_BYTES: usize = 255;

/// Terms of one request.
#[derive(Clone, Debug)]
pub struct Terms {
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Its `Idempotency-Key`.
    pub key: Option<String>,
    /// Until when the answer is wanted.
    pub deadline: Deadline,
}

fn invalid(name: &HeaderName, problem: &str) -> ApiError {
    ApiError::not_run(ErrorCode::InvalidHeader, format!("'{name}' {problem}."))
}

impl Terms {
    /// Reads the headers.
    pub fn from_headers(shared: &Shared, headers: &HeaderMap) -> Result<Self, ApiError> {
        let longest = Duration::from_secs(shared.settings.limits.request_seconds);
        Ok(Self {
            repeatable: repeatable(headers)?,
            key: key(headers)?,
            deadline: Deadline::from_headers(headers, longest)?,
        })
    }
}

/// Whether a request with these headers is to be claimed by the journal.
pub fn asks_for_claim(headers: &HeaderMap) -> bool {
    headers.contains_key(KEY_HEADER) && matches!(repeatable(headers), Ok(false))
}

fn repeatable(headers: &HeaderMap) -> Result<bool, ApiError> {
    let mut repeatable = true;
    for value in headers.get_all(REPEATABLE_HEADER) {
        let value = value.as_bytes().trim_ascii();
        if value.eq_ignore_ascii_case(b"no") {
            repeatable = false;
        } else if !value.eq_ignore_ascii_case(b"yes") {
            return Err(invalid(&REPEATABLE_HEADER, "is neither 'yes' nor 'no'"));
        }
    }
    Ok(repeatable)
}

fn key(headers: &HeaderMap) -> Result<Option<String>, ApiError> {
    let mut values = headers.get_all(KEY_HEADER);
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(invalid(&KEY_HEADER, "was sent twice"));
    }
    let text = value.to_str().unwrap_or_default().trim();
    if text.is_empty() || text.len() > MAXIMUM_KEY_BYTES {
        return Err(invalid(
            &KEY_HEADER,
            "is not 1 to 255 visible ASCII characters",
        ));
    }
    Ok(Some(text.to_owned()))
}
