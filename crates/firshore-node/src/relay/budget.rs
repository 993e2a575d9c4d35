//! Divides the time within which a change must be visible among the steps that deliver it. No I/O;
//! the time and random numbers are passed in.
//!
//! Independent timeouts add up: three silent relays queried in turn, and a backoff before the store, once
//! took 5 s of a bound of 2 s. Therefore each timeout is a fraction of the bound, and the store is queried
//! directly once [`StoreSchedule::due`] is reached, whatever the relays do meanwhile.

use std::time::Duration;
use tokio::time::Instant;

/// Fraction of the bound for which a relay may hold a query for a change.
const RELAY_WAIT: f64 = 0.2;

/// Fraction that a relay's response may take beyond that.
const ANSWER_MARGIN: f64 = 0.15;

/// Fraction for which a relay is excluded that is out of contact with the store. Short, because
/// such a relay responds at once and regains contact soon after the store is back.
const NO_CONTACT_BACKOFF: f64 = 0.15;

/// Fraction for which a relay is excluded that did not respond.
const UNRESPONSIVE_BACKOFF: f64 = 1.0;

/// Maximum fraction for which a relay is excluded. While all are excluded, nodes query the store
/// directly.
const MAX_BACKOFF: f64 = 2.0;

/// Fraction after which relays are queried again.
const ROUND_INTERVAL: f64 = 0.1;

/// Fraction for which a relay waits after a change, so that changes in quick succession cost one
/// call.
const RELAY_SPACING: f64 = 0.18;

/// Upper limit of that wait, for large bounds.
const MAX_RELAY_SPACING: Duration = Duration::from_millis(600);

/// Fraction between two probes of a relay for whether the store is reachable. A pending watch
/// doesn't show that, and nodes take no response from a relay as no change.
const PROBE_INTERVAL: f64 = 0.15;

/// Fraction for the response to a probe.
const PROBE_TIMEOUT: f64 = 0.15;

/// Fraction for which a relay serves its data as current without contact with the store: the wait
/// after a change and two probes.
const MAX_RELAY_AGE: f64 = 0.55;

/// Maximum fraction for which a relay's watch waits. Each response shows that the watch was not
/// lost, and costs one call for each kind and relay.
const WATCH_WAIT: f64 = 1.25;

/// Fraction for which probes of the store's revision count as responses to a watch. A probe may
/// return an old revision, and a lost watch never gets a response; a working watch gets one before
/// this.
const WATCH_TRUST: f64 = WATCH_WAIT + PROBE_INTERVAL;

/// Minimum fraction between two renewals of a watch. A watch is trusted for as long although the
/// store has changed: a slow store needs time to respond, and frequent changes of one kind must not
/// renew the watches of other kinds with each probe.
const RENEWAL_INTERVAL: f64 = 0.5;

/// Fraction, beyond the wait after a change, after which a relay queries the store again because
/// another relay has reported a later revision. Its own watch gets a response within some
/// milliseconds unless it was lost.
const HINT_TIMEOUT: f64 = 0.15;

/// Fraction after which a node queries the store directly, drawn from this range so that nodes
/// don't query it all at once. Data from a relay may be up to 0.55 of the bound old; the rest is
/// for the store's response.
const STORE_DELAY: std::ops::Range<f64> = 0.6..0.7;

/// The same for a node that has no data yet and therefore cannot act on stale data. It leaves
/// relays time to restart, about a second.
const INITIAL_STORE_DELAY: std::ops::Range<f64> = 0.6..1.2;

/// Fraction for a response of the store to a direct query.
const STORE_TIMEOUT: f64 = 0.25;

/// Fraction after which the store is queried again after a failure; doubled with each further
/// failure.
const INITIAL_RETRY_BACKOFF: f64 = 0.1;

/// Maximum backoff between two attempts, as a fraction. With a probe and a response it is shorter
/// than the time after which nodes must know the changes of a store that is back (3 s with a bound
/// of 2 s).
const MAX_RETRY_BACKOFF: f64 = 0.7;

/// Maximum factor by which the timeout grows after failed attempts, so that a large listing from a
/// slow store can complete.
const MAX_TIMEOUT_FACTOR: u32 = 4;

/// Bound on the time within which a change of one kind must be visible, with the timeouts derived
/// from it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct FreshnessBudget {
    bound: Duration,
}

impl FreshnessBudget {
    /// Creates a budget from the bound on freshness.
    pub fn new(bound: Duration) -> Self {
        Self { bound }
    }

    /// Returns the whole bound.
    pub fn bound(self) -> Duration {
        self.bound
    }

    fn fraction(self, fraction: f64) -> Duration {
        self.bound.mul_f64(fraction)
    }

    /// Returns how long a relay may hold a query for a change.
    pub fn relay_wait(self) -> Duration {
        self.fraction(RELAY_WAIT)
    }

    /// Returns how long a relay's response may take beyond [`Self::relay_wait`].
    pub fn answer_margin(self) -> Duration {
        self.fraction(ANSWER_MARGIN)
    }

    /// Returns how long a relay is excluded that is out of contact with the store.
    pub fn no_contact_backoff(self) -> Duration {
        self.fraction(NO_CONTACT_BACKOFF)
    }

