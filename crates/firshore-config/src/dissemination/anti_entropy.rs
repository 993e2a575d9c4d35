//! Comparison of two nodes' histories, and pulls of missing changes.

use super::{
    Dissemination, EAGER_PUSH_BYTES, Output, PULL_TIMEOUT_MILLISECONDS, Pull, RANGE_BYTES,
    SNAPSHOT_INTERVAL_MILLISECONDS,
};
use crate::history::{HistoryDigest, Record, RecordError};
use crate::message::{Advertisement, Message};
use firshore_types::ids::{InstanceId, Revision};

impl Dissemination {
    pub(super) fn end_pull(&mut self, from: InstanceId) {
        if self.pull.is_some_and(|pull| pull.from == from) {
            self.pull = None;
        }
    }

    /// Compares a peer's advertisement with the local history.
    pub(super) fn compare(
        &mut self,
        now: u64,
        from: InstanceId,
        theirs: Advertisement,
        outputs: &mut Vec<Output>,
    ) {
        self.floor = self.floor.max(theirs.floor);
        let head = self.history.head();
        if theirs.revision > head {
            if self
                .ahead
                .is_none_or(|(highest, _)| theirs.revision > highest)
            {
                self.ahead = Some((theirs.revision, from));
            }
            self.pull_if_behind(now, outputs);
            return;
        }
        let local_digest = self.history.digest_at(theirs.revision);
        if local_digest.is_some_and(|local_digest| local_digest != theirs.digest) {
            self.refuse(theirs.revision, Some(from), RecordError::Divergent, outputs);
            let message = Message::Divergent {
                at: theirs.revision,
            };
            outputs.push(Output::Send { to: from, message });
            return;
        }
        if theirs.revision < head {
            let message = self.changes_message(theirs.revision);
            outputs.push(Output::Send { to: from, message });
        } else if theirs.floor < self.floor {
            let message = Message::Advertisement(self.advertisement());
            outputs.push(Output::Send { to: from, message });
        }
    }

    /// Returns a message with the changes after `revision` if they are small, else an advertisement.
    pub(super) fn changes_message(&self, revision: Revision) -> Message {
        let records = self.history.after(revision, EAGER_PUSH_BYTES);
        match records {
            Some(records) if is_small_and_whole(&records, self.history.head()) => {
                Message::Chain(records)
            }
            _ => Message::Advertisement(self.advertisement()),
        }
    }

    pub(super) fn pull_if_behind(&mut self, now: u64, outputs: &mut Vec<Output>) {
        let Some((revision, from)) = self.ahead else {
            return;
        };
        if revision <= self.history.head() {
            self.ahead = None;
            return;
        }
        match self.pull {
            Some(pull) if now < pull.until => return,
            Some(pull) if pull.from == from => {
                // The peer did not respond; the next advertisement selects another.
                self.pull = None;
                self.ahead = None;
                return;
            }
            _ => {}
        }
        self.pull = Some(Pull {
            from,
            until: now + PULL_TIMEOUT_MILLISECONDS,
        });
        let message = Message::Pull {
            after: self.history.head(),
            digest: self.history.head_digest(),
        };
        outputs.push(Output::Send { to: from, message });
    }

    pub(super) fn serve_pull(
        &mut self,
        now: u64,
        to: InstanceId,
        after: Revision,
        digest: HistoryDigest,
        outputs: &mut Vec<Output>,
    ) {
        if after >= self.history.head() {
            let message = Message::Advertisement(self.advertisement());
            outputs.push(Output::Send { to, message });
            return;
        }
        let local_digest = self.history.digest_at(after);
        if local_digest.is_some_and(|local_digest| local_digest != digest) {
            let message = Message::Divergent { at: after };
            outputs.push(Output::Send { to, message });
            self.refuse(after, Some(to), RecordError::Divergent, outputs);
            return;
        }
        let message = match self.history.after(after, RANGE_BYTES) {
            Some(records) => Message::Chain(records),
            None if now < self.snapshot_not_before => Message::Busy,
            None => {
                self.snapshot_not_before = now + SNAPSHOT_INTERVAL_MILLISECONDS;
                Message::Snapshot(Box::new(self.snapshot()))
            }
        };
        outputs.push(Output::Send { to, message });
    }
}

fn is_small_and_whole(records: &[Record], head: Revision) -> bool {
    let bytes: usize = records.iter().map(|record| record.text.len()).sum();
    bytes <= EAGER_PUSH_BYTES && records.last().is_some_and(|last| last.revision == head)
}
