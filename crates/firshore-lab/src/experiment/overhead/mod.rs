//! What a node adds to a request: the same closed-loop load straight to the engines and through
//! one node, in pairs of steps within one run.

mod generator;

use crate::experiment::Experiment;
use crate::fleet::{Fleet, FleetOptions};
use crate::report::{Report, Series};
use crate::topology::{BatchShape, ServiceShape, Topology};
use firshore_types::configuration::key_digest;
use firshore_types::declaration::{Declaration, Protocol};
use firshore_types::validation::parse_declarations;
use generator::{Load, Outcome, Shape, THREADS, Times};
use std::net::SocketAddr;
use std::time::Duration;

const MODEL: &str = "measured";
const KEY: &str = "measure-key";
const ENGINES: usize = 4;
const SLOTS: u32 = 256;
const WORKERS: usize = 2;

/// Iterations take about 80 µs, so that the engine's own time hides little.
const TIME_SCALE: f64 = 0.01;

/// Callers of each thread when the node's limit is sought.
const CALLERS_AT_LIMIT: usize = 32;

/// Callers of each thread at half load.
const CALLERS_AT_HALF: usize = 16;

/// Pairs of steps, one straight and one through the node; their order alternates.
const PAIRS: usize = 8;

const DEFAULT_STEP_SECONDS: u64 = 2;

const SHORT: Shape = Shape {
    prompt_tokens: 8,
    output_tokens: 1,
    stream: false,
};

const STREAMED: Shape = Shape {
    prompt_tokens: 60,
    output_tokens: 32,
    stream: true,
};

/// Goals, in milliseconds.
const ADDED_MEDIAN_LIMIT: f64 = 0.5;
const ADDED_TAIL_LIMIT: f64 = 2.0;

/// Runs the experiment.
pub(super) fn run(experiment: &Experiment) -> Result<bool, String> {
    let options = FleetOptions {
        engine: crate::engine_model::EngineSettings {
            slots: SLOTS,
            queue_limit: 4096,
            time_scale: TIME_SCALE,
            ..Default::default()
        },
        delays: false,
        workers: WORKERS,
        seed: experiment.seed,
        ..FleetOptions::default()
    };
    let fleet = Fleet::start(&topology(), &options)
        .map_err(|error| format!("The fleet did not start: {error}."))?;
    let measured = measure(experiment, &fleet);
    fleet.stop();
    let report = measured?;
    report
        .write(&experiment.out)
        .map_err(|error| format!("{} cannot be written: {error}.", experiment.out.display()))
}

fn measure(experiment: &Experiment, fleet: &Fleet) -> Result<Report, String> {
    actix_rt::System::new().block_on(fleet.apply(declarations()))?;
    let seconds = experiment.seconds.unwrap_or(DEFAULT_STEP_SECONDS);
    let paths = Paths {
        direct: fleet.engines().map(|one| one.server.address).collect(),
        node: vec![fleet.nodes[0].entrance],
        step: Duration::from_secs(seconds),
    };
    let mut report = Report::new("overhead", experiment.seed);
    report.note(format!(
        "One node of {WORKERS} workers before {ENGINES} engine stand-ins at time scale {TIME_SCALE}; \
         {THREADS} threads of callers; {PAIRS} pairs of steps of {seconds} s, order alternating."
    ));
    for (name, shape) in [("short", SHORT), ("streamed", STREAMED)] {
        measure_shape(&mut report, experiment, &paths, name, shape)?;
    }
    Ok(report)
}

/// Where the two kinds of step send their load.
struct Paths {
    direct: Vec<SocketAddr>,
    node: Vec<SocketAddr>,
    step: Duration,
}

impl Paths {
    fn load(&self, targets: &[SocketAddr], shape: Shape, callers: usize) -> Load {
        Load {
            targets: targets.to_vec(),
            key: KEY.to_owned(),
            model: MODEL.to_owned(),
            shape,
            callers,
            rate: None,
            duration: self.step,
        }
    }
}

/// Both kinds of step together.
#[derive(Default)]
struct Pair {
    direct: Outcome,
    node: Outcome,
}

