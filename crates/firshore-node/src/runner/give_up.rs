//! Gives up items that are not to run any more.

use super::expiry::{GiveUpReason, RouteAbsences};
use super::item::commit;
use super::schedule::{Pass, WaitingItem};
use super::{ItemKey, Runner};
use crate::task::Task;
use firshore_adapter::jobs::{ItemOutcome, caller_id};
use firshore_jobs::command::{Action, Completion, JobHeader};
use slog::info;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Maximum number of items that are given up with one log entry.
const MAX_GIVE_UPS: usize = 256;

/// An item that is given up.
pub(super) struct GivenUpItem {
    key: ItemKey,
    id: String,
    reason: GiveUpReason,
}

impl Runner {
    /// Records since when this process has known the open jobs.
    pub(super) fn observe_jobs(&self) {
        let now = firshore_clock::now().into_std();
        let mut ages = self.ages.borrow_mut();
        if !ages.is_due(now) {
            return;
        }
        let state = self.replica.applied_state();
        let state = state.read();
        let open = state.open_jobs().map(|header| header.job.as_str());
        ages.observe(now, open, |job| state.is_job_open(job));
    }

    /// Returns the time until the items of a job are given up; zero if it is over. `now` is on the clock of
    /// [`firshore_clock`].
    pub(super) fn time_left(&self, now: Instant, header: &JobHeader) -> Duration {
        let give_up_after = Duration::from_millis(header.give_up_after);
        let ages = self.ages.borrow();
        ages.time_left(now, &header.job, give_up_after)
    }

    /// Returns how many items may be given up in a pass: none while the last ones are being committed.
    pub(super) fn max_give_ups(&self) -> usize {
        match self.giving_up.borrow().is_some() {
            true => 0,
            false => MAX_GIVE_UPS,
        }
    }

    /// Records that the configuration has no route for an item, and gives it up if the route has ended.
    pub(super) fn record_absent_route(&self, waiting: &WaitingItem<'_>, pass: &mut Pass) {
        if self.gateway.configuration().is_none() {
            return;
        }
        let now = firshore_clock::now().into_std();
        let as_of = self.gateway.freshness.configuration.as_of();
        let as_of = as_of.map(tokio::time::Instant::into_std);
        let mut absences = self.absences.borrow_mut();
        if absences.record(now, &waiting.key.0, as_of) {
            pass.give_up(waiting, GiveUpReason::RouteEnded);
        }
    }

    /// Commits that these items are given up.
    pub(super) fn give_up(self: &Rc<Self>, items: Vec<GivenUpItem>) {
        if items.is_empty() {
            return;
        }
        let now = firshore_clock::now().into_std();
        for item in &items {
            let age = self.ages.borrow().age(now, &item.key.0);
            info!(self.gateway.log, "runner: Item given up."; "job" => caller_id(&item.key.0), "item" => &item.id,
                "reason" => ?item.reason, "age_ms" => age.as_millis() as u64);
            self.metrics.item_given_up(item.reason);
        }
        let completions = items.into_iter().map(|item| Completion {
            job: item.key.0,
            item: item.key.1,
            outcome: ItemOutcome::GivenUp,
        });
        let action = Action::Complete(completions.collect());
        let runner = self.clone();
        let task = Task::spawn(async move {
            commit(&runner.replica, action).await;
            runner.run_ended.notify_one();
            // Dropping the handle of this task, which ends here, aborts nothing.
            runner.giving_up.borrow_mut().take();
        });
        *self.giving_up.borrow_mut() = Some(task);
    }

    /// Drops what a leader knows of items that are to be given up.
    pub(super) fn clear_give_ups(&self) {
        self.giving_up.borrow_mut().take();
        *self.absences.borrow_mut() = RouteAbsences::default();
    }

    /// Logs what the first waiting item of a job waits for, if that lasts.
    pub(super) fn log_wait(&self, now: Instant, waiting: &WaitingItem<'_>, pass: &Pass) {
        let Some(reason) = pass.wait_reason else {
            return;
        };
        let job = &waiting.key.0;
        if !self.waits.borrow_mut().record(now, job, reason) {
            return;
        }
        let left = self.time_left(firshore_clock::now().into_std(), waiting.item.header);
        info!(self.gateway.log, "runner: Job waits."; "job" => caller_id(job),
            "item" => &waiting.item.item.id, "reason" => ?reason,
            "gives_up_in_ms" => left.as_millis() as u64);
    }
}

impl Pass {
    /// Gives up an item, unless as many are given up in this pass as may be.
    pub(super) fn give_up(&mut self, waiting: &WaitingItem<'_>, reason: GiveUpReason) {
        if self.given_up.len() < self.max_give_ups {
            self.given_up.push(GivenUpItem {
                key: waiting.key.clone(),
                id: waiting.item.item.id.clone(),
                reason,
            });
        }
    }
}
