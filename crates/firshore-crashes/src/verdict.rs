//! Judges which requests crash back ends.
//!
//! A back end that ended takes all its requests along, so one end says little of any of them. What tells a
//! request that crashes back ends from the others is that it was at several that ended, one after the other,
//! that no run of it got further than those before, and that back ends do not end as often without it.

use crate::fingerprint::RequestFingerprint;
use crate::table::{EndedBackend, Quarantine, Suspicion};
use firshore_adapter::incarnation::Incarnation;
use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

/// Back ends that must have ended under a request, and occasions on which some did.
const ENDS: usize = 3;

/// Back ends that must have ended under it where more end without it: they crash for reasons of their own,
/// so that one that is lost three times may be so by chance.
const ENDS_IN_DOUBT: usize = 5;

/// Ends within this time are one occasion: several back ends may lose their power at the same moment, and
/// many copies of a popular request with it.
const OCCASION: Duration = Duration::from_millis(200);

/// Time before the first end under a request from which on ends without it raise doubt, up to the last one. What
/// ends later says nothing of it: a verdict that it lifted cost four back ends more.
const DOUBT_SPAN: Duration = Duration::from_secs(15);

/// Bytes of an answer by which a run is further than another one, so that the other's end did not come of
/// the request alone: what was sent last may be lost with the connection.
const FURTHER: u64 = 256;

/// What comes of judging.
pub(crate) struct Judgement {
    pub(crate) suspects: BTreeMap<RequestFingerprint, Suspicion>,
    pub(crate) verdicts: BTreeMap<RequestFingerprint, Quarantine>,
}

/// Back ends that ended, in order of time.
struct EndList<'a> {
    backends: Vec<&'a Incarnation>,
    times: Vec<Instant>,
    /// Which of them a verdict explains.
    explained: Vec<bool>,
    /// How many before each position no verdict explains.
    open_before: Vec<usize>,
}

/// Ends of back ends under one request, as positions in the list.
struct EndsUnder {
    /// All of them.
    all: Vec<usize>,
    /// Those beyond which no other run got.
    furthest: Vec<usize>,
}

/// Judges all requests that were lost at back ends that ended. Those that have run to a good end are not
/// suspected.
pub(crate) fn judge(
    ends: &HashMap<Incarnation, EndedBackend>,
    completed: impl Fn(&RequestFingerprint) -> bool,
) -> Judgement {
    let mut sorted: Vec<(&Incarnation, &EndedBackend)> = ends.iter().collect();
    sorted.sort_by_key(|(backend, end)| (end.at, *backend));
    let mut list = EndList::new(&sorted);
    let mut under = ends_by_request(&sorted, completed);
    let suspicion = |ends: &EndsUnder| Suspicion {
        exits: ends.furthest.len(),
        occasions: list.occasions(&ends.furthest),
    };
    let suspects = under.iter();
    let suspects = suspects.map(|(print, ends)| (*print, suspicion(ends)));
    let suspects = suspects.collect();
    let mut verdicts = BTreeMap::new();
    // Each verdict explains ends, which then say nothing of the other requests that were lost there.
    while let Some((print, found)) = most_suspect(&under, &list) {
        list.explain(&found);
        verdicts.insert(print, list.verdict(&found));
        under.remove(&print);
    }
    Judgement { suspects, verdicts }
}

fn ends_by_request(
    sorted: &[(&Incarnation, &EndedBackend)],
    completed: impl Fn(&RequestFingerprint) -> bool,
) -> BTreeMap<RequestFingerprint, EndsUnder> {
    let mut reached: BTreeMap<RequestFingerprint, Vec<(usize, u64)>> = BTreeMap::new();
    for (idx, (_, end)) in sorted.iter().enumerate() {
        for (print, bytes) in &end.lost {
            if !completed(print) {
                reached.entry(*print).or_default().push((idx, *bytes));
            }
        }
    }
    let under = reached.into_iter();
    under
        .map(|(print, runs)| (print, EndsUnder::new(&runs)))
        .collect()
}

