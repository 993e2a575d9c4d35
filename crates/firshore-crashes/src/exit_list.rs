//! Exits of back ends, ordered by time, and whether they are sufficient evidence against a suspect.

use crate::table::{BackendExit, Quarantine};
use firshore_adapter::incarnation::Incarnation;
use std::time::{Duration, Instant};

/// Exits, and distinct times of exits, that are needed to quarantine a suspect.
pub(crate) const MIN_EXITS: usize = 3;

/// Exits that are needed if more exits happened without the suspect. The back ends then crash for other reasons
/// too, and it may be at [`MIN_EXITS`] of them by coincidence.
const MIN_EXITS_IN_DOUBT: usize = 5;

/// Exits within this time count as one occasion: a power failure may stop several back ends that run copies of
/// the same popular requests.
const OCCASION_SPAN: Duration = Duration::from_millis(200);

/// Exits without the suspect count against a quarantine from this time before its first exit up to its last
/// one. Later exits don't: they would release one that still crashes back ends.
const DOUBT_SPAN: Duration = Duration::from_secs(15);

/// All exits, ordered by time.
#[derive(Clone)]
pub(crate) struct ExitList<'a> {
    backends: Vec<&'a Incarnation>,
    times: Vec<Instant>,
    /// Whether each exit is attributed to what is quarantined.
    is_attributed: Vec<bool>,
    /// Number of unattributed exits before each position.
    open_before: Vec<usize>,
}

impl<'a> ExitList<'a> {
    pub(crate) fn new(sorted: &[(&'a Incarnation, &'a BackendExit)]) -> Self {
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

    pub(crate) fn attribute(&mut self, exits: &[usize]) {
        exits.iter().for_each(|idx| self.is_attributed[*idx] = true);
        self.update_open_counts();
    }

    /// Returns the exits of `exits` that are not attributed yet.
    pub(crate) fn open(&self, exits: &[usize]) -> Vec<usize> {
        let open = exits.iter().filter(|idx| !self.is_attributed[**idx]);
        open.copied().collect()
    }

    pub(crate) fn quarantine(&self, exits: &[usize]) -> Quarantine {
        let backends = exits.iter().map(|idx| self.backends[*idx].clone());
        Quarantine {
            backends: backends.collect(),
            last_exit: self.times[exits[exits.len() - 1]],
        }
    }

    /// Returns whether the unattributed exits `open` are sufficient evidence against a suspect that was at
    /// all exits of `all`.
    pub(crate) fn is_sufficient(&self, open: &[usize], all: &[usize]) -> bool {
        if open.len() < MIN_EXITS || self.occasions(open) < MIN_EXITS {
            return false;
        }
        open.len() >= MIN_EXITS_IN_DOUBT || self.count_without(open, all) <= open.len()
    }

    /// Returns the number of unattributed exits at which the suspect was not, from [`DOUBT_SPAN`] before its
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
    pub(crate) fn occasions(&self, exits: &[usize]) -> usize {
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
