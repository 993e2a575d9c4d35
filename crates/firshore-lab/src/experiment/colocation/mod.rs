//! Online and batch work on one fleet: what batch work gets, and what online requests pay.
//!
//! Four ways of running them are compared on the same seeded load: online alone, this system,
//! batch as ordinary requests of low priority without preemption, and engines split statically.

mod batch;
mod judge;
mod online;
mod schedule;
mod variant;

use crate::engine_model::EngineSettings;
use crate::experiment::Experiment;
use crate::report::{Report, Series};
use crate::topology::Topology;
use judge::Judgement;
use std::path::PathBuf;
use std::time::Duration;
use variant::{Variant, VariantOutcome};

const DEFAULT_TOPOLOGY: &str = "examples/fieldline";
const DEFAULT_SECONDS: u64 = 30;

const TAIL_RATIO_LIMIT: f64 = 1.10;
const SHARE_LIMIT: f64 = 0.85;

/// Runs it; `Ok(true)` when every limit is kept.
pub fn run(experiment: &Experiment) -> Result<bool, String> {
    let default = || PathBuf::from(DEFAULT_TOPOLOGY);
    let folder = experiment.topology.clone().unwrap_or_else(default);
    let topology = Topology::read(&folder)?;
    let duration = Duration::from_secs(experiment.seconds.unwrap_or(DEFAULT_SECONDS));
    let schedule = schedule::schedule(&topology, duration, experiment.seed);
    let saturated = judge::saturated_items_per_second(&topology.batch, EngineSettings::default());
    let mut outcomes = Vec::new();
    for variant in Variant::ALL {
        let outcome = variant::run(variant, &topology, &folder, &schedule, duration)?;
        println!("{}", outcome.describe());
        outcomes.push(outcome);
    }
    let mut judgements: Vec<Judgement> = outcomes
        .iter()
        .map(|outcome| Judgement::of(outcome, duration, saturated))
        .collect();
    let alone = judgements[0].clone();
    for judgement in &mut judgements {
        judgement.compare(&alone);
    }
    let mut report = Report::new("colocation", experiment.seed);
    report.note(format!(
        "Topology {}, {} s of load a variant, {} online requests, one engine alone runs {saturated:.1} items/s.",
        topology.name,
        duration.as_secs(),
        schedule.len()
    ));
    report.note(
        "Idle capacity is the engines' time without any online run, at the rate of a full engine.",
    );
    write_figures(&mut report, &outcomes, &judgements);
    let series = |pick: fn(&Judgement) -> f64| -> Vec<Series> {
        let lines = judgements.iter().zip(&outcomes);
        lines
            .map(|(judgement, outcome)| Series {
                name: outcome.variant.name().to_owned(),
                points: vec![(0.0, 0.0), (pick(judgement), judgement.share)],
            })
            .collect()
    };
    let axes = (
        "first token p99 against online alone",
        "share of idle capacity",
    );
    report
        .plot(
            &experiment.out,
            "share-and-harm",
            axes,
            &series(|one| one.first_token_p99_ratio),
        )
        .and_then(|()| report.write(&experiment.out))
        .map_err(|error| error.to_string())
}

fn write_figures(report: &mut Report, outcomes: &[VariantOutcome], judgements: &[Judgement]) {
    for (outcome, judgement) in outcomes.iter().zip(judgements) {
        let variant = outcome.variant;
        let name = |figure: &str| match variant {
            Variant::Ours => figure.to_owned(),
            _ => format!("{}_{figure}", variant.name()),
        };
        let first = name("online_first_token_p99_ratio");
        let gap = name("online_token_gap_p95_ratio");
        let share = name("batch_share_of_idle_capacity");
        let alone = judgements[0].service_p99_milliseconds;
        match variant {
            Variant::OnlineAlone => {
                report.figure(
                    &name("first_token_p99"),
                    "ms",
                    judgement.first_token_p99,
                    None,
                );
                report.figure(&name("token_gap_p95"), "ms", judgement.token_gap_p95, None);
                report.figure(&name("service_p99"), "ms", alone, None);
                report.figure(&name("idle_share"), "ratio", judgement.idle_share, None);
                report.figure(&name("failed"), "requests", judgement.failed, None);
                continue;
            }
            Variant::Ours => {
                let ratio = judgement.first_token_p99_ratio;
                report.at_most(&first, "ratio", ratio, TAIL_RATIO_LIMIT, Some(1.0));
                let ratio = judgement.token_gap_p95_ratio;
                report.at_most(&gap, "ratio", ratio, TAIL_RATIO_LIMIT, Some(1.0));
                report.at_least(&share, "ratio", judgement.share, SHARE_LIMIT, None);
                let waited = judgement.waited_behind_batch;
                report.at_most(
                    "online_requests_behind_batch",
                    "requests",
                    waited,
                    0.0,
                    None,
                );
                report.at_most(
                    "online_requests_failed",
                    "requests",
                    judgement.failed,
                    0.0,
                    None,
                );
            }
            Variant::WithoutPreemption | Variant::StaticSplit => {
                let ratio = judgement.first_token_p99_ratio;
                report.figure(&first, "ratio", ratio, Some(1.0));
                report.figure(&gap, "ratio", judgement.token_gap_p95_ratio, Some(1.0));
                report.figure(&share, "ratio", judgement.share, None);
                let waited = judgement.waited_behind_batch;
                report.figure(
                    &name("online_requests_behind_batch"),
                    "requests",
                    waited,
                    None,
                );
                report.figure(
                    &name("online_requests_failed"),
                    "requests",
                    judgement.failed,
                    None,
                );
            }
        }
        let service = judgement.service_p99_milliseconds;
        report.figure(&name("service_p99"), "ms", service, Some(alone));
        report.figure(
            &name("yield_milliseconds_p99"),
            "ms",
            judgement.yield_p99,
            None,
        );
        report.figure(
            &name("yield_milliseconds_p50"),
            "ms",
            judgement.yield_p50,
            None,
        );
        report.figure(
            &name("batch_items_per_second"),
            "items/s",
            judgement.items_per_second,
            None,
        );
        report.figure(
            &name("batch_runs_interrupted"),
            "runs",
            judgement.interrupted,
            None,
        );
        report.figure(
            &name("batch_items_run_to_end_twice"),
            "items",
            judgement.doubled,
            None,
        );
    }
}
