//! Which process a back end is: its name, and where it tells so the start of its process.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;

/// Name that a back end is listed under. Its process may end and start again under the same one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BackendName(Arc<str>);

impl BackendName {
    /// Returns the name as it is listed.
    pub fn as_str(&self) -> &str {
        &self.0
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

/// Start of a process in Unix milliseconds, by its own clock: compared with other starts of the same back end
/// only.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct StartTime(pub u64);

/// Identity of one run of a back end's process. An address may be reused, and so may a name where the start
/// is told; an incarnation never is.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation {
    /// Name.
    pub name: BackendName,
    /// Start, where the back end tells it.
    pub started: Option<StartTime>,
}

impl Incarnation {
    /// Returns the one of a back end that does not tell its start: every start has a name of its own.
    pub fn named(name: impl Into<BackendName>) -> Self {
        Self {
            name: name.into(),
            started: None,
        }
    }

    /// Returns the one of a back end that started then.
    pub fn started(name: impl Into<BackendName>, started: StartTime) -> Self {
        Self {
            name: name.into(),
            started: Some(started),
        }
    }

    /// Whether `other` is a later start of the same back end: this one has ended then.
    pub fn is_succeeded_by(&self, other: &Self) -> bool {
        let (Some(own), Some(others)) = (self.started, other.started) else {
            return false;
        };
        self.name == other.name && own < others
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
