//! Zones whose back ends get no further requests, by order of the operators.

use super::Fleet;
use firshore_types::ids::ZoneName;
use std::collections::HashSet;

/// Known zone drains.
#[derive(Debug)]
pub(super) enum ZoneDrains {
    /// They are followed, and not listed yet: each zone may be drained.
    Unknown,
    /// The drained zones.
    Known(HashSet<ZoneName>),
}

impl Default for ZoneDrains {
    fn default() -> Self {
        Self::Known(HashSet::new())
    }
}

impl ZoneDrains {
    /// Returns whether requests may be sent to back ends of a zone.
    pub(super) fn allows(&self, zone: &ZoneName) -> bool {
        match self {
            Self::Unknown => false,
            Self::Known(drained) => !drained.contains(zone),
        }
    }
}

impl Fleet {
    /// Sends no requests until the drained zones are known.
    pub fn await_zone_drains(&mut self) {
        self.zone_drains = ZoneDrains::Unknown;
    }

    /// Sets the zones whose back ends get no further requests.
    pub fn set_drained_zones(&mut self, drained: HashSet<ZoneName>) {
        self.zone_drains = ZoneDrains::Known(drained);
    }

    /// Returns whether the drained zones are known.
    pub fn knows_zone_drains(&self) -> bool {
        matches!(self.zone_drains, ZoneDrains::Known(_))
    }
}
