//! Soak test of the durability guarantee: disks are lost while machines are retired or absent or while all processes
//! are killed. Clients submit and read jobs throughout.
//!
//! At most one disk is lost at a time, and the next only after the catch-up time; a retired machine is removed only
//! once it is reported as drained. Guards against retirements that leave accepted jobs on a single disk.
//!
//! A run takes at most about half a minute. `FIRSHORE_SOAK_SEEDS` sets the number of seeds per scenario,
//! `FIRSHORE_SOAK_FIRST_SEED` the first seed (default 1) and `FIRSHORE_SOAK_AT_ONCE` the number of parallel runs. Nodes
//! run in real time: a seed determines the faults and their times, but not the result.

mod cluster;
mod disk_world;

use cluster::CATCH_UP;
use disk_world::{DiskWorld, SCHEDULING_MARGIN};
use firshore_stand_in::soak_seeds::{number, seeds};
use firshore_stand_in::store::Fault;
use rand::RngExt;
use std::fmt;
use std::sync::{Condvar, Mutex};
use std::time::Duration;

/// Seeds per scenario without `FIRSHORE_SOAK_SEEDS`.
const SEEDS: u64 = 3;

/// Parallel runs of all scenarios together without `FIRSHORE_SOAK_AT_ONCE`; more would slow each other.
const MAX_PARALLEL_RUNS: u64 = 8;

/// Timeout of a run that hangs.
const RUN_TIMEOUT: Duration = Duration::from_secs(110);

/// Maximum number of violations printed for each seed.
const MAX_PRINTED: usize = 4;

/// Milliseconds of a long absence.
const LONG_ABSENCE_MS: std::ops::Range<u64> = 3_000..7_500;

/// Number of runs in progress.
static ACTIVE_RUNS: Mutex<u64> = Mutex::new(0);

/// Notified when a run has ended.
static RUN_ENDED: Condvar = Condvar::new();

/// Permit held by a run in progress.
struct RunPermit;

impl RunPermit {
    /// Waits until fewer than `max_runs` runs are in progress.
    fn acquire(max_runs: u64) -> Self {
        let count = ACTIVE_RUNS.lock().expect("lock is not poisoned");
        let mut count = RUN_ENDED
            .wait_while(count, |count| *count >= max_runs)
            .expect("lock is not poisoned");
        *count += 1;
        Self
    }
}

impl Drop for RunPermit {
    fn drop(&mut self) {
        *ACTIVE_RUNS.lock().expect("lock is not poisoned") -= 1;
        RUN_ENDED.notify_one();
    }
}

/// Result of a run.
#[derive(Default)]
struct RunResult {
    seed: u64,
    requests: u64,
    jobs: usize,
    violations: Vec<String>,
}

impl fmt::Display for RunResult {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            seed,
            requests,
            jobs,
            violations,
        } = self;
        let count = violations.len();
        write!(
            formatter,
            "seed {seed}: {requests} requests, {jobs} jobs, {count} broken"
        )
    }
}

/// Loses `rounds` disks one after the other while another machine is being retired.
async fn lose_disks_during_retirement(world: &mut DiskWorld, rounds: usize) {
    // Half of the runs start with two machines, before the retired machine's replacement joins.
    if world.random.random_bool(0.5) {
        let first = world.machines()[0];
        world.retire(first);
        world.wait_until_drained().await;
        world.catch_up("a machine was retired").await;
    }
    let retired = world.machines()[0];
    world.retire(retired);
    for round in 0..rounds {
        let offset = world.random_duration(0..700);
        world.run_for(offset).await;
        if world.random.random_bool(0.3) {
            world.set_store_fault(Fault::LosesAnswers);
        }
        let lost = world.machines()[0];
        world.lose_disk(lost);
        let downtime = world.random_duration(20..900);
        world.schedule_restart(lost, downtime);
        world.change_configuration();
        // Kills during the loss of another disk must not lose accepted jobs either.
        world.schedule_kills(downtime + Duration::from_millis(500));
        world.run_for(downtime + Duration::from_millis(600)).await;
        world.set_store_fault(Fault::None);
        // By now, all killed processes have restarted.
        world.run_for(Duration::from_millis(600)).await;
        let occasion = format!("loss {round} during a retirement");
        world.catch_up(&occasion).await;
    }
    let lost = world.machines()[0];
    world.lose_disk(lost);
    let downtime = world.random_duration(20..900);
    world.schedule_restart(lost, downtime);
    world.join().await;
    world.run_for(downtime).await;
    world.catch_up("a disk was lost and a machine joined").await;
    world.wait_until_drained().await;
}

/// One machine is absent and a second one is retired; the last one loses its disk soon after the removal.
async fn lose_disk_with_absent_machine(world: &mut DiskWorld) {
    let machines = world.machines();
    let [absent, retired, last] = machines[..] else {
        panic!("expected three machines: {machines:?}");
    };
    world.kill(absent);
    let downtime = world.random_duration(LONG_ABSENCE_MS);
    world.schedule_restart(absent, downtime);
    let offset = world.random_duration(0..3_500);
    world.run_for(offset).await;
    world.retire(retired);
    let wait = downtime.saturating_sub(offset) + SCHEDULING_MARGIN;
    world.run_until_removed(retired, wait).await;
    let delay = world.random_duration(0..400);
    world.run_for(delay).await;
    world.lose_disk(last);
    let last_downtime = world.random_duration(20..900);
    world.schedule_restart(last, last_downtime);
    world.run_for(last_downtime.max(wait)).await;
    world.join().await;
    world.run_for(CATCH_UP).await;
    world.wait_until_replicated("all machines restarted").await;
    world.wait_until_drained().await;
}

