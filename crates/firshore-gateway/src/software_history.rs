//! Software versions of the back ends of each service that were listed recently. No I/O; the time is passed in.
//!
//! One listed version proves nothing about a stream that began earlier: a rollout may have ended since. What counts is
//! which versions were listed within [`STREAM_LIFETIME`], by an observer without a gap in that time.

use crate::stream_origin::STREAM_LIFETIME;
use firshore_adapter::backend::Backend;
use firshore_adapter::incarnation::BackendName;
use firshore_adapter::text_origin::TextOrigin;
use firshore_types::ids::{ServiceName, SoftwareVersion};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::{Duration, Instant};

/// Maximum time from the start of a process until its entry is known. A request may be sent to a new process in this
/// time as if to the former one of the same name.
const MAX_ENTRY_DELAY: Duration = Duration::from_secs(5);

/// Version of an entry; `None` if the entry names none.
type ListedVersion = Option<SoftwareVersion>;

/// Entries with a version.
#[derive(Clone, Copy, Debug)]
struct Sighting {
    /// Number of entries that are listed now.
    listed: usize,
    /// When the last one was removed.
    removed_at: Instant,
}

/// Last known entry of a back end.
#[derive(Debug)]
struct KnownEntry {
    service: ServiceName,
    software: ListedVersion,
    /// When an entry with another version replaced one of the same name.
    changed_at: Option<Instant>,
    /// `None` while it is listed.
    removed_at: Option<Instant>,
}

/// Recently listed software versions.
#[derive(Debug, Default)]
pub struct SoftwareHistory {
    services: HashMap<ServiceName, BTreeMap<ListedVersion, Sighting>>,
    entries: HashMap<BackendName, KnownEntry>,
    /// Removed entries in order of removal, which are forgotten after [`STREAM_LIFETIME`].
    removed: VecDeque<(Instant, BackendName)>,
}

impl SoftwareHistory {
    /// Records an entry. Returns whether its version was not among those listed recently in its service.
    pub fn list(&mut self, now: Instant, backend: &Backend) -> bool {
        let name = &backend.incarnation.name;
        let former = self.entries.get(name);
        if former.is_some_and(|former| {
            former.removed_at.is_none()
                && former.service == backend.service
                && former.software == backend.software
        }) {
            return false;
        }
        let changed_at = former.and_then(|former| match former.software == backend.software {
            true => former.changed_at,
            false => Some(now),
        });
        self.unlist(now, name);
        self.forget_old(now);
        let entry = KnownEntry {
            service: backend.service.clone(),
            software: backend.software.clone(),
            changed_at,
            removed_at: None,
        };
        self.entries.insert(name.clone(), entry);
        let versions = self.services.entry(backend.service.clone()).or_default();
        let is_new = !versions.contains_key(&backend.software);
        let sighting = versions
            .entry(backend.software.clone())
            .or_insert(Sighting {
                listed: 0,
                removed_at: now,
            });
        sighting.listed += 1;
        is_new
    }

    /// Records that an entry was removed.
    pub fn remove(&mut self, now: Instant, name: &BackendName) {
        if !self.unlist(now, name) {
            return;
        }
        if let Some(entry) = self.entries.get_mut(name) {
            entry.removed_at = Some(now);
            self.removed.push_back((now, name.clone()));
        }
        self.forget_old(now);
    }

    /// Stops counting a listed entry. Returns whether it was listed.
    fn unlist(&mut self, now: Instant, name: &BackendName) -> bool {
        let listed = self.entries.get(name);
        let Some(entry) = listed.filter(|entry| entry.removed_at.is_none()) else {
            return false;
        };
        let versions = self.services.get_mut(&entry.service);
        if let Some(sighting) = versions.and_then(|versions| versions.get_mut(&entry.software)) {
            sighting.listed -= 1;
            sighting.removed_at = now;
        }
        true
    }

    fn forget_old(&mut self, now: Instant) {
        while let Some((removed_at, name)) = self.removed.front() {
            if now.saturating_duration_since(*removed_at) < STREAM_LIFETIME {
                break;
            }
            // The name may have been listed and removed again since.
            if let Some(entry) = self.entries.get(name)
                && entry.removed_at == Some(*removed_at)
            {
                self.entries.remove(name);
            }
            self.removed.pop_front();
        }
        for versions in self.services.values_mut() {
            versions.retain(|_, sighting| sighting.is_recent(now));
        }
        self.services.retain(|_, versions| !versions.is_empty());
    }

    /// Returns the versions listed within [`STREAM_LIFETIME`]; `None` for entries without one.
    pub fn recent<'a>(
        &'a self,
        now: Instant,
        service: &ServiceName,
    ) -> impl Iterator<Item = Option<&'a SoftwareVersion>> + use<'a> {
        let versions = self.services.get(service).into_iter().flatten();
        let recent = versions.filter(move |(_, sighting)| sighting.is_recent(now));
        recent.map(|(version, _)| version.as_ref())
    }

    /// Returns the number of versions listed within [`STREAM_LIFETIME`], by service.
    pub fn counts(&self, now: Instant) -> impl Iterator<Item = (&ServiceName, usize)> {
        let services = self.services.iter();
        services.map(move |(service, versions)| {
            let recent = versions.values().filter(|sighting| sighting.is_recent(now));
            (service, recent.count())
        })
    }

    /// Returns whether another software version may have produced a text that began at `begun_at`: its process was
    /// replaced by one of the same name with another version, whose entry became known soon after the begin.
    pub fn is_doubtful(&self, origin: &TextOrigin, begun_at: Instant) -> bool {
        let Some(process) = origin.process() else {
            return false;
        };
        let changed_at = self
            .entries
            .get(&process.name)
            .and_then(|entry| entry.changed_at);
        changed_at.is_some_and(|changed_at| {
            begun_at <= changed_at
                && changed_at.saturating_duration_since(begun_at) < MAX_ENTRY_DELAY
        })
    }
}

impl Sighting {
    fn is_recent(&self, now: Instant) -> bool {
        self.listed > 0 || now.saturating_duration_since(self.removed_at) < STREAM_LIFETIME
    }
}
