//! HTTP stand-in for the platform: object API and machine list in one server.
//!
//! | request | answer |
//! |---|---|
//! | `GET /objects/KEY` | the object, or 404 |
//! | `PUT /objects/KEY` | 200 with its version; `if-none-match: *` creates only, `if-match: VERSION` compares and sets; 412 when the condition fails |
//! | `DELETE /objects/KEY` | as `PUT` |
//! | `GET /objects?prefix=P&after=KEY&wait=MS` | objects in order of key; waits for the first |
//! | `GET /watch?prefix=P&since=VERSION&wait=MS` | what changed after the version |
//! | `GET /machines`, `PUT /machines` | the machine list, as it was some time ago |
//! | `POST /faults` | sets [`PlatformFaults`] |
//! | `GET /statistics` | [`Statistics`] |

use crate::stand_in::object_store::{Condition, Mismatch, Object, ObjectStore};
use crate::stand_in::server::{
    ConnectionWatch, Server, broken_off, json, query_parameter, read_body, read_json,
};
use actix_http::body::BoxBody;
use actix_http::{HttpMessage, Method, Request, Response, StatusCode};
use firshore_types::ids::MachineName;
use firshore_types::machine::Machine;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use serde_json::json;
use std::collections::{HashMap, VecDeque};
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

const POLL: Duration = Duration::from_millis(20);

/// Longest wait of a watch or listing.
const MAXIMUM_WAIT: Duration = Duration::from_secs(60);

/// Conditions that tests set; absent fields return to normal.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Closes every connection of the object API without an answer or an effect.
    pub down: bool,
    /// Closes every connection of the machine list.
    pub machine_list_down: bool,
    /// Delay before each request takes effect.
    pub slow_milliseconds: u64,
    /// Reads see the state at the moment this was set.
    pub stale_reads: bool,
    /// So many writes take effect and get no answer.
    pub lose_answers: u64,
    /// Takes the store back to this version, once.
    pub restore_to_version: Option<u64>,
    /// Age of the machine list that is given out.
    pub machine_list_lag_milliseconds: u64,
}

/// What the object API was asked for, to show how many readers it bears.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Statistics {
    /// Reads, watches included.
    pub reads: u64,
    /// Writes, refused ones included.
    pub writes: u64,
    /// Reads that wait now.
    pub waiting: u64,
    /// Most reads that ever waited at once.
    pub waiting_at_most: u64,
    /// Reads of the machine list.
    pub machine_list_reads: u64,
}

struct State {
    objects: ObjectStore,
    stale: Option<ObjectStore>,
    machine_lists: VecDeque<(Instant, Vec<Machine>)>,
    faults: PlatformFaults,
    statistics: Statistics,
}

impl State {
    /// The store that reads see.
    fn readable(&self) -> &ObjectStore {
        self.stale.as_ref().unwrap_or(&self.objects)
    }

    fn set_faults(&mut self, faults: PlatformFaults) {
        if let Some(version) = faults.restore_to_version {
            self.objects.restore(version);
        }
        if faults.stale_reads {
            self.stale.get_or_insert_with(|| self.objects.clone());
        } else {
            self.stale = None;
        }
        self.faults = faults;
    }

    fn set_machines(&mut self, machines: Vec<Machine>) {
        self.machine_lists.push_back((Instant::now(), machines));
    }

    /// The list as it was before the lag; at the start the first one.
    fn machines(&mut self) -> Vec<Machine> {
        let lag = Duration::from_millis(self.faults.machine_list_lag_milliseconds);
        let is_old = |entry: &(Instant, Vec<Machine>)| entry.0.elapsed() >= lag;
        while self.machine_lists.len() > 1 && is_old(&self.machine_lists[1]) {
            self.machine_lists.pop_front();
        }
        let oldest = self.machine_lists.front();
        oldest.map_or_else(Vec::new, |(_, machines)| machines.clone())
    }

