//! Detects which requests crash back ends.
//!
//! All requests of a back end are lost when it exits, so a single exit is weak evidence against each of them. A
//! request is quarantined when it was lost at several exits at different times, none of its runs got past the
//! point of these exits, and back ends don't exit as often without it.

use crate::fingerprint::RequestFingerprint;
use crate::table::{BackendExit, Quarantine, Suspicion};
use firshore_adapter::incarnation::Incarnation;
use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

/// Exits, and distinct times of exits, that are needed to quarantine a request.
const MIN_EXITS: usize = 3;

/// Exits that are needed if more exits happened without the request. The back ends then crash for other reasons
/// too, and a request may be lost at [`MIN_EXITS`] of them by coincidence.
const MIN_EXITS_IN_DOUBT: usize = 5;

/// Exits within this time count as one occasion: a power failure may stop several back ends that run copies of
/// the same popular request.
const OCCASION_SPAN: Duration = Duration::from_millis(200);

/// Exits without the request count against a quarantine from this time before its first exit up to its last
/// one. Later exits don't: they would release a request that still crashes back ends.
const DOUBT_SPAN: Duration = Duration::from_secs(15);

/// Response bytes by which one run must exceed another to count as having got past that run's exit. The last
/// bytes sent before an exit may be lost with the connection.
const PROGRESS_MARGIN_BYTES: u64 = 256;

/// Result of an evaluation.
pub(crate) struct Findings {
    pub(crate) suspects: BTreeMap<RequestFingerprint, Suspicion>,
    pub(crate) quarantined: BTreeMap<RequestFingerprint, Quarantine>,
}

/// All exits, ordered by time.
struct ExitList<'a> {
    backends: Vec<&'a Incarnation>,
    times: Vec<Instant>,
    /// Whether each exit is attributed to a quarantined request.
    is_attributed: Vec<bool>,
    /// Number of unattributed exits before each position.
    open_before: Vec<usize>,
}

/// Exits at which one request was lost, as positions in the [`ExitList`].
struct RequestExits {
    /// All exits.
    all: Vec<usize>,
    /// Exits that no other run of the request got past.
    furthest: Vec<usize>,
}

/// Evaluates all requests that were lost at exits. Completed requests are not suspected.
pub(crate) fn evaluate(
    exits: &HashMap<Incarnation, BackendExit>,
    completed: impl Fn(&RequestFingerprint) -> bool,
) -> Findings {
    let mut sorted: Vec<(&Incarnation, &BackendExit)> = exits.iter().collect();
    sorted.sort_by_key(|(backend, exit)| (exit.at, *backend));
    let mut list = ExitList::new(&sorted);
    let mut by_request = exits_by_request(&sorted, completed);
    let suspicion = |exits: &RequestExits| Suspicion {
        exits: exits.furthest.len(),
        occasions: list.occasions(&exits.furthest),
    };
    let suspects = by_request.iter();
    let suspects = suspects.map(|(fingerprint, exits)| (*fingerprint, suspicion(exits)));
    let suspects = suspects.collect();
    let mut quarantined = BTreeMap::new();
    // Exits attributed to one request are no evidence against the others that were lost there.
    while let Some((fingerprint, found)) = strongest_suspect(&by_request, &list) {
        list.attribute(&found);
        quarantined.insert(fingerprint, list.quarantine(&found));
        by_request.remove(&fingerprint);
    }
    Findings {
        suspects,
        quarantined,
    }
}

fn exits_by_request(
    sorted: &[(&Incarnation, &BackendExit)],
    completed: impl Fn(&RequestFingerprint) -> bool,
) -> BTreeMap<RequestFingerprint, RequestExits> {
    let mut reached: BTreeMap<RequestFingerprint, Vec<(usize, u64)>> = BTreeMap::new();
    for (idx, (_, exit)) in sorted.iter().enumerate() {
        for (fingerprint, bytes) in &exit.lost {
            if !completed(fingerprint) {
                reached.entry(*fingerprint).or_default().push((idx, *bytes));
            }
        }
    }
    let runs = reached.into_iter();
    runs.map(|(fingerprint, runs)| (fingerprint, RequestExits::new(&runs)))
        .collect()
}

