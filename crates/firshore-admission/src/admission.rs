//! Decides whether a request is sent, waits at the node, or is refused.
//!
//! More requests may arrive than back ends can begin within the objective. Queued at the back ends,
//! they would be late and delay all requests behind them. A caller that cannot be served in time is
//! therefore refused at once, while it still has time to retry.

use std::time::Duration;

/// Fraction of the objective within which a request must be expected to begin. The rest is for the
/// network, for processing the prompt, and for changes since the view, which is some tens of
/// milliseconds old.
const BEGIN_FRACTION: f64 = 0.35;

/// The same for a caller that was refused before: it has used up some of its time, and a second
/// refusal leaves too little for another retry.
const RETRY_BEGIN_FRACTION: f64 = 0.5;

/// Fraction of the objective for which a request may wait at the node for capacity: a later refusal
/// leaves the caller too little time.
const WAIT_FRACTION: f64 = 0.2;

/// Fraction of a request's timeout below which its time left shows that it was refused before.
const RETRY_TIME_LEFT: f64 = 0.9;

/// Whether a caller is within its share of a service's capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShareStatus {
    /// It uses less than its share, or the service is not full.
    Within,
    /// It uses its whole share already, and others wait for theirs.
    Beyond,
}

/// A request to be admitted.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest {
    /// Time to the first event that its caller aims for.
    pub objective: Duration,
    /// Longest time that the route allows.
    pub timeout: Duration,
    /// Time that the caller had left when the request arrived.
    pub time_left: Duration,
    /// Time since it arrived.
    pub age: Duration,
    /// Whether its caller is within its share.
    pub share_status: ShareStatus,
    /// Whether requests that go first wait at the node.
    pub behind_others: bool,
    /// Time until the node stops, which aborts requests; `None` if it isn't draining.
    pub node_stops_in: Option<Duration>,
}

impl AdmissionRequest {
    /// Returns whether its caller was refused before, as it has used up some of its time.
    pub fn is_retry(&self) -> bool {
        self.time_left < self.timeout.mul_f64(RETRY_TIME_LEFT)
    }

    /// Returns the time from now within which it must be expected to begin.
    pub fn begin_within(&self) -> Duration {
        let fraction = match self.is_retry() {
            true => RETRY_BEGIN_FRACTION,
            false => BEGIN_FRACTION,
        };
        self.objective.mul_f64(fraction).saturating_sub(self.age)
    }

    /// Returns whether the node may stop before the request has ended.
    fn may_be_aborted(&self) -> bool {
        let longest = self.timeout.min(self.time_left).saturating_sub(self.age);
        self.node_stops_in.is_some_and(|left| left < longest)
    }

    /// Returns the time for which it may still wait at the node.
    pub fn remaining_wait(&self) -> Duration {
        self.objective
            .mul_f64(WAIT_FRACTION)
            .saturating_sub(self.age)
    }
}

/// Capacity that is available for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CapacityOutlook {
    /// Whether the node may take a slot for it at any back end.
    pub has_slot: bool,
    /// Whether slots are so few that each node takes only its own.
    pub is_scarce: bool,
    /// Estimated time until it would begin at the least loaded back end.
    pub begin_delay: Duration,
    /// Age of the view that this is based on; `None`: no report was received yet.
    pub age: Option<Duration>,
}

/// What to do with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Send it to a back end.
    Send,
    /// Let it wait at the node for at most this long, then decide again.
    Wait(Duration),
    /// Refuse it: it would begin too late.
    Refuse,
}

/// Decides what to do with a request.
pub fn decide(request: &AdmissionRequest, outlook: &CapacityOutlook) -> Admission {
    let beyond_share = outlook.is_scarce && request.share_status == ShareStatus::Beyond;
    let may_be_aborted = request.may_be_aborted();
    let waits_and_aborts = outlook.is_scarce && may_be_aborted;
    if outlook.has_slot && !request.behind_others && !beyond_share && !waits_and_aborts {
        return Admission::Send;
    }
    let wait = request.remaining_wait();
    // A caller beyond its share must not be queued before those within theirs.
    match wait.is_zero() || may_be_aborted || beyond_share {
        true => Admission::Refuse,
        false => Admission::Wait(wait),
    }
}

/// Returns what a node that doesn't stop would do with a refused request; `None` if it would refuse it too.
pub fn decision_elsewhere(
    refused: &AdmissionRequest,
    outlook: &CapacityOutlook,
) -> Option<Admission> {
    refused.node_stops_in?;
    let elsewhere = AdmissionRequest {
        node_stops_in: None,
        ..*refused
    };
    Some(decide(&elsewhere, outlook)).filter(|decision| *decision != Admission::Refuse)
}
