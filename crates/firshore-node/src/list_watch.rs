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
//!
//! Entries without a name that can be read are passed over. A listing goes on after the last name that can be
//! read, and fails where that leads no further. Whom a change without a name is about nobody can tell: the
//! objects are listed anew.

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
pub const IDLE_WAIT: Duration = Duration::from_secs(30);

/// Wait asked for where somebody knows more of the store: what is there is wanted at once.
const RENEWAL_WAIT: Duration = Duration::from_millis(1);

/// Wait asked for after a pause.
const PROVING_WAIT: Duration = Duration::from_millis(600);

/// What an observation is told about its store and kind.
#[derive(Clone, Copy, Debug)]
pub struct WatchOptions {
    /// Age at which the store may forget changes.
    pub history: Duration,
    /// Pause after a change, so that changes in quick succession are asked for together.
    pub spacing: Duration,
    /// The same while everything is only just being created.
    pub creation_spacing: Duration,
    /// Longest wait asked for: a store that falls silent swallows a watch, which is noticed after it.
    pub max_wait: Duration,
}

/// What to ask the store next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreQuery {
    /// A page after a name.
    List(Option<String>),
    /// Changes after a revision.
    Watch(Revision),
}

/// What was learned.
#[derive(Clone, Debug, PartialEq)]
pub enum ObjectUpdate {
    /// All objects there are.
    All(Vec<Object>),
    /// Changes since.
    Changed(Vec<Change>),
}

#[derive(Clone, Debug)]
enum Phase {
    Listing {
        gathered: Vec<Object>,
        /// Revision up to which changes were known before, but for those of whom nobody can tell.
        known: Option<Revision>,
        /// Last name that could be read.
        after: Option<String>,
        /// Revision of the first page: what changed while later pages were read is watched again.
        revision: Option<Revision>,
    },
    Watching(Revision),
}

impl Phase {
    fn listing() -> Self {
        Self::listing_after(None)
    }

    fn listing_after(known: Option<Revision>) -> Self {
        Self::Listing {
            known,
            gathered: Vec::new(),
            after: None,
            revision: None,
        }
    }
}

/// State of the observation.
#[derive(Debug)]
pub struct ListWatch {
    terms: WatchOptions,
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
    /// Entries of the last answer whose name could not be read.
    unnamed: usize,
    /// The last watch brought some: another writer may go on with that, so that a pause comes first.
    doubted: bool,
    /// Why the last page was refused, if it was.
    refusal: Option<ListingRefusal>,
}

/// Why a page is no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListingRefusal {
    /// Objects that are gone would come back.
    Older,
    /// More follow, and no name is in it that they could be asked for after.
    NoCursor,
}

impl ListWatch {
    /// Nothing is known yet.
    pub fn new(terms: WatchOptions) -> Self {
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
            unnamed: 0,
            doubted: false,
            refusal: None,
        }
    }

    /// What to ask next.
    pub fn next_query(&self) -> StoreQuery {
        match &self.phase {
            Phase::Listing { after, .. } => StoreQuery::List(after.clone()),
            Phase::Watching(revision) => StoreQuery::Watch(*revision),
        }
    }

    /// The watch that waits is given up: the next one returns at once.
    pub fn renew(&mut self) {
        self.renewed = true;
    }

    /// Longest wait for a change to ask for.
    pub fn watch_timeout(&self) -> Duration {
        if self.renewed {
            return RENEWAL_WAIT;
        }
        if !self.delay().is_zero() {
            return PROVING_WAIT;
        }
        let wait = match self.calm {
            true => IDLE_WAIT,
            false => self.terms.history.mul_f64(RENEWAL_SHARE).min(IDLE_WAIT),
        };
        wait.min(self.terms.max_wait)
    }

    /// Pause before the next question.
    pub fn delay(&self) -> Duration {
        if self.renewed {
            return Duration::ZERO;
        }
        match self.failures {
            0 if self.doubted => self.terms.spacing.max(FIRST_PAUSE),
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
            Phase::Listing { known, .. } => *known,
            Phase::Watching(revision) => Some(*revision),
        }
    }

    /// Entries of the last answer whose name could not be read.
    pub fn unnamed(&self) -> usize {
        self.unnamed
    }

    /// Why the last page was refused, if it was.
    pub fn refusal(&self) -> Option<ListingRefusal> {
        self.refusal
    }

    fn refuse(&mut self, refusal: ListingRefusal) {
        self.failed(&ObjectError::Unanswered(String::new()));
        self.refusal = Some(refusal);
    }

    /// Takes in a page.
    pub fn handle_page(&mut self, page: Result<Page, ObjectError>) -> Option<ObjectUpdate> {
        self.unnamed = 0;
        self.refusal = None;
        let mut page = match page {
            Ok(page) => page,
            Err(error) => {
                self.failed(&error);
                return None;
            }
        };
        if page.revision < self.reached {
            self.refuse(ListingRefusal::Older);
            return None;
        }
        if page.more && !self.leads_on(&page) {
            self.refuse(ListingRefusal::NoCursor);
            return None;
        }
        self.failures = 0;
        if std::mem::take(&mut self.doubted) {
            // The pause after the changes came before the listing.
            self.changed = false;
        }
        self.reached = page.revision;
        self.unnamed = remove_unnamed(&mut page.objects, |object| &object.name);
        let Phase::Listing {
            gathered,
            after,
            revision,
            ..
        } = &mut self.phase
        else {
            return None;
        };
        let first = *revision.get_or_insert(page.revision);
        if page.more {
            *after = page.cursor().map(str::to_owned);
        }
        gathered.extend(page.objects);
        if page.more {
            return None;
        }
        let listed = std::mem::take(gathered);
        self.creation = listed.is_empty();
        self.phase = Phase::Watching(first);
        Some(ObjectUpdate::All(self.newest(listed)))
    }

    /// Whether the listing can go on after a page. Without this, a page of which no name can be read would end
    /// the listing, and all that stands behind it would be gone.
    fn leads_on(&self, page: &Page) -> bool {
        let Phase::Listing { after, .. } = &self.phase else {
            return false;
        };
        page.cursor() > after.as_deref()
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
    pub fn handle_changes(
        &mut self,
        changes: Result<Changes, ObjectError>,
    ) -> Option<ObjectUpdate> {
        self.renewed = false;
        self.unnamed = 0;
        let mut changes = match changes {
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
        self.unnamed = remove_unnamed(&mut changes.changes, Change::name);
        if self.unnamed > 0 {
            // What the others are told goes on meanwhile: the listing that follows tells the rest.
            self.phase = Phase::listing_after(Some(self.reached));
            self.doubted = true;
        }
        let fresh: Vec<Change> = changes
            .changes
            .into_iter()
            .filter(|change| self.is_fresh(change))
            .collect();
        for change in &fresh {
            self.remember(change);
        }
        (!fresh.is_empty()).then_some(ObjectUpdate::Changed(fresh))
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
        self.doubted = false;
        // Lost history is no failure of the store: what changed is wanted at once.
        if *error != ObjectError::HistoryGone {
            self.failures += 1;
        }
    }
}

/// Takes entries out whose name cannot be read. Returns how many.
fn remove_unnamed<T>(entries: &mut Vec<T>, name: impl Fn(&T) -> &str) -> usize {
    let before = entries.len();
    entries.retain(|entry| !name(entry).is_empty());
    before - entries.len()
}
