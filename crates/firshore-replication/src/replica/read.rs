//! Reads that see everything committed before them (Ongaro 2014, section 6.4): the leader notes its
//! committed index, then learns from a majority, in a heartbeat round started after the read
//! arrived, that it still leads. No clock is trusted.

use super::{PendingRead, ReadToken, Replica, Role};
use crate::error::ReplicaError;

impl Replica {
    /// Asks for a read; the output tells when it may be answered.
    pub fn read(&mut self, token: ReadToken) -> Result<(), ReplicaError> {
        let Role::Leader(leadership) = &mut self.role else {
            return Err(ReplicaError::NotLeader);
        };
        leadership.new_reads.push(token);
        Ok(())
    }

    /// Starts one round for all reads that arrived since the last one, once that is answered. A leader
    /// does not know what is committed before an entry of its own term is.
    pub(super) fn start_read_round(&mut self) {
        let knows_commit = self.log.term(self.commit) == Some(self.hard_state.term);
        let index = self.commit;
        let Role::Leader(leadership) = &mut self.role else {
            return;
        };
        if leadership.new_reads.is_empty() || !knows_commit {
            return;
        }
        // A round for each read fills the connections of a busy leader. Heartbeats carry the round, so
        // one whose messages were lost is answered all the same.
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

    /// Gives out the reads whose round a majority has answered.
    pub(super) fn release_reads(&mut self) {
        let membership = self.log.membership();
        let own = self.disk;
        let Role::Leader(leadership) = &mut self.role else {
            return;
        };
        while let Some(read) = leadership.reads.front() {
            let confirmed = membership.majority(|disk| {
                let progress = leadership.progress.get(&disk);
                disk == own || progress.is_some_and(|progress| progress.round >= read.round)
            });
            if !confirmed {
                return;
            }
            self.output.reads.push((read.token, read.index));
            leadership.reads.pop_front();
        }
    }
}
