//! Runs the role controllers of the engine pools on the node that leads their journal group: reads
//! engines' reports, sends fenced orders, logs what changes.

use crate::configuration::await_members;
use crate::journal;
use crate::shared::Shared;
use actix_http::{Method, StatusCode};
use bytes::Bytes;
use firshore_controller::controller::{Answer, Controller, Input, Output};
use firshore_controller::grouping::{self, ReportedEngine};
use firshore_controller::order::{Fence, FencedOrder};
use firshore_controller::plan::EngineView;
use firshore_exchange::exchange;
use firshore_types::declaration::EngineRole;
use firshore_types::ids::MachineName;
use firshore_types::machine::{Machine, MachineState};
use futures_util::StreamExt;
use serde::Deserialize;
use slog::{info, warn};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

const TICK: Duration = Duration::from_secs(1);

/// Engines of a pool asked for their report in one tick; bounds the node's control traffic.
const REPORTS_AT_ONCE: usize = 16;

/// Longest wait for an engine's answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest answer accepted, in bytes.
const MAXIMUM_ANSWER_BYTES: usize = 256 * 1024;

/// The part of an engine's load report that the controller uses.
#[derive(Debug, Deserialize)]
struct Report {
    running: u32,
    #[serde(default)]
    waiting: u32,
    role: EngineRole,
    #[serde(default)]
    models: Vec<String>,
    #[serde(default)]
    draining: bool,
}

/// An engine's refusal of an order.
#[derive(Debug, Deserialize)]
struct Refusal {
    fence: Fence,
}

/// What is known of an engine that was asked at least once.
#[derive(Debug)]
struct Known {
    view: Option<EngineView>,
}

/// A pool and its controller.
#[derive(Default)]
struct Pool {
    controller: Controller,
    known: BTreeMap<MachineName, Known>,
    next: usize,
}

/// Controls every pool whose journal group this node leads, until the node ends.
pub async fn run(shared: Arc<Shared>) {
    await_members(&shared).await;
    let mut pools: BTreeMap<String, Pool> = BTreeMap::new();
    loop {
        actix_rt::time::sleep(TICK).await;
        let view = shared.configuration();
        let active = !shared.leaving.is_leaving() && grouping::has_shares(&view.configuration);
        // A deposed leader that does not know it yet is refused by the engines for its old term.
        let Some(term) = journal::leader_term(&shared).filter(|_| active) else {
            pools.clear();
            continue;
        };
        pools.retain(|name, _| view.pool(name).is_some());
        for (metadata, spec) in view.configuration.pools() {
            let serves_models = view
                .configuration
                .services()
                .any(|(_, service)| service.is_model() && service.pool.as_str() == metadata.name);
            if serves_models {
                let pool = pools.entry(metadata.name.clone()).or_default();
                let machines = shared.pool_machines(spec);
                pool.tick(&shared, &metadata.name, term, machines).await;
            }
        }
    }
}

impl Pool {
    async fn tick(&mut self, shared: &Shared, name: &str, term: u64, machines: Vec<Machine>) {
        self.known
            .retain(|known, _| machines.iter().any(|machine| machine.name == *known));
        self.ask(&machines).await;
        let all_asked = machines
            .iter()
            .all(|machine| self.known.contains_key(&machine.name));
        if !all_asked {
            return;
        }
        let engines = self.reported(&machines);
        let view = shared.configuration();
        let groups = grouping::groups(&view.configuration, name, &engines);
        self.controller
            .step(shared.clock.now(), Input::Lead { term });
        let outputs = self
            .controller
            .step(shared.clock.now(), Input::Tick(groups));
        self.carry_out(shared, name, &machines, outputs).await;
    }

