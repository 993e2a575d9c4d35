//! Follows all objects of one kind: lists them in pages, then watches from the revision of the
//! first page, and lists anew whenever a watch fails. No I/O.
//!
//! A watch that was cut is not gone on with: the store may have dropped its history meanwhile, and
//! tells so only with the next change.
//!
//! A store that falls silent swallows what it is asked meanwhile, and never answers that, while
//! watches that waited before go on. So a long watch is asked for only right after an answer; after
//! a pause, a short one comes first.
//!
//! What was seen is never taken back: a listing as of an earlier revision than was seen before is no answer,
//! and an object that one shows in an older revision than was seen is passed over.

use firshore_adapter::objects::{Change, Changes, Object, ObjectError, Page, Revision};
use std::collections::HashMap;
use std::time::Duration;

/// Pause after the first failure; doubled with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(50);

const LONGEST_PAUSE: Duration = Duration::from_millis(1_600);

/// Part of the store's history after which a watch is renewed, so that its revision is not
/// forgotten while other kinds change.
const RENEWAL_SHARE: f64 = 0.9;

/// Wait asked for where nothing at all has changed during the last one.
pub const CALM_WAIT: Duration = Duration::from_secs(30);

/// Wait asked for where somebody knows more of the store: what is there is wanted at once.
const RENEWAL_WAIT: Duration = Duration::from_millis(1);

/// Wait asked for after a pause.
const PROVING_WAIT: Duration = Duration::from_millis(600);

/// What an observation is told about its store and kind.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// Age at which the store may forget changes.
    pub history: Duration,
    /// Pause after a change, so that changes in quick succession are asked for together.
    pub spacing: Duration,
    /// The same while everything is only just being created.
    pub creation_spacing: Duration,
    /// Longest wait asked for: a store that falls silent swallows a watch, which is noticed after it.
    pub longest_wait: Duration,
}

/// What to ask the store next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Question {
    /// A page after a name.
    List(Option<String>),
    /// Changes after a revision.
    Watch(Revision),
}

/// What was learned.
#[derive(Clone, Debug, PartialEq)]
pub enum Learned {
    /// All objects there are.
    All(Vec<Object>),
    /// Changes since.
    Changed(Vec<Change>),
}

#[derive(Clone, Debug)]
enum Phase {
    Listing {
        gathered: Vec<Object>,
        /// Revision of the first page: what changed while later pages were read is watched again.
        revision: Option<Revision>,
    },
    Watching(Revision),
}

impl Phase {
    fn listing() -> Self {
        Self::Listing {
            gathered: Vec::new(),
            revision: None,
        }
    }
}

/// State of the observation.
#[derive(Debug)]
pub struct Observation {
    terms: Terms,
    phase: Phase,
    seen: HashMap<String, Revision>,
    /// Revision up to which the store was known at any time.
    reached: Revision,
    failures: u32,
    /// The last watch brought changes.
    changed: bool,
    /// The store's revision did not move during the last watch.
    calm: bool,
    /// The first listing was empty: the objects are being created.
    creation: bool,
    /// The watch that waited was given up to ask anew at once.
    renewed: bool,
}

impl Observation {
    /// Nothing is known yet.
    pub fn new(terms: Terms) -> Self {
        Self {
            terms,
            phase: Phase::listing(),
            seen: HashMap::new(),
            reached: 0,
            failures: 0,
            changed: false,
            calm: false,
            creation: false,
            renewed: false,
        }
    }

    /// What to ask next.
    pub fn question(&self) -> Question {
        match &self.phase {
            Phase::Listing { gathered, .. } => {
                Question::List(gathered.last().map(|object| object.name.clone()))
            }
            Phase::Watching(revision) => Question::Watch(*revision),
        }
    }

    /// The watch that waits is given up: the next one returns at once.
    pub fn renew(&mut self) {
        self.renewed = true;
    }

    /// Longest wait for a change to ask for.
    pub fn wait(&self) -> Duration {
        if self.renewed {
            return RENEWAL_WAIT;
        }
        if !self.pause().is_zero() {
            return PROVING_WAIT;
        }
        let wait = match self.calm {
            true => CALM_WAIT,
            false => self.terms.history.mul_f64(RENEWAL_SHARE).min(CALM_WAIT),
        };
        wait.min(self.terms.longest_wait)
    }

