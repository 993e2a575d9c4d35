//! What the environment's own objects mean.

use crate::backend::Backend;
use crate::configuration::ServingConfiguration;
use crate::objects::Object;
use quick_error::quick_error;
use serde_json::Value;
use std::time::Duration;

quick_error! {
    /// Why an object cannot be understood.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum DecodeError {
        /// A field is missing or unusable.
        Invalid(object: String, reason: String) {
            display("The object '{object}' cannot be used: {reason}. Correct it in the store.")
        }
    }
}

/// Longest reason that is told of a refusal, in bytes: it may quote what another writer wrote.
const LONGEST_REASON: usize = 200;

/// Returns the begin of a reason, where it is long.
pub fn brief(reason: impl ToString) -> String {
    let mut reason = reason.to_string();
    let end = reason.floor_char_boundary(LONGEST_REASON);
    reason.truncate(end);
    reason
}

/// A wish to empty a node with a disk.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Retirement {
    /// Node.
    pub node: String,
    /// Time that the operator gives.
    pub within: Duration,
    /// Whether its status says already that it is empty.
    pub done: bool,
}

/// How far a retirement is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetirementProgress {
    /// The node is being emptied.
    Running,
    /// Nothing that must last depends on it any more; its disk may be taken away.
    Done,
}

/// Kinds of the environment's objects, and their content.
pub trait Decoder {
    /// Kind that holds the back ends.
    fn backend_kind(&self) -> &str;

    /// Kind that holds the configuration.
    fn configuration_kind(&self) -> &str;

    /// Name of the configuration's object.
    fn configuration_name(&self) -> &str;

    /// Kind that holds wishes to empty nodes.
    fn retirement_kind(&self) -> &str;

    /// Reads a back end.
    fn backend(&self, object: &Object) -> Result<Backend, DecodeError>;

    /// Reads a configuration.
    fn configuration(&self, object: &Object) -> Result<ServingConfiguration, DecodeError>;

    /// Reads a wish to empty a node.
    fn retirement(&self, object: &Object) -> Result<Retirement, DecodeError>;

    /// The status that reports a retirement's progress.
    fn retirement_status(&self, progress: RetirementProgress) -> Value;
}
