//! Whether a node may serve: only at or above the floor that the journal holds.

use firshore_types::ids::Revision;

/// Milliseconds for which a node that already serves may go on below a floor that it has just
/// learnt of, while the missing changes are on their way.
pub const CATCH_UP_MILLISECONDS: u64 = 5_000;

/// Milliseconds without a sign of life from the node's own driver after which it must have been
/// paused, and may have slept through changes that are in force everywhere else.
pub const PAUSE_MILLISECONDS: u64 = 15_000;

/// Why a node does not serve.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotServing {
    /// The journal has not told the floor yet.
    FloorUnknown,
    /// The process was paused, and has not learnt the floor since.
    Paused,
    /// No configuration was ever accepted.
    Empty,
    /// The configuration in force is older than the floor.
    BelowFloor {
        /// Revision in force.
        revision: Revision,
        /// Floor.
        floor: Revision,
    },
}

impl std::fmt::Display for NotServing {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::FloorUnknown => formatter
                .write_str("The floor is unknown: the journal has not answered since the start."),
            Self::Paused => formatter
                .write_str("The process was paused; it reads the floor before it serves again."),
            Self::Empty => formatter.write_str("No configuration is in force yet."),
            Self::BelowFloor { revision, floor } => write!(
                formatter,
                "Revision {revision} is in force, but {floor} was accepted."
            ),
        }
    }
}

/// Decides whether a node may serve.
///
/// A starting node must read the floor from a majority of the journal first and reach it. Once it
/// serves, it needs no further reads: the floor spreads with the changes. If it then stays below a
/// floor it knows of for longer than [`CATCH_UP_MILLISECONDS`], it stops serving, unless the cause
/// is a change that its version cannot read; such a change would otherwise stop every node of the
/// older version at once.
#[derive(Debug, Default)]
pub struct FloorGate {
    confirmed: bool,
    started: bool,
    floor: Revision,
    revision: Revision,
    below_since: Option<u64>,
    alive_at: Option<u64>,
    unreadable: Option<Revision>,
}

impl FloorGate {
    /// The journal answered with its floor at `now` (milliseconds).
    pub fn floor_read(&mut self, now: u64, floor: Revision) {
        self.confirmed = true;
        self.floor_heard(now, floor);
    }

    /// A peer told a floor at `now` (milliseconds).
    pub fn floor_heard(&mut self, now: u64, floor: Revision) {
        self.floor = self.floor.max(floor);
        self.update(now);
    }

    /// A configuration came into force at `now` (milliseconds).
    pub fn in_force(&mut self, now: u64, revision: Revision) {
        self.revision = self.revision.max(revision);
        self.update(now);
    }

    /// The node's driver runs at `now` (milliseconds); to be told at least every few seconds. After
    /// a pause the node starts anew: it must read the floor again.
    pub fn alive(&mut self, now: u64) {
        if self.was_paused(now) {
            self.confirmed = false;
            self.started = false;
        }
        self.alive_at = Some(now);
    }

    fn was_paused(&self, now: u64) -> bool {
        self.alive_at
            .is_some_and(|alive_at| now.saturating_sub(alive_at) > PAUSE_MILLISECONDS)
    }

    /// A change was refused because this version cannot read it.
    pub fn unreadable(&mut self, revision: Revision) {
        self.unreadable = Some(revision);
    }

    /// Whether the journal has told the floor since the start.
    pub fn is_confirmed(&self) -> bool {
        self.confirmed
    }

    /// Highest floor known.
    pub fn floor(&self) -> Revision {
        self.floor
    }

    fn update(&mut self, now: u64) {
        if self.revision >= self.floor {
            self.below_since = None;
            self.started |= self.confirmed && self.revision > Revision(0);
        } else {
            self.below_since.get_or_insert(now);
        }
    }

    fn waits_for_unreadable(&self) -> bool {
        self.unreadable == Some(self.revision.next())
    }

    /// Whether the node may serve at `now` (milliseconds).
    pub fn check(&self, now: u64) -> Result<(), NotServing> {
        if self.was_paused(now) {
            return Err(NotServing::Paused);
        }
        if !self.started {
            return Err(self.reason());
        }
        let late = self
            .below_since
            .is_some_and(|since| now.saturating_sub(since) > CATCH_UP_MILLISECONDS);
        if late && !self.waits_for_unreadable() {
            return Err(self.reason());
        }
        Ok(())
    }

    fn reason(&self) -> NotServing {
        if !self.confirmed {
            NotServing::FloorUnknown
        } else if self.revision < self.floor {
            NotServing::BelowFloor {
                revision: self.revision,
                floor: self.floor,
            }
        } else {
            NotServing::Empty
        }
    }
}
