//! State machine that lists all objects of one kind in pages, watches for changes from the revision of the
//! first page, and lists again whenever a watch fails. No I/O.
//!
//! An interrupted watch is not resumed: the store may have dropped its history in between, and reports so only
//! with the next change.
//!
//! A store that becomes unresponsive drops the queries that it receives in that time without a response, while
//! watches that were open before continue. So a long watch is sent only right after a response. After a delay,
//! a short watch is sent first.
//!
//! Revisions never go back: a listing as of an earlier revision than one already seen is refused, and an object
//! with an older revision than one already seen is skipped.
//!
//! Entries without a readable name are skipped. A listing continues after the last readable name of a page, and
//! fails if that makes no progress. If a change has no readable name, the objects are listed again.

use crate::listing::ListingPosition;
use firshore_adapter::objects::{Change, Changes, Object, ObjectError, Page, Revision};
use std::collections::HashMap;
use std::time::Duration;

/// Backoff after the first failure; doubled with each further one.
const MIN_BACKOFF: Duration = Duration::from_millis(50);

/// Upper bound of the backoff.
const MAX_BACKOFF: Duration = Duration::from_millis(1_600);

/// Fraction of the store's history after which a watch is renewed, so that its revision doesn't
/// expire while other kinds change.
const RENEWAL_FRACTION: f64 = 0.9;

/// Maximum timeout of a watch, used if the store's revision didn't change during the last watch.
pub const IDLE_WAIT: Duration = Duration::from_secs(30);

/// Timeout of a watch after an interrupted one: changes that the store already has are fetched at once.
const RENEWAL_TIMEOUT: Duration = Duration::from_millis(1);

/// Timeout of a watch after a delay, to probe whether the store responds.
const PROBE_TIMEOUT: Duration = Duration::from_millis(600);

/// Options of a watch.
#[derive(Clone, Copy, Debug)]
pub struct WatchOptions {
    /// Age at which the store may drop changes from its history.
    pub history: Duration,
    /// Delay after a change, so that changes in quick succession are fetched together.
    pub spacing: Duration,
    /// The same while the objects are being created.
    pub creation_spacing: Duration,
    /// Maximum timeout of a watch. An unresponsive store drops watches, which is detected after this time.
    pub max_wait: Duration,
}

/// Query to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreQuery {
    /// The page of objects after a name; the first page for `None`.
    List(Option<String>),
    /// The changes after a revision.
    Watch(Revision),
}

/// Update of the objects of a kind.
#[derive(Clone, Debug, PartialEq)]
pub enum ObjectUpdate {
    /// All existing objects.
    All(Vec<Object>),
    /// Changes since the last update.
    Changed(Vec<Change>),
}

#[derive(Clone, Debug)]
enum Phase {
    Listing {
        listed: Vec<Object>,
        /// Revision up to which changes were seen before the listing, except those without a readable name.
        seen: Option<Revision>,
        position: ListingPosition,
        /// Revision of the first page. The watch starts from it, so that it returns changes made while later
        /// pages were read.
        revision: Option<Revision>,
    },
    Watching(Revision),
}

impl Phase {
    fn listing() -> Self {
        Self::listing_after(None)
    }

    fn listing_after(seen: Option<Revision>) -> Self {
        Self::Listing {
            seen,
            listed: Vec::new(),
            position: ListingPosition::default(),
            revision: None,
        }
    }
}

/// State of the list and watch cycle for one kind.
#[derive(Debug)]
pub struct ListWatch {
    options: WatchOptions,
    phase: Phase,
    seen: HashMap<String, Revision>,
    /// Highest revision seen.
    max_revision: Revision,
    failures: u32,
    /// Whether the last watch returned changes.
    changed: bool,
    /// Whether the store's revision stayed the same during the last watch.
    idle: bool,
    /// Whether the last listing was empty, so that the objects are being created.
    creating: bool,
    /// Whether the waiting watch was interrupted, so that the next one returns at once.
    renewed: bool,
    /// Number of entries without a readable name in the last response.
    unnamed: usize,
    /// Whether the last watch returned such entries. A writer may produce many, so that a delay precedes the
    /// listing.
    unnamed_change: bool,
    /// Reason for which the last page was refused, if it was.
    refusal: Option<ListingRefusal>,
}

/// Reason for which a page is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListingRefusal {
    /// Its revision is older than one already seen: deleted objects would reappear.
    Older,
    /// More pages follow, but this one has no readable name after which none was requested yet.
    NoCursor,
}

impl ListWatch {
    /// Creates the initial state, which starts with a listing.
    pub fn new(options: WatchOptions) -> Self {
        Self {
            options,
            phase: Phase::listing(),
            seen: HashMap::new(),
            max_revision: 0,
            failures: 0,
            changed: false,
            idle: false,
            creating: false,
            renewed: false,
            unnamed: 0,
            unnamed_change: false,
            refusal: None,
        }
    }

    /// Returns the next query.
    pub fn next_query(&self) -> StoreQuery {
        match &self.phase {
            Phase::Listing { position, .. } => {
                StoreQuery::List(position.after().map(str::to_owned))
            }
            Phase::Watching(revision) => StoreQuery::Watch(*revision),
        }
    }

    /// Records that the waiting watch was interrupted: the next one returns at once.
    pub fn renew(&mut self) {
        self.renewed = true;
    }

    /// Returns the timeout of the next watch.
    pub fn watch_timeout(&self) -> Duration {
        if self.renewed {
            return RENEWAL_TIMEOUT;
        }
        if !self.delay().is_zero() {
            return PROBE_TIMEOUT;
        }
        let wait = match self.idle {
            true => IDLE_WAIT,
            false => self
                .options
                .history
                .mul_f64(RENEWAL_FRACTION)
                .min(IDLE_WAIT),
        };
        wait.min(self.options.max_wait)
    }

