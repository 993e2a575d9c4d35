//! Statistics of recent requests of one service, over all its back ends. No I/O; the time is passed in.
//!
//! The estimated load of back ends comes from views of the requests that gateways have in flight. Views leave out
//! gateways that report to no node, and requests that still run after their caller has disconnected. Back ends
//! include both in the load that they report with responses: the difference to the view is the unseen load, which
//! is assumed to be the same at all back ends of the service.

use std::time::{Duration, Instant};

/// Assumed time of a request in a slot until the first one has ended. An error lasts as long as the first few responses.
const INITIAL_SLOT_TIME: Duration = Duration::from_millis(500);

/// Weight of one completed request in the mean slot time. Small, because requests differ in length.
const SLOT_TIME_WEIGHT: f64 = 0.05;

/// Weight of a response that took longer to begin than the minimum: the minimum follows a lasting slowdown within
/// some hundred responses.
const MIN_BEGIN_TIME_WEIGHT: f64 = 0.005;

/// Weight of one report in the unseen load: at about ten reports per second, a burst shows within half a second.
const UNSEEN_WEIGHT: f32 = 0.2;

/// Weight of one report in the error of views. Small, because one report says little about the spread.
const VIEW_ERROR_WEIGHT: f32 = 0.05;

/// Time after the last report at which the unseen load has faded to 0.
const UNSEEN_LIFETIME: Duration = Duration::from_millis(2_000);

/// Weight of one response in the excess wait: at about ten responses per second, it shows within half a second
/// that all gateways have sent to the same back ends.
const EXCESS_WEIGHT: f64 = 0.2;

/// Time after the last response at which the excess wait has faded to 0.
const EXCESS_LIFETIME: Duration = Duration::from_millis(1_500);

/// Weight of one reported pace in the mean of the service. Small, because the paces of back ends differ.
const PACE_WEIGHT: f32 = 0.02;

/// Maximum unseen load in requests per slot. Back ends refuse requests beyond it themselves.
const MAX_UNSEEN_LOAD: f32 = 4.0;

/// Fraction of the time within which requests must begin that queues may take: a queue that is twice as long as
/// estimated from an old view is still in time.
const QUEUE_FRACTION: f64 = 0.5;

/// Maximum requests per [`BLIND_SEND_WINDOW`] that a node sends to back ends of unknown load, until the first
/// responses report it.
const MAX_BLIND_SENDS: usize = 4;

/// Time over which blind sends are limited.
const BLIND_SEND_WINDOW: Duration = Duration::from_millis(300);

/// Statistics of recent requests of one service.
#[derive(Clone, Debug)]
pub(super) struct ServiceStats {
    /// Mean time of a request in a slot.
    slot_time: Duration,
    /// Time until a response begins without a wait; `None` before the first response.
    min_begin_time: Option<Duration>,
    /// Load in requests per slot that views don't show.
    unseen: f32,
    unseen_at: Option<Instant>,
    /// Mean square of what reports differ from views beyond the unseen load, in requests per slot.
    view_error_square: f32,
    /// Mean wait beyond the wait expected at the send, in seconds; negative if requests waited less.
    excess: f64,
    /// Mean wait in seconds.
    waited: f64,
    /// When the last response began.
    began_at: Option<Instant>,
    /// Mean pace of the service's back ends.
    mean_pace: f32,
    /// Lowest reported pace, which follows a lasting rise slowly.
    best_pace: Option<f32>,
    /// Times of the last sends, in order.
    sent: [Option<Instant>; MAX_BLIND_SENDS],
}

impl Default for ServiceStats {
    fn default() -> Self {
        Self {
            slot_time: INITIAL_SLOT_TIME,
            min_begin_time: None,
            unseen: 0.0,
            unseen_at: None,
            view_error_square: 0.0,
            excess: 0.0,
            waited: 0.0,
            began_at: None,
            mean_pace: 1.0,
            best_pace: None,
            sent: [None; MAX_BLIND_SENDS],
        }
    }
}

fn weighted_mean(previous: Duration, sample: Duration, weight: f64) -> Duration {
    previous.mul_f64(1.0 - weight) + sample.mul_f64(weight)
}

impl ServiceStats {
    /// Records that a request was sent.
    pub(super) fn sent(&mut self, now: Instant) {
        self.sent.rotate_left(1);
        self.sent[MAX_BLIND_SENDS - 1] = Some(now);
    }

    /// Returns whether a request may be sent to back ends of unknown load.
    pub(super) fn allows_blind_send(&self, now: Instant) -> bool {
        let oldest = self.sent[0];
        oldest.is_none_or(|at| now.saturating_duration_since(at) >= BLIND_SEND_WINDOW)
    }

