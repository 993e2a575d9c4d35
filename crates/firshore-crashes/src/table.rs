//! Records exits of back ends and the requests that were lost there.
//!
//! A back end runs several requests at a time, most of which didn't cause its exit. A suspected request that
//! completes at any node is cleared, and so are the parts of its prompt: later exits no longer count against them.

use crate::detection;
use crate::fingerprint::{PartFingerprint, RequestFingerprint};
use crate::report::{
    CrashReport, LostRun, ReportedCompletion, ReportedExit, ReportedPart, TableCursor,
};
use crate::suspect::Suspect;
use firshore_adapter::incarnation::Incarnation;
use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

/// Maximum number of recorded exits; with [`MAX_LOST_RUNS`] requests of six parts each, they take about 2.5 MB.
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
    /// Requests that were lost there.
    pub(crate) lost: BTreeMap<RequestFingerprint, LostRequest>,
    /// Position of the table's latest change to this exit.
    position: u64,
}

impl BackendExit {
    /// Returns the requests that were lost there, and the parts of their prompts.
    fn suspects(&self) -> impl Iterator<Item = Suspect> {
        self.lost.iter().flat_map(|(request, lost)| {
            let parts = lost.parts.iter().map(Suspect::from);
            std::iter::once(Suspect::from(request)).chain(parts)
        })
    }
}

/// A request that was lost at an exit.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct LostRequest {
    /// Bytes of its response that had been received.
    pub(crate) reached: u64,
    /// Parts of its prompt that may have caused the exit, in order.
    pub(crate) parts: Vec<PartFingerprint>,
}

impl LostRequest {
    /// Merges another record; the result doesn't depend on the order. Returns whether this one has changed.
    fn merge(&mut self, run: &LostRun) -> bool {
        let before = self.clone();
        self.reached = self.reached.max(run.reached);
        if (run.parts.len(), &run.parts) > (self.parts.len(), &self.parts) {
            self.parts = run.parts.clone();
        }
        *self != before
    }
}

#[derive(Clone, Copy, Debug)]
struct Completion {
    at: Instant,
    position: u64,
}

