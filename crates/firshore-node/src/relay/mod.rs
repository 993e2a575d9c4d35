//! Relays of the object store: a few nodes with disks in each zone watch the store, all other nodes
//! query these.
//!
//! Calls to the store are expensive and limited in number, and it may refuse single nodes. A
//! [`Relay`] therefore follows a kind only while clients query it. A [`store::RelayedStore`]
//! queries relays, and the store directly when they don't respond within the [`budget`].

pub mod budget;
pub mod cache;
pub mod client;
pub mod loads;
pub mod ranking;
pub mod store;

use crate::journal::messages::PeerResponse;
use crate::list_watch::{ListWatch, ObjectUpdate, WatchOptions};
use crate::stream_origins::StreamOrigins;
use crate::task::Task;
use crate::watcher::{self, Watcher};
use budget::FreshnessBudget;
use cache::{CacheMiss, KindCache, RelayContact, RelayedChanges};
use firshore_adapter::objects::{ObjectStore, Revision};
use slog::{Logger, info, warn};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, timeout, timeout_at};

/// Maximum time for which a relay holds a query for a change.
const MAX_WAIT: Duration = Duration::from_secs(2);

/// Time without queries after which a kind is no longer followed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// A kind of objects that relays serve.
#[derive(Clone, Debug)]
pub struct RelayedKind {
    /// Name of the kind.
    pub name: String,
    /// Timing of calls to the store.
    pub options: WatchOptions,
    /// How soon changes must be visible.
    pub budget: FreshnessBudget,
}

/// Serves objects of the store to other nodes.
pub struct Relay {
    store: Rc<dyn ObjectStore>,
    log: Logger,
    kinds: Vec<RelayedKind>,
    /// Notifies the other relays of a change of a kind and its revision.
    announce: Announce,
    /// Observes the back ends as well.
    origins: Rc<StreamOrigins>,
    served_kinds: RefCell<HashMap<String, Rc<ServedKind>>>,
}

/// Notifies other relays that a kind has changed, at the revision given.
pub type Announce = Rc<dyn Fn(&str, Revision)>;

/// A kind that is followed because clients query it.
struct ServedKind {
    budget: FreshnessBudget,
    cache: RefCell<KindCache>,
    /// Whether the store is reachable, as of the last observation or probe.
    connected: Cell<bool>,
    /// Whether everything is listed and a watch is pending or follows after the wait.
    is_watching: Cell<bool>,
    /// Time as of which the store's state is known.
    confirmed_at: Cell<Instant>,
    /// Time of the last response to a listing or a watch.
    answered_at: Cell<Instant>,
    /// End of the wait after a change; changes before that are not observed.
    paused_until: Cell<Instant>,
    /// Incremented whenever a pending query may have a response.
    steps: watch::Sender<u64>,
    /// Interrupts the pending watch, so that the store is queried again.
    renewal: Rc<Notify>,
    renewed_at: Cell<Option<Instant>>,
    queried_at: Cell<Instant>,
    task: RefCell<Option<Task>>,
}

impl ServedKind {
    fn new(budget: FreshnessBudget) -> Self {
        let now = firshore_clock::now();
        Self {
            budget,
            cache: RefCell::default(),
            connected: Cell::new(true),
            is_watching: Cell::new(false),
            confirmed_at: Cell::new(now),
            answered_at: Cell::new(now),
            paused_until: Cell::new(now),
            steps: watch::Sender::new(0),
            renewal: Rc::default(),
            renewed_at: Cell::new(None),
            queried_at: Cell::new(now),
            task: RefCell::new(None),
        }
    }

    /// Applies an observation. Returns the revision of a change that other relays may not have
    /// observed yet.
    fn apply(
        &self,
        observed: Option<ObjectUpdate>,
        list_watch: &ListWatch,
        as_of: Instant,
    ) -> Option<Revision> {
        self.update_contact(list_watch, as_of);
        let mut cache = self.cache.borrow_mut();
        let before = cache.changed_at();
        if let Some(revision) = list_watch.revision() {
            cache.apply(observed, revision);
        }
        self.steps.send_modify(|steps| *steps += 1);
        let changed_at = cache.changed_at();
        (changed_at > before).then_some(changed_at)
    }

    /// Records whether the store has responded, and as of when. A single failed watch doesn't count
    /// as lost contact, as the store may close the watches of all relays at the same time: queries
    /// wait for the listing that follows. Otherwise nodes would exclude all relays at once.
    fn update_contact(&self, list_watch: &ListWatch, as_of: Instant) {
        let failures = list_watch.failures();
        let is_watching = failures == 0 && list_watch.revision().is_some();
        self.is_watching.set(is_watching);
        if is_watching {
            let now = firshore_clock::now();
            self.connected.set(true);
            self.confirmed_at.set(as_of);
            self.answered_at.set(now);
            self.paused_until.set(now + list_watch.delay());
        } else if failures > 1 {
            self.connected.set(false);
        }
    }

    /// Returns whether the cached data may be served as current. Checks the age too: a relay whose
    /// process was suspended notices a lost store only later.
    fn is_current(&self) -> bool {
        self.connected.get()
            && firshore_clock::elapsed(self.confirmed_at.get()) < self.budget.relay_age()
    }

