//! Set of declarations by kind and name. Copies are cheap because they share the declarations.

use crate::declaration::{Declaration, DeclarationKey, Kind};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Declarations ordered by kind and name, without duplicates. Serializes as a list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DeclarationSet {
    found: BTreeMap<DeclarationKey, Arc<Declaration>>,
}

impl DeclarationSet {
    /// Returns the declaration of `key`.
    pub fn get(&self, key: &DeclarationKey) -> Option<&Declaration> {
        self.found.get(key).map(Arc::as_ref)
    }

    /// Returns whether `key` is declared.
    pub fn contains_key(&self, key: &DeclarationKey) -> bool {
        self.found.contains_key(key)
    }

    /// Adds a declaration, or replaces the one of the same kind and name.
    pub fn insert(&mut self, declaration: Declaration) {
        self.found.insert(declaration.key(), Arc::new(declaration));
    }

    /// Removes the declaration of `key`.
    pub fn remove(&mut self, key: &DeclarationKey) {
        self.found.remove(key);
    }

    /// Returns all keys, in order.
    pub fn keys(&self) -> impl Iterator<Item = &DeclarationKey> {
        self.found.keys()
    }

    /// Returns all declarations, in order.
    pub fn values(&self) -> impl Iterator<Item = &Declaration> {
        self.found.values().map(Arc::as_ref)
    }

    /// Returns all keys with their declarations, in order.
    pub fn iter(&self) -> impl Iterator<Item = (&DeclarationKey, &Declaration)> {
        self.found.iter().map(|(key, value)| (key, value.as_ref()))
    }

    /// Returns the declarations of one kind, ordered by name, without visiting the others.
    pub fn of_kind(&self, kind: Kind) -> impl Iterator<Item = &Declaration> {
        let first = DeclarationKey {
            kind,
            name: String::new(),
        };
        self.found
            .range(first..)
            .take_while(move |(key, _)| key.kind == kind)
            .map(|(_, declaration)| declaration.as_ref())
    }

    /// Returns the number of declarations.
    pub fn len(&self) -> usize {
        self.found.len()
    }

    /// Returns whether the set is empty.
    pub fn is_empty(&self) -> bool {
        self.found.is_empty()
    }
}

impl FromIterator<Declaration> for DeclarationSet {
    /// Keeps the last declaration of each key.
    fn from_iter<I: IntoIterator<Item = Declaration>>(declarations: I) -> Self {
        let mut set = Self::default();
        for declaration in declarations {
            set.insert(declaration);
        }
        set
    }
}

impl Serialize for DeclarationSet {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_seq(self.values())
    }
}

impl<'de> Deserialize<'de> for DeclarationSet {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let list = Vec::<Declaration>::deserialize(deserializer)?;
        Ok(list.into_iter().collect())
    }
}
