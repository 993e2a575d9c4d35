//! Selects the next member to contact: mostly in the local zone, sometimes in the local region,
//! rarely in another region. Each group is visited in a shuffled round-robin order, which bounds the
//! time until a member is probed (SWIM, section 4.3).

use crate::member::{Member, MemberState};
use crate::table::MemberTable;
use crate::timing::{LOCAL_REGION_PERCENT, LOCAL_ZONE_PERCENT};
use firshore_types::ids::InstanceId;
use rand::RngExt;
use rand::seq::SliceRandom;

/// Network distance between two members: same zone, same region, or different regions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Distance {
    Zone,
    Region,
    Remote,
}

impl Distance {
    pub(crate) fn between(one: &Member, other: &Member) -> Self {
        if one.region != other.region {
            Self::Remote
        } else if one.zone != other.zone {
            Self::Region
        } else {
            Self::Zone
        }
    }
}

#[derive(Debug, Default)]
struct Round {
    order: Vec<InstanceId>,
    next: usize,
}

/// Round-robin orders, one for each distance.
#[derive(Debug, Default)]
pub(crate) struct Schedule {
    zone: Round,
    region: Round,
    remote: Round,
}

impl Schedule {
    fn round(&mut self, distance: Distance) -> &mut Round {
        match distance {
            Distance::Zone => &mut self.zone,
            Distance::Region => &mut self.region,
            Distance::Remote => &mut self.remote,
        }
    }

    /// Inserts a new member at a random position in the rest of the current round.
    pub(crate) fn add(&mut self, distance: Distance, instance: InstanceId, rng: &mut impl RngExt) {
        let round = self.round(distance);
        let position = rng.random_range(round.next..=round.order.len());
        round.order.insert(position, instance);
    }

    /// Returns the next member to contact; prefers a distance drawn at random.
    pub(crate) fn next(
        &mut self,
        table: &MemberTable,
        rng: &mut impl RngExt,
    ) -> Option<InstanceId> {
        let draw = rng.random_range(0..100);
        let order = if draw < LOCAL_ZONE_PERCENT {
            [Distance::Zone, Distance::Region, Distance::Remote]
        } else if draw < LOCAL_ZONE_PERCENT + LOCAL_REGION_PERCENT {
            [Distance::Region, Distance::Zone, Distance::Remote]
        } else {
            [Distance::Remote, Distance::Region, Distance::Zone]
        };
        order
            .into_iter()
            .find_map(|distance| self.next_at(distance, table, rng))
    }

    /// Returns the next member to contact in another region.
    pub(crate) fn next_remote(
        &mut self,
        table: &MemberTable,
        rng: &mut impl RngExt,
    ) -> Option<InstanceId> {
        self.next_at(Distance::Remote, table, rng)
    }

    fn next_at(
        &mut self,
        distance: Distance,
        table: &MemberTable,
        rng: &mut impl RngExt,
    ) -> Option<InstanceId> {
        let round = self.round(distance);
        if let Some(found) = round.advance(table) {
            return Some(found);
        }
        round.order = table
            .present()
            .filter(|member| Distance::between(table.local(), member) == distance)
            .map(|member| member.instance)
            .collect();
        round.order.shuffle(rng);
        round.next = 0;
        round.advance(table)
    }
}

impl Round {
    fn advance(&mut self, table: &MemberTable) -> Option<InstanceId> {
        while let Some(instance) = self.order.get(self.next) {
            self.next += 1;
            let present = table
                .get(*instance)
                .is_some_and(|entry| entry.member.state != MemberState::Failed);
            if present {
                return Some(*instance);
            }
        }
        None
    }
}
