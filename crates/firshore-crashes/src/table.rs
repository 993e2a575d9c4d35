//! What is known of back ends that ended, and of the requests that were lost there.
//!
//! A back end's end is kept with the requests that were lost there: an engine runs several, and most of
//! them are innocent. A request that has run to a good end anywhere since it was suspected is not judged by
//! ends any more.

use crate::fingerprint::RequestFingerprint;
use crate::report::{CrashReport, LostRun, ReportedCompletion, ReportedExit, TableCursor};
use crate::verdict;
use firshore_adapter::incarnation::Incarnation;
use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

/// Back ends that ended that are kept: with [`MOST_LOST`] requests each, some 800 kB.
const MOST_ENDS: usize = 256;

/// Requests kept of those lost at one back end: more than back ends run and queue at once.
const MOST_LOST: usize = 64;

/// Requests that ran to a good end that are kept.
const MOST_COMPLETIONS: usize = 2_048;

/// Back ends in one report: it travels in one frame, beside other messages.
const MOST_REPORTED: usize = 32;

/// A back end that ended.
#[derive(Clone, Debug)]
pub(crate) struct EndedBackend {
    pub(crate) at: Instant,
    /// Requests that were lost there, and how many bytes of their answers had arrived.
    pub(crate) lost: BTreeMap<RequestFingerprint, u64>,
    position: u64,
}

#[derive(Clone, Copy, Debug)]
struct Completion {
    at: Instant,
    position: u64,
}

/// Back ends that ended under a request that is held back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Quarantine {
    /// Back ends, in the order in which they ended.
    pub backends: Vec<Incarnation>,
    /// When the last of them ended.
    pub last_end: Instant,
}

/// What is known against a request that was lost at back ends that ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Suspicion {
    /// Back ends, less those beyond which another run of it got.
    pub exits: usize,
    /// Occasions on which they ended: several at the same moment are one.
    pub occasions: usize,
}

/// What a table has learned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TableChange {
    /// The request is held back from now on.
    Quarantined(RequestFingerprint, Quarantine),
    /// It is not held back any more.
    Released(RequestFingerprint),
    /// Another node saw that a back end has ended.
    BackendExited(Incarnation),
}

/// Back ends that ended and requests that were lost there, as this node knows from all.
#[derive(Debug)]
pub struct CrashTable {
    epoch: u64,
    /// Time for which an end is kept.
    remember: Duration,
    position: u64,
    ends: HashMap<Incarnation, EndedBackend>,
    completions: HashMap<RequestFingerprint, Completion>,
    /// Requests that were lost at any of these back ends, without a good end since.
    suspects: BTreeMap<RequestFingerprint, Suspicion>,
    verdicts: BTreeMap<RequestFingerprint, Quarantine>,
}

impl CrashTable {
    /// Nothing is known. Ends are kept for `remember`; `epoch` is drawn anew at each start of the node.
    pub fn new(epoch: u64, remember: Duration) -> Self {
        Self {
            epoch,
            remember,
            position: 0,
            ends: HashMap::new(),
            completions: HashMap::new(),
            suspects: BTreeMap::new(),
            verdicts: BTreeMap::new(),
        }
    }

    /// Sets for how long an end is kept.
    pub fn set_retention(&mut self, remember: Duration) {
        self.remember = remember;
    }

    /// Returns how far the table is.
    pub fn cursor(&self) -> TableCursor {
        TableCursor {
            epoch: self.epoch,
            position: self.position,
        }
    }

    /// Returns whether nothing is known: so it is on a calm day.
    pub fn is_empty(&self) -> bool {
        self.ends.is_empty()
    }

    /// Returns whether any request is held back.
    pub fn has_quarantined(&self) -> bool {
        !self.verdicts.is_empty()
    }

    /// Returns the verdict on a request, if there is one.
    pub fn quarantine(&self, print: &RequestFingerprint) -> Option<&Quarantine> {
        self.verdicts.get(print)
    }

