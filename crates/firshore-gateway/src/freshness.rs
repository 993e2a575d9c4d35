//! As of when a node knows what the store of objects holds, and from whom it has that.
//!
//! Every decision rests on such a belief, and the log names its age beside the decision.

use firshore_types::ids::NodeName;
use std::cell::{Cell, RefCell};
use std::fmt;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// From whom a node has what it believes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FreshnessSource {
    /// From the store itself.
    Store,
    /// From a node that passes on what the store holds.
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

#[derive(Clone, Debug)]
struct Confirmation {
    as_of: Instant,
    source: FreshnessSource,
}

/// What a node believes of the objects of one kind.
#[derive(Debug, Default)]
pub struct Freshness {
    confirmation: RefCell<Option<Confirmation>>,
    /// Age up to which decisions may rest on it; none: any.
    longest_age: Cell<Option<Duration>>,
}

impl Freshness {
    /// Takes in that all that stood in the store at `as_of`, by the clock of ages, is known, by an answer of `source`. An
    /// answer that tells of an earlier moment than another one did says nothing.
    pub fn confirm(&self, as_of: Instant, source: FreshnessSource) {
        let mut confirmation = self.confirmation.borrow_mut();
        if let Some(known) = confirmation.as_ref()
            && known.as_of >= as_of
        {
            return;
        }
        *confirmation = Some(Confirmation { as_of, source });
    }

    /// Nothing is known any more.
    pub fn forget(&self) {
        self.confirmation.borrow_mut().take();
    }

    /// Returns the moment as of which the store is known; none before the first answer.
    pub fn as_of(&self) -> Option<Instant> {
        let confirmation = self.confirmation.borrow();
        confirmation.as_ref().map(|known| known.as_of)
    }

    /// Returns for how long the belief was not confirmed; none before the first answer.
    pub fn age(&self) -> Option<Duration> {
        self.as_of().map(firshore_clock::elapsed)
    }

    /// Sets up to which age decisions may rest on it.
    pub fn limit_age(&self, longest_age: Duration) {
        self.longest_age.set(Some(longest_age));
    }

    /// Returns whether the belief is older than decisions may rest on: what it denies may be there.
    pub fn is_overdue(&self) -> bool {
        let longest_age = self.longest_age.get();
        let age = self.age();
        matches!((age, longest_age), (Some(age), Some(longest)) if age > longest)
    }

    /// Returns the age in milliseconds, for the log.
    pub fn age_ms(&self) -> Option<u64> {
        self.age().map(|age| age.as_millis() as u64)
    }

    /// Returns from whom the last confirmation came, for the log.
    pub fn source(&self) -> Option<String> {
        let confirmation = self.confirmation.borrow();
        confirmation.as_ref().map(|known| known.source.to_string())
    }
}

/// What a gateway believes.
#[derive(Debug, Default)]
pub struct StoreFreshness {
    /// Which configuration is in force.
    pub configuration: Rc<Freshness>,
    /// Which back ends there are, and which of them leave.
    pub backends: Rc<Freshness>,
}
