//! The store as a node sees it that asks relays first.

use super::cache::{RelayedChanges, RelayedObject, RelayedPage};
use super::ranking;
use crate::journal::PeerClient;
use crate::journal::messages::{PeerRequest, PeerResponse};
use crate::journal::registry::Registry;
use firshore_adapter::objects::{
    Answer, Change, Changes, Object, ObjectError, ObjectStore, Page, Revision,
};
use firshore_types::ids::{NodeName, ZoneName};
use futures_util::FutureExt;
use rand::RngExt;
use serde_json::Value;
use slog::{Logger, info, warn};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, timeout};

/// Wait for a change that a relay is asked for: its silence is noticed soon after.
const RELAY_WAIT: Duration = Duration::from_millis(700);

/// Time that a relay's answer may take beyond the wait. A relay that lacks something itself asks the
/// store meanwhile.
const ANSWER_MARGIN: Duration = Duration::from_millis(600);

/// Time for which a relay is passed over that was out of contact with the store.
const CONTACT_PAUSE: Duration = Duration::from_millis(800);

/// Time for which a relay is passed over that gave no answer.
const SILENCE_PAUSE: Duration = Duration::from_secs(2);

/// Pause after which relays are tried again.
const ROUND_PAUSE: Duration = Duration::from_millis(200);

/// Time without any relay after which a node asks the store itself: relays that were all killed are
/// back within a second. Drawn between this and its double, so that nodes do not ask all together.
const PATIENCE: Duration = Duration::from_millis(1_200);

/// The same where relays answer, but are out of contact with the store: it is more likely to be down
/// for all than to turn away just the relays.
const OUTAGE_PATIENCE: Duration = Duration::from_secs(8);

/// Asks for one kind on behalf of one node.
pub struct RelayedStore {
    asker: RelayAsker,
    direct: Rc<dyn ObjectStore>,
    /// Shortest time between two watches that the store itself is asked for.
    direct_spacing: Duration,
    /// Revision up to which the store is known: older answers are refused.
    known: Cell<Revision>,
    /// Until when relays are waited for, since none was of use.
    patient_until: Cell<Option<Instant>>,
    watched_at: Cell<Option<Instant>>,
    asks_store: Cell<bool>,
}

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
    /// Relays that were of no use a moment ago, and until when they are passed over.
    pub passed_over: RefCell<HashMap<NodeName, RelayPause>>,
}

/// For how long a relay is passed over, and why.
#[derive(Clone, Copy, Debug)]
pub struct RelayPause {
    until: Instant,
    /// It answered, but was out of contact with the store.
    out_of_contact: bool,
}

/// What came of asking relays.
enum Asked {
    Answered(PeerResponse),
    /// Some answered that they are out of contact with the store.
    NoContact,
    Nobody,
}

impl RelayAsker {
    /// Asks one relay after the other.
    async fn ask(&self, request: &PeerRequest, limit: Duration) -> Asked {
        let now = Instant::now();
        let candidates = self.registry.candidates();
        let order = ranking::order(&candidates, &self.zone, &self.node);
        let mut asked = Asked::Nobody;
        for relay in order {
            let pause = self.passed_over.borrow().get(&relay).copied();
            if let Some(pause) = pause.filter(|pause| now < pause.until) {
                if pause.out_of_contact {
                    asked = Asked::NoContact;
                }
                continue;
            }
            let Some(address) = self.registry.address(&relay) else {
                continue;
            };
            let call = self.peers.call(address, request.clone());
            match timeout(limit, call).await {
                Ok(Ok(PeerResponse::NoContact)) => {
                    asked = Asked::NoContact;
                    self.pass_over(relay, CONTACT_PAUSE, true);
                }
                Ok(Ok(answer)) => return Asked::Answered(answer),
                Ok(Err(_)) | Err(_) => self.pass_over(relay, SILENCE_PAUSE, false),
            }
        }
        asked
    }

    fn pass_over(&self, relay: NodeName, pause: Duration, out_of_contact: bool) {
        let before = self.passed_over.borrow().get(&relay).copied();
        // A relay that stays without contact is named once.
        if !(out_of_contact && before.is_some_and(|before| before.out_of_contact)) {
            info!(self.log, "relay: Passed over."; "relay" => %relay,
                "out_of_contact" => out_of_contact, "pause_ms" => pause.as_millis() as u64);
        }
        let pause = RelayPause {
            until: Instant::now() + pause,
            out_of_contact,
        };
        self.passed_over.borrow_mut().insert(relay, pause);
    }

    /// A relay was of use: all are named again when they are passed over next.
    fn forget_pauses(&self) {
        let now = Instant::now();
        let mut passed_over = self.passed_over.borrow_mut();
        passed_over.retain(|_, pause| now < pause.until);
    }
}

fn decoded(objects: &[RelayedObject]) -> Result<Vec<Object>, ObjectError> {
    let objects = objects.iter().map(RelayedObject::decode);
    let objects: Result<Vec<Object>, serde_json::Error> = objects.collect();
    objects.map_err(|error| ObjectError::Unanswered(format!("a relay's object: {error}")))
}

fn page(relayed: &RelayedPage) -> Result<Page, ObjectError> {
    Ok(Page {
        objects: decoded(&relayed.objects)?,
        more: relayed.more,
        revision: relayed.revision,
    })
}

fn changes(relayed: RelayedChanges) -> Result<Changes, ObjectError> {
    let written = decoded(&relayed.written)?.into_iter().map(Change::Written);
    let removed = relayed.removed.into_iter().map(Change::Removed);
    Ok(Changes {
        changes: written.chain(removed).collect(),
        revision: relayed.revision,
    })
}