    /// Returns what is known against a request, if nothing has cleared it.
    pub fn suspicion(&self, print: &RequestFingerprint) -> Suspicion {
        self.suspects.get(print).copied().unwrap_or_default()
    }

    /// Returns the number of requests that were lost at a back end that ended, and not cleared since.
    pub fn suspect_count(&self) -> usize {
        self.suspects.len()
    }

    /// Returns the number of requests that are held back.
    pub fn quarantined_count(&self) -> usize {
        self.verdicts.len()
    }

    /// Returns for how long a verdict still holds.
    pub fn time_left(&self, now: Instant, verdict: &Quarantine) -> Duration {
        let age = now.saturating_duration_since(verdict.last_end);
        self.remember.saturating_sub(age)
    }

    /// Takes in that a back end has ended, and which requests of this node were lost there.
    pub fn record_exit(
        &mut self,
        now: Instant,
        backend: &Incarnation,
        lost: &[LostRun],
    ) -> Vec<TableChange> {
        self.add_end(now, backend, lost);
        self.judge()
    }

    /// Takes in that a request has run to a good end. Says something of requests only that are suspected.
    pub fn record_completion(
        &mut self,
        now: Instant,
        print: RequestFingerprint,
    ) -> Vec<TableChange> {
        if !self.suspects.contains_key(&print) {
            return Vec::new();
        }
        self.add_completion(now, print);
        self.judge()
    }

    /// Takes in what another node knows.
    pub fn merge(&mut self, now: Instant, report: &CrashReport) -> Vec<TableChange> {
        let before = self.position;
        let mut changes = Vec::new();
        for end in &report.ends {
            let backend = self.told_of(end);
            if end.age >= self.remember.as_millis() as u64 {
                continue;
            }
            if !self.ends.contains_key(&backend) {
                changes.push(TableChange::BackendExited(backend.clone()));
            }
            self.add_end(past(now, end.age), &backend, &end.lost);
        }
        for one in &report.completions {
            if one.age < self.remember.as_millis() as u64 {
                self.add_completion(past(now, one.age), one.print);
            }
        }
        if self.position > before {
            changes.extend(self.judge());
        }
        changes
    }

    /// Forgets what is older than it is to be kept. Ends of verdicts go too: then the request is tried again.
    pub fn remove_expired(&mut self, now: Instant) -> Vec<TableChange> {
        let known = self.ends.len();
        let remember = self.remember;
        let is_kept = |at: Instant| now.saturating_duration_since(at) < remember;
        self.ends.retain(|_, end| is_kept(end.at));
        self.completions.retain(|_, one| is_kept(one.at));
        match self.ends.len() < known {
            true => self.judge(),
            false => Vec::new(),
        }
    }

    /// Returns what has changed after a position, oldest first: as much of it as one report holds.
    pub fn changes_after(&self, now: Instant, position: u64) -> CrashReport {
        let newer = self.ends.iter().filter(|(_, end)| end.position > position);
        let mut ends: Vec<(&Incarnation, &EndedBackend)> = newer.collect();
        ends.sort_by_key(|(_, end)| end.position);
        let is_whole = ends.len() <= MOST_REPORTED;
        ends.truncate(MOST_REPORTED);
        let upto = match ends.last() {
            Some((_, last)) if !is_whole => last.position,
            _ => self.position,
        };
        let completions = self.completions.iter();
        let completions =
            completions.filter(|(_, one)| one.position > position && one.position <= upto);
        CrashReport {
            ends: ends
                .iter()
                .map(|(backend, end)| reported(now, backend, end))
                .collect(),
            completions: completions
                .map(|(print, one)| ReportedCompletion {
                    print: *print,
                    age: age(now, one.at),
                })
                .collect(),
            position: upto,
        }
    }

    /// The back end that a report tells of. One that tells no start of it, from a node that knows none, means
    /// an end that is known with its start: it would count twice otherwise.
    fn told_of(&self, end: &ReportedExit) -> Incarnation {
        let told = Incarnation {
            name: end.backend.as_str().into(),
            started: end.started,
        };
        if told.started.is_some() {
            return told;
        }
        let known = self.ends.keys().filter(|one| one.name == told.name);
        known.max().cloned().unwrap_or(told)
    }

