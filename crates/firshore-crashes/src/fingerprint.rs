//! Fingerprints of requests: keyed digests of the caller and the content.
//!
//! Repeats of a request carry different identifiers but have the same fingerprint, at all nodes that share the
//! key. Without the key, a fingerprint neither reveals the content nor allows collisions to be constructed.

use firshore_types::ids::TenantName;
use hmac::{Hmac, KeyInit, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use std::fmt;

/// Separates these digests from others that are derived from the same secret.
const LABEL: &[u8] = b"firshore request print";

/// Input of a fingerprint.
#[derive(Clone, Copy, Debug)]
pub struct FingerprintInput<'a> {
    /// Tenant of the caller, if known.
    pub tenant: Option<&'a TenantName>,
    /// Value of the `Host` header.
    pub host: &'a str,
    /// HTTP method.
    pub method: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// Whole body.
    pub body: &'a [u8],
}

/// Identifies a request across repeats and nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestFingerprint {
    /// Digest of the caller: of the tenant, or of the host if there is none.
    #[serde(rename = "c")]
    caller: u64,
    /// First 8 bytes of the digest of the whole request.
    #[serde(rename = "h")]
    high: u64,
    /// Next 8 bytes.
    #[serde(rename = "l")]
    low: u64,
}

impl RequestFingerprint {
    /// Returns the digest of the caller, which all its requests share.
    pub fn caller(&self) -> u64 {
        self.caller
    }
}

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}{:016x}", self.high, self.low)
    }
}

/// Identifies a part of the prompts of one caller across requests and nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PartFingerprint {
    /// Digest of the caller, as in [`RequestFingerprint`]: what a caller states about a part holds for that caller only.
    #[serde(rename = "c")]
    caller: u64,
    /// Digest of the part.
    #[serde(rename = "h")]
    digest: u64,
}

impl PartFingerprint {
    /// Returns the digest of the caller.
    pub fn caller(&self) -> u64 {
        self.caller
    }
}

impl fmt::Display for PartFingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.digest)
    }
}

/// Input of a part's fingerprint.
#[derive(Clone, Copy, Debug)]
pub struct PartInput<'a> {
    /// Tenant of the caller, if known.
    pub tenant: Option<&'a TenantName>,
    /// Value of the `Host` header.
    pub host: &'a str,
    /// Hash of the part's content, as the caller states it.
    pub hash: u64,
}

/// The key for fingerprints, shared by all nodes of a cluster.
#[derive(Clone)]
pub struct FingerprintKey(Hmac<Sha256>);

impl fmt::Debug for FingerprintKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("FingerprintKey")
    }
}

impl FingerprintKey {
    /// Derives the key from the cluster's secret.
    ///
    /// # Panics
    ///
    /// Never: every length of a secret is accepted.
    pub fn new(secret: &[u8]) -> Self {
        let mut mac = Hmac::<Sha256>::new_from_slice(secret).expect("any key length is accepted");
        mac.update(LABEL);
        Self(mac)
    }

    /// Returns the fingerprint of a request.
    pub fn fingerprint(&self, input: &FingerprintInput<'_>) -> RequestFingerprint {
        let caller = self.caller(input.tenant, input.host);
        let (high, low) = self.digest([
            &caller.to_be_bytes(),
            input.host.as_bytes(),
            input.method.as_bytes(),
            input.target.as_bytes(),
            input.body,
        ]);
        RequestFingerprint { caller, high, low }
    }

    /// Returns the fingerprint of a part of a prompt.
    pub fn part(&self, input: &PartInput<'_>) -> PartFingerprint {
        let caller = self.caller(input.tenant, input.host);
        let (digest, _) = self.digest([
            &caller.to_be_bytes(),
            b"prompt part",
            &input.hash.to_be_bytes(),
        ]);
        PartFingerprint { caller, digest }
    }

    fn caller(&self, tenant: Option<&TenantName>, host: &str) -> u64 {
        let (caller, _) = match tenant {
            Some(tenant) => self.digest([b"tenant", tenant.as_str().as_bytes()]),
            None => self.digest([b"nobody", host.as_bytes()]),
        };
        caller
    }

    /// Returns the first two 8-byte words of the digest of `parts`. Each part is prefixed with its length, so that
    /// bytes moved from one part to the next change the digest.
    fn digest<const COUNT: usize>(&self, parts: [&[u8]; COUNT]) -> (u64, u64) {
        let mut mac = self.0.clone();
        for part in parts {
            mac.update(&(part.len() as u64).to_be_bytes());
            mac.update(part);
        }
        let digest = mac.finalize().into_bytes();
        let word = |from: usize| {
            let bytes = digest[from..from + 8].try_into();
            u64::from_be_bytes(bytes.expect("the slice has eight bytes"))
        };
        (word(0), word(8))
    }
}
