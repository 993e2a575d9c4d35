//! All objects of one kind as a relay has observed them, to be listed and watched by other nodes (a
//! watch cache). No I/O.
//!
//! Each object is kept with the revision up to which the store was known when the relay learned of it;
//! one that is gone leaves its name for a while. Whoever knows everything up to a revision is told what
//! was learned later. That may repeat what it knows, which observers pass over.

use crate::list_watch::ObjectUpdate;
use firshore_adapter::objects::{Change, Object, Revision};
use firshore_crashes::report::TableCursor;
use firshore_types::payload::Payload;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Bytes of objects in one answer, beyond which it ends.
const PAGE_BYTES: usize = 256 * 1024;

/// Gaps that are kept. Observers that know less than the end of an older one list anew.
const MOST_GAPS: usize = 16;

/// Names of objects that are gone that are kept. Observers that know less list anew.
const MOST_REMOVED: usize = 1_024;

/// An object as it travels: encoded once, sent many times.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayedObject {
    /// Name.
    #[serde(rename = "n")]
    pub name: String,
    /// Revision of its last change.
    #[serde(rename = "r")]
    pub revision: Revision,
    /// What is wanted and what is, as JSON.
    #[serde(rename = "j")]
    pub json: Payload,
}

/// How old a relay's knowledge is, as it travels with an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayContact {
    /// Time for which the question was held, in milliseconds.
    #[serde(rename = "h")]
    pub held: u64,
    /// Time since the relay last heard from the store when it answered, in milliseconds.
    #[serde(rename = "a")]
    pub age: u64,
    /// How far the relay's table of back ends that ended is, where anything stands in it.
    #[serde(rename = "k", default, skip_serializing_if = "Option::is_none")]
    pub crashes: Option<TableCursor>,
}

/// A part of a listing as it travels.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayedPage {
    /// Objects in order of name.
    #[serde(rename = "o")]
    pub objects: Vec<RelayedObject>,
    /// Whether more follow after the last name.
    #[serde(rename = "m")]
    pub more: bool,
    /// Revision of the store that is known to the relay.
    #[serde(rename = "r")]
    pub revision: Revision,
    /// How old that is.
    #[serde(rename = "c", default)]
    pub contact: RelayContact,
}

/// Changes as they travel.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayedChanges {
    /// Objects that were created or changed.
    #[serde(rename = "w")]
    pub written: Vec<RelayedObject>,
    /// Names of objects that are gone.
    #[serde(rename = "g")]
    pub removed: Vec<String>,
    /// Revision to go on from.
    #[serde(rename = "r")]
    pub revision: Revision,
    /// How old what is told is.
    #[serde(rename = "c", default)]
    pub contact: RelayContact,
}

/// What a watch cache cannot answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheMiss {
    /// Nothing was listed yet.
    Empty,
    /// The asker knows the store at a later revision.
    Behind,
    /// What changed since that revision is not kept.
    Forgotten,
}

#[derive(Debug)]
struct Kept {
    object: RelayedObject,
    /// Revision up to which the store was known when this was learned.
    learned_at: Revision,
}

/// Revisions between those up to which the store was known before a listing and by it. An object that came
/// to be and was removed meanwhile was never known here: whoever learned of it from somebody else cannot be
/// told that it is gone, and kept it for 20 s and more.
#[derive(Clone, Copy, Debug)]
struct KnowledgeGap {
    from: Revision,
    to: Revision,
}

impl KnowledgeGap {
    /// Whether somebody who knows the store at `known` may have learned what was missed here.
    fn holds(&self, known: Revision) -> bool {
        self.from < known && known < self.to
    }
}

/// Objects of one kind.
#[derive(Debug, Default)]
pub struct KindCache {
    objects: BTreeMap<String, Kept>,
    removed: BTreeMap<String, Revision>,
    /// From this revision on all changes are kept.
    complete_from: Revision,
    /// Gaps in what was learned, oldest first.
    gaps: VecDeque<KnowledgeGap>,
    /// Revision up to which the store is known; none before the first listing.
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

