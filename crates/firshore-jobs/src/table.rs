//! All jobs.

use crate::command::{Action, Command, ItemIndex, JobHeader, Outcome};
use crate::job::Job;
use crate::listing::{ListedPage, ResultPlace};
use firshore_adapter::jobs::JobItem;
use firshore_log::machine::StateMachine;
use firshore_replication::types::LogIndex;
use firshore_types::payload::Payload;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// An item that has no result yet.
#[derive(Clone, Copy, Debug)]
pub struct OpenItem<'a> {
    /// What is known of its job.
    pub header: &'a JobHeader,
    /// Clock of the leader that took the job in, in Unix milliseconds.
    pub submitted_at: u64,
    /// Position in the job.
    pub index: ItemIndex,
    /// The item.
    pub item: &'a JobItem,
}

/// The table of jobs.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct JobTable {
    jobs: BTreeMap<String, Job>,
}

impl JobTable {
    /// Results of a job from a position on, of about `bytes` at most; `None`: no such job.
    pub fn results(&self, job: &str, from: u64, bytes: usize) -> Option<ListedPage> {
        self.jobs.get(job).map(|job| job.page(from, bytes))
    }

    /// Whether a reader at this position has something to wait for.
    pub fn may_grow_beyond(&self, job: &str, position: u64) -> bool {
        let job = self.jobs.get(job);
        job.is_some_and(|job| job.is_open() && job.result_count() <= position)
    }

    /// Body of an item without a result.
    pub fn body(&self, job: &str, item: &str) -> Option<Payload> {
        self.jobs.get(job)?.body(item)
    }

    /// Items without a result, job by job in the order of submission.
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

    /// Whether an item is still to be run.
    pub fn is_open(&self, job: &str, item: ItemIndex) -> bool {
        let job = self.jobs.get(job);
        job.is_some_and(|job| job.is_unfinished(item))
    }

    /// Whether items of a job are still to be run.
    pub fn is_job_open(&self, job: &str) -> bool {
        self.jobs.get(job).is_some_and(Job::is_open)
    }

    /// Back ends that ran an item and failed.
    pub fn failures(&self, job: &str, item: ItemIndex) -> u32 {
        self.jobs.get(job).map_or(0, |job| job.failures(item))
    }

    /// Memory that the jobs take in bytes, about: bodies of items without a result for the most part.
    pub fn held_bytes(&self) -> usize {
        self.jobs.values().map(Job::held_bytes).sum()
    }

    /// Whether a job was taken in.
    pub fn holds(&self, job: &str) -> bool {
        self.jobs.contains_key(job)
    }

    /// Number of jobs.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    fn forget(&mut self, before: u64) {
        self.jobs
            .retain(|_, job| job.is_open() || job.submitted_at >= before);
    }

    fn has_forgettable(&self, before: u64) -> bool {
        let mut jobs = self.jobs.values();
        jobs.any(|job| !job.is_open() && job.submitted_at < before)
    }
}

impl StateMachine for JobTable {
    type Command = Command;
    type Outcome = Outcome;

    fn without_effect(&self, command: &Command, _now: u64) -> Option<Outcome> {
        match &command.action {
            Action::Submit { header, .. } => {
                let known = self.jobs.contains_key(&header.job);
                known.then_some(Outcome::Done)
            }
            Action::End { job } => match self.jobs.get(job) {
                None => Some(Outcome::UnknownJob),
                Some(job) => job.is_ended().then_some(Outcome::Done),
            },
            Action::Complete(_) | Action::Failed { .. } => None,
            Action::Forget { before } => {
                let nothing = !self.has_forgettable(*before);
                nothing.then_some(Outcome::Done)
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
                let id = header.job.clone();
                let submitted_at = command.at;
                self.jobs
                    .entry(id)
                    .or_insert_with(|| Job::new(header, items, submitted_at));
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
                    job.failed(item, run);
                }
            }
            Action::End { job } => match self.jobs.get_mut(&job) {
                Some(job) => job.end(),
                None => return Outcome::UnknownJob,
            },
            Action::Forget { before } => self.forget(before),
        }
        Outcome::Done
    }
}
