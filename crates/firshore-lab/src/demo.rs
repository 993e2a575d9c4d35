//! A whole fleet in one process over loopback sockets, driven for a bounded time.

use crate::stand_in::platform::Platform;
use crate::stand_in::server::Server;
use crate::stand_in::{application, engine};
use crate::topology::{CallerShape, Topology};
use actix_http::Method;
use actix_http::header::{AUTHORIZATION, HeaderName, HeaderValue};
use argh::FromArgs;
use bytes::Bytes;
use firshore_server::engine::exchange;
use firshore_server::logging;
use firshore_server::node::Node;
use firshore_server::settings::{
    Cluster, JournalSettings, LimitSettings, Listen, LogSettings, Platform as PlatformSettings,
    Settings, Storage,
};
use firshore_types::configuration::Configuration;
use firshore_types::declaration::{Declaration, Protocol};
use firshore_types::ids::{ChangeId, MachineName, Revision};
use firshore_types::labels::Labels;
use firshore_types::machine::{Machine, MachineState};
use firshore_types::validation::parse_declarations;
use hdrhistogram::Histogram;
use serde_json::{Value, json};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant};

const SLOTS: u32 = 16;
const MAXIMUM_MICROSECONDS: u64 = 600_000_000;
const ANSWER_LIMIT: usize = 16 * 1024 * 1024;
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Run a whole fleet in this process for a bounded time.
#[derive(FromArgs)]
#[argh(subcommand, name = "demo")]
pub struct Demo {
    /// folder of the topology and its declarations
    #[argh(option, default = "PathBuf::from(\"examples/fieldline\")")]
    topology: PathBuf,
    /// seconds of load
    #[argh(option, default = "10")]
    seconds: u64,
    /// stay up until interrupted
    #[argh(switch)]
    keep: bool,
}

impl Demo {
    /// Runs it; `Ok(true)` when no promise was broken.
    pub fn run(&self) -> Result<bool, String> {
        let demo = run(&self.topology, self.seconds, self.keep);
        actix_rt::System::new().block_on(demo)
    }
}

/// A fleet that runs.
pub struct Fleet {
    /// Nodes.
    pub nodes: Vec<Node>,
    /// Platform.
    pub platform: Platform,
    /// Back ends.
    pub engines: Vec<Server>,
}

/// What the callers saw.
#[derive(Default)]
struct Tally {
    requests: u64,
    tokens: u64,
    broken: Vec<String>,
    first_token: Option<Histogram<u64>>,
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// A folder of the node's own, new in each run.
fn data_folder(node: &str) -> PathBuf {
    let run = format!(
        "firshore-{}-{:08x}",
        std::process::id(),
        rand::random::<u32>()
    );
    std::env::temp_dir().join(run).join(node)
}

fn settings(
    topology: &Topology,
    zone: &str,
    number: usize,
    platform: SocketAddr,
    seeds: Vec<SocketAddr>,
) -> Settings {
    Settings {
        name: format!("{zone}-{number}").as_str().into(),
        region: topology.region.as_str().into(),
        zone: zone.into(),
        listen: Listen {
            callers: any_port(),
            peers: any_port(),
            admin: any_port(),
            advertised_peers: None,
        },
        cluster: Cluster {
            secret: "demonstration-secret-only".to_owned(),
            seeds,
        },
        platform: PlatformSettings {
            object_api: format!("http://{platform}"),
            machine_list: format!("http://{platform}"),
        },
        storage: Some(Storage {
            data_folder: data_folder(&format!("{zone}-{number}")),
        }),
        journal: JournalSettings::default(),
        log: LogSettings::default(),
        limits: LimitSettings {
            workers: 1,
            ..LimitSettings::default()
        },
    }
}

impl Fleet {
    /// Starts platform, back ends and nodes.
    pub fn start(topology: &Topology) -> std::io::Result<Self> {
        Self::start_with(topology, &JournalSettings::default())
    }

