//! What one node spends on the data path: processor time for each short request and for each
//! token of a stream, at rates up to those of one node at the size we design for.
//!
//! Node, stand-ins and load share the process; the node's threads are those that appear when it
//! starts, and only their processor time is counted. Streams carry 231 tokens, the mean answer at
//! that size, and engines take about 33 ms between tokens at 116 runs.

mod load;
mod threads;

use crate::experiment::Experiment;
use crate::fit::Fit;
use crate::fleet_of_one::FleetOfOne;
use crate::report::{Report, Series};
use load::{Shape, Tally};
use std::rc::Rc;
use std::time::{Duration, Instant};
use threads::ThreadGroup;

const ENGINES: usize = 6;
const SLOTS: u32 = 128;
const STREAM_TOKENS: usize = 231;
const DEFAULT_SECONDS: u64 = 5;

/// Time until the number of streams at once stands still.
const STREAM_RAMP: Duration = Duration::from_secs(9);
const SHORT_RAMP: Duration = Duration::from_secs(2);

/// Requests a second of the streamed steps; the last is one node's share at the peak.
const STREAM_RATES: [f64; 4] = [10.0, 20.0, 40.0, 82.5];

/// Requests a second of the short steps.
const SHORT_RATES: [f64; 4] = [100.0, 200.0, 400.0, 800.0];

/// What one step measured.
struct Step {
    /// Whole answers a second.
    answers: f64,
    /// Events a second.
    events: f64,
    /// Bytes a second to callers.
    bytes: f64,
    /// Processor time of the node, in seconds a second.
    cores: f64,
    failures: u64,
}

/// Runs the experiment.
pub fn run(experiment: &Experiment) -> Result<bool, String> {
    actix_rt::System::new().block_on(measure(experiment))
}

async fn measure(experiment: &Experiment) -> Result<bool, String> {
    let seconds = experiment.seconds.unwrap_or(DEFAULT_SECONDS);
    let window = Duration::from_secs(seconds);
    let before = ThreadGroup::all().map_err(|error| error.to_string())?;
    let platform = FleetOfOne::platform(ENGINES, SLOTS).map_err(|error| error.to_string())?;
    let stand_ins = ThreadGroup::all().map_err(|error| error.to_string())?;
    let fleet = platform.start_node().await?;
    let node = ThreadGroup::since(&stand_ins).map_err(|error| error.to_string())?;
    if node.is_empty() || before.is_empty() {
        return Err("No thread of the node was found.".to_owned());
    }
    let mut report = Report::new("node-cost", experiment.seed);
    let idle = idle(&node, window).await;
    report.figure("idle node", "cores", idle, None);
    let short = Shape {
        tokens: 1,
        stream: false,
    };
    let streamed = Shape {
        tokens: STREAM_TOKENS,
        stream: true,
    };
    let mut short_points = Vec::new();
    for rate in SHORT_RATES {
        let step = step(&fleet, &node, short, rate, SHORT_RAMP, window).await;
        record(&mut report, &format!("short, {rate}/s"), &step);
        short_points.push((step.answers, step.cores));
    }
    let mut stream_points = Vec::new();
    let mut event_bytes = 0.0;
    for rate in STREAM_RATES {
        let step = step(&fleet, &node, streamed, rate, STREAM_RAMP, window).await;
        record(&mut report, &format!("streams, {rate}/s"), &step);
        stream_points.push((step.events, step.cores));
        event_bytes = step.bytes / step.events.max(1.0);
    }
    report.figure("bytes of a token's event", "bytes", event_bytes, None);
    slope(&mut report, "short request", "request", &short_points);
    slope(&mut report, "streamed token", "token", &stream_points);
    plot(&mut report, experiment, &short_points, &stream_points)
        .map_err(|error| error.to_string())?;
    report.note(format!(
        "{} threads of the node counted, by /proc/self/task/*/schedstat.",
        node.len()
    ));
    report.note("A streamed token's slope holds its share of a request of 231 tokens.");
    fleet.stop();
    report
        .write(&experiment.out)
        .map_err(|error| error.to_string())
}

async fn idle(node: &ThreadGroup, window: Duration) -> f64 {
    let before = node.processor_time();
    let start = Instant::now();
    actix_rt::time::sleep(window).await;
    (node.processor_time() - before).as_secs_f64() / start.elapsed().as_secs_f64()
}

async fn step(
    fleet: &FleetOfOne,
    node: &ThreadGroup,
    shape: Shape,
    rate: f64,
    ramp: Duration,
    window: Duration,
) -> Step {
    let tally = Rc::new(Tally::default());
    let until = Instant::now() + ramp + window;
    let address = fleet.callers();
    let counted = tally.clone();
    let driver = actix_rt::spawn(async move {
        load::drive(
            address,
            FleetOfOne::KEY,
            FleetOfOne::MODEL,
            shape,
            rate,
            until,
            counted,
        )
        .await;
    });
    actix_rt::time::sleep(ramp).await;
    let answers = tally.answers.get();
    let events = tally.events.get();
    let bytes = tally.bytes.get();
    let cores = node.processor_time();
    let start = Instant::now();
    actix_rt::time::sleep(window).await;
    let elapsed = start.elapsed().as_secs_f64();
    let result = Step {
        answers: (tally.answers.get() - answers) as f64 / elapsed,
        events: (tally.events.get() - events) as f64 / elapsed,
        bytes: (tally.bytes.get() - bytes) as f64 / elapsed,
        cores: (node.processor_time() - cores).as_secs_f64() / elapsed,
        failures: tally.failures.get(),
    };
    let _ = driver.await;
    actix_rt::time::sleep(ramp).await;
    result
}

fn record(report: &mut Report, name: &str, step: &Step) {
    report.figure(&format!("{name}: answers"), "answers/s", step.answers, None);
    report.figure(&format!("{name}: events"), "events/s", step.events, None);
    report.figure(&format!("{name}: node"), "cores", step.cores, None);
    report.figure(
        &format!("{name}: failures"),
        "requests",
        step.failures as f64,
        None,
    );
}

fn slope(report: &mut Report, name: &str, unit: &str, points: &[(f64, f64)]) {
    let Some(fit) = Fit::through(points) else {
        return;
    };
    let microseconds = 1e6;
    report.figure(
        &format!("{name}: slope"),
        &format!("µs/{unit}"),
        fit.slope * microseconds,
        None,
    );
    report.figure(
        &format!("{name}: standard error"),
        &format!("µs/{unit}"),
        fit.slope_error * microseconds,
        None,
    );
    report.figure(&format!("{name}: intercept"), "cores", fit.intercept, None);
}

fn plot(
    report: &mut Report,
    experiment: &Experiment,
    short: &[(f64, f64)],
    streams: &[(f64, f64)],
) -> std::io::Result<()> {
    let series = |name: &str, points: &[(f64, f64)]| {
        vec![Series {
            name: name.to_owned(),
            points: points.to_vec(),
        }]
    };
    report.plot(
        &experiment.out,
        "short-requests",
        ("requests/s", "cores of the node"),
        &series("short requests", short),
    )?;
    report.plot(
        &experiment.out,
        "streams",
        ("tokens/s", "cores of the node"),
        &series("streams", streams),
    )
}
