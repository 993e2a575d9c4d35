//! `convergence`: hollow nodes under loss, restarts, failures, an outage of the object API and a
//! region cut. How soon a change is in force everywhere, and what control costs a node.

use super::Experiment;
use crate::report::{Report, Series};
use crate::simulation::hollow::fleet::Simulation;
use crate::simulation::hollow::outcome::Outcome;
use crate::simulation::hollow::scenario::{AIM_NODES, Scenario};

/// Sizes that the slopes are fitted to.
const SIZES: [usize; 4] = [10, 60, 200, AIM_NODES];

/// Measured simulated seconds when none are asked for; the aim's day is pressed into them.
const SECONDS: u64 = 600;

const IN_FORCE_LIMIT_SECONDS: f64 = 19.0;
const BYTES_LIMIT: f64 = 9_000.0;
const CORE_LIMIT_PERCENT: f64 = 1.7;
const MEMORY_LIMIT_MEGABYTES: f64 = 32.0;

/// A size and what was measured at it.
struct Sample {
    nodes: usize,
    outcome: Outcome,
}

/// Runs it at one size, or at each of the sizes.
pub fn run(experiment: &Experiment) -> Result<bool, String> {
    let sizes = experiment.nodes.map_or(SIZES.to_vec(), |nodes| vec![nodes]);
    let seconds = experiment.seconds.unwrap_or(SECONDS);
    let samples: Vec<Sample> = sizes
        .into_iter()
        .map(|nodes| {
            let scenario = Scenario::aim(experiment.seed, nodes, seconds);
            let outcome = Simulation::new(scenario).run();
            eprintln!(
                "{nodes} nodes: {:.1} s of processor",
                outcome.processor_seconds
            );
            Sample { nodes, outcome }
        })
        .collect();
    let mut report = Report::new("convergence", experiment.seed);
    let largest = samples.last().ok_or("no size to run")?;
    add_figures(&mut report, &largest.outcome);
    add_notes(&mut report, largest, seconds);
    if samples.len() > 1 {
        add_slopes(&mut report, &samples);
        add_plots(&mut report, experiment, &samples).map_err(|error| error.to_string())?;
    }
    report
        .write(&experiment.out)
        .map_err(|error| error.to_string())
}

fn add_figures(report: &mut Report, outcome: &Outcome) {
    let in_force = &outcome.in_force;
    let mut limited = |name: &str, unit: &str, value: f64, limit: f64| {
        report.at_most(name, unit, value, limit, None);
    };
    let limit = IN_FORCE_LIMIT_SECONDS;
    limited(
        "in_force_seconds_p99",
        "s",
        in_force.seconds_at(0.99),
        limit,
    );
    limited(
        "in_force_seconds_max",
        "s",
        in_force.maximum_seconds(),
        limit,
    );
    let bytes = outcome.sent_bytes_per_second();
    limited(
        "control_bytes_per_second_per_node",
        "B/s",
        bytes,
        BYTES_LIMIT,
    );
    let most = outcome.most_sent_bytes_per_second();
    limited(
        "control_bytes_per_second_worst_node",
        "B/s",
        most,
        BYTES_LIMIT,
    );
    let core = outcome.core_percent();
    limited(
        "control_core_percent",
        "% of a core",
        core,
        CORE_LIMIT_PERCENT,
    );
    let memory = outcome.memory_megabytes();
    limited(
        "control_memory_megabytes",
        "MB",
        memory,
        MEMORY_LIMIT_MEGABYTES,
    );
    limited(
        "false_failures",
        "count",
        outcome.false_failures as f64,
        0.0,
    );
    let reverted = outcome.reverted_revisions as f64;
    limited("reverted_revisions", "count", reverted, 0.0);
    let divergent = outcome.divergent_histories as f64;
    limited("divergent_histories", "count", divergent, 0.0);
    limited(
        "nodes_behind_at_end",
        "count",
        outcome.behind_at_end as f64,
        0.0,
    );
    let wrong = outcome.wrong_members_at_end as f64;
    limited("wrong_members_at_end", "count", wrong, 0.0);
    let detection = &outcome.failure_detection;
    let plain = [
        ("in_force_seconds_p50", "s", in_force.seconds_at(0.5)),
        (
            "failure_detection_seconds_p50",
            "s",
            detection.seconds_at(0.5),
        ),
        (
            "failure_detection_seconds_p99",
            "s",
            detection.seconds_at(0.99),
        ),
        (
            "failure_detection_seconds_max",
            "s",
            detection.maximum_seconds(),
        ),
        (
            "failure_detection_in_zone_seconds_p99",
            "s",
            outcome.failure_detection_in_zone.seconds_at(0.99),
        ),
        (
            "failure_known_in_other_regions_seconds_p99",
            "s",
            outcome.failure_known_elsewhere.seconds_at(0.99),
        ),
        (
            "control_bytes_both_ways_with_headers_worst_node",
            "B/s",
            outcome.most_bytes_both_ways_per_second(),
        ),
        (
            "control_bytes_both_ways_with_headers",
            "B/s",
            outcome.bytes_both_ways_per_second(),
        ),
        (
            "control_frames_per_second",
            "1/s",
            outcome.sent_frames_per_second(),
        ),
        (
            "object_api_watches_max",
            "count",
            outcome.most_watches as f64,
        ),
        ("changes", "count", outcome.changes as f64),
        ("crashes", "count", outcome.crashes as f64),
        ("planned_restarts", "count", outcome.restarts as f64),
        ("pauses", "count", outcome.pauses as f64),
        ("changes_refused", "count", outcome.refusals as f64),
        ("record_bytes_mean", "B", outcome.record_bytes),
    ];
    for (name, unit, value) in plain {
        report.figure(name, unit, value, None);
    }
    let sent: u64 = outcome.purposes.0.values().sum();
    for (purpose, bytes) in &outcome.purposes.0 {
        let name = format!("share_of_bytes: {purpose}");
        let share = 100.0 * *bytes as f64 / sent as f64;
        report.figure(&name, "%", share, None);
    }
}

