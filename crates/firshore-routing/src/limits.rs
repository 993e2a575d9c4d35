//! Enforces a node's share of each tenant's rate and concurrency limits.
//!
//! A node admits requests from its share of the limit without contacting other nodes. It reports
//! its demand to the tenant's allocator ([`crate::allocator`]), a node that all nodes select alike,
//! which responds with a grant. Without a valid grant the node's share is an equal split among all
//! nodes. A tenant that is new to the node may use the whole limit for
//! [`NEW_TENANT_MILLISECONDS`], until the first grant arrives.

use firshore_types::declaration::Limits;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use xxhash_rust::xxh3::Xxh3;

/// Interval between two reports of demand, in milliseconds.
pub const REPORT_INTERVAL_MILLISECONDS: u64 = 1_000;

/// Time for which a new tenant may use the whole limit without a grant, in milliseconds.
pub const NEW_TENANT_MILLISECONDS: u64 = 250;

/// Time for which a grant is valid after its demand was reported, in milliseconds.
pub const GRANT_MILLISECONDS: u64 = 3_000;

/// Capacity of the token bucket, in milliseconds of the share's rate.
pub const BURST_MILLISECONDS: f32 = 1_000.0;

/// Time without requests after which a tenant's state is removed, in milliseconds.
pub const IDLE_MILLISECONDS: u64 = 30_000;

/// Minimum capacity of the token bucket in requests. With a capacity of one, a node whose share is
/// below one request per second would lose part of it whenever arrivals are uneven.
pub const MIN_BURST_REQUESTS: f32 = 2.0;

/// Weight of the latest interval in the demand's moving average, for differences within the noise.
const DEMAND_WEIGHT: f32 = 0.2;

/// Standard deviations of a Poisson count beyond which a difference replaces the moving average.
const DEMAND_NOISE_DEVIATIONS: f32 = 3.0;

/// Hash of a tenant's name and limits. Policies may set different limits for a tenant at different
/// services; each of these is enforced separately.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TenantKey(pub u64);

impl TenantKey {
    /// Returns the key of the tenant `name` under `limits`.
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

/// An amount of each limited quantity.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LimitShare {
    /// Requests per second.
    #[serde(rename = "r")]
    pub rate: f32,
    /// Concurrent requests.
    #[serde(rename = "c")]
    pub concurrent: u32,
}

/// A node's report to a tenant's allocator.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitDemand {
    /// The tenant and its limits.
    #[serde(rename = "t")]
    pub tenant: TenantKey,
    /// The tenant's limits for the whole cluster.
    #[serde(rename = "l")]
    pub limits: Limits,
    /// The tenant's requests at this node, including refused ones.
    #[serde(rename = "w")]
    pub wanted: LimitShare,
    /// The share of the node's valid grant, or zero.
    #[serde(rename = "h")]
    pub held: LimitShare,
}

/// An allocator's response to a [`LimitDemand`].
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitGrant {
    /// The tenant and its limits.
    #[serde(rename = "t")]
    pub tenant: TenantKey,
    /// The share that the node may admit.
    #[serde(rename = "s")]
    pub share: LimitShare,
}

/// The limit because of which a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitExceeded {
    /// The rate; the next request can be admitted after about this many milliseconds.
    Rate(u64),
    /// The number of concurrent requests.
    Concurrency,
}

#[derive(Clone, Copy, Debug)]
struct TenantState {
    limits: Limits,
    tokens: f32,
    refilled_at: u64,
    last_request_at: u64,
    created_at: u64,
    grant: LimitShare,
    grant_expires_at: u64,
    demand_rate: f32,
    arrivals: u32,
    running: u32,
    peak_running: u32,
    concurrency_refusals: u32,
}

/// Admits requests against this node's shares.
#[derive(Debug, Default)]
pub struct TenantLimiter {
    tenants: HashMap<TenantKey, TenantState>,
    live_nodes: u32,
}

impl TenantState {
    fn new(now: u64, limits: Limits) -> Self {
        Self {
            limits,
            tokens: f32::MAX,
            refilled_at: now,
            last_request_at: now,
            created_at: now,
            grant: LimitShare::default(),
            grant_expires_at: 0,
            demand_rate: 0.0,
            arrivals: 0,
            running: 0,
            peak_running: 0,
            concurrency_refusals: 0,
        }
    }

    fn rate_share(&self, now: u64, limit: f32, live_nodes: u32) -> f32 {
        if now < self.grant_expires_at {
            self.grant.rate
        } else if now < self.created_at + NEW_TENANT_MILLISECONDS {
            limit
        } else {
            limit / live_nodes as f32
        }
    }

    fn concurrency_share(&self, now: u64, limit: u32, live_nodes: u32) -> u32 {
        if now < self.grant_expires_at {
            self.grant.concurrent
        } else if now < self.created_at + NEW_TENANT_MILLISECONDS {
            limit
        } else {
            limit / live_nodes
        }
    }

    fn refill(&mut self, now: u64, rate: f32) {
        let refilled = rate * now.saturating_sub(self.refilled_at) as f32 / 1_000.0;
        let burst = (rate * BURST_MILLISECONDS / 1_000.0).max(MIN_BURST_REQUESTS);
        self.tokens = (self.tokens + refilled).min(burst);
        self.refilled_at = now;
    }
}