fn measure_shape(
    report: &mut Report,
    experiment: &Experiment,
    paths: &Paths,
    name: &str,
    shape: Shape,
) -> Result<(), String> {
    let at_limit = |targets| generator::run(&paths.load(targets, shape, CALLERS_AT_LIMIT));
    at_limit(&paths.node);
    let direct = checked(at_limit(&paths.direct))?;
    let node = checked(at_limit(&paths.node))?;
    let reached = node.per_second();
    report.figure(
        &format!("{name}.requests_per_second"),
        "1/s",
        reached,
        Some(direct.per_second()),
    );
    let pair = run_pairs(paths, shape, reached / 2.0)?;
    report.figure(
        &format!("{name}.half_load"),
        "1/s",
        pair.node.per_second(),
        Some(pair.direct.per_second()),
    );
    let first: fn(&Times) -> Duration = |times| times.first;
    let whole: fn(&Times) -> Duration = |times| times.whole;
    let parts = if shape.stream {
        vec![("first_token", first), ("whole", whole)]
    } else {
        vec![("whole", whole)]
    };
    for (part, time) in parts {
        add_differences(report, &format!("{name}.{part}"), &pair, time);
    }
    let series = [("straight", &pair.direct), ("through the node", &pair.node)];
    let series = series.map(|(label, outcome)| Series {
        name: label.to_owned(),
        points: distribution(outcome, whole),
    });
    let file = format!("{name}-whole");
    let axes = ("quantile", "milliseconds");
    report
        .plot(&experiment.out, &file, axes, &series)
        .map_err(|error| format!("The plot {file} cannot be written: {error}."))
}

/// Steps at a rate, straight and through the node in turn.
fn run_pairs(paths: &Paths, shape: Shape, rate: f64) -> Result<Pair, String> {
    let step = |targets: &[SocketAddr]| {
        let mut load = paths.load(targets, shape, CALLERS_AT_HALF);
        load.rate = Some(rate);
        checked(generator::run(&load))
    };
    let mut pair = Pair::default();
    for number in 0..PAIRS {
        if number % 2 == 0 {
            pair.direct.absorb(step(&paths.direct)?);
            pair.node.absorb(step(&paths.node)?);
        } else {
            pair.node.absorb(step(&paths.node)?);
            pair.direct.absorb(step(&paths.direct)?);
        }
    }
    Ok(pair)
}

fn checked(outcome: Outcome) -> Result<Outcome, String> {
    match outcome.failures.first() {
        None if outcome.times.is_empty() => Err("No request ended in a step.".to_owned()),
        None => Ok(outcome),
        Some(reason) => Err(format!(
            "{} of {} requests failed; the first: {reason}",
            outcome.failures.len(),
            outcome.failures.len() + outcome.times.len()
        )),
    }
}

fn milliseconds(outcome: &Outcome, time: fn(&Times) -> Duration) -> Vec<f64> {
    let times = outcome.times.iter().map(time);
    let mut sorted: Vec<f64> = times.map(|one| one.as_secs_f64() * 1000.0).collect();
    sorted.sort_by(f64::total_cmp);
    sorted
}

fn quantile(sorted: &[f64], share: f64) -> f64 {
    let last = sorted.len().saturating_sub(1);
    sorted[(last as f64 * share).round() as usize]
}

fn distribution(outcome: &Outcome, time: fn(&Times) -> Duration) -> Vec<(f64, f64)> {
    let sorted = milliseconds(outcome, time);
    (0..=99)
        .map(|percent| f64::from(percent) / 100.0)
        .map(|share| (share, quantile(&sorted, share)))
        .collect()
}

fn add_differences(report: &mut Report, name: &str, pair: &Pair, time: fn(&Times) -> Duration) {
    let direct = milliseconds(&pair.direct, time);
    let node = milliseconds(&pair.node, time);
    let limits = [
        ("p50", 0.5, ADDED_MEDIAN_LIMIT),
        ("p99", 0.99, ADDED_TAIL_LIMIT),
    ];
    for (label, share, limit) in limits {
        let straight = quantile(&direct, share);
        let added = quantile(&node, share) - straight;
        let figure = format!("{name}.added_{label}");
        report.at_most(&figure, "ms", added, limit, Some(straight));
    }
}

fn topology() -> Topology {
    Topology {
        name: "overhead".to_owned(),
        region: "region".to_owned(),
        zones: vec!["zone".to_owned()],
        zone_delay_milliseconds: 0.0,
        caller_delay_milliseconds: 0.0,
        nodes_per_zone: 1,
        services: vec![ServiceShape {
            name: MODEL.to_owned(),
            protocol: Protocol::Model,
            pool: MODEL.to_owned(),
            engines: ENGINES,
        }],
        callers: Vec::new(),
        batch: BatchShape {
            tenant: MODEL.to_owned(),
            key: KEY.to_owned(),
            service: MODEL.to_owned(),
            items: 0,
            prompt_tokens: 1,
            output_tokens: 1,
            interval_seconds: 1.0,
        },
    }
}

fn declarations() -> Vec<Declaration> {
    let digest = key_digest(KEY);
    let text = format!(
        "kind: EnginePool
metadata: {{name: {MODEL}}}
spec: {{slots: {SLOTS}, machines: {{matchLabels: {{pool: {MODEL}}}}}}}
---
kind: Service
metadata: {{name: {MODEL}}}
spec: {{protocol: model, model: {MODEL}, pool: {MODEL}}}
---
kind: Tenant
metadata: {{name: {MODEL}}}
spec: {{priority: 50, keyDigests: [{digest}]}}
"
    );
    parse_declarations("overhead", &text).expect("the experiment's declarations are valid")
}
