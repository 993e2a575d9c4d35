//! Authenticates requests by their key. No I/O.
//!
//! Each request is checked against the configuration in force when its head has arrived. After a key is removed,
//! responses that have begun are completed, and later requests are refused, on open connections too.

use firshore_adapter::caller::CallerKey;
use firshore_adapter::configuration::ServingConfiguration;
use firshore_adapter::tenant::Tenant;
use firshore_types::error::{ApiError, ErrorCode};
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64;

/// Why a request is not served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AccessError {
    /// The request carries no key.
    NoKey,
    /// The request carries an unknown key, or several keys.
    UnknownKey,
}

impl AccessError {
    /// Returns the error for the caller.
    pub fn api_error(self) -> ApiError {
        let message = match self {
            Self::NoKey => "The request carries no key.",
            Self::UnknownKey => "No tenant holds the key.",
        };
        ApiError::not_run(ErrorCode::Unauthorized, message)
    }
}

/// Returns the tenant that a request comes from; `None` for an anonymous request where no key is needed.
///
/// An unknown key is refused on public routes too, because its sender expects to be served as a tenant.
///
/// # Errors
///
/// Fails if tenants are configured, and the key is unknown or missing on a route that is not public.
pub fn identify(
    configuration: &ServingConfiguration,
    key: CallerKey<'_>,
    public: bool,
) -> Result<Option<Arc<Tenant>>, AccessError> {
    let Some(tenants) = &configuration.tenants else {
        return Ok(None);
    };
    match key {
        CallerKey::Given(key) => {
            let holder = tenants.holder(key).cloned();
            holder.map(Some).ok_or(AccessError::UnknownKey)
        }
        CallerKey::Unusable => Err(AccessError::UnknownKey),
        CallerKey::Absent if public => Ok(None),
        CallerKey::Absent => Err(AccessError::NoKey),
    }
}

/// Returns a short hash of a key for logs, from which the key cannot be recovered.
pub fn key_digest(key: CallerKey<'_>) -> String {
    match key {
        CallerKey::Absent => "none".to_owned(),
        CallerKey::Unusable => "unusable".to_owned(),
        CallerKey::Given(key) => format!("{:08x}", xxh3_64(key.as_bytes()) >> 32),
    }
}
