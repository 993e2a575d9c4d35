//! A scene with many followers, to count their own calls to the store.

use super::scene::{Event, Scene};
use std::fmt::{Display, Formatter};
use std::ops::{Add, Sub};
use std::time::Duration;

pub const FOLLOWERS: u64 = 250;

/// Number of zones, with two relays each.
pub const ZONES: usize = 5;

/// Numbers of calls to the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// Pages of listings of nodes.
    pub node_pages: u64,
    /// Queries for a followed kind.
    pub queries: u64,
    /// Probes of whether the store is reachable.
    pub probes: u64,
}

impl Display for CallCounts {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        let Self {
            node_pages,
            queries,
            probes,
        } = self;
        write!(
            formatter,
            "{node_pages} pages of nodes, {queries} queries, {probes} probes"
        )
    }
}

impl Add for CallCounts {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            node_pages: self.node_pages + other.node_pages,
            queries: self.queries + other.queries,
            probes: self.probes + other.probes,
        }
    }
}

impl Sub for CallCounts {
    type Output = Self;

    fn sub(self, before: Self) -> Self {
        Self {
            node_pages: self.node_pages - before.node_pages,
            queries: self.queries - before.queries,
            probes: self.probes - before.probes,
        }
    }
}

/// Returns a scene with [`FOLLOWERS`] followers whose calls are counted at `count_at` (milliseconds).
pub fn scene(class: &'static str, events: Vec<(u64, Event)>, count_at: &[u64]) -> Scene {
    let at = |(at, event)| (Duration::from_millis(at), event);
    let count_at: Vec<Duration> = count_at
        .iter()
        .copied()
        .map(Duration::from_millis)
        .collect();
    Scene {
        class,
        seed: 1,
        zones: (0..2 * ZONES).map(|number| number % ZONES).collect(),
        followers: FOLLOWERS as usize,
        follower_zones: ZONES,
        connections: false,
        lag: Duration::ZERO,
        removals: false,
        changes_while_unreachable: true,
        events: events.into_iter().map(at).collect(),
        length: count_at.last().copied().unwrap_or_default() + Duration::from_millis(20),
        count_at,
    }
}