    /// Starts them with other settings of the journal.
    pub fn start_with(topology: &Topology, journal: &JournalSettings) -> std::io::Result<Self> {
        let platform = Platform::start(any_port())?;
        let mut engines = Vec::new();
        let mut machines = Vec::new();
        for service in &topology.services {
            for number in 0..service.engines {
                let name = format!("{}-{number}", service.name);
                let server = match service.protocol {
                    Protocol::Model => engine::start(any_port(), &name, SLOTS)?,
                    Protocol::Application => application::start(any_port(), &name)?,
                };
                let zone = topology.zones[number % topology.zones.len()].as_str();
                machines.push(Machine {
                    name: MachineName(name),
                    address: server.address,
                    region: topology.region.as_str().into(),
                    zone: zone.into(),
                    labels: Labels::from_pairs([("pool", service.pool.as_str())]),
                    state: MachineState::Live,
                });
                engines.push(server);
            }
        }
        platform.set_machines(machines);
        let mut nodes: Vec<Node> = Vec::new();
        for zone in &topology.zones {
            for number in 0..topology.nodes_per_zone {
                let seeds = nodes.iter().map(|node| node.peers).collect();
                let mut settings = settings(topology, zone, number, platform.server.address, seeds);
                settings.journal = journal.clone();
                nodes.push(Node::start(settings, logging::silent())?);
            }
        }
        Ok(Self {
            nodes,
            platform,
            engines,
        })
    }

    /// Stops everything.
    pub fn stop(self) {
        for node in &self.nodes {
            node.stop();
        }
        for node in self.nodes {
            node.join();
        }
        for engine in self.engines {
            engine.stop();
        }
        self.platform.server.stop();
    }
}

/// Sends one request and reads its JSON answer.
pub async fn call(
    address: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(HeaderName, String)],
    body: String,
) -> Result<(u16, String), String> {
    let mut head =
        exchange::request_head(method, path, address).map_err(|error| error.to_string())?;
    for (name, value) in headers {
        let value = HeaderValue::from_str(value).map_err(|error| error.to_string())?;
        head.headers.insert(name.clone(), value);
    }
    let mut exchange = exchange::send(address, head, Bytes::from(body))
        .await
        .map_err(|error| error.to_string())?;
    let body = exchange
        .body
        .read_whole(ANSWER_LIMIT)
        .await
        .map_err(|error| error.to_string())?;
    Ok((
        exchange.head.status.as_u16(),
        String::from_utf8_lossy(&body).into_owned(),
    ))
}

/// Reads a topology's declarations.
pub fn read_declarations(folder: &Path) -> Result<Vec<Declaration>, String> {
    let mut declarations = Vec::new();
    let entries =
        std::fs::read_dir(folder.join("declarations")).map_err(|error| error.to_string())?;
    for entry in entries {
        let path = entry.map_err(|error| error.to_string())?.path();
        let text = std::fs::read_to_string(&path).map_err(|error| error.to_string())?;
        let found = parse_declarations(&path.display().to_string(), &text).map_err(|faults| {
            faults
                .iter()
                .map(ToString::to_string)
                .collect::<Vec<_>>()
                .join("\n")
        })?;
        declarations.extend(found);
    }
    Ok(declarations)
}

/// Puts declarations into force on every node of a new fleet.
pub async fn apply(fleet: &Fleet, upserts: Vec<Declaration>) -> Result<(), String> {
    let proposal = firshore_config::proposal::Proposal {
        change_id: ChangeId::from("demo"),
        author: "demo".to_owned(),
        base: Revision(0),
        upserts,
        removals: Vec::new(),
    };
    let body = serde_json::to_string(&proposal).expect("proposals serialise");
    let (status, text) = call(
        fleet.nodes[0].admin,
        Method::POST,
        "/configuration",
        &[],
        body,
    )
    .await?;
    if status != 200 {
        return Err(text);
    }
    let deadline = Instant::now() + READY_TIMEOUT;
    for node in &fleet.nodes {
        loop {
            let (_, text) = call(
                node.admin,
                Method::GET,
                "/configuration",
                &[],
                String::new(),
            )
            .await?;
            let held: Configuration =
                serde_json::from_str(&text).map_err(|error| error.to_string())?;
            if held.revision >= Revision(1) && !node.shared.machines.read().is_empty() {
                break;
            }
            if Instant::now() > deadline {
                return Err("a node did not come into force in time".to_owned());
            }
            actix_rt::time::sleep(Duration::from_millis(50)).await;
        }
    }
    Ok(())
}

