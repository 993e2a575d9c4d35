//! Commands on the table of jobs, and their outcomes.

use firshore_adapter::jobs::{ItemOutcome, JobItem};
use firshore_types::ids::TenantName;
use serde::{Deserialize, Serialize};

/// Position of an item in its job, as submitted.
pub type ItemIndex = u32;

/// Properties of a job apart from its items.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobHeader {
    /// Key, unique among the jobs of all tenants.
    pub job: String,
    /// Name of the tenant that it belongs to; `None` if its caller needed no key.
    #[serde(default)]
    pub tenant: Option<TenantName>,
    /// Name of the route that it was submitted on.
    #[serde(default)]
    pub route: String,
    /// Host of the route that it was submitted on.
    pub host: String,
    /// Maximum number of back ends that may fail on one of its items.
    pub attempts: u32,
    /// Time from the submission after which an item may be given up, in milliseconds.
    pub give_up_after: u64,
    /// Time from the submission by which all results are due, in milliseconds.
    #[serde(default)]
    pub due_after: Option<u64>,
    /// Maximum number of tokens that its tenant's items without a result may have on the route.
    #[serde(default)]
    pub most_waiting_tokens: Option<u64>,
}

/// The result of one item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Completion {
    /// Key of the job.
    pub job: String,
    /// Position of the item.
    pub item: ItemIndex,
    /// Outcome of the item.
    pub outcome: ItemOutcome,
}

/// A change of the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Action {
    /// Adds a job. A known job stays unchanged.
    Submit {
        /// Properties of the job.
        header: JobHeader,
        /// Its items.
        items: Vec<JobItem>,
    },
    /// Adds results. Only the first result of an item counts, and none of a job that was ended.
    Complete(Vec<Completion>),
    /// Records that a back end ran an item and failed.
    Failed {
        /// Key of the job.
        job: String,
        /// Position of the item.
        item: ItemIndex,
        /// Random number of the run. A failure that is proposed again after a lost response counts
        /// once.
        run: u64,
    },
    /// Ends a job: its results stay, the other items are not run.
    End {
        /// Key of the job.
        job: String,
    },
    /// Removes jobs without open items that were submitted before a time.
    Forget {
        /// Time in Unix milliseconds.
        before: u64,
    },
}

/// A command as committed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Command {
    /// Clock of the leader, in Unix milliseconds.
    pub at: u64,
    /// The change of the table.
    pub action: Action,
}

impl From<Action> for Command {
    fn from(action: Action) -> Self {
        Self { at: 0, action }
    }
}

/// Outcome of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The command took effect, now or before.
    Done,
    /// There is no such job.
    UnknownJob,
    /// The job was not added: its tenant's waiting items would exceed their maximum.
    TooMuchWaiting,
}
