//! All declarations by kind and name, cheap to copy: copies share the declarations themselves.

use crate::declaration::{Declaration, DeclarationKey, Kind};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Declarations in order of kind and name, each standing once. Serialises as a list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DeclarationSet {
    found: BTreeMap<DeclarationKey, Arc<Declaration>>,
}

impl DeclarationSet {
    /// The declaration under `key`.
    pub fn get(&self, key: &DeclarationKey) -> Option<&Declaration> {
        self.found.get(key).map(Arc::as_ref)
    }

    /// Whether `key` is declared.
    pub fn contains_key(&self, key: &DeclarationKey) -> bool {
        self.found.contains_key(key)
    }

    /// Adds a declaration in place of any of the same kind and name.
    pub fn insert(&mut self, declaration: Declaration) {
        self.found.insert(declaration.key(), Arc::new(declaration));
    }

    /// Takes the declaration under `key` away.
    pub fn remove(&mut self, key: &DeclarationKey) {
        self.found.remove(key);
    }

    /// Every key, in order.
    pub fn keys(&self) -> impl Iterator<Item = &DeclarationKey> {
        self.found.keys()
    }

    /// Every declaration, in order.
    pub fn values(&self) -> impl Iterator<Item = &Declaration> {
        self.found.values().map(Arc::as_ref)
    }

    /// Every key with its declaration, in order.
    pub fn iter(&self) -> impl Iterator<Item = (&DeclarationKey, &Declaration)> {
        self.found.iter().map(|(key, value)| (key, value.as_ref()))
    }

    /// Every declaration of one kind, in order of name, without a look at the others.
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

    /// Number of declarations.
    pub fn len(&self) -> usize {
        self.found.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.found.is_empty()
    }
}

impl FromIterator<Declaration> for DeclarationSet {
    /// Of two declarations with one key the later stays.
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
