//! HTTP stand-in for a model engine, driving [`crate::engine_model`] in real time.

mod completion;
mod driver;

use crate::engine_model::{EngineSettings, Faults, Fence, KvExport, Order, OrderOutcome};
use crate::stand_in::server::{Server, json, query_parameter, read_json};
use actix_http::body::BoxBody;
use actix_http::header::{HeaderName, HeaderValue};
use actix_http::{Method, Request, Response, StatusCode};
use driver::Driver;
use serde::Deserialize;
use serde_json::json;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

pub use driver::ExecutionLine;

/// Load at the time of the answer: `RUNNING/WAITING/SLOTS`.
pub const LOAD_HEADER: HeaderName = HeaderName::from_static("engine-load");
/// `draining` on every answer of an engine that is leaving.
pub const STATE_HEADER: HeaderName = HeaderName::from_static("engine-state");
/// What is known of the execution of a request that was not answered in full.
pub const EXECUTION_HEADER: HeaderName = HeaderName::from_static("engine-execution");
/// Why a request was refused.
pub const REFUSAL_HEADER: HeaderName = HeaderName::from_static("engine-refusal");

/// What an engine stand-in is started with.
#[derive(Clone, Debug, Default)]
pub struct EngineOptions {
    /// Its model.
    pub settings: EngineSettings,
    /// Decides which cache events are lost.
    pub seed: u64,
    /// Weight store to ask before a model is loaded.
    pub weight_store: Option<SocketAddr>,
}

/// Starts an engine with default settings but for its slots.
pub fn start(address: SocketAddr, name: &str, slots: u32) -> io::Result<Server> {
    let settings = EngineSettings {
        slots,
        ..EngineSettings::default()
    };
    let options = EngineOptions {
        settings,
        ..EngineOptions::default()
    };
    start_with(address, name, options)
}

/// Starts an engine.
pub fn start_with(
    address: SocketAddr,
    name: &str,
    mut options: EngineOptions,
) -> io::Result<Server> {
    options.settings.waits_for_weight_store = options.weight_store.is_some();
    let driver = Arc::new(Driver::new(name, options));
    let on_worker = driver.clone();
    Server::start_with(
        address,
        move || {
            actix_rt::spawn(driver::run(on_worker.clone()));
        },
        move |request| handle(driver.clone(), request),
    )
}

#[derive(Deserialize)]
struct FencedOrder {
    fence: Fence,
    order: Order,
}

async fn handle(
    driver: Arc<Driver>,
    mut request: Request,
) -> Result<Response<BoxBody>, Infallible> {
    let result = route(&driver, &mut request).await;
    let mut response = result.unwrap_or_else(|refused| refused);
    add_load(&driver, &mut response);
    Ok(response)
}

fn add_load(driver: &Driver, response: &mut Response<BoxBody>) {
    let load = driver.lock().engine.fresh_load();
    let text = format!("{}/{}/{}", load.running, load.waiting, load.slots);
    let value = HeaderValue::from_str(&text).expect("digits are valid");
    response.headers_mut().insert(LOAD_HEADER, value);
    if load.draining {
        let value = HeaderValue::from_static("draining");
        response.headers_mut().insert(STATE_HEADER, value);
    }
}

async fn route(
    driver: &Arc<Driver>,
    request: &mut Request,
) -> Result<Response<BoxBody>, Response<BoxBody>> {
    let path = request.path().to_owned();
    let segments: Vec<&str> = path.trim_matches('/').split('/').collect();
    match (request.method().clone(), segments.as_slice()) {
        (Method::POST, ["v1", "completions"]) => {
            completion::handle(driver, request, completion::Shape::Text).await
        }
        (Method::POST, ["v1", "chat", "completions"]) => {
            completion::handle(driver, request, completion::Shape::Chat).await
        }
        (Method::DELETE, ["v1", "requests", request_id]) => {
            let cancelled = driver.cancel(request_id);
            Ok(json(StatusCode::OK, &json!({"cancelled": cancelled})))
        }
        (Method::GET, ["load"]) => {
            let now = driver.now();
            let load = driver.lock().engine.lagged_load(now);
            Ok(json(StatusCode::OK, &load))
        }
        (Method::GET, ["cache-events"]) => {
            let after = query_parameter(request, "after").parse().unwrap_or(0);
            let now = driver.now();
            let page = driver.lock().engine.cache_events(now, after);
            Ok(json(StatusCode::OK, &page))
        }
        (Method::GET, ["kv", request_id]) => Ok(export_kv(driver, request_id).await),
        (Method::PUT, ["kv", request_id]) => {
            let export: KvExport = read_json(request).await?;
            Ok(import_kv(driver, request_id, export).await)
        }
        (Method::POST, ["orders"]) => Ok(order(driver, read_json(request).await?)),
        (Method::GET, ["executions"]) => Ok(json(StatusCode::OK, &driver.executions())),
        (Method::GET, ["faults"]) => Ok(json(StatusCode::OK, driver.lock().engine.faults())),
        (Method::POST, ["faults"]) => {
            let faults: Faults = read_json(request).await?;
            let now = driver.now();
            driver.lock().engine.set_faults(now, faults);
            Ok(json(StatusCode::OK, &json!({})))
        }
        _ => Ok(json(
            StatusCode::NOT_FOUND,
            &json!({"error": format!("No path '{path}' on engine {}.", driver.name)}),
        )),
    }
}

async fn export_kv(driver: &Driver, request_id: &str) -> Response<BoxBody> {
    let now = driver.now();
    let found = driver.lock().engine.export_kv(now, request_id);
    let Some((export, duration)) = found else {
        let reason = json!({"error": "No generation is kept under this identifier."});
        return json(StatusCode::NOT_FOUND, &reason);
    };
    driver::pause(duration).await;
    json(StatusCode::OK, &export)
}

async fn import_kv(driver: &Driver, request_id: &str, mut export: KvExport) -> Response<BoxBody> {
    export.request_id = request_id.to_owned();
    let now = driver.now();
    let duration = driver.lock().engine.import_kv(now, export);
    let Some(duration) = duration else {
        let reason = json!({"error": "The KV memory is in use. Import it into another engine."});
        return json(StatusCode::SERVICE_UNAVAILABLE, &reason);
    };
    driver::pause(duration).await;
    json(StatusCode::OK, &json!({}))
}

fn order(driver: &Driver, fenced: FencedOrder) -> Response<BoxBody> {
    let now = driver.now();
    let taken = driver.lock().engine.order(now, fenced.fence, fenced.order);
    driver.wake();
    match taken {
        Ok(OrderOutcome::Done) => json(StatusCode::OK, &json!({"state": "done"})),
        Ok(OrderOutcome::Loading) => json(StatusCode::OK, &json!({"state": "loading"})),
        Err(stale) => {
            let crate::engine_model::StaleFence::Held(fence) = stale;
            let body = json!({"error": stale.to_string(), "fence": fence});
            json(StatusCode::CONFLICT, &body)
        }
    }
}
