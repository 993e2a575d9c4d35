//! Per-tenant limits of rate and concurrency, shared among nodes: a node's part.
//!
//! A node admits from its share of the limit without asking anyone. Shares come as grants from the
//! tenant's allocator ([`crate::allocator`]), a node that all agree on, in answer to the demand
//! that the node reports. Without a valid grant a node falls back to an equal split among all
//! nodes; a tenant that the node has just met may use the whole limit until the first answer.

use firshore_types::declaration::Limits;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use xxhash_rust::xxh3::Xxh3;

/// Time between two reports of demand, in milliseconds.
pub const EXCHANGE_MILLISECONDS: u64 = 1_000;

/// Time for which a tenant just met may use the whole limit before its first grant, in
/// milliseconds.
pub const FIRST_CONTACT_MILLISECONDS: u64 = 250;

/// Time for which a grant is valid, counted from when its demand was reported, in milliseconds.
pub const GRANT_MILLISECONDS: u64 = 3_000;

/// Unused rate that may be saved up, in milliseconds of the share.
pub const BURST_MILLISECONDS: f32 = 1_000.0;

/// Time without requests after which a tenant's state is dropped, in milliseconds.
pub const IDLE_MILLISECONDS: u64 = 30_000;

/// Least number of requests that may be saved up. With one only, a node whose share is less than a
/// request a second loses a quarter of it to the chance of arrivals.
pub const LEAST_BURST: f32 = 2.0;

/// Weight of the latest interval in the demand, as long as it differs by chance only.
const DEMAND_WEIGHT: f32 = 0.2;

/// Standard deviations of a Poisson count beyond which a difference is no chance.
const DEMAND_DEVIATIONS: f32 = 3.0;

/// A tenant under certain limits, by hash, as tables and messages hold it. Policies may limit a
/// tenant differently at different services; each such limit is counted on its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TenantKey(pub u64);

impl TenantKey {
    /// The key of the tenant called `name` under `limits`.
    pub fn of(name: &str, limits: &Limits) -> Self {
        let rate = limits.requests_per_second.unwrap_or(-1.0);
        let concurrent = limits.concurrent_requests.map_or(-1, i64::from);
        let mut hasher = Xxh3::new();
        hasher.update(&rate.to_le_bytes());
        hasher.update(&concurrent.to_le_bytes());
        hasher.update(name.as_bytes());
        Self(hasher.digest())
    }
}

/// An amount of both limited things.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Share {
    /// Requests a second.
    #[serde(rename = "r")]
    pub rate: f32,
    /// Requests at once.
    #[serde(rename = "c")]
    pub concurrent: u32,
}

/// What a node tells a tenant's allocator.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// Tenant.
    #[serde(rename = "t")]
    pub tenant: TenantKey,
    /// The tenant's limits over the whole cluster.
    #[serde(rename = "l")]
    pub limits: Limits,
    /// What the tenant asked of this node, refused requests included.
    #[serde(rename = "w")]
    pub wanted: Share,
    /// The grant that the node holds.
    #[serde(rename = "h")]
    pub held: Share,
}

/// A share that an allocator gives in answer.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// Tenant.
    #[serde(rename = "t")]
    pub tenant: TenantKey,
    /// What the node may admit.
    #[serde(rename = "s")]
    pub share: Share,
}

/// Why a request is not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denied {
    /// The rate is used up for about this many milliseconds.
    Rate(u64),
    /// Too many requests at once.
    Concurrency,
}

#[derive(Clone, Copy, Debug)]
struct TenantState {
    limits: Limits,
    tokens: f32,
    refilled_at: u64,
    seen_at: u64,
    met_at: u64,
    grant: Share,
    granted_until: u64,
    demand: f32,
    arrivals: u32,
    running: u32,
    peak: u32,
    refused_at_once: u32,
}

/// A node's admission against its shares.
#[derive(Debug, Default)]
pub struct TenantLimiter {
    tenants: HashMap<TenantKey, TenantState>,
    nodes: u32,
}

impl TenantState {
    fn new(now: u64, limits: Limits) -> Self {
        Self {
            limits,
            tokens: f32::MAX,
            refilled_at: now,
            seen_at: now,
            met_at: now,
            grant: Share::default(),
            granted_until: 0,
            demand: 0.0,
            arrivals: 0,
            running: 0,
            peak: 0,
            refused_at_once: 0,
        }
    }

    fn rate(&self, now: u64, limit: f32, nodes: u32) -> f32 {
        if now < self.granted_until {
            self.grant.rate
        } else if now < self.met_at + FIRST_CONTACT_MILLISECONDS {
            limit
        } else {
            limit / nodes as f32
        }
    }

    fn concurrent(&self, now: u64, limit: u32, nodes: u32) -> u32 {
        if now < self.granted_until {
            self.grant.concurrent
        } else if now < self.met_at + FIRST_CONTACT_MILLISECONDS {
            limit
        } else {
            limit / nodes
        }
    }