fn add_notes(report: &mut Report, sample: &Sample, seconds: u64) {
    report.note(format!(
        "Figures without a size are those of {} nodes. The aim's day of failures, restarts and as many pauses is pressed into {seconds} simulated seconds; changes come at ten times the day's mean rate.",
        sample.nodes
    ));
    report.note(
        "Seconds in force run from the first node that has a change in force, or from the node's own start or wake where that is later; nodes in the cut region count like all others.",
    );
    report.note(
        "Processor time covers state machines, encoding, decoding and the simulator itself, but no system calls; memory is what the process gained, with the simulator's own.",
    );
}

type Measure = fn(&Outcome) -> f64;

const MEASURES: [(&str, &str, Measure); 6] = [
    (
        "control_bytes_per_second",
        "B/s",
        Outcome::sent_bytes_per_second,
    ),
    (
        "control_bytes_worst_node",
        "B/s",
        Outcome::most_sent_bytes_per_second,
    ),
    ("control_core_percent", "% of a core", Outcome::core_percent),
    ("control_memory_megabytes", "MB", Outcome::memory_megabytes),
    ("in_force_seconds_max", "s", |outcome| {
        outcome.in_force.maximum_seconds()
    }),
    ("failure_detection_seconds_p99", "s", |outcome| {
        outcome.failure_detection.seconds_at(0.99)
    }),
];

/// Exponents of the nodes by least squares on logarithms.
fn add_slopes(report: &mut Report, samples: &[Sample]) {
    for (name, unit, measure) in MEASURES {
        for sample in samples {
            let name = format!("{name}_at_{}", sample.nodes);
            report.figure(&name, unit, measure(&sample.outcome), None);
        }
        let points: Vec<(f64, f64)> = samples
            .iter()
            .map(|sample| (sample.nodes as f64, measure(&sample.outcome)))
            .filter(|(_, value)| *value > 0.0)
            .map(|(nodes, value)| (nodes.ln(), value.ln()))
            .collect();
        let name = format!("{name}_exponent");
        let exponent = slope(&points);
        let bounded = [
            "control_bytes_per_second_exponent",
            "control_core_percent_exponent",
        ];
        if bounded.contains(&name.as_str()) {
            report.at_most(&name, "power of n", exponent, 1.0, None);
        } else {
            report.figure(&name, "power of n", exponent, None);
        }
    }
}

fn slope(points: &[(f64, f64)]) -> f64 {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|point| point.0).sum::<f64>() / count;
    let mean_y = points.iter().map(|point| point.1).sum::<f64>() / count;
    let covariance: f64 = points
        .iter()
        .map(|(x, y)| (x - mean_x) * (y - mean_y))
        .sum();
    let variance: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    covariance / variance
}

fn add_plots(
    report: &mut Report,
    experiment: &Experiment,
    samples: &[Sample],
) -> std::io::Result<()> {
    for (name, unit, measure) in MEASURES {
        let points = samples
            .iter()
            .map(|sample| (sample.nodes as f64, measure(&sample.outcome)))
            .collect();
        let series = Series {
            name: name.to_owned(),
            points,
        };
        report.plot(&experiment.out, name, ("nodes", unit), &[series])?;
    }
    Ok(())
}
