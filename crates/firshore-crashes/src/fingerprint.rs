//! What a request asks and who asks it, as a keyed digest.
//!
//! Each repeat of a request carries an identifier of its own; the digest is the same for all of them, at all
//! nodes that share the key. Nobody without the key can tell what was asked, or find two requests with the
//! same digest.

use firshore_types::ids::TenantName;
use hmac::{Hmac, KeyInit, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use std::fmt;

/// Keeps these digests apart from others that are made with the same secret.
const LABEL: &[u8] = b"firshore request print";

/// What is told apart.
#[derive(Clone, Copy, Debug)]
pub struct FingerprintInput<'a> {
    /// Tenant that asks, where it is known.
    pub tenant: Option<&'a TenantName>,
    /// Host that the request names.
    pub host: &'a str,
    /// Method.
    pub method: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// Body.
    pub body: &'a [u8],
}

/// Stands for a request, whoever sends it on and however often it comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestFingerprint {
    /// Digest of the caller: of the tenant, or of the host where there is none.
    #[serde(rename = "c")]
    caller: u64,
    /// First half of the digest of the whole request.
    #[serde(rename = "h")]
    high: u64,
    /// Second half.
    #[serde(rename = "l")]
    low: u64,
}

impl RequestFingerprint {
    /// Returns what is the same for all requests of a caller.
    pub fn caller(&self) -> u64 {
        self.caller
    }
}

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}{:016x}", self.high, self.low)
    }
}

/// The key, which all nodes of a cluster share.
#[derive(Clone)]
pub struct FingerprintKey(Hmac<Sha256>);

impl fmt::Debug for FingerprintKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("PrintKey")
    }
}

impl FingerprintKey {
    /// A key made of the cluster's secret.
    ///
    /// # Panics
    ///
    /// Never: every length of a secret is accepted.
    pub fn new(secret: &[u8]) -> Self {
        let mut mac = Hmac::<Sha256>::new_from_slice(secret).expect("any key length is accepted");
        mac.update(LABEL);
        Self(mac)
    }

    /// Returns what stands for a request.
    pub fn fingerprint(&self, asked: &FingerprintInput<'_>) -> RequestFingerprint {
        let caller = match asked.tenant {
            Some(tenant) => [b"tenant", tenant.as_str().as_bytes()],
            None => [b"nobody", asked.host.as_bytes()],
        };
        let (caller_half, _) = self.halves(caller);
        let (high, low) = self.halves([
            &caller_half.to_be_bytes(),
            asked.host.as_bytes(),
            asked.method.as_bytes(),
            asked.target.as_bytes(),
            asked.body,
        ]);
        RequestFingerprint {
            caller: caller_half,
            high,
            low,
        }
    }

    /// Digests parts, each with its length, so that no part can run on into the next one.
    fn halves<const COUNT: usize>(&self, parts: [&[u8]; COUNT]) -> (u64, u64) {
        let mut mac = self.0.clone();
        for part in parts {
            mac.update(&(part.len() as u64).to_be_bytes());
            mac.update(part);
        }
        let digest = mac.finalize().into_bytes();
        let half = |from: usize| {
            let bytes = digest[from..from + 8].try_into();
            u64::from_be_bytes(bytes.expect("half a digest has eight bytes"))
        };
        (half(0), half(8))
    }
}
