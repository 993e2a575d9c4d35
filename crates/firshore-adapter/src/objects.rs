//! Versioned objects in a store outside: listed in pages, written by compare-and-set, watched from
//! a revision.
//!
//! The store may be slow or down, may refuse, may lose an answer after the change was made or make
//! it seconds later, and may forget its history. So every write carries a revision or creates, and
//! an unknown outcome is settled by reading.

use futures_util::future::LocalBoxFuture;
use quick_error::quick_error;
use serde_json::Value;
use std::time::Duration;

/// Position in the store's history; rises with each change.
pub type Revision = u64;

/// One object.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Object {
    /// Name, unique within its kind; empty where what the store holds has none that can be read.
    pub name: String,
    /// Revision of its last change.
    pub revision: Revision,
    /// What is wanted; null where it cannot be read.
    pub spec: Value,
    /// What is; null where it cannot be read.
    pub status: Value,
}

/// A part of a listing.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Page {
    /// Objects, in order of name.
    pub objects: Vec<Object>,
    /// Whether more follow after the last name.
    pub more: bool,
    /// Revision of the store that the page shows.
    pub revision: Revision,
}

impl Page {
    /// Returns the last name that can be read: the listing goes on after it.
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
    /// It is gone.
    Removed(String),
}

impl Change {
    /// Returns the object's name; empty where it cannot be read.
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
    /// Changes; none if the wait ran out.
    pub changes: Vec<Change>,
    /// Revision to go on from.
    pub revision: Revision,
}

quick_error! {
    /// Why the store did not do as asked.
    #[derive(Clone, Debug, PartialEq)]
    pub enum ObjectError {
        /// Another revision stands there; nothing was written.
        Conflict {
            display("The object has another revision. Read it and decide anew.")
        }
        /// No such object.
        Missing {
            display("There is no such object. Create it first.")
        }
        /// The changes since that revision are forgotten.
        HistoryGone {
            display("The store has forgotten the changes since that revision. List anew.")
        }
        /// The store refused; nothing was done.
        Refused(reason: String) {
            display("The store refused: {reason}. Try again later.")
        }
        /// No usable answer: a write may or may not take effect, even seconds later.
        Unanswered(reason: String) {
            display("The store did not answer: {reason}. Read back to learn whether a write took effect.")
        }
    }
}

/// A result of the store.
pub type Answer<'a, T> = LocalBoxFuture<'a, Result<T, ObjectError>>;

/// A store of versioned objects. Every call ends within a bound of its own.
pub trait ObjectStore {
    /// Objects of a kind after a name, a page at a time.
    fn list<'a>(&'a self, kind: &'a str, after: Option<&'a str>) -> Answer<'a, Page>;

    /// One object, as it is now.
    fn get<'a>(&'a self, kind: &'a str, name: &'a str) -> Answer<'a, Option<Object>>;

    /// Creates an object; a conflict if there is one of this name.
    fn create<'a>(&'a self, kind: &'a str, name: &'a str, spec: Value) -> Answer<'a, ()>;

    /// Replaces what is wanted, if the object still has this revision.
    fn replace<'a>(
        &'a self,
        kind: &'a str,
        name: &'a str,
        revision: Revision,
        spec: Value,
    ) -> Answer<'a, ()>;

    /// Replaces what is, if the object still has this revision.
    fn replace_status<'a>(
        &'a self,
        kind: &'a str,
        name: &'a str,
        revision: Revision,
        status: Value,
    ) -> Answer<'a, ()>;

    /// A revision that the store had reached, perhaps seconds ago, asked for as cheaply as it can be: it
    /// shows that the store can be reached, and may show that something has changed.
    fn reach<'a>(&'a self) -> Answer<'a, Revision>;

    /// Changes of a kind after a revision; waits up to `wait` for one.
    fn watch<'a>(&'a self, kind: &'a str, after: Revision, wait: Duration) -> Answer<'a, Changes>;
}
