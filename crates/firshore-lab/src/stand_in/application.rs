//! A small application service: parcel tiles by `GET`, alarms by `POST`; it logs executions.

use crate::engine_model::Outcome;
use crate::stand_in::engine::{EXECUTION_HEADER, ExecutionLine};
use crate::stand_in::server::{Server, json, read_body, read_json};
use actix_http::body::BoxBody;
use actix_http::header::HeaderValue;
use actix_http::{HttpMessage, Method, Request, Response, StatusCode};
use firshore_server::clock::unix_milliseconds;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use serde_json::json;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

const SLOTS: u32 = 64;

/// Conditions that tests set; absent fields return to normal.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ApplicationFaults {
    /// Says that it is leaving and refuses.
    pub draining: bool,
    /// Refuses before running.
    pub refuse: bool,
    /// Takes so long for each request.
    pub slow_milliseconds: u64,
    /// Runs this many requests and closes without an answer.
    pub lose_answers: u32,
}

struct State {
    name: String,
    running: AtomicU32,
    executions: Mutex<Vec<ExecutionLine>>,
    faults: Mutex<ApplicationFaults>,
}

/// Serves an application back end on `address`. The last segment of a request's path is its
/// marker, and the answer repeats it.
pub fn start(address: SocketAddr, name: &str) -> io::Result<Server> {
    let state = Arc::new(State {
        name: name.to_owned(),
        running: AtomicU32::new(0),
        executions: Mutex::default(),
        faults: Mutex::default(),
    });
    Server::start(address, move |request| handle(state.clone(), request))
}

async fn handle(state: Arc<State>, mut request: Request) -> Result<Response<BoxBody>, Infallible> {
    let path = request.path().to_owned();
    let mut response = match (request.method().clone(), path.as_str()) {
        (Method::GET, "/load") => load(&state),
        (Method::GET, "/executions") => json(StatusCode::OK, &*state.executions.lock()),
        (Method::POST, "/faults") => match read_json(&mut request).await {
            Ok(faults) => {
                *state.faults.lock() = faults;
                json(StatusCode::OK, &json!({}))
            }
            Err(refused) => refused,
        },
        _ => run(&state, &mut request, &path).await,
    };
    add_load(&state, &mut response);
    Ok(response)
}

fn load(state: &State) -> Response<BoxBody> {
    let running = state.running.load(Ordering::Relaxed);
    let draining = state.faults.lock().draining;
    json(
        StatusCode::OK,
        &json!({"running": running, "waiting": 0, "slots": SLOTS, "online_running": running,
            "batch_running": 0, "kv_blocks_used": 0, "kv_blocks_total": 0, "role": "mixed",
            "models": [], "draining": draining, "step_milliseconds": 0.0, "age_milliseconds": 0}),
    )
}

fn add_load(state: &State, response: &mut Response<BoxBody>) {
    let running = state.running.load(Ordering::Relaxed);
    let load = HeaderValue::from_str(&format!("{running}/0/{SLOTS}")).expect("digits are valid");
    let headers = response.headers_mut();
    headers.insert(crate::stand_in::engine::LOAD_HEADER, load);
    if state.faults.lock().draining {
        let draining = HeaderValue::from_static("draining");
        headers.insert(crate::stand_in::engine::STATE_HEADER, draining);
    }
}

async fn run(state: &State, request: &mut Request, path: &str) -> Response<BoxBody> {
    let faults = state.faults.lock().clone();
    if faults.draining || faults.refuse {
        let body = json!({"error": "The back end takes nothing new. Use another."});
        let mut response = json(StatusCode::SERVICE_UNAVAILABLE, &body);
        let none = HeaderValue::from_static("none");
        response.headers_mut().insert(EXECUTION_HEADER, none);
        return response;
    }
    let started = unix_milliseconds();
    let body = read_body(request).await.unwrap_or_default();
    state.running.fetch_add(1, Ordering::Relaxed);
    actix_rt::time::sleep(Duration::from_millis(faults.slow_milliseconds)).await;
    state.running.fetch_sub(1, Ordering::Relaxed);
    let marker = path.rsplit('/').next().unwrap_or("").to_owned();
    let request_id = request.headers().get("engine-request-id");
    let request_id = request_id.and_then(|value| value.to_str().ok());
    state.executions.lock().push(ExecutionLine {
        request_id: request_id.unwrap_or("").to_owned(),
        marker: marker.clone(),
        priority: crate::engine_model::FIRST_ONLINE_PRIORITY,
        queued_unix_ms: started,
        started_unix_ms: started,
        ended_unix_ms: Some(unix_milliseconds()),
        outcome: Outcome::Completed,
        resumed_from: None,
        tokens: 0,
    });
    if faults.lose_answers > 0 {
        state.faults.lock().lose_answers = faults.lose_answers - 1;
        return crate::stand_in::server::broken_off();
    }
    let text = String::from_utf8_lossy(&body);
    json(
        StatusCode::OK,
        &json!({"served_by": state.name, "path": path, "marker": marker,
            "method": request.method().as_str(), "body": text}),
    )
}
