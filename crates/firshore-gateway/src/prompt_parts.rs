//! Fingerprints of the parts of a prompt that other requests may share.

use firshore_adapter::caller::PromptPart;
use firshore_crashes::fingerprint::{FingerprintKey, PartFingerprint, PartInput};
use firshore_types::ids::TenantName;

/// Maximum number of parts of one request; of more, the last ones, which fewer requests share.
pub const MAX_PARTS: usize = 6;

/// Returns the fingerprints of the shared parts of a prompt, in order: all but the last, which is the request's own.
pub fn shared_parts(
    key: &FingerprintKey,
    tenant: Option<&TenantName>,
    host: &str,
    prompt: &[PromptPart],
) -> Vec<PartFingerprint> {
    let shared = &prompt[..prompt.len().saturating_sub(1)];
    let last = &shared[shared.len().saturating_sub(MAX_PARTS)..];
    let input = |part: &PromptPart| PartInput {
        tenant,
        host,
        hash: part.hash,
    };
    last.iter().map(|part| key.part(&input(part))).collect()
}
