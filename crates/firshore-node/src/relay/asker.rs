//! Asks relays, one after the other; one that was of no use is passed over for a while.

use super::budget::FreshnessBudget;
use super::cache::RelayContact;
use super::ranking;
use crate::journal::PeerClient;
use crate::journal::messages::{PeerRequest, PeerResponse};
use crate::journal::registry::Registry;
use firshore_gateway::belief::BeliefSource;
use firshore_types::ids::{NodeName, ZoneName};
use slog::{Logger, info};
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, timeout};

/// Told what a relay's answer says of the relay itself.
pub type RelayHeard = Rc<dyn Fn(&NodeName, &RelayContact)>;

/// Who asks relays, and whom it would ask.
pub struct RelayAsker {
    /// The node that asks.
    pub node: NodeName,
    /// Its zone.
    pub zone: ZoneName,
    /// Nodes with disks.
    pub registry: Rc<Registry>,
    /// How they are asked.
    pub peers: PeerClient,
    /// Log.
    pub log: Logger,
    /// Told what a relay's answer says of the relay itself.
    pub heard: RelayHeard,
    /// Relays that were of no use since they answered last, and until when they are passed over.
    pub passed_over: RefCell<HashMap<NodeName, RelayExclusion>>,
}

/// Why a relay was of no use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RelayFailure {
    /// It said that it is out of contact with the store.
    OutOfContact,
    /// It could not be reached; that is known at once.
    Unreachable,
    /// It gave no answer in time.
    Silent,
}

/// For how long a relay is passed over, and why.
#[derive(Clone, Copy, Debug)]
pub struct RelayExclusion {
    until: Instant,
    reason: RelayFailure,
    /// Questions in a row that came to nothing.
    attempts: u32,
}

/// What a relay answered.
pub struct RelayResponse {
    relay: NodeName,
    /// When it was asked, by the clock of ages.
    queried_at: Instant,
    /// What it said.
    pub response: PeerResponse,
}

impl RelayResponse {
    /// The moment as of which the relay tells the store: not later than its answer was sent, however
    /// long that was under way.
    pub fn as_of(&self, contact: RelayContact) -> Instant {
        let sent_at = self.queried_at + Duration::from_millis(contact.held);
        let age = Duration::from_millis(contact.age);
        sent_at.checked_sub(age).unwrap_or(self.queried_at)
    }

    /// Returns whom to name as the source of what it told.
    pub fn source(&self) -> BeliefSource {
        BeliefSource::Relay(self.relay.clone())
    }
}

/// What came of asking relays in turn.
pub enum QueryOutcome {
    /// One of them was of use.
    Answered(RelayResponse),
    /// Some answered that they are out of contact with the store.
    NoContact,
    /// Nobody has answered.
    NoResponse,
}

/// A question that is answered at once.
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

impl RelayAsker {
    /// Asks relays in turn, each for `limit` at most. Once one was silent, the others are to answer at once,
    /// so that what is known grows no older by two waits.
    pub async fn ask(
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
                Ok(Ok(mut response)) => {
                    self.passed_over.borrow_mut().remove(&relay);
                    if let Some(contact) = response.contact_mut() {
                        (self.heard)(&relay, contact);
                    }
                    return QueryOutcome::Answered(RelayResponse {
                        relay,
                        queried_at,
                        response,
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
        self.passed_over.borrow().get(relay).copied()
    }

    /// Relays in the order in which they are asked: of those that were silent last time one at most comes
    /// before the others, so that no more than one wait is lost on them.
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
        // A relay that is gone for long costs a wait each time that it is asked.
        let doubled = 2_u32.pow(attempts.min(8) - 1);
        let backoff = match reason {
            RelayFailure::OutOfContact => budget.no_contact_backoff(),
            RelayFailure::Unreachable => budget.no_contact_backoff() * doubled,
            RelayFailure::Silent => budget.unresponsive_backoff() * doubled,
        };
        let backoff = backoff.min(budget.max_backoff());
        // A relay that stays as it is is named once.
        if before.is_none_or(|before| before.reason != reason) {
            info!(self.log, "relay: Passed over."; "relay" => %relay, "kind" => kind,
                "asked_ms" => firshore_clock::elapsed(queried_at).as_millis() as u64,
                "out_of_contact" => reason == RelayFailure::OutOfContact, "reason" => ?reason,
                "pause_ms" => backoff.as_millis() as u64);
        }
        let exclusion = RelayExclusion {
            until: Instant::now() + backoff,
            reason,
            attempts,
        };
        self.passed_over.borrow_mut().insert(relay, exclusion);
    }
}
