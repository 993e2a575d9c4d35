//! `firshore-lab experiment durability`: batch jobs on real processes while leaders and workers
//! are killed and paused, disks are wiped and files torn, and the object API is silent. Judged by
//! what owners read and by the engines' execution logs.

mod chaos;
mod jobs;

use crate::experiment::Experiment;
use crate::experiment::failures::fleet::{Fleet, NODES};
use crate::judge::{Allowances, BackendLog, BrokenPromise, Evidence, JobEnd, judge};
use crate::report::Report;
use chaos::Events;
use jobs::{Owners, SeenJob};
use std::collections::HashMap;
use std::time::Duration;

const OWNERS: usize = 8;

/// Seconds of failures unless the command line says otherwise.
const DEFAULT_SECONDS: u64 = 60;

/// Time for nodes and engines to come to rest before the logs are read.
const REST: Duration = Duration::from_secs(3);

/// Runs the experiment.
pub fn run(experiment: &Experiment) -> Result<bool, String> {
    actix_rt::System::new().block_on(run_all(experiment))
}

async fn run_all(experiment: &Experiment) -> Result<bool, String> {
    let folder = experiment.out.join("processes");
    if folder.exists() {
        std::fs::remove_dir_all(&folder).map_err(|error| error.to_string())?;
    }
    std::fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
    let folder = folder.canonicalize().map_err(|error| error.to_string())?;
    let mut fleet = Fleet::start(&folder, experiment.seed).await?;
    let nodes: Result<Vec<_>, _> = (0..NODES).map(|number| fleet.addresses(number)).collect();
    let owners = Owners::new(nodes?);
    let tasks: Vec<_> = (0..OWNERS)
        .map(|number| actix_rt::spawn(owners.clone().owner(experiment.seed, number)))
        .collect();
    let seconds = experiment.seconds.unwrap_or(DEFAULT_SECONDS);
    let events = chaos::run(&mut fleet, experiment.seed, Duration::from_secs(seconds)).await?;
    owners.stop();
    let mut stuck = Vec::new();
    for task in tasks {
        if let Ok(Err(reason)) = task.await {
            stuck.push(reason);
        }
    }
    actix_rt::time::sleep(REST).await;
    let seen = owners.take();
    let evidence = Evidence {
        calls: Vec::new(),
        jobs: seen.iter().map(|job| job.record.clone()).collect(),
        backends: fleet.collect().await?,
    };
    let broken = judge(&evidence, &Allowances::default());
    let twice = run_twice(&seen, &evidence.backends);
    let unanswered = owners.unanswered.get();
    report(
        experiment, &events, &seen, &broken, &twice, &stuck, unanswered,
    )
}

/// Non-repeatable items with more than one run from the start.
fn run_twice(seen: &[SeenJob], backends: &[BackendLog]) -> Vec<String> {
    let mut runs: HashMap<&str, usize> = HashMap::new();
    let lines = backends.iter().flat_map(|backend| &backend.lines);
    let refused = crate::engine_model::Outcome::Refused;
    for line in lines.filter(|line| line.outcome != refused && line.resumed_from.is_none()) {
        *runs.entry(line.marker.as_str()).or_default() += 1;
    }
    let once = seen.iter().filter(|job| !job.repeatable);
    once.flat_map(|job| &job.record.items)
        .filter(|item| runs.get(item.as_str()).copied().unwrap_or(0) > 1)
        .cloned()
        .collect()
}

fn report(
    experiment: &Experiment,
    events: &Events,
    seen: &[SeenJob],
    broken: &[BrokenPromise],
    twice: &[String],
    stuck: &[String],
    unanswered: u64,
) -> Result<bool, String> {
    let mut report = Report::new("durability", experiment.seed);
    let count = |wanted: &dyn Fn(&BrokenPromise) -> bool| {
        broken.iter().filter(|one| wanted(one)).count() as f64
    };
    let doubled =
        count(&|one| matches!(one, BrokenPromise::NotExactlyOnce(_, _, results) if *results > 1));
    let lost = count(&|one| {
        matches!(one, BrokenPromise::NotExactlyOnce(_, _, 0))
            || matches!(one, BrokenPromise::JobUnfinished(..))
    });
    let foreign = count(&|one| matches!(one, BrokenPromise::ResultNotOwn(..)));
    let late = count(&|one| matches!(one, BrokenPromise::RanAfterCancel(..)));
    let split = seen.iter().filter(|job| job.split).count() as f64;
    for (name, value) in [
        ("results_doubled", doubled),
        ("results_lost", lost),
        ("results_not_own", foreign),
        ("items_run_after_cancelled", late),
        ("non_repeatable_run_twice", twice.len() as f64),
        ("resubmissions_that_made_another_job", split),
        ("owners_without_an_answer", stuck.len() as f64),
    ] {
        report.at_most(name, "count", value, 0.0, None);
    }
    let whole = || {
        let completed = |job: &&SeenJob| job.record.end == JobEnd::Completed;
        seen.iter().filter(completed)
    };
    let accepted: usize = whole().map(|job| job.record.items.len()).sum();
    let readable: usize = whole().map(|job| job.record.results.len()).sum();
    report.figure("jobs_accepted", "count", seen.len() as f64, None);
    report.figure(
        "items_accepted_in_jobs_not_cancelled",
        "count",
        accepted as f64,
        None,
    );
    report.figure("results_readable_of_these", "count", readable as f64, None);
    let cancelled = seen
        .iter()
        .filter(|job| matches!(job.record.end, JobEnd::Cancelled { .. }));
    report.figure("jobs_cancelled", "count", cancelled.count() as f64, None);
    report.figure("submissions_sent_again", "count", unanswered as f64, None);
    report.figure(
        "failures_injected",
        "count",
        events.lines.len() as f64,
        None,
    );
    report.figure(
        "disks_replaced",
        "count",
        events.disks_replaced as f64,
        None,
    );
    report.figure(
        "damaged_files_refused",
        "count",
        events.refused_files as f64,
        None,
    );
    report.figure(
        "damaged_files_whole",
        "count",
        events.mended_files as f64,
        None,
    );
    let recoveries = &events.recovery_milliseconds;
    let longest = recoveries.iter().copied().fold(0.0, f64::max);
    report.figure("leader_recovery_max", "ms", longest, None);
    let mut lines = events.lines.clone();
    lines.extend(broken.iter().map(ToString::to_string));
    lines.extend(twice.iter().map(|item| format!("{item} ran twice")));
    lines.extend(stuck.iter().cloned());
    std::fs::write(experiment.out.join("events.txt"), lines.join("\n") + "\n")
        .map_err(|error| error.to_string())?;
    for promise in broken.iter().take(10) {
        report.note(promise.to_string());
    }
    for reason in stuck.iter().take(5) {
        report.note(reason.clone());
    }
    report
        .write(&experiment.out)
        .map_err(|error| error.to_string())
}
