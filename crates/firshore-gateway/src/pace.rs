//! Estimates the pace of back ends: the factor by which work takes longer than typical. 1 is typical, 2 is half
//! as fast. No I/O.
//!
//! Back ends of one service differ in speed permanently, are slowed down by neighbours for some hundreds of
//! milliseconds, or become slow and stay slow. Counts of requests show none of this.
//!
//! The last reported value is used for about as long as it has been stable, then the estimate returns to the
//! average over several seconds. So a short slowdown is soon forgotten, and a lasting one is not probed
//! repeatedly. Without reports, the pauses between the events of running streams are used.

use firshore_adapter::backend::Pace;
use std::time::{Duration, Instant};

/// Bounds of a pace: implausibly fast, and too slow to be useful.
const MIN_FACTOR: f32 = 0.25;
const MAX_FACTOR: f32 = 10.0;

/// Minimum time for which a reported value affects the estimate. A pace that changes many times per second is old by
/// then, and the first event of a response is due within about as long.
const MIN_HOLD: Duration = Duration::from_millis(300);

/// Maximum time for which a value affects the estimate without a new one, so that a back end that has recovered
/// is tried again.
const MAX_HOLD: Duration = Duration::from_secs(4);

/// Time over which reported values are averaged into the prior: longer than slowdowns by neighbours, shorter
/// than a lasting change.
const PRIOR_SPAN: Duration = Duration::from_secs(4);

/// Time without a report after which the prior is no longer used. It fades during the second half.
const PRIOR_LIFETIME: Duration = Duration::from_secs(20);

/// Maximum time that one report represents, so that a report after a long gap doesn't count for the gap.
const MAX_SAMPLE_SPAN: Duration = Duration::from_millis(250);

/// Maximum factor between one sample and the average that it updates; limits the weight of outliers.
const MAX_STEP: f32 = 2.0;

/// Relative difference between a value and the prior up to which the state is [`PaceState::Alike`].
const STATE_TOLERANCE: f32 = 0.2;

/// Weight of one pause in a back end's average. Small, because a pause also depends on the other requests there.
const PAUSE_WEIGHT: f32 = 0.05;

/// Minimum number of pauses for an estimate: about those of one stream.
const MIN_PAUSES: u32 = 16;

/// Weight of one pause in the typical pause of a service, which changes with its load.
const TYPICAL_WEIGHT: f32 = 0.002;

/// Weight of one response in the success rate.
const RESPONSE_WEIGHT: f32 = 0.15;

/// Lower bound of the success rate, so that a failing back end is still tried.
const MIN_SUCCESS: f32 = 0.2;

/// Time after the last response after which failures no longer count.
const FAILURE_LIFETIME: Duration = Duration::from_secs(3);

/// Returns the fraction of `span` that remains at `age`, from 1 down to 0.
fn remaining_fraction(age: Duration, span: Duration) -> f32 {
    (1.0 - age.as_secs_f32() / span.as_secs_f32()).max(0.0)
}

/// Returns the weighted mean of two values, where `weight` is that of `to`.
fn blend(from: f32, to: f32, weight: f32) -> f32 {
    from + (to - from) * weight
}

/// How a reported value compares with the prior.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PaceState {
    Faster,
    Alike,
    Slower,
}

impl PaceState {
    fn of(factor: f32, prior: f32) -> Self {
        if factor > prior * (1.0 + STATE_TOLERANCE) {
            Self::Slower
        } else if factor < prior / (1.0 + STATE_TOLERANCE) {
            Self::Faster
        } else {
            Self::Alike
        }
    }
}

/// Pace from the reports of a back end.
#[derive(Clone, Copy, Debug)]
struct ReportedPace {
    /// Last reported value.
    last: f32,
    at: Instant,
    /// When `state` last changed.
    since: Instant,
    state: PaceState,
    /// Average over [`PRIOR_SPAN`].
    prior: f32,
    /// Time that the prior covers so far.
    prior_span: Duration,
}

impl ReportedPace {
    /// The prior begins halfway between typical and the first report, which may be an outlier.
    fn first(now: Instant, factor: f32) -> Self {
        let prior = (1.0 + factor.clamp(1.0 / MAX_STEP, MAX_STEP)) / 2.0;
        Self {
            last: factor,
            at: now,
            since: now,
            state: PaceState::of(factor, prior),
            prior,
            prior_span: MAX_SAMPLE_SPAN,
        }
    }

    fn record(&mut self, now: Instant, factor: f32) {
        let span = now.saturating_duration_since(self.at).min(MAX_SAMPLE_SPAN);
        self.prior_span = (self.prior_span + span).min(PRIOR_SPAN);
        let weight = span.as_secs_f32() / self.prior_span.as_secs_f32();
        let step = factor.clamp(self.prior / MAX_STEP, self.prior * MAX_STEP);
        self.prior = blend(self.prior, step, weight);
        let state = PaceState::of(factor, self.prior);
        if state != self.state {
            self.since = now;
        }
        self.state = state;
        self.last = factor;
        self.at = now;
    }