    /// Uses up one of the answers that are to be lost, if any.
    fn take_lost_answer(&mut self) -> bool {
        let left = self.faults.lose_answers.checked_sub(1);
        self.faults.lose_answers = left.unwrap_or(0);
        left.is_some()
    }
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
        let state = Arc::new(Mutex::new(State {
            objects: ObjectStore::default(),
            stale: None,
            machine_lists: VecDeque::new(),
            faults: PlatformFaults::default(),
            statistics: Statistics::default(),
        }));
        let shared = state.clone();
        let server = Server::start(address, move |request| handle(shared.clone(), request))?;
        Ok(Self { server, state })
    }

    /// Replaces the machine list; readers see it after the lag.
    pub fn set_machines(&self, machines: Vec<Machine>) {
        self.state.lock().set_machines(machines);
    }

    /// Sets the faults.
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.state.lock().set_faults(faults);
    }

    /// Serves the machine list on another address as one zone sees it: machines named in `seen_at`
    /// stand there at another address, that of a proxy on the way.
    pub fn zone_view(
        &self,
        address: SocketAddr,
        seen_at: HashMap<MachineName, SocketAddr>,
    ) -> io::Result<Server> {
        let state = self.state.clone();
        let seen_at = Arc::new(seen_at);
        Server::start(address, move |_| {
            let answer = view(&mut state.lock(), &seen_at);
            std::future::ready(Ok(answer))
        })
    }

    /// What was asked so far.
    pub fn statistics(&self) -> Statistics {
        self.state.lock().statistics
    }

    /// Version of the object API's last write.
    pub fn version(&self) -> u64 {
        self.state.lock().objects.version()
    }
}

fn view(state: &mut State, seen_at: &HashMap<MachineName, SocketAddr>) -> Response<BoxBody> {
    state.statistics.machine_list_reads += 1;
    if state.faults.machine_list_down {
        return broken_off();
    }
    let mut machines = state.machines();
    for machine in &mut machines {
        if let Some(address) = seen_at.get(&machine.name) {
            machine.address = *address;
        }
    }
    json(StatusCode::OK, &machines)
}

async fn handle(
    state: Arc<Mutex<State>>,
    mut request: Request,
) -> Result<Response<BoxBody>, Infallible> {
    let path = request.path().to_owned();
    let response = match (request.method().clone(), path.as_str()) {
        (Method::POST, "/faults") => match read_json(&mut request).await {
            Ok(faults) => {
                state.lock().set_faults(faults);
                json(StatusCode::OK, &json!({}))
            }
            Err(refused) => refused,
        },
        (Method::GET, "/statistics") => json(StatusCode::OK, &state.lock().statistics),
        (method, "/machines") => machines(&state, &mut request, &method).await,
        (method, _) => objects(&state, &mut request, &method, &path).await,
    };
    Ok(response)
}

async fn machines(
    state: &Mutex<State>,
    request: &mut Request,
    method: &Method,
) -> Response<BoxBody> {
    if *method == Method::PUT {
        return match read_json(request).await {
            Ok(machines) => {
                state.lock().set_machines(machines);
                json(StatusCode::OK, &json!({}))
            }
            Err(refused) => refused,
        };
    }
    view(&mut state.lock(), &HashMap::new())
}

async fn objects(
    state: &Mutex<State>,
    request: &mut Request,
    method: &Method,
    path: &str,
) -> Response<BoxBody> {
    let slow = state.lock().faults.slow_milliseconds;
    actix_rt::time::sleep(Duration::from_millis(slow)).await;
    if state.lock().faults.down {
        return broken_off();
    }
    match (method, path, path.strip_prefix("/objects/")) {
        (&Method::GET, "/objects", _) => list(state, request).await,
        (&Method::GET, "/watch", _) => watch(state, request).await,
        (&Method::GET, _, Some(key)) => get(state, key),
        (&Method::PUT | &Method::DELETE, _, Some(key)) => write(state, request, method, key).await,
        _ => json(StatusCode::NOT_FOUND, &json!({"error": "No such path."})),
    }
}

fn get(state: &Mutex<State>, key: &str) -> Response<BoxBody> {
    let mut state = state.lock();
    state.statistics.reads += 1;
    match state.readable().get(key) {
        Some(object) => json(StatusCode::OK, object),
        None => json(StatusCode::NOT_FOUND, &json!({"error": "No such object."})),
    }
}

