//! The job table: deterministic, changed only by committed commands.

use crate::command::{
    Action, Command, ItemLease, LeaseReference, LeaseRequest, LeaseRequestId, LeaseToken, Outcome,
    Submission, UploadId,
};
use crate::job::{Governance, JobSummary, NamedResult};
use crate::job_state::Job;
use crate::queue::{QueueEntry, ReadyQueue};
use crate::upload::Upload;
use firshore_types::ids::JobId;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Time added to every lease before it expires, in milliseconds. Covers the drift between the
/// holder's and the leader's clock during a lease, and the time that a send takes after the holder
/// last checked its lease.
pub const LEASE_MARGIN_MILLISECONDS: u64 = 2_000;

/// Maximum duration of a lease, in milliseconds.
pub const MAX_LEASE_MILLISECONDS: u64 = 60_000;

/// Time after the last received chunk at which an upload is dropped, in milliseconds.
pub const UPLOAD_IDLE_MILLISECONDS: u64 = 60_000;

/// Maximum number of open uploads in a table.
pub const MAX_UPLOADS: usize = 256;

/// Items leased to one tenant before the next tenant is served.
const ITEMS_PER_TURN: u32 = 8;

/// Leases granted to a request, kept until they expire.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Grant {
    expires_at: u64,
    leases: Vec<LeaseReference>,
}

/// Jobs, uploads and lease grants of a journal group.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct JobTable {
    /// Latest timestamp applied; keeps time monotonic when the leader changes.
    now: u64,
    jobs: BTreeMap<JobId, Job>,
    uploads: BTreeMap<UploadId, Upload>,
    queue: ReadyQueue,
    leased: BTreeSet<JobId>,
    grants: BTreeMap<LeaseRequestId, Grant>,
    last_sequence: u64,
    last_token: u64,
}

impl JobTable {
    /// Applies a committed command.
    pub fn apply(&mut self, command: Command) -> Outcome {
        self.now = self.now.max(command.at);
        match command.action {
            Action::Open { upload, submission } => self.open(upload, *submission),
            Action::Append {
                upload,
                sequence,
                items,
            } => {
                let now = self.now;
                let found = self.uploads.get_mut(&upload);
                if found.is_some_and(|found| found.append(sequence, &items, now)) {
                    Outcome::Done
                } else {
                    Outcome::UnknownUpload
                }
            }
            Action::Seal {
                upload,
                body_digest,
                total,
            } => self.seal(&upload, body_digest, total),
            Action::Abandon(upload) => {
                self.uploads.remove(&upload);
                Outcome::Done
            }
            Action::Lease(request) => self.lease(&request),
            Action::Renew {
                leases,
                duration_milliseconds,
            } => self.renew(&leases, duration_milliseconds),
            Action::Start(lease) => {
                let allowed = self.change(&lease.job, |job, _| job.start(&lease));
                Outcome::Start {
                    allowed: allowed.unwrap_or(false),
                }
            }
            Action::Complete(completions) => {
                for completion in completions {
                    let job = completion.lease.job.clone();
                    self.change(&job, |job, now| job.complete(completion, now));
                }
                Outcome::Done
            }
            Action::Return(handbacks) => {
                for handback in handbacks {
                    let job = handback.lease.job.clone();
                    self.change(&job, |job, now| job.hand_back(&handback, now));
                }
                Outcome::Done
            }
            Action::Cancel(job) => self.change_and_summarize(&job, |job, now| job.cancel(now)),
            Action::Govern { job, governance } => self.govern(&job, governance),
            Action::Delete(job) => self.delete(&job),
            Action::Tick => {
                self.tick();
                Outcome::Done
            }
        }
    }

    /// Returns the state of a job.
    pub fn summary(&self, id: &JobId) -> Option<JobSummary> {
        self.jobs.get(id).map(|job| job.summary(self.now))
    }