fn prompt(marker: &str, tokens: usize) -> String {
    let mut words = vec![marker.to_owned()];
    words.extend((1..tokens).map(|number| format!("w{number}")));
    words.join(" ")
}

async fn completion(
    address: SocketAddr,
    caller: &CallerShape,
    marker: &str,
) -> Result<(Duration, u64), String> {
    let body = json!({
        "model": caller.service, "prompt": prompt(marker, caller.prompt_tokens),
        "max_tokens": caller.output_tokens, "stream": caller.stream,
    });
    let mut head = exchange::request_head(Method::POST, "/v1/completions", address)
        .map_err(|error| error.to_string())?;
    let key = format!("Bearer {}", caller.key);
    head.headers
        .insert(AUTHORIZATION, HeaderValue::from_str(&key).expect("ASCII"));
    let start = Instant::now();
    let mut exchange = exchange::send(address, head, Bytes::from(body.to_string()))
        .await
        .map_err(|error| error.to_string())?;
    let mut first = None;
    let mut text = String::new();
    while let Some(chunk) = exchange
        .body
        .next()
        .await
        .map_err(|error| error.to_string())?
    {
        first.get_or_insert_with(|| start.elapsed());
        text.push_str(&String::from_utf8_lossy(&chunk));
    }
    if !exchange.head.status.is_success() {
        return Err(text);
    }
    if !text.contains(marker) || !text.contains("[DONE]") {
        return Err(format!("answer to {marker} is not its own or not whole"));
    }
    Ok((first.unwrap_or_default(), caller.output_tokens as u64))
}

async fn drive(
    address: SocketAddr,
    caller: CallerShape,
    tally: Rc<RefCell<Tally>>,
    until: Instant,
) {
    let pause = Duration::from_secs_f64(1.0 / caller.requests_per_second);
    let mut number = 0;
    let mut tasks = Vec::new();
    while Instant::now() < until {
        number += 1;
        let marker = format!("{}-{number}", caller.name);
        let caller = caller.clone();
        let tally = tally.clone();
        tasks.push(actix_rt::spawn(async move {
            let result = if caller.stream {
                completion(address, &caller, &marker).await
            } else {
                let path = format!("/services/{}/item/{marker}", caller.service);
                let headers = [(AUTHORIZATION, format!("Bearer {}", caller.key))];
                match call(address, Method::GET, &path, &headers, String::new()).await {
                    Ok((200, text)) if text.contains(&marker) => Ok((Duration::ZERO, 0)),
                    Ok((status, text)) => Err(format!("status {status}: {text}")),
                    Err(error) => Err(error),
                }
            };
            let mut tally = tally.borrow_mut();
            tally.requests += 1;
            match result {
                Ok((first, tokens)) => {
                    tally.tokens += tokens;
                    if caller.stream {
                        let histogram = tally.first_token.get_or_insert_with(|| {
                            Histogram::new_with_bounds(1, MAXIMUM_MICROSECONDS, 3)
                                .expect("the bounds are valid")
                        });
                        histogram.saturating_record(first.as_micros() as u64);
                    }
                }
                Err(error) => tally.broken.push(error),
            }
        }));
        actix_rt::time::sleep(pause).await;
    }
    for task in tasks {
        let _ = task.await;
    }
}