fn unexpected() -> ObjectError {
    ObjectError::Unanswered("a relay answered with another kind of message".to_owned())
}

impl RelayedStore {
    /// Asks relays through `asker`, and `direct` where there are none, for watches not more often than
    /// each `direct_spacing`.
    pub fn new(
        asker: RelayAsker,
        direct: Rc<dyn ObjectStore>,
        direct_spacing: Duration,
    ) -> Rc<Self> {
        Rc::new(Self {
            asker,
            direct,
            direct_spacing,
            known: Cell::new(0),
            patient_until: Cell::new(None),
            watched_at: Cell::new(None),
            asks_store: Cell::new(false),
        })
    }

    /// Asks relays until one is of use or the patience is over; `None`: the store is to be asked.
    async fn ask(&self, request: PeerRequest, limit: Duration) -> Option<PeerResponse> {
        loop {
            let patience = match self.asker.ask(&request, limit).await {
                Asked::Answered(answer) => {
                    self.relayed();
                    return Some(answer);
                }
                Asked::NoContact => OUTAGE_PATIENCE,
                Asked::Nobody => PATIENCE,
            };
            if self.is_patience_over(patience) {
                self.direct();
                return None;
            }
            actix_rt::time::sleep(ROUND_PAUSE).await;
            if matches!(patience, PATIENCE) {
                // Relays may have come or moved since the nodes were listed.
                self.asker.registry.refresh().await;
            }
        }
    }

    fn is_patience_over(&self, patience: Duration) -> bool {
        let now = Instant::now();
        let until = self.patient_until.get().unwrap_or_else(|| {
            let drawn = patience.mul_f64(rand::rng().random_range(1.0..2.0));
            now + drawn
        });
        self.patient_until.set(Some(until));
        now >= until
    }

    fn relayed(&self) {
        self.asker.forget_pauses();
        self.patient_until.set(None);
        if self.asks_store.replace(false) {
            info!(self.asker.log, "relay: Relays are asked again.");
        }
    }

    fn direct(&self) {
        if !self.asks_store.replace(true) {
            warn!(
                self.asker.log,
                "relay: No relay is of use; the store itself is asked."
            );
        }
    }

    /// Takes in up to which revision the store is known. An answer that knows less is refused: what was
    /// learned is never taken back.
    fn know(&self, revision: Revision) -> Result<(), ObjectError> {
        if revision < self.known.get() {
            warn!(self.asker.log, "relay: Answer refused."; "revision" => revision,
                "known" => self.known.get(), "reason" => "an older revision");
            return Err(ObjectError::Unanswered("an older revision".to_owned()));
        }
        self.known.set(revision);
        Ok(())
    }

    async fn space(&self) {
        let next = self.watched_at.get().map(|at| at + self.direct_spacing);
        if let Some(wait) = next.and_then(|next| next.checked_duration_since(Instant::now())) {
            actix_rt::time::sleep(wait).await;
        }
        self.watched_at.set(Some(Instant::now()));
    }
}

impl ObjectStore for RelayedStore {
    fn list<'a>(&'a self, kind: &'a str, after: Option<&'a str>) -> Answer<'a, Page> {
        async move {
            let request = PeerRequest::List {
                kind: kind.to_owned(),
                after: after.map(str::to_owned),
                known: self.known.get(),
            };
            let page = match self.ask(request, ANSWER_MARGIN).await {
                Some(PeerResponse::Page(relayed)) => page(&relayed)?,
                Some(_) => return Err(unexpected()),
                None => self.direct.list(kind, after).await?,
            };
            self.know(page.revision)?;
            Ok(page)
        }
        .boxed_local()
    }

    fn watch<'a>(&'a self, kind: &'a str, after: Revision, wait: Duration) -> Answer<'a, Changes> {
        async move {
            let relay_wait = wait.min(RELAY_WAIT);
            let request = PeerRequest::Watch {
                kind: kind.to_owned(),
                known: after,
                wait: relay_wait.as_millis() as u64,
            };
            let changes = match self.ask(request, relay_wait + ANSWER_MARGIN).await {
                Some(PeerResponse::Changes(relayed)) => changes(relayed)?,
                Some(PeerResponse::HistoryGone) => return Err(ObjectError::HistoryGone),
                Some(_) => return Err(unexpected()),
                None => {
                    self.space().await;
                    self.direct.watch(kind, after, wait).await?
                }
            };
            self.know(changes.revision)?;
            Ok(changes)
        }
        .boxed_local()
    }

    fn reach<'a>(&'a self) -> Answer<'a, ()> {
        self.direct.reach()
    }

    fn get<'a>(&'a self, kind: &'a str, name: &'a str) -> Answer<'a, Option<Object>> {
        self.direct.get(kind, name)
    }

    fn create<'a>(&'a self, kind: &'a str, name: &'a str, spec: Value) -> Answer<'a, ()> {
        self.direct.create(kind, name, spec)
    }

    fn replace<'a>(
        &'a self,
        kind: &'a str,
        name: &'a str,
        revision: Revision,
        spec: Value,
    ) -> Answer<'a, ()> {
        self.direct.replace(kind, name, revision, spec)
    }

    fn replace_status<'a>(
        &'a self,
        kind: &'a str,
        name: &'a str,
        revision: Revision,
        status: Value,
    ) -> Answer<'a, ()> {
        self.direct.replace_status(kind, name, revision, status)
    }
}
