//! Records exits of back ends and the requests that were lost there.
//!
//! A back end runs several requests at a time, most of which didn't cause its exit. A suspected request that
//! completes at any node is cleared: later exits no longer count against it.

use crate::detection;
use crate::fingerprint::RequestFingerprint;
use crate::report::{CrashReport, LostRun, ReportedCompletion, ReportedExit, TableCursor};
use firshore_adapter::incarnation::Incarnation;
use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

/// Maximum number of recorded exits; with [`MAX_LOST_RUNS`] requests each, they take about 800 kB.
const MAX_EXITS: usize = 256;

/// Maximum number of recorded requests per exit; more than a back end runs and queues at a time.
const MAX_LOST_RUNS: usize = 64;

/// Maximum number of recorded completions.
const MAX_COMPLETIONS: usize = 2_048;

/// Maximum number of exits in one report, so that it fits into one frame.
const MAX_REPORTED_EXITS: usize = 32;

/// An exit of a back end.
#[derive(Clone, Debug)]
pub(crate) struct BackendExit {
    pub(crate) at: Instant,
    /// Requests that were lost there, each with the bytes of its response that had been received.
    pub(crate) lost: BTreeMap<RequestFingerprint, u64>,
    /// Position of the table's latest change to this exit.
    position: u64,
}

#[derive(Clone, Copy, Debug)]
struct Completion {
    at: Instant,
    position: u64,
}

/// Why a request is quarantined.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Quarantine {
    /// Back ends that exited while running the request, in the order of their exits.
    pub backends: Vec<Incarnation>,
    /// Time of the last of these exits.
    pub last_exit: Instant,
}

/// Evidence against a request that was lost at exits of back ends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Suspicion {
    /// Exits at which the request was lost, without those that another run of it got past.
    pub exits: usize,
    /// Number of distinct times of these exits; simultaneous exits count once.
    pub occasions: usize,
}

/// A change of a table that its owner may have to act on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TableChange {
    /// The request is quarantined from now on.
    Quarantined(RequestFingerprint, Quarantine),
    /// The request is no longer quarantined.
    Released(RequestFingerprint),
    /// Another node reported the exit of a back end.
    BackendExited(Incarnation),
}

/// Exits of back ends and requests lost there, as observed by this node and reported by others.
#[derive(Debug)]
pub struct CrashTable {
    epoch: u64,
    /// Time for which exits and completions are kept.
    retention: Duration,
    position: u64,
    exits: HashMap<Incarnation, BackendExit>,
    completions: HashMap<RequestFingerprint, Completion>,
    /// Requests that were lost at any of these exits and have not completed since.
    suspects: BTreeMap<RequestFingerprint, Suspicion>,
    quarantined: BTreeMap<RequestFingerprint, Quarantine>,
}

impl CrashTable {
    /// Creates an empty table. Exits and completions are kept for `retention`. `epoch` must differ at each start
    /// of the node.
    pub fn new(epoch: u64, retention: Duration) -> Self {
        Self {
            epoch,
            retention,
            position: 0,
            exits: HashMap::new(),
            completions: HashMap::new(),
            suspects: BTreeMap::new(),
            quarantined: BTreeMap::new(),
        }
    }

    /// Sets the time for which exits and completions are kept.
    pub fn set_retention(&mut self, retention: Duration) {
        self.retention = retention;
    }

    /// Returns the current position of the table.
    pub fn cursor(&self) -> TableCursor {
        TableCursor {
            epoch: self.epoch,
            position: self.position,
        }
    }

    /// Returns whether no exit is recorded.
    pub fn is_empty(&self) -> bool {
        self.exits.is_empty()
    }

    /// Returns whether any request is quarantined.
    pub fn has_quarantined(&self) -> bool {
        !self.quarantined.is_empty()
    }

    /// Returns why a request is quarantined, or `None` if it isn't.
    pub fn quarantine(&self, fingerprint: &RequestFingerprint) -> Option<&Quarantine> {
        self.quarantined.get(fingerprint)
    }

    /// Returns the evidence against a request; zero if there is none or the request was cleared.
    pub fn suspicion(&self, fingerprint: &RequestFingerprint) -> Suspicion {
        self.suspects.get(fingerprint).copied().unwrap_or_default()
    }

    /// Returns the number of requests that were lost at an exit and not cleared since.
    pub fn suspect_count(&self) -> usize {
        self.suspects.len()
    }

