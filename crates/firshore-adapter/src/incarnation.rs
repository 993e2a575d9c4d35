//! Identity of a back end's process: its name and, if reported, its start time.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;

/// Name under which a back end is listed. A restarted process keeps the name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(from = "String", into = "String")]
pub struct BackendName(Arc<str>);

impl BackendName {
    /// Returns the listed name.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl From<BackendName> for String {
    fn from(name: BackendName) -> Self {
        name.as_str().to_owned()
    }
}

impl<T: Into<Arc<str>>> From<T> for BackendName {
    fn from(name: T) -> Self {
        Self(name.into())
    }
}

impl fmt::Display for BackendName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

/// Start time of a process in Unix milliseconds by the back end's clock. Comparable only with other start
/// times of the same back end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct StartTime(pub u64);

/// Identity of one run of a back end's process. Unlike an address or a name, it is never reused.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation {
    /// Name.
    #[serde(rename = "n")]
    pub name: BackendName,
    /// Start time, if the back end reports it.
    #[serde(rename = "t", default, skip_serializing_if = "Option::is_none")]
    pub started: Option<StartTime>,
}

impl Incarnation {
    /// Returns the incarnation of a back end that reports no start time and has a new name at each start.
    pub fn named(name: impl Into<BackendName>) -> Self {
        Self {
            name: name.into(),
            started: None,
        }
    }

    /// Returns the incarnation of a back end with the given start time.
    pub fn started(name: impl Into<BackendName>, started: StartTime) -> Self {
        Self {
            name: name.into(),
            started: Some(started),
        }
    }

    /// Returns whether `other` is a later run of the same back end, so that this one has ended.
    pub fn is_succeeded_by(&self, other: &Self) -> bool {
        let (Some(start), Some(other_start)) = (self.started, other.started) else {
            return false;
        };
        self.name == other.name && start < other_start
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.started {
            Some(started) => write!(formatter, "{}@{}", self.name, started.0),
            None => write!(formatter, "{}", self.name),
        }
    }
}
