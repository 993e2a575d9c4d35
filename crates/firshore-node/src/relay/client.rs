//! Queries relays one after the other. A relay whose query failed is excluded for a backoff.

use super::budget::FreshnessBudget;
use super::cache::RelayContact;
use super::ranking;
use crate::journal::PeerClient;
use crate::journal::messages::{PeerRequest, PeerResponse};
use crate::journal::registry::Registry;
use firshore_gateway::freshness::FreshnessSource;
use firshore_types::ids::{NodeName, ZoneName};
use slog::{Logger, info};
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, timeout};

/// Called with the contact state that a relay's response carries.
pub type ContactListener = Rc<dyn Fn(&NodeName, &RelayContact)>;

/// Queries relays on behalf of one node.
pub struct RelayClient {
    /// The querying node; it determines the order of relays.
    pub node: NodeName,
    /// Zone of that node; its relays are queried first.
    pub zone: ZoneName,
    /// Lists the nodes with disks, from which relays are ranked.
    pub registry: Rc<Registry>,
    /// Sends the queries.
    pub peers: PeerClient,
    /// Receives the log lines.
    pub log: Logger,
    /// Called with the contact state that a relay's response carries.
    pub on_contact: ContactListener,
    /// Exclusions of relays whose last query failed; removed by the next useful response.
    pub excluded: RefCell<HashMap<NodeName, RelayExclusion>>,
}

/// Why a query to a relay failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RelayFailure {
    /// The relay reported that it is out of contact with the object store.
    OutOfContact,
    /// The connection failed; this is known at once.
    Unreachable,
    /// No response within the timeout.
    Silent,
}

/// The time until which a relay is excluded, and the reason.
#[derive(Clone, Copy, Debug)]
pub struct RelayExclusion {
    until: Instant,
    reason: RelayFailure,
    /// Consecutive failed queries.
    attempts: u32,
}

/// A relay's response to a query.
pub struct RelayResponse {
    relay: NodeName,
    /// When the query was sent, by the clock that ages are counted with.
    queried_at: Instant,
    /// The message received.
    pub message: PeerResponse,
}

impl RelayResponse {
    /// Returns the time as of which the response reflects the store. Network delay is not counted
    /// as freshness: the result is never later than the time at which the relay sent the response.
    pub fn as_of(&self, contact: RelayContact) -> Instant {
        let sent_at = self.queried_at + Duration::from_millis(contact.held);
        let age = Duration::from_millis(contact.age);
        sent_at.checked_sub(age).unwrap_or(self.queried_at)
    }

    /// Returns the relay as the source of the data.
    pub fn source(&self) -> FreshnessSource {
        FreshnessSource::Relay(self.relay.clone())
    }
}

/// Result of querying relays in turn.
pub enum QueryOutcome {
    /// A relay returned a useful response.
    Answered(RelayResponse),
    /// At least one relay reported that it is out of contact with the store, and none was useful.
    NoContact,
    /// No relay responded.
    NoResponse,
}

/// Returns the request with its wait, if it has one, set to zero.
fn without_wait(request: PeerRequest) -> PeerRequest {
    match request {
        PeerRequest::Watch { kind, known, .. } => PeerRequest::Watch {
            kind,
            known,
            wait: 0,
        },
        other => other,
    }
}

impl RelayClient {
    /// Queries relays in turn, each for at most `limit`. After the first timeout, the remaining
    /// relays are asked to respond at once, so that at most one wait is added to the age of the
    /// data.
    pub async fn query(
        &self,
        kind: &str,
        request: &PeerRequest,
        limit: Duration,
        budget: FreshnessBudget,
    ) -> QueryOutcome {
        let mut request = request.clone();
        let mut outcome = QueryOutcome::NoResponse;
        for relay in self.query_order() {
            let exclusion = self.exclusion(&relay);
            if let Some(exclusion) = exclusion.filter(|exclusion| Instant::now() < exclusion.until)
            {
                if exclusion.reason == RelayFailure::OutOfContact {
                    outcome = QueryOutcome::NoContact;
                }
                continue;
            }
            let Some(address) = self.registry.address(&relay) else {
                continue;
            };
            let queried_at = firshore_clock::now();
            let call = self.peers.call(address, request.clone());
            let failure = match timeout(limit, call).await {
                Ok(Ok(PeerResponse::NoContact)) => RelayFailure::OutOfContact,
                Ok(Ok(mut message)) => {
                    self.excluded.borrow_mut().remove(&relay);
                    if let Some(contact) = message.contact_mut() {
                        (self.on_contact)(&relay, contact);
                    }
                    return QueryOutcome::Answered(RelayResponse {
                        relay,
                        queried_at,
                        message,
                    });
                }
                Ok(Err(_)) => RelayFailure::Unreachable,
                Err(_) => RelayFailure::Silent,
            };
            match failure {
                RelayFailure::OutOfContact => outcome = QueryOutcome::NoContact,
                RelayFailure::Silent => request = without_wait(request),
                RelayFailure::Unreachable => {}
            }
            self.exclude(kind, relay, queried_at, failure, budget);
        }
        outcome
    }

    fn exclusion(&self, relay: &NodeName) -> Option<RelayExclusion> {
        self.excluded.borrow().get(relay).copied()
    }

    /// Returns the relays in the order in which they are queried. At most one of those that timed
    /// out last time stays in front of the others, so that at most one timeout is lost on them.
    fn query_order(&self) -> Vec<NodeName> {
        let candidates = self.registry.candidates();
        let order = ranking::order(&candidates, &self.zone, &self.node);
        let timed_out = |relay: &NodeName| {
            let exclusion = self.exclusion(relay);
            exclusion.is_some_and(|exclusion| {
                exclusion.reason == RelayFailure::Silent && exclusion.until <= Instant::now()
            })
        };
        let mut seen_timeout = false;
        let (first, last): (Vec<NodeName>, Vec<NodeName>) = order.into_iter().partition(|relay| {
            let timed_out = timed_out(relay);
            let comes_first = !(timed_out && seen_timeout);
            seen_timeout |= timed_out;
            comes_first
        });
        first.into_iter().chain(last).collect()
    }

    fn exclude(
        &self,
        kind: &str,
        relay: NodeName,
        queried_at: Instant,
        reason: RelayFailure,
        budget: FreshnessBudget,
    ) {
        let before = self.exclusion(&relay);
        let attempts = before.map_or(1, |before| before.attempts + 1);
        // An unreachable relay costs a timeout with each query, so its backoff grows.
        let doubled = 2_u32.pow(attempts.min(8) - 1);
        let backoff = match reason {
            RelayFailure::OutOfContact => budget.no_contact_backoff(),
            RelayFailure::Unreachable => budget.no_contact_backoff() * doubled,
            RelayFailure::Silent => budget.unresponsive_backoff() * doubled,
        };
        let backoff = backoff.min(budget.max_backoff());
        // Logged once per reason, not with each query.
        if before.is_none_or(|before| before.reason != reason) {
            info!(self.log, "relay: Relay excluded."; "relay" => %relay, "kind" => kind,
                "asked_ms" => firshore_clock::elapsed(queried_at).as_millis() as u64,
                "out_of_contact" => reason == RelayFailure::OutOfContact, "reason" => ?reason,
                "pause_ms" => backoff.as_millis() as u64);
        }
        let exclusion = RelayExclusion {
            until: Instant::now() + backoff,
            reason,
            attempts,
        };
        self.excluded.borrow_mut().insert(relay, exclusion);
    }
}
