//! Runs batch items on the engines that this node owns, into idle capacity only.
//!
//! Everything here lives on the node's own thread. Each owned engine has a task that watches its
//! load, pulls leases from the journal and starts items; one task renews all leases, one settles
//! results, one keeps the list of owned engines.

pub mod answer;
mod engine;
mod governor;
mod item;
mod leases;
pub(crate) mod ownership;
mod settlement;

use crate::shared::Shared;
use engine::Engine;
use firshore_types::ids::MachineName;
use leases::Leases;
use settlement::Settlement;
use slog::{Logger, info};
use std::cell::Cell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Time between two looks at which engines this node owns.
const OWNERSHIP_INTERVAL: Duration = Duration::from_millis(250);

/// Longest time that items get to end, and leases to be handed back, when the node leaves.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(5);

const LEAVE_POLL: Duration = Duration::from_millis(20);

/// What the runner's tasks share.
pub(crate) struct Context {
    pub(crate) shared: Arc<Shared>,
    pub(crate) log: Logger,
    pub(crate) leases: Leases,
    pub(crate) settlement: Settlement,
    next_request: Cell<u64>,
}

impl Context {
    /// A number for a request for leases, never used again by this node.
    pub(crate) fn next_request(&self) -> u64 {
        self.next_request.set(self.next_request.get() + 1);
        self.next_request.get()
    }
}

/// Runs items until the node leaves; then hands every lease back and returns.
pub async fn run(shared: Arc<Shared>) {
    let log = shared.log.new(slog::o!("part" => "batch"));
    let (settlement, reports) = Settlement::new();
    let context = Rc::new(Context {
        shared: shared.clone(),
        log,
        leases: Leases::default(),
        settlement,
        next_request: Cell::new(0),
    });
    actix_rt::spawn(settlement::run(context.clone(), reports));
    actix_rt::spawn(leases::renew(context.clone()));
    actix_rt::spawn(governor::run(shared.clone()));
    let mut arrivals = shared.online_arrivals.listen();
    let mut engines: HashMap<MachineName, Rc<Engine>> = HashMap::new();
    let mut interval = tokio::time::interval(OWNERSHIP_INTERVAL);
    while !shared.leaving.is_leaving() {
        tokio::select! {
            _ = interval.tick() => adopt(&context, &mut engines),
            Some(name) = arrivals.recv() => {
                if let Some(engine) = engines.get(&name) {
                    engine.online_coming(&context);
                }
            }
        }
    }
    for engine in engines.values() {
        engine.release(&context);
    }
    let ended = async {
        while !context.leases.is_empty() {
            actix_rt::time::sleep(LEAVE_POLL).await;
        }
    };
    let whole = tokio::time::timeout(LEAVE_TIMEOUT, ended).await.is_ok();
    info!(context.log, "batch: Leases handed back."; "all" => whole);
}

/// Begins with engines that became this node's and gives up those that went to another.
fn adopt(context: &Rc<Context>, engines: &mut HashMap<MachineName, Rc<Engine>>) {
    let owned = ownership::owned_engines(&context.shared);
    engines.retain(|name, engine| {
        let stays = owned.iter().any(|one| one.machine.name == *name);
        if !stays {
            engine.release(context);
        }
        stays
    });
    for one in owned {
        match engines.get(&one.machine.name) {
            Some(engine) if engine.runs_on(&one.machine) => engine.set_models(one.models),
            _ => {
                let name = one.machine.name.clone();
                let engine = Rc::new(Engine::new(one));
                actix_rt::spawn(engine::drive(context.clone(), engine.clone()));
                if let Some(replaced) = engines.insert(name, engine) {
                    replaced.release(context);
                }
            }
        }
    }
}
