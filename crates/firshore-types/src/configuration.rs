//! The configuration at one revision, and the changes between revisions.

use crate::declaration::{
    Declaration, DeclarationKey, Kind, Metadata, PolicySpec, PoolSpec, ServiceSpec, TenantSpec,
};
use crate::declaration_set::DeclarationSet;
use crate::ids::{ChangeId, Revision};
use crate::labels::Labels;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// One accepted change set. Applies only to revision `revision - 1`.
///
/// Unknown fields are refused, so that a change of a newer version is not applied in part.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// Revision that this change creates.
    pub revision: Revision,
    /// Chosen by the author before the first write; identifies the change after a lost response.
    pub change_id: ChangeId,
    /// Author, for conflict messages.
    pub author: String,
    /// Declarations added or replaced.
    pub upserts: Vec<Declaration>,
    /// Declarations removed.
    pub removals: Vec<DeclarationKey>,
}

impl Change {
    /// Returns the keys that the change adds, replaces or removes.
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
    pub declarations: DeclarationSet,
}

impl Configuration {
    /// Applies `change` if it directly follows this revision; otherwise changes nothing and returns
    /// `false`.
    pub fn apply(&mut self, change: &Change) -> bool {
        if change.revision != self.revision.next() {
            return false;
        }
        for key in &change.removals {
            self.declarations.remove(key);
        }
        for declaration in &change.upserts {
            self.declarations.insert(declaration.clone());
        }
        self.revision = change.revision;
        true
    }

    /// Returns all services.
    pub fn services(&self) -> impl Iterator<Item = (&Metadata, &ServiceSpec)> {
        self.declarations
            .of_kind(Kind::Service)
            .filter_map(|declaration| match declaration {
                Declaration::Service { metadata, spec } => Some((metadata, spec)),
                _ => None,
            })
    }

    /// Returns all pools.
    pub fn pools(&self) -> impl Iterator<Item = (&Metadata, &PoolSpec)> {
        self.declarations
            .of_kind(Kind::EnginePool)
            .filter_map(|declaration| match declaration {
                Declaration::EnginePool { metadata, spec } => Some((metadata, spec)),
                _ => None,
            })
    }

    /// Returns all policies.
    pub fn policies(&self) -> impl Iterator<Item = (&Metadata, &PolicySpec)> {
        self.declarations
            .of_kind(Kind::Policy)
            .filter_map(|declaration| match declaration {
                Declaration::Policy { metadata, spec } => Some((metadata, spec)),
                _ => None,
            })
    }

    /// Returns all tenants.
    pub fn tenants(&self) -> impl Iterator<Item = (&Metadata, &TenantSpec)> {
        self.declarations
            .of_kind(Kind::Tenant)
            .filter_map(|declaration| match declaration {
                Declaration::Tenant { metadata, spec } => Some((metadata, spec)),
                _ => None,
            })
    }

    /// Returns the service of this name.
    pub fn service(&self, name: &str) -> Option<(&Metadata, &ServiceSpec)> {
        match self.find(Kind::Service, name)? {
            Declaration::Service { metadata, spec } => Some((metadata, spec)),
            _ => None,
        }
    }

    /// Returns the pool of this name.
    pub fn pool(&self, name: &str) -> Option<(&Metadata, &PoolSpec)> {
        match self.find(Kind::EnginePool, name)? {
            Declaration::EnginePool { metadata, spec } => Some((metadata, spec)),
            _ => None,
        }
    }

    /// Returns the tenant of this name.
    pub fn tenant(&self, name: &str) -> Option<(&Metadata, &TenantSpec)> {
        match self.find(Kind::Tenant, name)? {
            Declaration::Tenant { metadata, spec } => Some((metadata, spec)),
            _ => None,
        }
    }

    fn find(&self, kind: Kind, name: &str) -> Option<&Declaration> {
        let name = name.to_owned();
        self.declarations.get(&DeclarationKey { kind, name })
    }

    /// Returns the policies, ordered by name, that govern requests of a tenant to a service with the
    /// given labels. Settings of later policies replace those of earlier ones.
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

/// Returns the SHA-256 of a caller's key in hexadecimal, the only form in which keys are stored.
pub fn key_digest(key: &str) -> String {
    hex::encode(Sha256::digest(key.as_bytes()))
}
