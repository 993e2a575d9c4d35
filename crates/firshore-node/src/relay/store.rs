//! An object store that queries relays first.

use super::budget::{FreshnessBudget, StoreSchedule};
use super::cache::{RelayedChanges, RelayedObject, RelayedPage};
use super::client::{QueryOutcome, RelayClient, RelayResponse};
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

/// Follows one kind for one node: queries relays, and the store directly once the data grows old.
///
/// Relays and the store are queried concurrently, so that waiting for one doesn't delay the other.
pub struct RelayedStore {
    relay_client: RelayClient,
    direct: Rc<dyn ObjectStore>,
    budget: FreshnessBudget,
    /// Revision up to which the store is known; responses at an earlier one are refused.
    known: Cell<Revision>,
    /// When the store is queried directly.
    schedule: RefCell<StoreSchedule>,
    /// Consecutive rounds of queries that no relay responded to.
    failed_rounds: Cell<u32>,
    /// Whether the last round ended with relays that are out of contact with the store.
    relays_disconnected: Cell<bool>,
    queries_store: Cell<bool>,
    /// Time as of which the kind is known.
    freshness: Rc<Freshness>,
    /// Time as of which the first page of the current listing was read.
    listed_as_of: Cell<Option<Instant>>,
}

/// A response of the store to a direct query.
struct StoreResponse<T> {
    queried_at: Instant,
    value: T,
}

/// The first response, from a relay or the store.
enum FirstResponse<T> {
    FromRelay(RelayResponse),
    FromStore(StoreResponse<T>),
}

/// Decodes each object on its own. An object that cannot be decoded gets empty content, so that it
/// doesn't invalidate the other objects in the same response.
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

fn unexpected_response() -> ObjectError {
    ObjectError::Unanswered("a relay sent an unexpected response".to_owned())
}

impl RelayedStore {
    /// Queries relays through `relay_client`, and `direct` within `budget`. Records in `freshness`
    /// as of when the kind is known.
    pub fn new(
        relay_client: RelayClient,
        direct: Rc<dyn ObjectStore>,
        budget: FreshnessBudget,
        freshness: Rc<Freshness>,
    ) -> Rc<Self> {
        let schedule = StoreSchedule::new(budget, firshore_clock::now(), rand::random());
        Rc::new(Self {
            relay_client,
            direct,
            budget,
            known: Cell::new(0),
            schedule: RefCell::new(schedule),
            failed_rounds: Cell::new(0),
            relays_disconnected: Cell::new(false),
            queries_store: Cell::new(false),
            freshness,
            listed_as_of: Cell::new(None),
        })
    }

    /// Queries relays until one returns a useful response.
    async fn query_relays(
        &self,
        kind: &str,
        request: PeerRequest,
        wait: Duration,
    ) -> RelayResponse {
        let limit = wait + self.budget.answer_margin();
        loop {
            match self
                .relay_client
                .query(kind, &request, limit, self.budget)
                .await
            {
                QueryOutcome::Answered(response) => return response,
                QueryOutcome::NoContact => self.relays_disconnected.set(true),
                QueryOutcome::NoResponse => self.refresh_relays(),
            }
            actix_rt::time::sleep(self.budget.round_interval()).await;
        }
    }

    /// Queries relays for a page until one returns a page that is not too old. An older one would
    /// make the next query go to the store at once, and this page would be listed again.
    async fn query_relays_for_page(&self, kind: &str, request: PeerRequest) -> RelayResponse {
        loop {
            let wait = self.budget.relay_wait();
            let response = self.query_relays(kind, request.clone(), wait).await;
            let as_of = match &response.message {
                PeerResponse::Page(page) => response.as_of(page.contact),
                _ => return response,
            };
            let is_first_listing = self.freshness.as_of().is_none();
            if is_first_listing
                || firshore_clock::now() < self.schedule.borrow().due(Some(as_of), false)
            {
                return response;
            }
            actix_rt::time::sleep(self.budget.round_interval()).await;
        }
    }

    /// Lists the nodes again, since relays may have been added or moved. Done after 1, 2, 4, …
    /// failed rounds, as a listing is a call to the store, and in the background, as the store may
    /// be unresponsive.
    fn refresh_relays(&self) {
        let registry = &self.relay_client.registry;
        if registry.is_deferred() {
            return;
        }
        let rounds = self.failed_rounds.get().saturating_add(1);
        self.failed_rounds.set(rounds);
        if rounds.is_power_of_two() {
            let registry = registry.clone();
            actix_rt::spawn(async move { registry.refresh().await });
        }
    }