    /// Returns the delay before the next query.
    pub fn delay(&self) -> Duration {
        if self.renewed {
            return Duration::ZERO;
        }
        match self.failures {
            0 if self.unnamed_change => self.options.spacing.max(MIN_BACKOFF),
            0 if self.changed && self.creating => self.options.creation_spacing,
            0 if self.changed => self.options.spacing,
            0 => Duration::ZERO,
            failures => {
                let doubled = MIN_BACKOFF * 2_u32.saturating_pow(failures.min(10) - 1);
                doubled.min(MAX_BACKOFF)
            }
        }
    }

    /// Returns the number of consecutive failed queries.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Returns whether the last query succeeded.
    pub fn is_connected(&self) -> bool {
        self.failures == 0
    }

    /// Returns the revision up to which changes were seen, or `None` during a listing
    /// after the start or a failure.
    pub fn revision(&self) -> Option<Revision> {
        match &self.phase {
            Phase::Listing { seen, .. } => *seen,
            Phase::Watching(revision) => Some(*revision),
        }
    }

    /// Returns the number of entries without a readable name in the last response.
    pub fn unnamed(&self) -> usize {
        self.unnamed
    }

    /// Returns the reason for which the last page was refused, if it was.
    pub fn refusal(&self) -> Option<ListingRefusal> {
        self.refusal
    }

    fn refuse(&mut self, refusal: ListingRefusal) {
        self.handle_failure(&ObjectError::Unanswered(String::new()));
        self.refusal = Some(refusal);
    }

    /// Handles the response to a listing query. Returns an update once the last page is complete.
    pub fn handle_page(&mut self, page: Result<Page, ObjectError>) -> Option<ObjectUpdate> {
        self.unnamed = 0;
        self.refusal = None;
        let mut page = match page {
            Ok(page) => page,
            Err(error) => {
                self.handle_failure(&error);
                return None;
            }
        };
        if page.revision < self.max_revision {
            self.refuse(ListingRefusal::Older);
            return None;
        }
        if page.more && !self.advance_listing(&page) {
            self.refuse(ListingRefusal::NoCursor);
            return None;
        }
        self.failures = 0;
        if std::mem::take(&mut self.unnamed_change) {
            // The delay after the changes preceded the listing.
            self.changed = false;
        }
        self.max_revision = page.revision;
        self.unnamed = remove_unnamed(&mut page.objects, |object| &object.name);
        let Phase::Listing {
            listed, revision, ..
        } = &mut self.phase
        else {
            return None;
        };
        let first = *revision.get_or_insert(page.revision);
        listed.extend(page.objects);
        if page.more {
            return None;
        }
        let objects = std::mem::take(listed);
        self.creating = objects.is_empty();
        self.phase = Phase::Watching(first);
        Some(ObjectUpdate::All(self.newest(objects)))
    }

    /// Returns whether the listing can continue after a page. Without this check, a page without readable names
    /// would end the listing, and the objects of all later pages would be removed.
    fn advance_listing(&mut self, page: &Page) -> bool {
        match &mut self.phase {
            Phase::Listing { position, .. } => position.advance(page),
            Phase::Watching(_) => false,
        }
    }

    /// Returns the objects that are not older than the revision already seen. Replaces the seen revisions by
    /// those of the listing.
    fn newest(&mut self, listed: Vec<Object>) -> Vec<Object> {
        let previous = std::mem::take(&mut self.seen);
        let is_newest = |object: &Object| {
            let seen = previous.get(&object.name).copied().unwrap_or(0);
            object.revision >= seen
        };
        for object in &listed {
            let seen = previous.get(&object.name).copied().unwrap_or(0);
            self.seen
                .insert(object.name.clone(), object.revision.max(seen));
        }
        listed
            .into_iter()
            .filter(|object| is_newest(object))
            .collect()
    }

    /// Handles the response to a watch.
    pub fn handle_changes(
        &mut self,
        changes: Result<Changes, ObjectError>,
    ) -> Option<ObjectUpdate> {
        self.renewed = false;
        self.unnamed = 0;
        let mut changes = match changes {
            Ok(changes) => changes,
            Err(error) => {
                self.handle_failure(&error);
                return None;
            }
        };
        self.failures = 0;
        let Phase::Watching(revision) = &mut self.phase else {
            return None;
        };
        self.changed = !changes.changes.is_empty();
        self.creating &= self.changed || self.seen.is_empty();
        self.idle = changes.revision <= *revision;
        *revision = changes.revision.max(*revision);
        self.max_revision = self.max_revision.max(*revision);
        self.unnamed = remove_unnamed(&mut changes.changes, Change::name);
        if self.unnamed > 0 {
            // Named changes are still returned; the listing that follows covers the others.
            self.phase = Phase::listing_after(Some(self.max_revision));
            self.unnamed_change = true;
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
                let seen = self.seen.get(&object.name).copied().unwrap_or(0);
                object.revision >= seen
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

    fn handle_failure(&mut self, error: &ObjectError) {
        self.renewed = false;
        self.phase = Phase::listing();
        self.changed = false;
        self.idle = false;
        self.unnamed_change = false;
        // Expired history is no failure of the store: the listing follows without backoff.
        if *error != ObjectError::HistoryGone {
            self.failures += 1;
        }
    }
}

/// Removes entries without a readable name. Returns their number.
fn remove_unnamed<T>(entries: &mut Vec<T>, name: impl Fn(&T) -> &str) -> usize {
    let before = entries.len();
    entries.retain(|entry| !name(entry).is_empty());
    before - entries.len()
}
