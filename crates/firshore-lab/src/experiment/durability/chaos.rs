//! What is done to the journal's nodes, one after another: each time the group is whole again
//! before the next, as two lost copies of three are more than a majority survives.

use crate::experiment::failures::fleet::{ENGINES, Fleet, NODES};
use crate::fault_proxy::ProxyFaults;
use crate::http::Call;
use crate::processes::Signal;
use firshore_server::journal::report::GroupReport;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeSet;
use std::fs::OpenOptions;
use std::io::{Seek, SeekFrom, Write};
use std::path::Path;
use std::time::{Duration, Instant};

/// Pause past every lease (10 s) and its margin.
const LONG_PAUSE: Duration = Duration::from_secs(14);

/// Time that a killed process stays away.
const OUTAGE: Duration = Duration::from_secs(2);

const WHOLE_PATIENCE: Duration = Duration::from_secs(60);
const POLL: Duration = Duration::from_millis(100);
const CALM: Duration = Duration::from_secs(1);

/// Bytes damaged at the end of a journal file.
const TORN_BYTES: u64 = 6_000;

/// What was done and measured.
#[derive(Default)]
pub struct Events {
    /// Sentences.
    pub lines: Vec<String>,
    /// Disks wiped or replaced.
    pub disks_replaced: u64,
    /// Damaged files that the start-up check refused, with their remedy named.
    pub refused_files: u64,
    /// Damaged files that were whole to the last commit.
    pub mended_files: u64,
    /// Times from the kill of a leader until another led, in milliseconds.
    pub recovery_milliseconds: Vec<f64>,
}

/// Goes through every failure again and again for `time`.
pub async fn run(fleet: &mut Fleet, seed: u64, time: Duration) -> Result<Events, String> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut events = Events::default();
    whole(fleet).await?;
    events
        .lines
        .push("object API and machine list silent throughout".to_owned());
    fleet.platform_proxy.set(ProxyFaults::partition());
    let start = Instant::now();
    let mut step = 0;
    while start.elapsed() < time || step < 6 {
        match step % 6 {
            0 => kill_leader(fleet, &mut events).await?,
            1 => wipe(fleet, &mut events, false).await?,
            2 => kill_engine(fleet, &mut random, &mut events).await?,
            3 => tear(fleet, &mut random, &mut events).await?,
            4 => pause_leader(fleet, &mut events).await?,
            _ => wipe(fleet, &mut events, true).await?,
        }
        step += 1;
        whole(fleet).await?;
        actix_rt::time::sleep(CALM).await;
    }
    fleet.platform_proxy.heal();
    Ok(events)
}

async fn report(fleet: &Fleet, number: usize) -> Option<GroupReport> {
    let admin = fleet.addresses(number).ok()?.admin;
    let call = Call::get(admin, "/journal").send();
    let answer = tokio::time::timeout(Duration::from_secs(1), call).await;
    let groups: Vec<GroupReport> = answer.ok()?.ok()?.json().ok()?;
    groups.into_iter().next()
}

async fn reports(fleet: &Fleet) -> Vec<Option<GroupReport>> {
    let mut all = Vec::new();
    for number in 0..NODES {
        all.push(report(fleet, number).await);
    }
    all
}

/// The leader of the highest term.
async fn leader(fleet: &Fleet, except: Option<usize>) -> Option<usize> {
    let reports = reports(fleet).await;
    let leading = reports.iter().enumerate().filter(|(number, report)| {
        Some(*number) != except && report.as_ref().is_some_and(|report| report.leads)
    });
    leading
        .max_by_key(|(_, report)| report.as_ref().map_or(0, |report| report.term))
        .map(|(number, _)| number)
}

async fn some_leader(fleet: &Fleet, except: Option<usize>) -> Result<usize, String> {
    let start = Instant::now();
    while start.elapsed() < WHOLE_PATIENCE {
        if let Some(leader) = leader(fleet, except).await {
            return Ok(leader);
        }
        actix_rt::time::sleep(POLL).await;
    }
    Err("no leader in time".to_owned())
}

