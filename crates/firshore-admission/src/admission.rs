//! Whether a request is sent, waits at the node, or is refused.
//!
//! The load it answers: more is asked than back ends can begin within the objective. Let in all the same, it
//! waits in their lines, where it keeps everybody behind it late too. Whoever cannot be served in time is
//! therefore told so at once, while the caller can still spend its time better elsewhere.

use std::time::Duration;

/// Part of the objective within which a request must be expected to begin. The rest is for the way there and
/// back, for reading the prompt, and for what a picture some tens of milliseconds old does not show.
const BEGIN_SHARE: f64 = 0.35;

/// The same for a caller that was refused before: it has spent part of its time already, and a second refusal
/// leaves it with nothing.
const RETURNED_BEGIN_SHARE: f64 = 0.5;

/// Part of the objective for which a request may wait at the node for room: a refusal after that comes late.
const WAIT_SHARE: f64 = 0.2;

/// Part of a request's whole time below which what it has left tells that it was refused before.
const RETURNED_TIME_LEFT: f64 = 0.9;

/// Whether a caller is within its share of a service's room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShareStatus {
    /// It has less than its share, or the service is not full.
    Within,
    /// It has its share already, and others wait for theirs.
    Beyond,
}

/// What a request asks.
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
    /// Whether others wait at the node that go before it.
    pub behind_others: bool,
    /// Whether the node is on its way out: what waits in a line may not end before the node does.
    pub node_is_draining: bool,
}

impl AdmissionRequest {
    /// Returns whether its caller has spent part of its time before: it was refused and came back.
    pub fn is_retry(&self) -> bool {
        self.time_left < self.timeout.mul_f64(RETURNED_TIME_LEFT)
    }

    /// Returns the time within which it must be expected to begin from now on.
    pub fn begin_within(&self) -> Duration {
        let share = match self.is_retry() {
            true => RETURNED_BEGIN_SHARE,
            false => BEGIN_SHARE,
        };
        self.objective.mul_f64(share).saturating_sub(self.age)
    }

    /// Returns the time for which it may still wait at the node.
    pub fn may_wait(&self) -> Duration {
        self.objective.mul_f64(WAIT_SHARE).saturating_sub(self.age)
    }
}

/// What room there is for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CapacityOutlook {
    /// Whether the node may take a place for it at any back end.
    pub has_slot: bool,
    /// Whether places are so few that each node takes its own only.
    pub is_scarce: bool,
    /// Time until it would begin at the back end that is believed to be the least full.
    pub begin_delay: Duration,
    /// Age of the picture that this is known from; `None`: nothing was told yet.
    pub age: Option<Duration>,
}

/// What becomes of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It goes to a back end.
    Send,
    /// It waits at the node for at most this long, then is asked about again.
    Wait(Duration),
    /// It is refused: it would begin too late.
    Refuse,
}

/// Decides about a request.
pub fn decide(ask: &AdmissionRequest, outlook: &CapacityOutlook) -> Admission {
    let beyond_share = outlook.is_scarce && ask.share_status == ShareStatus::Beyond;
    let may_be_cut = outlook.is_scarce && ask.node_is_draining;
    if outlook.has_slot && !ask.behind_others && !beyond_share && !may_be_cut {
        return Admission::Send;
    }
    let wait = ask.may_wait();
    // Who is beyond its share must not stand in line before those within theirs.
    match wait.is_zero() || ask.node_is_draining || beyond_share {
        true => Admission::Refuse,
        false => Admission::Wait(wait),
    }
}
