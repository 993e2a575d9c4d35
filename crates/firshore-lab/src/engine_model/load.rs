//! Load reports, which lag behind the engine's state.

use crate::engine_model::{EngineSettings, Microseconds};
use firshore_types::declaration::EngineRole;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Load of an engine at one moment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Runs, batch included.
    pub running: u32,
    /// Requests in the queue.
    pub waiting: u32,
    /// Runs at once at most.
    pub slots: u32,
    /// Online runs.
    pub online_running: u32,
    /// Batch runs.
    pub batch_running: u32,
    /// Blocks of KV memory that runs, the prefix cache and kept generations hold.
    pub kv_blocks_used: u32,
    /// Blocks of KV memory.
    pub kv_blocks_total: u32,
    /// Role in force.
    pub role: EngineRole,
    /// Models loaded.
    pub models: Vec<String>,
    /// Model being loaded.
    pub loading: Option<String>,
    /// Adapters loaded.
    pub adapters: Vec<String>,
    /// Whether the engine takes nothing new.
    pub draining: bool,
    /// Time of the last iteration.
    pub step_milliseconds: f64,
    /// Age of this report.
    pub age_milliseconds: u64,
}

/// Past states, so that a report of any age can be read back.
#[derive(Default)]
pub(crate) struct LoadHistory {
    states: VecDeque<(Microseconds, LoadReport)>,
}

impl LoadHistory {
    pub(crate) fn record(
        &mut self,
        now: Microseconds,
        report: LoadReport,
        settings: &EngineSettings,
    ) {
        match self.states.back_mut() {
            Some((_, last)) if *last == report => return,
            Some((at, last)) if *at == now => *last = report,
            _ => self.states.push_back((now, report)),
        }
        let horizon =
            now.saturating_sub(settings.scaled(settings.load_lag + settings.load_interval));
        while self.states.len() > 1 && self.states[1].0 <= horizon {
            self.states.pop_front();
        }
    }

    pub(crate) fn read(&self, now: Microseconds, settings: &EngineSettings) -> Option<LoadReport> {
        let interval = settings.scaled(settings.load_interval).max(1);
        let newest = now.saturating_sub(settings.scaled(settings.load_lag));
        let sampled = newest - newest % interval;
        let known = self.states.iter().rev().find(|(at, _)| *at <= sampled);
        let (_, report) = known.or(self.states.front())?;
        let mut report = report.clone();
        report.age_milliseconds = (now - sampled) / 1000;
        Some(report)
    }
}
