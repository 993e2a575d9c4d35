//! Runs batch items on the engines that this node owns, into idle slots only.

use crate::engine::exchange::{self, ExchangeBody};
use crate::gateway::completions;
use crate::journal;
use crate::shared::Shared;
use actix_http::Method;
use bytes::Bytes;
use firshore_batch::command::{Command, ItemLease, Outcome};
use firshore_batch::job::ItemResult;
use firshore_types::hash::rendezvous_owner;
use firshore_types::machine::Machine;
use serde::Deserialize;
use std::cell::Cell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

const PULL_INTERVAL: Duration = Duration::from_millis(50);
const LEASE_MILLISECONDS: u64 = 30_000;
const MAXIMUM_ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// Load as an engine reports it.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct LoadReport {
    /// Requests running, batch items included.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Requests it can run at once.
    pub slots: u32,
}

/// Pulls and runs items until the node ends.
pub async fn run(shared: Arc<Shared>) {
    let mut running: HashMap<String, Rc<Cell<u32>>> = HashMap::new();
    loop {
        actix_rt::time::sleep(PULL_INTERVAL).await;
        if shared.leaving.load(Ordering::Relaxed) {
            continue;
        }
        expire(&shared).await;
        for machine in owned_engines(&shared) {
            let own = running.entry(machine.name.0.clone()).or_default().clone();
            let Some(report) = load(&machine).await else {
                continue;
            };
            let busy = (report.running + report.waiting).max(own.get());
            let idle = report.slots.saturating_sub(busy);
            if idle > 0 {
                pull(&shared, &machine, idle, &own).await;
            }
        }
    }
}

async fn expire(shared: &Shared) {
    if let Some(journal) = &shared.journal {
        let now = crate::clock::unix_milliseconds();
        let expire = firshore_journal::state::Command::Batch(Command::Expire { now });
        journal
            .answer(firshore_protocol::message::JournalRequest::Propose(expire))
            .await;
    }
}

fn owned_engines(shared: &Shared) -> Vec<Machine> {
    let view = shared.configuration();
    let members = shared.members.lock().alive(shared.clock.now());
    let own = shared.members.lock().own().instance;
    let mut owned = Vec::new();
    for (_, spec) in view
        .configuration
        .services()
        .filter(|(_, spec)| spec.is_model())
    {
        let Some((_, pool)) = view.pool(spec.pool.as_str()) else {
            continue;
        };
        for machine in shared.pool_machines(pool) {
            let same_zone: Vec<u64> = members
                .iter()
                .filter(|member| member.zone == machine.zone)
                .map(|member| member.instance.0)
                .collect();
            let everyone = members.iter().map(|member| member.instance.0);
            let candidates = if same_zone.is_empty() {
                everyone.collect()
            } else {
                same_zone
            };
            if rendezvous_owner(machine.name.as_str(), candidates) == Some(own.0) {
                owned.push(machine);
            }
        }
    }
    owned
}

async fn load(machine: &Machine) -> Option<LoadReport> {
    let head = exchange::request_head(Method::GET, "/load", machine.address).ok()?;
    let mut exchange = exchange::send(machine.address, head, Bytes::new())
        .await
        .ok()?;
    let body = exchange.body.read_whole(MAXIMUM_ANSWER_BYTES).await.ok()?;
    serde_json::from_slice(&body).ok()
}

async fn pull(shared: &Arc<Shared>, machine: &Machine, count: u32, running: &Rc<Cell<u32>>) {
    let expires_at = crate::clock::unix_milliseconds() + LEASE_MILLISECONDS;
    let outcome = journal::propose(shared, Command::Lease { count, expires_at }).await;
    let Ok(Outcome::Leased(leases)) = outcome else {
        return;
    };
    for lease in leases {
        running.set(running.get() + 1);
        let running = running.clone();
        let shared = shared.clone();
        let machine = machine.clone();
        actix_rt::spawn(async move {
            run_item(&shared, &machine, lease).await;
            running.set(running.get() - 1);
        });
    }
}

async fn run_item(shared: &Shared, machine: &Machine, lease: ItemLease) {
    let (job, index, attempt) = (lease.job, lease.index, lease.attempt);
    let command = match run_once(machine, &lease.item.url, lease.item.body).await {
        Some(result) => Command::Complete {
            job,
            index,
            attempt,
            result,
        },
        None if lease.item.repeatable => Command::Return {
            job,
            index,
            attempt,
        },
        // Its lease lapses, and the journal records that its execution is unknown.
        None => return,
    };
    if journal::propose(shared, command).await.is_ok() {
        shared.metrics.batch_items.inc();
    }
}

async fn run_once(machine: &Machine, url: &str, body: String) -> Option<ItemResult> {
    let outbound = completions::outbound(url.to_owned(), Bytes::from(body), 0);
    let mut head = exchange::request_head(Method::POST, url, machine.address).ok()?;
    for (name, value) in &outbound.headers {
        head.headers.insert(name.clone(), value.clone());
    }
    let mut exchange = exchange::send(machine.address, head, outbound.body)
        .await
        .ok()?;
    let status = exchange.head.status.as_u16();
    let body = read(&mut exchange.body).await?;
    // An engine's own refusal is not the item's result.
    (status != 429 && status != 503).then_some(ItemResult { status, body })
}

async fn read(body: &mut ExchangeBody) -> Option<String> {
    let whole = body.read_whole(MAXIMUM_ANSWER_BYTES).await.ok()?;
    String::from_utf8(whole.to_vec()).ok()
}
