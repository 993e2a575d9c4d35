//! What the store holds, passed on from node to node: a few nodes with disks in each zone watch the
//! store, all others ask these.
//!
//! A store's calls are dear and bounded, whoever makes them, and it may turn single nodes away. So a
//! [`Relay`] follows a kind for as long as somebody asks it, and a [`store::RelayedStore`] asks relays, and
//! the store itself where they do not tell in time ([`budget`]).

pub mod budget;
pub mod cache;
pub mod client;
pub mod loads;
pub mod ranking;
pub mod store;

use crate::journal::messages::PeerResponse;
use crate::list_watch::{ListWatch, ObjectUpdate, WatchOptions};
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

/// Longest wait for a change that is granted.
const LONGEST_WAIT: Duration = Duration::from_secs(2);

/// Time without a question after which a kind is not followed any more.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// A kind that is relayed.
#[derive(Clone, Debug)]
pub struct RelayedKind {
    /// Name.
    pub name: String,
    /// On which terms the store is asked.
    pub terms: WatchOptions,
    /// How soon changes must be known.
    pub budget: FreshnessBudget,
}

/// Passes on what the store holds.
pub struct Relay {
    store: Rc<dyn ObjectStore>,
    log: Logger,
    kinds: Vec<RelayedKind>,
    /// Tells the other relays that something of a kind has changed, and at which revision.
    announce: Announce,
    served: RefCell<HashMap<String, Rc<ServedKind>>>,
}

/// Tells other relays of a change.
pub type Announce = Rc<dyn Fn(&str, Revision)>;

/// A kind that is followed, because somebody asks for it.
struct ServedKind {
    budget: FreshnessBudget,
    cache: RefCell<KindCache>,
    /// Whether the store is in reach, as far as is known.
    connected: Cell<bool>,
    /// Whether everything is listed and a watch is asked for, or is after the pause.
    watches: Cell<bool>,
    /// As of when the store is known.
    heard_at: Cell<Instant>,
    /// When a listing or a watch was answered last.
    answered_at: Cell<Instant>,
    /// Until when nothing is asked after a change: what happens meanwhile is not known.
    pauses_until: Cell<Instant>,
    /// Counts whatever may let an answer be given that waits.
    steps: watch::Sender<u64>,
    /// Wakes the watch that waits, to ask the store anew.
    renewal: Rc<Notify>,
    renewed_at: Cell<Option<Instant>>,
    asked_at: Cell<Instant>,
    following: RefCell<Option<Task>>,
}

impl ServedKind {
    fn new(budget: FreshnessBudget) -> Self {
        let now = firshore_clock::now();
        Self {
            budget,
            cache: RefCell::default(),
            connected: Cell::new(true),
            watches: Cell::new(false),
            heard_at: Cell::new(now),
            answered_at: Cell::new(now),
            pauses_until: Cell::new(now),
            steps: watch::Sender::new(0),
            renewal: Rc::default(),
            renewed_at: Cell::new(None),
            asked_at: Cell::new(now),
            following: RefCell::new(None),
        }
    }

    /// Takes in what was learned. Returns the revision of a change that others may not know yet.
    fn learn(
        &self,
        learned: Option<ObjectUpdate>,
        observation: &ListWatch,
        as_of: Instant,
    ) -> Option<Revision> {
        self.note_contact(observation, as_of);
        let mut cache = self.cache.borrow_mut();
        let before = cache.changed_at();
        if let Some(revision) = observation.revision() {
            cache.apply(learned, revision);
        }
        self.steps.send_modify(|steps| *steps += 1);
        let changed_at = cache.changed_at();
        (changed_at > before).then_some(changed_at)
    }

    /// Takes in whether the store has answered, as of when. A watch that failed once says nothing of the
    /// store, which cuts those of all relays at the same moment: whoever asks waits for the listing that
    /// follows. Without this, nodes passed all relays over for 0.8 s.
    fn note_contact(&self, observation: &ListWatch, as_of: Instant) {
        let failures = observation.failures();
        let watches = failures == 0 && observation.revision().is_some();
        self.watches.set(watches);
        if watches {
            let now = firshore_clock::now();
            self.connected.set(true);
            self.heard_at.set(as_of);
            self.answered_at.set(now);
            self.pauses_until.set(now + observation.delay());
        } else if failures > 1 {
            self.connected.set(false);
        }
    }

    /// Whether what is known here may be told as current: a relay whose process did not run for a while
    /// finds out about the store only later.
    fn is_current(&self) -> bool {
        self.connected.get()
            && firshore_clock::elapsed(self.heard_at.get()) < self.budget.relay_age()
    }

