//! The order in which jobs are served: strictly by priority; among tenants of one priority by
//! start-time fair queuing (Goyal, Vin and Cheng, 1996), where each item costs 1; within a tenant by
//! deadline, then by age.

use firshore_types::declaration::Priority;
use firshore_types::ids::{JobId, TenantName};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// A job that has items to lease, in the order of its tenant's queue.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ReadyJob {
    /// Deadline in Unix milliseconds; `u64::MAX` without one.
    pub deadline_at: u64,
    /// Order of acceptance.
    pub sequence: u64,
    /// Job.
    pub job: JobId,
}

/// Key of a job in the queue.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueEntry {
    /// Model that its items name.
    pub model: String,
    /// Its priority.
    pub priority: Priority,
    /// Its owner.
    pub tenant: TenantName,
    /// The job.
    pub ready: ReadyJob,
}

/// Reversed priority, so that the lowest rank is served first.
type Rank = u8;
type TenantQueues = BTreeMap<TenantName, BTreeSet<ReadyJob>>;
type ModelLevels = BTreeMap<Rank, TenantQueues>;

/// Jobs that have items to lease.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ReadyQueue {
    models: BTreeMap<String, ModelLevels>,
    /// Virtual finish time of each tenant that is ahead of the virtual clock.
    finish_times: BTreeMap<TenantName, u64>,
    /// Virtual start time of the tenant served last.
    virtual_clock: u64,
}

fn rank(priority: Priority) -> Rank {
    Priority::MAX - priority
}

impl ReadyQueue {
    /// Adds a job.
    pub fn insert(&mut self, entry: QueueEntry) {
        let levels = self.models.entry(entry.model).or_default();
        let tenants = levels.entry(rank(entry.priority)).or_default();
        tenants.entry(entry.tenant).or_default().insert(entry.ready);
    }

    /// Removes a job.
    pub fn remove(&mut self, entry: &QueueEntry) {
        let Some(levels) = self.models.get_mut(&entry.model) else {
            return;
        };
        if let Some(tenants) = levels.get_mut(&rank(entry.priority)) {
            if let Some(jobs) = tenants.get_mut(&entry.tenant) {
                jobs.remove(&entry.ready);
            }
            tenants.retain(|_, jobs| !jobs.is_empty());
        }
        levels.retain(|_, tenants| !tenants.is_empty());
        if levels.is_empty() {
            self.models.remove(&entry.model);
        }
    }

    fn start_time(&self, tenant: &TenantName) -> u64 {
        let finish = self.finish_times.get(tenant).copied().unwrap_or(0);
        finish.max(self.virtual_clock)
    }

    /// Returns the job to serve next among those of `models` that `eligible` accepts.
    pub fn next(&self, models: &[String], eligible: impl Fn(&JobId) -> bool) -> Option<QueueEntry> {
        models
            .iter()
            .filter_map(|model| self.next_of_model(model, &eligible))
            .min_by_key(|entry| (rank(entry.priority), self.start_time(&entry.tenant)))
    }

    fn next_of_model(&self, model: &str, eligible: &impl Fn(&JobId) -> bool) -> Option<QueueEntry> {
        let levels = self.models.get(model)?;
        levels.iter().find_map(|(rank, tenants)| {
            let candidates = tenants.iter().filter_map(|(tenant, jobs)| {
                let ready = jobs.iter().find(|ready| eligible(&ready.job))?;
                Some((self.start_time(tenant), tenant, ready))
            });
            let (_, tenant, ready) = candidates.min()?;
            Some(QueueEntry {
                model: model.to_owned(),
                priority: Priority::MAX - rank,
                tenant: tenant.clone(),
                ready: ready.clone(),
            })
        })
    }

    /// Charges a tenant for `items` leased to it.
    pub fn charge(&mut self, tenant: &TenantName, items: u32) {
        let start = self.start_time(tenant);
        self.virtual_clock = self.virtual_clock.max(start);
        self.finish_times
            .insert(tenant.clone(), start + u64::from(items));
        let clock = self.virtual_clock;
        self.finish_times.retain(|_, finish| *finish > clock);
    }
}