    fn is_behind(&self, revision: Revision) -> bool {
        let known = self.cache.borrow().revision();
        known.is_some_and(|known| known < revision)
    }

    /// Records that the store is unreachable: the data is no longer served as current, and the
    /// pending watch is dropped.
    fn lose_contact(&self) {
        if self.connected.replace(false) {
            self.steps.send_modify(|steps| *steps += 1);
            self.renew();
        }
    }

    /// Records a probe sent at `queried_at`, to which the store responded with `revision`.
    ///
    /// A probe shows that the store is reachable, not that the watch works: the watches of all
    /// relays may be lost at the same time. It therefore confirms freshness only for a limited time
    /// after the last response to the watch, and for a shorter time if the store's revision has
    /// advanced, mostly because of other kinds, which this watch doesn't report. After that the
    /// store is queried again.
    fn record_probe(&self, queried_at: Instant, revision: Revision) {
        if !self.connected.get() {
            return self.renew();
        }
        if !self.is_watching.get() || queried_at < self.paused_until.get() {
            return;
        }
        let trust = match self.is_behind(revision) {
            true => self.budget.renewal_interval(),
            false => self.budget.watch_trust(),
        };
        match firshore_clock::elapsed(self.answered_at.get()) < trust {
            true => self
                .confirmed_at
                .set(queried_at.max(self.confirmed_at.get())),
            false => self.renew(),
        }
    }

    /// Queries the store again, because another source knows a later revision or the watch may be
    /// lost.
    fn renew(&self) {
        let now = firshore_clock::now();
        let recent = |at: Instant| now.duration_since(at) < self.budget.renewal_interval();
        if self.renewed_at.get().is_some_and(recent) {
            return;
        }
        self.renewed_at.set(Some(now));
        self.renewal.notify_one();
    }

    /// Responds to a query and sets the age of the response.
    async fn respond(
        &self,
        wait: Duration,
        allow_stale: bool,
        look_up: impl Fn(&KindCache) -> Result<Option<PeerResponse>, CacheMiss>,
    ) -> PeerResponse {
        let queried_at = firshore_clock::now();
        let mut response = self.find_response(wait, allow_stale, look_up).await;
        let contact = RelayContact {
            held: firshore_clock::elapsed(queried_at).as_millis() as u64,
            age: firshore_clock::elapsed(self.confirmed_at.get()).as_millis() as u64,
            crashes: None,
        };
        if let Some(contact_slot) = response.contact_mut() {
            *contact_slot = contact;
        }
        response
    }

    /// Waits until there is a response or the wait is over. Out of contact with the store, responds
    /// only if `allow_stale` is set and there are changes that the client doesn't know, whatever
    /// their age.
    async fn find_response(
        &self,
        wait: Duration,
        allow_stale: bool,
        look_up: impl Fn(&KindCache) -> Result<Option<PeerResponse>, CacheMiss>,
    ) -> PeerResponse {
        let mut steps = self.steps.subscribe();
        let start = Instant::now();
        loop {
            let current = self.is_current();
            let result = look_up(&self.cache.borrow());
            let has_changes = allow_stale && matches!(result, Ok(Some(_)));
            if !current && !has_changes {
                return PeerResponse::NoContact;
            }
            let until = match result {
                Ok(Some(response)) => return response,
                Ok(None) => start + wait,
                Err(CacheMiss::Forgotten) => return PeerResponse::HistoryGone,
                Err(CacheMiss::Empty) => start + self.budget.relay_wait(),
                Err(CacheMiss::Behind) => {
                    self.renew();
                    start + self.budget.relay_wait()
                }
            };
            if !matches!(timeout_at(until, steps.changed()).await, Ok(Ok(()))) {
                return self.no_changes(result);
            }
        }
    }

    fn no_changes(&self, result: Result<Option<PeerResponse>, CacheMiss>) -> PeerResponse {
        let revision = self.cache.borrow().revision();
        match (result, revision) {
            (Ok(_), Some(revision)) => PeerResponse::Changes(RelayedChanges {
                revision,
                ..RelayedChanges::default()
            }),
            _ => PeerResponse::NoContact,
        }
    }
}

impl Relay {
    /// Creates a relay for these kinds; `announce` notifies other relays of changes, `origins` observes the back ends.
    pub fn new(
        store: Rc<dyn ObjectStore>,
        log: Logger,
        kinds: Vec<RelayedKind>,
        announce: Announce,
        origins: Rc<StreamOrigins>,
    ) -> Rc<Self> {
        Rc::new(Self {
            store,
            log,
            kinds,
            announce,
            origins,
            served_kinds: RefCell::default(),
        })
    }

    /// Returns the state of a kind, following it from the first query on; `None` for a kind that is
    /// not relayed.
    fn served_kind(&self, kind: &str) -> Option<Rc<ServedKind>> {
        let relayed = self.kinds.iter().find(|one| one.name == kind);
        let Some(relayed) = relayed else {
            warn!(self.log, "relay: Query refused."; "kind" => kind,
                "reason" => "the kind is not relayed");
            return None;
        };
        let mut served_kinds = self.served_kinds.borrow_mut();
        let served = served_kinds
            .entry(relayed.name.clone())
            .or_insert_with(|| self.follow(relayed));
        served.queried_at.set(firshore_clock::now());
        Some(served.clone())
    }

