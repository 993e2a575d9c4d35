//! Error body for callers: typed code, remedy, and whether the request ran.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Whether a back end ran a refused or failed request (`Firshore-Execution`).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Execution {
    /// It certainly was not run; sending it again is safe.
    None,
    /// It may have been run, wholly or in part.
    Unknown,
    /// It was run to completion.
    Complete,
}

impl Execution {
    /// Returns the value of the `Firshore-Execution` header.
    pub fn header_value(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::Unknown => "unknown",
            Self::Complete => "complete",
        }
    }
}

macro_rules! error_codes {
    ($($(#[$meta:meta])* $name:ident = $code:literal, $status:literal, $remedy:literal;)*) => {
        /// Kind of an error, stable across versions.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        pub enum ErrorCode {
            $($(#[$meta])* #[serde(rename = $code)] $name,)*
        }

        impl ErrorCode {
            /// All codes, as listed on the reference page.
            pub const ALL: &'static [ErrorCode] = &[$(Self::$name,)*];

            /// Returns the code that callers receive.
            pub fn as_str(self) -> &'static str {
                match self { $(Self::$name => $code,)* }
            }

            /// Returns the HTTP status of the code.
            pub fn status(self) -> u16 {
                match self { $(Self::$name => $status,)* }
            }

            /// Returns the suggested action for the caller.
            pub fn remedy(self) -> &'static str {
                match self { $(Self::$name => $remedy,)* }
            }
        }
    };
}

error_codes! {
    /// The body is not valid JSON or lacks a field.
    InvalidRequest = "invalid_request", 400, "Correct the body as the message says and send it again.";
    /// A header has an unusable value.
    InvalidHeader = "invalid_header", 400, "Correct or remove the header that the message names.";
    /// A line of a batch is not a valid item.
    InvalidItem = "invalid_item", 400, "Correct the line that the message names and submit the whole job again.";
    /// No key, or an unknown key.
    Unauthorized = "unauthorized", 401, "Send 'Authorization: Bearer' with a key that a Tenant declaration lists.";
    /// The tenant may not use this service.
    Forbidden = "forbidden", 403, "Ask the operators for a policy that lets this tenant use the service.";
    /// No such path, job or service.
    NotFound = "not_found", 404, "Check the path, the job identifier and the service's name.";
    /// No declared service serves the model.
    UnknownModel = "unknown_model", 404, "Name a model that a declared service serves.";
    /// The path does not take this method.
    MethodNotAllowed = "method_not_allowed", 405, "Use the method that the reference gives for this path.";
    /// The change or key was already used for another purpose.
    Conflict = "conflict", 409, "Read the current state, then decide whether to send a new change or use a new key.";
    /// The request did not arrive in time.
    RequestTimeout = "request_timeout", 408, "Send the whole request again, without pauses.";
    /// The head of the request exceeds the limit.
    HeadTooLarge = "head_too_large", 431, "Send fewer or shorter headers, within the limit that the message gives.";
    /// The body exceeds the limit.
    TooLarge = "too_large", 413, "Send a body within the limit that the message gives.";
    /// The tenant's rate or concurrency limit is reached.
    RateLimited = "rate_limited", 429, "Wait as 'Retry-After' says, then send it again.";
    /// All eligible back ends and the queue are full.
    Overloaded = "overloaded", 429, "Wait as 'Retry-After' says, then send it again.";
    /// An internal failure.
    Internal = "internal", 500, "Report the request's time and this message to the operators.";
    /// The back end interrupted its response or violated its protocol.
    BackendFailed = "backend_failed", 502, "Send it again if it may run twice; otherwise check its effect first.";
    /// The node is leaving or cannot serve yet.
    Unavailable = "unavailable", 503, "Send it to another node, or wait as 'Retry-After' says.";
    /// No live back end is eligible.
    NoBackend = "no_backend", 503, "Wait as 'Retry-After' says; operators: check the pool's selector and the machine list.";
    /// No place in the regions that the route and the tenant allow can run or store the request.
    NoAllowedRegion = "no_allowed_region", 503, "Operators: list back ends and nodes with disks in the regions that the route and the tenant allow.";
    /// No back end of the software version that began the stream is listed.
    SoftwareUnavailable = "software_unavailable", 503, "Begin the stream anew, without a position, or wait as 'Retry-After' says.";
    /// It is unknown which software version began the stream.
    OriginUnknown = "origin_unknown", 503, "Name the attempt that began the stream, or begin it anew, without a position.";
    /// Back ends crash while they run the request.
    CrashesBackends = "crashes_back_ends", 503, "Do not repeat it unchanged before 'Retry-After' is over; operators: find the back ends in the log by 'explain'.";
    /// The journal cannot commit now.
    JournalUnavailable = "journal_unavailable", 503, "Wait as 'Retry-After' says, then send it again with the same key.";
    /// The node has no memory left for the request.
    MemoryFull = "memory_full", 503, "Wait as 'Retry-After' says, then send it again, or send it to another node.";
    /// The journal's replicas are out of disk space.
    StorageFull = "storage_full", 507, "Wait until the operators free space, then submit again with the same key.";
    /// The deadline passed.
    DeadlineExceeded = "deadline_exceeded", 504, "Send it again with a later deadline if the answer is still wanted.";
}

/// An error as sent to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ApiError {
    /// Kind.
    pub code: ErrorCode,
    /// What went wrong in this case.
    pub message: String,
    /// Whether the request ran.
    pub execution: Execution,
    /// Seconds to wait before another attempt.
    pub retry_after_seconds: Option<u32>,
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: ErrorDetail<'a>,
}

#[derive(Serialize)]
struct ErrorDetail<'a> {
    code: ErrorCode,
    message: &'a str,
    remedy: &'a str,
    execution: Execution,
}

impl ApiError {
    /// Creates an error for a request that certainly was not run.
    pub fn not_run(code: ErrorCode, message: impl Into<String>) -> Self {
        Self {
            code,
            message: message.into(),
            execution: Execution::None,
            retry_after_seconds: None,
        }
    }

    /// Creates an error for a request that may have been run.
    pub fn maybe_run(code: ErrorCode, message: impl Into<String>) -> Self {
        Self {
            execution: Execution::Unknown,
            ..Self::not_run(code, message)
        }
    }

    /// Sets the number of seconds that the caller should wait before another attempt.
    pub fn retry_after(mut self, seconds: u32) -> Self {
        self.retry_after_seconds = Some(seconds);
        self
    }

    /// Returns the JSON body: `{"error":{"code","message","remedy","execution"}}`.
    pub fn body(&self) -> String {
        let detail = ErrorDetail {
            code: self.code,
            message: &self.message,
            remedy: self.code.remedy(),
            execution: self.execution,
        };
        serde_json::to_string(&ErrorBody { error: detail }).expect("strings serialise")
    }
}

impl fmt::Display for ApiError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{}: {} {}",
            self.code.as_str(),
            self.message,
            self.code.remedy()
        )
    }
}

impl std::error::Error for ApiError {}
