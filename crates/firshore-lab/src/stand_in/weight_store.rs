//! Weight store: lets model loads begin at a limited rate.

use crate::stand_in::server::{Server, json, read_json};
use actix_http::body::BoxBody;
use actix_http::{Method, Request, Response, StatusCode};
use bytes::Bytes;
use firshore_exchange::exchange;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use serde_json::json;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Wait before an unreachable store is asked again.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Longest answer read, in bytes.
const MAXIMUM_ANSWER_BYTES: usize = 64 * 1024;

/// Rate limit of a weight store.
#[derive(Clone, Copy, Debug)]
pub struct WeightStoreSettings {
    /// Loads that may begin at once after a quiet time.
    pub burst: u32,
    /// Loads a second that may begin in the long run.
    pub loads_per_second: f64,
}

impl Default for WeightStoreSettings {
    fn default() -> Self {
        Self {
            burst: 2,
            loads_per_second: 0.5,
        }
    }
}

/// A token bucket; times are milliseconds.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    settings: WeightStoreSettings,
    tokens: f64,
    refilled_at: u64,
}

impl TokenBucket {
    /// A full bucket.
    pub fn new(settings: WeightStoreSettings) -> Self {
        Self {
            settings,
            tokens: f64::from(settings.burst),
            refilled_at: 0,
        }
    }

    /// Takes a token, or gives the milliseconds until there is one.
    pub fn take(&mut self, now: u64) -> Result<(), u64> {
        let elapsed = now.saturating_sub(self.refilled_at) as f64 / 1000.0;
        self.refilled_at = now;
        let refilled = self.tokens + elapsed * self.settings.loads_per_second;
        self.tokens = refilled.min(f64::from(self.settings.burst));
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        let missing = 1.0 - self.tokens;
        Err((missing / self.settings.loads_per_second * 1000.0).ceil() as u64)
    }
}

#[derive(Serialize, Deserialize)]
struct LoadRequest {
    engine: String,
}

struct State {
    bucket: TokenBucket,
    granted: Vec<String>,
}

/// Serves a weight store on `address`. `POST /loads` answers 200 when the load may begin and 429
/// with `retry_milliseconds` when it may not; `GET /loads` lists the engines let through.
pub fn start(address: SocketAddr, settings: WeightStoreSettings) -> io::Result<Server> {
    let state = Arc::new(Mutex::new(State {
        bucket: TokenBucket::new(settings),
        granted: Vec::new(),
    }));
    let origin = Instant::now();
    Server::start(address, move |request| {
        handle(state.clone(), origin, request)
    })
}

async fn handle(
    state: Arc<Mutex<State>>,
    origin: Instant,
    mut request: Request,
) -> Result<Response<BoxBody>, Infallible> {
    let path = request.path().to_owned();
    let response = match (request.method().clone(), path.as_str()) {
        (Method::POST, "/loads") => match read_json::<LoadRequest>(&mut request).await {
            Ok(load) => begin(&mut state.lock(), origin, load),
            Err(refused) => refused,
        },
        (Method::GET, "/loads") => json(StatusCode::OK, &state.lock().granted),
        _ => json(StatusCode::NOT_FOUND, &json!({"error": "No such path."})),
    };
    Ok(response)
}

fn begin(state: &mut State, origin: Instant, load: LoadRequest) -> Response<BoxBody> {
    match state.bucket.take(origin.elapsed().as_millis() as u64) {
        Ok(()) => {
            state.granted.push(load.engine);
            json(StatusCode::OK, &json!({}))
        }
        Err(wait) => json(
            StatusCode::TOO_MANY_REQUESTS,
            &json!({"retry_milliseconds": wait}),
        ),
    }
}

/// Asks the store until it lets `engine` load.
pub async fn wait_for_turn(store: SocketAddr, engine: &str) {
    loop {
        match ask(store, engine).await {
            Some(None) => return,
            Some(Some(wait)) => actix_rt::time::sleep(Duration::from_millis(wait)).await,
            None => actix_rt::time::sleep(RETRY_PAUSE).await,
        }
    }
}

/// `Some(None)` when the load may begin, `Some(Some(wait))` when it may not yet.
async fn ask(store: SocketAddr, engine: &str) -> Option<Option<u64>> {
    let load = LoadRequest {
        engine: engine.to_owned(),
    };
    let body = Bytes::from(serde_json::to_string(&load).ok()?);
    let head = exchange::request_head(Method::POST, "/loads", store).ok()?;
    let mut exchange = exchange::send(store, head, body).await.ok()?;
    let answer = exchange.body.read_whole(MAXIMUM_ANSWER_BYTES).await.ok()?;
    if exchange.head.status.is_success() {
        return Some(None);
    }
    let answer: serde_json::Value = serde_json::from_slice(&answer).ok()?;
    Some(answer["retry_milliseconds"].as_u64())
}
