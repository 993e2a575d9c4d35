//! Tenants: identified by the key that a request carries, each with a rate limit.

use crate::residency::AllowedRegions;
use firshore_types::ids::TenantName;
use quick_error::quick_error;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

quick_error! {
    /// Error in the declared tenants.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum TenantError {
        /// Two declarations have one name.
        NamedTwice(name: TenantName) {
            display("The tenant '{name}' is declared twice. Merge the two.")
        }
        /// Two tenants hold one key, which therefore does not identify the caller.
        KeyHeldTwice(first: TenantName, second: TenantName) {
            display("The tenants '{first}' and '{second}' hold the same key. Give one of them a new one.")
        }
        /// A key is empty: requests without a key would match it.
        EmptyKey(name: TenantName) {
            display("A key of the tenant '{name}' is empty. Remove it.")
        }
        /// A name cannot be written into the header that names the tenant to back ends.
        UnusableName(name: TenantName) {
            display("The tenant's name {:?} is empty or not printable ASCII. Change it.", name.as_str())
        }
        /// A rate or burst is negative or not finite.
        UnusableLimit(name: TenantName) {
            display("The rate or burst of the tenant '{name}' is not a number from 0 on. Correct it.")
        }
    }
}

/// Rate limit of a tenant over all nodes, counted over a time span set on the nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit {
    /// Requests per second.
    pub per_second: f64,
    /// Additional requests allowed in one span.
    pub burst: f64,
}

/// A caller identified by its keys.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Name, as sent to back ends.
    pub name: TenantName,
    /// Rank of its requests, compared before the route's rank; 0 is highest.
    pub priority: Option<u32>,
    /// Rate limit; `None`: unlimited.
    pub limit: Option<RateLimit>,
    /// Regions in which its requests may be processed and stored.
    pub allowed_regions: AllowedRegions,
}

/// A tenant as declared.
#[derive(Clone, Debug, PartialEq)]
pub struct DeclaredTenant {
    /// The tenant.
    pub tenant: Tenant,
    /// Its keys.
    pub keys: Vec<String>,
}

/// Tenants indexed by key.
#[derive(Clone, Debug, Default)]
pub struct TenantTable {
    by_key: HashMap<String, Arc<Tenant>>,
    by_name: BTreeMap<TenantName, Arc<Tenant>>,
}

fn is_amount(value: f64) -> bool {
    value.is_finite() && value >= 0.0
}

fn is_printable(name: &str) -> bool {
    !name.is_empty() && name.bytes().all(|byte| matches!(byte, b' '..=b'~'))
}

fn check(tenant: &Tenant) -> Result<(), TenantError> {
    if !is_printable(tenant.name.as_str()) {
        return Err(TenantError::UnusableName(tenant.name.clone()));
    }
    let usable = tenant
        .limit
        .is_none_or(|limit| is_amount(limit.per_second) && is_amount(limit.burst));
    match usable {
        true => Ok(()),
        false => Err(TenantError::UnusableLimit(tenant.name.clone())),
    }
}

impl TenantTable {
    /// Indexes tenants by key.
    ///
    /// # Errors
    ///
    /// Returns an error if a name or key is not unique, a name or key is invalid, or a limit is not an
    /// amount. The whole table is then refused, because a wrong entry could authenticate a caller as
    /// another tenant.
    pub fn new(declared: impl IntoIterator<Item = DeclaredTenant>) -> Result<Self, TenantError> {
        let mut table = Self::default();
        for declaration in declared {
            check(&declaration.tenant)?;
            let tenant = Arc::new(declaration.tenant);
            if let Some(twin) = table.by_name.insert(tenant.name.clone(), tenant.clone()) {
                return Err(TenantError::NamedTwice(twin.name.clone()));
            }
            for key in declaration.keys {
                table.insert(key, &tenant)?;
            }
        }
        Ok(table)
    }

    fn insert(&mut self, key: String, tenant: &Arc<Tenant>) -> Result<(), TenantError> {
        if key.is_empty() {
            return Err(TenantError::EmptyKey(tenant.name.clone()));
        }
        match self.by_key.insert(key, tenant.clone()) {
            // A tenant may list the same key twice.
            Some(holder) if !Arc::ptr_eq(&holder, tenant) => Err(TenantError::KeyHeldTwice(
                holder.name.clone(),
                tenant.name.clone(),
            )),
            _ => Ok(()),
        }
    }

    /// Returns the tenant that holds a key.
    pub fn holder(&self, key: &str) -> Option<&Arc<Tenant>> {
        self.by_key.get(key)
    }

    /// Returns the tenant with a name.
    pub fn named(&self, name: &TenantName) -> Option<&Arc<Tenant>> {
        self.by_name.get(name)
    }

    /// Returns all tenants in order of name.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Tenant>> {
        self.by_name.values()
    }

    /// Returns the number of tenants.
    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    /// Returns whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }
}