    fn refill(&mut self, now: u64, rate: f32) {
        let earned = rate * now.saturating_sub(self.refilled_at) as f32 / 1_000.0;
        let most = (rate * BURST_MILLISECONDS / 1_000.0).max(LEAST_BURST);
        self.tokens = (self.tokens + earned).min(most);
        self.refilled_at = now;
    }
}

impl TenantLimiter {
    /// Sets the number of nodes that are alive, for the equal split.
    pub fn set_nodes(&mut self, nodes: u32) {
        self.nodes = nodes;
    }

    /// Tenants with state.
    pub fn len(&self) -> usize {
        self.tenants.len()
    }

    /// Whether no tenant has state.
    pub fn is_empty(&self) -> bool {
        self.tenants.is_empty()
    }

    /// Admits a request at `now` (milliseconds) or says why not. Each admitted request must be
    /// [`released`](Self::released) when it ends.
    pub fn admit(&mut self, now: u64, tenant: TenantKey, limits: &Limits) -> Result<(), Denied> {
        let nodes = self.nodes.max(1);
        let state = self.tenants.entry(tenant);
        let state = state.or_insert_with(|| TenantState::new(now, *limits));
        state.seen_at = now;
        state.arrivals = state.arrivals.saturating_add(1);
        if let Some(limit) = limits.concurrent_requests
            && state.running >= state.concurrent(now, limit, nodes)
        {
            state.refused_at_once = state.refused_at_once.saturating_add(1);
            return Err(Denied::Concurrency);
        }
        if let Some(limit) = limits.requests_per_second {
            let rate = state.rate(now, limit as f32, nodes);
            state.refill(now, rate);
            if state.tokens < 1.0 {
                let wait = (1.0 - state.tokens) / rate.max(0.01) * 1_000.0;
                return Err(Denied::Rate(wait.ceil() as u64));
            }
            state.tokens -= 1.0;
        }
        state.running += 1;
        state.peak = state.peak.max(state.running);
        Ok(())
    }

    /// Counts an admitted request as ended.
    pub fn released(&mut self, tenant: TenantKey) {
        if let Some(state) = self.tenants.get_mut(&tenant) {
            state.running = state.running.saturating_sub(1);
        }
    }

    /// The demand to report at `now`, once every [`EXCHANGE_MILLISECONDS`]; drops idle tenants.
    pub fn demands(&mut self, now: u64) -> Vec<Demand> {
        self.tenants
            .retain(|_, state| state.running > 0 || now < state.seen_at + IDLE_MILLISECONDS);
        let mut demands = Vec::new();
        for (tenant, state) in &mut self.tenants {
            let arrived = state.arrivals as f32 * 1_000.0 / EXCHANGE_MILLISECONDS as f32;
            let chance = DEMAND_DEVIATIONS * state.demand.max(1.0).sqrt();
            if (arrived - state.demand).abs() > chance {
                state.demand = arrived;
            } else {
                state.demand += DEMAND_WEIGHT * (arrived - state.demand);
            }
            let wanted = Share {
                rate: state.demand,
                concurrent: state.peak + state.refused_at_once,
            };
            state.arrivals = 0;
            state.peak = state.running;
            state.refused_at_once = 0;
            let valid = now < state.granted_until;
            if wanted.rate > 0.01 || wanted.concurrent > 0 {
                demands.push(Demand {
                    tenant: *tenant,
                    limits: state.limits,
                    wanted,
                    held: if valid { state.grant } else { Share::default() },
                });
            }
        }
        demands
    }

    /// Demand of tenants met within the last exchange that hold no grant, to be reported at once.
    pub fn first_demands(&mut self, now: u64) -> Vec<Demand> {
        let fresh = |state: &TenantState| {
            state.granted_until == 0 && now < state.met_at + FIRST_CONTACT_MILLISECONDS
        };
        let states = self.tenants.iter().filter(|(_, state)| fresh(state));
        states
            .map(|(tenant, state)| {
                let elapsed = now.saturating_sub(state.met_at).max(50) as f32;
                Demand {
                    tenant: *tenant,
                    limits: state.limits,
                    wanted: Share {
                        rate: state.arrivals as f32 * 1_000.0 / elapsed,
                        concurrent: state.peak + state.refused_at_once,
                    },
                    held: Share::default(),
                }
            })
            .collect()
    }

    /// Takes in a grant that answers a demand reported at `reported_at`.
    pub fn granted(&mut self, reported_at: u64, tenant: TenantKey, grant: Share) {
        let Some(state) = self.tenants.get_mut(&tenant) else {
            return;
        };
        let until = reported_at + GRANT_MILLISECONDS;
        if until >= state.granted_until {
            state.granted_until = until;
            state.grant = grant;
        }
    }
}