    /// Returns the object.
    ///
    /// # Errors
    ///
    /// Fails if what came is no object.
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

    /// Takes in what was learned, and up to which revision the store is known now.
    pub fn apply(&mut self, learned: Option<ObjectUpdate>, revision: Revision) {
        match learned {
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
            Some(known) => self.note_gap(known, revision),
        }
        let listed: BTreeSet<&str> = objects.iter().map(|one| one.name.as_str()).collect();
        let kept = self.objects.keys();
        let gone = kept.filter(|name| !listed.contains(name.as_str()));
        let gone: Vec<String> = gone.cloned().collect();
        for name in gone {
            self.remove(name, revision);
        }
        for object in objects {
            let before = self.objects.get(&object.name);
            if before.is_none_or(|before| before.object.revision < object.revision) {
                self.write(object, revision);
            }
        }
    }

    fn note_gap(&mut self, from: Revision, to: Revision) {
        self.gaps.push_back(KnowledgeGap { from, to });
        if self.gaps.len() <= MOST_GAPS {
            return;
        }
        if let Some(oldest) = self.gaps.pop_front() {
            self.complete_from = self.complete_from.max(oldest.to);
        }
    }

    fn write(&mut self, object: Object, learned_at: Revision) {
        self.removed.remove(&object.name);
        let object = RelayedObject::of(object);
        let kept = Kept { object, learned_at };
        self.objects.insert(kept.object.name.clone(), kept);
        self.changed_at = self.changed_at.max(learned_at);
    }

    fn remove(&mut self, name: String, learned_at: Revision) {
        self.objects.remove(&name);
        self.removed.insert(name, learned_at);
        self.changed_at = self.changed_at.max(learned_at);
        if self.removed.len() <= MOST_REMOVED {
            return;
        }
        let oldest = self.removed.iter().min_by_key(|(_, at)| **at);
        if let Some((name, at)) = oldest.map(|(name, at)| (name.clone(), *at)) {
            self.removed.remove(&name);
            self.complete_from = self.complete_from.max(at);
        }
    }

    /// The revision of an answer to who knows the store at `known`.
    fn answerable(&self, known: Revision) -> Result<Revision, CacheMiss> {
        match self.revision {
            None => Err(CacheMiss::Empty),
            Some(revision) if revision < known => Err(CacheMiss::Behind),
            Some(revision) => Ok(revision),
        }
    }

    /// Returns objects after a name, to who knows the store at `known`.
    ///
    /// # Errors
    ///
    /// Fails where less is known here.
    pub fn list(&self, after: Option<&str>, known: Revision) -> Result<RelayedPage, CacheMiss> {
        let revision = self.answerable(known)?;
        let mut page = RelayedPage {
            revision,
            ..RelayedPage::default()
        };
        let mut bytes = 0;
        for (name, kept) in &self.objects {
            if after.is_some_and(|after| name.as_str() <= after) {
                continue;
            }
            if bytes >= PAGE_BYTES {
                page.more = true;
                break;
            }
            bytes += kept.object.json.0.len();
            page.objects.push(kept.object.clone());
        }
        Ok(page)
    }

    /// Returns what was learned after `known`; `None`: nothing yet.
    ///
    /// # Errors
    ///
    /// Fails where less is known here, or changes since then are not kept.
    pub fn changes(&self, known: Revision) -> Result<Option<RelayedChanges>, CacheMiss> {
        let revision = self.answerable(known)?;
        if known < self.complete_from || self.gaps.iter().any(|gap| gap.holds(known)) {
            return Err(CacheMiss::Forgotten);
        }
        if self.changed_at <= known {
            return Ok(None);
        }
        let written = self.objects.values();
        let written = written.filter(|kept| kept.learned_at > known);
        let removed = self.removed.iter().filter(|(_, at)| **at > known);
        Ok(Some(RelayedChanges {
            written: written.map(|kept| kept.object.clone()).collect(),
            removed: removed.map(|(name, _)| name.clone()).collect(),
            revision,
            contact: RelayContact::default(),
        }))
    }
}
