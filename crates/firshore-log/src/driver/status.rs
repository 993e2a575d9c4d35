//! Periodic tasks: publishes the replica's status, refreshes peer addresses, checks free disk space.

use super::Driver;
use crate::disk_space;
use crate::group::GroupStatus;
use crate::machine::StateMachine;
use slog::{info, warn};
use std::sync::Arc;

/// Interval of the periodic tasks, in milliseconds.
const STATUS_INTERVAL_MS: u64 = 200;

impl<M: StateMachine> Driver<'_, M> {
    /// Runs the periodic tasks if they are due or leadership has changed.
    pub(super) fn update_status(&mut self) {
        let now = self.environment.now();
        let leads = self.replica.leads();
        if leads != self.was_leader {
            self.was_leader = leads;
            let term = self.replica.status().term;
            if leads {
                info!(self.log, "journal: Became leader."; "term" => term);
            } else {
                info!(self.log, "journal: No longer leader."; "term" => term);
            }
        } else if now < self.next_status_at {
            return;
        }
        self.next_status_at = now + STATUS_INTERVAL_MS;
        self.environment.transport.refresh();
        self.check_free_space();
        self.publish();
    }

    pub(super) fn check_free_space(&mut self) {
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
                warn!(self.log, "journal: Disk space is low."; "free" => free, "reserve" => reserve);
            } else {
                info!(self.log, "journal: Disk space recovered."; "free" => free);
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
