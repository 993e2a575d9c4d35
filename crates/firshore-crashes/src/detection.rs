//! Detects which requests crash back ends.
//!
//! All requests of a back end are lost when it exits, so a single exit is weak evidence against each of them. A
//! request is quarantined when it was lost at several exits at different times, none of its runs got past the
//! point of these exits, and back ends don't exit as often without it.

use crate::exit_list::{ExitList, MIN_EXITS};
use crate::fingerprint::RequestFingerprint;
use crate::part_detection;
use crate::suspect::Suspect;
use crate::table::{BackendExit, Quarantine, Suspicion};
use firshore_adapter::incarnation::Incarnation;
use std::collections::{BTreeMap, HashMap};

/// Response bytes by which one run must exceed another to count as having got past that run's exit. The last
/// bytes sent before an exit may be lost with the connection.
const PROGRESS_MARGIN_BYTES: u64 = 256;

/// Result of an evaluation.
pub(crate) struct Findings {
    pub(crate) suspects: BTreeMap<Suspect, Suspicion>,
    pub(crate) quarantined: BTreeMap<Suspect, Quarantine>,
}

/// Exits at which one request was lost, as positions in the [`ExitList`].
struct RequestExits {
    /// All exits.
    all: Vec<usize>,
    /// Exits that no other run of the request got past.
    furthest: Vec<usize>,
}

/// Exits that are attributed to each quarantined request.
type AttributedExits = BTreeMap<RequestFingerprint, Vec<usize>>;

/// Evaluates all requests that were lost at exits, and the parts of their prompts. What `is_cleared` is not suspected.
pub(crate) fn evaluate(
    exits: &HashMap<Incarnation, BackendExit>,
    is_cleared: impl Fn(&Suspect) -> bool,
) -> Findings {
    let mut sorted: Vec<(&Incarnation, &BackendExit)> = exits.iter().collect();
    sorted.sort_by_key(|(backend, exit)| (exit.at, *backend));
    let none_attributed = ExitList::new(&sorted);
    let by_request = exits_by_request(&sorted, &is_cleared);
    let suspicion = |exits: &RequestExits| Suspicion {
        exits: exits.furthest.len(),
        occasions: none_attributed.occasions(&exits.furthest),
    };
    let suspects = by_request.iter();
    let suspects = suspects.map(|(request, exits)| (Suspect::from(request), suspicion(exits)));
    let mut suspects: BTreeMap<Suspect, Suspicion> = suspects.collect();
    let mut list = none_attributed.clone();
    let mut requests = attribute_to_requests(&by_request, &mut list);
    let parts = part_detection::evaluate(&sorted, &list, &requests, &is_cleared);
    suspects.extend(parts.suspects);
    if !parts.quarantined.is_empty() {
        // Exits that a part explains are no evidence against the requests that were lost there.
        list = none_attributed.clone();
        parts
            .quarantined
            .values()
            .for_each(|exits| list.attribute(exits));
        requests = attribute_to_requests(&by_request, &mut list);
    }
    let requests = requests.iter();
    let requests = requests.map(|(request, exits)| (Suspect::from(request), exits));
    let parts = parts.quarantined.iter();
    let parts = parts.map(|(part, exits)| (Suspect::from(part), exits));
    let quarantined = requests.chain(parts);
    Findings {
        suspects,
        quarantined: quarantined
            .map(|(suspect, exits)| (suspect, none_attributed.quarantine(exits)))
            .collect(),
    }
}

/// Attributes exits to the requests with sufficient evidence, and returns them. Exits attributed to one request are no
/// evidence against the others that were lost there.
fn attribute_to_requests(
    by_request: &BTreeMap<RequestFingerprint, RequestExits>,
    list: &mut ExitList<'_>,
) -> AttributedExits {
    let mut attributed = AttributedExits::new();
    while let Some((request, found)) = strongest_suspect(by_request, list, &attributed) {
        list.attribute(&found);
        attributed.insert(request, found);
    }
    attributed
}

fn exits_by_request(
    sorted: &[(&Incarnation, &BackendExit)],
    is_cleared: impl Fn(&Suspect) -> bool,
) -> BTreeMap<RequestFingerprint, RequestExits> {
    let mut reached: BTreeMap<RequestFingerprint, Vec<(usize, u64)>> = BTreeMap::new();
    for (idx, (_, exit)) in sorted.iter().enumerate() {
        for (fingerprint, run) in &exit.lost {
            if !is_cleared(&fingerprint.into()) {
                let runs = reached.entry(*fingerprint).or_default();
                runs.push((idx, run.reached));
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
    attributed: &AttributedExits,
) -> Option<(RequestFingerprint, Vec<usize>)> {
    let mut most: Option<(RequestFingerprint, Vec<usize>)> = None;
    for (fingerprint, exits) in by_request
        .iter()
        .filter(|(_, exits)| exits.furthest.len() >= MIN_EXITS)
        .filter(|(fingerprint, _)| !attributed.contains_key(fingerprint))
    {
        let open = list.open(&exits.furthest);
        let most_exits = most.as_ref().map_or(0, |(_, found)| found.len());
        if open.len() > most_exits && list.is_sufficient(&open, &exits.all) {
            most = Some((*fingerprint, open));
        }
    }
    most
}
