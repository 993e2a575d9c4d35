//! Tells whoever asks whether the node takes new connections.

use crate::status_listener::StatusResponse;
use actix_http::StatusCode;
use firshore_gateway::gateway::Gateway;

/// Returns what the node answers: one that leaves says so.
pub fn answer(gateway: &Gateway) -> StatusResponse {
    let ready = gateway.is_ready() && !gateway.leaving.is_leaving();
    StatusResponse {
        status: match ready {
            true => StatusCode::OK,
            false => StatusCode::SERVICE_UNAVAILABLE,
        },
        text: String::new(),
    }
}
