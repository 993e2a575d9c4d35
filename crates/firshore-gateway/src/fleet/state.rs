//! One back end as this node believes it to be.

use super::EntryChange;
use super::claims::PlaceClaims;
use super::room::ServiceRoom;
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
const EJECTION: Duration = Duration::from_millis(500);

pub(super) const LONGEST_EJECTION: Duration = Duration::from_secs(4);

/// Time without a byte from a back end that has requests under way after which it gets no new ones.
/// Engines answer something each few milliseconds, applications within half a second.
const SILENCE: Duration = Duration::from_millis(600);

/// The process that a back end ran before its present one.
#[derive(Debug)]
pub(super) struct FormerProcess {
    pub(super) incarnation: Incarnation,
    /// Whether it had said that it was about to leave.
    pub(super) leaving: bool,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct Report {
    pub(super) others: u32,
    pub(super) at: Instant,
    /// Whether the back end said it itself: what pictures leave out is in it.
    pub(super) is_own: bool,
}

impl Report {
    fn faded(&self, now: Instant) -> f32 {
        let age = now.saturating_duration_since(self.at);
        let faded = 1.0 - age.as_secs_f32() / REPORT_LIFETIME.as_secs_f32();
        self.others as f32 * faded.max(0.0)
    }
}

#[derive(Debug)]
pub(super) struct State {
    pub(super) backend: Backend,
    /// Of the name: requests with the same beginning meet at the next start too, where they are read once,
    /// and those of all other back ends stay where they are.
    pub(super) identity: u64,
    pub(super) former: Option<FormerProcess>,
    pub(super) in_flight: u32,
    pub(super) report: Option<Report>,
    /// The last picture of others' requests, whatever the back end said since.
    pub(super) picture: Option<Report>,
    /// Places that are this node's to take.
    pub(super) claims: PlaceClaims,
    /// How long work takes there.
    pub(super) pace: PaceEstimate,
    /// What it told last of that and this node has told nobody yet.
    pub(super) untold_pace: Option<Pace>,
    pub(super) failures: u32,
    pub(super) ejections: u32,
    pub(super) ejected_until: Option<Instant>,
    /// Since when requests are under way and nothing was heard.
    pub(super) silent_since: Option<Instant>,
}

impl State {
    pub(super) fn new(backend: Backend, former: Option<FormerProcess>) -> Self {
        Self {
            identity: xxh3_64(backend.incarnation.name.as_str().as_bytes()),
            backend,
            former,
            in_flight: 0,
            report: None,
            picture: None,
            claims: PlaceClaims::default(),
            pace: PaceEstimate::default(),
            untold_pace: None,
            failures: 0,
            ejections: 0,
            ejected_until: None,
            silent_since: None,
        }
    }

    /// Takes in an entry of the same back end.
    pub(super) fn listed(&mut self, mut backend: Backend) -> EntryChange {
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
        let former = FormerProcess {
            incarnation: known.clone(),
            leaving: self.backend.leaving,
        };
        let ended = former.incarnation.clone();
        // What the former process held, failed and was passed over for says nothing of the new one.
        *self = Self::new(backend, Some(former));
        EntryChange::StartedAgain(ended)
    }

    pub(super) fn is_silent(&self, now: Instant) -> bool {
        let since = self.silent_since;
        since.is_some_and(|since| now.saturating_duration_since(since) > SILENCE)
    }

    pub(super) fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Requests of other gateways, by the last report, which fades with age.
    pub(super) fn others(&self, now: Instant) -> f32 {
        self.report.map_or(0.0, |report| report.faded(now))
    }

    /// Requests of other gateways, by the last picture.
    pub(super) fn pictured(&self, now: Instant) -> f32 {
        self.picture.map_or(0.0, |picture| picture.faded(now))
    }

    /// Requests that it is believed to hold, in whole ones: a report that has only begun to fade is
    /// not a free slot.
    pub(super) fn held(&self, now: Instant) -> u32 {
        self.in_flight + self.others(now).round() as u32
    }

    /// Requests that it holds, with what pictures of the service leave out.
    fn held_with_unseen(&self, now: Instant, room: &ServiceRoom) -> f32 {
        let unseen = match self.report {
            Some(report) if report.is_own => 0.0,
            _ => room.unseen(now).max(0.0) * self.slots(),
        };
        self.in_flight as f32 + self.others(now) + unseen
    }

    /// Time after which a request sent now would begin, as `room` tells of the service.
    pub(super) fn begin_delay(&self, now: Instant, room: &ServiceRoom) -> Duration {
        let held = self.held_with_unseen(now, room);
        room.begin_delay(held, self.slots(), self.pace.factor(now))
    }

    /// Requests that it may take beyond those that it holds, so that all begin in time.
    pub(super) fn free_places(
        &self,
        now: Instant,
        room: &ServiceRoom,
        begin_within: Duration,
    ) -> f32 {
        let places = room.places(self.slots(), begin_within);
        (places - self.held_with_unseen(now, room)).max(0.0)
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
        let length = EJECTION * 2_u32.saturating_pow(self.ejections.min(8));
        self.ejections += 1;
        self.failures = 0;
        self.ejected_until = Some(now + length.min(LONGEST_EJECTION));
    }
}
