//! A watch cache: all objects of one kind as a relay has observed them, to be listed and watched by
//! other nodes. No I/O.
//!
//! Each object is stored with the revision up to which the store was known when the relay observed
//! it; the name of a removed object is kept for a while. A client that knows everything up to a
//! revision receives what was observed later. Objects that it knows already may be repeated;
//! observers ignore these.

use crate::list_watch::ObjectUpdate;
use firshore_adapter::objects::{Change, Object, Revision};
use firshore_crashes::report::TableCursor;
use firshore_types::payload::Payload;
use serde::{Deserialize, Serialize};
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::ops::Bound;

/// Size limit of one page, in bytes; the object that exceeds it is the last one.
const PAGE_BYTES: usize = 256 * 1024;

/// Maximum number of recorded gaps. Observers that know less than the end of a dropped gap list
/// again.
const MAX_GAPS: usize = 16;

/// Number of names of removed objects that are kept at least. Beyond it, as many are kept as there are objects, so that
/// observers of a kind of any size don't list again after a mass removal. Observers that know less list again.
const MIN_REMOVED_NAMES: usize = 1_024;

/// An object in the form in which it is sent: encoded once, sent to many nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayedObject {
    /// Name, unique within the kind.
    #[serde(rename = "n")]
    pub name: String,
    /// Revision of its last change.
    #[serde(rename = "r")]
    pub revision: Revision,
    /// The object's `spec` and `status` as JSON.
    #[serde(rename = "j")]
    pub json: Payload,
}

/// Age of a relay's data, sent with each response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayContact {
    /// Time for which the relay held the query, in milliseconds.
    #[serde(rename = "h")]
    pub held: u64,
    /// Time between the relay's last contact with the store and its response, in milliseconds.
    #[serde(rename = "a")]
    pub age: u64,
    /// Position in the relay's table of crashed back ends, unless the table is empty.
    #[serde(rename = "k", default, skip_serializing_if = "Option::is_none")]
    pub crashes: Option<TableCursor>,
}

/// A page of a listing, as it is sent.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayedPage {
    /// Objects in order of name.
    #[serde(rename = "o")]
    pub objects: Vec<RelayedObject>,
    /// Whether more objects follow after the last name.
    #[serde(rename = "m")]
    pub more: bool,
    /// Revision up to which the relay knows the store.
    #[serde(rename = "r")]
    pub revision: Revision,
    /// Age of the page.
    #[serde(rename = "c", default)]
    pub contact: RelayContact,
}

/// Changes as they are sent.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayedChanges {
    /// Objects that were created or changed.
    #[serde(rename = "w")]
    pub written: Vec<RelayedObject>,
    /// Names of removed objects.
    #[serde(rename = "g")]
    pub removed: Vec<String>,
    /// Revision from which the next watch continues.
    #[serde(rename = "r")]
    pub revision: Revision,
    /// Age of the changes.
    #[serde(rename = "c", default)]
    pub contact: RelayContact,
}

/// Why the watch cache cannot serve a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheMiss {
    /// Nothing was listed yet.
    Empty,
    /// The client knows the store at a later revision.
    Behind,
    /// Changes since that revision are no longer kept.
    Forgotten,
}

#[derive(Debug)]
struct CachedObject {
    object: RelayedObject,
    /// Revision up to which the store was known when this was observed.
    observed_at: Revision,
}

/// The revisions between the last one known before a listing and that of the listing. An object
/// that was created and removed in between was never observed here: a client that received it from
/// another relay would keep it, as its removal is not known here.
#[derive(Clone, Copy, Debug)]
struct RevisionGap {
    from: Revision,
    to: Revision,
}

impl RevisionGap {
    /// Returns whether a client that knows the store at `known` may know objects that were missed
    /// here.
    fn contains(&self, known: Revision) -> bool {
        self.from < known && known < self.to
    }
}

/// Watch cache for the objects of one kind.
#[derive(Debug, Default)]
pub struct KindCache {
    objects: BTreeMap<String, CachedObject>,
    removed: BTreeMap<String, Revision>,
    /// Names of objects and of removed objects, by the revision at which their last change was observed: a query for
    /// changes visits these only.
    by_change: BTreeSet<(Revision, String)>,
    /// The same of removed objects only.
    by_removal: BTreeSet<(Revision, String)>,
    /// Number of names visited by queries.
    visits: Cell<u64>,
    /// All changes from this revision on are kept.
    complete_from: Revision,
    /// Gaps in the observed revisions, oldest first.
    gaps: VecDeque<RevisionGap>,
    /// Revision up to which the store is known; `None` before the first listing.
    revision: Option<Revision>,
    /// Revision at which something changed last.
    changed_at: Revision,
}

#[derive(Serialize, Deserialize)]
struct Content {
    spec: serde_json::Value,
    #[serde(default)]
    status: serde_json::Value,
}

impl RelayedObject {
    fn of(object: Object) -> Self {
        let content = Content {
            spec: object.spec,
            status: object.status,
        };
        let json = serde_json::to_vec(&content).expect("JSON values serialise");
        Self {
            name: object.name,
            revision: object.revision,
            json: json.into(),
        }
    }

    /// Decodes the object.
    ///
    /// # Errors
    ///
    /// Returns an error if the content isn't valid JSON of an object.
    pub fn decode(&self) -> Result<Object, serde_json::Error> {
        let content: Content = serde_json::from_slice(&self.json.0)?;
        Ok(Object {
            name: self.name.clone(),
            revision: self.revision,
            spec: content.spec,
            status: content.status,
        })
    }
}

impl KindCache {
    /// Returns the revision up to which the store is known.
    pub fn revision(&self) -> Option<Revision> {
        self.revision
    }

