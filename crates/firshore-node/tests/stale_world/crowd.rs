//! Many followers, to count what they ask of the store themselves.

use super::scene::{Event, Scene};
use std::fmt::{Display, Formatter};
use std::ops::{Add, Sub};
use std::time::Duration;

pub const FOLLOWERS: u64 = 250;

/// Zones, with two relays each.
pub const ZONES: usize = 5;

/// Calls that were made.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Made {
    /// Pages of the listing of nodes.
    pub nodes: u64,
    /// Questions for a kind that is followed.
    pub full: u64,
    /// Looks whether the store can be reached.
    pub looks: u64,
}

impl Display for Made {
    fn fmt(&self, text: &mut Formatter<'_>) -> std::fmt::Result {
        let Self { nodes, full, looks } = self;
        write!(text, "{nodes} pages of nodes, {full} full, {looks} looks")
    }
}

impl Add for Made {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            nodes: self.nodes + other.nodes,
            full: self.full + other.full,
            looks: self.looks + other.looks,
        }
    }
}

impl Sub for Made {
    type Output = Self;

    fn sub(self, before: Self) -> Self {
        Self {
            nodes: self.nodes - before.nodes,
            full: self.full - before.full,
            looks: self.looks - before.looks,
        }
    }
}

/// A scene with a crowd in which something happens, and whose followers' calls are counted at moments.
pub fn scene(class: &'static str, events: Vec<(u64, Event)>, marks: &[u64]) -> Scene {
    let at = |(at, event)| (Duration::from_millis(at), event);
    let marks: Vec<Duration> = marks.iter().copied().map(Duration::from_millis).collect();
    Scene {
        class,
        seed: 1,
        zones: (0..2 * ZONES).map(|number| number % ZONES).collect(),
        followers: FOLLOWERS as usize,
        follower_zones: ZONES,
        connections: false,
        lag: Duration::ZERO,
        removals: false,
        changes_unheard: true,
        events: events.into_iter().map(at).collect(),
        length: marks.last().copied().unwrap_or_default() + Duration::from_millis(20),
        marks,
    }
}
