//! Tells whoever asks whether the node takes new connections.

use crate::status_listener::StatusAnswer;
use actix_http::StatusCode;
use firshore_gateway::gateway::Gateway;

/// Returns what the node answers: one that leaves says so.
pub fn answer(gateway: &Gateway) -> StatusAnswer {
    let ready = gateway.is_ready() && !gateway.leaving.is_leaving();
    StatusAnswer {
        status: match ready {
            true => StatusCode::OK,
            false => StatusCode::SERVICE_UNAVAILABLE,
        },
        text: String::new(),
    }
}