async fn list(state: &Mutex<State>, request: &Request) -> Response<BoxBody> {
    let prefix = query_parameter(request, "prefix").to_owned();
    let after = query_parameter(request, "after").to_owned();
    let read = |store: &ObjectStore| {
        let found: Vec<Object> = store.list_after(&prefix, &after);
        (!found.is_empty()).then(|| json(StatusCode::OK, &found))
    };
    let nothing: [Object; 0] = [];
    wait_for(state, request, read)
        .await
        .unwrap_or_else(|| json(StatusCode::OK, &nothing))
}

async fn watch(state: &Mutex<State>, request: &Request) -> Response<BoxBody> {
    let prefix = query_parameter(request, "prefix").to_owned();
    let since = query_parameter(request, "since").parse().unwrap_or(0);
    let read = |store: &ObjectStore| {
        let changes = store.changes(&prefix, since);
        let empty = changes.written.is_empty() && changes.deleted.is_empty();
        // A version that lies ahead of the store's tells of a restore.
        (!empty || since > changes.version).then(|| json(StatusCode::OK, &changes))
    };
    let answer = wait_for(state, request, read).await;
    answer.unwrap_or_else(|| {
        let changes = state.lock().readable().changes(&prefix, since);
        json(StatusCode::OK, &changes)
    })
}

/// Reads until there is something to answer, the request's wait is over or its caller has left. A
/// platform that goes down meanwhile breaks the answer off.
async fn wait_for(
    state: &Mutex<State>,
    request: &Request,
    read: impl Fn(&ObjectStore) -> Option<Response<BoxBody>>,
) -> Option<Response<BoxBody>> {
    let wait = query_parameter(request, "wait").parse().unwrap_or(0);
    let deadline = Instant::now() + Duration::from_millis(wait).min(MAXIMUM_WAIT);
    let _waiting = Waiting::start(state);
    loop {
        let (answer, down) = {
            let state = state.lock();
            (read(state.readable()), state.faults.down)
        };
        if down {
            return Some(broken_off());
        }
        if answer.is_some() || Instant::now() >= deadline {
            return answer;
        }
        if ConnectionWatch::has_left(request) {
            return Some(broken_off());
        }
        actix_rt::time::sleep(POLL).await;
    }
}

/// Counts a read while it waits.
struct Waiting<'a>(&'a Mutex<State>);

impl<'a> Waiting<'a> {
    fn start(state: &'a Mutex<State>) -> Self {
        let statistics = &mut state.lock().statistics;
        statistics.reads += 1;
        statistics.waiting += 1;
        statistics.waiting_at_most = statistics.waiting_at_most.max(statistics.waiting);
        Self(state)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.lock().statistics.waiting -= 1;
    }
}

fn condition(request: &Request) -> Result<Condition, Response<BoxBody>> {
    let headers = request.headers();
    if headers.contains_key("if-none-match") {
        return Ok(Condition::Absent);
    }
    let Some(version) = headers.get("if-match") else {
        return Ok(Condition::Always);
    };
    let version = version.to_str().ok().and_then(|text| text.parse().ok());
    version.map(Condition::Version).ok_or_else(|| {
        let reason = json!({"error": "if-match takes a version number."});
        json(StatusCode::BAD_REQUEST, &reason)
    })
}

async fn write(
    state: &Mutex<State>,
    request: &mut Request,
    method: &Method,
    key: &str,
) -> Response<BoxBody> {
    let condition = match condition(request) {
        Ok(condition) => condition,
        Err(refused) => return refused,
    };
    let Some(body) = read_body(request).await else {
        return broken_off();
    };
    let value = String::from_utf8_lossy(&body).into_owned();
    let mut state = state.lock();
    state.statistics.writes += 1;
    let written = if *method == Method::PUT {
        state.objects.put(key, value, condition)
    } else {
        state.objects.delete(key, condition)
    };
    if written.is_ok() && state.take_lost_answer() {
        return broken_off();
    }
    match written {
        Ok(version) => json(StatusCode::OK, &json!({"version": version})),
        Err(Mismatch { found }) => {
            let body = json!({"error": "The condition does not hold.", "version": found});
            json(StatusCode::PRECONDITION_FAILED, &body)
        }
    }
}
