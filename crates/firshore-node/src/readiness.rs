//! Readiness of the node for new connections.

use crate::status_listener::StatusResponse;
use actix_http::StatusCode;
use firshore_gateway::gateway::Gateway;

/// Returns 200 if the node is ready, 503 before that and while it shuts down.
pub fn response(gateway: &Gateway) -> StatusResponse {
    let ready = gateway.is_ready() && !gateway.leaving.is_leaving();
    StatusResponse {
        status: match ready {
            true => StatusCode::OK,
            false => StatusCode::SERVICE_UNAVAILABLE,
        },
        text: String::new(),
    }
}
