//! Simulated clients. They send fatal requests (each crashes the back end that runs it), popular harmless requests,
//! unique harmless requests and long items that resume after an interruption. Requests with a fatal part in their prompts
//! are sent once each; harmless ones share their callers and first parts.

use super::backends::BackendInstance;
use super::nodes::SimNode;
use super::{World, spawn};
use firshore_crashes::fingerprint::{
    FingerprintInput, FingerprintKey, PartFingerprint, PartInput, RequestFingerprint,
};
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

/// Number of different first parts of prompts.
const FIRST_PARTS: u64 = 6;

/// What the hash of a fatal part, of the part behind it and of a session begin with.
const FATAL_PARTS: u64 = 1_000;
const CHILD_PARTS: u64 = 2_000;
const SESSION_PARTS: u64 = 3_000;

/// Requests in a hundred with a fatal part that have the part behind it in common.
const CHILD_PERCENTAGE: u64 = 80;

fn part(caller: u64, hash: u64) -> PartFingerprint {
    FingerprintKey::new(b"secret").part(&PartInput {
        tenant: None,
        host: &format!("{caller}.example"),
        hash,
    })
}

/// Returns the shared parts of a harmless prompt: one of the first parts and the one of a session.
fn harmless_parts(session: u64) -> Vec<PartFingerprint> {
    let hashes = [session % FIRST_PARTS, SESSION_PARTS + session];
    hashes.iter().map(|hash| part(0, *hash)).collect()
}

/// Returns the shared parts of a prompt with a fatal one.
fn fatal_parts(world: &World, number: usize, count: u64) -> Vec<PartFingerprint> {
    let caller = count % world.scenario.callers as u64;
    let follows = world.random_in(0..100) < CHILD_PERCENTAGE;
    let last = match world.scenario.has_child_part && follows {
        true => CHILD_PARTS + number as u64,
        false => SESSION_PARTS + 100_000 + count,
    };
    let hashes = [
        number as u64 % FIRST_PARTS,
        FATAL_PARTS + number as u64,
        last,
    ];
    hashes.iter().map(|hash| part(caller, *hash)).collect()
}

/// Starts all clients and returns their tasks.
pub fn start(world: &Rc<World>) -> Vec<JoinHandle<()>> {
    let mut tasks = Vec::new();
    for fatal in 0..world.scenario.fatal {
        tasks.push(spawn(send_fatal(world.clone(), fatal)));
    }
    for number in 0..world.scenario.fatal_parts {
        tasks.push(spawn(send_fatal_part(world.clone(), number)));
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
        let parts = Vec::new();
        spawn(async move { attempt_fatal(task_world, node, fingerprint, parts, fatal).await });
        world.sleep_random(0..world.scenario.max_interval_ms).await;
    }
}

async fn send_fatal_part(world: Rc<World>, number: usize) {
    let fatal = world.scenario.fatal + number;
    for count in 0.. {
        if world.is_finished.get() {
            return;
        }
        let node = random_node(&world);
        let task_world = world.clone();
        let fingerprint = fingerprint(&format!("fatal-part-{number}-{count}"));
        let parts = fatal_parts(&world, number, count);
        spawn(async move { attempt_fatal(task_world, node, fingerprint, parts, fatal).await });
        world.sleep_random(0..world.scenario.max_interval_ms).await;
    }
}

async fn attempt_fatal(
    world: Rc<World>,
    node: Rc<SimNode>,
    fingerprint: RequestFingerprint,
    parts: Vec<PartFingerprint>,
    fatal: usize,
) {
    let Some(monitor) = running_monitor(&node) else {
        return;
    };
    if is_quarantined(&monitor, &fingerprint, &parts) {
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
            parts,
        },
    );
}

async fn send_popular(world: Rc<World>, name: String) {
    while !world.is_finished.get() {
        let (task_world, name) = (world.clone(), name.clone());
        let parts = harmless_parts(0);
        spawn(async move {
            attempt_harmless(&task_world, &name, &parts, RUN_MS, 0).await;
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
            let parts = harmless_parts(number as u64);
            match attempt_harmless(&world, &name, &parts, RUN_MS, 0).await {
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
            let parts = harmless_parts(100 + number as u64);
            match attempt_harmless(&world, &name, &parts, ITEM_RUN_MS, received).await {
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
    parts: &[PartFingerprint],
    run: std::ops::Range<u64>,
    received: u64,
) -> AttemptEnd {
    let node = random_node(world);
    let Some(monitor) = running_monitor(&node) else {
        return AttemptEnd::NotSent;
    };
    let fingerprint = fingerprint(name);
    world.attempts.set(world.attempts.get() + 1);
    if is_quarantined(&monitor, &fingerprint, parts) {
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
    let first_event = Duration::from_millis(run.min(FIRST_BYTE_DELAY_MS));
    let rest = Duration::from_millis(run).saturating_sub(first_event);
    let mut is_lost = timeout(first_event, exited.wait_for(|exited| *exited))
        .await
        .is_ok();
    let has_begun = !is_lost && !rest.is_zero();
    if has_begun {
        monitor.record_begun(parts);
        is_lost = timeout(rest, exited.wait_for(|exited| *exited))
            .await
            .is_ok();
    }
    if !is_lost && !is_reset {
        monitor.record_completion(fingerprint);
        monitor.record_begun(parts);
        return AttemptEnd::Completed;
    }
    let elapsed_ms = started.elapsed().as_millis() as u64;
    let new_bytes = elapsed_ms.saturating_sub(FIRST_BYTE_DELAY_MS) * BYTES_PER_MILLISECOND;
    let reached = received + new_bytes;
    // As in production, a lost item run is no evidence against the item, and none at all if it made progress.
    if name.starts_with(ITEM_PREFIX) {
        if new_bytes == 0 {
            monitor.record_lost_item(&instance.backend);
        }
        return AttemptEnd::Lost(reached);
    }
    monitor.record_lost_run(
        &instance.backend,
        LostRun {
            fingerprint,
            reached,
            parts: match has_begun {
                true => Vec::new(),
                false => parts.to_vec(),
            },
        },
    );
    AttemptEnd::Lost(reached)
}

fn is_quarantined(
    monitor: &CrashMonitor,
    fingerprint: &RequestFingerprint,
    parts: &[PartFingerprint],
) -> bool {
    let mut parts = parts.iter();
    monitor.quarantine(fingerprint.into()).is_some()
        || parts.any(|part| monitor.quarantine(part.into()).is_some())
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
