//! Asks relays, one after the other; one that was of no use is passed over for a while.

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

/// Told what a relay's answer says of the relay itself.
pub type ContactListener = Rc<dyn Fn(&NodeName, &RelayContact)>;

/// Who asks relays, and whom it would ask.
pub struct RelayClient {
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
    pub on_contact: ContactListener,
    /// Relays that were of no use since they answered last, and until when they are passed over.
    pub excluded: RefCell<HashMap<NodeName, RelayPause>>,
}

/// Why a relay was of no use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Useless {
    /// It said that it is out of contact with the store.
    OutOfContact,
    /// It could not be reached; that is known at once.
    Unreachable,
    /// It gave no answer in time.
    Silent,
}

/// For how long a relay is passed over, and why.
#[derive(Clone, Copy, Debug)]
pub struct RelayPause {
    until: Instant,
    reason: Useless,
    /// Questions in a row that came to nothing.
    questions: u32,
}

/// What a relay answered.
pub struct RelayAnswer {
    relay: NodeName,
    /// When it was asked, by the clock of ages.
    asked_at: Instant,
    /// What it said.
    pub response: PeerResponse,
}

impl RelayAnswer {
    /// The moment as of which the relay tells the store: not later than its answer was sent, however
    /// long that was under way.
    pub fn as_of(&self, contact: RelayContact) -> Instant {
        let sent_at = self.asked_at + Duration::from_millis(contact.held);
        let age = Duration::from_millis(contact.age);
        sent_at.checked_sub(age).unwrap_or(self.asked_at)
    }

    /// Returns whom to name as the source of what it told.
    pub fn source(&self) -> FreshnessSource {
        FreshnessSource::Relay(self.relay.clone())
    }
}

/// What came of asking relays in turn.
pub enum Asked {
    /// One of them was of use.
    Answered(RelayAnswer),
    /// Some answered that they are out of contact with the store.
    NoContact,
    /// Nobody has answered.
    Nobody,
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

impl RelayClient {
    /// Asks relays in turn, each for `limit` at most. Once one was silent, the others are to answer at once,
    /// so that what is known grows no older by two waits.
    pub async fn ask(
        &self,
        kind: &str,
        request: &PeerRequest,
        limit: Duration,
        budget: FreshnessBudget,
    ) -> Asked {
        let mut request = request.clone();
        let mut asked = Asked::Nobody;
        for relay in self.order() {
            let pause = self.pause(&relay);
            if let Some(pause) = pause.filter(|pause| Instant::now() < pause.until) {
                if pause.reason == Useless::OutOfContact {
                    asked = Asked::NoContact;
                }
                continue;
            }
            let Some(address) = self.registry.address(&relay) else {
                continue;
            };
            let asked_at = firshore_clock::now();
            let call = self.peers.call(address, request.clone());
            let useless = match timeout(limit, call).await {
                Ok(Ok(PeerResponse::NoContact)) => Useless::OutOfContact,
                Ok(Ok(mut response)) => {
                    self.excluded.borrow_mut().remove(&relay);
                    if let Some(contact) = response.contact_mut() {
                        (self.on_contact)(&relay, contact);
                    }
                    return Asked::Answered(RelayAnswer {
                        relay,
                        asked_at,
                        response,
                    });
                }
                Ok(Err(_)) => Useless::Unreachable,
                Err(_) => Useless::Silent,
            };
            match useless {
                Useless::OutOfContact => asked = Asked::NoContact,
                Useless::Silent => request = without_wait(request),
                Useless::Unreachable => {}
            }
            self.pass_over(kind, relay, asked_at, useless, budget);
        }
        asked
    }

    fn pause(&self, relay: &NodeName) -> Option<RelayPause> {
        self.excluded.borrow().get(relay).copied()
    }

    /// Relays in the order in which they are asked: of those that were silent last time one at most comes
    /// before the others, so that no more than one wait is lost on them.
    fn order(&self) -> Vec<NodeName> {
        let candidates = self.registry.candidates();
        let order = ranking::order(&candidates, &self.zone, &self.node);
        let was_silent = |relay: &NodeName| {
            let pause = self.pause(relay);
            pause.is_some_and(|pause| {
                pause.reason == Useless::Silent && pause.until <= Instant::now()
            })
        };
        let mut seen_silent = false;
        let (first, last): (Vec<NodeName>, Vec<NodeName>) = order.into_iter().partition(|relay| {
            let silent = was_silent(relay);
            let comes_first = !(silent && seen_silent);
            seen_silent |= silent;
            comes_first
        });
        first.into_iter().chain(last).collect()
    }

    fn pass_over(
        &self,
        kind: &str,
        relay: NodeName,
        asked_at: Instant,
        reason: Useless,
        budget: FreshnessBudget,
    ) {
        let before = self.pause(&relay);
        let questions = before.map_or(1, |before| before.questions + 1);
        // A relay that is gone for long costs a wait each time that it is asked.
        let doubled = 2_u32.pow(questions.min(8) - 1);
        let pause = match reason {
            Useless::OutOfContact => budget.contact_pause(),
            Useless::Unreachable => budget.contact_pause() * doubled,
            Useless::Silent => budget.silence_pause() * doubled,
        };
        let pause = pause.min(budget.longest_pause());
        // A relay that stays as it is is named once.
        if before.is_none_or(|before| before.reason != reason) {
            info!(self.log, "relay: Passed over."; "relay" => %relay, "kind" => kind,
                "asked_ms" => firshore_clock::elapsed(asked_at).as_millis() as u64,
                "out_of_contact" => reason == Useless::OutOfContact, "reason" => ?reason,
                "pause_ms" => pause.as_millis() as u64);
        }
        let pause = RelayPause {
            until: Instant::now() + pause,
            reason,
            questions,
        };
        self.excluded.borrow_mut().insert(relay, pause);
    }
}