    /// Queries the store once it is due, until it responds.
    async fn query_store<'a, T>(
        &'a self,
        kind: &str,
        call: impl Fn() -> Answer<'a, T>,
    ) -> StoreResponse<T> {
        loop {
            actix_rt::time::sleep_until(firshore_clock::timer_deadline(self.store_due())).await;
            self.log_store_query(kind);
            if !self.reaches_store().await {
                self.schedule
                    .borrow_mut()
                    .record_failure(firshore_clock::now());
                continue;
            }
            let queried_at = firshore_clock::now();
            let limit = self.schedule.borrow().timeout();
            let response = timeout(limit, call()).await;
            if let Ok(Ok(value)) = response {
                self.schedule.borrow_mut().record_success(rand::random());
                return StoreResponse { queried_at, value };
            }
            self.schedule
                .borrow_mut()
                .record_failure(firshore_clock::now());
        }
    }

    /// Returns whether the store is reachable. Probes it only after a failed query or while relays
    /// are out of contact with it: a probe costs less than a query, and an unreachable store is
    /// queried by all nodes.
    async fn reaches_store(&self) -> bool {
        if !self.is_store_doubtful() {
            return true;
        }
        let reached = timeout(self.budget.probe_timeout(), self.direct.reach()).await;
        matches!(reached, Ok(Ok(_)))
    }

    fn is_store_doubtful(&self) -> bool {
        self.relays_disconnected.get() || self.schedule.borrow().has_failed()
    }

    /// Returns when the store is to be queried directly.
    fn store_due(&self) -> Instant {
        let as_of = self.freshness.as_of();
        self.schedule.borrow().due(as_of, self.is_store_doubtful())
    }

    /// Records that a relay has delivered the store's state as of a time.
    fn record_relayed(&self, as_of: Instant) {
        self.failed_rounds.set(0);
        self.relays_disconnected.set(false);
        self.schedule.borrow_mut().record_relayed(as_of);
        if self.queries_store.replace(false) {
            info!(self.relay_client.log, "relay: Relays are used again.");
        }
    }

    fn log_store_query(&self, kind: &str) {
        if !self.queries_store.replace(true) {
            warn!(self.relay_client.log, "relay: No relay responded in time; querying the store directly.";
                "kind" => kind, "belief_age_ms" => self.freshness.age_ms(),
                "bound_ms" => self.budget.bound().as_millis() as u64);
        }
    }

    /// Advances the known revision. A response at an earlier revision is refused, so that the view
    /// never goes back.
    fn advance_known(&self, revision: Revision) -> Result<(), ObjectError> {
        if revision < self.known.get() {
            warn!(self.relay_client.log, "relay: Response refused."; "revision" => revision,
                "known" => self.known.get(), "reason" => "an older revision");
            return Err(ObjectError::Unanswered("an older revision".to_owned()));
        }
        self.known.set(revision);
        Ok(())
    }

    /// Records a page; the complete listing is as of its first page.
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
            self.freshness.confirm(as_of, source);
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
            let first = tokio::select! {
                response = self.query_relays_for_page(kind, request) => FirstResponse::FromRelay(response),
                response = self.query_store(kind, || self.direct.list(kind, after)) => {
                    FirstResponse::FromStore(response)
                }
            };
            let (page, as_of, source) = match first {
                FirstResponse::FromRelay(response) => {
                    let PeerResponse::Page(relayed) = &response.message else {
                        return Err(unexpected_response());
                    };
                    let as_of = response.as_of(relayed.contact);
                    self.record_relayed(as_of);
                    let mut schedule = self.schedule.borrow_mut();
                    schedule.record_progress(firshore_clock::now());
                    drop(schedule);
                    (page(relayed), as_of, response.source())
                }
                FirstResponse::FromStore(response) => (response.value, response.queried_at, FreshnessSource::Store),
            };
            self.advance_known(page.revision)?;
            self.confirm_page(&page, after, as_of, source);
            Ok(page)
        }
        .boxed_local()
    }

    /// Fails with `HistoryGone` if relays don't respond in time, so that the kind is listed from
    /// the store. A watch would prove nothing there: a store that has lost its history reports that
    /// only with the next change.
    fn watch<'a>(&'a self, kind: &'a str, after: Revision, wait: Duration) -> Answer<'a, Changes> {
        async move {
            let wait = wait.min(self.budget.relay_wait());
            let request = PeerRequest::Watch {
                kind: kind.to_owned(),
                known: after,
                wait: wait.as_millis() as u64,
            };
            let query = self.query_relays(kind, request, wait);
            let Ok(response) =
                timeout_at(firshore_clock::timer_deadline(self.store_due()), query).await
            else {
                return Err(ObjectError::HistoryGone);
            };
            let relayed = match &response.message {
                PeerResponse::Changes(relayed) => relayed,
                PeerResponse::HistoryGone => return Err(ObjectError::HistoryGone),
                _ => return Err(unexpected_response()),
            };
            let changes = changes(relayed);
            self.advance_known(changes.revision)?;
            let as_of = response.as_of(relayed.contact);
            self.record_relayed(as_of);
            self.freshness.confirm(as_of, response.source());
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
