//! Decides whether a node may serve: only at or above the floor that the journal holds.

use firshore_types::ids::Revision;

/// Milliseconds for which a serving node may stay below a newly received floor until the missing
/// changes arrive.
pub const CATCH_UP_MILLISECONDS: u64 = 5_000;

/// Milliseconds without a call of [`FloorGate::alive`] after which the process counts as paused: it
/// may have missed changes that are in force on other nodes.
pub const PAUSE_MILLISECONDS: u64 = 15_000;

/// Reason why a node does not serve.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotServing {
    /// The floor has not been read from the journal since the start.
    FloorUnknown,
    /// The process was paused and has not read the floor since.
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
/// A starting node must read the floor from a majority of the journal and reach it. A serving node
/// needs no further reads because peers send the floor with the changes. It stops serving when it
/// stays below a received floor for longer than [`CATCH_UP_MILLISECONDS`], unless its version cannot
/// read the next change: otherwise such a change would stop all nodes of the older version at once.
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
    /// Records the floor read from the journal at `now` (milliseconds).
    pub fn floor_read(&mut self, now: u64, floor: Revision) {
        self.confirmed = true;
        self.floor_heard(now, floor);
    }

    /// Records a floor received from a peer at `now` (milliseconds).
    pub fn floor_heard(&mut self, now: u64, floor: Revision) {
        self.floor = self.floor.max(floor);
        self.update(now);
    }

    /// Records the revision that came into force at `now` (milliseconds).
    pub fn in_force(&mut self, now: u64, revision: Revision) {
        self.revision = self.revision.max(revision);
        self.update(now);
    }

    /// Records that the process runs at `now` (milliseconds); to be called at least every few
    /// seconds. After a pause the node must read the floor again before it serves.
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

    /// Records a change that this version cannot read.
    pub fn unreadable(&mut self, revision: Revision) {
        self.unreadable = Some(revision);
    }

    /// Returns whether the floor was read from the journal since the start or the last pause.
    pub fn is_confirmed(&self) -> bool {
        self.confirmed
    }

    /// Returns the highest floor received.
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

    fn next_change_is_unreadable(&self) -> bool {
        self.unreadable == Some(self.revision.next())
    }

    /// Checks whether the node may serve at `now` (milliseconds).
    ///
    /// # Errors
    ///
    /// Returns the reason if it may not serve.
    pub fn check(&self, now: u64) -> Result<(), NotServing> {
        if self.was_paused(now) {
            return Err(NotServing::Paused);
        }
        if !self.started {
            return Err(self.not_serving_reason());
        }
        let expired = self
            .below_since
            .is_some_and(|since| now.saturating_sub(since) > CATCH_UP_MILLISECONDS);
        if expired && !self.next_change_is_unreadable() {
            return Err(self.not_serving_reason());
        }
        Ok(())
    }

    fn not_serving_reason(&self) -> NotServing {
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
