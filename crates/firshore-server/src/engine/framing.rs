//! How the end of an answer's body is marked (RFC 9112, section 6.3).
//!
//! The library's codec takes an HTTP/1.1 answer without length and chunks for one without a
//! body, and waits for a body that 204 and 304 never have, so the rule is applied here.

use actix_http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use actix_http::{Method, ResponseHead, StatusCode, Version};

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
