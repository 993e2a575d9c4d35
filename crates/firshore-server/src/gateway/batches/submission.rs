//! Submission: the lines are checked and handed to the journal chunk by chunk as they arrive;
//! nothing is accepted until the journal has sealed the whole.

use super::lines::{JobShape, LineLimits, LineReader};
use crate::gateway::batches::unknown;
use crate::journal;
use crate::shared::Shared;
use actix_http::{HttpMessage, Request};
use firshore_batch::command::{Action, Item, Outcome, Submission, UploadId};
use firshore_batch::job::{Governance, JobSummary};
use firshore_types::configuration::key_digest;
use firshore_types::declaration::{Metadata, TenantSpec};
use firshore_types::error::{ApiError, ErrorCode, Execution};
use firshore_types::ids::{JobId, TenantName};
use firshore_types::labels::Labels;
use firshore_types::policy;
use futures_util::StreamExt;
use rand::RngExt;
use sha2::{Digest, Sha256};
use std::time::Duration;

/// Header with the caller's name for the submission.
pub const KEY_HEADER: &str = "idempotency-key";

/// Header with the job's labels, `key=value` separated by commas.
pub const LABELS_HEADER: &str = "firshore-labels";

/// Header with the time until the job's deadline, such as `24h`.
pub const COMPLETION_WINDOW_HEADER: &str = "firshore-completion-window";

/// Header with the time for which the job is kept after its end, such as `7d`.
pub const RETENTION_HEADER: &str = "firshore-retention";

const DEFAULT_RETENTION: Duration = Duration::from_secs(7 * 24 * 3600);
const MAXIMUM_RETENTION: Duration = Duration::from_secs(30 * 24 * 3600);

/// A chunk goes to the journal once it has this many items.
const CHUNK_ITEMS: usize = 2_000;

/// A chunk goes to the journal once its bodies have this many bytes.
const CHUNK_BYTES: usize = 512 * 1024;

/// How often a chunk is proposed again when the journal does not commit it.
const ATTEMPTS: u32 = 10;

/// Pause before a chunk is proposed again.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Seconds after which a refused submission may be sent again.
const RETRY_AFTER_SECONDS: u32 = 2;

/// What a submission's headers say.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SubmissionHeaders {
    /// The caller's name for it.
    pub key: String,
    /// Labels.
    pub labels: Labels,
    /// Time until the deadline.
    pub completion_window: Option<Duration>,
    /// Time for which the job is kept.
    pub retention: Duration,
}

/// Reads a time such as `90s`, `15m`, `24h` or `7d`.
pub fn parse_duration(text: &str) -> Option<Duration> {
    let unit = text.chars().last()?;
    let seconds_per_unit = match unit {
        's' => 1,
        'm' => 60,
        'h' => 3_600,
        'd' => 86_400,
        _ => return None,
    };
    let number: u64 = text[..text.len() - 1].parse().ok()?;
    Some(Duration::from_secs(number.checked_mul(seconds_per_unit)?))
}

impl SubmissionHeaders {
    /// Reads them through `header`, which gives a header's value.
    pub fn read(header: impl Fn(&str) -> Option<String>) -> Result<Self, ApiError> {
        let invalid = |message: String| ApiError::not_run(ErrorCode::InvalidHeader, message);
        let key = header(KEY_HEADER).filter(|key| !key.is_empty());
        let key =
            key.ok_or_else(|| invalid("A job needs an 'Idempotency-Key' header.".to_owned()))?;
        let duration = |name: &str| {
            let parsed = header(name).map(|text| {
                parse_duration(&text)
                    .ok_or_else(|| invalid(format!("'{name}: {text}' is not a time such as 24h.")))
            });
            parsed.transpose()
        };
        let retention = duration(RETENTION_HEADER)?.unwrap_or(DEFAULT_RETENTION);
        if retention > MAXIMUM_RETENTION {
            return Err(invalid(format!("'{RETENTION_HEADER}' exceeds 30d.")));
        }
        Ok(Self {
            key,
            labels: parse_labels(&header(LABELS_HEADER).unwrap_or_default())?,
            completion_window: duration(COMPLETION_WINDOW_HEADER)?,
            retention,
        })
    }
}

