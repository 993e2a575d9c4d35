//! One job in the table.

use crate::command::{
    Completion, Handback, HandbackReason, Item, ItemLease, LeaseReference, LeaseToken, Submission,
};
use crate::item_set::ItemSet;
use crate::item_store::ItemStore;
use crate::job::{ItemResult, JobStatus, JobSummary, JobTimes, NamedResult, RequestCounts};
use crate::progress::Progress;
use crate::queue::{QueueEntry, ReadyJob};
use crate::upload::Upload;
use firshore_types::error::{ApiError, ErrorCode, Execution};
use firshore_types::ids::ItemIndex;
use firshore_types::labels::Labels;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Number of lost runs after which an item fails.
pub(crate) const MAX_LOST_RUNS: u8 = 8;

#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct OpenLease {
    pub(crate) token: LeaseToken,
    pub(crate) expires_at: u64,
    started: bool,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct StoredResult {
    index: ItemIndex,
    status: u16,
    body: Box<str>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Job {
    sequence: u64,
    pub(crate) submission: Submission,
    pub(crate) body_digest: String,
    pub(crate) status: JobStatus,
    pub(crate) times: JobTimes,
    items: ItemStore,
    non_repeatable: ItemSet,
    pending: ItemSet,
    finished: ItemSet,
    /// Number of lost runs for each unfinished item that may have run.
    lost_runs: BTreeMap<ItemIndex, u8>,
    leases: BTreeMap<ItemIndex, OpenLease>,
    results: Vec<StoredResult>,
    counts: RequestCounts,
    progress: Progress,
}

fn error_result(error: &ApiError) -> ItemResult {
    ItemResult {
        status: error.code.status(),
        body: error.body(),
    }
}

fn lost_result() -> ItemResult {
    let message = "The item's run was lost.";
    error_result(&ApiError::maybe_run(ErrorCode::BackendFailed, message))
}

fn expired_result(execution: Execution) -> ItemResult {
    let message = "The job's deadline passed before the item had a result.";
    let mut error = ApiError::not_run(ErrorCode::DeadlineExceeded, message);
    error.execution = execution;
    error_result(&error)
}

impl Job {
    pub(crate) fn new(sequence: u64, upload: Upload, body_digest: String, now: u64) -> Self {
        let total = upload.items.total();
        let deadline = upload.submission.deadline_milliseconds;
        let mut job = Self {
            sequence,
            submission: upload.submission,
            body_digest,
            status: JobStatus::InProgress,
            times: JobTimes {
                created_at: now,
                deadline_at: deadline.map(|milliseconds| now.saturating_add(milliseconds)),
                ..JobTimes::default()
            },
            items: upload.items,
            non_repeatable: upload.non_repeatable,
            pending: ItemSet::full(total),
            finished: ItemSet::default(),
            lost_runs: BTreeMap::new(),
            leases: BTreeMap::new(),
            results: Vec::new(),
            counts: RequestCounts {
                total,
                ..RequestCounts::default()
            },
            progress: Progress::default(),
        };
        job.finish_if_done(now);
        job
    }

    pub(crate) fn summary(&self, now: u64) -> JobSummary {
        let remaining = u64::from(self.counts.total - self.finished.len());
        let running = self.status == JobStatus::InProgress;
        JobSummary {
            id: self.submission.job.clone(),
            tenant: self.submission.tenant.clone(),
            status: self.status,
            request_counts: self.counts,
            endpoint: self.submission.endpoint.clone(),
            model: self.submission.model.clone(),
            labels: self.submission.labels.clone(),
            times: self.times,
            governance: self.submission.governance.clone(),
            backlog: if running { self.pending.len() } else { 0 },
            leased: self.leases.len() as u32,
            items_per_kilosecond: self.progress.items_per_kilosecond(),
            estimated_end_at: running
                .then(|| self.progress.estimated_end(now, remaining))
                .flatten(),
        }
    }

    /// Returns the job's queue entry while it has items to lease.
    pub(crate) fn queue_entry(&self) -> Option<QueueEntry> {
        let ready = self.status == JobStatus::InProgress
            && !self.submission.governance.paused
            && !self.pending.is_empty();
        ready.then(|| QueueEntry {
            model: self.submission.model.clone(),
            priority: self.submission.governance.priority,
            tenant: self.submission.tenant.clone(),
            ready: ReadyJob {
                deadline_at: self.times.deadline_at.unwrap_or(u64::MAX),
                sequence: self.sequence,
                job: self.submission.job.clone(),
            },
        })
    }

    pub(crate) fn may_run_on(&self, engine: &Labels) -> bool {
        let backends = &self.submission.governance.backends;
        backends.matches(engine)
    }

    pub(crate) fn has_leases(&self) -> bool {
        !self.leases.is_empty()
    }

    /// Leases the next pending item.
    pub(crate) fn lease(
        &mut self,
        token: LeaseToken,
        expires_at: u64,
        now: u64,
    ) -> Option<ItemLease> {
        let index = self.pending.pop_first()?;
        if self.times.in_progress_at.is_none() {
            self.times.in_progress_at = Some(now);
            self.progress.observe(now, 0);
        }
        let lease = OpenLease {
            token,
            expires_at,
            started: false,
        };
        self.leases.insert(index, lease);
        self.leased_item(&LeaseReference {
            job: self.submission.job.clone(),
            index,
            token,
        })
    }

    /// Returns the item of an open lease.
    pub(crate) fn leased_item(&self, lease: &LeaseReference) -> Option<ItemLease> {
        self.open_lease(lease)?;
        let index = lease.index;
        Some(ItemLease {
            lease: lease.clone(),
            endpoint: self.submission.endpoint.clone(),
            item: Item {
                custom_id: self.items.custom_id(index)?.to_owned(),
                body: self.items.body(index)?.to_owned(),
                repeatable: !self.non_repeatable.contains(index),
            },
        })
    }

    fn open_lease(&self, lease: &LeaseReference) -> Option<&OpenLease> {
        let open = self.leases.get(&lease.index)?;
        (open.token == lease.token).then_some(open)
    }

    /// Extends a lease. Returns `false` if its item must stop.
    pub(crate) fn renew(&mut self, lease: &LeaseReference, expires_at: u64) -> bool {
        if self.status != JobStatus::InProgress || self.open_lease(lease).is_none() {
            return false;
        }
        if let Some(open) = self.leases.get_mut(&lease.index) {
            open.expires_at = open.expires_at.max(expires_at);
        }
        true
    }

    /// Records that a non-repeatable item is about to be sent.
    pub(crate) fn start(&mut self, lease: &LeaseReference) -> bool {
        if self.status != JobStatus::InProgress || self.open_lease(lease).is_none() {
            return false;
        }
        if let Some(open) = self.leases.get_mut(&lease.index) {
            open.started = true;
        }
        true
    }

    /// Records a result unless its item has one, the job has ended, or the lease of a non-repeatable
    /// item isn't open.
    pub(crate) fn complete(&mut self, completion: Completion, now: u64) {
        let Completion { lease, result } = completion;
        if lease.index >= self.counts.total {
            return;
        }
        let held = self.open_lease(&lease).is_some();
        let repeatable = !self.non_repeatable.contains(lease.index);
        if held {
            self.leases.remove(&lease.index);
        }
        if !self.status.is_terminal() && (held || repeatable) {
            self.record(lease.index, result);
        }
        self.finish_if_done(now);
    }

    fn record(&mut self, index: ItemIndex, result: ItemResult) {
        if !self.finished.insert(index) {
            return;
        }
        self.pending.remove(index);
        self.lost_runs.remove(&index);
        if result.is_success() {
            self.counts.completed += 1;
        } else {
            self.counts.failed += 1;
        }
        self.results.push(StoredResult {
            index,
            status: result.status,
            body: result.body.into_boxed_str(),
        });
        self.items.finish(index);
    }

    /// Ends a lease without a result.
    pub(crate) fn hand_back(&mut self, handback: &Handback, now: u64) {
        let lease = &handback.lease;
        if self.open_lease(lease).is_none() {
            return;
        }
        self.leases.remove(&lease.index);
        match handback.reason {
            HandbackReason::NotRun => self.release(lease.index),
            HandbackReason::Interrupted if !self.non_repeatable.contains(lease.index) => {
                self.lost_runs.entry(lease.index).or_insert(0);
                self.release(lease.index);
            }
            HandbackReason::Interrupted | HandbackReason::Lost => self.record_lost_run(lease.index),
        }
        self.finish_if_done(now);
    }

    fn release(&mut self, index: ItemIndex) {
        if !self.finished.contains(index) {
            self.pending.insert(index);
        }
    }

    /// Records a run that may have happened without a result.
    fn record_lost_run(&mut self, index: ItemIndex) {
        if self.finished.contains(index) {
            return;
        }
        let lost_runs = self.lost_runs.get(&index).copied().unwrap_or(0) + 1;
        if self.non_repeatable.contains(index) || lost_runs >= MAX_LOST_RUNS {
            self.record(index, lost_result());
            return;
        }
        self.lost_runs.insert(index, lost_runs);
        self.pending.insert(index);
    }

    /// Ends leases that expired before `horizon`.
    pub(crate) fn expire_leases(&mut self, horizon: u64, now: u64) {
        let expired = |lease: &OpenLease| lease.expires_at < horizon;
        let indices: Vec<ItemIndex> = self
            .leases
            .iter()
            .filter(|(_, lease)| expired(lease))
            .map(|(index, _)| *index)
            .collect();
        for index in indices {
            let Some(lease) = self.leases.remove(&index) else {
                continue;
            };
            if self.non_repeatable.contains(index) && !lease.started {
                // A non-repeatable item is sent only after its start is committed.
                self.release(index);
            } else {
                self.record_lost_run(index);
            }
        }
        self.finish_if_done(now);
    }

    pub(crate) fn cancel(&mut self, now: u64) {
        if matches!(self.status, JobStatus::InProgress | JobStatus::Finalizing) {
            self.status = JobStatus::Cancelling;
            self.times.cancelling_at = Some(now);
        }
        self.finish_if_done(now);
    }

    /// Applies the current time.
    pub(crate) fn tick(&mut self, now: u64) {
        if self.status == JobStatus::InProgress {
            self.progress.observe(now, u64::from(self.finished.len()));
            if self
                .times
                .deadline_at
                .is_some_and(|deadline| deadline <= now)
            {
                self.status = JobStatus::Finalizing;
            }
        }
        self.finish_if_done(now);
    }

    pub(crate) fn may_be_deleted(&self, now: u64) -> bool {
        let retention = self.submission.retention_milliseconds;
        let ended = self.times.ended_at;
        ended.is_some_and(|ended| ended.saturating_add(retention) <= now)
    }

    fn finish_if_done(&mut self, now: u64) {
        if self.status.is_terminal() {
            return;
        }
        let all_finished = self.finished.len() == self.counts.total;
        let idle = self.leases.is_empty();
        let end = match self.status {
            JobStatus::InProgress | JobStatus::Finalizing if all_finished => JobStatus::Completed,
            JobStatus::Finalizing if idle => JobStatus::Expired,
            JobStatus::Cancelling if idle => JobStatus::Cancelled,
            _ => return,
        };
        if end == JobStatus::Expired {
            self.counts.failed = self.counts.total - self.counts.completed;
        }
        self.status = end;
        self.times.ended_at = Some(now);
        self.leases.clear();
        self.items.drop_bodies();
    }

    /// Returns lines of the output from `position` on: at most `count`, about `bytes` in total.
    pub(crate) fn output(&self, position: u32, count: usize, bytes: usize) -> Vec<NamedResult> {
        let mut lines = Vec::new();
        let mut body_bytes = 0;
        let stored = self.results.iter().skip(position as usize).enumerate();
        for (offset, result) in stored {
            if lines.len() == count || (body_bytes >= bytes && !lines.is_empty()) {
                return lines;
            }
            body_bytes += result.body.len();
            let result_of = ItemResult {
                status: result.status,
                body: result.body.to_string(),
            };
            lines.push(self.line(position + offset as u32, result.index, result_of));
        }
        if self.status == JobStatus::Expired {
            let stored = self.results.len() as u32;
            let skipped = position.saturating_sub(stored);
            let first = position.max(stored);
            let rest = self.finished.missing(self.counts.total);
            let wanted = count - lines.len();
            for (number, index) in rest.skip(skipped as usize).take(wanted).enumerate() {
                let execution = match self.lost_runs.contains_key(&index) {
                    true => Execution::Unknown,
                    false => Execution::None,
                };
                let result = expired_result(execution);
                lines.push(self.line(first + number as u32, index, result));
            }
        }
        lines
    }

    fn line(&self, position: u32, index: ItemIndex, result: ItemResult) -> NamedResult {
        NamedResult {
            position,
            index,
            custom_id: self.items.custom_id(index).unwrap_or_default().to_owned(),
            result,
        }
    }

    /// Returns the memory in bytes used besides the texts of items and results.
    pub(crate) fn overhead_bytes(&self) -> usize {
        let sets = [&self.non_repeatable, &self.pending, &self.finished];
        size_of::<Self>()
            + self.items.overhead_bytes()
            + sets.iter().map(|set| set.memory_bytes()).sum::<usize>()
            + self.results.capacity() * size_of::<StoredResult>()
    }
}