/// Why a request, or a part of prompts, is quarantined.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Quarantine {
    /// Back ends that exited while running it, in the order of their exits.
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
    /// It is quarantined from now on.
    Quarantined(Suspect, Quarantine),
    /// It is no longer quarantined.
    Released(Suspect),
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
    completions: HashMap<Suspect, Completion>,
    /// What was at any of these exits and is not cleared.
    suspects: BTreeMap<Suspect, Suspicion>,
    quarantined: BTreeMap<Suspect, Quarantine>,
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

    /// Returns whether anything is quarantined.
    pub fn has_quarantined(&self) -> bool {
        !self.quarantined.is_empty()
    }

    /// Returns whether any request is quarantined as a whole.
    pub fn has_quarantined_requests(&self) -> bool {
        has_requests(&self.quarantined)
    }

    /// Returns whether any part of prompts is quarantined.
    pub fn has_quarantined_parts(&self) -> bool {
        has_parts(&self.quarantined)
    }

    /// Returns why a request or part is quarantined, or `None` if it isn't.
    pub fn quarantine<S: Copy + Into<Suspect>>(&self, suspect: &S) -> Option<&Quarantine> {
        self.quarantined.get(&(*suspect).into())
    }

    /// Returns the evidence against a request or part; zero if there is none or if it was cleared.
    pub fn suspicion<S: Copy + Into<Suspect>>(&self, suspect: &S) -> Suspicion {
        let suspicion = self.suspects.get(&(*suspect).into());
        suspicion.copied().unwrap_or_default()
    }

    /// Returns whether any request is suspected as a whole.
    pub fn suspects_requests(&self) -> bool {
        has_requests(&self.suspects)
    }

    /// Returns whether any part of prompts is suspected.
    pub fn suspects_parts(&self) -> bool {
        has_parts(&self.suspects)
    }

    /// Returns the number of requests and parts that were at an exit and are not cleared.
    pub fn suspect_count(&self) -> usize {
        self.suspects.len()
    }

    /// Returns the number of quarantined requests and parts.
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

    /// Records that a request has completed, or that a run with these parts got past its first event. Has no effect on what is not suspected.
    pub fn clear(
        &mut self,
        now: Instant,
        cleared: impl IntoIterator<Item = Suspect>,
    ) -> Vec<TableChange> {
        let before = self.position;
        for suspect in cleared {
            if self.suspects.contains_key(&suspect) {
                self.add_completion(now, suspect);
            }
        }
        match self.position > before {
            true => self.evaluate(),
            false => Vec::new(),
        }
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
                let at = time_of(now, completion.age);
                self.add_completion(at, completion.fingerprint.into());
            }
        }
        for cleared in &report.cleared_parts {
            if cleared.age < self.retention.as_millis() as u64 {
                self.add_completion(time_of(now, cleared.age), cleared.part.into());
            }
        }
        if self.position > position_before {
            changes.extend(self.evaluate());
        }
        changes
    }

    /// Removes exits and completions older than the retention time. What is quarantined is released if its exits
    /// are removed.
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
        let mut report = CrashReport {
            ends: exits
                .iter()
                .map(|(backend, exit)| report_exit(now, backend, exit))
                .collect(),
            position: upto,
            ..CrashReport::default()
        };
        for (suspect, completion) in &self.completions {
            if completion.position <= position || completion.position > upto {
                continue;
            }
            let age = age(now, completion.at);
            match suspect {
                Suspect::Request(fingerprint) => report.completions.push(ReportedCompletion {
                    fingerprint: *fingerprint,
                    age,
                }),
                Suspect::Part(part) => report.cleared_parts.push(ReportedPart { part: *part, age }),
            }
        }
        report
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
            let recorded = exit.lost.entry(run.fingerprint).or_default();
            changed |= recorded.merge(run) || !is_recorded;
        }
        if changed {
            exit.position = next;
            self.position = next;
        }
    }

    fn add_completion(&mut self, at: Instant, suspect: Suspect) {
        if self.completions.contains_key(&suspect) {
            return;
        }
        if self.completions.len() >= MAX_COMPLETIONS {
            let oldest = self
                .completions
                .iter()
                .min_by_key(|(_, completion)| completion.at);
            let oldest = oldest.map(|(suspect, _)| *suspect);
            oldest.map(|suspect| self.completions.remove(&suspect));
        }
        self.position += 1;
        let position = self.position;
        self.completions
            .insert(suspect, Completion { at, position });
    }

    /// Removes the oldest exit if the table is full: of the exits without anything quarantined if there are any,
    /// otherwise of the caller whose quarantined requests and parts account for the most exits. So no caller can evict
    /// the exits of what another caller has quarantined.
    fn evict_excess(&mut self) {
        if self.exits.len() < MAX_EXITS {
            return;
        }
        let owner = |exit: &BackendExit| {
            let mut quarantined_here = exit
                .suspects()
                .filter(|suspect| self.quarantined.contains_key(suspect));
            quarantined_here.next().map(|suspect| suspect.caller())
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

    /// Evaluates all exits again and returns what was quarantined or released.
    fn evaluate(&mut self) -> Vec<TableChange> {
        let completions = &self.completions;
        let findings =
            detection::evaluate(&self.exits, |suspect| completions.contains_key(suspect));
        self.suspects = findings.suspects;
        let before = std::mem::replace(&mut self.quarantined, findings.quarantined);
        let released = before
            .keys()
            .filter(|suspect| !self.quarantined.contains_key(suspect));
        let mut changes: Vec<TableChange> = released
            .map(|suspect| TableChange::Released(*suspect))
            .collect();
        for (suspect, quarantine) in &self.quarantined {
            if !before.contains_key(suspect) {
                changes.push(TableChange::Quarantined(*suspect, quarantine.clone()));
            }
        }
        changes
    }
}

/// Returns whether any key is a whole request; these are ordered first.
fn has_requests<T>(found: &BTreeMap<Suspect, T>) -> bool {
    let first = found.first_key_value();
    first.is_some_and(|(suspect, _)| matches!(suspect, Suspect::Request(_)))
}

/// Returns whether any key is a part; these are ordered last.
fn has_parts<T>(found: &BTreeMap<Suspect, T>) -> bool {
    let last = found.last_key_value();
    last.is_some_and(|(suspect, _)| matches!(suspect, Suspect::Part(_)))
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
            .map(|(fingerprint, lost)| LostRun {
                fingerprint: *fingerprint,
                reached: lost.reached,
                parts: lost.parts.clone(),
            })
            .collect(),
    }
}
