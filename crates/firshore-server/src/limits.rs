//! Tenants' limits at work in the node: admission against its shares, and their exchange.

use crate::shared::Shared;
use firshore_protocol::message::{Request, Response};
use firshore_routing::allocator::LimitAllocator;
use firshore_routing::limits::{
    LimitDemand, LimitExceeded, LimitGrant, REPORT_INTERVAL_MILLISECONDS, TenantKey, TenantLimiter,
};
use firshore_types::declaration::Limits;
use firshore_types::error::{ApiError, ErrorCode};
use firshore_types::hash::rendezvous_owner;
use firshore_types::ids::InstanceId;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

/// Time between two looks for tenants just met.
const TICK: Duration = Duration::from_millis(100);

const TICKS_PER_EXCHANGE: u64 = REPORT_INTERVAL_MILLISECONDS / 100;

/// A grant that comes later than this is of no use.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// Seconds after which a caller with too many requests at once should come back.
const CONCURRENCY_RETRY_SECONDS: u32 = 1;

/// Both parts of a node in the sharing of limits.
#[derive(Debug, Default)]
pub struct LimitTables {
    limiter: TenantLimiter,
    allocator: LimitAllocator,
}

/// A request counted against its tenant's limits until this is dropped.
pub struct Admitted {
    shared: Arc<Shared>,
    tenant: TenantKey,
}

impl Drop for Admitted {
    fn drop(&mut self) {
        self.shared.limits.lock().limiter.release(self.tenant);
    }
}

/// Admits a request of `tenant`, or says when to come back. `None` for a tenant without limits.
pub fn admit(
    shared: &Arc<Shared>,
    tenant: &str,
    limits: &Limits,
) -> Result<Option<Admitted>, ApiError> {
    if *limits == Limits::default() {
        return Ok(None);
    }
    let key = TenantKey::of(tenant, limits);
    let now = shared.clock.now();
    let admitted = shared.limits.lock().limiter.admit(now, key, limits);
    admitted.map_err(refusal)?;
    Ok(Some(Admitted {
        shared: shared.clone(),
        tenant: key,
    }))
}

fn refusal(denied: LimitExceeded) -> ApiError {
    let (message, seconds) = match denied {
        LimitExceeded::Rate(milliseconds) => {
            let seconds = milliseconds.div_ceil(1_000).clamp(1, 60) as u32;
            ("The tenant's requests a second are used up.", seconds)
        }
        LimitExceeded::Concurrency => {
            let message = "The tenant has as many requests at once as it may have.";
            (message, CONCURRENCY_RETRY_SECONDS)
        }
    };
    ApiError::not_run(ErrorCode::RateLimited, message).retry_after(seconds)
}

/// Reports demand and takes in grants until the node ends.
pub async fn run(shared: Arc<Shared>) {
    for tick in 0_u64.. {
        actix_rt::time::sleep(TICK).await;
        exchange(&shared, tick.is_multiple_of(TICKS_PER_EXCHANGE));
    }
}

struct Owner {
    address: SocketAddr,
    instance: InstanceId,
}

fn exchange(shared: &Arc<Shared>, whole: bool) {
    let now = shared.clock.now();
    let (members, own) = {
        let members = shared.members.lock();
        (members.alive(now), members.own().instance)
    };
    let demands = {
        let mut tables = shared.limits.lock();
        tables.limiter.set_live_nodes(members.len() as u32);
        if whole {
            tables.allocator.remove_expired(now);
            tables.limiter.take_demands(now)
        } else {
            tables.limiter.new_tenant_demands(now)
        }
    };
    let owner_of = |demand: &LimitDemand| {
        let key = format!("limits/{:016x}", demand.tenant.0);
        let chosen = rendezvous_owner(&key, members.iter().map(|member| member.instance.0))?;
        let member = members.iter().find(|member| member.instance.0 == chosen)?;
        Some(Owner {
            address: member.peer_address,
            instance: member.instance,
        })
    };
    let mut by_owner: HashMap<SocketAddr, Vec<LimitDemand>> = HashMap::new();
    for demand in demands {
        match owner_of(&demand) {
            Some(owner) if owner.instance == own => {
                let grants = answer(shared, own, &[demand]);
                take(shared, now, grants);
            }
            Some(owner) => by_owner.entry(owner.address).or_default().push(demand),
            None => {}
        }
    }
    for (address, demands) in by_owner {
        actix_rt::spawn(ask(shared.clone(), address, own, demands));
    }
}

async fn ask(
    shared: Arc<Shared>,
    address: SocketAddr,
    from: InstanceId,
    demands: Vec<LimitDemand>,
) {
    let reported_at = shared.clock.now();
    let request = Request::LimitDemands { from, demands };
    let answer = timeout(ANSWER_TIMEOUT, shared.peers.call(address, request)).await;
    if let Ok(Ok(Response::LimitGrants(grants))) = answer {
        take(&shared, reported_at, grants);
    }
}

fn take(shared: &Shared, reported_at: u64, grants: Vec<LimitGrant>) {
    let mut tables = shared.limits.lock();
    for grant in grants {
        let LimitGrant { tenant, share } = grant;
        tables.limiter.apply_grant(reported_at, tenant, share);
    }
}

/// Answers another node's demands for tenants that this node allocates.
pub fn answer(shared: &Shared, from: InstanceId, demands: &[LimitDemand]) -> Vec<LimitGrant> {
    let now = shared.clock.now();
    let alive = shared.members.lock().alive(now).len() as u32;
    let mut tables = shared.limits.lock();
    let grant = |demand: &LimitDemand| LimitGrant {
        tenant: demand.tenant,
        share: tables.allocator.grant(now, from, *demand, alive),
    };
    demands.iter().map(grant).collect()
}
