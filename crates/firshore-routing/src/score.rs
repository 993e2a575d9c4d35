//! Predicts a request's time to first token at a back end, in milliseconds.
//!
//! The prediction counts the prompt tokens that must be processed first, not only the requests: a
//! prompt of thousands of tokens delays the requests behind it much longer than a short one. The
//! nominal constants need not match the engines; [`crate::speed`] estimates the correction factor.

use crate::endpoint::{Endpoint, EndpointTable};

/// Nominal time to process one prompt token, in milliseconds.
pub const PREFILL_MILLISECONDS_PER_TOKEN: f32 = 0.085;

/// Nominal time of one decode step with one request running, in milliseconds.
pub const STEP_MILLISECONDS: f32 = 8.0;

/// Nominal growth of a decode step with each further request, in milliseconds.
pub const STEP_MILLISECONDS_PER_REQUEST: f32 = 0.2;

/// Prompt tokens assumed for each waiting request of another node.
const ASSUMED_PROMPT_TOKENS: f32 = 300.0;

/// Nominal time for which a request occupies a slot, in milliseconds.
const SLOT_MILLISECONDS: f32 = 500.0;

/// Slots assumed for a back end that does not report them.
const ASSUMED_SLOTS: f32 = 16.0;

/// The predicted time to first token at one back end.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Score {
    /// Expected time to first token, including network latency, in milliseconds.
    pub expected: f32,
    /// Time to first token at nominal speed without network latency, in milliseconds. Observed times
    /// are compared with it to estimate the speed.
    pub nominal: f32,
}

/// Returns the nominal time of one decode step with `requests` running, in milliseconds.
pub fn nominal_step_time(requests: f32) -> f32 {
    STEP_MILLISECONDS + STEP_MILLISECONDS_PER_REQUEST * requests
}

/// Returns the prediction for a request with `uncached_tokens` prompt tokens to process at
/// `endpoint`.
///
/// The back end's slowdown applies to its backlog only; the fleet's mean slowdown applies to the
/// request itself. Otherwise an idle slow engine would score worse than a busy fast one and get
/// almost no requests instead of its share, and errors of the slowdown estimate would shift load between engines.
pub fn predict(
    table: &EndpointTable,
    endpoint: &Endpoint,
    now: u64,
    uncached_tokens: f32,
) -> Score {
    let load = endpoint.load.estimate(now, table.mean_remote_requests());
    let backlog_tokens = load.local_prefill_tokens + load.remote_waiting * ASSUMED_PROMPT_TOKENS;
    let slots = match endpoint.load.report().slots {
        0 => ASSUMED_SLOTS,
        slots => slots as f32,
    };
    let excess = (load.requests + 1.0 - slots).max(0.0);
    let slot_wait = excess / slots * SLOT_MILLISECONDS;
    let contention = STEP_MILLISECONDS_PER_REQUEST * load.requests.min(slots);
    let wait = backlog_tokens * PREFILL_MILLISECONDS_PER_TOKEN + contention + slot_wait;
    let request_time = uncached_tokens * PREFILL_MILLISECONDS_PER_TOKEN + STEP_MILLISECONDS;
    let mean_slowdown = table.mean_slowdown();
    let slowdown = endpoint.speed.slowdown(now, mean_slowdown);
    Score {
        expected: wait * slowdown + request_time * mean_slowdown + 2.0 * endpoint.distance,
        nominal: wait + request_time,
    }
}

/// Returns the predicted time to first token at an idle back end of mean speed in the same zone, in
/// milliseconds.
pub fn predict_idle(table: &EndpointTable, prompt_tokens: f32) -> f32 {
    let nominal = prompt_tokens * PREFILL_MILLISECONDS_PER_TOKEN + nominal_step_time(0.0);
    nominal * table.mean_slowdown()
}
