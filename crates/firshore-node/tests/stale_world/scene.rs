//! Scenes, their events and their results.

use super::crowd::CallCounts;
use super::machines::Health;
use super::store_access::StoreAccess;
use std::fmt::{Display, Formatter};
use std::time::Duration;

/// The machines whose access to the store an event changes.
#[derive(Clone, Copy, Debug)]
pub enum Target {
    All,
    Relays,
    Relay(usize),
    Follower(usize),
}

/// The freshness bound, and the time for which a node must have been connected before the bound applies to it.
#[derive(Clone, Copy, Debug)]
pub struct FreshnessLimits {
    pub bound: Duration,
    pub connected_after: Duration,
}

/// An event at a machine or at the store.
#[derive(Clone, Copy, Debug)]
pub enum Event {
    /// The health of a relay's machine changes; its process keeps running.
    Reached(usize, Health),
    /// A relay's process ends, and its machine gets this health.
    Ends(usize, Health),
    /// A relay's process starts, and its machine is up.
    Starts(usize),
    /// The access to the store changes.
    Ways(Target, StoreAccess),
    /// Responses of the store are delayed by this much.
    Delays(Target, Duration),
    /// A relay reads the lagging copy of the store, or the store again.
    Lags(usize, bool),
    /// All watches in flight stop receiving changes.
    CutBegins,
    /// These watches fail, and the store drops its history.
    CutEnds,
    /// One more follower starts.
    Joins,
    /// Back ends change until an entry is removed; has an effect only in scenes with removals.
    Removes,
    /// Back ends change until all former entries are removed and replaced; has an effect only in scenes with
    /// removals.
    ReplacesAll,
    /// A follower's process is suspended, if that follower exists.
    Pauses(usize),
    /// A follower's process is resumed.
    GoesOn(usize),
    /// A follower's process gets a tenth of a core, or a whole core again.
    Slows(usize, bool),
    /// Calls in flight on open connections get no response; if `idle`, nor do calls sent later on idle
    /// connections to the store. The kernel closes connections to the store after `kernel_timeout`, if set.
    FallsSilent {
        idle: bool,
        kernel_timeout: Option<Duration>,
    },
}

/// The machines and events of one run.
#[derive(Clone, Debug)]
pub struct Scene {
    pub class: &'static str,
    pub seed: u64,
    /// Zones of the relays.
    pub zones: Vec<usize>,
    pub followers: usize,
    /// Number of zones of the followers.
    pub follower_zones: usize,
    /// Whether calls between nodes use simulated connections.
    pub connections: bool,
    /// Lag of the copy of the store that relays may read.
    pub lag: Duration,
    /// Whether entries of back ends are removed.
    pub removals: bool,
    /// Whether the store accepts changes while no machine of the cluster can reach it.
    pub changes_while_unreachable: bool,
    /// Events by time since the start, in order.
    pub events: Vec<(Duration, Event)>,
    pub length: Duration,
    /// Times since the start at which the followers' calls to the store are counted.
    pub count_at: Vec<Duration>,
}

/// A change that a follower had not received.
#[derive(Clone, Debug)]
pub struct LateChange {
    /// Time since the start of the scene.
    pub after: Duration,
    pub follower: String,
    pub kind: &'static str,
    pub age: Duration,
    /// Health of the relays and their access to the store.
    pub relays: String,
}

impl Display for LateChange {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        let Self {
            after,
            follower,
            kind,
            age,
            relays,
        } = self;
        write!(
            formatter,
            "{follower} lacked a change of {kind} {age:?} old at {after:?} ({relays})"
        )
    }
}

/// The result of a scene.
#[derive(Debug, Default)]
pub struct SceneResult {
    /// Maximum age of a change that a connected follower had not received, for each of [`KINDS`].
    pub max_ages: [Duration; 2],
    /// The first change that exceeded the bound.
    pub first_late: Option<LateChange>,
    /// The change that was missing for longest.
    pub max_late: Option<LateChange>,
    /// The first return of a follower to an older state.
    pub regression: Option<String>,
    /// Number of acknowledged changes.
    pub changes: usize,
    /// Calls of all followers to the store up to each count.
    pub calls: Vec<CallCounts>,
}