impl EndsUnder {
    /// Drops the ends beyond which another run of the same request got, given each with the bytes that it
    /// had reached.
    fn new(runs: &[(usize, u64)]) -> Self {
        let most = runs.iter().map(|(_, bytes)| *bytes).max().unwrap_or(0);
        let furthest = runs.iter().filter(|(_, bytes)| bytes + FURTHER >= most);
        Self {
            all: runs.iter().map(|(idx, _)| *idx).collect(),
            furthest: furthest.map(|(idx, _)| *idx).collect(),
        }
    }
}

/// The request that is to be condemned next, with the ends that no other verdict explains.
fn most_suspect(
    under: &BTreeMap<RequestFingerprint, EndsUnder>,
    list: &EndList<'_>,
) -> Option<(RequestFingerprint, Vec<usize>)> {
    let mut most: Option<(RequestFingerprint, Vec<usize>)> = None;
    for (print, ends) in under.iter().filter(|(_, ends)| ends.furthest.len() >= ENDS) {
        let open = ends.furthest.iter().filter(|idx| !list.explained[**idx]);
        let open: Vec<usize> = open.copied().collect();
        let known = most.as_ref().map_or(0, |(_, found)| found.len());
        if open.len() > known && list.is_enough(&open, &ends.all) {
            most = Some((*print, open));
        }
    }
    most
}

impl<'a> EndList<'a> {
    fn new(sorted: &[(&'a Incarnation, &'a EndedBackend)]) -> Self {
        let mut list = Self {
            backends: sorted.iter().map(|(backend, _)| *backend).collect(),
            times: sorted.iter().map(|(_, end)| end.at).collect(),
            explained: vec![false; sorted.len()],
            open_before: Vec::new(),
        };
        list.count_open();
        list
    }

    fn count_open(&mut self) {
        self.open_before = vec![0];
        let mut open = 0;
        for is_explained in &self.explained {
            open += usize::from(!is_explained);
            self.open_before.push(open);
        }
    }

    fn explain(&mut self, ends: &[usize]) {
        ends.iter().for_each(|idx| self.explained[*idx] = true);
        self.count_open();
    }

    fn verdict(&self, ends: &[usize]) -> Quarantine {
        let backends = ends.iter().map(|idx| self.backends[*idx].clone());
        Quarantine {
            backends: backends.collect(),
            last_end: self.times[ends[ends.len() - 1]],
        }
    }

    /// Whether the ends in `open` say enough of a request under which back ends ended at all of `all`.
    fn is_enough(&self, open: &[usize], all: &[usize]) -> bool {
        if open.len() < ENDS || self.occasions(open) < ENDS {
            return false;
        }
        open.len() >= ENDS_IN_DOUBT || self.without(open, all) <= open.len()
    }

    /// Counts ends that no verdict explains, at which the request was not lost, up to the last one under it.
    fn without(&self, open: &[usize], all: &[usize]) -> usize {
        let (first, last) = (self.times[open[0]], self.times[open[open.len() - 1]]);
        let is_old = |at: &Instant| first.saturating_duration_since(*at) > DOUBT_SPAN;
        let from = self.times.partition_point(is_old);
        let to = self.times.partition_point(|at| *at <= last);
        let under = all.iter().filter(|idx| (from..to).contains(idx));
        let under = under.filter(|idx| !self.explained[**idx]).count();
        self.open_before[to] - self.open_before[from] - under
    }

    /// Counts occasions on which back ends ended.
    fn occasions(&self, ends: &[usize]) -> usize {
        let mut count = 0;
        let mut begun: Option<Instant> = None;
        for at in ends.iter().map(|idx| self.times[*idx]) {
            let is_same = begun.is_some_and(|begun| at.duration_since(begun) < OCCASION);
            if !is_same {
                begun = Some(at);
                count += 1;
            }
        }
        count
    }
}