    fn follow(&self, relayed: &RelayedKind) -> Rc<ServedKind> {
        info!(self.log, "relay: Kind followed."; "kind" => &relayed.name);
        let served = Rc::new(ServedKind::new(relayed.budget));
        let watcher = Watcher {
            log: self.log.clone(),
            store: self.store.clone(),
            kind: relayed.name.clone(),
            options: relayed.options,
            renewal: served.renewal.clone(),
        };
        let weak_kind = Rc::downgrade(&served);
        let (announce, kind) = (self.announce.clone(), relayed.name.clone());
        let origins = self.origins.clone();
        origins.begin(&kind);
        let task = watcher::observe(watcher, move |observed, list_watch, as_of| {
            if list_watch.is_connected() && list_watch.revision().is_some() {
                origins.observe(&kind, observed.as_ref(), as_of);
            }
            let served = weak_kind.upgrade();
            if let Some(changed) =
                served.and_then(|served| served.apply(observed, list_watch, as_of))
            {
                announce(&kind, changed);
            }
        });
        *served.task.borrow_mut() = Some(Task::spawn(task));
        served
    }

    /// Returns a page of objects of a kind that follow a name, for a client that knows the store at
    /// `known`.
    pub async fn list(&self, kind: &str, after: Option<&str>, known: Revision) -> PeerResponse {
        let Some(served) = self.served_kind(kind) else {
            return PeerResponse::NoContact;
        };
        let page = |cache: &KindCache| cache.list(after, known).map(PeerResponse::Page).map(Some);
        let wait = served.budget.relay_wait();
        served.respond(wait, false, page).await
    }

    /// Returns the changes of a kind, for a client that knows the store at `known`; waits for at
    /// most `wait` (2 s at most) if there are none.
    pub async fn watch(&self, kind: &str, known: Revision, wait: Duration) -> PeerResponse {
        let Some(served) = self.served_kind(kind) else {
            return PeerResponse::NoContact;
        };
        let changes = |cache: &KindCache| {
            let changes = cache.changes(known)?;
            Ok(changes.map(PeerResponse::Changes))
        };
        served.respond(wait.min(MAX_WAIT), true, changes).await
    }

    /// Applies a notification that another relay has observed a change. If this relay doesn't
    /// observe it soon, its own watch may be lost, such as by a store that stopped responding or a
    /// network partition that was not detected yet; then the store is queried again.
    pub async fn apply_hint(&self, kind: &str, changed: Revision) {
        let served = self.served_kinds.borrow().get(kind).cloned();
        let Some(served) = served.filter(|served| served.is_behind(changed)) else {
            return;
        };
        let relayed = self.kinds.iter().find(|one| one.name == kind);
        let spacing = relayed.map_or(Duration::ZERO, |one| one.options.spacing);
        actix_rt::time::sleep(spacing + served.budget.hint_timeout()).await;
        if served.is_behind(changed) {
            info!(self.log, "relay: Store queried again."; "kind" => kind, "changed" => changed,
                "known" => served.cache.borrow().revision());
            served.renew();
        }
    }

    /// Probes the store while any kind is followed, and drops kinds that clients no longer query,
    /// until the node ends.
    pub async fn run(self: Rc<Self>) {
        // The shortest budget determines the interval of probes.
        let Some(budget) = self.kinds.iter().map(|kind| kind.budget).min() else {
            return;
        };
        let (interval, limit) = (budget.probe_interval(), budget.probe_timeout());
        let mut was_reachable = true;
        loop {
            actix_rt::time::sleep(interval).await;
            self.drop_idle_kinds();
            if self.served_kinds.borrow().is_empty() {
                continue;
            }
            let queried_at = firshore_clock::now();
            let response = timeout(limit, self.store.reach()).await;
            let revision = response.ok().and_then(Result::ok);
            let is_reachable = revision.is_some();
            if was_reachable != is_reachable {
                was_reachable = is_reachable;
                info!(self.log, "relay: Store reachability changed."; "open" => is_reachable);
            }
            let served: Vec<(String, Rc<ServedKind>)> = self
                .served_kinds
                .borrow()
                .iter()
                .map(|(kind, one)| (kind.clone(), one.clone()))
                .collect();
            for (kind, one) in served {
                match revision {
                    Some(revision) => {
                        one.record_probe(queried_at, revision);
                        self.origins.confirm(&kind, one.confirmed_at.get());
                    }
                    None => one.lose_contact(),
                }
            }
        }
    }

    fn drop_idle_kinds(&self) {
        self.served_kinds.borrow_mut().retain(|kind, served| {
            let in_use = firshore_clock::elapsed(served.queried_at.get()) < IDLE_TIMEOUT;
            if !in_use {
                info!(self.log, "relay: Kind no longer followed."; "kind" => kind);
            }
            in_use
        });
    }
}