    /// Pause before the next question.
    pub fn pause(&self) -> Duration {
        if self.renewed {
            return Duration::ZERO;
        }
        match self.failures {
            0 if self.changed && self.creation => self.terms.creation_spacing,
            0 if self.changed => self.terms.spacing,
            0 => Duration::ZERO,
            failures => {
                let doubled = FIRST_PAUSE * 2_u32.saturating_pow(failures.min(10) - 1);
                doubled.min(LONGEST_PAUSE)
            }
        }
    }

    /// Questions in a row that the store has not answered.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Whether the store answered last time.
    pub fn is_connected(&self) -> bool {
        self.failures == 0
    }

    /// Revision up to which changes are known.
    pub fn revision(&self) -> Option<Revision> {
        match &self.phase {
            Phase::Listing { .. } => None,
            Phase::Watching(revision) => Some(*revision),
        }
    }

    /// Takes in a page.
    pub fn listed(&mut self, page: Result<Page, ObjectError>) -> Option<Learned> {
        let page = match page {
            Ok(page) => page,
            Err(error) => {
                self.failed(&error);
                return None;
            }
        };
        if page.revision < self.reached {
            // Objects that are gone would come back.
            self.failed(&ObjectError::Unanswered("an older revision".to_owned()));
            return None;
        }
        self.failures = 0;
        self.reached = page.revision;
        let Phase::Listing { gathered, revision } = &mut self.phase else {
            return None;
        };
        let first = *revision.get_or_insert(page.revision);
        let empty = page.objects.is_empty();
        gathered.extend(page.objects);
        if page.more && !empty {
            return None;
        }
        let listed = std::mem::take(gathered);
        self.creation = listed.is_empty();
        self.phase = Phase::Watching(first);
        Some(Learned::All(self.newest(listed)))
    }

    /// Objects that are not older than what was seen; remembers just these.
    fn newest(&mut self, listed: Vec<Object>) -> Vec<Object> {
        let seen = std::mem::take(&mut self.seen);
        let is_newest = |object: &Object| {
            let before = seen.get(&object.name).copied().unwrap_or(0);
            object.revision >= before
        };
        for object in &listed {
            let before = seen.get(&object.name).copied().unwrap_or(0);
            self.seen
                .insert(object.name.clone(), object.revision.max(before));
        }
        listed.into_iter().filter(|one| is_newest(one)).collect()
    }

    /// Takes in changes.
    pub fn watched(&mut self, changes: Result<Changes, ObjectError>) -> Option<Learned> {
        self.renewed = false;
        let changes = match changes {
            Ok(changes) => changes,
            Err(error) => {
                self.failed(&error);
                return None;
            }
        };
        self.failures = 0;
        let Phase::Watching(revision) = &mut self.phase else {
            return None;
        };
        self.changed = !changes.changes.is_empty();
        self.creation &= self.changed || self.seen.is_empty();
        self.calm = changes.revision <= *revision;
        *revision = changes.revision.max(*revision);
        self.reached = self.reached.max(*revision);
        let fresh: Vec<Change> = changes
            .changes
            .into_iter()
            .filter(|change| self.is_fresh(change))
            .collect();
        for change in &fresh {
            self.remember(change);
        }
        (!fresh.is_empty()).then_some(Learned::Changed(fresh))
    }

    fn is_fresh(&self, change: &Change) -> bool {
        match change {
            Change::Removed(_) => true,
            Change::Written(object) => {
                let before = self.seen.get(&object.name).copied().unwrap_or(0);
                object.revision >= before
            }
        }
    }

    fn remember(&mut self, change: &Change) {
        match change {
            Change::Written(object) => {
                self.seen.insert(object.name.clone(), object.revision);
            }
            Change::Removed(name) => {
                self.seen.remove(name);
            }
        }
    }

    fn failed(&mut self, error: &ObjectError) {
        self.renewed = false;
        self.phase = Phase::listing();
        self.changed = false;
        self.calm = false;
        // Lost history is no failure of the store: what changed is wanted at once.
        if *error != ObjectError::HistoryGone {
            self.failures += 1;
        }
    }
}