/// Waits until every node runs a voter on its present disk.
async fn whole(fleet: &Fleet) -> Result<(), String> {
    let start = Instant::now();
    while start.elapsed() < WHOLE_PATIENCE {
        let reports = reports(fleet).await;
        let known: Vec<&GroupReport> = reports.iter().flatten().collect();
        let disks: BTreeSet<&str> = known.iter().map(|report| report.disk.as_str()).collect();
        let whole = known.iter().any(|report| {
            let members: BTreeSet<&str> = report
                .replicas
                .iter()
                .map(|replica| replica.disk.as_str())
                .collect();
            report.leads && members == disks && disks.len() == NODES
        });
        let level = known
            .iter()
            .all(|report| report.commit + 500 > known[0].commit);
        if whole && level {
            return Ok(());
        }
        actix_rt::time::sleep(POLL).await;
    }
    Err(format!("not whole in time: {:?}", reports(fleet).await))
}

async fn kill_leader(fleet: &mut Fleet, events: &mut Events) -> Result<(), String> {
    let leader = some_leader(fleet, None).await?;
    let start = Instant::now();
    fleet.kill_node(leader);
    some_leader(fleet, Some(leader)).await?;
    let milliseconds = start.elapsed().as_secs_f64() * 1_000.0;
    events.recovery_milliseconds.push(milliseconds);
    events.lines.push(format!(
        "leader node {leader} killed; another led after {milliseconds:.0} ms"
    ));
    actix_rt::time::sleep(OUTAGE).await;
    fleet.start_node(leader)
}

async fn pause_leader(fleet: &mut Fleet, events: &mut Events) -> Result<(), String> {
    let leader = some_leader(fleet, None).await?;
    fleet.signal_node(leader, Signal::Stop);
    let next = some_leader(fleet, Some(leader)).await?;
    actix_rt::time::sleep(LONG_PAUSE).await;
    fleet.signal_node(leader, Signal::Continue);
    events.lines.push(format!(
        "leader node {leader} paused past every lease; node {next} led"
    ));
    Ok(())
}

async fn wipe(fleet: &mut Fleet, events: &mut Events, lead: bool) -> Result<(), String> {
    let leader = some_leader(fleet, None).await?;
    let number = if lead { leader } else { (leader + 1) % NODES };
    fleet.kill_node(number);
    std::fs::remove_dir_all(fleet.data_folder(number)).map_err(|error| error.to_string())?;
    fleet.start_node(number)?;
    events.disks_replaced += 1;
    events
        .lines
        .push(format!("disk of node {number} wiped (leader: {lead})"));
    Ok(())
}

async fn kill_engine(
    fleet: &mut Fleet,
    random: &mut ChaCha8Rng,
    events: &mut Events,
) -> Result<(), String> {
    let number = random.random_range(0..ENGINES);
    fleet.kill_engine(number).await?;
    actix_rt::time::sleep(OUTAGE).await;
    fleet.restart_engine(number)?;
    events.lines.push(format!("engine {number} killed"));
    Ok(())
}

/// Kills a node and damages the end of its journal file; a file that is refused is moved away, as
/// the message asks.
async fn tear(
    fleet: &mut Fleet,
    random: &mut ChaCha8Rng,
    events: &mut Events,
) -> Result<(), String> {
    let leader = some_leader(fleet, None).await?;
    let number = (leader + 2) % NODES;
    fleet.kill_node(number);
    let path = fleet.data_folder(number).join("journal-0.redb");
    let cut = random.random_bool(0.5);
    damage(&path, cut).map_err(|error| error.to_string())?;
    let how = if cut { "cut off" } else { "overwritten" };
    if fleet.start_node(number).is_ok() {
        events.mended_files += 1;
        events
            .lines
            .push(format!("journal file of node {number} {how}: whole"));
        return Ok(());
    }
    events.refused_files += 1;
    events.disks_replaced += 1;
    events.lines.push(format!(
        "journal file of node {number} {how}: refused, replaced"
    ));
    std::fs::remove_file(&path).map_err(|error| error.to_string())?;
    fleet.start_node(number)
}

fn damage(path: &Path, cut: bool) -> std::io::Result<()> {
    let mut file = OpenOptions::new().write(true).open(path)?;
    let length = file.metadata()?.len();
    let start = length.saturating_sub(TORN_BYTES);
    if cut {
        return file.set_len(start);
    }
    file.seek(SeekFrom::Start(start))?;
    file.write_all(&[0xa5; TORN_BYTES as usize])
}
