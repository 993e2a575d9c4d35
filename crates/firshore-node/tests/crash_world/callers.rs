//! Simulated clients. They send fatal requests (each crashes the back end that runs it), popular harmless requests,
//! unique harmless requests and long items that resume after an interruption.

use super::backends::BackendInstance;
use super::nodes::SimNode;
use super::{World, spawn};
use firshore_crashes::fingerprint::{FingerprintInput, FingerprintKey, RequestFingerprint};
use firshore_crashes::report::LostRun;
use firshore_gateway::crash_monitor::CrashMonitor;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::{Instant, timeout};

/// Milliseconds that a back end runs a fatal request before it crashes.
const FATAL_RUN_MS: std::ops::Range<u64> = 10..160;

/// Number of popular harmless requests.
const POPULAR_REQUESTS: usize = 6;

/// Number of clients that send unique requests one after the other, and their retries of each.
const UNIQUE_CLIENTS: usize = 30;
const UNIQUE_RETRIES: usize = 3;

/// Number of clients that run resumable items one after the other, and the items' name prefix.
const ITEM_CLIENTS: usize = 20;
const ITEM_PREFIX: &str = "item";

/// Milliseconds that harmless requests and items run, and the delay of the first response byte.
const RUN_MS: std::ops::Range<u64> = 150..1_500;
const ITEM_RUN_MS: std::ops::Range<u64> = 1_000..8_000;
const FIRST_BYTE_DELAY_MS: u64 = 80;

/// Response bytes received per millisecond.
const BYTES_PER_MILLISECOND: u64 = 2;

/// Milliseconds before a client's next attempt.
const RETRY_BACKOFF_MS: std::ops::Range<u64> = 20..300;

/// Outcome of one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AttemptEnd {
    Completed,
    /// Interrupted after this many response bytes.
    Lost(u64),
    Quarantined,
    NotSent,
}

fn fingerprint(name: &str) -> RequestFingerprint {
    FingerprintKey::new(b"secret").fingerprint(&FingerprintInput {
        tenant: None,
        host: "a.example",
        method: "POST",
        target: name,
        body: b"",
    })
}

/// Starts all clients and returns their tasks.
pub fn start(world: &Rc<World>) -> Vec<JoinHandle<()>> {
    let mut tasks = Vec::new();
    for fatal in 0..world.scenario.fatal {
        tasks.push(spawn(send_fatal(world.clone(), fatal)));
    }
    for number in 0..POPULAR_REQUESTS {
        tasks.push(spawn(send_popular(
            world.clone(),
            format!("popular-{number}"),
        )));
    }
    for number in 0..UNIQUE_CLIENTS {
        tasks.push(spawn(send_unique(world.clone(), number)));
    }
    for number in 0..ITEM_CLIENTS {
        tasks.push(spawn(run_items(world.clone(), number)));
    }
    tasks
}

async fn send_fatal(world: Rc<World>, fatal: usize) {
    let fingerprint = fingerprint(&format!("fatal-{fatal}"));
    while !world.is_finished.get() {
        let node = random_node(&world);
        let task_world = world.clone();
        spawn(async move { attempt_fatal(task_world, node, fingerprint, fatal).await });
        world.sleep_random(0..world.scenario.max_interval_ms).await;
    }
}

async fn attempt_fatal(
    world: Rc<World>,
    node: Rc<SimNode>,
    fingerprint: RequestFingerprint,
    fatal: usize,
) {
    let Some(monitor) = running_monitor(&node) else {
        return;
    };
    if monitor.quarantined_for(&fingerprint).is_some() {
        return;
    }
    let Some(instance) = random_backend(&world) else {
        return;
    };
    if node.is_settled(world.scenario.propagation_bound) {
        let mut sends = world.fatal_sends.borrow_mut();
        sends.entry(fatal).or_default().push(Instant::now());
    }
    let run = Duration::from_millis(world.random_in(FATAL_RUN_MS));
    let mut exited = instance.exited.subscribe();
    if timeout(run, exited.wait_for(|exited| *exited))
        .await
        .is_err()
    {
        world.pool.exit(&world, &instance, Some(fatal));
    }
    monitor.record_lost_run(
        &instance.backend,
        LostRun {
            fingerprint,
            reached: 0,
        },
    );
}

