//! Estimated state of one back end.

use super::EntryChange;
use super::claims::{SlotClaims, ViewAllotment};
use super::service_stats::ServiceStats;
use crate::pace::PaceEstimate;
use firshore_adapter::backend::{Backend, Pace};
use firshore_adapter::incarnation::Incarnation;
use std::time::{Duration, Instant};
use xxhash_rust::xxh3::xxh3_64;

/// Age at which a report of other gateways' requests has faded to 0.
const REPORT_LIFETIME: Duration = Duration::from_secs(2);

/// Consecutive failures after which a back end is ejected.
pub(super) const FAILURES_TO_EJECT: u32 = 3;

/// Duration of the first ejection; doubled with each further one.
const INITIAL_EJECTION: Duration = Duration::from_millis(500);

pub(super) const MAX_EJECTION: Duration = Duration::from_secs(4);

/// Time without a byte from a back end with requests in flight after which it gets no new ones. Engines send data
/// every few milliseconds, applications within half a second.
const UNRESPONSIVE_AFTER: Duration = Duration::from_millis(600);

/// Process that a back end ran before the current one.
#[derive(Debug)]
pub(super) struct PreviousProcess {
    pub(super) incarnation: Incarnation,
    /// Whether it had announced that it leaves.
    pub(super) leaving: bool,
}

/// Number of requests of other gateways at a back end.
#[derive(Clone, Copy, Debug)]
pub(super) struct LoadReport {
    pub(super) remote: u32,
    pub(super) at: Instant,
    /// Whether the back end reported it itself, so that it includes the unseen load.
    pub(super) from_backend: bool,
}

impl LoadReport {
    fn decayed(&self, now: Instant) -> f32 {
        let age = now.saturating_duration_since(self.at);
        let decayed = 1.0 - age.as_secs_f32() / REPORT_LIFETIME.as_secs_f32();
        self.remote as f32 * decayed.max(0.0)
    }
}

#[derive(Debug)]
pub(super) struct BackendState {
    pub(super) backend: Backend,
    /// Hash of the name, not of the process: after a restart, prefix affinity leads to the same back end.
    pub(super) identity: u64,
    pub(super) previous: Option<PreviousProcess>,
    /// When this process was first listed here.
    pub(super) listed_at: Instant,
    pub(super) in_flight: u32,
    pub(super) report: Option<LoadReport>,
    /// Last view of other gateways' requests, without later reports of the back end.
    pub(super) view: Option<LoadReport>,
    /// Slots that this node may take.
    pub(super) claims: SlotClaims,
    /// Estimated pace.
    pub(super) pace: PaceEstimate,
    /// Last pace that it reported and this node has not passed on yet.
    pub(super) unreported_pace: Option<Pace>,
    pub(super) failures: u32,
    pub(super) ejections: u32,
    pub(super) ejected_until: Option<Instant>,
    /// Time of the last byte, or of the first send since requests are in flight.
    pub(super) unresponsive_since: Option<Instant>,
    /// End of its warm-up; `None` if it isn't cold.
    cold_until: Option<Instant>,
}

impl BackendState {
    pub(super) fn new(now: Instant, backend: Backend, previous: Option<PreviousProcess>) -> Self {
        Self {
            cold_until: cold_until(now, &backend),
            identity: xxh3_64(backend.incarnation.name.as_str().as_bytes()),
            backend,
            previous,
            listed_at: now,
            in_flight: 0,
            report: None,
            view: None,
            claims: SlotClaims::default(),
            pace: PaceEstimate::default(),
            unreported_pace: None,
            failures: 0,
            ejections: 0,
            ejected_until: None,
            unresponsive_since: None,
        }
    }

    /// Applies an entry of the same back end.
    pub(super) fn apply_entry(&mut self, now: Instant, mut backend: Backend) -> EntryChange {
        let current = &self.backend.incarnation;
        if backend.incarnation.is_succeeded_by(current) {
            return EntryChange::Outdated(current.clone());
        }
        if backend.incarnation.started.is_none() {
            // An entry without a start time doesn't contradict the current process.
            backend.incarnation = current.clone();
        }
        if backend.incarnation == *current {
            if backend.warm_up != self.backend.warm_up {
                self.cold_until = cold_until(now, &backend);
            }
            self.backend = backend;
            return EntryChange::Listed;
        }
        let previous = PreviousProcess {
            incarnation: current.clone(),
            leaving: self.backend.leaving,
        };
        let ended = previous.incarnation.clone();
        // Load, failures and ejections of the previous process don't apply to the new one.
        *self = Self::new(now, backend, Some(previous));
        EntryChange::StartedAgain(ended)
    }