    /// Returns the state of all jobs.
    pub fn summaries(&self) -> Vec<JobSummary> {
        let jobs = self.jobs.values();
        jobs.map(|job| job.summary(self.now)).collect()
    }

    /// Returns lines of a job's output from `position` on: at most `count`, about `bytes` in total.
    pub fn output(
        &self,
        id: &JobId,
        position: u32,
        count: usize,
        bytes: usize,
    ) -> Vec<NamedResult> {
        let job = self.jobs.get(id);
        job.map_or_else(Vec::new, |job| job.output(position, count, bytes))
    }

    /// Returns the outcome of an action that would change nothing and needn't enter the log.
    /// `now` is the leader's clock in Unix milliseconds.
    pub fn without_effect(&self, action: &Action, now: u64) -> Option<Outcome> {
        match action {
            Action::Lease(request) => {
                let again = self.grants.contains_key(&request.id);
                let idle = !again && self.next_job(request).is_none();
                idle.then(|| Outcome::Leased(Vec::new()))
            }
            Action::Renew { leases, .. } if leases.is_empty() => Some(Outcome::Renewed {
                refused: Vec::new(),
            }),
            Action::Tick => (!self.needs_tick(now)).then_some(Outcome::Done),
            _ => None,
        }
    }

    fn needs_tick(&self, now: u64) -> bool {
        let due = |job: &Job| !job.status.is_terminal() || job.may_be_deleted(now);
        !self.uploads.is_empty() || !self.grants.is_empty() || self.jobs.values().any(due)
    }

    fn next_job(&self, request: &LeaseRequest) -> Option<QueueEntry> {
        let eligible = |id: &JobId| {
            let job = self.jobs.get(id);
            job.is_some_and(|job| job.may_run_on(&request.engine_labels))
        };
        self.queue.next(&request.models, eligible)
    }

    /// Returns the memory in bytes used besides the texts of items and results.
    pub fn overhead_bytes(&self) -> usize {
        self.jobs.values().map(Job::overhead_bytes).sum()
    }

    /// Changes a job and updates the indexes.
    fn change<T>(&mut self, id: &JobId, change: impl FnOnce(&mut Job, u64) -> T) -> Option<T> {
        let job = self.jobs.get_mut(id)?;
        let before = job.queue_entry();
        let result = change(job, self.now);
        let after = job.queue_entry();
        if before != after {
            if let Some(entry) = &before {
                self.queue.remove(entry);
            }
            if let Some(entry) = after {
                self.queue.insert(entry);
            }
        }
        if job.has_leases() {
            if !self.leased.contains(id) {
                self.leased.insert(id.clone());
            }
        } else {
            self.leased.remove(id);
        }
        Some(result)
    }

    fn change_and_summarize(&mut self, id: &JobId, change: impl FnOnce(&mut Job, u64)) -> Outcome {
        let summary = self.change(id, |job, now| {
            change(job, now);
            job.summary(now)
        });
        summary.map_or(Outcome::UnknownJob, |summary| {
            Outcome::Job(Box::new(summary))
        })
    }

    fn open(&mut self, id: UploadId, submission: Submission) -> Outcome {
        if self.jobs.contains_key(&id.job) {
            return Outcome::Opened { exists: true };
        }
        if !self.uploads.contains_key(&id) {
            if self.uploads.len() >= MAX_UPLOADS {
                return Outcome::TooManyUploads;
            }
            let upload = Upload::new(submission, self.now);
            self.uploads.insert(id, upload);
        }
        Outcome::Opened { exists: false }
    }

    fn seal(&mut self, id: &UploadId, body_digest: String, total: u32) -> Outcome {
        if let Some(job) = self.jobs.get(&id.job) {
            self.uploads.remove(id);
            return if job.body_digest == body_digest {
                Outcome::Job(Box::new(job.summary(self.now)))
            } else {
                Outcome::Conflict
            };
        }
        let whole = |upload: &Upload| upload.items.total() == total;
        if !self.uploads.get(id).is_some_and(whole) {
            return Outcome::UnknownUpload;
        }
        let Some(upload) = self.uploads.remove(id) else {
            return Outcome::UnknownUpload;
        };
        self.last_sequence += 1;
        let job = Job::new(self.last_sequence, upload, body_digest, self.now);
        let summary = job.summary(self.now);
        if let Some(entry) = job.queue_entry() {
            self.queue.insert(entry);
        }
        self.jobs.insert(id.job.clone(), job);
        Outcome::Job(Box::new(summary))
    }