fn parse_labels(text: &str) -> Result<Labels, ApiError> {
    let mut pairs = Vec::new();
    for pair in text
        .split(',')
        .map(str::trim)
        .filter(|pair| !pair.is_empty())
    {
        let parts = pair.split_once('=').ok_or_else(|| {
            let message = format!("'{LABELS_HEADER}': '{pair}' is not key=value.");
            ApiError::not_run(ErrorCode::InvalidHeader, message)
        })?;
        pairs.push((parts.0.trim(), parts.1.trim()));
    }
    Ok(Labels::from_pairs(pairs))
}

/// One submission on its way into the journal.
struct Upload<'a> {
    shared: &'a Shared,
    id: UploadId,
    tenant: &'a Metadata,
    tenant_spec: &'a TenantSpec,
    headers: SubmissionHeaders,
    opened: bool,
    /// The job exists already: only the digest counts.
    exists: bool,
    chunk: Vec<Item>,
    chunk_bytes: usize,
    sequence: u32,
}

/// Takes in a whole submission.
pub async fn submit(
    shared: &Shared,
    request: &mut Request,
    tenant: &Metadata,
    tenant_spec: &TenantSpec,
) -> Result<JobSummary, ApiError> {
    let headers = SubmissionHeaders::read(|name| {
        let value = request.headers().get(name)?;
        value.to_str().ok().map(str::to_owned)
    })?;
    let digest = key_digest(&format!("{}\n{}", tenant.name, headers.key));
    let id = UploadId {
        job: JobId(format!("batch_{}", &digest[..32])),
        attempt: rand::rng().random(),
    };
    let mut upload = Upload {
        shared,
        id,
        tenant,
        tenant_spec,
        headers,
        opened: false,
        exists: false,
        chunk: Vec::new(),
        chunk_bytes: 0,
        sequence: 0,
    };
    let result = upload.run(request).await;
    if result.is_err() && upload.opened {
        // Nothing of it was accepted; should this be lost, the upload is dropped after a while.
        let _ = journal::propose(shared, Action::Abandon(upload.id)).await;
    }
    result
}

