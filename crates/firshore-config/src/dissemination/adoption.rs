//! Applies and forwards changes that follow the local history, and refuses others.

use super::{
    Dissemination, MAX_REPORTED_REFUSALS, Output, REGION_FANOUT, Refusal, Source, ZONE_FANOUT,
};
use crate::history::{History, Record, RecordError};
use crate::message::Snapshot;
use crate::selection::Distance;
use firshore_types::configuration::Configuration;
use firshore_types::ids::{InstanceId, Revision};
use std::sync::Arc;

impl Dissemination {
    pub(super) fn apply_records(
        &mut self,
        now: u64,
        source: Source,
        records: &[Record],
        outputs: &mut Vec<Output>,
    ) {
        let before = self.history.head();
        let mut configuration = None;
        for record in records {
            if record.revision > self.history.head().next() {
                self.record_gap(now, source, record.revision, outputs);
                break;
            }
            let configuration = configuration.get_or_insert_with(|| self.configuration.clone());
            if let Err(error) = self.apply_record(record, configuration) {
                self.refuse(record.revision, source.peer(), error, outputs);
                break;
            }
        }
        if self.history.head() > before {
            self.configuration = configuration.expect("a record was taken");
            self.forward_changes(before, source, outputs);
        }
    }

    pub(super) fn apply_record(
        &mut self,
        record: &Record,
        configuration: &mut Arc<Configuration>,
    ) -> Result<(), RecordError> {
        if record.revision <= self.history.head() {
            let local_digest = self.history.digest_at(record.revision);
            return match local_digest {
                Some(local_digest) if local_digest != record.digest() => {
                    Err(RecordError::Divergent)
                }
                _ => Ok(()),
            };
        }
        if record.previous()? != self.history.head_digest() {
            return Err(RecordError::Divergent);
        }
        let change = record.change()?;
        Arc::make_mut(configuration).apply(&change);
        self.history.append(record.clone());
        Ok(())
    }

    pub(super) fn record_gap(
        &mut self,
        now: u64,
        source: Source,
        revision: Revision,
        outputs: &mut Vec<Output>,
    ) {
        if let Some(peer) = source.peer() {
            if self.ahead.is_none_or(|(highest, _)| revision > highest) {
                self.ahead = Some((revision, peer));
            }
            self.pull_if_behind(now, outputs);
        }
    }

    pub(super) fn adopt_snapshot(
        &mut self,
        snapshot: Snapshot,
        source: Source,
        outputs: &mut Vec<Output>,
    ) {
        let revision = snapshot.configuration.revision;
        let before = self.history.head();
        if revision <= before {
            let local_digest = self.history.digest_at(revision);
            if local_digest.is_some_and(|local_digest| local_digest != snapshot.digest) {
                self.refuse(revision, source.peer(), RecordError::Divergent, outputs);
            }
            return;
        }
        self.configuration = Arc::new(snapshot.configuration);
        self.history = History::starting_at(revision, snapshot.digest);
        if source != Source::Disk {
            self.forward_changes(before, source, outputs);
        }
    }

    /// Sends the changes after `before` to a bounded number of peers.
    pub(super) fn forward_changes(
        &mut self,
        before: Revision,
        source: Source,
        outputs: &mut Vec<Output>,
    ) {
        self.reported
            .retain(|revision, _| *revision > self.history.head());
        let message = self.changes_message(before);
        let mut receivers = self.selection.choose(ZONE_FANOUT, Distance::Zone);
        // Fewer receivers in the local zone allow more in other zones.
        let region_count = ZONE_FANOUT + REGION_FANOUT - receivers.len();
        receivers.extend(self.selection.choose(region_count, Distance::Region));
        if receivers.is_empty() || source == Source::Objects {
            receivers.extend(self.selection.choose(1, Distance::Remote));
        }
        for to in receivers {
            if Some(to) != source.peer() {
                let message = message.clone();
                outputs.push(Output::Send { to, message });
            }
        }
    }

    pub(super) fn refuse(
        &mut self,
        revision: Revision,
        from: Option<InstanceId>,
        error: RecordError,
        outputs: &mut Vec<Output>,
    ) {
        if self.reported.get(&revision) == Some(&error) {
            return;
        }
        if self.reported.len() >= MAX_REPORTED_REFUSALS {
            self.reported.pop_first();
        }
        self.reported.insert(revision, error.clone());
        outputs.push(Output::Refused(Refusal {
            revision,
            from,
            error,
        }));
    }
}
