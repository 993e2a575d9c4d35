//! Divides each tenant's limits among the nodes in proportion to their demand. It runs on the node
//! that all nodes select as the tenant's allocator.
//!
//! The sum of the unexpired shares never exceeds the limit: a node whose demand grows gets a larger
//! share only after the other nodes have returned theirs or these have expired. A small fraction of
//! the limit is reserved and split equally, for nodes that have not reported demand yet.

use crate::limits::{GRANT_MILLISECONDS, LimitDemand, LimitShare, TenantKey};
use firshore_types::declaration::Limits;
use firshore_types::ids::InstanceId;
use std::collections::HashMap;

/// Fraction of a limit that is split equally among all nodes instead of by demand.
pub const EQUAL_FRACTION: f32 = 0.05;

/// Time in milliseconds during which no share of a tenant grows, counted from the first demand of a
/// node that holds another allocator's grant. Such grants of other nodes may not have been reported
/// before then.
pub const TAKEOVER_MILLISECONDS: u64 = GRANT_MILLISECONDS;

#[derive(Clone, Copy, Debug)]
struct NodeShare {
    wanted: LimitShare,
    granted: LimitShare,
    expires_at: u64,
}

#[derive(Debug, Default)]
struct TenantShares {
    nodes: HashMap<InstanceId, NodeShare>,
    takeover_until: u64,
}

/// The unexpired shares of the tenants for which this node is the allocator.
#[derive(Debug, Default)]
pub struct LimitAllocator {
    tenants: HashMap<TenantKey, TenantShares>,
}

impl LimitAllocator {
    /// Returns the share granted to `node` for `demand` at `now` (milliseconds), where `live_nodes`
    /// is the number of live nodes. The share is valid for [`GRANT_MILLISECONDS`].
    pub fn grant(
        &mut self,
        now: u64,
        node: InstanceId,
        demand: LimitDemand,
        live_nodes: u32,
    ) -> LimitShare {
        let has_grant = demand.held != LimitShare::default();
        let is_new = !self.tenants.contains_key(&demand.tenant);
        let shares = self.tenants.entry(demand.tenant).or_default();
        if is_new && has_grant {
            shares.takeover_until = now + TAKEOVER_MILLISECONDS;
        }
        shares.nodes.retain(|_, share| now < share.expires_at);
        let held = shares
            .nodes
            .get(&node)
            .map_or(demand.held, |share| share.granted);
        let mut share = NodeShare {
            wanted: demand.wanted,
            granted: held,
            expires_at: now + GRANT_MILLISECONDS,
        };
        shares.nodes.insert(node, share);
        share.granted = shares.divide(node, &demand.limits, live_nodes.max(1));
        if now < shares.takeover_until {
            share.granted.rate = share.granted.rate.min(held.rate);
            share.granted.concurrent = share.granted.concurrent.min(held.concurrent);
        }
        shares.nodes.insert(node, share);
        share.granted
    }

    /// Removes expired shares, and tenants without any unexpired share.
    pub fn remove_expired(&mut self, now: u64) {
        self.tenants.retain(|_, shares| {
            shares.nodes.retain(|_, share| now < share.expires_at);
            !shares.nodes.is_empty()
        });
    }
}

impl TenantShares {
    fn divide(&self, node: InstanceId, limits: &Limits, live_nodes: u32) -> LimitShare {
        let rate = limits.requests_per_second.unwrap_or(f64::MAX) as f32;
        let concurrent = limits.concurrent_requests.unwrap_or(u32::MAX);
        LimitShare {
            rate: self.divide_rate(node, rate, live_nodes),
            concurrent: self.divide_concurrent(node, concurrent, live_nodes),
        }
    }

    fn other_shares(&self, node: InstanceId) -> impl Iterator<Item = &NodeShare> {
        self.nodes
            .iter()
            .filter(move |(other, _)| **other != node)
            .map(|(_, share)| share)
    }

    fn divide_rate(&self, node: InstanceId, limit: f32, live_nodes: u32) -> f32 {
        let equal_share = limit * EQUAL_FRACTION / live_nodes as f32;
        let divisible = limit * (1.0 - EQUAL_FRACTION);
        let total: f32 = self.nodes.values().map(|share| share.wanted.rate).sum();
        let wanted = self.nodes[&node].wanted.rate;
        let target = divisible * wanted / total.max(f32::MIN_POSITIVE);
        let granted: f32 = self
            .other_shares(node)
            .map(|share| (share.granted.rate - equal_share).max(0.0))
            .sum();
        equal_share + target.min((divisible - granted).max(0.0))
    }

    fn divide_concurrent(&self, node: InstanceId, limit: u32, live_nodes: u32) -> u32 {
        let equal_share = (limit as f32 * EQUAL_FRACTION / live_nodes as f32) as u32;
        let divisible = limit - equal_share * live_nodes.min(limit);
        let total: u64 = self
            .nodes
            .values()
            .map(|share| u64::from(share.wanted.concurrent))
            .sum();
        let wanted = u64::from(self.nodes[&node].wanted.concurrent);
        let target = (u64::from(divisible) * wanted).div_ceil(total.max(1));
        let granted: u64 = self
            .other_shares(node)
            .map(|share| u64::from(share.granted.concurrent.saturating_sub(equal_share)))
            .sum();
        let remaining = u64::from(divisible).saturating_sub(granted);
        equal_share + target.min(remaining) as u32
    }
}