/// A second machine is retired before the first one's replacement joins; the last one loses its disk soon after the
/// removal.
async fn lose_disk_before_replacement(world: &mut DiskWorld) {
    let first = world.machines()[0];
    world.retire(first);
    world.wait_until_drained().await;
    let delay = world.random_duration(0..600);
    world.run_for(delay).await;
    let machines = world.machines();
    let [second, last] = machines[..] else {
        panic!("expected two machines: {machines:?}");
    };
    world.retire(second);
    let wait = world.random_duration(1_500..4_000);
    world.run_until_removed(second, wait).await;
    let delay = world.random_duration(0..400);
    world.run_for(delay).await;
    world.lose_disk(last);
    let last_downtime = world.random_duration(20..900);
    world.schedule_restart(last, last_downtime);
    world.run_for(last_downtime).await;
    let delay = world.random_duration(0..1_500);
    world.run_for(delay).await;
    world.join().await;
    world.catch_up("the replacement joined").await;
    world.wait_until_drained().await;
}

/// All processes are killed and one disk is lost right after a job was accepted.
async fn kill_all_processes(world: &mut DiskWorld) {
    for _ in 0..3 {
        let retires_one = world.random.random_bool(0.5);
        let machines = world.machines();
        if retires_one {
            world.retire(machines[0]);
            let offset = world.random_duration(0..400);
            world.run_for(offset).await;
        }
        world.submit_now().await;
        let machines = world.machines();
        machines.iter().for_each(|machine| world.kill(*machine));
        let lost = machines[world.random.random_range(0..machines.len())];
        world.lose_disk(lost);
        for machine in machines {
            let downtime = world.random_duration(20..700);
            world.schedule_restart(machine, downtime);
        }
        world.run_for(Duration::from_millis(700)).await;
        if retires_one {
            world.join().await;
        }
        world.catch_up("all were killed").await;
        world.wait_until_drained().await;
    }
}

/// Scenarios of this test.
#[derive(Clone, Copy, Debug)]
enum Scenario {
    Beside,
    InTurn,
    BesideAbsence,
    BeforeSuccession,
    AllKilled,
}

async fn run_scenario(scenario: Scenario, seed: u64) -> RunResult {
    let mut world = DiskWorld::start(&format!("{scenario:?}"), seed).await;
    match scenario {
        Scenario::Beside => lose_disks_during_retirement(&mut world, 1).await,
        Scenario::InTurn => lose_disks_during_retirement(&mut world, 2).await,
        Scenario::BesideAbsence => lose_disk_with_absent_machine(&mut world).await,
        Scenario::BeforeSuccession => lose_disk_before_replacement(&mut world).await,
        Scenario::AllKilled => kill_all_processes(&mut world).await,
    }
    let ledger = world.finish().await;
    RunResult {
        seed,
        requests: ledger.requests(),
        jobs: ledger.accepted().len(),
        violations: ledger.broken(),
    }
}

fn run_once(scenario: Scenario, seed: u64) -> RunResult {
    let result = actix_rt::System::new()
        .block_on(async { tokio::time::timeout(RUN_TIMEOUT, run_scenario(scenario, seed)).await });
    result.unwrap_or_else(|_| RunResult {
        seed,
        violations: vec!["the run timed out".to_owned()],
        ..RunResult::default()
    })
}

/// Runs seeds in parallel, up to the limit, and returns their results.
fn run_all(scenario: Scenario, seeds: &[u64]) -> Vec<RunResult> {
    let max_parallel_runs = number("FIRSHORE_SOAK_AT_ONCE").unwrap_or(MAX_PARALLEL_RUNS);
    std::thread::scope(|scope| {
        let start = |seed: &u64| {
            let seed = *seed;
            scope.spawn(move || {
                let _permit = RunPermit::acquire(max_parallel_runs);
                run_once(scenario, seed)
            })
        };
        let runs: Vec<_> = seeds.iter().map(start).collect();
        let joined = runs.into_iter().map(|run| run.join());
        let joined = joined.map(|joined| joined.expect("a run does not panic"));
        joined.collect()
    })
}

fn check(scenario: Scenario, failed: &[u64]) {
    let results = run_all(scenario, &seeds(SEEDS, failed));
    for result in &results {
        eprintln!("{scenario:?}: {result}");
        let seed = result.seed;
        let printed = result.violations.iter().take(MAX_PRINTED);
        printed.for_each(|text| eprintln!("{scenario:?} seed {seed}: {text}"));
    }
    let requests: u64 = results.iter().map(|result| result.requests).sum();
    let jobs: usize = results.iter().map(|result| result.jobs).sum();
    let violations = results
        .iter()
        .filter(|result| !result.violations.is_empty());
    let violations: Vec<u64> = violations.map(|result| result.seed).collect();
    let count = results.len();
    eprintln!(
        "{scenario:?}: {count} seeds, {requests} requests, {jobs} jobs, failed: {violations:?}"
    );
    assert!(
        violations.is_empty(),
        "{scenario:?}, failed seeds: {violations:?}"
    );
}

#[test]
fn disk_loss_during_a_retirement_loses_no_jobs() {
    check(Scenario::Beside, &[106, 408, 410]);
}

#[test]
fn successive_disk_losses_during_a_retirement_lose_no_jobs() {
    check(Scenario::InTurn, &[410]);
}

#[test]
fn disk_loss_after_a_retirement_with_an_absent_machine_loses_no_jobs() {
    check(Scenario::BesideAbsence, &[204]);
}

#[test]
fn disk_loss_after_two_retirements_without_a_replacement_loses_no_jobs() {
    check(Scenario::BeforeSuccession, &[]);
}

#[test]
fn disk_loss_while_all_processes_are_killed_loses_no_jobs() {
    check(Scenario::AllKilled, &[110]);
}
