//! How the time within which a change must be known is divided among the ways of learning of it. No
//! I/O; the time and random numbers are passed in.
//!
//! Waits that are each short add up: three silent relays, asked one after the other, and a pause before
//! the store itself is asked once took 5 s of a bound of 2 s. So no wait has a length of its own: each is
//! a share of the bound, and the store is asked itself once [`StoreSchedule::due`] is reached, whatever the
//! relays do meanwhile.

use std::time::Duration;
use tokio::time::Instant;

/// Share of the bound that a relay may hold a question for a change.
const RELAY_WAIT: f64 = 0.2;

/// Share that a relay's answer may take beyond that.
const ANSWER_MARGIN: f64 = 0.15;

/// Share for which a relay is passed over that was out of contact with the store: it says so at once, and
/// is back in contact soon after the store is.
const CONTACT_PAUSE: f64 = 0.15;

/// Share for which a relay is passed over that gave no answer.
const SILENCE_PAUSE: f64 = 1.0;

/// Longest share for which a relay is passed over: while all are, nodes ask the store themselves.
const LONGEST_PAUSE: f64 = 2.0;

/// Share after which relays are tried again.
const ROUND_PAUSE: f64 = 0.1;

/// Share for which a relay pauses after a change, so that changes in quick succession cost one call.
const RELAY_SPACING: f64 = 0.18;

/// Longest such pause, where the bound allows more.
const LONGEST_SPACING: Duration = Duration::from_millis(600);

/// Share between two looks of a relay whether the store can be reached: a watch that waits tells nothing
/// about that, and nodes rely on what a relay does not tell them.
const PROBE_INTERVAL: f64 = 0.15;

/// Share for the answer to that.
const PROBE_TIMEOUT: f64 = 0.15;

/// Share for which a relay tells what it knows as current without having heard of the store: the pause
/// after a change, and then two looks.
const RELAY_AGE: f64 = 0.55;

/// Longest share for which a relay's watch waits: each answer shows that it was not swallowed, and costs a
/// call for each kind and relay.
const WATCH_WAIT: f64 = 1.25;

/// Share for which looks at the store's revision stand for answers to a watch: what such a look tells may
/// be old, and a swallowed watch is never answered. A watch that lives is answered before.
const WATCH_TRUST: f64 = WATCH_WAIT + PROBE_INTERVAL;

/// Shortest share between two renewals of a watch, for which it is trusted although the store has changed: a
/// slow store must have time to answer, and where one kind changes all the time, the watch of another one
/// would be renewed with each look.
const RENEWAL_INTERVAL: f64 = 0.5;

/// Share beyond the pause after a change, after which a relay asks the store anew that another relay has
/// learned more of: its own watch is answered within some milliseconds, unless it was lost.
const HINT_PATIENCE: f64 = 0.15;

/// Share after which a node asks the store itself, drawn between these so that nodes do not ask all
/// together. What is known through a relay is up to 0.55 of the bound old on a calm day; what is left is
/// for the store's answer, at a tenth of a core.
const STORE_PATIENCE: std::ops::Range<f64> = 0.6..0.7;

/// The same for a node that knows nothing yet, and so acts on nothing old: relays that were all killed are
/// back within a second.
const FIRST_PATIENCE: std::ops::Range<f64> = 0.6..1.2;

/// Share for an answer of the store, when a node asks it itself.
const STORE_TIMEOUT: f64 = 0.25;

/// Share after which the store is asked again that gave no answer; doubled with each further failure.
const FIRST_RETRY: f64 = 0.1;

/// Longest pause between two tries, as a share: with a look and an answer it is shorter than the time for
/// which a store has to be back before nodes are held to know of its changes (3 s with a bound of 2 s).
const LONGEST_RETRY: f64 = 0.7;

/// Longest factor by which a try takes more time after tries that failed: a large listing from a slow store
/// must come through at last.
const LONGEST_FACTOR: u32 = 4;

/// Time within which a change of one kind must be known, divided.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct FreshnessBudget {
    bound: Duration,
}

impl FreshnessBudget {
    /// Divides `bound`.
    pub fn new(bound: Duration) -> Self {
        Self { bound }
    }

    /// Returns the bound itself.
    pub fn bound(self) -> Duration {
        self.bound
    }

    fn share(self, share: f64) -> Duration {
        self.bound.mul_f64(share)
    }

    /// Returns how long a relay may hold a question for a change.
    pub fn relay_wait(self) -> Duration {
        self.share(RELAY_WAIT)
    }

    /// Returns how long a relay's answer may take beyond that.
    pub fn answer_margin(self) -> Duration {
        self.share(ANSWER_MARGIN)
    }