    fn is_behind(&self, revision: Revision) -> bool {
        let known = self.cache.borrow().revision();
        known.is_some_and(|known| known < revision)
    }

    /// The store cannot be reached: what is known is not told as current any more, and the watch that
    /// waits is given up.
    fn lose_contact(&self) {
        if self.connected.replace(false) {
            self.steps.send_modify(|steps| *steps += 1);
            self.renew();
        }
    }

    /// The store has answered what it was asked at `asked_at`, and had reached `revision`.
    ///
    /// That shows the way to the store, not that the watch lives: all relays' watches may be swallowed by
    /// the same moment of silence. So it counts for a while after an answer to the watch only, and for a
    /// shorter one where the store has changed since: mostly objects of another kind have, of which this
    /// watch is not told. Then the store is asked anew.
    fn reached(&self, asked_at: Instant, revision: Revision) {
        if !self.connected.get() {
            return self.renew();
        }
        if !self.watches.get() || asked_at < self.pauses_until.get() {
            return;
        }
        let trust = match self.is_behind(revision) {
            true => self.budget.renewal_interval(),
            false => self.budget.watch_trust(),
        };
        match firshore_clock::elapsed(self.answered_at.get()) < trust {
            true => self.heard_at.set(asked_at.max(self.heard_at.get())),
            false => self.renew(),
        }
    }

    /// Asks the store anew, where somebody knows more of it than this node.
    fn renew(&self) {
        let now = firshore_clock::now();
        let recent = |at: Instant| now.duration_since(at) < self.budget.renewal_interval();
        if self.renewed_at.get().is_some_and(recent) {
            return;
        }
        self.renewed_at.set(Some(now));
        self.renewal.notify_one();
    }

    /// Answers, and tells how old the answer is.
    async fn answer(
        &self,
        wait: Duration,
        news: bool,
        try_answer: impl Fn(&KindCache) -> Result<Option<PeerResponse>, CacheMiss>,
    ) -> PeerResponse {
        let asked_at = firshore_clock::now();
        let mut answer = self.find_answer(wait, news, try_answer).await;
        let contact = RelayContact {
            held: firshore_clock::elapsed(asked_at).as_millis() as u64,
            age: firshore_clock::elapsed(self.heard_at.get()).as_millis() as u64,
            crashes: None,
        };
        if let Some(told) = answer.contact_mut() {
            *told = contact;
        }
        answer
    }

    /// Tries until there is an answer or the wait is over. Out of contact with the store, only `news` is
    /// told: what the asker does not know, however old.
    async fn find_answer(
        &self,
        wait: Duration,
        news: bool,
        try_answer: impl Fn(&KindCache) -> Result<Option<PeerResponse>, CacheMiss>,
    ) -> PeerResponse {
        let mut steps = self.steps.subscribe();
        let start = Instant::now();
        loop {
            let current = self.is_current();
            let tried = try_answer(&self.cache.borrow());
            let tells_news = news && matches!(tried, Ok(Some(_)));
            if !current && !tells_news {
                return PeerResponse::NoContact;
            }
            let until = match tried {
                Ok(Some(answer)) => return answer,
                Ok(None) => start + wait,
                Err(CacheMiss::Forgotten) => return PeerResponse::HistoryGone,
                Err(CacheMiss::Empty) => start + self.budget.relay_wait(),
                Err(CacheMiss::Behind) => {
                    self.renew();
                    start + self.budget.relay_wait()
                }
            };
            if !matches!(timeout_at(until, steps.changed()).await, Ok(Ok(()))) {
                return self.without_news(tried);
            }
        }
    }

    fn without_news(&self, tried: Result<Option<PeerResponse>, CacheMiss>) -> PeerResponse {
        let revision = self.cache.borrow().revision();
        match (tried, revision) {
            (Ok(_), Some(revision)) => PeerResponse::Changes(RelayedChanges {
                revision,
                ..RelayedChanges::default()
            }),
            _ => PeerResponse::NoContact,
        }
    }
}

impl Relay {
    /// A relay of these kinds, which tells other relays of changes by `announce`.
    pub fn new(
        store: Rc<dyn ObjectStore>,
        log: Logger,
        kinds: Vec<RelayedKind>,
        announce: Announce,
    ) -> Rc<Self> {
        Rc::new(Self {
            store,
            log,
            kinds,
            announce,
            served: RefCell::default(),
        })
    }