impl RequestExits {
    /// Creates an entry from the runs of one request, each given as an exit and the response bytes received.
    fn new(runs: &[(usize, u64)]) -> Self {
        let most = runs.iter().map(|(_, bytes)| *bytes).max().unwrap_or(0);
        let furthest = runs
            .iter()
            .filter(|(_, bytes)| bytes + PROGRESS_MARGIN_BYTES >= most);
        Self {
            all: runs.iter().map(|(idx, _)| *idx).collect(),
            furthest: furthest.map(|(idx, _)| *idx).collect(),
        }
    }
}

/// Returns the request with the most unattributed exits among those with sufficient evidence, and these exits.
fn strongest_suspect(
    by_request: &BTreeMap<RequestFingerprint, RequestExits>,
    list: &ExitList<'_>,
) -> Option<(RequestFingerprint, Vec<usize>)> {
    let mut most: Option<(RequestFingerprint, Vec<usize>)> = None;
    for (fingerprint, exits) in by_request
        .iter()
        .filter(|(_, exits)| exits.furthest.len() >= MIN_EXITS)
    {
        let open = exits
            .furthest
            .iter()
            .filter(|idx| !list.is_attributed[**idx]);
        let open: Vec<usize> = open.copied().collect();
        let most_exits = most.as_ref().map_or(0, |(_, found)| found.len());
        if open.len() > most_exits && list.is_sufficient(&open, &exits.all) {
            most = Some((*fingerprint, open));
        }
    }
    most
}

impl<'a> ExitList<'a> {
    fn new(sorted: &[(&'a Incarnation, &'a BackendExit)]) -> Self {
        let mut list = Self {
            backends: sorted.iter().map(|(backend, _)| *backend).collect(),
            times: sorted.iter().map(|(_, exit)| exit.at).collect(),
            is_attributed: vec![false; sorted.len()],
            open_before: Vec::new(),
        };
        list.update_open_counts();
        list
    }

    fn update_open_counts(&mut self) {
        self.open_before = vec![0];
        let mut open = 0;
        for is_attributed in &self.is_attributed {
            open += usize::from(!is_attributed);
            self.open_before.push(open);
        }
    }

    fn attribute(&mut self, exits: &[usize]) {
        exits.iter().for_each(|idx| self.is_attributed[*idx] = true);
        self.update_open_counts();
    }

    fn quarantine(&self, exits: &[usize]) -> Quarantine {
        let backends = exits.iter().map(|idx| self.backends[*idx].clone());
        Quarantine {
            backends: backends.collect(),
            last_exit: self.times[exits[exits.len() - 1]],
        }
    }

    /// Returns whether the unattributed exits `open` are sufficient evidence against a request that was lost at
    /// all exits of `all`.
    fn is_sufficient(&self, open: &[usize], all: &[usize]) -> bool {
        if open.len() < MIN_EXITS || self.occasions(open) < MIN_EXITS {
            return false;
        }
        open.len() >= MIN_EXITS_IN_DOUBT || self.count_without(open, all) <= open.len()
    }

    /// Returns the number of unattributed exits at which the request was not lost, from [`DOUBT_SPAN`] before its
    /// first exit up to its last one.
    fn count_without(&self, open: &[usize], all: &[usize]) -> usize {
        let (first, last) = (self.times[open[0]], self.times[open[open.len() - 1]]);
        let is_too_early = |at: &Instant| first.saturating_duration_since(*at) > DOUBT_SPAN;
        let from = self.times.partition_point(is_too_early);
        let to = self.times.partition_point(|at| *at <= last);
        let with_request = all.iter().filter(|idx| (from..to).contains(idx));
        let with_request = with_request
            .filter(|idx| !self.is_attributed[**idx])
            .count();
        self.open_before[to] - self.open_before[from] - with_request
    }

    /// Returns the number of distinct times of exits.
    fn occasions(&self, exits: &[usize]) -> usize {
        let mut count = 0;
        let mut occasion_start: Option<Instant> = None;
        for at in exits.iter().map(|idx| self.times[*idx]) {
            let is_same_occasion =
                occasion_start.is_some_and(|start| at.duration_since(start) < OCCASION_SPAN);
            if !is_same_occasion {
                occasion_start = Some(at);
                count += 1;
            }
        }
        count
    }
}
