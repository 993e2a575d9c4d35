//! The store as a node sees it that asks relays first.

use super::budget::{FreshnessBudget, StoreSchedule};
use super::cache::{RelayedChanges, RelayedObject, RelayedPage};
use super::client::{Asked, RelayAnswer, RelayClient};
use crate::journal::messages::{PeerRequest, PeerResponse};
use firshore_adapter::objects::{
    Answer, Change, Changes, Object, ObjectError, ObjectStore, Page, Revision,
};
use firshore_gateway::freshness::{Freshness, FreshnessSource};
use futures_util::FutureExt;
use serde_json::Value;
use slog::{info, warn};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, timeout, timeout_at};

/// Asks for one kind on behalf of one node: relays, and the store itself once what is known grows old.
///
/// Relays and the store are asked side by side, so that no wait for one of them delays the other.
pub struct RelayedStore {
    asker: RelayClient,
    direct: Rc<dyn ObjectStore>,
    budget: FreshnessBudget,
    /// Revision up to which the store is known: older answers are refused.
    known: Cell<Revision>,
    /// When the store itself is asked.
    turn: RefCell<StoreSchedule>,
    /// Rounds of questions that no relay has answered.
    idle_rounds: Cell<u32>,
    /// The last round of questions ended with relays that are out of contact with the store.
    doubted: Cell<bool>,
    asks_store: Cell<bool>,
    /// As of when the kind is known.
    belief: Rc<Freshness>,
    /// As of when the first page of the listing under way was.
    listed_as_of: Cell<Option<Instant>>,
}

/// What the store answered.
struct StoreAnswer<T> {
    asked_at: Instant,
    told: T,
}

/// Who has answered first.
enum Learnt<T> {
    FromRelay(RelayAnswer),
    FromStore(StoreAnswer<T>),
}

/// Each object by itself: one that cannot be read has no content, and the others hold. Otherwise whatever
/// the relay tells would fail, until somebody else has mended that object.
fn decoded(objects: &[RelayedObject]) -> impl Iterator<Item = Object> {
    objects.iter().map(|relayed| {
        let object = relayed.decode();
        object.unwrap_or_else(|_| Object {
            name: relayed.name.clone(),
            revision: relayed.revision,
            ..Object::default()
        })
    })
}

fn page(relayed: &RelayedPage) -> Page {
    Page {
        objects: decoded(&relayed.objects).collect(),
        more: relayed.more,
        revision: relayed.revision,
    }
}

fn changes(relayed: &RelayedChanges) -> Changes {
    let written = decoded(&relayed.written).map(Change::Written);
    let removed = relayed.removed.iter().cloned().map(Change::Removed);
    Changes {
        changes: written.chain(removed).collect(),
        revision: relayed.revision,
    }
}

fn unexpected() -> ObjectError {
    ObjectError::Unanswered("a relay answered with another kind of message".to_owned())
}

impl RelayedStore {
    /// Asks relays through `asker`, and `direct` in time for `budget`. Tells `belief` as of when the kind
    /// is known.
    pub fn new(
        asker: RelayClient,
        direct: Rc<dyn ObjectStore>,
        budget: FreshnessBudget,
        belief: Rc<Freshness>,
    ) -> Rc<Self> {
        let turn = StoreSchedule::new(budget, firshore_clock::now(), rand::random());
        Rc::new(Self {
            asker,
            direct,
            budget,
            known: Cell::new(0),
            turn: RefCell::new(turn),
            idle_rounds: Cell::new(0),
            doubted: Cell::new(false),
            asks_store: Cell::new(false),
            belief,
            listed_as_of: Cell::new(None),
        })
    }

    /// Asks relays until one is of use.
    async fn ask_relays(&self, kind: &str, request: PeerRequest, wait: Duration) -> RelayAnswer {
        let limit = wait + self.budget.answer_margin();
        loop {
            match self.asker.ask(kind, &request, limit, self.budget).await {
                Asked::Answered(answer) => return answer,
                Asked::NoContact => self.doubted.set(true),
                Asked::Nobody => self.look_for_relays(),
            }
            actix_rt::time::sleep(self.budget.round_pause()).await;
        }
    }

    /// Asks relays for a page until one tells what is not too old already: the next question would go to
    /// the store at once, and this one would be asked again.
    async fn ask_relays_for_page(&self, kind: &str, request: PeerRequest) -> RelayAnswer {
        loop {
            let wait = self.budget.relay_wait();
            let answer = self.ask_relays(kind, request.clone(), wait).await;
            let as_of = match &answer.response {
                PeerResponse::Page(page) => answer.as_of(page.contact),
                _ => return answer,
            };
            let knows_nothing = self.belief.as_of().is_none();
            if knows_nothing || firshore_clock::now() < self.turn.borrow().due(Some(as_of), false) {
                return answer;
            }
            actix_rt::time::sleep(self.budget.round_pause()).await;
        }
    }

