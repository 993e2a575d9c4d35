//! Predicts a request's time to its first token at a back end, in milliseconds.
//!
//! The prediction counts the prompt tokens that must be processed first, not only requests: a
//! survey file of thousands of tokens holds up those behind it far longer than a short question.
//! The nominal constants need not fit the engines; [`crate::speed`] learns the factor that does.

use crate::endpoint::{Endpoint, EndpointTable};

/// Nominal time to process one prompt token, in milliseconds.
pub const PREFILL_MILLISECONDS_PER_TOKEN: f32 = 0.085;

/// Nominal time of one decode step with one request running, in milliseconds.
pub const STEP_MILLISECONDS: f32 = 8.0;

/// Nominal growth of a decode step with each further request, in milliseconds.
pub const STEP_MILLISECONDS_PER_REQUEST: f32 = 0.2;

/// Prompt tokens assumed for a request of which only the count is known.
const FOREIGN_PROMPT_TOKENS: f32 = 300.0;

/// Nominal time that one request holds a slot, in milliseconds, for requests beyond the slots.
const SERVICE_MILLISECONDS: f32 = 500.0;

/// Slots assumed for a back end that has not reported any.
const ASSUMED_SLOTS: f32 = 16.0;

/// A prediction for one back end.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Score {
    /// Expected time to the first token, distance included, in milliseconds.
    pub expected: f32,
    /// The same without distance at nominal speed, against which speed is learnt.
    pub nominal: f32,
}

/// Nominal time of one decode step with `requests` running.
pub fn nominal_step(requests: f32) -> f32 {
    STEP_MILLISECONDS + STEP_MILLISECONDS_PER_REQUEST * requests
}

/// Predicts for a request that has `uncached_tokens` prompt tokens to process at `endpoint`.
///
/// The back end's own slowdown counts for the work ahead only, not for the request's own work:
/// counted there too, a slow engine that is idle would still look worse than a busy one and get
/// next to nothing instead of its share, and errors of the estimate would move work about.
pub fn score(table: &EndpointTable, endpoint: &Endpoint, now: u64, uncached_tokens: f32) -> Score {
    let load = endpoint.load.estimate(now, table.mean_foreign());
    let ahead = load.own_prefill_tokens + load.foreign_waiting * FOREIGN_PROMPT_TOKENS;
    let slots = match endpoint.load.report().slots {
        0 => ASSUMED_SLOTS,
        slots => slots as f32,
    };
    let excess = (load.requests + 1.0 - slots).max(0.0);
    let slot_wait = excess / slots * SERVICE_MILLISECONDS;
    let contention = STEP_MILLISECONDS_PER_REQUEST * load.requests.min(slots);
    let wait = ahead * PREFILL_MILLISECONDS_PER_TOKEN + contention + slot_wait;
    let own = uncached_tokens * PREFILL_MILLISECONDS_PER_TOKEN + STEP_MILLISECONDS;
    let fleet = table.mean_slowdown();
    let slowdown = endpoint.speed.slowdown(now, fleet);
    Score {
        expected: wait * slowdown + own * fleet + 2.0 * endpoint.distance,
        nominal: wait + own,
    }
}

/// Predicts for an idle back end of mean speed at no distance, in milliseconds.
pub fn idle(table: &EndpointTable, prompt_tokens: f32) -> f32 {
    let nominal = prompt_tokens * PREFILL_MILLISECONDS_PER_TOKEN + nominal_step(0.0);
    nominal * table.mean_slowdown()
}
