//! Linearizable reads (`ReadIndex`, Ongaro 2014, section 6.4). The leader records its commit index, then
//! confirms its leadership by a heartbeat round to a quorum that started after the read arrived. Clocks are
//! not used.

use super::{PendingRead, ReadToken, Replica, Role};
use crate::error::ReplicaError;

impl Replica {
    /// Requests a linearizable read. [`super::Output::reads`] contains the token once the read may be answered.
    ///
    /// # Errors
    ///
    /// Returns [`ReplicaError::NotLeader`] if this replica is not the leader.
    pub fn read(&mut self, token: ReadToken) -> Result<(), ReplicaError> {
        let Role::Leader(leadership) = &mut self.role else {
            return Err(ReplicaError::NotLeader);
        };
        leadership.new_reads.push(token);
        Ok(())
    }

    /// Starts a heartbeat round for all new reads, unless an earlier round is unconfirmed. Does nothing before an
    /// entry of the leader's term is committed, because until then the commit index may be outdated.
    pub(super) fn start_read_round(&mut self) {
        let commit_is_current = self.log.term(self.commit) == Some(self.hard_state.term);
        let index = self.commit;
        let Role::Leader(leadership) = &mut self.role else {
            return;
        };
        if leadership.new_reads.is_empty() || !commit_is_current {
            return;
        }
        // One round per read would fill the connections of a busy leader. Periodic heartbeats repeat the
        // round number, so a round whose messages were lost is still confirmed.
        if !leadership.reads.is_empty() {
            return;
        }
        leadership.round += 1;
        let round = leadership.round;
        let pending = leadership.new_reads.drain(..).map(|token| PendingRead {
            token,
            index,
            round,
        });
        leadership.reads.extend(pending);
        self.send_heartbeats();
        self.release_reads();
    }

    /// Outputs the reads whose round a quorum has confirmed.
    pub(super) fn release_reads(&mut self) {
        let membership = self.log.membership();
        let local = self.disk;
        let Role::Leader(leadership) = &mut self.role else {
            return;
        };
        while let Some(read) = leadership.reads.front() {
            let confirmed = membership.has_quorum(|disk| {
                let progress = leadership.progress.get(&disk);
                disk == local || progress.is_some_and(|progress| progress.round >= read.round)
            });
            if !confirmed {
                return;
            }
            self.output.reads.push((read.token, read.index));
            leadership.reads.pop_front();
        }
    }
}
