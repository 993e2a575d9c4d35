//! Determines how the end of a response's body is marked (RFC 9112, section 6.3).
//!
//! The codec of `actix-http` differs from the RFC: it treats an HTTP/1.1 response without length and chunks as
//! empty, and waits for a body after 204 and 304.

use actix_http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use actix_http::{Method, ResponseHead, StatusCode, Version};
use std::time::Duration;

/// Idle lifetime of a connection if the back end doesn't announce one. Shorter than the typical server default
/// (5 s), so that a request is rarely written to a connection that is being closed.
const DEFAULT_IDLE_LIFETIME: Duration = Duration::from_secs(3);

/// Time before the announced close from which a connection is no longer used.
const CLOSE_MARGIN: Duration = Duration::from_millis(500);

const KEEP_ALIVE: &str = "keep-alive";

/// How the end of a body can be detected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyEnd {
    /// By length or chunks.
    Delimited,
    /// By the close of the connection only: truncation can't be detected.
    ByClose,
}

/// How a body is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// There is no body.
    Empty,
    /// By length or chunks, decoded by the codec.
    Delimited,
    /// Until the connection closes.
    ByClose,
}

/// Returns the framing of the response with `head` to a request with `method`.
pub fn of(method: &Method, head: &ResponseHead) -> Framing {
    let has_no_body = matches!(
        head.status,
        StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
    );
    if method == Method::HEAD || has_no_body {
        return Framing::Empty;
    }
    if head.version == Version::HTTP_11 && is_chunked(head) {
        return Framing::Delimited;
    }
    match head.headers.get(CONTENT_LENGTH) {
        Some(length) if is_zero(length.as_bytes()) => Framing::Empty,
        Some(_) => Framing::Delimited,
        None => Framing::ByClose,
    }
}

fn is_chunked(head: &ResponseHead) -> bool {
    let encoding = head.headers.get(TRANSFER_ENCODING);
    encoding.is_some_and(|value| {
        let value = value.as_bytes().trim_ascii();
        value.eq_ignore_ascii_case(b"chunked")
    })
}

fn is_zero(length: &[u8]) -> bool {
    let digits = length.trim_ascii();
    !digits.is_empty() && digits.iter().all(|digit| *digit == b'0')
}

/// Returns whether the connection may be reused after this response: it is HTTP/1.1 and doesn't have both a length
/// and a transfer encoding.
pub fn may_keep_connection(head: &ResponseHead) -> bool {
    let is_ambiguous =
        head.headers.contains_key(TRANSFER_ENCODING) && head.headers.contains_key(CONTENT_LENGTH);
    head.version == Version::HTTP_11 && !is_ambiguous
}

/// Returns how long the connection may be kept idle after this response: slightly less than the back end announces
/// (`Keep-Alive: timeout=SECONDS`), or `None` if it closes the connection at once.
pub fn idle_lifetime(head: &ResponseHead) -> Option<Duration> {
    let Some(value) = head.headers.get(KEEP_ALIVE) else {
        return Some(DEFAULT_IDLE_LIFETIME);
    };
    let parameters = value.to_str().unwrap_or_default().split(',');
    let seconds = parameters
        .filter_map(|parameter| parameter.trim().strip_prefix("timeout="))
        .find_map(|digits| digits.trim().parse().ok());
    match seconds {
        None => Some(DEFAULT_IDLE_LIFETIME),
        Some(0) => None,
        Some(seconds) => Some(Duration::from_secs(seconds) - CLOSE_MARGIN),
    }
}
