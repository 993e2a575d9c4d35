//! A machine's own way to the store, with what may become of a call on it.

use super::crowd::Made;
use super::machines::Task;
use super::process::Process;
use firshore_adapter::objects::{
    Answer, Changes, Object, ObjectError, ObjectStore, Page, Revision,
};
use firshore_node::journal::registry;
use firshore_stand_in::store::MemoryStore;
use futures_util::FutureExt;
use futures_util::future::{LocalBoxFuture, pending};
use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{oneshot, watch};
use tokio::time::{Instant, sleep, timeout};

/// Time beyond the wait after which a machine gives up a call, as the client of the platform does.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time that an answer takes on a sound way.
const LATENCY: Duration = Duration::from_millis(4);

/// Time for which an idle connection is kept, where the store does not say how long.
const IDLE_LIFETIME: Duration = Duration::from_secs(3);

/// What becomes of calls on a way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// They are answered.
    Open,
    /// Every call is refused.
    Refused,
    /// Nothing is answered. What is asked meanwhile never is; watches that waited before go on
    /// afterwards.
    Silent,
}

/// Watches that the store cuts: at first they hear nothing more, then they fail.
pub struct Cuts {
    begun: watch::Sender<u64>,
    ended: watch::Sender<u64>,
}

impl Cuts {
    pub fn new() -> Rc<Self> {
        Rc::new(Self {
            begun: watch::Sender::new(0),
            ended: watch::Sender::new(0),
        })
    }

    /// All watches that wait hear nothing any more.
    pub fn begin(&self) {
        self.begun.send_modify(|count| *count += 1);
    }

    /// These watches fail.
    pub fn end(&self) {
        self.ended.send_modify(|count| *count += 1);
    }

    /// Lets a watch wait, unless it is cut.
    async fn heard<T>(
        &self,
        watch: impl Future<Output = Result<T, ObjectError>>,
    ) -> Result<T, ObjectError> {
        let (mut begun, mut ended) = (self.begun.subscribe(), self.ended.subscribe());
        tokio::select! {
            biased;
            _ = begun.changed() => {
                let _ = ended.changed().await;
                Err(ObjectError::Unanswered("cut".to_owned()))
            }
            answer = watch => answer,
        }
    }
}

/// A connection to the store that nothing waits on.
struct Idle {
    usable_until: Instant,
    /// Nothing comes any more of what is sent here.
    silent: bool,
}

/// What is between a machine and the store.
struct Route {
    store: Rc<MemoryStore>,
    /// The same with all changes made somewhat later.
    lagging: Rc<MemoryStore>,
    cuts: Rc<Cuts>,
    way: watch::Sender<Way>,
    /// Since when the way is as it is.
    since: Cell<Instant>,
    delay: Cell<Duration>,
    lags: Cell<bool>,
    /// Counts how often what waits on open connections was lost.
    silences: watch::Sender<u64>,
    /// Time after which the kernel ends those connections, if it does.
    kept: Cell<Option<Duration>>,
    /// Idle connections, the last one used last.
    idle: RefCell<Vec<Idle>>,
}

impl Route {
    fn asked(&self) -> Rc<MemoryStore> {
        match self.lags.get() {
            true => self.lagging.clone(),
            false => self.store.clone(),
        }
    }

    /// Takes the idle connection that was used last, and tells whether it is silent; without one, a new
    /// connection is made.
    fn takes_silent(&self) -> bool {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        idle.retain(|one| now < one.usable_until);
        idle.pop().is_some_and(|one| one.silent)
    }

    fn keep(&self) {
        self.idle.borrow_mut().push(Idle {
            usable_until: Instant::now() + IDLE_LIFETIME,
            silent: false,
        });
    }

    /// Carries a call out, as far as the way lets it through.
    async fn carry<T>(
        &self,
        call: impl Future<Output = Result<T, ObjectError>>,
    ) -> Result<T, ObjectError> {
        let mut silences = self.silences.subscribe();
        if self.takes_silent() {
            return self.silent().await;
        }
        let answered = async {
            sleep(LATENCY / 2).await;
            match self.way() {
                Way::Open => {}
                Way::Refused => return Err(ObjectError::Refused("turned away".to_owned())),
                Way::Silent => return pending().await,
            }
            let answer = call.await;
            self.held_back().await;
            if self.way() == Way::Refused {
                return Err(ObjectError::Unanswered("reset".to_owned()));
            }
            sleep(LATENCY / 2 + self.delay.get()).await;
            answer
        };
        let answer = tokio::select! {
            biased;
            _ = silences.changed() => return self.silent().await,
            answer = answered => answer,
        };
        self.keep();
        answer
    }

    /// Waits on a connection that is silent.
    async fn silent<T>(&self) -> Result<T, ObjectError> {
        match self.kept.get() {
            Some(kept) => sleep(kept).await,
            None => pending().await,
        }
        Err(ObjectError::Unanswered("ended".to_owned()))
    }

    fn way(&self) -> Way {
        *self.way.borrow()
    }

    /// Ends once the way is not silent.
    async fn held_back(&self) {
        let mut way = self.way.subscribe();
        let _ = way.wait_for(|way| *way != Way::Silent).await;
    }
}

/// The store as one machine reaches it.
pub struct OwnStore {
    route: Rc<Route>,
    process: Rc<Process>,
    made: Cell<Made>,
}

