//! Callers: of requests that crash back ends, of popular ones that harm nobody, of others that come once, and
//! of long items that go on where they broke off.

use super::backends::Life;
use super::nodes::SimNode;
use super::{World, spawn};
use firshore_crashes::fingerprint::{FingerprintInput, FingerprintKey, RequestFingerprint};
use firshore_crashes::report::LostRun;
use firshore_gateway::crash_monitor::CrashMonitor;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::{Instant, timeout};

/// Milliseconds after which a back end ends under a request that crashes it.
const FATAL_RUN: std::ops::Range<u64> = 10..160;

/// Popular requests that harm nobody.
const POPULAR: usize = 6;

/// Requests that come once, as many at a time, and how often their callers try again.
const SINGLE: usize = 30;
const RETRIES: usize = 3;

/// Items that go on where they broke off, as many at a time.
const ITEMS: usize = 20;
const ITEM: &str = "item";

/// Milliseconds that requests and items run for; for as many milliseconds nothing arrives at first.
const RUN: std::ops::Range<u64> = 150..1_500;
const ITEM_RUN: std::ops::Range<u64> = 1_000..8_000;
const SILENT_AT_FIRST: u64 = 80;

/// Bytes of an answer that arrive in a millisecond.
const BYTES_PER_MILLISECOND: u64 = 2;

/// Pause of a caller before it tries again.
const RETRY_PAUSE: std::ops::Range<u64> = 20..300;

/// How a try ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TryEnd {
    Completed,
    /// With so many bytes of the answer.
    Lost(u64),
    HeldBack,
    NotSent,
}

fn print(name: &str) -> RequestFingerprint {
    FingerprintKey::new(b"secret").fingerprint(&FingerprintInput {
        tenant: None,
        host: "a.example",
        method: "POST",
        target: name,
        body: b"",
    })
}

/// Starts all callers.
pub fn start(world: &Rc<World>) -> Vec<JoinHandle<()>> {
    let mut tasks = Vec::new();
    for fatal in 0..world.scene.fatal {
        tasks.push(spawn(send_fatal(world.clone(), fatal)));
    }
    for number in 0..POPULAR {
        tasks.push(spawn(send_popular(
            world.clone(),
            format!("popular-{number}"),
        )));
    }
    for number in 0..SINGLE {
        tasks.push(spawn(send_single(world.clone(), number)));
    }
    for number in 0..ITEMS {
        tasks.push(spawn(run_items(world.clone(), number)));
    }
    tasks
}

async fn send_fatal(world: Rc<World>, fatal: usize) {
    let print = print(&format!("fatal-{fatal}"));
    while !world.is_over.get() {
        let node = drawn_node(&world);
        let world_now = world.clone();
        spawn(async move { fatal_try(world_now, node, print, fatal).await });
        world.pause(0..world.scene.longest_pause).await;
    }
}

async fn fatal_try(
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
    let Some(life) = drawn_backend(&world) else {
        return;
    };
    if node.is_in_touch(world.scene.contact) {
        let mut sends = world.fatal_sends.borrow_mut();
        sends.entry(fatal).or_default().push(Instant::now());
    }
    let run = Duration::from_millis(world.draw(FATAL_RUN));
    let mut ended = life.ended.subscribe();
    if timeout(run, ended.wait_for(|ended| *ended)).await.is_err() {
        world.park.end(&world, &life, Some(fatal));
    }
    monitor.record_lost_run(
        &life.backend,
        LostRun {
            fingerprint,
            reached: 0,
        },
    );
}

async fn send_popular(world: Rc<World>, name: String) {
    while !world.is_over.get() {
        let (world_now, name) = (world.clone(), name.clone());
        spawn(async move {
            innocent_try(&world_now, &name, RUN, 0).await;
        });
        world.pause(0..world.scene.popular_pause).await;
    }
}

async fn send_single(world: Rc<World>, number: usize) {
    for count in 0.. {
        if world.is_over.get() {
            return;
        }
        let name = format!("single-{number}-{count}");
        for _ in 0..=RETRIES {
            match innocent_try(&world, &name, RUN, 0).await {
                TryEnd::Completed => break,
                _ => world.pause(RETRY_PAUSE).await,
            }
        }
    }
}

async fn run_items(world: Rc<World>, number: usize) {
    for count in 0.. {
        let name = format!("{ITEM}-{number}-{count}");
        let mut held = 0;
        loop {
            if world.is_over.get() {
                return;
            }
            match innocent_try(&world, &name, ITEM_RUN, held).await {
                TryEnd::Completed => break,
                TryEnd::Lost(reached) => held = reached,
                _ => {}
            }
            world.pause(RETRY_PAUSE).await;
        }
    }
}

/// Runs a request that harms nobody, of whose answer `held` bytes are there already.
async fn innocent_try(
    world: &Rc<World>,
    name: &str,
    run: std::ops::Range<u64>,
    held: u64,
) -> TryEnd {
    let node = drawn_node(world);
    let Some(monitor) = running_monitor(&node) else {
        return TryEnd::NotSent;
    };
    let fingerprint = print(name);
    world.tries.set(world.tries.get() + 1);
    if monitor.quarantined_for(&fingerprint).is_some() {
        world.condemned.borrow_mut().insert(name.to_owned());
        return TryEnd::HeldBack;
    }
    let Some(life) = drawn_backend(world) else {
        return TryEnd::NotSent;
    };
    let mut run = world.draw(run);
    let is_reset = world.draw(0..1_000) < u64::from(world.scene.resets);
    if is_reset {
        run /= 2;
    }
    let began = Instant::now();
    let mut ended = life.ended.subscribe();
    let is_lost = timeout(Duration::from_millis(run), ended.wait_for(|ended| *ended))
        .await
        .is_ok();
    if !is_lost && !is_reset {
        monitor.completed(fingerprint);
        return TryEnd::Completed;
    }
    let ran = began.elapsed().as_millis() as u64;
    let arrived = ran.saturating_sub(SILENT_AT_FIRST) * BYTES_PER_MILLISECOND;
    let reached = held + arrived;
    // As the product does with items: a run that brought one further says nothing against it.
    if name.starts_with(ITEM) && arrived > 0 {
        return TryEnd::Lost(reached);
    }
    monitor.record_lost_run(
        &life.backend,
        LostRun {
            fingerprint,
            reached,
        },
    );
    TryEnd::Lost(reached)
}

fn drawn_node(world: &World) -> Rc<SimNode> {
    let drawn = world.draw(0..world.front().len() as u64) as usize;
    world.front()[drawn].clone()
}

fn running_monitor(node: &SimNode) -> Option<Rc<CrashMonitor>> {
    let runs = node.health.get() == super::nodes::Health::Up;
    node.monitor().filter(|_| runs)
}

/// A back end that takes connections: a node tries some until one does.
fn drawn_backend(world: &World) -> Option<Rc<Life>> {
    let listing = world.park.listing();
    let up: Vec<Rc<Life>> = listing
        .into_iter()
        .filter(|life| !life.has_ended())
        .collect();
    if up.is_empty() {
        return None;
    }
    let drawn = world.draw(0..up.len() as u64) as usize;
    Some(up[drawn].clone())
}
