//! Failures one after another and several at once, drawn from a seed.

use crate::experiment::failures::fleet::{ENGINES, Fleet, NODES};
use crate::fault_proxy::{CutKind, ProxyFaults};
use crate::processes::Signal;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::{Duration, Instant};

/// Pause of the one node that is stopped past every lease (10 s) and its margin.
const LONG_PAUSE: Duration = Duration::from_secs(14);

const EVENT_PAUSE_MILLISECONDS: std::ops::Range<u64> = 300..1200;

/// Time without failures at the end, for what waits to end.
const CALM: Duration = Duration::from_secs(5);

/// What undoes a failure.
#[derive(Clone, Copy)]
enum Repair {
    StartNode(usize),
    ContinueNode(usize),
    RestartEngine(usize),
    ContinueEngine(usize),
    HealEngine(usize),
    HealPlatform,
}

struct Pending {
    at: Instant,
    repair: Repair,
}

/// Injects failures for `time`, then repairs everything; returns what was done.
pub async fn run(fleet: &mut Fleet, seed: u64, time: Duration) -> Result<Vec<String>, String> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut events = Vec::new();
    let mut pending = Vec::new();
    let start = Instant::now();
    events.push("node 0 paused past every lease".to_owned());
    fleet.signal_node(0, Signal::Stop);
    pending.push(Pending {
        at: start + LONG_PAUSE.min(time),
        repair: Repair::ContinueNode(0),
    });
    while start.elapsed() < time {
        repair_due(fleet, &mut pending, false).await?;
        inject(fleet, &mut random, &mut pending, &mut events).await?;
        let pause = random.random_range(EVENT_PAUSE_MILLISECONDS);
        actix_rt::time::sleep(Duration::from_millis(pause)).await;
    }
    repair_due(fleet, &mut pending, true).await?;
    for number in 0..NODES {
        fleet.wait_ready(number).await?;
    }
    actix_rt::time::sleep(CALM).await;
    Ok(events)
}

async fn repair_due(
    fleet: &mut Fleet,
    pending: &mut Vec<Pending>,
    all: bool,
) -> Result<(), String> {
    let now = Instant::now();
    let (due, later): (Vec<_>, Vec<_>) = pending.drain(..).partition(|one| all || one.at <= now);
    *pending = later;
    for one in due {
        match one.repair {
            Repair::StartNode(number) => fleet.start_node(number)?,
            Repair::ContinueNode(number) => fleet.signal_node(number, Signal::Continue),
            Repair::RestartEngine(number) => fleet.restart_engine(number)?,
            Repair::ContinueEngine(number) => fleet.signal_engine(number, Signal::Continue),
            Repair::HealEngine(number) => fleet.engines[number].proxy.heal(),
            Repair::HealPlatform => fleet.platform_proxy.heal(),
        }
    }
    Ok(())
}

fn node_is_hurt(pending: &[Pending]) -> bool {
    pending
        .iter()
        .any(|one| matches!(one.repair, Repair::StartNode(_) | Repair::ContinueNode(_)))
}

fn engine_is_hurt(pending: &[Pending], number: usize) -> bool {
    pending.iter().any(|one| match one.repair {
        Repair::RestartEngine(hurt) | Repair::ContinueEngine(hurt) | Repair::HealEngine(hurt) => {
            hurt == number
        }
        _ => false,
    })
}

async fn inject(
    fleet: &mut Fleet,
    random: &mut ChaCha8Rng,
    pending: &mut Vec<Pending>,
    events: &mut Vec<String>,
) -> Result<(), String> {
    let seconds = random.random_range(1..5);
    let at = Instant::now() + Duration::from_secs(seconds);
    let engine = random.random_range(0..ENGINES);
    let node = random.random_range(0..NODES);
    let kind = random.random_range(0..10);
    if kind < 2 {
        // One at a time: the journal needs two of three.
        if node_is_hurt(pending) {
            return Ok(());
        }
        let repair = if kind == 0 {
            fleet.kill_node(node);
            events.push(format!("node {node} killed for {seconds} s"));
            Repair::StartNode(node)
        } else {
            fleet.signal_node(node, Signal::Stop);
            events.push(format!("node {node} paused for {seconds} s"));
            Repair::ContinueNode(node)
        };
        pending.push(Pending { at, repair });
        return Ok(());
    }
    if kind == 2 {
        fleet.platform_proxy.set(ProxyFaults::partition());
        events.push(format!("platform silent for {seconds} s"));
        let repair = Repair::HealPlatform;
        pending.push(Pending { at, repair });
        return Ok(());
    }
    if engine_is_hurt(pending, engine) {
        return Ok(());
    }
    let repair = match kind {
        3 => {
            fleet.kill_engine(engine).await?;
            events.push(format!("engine {engine} killed for {seconds} s"));
            Repair::RestartEngine(engine)
        }
        4 => {
            fleet.signal_engine(engine, Signal::Stop);
            events.push(format!("engine {engine} paused for {seconds} s"));
            Repair::ContinueEngine(engine)
        }
        _ => {
            let (name, faults) = proxy_faults(random, kind);
            fleet.engines[engine].proxy.set(faults);
            events.push(format!("engine {engine}: {name} for {seconds} s"));
            Repair::HealEngine(engine)
        }
    };
    pending.push(Pending { at, repair });
    Ok(())
}

fn proxy_faults(random: &mut ChaCha8Rng, kind: u32) -> (&'static str, ProxyFaults) {
    let bytes = random.random_range(1..4000);
    match kind {
        5 => (
            "answers reset",
            ProxyFaults::cut_answers(bytes, CutKind::Reset),
        ),
        6 => (
            "answers truncated",
            ProxyFaults::cut_answers(bytes, CutKind::Close),
        ),
        7 => ("answers lost", ProxyFaults::lose_answers()),
        8 => {
            let half_open = ProxyFaults {
                half_open: true,
                ..ProxyFaults::default()
            };
            ("half-open", half_open)
        }
        _ => {
            let mut delay = ProxyFaults::delay(20_000, 60_000);
            delay.every = Some(2);
            ("delayed and overtaken", delay)
        }
    }
}
