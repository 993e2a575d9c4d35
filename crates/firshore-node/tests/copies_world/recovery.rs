//! Times from a lost disk until the deployment is as safe as before, and whether they are shorter than the time for
//! which the loss counts.

use super::{CATCH_UP_MS, World};

/// Times of several losses, in milliseconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct Times {
    pub losses: u64,
    /// Losses after which something was missing at all.
    pub disturbed: u64,
    pub sum_from_loss: u64,
    pub worst_from_loss: u64,
    /// Longest time after the end of the last disruption, which is when the time to catch up starts.
    pub worst_after_disruption: u64,
    /// Losses that counted no longer when the deployment was as safe as before.
    pub late: u64,
    /// Losses after which it never was.
    pub unfinished: u64,
}

impl Times {
    fn add(&mut self, loss: &OpenLoss, restored_at: Option<u64>) {
        self.losses += 1;
        let Some(restored_at) = restored_at else {
            self.unfinished += 1;
            return;
        };
        let from_loss = restored_at - loss.at;
        let after_disruption = restored_at.saturating_sub(loss.settled_since);
        self.disturbed += u64::from(from_loss > 0);
        self.sum_from_loss += from_loss;
        self.worst_from_loss = self.worst_from_loss.max(from_loss);
        self.worst_after_disruption = self.worst_after_disruption.max(after_disruption);
        self.late += u64::from(after_disruption > CATCH_UP_MS);
    }

    fn merge(&mut self, other: &Self) {
        self.losses += other.losses;
        self.disturbed += other.disturbed;
        self.sum_from_loss += other.sum_from_loss;
        self.worst_from_loss = self.worst_from_loss.max(other.worst_from_loss);
        let worst = self.worst_after_disruption;
        self.worst_after_disruption = worst.max(other.worst_after_disruption);
        self.late += other.late;
        self.unfinished += other.unfinished;
    }
}

/// Times until the latest accepted command is on `losses + 1` disks again, and until the group has a way on after all
/// tolerated losses again.
#[derive(Clone, Copy, Debug, Default)]
pub struct RecoveryTimes {
    pub copies: Times,
    pub way_on: Times,
}

impl RecoveryTimes {
    pub fn merge(&mut self, other: &Self) {
        self.copies.merge(&other.copies);
        self.way_on.merge(&other.way_on);
    }
}

/// A lost disk.
#[derive(Clone, Copy, Debug)]
struct OpenLoss {
    number: usize,
    at: u64,
    /// End of the last disruption while the loss counted.
    settled_since: u64,
    copies_at: Option<u64>,
    way_on_at: Option<u64>,
}

/// Measurement of the losses of one run.
#[derive(Default)]
pub struct RecoveryMeter {
    open: Vec<OpenLoss>,
    /// Number of the latest loss.
    seen: usize,
    times: RecoveryTimes,
}

impl World {
    /// Measures the times from each loss until the deployment is as safe as before.
    pub fn with_recovery_times(mut self) -> Self {
        self.meter = Some(RecoveryMeter::default());
        self
    }

    /// Returns the times measured so far; losses that are still open count as unfinished.
    pub fn recovery_times(&self) -> RecoveryTimes {
        let Some(meter) = &self.meter else {
            return RecoveryTimes::default();
        };
        let mut times = meter.times;
        for loss in &meter.open {
            times.copies.add(loss, loss.copies_at);
            times.way_on.add(loss, loss.way_on_at);
        }
        times
    }

    pub(super) fn measure_recovery(&mut self) {
        let Some(mut meter) = self.meter.take() else {
            return;
        };
        self.track_losses(&mut meter);
        if !meter.open.is_empty() {
            let accepted = self.accepted.as_ref();
            let required = self.policy.min_disks;
            let is_copied = accepted.is_none_or(|accepted| self.copies(accepted) >= required);
            let has_way_on = is_copied && (accepted.is_none() || self.tolerates_all_losses());
            for loss in &mut meter.open {
                if is_copied {
                    loss.copies_at.get_or_insert(self.now);
                }
                if has_way_on {
                    loss.way_on_at.get_or_insert(self.now);
                }
            }
        }
        let is_over = |loss: &mut OpenLoss| loss.way_on_at.is_some();
        for loss in meter.open.extract_if(.., is_over) {
            meter.times.copies.add(&loss, loss.copies_at);
            meter.times.way_on.add(&loss, loss.way_on_at);
        }
        self.meter = Some(meter);
    }

    /// Adds the losses of this step, and updates the ends of the disruptions.
    fn track_losses(&self, meter: &mut RecoveryMeter) {
        for loss in &self.losses {
            let mut open = meter.open.iter_mut();
            if let Some(known) = open.find(|open| open.number == loss.number) {
                known.settled_since = loss.settled_since;
            } else if loss.number > meter.seen {
                meter.seen = loss.number;
                meter.open.push(OpenLoss {
                    number: loss.number,
                    at: self.now,
                    settled_since: loss.settled_since,
                    copies_at: None,
                    way_on_at: None,
                });
            }
        }
    }
}