    pub(super) fn is_unresponsive(&self, now: Instant) -> bool {
        let since = self.unresponsive_since;
        since.is_some_and(|since| now.saturating_duration_since(since) > UNRESPONSIVE_AFTER)
    }

    /// Returns whether it is cold.
    pub(super) fn is_cold(&self, now: Instant) -> bool {
        self.cold_until.is_some_and(|until| now < until)
    }

    pub(super) fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Returns whether it is neither ejected nor unresponsive.
    pub(super) fn is_trusted(&self, now: Instant) -> bool {
        !self.is_ejected(now) && !self.is_unresponsive(now)
    }

    /// Returns the requests of other gateways by the last report, which fades with age.
    pub(super) fn remote_load(&self, now: Instant) -> f32 {
        self.report.map_or(0.0, |report| report.decayed(now))
    }

    /// Returns the requests of other gateways by the last view, which fades with age.
    pub(super) fn remote_load_in_view(&self, now: Instant) -> f32 {
        self.view.map_or(0.0, |view| view.decayed(now))
    }

    /// Returns the estimated number of requests, rounded, so that a report that has just begun to fade doesn't show
    /// a free slot.
    pub(super) fn held(&self, now: Instant) -> u32 {
        self.in_flight + self.remote_load(now).round() as u32
    }

    /// Returns the estimated number of requests, including the unseen load.
    fn held_with_unseen(&self, now: Instant, stats: &ServiceStats) -> f32 {
        let unseen = match self.report {
            Some(report) if report.from_backend => 0.0,
            _ => stats.unseen(now).max(0.0) * self.slots(),
        };
        self.in_flight as f32 + self.remote_load(now) + unseen
    }

    /// Returns the expected wait of a request sent now.
    pub(super) fn begin_delay(&self, now: Instant, stats: &ServiceStats) -> Duration {
        let held = self.held_with_unseen(now, stats);
        stats.begin_delay(held, self.slots(), self.pace.factor(now))
    }

    /// Returns the number of further requests that it may hold so that all of them begin in time.
    pub(super) fn free_capacity(
        &self,
        now: Instant,
        stats: &ServiceStats,
        begin_within: Duration,
    ) -> f32 {
        let concurrency_limit = stats.concurrency_limit(self.slots(), begin_within);
        (concurrency_limit - self.held_with_unseen(now, stats)).max(0.0)
    }

    /// Returns whether a slot may be taken, by the claims of this node.
    pub(super) fn has_claim(
        &self,
        now: Instant,
        view: Option<&ViewAllotment>,
        stats: &ServiceStats,
    ) -> bool {
        let free_slots = |at| self.free_capacity(at, stats, Duration::ZERO);
        self.claims.has_any(now, view, self.identity, free_slots)
    }

    /// Fixes the slots that this node may take by a view, before the load changes.
    pub(super) fn fix_claims(&mut self, view: Option<&ViewAllotment>, stats: &ServiceStats) {
        if let Some(view) = view {
            let free_slots = self.free_capacity(view.at, stats, Duration::ZERO);
            self.claims.fix(view, self.identity, free_slots);
        }
    }

    /// Applies the requests of other gateways that a view shows.
    pub(super) fn apply_view(&mut self, at: Instant, remote: u32) {
        let view = LoadReport {
            remote,
            at,
            from_backend: false,
        };
        self.view = Some(view);
        self.report = Some(view);
    }

    /// Returns whether it holds requests by the last view or report, or of this node.
    pub(super) fn is_active(&self) -> bool {
        self.in_flight > 0 || self.report.is_some_and(|report| report.remote > 0)
    }

    pub(super) fn load(&self, now: Instant) -> f32 {
        (self.in_flight as f32 + self.remote_load(now)) / self.slots()
    }

    /// Returns the number of requests at a load, rounded, so that a request that may start doesn't exceed the load.
    pub(super) fn allowed(&self, load: f32) -> u32 {
        (self.slots() * load).round() as u32
    }

    pub(super) fn slots(&self) -> f32 {
        self.backend.slots.max(1) as f32
    }

    pub(super) fn eject(&mut self, now: Instant) {
        let length = INITIAL_EJECTION * 2_u32.saturating_pow(self.ejections.min(8));
        self.ejections += 1;
        self.failures = 0;
        self.ejected_until = Some(now + length.min(MAX_EJECTION));
    }
}

/// Returns the end of a warm-up whose entry is received now. The entry may be older, so this is the latest end.
fn cold_until(now: Instant, backend: &Backend) -> Option<Instant> {
    let warm_up = backend.warm_up?;
    now.checked_add(warm_up.remaining)
}
