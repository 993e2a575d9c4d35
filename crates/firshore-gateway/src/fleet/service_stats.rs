//! What requests at back ends of one service have shown of late. No I/O; the time is passed in.
//!
//! What is believed to be held at back ends comes from pictures of what gateways have under way, which leave
//! out gateways that tell nobody, and what back ends still run for callers that are gone. Back ends
//! report both with their answers: what these reports say beyond the pictures is taken to be alike at
//! all back ends of the service.

use std::time::{Duration, Instant};

/// Time in a slot that is assumed until a request has ended: a mistake in either direction lasts as long
/// as the first few answers.
const INITIAL_SLOT_TIME: Duration = Duration::from_millis(500);

/// Weight of one ended request in the mean time in a slot: requests differ by their length, the mean of
/// some tens says what a line moves by.
const SLOT_TIME_WEIGHT: f64 = 0.05;

/// Weight of an answer that took longer to begin than the quickest: back ends that have become slower are
/// noticed within some hundred answers.
const MIN_BEGIN_TIME_WEIGHT: f64 = 0.005;

/// Weight of one report in what pictures leave out: a gateway hears some ten reports a second, and a wave
/// fills lines within half a second.
const UNSEEN_WEIGHT: f32 = 0.2;

/// Time without a report after which what pictures left out counts for nothing.
const UNSEEN_LIFETIME: Duration = Duration::from_millis(2_000);

/// Weight of one answer in how much longer requests wait than was expected. Some ten answers a second show
/// within half a second that all gateways have sent to the same back ends.
const EXCESS_WEIGHT: f64 = 0.2;

/// Time after which the last answer that came later than expected counts for nothing.
const EXCESS_LIFETIME: Duration = Duration::from_millis(1_500);

/// Weight of one told pace in the mean: that of some tens of back ends is their own, not the service's.
const PACE_WEIGHT: f32 = 0.02;

/// Load beyond the pictures that is believed at most, in requests a slot: what waits beyond it is
/// rejected by back ends themselves.
const MAX_UNSEEN_LOAD: f32 = 4.0;

/// Part of the time within which requests must begin that lines may take: pictures are old, and a line that
/// is twice as long as believed is still in time.
const QUEUE_FRACTION: f64 = 0.5;

/// Requests that a node sends in a while of which it knows nothing: all nodes together fill back ends about
/// as fast as these work, until the first answers tell how full they are.
const MAX_BLIND_SENDS: usize = 4;

/// Length of that while.
const BLIND_SEND_WINDOW: Duration = Duration::from_millis(300);

/// What requests at back ends of one service have shown of late.
#[derive(Clone, Debug)]
pub(super) struct ServiceStats {
    slot_time: Duration,
    /// Time to the beginning of an answer that did not wait; `None` before the first answer.
    min_begin_time: Option<Duration>,
    /// Requests a slot that pictures do not show.
    unseen: f32,
    unseen_at: Option<Instant>,
    /// Seconds that requests waited longer than was expected when they were sent; negative: less long.
    excess: f64,
    /// Seconds that requests waited.
    waited: f64,
    /// When an answer began last.
    began_at: Option<Instant>,
    /// Mean pace of the back ends that the time in a slot is of, as a factor of the usual time.
    mean_pace: f32,
    /// Pace of the quickest.
    best_pace: Option<f32>,
    /// When the last requests were sent, the latest last.
    sent: [Option<Instant>; MAX_BLIND_SENDS],
}

impl Default for ServiceStats {
    fn default() -> Self {
        Self {
            slot_time: INITIAL_SLOT_TIME,
            min_begin_time: None,
            unseen: 0.0,
            unseen_at: None,
            excess: 0.0,
            waited: 0.0,
            began_at: None,
            mean_pace: 1.0,
            best_pace: None,
            sent: [None; MAX_BLIND_SENDS],
        }
    }
}

fn weighted_mean(known: Duration, sample: Duration, weight: f64) -> Duration {
    known.mul_f64(1.0 - weight) + sample.mul_f64(weight)
}

impl ServiceStats {
    /// A request was sent.
    pub(super) fn sent(&mut self, now: Instant) {
        self.sent.rotate_left(1);
        self.sent[MAX_BLIND_SENDS - 1] = Some(now);
    }

    /// Returns whether a request may be sent to back ends of which nothing is known.
    pub(super) fn allows_blind_send(&self, now: Instant) -> bool {
        let oldest = self.sent[0];
        oldest.is_none_or(|at| now.saturating_duration_since(at) >= BLIND_SEND_WINDOW)
    }

    /// Takes in a request that ended well: the time until its answer began, and from then to its end.
    pub(super) fn served(&mut self, began_after: Duration, rest: Duration) {
        let min_begin_time = match self.min_begin_time {
            Some(known) if began_after > known => {
                weighted_mean(known, began_after, MIN_BEGIN_TIME_WEIGHT)
            }
            _ => began_after,
        };
        let is_first = self.min_begin_time.replace(min_begin_time).is_none();
        let sample = min_begin_time + rest;
        self.slot_time = match is_first {
            true => sample,
            false => weighted_mean(self.slot_time, sample, SLOT_TIME_WEIGHT),
        };
    }

