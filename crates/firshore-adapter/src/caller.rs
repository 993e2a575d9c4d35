//! Terms and key that callers send with an online request.

use actix_http::header::HeaderMap;
use std::time::Duration;

/// Part of a prompt that other requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Hash of the part's content.
    pub hash: u64,
    /// Length in tokens.
    pub tokens: u32,
}

/// Terms that a request carries.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestTerms {
    /// Identifier, for logs.
    pub id: String,
    /// Timeout of the caller, from the request's arrival.
    pub deadline: Option<Duration>,
    /// Parts of the prompt, in order; the last one is often unique to the request.
    pub prompt: Vec<PromptPart>,
    /// Number of the last event that the caller received of a resumed stream.
    pub resume_after: Option<u64>,
    /// Identifier of the attempt that brought the first event of a resumed stream, as the caller states it.
    pub resumes: Option<String>,
}

/// The key that a request carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallerKey<'a> {
    /// No key.
    Absent,
    /// Exactly one key.
    Given(&'a str),
    /// Several keys, or one that is not text; matches no tenant.
    Unusable,
}

/// Reads terms and key from a request's headers. Called once for each request.
pub trait CallerDialect {
    /// Reads the terms; invalid values count as absent, because back ends receive the headers unchanged.
    fn read_terms(&self, headers: &HeaderMap) -> RequestTerms;

    /// Reads the key.
    fn read_key<'a>(&self, headers: &'a HeaderMap) -> CallerKey<'a>;
}
