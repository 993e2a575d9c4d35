//! Figures from the callers' records and the engines' own execution logs.

use super::batch::MARKER_PREFIX;
use super::online::{OnlineRecord, prompt};
use super::variant::{Variant, VariantOutcome};
use crate::engine_model::{Engine, EngineSettings, Event, Microseconds, Outcome, Submission};
use crate::stand_in::engine::ExecutionLine;
use crate::topology::BatchShape;
use firshore_types::hash::prompt_block_hashes;
use std::collections::HashMap;
use std::time::Duration;

/// An online request that started later than this after it was sent, on an engine that ran batch
/// items all the while, waited behind them. An iteration takes up to 24 ms.
const WAIT_MILLISECONDS: u64 = 60;

const MICROSECONDS_PER_SECOND: Microseconds = 1_000_000;

/// Time that the saturated engine is run for, in its own time.
const SATURATED_SECONDS: u64 = 20;

/// Figures of one variant.
#[derive(Clone, Debug, Default)]
pub(super) struct Judgement {
    pub(super) first_token_p99: f64,
    pub(super) token_gap_p95: f64,
    pub(super) first_token_p99_ratio: f64,
    pub(super) token_gap_p95_ratio: f64,
    pub(super) service_p99_milliseconds: f64,
    pub(super) failed: f64,
    pub(super) share: f64,
    pub(super) idle_share: f64,
    pub(super) yield_p50: f64,
    pub(super) yield_p99: f64,
    pub(super) waited_behind_batch: f64,
    pub(super) items_per_second: f64,
    pub(super) interrupted: f64,
    pub(super) doubled: f64,
}

/// Items that one engine finishes a second when it runs nothing else and items always wait.
pub(super) fn saturated_items_per_second(shape: &BatchShape, settings: EngineSettings) -> f64 {
    let slots = settings.slots as usize;
    let mut engine = Engine::new(settings, 0);
    let mut submitted = 0;
    let mut submit = |engine: &mut Engine, now| {
        submitted += 1;
        let marker = format!("{MARKER_PREFIX}{submitted}");
        let submission = Submission {
            request_id: marker.clone(),
            prompt_tokens: shape.prompt_tokens as u32,
            prompt_blocks: prompt_block_hashes(&prompt(&marker, shape.prompt_tokens)),
            maximum_tokens: shape.output_tokens as u32,
            marker,
            ..Submission::default()
        };
        // The queue is never longer than the slots.
        let _ = engine.submit(now, submission);
    };
    for _ in 0..slots * 2 {
        submit(&mut engine, 0);
    }
    let end = SATURATED_SECONDS * MICROSECONDS_PER_SECOND;
    let mut completed = 0;
    while let Some(now) = engine.next_wake().filter(|now| *now < end) {
        for event in engine.step(now) {
            if matches!(event, Event::Completed { .. }) {
                completed += 1;
                submit(&mut engine, now);
            }
        }
    }
    f64::from(completed) / SATURATED_SECONDS as f64
}

fn quantile(values: &mut [f64], share: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let last = values.len().saturating_sub(1);
    let position = (share * last as f64).round() as usize;
    values.get(position).copied().unwrap_or(0.0)
}

fn milliseconds(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1000.0
}

fn is_batch(line: &ExecutionLine) -> bool {
    line.marker.starts_with(MARKER_PREFIX)
}

/// The load's time on the wall clock.
#[derive(Clone, Copy)]
struct Window {
    start: u64,
    end: u64,
}

impl Window {
    fn holds(&self, moment: u64) -> bool {
        (self.start..self.end).contains(&moment)
    }
}

fn end_of(line: &ExecutionLine) -> u64 {
    line.ended_unix_ms.unwrap_or(u64::MAX)
}

/// Milliseconds within the window in which an online request ran.
fn online_time(lines: &[ExecutionLine], window: Window) -> u64 {
    let mut spans: Vec<(u64, u64)> = lines
        .iter()
        .filter(|line| !is_batch(line) && line.outcome != Outcome::Refused)
        .map(|line| {
            (
                line.started_unix_ms.max(window.start),
                end_of(line).min(window.end),
            )
        })
        .filter(|(start, end)| start < end)
        .collect();
    spans.sort_unstable();
    let mut covered_to = window.start;
    let mut total = 0;
    for (start, end) in spans {
        total += end.saturating_sub(start.max(covered_to));
        covered_to = covered_to.max(end);
    }
    total
}

