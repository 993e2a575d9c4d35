//! Table of all jobs.

use crate::command::{Action, Command, ItemIndex, JobHeader, Outcome};
use crate::job::Job;
use crate::listing::{ListedPage, ResultPlace};
use firshore_adapter::jobs::{JobItem, caller_id};
use firshore_log::machine::StateMachine;
use firshore_replication::types::LogIndex;
use firshore_types::payload::Payload;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// An item that has no result yet.
#[derive(Clone, Copy, Debug)]
pub struct OpenItem<'a> {
    /// Properties of its job.
    pub header: &'a JobHeader,
    /// Clock of the leader that added the job, in Unix milliseconds.
    pub submitted_at: u64,
    /// Position in the job.
    pub index: ItemIndex,
    /// The item.
    pub item: &'a JobItem,
}

/// State of all jobs.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct JobTable {
    jobs: BTreeMap<String, Job>,
}

impl JobTable {
    /// Returns the stored key of the job that a caller may address by `key`: the caller's own key, or
    /// that of a job without a tenant, which was added before there were tenants.
    fn known_key<'a>(&self, key: &'a str) -> Option<&'a str> {
        let keys = [key, caller_id(key)];
        keys.into_iter().find(|key| self.jobs.contains_key(*key))
    }

    fn find(&self, key: &str) -> Option<&Job> {
        self.jobs.get(self.known_key(key)?)
    }

    fn find_mut(&mut self, key: &str) -> Option<&mut Job> {
        let known = self.known_key(key)?;
        self.jobs.get_mut(known)
    }

    /// Returns the results of a job from a position on, of about `bytes` at most; `None` if there is
    /// no such job.
    pub fn results(&self, job: &str, from: u64, bytes: usize) -> Option<ListedPage> {
        self.find(job).map(|job| job.page(from, bytes))
    }

    /// Returns whether a reader at this position may wait for more results.
    pub fn may_grow_beyond(&self, job: &str, position: u64) -> bool {
        let job = self.find(job);
        job.is_some_and(|job| job.is_open() && job.result_count() <= position)
    }

    /// Returns the body of an item without a result.
    pub fn body(&self, job: &str, item: &str) -> Option<Payload> {
        self.find(job)?.body(item)
    }

    /// Returns the jobs with items that are still to be run.
    pub fn open_jobs(&self) -> impl Iterator<Item = &JobHeader> {
        let open = self.jobs.values().filter(|job| job.is_open());
        open.map(|job| &job.header)
    }

    /// Returns the items without a result, by job in the order of submission.
    pub fn open_items(&self) -> Vec<OpenItem<'_>> {
        let mut jobs: Vec<&Job> = self.jobs.values().filter(|job| job.is_open()).collect();
        jobs.sort_by_key(|job| job.submitted_at);
        let items = jobs.into_iter().flat_map(|job| {
            let header = &job.header;
            job.unfinished().map(move |(index, item)| OpenItem {
                header,
                submitted_at: job.submitted_at,
                index,
                item,
            })
        });
        items.collect()
    }

    /// Returns whether an item is still to be run.
    pub fn is_open(&self, job: &str, item: ItemIndex) -> bool {
        let job = self.jobs.get(job);
        job.is_some_and(|job| job.is_unfinished(item))
    }

    /// Returns whether items of a job are still to be run.
    pub fn is_job_open(&self, job: &str) -> bool {
        self.jobs.get(job).is_some_and(Job::is_open)
    }

    /// Returns the number of back ends that ran an item and failed.
    pub fn failures(&self, job: &str, item: ItemIndex) -> u32 {
        self.jobs.get(job).map_or(0, |job| job.failures(item))
    }

    /// Returns the approximate memory use of the jobs in bytes, mostly bodies of open items.
    pub fn held_bytes(&self) -> usize {
        self.jobs.values().map(Job::held_bytes).sum()
    }

    /// Returns whether the items of a new job exceed its tenant's maximum of waiting tokens on its
    /// route.
    fn exceeds_waiting(&self, header: &JobHeader, items: &[JobItem]) -> bool {
        let Some(max) = header.most_waiting_tokens else {
            return false;
        };
        let jobs = self.jobs.values().filter(|job| {
            let known = &job.header;
            known.tenant == header.tenant && known.route == header.route
        });
        let waiting: u64 = jobs.map(Job::unfinished_tokens).sum();
        let new: u64 = items.iter().map(|item| item.tokens).sum();
        waiting + new > max
    }

    /// Returns whether there is such a job.
    pub fn contains(&self, job: &str) -> bool {
        self.known_key(job).is_some()
    }

    /// Returns the number of jobs.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Returns whether there are no jobs.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    fn remove_finished(&mut self, before: u64) {
        self.jobs
            .retain(|_, job| job.is_open() || job.submitted_at >= before);
    }

    fn has_removable(&self, before: u64) -> bool {
        let mut jobs = self.jobs.values();
        jobs.any(|job| !job.is_open() && job.submitted_at < before)
    }
}

impl StateMachine for JobTable {
    type Command = Command;
    type Outcome = Outcome;

    fn without_effect(&self, command: &Command, _now: u64) -> Option<Outcome> {
        match &command.action {
            Action::Submit { header, items } => {
                if self.contains(&header.job) {
                    return Some(Outcome::Done);
                }
                let exceeds = self.exceeds_waiting(header, items);
                exceeds.then_some(Outcome::TooMuchWaiting)
            }
            // That a job is unknown is settled by the log only: the state of a new leader, or of one that was
            // deposed, may lack accepted jobs.
            Action::End { job } => self.find(job)?.is_ended().then_some(Outcome::Done),
            Action::Complete(_) | Action::Failed { .. } => None,
            Action::Forget { before } => {
                let is_empty = !self.has_removable(*before);
                is_empty.then_some(Outcome::Done)
            }
        }
    }

    fn stamp(command: &mut Command, now: u64) {
        command.at = now;
    }

    fn needs_space(command: &Command) -> bool {
        matches!(command.action, Action::Submit { .. })
    }

    fn referenced(&self) -> BTreeSet<LogIndex> {
        self.jobs.values().flat_map(Job::referenced).collect()
    }

    fn apply(&mut self, at: LogIndex, command: Command) -> Outcome {
        match command.action {
            Action::Submit { header, items } => {
                if self.contains(&header.job) {
                    return Outcome::Done;
                }
                // Jobs that were proposed together are each checked before any is applied.
                if self.exceeds_waiting(&header, &items) {
                    return Outcome::TooMuchWaiting;
                }
                let job = Job::new(header, items, command.at);
                self.jobs.insert(job.header.job.clone(), job);
            }
            Action::Complete(completions) => {
                for (position, one) in completions.iter().enumerate() {
                    let place = ResultPlace {
                        entry: at,
                        position: position as u32,
                    };
                    if let Some(job) = self.jobs.get_mut(&one.job) {
                        job.complete(one.item, &one.outcome, place);
                    }
                }
            }
            Action::Failed { job, item, run } => {
                if let Some(job) = self.jobs.get_mut(&job) {
                    job.record_failure(item, run);
                }
            }
            Action::End { job } => match self.find_mut(&job) {
                Some(job) => job.end(),
                None => return Outcome::UnknownJob,
            },
            Action::Forget { before } => self.remove_finished(before),
        }
        Outcome::Done
    }
}
