//! Filters the headers that are forwarded.

use actix_http::header::{CONNECTION, HeaderMap, HeaderName};

/// Headers that apply to a single connection (RFC 9110, section 7.6.1), or that the codec writes itself.
const CONNECTION_HEADERS: [&str; 9] = [
    "connection",
    "content-length",
    "expect",
    "keep-alive",
    "proxy-authenticate",
    "proxy-connection",
    "te",
    "transfer-encoding",
    "upgrade",
];

/// Returns the end-to-end headers: all except those that apply to a single connection.
pub(super) fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let mut kept = headers.clone();
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| HeaderName::try_from(name.trim()).ok())
        .collect();
    for name in named {
        kept.remove(name);
    }
    for name in CONNECTION_HEADERS {
        kept.remove(name);
    }
    kept
}