impl OwnStore {
    pub fn new(
        store: &Rc<MemoryStore>,
        lagging: &Rc<MemoryStore>,
        cuts: &Rc<Cuts>,
        process: Rc<Process>,
    ) -> Rc<Self> {
        let route = Route {
            store: store.clone(),
            lagging: lagging.clone(),
            cuts: cuts.clone(),
            way: watch::Sender::new(Way::Open),
            since: Cell::new(Instant::now()),
            delay: Cell::new(Duration::ZERO),
            lags: Cell::new(false),
            silences: watch::Sender::new(0),
            kept: Cell::new(None),
            idle: RefCell::default(),
        };
        Rc::new(Self {
            route: Rc::new(route),
            process,
            made: Cell::default(),
        })
    }

    /// The process that asks here.
    pub fn process(&self) -> &Rc<Process> {
        &self.process
    }

    pub fn way(&self) -> Way {
        self.route.way()
    }

    pub fn set_way(&self, way: Way) {
        if self.route.way.send_replace(way) != way {
            self.route.since.set(Instant::now());
        }
    }

    /// Lets each answer take so much longer.
    pub fn set_delay(&self, delay: Duration) {
        self.route.delay.set(delay);
    }

    /// Has calls from now on answered by the copy that is behind, or no more.
    pub fn set_lags(&self, lags: bool) {
        self.route.lags.set(lags);
    }

    /// What waits on open connections is never answered, nor is what goes out on idle ones, if `idle`; the
    /// kernel ends them after `kept`, if at all.
    pub fn fall_silent(&self, idle: bool, kept: Option<Duration>) {
        self.route.kept.set(kept);
        self.route.silences.send_modify(|count| *count += 1);
        let mut kept = self.route.idle.borrow_mut();
        kept.iter_mut().for_each(|one| one.silent |= idle);
    }

    /// Whether the way has been open for so long.
    pub fn open_for(&self, span: Duration) -> bool {
        self.way() == Way::Open && self.route.since.get().elapsed() >= span
    }

    /// Returns how many calls were made so far.
    pub fn made(&self) -> Made {
        self.made.get()
    }

    fn count(&self, count: impl Fn(&mut Made)) {
        let mut made = self.made.get();
        count(&mut made);
        self.made.set(made);
    }

    fn count_question(&self, kind: &str) {
        self.count(|made| match kind == registry::KIND {
            true => made.nodes += 1,
            false => made.full += 1,
        });
    }

    /// Has a call carried out beyond the process, so that what the store does goes on while the process
    /// stands still, and waits for its answer.
    async fn call<T: 'static>(
        &self,
        wait: Duration,
        call: LocalBoxFuture<'static, Result<T, ObjectError>>,
    ) -> Result<T, ObjectError> {
        let (route, process) = (self.route.clone(), self.process.clone());
        let (settle, answered) = oneshot::channel();
        // A call that is given up ends, with its connection.
        let _carried = Task::spawn(async move {
            let answer = route.carry(call).await;
            process.takes_in().await;
            let _ = settle.send(answer);
        });
        let overdue = || Err(ObjectError::Unanswered("no answer in time".to_owned()));
        match timeout(wait + ANSWER_TIMEOUT, answered).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(_)) | Err(_) => overdue(),
        }
    }
}

impl ObjectStore for OwnStore {
    fn list<'a>(&'a self, kind: &'a str, after: Option<&'a str>) -> Answer<'a, Page> {
        self.count_question(kind);
        let (route, kind) = (self.route.clone(), kind.to_owned());
        let after = after.map(str::to_owned);
        let listed = async move { route.asked().list(&kind, after.as_deref()).await };
        self.call(Duration::ZERO, listed.boxed_local())
            .boxed_local()
    }

    fn watch<'a>(&'a self, kind: &'a str, after: Revision, wait: Duration) -> Answer<'a, Changes> {
        self.count_question(kind);
        let (route, kind) = (self.route.clone(), kind.to_owned());
        let watched = async move {
            let asked = route.asked();
            route.cuts.heard(asked.watch(&kind, after, wait)).await
        };
        self.call(wait, watched.boxed_local()).boxed_local()
    }

    fn reach<'a>(&'a self) -> Answer<'a, Revision> {
        self.count(|made| made.looks += 1);
        let store = self.route.store.clone();
        let reached = async move { store.reach().await };
        self.call(Duration::ZERO, reached.boxed_local())
            .boxed_local()
    }

    fn get<'a>(&'a self, kind: &'a str, name: &'a str) -> Answer<'a, Option<Object>> {
        self.count_question(kind);
        let (route, kind, name) = (self.route.clone(), kind.to_owned(), name.to_owned());
        let found = async move { route.asked().get(&kind, &name).await };
        self.call(Duration::ZERO, found.boxed_local()).boxed_local()
    }

    fn create<'a>(&'a self, kind: &'a str, name: &'a str, spec: Value) -> Answer<'a, ()> {
        self.route.store.create(kind, name, spec)
    }

    fn replace<'a>(
        &'a self,
        kind: &'a str,
        name: &'a str,
        revision: Revision,
        spec: Value,
    ) -> Answer<'a, ()> {
        self.route.store.replace(kind, name, revision, spec)
    }

    fn replace_status<'a>(
        &'a self,
        kind: &'a str,
        name: &'a str,
        revision: Revision,
        status: Value,
    ) -> Answer<'a, ()> {
        self.route
            .store
            .replace_status(kind, name, revision, status)
    }
}
