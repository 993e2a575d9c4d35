//! `firshore-lab experiment failures`: real processes under planned stops and under every
//! failure at once, judged by what callers saw and by the engines' execution logs.

mod chaos;
pub mod fleet;
mod load;

use crate::experiment::Experiment;
use crate::judge::{Allowances, BrokenPromise, CallOutcome, Evidence, judge};
use crate::report::Report;
use fleet::{ENGINES, Fleet, NODES};
use load::{Kind, Load, Phase, Seen};
use std::path::Path;
use std::time::Duration;

const CALLERS: usize = 24;

/// Seconds of failures unless the command line says otherwise.
const DEFAULT_SECONDS: u64 = 40;

/// Time under load before the first event.
const WARM_UP: Duration = Duration::from_secs(3);

/// Time between two planned stops.
const BETWEEN_STOPS: Duration = Duration::from_secs(2);

/// Time that an engine keeps leaving, well past the 3 s in which it may still get work.
const LEAVING: Duration = Duration::from_secs(6);

/// Time for nodes and engines to come to rest before the logs are read.
const REST: Duration = Duration::from_secs(3);

#[derive(Default)]
struct Stops {
    unclean: u64,
    longest: Duration,
}

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
    let load = Load::new(nodes?);
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| actix_rt::spawn(load.clone().caller(experiment.seed, number)))
        .collect();
    actix_rt::time::sleep(WARM_UP).await;
    let stops = planned_stops(&mut fleet).await?;
    load.phase.set(Phase::Chaos);
    let seconds = experiment.seconds.unwrap_or(DEFAULT_SECONDS);
    let events = chaos::run(&mut fleet, experiment.seed, Duration::from_secs(seconds)).await?;
    load.stop();
    for caller in callers {
        let _ = caller.await;
    }
    actix_rt::time::sleep(REST).await;
    let seen = load.take();
    let evidence = Evidence {
        calls: seen.iter().map(|one| one.record.clone()).collect(),
        jobs: Vec::new(),
        backends: fleet.collect().await?,
    };
    let broken = judge(&evidence, &Allowances::default());
    write_lines(&experiment.out, "executions.txt", executions(&evidence))?;
    report(experiment, &stops, &seen, &broken, events)
}

/// Stops each node as planned, then two engines in the two ways that there are.
async fn planned_stops(fleet: &mut Fleet) -> Result<Stops, String> {
    let mut stops = Stops::default();
    for number in 0..NODES {
        let (clean, time) = fleet.stop_node(number).await?;
        stops.unclean += u64::from(!clean);
        stops.longest = stops.longest.max(time);
        fleet.start_node(number)?;
        fleet.wait_ready(number).await?;
        actix_rt::time::sleep(BETWEEN_STOPS).await;
    }
    fleet.drain_engine(0).await?;
    fleet.list_as_leaving(1);
    actix_rt::time::sleep(LEAVING).await;
    for number in 0..2 {
        while !fleet.engine_is_idle(number).await {
            actix_rt::time::sleep(Duration::from_millis(50)).await;
        }
        fleet.kill_engine(number).await?;
        fleet.restart_engine(number)?;
    }
    actix_rt::time::sleep(BETWEEN_STOPS).await;
    Ok(stops)
}

fn report(
    experiment: &Experiment,
    stops: &Stops,
    seen: &[Seen],
    broken: &[BrokenPromise],
    events: Vec<String>,
) -> Result<bool, String> {
    let mut report = Report::new("failures", experiment.seed);
    let count =
        |wanted: &dyn Fn(&Seen) -> bool| seen.iter().filter(|one| wanted(one)).count() as f64;
    let broken_count = |wanted: &dyn Fn(&BrokenPromise) -> bool| {
        broken.iter().filter(|one| wanted(one)).count() as f64
    };
    let cut_off = |one: &Seen| one.phase == Phase::Planned && one.cut_off;
    let zero = [
        ("requests_cut_off_by_planned_stops", count(&cut_off)),
        ("planned_stops_not_ended_with_0", stops.unclean as f64),
        (
            "wrong_or_mixed_answers",
            broken_count(&|one| matches!(one, BrokenPromise::AnswerNotOwn(..))),
        ),
        (
            "non_repeatable_run_twice",
            broken_count(&|one| matches!(one, BrokenPromise::RanTwice(..))),
        ),
        (
            "refused_as_not_run_that_ran",
            broken_count(&|one| matches!(one, BrokenPromise::RefusedButRan(..))),
        ),
        (
            "answered_but_not_run",
            broken_count(&|one| matches!(one, BrokenPromise::AnsweredButNotRun(..))),
        ),
        (
            "engines_given_work_3_s_after_leaving",
            broken_count(&|one| matches!(one, BrokenPromise::WorkWhileLeaving(..))),
        ),
    ];
    for (name, value) in zero {
        report.at_most(name, "count", value, 0.0, None);
    }
    let whole = |phase: Phase| {
        move |one: &Seen| one.phase == phase && one.record.outcome == CallOutcome::Whole
    };
    for (phase, name) in [(Phase::Planned, "planned"), (Phase::Chaos, "failures")] {
        let all = count(&|one| one.phase == phase);
        report.figure(&format!("requests_in_{name}"), "count", all, None);
        let share = 100.0 * count(&whole(phase)) / all.max(1.0);
        report.figure(&format!("answered_whole_in_{name}"), "%", share, None);
    }
    for (kind, name) in [(Kind::Once, "once"), (Kind::Keyed, "keyed")] {
        let all = count(&|one| one.kind == kind);
        report.figure(&format!("non_repeatable_{name}"), "count", all, None);
    }
    let refused = count(&|one| matches!(one.record.outcome, CallOutcome::Refused(_)));
    report.figure("refused_as_not_run", "count", refused, None);
    let longest = stops.longest.as_secs_f64();
    report.figure("planned_stop_seconds_max", "s", longest, None);
    report.figure("failures_injected", "count", events.len() as f64, None);
    report.note(format!(
        "{NODES} nodes, {ENGINES} engines, {CALLERS} callers."
    ));
    write_lines(&experiment.out, "events.txt", events)?;
    let mut lines: Vec<String> = broken.iter().map(ToString::to_string).collect();
    let not_whole = seen
        .iter()
        .filter(|one| one.record.outcome != CallOutcome::Whole);
    lines.extend(not_whole.map(|one| format!("{one:?}")));
    write_lines(&experiment.out, "not-whole.txt", lines)?;
    for promise in broken.iter().take(10) {
        report.note(promise.to_string());
    }
    report
        .write(&experiment.out)
        .map_err(|error| error.to_string())
}

/// The engines' logs, so that a broken promise can be followed up.
fn executions(evidence: &Evidence) -> Vec<String> {
    let logs = evidence.backends.iter();
    let lines = logs.flat_map(|log| {
        let leaving = log.leaving_since_unix_ms;
        log.lines
            .iter()
            .map(move |line| format!("{} leaving since {leaving:?}: {line:?}", log.backend))
    });
    lines.collect()
}

fn write_lines(folder: &Path, name: &str, lines: Vec<String>) -> Result<(), String> {
    std::fs::write(folder.join(name), lines.join("\n") + "\n").map_err(|error| error.to_string())
}
