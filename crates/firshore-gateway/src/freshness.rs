//! Freshness of a node's copy of the object store: as of which moment it is current, and its source.
//!
//! Log lines about a decision carry the age of the copy that the decision used.

use firshore_types::ids::NodeName;
use std::cell::{Cell, RefCell};
use std::fmt;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Where a node's copy was read from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FreshnessSource {
    /// The object store itself.
    Store,
    /// A node that relays the contents of the store.
    Relay(NodeName),
}

impl fmt::Display for FreshnessSource {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Store => formatter.write_str("store"),
            Self::Relay(node) => node.fmt(formatter),
        }
    }
}

/// Maximum time between two confirmations that counts as no gap: longer than outages of the store last, in which nobody
/// sees new entries, and shorter than the time in which a software version comes, serves and goes.
const MAX_GAP: Duration = Duration::from_secs(10);

/// Time for which the object store was observed without a gap.
#[derive(Debug, Default)]
pub struct Continuity {
    last: Cell<Option<Instant>>,
    since: Cell<Option<Instant>>,
    /// Notified of each confirmation.
    confirmed: Notify,
}

impl Continuity {
    /// Records that the store was observed as of a moment (on the clock of [`firshore_clock`]).
    pub fn confirm(&self, as_of: Instant) {
        let last = self.last.get();
        if last.is_some_and(|last| as_of <= last) {
            return;
        }
        self.last.set(Some(as_of));
        let follows = last.is_some_and(|last| as_of.duration_since(last) <= MAX_GAP);
        if !follows {
            self.since.set(Some(as_of));
        }
        self.confirmed.notify_waiters();
    }

    /// Returns whether the store was observed as of `moment` or later.
    pub fn covers(&self, moment: Instant) -> bool {
        self.last.get().is_some_and(|last| last >= moment)
    }

    /// Waits until the store was observed as of `moment` or later. All who wait are woken by the same observation.
    pub async fn reach(&self, moment: Instant) {
        loop {
            let confirmed = self.confirmed.notified();
            if self.covers(moment) {
                return;
            }
            confirmed.await;
        }
    }

    /// Returns the time since the last gap; `None` before the first observation.
    pub fn unbroken_for(&self) -> Option<Duration> {
        self.since.get().map(firshore_clock::elapsed)
    }

    /// Returns the age of the last observation; `None` before the first one.
    pub fn last_age(&self) -> Option<Duration> {
        self.last.get().map(firshore_clock::elapsed)
    }

    /// Discards all observations.
    pub fn forget(&self) {
        self.last.set(None);
        self.since.set(None);
    }
}

#[derive(Clone, Debug)]
struct Confirmation {
    as_of: Instant,
    source: FreshnessSource,
}

/// Freshness of a node's copy of the objects of one kind.
#[derive(Debug, Default)]
pub struct Freshness {
    confirmation: RefCell<Option<Confirmation>>,
    continuity: Continuity,
    /// Maximum age at which decisions may use the copy; `None`: unlimited.
    max_age: Cell<Option<Duration>>,
}

impl Freshness {
    /// Records a response from `source`, after which the copy holds everything that was in the store at `as_of`
    /// (on the clock of [`firshore_clock`]). Ignored unless it is newer than the last one.
    pub fn confirm(&self, as_of: Instant, source: FreshnessSource) {
        let mut confirmation = self.confirmation.borrow_mut();
        if let Some(current) = confirmation.as_ref()
            && current.as_of >= as_of
        {
            return;
        }
        *confirmation = Some(Confirmation { as_of, source });
        self.continuity.confirm(as_of);
    }

    /// Returns the time since the copy last had a gap; `None` before the first confirmation.
    pub fn unbroken_for(&self) -> Option<Duration> {
        self.continuity.unbroken_for()
    }

    /// Returns whether the copy holds everything that was in the store at `moment`.
    pub fn covers(&self, moment: Instant) -> bool {
        self.continuity.covers(moment)
    }

    /// Waits until the copy holds everything that was in the store at `moment`.
    pub async fn reach(&self, moment: Instant) {
        self.continuity.reach(moment).await;
    }

    /// Discards the last confirmation.
    pub fn forget(&self) {
        self.confirmation.borrow_mut().take();
        self.continuity.forget();
    }

    /// Returns the moment as of which the copy is current; `None` before the first confirmation.
    pub fn as_of(&self) -> Option<Instant> {
        let confirmation = self.confirmation.borrow();
        confirmation.as_ref().map(|last| last.as_of)
    }

    /// Returns the time since the moment as of which the copy is current; `None` before the first confirmation.
    pub fn age(&self) -> Option<Duration> {
        self.as_of().map(firshore_clock::elapsed)
    }

    /// Sets the maximum age at which decisions may use the copy.
    pub fn limit_age(&self, max_age: Duration) {
        self.max_age.set(Some(max_age));
    }

    /// Returns the maximum age at which decisions may use the copy; `None`: unlimited.
    pub fn max_age(&self) -> Option<Duration> {
        self.max_age.get()
    }

    /// Returns whether the copy exceeds its maximum age. What is missing from a stale copy may exist in the store.
    pub fn is_stale(&self) -> bool {
        let max_age = self.max_age.get();
        let age = self.age();
        matches!((age, max_age), (Some(age), Some(max_age)) if age > max_age)
    }

    /// Returns the age in milliseconds, for log lines.
    pub fn age_ms(&self) -> Option<u64> {
        self.age().map(|age| age.as_millis() as u64)
    }

    /// Returns the source of the last confirmation, for log lines.
    pub fn source(&self) -> Option<String> {
        let confirmation = self.confirmation.borrow();
        confirmation.as_ref().map(|last| last.source.to_string())
    }
}

/// Freshness of a gateway's copies of the object store.
#[derive(Debug, Default)]
pub struct StoreFreshness {
    /// Configuration in force.
    pub configuration: Rc<Freshness>,
    /// Back ends, and which of them are leaving.
    pub backends: Rc<Freshness>,
    /// Zones that are drained.
    pub zone_drains: Rc<Freshness>,
}