/// Engine by engine: from the sending of an online request to the end of every batch run that
/// ran when it started.
fn yields(lines: &[ExecutionLine], sent: &HashMap<&str, u64>) -> Vec<f64> {
    let mut times = Vec::new();
    for online in lines.iter().filter(|line| !is_batch(line)) {
        let Some(sent) = sent.get(online.marker.as_str()) else {
            continue;
        };
        let at = online.started_unix_ms;
        let beside = lines
            .iter()
            .filter(|line| is_batch(line) && line.started_unix_ms < at && end_of(line) >= at);
        if let Some(freed) = beside.map(end_of).max() {
            times.push(freed.saturating_sub(*sent) as f64);
        }
    }
    times
}

fn waited_behind_batch(lines: &[ExecutionLine], sent: &HashMap<&str, u64>) -> usize {
    let online = lines.iter().filter(|line| !is_batch(line));
    let waited = online.filter(|line| {
        let Some(sent) = sent.get(line.marker.as_str()) else {
            return false;
        };
        let late = line.started_unix_ms > sent + WAIT_MILLISECONDS;
        late && lines.iter().any(|other| {
            is_batch(other)
                && other.outcome != Outcome::Refused
                && other.started_unix_ms <= *sent
                && end_of(other) >= line.started_unix_ms
        })
    });
    waited.count()
}

impl Judgement {
    /// Judges one variant by itself.
    pub(super) fn of(outcome: &VariantOutcome, duration: Duration, saturated: f64) -> Self {
        let window = Window {
            start: outcome.started_unix_ms,
            end: outcome.started_unix_ms + duration.as_millis() as u64,
        };
        let sent: HashMap<&str, u64> = outcome
            .records
            .iter()
            .map(|record| (record.marker.as_str(), record.sent_unix_ms))
            .collect();
        let mut judgement = Self::of_callers(&outcome.records);
        let engines = outcome.executions.len() as f64;
        let whole = engines * duration.as_secs_f64();
        let busy: u64 = outcome
            .executions
            .iter()
            .map(|lines| online_time(lines, window))
            .sum();
        let idle = whole - busy as f64 / 1000.0;
        judgement.idle_share = idle / whole;
        let batch = || {
            outcome
                .executions
                .iter()
                .flatten()
                .filter(|line| is_batch(line))
        };
        let completed = batch()
            .filter(|line| line.outcome == Outcome::Completed && window.holds(end_of(line)))
            .count() as f64;
        judgement.items_per_second = completed / duration.as_secs_f64();
        judgement.share = completed / (idle * saturated);
        judgement.interrupted = batch()
            .filter(|line| matches!(line.outcome, Outcome::Preempted | Outcome::Cancelled))
            .count() as f64;
        judgement.doubled = doubled(batch(), outcome.variant) as f64;
        let mut times: Vec<f64> = Vec::new();
        for lines in &outcome.executions {
            times.extend(yields(lines, &sent));
            judgement.waited_behind_batch += waited_behind_batch(lines, &sent) as f64;
        }
        judgement.yield_p50 = quantile(&mut times, 0.5);
        judgement.yield_p99 = quantile(&mut times, 0.99);
        judgement
    }

    /// Sets the ratios against online alone.
    pub(super) fn compare(&mut self, alone: &Self) {
        self.first_token_p99_ratio = self.first_token_p99 / alone.first_token_p99;
        self.token_gap_p95_ratio = self.token_gap_p95 / alone.token_gap_p95;
    }

    fn of_callers(records: &[OnlineRecord]) -> Self {
        let streamed = || records.iter().filter(|record| record.streamed);
        let mut first: Vec<f64> = streamed()
            .map(|record| milliseconds(record.first))
            .collect();
        let gaps = streamed().flat_map(|record| &record.gaps);
        let mut gaps: Vec<f64> = gaps.map(|gap| milliseconds(*gap)).collect();
        let services = records.iter().filter(|record| !record.streamed);
        let mut services: Vec<f64> = services.map(|record| milliseconds(record.first)).collect();
        Self {
            first_token_p99: quantile(&mut first, 0.99),
            token_gap_p95: quantile(&mut gaps, 0.95),
            service_p99_milliseconds: quantile(&mut services, 0.99),
            failed: records.iter().filter(|one| one.failure.is_some()).count() as f64,
            ..Self::default()
        }
    }
}

/// Items that completed more than once.
fn doubled<'a>(lines: impl Iterator<Item = &'a ExecutionLine>, variant: Variant) -> usize {
    if variant == Variant::OnlineAlone {
        return 0;
    }
    let mut completed: HashMap<&str, u32> = HashMap::new();
    for line in lines.filter(|line| line.outcome == Outcome::Completed) {
        *completed.entry(line.marker.as_str()).or_default() += 1;
    }
    completed.values().filter(|count| **count > 1).count()
}
