//! One back end as this node believes it to be.

use super::EntryChange;
use super::claims::SlotClaims;
use super::service_stats::ServiceStats;
use crate::pace::PaceEstimate;
use firshore_adapter::backend::{Backend, Pace};
use firshore_adapter::incarnation::Incarnation;
use std::time::{Duration, Instant};
use xxhash_rust::xxh3::xxh3_64;

/// Age at which a back end's report about others' requests counts for nothing.
const REPORT_LIFETIME: Duration = Duration::from_secs(2);

/// Failures in a row after which a back end gets no new requests for a while.
pub(super) const FAILURES_TO_EJECT: u32 = 3;

/// Time without new requests after the first ejection; doubled with each further one.
const INITIAL_EJECTION: Duration = Duration::from_millis(500);

pub(super) const MAX_EJECTION: Duration = Duration::from_secs(4);

/// Time without a byte from a back end that has requests under way after which it gets no new ones.
/// Engines answer something each few milliseconds, applications within half a second.
const UNRESPONSIVE_AFTER: Duration = Duration::from_millis(600);

/// The process that a back end ran before its present one.
#[derive(Debug)]
pub(super) struct PreviousProcess {
    pub(super) incarnation: Incarnation,
    /// Whether it had said that it was about to leave.
    pub(super) leaving: bool,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct LoadReport {
    pub(super) others: u32,
    pub(super) at: Instant,
    /// Whether the back end said it itself: what pictures leave out is in it.
    pub(super) from_backend: bool,
}

impl LoadReport {
    fn decayed(&self, now: Instant) -> f32 {
        let age = now.saturating_duration_since(self.at);
        let decayed = 1.0 - age.as_secs_f32() / REPORT_LIFETIME.as_secs_f32();
        self.others as f32 * decayed.max(0.0)
    }
}

#[derive(Debug)]
pub(super) struct BackendState {
    pub(super) backend: Backend,
    /// Of the name: requests with the same beginning meet at the next start too, where they are read once,
    /// and those of all other back ends stay where they are.
    pub(super) identity: u64,
    pub(super) former: Option<PreviousProcess>,
    pub(super) in_flight: u32,
    pub(super) report: Option<LoadReport>,
    /// The last picture of others' requests, whatever the back end said since.
    pub(super) view: Option<LoadReport>,
    /// Places that are this node's to take.
    pub(super) claims: SlotClaims,
    /// How long work takes there.
    pub(super) pace: PaceEstimate,
    /// What it told last of that and this node has told nobody yet.
    pub(super) unreported_pace: Option<Pace>,
    pub(super) failures: u32,
    pub(super) ejections: u32,
    pub(super) ejected_until: Option<Instant>,
    /// Since when requests are under way and nothing was heard.
    pub(super) unresponsive_since: Option<Instant>,
}

impl BackendState {
    pub(super) fn new(backend: Backend, former: Option<PreviousProcess>) -> Self {
        Self {
            identity: xxh3_64(backend.incarnation.name.as_str().as_bytes()),
            backend,
            former,
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

    /// Takes in an entry of the same back end.
    pub(super) fn apply_entry(&mut self, mut backend: Backend) -> EntryChange {
        let known = &self.backend.incarnation;
        if backend.incarnation.is_succeeded_by(known) {
            return EntryChange::Outdated(known.clone());
        }
        if backend.incarnation.started.is_none() {
            // It says nothing against the process that is known.
            backend.incarnation = known.clone();
        }
        if backend.incarnation == *known {
            self.backend = backend;
            return EntryChange::Listed;
        }
        let former = PreviousProcess {
            incarnation: known.clone(),
            leaving: self.backend.leaving,
        };
        let ended = former.incarnation.clone();
        // What the former process held, failed and was passed over for says nothing of the new one.
        *self = Self::new(backend, Some(former));
        EntryChange::StartedAgain(ended)
    }

    pub(super) fn is_unresponsive(&self, now: Instant) -> bool {
        let since = self.unresponsive_since;
        since.is_some_and(|since| now.saturating_duration_since(since) > UNRESPONSIVE_AFTER)
    }

    pub(super) fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Requests of other gateways, by the last report, which fades with age.
    pub(super) fn others(&self, now: Instant) -> f32 {
        self.report.map_or(0.0, |report| report.decayed(now))
    }

    /// Requests of other gateways, by the last picture.
    pub(super) fn view_load(&self, now: Instant) -> f32 {
        self.view.map_or(0.0, |view| view.decayed(now))
    }

    /// Requests that it is believed to hold, in whole ones: a report that has only begun to fade is
    /// not a free slot.
    pub(super) fn held(&self, now: Instant) -> u32 {
        self.in_flight + self.others(now).round() as u32
    }

    /// Requests that it holds, with what pictures of the service leave out.
    fn held_with_unseen(&self, now: Instant, stats: &ServiceStats) -> f32 {
        let unseen = match self.report {
            Some(report) if report.from_backend => 0.0,
            _ => stats.unseen(now).max(0.0) * self.slots(),
        };
        self.in_flight as f32 + self.others(now) + unseen
    }

    /// Time after which a request sent now would begin, as `stats` tells of the service.
    pub(super) fn begin_delay(&self, now: Instant, stats: &ServiceStats) -> Duration {
        let held = self.held_with_unseen(now, stats);
        stats.begin_delay(held, self.slots(), self.pace.factor(now))
    }

    /// Requests that it may take beyond those that it holds, so that all begin in time.
    pub(super) fn free_capacity(
        &self,
        now: Instant,
        stats: &ServiceStats,
        begin_within: Duration,
    ) -> f32 {
        let concurrency_limit = stats.concurrency_limit(self.slots(), begin_within);
        (concurrency_limit - self.held_with_unseen(now, stats)).max(0.0)
    }

    pub(super) fn load(&self, now: Instant) -> f32 {
        (self.in_flight as f32 + self.others(now)) / self.slots()
    }

    /// Requests that a load allows, in whole ones: what may start under a limit is not beyond it then.
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
