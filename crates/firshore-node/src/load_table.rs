//! Requests in flight at back ends, as recently reported by all nodes that serve callers. No I/O.
//!
//! The node that runs batch items keeps this table: it avoids the slots that online requests use, and sends each
//! node the counts of the others, so that all nodes balance load with the same view.
//!
//! Counts are keyed by the back end's name, not its incarnation. A node that has not observed a restart yet
//! may count requests of the former process; the bound on propagating back ends limits that error.

use crate::pace_table::BackendPace;
use firshore_adapter::incarnation::BackendName;
use firshore_gateway::pressure::ServicePressure;
use firshore_limits::report::UsageReport;
use firshore_types::ids::NodeName;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

/// Age at which a node's report expires.
const REPORT_LIFETIME: Duration = Duration::from_millis(1_500);

/// Number of requests in flight at one back end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendCount {
    /// Name of the back end.
    #[serde(rename = "b")]
    pub backend: String,
    /// Requests in flight.
    #[serde(rename = "n")]
    pub count: u32,
}

/// Report of a node that serves callers.
#[derive(Clone, Debug, Default)]
pub struct NodeLoadReport {
    /// Requests in flight at back ends.
    pub counts: Vec<BackendCount>,
    /// Whether requests found no free slot since the last report.
    pub urgent: bool,
    /// Pressure of online requests on services since the last report.
    pub pressures: Vec<ServicePressure>,
    /// Use of tenants' limits; `None` if no tenant has a limit.
    pub uses: Option<UsageReport>,
    /// Paces that back ends reported since the last report.
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

struct NodeCounts {
    counts: HashMap<BackendName, u32>,
    received_at: Instant,
}

/// Counts reported by each node, and their sums. The sums are updated incrementally, since many nodes query them
/// several times per second.
#[derive(Default)]
pub struct LoadTable {
    nodes: HashMap<NodeName, NodeCounts>,
    /// Nodes by the time of their last report: those that expire are found without visiting the others.
    by_report: BTreeSet<(Instant, NodeName)>,
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
    /// Replaces the counts of a node.
    pub fn record(&mut self, now: Instant, node: NodeName, counts: Vec<BackendCount>) {
        self.remove_expired(now);
        let counts: HashMap<BackendName, u32> = counts
            .into_iter()
            .map(|entry| (BackendName::from(entry.backend), entry.count))
            .collect();
        for (backend, count) in &counts {
            match self.sums.get_mut(backend) {
                Some(sum) => *sum += count,
                None => {
                    self.sums.insert(backend.clone(), *count);
                }
            }
        }
        let reported = NodeCounts {
            counts,
            received_at: now,
        };
        self.by_report.insert((now, node.clone()));
        if let Some(previous) = self.nodes.insert(node.clone(), reported) {
            subtract(&mut self.sums, &previous.counts);
            if previous.received_at != now {
                self.by_report.remove(&(previous.received_at, node));
            }
        }
    }

    /// Removes expired reports.
    pub fn remove_expired(&mut self, now: Instant) {
        while let Some((received_at, _)) = self.by_report.first()
            && now.saturating_duration_since(*received_at) >= REPORT_LIFETIME
            && let Some((_, node)) = self.by_report.pop_first()
        {
            if let Some(reported) = self.nodes.remove(&node) {
                subtract(&mut self.sums, &reported.counts);
            }
        }
    }

    /// Returns the sums over all nodes, as of the last change.
    pub fn sums(&self) -> &HashMap<BackendName, u32> {
        &self.sums
    }

    /// Returns the sums over all nodes except `node`.
    pub fn others(&self, node: &NodeName) -> HashMap<BackendName, u32> {
        let mut others = self.sums.clone();
        if let Some(reported) = self.nodes.get(node) {
            subtract(&mut others, &reported.counts);
        }
        others
    }

    /// Returns the number of nodes with a report that has not expired.
    pub fn nodes(&self) -> usize {
        self.nodes.len()
    }
}

/// Converts sums into their wire form, without idle back ends.
pub fn as_counts(sums: impl IntoIterator<Item = (BackendName, u32)>) -> Vec<BackendCount> {
    let busy = sums.into_iter().filter(|(_, count)| *count > 0);
    busy.map(|(backend, count)| BackendCount {
        backend: backend.as_str().to_owned(),
        count,
    })
    .collect()
}
