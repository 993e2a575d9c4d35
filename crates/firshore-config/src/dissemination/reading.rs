//! Watches of the object API on the elected reader nodes.

use super::{
    Dissemination, FAILED_READS_BEFORE_HANDOVER, Output, READ_RETRY_MILLISECONDS,
    SUBSTITUTE_MILLISECONDS, Source, Watch,
};
use crate::history::Record;
use crate::message::Message;
use crate::readers::READERS_PER_REGION;

impl Dissemination {
    /// Returns whether the node should watch the object API at `now` (milliseconds).
    pub fn is_reader(&self, now: u64) -> bool {
        now < self.substitute_until || self.is_elected_reader()
    }

    pub(super) fn is_elected_reader(&self) -> bool {
        self.reader_order
            .iter()
            .take(READERS_PER_REGION)
            .any(|reader| *reader == self.selection.local().instance)
    }

    pub(super) fn objects_read(&mut self, now: u64, records: &[Record], outputs: &mut Vec<Output>) {
        self.failed_reads = 0;
        let before = self.history.head();
        self.apply_records(now, Source::Objects, records, outputs);
        let no_progress = !records.is_empty() && self.history.head() == before;
        let backoff = if no_progress {
            READ_RETRY_MILLISECONDS
        } else {
            0
        };
        self.watch = Watch::Idle {
            not_before: now + backoff,
        };
    }

    pub(super) fn objects_unread(&mut self, now: u64, outputs: &mut Vec<Output>) {
        self.failed_reads += 1;
        self.watch = Watch::Idle {
            not_before: now + READ_RETRY_MILLISECONDS,
        };
        if self.is_elected_reader() && self.failed_reads >= FAILED_READS_BEFORE_HANDOVER {
            self.delegate_reading(now, outputs);
        }
    }

    /// Requests that the next node in order read as well, one node at a time.
    fn delegate_reading(&mut self, now: u64, outputs: &mut Vec<Output>) {
        let others = self.reader_order.get(READERS_PER_REGION..).unwrap_or(&[]);
        if others.is_empty() || now < self.handover_not_before {
            return;
        }
        let to = others[self.handovers % others.len()];
        self.handovers += 1;
        self.handover_not_before = now + SUBSTITUTE_MILLISECONDS;
        let message = Message::TakeOverReading;
        outputs.push(Output::Send { to, message });
    }

    pub(super) fn watch_if_reader(&mut self, now: u64, outputs: &mut Vec<Output>) {
        let Watch::Idle { not_before } = self.watch else {
            return;
        };
        if now >= not_before && self.is_reader(now) {
            self.watch = Watch::Running;
            let after = self.history.head();
            outputs.push(Output::WatchObjects { after });
        }
    }
}
