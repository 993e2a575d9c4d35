//! One way of running online and batch work together, on a fleet of its own.

use super::batch::{self, BatchLoad};
use super::online::{self, OnlineRecord};
use super::schedule::Arrival;
use crate::fleet::{Fleet, FleetOptions, read_declarations};
use crate::http::Call;
use crate::stand_in::engine::ExecutionLine;
use crate::topology::{ServiceShape, Topology};
use firshore_server::clock::unix_milliseconds;
use firshore_types::declaration::{Declaration, Metadata, PoolSpec, Protocol, ServiceSpec};
use firshore_types::labels::Selector;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

const SLOTS: usize = 16;

/// Name of the pool and service that a static split adds for batch work.
const SPLIT_NAME: &str = "batch-only";

/// Items of a heap for each engine: more than it can run until the next heap.
const HEAP_ITEMS_PER_ENGINE: usize = 640;

/// Time for items to be leased before the load begins.
const WARM_UP: Duration = Duration::from_secs(3);

/// Ways of running online and batch work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Variant {
    OnlineAlone,
    Ours,
    WithoutPreemption,
    StaticSplit,
}

impl Variant {
    pub(super) const ALL: [Self; 4] = [
        Self::OnlineAlone,
        Self::Ours,
        Self::WithoutPreemption,
        Self::StaticSplit,
    ];

    pub(super) fn name(self) -> &'static str {
        match self {
            Self::OnlineAlone => "online_alone",
            Self::Ours => "ours",
            Self::WithoutPreemption => "without_preemption",
            Self::StaticSplit => "static_split",
        }
    }
}

/// What happened in one variant.
pub(super) struct VariantOutcome {
    pub(super) variant: Variant,
    pub(super) records: Vec<OnlineRecord>,
    /// Execution logs of the model engines.
    pub(super) executions: Vec<Vec<ExecutionLine>>,
    pub(super) started_unix_ms: u64,
}

impl VariantOutcome {
    pub(super) fn describe(&self) -> String {
        let failures: Vec<&String> = self
            .records
            .iter()
            .filter_map(|one| one.failure.as_ref())
            .collect();
        let runs: usize = self.executions.iter().map(Vec::len).sum();
        let first = failures
            .first()
            .map_or(String::new(), |text| format!(": {text}"));
        format!(
            "{}: {} online requests, {} failed{first}, {runs} runs",
            self.variant.name(),
            self.records.len(),
            failures.len(),
        )
    }
}

/// The topology with half of the model engines set apart for batch work.
fn split(topology: &Topology) -> Topology {
    let mut topology = topology.clone();
    let service = topology.batch.service.clone();
    let found = topology.services.iter_mut().find(|one| one.name == service);
    let Some(online) = found else {
        return topology;
    };
    let batch_engines = online.engines / 2;
    online.engines -= batch_engines;
    topology.services.push(ServiceShape {
        name: SPLIT_NAME.to_owned(),
        protocol: Protocol::Model,
        pool: SPLIT_NAME.to_owned(),
        engines: batch_engines,
    });
    topology.batch.service = SPLIT_NAME.to_owned();
    topology
}

fn split_declarations() -> Vec<Declaration> {
    let metadata = Metadata {
        name: SPLIT_NAME.to_owned(),
        ..Metadata::default()
    };
    let pool = PoolSpec {
        machines: Selector::matching([("pool", SPLIT_NAME)]),
        slots: SLOTS as u32,
    };
    let service = ServiceSpec {
        protocol: Protocol::Model,
        model: Some(SPLIT_NAME.to_owned()),
        pool: SPLIT_NAME.into(),
    };
    vec![
        Declaration::EnginePool {
            metadata: metadata.clone(),
            spec: pool,
        },
        Declaration::Service {
            metadata,
            spec: service,
        },
    ]
}

/// Runs one variant on a new fleet.
pub(super) fn run(
    variant: Variant,
    topology: &Topology,
    folder: &Path,
    schedule: &[Arrival],
    duration: Duration,
) -> Result<VariantOutcome, String> {
    let mut declarations = read_declarations(folder)?;
    let topology = match variant {
        Variant::StaticSplit => {
            declarations.extend(split_declarations());
            split(topology)
        }
        _ => topology.clone(),
    };
    let options = FleetOptions {
        delays: false,
        ..FleetOptions::default()
    };
    let fleet = Fleet::start(&topology, &options).map_err(|error| error.to_string())?;
    let result = actix_rt::System::new().block_on(async {
        fleet.apply(declarations).await?;
        drive(variant, &topology, &fleet, schedule, duration).await
    });
    fleet.stop();
    result
}

async fn drive(
    variant: Variant,
    topology: &Topology,
    fleet: &Fleet,
    schedule: &[Arrival],
    duration: Duration,
) -> Result<VariantOutcome, String> {
    let nodes: Vec<SocketAddr> = fleet.nodes.iter().map(|one| one.entrance).collect();
    let engines: Vec<SocketAddr> = fleet.engines().map(|one| one.server.address).collect();
    let load = BatchLoad {
        shape: topology.batch.clone(),
        items: engines.len() * HEAP_ITEMS_PER_ENGINE,
        duration: duration + WARM_UP,
    };
    let batch = spawn_batch(variant, nodes.clone(), load, engines.len() * SLOTS);
    actix_rt::time::sleep(WARM_UP).await;
    let started_unix_ms = unix_milliseconds();
    let records = online::drive(&nodes, topology, schedule, Instant::now()).await;
    let mut executions = Vec::new();
    for engine in engines {
        let answer = Call::get(engine, "/executions").send().await;
        let lines = answer.and_then(|answer| answer.json());
        executions.push(lines.map_err(|error| error.to_string())?);
    }
    if let Some(Ok(Err(error))) = batch.map(std::thread::JoinHandle::join) {
        return Err(error);
    }
    Ok(VariantOutcome {
        variant,
        records,
        executions,
        started_unix_ms,
    })
}

/// Sends the batch load from a thread of its own, so that it does not delay the online callers.
fn spawn_batch(
    variant: Variant,
    nodes: Vec<SocketAddr>,
    load: BatchLoad,
    workers: usize,
) -> Option<std::thread::JoinHandle<Result<(), String>>> {
    if variant == Variant::OnlineAlone {
        return None;
    }
    let send = move || {
        actix_rt::System::new().block_on(async move {
            if variant == Variant::WithoutPreemption {
                batch::send_as_requests(&nodes, &load, workers).await;
                return Ok(());
            }
            batch::submit_jobs(nodes[0], &load).await
        })
    };
    Some(std::thread::spawn(send))
}