    fn lease(&mut self, request: &LeaseRequest) -> Outcome {
        if let Some(grant) = self.grants.get(&request.id) {
            return Outcome::Leased(self.open_leases(grant));
        }
        let duration = request.duration_milliseconds.min(MAX_LEASE_MILLISECONDS);
        let expires_at = self.now + duration;
        let mut leases: Vec<ItemLease> = Vec::new();
        while (leases.len() as u32) < request.count {
            let Some(entry) = self.next_job(request) else {
                break;
            };
            let wanted = (request.count - leases.len() as u32).min(ITEMS_PER_TURN);
            let mut token = self.last_token;
            let granted = self.change(&entry.ready.job, |job, now| {
                let next = |_| {
                    token += 1;
                    job.lease(LeaseToken(token), expires_at, now)
                };
                (0..wanted).map_while(next).collect::<Vec<_>>()
            });
            self.last_token = token;
            let granted = granted.unwrap_or_default();
            if granted.is_empty() {
                break;
            }
            self.queue.charge(&entry.tenant, granted.len() as u32);
            leases.extend(granted);
        }
        if !leases.is_empty() {
            let grant = Grant {
                expires_at,
                leases: leases.iter().map(|lease| lease.lease.clone()).collect(),
            };
            self.grants.insert(request.id, grant);
        }
        Outcome::Leased(leases)
    }

    fn open_leases(&self, grant: &Grant) -> Vec<ItemLease> {
        let leases = grant.leases.iter();
        leases
            .filter_map(|lease| self.jobs.get(&lease.job)?.leased_item(lease))
            .collect()
    }

    fn renew(&mut self, leases: &[LeaseReference], duration: u64) -> Outcome {
        let expires_at = self.now + duration.min(MAX_LEASE_MILLISECONDS);
        let mut refused = Vec::new();
        for lease in leases {
            let renewed = self
                .jobs
                .get_mut(&lease.job)
                .is_some_and(|job| job.renew(lease, expires_at));
            if !renewed {
                refused.push(lease.clone());
            }
        }
        Outcome::Renewed { refused }
    }

    fn govern(&mut self, id: &JobId, governance: Governance) -> Outcome {
        self.change_and_summarize(id, |job, _| {
            if governance.revision >= job.submission.governance.revision {
                job.submission.governance = governance;
            }
        })
    }

    fn delete(&mut self, id: &JobId) -> Outcome {
        match self.jobs.get(id) {
            None => Outcome::UnknownJob,
            Some(job) if !job.status.is_terminal() => Outcome::NotEnded,
            Some(_) => {
                self.jobs.remove(id);
                Outcome::Done
            }
        }
    }

    fn tick(&mut self) {
        let now = self.now;
        let horizon = now.saturating_sub(LEASE_MARGIN_MILLISECONDS);
        for id in self.leased.clone() {
            self.change(&id, |job, now| job.expire_leases(horizon, now));
        }
        let running: Vec<JobId> = self
            .jobs
            .iter()
            .filter(|(_, job)| !job.status.is_terminal())
            .map(|(id, _)| id.clone())
            .collect();
        for id in running {
            self.change(&id, |job, now| job.tick(now));
        }
        self.jobs.retain(|_, job| !job.may_be_deleted(now));
        self.uploads
            .retain(|_, upload| upload.touched_at + UPLOAD_IDLE_MILLISECONDS > now);
        self.grants.retain(|_, grant| grant.expires_at >= horizon);
    }
}
