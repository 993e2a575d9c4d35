//! How the end of an answer's body is marked (RFC 9112, section 6.3).
//!
//! The library's codec takes an HTTP/1.1 answer without length and chunks for one without a
//! body, and waits for a body that 204 and 304 never have, so the rule is applied here.

use actix_http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use actix_http::{Method, ResponseHead, StatusCode, Version};
use std::time::Duration;

/// Longest time a connection stays idle if the back end does not say when it closes it. Shorter
/// than the time usual for servers (5 s), so that it is rarely closed at the moment a request is
/// written to it.
const DEFAULT_IDLE_LIFETIME: Duration = Duration::from_secs(3);

/// Time before the announced close from which a connection is not used any more.
const CLOSE_MARGIN: Duration = Duration::from_millis(500);

const KEEP_ALIVE: &str = "keep-alive";

/// How much can be known about a body's end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyEnd {
    /// Length or chunks mark the end.
    Delimited,
    /// Only the connection's close marks it: a cut cannot be told from an end.
    ByClose,
}

/// How a body is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// There is none.
    Empty,
    /// By length or chunks, through the library's codec.
    Delimited,
    /// Until the connection closes.
    ByClose,
}

/// Framing of the answer with `head` to a request with `method`.
pub fn of(method: &Method, head: &ResponseHead) -> Framing {
    let bodiless = matches!(
        head.status,
        StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
    );
    if method == Method::HEAD || bodiless {
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

/// Whether the connection may carry another request after this answer: HTTP/1.1, and no two
/// contradicting marks of the body's end.
pub fn may_keep_connection(head: &ResponseHead) -> bool {
    let twice =
        head.headers.contains_key(TRANSFER_ENCODING) && head.headers.contains_key(CONTENT_LENGTH);
    head.version == Version::HTTP_11 && !twice
}

/// How long the connection may be kept idle after this answer: a little less than the back end
/// announces (`Keep-Alive: timeout=SECONDS`), or `None` if it closes it at once.
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
