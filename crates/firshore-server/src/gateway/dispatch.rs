//! Sends a request to a chosen back end, trying another only where it certainly was not run.

use crate::engine::exchange::{self, Exchange, ExchangeError};
use crate::shared::Shared;
use actix_http::header::HeaderMap;
use actix_http::{Method, RequestHead};
use bytes::Bytes;
use firshore_types::error::{ApiError, ErrorCode};
use firshore_types::ids::MachineName;
use firshore_types::machine::Machine;
use std::sync::Arc;

/// Most back ends tried for one request.
const MAXIMUM_ATTEMPTS: usize = 3;

/// A request on its way to a back end.
pub struct Outbound {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers beyond those of the hop.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// Counts a request at a back end as ended when dropped.
pub struct Outstanding {
    shared: Arc<Shared>,
    machine: MachineName,
}

impl Drop for Outstanding {
    fn drop(&mut self) {
        self.shared.balancer.lock().ended(&self.machine);
    }
}

fn nearest(shared: &Shared, machines: &[Machine], tried: &[MachineName]) -> Vec<MachineName> {
    let open: Vec<&Machine> = machines
        .iter()
        .filter(|machine| !tried.contains(&machine.name))
        .collect();
    let local: Vec<MachineName> = open
        .iter()
        .filter(|machine| machine.zone == shared.settings.zone)
        .map(|machine| machine.name.clone())
        .collect();
    if !local.is_empty() {
        return local;
    }
    open.iter().map(|machine| machine.name.clone()).collect()
}

fn request_head(outbound: &Outbound, machine: &Machine) -> Result<RequestHead, ApiError> {
    let head = exchange::request_head(outbound.method.clone(), &outbound.path, machine.address);
    let mut head = head.map_err(|error| {
        ApiError::not_run(
            ErrorCode::InvalidRequest,
            format!("The path is unusable: {error}."),
        )
    })?;
    for (name, value) in &outbound.headers {
        head.headers.append(name.clone(), value.clone());
    }
    Ok(head)
}

/// Sends `outbound` to one of `machines`.
pub async fn send(
    shared: &Arc<Shared>,
    machines: &[Machine],
    outbound: &Outbound,
) -> Result<(Exchange, Outstanding), ApiError> {
    let mut tried = Vec::new();
    while tried.len() < MAXIMUM_ATTEMPTS {
        let candidates = nearest(shared, machines, &tried);
        let chosen = shared.balancer.lock().choose(&candidates, &mut rand::rng());
        let Some(name) = chosen else { break };
        let outstanding = Outstanding {
            shared: shared.clone(),
            machine: name.clone(),
        };
        let Some(machine) = machines.iter().find(|machine| machine.name == name) else {
            break;
        };
        let head = request_head(outbound, machine)?;
        match exchange::send(machine.address, head, outbound.body.clone()).await {
            Ok(exchange) => return Ok((exchange, outstanding)),
            Err(ExchangeError::NotConnected(_)) => tried.push(name),
            Err(error) => {
                return Err(ApiError::maybe_run(
                    ErrorCode::BackendFailed,
                    error.to_string(),
                ));
            }
        }
    }
    let message = format!("None of {} back ends could be reached.", machines.len());
    Err(ApiError::not_run(ErrorCode::NoBackend, message).retry_after(1))
}