    /// Returns for how long a relay is passed over that was out of contact with the store.
    pub fn contact_pause(self) -> Duration {
        self.share(CONTACT_PAUSE)
    }

    /// Returns for how long a relay is passed over that gave no answer.
    pub fn silence_pause(self) -> Duration {
        self.share(SILENCE_PAUSE)
    }

    /// Returns for how long a relay is passed over at most.
    pub fn longest_pause(self) -> Duration {
        self.share(LONGEST_PAUSE)
    }

    /// Returns the pause after which relays are tried again.
    pub fn round_pause(self) -> Duration {
        self.share(ROUND_PAUSE)
    }

    /// Returns for how long a relay pauses after a change.
    pub fn relay_spacing(self) -> Duration {
        self.share(RELAY_SPACING).min(LONGEST_SPACING)
    }

    /// Returns the time between two looks of a relay whether the store can be reached.
    pub fn probe_interval(self) -> Duration {
        self.share(PROBE_INTERVAL)
    }

    /// Returns how long the answer to such a look may take.
    pub fn probe_timeout(self) -> Duration {
        self.share(PROBE_TIMEOUT)
    }

    /// Returns up to which age a relay tells what it knows as current.
    pub fn relay_age(self) -> Duration {
        self.share(RELAY_AGE)
    }

    /// Returns for how long a relay's watch waits at most.
    pub fn watch_wait(self) -> Duration {
        self.share(WATCH_WAIT)
    }

    /// Returns for how long a watch without an answer is trusted.
    pub fn watch_trust(self) -> Duration {
        self.share(WATCH_TRUST)
    }

    /// Returns the shortest time between two renewals of a watch.
    pub fn renewal_interval(self) -> Duration {
        self.share(RENEWAL_INTERVAL)
    }

    /// Returns how long a relay waits for its own watch once another relay has learned of a change.
    pub fn hint_patience(self) -> Duration {
        self.share(HINT_PATIENCE)
    }
}

/// When a node asks the store itself about one kind.
#[derive(Debug)]
pub struct StoreSchedule {
    budget: FreshnessBudget,
    begun: Instant,
    /// Where between the bounds of a patience this node stands, from 0 to 1.
    drawn: f64,
    failures: u32,
    failed_at: Option<Instant>,
}

fn between(range: std::ops::Range<f64>, drawn: f64) -> f64 {
    range.start + (range.end - range.start) * drawn
}

impl StoreSchedule {
    /// Nothing is known at `now`; `drawn` is a random number from 0 to 1.
    pub fn new(budget: FreshnessBudget, now: Instant, drawn: f64) -> Self {
        Self {
            budget,
            begun: now,
            drawn,
            failures: 0,
            failed_at: None,
        }
    }

    /// Returns when the store is to be asked by a node that knows it as of `as_of`; `doubted`: a look comes
    /// first, and so earlier.
    pub fn due(&self, as_of: Option<Instant>, doubted: bool) -> Instant {
        let patience = match as_of {
            Some(_) => between(STORE_PATIENCE, self.drawn),
            None => between(FIRST_PATIENCE, self.drawn),
        };
        let look = if doubted { PROBE_TIMEOUT } else { 0.0 };
        let due = as_of.unwrap_or(self.begun) + self.budget.share(patience - look);
        let retry = self
            .failed_at
            .map(|failed_at| failed_at + self.retry_pause());
        retry.map_or(due, |retry| retry.max(due))
    }

    fn retry_pause(&self) -> Duration {
        let doubled = FIRST_RETRY * 2.0_f64.powi(self.failures.min(10) as i32 - 1);
        let spread = 0.5 + self.drawn / 2.0;
        self.budget.share(doubled.min(LONGEST_RETRY) * spread)
    }

    /// Returns whether the store gave no answer last time.
    pub fn has_failed(&self) -> bool {
        self.failures > 0
    }

    /// Returns how long an answer of the store may take.
    pub fn timeout(&self) -> Duration {
        let factor = 2_u32.saturating_pow(self.failures).min(LONGEST_FACTOR);
        self.budget.share(STORE_TIMEOUT) * factor
    }

    /// Takes in that relays have told the store as of a moment: what failed before that is past.
    pub fn record_relayed(&mut self, as_of: Instant) {
        if self.failed_at.is_some_and(|failed_at| failed_at < as_of) {
            self.failures = 0;
            self.failed_at = None;
        }
    }

    /// Takes in that the store gave no answer.
    pub fn record_failure(&mut self, now: Instant) {
        self.failures += 1;
        self.failed_at = Some(now);
    }

    /// Takes in that the store has answered; `drawn` as at the beginning.
    pub fn record_success(&mut self, drawn: f64) {
        self.failures = 0;
        self.failed_at = None;
        self.drawn = drawn;
    }
}