impl TenantLimiter {
    /// Sets the number of live nodes, for the equal split.
    pub fn set_live_nodes(&mut self, live_nodes: u32) {
        self.live_nodes = live_nodes;
    }

    /// Returns the number of tenants with state.
    pub fn len(&self) -> usize {
        self.tenants.len()
    }

    /// Returns whether no tenant has state.
    pub fn is_empty(&self) -> bool {
        self.tenants.is_empty()
    }

    /// Admits a request at `now` (milliseconds). Call [`release`](Self::release) when an admitted
    /// request ends.
    ///
    /// # Errors
    ///
    /// Returns the limit that the request would exceed.
    pub fn admit(
        &mut self,
        now: u64,
        tenant: TenantKey,
        limits: &Limits,
    ) -> Result<(), LimitExceeded> {
        let live_nodes = self.live_nodes.max(1);
        let state = self.tenants.entry(tenant);
        let state = state.or_insert_with(|| TenantState::new(now, *limits));
        state.last_request_at = now;
        state.arrivals = state.arrivals.saturating_add(1);
        if let Some(limit) = limits.concurrent_requests
            && state.running >= state.concurrency_share(now, limit, live_nodes)
        {
            state.concurrency_refusals = state.concurrency_refusals.saturating_add(1);
            return Err(LimitExceeded::Concurrency);
        }
        if let Some(limit) = limits.requests_per_second {
            let rate = state.rate_share(now, limit as f32, live_nodes);
            state.refill(now, rate);
            if state.tokens < 1.0 {
                let wait = (1.0 - state.tokens) / rate.max(0.01) * 1_000.0;
                return Err(LimitExceeded::Rate(wait.ceil() as u64));
            }
            state.tokens -= 1.0;
        }
        state.running += 1;
        state.peak_running = state.peak_running.max(state.running);
        Ok(())
    }

    /// Records that an admitted request ended.
    pub fn release(&mut self, tenant: TenantKey) {
        if let Some(state) = self.tenants.get_mut(&tenant) {
            state.running = state.running.saturating_sub(1);
        }
    }

    /// Returns the demand to report at `now` and starts the next interval. To be called once every
    /// [`REPORT_INTERVAL_MILLISECONDS`]. Removes idle tenants.
    pub fn take_demands(&mut self, now: u64) -> Vec<LimitDemand> {
        self.tenants.retain(|_, state| {
            state.running > 0 || now < state.last_request_at + IDLE_MILLISECONDS
        });
        let mut demands = Vec::new();
        for (tenant, state) in &mut self.tenants {
            let arrival_rate =
                state.arrivals as f32 * 1_000.0 / REPORT_INTERVAL_MILLISECONDS as f32;
            let noise = DEMAND_NOISE_DEVIATIONS * state.demand_rate.max(1.0).sqrt();
            if (arrival_rate - state.demand_rate).abs() > noise {
                state.demand_rate = arrival_rate;
            } else {
                state.demand_rate += DEMAND_WEIGHT * (arrival_rate - state.demand_rate);
            }
            let wanted = LimitShare {
                rate: state.demand_rate,
                concurrent: state.peak_running + state.concurrency_refusals,
            };
            state.arrivals = 0;
            state.peak_running = state.running;
            state.concurrency_refusals = 0;
            let has_grant = now < state.grant_expires_at;
            if wanted.rate > 0.01 || wanted.concurrent > 0 {
                demands.push(LimitDemand {
                    tenant: *tenant,
                    limits: state.limits,
                    wanted,
                    held: if has_grant {
                        state.grant
                    } else {
                        LimitShare::default()
                    },
                });
            }
        }
        demands
    }

    /// Returns the demand of tenants that are newer than [`NEW_TENANT_MILLISECONDS`] and never had a
    /// grant. It is reported without waiting for the next interval.
    pub fn new_tenant_demands(&mut self, now: u64) -> Vec<LimitDemand> {
        let is_new = |state: &TenantState| {
            state.grant_expires_at == 0 && now < state.created_at + NEW_TENANT_MILLISECONDS
        };
        let states = self.tenants.iter().filter(|(_, state)| is_new(state));
        states
            .map(|(tenant, state)| {
                let elapsed = now.saturating_sub(state.created_at).max(50) as f32;
                LimitDemand {
                    tenant: *tenant,
                    limits: state.limits,
                    wanted: LimitShare {
                        rate: state.arrivals as f32 * 1_000.0 / elapsed,
                        concurrent: state.peak_running + state.concurrency_refusals,
                    },
                    held: LimitShare::default(),
                }
            })
            .collect()
    }

    /// Applies a grant for a demand that was reported at `reported_at`, unless it is older than the
    /// current grant.
    pub fn apply_grant(&mut self, reported_at: u64, tenant: TenantKey, grant: LimitShare) {
        let Some(state) = self.tenants.get_mut(&tenant) else {
            return;
        };
        let expires_at = reported_at + GRANT_MILLISECONDS;
        if expires_at >= state.grant_expires_at {
            state.grant_expires_at = expires_at;
            state.grant = grant;
        }
    }
}
