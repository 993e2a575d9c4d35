//! Detects parts of prompts that crash back ends: requests that have nothing else in common are lost at exit after exit.
//!
//! The parts that all requests share are at these exits, too, as are those of whatever else ran there. A part is cleared
//! as soon as any run with it gets past its first event, and of the others the one that explains the exits most narrowly
//! is quarantined.

use crate::exit_list::ExitList;
use crate::fingerprint::{PartFingerprint, RequestFingerprint};
use crate::suspect::Suspect;
use crate::table::{BackendExit, Suspicion};
use firshore_adapter::incarnation::Incarnation;
use std::collections::{BTreeMap, BTreeSet};

/// Distinct requests that must have been lost with a part. Fewer are suspected as whole requests only.
const MIN_REQUESTS: usize = 3;

/// Exits that a part must explain beyond those of one a place further back in the prompt, which fewer requests share.
const EXITS_PER_PLACE: usize = 2;

/// Result of an evaluation: suspected parts, and the exits that are attributed to each quarantined one.
pub(crate) struct PartFindings {
    pub(crate) suspects: BTreeMap<Suspect, Suspicion>,
    pub(crate) quarantined: BTreeMap<PartFingerprint, Vec<usize>>,
}

/// Exits at which runs with one part were lost before their first event.
#[derive(Default)]
struct PartExits {
    /// Positions in the [`ExitList`].
    exits: Vec<usize>,
    /// The requests that were lost there.
    requests: BTreeSet<RequestFingerprint>,
    /// Place of the part in their prompts, the furthest one.
    place: usize,
}

impl PartExits {
    fn add(&mut self, exit: usize, request: RequestFingerprint, place: usize) {
        if self.exits.last() != Some(&exit) {
            self.exits.push(exit);
        }
        self.requests.insert(request);
        self.place = self.place.max(place);
    }
}

/// Evaluates the parts of all lost runs. `by_request` holds the exits of `list` that are attributed to requests: they count
/// for the parts of these requests only.
pub(crate) fn evaluate(
    sorted: &[(&Incarnation, &BackendExit)],
    list: &ExitList<'_>,
    by_request: &BTreeMap<RequestFingerprint, Vec<usize>>,
    is_cleared: impl Fn(&Suspect) -> bool,
) -> PartFindings {
    let mut causes: Vec<Option<RequestFingerprint>> = vec![None; sorted.len()];
    for (request, exits) in by_request {
        exits.iter().for_each(|idx| causes[*idx] = Some(*request));
    }
    let by_part = exits_by_part(sorted, &causes, is_cleared);
    let suspicion = |found: &PartExits| Suspicion {
        exits: found.exits.len(),
        occasions: list.occasions(&found.exits),
    };
    let suspects = by_part.iter();
    let suspects = suspects.map(|(part, found)| (Suspect::from(part), suspicion(found)));
    PartFindings {
        suspects: suspects.collect(),
        quarantined: attribute_to_parts(&by_part, list.clone()),
    }
}

fn exits_by_part(
    sorted: &[(&Incarnation, &BackendExit)],
    causes: &[Option<RequestFingerprint>],
    is_cleared: impl Fn(&Suspect) -> bool,
) -> BTreeMap<PartFingerprint, PartExits> {
    let mut by_part: BTreeMap<PartFingerprint, PartExits> = BTreeMap::new();
    for (idx, (_, exit)) in sorted.iter().enumerate() {
        for (request, run) in &exit.lost {
            if causes[idx].is_some_and(|cause| cause != *request) {
                continue;
            }
            for (place, part) in run.parts.iter().enumerate() {
                if !is_cleared(&part.into()) {
                    by_part.entry(*part).or_default().add(idx, *request, place);
                }
            }
        }
    }
    by_part
}

fn attribute_to_parts(
    by_part: &BTreeMap<PartFingerprint, PartExits>,
    mut list: ExitList<'_>,
) -> BTreeMap<PartFingerprint, Vec<usize>> {
    let mut quarantined = BTreeMap::new();
    let mut explained = BTreeSet::new();
    while let Some((part, open)) = narrowest_suspect(by_part, &list, &explained) {
        list.attribute(&open);
        explained.extend(open.iter().copied());
        quarantined.insert(part, open);
    }
    quarantined
}

/// Returns the part with sufficient evidence that explains the most exits, with an advantage for places further back,
/// and these exits.
fn narrowest_suspect(
    by_part: &BTreeMap<PartFingerprint, PartExits>,
    list: &ExitList<'_>,
    explained: &BTreeSet<usize>,
) -> Option<(PartFingerprint, Vec<usize>)> {
    let enough_requests = by_part
        .iter()
        .filter(|(_, found)| found.requests.len() >= MIN_REQUESTS);
    let open = enough_requests.map(|(part, found)| {
        let open = found.exits.iter().filter(|idx| !explained.contains(idx));
        (part, found, open.copied().collect::<Vec<usize>>())
    });
    let sufficient = open.filter(|(_, found, open)| list.is_sufficient(open, &found.exits));
    let narrowest = sufficient
        .max_by_key(|(_, found, open)| (open.len() + found.place * EXITS_PER_PLACE, found.place));
    narrowest.map(|(part, _, open)| (*part, open))
}