    /// Returns the number of quarantined requests.
    pub fn quarantined_count(&self) -> usize {
        self.quarantined.len()
    }

    /// Returns the time until a quarantine expires.
    pub fn time_left(&self, now: Instant, quarantine: &Quarantine) -> Duration {
        let age = now.saturating_duration_since(quarantine.last_exit);
        self.retention.saturating_sub(age)
    }

    /// Records the exit of a back end and the requests of this node that were lost there.
    pub fn record_exit(
        &mut self,
        now: Instant,
        backend: &Incarnation,
        lost: &[LostRun],
    ) -> Vec<TableChange> {
        self.add_exit(now, backend, lost);
        self.evaluate()
    }

    /// Records a successful completion of a request. Has no effect on a request that is not suspected.
    pub fn record_completion(
        &mut self,
        now: Instant,
        fingerprint: RequestFingerprint,
    ) -> Vec<TableChange> {
        if !self.suspects.contains_key(&fingerprint) {
            return Vec::new();
        }
        self.add_completion(now, fingerprint);
        self.evaluate()
    }

    /// Merges another node's report. Entries older than the retention time are ignored.
    pub fn merge(&mut self, now: Instant, report: &CrashReport) -> Vec<TableChange> {
        let position_before = self.position;
        let mut changes = Vec::new();
        for exit in &report.ends {
            let backend = self.reported_incarnation(exit);
            if exit.age >= self.retention.as_millis() as u64 {
                continue;
            }
            if !self.exits.contains_key(&backend) {
                changes.push(TableChange::BackendExited(backend.clone()));
            }
            self.add_exit(time_of(now, exit.age), &backend, &exit.lost);
        }
        for completion in &report.completions {
            if completion.age < self.retention.as_millis() as u64 {
                self.add_completion(time_of(now, completion.age), completion.fingerprint);
            }
        }
        if self.position > position_before {
            changes.extend(self.evaluate());
        }
        changes
    }

    /// Removes exits and completions older than the retention time. A quarantined request whose exits are removed
    /// is released.
    pub fn remove_expired(&mut self, now: Instant) -> Vec<TableChange> {
        let count_before = self.exits.len();
        let retention = self.retention;
        let is_kept = |at: Instant| now.saturating_duration_since(at) < retention;
        self.exits.retain(|_, exit| is_kept(exit.at));
        self.completions
            .retain(|_, completion| is_kept(completion.at));
        match self.exits.len() < count_before {
            true => self.evaluate(),
            false => Vec::new(),
        }
    }

    /// Returns the changes after `position`, oldest first, up to the size of one report.
    pub fn changes_after(&self, now: Instant, position: u64) -> CrashReport {
        let newer = self
            .exits
            .iter()
            .filter(|(_, exit)| exit.position > position);
        let mut exits: Vec<(&Incarnation, &BackendExit)> = newer.collect();
        exits.sort_by_key(|(_, exit)| exit.position);
        let is_complete = exits.len() <= MAX_REPORTED_EXITS;
        exits.truncate(MAX_REPORTED_EXITS);
        let upto = match exits.last() {
            Some((_, last)) if !is_complete => last.position,
            _ => self.position,
        };
        let completions = self.completions.iter();
        let completions = completions.filter(|(_, completion)| {
            completion.position > position && completion.position <= upto
        });
        CrashReport {
            ends: exits
                .iter()
                .map(|(backend, exit)| report_exit(now, backend, exit))
                .collect(),
            completions: completions
                .map(|(fingerprint, completion)| ReportedCompletion {
                    fingerprint: *fingerprint,
                    age: age(now, completion.at),
                })
                .collect(),
            position: upto,
        }
    }

    /// Returns the incarnation that a reported exit refers to. A report without a start time refers to the latest
    /// recorded exit of that name, if there is one; otherwise the same exit would count twice.
    fn reported_incarnation(&self, exit: &ReportedExit) -> Incarnation {
        let reported = Incarnation {
            name: exit.backend.as_str().into(),
            started: exit.started,
        };
        if reported.started.is_some() {
            return reported;
        }
        let recorded = self
            .exits
            .keys()
            .filter(|incarnation| incarnation.name == reported.name);
        recorded.max().cloned().unwrap_or(reported)
    }

