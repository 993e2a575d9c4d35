//! Effective policy of a request or batch job.

use crate::configuration::Configuration;
use crate::declaration::{Limits, Metadata, PolicySpec, Priority, TenantSpec};
use crate::labels::{Labels, Selector};

/// Combined settings of all policies for one tenant's work at one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EffectivePolicy {
    /// Queue priority; a larger number goes first.
    pub priority: Priority,
    /// Machines that the work may run on, within the service's pool. Matches every machine when
    /// no policy restricts them.
    pub backends: Selector,
    /// Limits of the tenant over the whole cluster.
    pub limits: Limits,
    /// Whether batch jobs may start items now.
    pub batch_allowed: bool,
}

/// Returns the effective policy for a tenant's work at a service; `job` holds the labels of the batch job,
/// or `None` for an online request.
///
/// The tenant's declaration gives the initial values. Governing policies apply in order of name, and
/// each value that a policy sets replaces the earlier one. A policy with a `jobs`
/// selector governs batch jobs only.
pub fn effective(
    configuration: &Configuration,
    tenant: (&Metadata, &TenantSpec),
    service: &Metadata,
    job: Option<&Labels>,
) -> EffectivePolicy {
    let (metadata, spec) = tenant;
    let mut effective = EffectivePolicy {
        priority: spec.priority,
        backends: Selector::default(),
        limits: spec.limits,
        batch_allowed: true,
    };
    for policy in configuration.governing(&metadata.labels, &service.labels, job) {
        effective.overlay(policy);
    }
    effective
}

impl EffectivePolicy {
    fn overlay(&mut self, policy: &PolicySpec) {
        if let Some(priority) = policy.priority {
            self.priority = priority;
        }
        if let Some(backends) = &policy.backends {
            self.backends = backends.clone();
        }
        if let Some(limits) = &policy.limits {
            let rate = limits.requests_per_second;
            self.limits.requests_per_second = rate.or(self.limits.requests_per_second);
            let concurrent = limits.concurrent_requests;
            self.limits.concurrent_requests = concurrent.or(self.limits.concurrent_requests);
        }
        if let Some(allowed) = policy.batch_allowed {
            self.batch_allowed = allowed;
        }
    }
}
