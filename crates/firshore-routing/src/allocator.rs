//! Divides each tenant's limits among the nodes that ask, by demand: the part of the one node that
//! all agree on for the tenant.
//!
//! The shares handed out and not yet lapsed never add up to more than the limit: a node whose
//! demand grows gets its larger share when the others have given theirs back or let them lapse. A
//! small part of the limit stays apart as an equal split for nodes that have not asked yet.

use crate::limits::{Demand, GRANT_MILLISECONDS, Share, TenantKey};
use firshore_types::declaration::Limits;
use firshore_types::ids::InstanceId;
use std::collections::HashMap;

/// Part of a limit that is divided equally instead of by demand.
pub const EQUAL_PART: f32 = 0.05;

/// Time after the first word of a tenant whose nodes hold another allocator's grants, in
/// milliseconds, in which no share grows: until then not all such grants are known.
pub const TAKEOVER_MILLISECONDS: u64 = GRANT_MILLISECONDS;

#[derive(Clone, Copy, Debug)]
struct NodeShare {
    wanted: Share,
    granted: Share,
    until: u64,
}

#[derive(Debug, Default)]
struct TenantShares {
    nodes: HashMap<InstanceId, NodeShare>,
    takeover_until: u64,
}

/// Shares handed out for the tenants that this node answers for.
#[derive(Debug, Default)]
pub struct LimitAllocator {
    tenants: HashMap<TenantKey, TenantShares>,
}

impl LimitAllocator {
    /// Answers a demand of `node` at `now` (milliseconds); `alive` is the number of nodes alive.
    pub fn grant(&mut self, now: u64, node: InstanceId, demand: Demand, alive: u32) -> Share {
        let holds = demand.held != Share::default();
        let unknown = !self.tenants.contains_key(&demand.tenant);
        let shares = self.tenants.entry(demand.tenant).or_default();
        if unknown && holds {
            shares.takeover_until = now + TAKEOVER_MILLISECONDS;
        }
        shares.nodes.retain(|_, share| now < share.until);
        let held = shares
            .nodes
            .get(&node)
            .map_or(demand.held, |share| share.granted);
        let mut share = NodeShare {
            wanted: demand.wanted,
            granted: held,
            until: now + GRANT_MILLISECONDS,
        };
        shares.nodes.insert(node, share);
        share.granted = shares.divide(node, &demand.limits, alive.max(1));
        if now < shares.takeover_until {
            share.granted.rate = share.granted.rate.min(held.rate);
            share.granted.concurrent = share.granted.concurrent.min(held.concurrent);
        }
        shares.nodes.insert(node, share);
        share.granted
    }

    /// Drops tenants of which nothing was heard for as long as a grant lasts.
    pub fn expire(&mut self, now: u64) {
        self.tenants.retain(|_, shares| {
            shares.nodes.retain(|_, share| now < share.until);
            !shares.nodes.is_empty()
        });
    }
}

impl TenantShares {
    fn divide(&self, node: InstanceId, limits: &Limits, alive: u32) -> Share {
        let rate = limits.requests_per_second.unwrap_or(f64::MAX) as f32;
        let concurrent = limits.concurrent_requests.unwrap_or(u32::MAX);
        Share {
            rate: self.divide_rate(node, rate, alive),
            concurrent: self.divide_concurrent(node, concurrent, alive),
        }
    }

    fn others(&self, node: InstanceId) -> impl Iterator<Item = &NodeShare> {
        self.nodes
            .iter()
            .filter(move |(other, _)| **other != node)
            .map(|(_, share)| share)
    }

    fn divide_rate(&self, node: InstanceId, limit: f32, alive: u32) -> f32 {
        let equal = limit * EQUAL_PART / alive as f32;
        let divisible = limit * (1.0 - EQUAL_PART);
        let total: f32 = self.nodes.values().map(|share| share.wanted.rate).sum();
        let own = self.nodes[&node].wanted.rate;
        let target = divisible * own / total.max(f32::MIN_POSITIVE);
        let given: f32 = self
            .others(node)
            .map(|share| (share.granted.rate - equal).max(0.0))
            .sum();
        equal + target.min((divisible - given).max(0.0))
    }

    fn divide_concurrent(&self, node: InstanceId, limit: u32, alive: u32) -> u32 {
        let equal = (limit as f32 * EQUAL_PART / alive as f32) as u32;
        let divisible = limit - equal * alive.min(limit);
        let total: u64 = self
            .nodes
            .values()
            .map(|share| u64::from(share.wanted.concurrent))
            .sum();
        let own = u64::from(self.nodes[&node].wanted.concurrent);
        let target = (u64::from(divisible) * own).div_ceil(total.max(1));
        let given: u64 = self
            .others(node)
            .map(|share| u64::from(share.granted.concurrent.saturating_sub(equal)))
            .sum();
        let left = u64::from(divisible).saturating_sub(given);
        equal + target.min(left) as u32
    }
}