    fn add_end(&mut self, at: Instant, backend: &Incarnation, lost: &[LostRun]) {
        if !self.ends.contains_key(backend) {
            self.make_room();
        }
        let next = self.position + 1;
        let end = self.ends.entry(backend.clone()).or_insert(EndedBackend {
            at,
            lost: BTreeMap::new(),
            position: 0,
        });
        let mut changed = end.position == 0;
        // The first to see it tells best when it was.
        end.at = end.at.min(at);
        for run in lost {
            let is_known = end.lost.contains_key(&run.fingerprint);
            if !is_known && end.lost.len() >= MOST_LOST {
                continue;
            }
            let reached = end.lost.entry(run.fingerprint).or_insert(run.reached);
            changed |= !is_known || *reached < run.reached;
            *reached = (*reached).max(run.reached);
        }
        if changed {
            end.position = next;
            self.position = next;
        }
    }

    fn add_completion(&mut self, at: Instant, print: RequestFingerprint) {
        if self.completions.contains_key(&print) {
            return;
        }
        if self.completions.len() >= MOST_COMPLETIONS {
            let oldest = self.completions.iter().min_by_key(|(_, one)| one.at);
            let oldest = oldest.map(|(print, _)| *print);
            oldest.map(|print| self.completions.remove(&print));
        }
        self.position += 1;
        let position = self.position;
        self.completions.insert(print, Completion { at, position });
    }

    /// Makes room for one more back end. First go ends that no verdict rests on, the oldest first; then those
    /// of the caller whose verdicts rest on the most, so that no caller pushes out another's.
    fn make_room(&mut self) {
        if self.ends.len() < MOST_ENDS {
            return;
        }
        let owner = |end: &EndedBackend| {
            let mut condemned = end
                .lost
                .keys()
                .filter(|one| self.verdicts.contains_key(one));
            condemned.next().map(RequestFingerprint::caller)
        };
        let mut owned: HashMap<Option<u64>, usize> = HashMap::new();
        for end in self.ends.values() {
            *owned.entry(owner(end)).or_default() += 1;
        }
        let victim = match owned.contains_key(&None) {
            true => None,
            false => owned
                .iter()
                .max_by_key(|(_, count)| **count)
                .and_then(|(one, _)| *one),
        };
        let candidates = self.ends.iter().filter(|(_, end)| owner(end) == victim);
        let oldest = candidates.min_by_key(|(_, end)| end.at);
        let oldest = oldest.map(|(backend, _)| backend.clone());
        oldest.map(|backend| self.ends.remove(&backend));
    }

    /// Judges anew from all that is known.
    fn judge(&mut self) -> Vec<TableChange> {
        let completions = &self.completions;
        let judgement = verdict::judge(&self.ends, |print| completions.contains_key(print));
        self.suspects = judgement.suspects;
        let before = std::mem::replace(&mut self.verdicts, judgement.verdicts);
        let lifted = before
            .keys()
            .filter(|print| !self.verdicts.contains_key(print));
        let mut changes: Vec<TableChange> =
            lifted.map(|print| TableChange::Released(*print)).collect();
        for (print, verdict) in &self.verdicts {
            if !before.contains_key(print) {
                changes.push(TableChange::Quarantined(*print, verdict.clone()));
            }
        }
        changes
    }
}

fn past(now: Instant, age: u64) -> Instant {
    now.checked_sub(Duration::from_millis(age)).unwrap_or(now)
}

fn age(now: Instant, at: Instant) -> u64 {
    now.saturating_duration_since(at).as_millis() as u64
}

fn reported(now: Instant, backend: &Incarnation, end: &EndedBackend) -> ReportedExit {
    let lost = end.lost.iter();
    ReportedExit {
        backend: backend.name.to_string(),
        started: backend.started,
        age: age(now, end.at),
        lost: lost
            .map(|(print, reached)| LostRun {
                fingerprint: *print,
                reached: *reached,
            })
            .collect(),
    }
}