    /// Returns the revision at which something changed last.
    pub fn changed_at(&self) -> Revision {
        self.changed_at
    }

    /// Applies what was observed; `revision` is the one up to which the store is known now.
    pub fn apply(&mut self, observed: Option<ObjectUpdate>, revision: Revision) {
        match observed {
            None => {}
            Some(ObjectUpdate::All(objects)) => self.replace(objects, revision),
            Some(ObjectUpdate::Changed(changes)) => {
                for change in changes {
                    match change {
                        Change::Written(object) => self.write(object, revision),
                        Change::Removed(name) => self.remove(name, revision),
                    }
                }
            }
        }
        self.revision = Some(self.revision.unwrap_or(0).max(revision));
    }

    fn replace(&mut self, objects: Vec<Object>, revision: Revision) {
        match self.revision {
            None => self.complete_from = revision,
            Some(known) => self.record_gap(known, revision),
        }
        let listed: BTreeSet<&str> = objects.iter().map(|one| one.name.as_str()).collect();
        let kept = self.objects.keys();
        let removed = kept.filter(|name| !listed.contains(name.as_str()));
        let removed: Vec<String> = removed.cloned().collect();
        for name in removed {
            self.remove(name, revision);
        }
        for object in objects {
            let before = self.objects.get(&object.name);
            if before.is_none_or(|before| before.object.revision < object.revision) {
                self.write(object, revision);
            }
        }
    }

    fn record_gap(&mut self, from: Revision, to: Revision) {
        self.gaps.push_back(RevisionGap { from, to });
        if self.gaps.len() <= MAX_GAPS {
            return;
        }
        if let Some(oldest) = self.gaps.pop_front() {
            self.complete_from = self.complete_from.max(oldest.to);
        }
    }

    fn write(&mut self, object: Object, observed_at: Revision) {
        let name = object.name.clone();
        self.forget_change(&name);
        let object = RelayedObject::of(object);
        let kept = CachedObject {
            object,
            observed_at,
        };
        self.objects.insert(name.clone(), kept);
        self.by_change.insert((observed_at, name));
        self.changed_at = self.changed_at.max(observed_at);
    }

    fn remove(&mut self, name: String, observed_at: Revision) {
        self.forget_change(&name);
        self.objects.remove(&name);
        self.removed.insert(name.clone(), observed_at);
        self.by_removal.insert((observed_at, name.clone()));
        self.by_change.insert((observed_at, name));
        self.changed_at = self.changed_at.max(observed_at);
        while self.removed.len() > self.objects.len().max(MIN_REMOVED_NAMES)
            && let Some((at, name)) = self.by_removal.pop_first()
        {
            self.removed.remove(&name);
            self.by_change.remove(&(at, name));
            self.complete_from = self.complete_from.max(at);
        }
    }

    /// Removes a name from the changes, before its next change is recorded.
    fn forget_change(&mut self, name: &str) {
        let written = self.objects.get(name).map(|kept| kept.observed_at);
        if let Some(at) = written {
            self.by_change.remove(&(at, name.to_owned()));
        }
        if let Some(at) = self.removed.remove(name) {
            let change = (at, name.to_owned());
            self.by_removal.remove(&change);
            self.by_change.remove(&change);
        }
    }

    /// Returns the number of names that queries have visited: it grows with the changes returned, not with the number
    /// of objects.
    pub fn visits(&self) -> u64 {
        self.visits.get()
    }

    /// Returns the revision of a response to a client that knows the store at `known`.
    fn response_revision(&self, known: Revision) -> Result<Revision, CacheMiss> {
        match self.revision {
            None => Err(CacheMiss::Empty),
            Some(revision) if revision < known => Err(CacheMiss::Behind),
            Some(revision) => Ok(revision),
        }
    }

    /// Returns a page of objects that follow a name, for a client that knows the store at `known`.
    ///
    /// # Errors
    ///
    /// Fails if nothing was listed yet or less than `known` is known here.
    pub fn list(&self, after: Option<&str>, known: Revision) -> Result<RelayedPage, CacheMiss> {
        let revision = self.response_revision(known)?;
        let mut page = RelayedPage {
            revision,
            ..RelayedPage::default()
        };
        let mut bytes = 0;
        let from = match after {
            Some(after) => Bound::Excluded(after),
            None => Bound::Unbounded,
        };
        for (_, kept) in self.objects.range::<str, _>((from, Bound::Unbounded)) {
            self.visits.set(self.visits.get() + 1);
            if bytes >= PAGE_BYTES {
                page.more = true;
                break;
            }
            bytes += kept.object.json.0.len();
            page.objects.push(kept.object.clone());
        }
        Ok(page)
    }

    /// Returns what was observed after `known`; `None` if nothing was.
    ///
    /// # Errors
    ///
    /// Fails if nothing was listed yet, less than `known` is known here, or changes since then are
    /// no longer kept.
    pub fn changes(&self, known: Revision) -> Result<Option<RelayedChanges>, CacheMiss> {
        let revision = self.response_revision(known)?;
        if known < self.complete_from || self.gaps.iter().any(|gap| gap.contains(known)) {
            return Err(CacheMiss::Forgotten);
        }
        if self.changed_at <= known {
            return Ok(None);
        }
        let mut changes = RelayedChanges {
            revision,
            ..RelayedChanges::default()
        };
        for (_, name) in self.by_change.range((known + 1, String::new())..) {
            self.visits.set(self.visits.get() + 1);
            match self.objects.get(name) {
                Some(kept) => changes.written.push(kept.object.clone()),
                None => changes.removed.push(name.clone()),
            }
        }
        Ok(Some(changes))
    }
}
