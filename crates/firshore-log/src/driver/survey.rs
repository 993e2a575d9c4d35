//! What the replica tells about itself a few times a second.

use super::Driver;
use crate::disk_space;
use crate::group::GroupStatus;
use crate::machine::StateMachine;
use slog::{info, warn};
use std::sync::Arc;

/// How often the status, the addresses of peers and the free space are looked at, in milliseconds.
const SURVEY_INTERVAL: u64 = 200;

impl<M: StateMachine> Driver<'_, M> {
    pub(super) fn survey(&mut self) {
        let now = self.environment.now();
        let leads = self.replica.leads();
        if leads != self.led {
            self.led = leads;
            let term = self.replica.status().term;
            if leads {
                info!(self.log, "journal: Leads."; "term" => term);
            } else {
                info!(self.log, "journal: Follows."; "term" => term);
            }
        } else if now < self.survey_due {
            return;
        }
        self.survey_due = now + SURVEY_INTERVAL;
        self.environment.transport.refresh();
        self.look_at_space();
        self.publish();
    }

    pub(super) fn look_at_space(&mut self) {
        let free = self
            .environment
            .path
            .parent()
            .and_then(disk_space::free_bytes);
        let reserve = self.environment.settings.reserve_bytes;
        let full = free.is_some_and(|free| free < reserve);
        if full != self.full {
            self.full = full;
            if full {
                warn!(self.log, "journal: Space is short."; "free" => free, "reserve" => reserve);
            } else {
                info!(self.log, "journal: Space is enough again."; "free" => free);
            }
        }
    }

    pub(super) fn publish(&self) {
        let limit = self.environment.settings.replace_after.as_millis() as u64;
        let status = GroupStatus {
            file_bytes: self.storage.file_bytes(),
            full: self.full,
            ..GroupStatus::of(&self.replica, limit)
        };
        *self.environment.status.write() = Arc::new(status);
        self.environment.applied.send_replace(self.applied);
    }
}
