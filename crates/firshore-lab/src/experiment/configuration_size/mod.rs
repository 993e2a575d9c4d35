//! What the configuration costs every node as tenants grow: memory, bytes of a snapshot and of a
//! change, processor time to put one change into force, and of the look-ups of one request.
//!
//! The node's own state machine and index are driven, one thread, without sockets.

mod sample;

use crate::experiment::Experiment;
use crate::fit::Fit;
use crate::report::{Report, Series};
use firshore_config::dissemination::{Dissemination, Input, Output};
use firshore_config::history::{HistoryDigest, Record};
use firshore_config::message::Snapshot;
use firshore_config::readers::Peer;
use firshore_protocol::frame;
use firshore_server::shared::ConfigurationView;
use firshore_types::ids::InstanceId;
use firshore_types::policy;
use std::hint::black_box;
use std::time::{Duration, Instant};

/// Tenants; the third is the size we design for.
const SIZES: [usize; 4] = [3_000, 6_000, 12_000, 24_000];

const CHANGES: usize = 50;
const LOOKUPS: usize = 2_000;

/// Bytes of a page, as the kernel counts resident memory.
const PAGE_BYTES: f64 = 4096.0;

/// What one size measured.
struct Step {
    tenants: f64,
    resident_bytes: f64,
    snapshot_bytes: f64,
    change_bytes: f64,
    change_microseconds: f64,
    request_microseconds: f64,
}

/// A node's configuration, kept so that later sizes do not reuse its memory.
struct Held {
    dissemination: Dissemination,
    view: ConfigurationView,
}

/// Runs the experiment.
pub fn run(experiment: &Experiment) -> Result<bool, String> {
    let mut held = Vec::new();
    let mut steps = Vec::new();
    for size in SIZES {
        steps.push(measure(size, experiment.seed, &mut held)?);
    }
    let mut report = Report::new("configuration-size", experiment.seed);
    for step in &steps {
        record(&mut report, step);
    }
    type Value = fn(&Step) -> f64;
    let slopes: [(&str, &str, Value); 4] = [
        ("memory", "bytes/tenant", |step| step.resident_bytes),
        ("snapshot", "bytes/tenant", |step| step.snapshot_bytes),
        ("change into force", "µs/tenant", |step| {
            step.change_microseconds
        }),
        ("look-ups of a request", "µs/tenant", |step| {
            step.request_microseconds
        }),
    ];
    for (name, unit, value) in slopes {
        let points: Vec<(f64, f64)> = steps.iter().map(|s| (s.tenants, value(s))).collect();
        slope(&mut report, name, unit, &points);
        let series = Series {
            name: name.to_owned(),
            points,
        };
        let file = name.replace(' ', "-");
        report
            .plot(&experiment.out, &file, ("tenants", unit), &[series])
            .map_err(|error| error.to_string())?;
    }
    report
        .write(&experiment.out)
        .map_err(|error| error.to_string())
}

/// Returns the resident memory of this process in bytes.
pub(super) fn resident_bytes() -> Result<f64, String> {
    let text = std::fs::read_to_string("/proc/self/statm").map_err(|error| error.to_string())?;
    let pages = text.split_whitespace().nth(1);
    let pages = pages.and_then(|pages| pages.parse::<f64>().ok());
    pages
        .map(|pages| pages * PAGE_BYTES)
        .ok_or_else(|| "Resident memory cannot be read.".to_owned())
}

fn own() -> Peer {
    Peer {
        instance: InstanceId(1),
        region: "bc-south".into(),
        zone: "kelowna".into(),
    }
}

/// A node that holds `tenants` tenants.
fn hold(tenants: usize, seed: u64) -> Held {
    let mut dissemination = Dissemination::new(own(), seed);
    let snapshot = Snapshot {
        digest: HistoryDigest::default(),
        configuration: sample::configuration(tenants),
    };
    dissemination.step(0, Input::Restored(Box::new(snapshot)));
    let view = ConfigurationView::new(dissemination.configuration().clone());
    Held {
        dissemination,
        view,
    }
}

fn measure(tenants: usize, seed: u64, kept: &mut Vec<Held>) -> Result<Step, String> {
    let before = resident_bytes()?;
    let mut held = hold(tenants, seed);
    let resident = resident_bytes()? - before;
    if held.dissemination.configuration().declarations.is_empty() {
        return Err("The snapshot was not taken in.".to_owned());
    }
    let snapshot = frame::encode(&held.dissemination.snapshot());
    let snapshot_bytes = snapshot.map_err(|error| error.to_string())?.len() as f64;
    let mut change_bytes = 0.0;
    let mut times = Vec::new();
    for number in 0..CHANGES {
        let (bytes, time) = one_change(&mut held, number)?;
        change_bytes = bytes;
        times.push(time);
    }
    times.sort();
    let request_microseconds = lookups(&held.view, tenants);
    kept.push(held);
    Ok(Step {
        tenants: tenants as f64,
        resident_bytes: resident,
        snapshot_bytes,
        change_bytes,
        change_microseconds: times[times.len() / 2].as_secs_f64() * 1e6,
        request_microseconds,
    })
}

/// Brings one change into force as a node does; returns its bytes and the time it took.
fn one_change(held: &mut Held, number: usize) -> Result<(f64, Duration), String> {
    let history = held.dissemination.history();
    let change = sample::change(history.head(), number);
    let record = Record::new(history.head_digest(), &change);
    let bytes = frame::encode(&record).map_err(|error| error.to_string())?;
    let start = Instant::now();
    let outputs = held.dissemination.step(0, Input::Written(vec![record]));
    let in_force = outputs.into_iter().find_map(|output| match output {
        Output::InForce(configuration) => Some(configuration),
        _ => None,
    });
    let configuration = in_force.ok_or("The change did not come into force.")?;
    held.view = ConfigurationView::new(configuration);
    Ok((bytes.len() as f64, start.elapsed()))
}

/// Mean time of what one request looks up.
fn lookups(view: &ConfigurationView, tenants: usize) -> f64 {
    let start = Instant::now();
    for number in 0..LOOKUPS {
        let key = sample::key(number * 7 % tenants);
        let (metadata, tenant) = view.tenant(&key).expect("the tenant is declared");
        let model = sample::model(number);
        let (service, spec) = view.service_of_model(&model).expect("the model is served");
        black_box(view.pool(spec.pool.as_str()));
        let tenant = (metadata, tenant);
        black_box(policy::effective(
            &view.configuration,
            tenant,
            service,
            None,
        ));
    }
    start.elapsed().as_secs_f64() * 1e6 / LOOKUPS as f64
}

fn record(report: &mut Report, step: &Step) {
    let figures = [
        ("memory", "bytes", step.resident_bytes),
        ("snapshot", "bytes", step.snapshot_bytes),
        ("change", "bytes", step.change_bytes),
        ("change into force", "µs", step.change_microseconds),
        ("look-ups of a request", "µs", step.request_microseconds),
    ];
    for (name, unit, value) in figures {
        let name = format!("{name}, {} tenants", step.tenants);
        report.figure(&name, unit, value, None);
    }
}

fn slope(report: &mut Report, name: &str, unit: &str, points: &[(f64, f64)]) {
    if let Some(fit) = Fit::through(points) {
        report.figure(&format!("{name}: slope"), unit, fit.slope, None);
        report.figure(
            &format!("{name}: standard error"),
            unit,
            fit.slope_error,
            None,
        );
    }
}
