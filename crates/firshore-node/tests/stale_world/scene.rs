//! What is played, and what came of it.

use super::crowd::Made;
use super::machines::Health;
use super::ways::Way;
use std::fmt::{Display, Formatter};
use std::time::Duration;

/// Whose way to the store something happens to.
#[derive(Clone, Copy, Debug)]
pub enum Who {
    All,
    Relays,
    Relay(usize),
    Follower(usize),
}

/// How soon changes must be known, and how long a node must have been in touch to be held to that.
#[derive(Clone, Copy, Debug)]
pub struct Sheet {
    pub bound: Duration,
    pub in_touch_after: Duration,
}

/// Something that happens to a machine or to the store.
#[derive(Clone, Copy, Debug)]
pub enum Event {
    /// A relay's machine is reached in this way from now on; its process goes on.
    Reached(usize, Health),
    /// A relay's process ends, and its machine is reached in this way.
    Ends(usize, Health),
    /// A relay's process starts, and its machine is reached.
    Starts(usize),
    /// The way to the store changes.
    Ways(Who, Way),
    /// Answers of the store take so much longer.
    Delays(Who, Duration),
    /// A relay reads a copy of the store that is behind, or no more.
    Lags(usize, bool),
    /// All watches that wait hear nothing any more.
    CutBegins,
    /// These watches fail, and the store's history is gone.
    CutEnds,
    /// One more follower starts.
    Joins,
    /// Back ends change until an entry is removed; only where entries are removed at all.
    Removes,
    /// Back ends change until all that were there are removed and others are in their places; only where
    /// entries are removed at all.
    ReplacesAll,
    /// A follower's process stands still, if there is such a follower.
    Pauses(usize),
    /// It goes on.
    GoesOn(usize),
    /// A follower's process gets a tenth of a core, or a whole one again.
    Slows(usize, bool),
    /// What waits on open connections is never answered, nor is what goes out on connections to the
    /// store that are `idle`. The kernel ends those to the store after `kept`, if at all.
    FallsSilent { idle: bool, kept: Option<Duration> },
}

/// What is played.
#[derive(Clone, Debug)]
pub struct Scene {
    pub class: &'static str,
    pub seed: u64,
    /// Zones of the relays.
    pub zones: Vec<usize>,
    pub followers: usize,
    /// In how many zones they are.
    pub follower_zones: usize,
    /// Whether calls between nodes need connections.
    pub connections: bool,
    /// Time by which the copy of the store is behind that a relay may read.
    pub lag: Duration,
    /// Whether entries of back ends are removed.
    pub removals: bool,
    /// Whether the store takes changes while no machine of the cluster hears of it.
    pub changes_unheard: bool,
    /// What happens, in order of time.
    pub events: Vec<(Duration, Event)>,
    pub length: Duration,
    /// When the calls of followers at the store are counted.
    pub marks: Vec<Duration>,
}

/// A follower that did not know a change.
#[derive(Clone, Debug)]
pub struct Late {
    pub after: Duration,
    pub follower: String,
    pub kind: &'static str,
    pub age: Duration,
    /// How relays were reached, and their ways to the store.
    pub relays: String,
}

impl Display for Late {
    fn fmt(&self, text: &mut Formatter<'_>) -> std::fmt::Result {
        let Self {
            after,
            follower,
            kind,
            age,
            relays,
        } = self;
        write!(
            text,
            "{follower} lacked a change of {kind} {age:?} old at {after:?} ({relays})"
        )
    }
}

/// What came of a scene.
#[derive(Debug, Default)]
pub struct Played {
    /// Oldest change that a follower in touch did not know, of each of [`KINDS`].
    pub oldest: [Duration; 2],
    /// When the bound was first passed.
    pub first_late: Option<Late>,
    /// When a change was unknown for longest.
    pub latest: Option<Late>,
    /// What a follower took back.
    pub taken_back: Option<String>,
    /// Changes that were acknowledged.
    pub changes: usize,
    /// What all followers together had asked of the store at each mark.
    pub made: Vec<Made>,
}
