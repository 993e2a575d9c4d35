//! Requests under way at back ends, as all nodes that serve callers told a moment ago. No I/O.
//!
//! Kept by the node that runs batch items: it leaves alone what online requests use, and tells each
//! node what the others have under way, so that all balance with the same picture.

use firshore_adapter::backend::Incarnation;
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

struct Told {
    counts: HashMap<Incarnation, u32>,
    at: Instant,
}

/// What nodes told.
#[derive(Default)]
pub struct LoadTable {
    nodes: HashMap<NodeName, Told>,
}

impl LoadTable {
    /// Takes in what a node has under way.
    pub fn told(&mut self, now: Instant, node: NodeName, counts: Vec<BackendCount>) {
        let counts = counts.into_iter();
        let counts = counts
            .map(|one| (Incarnation(one.backend), one.count))
            .collect();
        self.nodes.insert(node, Told { counts, at: now });
        self.nodes
            .retain(|_, told| now.saturating_duration_since(told.at) < LIFETIME);
    }

    /// Sums over all nodes but one.
    pub fn others(&self, now: Instant, except: Option<&NodeName>) -> HashMap<Incarnation, u32> {
        let mut sums: HashMap<Incarnation, u32> = HashMap::new();
        for (node, told) in &self.nodes {
            let fresh = now.saturating_duration_since(told.at) < LIFETIME;
            if !fresh || Some(node) == except {
                continue;
            }
            for (backend, count) in &told.counts {
                *sums.entry(backend.clone()).or_default() += count;
            }
        }
        sums
    }
}

/// Counts as they travel, those of idle back ends left out.
pub fn as_counts(sums: impl IntoIterator<Item = (Incarnation, u32)>) -> Vec<BackendCount> {
    let busy = sums.into_iter().filter(|(_, count)| *count > 0);
    busy.map(|(backend, count)| BackendCount {
        backend: backend.0,
        count,
    })
    .collect()
}
