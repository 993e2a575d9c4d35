//! The job table: deterministic, changed only by committed commands.

use crate::command::{Command, Item, ItemLease, Outcome, Submission};
use crate::job::{ItemResult, JobStatus, JobSummary, RequestCounts};
use firshore_types::ids::{ItemIndex, JobId, TenantName};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Debug, Serialize, Deserialize)]
struct OpenLease {
    attempt: u32,
    expires_at: u64,
}

#[derive(Debug, Serialize, Deserialize)]
struct Job {
    tenant: TenantName,
    body_digest: String,
    status: JobStatus,
    items: Vec<Item>,
    attempts: Vec<u32>,
    pending: BTreeSet<ItemIndex>,
    leases: BTreeMap<ItemIndex, OpenLease>,
    results: BTreeMap<ItemIndex, ItemResult>,
    counts: RequestCounts,
}

/// All jobs.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct JobTable {
    jobs: BTreeMap<JobId, Job>,
}

impl JobTable {
    /// Applies a committed command.
    pub fn apply(&mut self, command: Command) -> Outcome {
        match command {
            Command::Submit(submission) => self.submit(submission),
            Command::Lease { count, expires_at } => self.lease(count, expires_at),
            Command::Complete {
                job,
                index,
                attempt,
                result,
            } => self.complete(&job, index, attempt, result),
            Command::Return {
                job,
                index,
                attempt,
            } => self.return_lease(&job, index, attempt),
            Command::Cancel(job) => self.cancel(&job),
            Command::Expire { now } => self.expire(now),
        }
    }

    /// State of one job.
    pub fn summary(&self, id: &JobId) -> Option<JobSummary> {
        self.jobs.get(id).map(|job| job.summary(id))
    }

    /// State of every job.
    pub fn summaries(&self) -> Vec<JobSummary> {
        self.jobs.iter().map(|(id, job)| job.summary(id)).collect()
    }

    /// Results from position `from` on, in order of item, with each item's `custom_id`.
    pub fn results(
        &self,
        id: &JobId,
        from: ItemIndex,
        count: usize,
    ) -> Vec<(ItemIndex, String, ItemResult)> {
        let Some(job) = self.jobs.get(id) else {
            return Vec::new();
        };
        job.results
            .range(from..)
            .take(count)
            .map(|(index, result)| {
                (
                    *index,
                    job.items[*index as usize].custom_id.clone(),
                    result.clone(),
                )
            })
            .collect()
    }

    fn submit(&mut self, submission: Submission) -> Outcome {
        if let Some(job) = self.jobs.get(&submission.job) {
            let same = job.body_digest == submission.body_digest;
            return if same {
                Outcome::Job(job.summary(&submission.job))
            } else {
                Outcome::Conflict
            };
        }
        let total = submission.items.len() as u32;
        let job = Job {
            tenant: submission.tenant,
            body_digest: submission.body_digest,
            status: if total == 0 {
                JobStatus::Completed
            } else {
                JobStatus::InProgress
            },
            attempts: vec![0; submission.items.len()],
            items: submission.items,
            pending: (0..total).collect(),
            leases: BTreeMap::new(),
            results: BTreeMap::new(),
            counts: RequestCounts {
                total,
                ..RequestCounts::default()
            },
        };
        let summary = job.summary(&submission.job);
        self.jobs.insert(submission.job, job);
        Outcome::Job(summary)
    }

    fn lease(&mut self, count: u32, expires_at: u64) -> Outcome {
        let mut leases = Vec::new();
        for (id, job) in &mut self.jobs {
            while job.status == JobStatus::InProgress && leases.len() < count as usize {
                let Some(index) = job.pending.pop_first() else {
                    break;
                };
                job.attempts[index as usize] += 1;
                let attempt = job.attempts[index as usize];
                job.leases.insert(
                    index,
                    OpenLease {
                        attempt,
                        expires_at,
                    },
                );
                let item = job.items[index as usize].clone();
                leases.push(ItemLease {
                    job: id.clone(),
                    index,
                    attempt,
                    item,
                });
            }
        }
        Outcome::Leased(leases)
    }

    fn complete(
        &mut self,
        id: &JobId,
        index: ItemIndex,
        attempt: u32,
        result: ItemResult,
    ) -> Outcome {
        let Some(job) = self.jobs.get_mut(id) else {
            return Outcome::UnknownJob;
        };
        if job
            .leases
            .get(&index)
            .is_some_and(|lease| lease.attempt == attempt)
        {
            job.leases.remove(&index);
        }
        if !job.results.contains_key(&index) && job.status != JobStatus::Cancelled {
            job.pending.remove(&index);
            if (200..300).contains(&result.status) {
                job.counts.completed += 1;
            } else {
                job.counts.failed += 1;
            }
            job.results.insert(index, result);
        }
        job.settle();
        Outcome::Job(job.summary(id))
    }

    fn return_lease(&mut self, id: &JobId, index: ItemIndex, attempt: u32) -> Outcome {
        let Some(job) = self.jobs.get_mut(id) else {
            return Outcome::UnknownJob;
        };
        if job
            .leases
            .get(&index)
            .is_some_and(|lease| lease.attempt == attempt)
        {
            job.leases.remove(&index);
            job.pending.insert(index);
        }
        job.settle();
        Outcome::Done
    }

    fn cancel(&mut self, id: &JobId) -> Outcome {
        let Some(job) = self.jobs.get_mut(id) else {
            return Outcome::UnknownJob;
        };
        if job.status == JobStatus::InProgress {
            job.status = JobStatus::Cancelling;
        }
        job.settle();
        Outcome::Job(job.summary(id))
    }

    fn expire(&mut self, now: u64) -> Outcome {
        for job in self.jobs.values_mut() {
            let lapsed: Vec<ItemIndex> = job
                .leases
                .iter()
                .filter(|(_, lease)| lease.expires_at < now)
                .map(|(index, _)| *index)
                .collect();
            for index in lapsed {
                job.leases.remove(&index);
                if job.items[index as usize].repeatable {
                    job.pending.insert(index);
                } else {
                    job.counts.failed += 1;
                    let body = r#"{"error":{"code":"unknown","execution":"unknown"}}"#.to_owned();
                    job.results.insert(index, ItemResult { status: 502, body });
                }
            }
            job.settle();
        }
        Outcome::Done
    }
}

impl Job {
    fn summary(&self, id: &JobId) -> JobSummary {
        JobSummary {
            id: id.clone(),
            tenant: self.tenant.clone(),
            status: self.status,
            request_counts: self.counts,
        }
    }

    fn settle(&mut self) {
        if self.status == JobStatus::Cancelling && self.leases.is_empty() {
            self.status = JobStatus::Cancelled;
        }
        if self.status == JobStatus::InProgress && self.results.len() == self.items.len() {
            self.status = JobStatus::Completed;
        }
    }
}
