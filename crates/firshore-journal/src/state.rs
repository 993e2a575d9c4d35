//! The state of a journal group and the commands that change it.

use crate::claim::{ClaimCommand, ClaimOutcome, ClaimTable};
use firshore_batch::command as batch;
use firshore_batch::table::JobTable;
use firshore_log::machine::StateMachine;
use firshore_replication::types::LogIndex;
use firshore_types::ids::Revision;
use serde::{Deserialize, Serialize};

/// Command committed in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Changes batch jobs.
    Batch(batch::Command),
    /// Changes claims.
    Claim(ClaimCommand),
    /// Raises the configuration floor: nodes no longer serve a lower revision.
    RaiseFloor(Revision),
}

/// Outcome of a committed command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// Outcome of a batch command.
    Batch(batch::Outcome),
    /// Outcome of a claim command.
    Claim(ClaimOutcome),
    /// Configuration floor after the command.
    Floor(Revision),
}

/// State of a journal group.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct JournalState {
    /// Batch jobs.
    pub jobs: JobTable,
    /// Claims of non-repeatable requests.
    pub claims: ClaimTable,
    /// Lowest configuration revision that nodes may serve.
    pub floor: Revision,
}

impl StateMachine for JournalState {
    type Command = Command;
    type Outcome = Outcome;

    fn without_effect(&self, command: &Command, now: u64) -> Option<Outcome> {
        match command {
            Command::Batch(command) => {
                let outcome = self.jobs.without_effect(&command.action, now);
                outcome.map(Outcome::Batch)
            }
            Command::Claim(_) | Command::RaiseFloor(_) => None,
        }
    }

    fn stamp(command: &mut Command, now: u64) {
        match command {
            Command::Batch(command) => command.at = now,
            Command::Claim(ClaimCommand::Claim { at, .. }) => *at = now,
            Command::Claim(_) | Command::RaiseFloor(_) => {}
        }
    }

    fn needs_space(command: &Command) -> bool {
        match command {
            Command::Batch(command) => matches!(
                command.action,
                batch::Action::Open { .. }
                    | batch::Action::Append { .. }
                    | batch::Action::Seal { .. }
            ),
            Command::Claim(command) => matches!(command, ClaimCommand::Claim { .. }),
            Command::RaiseFloor(_) => false,
        }
    }

    fn apply(&mut self, _at: LogIndex, command: Command) -> Outcome {
        match command {
            Command::Batch(command) => Outcome::Batch(self.jobs.apply(command)),
            Command::Claim(command) => Outcome::Claim(self.claims.apply(command)),
            Command::RaiseFloor(revision) => {
                self.floor = self.floor.max(revision);
                Outcome::Floor(self.floor)
            }
        }
    }
}
