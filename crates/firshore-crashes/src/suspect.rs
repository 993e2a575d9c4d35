//! What may crash back ends.

use crate::fingerprint::{PartFingerprint, RequestFingerprint};
use std::fmt;

/// Anything that requests have in common and that may crash the back ends that run them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Suspect {
    /// The whole request.
    Request(RequestFingerprint),
    /// A part of its prompt.
    Part(PartFingerprint),
}

impl Suspect {
    /// Returns the digest of the caller.
    pub fn caller(&self) -> u64 {
        match self {
            Self::Request(request) => request.caller(),
            Self::Part(part) => part.caller(),
        }
    }
}

impl fmt::Display for Suspect {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Request(request) => request.fmt(formatter),
            Self::Part(part) => part.fmt(formatter),
        }
    }
}

impl From<RequestFingerprint> for Suspect {
    fn from(request: RequestFingerprint) -> Self {
        Self::Request(request)
    }
}

impl From<&RequestFingerprint> for Suspect {
    fn from(request: &RequestFingerprint) -> Self {
        Self::Request(*request)
    }
}

impl From<PartFingerprint> for Suspect {
    fn from(part: PartFingerprint) -> Self {
        Self::Part(part)
    }
}

impl From<&PartFingerprint> for Suspect {
    fn from(part: &PartFingerprint) -> Self {
        Self::Part(*part)
    }
}
