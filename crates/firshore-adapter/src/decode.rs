//! Decoding of the environment's objects.

use crate::backend::Backend;
use crate::configuration::ServingConfiguration;
use crate::objects::Object;
use quick_error::quick_error;
use serde_json::Value;
use std::time::Duration;

quick_error! {
    /// Error in decoding an object.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum DecodeError {
        /// A field is missing or invalid.
        Invalid(object: String, reason: String) {
            display("The object '{}' cannot be used: {reason}. Correct it in the store.", log_name(object))
        }
    }
}

/// Limits the length of a reported reason, as it may quote text of another writer.
const MAX_REASON_BYTES: usize = 200;

/// Maximum length in bytes of an object's name in a log line.
const MAX_LOGGED_NAME_BYTES: usize = 256;

/// Truncates a long reason.
pub fn brief(reason: impl ToString) -> String {
    truncated(reason.to_string(), MAX_REASON_BYTES)
}

/// Returns the name of an object for a log line, escaped and truncated, as other writers may use any characters.
pub fn log_name(name: &str) -> String {
    truncated(name.escape_debug().to_string(), MAX_LOGGED_NAME_BYTES)
}

fn truncated(mut text: String, max_bytes: usize) -> String {
    text.truncate(text.floor_char_boundary(max_bytes));
    text
}

/// An operator's request to empty a node with a disk.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Retirement {
    /// Node.
    pub node: String,
    /// Time limit set by the operator.
    pub within: Duration,
    /// Whether its status already reports that the node is empty.
    pub done: bool,
}

/// Progress of a retirement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetirementProgress {
    /// The node is being emptied.
    Running,
    /// No durable data depends on the node any longer; its disk may be removed.
    Done,
}

/// Names and decodes the environment's objects.
pub trait Decoder {
    /// Returns the kind that holds the back ends.
    fn backend_kind(&self) -> &str;

    /// Returns the kind that holds the configuration.
    fn configuration_kind(&self) -> &str;

    /// Returns the name of the configuration's object.
    fn configuration_name(&self) -> &str;

    /// Returns the kind that holds requests to empty nodes.
    fn retirement_kind(&self) -> &str;

    /// Returns the kind that holds requests to drain zones. Each object is named after a zone, whose back ends get
    /// no further requests until it is removed.
    fn zone_drain_kind(&self) -> &str;

    /// Decodes a back end.
    fn backend(&self, object: &Object) -> Result<Backend, DecodeError>;

    /// Decodes a configuration.
    fn configuration(&self, object: &Object) -> Result<ServingConfiguration, DecodeError>;

    /// Decodes a request to empty a node.
    fn retirement(&self, object: &Object) -> Result<Retirement, DecodeError>;

    /// Returns the status that reports a retirement's progress.
    fn retirement_status(&self, progress: RetirementProgress) -> Value;
}
