//! Batch jobs over HTTP: submissions, other calls, and results.

use actix_http::Method;
use actix_http::header::HeaderMap;
use firshore_types::ids::TenantName;
use firshore_types::payload::Payload;
use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use std::time::Duration;

quick_error! {
    /// Error in reading a call about a job.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum JobCallError {
        /// A field is missing or invalid.
        Invalid(reason: String) {
            display("The call cannot be used: {reason}. Correct it and send it again.")
        }
    }
}

/// Separates tenant and identifier in [`JobId::journal_key`]. Header values and paths cannot contain it,
/// so keys are unambiguous.
const KEY_SEPARATOR: char = '\u{1f}';

/// Key of a job: its tenant and the identifier that the tenant chose, unique within the tenant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobId {
    /// Tenant; `None` for jobs of callers without a key, which any caller may read.
    pub tenant: Option<TenantName>,
    /// Identifier, as callers name it.
    pub id: String,
}

impl JobId {
    /// Returns the key of a job without a tenant.
    pub fn of_nobody(id: impl Into<String>) -> Self {
        Self {
            tenant: None,
            id: id.into(),
        }
    }

    /// Returns the job's key in the journal, unique across tenants.
    pub fn journal_key(&self) -> String {
        match &self.tenant {
            None => self.id.clone(),
            Some(tenant) => format!("{tenant}{KEY_SEPARATOR}{}", self.id),
        }
    }
}

/// Extracts the caller's job identifier from a journal key.
pub fn caller_id(journal_key: &str) -> &str {
    match journal_key.rsplit_once(KEY_SEPARATOR) {
        None => journal_key,
        Some((_, id)) => id,
    }
}

/// One submitted item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobItem {
    /// Identifier, unique within the job.
    pub id: String,
    /// Request path.
    pub path: String,
    /// Request headers.
    pub headers: Vec<(String, String)>,
    /// Request body.
    pub body: Payload,
    /// Tokens of the prompt plus the maximum of output tokens.
    pub tokens: u64,
}

/// Approximate overhead of allocator and containers for each stored field of an item.
const OVERHEAD_BYTES: usize = 64;

impl JobItem {
    /// Returns the approximate memory use in bytes.
    pub fn held_bytes(&self) -> usize {
        let headers = self.headers.iter();
        let headers = headers.map(|(name, value)| name.len() + value.len() + OVERHEAD_BYTES);
        let parts = self.id.len() + self.path.len() + self.body.0.len();
        size_of::<Self>() + parts + headers.sum::<usize>()
    }
}

/// A call about a job, other than its submission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobCall {
    /// Read results from a position; wait up to `wait` for the first one.
    Results {
        /// Job.
        job: String,
        /// First position to return.
        from: u64,
        /// Maximum wait for a result.
        wait: Duration,
    },
    /// Read the body of an item that has no result yet.
    Body {
        /// Job.
        job: String,
        /// Item.
        item: String,
    },
    /// Cancel the job.
    End {
        /// Job.
        job: String,
    },
}

/// Outcome of an item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ItemOutcome {
    /// It completed; holds the data of its events in order.
    Done(Vec<String>),
    /// It was abandoned without a result.
    GivenUp,
}

/// Result of one item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemResult {
    /// Item.
    pub item: String,
    /// Outcome.
    pub outcome: ItemOutcome,
}

/// One page of a job's results.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResultPage {
    /// Number of items in the job.
    pub total: u64,
    /// Position of the first result.
    pub from: u64,
    /// Results in order of position.
    pub results: Vec<ItemResult>,
}

/// Parses calls about jobs and encodes their responses. Used for requests on job routes and for requests
/// that match no route.
pub trait JobDialect {
    /// Parses a request as a job call; `None` if it does not concern a job.
    fn read_call(
        &self,
        method: &Method,
        path: &str,
        query: &str,
        headers: &HeaderMap,
    ) -> Option<Result<JobCall, JobCallError>>;

    /// Returns the identifier of a submitted job.
    fn job_id(&self, headers: &HeaderMap) -> Option<String>;

    /// Returns an upper bound on the memory that [`Self::read_submission`] takes, in bytes, without parsing the body.
    fn submission_bytes(&self, body: &[u8]) -> usize;

    /// Parses the items of a submission.
    fn read_submission(&self, body: &[u8]) -> Result<Vec<JobItem>, JobCallError>;

    /// Encodes results as JSON.
    fn write_results(&self, page: &ResultPage) -> Vec<u8>;

    /// Returns the name of the header that carries an item's identifier.
    fn item_id_header(&self) -> &'static str;
}
