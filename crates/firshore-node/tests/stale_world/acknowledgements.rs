//! Changes acknowledged by the store, and their age where a follower lacks them.

use super::followers::Follower;
use std::collections::VecDeque;
use std::time::Duration;
use tokio::time::Instant;

/// A change of an object that the store acknowledged.
#[derive(Clone, Debug)]
struct AcknowledgedChange {
    at: Instant,
    kind: &'static str,
    name: String,
    number: u64,
    /// Whether the object was removed.
    removed: bool,
}

impl AcknowledgedChange {
    fn is_received_by(&self, follower: &Follower) -> bool {
        match self.removed {
            true => !follower.has_object(self.kind, &self.name),
            false => follower.has_received(self.kind, &self.name, self.number),
        }
    }
}

/// Changes in the order in which the store acknowledged them.
#[derive(Default)]
pub struct Acknowledgements(VecDeque<AcknowledgedChange>);

impl Acknowledgements {
    /// Records a change or removal of an object, acknowledged now.
    pub fn record(&mut self, kind: &'static str, name: String, number: u64, removed: bool) {
        self.0.push_back(AcknowledgedChange {
            at: Instant::now(),
            kind,
            name,
            number,
            removed,
        });
    }

    /// Drops the oldest changes that all followers have received, except the last change of each object.
    pub fn prune(&mut self, followers: &[Follower]) {
        let mut first = 0;
        while let Some(max_ages) = self.0.get(first) {
            let later = self.0.iter().skip(first + 1);
            let mut same =
                later.filter(|one| one.kind == max_ages.kind && one.name == max_ages.name);
            if same.next().is_none() {
                first += 1;
                continue;
            }
            if !followers.iter().all(|one| max_ages.is_received_by(one)) {
                return;
            }
            self.0.remove(first);
        }
    }

    /// Returns the age of the oldest change of a kind that a follower has not received.
    pub fn age(&self, follower: &Follower, kind: &str) -> Option<Duration> {
        let of_kind = self.0.iter().filter(|one| one.kind == kind);
        let mut missing = of_kind.filter(|one| !one.is_received_by(follower));
        missing.next().map(|one| one.at.elapsed())
    }
}
