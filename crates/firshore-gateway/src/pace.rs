//! How long work takes at a back end, as a factor of the usual time: 1 is usual, 2 is half as fast. No I/O.
//!
//! The load it answers: back ends of one service differ in speed for good, are slowed down by their neighbours
//! for some hundreds of milliseconds, and some turn slow and stay so. A count of requests shows none of it.
//!
//! What a back end told last holds for about as long as it has held already, and then gives way to what it has
//! told over seconds: a moment's slowness is forgotten within a moment, a lasting one is not tried again and
//! again. Where nothing is told, pauses between events of running streams show it.

use firshore_adapter::backend::Pace;
use std::time::{Duration, Instant};

/// Bounds of a factor. Beyond them a back end is as good as any other that is far too fast to be true, or as
/// useless as any other that nobody can wait for.
const FASTEST: f32 = 0.25;
const SLOWEST: f32 = 10.0;

/// Time for which a figure that is told for the first time is believed: what changes many times a second is
/// old by then, and an answer's first event is due within about as long.
const SHORTEST_WORD: Duration = Duration::from_millis(300);

/// Longest time for which a figure is believed without being told again, so that a back end that has recovered
/// unseen is tried after some seconds.
const LONGEST_WORD: Duration = Duration::from_secs(4);

/// Time over which the figures told make up what a back end is like. Long against what neighbours do to it,
/// short against the time until a lasting change is to count as such.
const PRIOR_SPAN: Duration = Duration::from_secs(4);

/// Time without a figure after which a back end counts as any other; it is known in full for half of it.
const PRIOR_LIFETIME: Duration = Duration::from_secs(20);

/// Time that one figure stands for at most: one that comes after a long silence says nothing of that time.
const LONGEST_PART: Duration = Duration::from_millis(250);

/// Factor by which one figure may differ from what a back end is like and move that in full: an outlier weighs
/// no more.
const LARGEST_STEP: f32 = 2.0;

/// Part by which a figure differs from what a back end is like before it counts as another state of it.
const SAME_STATE: f32 = 0.2;

/// Weight of one pause between two events, which depends on what else runs there.
const PAUSE_WEIGHT: f32 = 0.05;

/// Pauses that have to be seen before they say anything: about those of one stream.
const LEAST_PAUSES: u32 = 16;

/// Weight of one pause in what is usual for a service, which changes with its load.
const USUAL_WEIGHT: f32 = 0.002;

/// Weight of one answer in the part that succeeds.
const ANSWER_WEIGHT: f32 = 0.15;

/// Part of successes below which a back end is not valued less: it has to be tried to be known again.
const LEAST_SUCCESS: f32 = 0.2;

/// Time after which failures are forgotten.
const FAILURES_REMEMBERED: Duration = Duration::from_secs(3);

/// Part of `span` that is left at `age`, falling evenly from 1 to 0.
fn left(age: Duration, span: Duration) -> f32 {
    (1.0 - age.as_secs_f32() / span.as_secs_f32()).max(0.0)
}

/// Moves a value towards another by a weight.
fn moved(from: f32, to: f32, weight: f32) -> f32 {
    from + (to - from) * weight
}

/// How a figure differs from what a back end is like.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PaceState {
    Faster,
    Alike,
    Slower,
}

impl PaceState {
    fn of(factor: f32, prior: f32) -> Self {
        if factor > prior * (1.0 + SAME_STATE) {
            Self::Slower
        } else if factor < prior / (1.0 + SAME_STATE) {
            Self::Faster
        } else {
            Self::Alike
        }
    }
}

/// What a back end tells of its pace.
#[derive(Clone, Copy, Debug)]
struct ToldPace {
    /// The last figure.
    last: f32,
    at: Instant,
    /// Since when it is in the state that the last figure shows.
    since: Instant,
    state: PaceState,
    /// What it is like over seconds.
    prior: f32,
    /// Time that the prior stands for.
    known_for: Duration,
}

impl ToldPace {
    /// The first figure counts as much as the pool does: it may be of a bad moment.
    fn first(now: Instant, factor: f32) -> Self {
        let prior = (1.0 + factor.clamp(1.0 / LARGEST_STEP, LARGEST_STEP)) / 2.0;
        Self {
            last: factor,
            at: now,
            since: now,
            state: PaceState::of(factor, prior),
            prior,
            known_for: LONGEST_PART,
        }
    }

    fn tell(&mut self, now: Instant, factor: f32) {
        let part = now.saturating_duration_since(self.at).min(LONGEST_PART);
        self.known_for = (self.known_for + part).min(PRIOR_SPAN);
        let weight = part.as_secs_f32() / self.known_for.as_secs_f32();
        let step = factor.clamp(self.prior / LARGEST_STEP, self.prior * LARGEST_STEP);
        self.prior = moved(self.prior, step, weight);
        let state = PaceState::of(factor, self.prior);
        if state != self.state {
            self.since = now;
        }
        self.state = state;
        self.last = factor;
        self.at = now;
    }