    /// Records a successful request: the time until its response began, and the time from then to its end.
    pub(super) fn served(&mut self, began_after: Duration, rest: Duration) {
        let min_begin_time = match self.min_begin_time {
            Some(previous) if began_after > previous => {
                weighted_mean(previous, began_after, MIN_BEGIN_TIME_WEIGHT)
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

    /// Records the load that a back end's report shows beyond the view, in requests per slot.
    pub(super) fn record_unseen(&mut self, now: Instant, beyond: f32) {
        let previous = self.unseen(now);
        // Reports below the view count too: a mean of positive differences alone would show load where none is.
        let beyond = beyond.clamp(-MAX_UNSEEN_LOAD, MAX_UNSEEN_LOAD);
        let error_square = (beyond - previous).powi(2);
        self.view_error_square += VIEW_ERROR_WEIGHT * (error_square - self.view_error_square);
        self.unseen = previous + UNSEEN_WEIGHT * (beyond - previous);
        self.unseen_at = Some(now);
    }

    /// Returns the typical error of a wait that is estimated from a view, by the loads that back ends have reported
    /// to this node: a view that was just received may contain old counts of other nodes.
    pub(super) fn wait_error(&self) -> Duration {
        self.slot_time.mul_f32(self.view_error_square.sqrt())
    }

    /// Returns the load in requests per slot that views don't show; negative if they show too much.
    pub(super) fn unseen(&self, now: Instant) -> f32 {
        let Some(at) = self.unseen_at else {
            return 0.0;
        };
        let age = now.saturating_duration_since(at);
        let decayed = 1.0 - age.as_secs_f32() / UNSEEN_LIFETIME.as_secs_f32();
        self.unseen * decayed.max(0.0)
    }

    /// Returns whether a back end has reported its load recently.
    pub(super) fn has_recent_report(&self, now: Instant) -> bool {
        let at = self.unseen_at;
        at.is_some_and(|at| now.saturating_duration_since(at) < UNSEEN_LIFETIME)
    }

    /// Records that a response began after `began_after`, where the expected wait was `expected`.
    pub(super) fn began(&mut self, now: Instant, expected: Duration, began_after: Duration) {
        let waited = began_after.saturating_sub(self.min_begin_time.unwrap_or(began_after));
        let waited = waited.as_secs_f64();
        let previous = self.excess(now);
        let excess = waited - expected.as_secs_f64();
        self.excess = previous + EXCESS_WEIGHT * (excess - previous);
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

    /// Returns the mean wait of this node's recent requests; `None` without recent responses.
    pub(super) fn recent_wait(&self, now: Instant) -> Option<Duration> {
        let at = self.began_at?;
        let is_recent = now.saturating_duration_since(at) < EXCESS_LIFETIME;
        is_recent.then(|| Duration::from_secs_f64(self.waited))
    }

    /// Returns an expected wait plus the recent excess wait.
    pub(super) fn corrected_wait(&self, now: Instant, expected: Duration) -> Duration {
        let excess = self.excess(now).max(0.0);
        expected + Duration::from_secs_f64(excess)
    }

    /// Returns the rate, in requests per second, at which requests begin while all `slots` are in use.
    pub(super) fn begin_rate(&self, slots: f32) -> f64 {
        f64::from(slots) / self.slot_time.as_secs_f64().max(f64::MIN_POSITIVE)
    }

    /// Records the pace of a back end.
    pub(super) fn record_pace(&mut self, pace: f32) {
        self.mean_pace += PACE_WEIGHT * (pace - self.mean_pace);
        self.best_pace = Some(match self.best_pace {
            Some(best) if pace > best => best + MIN_BEGIN_TIME_WEIGHT as f32 * (pace - best),
            _ => pace,
        });
    }

    /// Returns the wait for a slot at a back end of the given pace, with `held` other requests for `slots` slots.
    pub(super) fn begin_delay(&self, held: f32, slots: f32, pace: f32) -> Duration {
        let before = (held + 1.0 - slots).max(0.0);
        let slot_time = self.slot_time.mul_f32(pace / self.mean_pace);
        slot_time.mul_f32(before / slots)
    }

    /// Returns the time until a response begins without a wait, at a back end of the given pace.
    pub(super) fn answer_time(&self, pace: f32) -> Duration {
        let best = self.best_pace.unwrap_or(1.0);
        self.min_begin_time.unwrap_or_default().mul_f32(pace / best)
    }

    /// Returns the fraction of the busy slots that become free within a time, at a back end of the given pace; 0 if
    /// no back end reports its pace.
    pub(super) fn turnover(&self, within: Duration, pace: f32) -> f32 {
        if self.best_pace.is_none() {
            return 0.0;
        }
        let slot_time = self.slot_time.mul_f32(pace / self.mean_pace);
        (within.as_secs_f32() / slot_time.as_secs_f32().max(f32::MIN_POSITIVE)).min(1.0)
    }

    /// Returns the number of requests that a back end with `slots` slots may hold so that the last of them begins
    /// in time.
    pub(super) fn concurrency_limit(&self, slots: f32, begin_within: Duration) -> f32 {
        let queued =
            begin_within.mul_f64(QUEUE_FRACTION).as_secs_f32() / self.slot_time.as_secs_f32();
        slots + (slots * queued).floor()
    }
}