    fn add_exit(&mut self, at: Instant, backend: &Incarnation, lost: &[LostRun]) {
        if !self.exits.contains_key(backend) {
            self.evict_excess();
        }
        let next = self.position + 1;
        let exit = self.exits.entry(backend.clone()).or_insert(BackendExit {
            at,
            lost: BTreeMap::new(),
            position: 0,
        });
        let mut changed = exit.position == 0;
        // The earliest observation is the closest to the exit.
        exit.at = exit.at.min(at);
        for run in lost {
            let is_recorded = exit.lost.contains_key(&run.fingerprint);
            if !is_recorded && exit.lost.len() >= MAX_LOST_RUNS {
                continue;
            }
            let reached = exit.lost.entry(run.fingerprint).or_insert(run.reached);
            changed |= !is_recorded || *reached < run.reached;
            *reached = (*reached).max(run.reached);
        }
        if changed {
            exit.position = next;
            self.position = next;
        }
    }

    fn add_completion(&mut self, at: Instant, fingerprint: RequestFingerprint) {
        if self.completions.contains_key(&fingerprint) {
            return;
        }
        if self.completions.len() >= MAX_COMPLETIONS {
            let oldest = self
                .completions
                .iter()
                .min_by_key(|(_, completion)| completion.at);
            let oldest = oldest.map(|(fingerprint, _)| *fingerprint);
            oldest.map(|fingerprint| self.completions.remove(&fingerprint));
        }
        self.position += 1;
        let position = self.position;
        self.completions
            .insert(fingerprint, Completion { at, position });
    }

    /// Removes the oldest exit if the table is full: of the exits without a quarantined request if there are any,
    /// otherwise of the caller whose quarantined requests account for the most exits. So no caller can evict the
    /// exits of another caller's quarantined request.
    fn evict_excess(&mut self) {
        if self.exits.len() < MAX_EXITS {
            return;
        }
        let owner = |exit: &BackendExit| {
            let mut quarantined_here = exit
                .lost
                .keys()
                .filter(|fingerprint| self.quarantined.contains_key(fingerprint));
            quarantined_here.next().map(RequestFingerprint::caller)
        };
        let mut counts: HashMap<Option<u64>, usize> = HashMap::new();
        for exit in self.exits.values() {
            *counts.entry(owner(exit)).or_default() += 1;
        }
        let evicted_owner = match counts.contains_key(&None) {
            true => None,
            false => counts
                .iter()
                .max_by_key(|(_, count)| **count)
                .and_then(|(caller, _)| *caller),
        };
        let candidates = self
            .exits
            .iter()
            .filter(|(_, exit)| owner(exit) == evicted_owner);
        let oldest = candidates.min_by_key(|(_, exit)| exit.at);
        let oldest = oldest.map(|(backend, _)| backend.clone());
        oldest.map(|backend| self.exits.remove(&backend));
    }

    /// Evaluates all exits again and returns the requests that were quarantined or released.
    fn evaluate(&mut self) -> Vec<TableChange> {
        let completions = &self.completions;
        let findings = detection::evaluate(&self.exits, |fingerprint| {
            completions.contains_key(fingerprint)
        });
        self.suspects = findings.suspects;
        let before = std::mem::replace(&mut self.quarantined, findings.quarantined);
        let released = before
            .keys()
            .filter(|fingerprint| !self.quarantined.contains_key(fingerprint));
        let mut changes: Vec<TableChange> = released
            .map(|fingerprint| TableChange::Released(*fingerprint))
            .collect();
        for (fingerprint, quarantine) in &self.quarantined {
            if !before.contains_key(fingerprint) {
                changes.push(TableChange::Quarantined(*fingerprint, quarantine.clone()));
            }
        }
        changes
    }
}

fn time_of(now: Instant, age: u64) -> Instant {
    now.checked_sub(Duration::from_millis(age)).unwrap_or(now)
}

fn age(now: Instant, at: Instant) -> u64 {
    now.saturating_duration_since(at).as_millis() as u64
}

fn report_exit(now: Instant, backend: &Incarnation, exit: &BackendExit) -> ReportedExit {
    let lost = exit.lost.iter();
    ReportedExit {
        backend: backend.name.to_string(),
        started: backend.started,
        age: age(now, exit.at),
        lost: lost
            .map(|(fingerprint, reached)| LostRun {
                fingerprint: *fingerprint,
                reached: *reached,
            })
            .collect(),
    }
}
