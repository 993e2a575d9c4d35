//! Demand of one tenant by node, from the nodes' reports.

use crate::SHARE_RESERVATION;
use firshore_types::ids::NodeName;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Age from which a node's report is stale. Nodes report every 100 ms, and miss a few reports when
/// the leader changes.
const STALE_AFTER: Duration = Duration::from_millis(700);

/// Demand below which a node's entry is removed, in requests per second.
const MIN_DEMAND: f32 = 0.01;

#[derive(Clone, Copy, Debug)]
struct ReportedDemand {
    demand: f32,
    stale: f32,
    at: Instant,
}

/// Demand for one tenant by node.
#[derive(Debug, Default)]
pub(crate) struct DemandTable {
    nodes: HashMap<NodeName, ReportedDemand>,
}

/// Sums over nodes, in requests per second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct DemandSum {
    pub(crate) all: f32,
    /// Demand at nodes whose reports are stale.
    pub(crate) stale: f32,
}

impl DemandTable {
    pub(crate) fn record(&mut self, now: Instant, node: &NodeName, demand: f32, stale: f32) {
        if demand < MIN_DEMAND {
            self.nodes.remove(node);
            return;
        }
        let reported = ReportedDemand {
            demand,
            stale,
            at: now,
        };
        self.nodes.insert(node.clone(), reported);
    }

    pub(crate) fn remove_expired(&mut self, now: Instant) {
        self.nodes
            .retain(|_, reported| now.saturating_duration_since(reported.at) < SHARE_RESERVATION);
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }

    pub(crate) fn sum(&self, now: Instant) -> DemandSum {
        let mut sum = DemandSum::default();
        for reported in self.nodes.values() {
            sum.all += reported.demand;
            let stale = now.saturating_duration_since(reported.at) > STALE_AFTER;
            sum.stale += match stale {
                true => reported.demand,
                false => reported.stale,
            };
        }
        sum
    }
}