    /// Takes in what a back end's own report says beyond the picture of it, in requests a slot.
    pub(super) fn record_unseen(&mut self, now: Instant, beyond: f32) {
        let known = self.unseen(now);
        // Reports below the picture count too: the mean of what only goes up would show load where is none.
        let beyond = beyond.clamp(-MAX_UNSEEN_LOAD, MAX_UNSEEN_LOAD);
        self.unseen = known + UNSEEN_WEIGHT * (beyond - known);
        self.unseen_at = Some(now);
    }

    /// Returns the requests a slot that pictures do not show; negative where they show too many.
    pub(super) fn unseen(&self, now: Instant) -> f32 {
        let Some(at) = self.unseen_at else {
            return 0.0;
        };
        let age = now.saturating_duration_since(at);
        let decayed = 1.0 - age.as_secs_f32() / UNSEEN_LIFETIME.as_secs_f32();
        self.unseen * decayed.max(0.0)
    }

    /// Returns whether back ends have reported their load a moment ago.
    pub(super) fn has_recent_report(&self, now: Instant) -> bool {
        let at = self.unseen_at;
        at.is_some_and(|at| now.saturating_duration_since(at) < UNSEEN_LIFETIME)
    }

    /// Takes in that an answer began after a time, where the request was expected to wait for `expected`.
    pub(super) fn began(&mut self, now: Instant, expected: Duration, began_after: Duration) {
        let waited = began_after.saturating_sub(self.min_begin_time.unwrap_or(began_after));
        let waited = waited.as_secs_f64();
        let known = self.excess(now);
        let excess = waited - expected.as_secs_f64();
        self.excess = known + EXCESS_WEIGHT * (excess - known);
        self.waited = match self.recent_wait(now) {
            Some(_) => self.waited + EXCESS_WEIGHT * (waited - self.waited),
            None => waited,
        };
        self.began_at = Some(now);
    }

    fn excess(&self, now: Instant) -> f64 {
        let Some(at) = self.began_at else {
            return 0.0;
        };
        let age = now.saturating_duration_since(at);
        let decayed = 1.0 - age.as_secs_f64() / EXCESS_LIFETIME.as_secs_f64();
        self.excess * decayed.max(0.0)
    }

    /// Returns how long requests of this node have waited of late; `None` if none was answered.
    pub(super) fn recent_wait(&self, now: Instant) -> Option<Duration> {
        let at = self.began_at?;
        let is_recent = now.saturating_duration_since(at) < EXCESS_LIFETIME;
        is_recent.then(|| Duration::from_secs_f64(self.waited))
    }

    /// Returns how long a request waits that is expected to wait for `expected`, as others have waited longer
    /// than expected of late.
    pub(super) fn corrected_wait(&self, now: Instant, expected: Duration) -> Duration {
        let excess = self.excess(now).max(0.0);
        expected + Duration::from_secs_f64(excess)
    }

    /// Returns the requests a second that begin at so many slots, where all are taken.
    pub(super) fn begin_rate(&self, slots: f32) -> f64 {
        f64::from(slots) / self.slot_time.as_secs_f64().max(f64::MIN_POSITIVE)
    }

    /// Takes in how many times the usual time work took at a back end that answered.
    pub(super) fn record_pace(&mut self, pace: f32) {
        self.mean_pace += PACE_WEIGHT * (pace - self.mean_pace);
        self.best_pace = Some(match self.best_pace {
            Some(best) if pace > best => best + MIN_BEGIN_TIME_WEIGHT as f32 * (pace - best),
            _ => pace,
        });
    }

    /// Returns the time for which a request that finds `held` others waits for one of `slots` at a back end
    /// where work takes `pace` times the usual time.
    pub(super) fn begin_delay(&self, held: f32, slots: f32, pace: f32) -> Duration {
        let before = (held + 1.0 - slots).max(0.0);
        let slot_time = self.slot_time.mul_f32(pace / self.mean_pace);
        slot_time.mul_f32(before / slots)
    }

    /// Returns the time until an answer begins that does not wait, at a back end where work takes `pace` times
    /// the usual time.
    pub(super) fn answer_time(&self, pace: f32) -> Duration {
        let best = self.best_pace.unwrap_or(1.0);
        self.min_begin_time.unwrap_or_default().mul_f32(pace / best)
    }

    /// Returns the part of the busy slots that come free within a time, at a back end where work takes `pace`
    /// times the usual time; 0 where no back end tells its pace.
    pub(super) fn turnover(&self, within: Duration, pace: f32) -> f32 {
        if self.best_pace.is_none() {
            return 0.0;
        }
        let slot_time = self.slot_time.mul_f32(pace / self.mean_pace);
        (within.as_secs_f32() / slot_time.as_secs_f32().max(f32::MIN_POSITIVE)).min(1.0)
    }

    /// Returns how many requests a back end with so many slots may hold, so that the last of them begins in time.
    pub(super) fn concurrency_limit(&self, slots: f32, begin_within: Duration) -> f32 {
        let queued =
            begin_within.mul_f64(QUEUE_FRACTION).as_secs_f32() / self.slot_time.as_secs_f32();
        slots + (slots * queued).floor()
    }
}