    /// Returns the time for which the last report is used: the time since the state last changed, within bounds.
    fn hold_time(&self) -> Duration {
        let stable = self.at.saturating_duration_since(self.since);
        stable.clamp(MIN_HOLD, MAX_HOLD)
    }

    /// Uses the last report in full for half of its hold time, then fades to the prior.
    fn factor(&self, now: Instant) -> f32 {
        let age = now.saturating_duration_since(self.at);
        let weight = (2.0 * remaining_fraction(age, self.hold_time())).min(1.0);
        // The prior fades too: a slow back end that gets no requests reports nothing, and would never be tried.
        let prior_weight = (2.0 * remaining_fraction(age, PRIOR_LIFETIME)).min(1.0);
        let prior = blend(1.0, self.prior, prior_weight);
        blend(prior, self.last, weight)
    }
}

/// Pace from the pauses between events of a back end's streams.
#[derive(Clone, Copy, Debug)]
struct PausePace {
    factor: f32,
    count: u32,
    at: Instant,
}

/// Fraction of good responses, averaged.
#[derive(Clone, Copy, Debug)]
struct SuccessRate {
    rate: f32,
    at: Instant,
}

/// Quality of a response that the back end marked as its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseQuality {
    /// The requested result.
    Good,
    /// A failure of the back end.
    Failed,
}

/// Typical pause between events of a service's streams.
#[derive(Clone, Copy, Debug, Default)]
pub struct TypicalPause {
    seconds: Option<f32>,
}

impl TypicalPause {
    /// Records a pause. Returns it as a factor of the typical pause before this one.
    pub fn record(&mut self, pause: Duration) -> f32 {
        let seconds = pause.as_secs_f32().max(f32::MIN_POSITIVE);
        let typical = self.seconds.unwrap_or(seconds);
        let factor = (seconds / typical).clamp(MIN_FACTOR, MAX_FACTOR);
        self.seconds = Some(blend(typical, typical * factor, TYPICAL_WEIGHT));
        factor
    }
}

/// Estimated pace of one back end, from its reports or else from its streams.
#[derive(Clone, Copy, Debug, Default)]
pub struct PaceEstimate {
    reported: Option<ReportedPace>,
    pauses: Option<PausePace>,
    success: Option<SuccessRate>,
}

impl PaceEstimate {
    /// Records a reported pace.
    pub fn record_report(&mut self, now: Instant, pace: Pace) {
        let factor = pace.factor().clamp(MIN_FACTOR, MAX_FACTOR);
        match &mut self.reported {
            Some(reported) => reported.record(now, factor),
            None => self.reported = Some(ReportedPace::first(now, factor)),
        }
    }

    /// Records a pause between two events of one stream, as a factor of the service's typical pause.
    pub fn record_pause(&mut self, now: Instant, factor: f32) {
        let pauses = self.pauses.get_or_insert(PausePace {
            factor: 1.0,
            count: 0,
            at: now,
        });
        let previous = pauses.factor;
        let step = factor.clamp(previous / MAX_STEP, previous * MAX_STEP);
        pauses.factor = blend(previous, step, PAUSE_WEIGHT);
        pauses.count = pauses.count.saturating_add(1);
        pauses.at = now;
    }

    /// Records the quality of a response. Without it, a back end that fails fast would attract requests by its
    /// free slots.
    pub fn record_response(&mut self, now: Instant, quality: ResponseQuality) {
        let good = match quality {
            ResponseQuality::Good => 1.0,
            ResponseQuality::Failed => 0.0,
        };
        let rate = blend(self.success_rate(now), good, RESPONSE_WEIGHT);
        self.success = Some(SuccessRate { rate, at: now });
    }

    fn success_rate(&self, now: Instant) -> f32 {
        let Some(success) = self.success else {
            return 1.0;
        };
        let age = now.saturating_duration_since(success.at);
        blend(1.0, success.rate, remaining_fraction(age, FAILURE_LIFETIME))
    }

    fn pause_factor(&self, now: Instant) -> Option<f32> {
        let pauses = self.pauses.filter(|pauses| pauses.count >= MIN_PAUSES)?;
        let age = now.saturating_duration_since(pauses.at);
        Some(blend(1.0, pauses.factor, remaining_fraction(age, MAX_HOLD)))
    }

    /// Returns the pace as of now; `None` without reports and enough pauses.
    pub fn pace(&self, now: Instant) -> Option<f32> {
        let reported = self.reported.map(|reported| reported.factor(now));
        let factor = reported.or_else(|| self.pause_factor(now))?;
        Some(factor.clamp(MIN_FACTOR, MAX_FACTOR))
    }

    /// Returns the factor by which a good response takes longer than typical: the pace divided by the success
    /// rate, because failed requests have to be repeated. 1 while the pace is unknown.
    pub fn factor(&self, now: Instant) -> f32 {
        let Some(pace) = self.pace(now) else {
            return 1.0;
        };
        let success = self.success_rate(now).max(MIN_SUCCESS);
        (pace / success).min(MAX_FACTOR)
    }
}
