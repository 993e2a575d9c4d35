//! Data residency: the regions in which requests may be processed and stored.

use firshore_types::ids::{RegionName, ZoneName};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Regions to which a route or a tenant is restricted.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AllowedRegions(Option<Arc<BTreeSet<RegionName>>>);

impl AllowedRegions {
    /// Creates a restriction to these regions. An empty set is no restriction.
    pub fn new(regions: impl IntoIterator<Item = RegionName>) -> Self {
        let regions: BTreeSet<RegionName> = regions.into_iter().collect();
        Self((!regions.is_empty()).then(|| Arc::new(regions)))
    }

    /// Returns whether a region is allowed; an unknown one only without a restriction.
    fn allows(&self, region: Option<&RegionName>) -> bool {
        match &self.0 {
            None => true,
            Some(allowed) => region.is_some_and(|region| allowed.contains(region)),
        }
    }
}

/// Region of each zone.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ZoneRegions(BTreeMap<ZoneName, RegionName>);

impl ZoneRegions {
    /// Creates the map.
    pub fn new(zones: BTreeMap<ZoneName, RegionName>) -> Self {
        Self(zones)
    }
}

/// Permit to process and store a request in certain zones. Whatever selects a back end or stores a job takes one, so
/// that the restrictions are checked in this place only.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResidencyPermit {
    /// Restrictions of the route and the tenant, each of which applies.
    restrictions: [AllowedRegions; 2],
    regions: Arc<ZoneRegions>,
}

impl ResidencyPermit {
    /// Creates the permit of a request under the restrictions of its route and its tenant.
    pub fn new(
        route: &AllowedRegions,
        tenant: Option<&AllowedRegions>,
        regions: &Arc<ZoneRegions>,
    ) -> Self {
        Self {
            restrictions: [route.clone(), tenant.cloned().unwrap_or_default()],
            regions: regions.clone(),
        }
    }

    /// Returns whether the request is restricted to some regions.
    pub fn is_restricted(&self) -> bool {
        self.restrictions.iter().any(|one| one.0.is_some())
    }

    /// Returns whether the request may be processed and stored in a zone. A zone of an unknown region is not allowed
    /// to restricted requests.
    pub fn allows(&self, zone: &ZoneName) -> bool {
        if !self.is_restricted() {
            return true;
        }
        let region = self.regions.0.get(zone);
        self.restrictions.iter().all(|one| one.allows(region))
    }
}
