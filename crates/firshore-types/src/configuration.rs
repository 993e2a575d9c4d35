//! The whole configuration at one revision, and the changes that lead from one to the next.

use crate::declaration::{
    Declaration, DeclarationKey, Metadata, PolicySpec, PoolSpec, ServiceSpec, TenantSpec,
};
use crate::ids::{ChangeId, Revision};
use crate::labels::Labels;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;

/// One accepted change set. Revision `revision` follows `revision - 1` and no other.
///
/// Unknown fields are refused: a change of a newer version is not put into force in part.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// Revision that this change creates.
    pub revision: Revision,
    /// Chosen by the author before the first write; settles lost answers.
    pub change_id: ChangeId,
    /// Who applied it, for conflict messages.
    pub author: String,
    /// Declarations added or replaced.
    pub upserts: Vec<Declaration>,
    /// Declarations taken away.
    pub removals: Vec<DeclarationKey>,
}

impl Change {
    /// Keys that the change touches.
    pub fn keys(&self) -> impl Iterator<Item = DeclarationKey> + '_ {
        self.upserts
            .iter()
            .map(Declaration::key)
            .chain(self.removals.iter().cloned())
    }
}

/// All declarations in force at one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    /// The revision.
    pub revision: Revision,
    /// Every declaration, ordered by kind and name.
    #[serde(with = "declaration_list")]
    pub declarations: BTreeMap<DeclarationKey, Declaration>,
}

mod declaration_list {
    use super::{BTreeMap, Declaration, DeclarationKey};
    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    pub fn serialize<S: Serializer>(
        map: &BTreeMap<DeclarationKey, Declaration>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        map.values().collect::<Vec<_>>().serialize(serializer)
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<BTreeMap<DeclarationKey, Declaration>, D::Error> {
        let list = Vec::<Declaration>::deserialize(deserializer)?;
        Ok(list
            .into_iter()
            .map(|declaration| (declaration.key(), declaration))
            .collect())
    }
}

impl Configuration {
    /// Applies `change` if it directly follows this revision; otherwise returns `false` and
    /// changes nothing.
    pub fn apply(&mut self, change: &Change) -> bool {
        if change.revision != self.revision.next() {
            return false;
        }
        for key in &change.removals {
            self.declarations.remove(key);
        }
        for declaration in &change.upserts {
            self.declarations
                .insert(declaration.key(), declaration.clone());
        }
        self.revision = change.revision;
        true
    }

    /// Every service.
    pub fn services(&self) -> impl Iterator<Item = (&Metadata, &ServiceSpec)> {
        self.declarations
            .values()
            .filter_map(|declaration| match declaration {
                Declaration::Service { metadata, spec } => Some((metadata, spec)),
                _ => None,
            })
    }

    /// Every pool.
    pub fn pools(&self) -> impl Iterator<Item = (&Metadata, &PoolSpec)> {
        self.declarations
            .values()
            .filter_map(|declaration| match declaration {
                Declaration::EnginePool { metadata, spec } => Some((metadata, spec)),
                _ => None,
            })
    }

    /// Every policy.
    pub fn policies(&self) -> impl Iterator<Item = (&Metadata, &PolicySpec)> {
        self.declarations
            .values()
            .filter_map(|declaration| match declaration {
                Declaration::Policy { metadata, spec } => Some((metadata, spec)),
                _ => None,
            })
    }

    /// Every tenant.
    pub fn tenants(&self) -> impl Iterator<Item = (&Metadata, &TenantSpec)> {
        self.declarations
            .values()
            .filter_map(|declaration| match declaration {
                Declaration::Tenant { metadata, spec } => Some((metadata, spec)),
                _ => None,
            })
    }

    /// Policies, in order of name, that govern a request of a tenant with these labels to a
    /// service with those. A later policy's settings replace an earlier one's.
    pub fn governing<'a>(
        &'a self,
        tenant: &'a Labels,
        service: &'a Labels,
        job: Option<&'a Labels>,
    ) -> impl Iterator<Item = &'a PolicySpec> + 'a {
        self.policies().map(|(_, spec)| spec).filter(move |spec| {
            let tenants = spec
                .tenants
                .as_ref()
                .is_none_or(|selector| selector.matches(tenant));
            let services = spec
                .services
                .as_ref()
                .is_none_or(|selector| selector.matches(service));
            let jobs = match (&spec.jobs, job) {
                (None, _) => true,
                (Some(selector), Some(labels)) => selector.matches(labels),
                (Some(_), None) => false,
            };
            tenants && services && jobs
        })
    }
}

/// SHA-256 of a caller's key in hexadecimal, the only form in which keys are kept.
pub fn key_digest(key: &str) -> String {
    hex::encode(Sha256::digest(key.as_bytes()))
}