    /// Relays may have come or moved since the nodes were listed. Asked for after 1, 2, 4 and so on rounds:
    /// a listing is a call of the store. Nobody waits for it, as the store may be silent.
    fn look_for_relays(&self) {
        let rounds = self.idle_rounds.get().saturating_add(1);
        self.idle_rounds.set(rounds);
        if rounds.is_power_of_two() {
            let registry = self.asker.registry.clone();
            actix_rt::spawn(async move { registry.refresh().await });
        }
    }

    /// Asks the store once it is due, until it answers.
    async fn ask_store<'a, T>(
        &'a self,
        kind: &str,
        question: impl Fn() -> Answer<'a, T>,
    ) -> StoreAnswer<T> {
        loop {
            actix_rt::time::sleep_until(firshore_clock::timer_deadline(self.store_due())).await;
            self.note_direct(kind);
            if !self.reaches_store().await {
                self.turn.borrow_mut().record_failure(firshore_clock::now());
                continue;
            }
            let asked_at = firshore_clock::now();
            let limit = self.turn.borrow().timeout();
            let answer = timeout(limit, question()).await;
            if let Ok(Ok(told)) = answer {
                self.turn.borrow_mut().record_success(rand::random());
                return StoreAnswer { asked_at, told };
            }
            self.turn.borrow_mut().record_failure(firshore_clock::now());
        }
    }

    /// Whether the store can be reached, where there is reason to doubt it: that costs a part of a
    /// question, and a store that is down is down for all nodes.
    async fn reaches_store(&self) -> bool {
        if !self.is_doubted() {
            return true;
        }
        let reached = timeout(self.budget.probe_timeout(), self.direct.reach()).await;
        matches!(reached, Ok(Ok(_)))
    }

    fn is_doubted(&self) -> bool {
        self.doubted.get() || self.turn.borrow().has_failed()
    }

    /// When the store itself is to be asked.
    fn store_due(&self) -> Instant {
        let as_of = self.belief.as_of();
        self.turn.borrow().due(as_of, self.is_doubted())
    }

    /// A relay has told the store as of a moment.
    fn relayed(&self, as_of: Instant) {
        self.idle_rounds.set(0);
        self.doubted.set(false);
        self.turn.borrow_mut().record_relayed(as_of);
        if self.asks_store.replace(false) {
            info!(self.asker.log, "relay: Relays are asked again.");
        }
    }

    fn note_direct(&self, kind: &str) {
        if !self.asks_store.replace(true) {
            warn!(self.asker.log, "relay: No relay is of use in time; the store itself is asked.";
                "kind" => kind, "belief_age_ms" => self.belief.age_ms(),
                "bound_ms" => self.budget.bound().as_millis() as u64);
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

    /// Takes in a page: the listing tells the store as of its first one.
    fn confirm_page(
        &self,
        page: &Page,
        after: Option<&str>,
        as_of: Instant,
        source: FreshnessSource,
    ) {
        if after.is_none() {
            self.listed_as_of.set(Some(as_of));
        }
        if let Some(as_of) = self.listed_as_of.get().filter(|_| !page.more) {
            self.belief.confirm(as_of, source);
        }
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
            let learnt = tokio::select! {
                answer = self.ask_relays_for_page(kind, request) => Learnt::FromRelay(answer),
                answer = self.ask_store(kind, || self.direct.list(kind, after)) => {
                    Learnt::FromStore(answer)
                }
            };
            let (page, as_of, source) = match learnt {
                Learnt::FromRelay(answer) => {
                    let PeerResponse::Page(relayed) = &answer.response else {
                        return Err(unexpected());
                    };
                    let as_of = answer.as_of(relayed.contact);
                    self.relayed(as_of);
                    (page(relayed), as_of, answer.source())
                }
                Learnt::FromStore(answer) => (answer.told, answer.asked_at, FreshnessSource::Store),
            };
            self.know(page.revision)?;
            self.confirm_page(&page, after, as_of, source);
            Ok(page)
        }
        .boxed_local()
    }

    /// Where relays tell nothing in time, the kind is to be listed anew from the store: an answer to a
    /// watch proves nothing there, since a store that has forgotten its history tells so only with the
    /// next change.
    fn watch<'a>(&'a self, kind: &'a str, after: Revision, wait: Duration) -> Answer<'a, Changes> {
        async move {
            let wait = wait.min(self.budget.relay_wait());
            let request = PeerRequest::Watch {
                kind: kind.to_owned(),
                known: after,
                wait: wait.as_millis() as u64,
            };
            let asking = self.ask_relays(kind, request, wait);
            let Ok(answer) =
                timeout_at(firshore_clock::timer_deadline(self.store_due()), asking).await
            else {
                return Err(ObjectError::HistoryGone);
            };
            let relayed = match &answer.response {
                PeerResponse::Changes(relayed) => relayed,
                PeerResponse::HistoryGone => return Err(ObjectError::HistoryGone),
                _ => return Err(unexpected()),
            };
            let changes = changes(relayed);
            self.know(changes.revision)?;
            let as_of = answer.as_of(relayed.contact);
            self.relayed(as_of);
            self.belief.confirm(as_of, answer.source());
            Ok(changes)
        }
        .boxed_local()
    }

    fn reach<'a>(&'a self) -> Answer<'a, Revision> {
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
