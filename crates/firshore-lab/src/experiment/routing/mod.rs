//! `experiment routing`: ways of choosing an engine compared under the same load and lag.

mod decision;
mod fleet;
mod policy;
mod workload;

use crate::experiment::Experiment;
use crate::report::{Report, Series};
use fleet::{Fleet, Measured, Scenario};
use policy::PolicyKind;
use workload::Workload;

const GATEWAYS: usize = 6;
const ENGINES: usize = 24;
const SECONDS: u64 = 60;
const CAPACITY_REQUESTS: usize = 3_000;
const LOAD_PERCENTS: [u32; 3] = [60, 80, 95];

/// Load at which one engine is slow, and where the project's way must beat each baseline.
const JUDGED_PERCENT: u32 = 80;

const SLOW_FACTOR: f64 = 3.0;

/// Longest mean decision in microseconds.
const DECISION_LIMIT: f64 = 5.0;

struct Step {
    name: String,
    percent: u32,
    slow: bool,
}

fn steps() -> Vec<Step> {
    let step = |percent, slow| Step {
        name: if slow {
            format!("load_{percent}_slow_engine")
        } else {
            format!("load_{percent}")
        },
        percent,
        slow,
    };
    let mut steps: Vec<Step> = LOAD_PERCENTS
        .iter()
        .map(|load| step(*load, false))
        .collect();
    steps.push(step(JUDGED_PERCENT, true));
    steps
}

fn milliseconds(measured: &Measured, quantile: f64) -> f64 {
    measured.first_token.value_at_quantile(quantile) as f64 / 1_000.0
}

/// Runs it; `Ok(true)` when every limit is kept.
pub fn run(experiment: &Experiment) -> Result<bool, String> {
    let mut report = Report::new("routing", experiment.seed);
    let mut workload = Workload::new(experiment.seed, GATEWAYS);
    let sample: Vec<_> = (0..CAPACITY_REQUESTS).map(|_| workload.next(0)).collect();
    let per_engine = fleet::engine_capacity(&sample, experiment.seed);
    let capacity = per_engine * ENGINES as f64;
    report.figure("capacity_requests_per_second", "1/s", capacity, None);
    let duration = experiment.seconds.unwrap_or(SECONDS) * 1_000_000;
    let mut curves: Vec<Series> = PolicyKind::ALL
        .iter()
        .map(|kind| Series {
            name: kind.name().to_owned(),
            points: Vec::new(),
        })
        .collect();
    for step in steps() {
        let mut workload = Workload::new(experiment.seed + 1, GATEWAYS);
        let rate = capacity * f64::from(step.percent) / 100.0;
        let requests = workload.poisson(rate, duration);
        let scenario = Scenario {
            gateways: GATEWAYS,
            engines: ENGINES,
            slow: step.slow.then_some((0, SLOW_FACTOR)),
            seed: experiment.seed,
        };
        let results = PolicyKind::ALL.map(|kind| Fleet::new(kind, &scenario, &requests).run());
        if !step.slow {
            for (curve, measured) in curves.iter_mut().zip(&results) {
                let point = (f64::from(step.percent), milliseconds(measured, 0.99));
                curve.points.push(point);
            }
        }
        add_step(&mut report, &step, &results);
    }
    let time = decision::measure(experiment.seed);
    let mean = time.mean / 1_000.0;
    report.at_most(
        "decision_mean_250_engines",
        "us",
        mean,
        DECISION_LIMIT,
        None,
    );
    report.figure(
        "decision_p99_250_engines",
        "us",
        time.p99 as f64 / 1_000.0,
        None,
    );
    let axes = ("load, percent of capacity", "first token p99, ms");
    let drawn = report.plot(&experiment.out, "first_token_p99", axes, &curves);
    drawn.map_err(|error| error.to_string())?;
    report.note("Simulated time over the lab's engine model; capacity is one engine's with work always waiting, times the engines.");
    report.note(
        "The baseline of the firshore figures is the best of the other three in the same step.",
    );
    report
        .write(&experiment.out)
        .map_err(|error| error.to_string())
}

fn add_step(report: &mut Report, step: &Step, results: &[Measured; 4]) {
    let [baselines @ .., own] = results;
    for (kind, measured) in PolicyKind::ALL.iter().zip(results) {
        let name = |figure: &str| format!("{}_{}_{figure}", step.name, kind.name());
        let is_own = *kind == PolicyKind::Firshore;
        for (label, quantile) in [("p50", 0.5), ("p95", 0.95), ("p99", 0.99)] {
            let value = milliseconds(measured, quantile);
            let others = baselines.iter().map(|other| milliseconds(other, quantile));
            let best = others.fold(f64::MAX, f64::min);
            let name = name(&format!("first_token_{label}"));
            let judged = is_own && step.percent == JUDGED_PERCENT && label == "p99";
            if judged {
                report.at_most(&name, "ms", value, best, Some(best));
            } else {
                report.figure(&name, "ms", value, is_own.then_some(best));
            }
        }
        let gap = |measured: &Measured| measured.gap.value_at_quantile(0.95) as f64 / 1_000.0;
        let best = baselines.iter().map(gap).fold(f64::MAX, f64::min);
        report.figure(
            &name("token_gap_p95"),
            "ms",
            gap(measured),
            is_own.then_some(best),
        );
        let hits = measured.hit_blocks as f64 / measured.blocks.max(1) as f64;
        report.figure(&name("prefix_hit_share"), "ratio", hits, None);
        report.figure(&name("refused"), "requests", measured.refused as f64, None);
        if step.slow {
            report.figure(
                &name("slow_engine_share"),
                "ratio",
                measured.slow_share,
                None,
            );
        }
    }
    report.figure(
        &format!("{}_firshore_other_zone_share", step.name),
        "ratio",
        own.other_zone_share,
        None,
    );
}
