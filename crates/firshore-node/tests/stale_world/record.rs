//! What the store acknowledged, and what of it a follower lacks.

use super::followers::Follower;
use std::collections::VecDeque;
use std::time::Duration;
use tokio::time::Instant;

/// A change of an object, in order of when the store acknowledged it.
#[derive(Clone, Debug)]
struct Acknowledged {
    at: Instant,
    kind: &'static str,
    name: String,
    number: u64,
    /// The object was removed.
    removed: bool,
}

impl Acknowledged {
    fn is_known_to(&self, follower: &Follower) -> bool {
        match self.removed {
            true => !follower.has(self.kind, &self.name),
            false => follower.knows(self.kind, &self.name, self.number),
        }
    }
}

/// Changes in order of when the store acknowledged them.
#[derive(Default)]
pub struct Acknowledgements(VecDeque<Acknowledged>);

impl Acknowledgements {
    /// Takes in a change, or that an object was removed.
    pub fn add(&mut self, kind: &'static str, name: String, number: u64, removed: bool) {
        self.0.push_back(Acknowledged {
            at: Instant::now(),
            kind,
            name,
            number,
            removed,
        });
    }

    /// Forgets the oldest changes as far as all followers know them and later ones of the same objects
    /// are left to ask for.
    pub fn forget_known(&mut self, followers: &[Follower]) {
        let mut first = 0;
        while let Some(oldest) = self.0.get(first) {
            let later = self.0.iter().skip(first + 1);
            let mut same = later.filter(|one| one.kind == oldest.kind && one.name == oldest.name);
            if same.next().is_none() {
                first += 1;
                continue;
            }
            if !followers.iter().all(|one| oldest.is_known_to(one)) {
                return;
            }
            self.0.remove(first);
        }
    }

    /// Age of the oldest change of a kind that a follower does not know.
    pub fn age(&self, follower: &Follower, kind: &str) -> Option<Duration> {
        let of_kind = self.0.iter().filter(|one| one.kind == kind);
        let mut unknown = of_kind.filter(|one| !one.is_known_to(follower));
        unknown.next().map(|one| one.at.elapsed())
    }
}
