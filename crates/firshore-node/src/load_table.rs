//! Requests under way at back ends, as all nodes that serve callers told a moment ago. No I/O.
//!
//! Kept by the node that runs batch items: it leaves alone what online requests use, and tells each
//! node what the others have under way, so that all balance with the same picture.
//!
//! Counts go by the name of a back end: a node counts what its present process runs, and one that has not
//! heard of its next start yet, which the bound on back ends limits, costs less than the start in each count.

use crate::pace_table::BackendPace;
use firshore_adapter::incarnation::BackendName;
use firshore_gateway::pressure::ServicePressure;
use firshore_limits::report::UsageReport;
use firshore_types::ids::NodeName;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Age at which what a node told counts for nothing.
const LIFETIME: Duration = Duration::from_millis(1_500);

/// Requests under way at one back end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendCount {
    /// Back end.
    #[serde(rename = "b")]
    pub backend: String,
    /// Requests.
    #[serde(rename = "n")]
    pub count: u32,
}

/// What a node tells of itself.
#[derive(Clone, Debug, Default)]
pub struct NodeLoadReport {
    /// Requests under way at back ends.
    pub counts: Vec<BackendCount>,
    /// Whether requests have found no free slot.
    pub urgent: bool,
    /// How online requests pressed on services since it was told last.
    pub pressures: Vec<ServicePressure>,
    /// What tenants have asked; `None` where none has a limit.
    pub uses: Option<UsageReport>,
    /// What back ends told of their pace since the node told last.
    pub paces: Vec<BackendPace>,
}

impl From<Vec<BackendCount>> for NodeLoadReport {
    fn from(counts: Vec<BackendCount>) -> Self {
        Self {
            counts,
            ..Self::default()
        }
    }
}

struct Told {
    counts: HashMap<BackendName, u32>,
    at: Instant,
}

/// What nodes told, and its sum, which is kept up to date rather than made anew: each of many nodes
/// asks for it some times a second.
#[derive(Default)]
pub struct LoadTable {
    nodes: HashMap<NodeName, Told>,
    sums: HashMap<BackendName, u32>,
}

fn subtract(sums: &mut HashMap<BackendName, u32>, counts: &HashMap<BackendName, u32>) {
    for (backend, count) in counts {
        if let Some(sum) = sums.get_mut(backend) {
            *sum = sum.saturating_sub(*count);
            if *sum == 0 {
                sums.remove(backend);
            }
        }
    }
}

impl LoadTable {
    /// Takes in what a node has under way.
    pub fn record(&mut self, now: Instant, node: NodeName, counts: Vec<BackendCount>) {
        self.forget_old(now);
        let counts: HashMap<BackendName, u32> = counts
            .into_iter()
            .map(|one| (BackendName::from(one.backend), one.count))
            .collect();
        for (backend, count) in &counts {
            match self.sums.get_mut(backend) {
                Some(sum) => *sum += count,
                None => {
                    self.sums.insert(backend.clone(), *count);
                }
            }
        }
        if let Some(before) = self.nodes.insert(node, Told { counts, at: now }) {
            subtract(&mut self.sums, &before.counts);
        }
    }

    /// Forgets what was told too long ago.
    pub fn forget_old(&mut self, now: Instant) {
        let sums = &mut self.sums;
        self.nodes.retain(|_, told| {
            let fresh = now.saturating_duration_since(told.at) < LIFETIME;
            if !fresh {
                subtract(sums, &told.counts);
            }
            fresh
        });
    }

    /// Sums over all nodes, as of the last call that changed anything.
    pub fn sums(&self) -> &HashMap<BackendName, u32> {
        &self.sums
    }

    /// Sums over all nodes but one.
    pub fn others(&self, node: &NodeName) -> HashMap<BackendName, u32> {
        let mut others = self.sums.clone();
        if let Some(told) = self.nodes.get(node) {
            subtract(&mut others, &told.counts);
        }
        others
    }

    /// Number of nodes that told a moment ago.
    pub fn nodes(&self) -> usize {
        self.nodes.len()
    }
}

/// Counts as they travel, those of idle back ends left out.
pub fn as_counts(sums: impl IntoIterator<Item = (BackendName, u32)>) -> Vec<BackendCount> {
    let busy = sums.into_iter().filter(|(_, count)| *count > 0);
    busy.map(|(backend, count)| BackendCount {
        backend: backend.as_str().to_owned(),
        count,
    })
    .collect()
}
