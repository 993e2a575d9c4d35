//! Who a request comes from, and whether it may be served at all. No I/O.
//!
//! Each request is judged by the configuration in force when its head has arrived: a key that is taken
//! away ends no answer that has begun, and none of its later requests is served, on kept connections too.

use firshore_adapter::caller::CallerKey;
use firshore_adapter::configuration::ServingConfiguration;
use firshore_adapter::tenant::Tenant;
use firshore_types::error::{ApiError, ErrorCode};
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64;

/// Why a request is not served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AccessError {
    /// It carries no key.
    NoKey,
    /// It carries a key that no tenant holds, or several.
    UnknownKey,
}

impl AccessError {
    /// The answer to the caller.
    pub fn api_error(self) -> ApiError {
        let message = match self {
            Self::NoKey => "The request carries no key.",
            Self::UnknownKey => "No tenant holds the key.",
        };
        ApiError::not_run(ErrorCode::Unauthorized, message)
    }
}

/// Whom a request comes from: a tenant, or `None` for anybody, where no key is needed.
///
/// A key that nobody holds is refused on public routes too: its sender means to be somebody, and would
/// be served as nobody.
///
/// # Errors
///
/// Where there are tenants and the request comes from none of them.
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

/// A few digits that stand for a key in logs, from which the key cannot be told.
pub fn key_digest(key: CallerKey<'_>) -> String {
    match key {
        CallerKey::Absent => "none".to_owned(),
        CallerKey::Unusable => "unusable".to_owned(),
        CallerKey::Given(key) => format!("{:08x}", xxh3_64(key.as_bytes()) >> 32),
    }
}