    /// Returns how long a relay is excluded after its first timeout.
    pub fn unresponsive_backoff(self) -> Duration {
        self.fraction(UNRESPONSIVE_BACKOFF)
    }

    /// Returns the maximum time for which a relay is excluded.
    pub fn max_backoff(self) -> Duration {
        self.fraction(MAX_BACKOFF)
    }

    /// Returns the interval between two rounds of queries to relays.
    pub fn round_interval(self) -> Duration {
        self.fraction(ROUND_INTERVAL)
    }

    /// Returns how long a relay waits after a change.
    pub fn relay_spacing(self) -> Duration {
        self.fraction(RELAY_SPACING).min(MAX_RELAY_SPACING)
    }

    /// Returns the interval between two probes of a relay for whether the store is reachable.
    pub fn probe_interval(self) -> Duration {
        self.fraction(PROBE_INTERVAL)
    }

    /// Returns the timeout of a probe.
    pub fn probe_timeout(self) -> Duration {
        self.fraction(PROBE_TIMEOUT)
    }

    /// Returns the maximum age at which a relay serves its data as current.
    pub fn relay_age(self) -> Duration {
        self.fraction(MAX_RELAY_AGE)
    }

    /// Returns how long a relay's watch waits at most.
    pub fn watch_wait(self) -> Duration {
        self.fraction(WATCH_WAIT)
    }

    /// Returns how long a watch without a response is trusted.
    pub fn watch_trust(self) -> Duration {
        self.fraction(WATCH_TRUST)
    }

    /// Returns the minimum time between two renewals of a watch.
    pub fn renewal_interval(self) -> Duration {
        self.fraction(RENEWAL_INTERVAL)
    }

    /// Returns how long a relay waits for its own watch after another relay has reported a change.
    pub fn hint_timeout(self) -> Duration {
        self.fraction(HINT_TIMEOUT)
    }
}

/// Decides when a node queries the store directly for one kind.
#[derive(Debug)]
pub struct StoreSchedule {
    budget: FreshnessBudget,
    /// Start, or the last page of the first listing.
    started_at: Instant,
    /// Position in the ranges of delays, from 0 to 1.
    jitter: f64,
    failures: u32,
    failed_at: Option<Instant>,
}

fn interpolate(range: std::ops::Range<f64>, jitter: f64) -> f64 {
    range.start + (range.end - range.start) * jitter
}

impl StoreSchedule {
    /// Starts at `now` without data; `jitter` is a random number from 0 to 1.
    pub fn new(budget: FreshnessBudget, now: Instant, jitter: f64) -> Self {
        Self {
            budget,
            started_at: now,
            jitter,
            failures: 0,
            failed_at: None,
        }
    }

    /// Returns when the store is to be queried by a node whose data is as of `as_of`. With
    /// `probe_first` this is earlier by the timeout of a probe.
    pub fn due(&self, as_of: Option<Instant>, probe_first: bool) -> Instant {
        let delay = match as_of {
            Some(_) => interpolate(STORE_DELAY, self.jitter),
            None => interpolate(INITIAL_STORE_DELAY, self.jitter),
        };
        let probe = if probe_first { PROBE_TIMEOUT } else { 0.0 };
        let due = as_of.unwrap_or(self.started_at) + self.budget.fraction(delay - probe);
        let retry = self
            .failed_at
            .map(|failed_at| failed_at + self.retry_backoff());
        retry.map_or(due, |retry| retry.max(due))
    }

    fn retry_backoff(&self) -> Duration {
        let doubled = INITIAL_RETRY_BACKOFF * 2.0_f64.powi(self.failures.min(10) as i32 - 1);
        let spread = 0.5 + self.jitter / 2.0;
        self.budget
            .fraction(doubled.min(MAX_RETRY_BACKOFF) * spread)
    }

    /// Returns whether the last query of the store failed.
    pub fn has_failed(&self) -> bool {
        self.failures > 0
    }

    /// Returns the timeout of the next query; it grows with consecutive failures.
    pub fn timeout(&self) -> Duration {
        let factor = 2_u32.saturating_pow(self.failures).min(MAX_TIMEOUT_FACTOR);
        self.budget.fraction(STORE_TIMEOUT) * factor
    }

    /// Records that a relay has delivered the store's state as of a time; earlier failures are
    /// cleared.
    pub fn record_relayed(&mut self, as_of: Instant) {
        if self.failed_at.is_some_and(|failed_at| failed_at < as_of) {
            self.failures = 0;
            self.failed_at = None;
        }
    }

    /// Records that a relay has delivered a page of the first listing: a long listing makes progress and is no reason
    /// to query the store.
    pub fn record_progress(&mut self, now: Instant) {
        self.started_at = now;
    }

    /// Records that the store did not respond.
    pub fn record_failure(&mut self, now: Instant) {
        self.failures += 1;
        self.failed_at = Some(now);
    }

    /// Records a response of the store; `jitter` is a new random number from 0 to 1.
    pub fn record_success(&mut self, jitter: f64) {
        self.failures = 0;
        self.failed_at = None;
        self.jitter = jitter;
    }
}
