//! What the node asks of the replica on its disk.

use super::{
    Driver, PendingProposal, ProposalAnswer, ReadAnswer, WaitingRead, restore, unix_milliseconds,
};
use crate::machine::StateMachine;
use crate::placement::{keeps_promises, may_show};
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

    /// Whether what is committed lies on as many disks as promises need.
    pub(super) fn keeps_promises(&self) -> bool {
        let least = self.environment.settings.least;
        keeps_promises(&self.replica.status().membership, least)
    }

    /// Whether what is committed may be shown to readers.
    pub(super) fn may_show(&self) -> bool {
        let status = self.replica.status();
        let least = self.environment.settings.least;
        may_show(&status.membership, &status.committed_membership, least)
    }

    pub(super) fn propose(&mut self, mut command: M::Command, answer: ProposalAnswer<M>) {
        // Asked here, where the group's change would come first: what was looked at before this was queued
        // may have changed.
        if !self.replica.leads() || !self.keeps_promises() {
            let _ = answer.send(Err(self.not_leader()));
            return;
        }
        let now = unix_milliseconds();
        // Looking for work where there is none costs no log entry, and what was taken in before is
        // acknowledged again also when there is no space for more.
        if let Some(outcome) = self.state.read().without_effect(&command, now) {
            let _ = answer.send(Ok(outcome));
            return;
        }
        if self.full && M::needs_space(&command) {
            let _ = answer.send(Err(JournalRefusal::StorageFull));
            return;
        }
        M::stamp(&mut command, now);
        let mut bytes = Vec::new();
        ciborium::into_writer(&command, &mut bytes).expect("commands serialise to memory");
        match self.replica.propose(bytes) {
            Ok(position) => {
                let term = position.term;
                let pending = PendingProposal { term, answer };
                // An older proposal at this index was lost: its term is over.
                if let Some(lost) = self.proposals.insert(position.index, pending) {
                    let _ = lost.answer.send(Err(JournalRefusal::Unsettled));
                }
            }
            Err(_) => {
                let _ = answer.send(Err(self.not_leader()));
            }
        }
    }

    pub(super) fn read(&mut self, answer: ReadAnswer<M>) {
        if !self.may_show() {
            let _ = answer.send(Err(self.not_leader()));
            return;
        }
        self.next_read += 1;
        match self.replica.read(self.next_read) {
            Ok(()) => {
                let waiting = WaitingRead {
                    index: None,
                    answer,
                };
                self.reads.insert(self.next_read, waiting);
            }
            Err(_) => {
                let _ = answer.send(Err(self.not_leader()));
            }
        }
    }

    pub(super) fn found(&mut self, membership: Membership) {
        let empty = self.storage.load().is_ok_and(|stored| stored.is_empty());
        if !(empty && self.replica.is_empty()) {
            return;
        }
        let founded = self
            .storage
            .write(&StoredState::founding(membership))
            .and_then(|()| restore::<M>(self.environment, &self.storage));
        match founded {
            Ok((replica, _)) => {
                self.replica = replica;
                info!(self.log, "journal: Group founded.");
            }
            Err(reason) => warn!(self.log, "journal: Group not founded."; "reason" => %reason),
        }
    }

    pub(super) fn change(&mut self, change: &MembershipChange) {
        match self.replica.change_membership(change) {
            Ok(position) => {
                info!(self.log, "journal: Replicas change."; "change" => ?change, "index" => position.index);
            }
            Err(ReplicaError::ChangePending | ReplicaError::NotLeader) => {}
            Err(reason) => {
                warn!(self.log, "journal: Replicas not changed."; "change" => ?change, "reason" => %reason);
            }
        }
    }
}
