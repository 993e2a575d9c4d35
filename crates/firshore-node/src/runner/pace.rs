//! How fast the back ends of a service produce items, as seen in runs. No I/O.

use firshore_types::ids::ServiceName;
use std::collections::HashMap;
use std::time::Duration;

/// Weight of the newest observation: some ten runs are remembered, so that a change of speed shows
/// within seconds, and one odd run does not.
const NEWEST_WEIGHT: f64 = 0.1;

/// Most that items are believed to take, relative to the time in which they run.
const MOST_STRETCH: f64 = 4.0;

/// Part of the expected output that still counts as ahead when an item has outgrown it.
const OUTGROWN_SHARE: f64 = 0.1;

/// What a run has shown.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RunSample {
    /// Events that it produced after its first one.
    pub events: usize,
    /// Time from its first event to its last.
    pub streaming: Duration,
    /// The whole item, where the run ended it.
    pub whole: Option<WholeItem>,
}

/// An item that was run to its end.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WholeItem {
    /// Events of its output.
    pub events: usize,
    /// Tokens that were expected.
    pub expected: u32,
    /// Time from its first start to its end, where all of it was made in that time.
    pub took: Option<Duration>,
}

fn blend(before: Option<f64>, newest: f64) -> f64 {
    before.map_or(newest, |before| before + NEWEST_WEIGHT * (newest - before))
}

/// Pace of one service.
#[derive(Clone, Copy, Debug, Default)]
struct OutputPace {
    seconds_per_event: Option<f64>,
    events_per_token: Option<f64>,
    /// Time that items took, relative to the time in which they ran: the rest they waited after
    /// they had to give way.
    stretch: Option<f64>,
}

/// Paces of all services.
#[derive(Debug, Default)]
pub struct PaceTable {
    paces: HashMap<ServiceName, OutputPace>,
}

impl PaceTable {
    /// Takes in what a run has shown.
    pub fn learn(&mut self, service: &ServiceName, sample: &RunSample) {
        let pace = self.paces.entry(service.clone()).or_default();
        if sample.events > 0 {
            let seconds = sample.streaming.as_secs_f64() / sample.events as f64;
            pace.seconds_per_event = Some(blend(pace.seconds_per_event, seconds));
        }
        let Some(whole) = sample.whole else {
            return;
        };
        if whole.expected > 0 {
            let ratio = whole.events as f64 / f64::from(whole.expected);
            pace.events_per_token = Some(blend(pace.events_per_token, ratio));
        }
        if let (Some(took), Some(seconds)) = (whole.took, pace.seconds_per_event)
            && whole.events > 0
        {
            let stretch = took.as_secs_f64() / (seconds * whole.events as f64);
            let stretch = stretch.clamp(1.0, MOST_STRETCH);
            pace.stretch = Some(blend(pace.stretch, stretch));
        }
    }

    /// Returns how long items of a service take, relative to the time in which they run.
    pub fn stretch(&self, service: &ServiceName) -> f64 {
        let pace = self.paces.get(service);
        pace.and_then(|pace| pace.stretch).unwrap_or(1.0)
    }

    /// Returns the time that an item still needs at a back end, which has produced `produced` events
    /// of `expected` tokens; zero as long as nothing is known.
    pub fn remaining(&self, service: &ServiceName, expected: u32, produced: usize) -> Duration {
        let Some(pace) = self.paces.get(service) else {
            return Duration::ZERO;
        };
        let (Some(seconds), Some(ratio)) = (pace.seconds_per_event, pace.events_per_token) else {
            return Duration::ZERO;
        };
        let all = f64::from(expected) * ratio;
        let ahead = (all - produced as f64).max(all * OUTGROWN_SHARE);
        Duration::from_secs_f64(ahead * seconds)
    }
}