    /// Asks the next engines in turn for their reports.
    async fn ask(&mut self, machines: &[Machine]) {
        let count = machines.len().min(REPORTS_AT_ONCE);
        let turn = machines.iter().cycle().skip(self.next).take(count);
        let answers: Vec<(MachineName, Option<Report>)> = futures_util::stream::iter(turn)
            .map(|machine| async move { (machine.name.clone(), report(machine).await) })
            .buffer_unordered(REPORTS_AT_ONCE)
            .collect()
            .await;
        self.next = (self.next + count) % machines.len().max(1);
        for (name, report) in answers {
            let known = self
                .known
                .entry(name.clone())
                .or_insert(Known { view: None });
            match report {
                Some(report) => known.view = Some(view_of(name, report)),
                None => {
                    if let Some(view) = &mut known.view {
                        view.available = false;
                    }
                }
            }
        }
    }

    fn reported(&self, machines: &[Machine]) -> Vec<ReportedEngine> {
        let mut engines = Vec::new();
        for machine in machines {
            let Some(mut view) = self
                .known
                .get(&machine.name)
                .and_then(|known| known.view.clone())
            else {
                continue;
            };
            view.available &= machine.state == MachineState::Live;
            let machine = machine.clone();
            engines.push(ReportedEngine { machine, view });
        }
        engines
    }

    async fn carry_out(
        &mut self,
        shared: &Shared,
        pool: &str,
        machines: &[Machine],
        outputs: Vec<Output>,
    ) {
        let orders = outputs.into_iter().filter_map(|output| match output {
            Output::Send { engine, order } => Some((engine, order)),
            Output::Deposed { .. } => None,
        });
        let answers: Vec<(MachineName, Fence, Answer)> = futures_util::stream::iter(orders)
            .map(|(engine, order)| async move {
                let machine = machines.iter().find(|machine| machine.name == engine);
                let answer = match machine {
                    Some(machine) => send(machine, &order).await,
                    None => Answer::Lost,
                };
                info!(shared.log, "controller: Order sent.";
                    "pool" => pool, "engine" => %engine, "order" => ?order.order,
                    "term" => order.fence.term, "sequence" => order.fence.sequence,
                    "answer" => ?answer);
                (engine, order.fence, answer)
            })
            .buffer_unordered(REPORTS_AT_ONCE)
            .collect()
            .await;
        for (engine, fence, answer) in answers {
            let input = Input::Answered {
                engine,
                fence,
                answer,
            };
            for output in self.controller.step(shared.clock.now(), input) {
                if let Output::Deposed { held } = output {
                    warn!(shared.log, "controller: Deposed.";
                        "pool" => pool, "term" => held.term);
                }
            }
        }
    }
}

fn view_of(name: MachineName, report: Report) -> EngineView {
    EngineView {
        name,
        role: report.role,
        models: report.models,
        busy: report.running + report.waiting,
        available: !report.draining,
    }
}

async fn report(machine: &Machine) -> Option<Report> {
    let (status, body) = call(machine, Method::GET, "/load", Bytes::new()).await?;
    status
        .is_success()
        .then(|| serde_json::from_slice(&body).ok())
        .flatten()
}

async fn send(machine: &Machine, order: &FencedOrder) -> Answer {
    let text = serde_json::to_string(order).expect("orders serialise");
    match call(machine, Method::POST, "/orders", Bytes::from(text)).await {
        Some((StatusCode::OK, _)) => Answer::Taken,
        Some((StatusCode::CONFLICT, body)) => match serde_json::from_slice::<Refusal>(&body) {
            Ok(refusal) => Answer::Stale(refusal.fence),
            Err(_) => Answer::Lost,
        },
        _ => Answer::Lost,
    }
}

async fn call(
    machine: &Machine,
    method: Method,
    path: &str,
    body: Bytes,
) -> Option<(StatusCode, Bytes)> {
    let exchange = async {
        let head = exchange::request_head(method, path, machine.address).ok()?;
        let mut exchange = exchange::send(machine.address, head, body).await.ok()?;
        let body = exchange.body.read_whole(MAXIMUM_ANSWER_BYTES).await.ok()?;
        Some((exchange.head.status, body))
    };
    actix_rt::time::timeout(ANSWER_TIMEOUT, exchange)
        .await
        .ok()?
}
