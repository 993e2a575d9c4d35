//! Who calls: the bearer key names the tenant.

use crate::shared::ConfigurationView;
use actix_http::header::AUTHORIZATION;
use actix_http::{HttpMessage, Request};
use firshore_types::declaration::{Metadata, TenantSpec};
use firshore_types::error::{ApiError, ErrorCode};

/// The tenant that holds the request's bearer key.
pub fn tenant(
    view: &ConfigurationView,
    request: &Request,
) -> Result<(Metadata, TenantSpec), ApiError> {
    let header = request
        .headers()
        .get(AUTHORIZATION)
        .and_then(|value| value.to_str().ok());
    let key = header.and_then(|value| value.strip_prefix("Bearer "));
    let Some(key) = key else {
        return Err(ApiError::not_run(
            ErrorCode::Unauthorized,
            "No bearer key was sent.",
        ));
    };
    view.tenant(key)
        .map(|(metadata, spec)| (metadata.clone(), spec.clone()))
        .ok_or_else(|| ApiError::not_run(ErrorCode::Unauthorized, "No tenant holds this key."))
}
