//! Whom to talk to next: mostly the own zone, sometimes the region, rarely another region. Within
//! each group the order is a shuffled round, so that no member waits long (SWIM, section 4.3).

use crate::member::{Member, MemberState};
use crate::table::MemberTable;
use crate::timing::{OWN_REGION_PERCENT, OWN_ZONE_PERCENT};
use firshore_types::ids::InstanceId;
use rand::RngExt;
use rand::seq::SliceRandom;

/// How far a member is from the own node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Distance {
    Zone,
    Region,
    Remote,
}

impl Distance {
    /// Distance between two members.
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

/// One round for each distance.
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

    /// Puts a new member at a random place of the running round.
    pub(crate) fn add(&mut self, distance: Distance, instance: InstanceId, rng: &mut impl RngExt) {
        let round = self.round(distance);
        let place = rng.random_range(round.next..=round.order.len());
        round.order.insert(place, instance);
    }

    /// The next member to talk to.
    pub(crate) fn next(
        &mut self,
        table: &MemberTable,
        rng: &mut impl RngExt,
    ) -> Option<InstanceId> {
        let draw = rng.random_range(0..100);
        let order = if draw < OWN_ZONE_PERCENT {
            [Distance::Zone, Distance::Region, Distance::Remote]
        } else if draw < OWN_ZONE_PERCENT + OWN_REGION_PERCENT {
            [Distance::Region, Distance::Zone, Distance::Remote]
        } else {
            [Distance::Remote, Distance::Region, Distance::Zone]
        };
        order
            .into_iter()
            .find_map(|distance| self.next_at(distance, table, rng))
    }

    /// The next member of another region.
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
            .filter(|member| Distance::between(table.own(), member) == distance)
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