async fn batch(address: SocketAddr, topology: &Topology, until: Instant) -> Result<u64, String> {
    let shape = &topology.batch;
    let lines: Vec<String> = (0..shape.items)
        .map(|number| {
            let body = json!({"model": shape.service, "max_tokens": shape.output_tokens,
                "prompt": prompt(&format!("item-{number}"), shape.prompt_tokens)});
            json!({"custom_id": format!("item-{number}"), "body": body}).to_string()
        })
        .collect();
    let headers = [
        (AUTHORIZATION, format!("Bearer {}", shape.key)),
        (
            HeaderName::from_static("idempotency-key"),
            "demo-1".to_owned(),
        ),
    ];
    let (status, text) = call(
        address,
        Method::POST,
        "/v1/batches",
        &headers,
        lines.join("\n"),
    )
    .await?;
    if status != 200 {
        return Err(text);
    }
    let job: Value = serde_json::from_str(&text).map_err(|error| error.to_string())?;
    let path = format!("/v1/batches/{}", job["id"].as_str().unwrap_or_default());
    loop {
        let (_, text) = call(address, Method::GET, &path, &headers, String::new()).await?;
        let job: Value = serde_json::from_str(&text).map_err(|error| error.to_string())?;
        if job["status"] == "completed" {
            break;
        }
        if Instant::now() > until {
            return Err(format!("the job did not complete: {text}"));
        }
        actix_rt::time::sleep(Duration::from_millis(100)).await;
    }
    let path = format!("{path}/output");
    let (_, output) = call(address, Method::GET, &path, &headers, String::new()).await?;
    for line in output.lines() {
        let line: Value = serde_json::from_str(line).map_err(|error| error.to_string())?;
        let name = line["custom_id"].as_str().unwrap_or_default();
        let answer = line["response"]["body"].to_string();
        if !answer.contains(&format!("{name} ")) {
            return Err(format!("{name} has another item's answer"));
        }
    }
    Ok(output.lines().count() as u64)
}

/// Runs the demonstration; `Ok(true)` when no promise was broken.
pub async fn run(folder: &Path, seconds: u64, keep: bool) -> Result<bool, String> {
    let topology = Topology::read(folder)?;
    let fleet = Fleet::start(&topology).map_err(|error| error.to_string())?;
    apply(&fleet, read_declarations(folder)?).await?;
    println!(
        "{}: {} nodes, {} back ends",
        topology.name,
        fleet.nodes.len(),
        fleet.engines.len()
    );
    for node in &fleet.nodes {
        println!(
            "  callers http://{}  admin http://{}",
            node.callers, node.admin
        );
    }
    let model = topology
        .services
        .iter()
        .find(|service| service.protocol == Protocol::Model);
    if let (Some(model), Some(caller)) = (model, topology.callers.iter().find(|one| one.stream)) {
        println!(
            "  curl -N http://{}/v1/completions -H 'Authorization: Bearer {}' -d '{{\"model\":\"{}\",\"prompt\":\"a short question\",\"stream\":true}}'",
            fleet.nodes[0].callers, caller.key, model.name
        );
    }
    let until = Instant::now() + Duration::from_secs(seconds);
    let tally = Rc::new(RefCell::new(Tally::default()));
    let mut tasks = Vec::new();
    for (number, caller) in topology.callers.iter().enumerate() {
        let address = fleet.nodes[number % fleet.nodes.len()].callers;
        tasks.push(actix_rt::spawn(drive(
            address,
            caller.clone(),
            tally.clone(),
            until,
        )));
    }
    let items = batch(
        fleet.nodes[0].callers,
        &topology,
        until + Duration::from_secs(30),
    )
    .await;
    for task in tasks {
        let _ = task.await;
    }
    let tally = tally.take();
    let quantile = |share: f64| {
        tally
            .first_token
            .as_ref()
            .map_or(0.0, |all| all.value_at_quantile(share) as f64 / 1000.0)
    };
    println!("requests {}  tokens {}", tally.requests, tally.tokens);
    println!(
        "first token p50 {:.1} ms  p95 {:.1} ms",
        quantile(0.5),
        quantile(0.95)
    );
    println!(
        "batch items completed {}",
        items.as_ref().copied().unwrap_or(0)
    );
    let mut broken = tally.broken;
    broken.extend(items.err());
    println!("promises broken {}", broken.len());
    for line in broken.iter().take(10) {
        println!("  {line}");
    }
    if keep {
        let _ = tokio::signal::ctrl_c().await;
    }
    fleet.stop();
    Ok(broken.is_empty())
}