async fn send_popular(world: Rc<World>, name: String) {
    while !world.is_finished.get() {
        let (task_world, name) = (world.clone(), name.clone());
        spawn(async move {
            attempt_harmless(&task_world, &name, RUN_MS, 0).await;
        });
        world
            .sleep_random(0..world.scenario.popular_interval_ms)
            .await;
    }
}

async fn send_unique(world: Rc<World>, number: usize) {
    for count in 0.. {
        if world.is_finished.get() {
            return;
        }
        let name = format!("single-{number}-{count}");
        for _ in 0..=UNIQUE_RETRIES {
            match attempt_harmless(&world, &name, RUN_MS, 0).await {
                AttemptEnd::Completed => break,
                _ => world.sleep_random(RETRY_BACKOFF_MS).await,
            }
        }
    }
}

async fn run_items(world: Rc<World>, number: usize) {
    for count in 0.. {
        let name = format!("{ITEM_PREFIX}-{number}-{count}");
        let mut received = 0;
        loop {
            if world.is_finished.get() {
                return;
            }
            match attempt_harmless(&world, &name, ITEM_RUN_MS, received).await {
                AttemptEnd::Completed => break,
                AttemptEnd::Lost(reached) => received = reached,
                _ => {}
            }
            world.sleep_random(RETRY_BACKOFF_MS).await;
        }
    }
}

/// Runs a harmless request, of whose response earlier attempts received `received` bytes.
async fn attempt_harmless(
    world: &Rc<World>,
    name: &str,
    run: std::ops::Range<u64>,
    received: u64,
) -> AttemptEnd {
    let node = random_node(world);
    let Some(monitor) = running_monitor(&node) else {
        return AttemptEnd::NotSent;
    };
    let fingerprint = fingerprint(name);
    world.attempts.set(world.attempts.get() + 1);
    if monitor.quarantined_for(&fingerprint).is_some() {
        world.quarantined.borrow_mut().insert(name.to_owned());
        return AttemptEnd::Quarantined;
    }
    let Some(instance) = random_backend(world) else {
        return AttemptEnd::NotSent;
    };
    let mut run = world.random_in(run);
    let is_reset = world.random_in(0..1_000) < u64::from(world.scenario.resets);
    if is_reset {
        run /= 2;
    }
    let started = Instant::now();
    let mut exited = instance.exited.subscribe();
    let is_lost = timeout(
        Duration::from_millis(run),
        exited.wait_for(|exited| *exited),
    )
    .await
    .is_ok();
    if !is_lost && !is_reset {
        monitor.record_completion(fingerprint);
        return AttemptEnd::Completed;
    }
    let elapsed_ms = started.elapsed().as_millis() as u64;
    let new_bytes = elapsed_ms.saturating_sub(FIRST_BYTE_DELAY_MS) * BYTES_PER_MILLISECOND;
    let reached = received + new_bytes;
    // As in production, a lost item run that made progress isn't recorded against the item.
    if name.starts_with(ITEM_PREFIX) && new_bytes > 0 {
        return AttemptEnd::Lost(reached);
    }
    monitor.record_lost_run(
        &instance.backend,
        LostRun {
            fingerprint,
            reached,
        },
    );
    AttemptEnd::Lost(reached)
}

fn random_node(world: &World) -> Rc<SimNode> {
    let index = world.random_in(0..world.gateways().len() as u64) as usize;
    world.gateways()[index].clone()
}

fn running_monitor(node: &SimNode) -> Option<Rc<CrashMonitor>> {
    let is_running = node.health.get() == super::nodes::Health::Up;
    node.monitor().filter(|_| is_running)
}

/// Returns a running back end of the listing; a node would retry until a connection succeeds.
fn random_backend(world: &World) -> Option<Rc<BackendInstance>> {
    let listing = world.pool.listing();
    let running: Vec<Rc<BackendInstance>> = listing
        .into_iter()
        .filter(|instance| !instance.has_exited())
        .collect();
    if running.is_empty() {
        return None;
    }
    let index = world.random_in(0..running.len() as u64) as usize;
    Some(running[index].clone())
}
