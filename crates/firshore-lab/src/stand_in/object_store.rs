//! The object API's store as a state machine without I/O: versions, conditions, history.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::ops::Bound;

/// One object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Object {
    /// Key.
    pub key: String,
    /// Version of the store at the object's last write.
    pub version: u64,
    /// Content.
    pub value: String,
}

/// What must hold for a write to take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// Nothing.
    Always,
    /// No such object exists.
    Absent,
    /// The object has this version.
    Version(u64),
}

/// The condition did not hold; nothing was written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Mismatch {
    /// Version that stands, if the object exists.
    pub found: Option<u64>,
}

/// Changes after a version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Changes {
    /// Version of the store; watch from here next.
    pub version: u64,
    /// Objects written, in order of version.
    pub written: Vec<Object>,
    /// Keys deleted.
    pub deleted: Vec<String>,
}

#[derive(Clone, Debug)]
struct Write {
    version: u64,
    key: String,
    /// `None` deletes.
    value: Option<String>,
}

/// The store.
#[derive(Clone, Debug, Default)]
pub struct ObjectStore {
    objects: BTreeMap<String, Object>,
    log: Vec<Write>,
    version: u64,
}

impl ObjectStore {
    /// Version of the last write.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// One object.
    pub fn get(&self, key: &str) -> Option<&Object> {
        self.objects.get(key)
    }

    /// Objects under `prefix` with keys after `after`, in order of key.
    pub fn list_after(&self, prefix: &str, after: &str) -> Vec<Object> {
        let keys = (Bound::Excluded(after.to_owned()), Bound::Unbounded);
        let found = self.objects.range(keys).map(|(_, object)| object);
        let found = found.filter(|object| object.key.starts_with(prefix));
        found.cloned().collect()
    }

    /// What changed under `prefix` after `since`.
    pub fn changes(&self, prefix: &str, since: u64) -> Changes {
        let mut written = Vec::new();
        let mut deleted = Vec::new();
        let first = self.log.partition_point(|write| write.version <= since);
        for write in &self.log[first..] {
            if !write.key.starts_with(prefix) {
                continue;
            }
            match self.objects.get(&write.key) {
                Some(object) if object.version == write.version => written.push(object.clone()),
                None if write.value.is_none() => deleted.push(write.key.clone()),
                // A later write of the same key follows.
                _ => {}
            }
        }
        Changes {
            version: self.version,
            written,
            deleted,
        }
    }

    /// Writes an object; gives its version.
    pub fn put(&mut self, key: &str, value: String, condition: Condition) -> Result<u64, Mismatch> {
        self.check(key, condition)?;
        self.write(key, Some(value));
        Ok(self.version)
    }

    /// Deletes an object; gives the store's version.
    pub fn delete(&mut self, key: &str, condition: Condition) -> Result<u64, Mismatch> {
        self.check(key, condition)?;
        if self.objects.contains_key(key) {
            self.write(key, None);
        }
        Ok(self.version)
    }

    fn check(&self, key: &str, condition: Condition) -> Result<(), Mismatch> {
        let found = self.objects.get(key).map(|object| object.version);
        let holds = match condition {
            Condition::Always => true,
            Condition::Absent => found.is_none(),
            Condition::Version(version) => found == Some(version),
        };
        if holds {
            Ok(())
        } else {
            Err(Mismatch { found })
        }
    }

    fn write(&mut self, key: &str, value: Option<String>) {
        self.version += 1;
        self.log.push(Write {
            version: self.version,
            key: key.to_owned(),
            value: value.clone(),
        });
        match value {
            Some(value) => {
                let object = Object {
                    key: key.to_owned(),
                    version: self.version,
                    value,
                };
                self.objects.insert(key.to_owned(), object);
            }
            None => {
                self.objects.remove(key);
            }
        }
    }

    /// Goes back to the state after `version`, as a restored backup does: later versions are
    /// forgotten and will be given out again.
    pub fn restore(&mut self, version: u64) {
        let mut earlier = Self::default();
        for write in self.log.drain(..) {
            if write.version > version {
                break;
            }
            earlier.write(&write.key, write.value);
        }
        *self = earlier;
    }
}
