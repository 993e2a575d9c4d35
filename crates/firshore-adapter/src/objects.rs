//! Versioned objects in an external store: listed in pages, written by compare-and-set, watched from
//! a revision.
//!
//! The store may be slow or unavailable, refuse a call, lose a response after it applied the change,
//! apply a change seconds later, or discard its history. Every write therefore carries the expected
//! revision or creates an object, and an unknown outcome is resolved by reading.

use futures_util::future::LocalBoxFuture;
use quick_error::quick_error;
use serde_json::Value;
use std::time::Duration;

/// Position in the store's history; increases with each change.
pub type Revision = u64;

/// One object.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Object {
    /// Name, unique within its kind; empty if it cannot be read.
    pub name: String,
    /// Revision of its last change.
    pub revision: Revision,
    /// Desired state; null if it cannot be read.
    pub spec: Value,
    /// Actual state; null if it cannot be read.
    pub status: Value,
}

/// One page of a listing.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Page {
    /// Objects, in order of name.
    pub objects: Vec<Object>,
    /// Whether more objects follow after the last name.
    pub more: bool,
    /// Revision of the store that the page shows.
    pub revision: Revision,
}

impl Page {
    /// Returns the last readable name, after which the next page starts.
    pub fn cursor(&self) -> Option<&str> {
        let names = self.objects.iter().map(|object| object.name.as_str());
        names.rev().find(|name| !name.is_empty())
    }
}

/// A change of one object.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// It was created or changed.
    Written(Object),
    /// It was deleted.
    Removed(String),
}

impl Change {
    /// Returns the object's name; empty if it cannot be read.
    pub fn name(&self) -> &str {
        match self {
            Self::Written(object) => &object.name,
            Self::Removed(name) => name,
        }
    }
}

/// Changes after a revision, in order.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Changes {
    /// Changes; empty if the wait expired.
    pub changes: Vec<Change>,
    /// Revision from which to continue.
    pub revision: Revision,
}

quick_error! {
    /// Error of a store call.
    #[derive(Clone, Debug, PartialEq)]
    pub enum ObjectError {
        /// The object has another revision; nothing was written.
        Conflict {
            display("The object has another revision. Read it and decide anew.")
        }
        /// No such object.
        Missing {
            display("There is no such object. Create it first.")
        }
        /// The store no longer has the changes since that revision.
        HistoryGone {
            display("The store has forgotten the changes since that revision. List anew.")
        }
        /// The store refused the call; nothing was changed.
        Refused(reason: String) {
            display("The store refused: {reason}. Try again later.")
        }
        /// No valid response: a write may or may not take effect, even seconds later.
        Unanswered(reason: String) {
            display("The store did not answer: {reason}. Read back to learn whether a write took effect.")
        }
    }
}

/// A result of the store.
pub type Answer<'a, T> = LocalBoxFuture<'a, Result<T, ObjectError>>;

/// A store of versioned objects. Every call has a timeout.
pub trait ObjectStore {
    /// Returns one page of a kind's objects, starting after the given name.
    fn list<'a>(&'a self, kind: &'a str, after: Option<&'a str>) -> Answer<'a, Page>;

    /// Returns the current state of one object.
    fn get<'a>(&'a self, kind: &'a str, name: &'a str) -> Answer<'a, Option<Object>>;

    /// Creates an object; fails with a conflict if the name exists.
    fn create<'a>(&'a self, kind: &'a str, name: &'a str, spec: Value) -> Answer<'a, ()>;

    /// Replaces the desired state if the object still has this revision.
    fn replace<'a>(
        &'a self,
        kind: &'a str,
        name: &'a str,
        revision: Revision,
        spec: Value,
    ) -> Answer<'a, ()>;

    /// Replaces the actual state if the object still has this revision.
    fn replace_status<'a>(
        &'a self,
        kind: &'a str,
        name: &'a str,
        revision: Revision,
        status: Value,
    ) -> Answer<'a, ()>;

    /// Returns a revision, possibly seconds old, by the cheapest call available. Shows that the store is
    /// reachable, and possibly that something has changed.
    fn reach<'a>(&'a self) -> Answer<'a, Revision>;

    /// Returns the changes of a kind after a revision; waits up to `wait` for the first one.
    fn watch<'a>(&'a self, kind: &'a str, after: Revision, wait: Duration) -> Answer<'a, Changes>;
}