impl Upload<'_> {
    async fn run(&mut self, request: &mut Request) -> Result<JobSummary, ApiError> {
        let limits = &self.shared.settings.limits;
        let mut reader = LineReader::new(LineLimits {
            line_bytes: limits.request_body_bytes,
            items: limits.batch_items,
        });
        let mut digest = Sha256::new();
        let mut length = 0;
        let mut payload = request.take_payload();
        while let Some(bytes) = payload.next().await {
            let bytes = bytes.map_err(|error| {
                let message = format!("The body broke off: {error}.");
                ApiError::not_run(ErrorCode::InvalidRequest, message)
            })?;
            length += bytes.len();
            if length > limits.batch_body_bytes {
                let message = format!("The body exceeds {} bytes.", limits.batch_body_bytes);
                return Err(ApiError::not_run(ErrorCode::TooLarge, message));
            }
            digest.update(&bytes);
            let items = reader.push(&bytes)?;
            self.take(items, &reader).await?;
        }
        let last = reader.finish()?;
        self.take(last.into_iter().collect(), &reader).await?;
        self.flush().await?;
        let digest = hex::encode(digest.finalize());
        self.seal(digest, reader.items() as u32).await
    }

    async fn take(&mut self, items: Vec<Item>, reader: &LineReader) -> Result<(), ApiError> {
        if let Some(shape) = reader.shape().filter(|_| !self.opened) {
            self.open(shape).await?;
        }
        if self.exists {
            return Ok(());
        }
        for item in items {
            self.chunk_bytes += item.body.len() + item.custom_id.len();
            self.chunk.push(item);
            if self.chunk.len() >= CHUNK_ITEMS || self.chunk_bytes >= CHUNK_BYTES {
                self.flush().await?;
            }
        }
        Ok(())
    }

    fn submission(&self, shape: &JobShape) -> Result<Submission, ApiError> {
        let view = self.shared.configuration();
        let (service, _) = view.service_of_model(&shape.model).ok_or_else(|| {
            let message = format!("No model '{}'.", shape.model);
            ApiError::not_run(ErrorCode::UnknownModel, message)
        })?;
        let labels = &self.headers.labels;
        let tenant = (self.tenant, self.tenant_spec);
        let policy = policy::effective(&view.configuration, tenant, service, Some(labels));
        let window = self.headers.completion_window;
        Ok(Submission {
            job: self.id.job.clone(),
            tenant: TenantName(self.tenant.name.clone()),
            labels: labels.clone(),
            endpoint: shape.endpoint.clone(),
            model: shape.model.clone(),
            deadline_milliseconds: window.map(|window| window.as_millis() as u64),
            retention_milliseconds: self.headers.retention.as_millis() as u64,
            governance: Governance {
                revision: view.configuration.revision,
                priority: policy.priority,
                paused: !policy.batch_allowed,
                backends: policy.backends,
            },
        })
    }

    async fn open(&mut self, shape: &JobShape) -> Result<(), ApiError> {
        let submission = Box::new(self.submission(shape)?);
        let upload = self.id.clone();
        let action = Action::Open { upload, submission };
        match self.commit(action).await? {
            Outcome::Opened { exists } => {
                self.opened = true;
                self.exists = exists;
                Ok(())
            }
            Outcome::TooManyUploads => {
                let message = "Too many jobs are being submitted.";
                let error = ApiError::not_run(ErrorCode::Overloaded, message);
                Err(error.retry_after(RETRY_AFTER_SECONDS))
            }
            _ => Err(unexpected()),
        }
    }

    async fn flush(&mut self) -> Result<(), ApiError> {
        if self.chunk.is_empty() {
            return Ok(());
        }
        let action = Action::Append {
            upload: self.id.clone(),
            sequence: self.sequence,
            items: std::mem::take(&mut self.chunk),
        };
        self.sequence += 1;
        self.chunk_bytes = 0;
        match self.commit(action).await? {
            Outcome::Done => Ok(()),
            _ => Err(dropped()),
        }
    }

    async fn seal(&self, body_digest: String, total: u32) -> Result<JobSummary, ApiError> {
        let action = Action::Seal {
            upload: self.id.clone(),
            body_digest,
            total,
        };
        let outcome = self.commit(action).await.map_err(|mut error| {
            // The job may have been accepted without the answer coming through.
            error.execution = Execution::Unknown;
            error
        })?;
        match outcome {
            Outcome::Job(summary) => Ok(*summary),
            Outcome::Conflict => Err(ApiError::not_run(
                ErrorCode::Conflict,
                "This Idempotency-Key was used for a job with another body.",
            )),
            Outcome::UnknownUpload => Err(dropped()),
            Outcome::UnknownJob => Err(unknown(self.id.job.as_str())),
            _ => Err(unexpected()),
        }
    }

    /// Proposes until the journal commits: each of these actions counts once however often it is
    /// proposed.
    async fn commit(&self, action: Action) -> Result<Outcome, ApiError> {
        let mut attempt = 1;
        loop {
            match journal::propose(self.shared, action.clone()).await {
                Err(error) if error.code == ErrorCode::JournalUnavailable && attempt < ATTEMPTS => {
                    attempt += 1;
                    actix_rt::time::sleep(RETRY_PAUSE).await;
                }
                // Nothing is accepted before the seal.
                Err(error) => {
                    let mut error = error.retry_after(RETRY_AFTER_SECONDS);
                    error.execution = Execution::None;
                    return Err(error);
                }
                Ok(outcome) => return Ok(outcome),
            }
        }
    }
}

fn dropped() -> ApiError {
    let message = "The submission took too long and was dropped.";
    ApiError::not_run(ErrorCode::JournalUnavailable, message).retry_after(RETRY_AFTER_SECONDS)
}

fn unexpected() -> ApiError {
    ApiError::maybe_run(ErrorCode::Internal, "The journal answered unexpectedly.")
}
