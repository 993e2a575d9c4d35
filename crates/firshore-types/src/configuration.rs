//! The whole configuration at one revision, and the changes that lead from one to the next.

use crate::declaration::{
    Declaration, DeclarationKey, Kind, Metadata, PolicySpec, PoolSpec, ServiceSpec, TenantSpec,
};
use crate::declaration_set::DeclarationSet;
use crate::ids::{ChangeId, Revision};
use crate::labels::Labels;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

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
    pub declarations: DeclarationSet,
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
            self.declarations.insert(declaration.clone());
        }
        self.revision = change.revision;
        true
    }

    /// Every service.
    pub fn services(&self) -> impl Iterator<Item = (&Metadata, &ServiceSpec)> {
        self.declarations
            .of_kind(Kind::Service)
            .filter_map(|declaration| match declaration {
                Declaration::Service { metadata, spec } => Some((metadata, spec)),
                _ => None,
            })
    }

    /// Every pool.
    pub fn pools(&self) -> impl Iterator<Item = (&Metadata, &PoolSpec)> {
        self.declarations
            .of_kind(Kind::EnginePool)
            .filter_map(|declaration| match declaration {
                Declaration::EnginePool { metadata, spec } => Some((metadata, spec)),
                _ => None,
            })
    }

    /// Every policy.
    pub fn policies(&self) -> impl Iterator<Item = (&Metadata, &PolicySpec)> {
        self.declarations
            .of_kind(Kind::Policy)
            .filter_map(|declaration| match declaration {
                Declaration::Policy { metadata, spec } => Some((metadata, spec)),
                _ => None,
            })
    }

    /// Every tenant.
    pub fn tenants(&self) -> impl Iterator<Item = (&Metadata, &TenantSpec)> {
        self.declarations
            .of_kind(Kind::Tenant)
            .filter_map(|declaration| match declaration {
                Declaration::Tenant { metadata, spec } => Some((metadata, spec)),
                _ => None,
            })
    }

    /// The service of this name.
    pub fn service(&self, name: &str) -> Option<(&Metadata, &ServiceSpec)> {
        match self.find(Kind::Service, name)? {
            Declaration::Service { metadata, spec } => Some((metadata, spec)),
            _ => None,
        }
    }

    /// The pool of this name.
    pub fn pool(&self, name: &str) -> Option<(&Metadata, &PoolSpec)> {
        match self.find(Kind::EnginePool, name)? {
            Declaration::EnginePool { metadata, spec } => Some((metadata, spec)),
            _ => None,
        }
    }

    /// The tenant of this name.
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
