//! What a fleet of back ends costs one gateway and one relay as it grows: memory, and processor time of a listing, a
//! change, a view of other nodes' loads, and a request.
//!
//! Drives the relay's cache, the gateway's list and watch cycle, the decoder of the plain adapter and the gateway's
//! fleet on one thread, without sockets. Every 97th entry is unreadable and must name no back end.

mod hollow;

use crate::experiment::Experiment;
use crate::fit::Fit;
use crate::report::{Report, Series};
pub use hollow::{HollowFleet, StepCost};

/// Back ends; the third is the largest fleet in service.
const SIZES: [usize; 4] = [1_000, 5_000, 10_000, 20_000];

/// Runs the experiment.
///
/// # Errors
///
/// Fails if the report can't be written or memory can't be read.
pub fn run(experiment: &Experiment) -> Result<bool, String> {
    let mut report = Report::new("fleet-size", experiment.seed);
    let mut costs = Vec::new();
    // Kept, so that later sizes don't reuse the memory of earlier ones.
    let mut fleets = Vec::new();
    for size in SIZES {
        let (fleet, cost) = HollowFleet::measure(size, experiment.seed)?;
        for (name, unit, value) in cost.figures() {
            report.figure(&format!("{name}, {size} back ends"), unit, value, None);
        }
        costs.push((size as f64, cost));
        fleets.push(fleet);
    }
    for (idx, (name, unit, _)) in StepCost::default().figures().into_iter().enumerate() {
        let points = costs
            .iter()
            .map(|(size, cost)| (*size, cost.figures()[idx].2));
        let points: Vec<(f64, f64)> = points.collect();
        if let Some(fit) = Fit::through(&points) {
            let unit = format!("{unit}/back end");
            report.figure(&format!("{name}: slope"), &unit, fit.slope, None);
        }
        let series = Series {
            name: name.to_owned(),
            points,
        };
        let file = name.replace(' ', "-");
        report
            .plot(&experiment.out, &file, ("back ends", unit), &[series])
            .map_err(|error| error.to_string())?;
    }
    report
        .write(&experiment.out)
        .map_err(|error| error.to_string())
}
