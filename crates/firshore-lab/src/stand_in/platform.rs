//! Object API and machine list in one server.

use crate::stand_in::server::Server;
use actix_http::body::BoxBody;
use actix_http::header::CONTENT_TYPE;
use actix_http::{HttpMessage, Method, Request, Response, StatusCode};
use firshore_types::machine::Machine;
use futures_util::StreamExt;
use parking_lot::Mutex;
use serde::Serialize;
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

const POLL: Duration = Duration::from_millis(20);

#[derive(Clone, Serialize)]
struct Object {
    key: String,
    version: u64,
    value: String,
}

#[derive(Default)]
struct State {
    objects: BTreeMap<String, Object>,
    machines: Vec<Machine>,
}

/// The platform's services.
pub struct Platform {
    /// Where they listen.
    pub server: Server,
    state: Arc<Mutex<State>>,
}

impl Platform {
    /// Serves on `address`.
    pub fn start(address: SocketAddr) -> io::Result<Self> {
        let state = Arc::<Mutex<State>>::default();
        let shared = state.clone();
        let server = Server::start(address, move |request| handle(shared.clone(), request))?;
        Ok(Self { server, state })
    }

    /// Replaces the machine list.
    pub fn set_machines(&self, machines: Vec<Machine>) {
        self.state.lock().machines = machines;
    }
}

async fn handle(
    state: Arc<Mutex<State>>,
    mut request: Request,
) -> Result<Response<BoxBody>, Infallible> {
    let path = request.path().to_owned();
    let response = match (request.method().clone(), path.as_str()) {
        (Method::GET, "/machines") => json(&state.lock().machines),
        (Method::PUT, "/machines") => put_machines(&state, &mut request).await,
        (Method::GET, "/objects") => list(&state, &request).await,
        (Method::PUT, _) => match path.strip_prefix("/objects/") {
            Some(key) => put(&state, &mut request, key).await,
            None => Response::new(StatusCode::NOT_FOUND),
        },
        _ => Response::new(StatusCode::NOT_FOUND),
    };
    Ok(response)
}

fn json(value: &impl Serialize) -> Response<BoxBody> {
    let text = serde_json::to_string(value).expect("state serialises");
    Response::build(StatusCode::OK)
        .insert_header((CONTENT_TYPE, "application/json"))
        .body(text)
        .map_into_boxed_body()
}

async fn read(request: &mut Request) -> String {
    let mut body = Vec::new();
    let mut payload = request.take_payload();
    while let Some(Ok(chunk)) = payload.next().await {
        body.extend_from_slice(&chunk);
    }
    String::from_utf8_lossy(&body).into_owned()
}

async fn put_machines(state: &Mutex<State>, request: &mut Request) -> Response<BoxBody> {
    match serde_json::from_str(&read(request).await) {
        Ok(machines) => {
            state.lock().machines = machines;
            Response::new(StatusCode::OK)
        }
        Err(_) => Response::new(StatusCode::BAD_REQUEST),
    }
}

fn parameter<'a>(query: &'a str, name: &str) -> &'a str {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map_or("", |(_, value)| value)
}

async fn list(state: &Mutex<State>, request: &Request) -> Response<BoxBody> {
    let query = request.uri().query().unwrap_or("").to_owned();
    let prefix = parameter(&query, "prefix");
    let after = parameter(&query, "after").to_owned();
    let wait = Duration::from_millis(parameter(&query, "wait").parse().unwrap_or(0));
    let deadline = Instant::now() + wait;
    loop {
        let found: Vec<Object> = state
            .lock()
            .objects
            .range((
                std::ops::Bound::Excluded(after.clone()),
                std::ops::Bound::Unbounded,
            ))
            .filter(|(key, _)| key.starts_with(prefix))
            .map(|(_, object)| object.clone())
            .collect();
        if !found.is_empty() || Instant::now() >= deadline {
            return json(&found);
        }
        actix_rt::time::sleep(POLL).await;
    }
}

async fn put(state: &Mutex<State>, request: &mut Request, key: &str) -> Response<BoxBody> {
    let must_be_new = request.headers().contains_key("if-none-match");
    let value = read(request).await;
    let mut state = state.lock();
    let version = state.objects.get(key).map(|object| object.version);
    if must_be_new && version.is_some() {
        return Response::new(StatusCode::PRECONDITION_FAILED);
    }
    let version = version.unwrap_or(0) + 1;
    state.objects.insert(
        key.to_owned(),
        Object {
            key: key.to_owned(),
            version,
            value,
        },
    );
    Response::new(StatusCode::OK)
}
