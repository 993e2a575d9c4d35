//! Slow start: a back end that is cold, such as one that has just started, may get only some requests per second
//! from all nodes together.
//!
//! One node issues permits for single requests at that rate ([`PermitIssuer`]) and hands them out with the load
//! exchange, directly or through relays ([`PermitPool`]). A node without a permit sends to other back ends. Permits
//! expire soon, so the requests of one second hold permits issued within this second and the lifetime before it: at
//! most the rate times 1.4, plus 1.

use firshore_adapter::incarnation::BackendName;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::time::{Duration, Instant};

/// Time for which a permit is valid.
pub const PERMIT_LIFETIME: Duration = Duration::from_millis(400);

/// Time after a takeover in which no permits are issued: the former issuer may not know yet that it was replaced,
/// and its permits are still valid for a while.
pub const TAKEOVER_PAUSE: Duration = Duration::from_secs(2);

/// Minimum interval between two permits of a back end: one that is due again in the round that issued its last permit
/// would keep the round from ending.
const MIN_INTERVAL: Duration = Duration::from_nanos(1);

/// Maximum number of permits in a pool. The oldest are dropped.
const MAX_POOLED: usize = 256;

/// Permit to send one request to a cold back end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SendPermit {
    /// Back end.
    pub backend: BackendName,
    /// When the permit expires.
    pub expires_at: Instant,
}

/// A permit as it is sent to another node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitGrant {
    /// Name of the back end.
    #[serde(rename = "b")]
    pub backend: String,
    /// Remaining validity in milliseconds.
    #[serde(rename = "t")]
    pub remaining_ms: u64,
}

impl PermitGrant {
    /// Returns the permit. `asked_at` is when its receiver sent the report that it was granted in response to, so
    /// that the time of its transfer shortens the validity and never extends it.
    pub fn accept(self, asked_at: Instant) -> SendPermit {
        let remaining = Duration::from_millis(self.remaining_ms).min(PERMIT_LIFETIME);
        SendPermit {
            backend: BackendName::from(self.backend),
            expires_at: asked_at + remaining,
        }
    }
}

/// Permits that a node holds, for itself or to pass on.
#[derive(Debug, Default)]
pub struct PermitPool {
    permits: VecDeque<SendPermit>,
}

impl PermitPool {
    /// Adds a permit.
    pub fn add(&mut self, permit: SendPermit) {
        self.permits.push_back(permit);
        if self.permits.len() > MAX_POOLED {
            self.permits.pop_front();
        }
    }

    /// Takes the oldest valid permits to pass them on, at most `max`.
    pub fn grant(&mut self, now: Instant, max: usize) -> Vec<PermitGrant> {
        let permits = self.take_oldest(now, max, |_| true).into_iter();
        let grants = permits.map(|permit| PermitGrant {
            remaining_ms: permit.expires_at.duration_since(now).as_millis() as u64,
            backend: permit.backend.as_str().to_owned(),
        });
        grants.collect()
    }

    /// Takes the valid permits that nobody has taken within half of their lifetime.
    pub fn take_unwanted(&mut self, now: Instant) -> Vec<SendPermit> {
        let half_expired = now + PERMIT_LIFETIME / 2;
        self.take_oldest(now, MAX_POOLED, |permit| permit.expires_at <= half_expired)
    }

    fn take_oldest(
        &mut self,
        now: Instant,
        max: usize,
        matches: impl Fn(&SendPermit) -> bool,
    ) -> Vec<SendPermit> {
        self.remove_expired(now);
        let matching = self.permits.iter().take_while(|permit| matches(permit));
        let count = matching.count().min(max);
        self.permits.drain(..count).collect()
    }

    /// Returns whether the pool holds no permits.
    pub fn is_empty(&self) -> bool {
        self.permits.is_empty()
    }

    /// Returns whether the pool holds a valid permit for a back end.
    pub fn allows(&self, now: Instant, backend: &BackendName) -> bool {
        let mut permits = self.permits.iter();
        permits.any(|permit| permit.expires_at > now && permit.backend == *backend)
    }

    /// Uses up a valid permit for a back end. Returns whether there was one.
    pub fn take(&mut self, now: Instant, backend: &BackendName) -> bool {
        self.remove_expired(now);
        let mut permits = self.permits.iter();
        let found = permits.position(|permit| permit.backend == *backend);
        found.is_some_and(|idx| self.permits.remove(idx).is_some())
    }

    fn remove_expired(&mut self, now: Instant) {
        self.permits.retain(|permit| permit.expires_at > now);
    }
}

/// Issues permits for all cold back ends, on the one node that does so at a time.
#[derive(Debug)]
pub struct PermitIssuer {
    begins_at: Instant,
    /// When the next permit of each cold back end is due.
    next_at: HashMap<BackendName, Instant>,
    /// The same in the order of time, so that the work of a round depends on the permits that are due only.
    due: BTreeSet<(Instant, BackendName)>,
}

impl PermitIssuer {
    /// Creates the issuer of a node that takes over now.
    pub fn new(now: Instant) -> Self {
        Self {
            begins_at: now + TAKEOVER_PAUSE,
            next_at: HashMap::new(),
            due: BTreeSet::new(),
        }
    }

    /// Records that a back end is cold.
    pub fn add(&mut self, now: Instant, backend: BackendName) {
        if !self.next_at.contains_key(&backend) {
            self.schedule(now.max(self.begins_at), backend);
        }
    }

    fn schedule(&mut self, at: Instant, backend: BackendName) {
        self.next_at.insert(backend.clone(), at);
        self.due.insert((at, backend));
    }

    /// Issues the permits that are due. `rate` returns the requests per second that a back end may get, or `None`
    /// once it is no longer cold.
    pub fn issue(
        &mut self,
        now: Instant,
        rate: impl Fn(&BackendName) -> Option<f64>,
    ) -> Vec<SendPermit> {
        let mut permits = Vec::new();
        while let Some((at, _)) = self.due.first()
            && *at <= now
            && let Some((_, backend)) = self.due.pop_first()
        {
            self.next_at.remove(&backend);
            let Some(rate) = rate(&backend).filter(|rate| *rate > 0.0) else {
                continue;
            };
            // From now on, not from when it was due: a late round must not issue several at once.
            let interval = Duration::try_from_secs_f64(1.0 / rate).unwrap_or(Duration::MAX);
            let interval = interval.max(MIN_INTERVAL);
            if let Some(next) = now.checked_add(interval) {
                self.schedule(next, backend.clone());
            }
            permits.push(SendPermit {
                backend,
                expires_at: now + PERMIT_LIFETIME,
            });
        }
        permits
    }
}