    /// Time for which the last figure holds: about as long as it has held.
    fn word(&self) -> Duration {
        let held = self.at.saturating_duration_since(self.since);
        held.clamp(SHORTEST_WORD, LONGEST_WORD)
    }

    /// The last figure holds in full for half of its time: until then it is more likely to hold than not.
    fn factor(&self, now: Instant) -> f32 {
        let age = now.saturating_duration_since(self.at);
        let holds = (2.0 * left(age, self.word())).min(1.0);
        // What it was like is forgotten too: a slow one that gets nothing tells nothing, and would never be tried.
        let known = (2.0 * left(age, PRIOR_LIFETIME)).min(1.0);
        let prior = moved(1.0, self.prior, known);
        moved(prior, self.last, holds)
    }
}

/// What pauses between events show of a back end's pace.
#[derive(Clone, Copy, Debug)]
struct ShownPace {
    factor: f32,
    pauses: u32,
    at: Instant,
}

/// Part of its answers that are good.
#[derive(Clone, Copy, Debug)]
struct SuccessPart {
    part: f32,
    at: Instant,
}

/// How an answer ended that a back end vouches for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseQuality {
    /// It is what was asked.
    Good,
    /// The back end failed at it.
    Failed,
}

/// Usual pause between events of a service's streams.
#[derive(Clone, Copy, Debug, Default)]
pub struct TypicalPause {
    seconds: Option<f32>,
}

impl TypicalPause {
    /// Takes in a pause. Returns it as a factor of what was usual before.
    pub fn record(&mut self, pause: Duration) -> f32 {
        let seconds = pause.as_secs_f32().max(f32::MIN_POSITIVE);
        let usual = self.seconds.unwrap_or(seconds);
        let factor = (seconds / usual).clamp(FASTEST, SLOWEST);
        self.seconds = Some(moved(usual, usual * factor, USUAL_WEIGHT));
        factor
    }
}

/// How long work takes at one back end, by what it tells, or by what its streams show.
#[derive(Clone, Copy, Debug, Default)]
pub struct PaceEstimate {
    told: Option<ToldPace>,
    shown: Option<ShownPace>,
    success: Option<SuccessPart>,
}

impl PaceEstimate {
    /// Takes in a told pace.
    pub fn record_report(&mut self, now: Instant, pace: Pace) {
        let factor = pace.factor().clamp(FASTEST, SLOWEST);
        match &mut self.told {
            Some(told) => told.tell(now, factor),
            None => self.told = Some(ToldPace::first(now, factor)),
        }
    }

    /// Takes in a pause between two events of one stream, as a factor of what is usual in the service.
    pub fn record_pause(&mut self, now: Instant, factor: f32) {
        let shown = self.shown.get_or_insert(ShownPace {
            factor: 1.0,
            pauses: 0,
            at: now,
        });
        let known = shown.factor;
        let step = factor.clamp(known / LARGEST_STEP, known * LARGEST_STEP);
        shown.factor = moved(known, step, PAUSE_WEIGHT);
        shown.pauses = shown.pauses.saturating_add(1);
        shown.at = now;
    }

    /// Takes in how an answer ended. A back end that fails fast has slots free all the time and is worth little.
    pub fn record_response(&mut self, now: Instant, quality: ResponseQuality) {
        let good = match quality {
            ResponseQuality::Good => 1.0,
            ResponseQuality::Failed => 0.0,
        };
        let part = moved(self.success_part(now), good, ANSWER_WEIGHT);
        self.success = Some(SuccessPart { part, at: now });
    }

    fn success_part(&self, now: Instant) -> f32 {
        let Some(success) = self.success else {
            return 1.0;
        };
        let age = now.saturating_duration_since(success.at);
        moved(1.0, success.part, left(age, FAILURES_REMEMBERED))
    }

    fn shown_factor(&self, now: Instant) -> Option<f32> {
        let shown = self.shown.filter(|shown| shown.pauses >= LEAST_PAUSES)?;
        let age = now.saturating_duration_since(shown.at);
        Some(moved(1.0, shown.factor, left(age, LONGEST_WORD)))
    }

    /// Returns how many times the usual time work takes, as of now; `None` where nothing tells or shows it.
    pub fn pace(&self, now: Instant) -> Option<f32> {
        let told = self.told.map(|told| told.factor(now));
        let factor = told.or_else(|| self.shown_factor(now))?;
        Some(factor.clamp(FASTEST, SLOWEST))
    }

    /// Returns how many times the usual time a good answer takes: failed ones have to be asked for again. 1
    /// where nothing is known of the pace.
    pub fn factor(&self, now: Instant) -> f32 {
        let Some(pace) = self.pace(now) else {
            return 1.0;
        };
        let success = self.success_part(now).max(LEAST_SUCCESS);
        (pace / success).min(SLOWEST)
    }
}
