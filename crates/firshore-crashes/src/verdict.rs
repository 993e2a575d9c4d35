//! Judges which requests crash back ends.
//!
//! A back end that ended takes all its requests along, so one end says little of any of them. What tells a
//! request that crashes back ends from the others is that it was at several that ended, one after the other,
//! that no run of it got further than those before, and that back ends do not end as often without it.

use crate::print::RequestPrint;
use crate::table::{EndedBackend, Verdict};
use firshore_adapter::backend::Incarnation;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::{Duration, Instant};

/// Back ends that must have ended under a request, and occasions on which some did.
const ENDS: usize = 3;

/// Back ends that must have ended under it where more end without it: they crash for reasons of their own,
/// so that one that is lost three times may be so by chance.
const ENDS_IN_DOUBT: usize = 5;

/// Ends within this time are one occasion: several back ends may lose their power at the same moment, and
/// many copies of a popular request with it.
const OCCASION: Duration = Duration::from_millis(500);

/// Time before the first and after the last end under a request within which ends without it raise doubt.
const DOUBT_SPAN: Duration = Duration::from_secs(15);

/// Bytes of an answer by which a run is further than another one, so that the other's end did not come of
/// the request alone: what was sent last may be lost with the connection.
const FURTHER: u64 = 256;

/// What comes of judging.
pub(crate) struct Judgement {
    pub(crate) suspects: BTreeMap<RequestPrint, usize>,
    pub(crate) verdicts: BTreeMap<RequestPrint, Verdict>,
}

/// An end of a back end under a request.
#[derive(Clone, Copy)]
struct EndUnder<'a> {
    backend: &'a Incarnation,
    at: Instant,
    reached: u64,
}

/// Judges all requests that were lost at back ends that ended. Those that have run to a good end are not
/// suspected.
pub(crate) fn judge(
    ends: &HashMap<Incarnation, EndedBackend>,
    completed: impl Fn(&RequestPrint) -> bool,
) -> Judgement {
    let mut under = ends_by_request(ends, completed);
    for ends in under.values_mut() {
        keep_furthest(ends);
    }
    let suspects = under.iter().map(|(print, ends)| (*print, ends.len()));
    let suspects = suspects.collect();
    let mut verdicts = BTreeMap::new();
    let mut explained: BTreeSet<&Incarnation> = BTreeSet::new();
    // Each verdict explains ends, which then say nothing of the other requests that were lost there.
    while let Some((print, found)) = most_suspect(&under, ends, &explained) {
        explained.extend(found.iter().map(|end| end.backend));
        let last_end = found.iter().map(|end| end.at).max();
        let last_end = last_end.expect("a verdict rests on ends");
        let backends = found.iter().map(|end| end.backend.clone()).collect();
        verdicts.insert(print, Verdict { backends, last_end });
        under.remove(&print);
    }
    Judgement { suspects, verdicts }
}

fn ends_by_request(
    ends: &HashMap<Incarnation, EndedBackend>,
    completed: impl Fn(&RequestPrint) -> bool,
) -> BTreeMap<RequestPrint, Vec<EndUnder<'_>>> {
    let mut under: BTreeMap<RequestPrint, Vec<EndUnder<'_>>> = BTreeMap::new();
    for (backend, end) in ends {
        for (print, reached) in &end.lost {
            if !completed(print) {
                under.entry(*print).or_default().push(EndUnder {
                    backend,
                    at: end.at,
                    reached: *reached,
                });
            }
        }
    }
    for ends in under.values_mut() {
        ends.sort_by_key(|end| (end.at, end.backend));
    }
    under
}

/// Drops the ends beyond which another run of the same request got.
fn keep_furthest(ends: &mut Vec<EndUnder<'_>>) {
    let furthest = ends.iter().map(|end| end.reached).max().unwrap_or(0);
    ends.retain(|end| end.reached + FURTHER >= furthest);
}

/// The request that is to be condemned next, with the ends that no other verdict explains.
fn most_suspect<'a>(
    under: &BTreeMap<RequestPrint, Vec<EndUnder<'a>>>,
    ends: &HashMap<Incarnation, EndedBackend>,
    explained: &BTreeSet<&'a Incarnation>,
) -> Option<(RequestPrint, Vec<EndUnder<'a>>)> {
    let mut most: Option<(RequestPrint, Vec<EndUnder<'a>>)> = None;
    for (print, all) in under {
        let open = all.iter().filter(|end| !explained.contains(end.backend));
        let open: Vec<EndUnder<'a>> = open.copied().collect();
        let known = most.as_ref().map_or(0, |(_, found)| found.len());
        if open.len() > known && is_enough(print, &open, ends, explained) {
            most = Some((*print, open));
        }
    }
    most
}

fn is_enough(
    print: &RequestPrint,
    open: &[EndUnder<'_>],
    ends: &HashMap<Incarnation, EndedBackend>,
    explained: &BTreeSet<&Incarnation>,
) -> bool {
    if open.len() < ENDS || occasions(open) < ENDS {
        return false;
    }
    let (first, last) = (open[0].at, open[open.len() - 1].at);
    let is_near = |at: Instant| {
        first.saturating_duration_since(at) <= DOUBT_SPAN
            && at.saturating_duration_since(last) <= DOUBT_SPAN
    };
    let without = ends.iter().filter(|(backend, end)| {
        is_near(end.at) && !explained.contains(backend) && !end.lost.contains_key(print)
    });
    let is_doubtful = without.count() > open.len();
    !is_doubtful || open.len() >= ENDS_IN_DOUBT
}

/// Counts occasions in ends that are in order of time.
fn occasions(ends: &[EndUnder<'_>]) -> usize {
    let mut count = 0;
    let mut begun: Option<Instant> = None;
    for end in ends {
        let is_same = begun.is_some_and(|begun| end.at.duration_since(begun) < OCCASION);
        if !is_same {
            begun = Some(end.at);
            count += 1;
        }
    }
    count
}