    /// Returns what is followed of a kind, which begins with the first question; `None` for a kind that
    /// is not relayed.
    fn served(&self, kind: &str) -> Option<Rc<ServedKind>> {
        let relayed = self.kinds.iter().find(|one| one.name == kind);
        let Some(relayed) = relayed else {
            warn!(self.log, "relay: Question refused."; "kind" => kind,
                "reason" => "a kind that is not relayed");
            return None;
        };
        let mut served = self.served.borrow_mut();
        let one = served
            .entry(relayed.name.clone())
            .or_insert_with(|| self.follow(relayed));
        one.asked_at.set(firshore_clock::now());
        Some(one.clone())
    }

    fn follow(&self, relayed: &RelayedKind) -> Rc<ServedKind> {
        info!(self.log, "relay: Kind followed."; "kind" => &relayed.name);
        let served = Rc::new(ServedKind::new(relayed.budget));
        let watcher = Watcher {
            log: self.log.clone(),
            store: self.store.clone(),
            kind: relayed.name.clone(),
            options: relayed.terms,
            renewal: served.renewal.clone(),
        };
        let learning = Rc::downgrade(&served);
        let (announce, kind) = (self.announce.clone(), relayed.name.clone());
        let following = watcher::observe(watcher, move |learned, observation, as_of| {
            let served = learning.upgrade();
            if let Some(changed) =
                served.and_then(|served| served.learn(learned, observation, as_of))
            {
                announce(&kind, changed);
            }
        });
        *served.following.borrow_mut() = Some(Task::spawn(following));
        served
    }

    /// Answers with objects of a kind after a name, to who knows the store at `known`.
    pub async fn list(&self, kind: &str, after: Option<&str>, known: Revision) -> PeerResponse {
        let Some(served) = self.served(kind) else {
            return PeerResponse::NoContact;
        };
        let page = |cache: &KindCache| cache.list(after, known).map(PeerResponse::Page).map(Some);
        let wait = served.budget.relay_wait();
        served.answer(wait, false, page).await
    }

    /// Answers with what changed of a kind, to who knows the store at `known`.
    pub async fn watch(&self, kind: &str, known: Revision, wait: Duration) -> PeerResponse {
        let Some(served) = self.served(kind) else {
            return PeerResponse::NoContact;
        };
        let changes = |cache: &KindCache| {
            let changes = cache.changes(known)?;
            Ok(changes.map(PeerResponse::Changes))
        };
        served.answer(wait.min(LONGEST_WAIT), true, changes).await
    }

    /// Takes in that another relay has learned of a change. Where this one does not soon, its watch may
    /// be lost: a store that falls silent, or a cut that nobody has noticed yet.
    pub async fn apply_hint(&self, kind: &str, changed: Revision) {
        let served = self.served.borrow().get(kind).cloned();
        let Some(served) = served.filter(|served| served.is_behind(changed)) else {
            return;
        };
        let relayed = self.kinds.iter().find(|one| one.name == kind);
        let spacing = relayed.map_or(Duration::ZERO, |one| one.terms.spacing);
        actix_rt::time::sleep(spacing + served.budget.hint_patience()).await;
        if served.is_behind(changed) {
            info!(self.log, "relay: Store asked anew."; "kind" => kind, "changed" => changed,
                "known" => served.cache.borrow().revision());
            served.renew();
        }
    }

    /// Looks whether the store can be reached while anything is followed, and ends what nobody asks for
    /// any more, until the node ends.
    pub async fn run(self: Rc<Self>) {
        // The kind that must be known soonest decides.
        let Some(budget) = self.kinds.iter().map(|kind| kind.budget).min() else {
            return;
        };
        let (interval, limit) = (budget.probe_interval(), budget.probe_timeout());
        let mut reached = true;
        loop {
            actix_rt::time::sleep(interval).await;
            self.tidy();
            if self.served.borrow().is_empty() {
                continue;
            }
            let asked_at = firshore_clock::now();
            let answer = timeout(limit, self.store.reach()).await;
            let revision = answer.ok().and_then(Result::ok);
            let reaches = revision.is_some();
            if reached != reaches {
                reached = reaches;
                info!(self.log, "relay: Way to the store."; "open" => reaches);
            }
            let served: Vec<Rc<ServedKind>> = self.served.borrow().values().cloned().collect();
            for one in served {
                match revision {
                    Some(revision) => one.reached(asked_at, revision),
                    None => one.lose_contact(),
                }
            }
        }
    }

    fn tidy(&self) {
        self.served.borrow_mut().retain(|kind, served| {
            let asked = firshore_clock::elapsed(served.asked_at.get()) < IDLE_TIMEOUT;
            if !asked {
                info!(self.log, "relay: Kind not followed any more."; "kind" => kind);
            }
            asked
        });
    }
}
