//! Handles requests of the local node to its replica.

use super::{
    Driver, OutcomeSender, PendingProposal, PendingRead, ReadSender, restore, unix_milliseconds,
};
use crate::machine::StateMachine;
use crate::placement::{is_committed_durable, is_durable};
use crate::refusal::JournalRefusal;
use firshore_replication::error::ReplicaError;
use firshore_replication::storage::{Storage, StoredState};
use firshore_replication::types::{Membership, MembershipChange};
use slog::{info, warn};

impl<M: StateMachine> Driver<'_, M> {
    pub(super) fn not_leader(&self) -> JournalRefusal {
        let status = self.replica.status();
        let leader = status
            .leader
            .filter(|disk| *disk != self.replica.disk())
            .and_then(|disk| status.membership.replicas.get(&disk))
            .map(|replica| replica.node.clone());
        JournalRefusal::NotLeader { leader }
    }

    /// Returns whether entries appended now will be on the required number of disks once they are committed.
    pub(super) fn is_durable(&self) -> bool {
        let min_disks = self.environment.settings.min_disks;
        is_durable(&self.replica.status().membership, min_disks)
    }

    /// Returns whether all that is committed is on the required number of disks.
    pub(super) fn is_committed_durable(&self) -> bool {
        let status = self.replica.status();
        let min_disks = self.environment.settings.min_disks;
        is_committed_durable(&status.membership, &status.committed_membership, min_disks)
    }

    pub(super) fn propose(&mut self, mut command: M::Command, response: OutcomeSender<M>) {
        // Checked on the replica's thread, because the membership may have changed while the proposal was
        // queued.
        if !self.replica.leads() || !self.is_durable() {
            let _ = response.send(Err(self.not_leader()));
            return;
        }
        let now = unix_milliseconds();
        // Needs no log entry: a poll that finds no work, or a repeated submission, which is acknowledged even
        // if the disk is full.
        if let Some(outcome) = self.state.read().without_effect(&command, now) {
            let _ = response.send(self.acknowledge(outcome));
            return;
        }
        if self.full && M::needs_space(&command) {
            let _ = response.send(Err(JournalRefusal::StorageFull));
            return;
        }
        M::stamp(&mut command, now);
        let mut bytes = Vec::new();
        ciborium::into_writer(&command, &mut bytes).expect("commands serialise to memory");
        match self.replica.propose(bytes) {
            Ok(position) => {
                let term = position.term;
                let pending = PendingProposal { term, response };
                // An older proposal at this index belongs to an earlier term and was not committed here.
                if let Some(replaced) = self.proposals.insert(position.index, pending) {
                    let _ = replaced.response.send(Err(JournalRefusal::Unsettled));
                }
            }
            Err(_) => {
                let _ = response.send(Err(self.not_leader()));
            }
        }
    }

    /// Returns an outcome that rests on the state alone, if what is in it is on enough disks. If not, what took effect
    /// may be lost.
    fn acknowledge(&self, outcome: M::Outcome) -> Result<M::Outcome, JournalRefusal> {
        match self.is_committed_durable() {
            true => Ok(outcome),
            false => Err(JournalRefusal::Unsettled),
        }
    }

    pub(super) fn read(&mut self, response: ReadSender<M>) {
        if !self.is_committed_durable() {
            let _ = response.send(Err(self.not_leader()));
            return;
        }
        self.next_read += 1;
        match self.replica.read(self.next_read) {
            Ok(()) => {
                let pending = PendingRead {
                    index: None,
                    response,
                };
                self.reads.insert(self.next_read, pending);
            }
            Err(_) => {
                let _ = response.send(Err(self.not_leader()));
            }
        }
    }

    pub(super) fn found_group(&mut self, membership: Membership) {
        let empty = self.storage.load().is_ok_and(|stored| stored.is_empty());
        if !(empty && self.replica.is_empty()) {
            return;
        }
        let restored = self
            .storage
            .write(&StoredState::founding(membership))
            .and_then(|()| restore::<M>(self.environment, &self.storage));
        match restored {
            Ok((replica, _)) => {
                self.replica = replica;
                info!(self.log, "journal: Group founded.");
            }
            Err(reason) => {
                warn!(self.log, "journal: Founding the group failed."; "reason" => %reason)
            }
        }
    }

    pub(super) fn change(&mut self, change: &MembershipChange) {
        match self.replica.change_membership(change) {
            Ok(position) => {
                info!(self.log, "journal: Membership change proposed."; "change" => ?change,
                    "index" => position.index);
            }
            Err(ReplicaError::ChangePending | ReplicaError::NotLeader) => {}
            Err(reason) => {
                warn!(self.log, "journal: Membership change failed."; "change" => ?change, "reason" => %reason);
            }
        }
    }
}
