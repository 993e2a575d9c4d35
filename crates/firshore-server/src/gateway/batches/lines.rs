//! The lines of a submitted job, split from the stream and checked one by one.

use bytes::BytesMut;
use firshore_batch::command::Item;
use firshore_types::error::{ApiError, ErrorCode};
use serde::Deserialize;
use serde_json::value::RawValue;
use sha2::{Digest, Sha256};
use std::collections::HashSet;

const DEFAULT_ENDPOINT: &str = "/v1/completions";
const ENDPOINTS: [&str; 2] = [DEFAULT_ENDPOINT, "/v1/chat/completions"];

/// Longest `custom_id` in bytes.
const MAXIMUM_NAME_BYTES: usize = 512;

#[derive(Deserialize)]
struct Line {
    custom_id: String,
    method: Option<String>,
    url: Option<String>,
    #[serde(default = "default_repeatable")]
    repeatable: bool,
    body: Box<RawValue>,
}

#[derive(Deserialize)]
struct RequestBody {
    model: String,
    #[serde(default)]
    stream: bool,
}

fn default_repeatable() -> bool {
    true
}

/// Limits on a submission.
#[derive(Clone, Copy, Debug)]
pub struct LineLimits {
    /// Longest line in bytes.
    pub line_bytes: usize,
    /// Most items.
    pub items: usize,
}

/// What all items of a job have in common, taken from its first line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobShape {
    /// Path that every item is sent to.
    pub endpoint: String,
    /// Model that every item names.
    pub model: String,
}

/// Turns the bytes of a submission into items. Holds no more than one line and a digest of each
/// name seen.
pub struct LineReader {
    limits: LineLimits,
    rest: BytesMut,
    line_number: u64,
    items: usize,
    names: HashSet<[u8; 16]>,
    shape: Option<JobShape>,
}

impl LineReader {
    /// A reader at the start of a submission.
    pub fn new(limits: LineLimits) -> Self {
        Self {
            limits,
            rest: BytesMut::new(),
            line_number: 0,
            items: 0,
            names: HashSet::new(),
            shape: None,
        }
    }

    /// What the items have in common, once there is one.
    pub fn shape(&self) -> Option<&JobShape> {
        self.shape.as_ref()
    }

    /// Items seen.
    pub fn items(&self) -> usize {
        self.items
    }

    /// Takes bytes in and gives the items of the lines that they complete.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<Item>, ApiError> {
        let mut items = Vec::new();
        let mut bytes = bytes;
        while let Some(end) = bytes.iter().position(|byte| *byte == b'\n') {
            self.extend(&bytes[..end])?;
            bytes = &bytes[end + 1..];
            items.extend(self.finish_line()?);
        }
        self.extend(bytes)?;
        Ok(items)
    }

    /// Takes the last line, which needs no line feed.
    pub fn finish(&mut self) -> Result<Option<Item>, ApiError> {
        let item = self.finish_line()?;
        if self.items == 0 {
            let message = "The job has no items.";
            return Err(ApiError::not_run(ErrorCode::InvalidItem, message));
        }
        Ok(item)
    }

    fn extend(&mut self, bytes: &[u8]) -> Result<(), ApiError> {
        if self.rest.len() + bytes.len() > self.limits.line_bytes {
            let number = self.line_number + 1;
            let limit = self.limits.line_bytes;
            let message = format!("Line {number} exceeds {limit} bytes.");
            return Err(ApiError::not_run(ErrorCode::TooLarge, message));
        }
        self.rest.extend_from_slice(bytes);
        Ok(())
    }

    fn finish_line(&mut self) -> Result<Option<Item>, ApiError> {
        self.line_number += 1;
        let line = self.rest.split();
        if line.iter().all(u8::is_ascii_whitespace) {
            return Ok(None);
        }
        if self.items == self.limits.items {
            let message = format!("The job has more than {} items.", self.limits.items);
            return Err(ApiError::not_run(ErrorCode::TooLarge, message));
        }
        let item = self.parse(&line).map_err(|reason| {
            let message = format!("Line {}: {reason}.", self.line_number);
            ApiError::not_run(ErrorCode::InvalidItem, message)
        })?;
        self.items += 1;
        Ok(Some(item))
    }

    fn parse(&mut self, line: &[u8]) -> Result<Item, String> {
        let line: Line = serde_json::from_slice(line).map_err(|error| error.to_string())?;
        if line.custom_id.len() > MAXIMUM_NAME_BYTES {
            return Err(format!("custom_id exceeds {MAXIMUM_NAME_BYTES} bytes"));
        }
        if line.method.is_some_and(|method| method != "POST") {
            return Err("method must be POST".to_owned());
        }
        let body = line.body.get();
        let request: RequestBody =
            serde_json::from_str(body).map_err(|error| format!("body: {error}"))?;
        if request.stream {
            return Err("body: stream must not be true in a batch".to_owned());
        }
        let endpoint = line.url.unwrap_or_else(|| DEFAULT_ENDPOINT.to_owned());
        self.check_shape(JobShape {
            endpoint,
            model: request.model,
        })?;
        if !self.names.insert(digest(&line.custom_id)) {
            return Err(format!("custom_id '{}' stands twice", line.custom_id));
        }
        Ok(Item {
            custom_id: line.custom_id,
            body: body.to_owned(),
            repeatable: line.repeatable,
        })
    }

    fn check_shape(&mut self, shape: JobShape) -> Result<(), String> {
        let Some(known) = &self.shape else {
            if !ENDPOINTS.contains(&shape.endpoint.as_str()) {
                return Err(format!("url must be one of {}", ENDPOINTS.join(", ")));
            }
            self.shape = Some(shape);
            return Ok(());
        };
        if known.endpoint != shape.endpoint {
            return Err(format!("url differs from '{}' before", known.endpoint));
        }
        if known.model != shape.model {
            return Err(format!("model differs from '{}' before", known.model));
        }
        Ok(())
    }
}

/// The first half of the SHA-256: enough that two names never share it by accident.
fn digest(name: &str) -> [u8; 16] {
    let whole = Sha256::digest(name.as_bytes());
    let mut half = [0; 16];
    half.copy_from_slice(&whole[..16]);
    half
}
