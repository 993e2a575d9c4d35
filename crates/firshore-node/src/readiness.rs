//! Readiness of the node for new connections.

use crate::status_listener::StatusAnswer;
use actix_http::StatusCode;
use firshore_gateway::gateway::Gateway;

/// Returns 200 if the node is ready, 503 before that and while it shuts down.
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
