//! A machine's access to the store, and the failures of calls on it.

use super::crowd::CallCounts;
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

/// Timeout of a call in addition to its wait, as in the platform's client.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Round-trip time of a call without failures.
const LATENCY: Duration = Duration::from_millis(4);

/// Time for which idle connections are kept if the store names none.
const IDLE_LIFETIME: Duration = Duration::from_secs(3);

/// How calls to the store end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreAccess {
    /// Calls get a response.
    Open,
    /// Every call is refused.
    Refused,
    /// Calls made meanwhile never get a response; earlier watches resume afterwards.
    Silent,
}

/// Cuts of watches by the store: watches in flight first stop receiving changes, then fail.
pub struct WatchCuts {
    begun: watch::Sender<u64>,
    ended: watch::Sender<u64>,
}

impl WatchCuts {
    pub fn new() -> Rc<Self> {
        Rc::new(Self {
            begun: watch::Sender::new(0),
            ended: watch::Sender::new(0),
        })
    }

    /// Stops changes to all watches in flight.
    pub fn begin(&self) {
        self.begun.send_modify(|count| *count += 1);
    }

    /// Fails these watches.
    pub fn end(&self) {
        self.ended.send_modify(|count| *count += 1);
    }

    /// Runs a watch; fails it at the end of a cut that begins meanwhile.
    async fn watch_until_cut<T>(
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
            response = watch => response,
        }
    }
}

/// A connection to the store without a call in flight.
struct IdleConnection {
    usable_until: Instant,
    /// Whether calls on this connection get no response.
    unresponsive: bool,
}

/// The connections from a machine to the store and their failures.
struct StoreRoute {
    store: Rc<MemoryStore>,
    /// A copy of the store that receives all changes later.
    lagging_copy: Rc<MemoryStore>,
    cuts: Rc<WatchCuts>,
    access: watch::Sender<StoreAccess>,
    /// When the access changed last.
    access_since: Cell<Instant>,
    delay: Cell<Duration>,
    reads_lagging_copy: Cell<bool>,
    /// Number of outages of open connections.
    outages: watch::Sender<u64>,
    /// Time after which the kernel closes the connections of an outage; `None` if never.
    kernel_timeout: Cell<Option<Duration>>,
    /// Idle connections, the most recently used last.
    idle: RefCell<Vec<IdleConnection>>,
}

impl StoreRoute {
    fn queried_store(&self) -> Rc<MemoryStore> {
        match self.reads_lagging_copy.get() {
            true => self.lagging_copy.clone(),
            false => self.store.clone(),
        }
    }

    /// Takes the most recently used idle connection and returns whether it is unresponsive; `false` without an
    /// idle connection, because a new one is made.
    fn takes_unresponsive(&self) -> bool {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        idle.retain(|one| now < one.usable_until);
        idle.pop().is_some_and(|one| one.unresponsive)
    }

    fn return_connection(&self) {
        self.idle.borrow_mut().push(IdleConnection {
            usable_until: Instant::now() + IDLE_LIFETIME,
            unresponsive: false,
        });
    }

    /// Performs a call, subject to the current access and connection.
    async fn perform<T>(
        &self,
        call: impl Future<Output = Result<T, ObjectError>>,
    ) -> Result<T, ObjectError> {
        let mut outages = self.outages.subscribe();
        if self.takes_unresponsive() {
            return self.fail_unresponsive().await;
        }
        let attempt = async {
            sleep(LATENCY / 2).await;
            match self.access() {
                StoreAccess::Open => {}
                StoreAccess::Refused => {
                    return Err(ObjectError::Refused("refused by the test".to_owned()));
                }
                StoreAccess::Silent => return pending().await,
            }
            let response = call.await;
            self.wait_until_responsive().await;
            if self.access() == StoreAccess::Refused {
                return Err(ObjectError::Unanswered("reset".to_owned()));
            }
            sleep(LATENCY / 2 + self.delay.get()).await;
            response
        };
        let response = tokio::select! {
            biased;
            _ = outages.changed() => return self.fail_unresponsive().await,
            response = attempt => response,
        };
        self.return_connection();
        response
    }

    /// Waits for a response on an unresponsive connection until the kernel closes it.
    async fn fail_unresponsive<T>(&self) -> Result<T, ObjectError> {
        match self.kernel_timeout.get() {
            Some(kernel_timeout) => sleep(kernel_timeout).await,
            None => pending().await,
        }
        Err(ObjectError::Unanswered("closed".to_owned()))
    }

    fn access(&self) -> StoreAccess {
        *self.access.borrow()
    }

    /// Waits until the access isn't [`StoreAccess::Silent`].
    async fn wait_until_responsive(&self) {
        let mut access = self.access.subscribe();
        let _ = access
            .wait_for(|access| *access != StoreAccess::Silent)
            .await;
    }
}

/// The store as one machine reaches it.
pub struct LocalStore {
    route: Rc<StoreRoute>,
    process: Rc<Process>,
    call_counts: Cell<CallCounts>,
}

impl LocalStore {
    pub fn new(
        store: &Rc<MemoryStore>,
        lagging_copy: &Rc<MemoryStore>,
        cuts: &Rc<WatchCuts>,
        process: Rc<Process>,
    ) -> Rc<Self> {
        let route = StoreRoute {
            store: store.clone(),
            lagging_copy: lagging_copy.clone(),
            cuts: cuts.clone(),
            access: watch::Sender::new(StoreAccess::Open),
            access_since: Cell::new(Instant::now()),
            delay: Cell::new(Duration::ZERO),
            reads_lagging_copy: Cell::new(false),
            outages: watch::Sender::new(0),
            kernel_timeout: Cell::new(None),
            idle: RefCell::default(),
        };
        Rc::new(Self {
            route: Rc::new(route),
            process,
            call_counts: Cell::default(),
        })
    }

    /// Returns the process that makes the calls.
    pub fn process(&self) -> &Rc<Process> {
        &self.process
    }

    pub fn access(&self) -> StoreAccess {
        self.route.access()
    }

    pub fn set_access(&self, access: StoreAccess) {
        if self.route.access.send_replace(access) != access {
            self.route.access_since.set(Instant::now());
        }
    }

    /// Delays each response by `delay`.
    pub fn set_delay(&self, delay: Duration) {
        self.route.delay.set(delay);
    }

    /// Sets whether later calls read the lagging copy.
    pub fn set_reads_lagging_copy(&self, reads_lagging_copy: bool) {
        self.route.reads_lagging_copy.set(reads_lagging_copy);
    }

    /// Leaves calls in flight on open connections without a response, and, if `idle`, later calls on idle
    /// connections. The kernel closes these connections after `kernel_timeout`, if set.
    pub fn begin_outage(&self, idle: bool, kernel_timeout: Option<Duration>) {
        self.route.kernel_timeout.set(kernel_timeout);
        self.route.outages.send_modify(|count| *count += 1);
        let mut connections = self.route.idle.borrow_mut();
        connections
            .iter_mut()
            .for_each(|one| one.unresponsive |= idle);
    }

    /// Returns whether the access has been open for at least `span`.
    pub fn open_for(&self, span: Duration) -> bool {
        self.access() == StoreAccess::Open && self.route.access_since.get().elapsed() >= span
    }

    /// Returns the numbers of calls so far.
    pub fn call_counts(&self) -> CallCounts {
        self.call_counts.get()
    }

    fn count(&self, update: impl Fn(&mut CallCounts)) {
        let mut counts = self.call_counts.get();
        update(&mut counts);
        self.call_counts.set(counts);
    }

    fn count_query(&self, kind: &str) {
        self.count(|counts| match kind == registry::KIND {
            true => counts.node_pages += 1,
            false => counts.queries += 1,
        });
    }

    /// Performs a call outside the process, so that the store proceeds while the process is suspended, and waits
    /// for the response.
    async fn call<T: 'static>(
        &self,
        wait: Duration,
        call: LocalBoxFuture<'static, Result<T, ObjectError>>,
    ) -> Result<T, ObjectError> {
        let (route, process) = (self.route.clone(), self.process.clone());
        let (response_sender, response_receiver) = oneshot::channel();
        // A call that times out ends, and its connection closes.
        let _task = Task::spawn(async move {
            let response = route.perform(call).await;
            process.wait_until_handled().await;
            let _ = response_sender.send(response);
        });
        let timeout_error = || Err(ObjectError::Unanswered("no response in time".to_owned()));
        match timeout(wait + RESPONSE_TIMEOUT, response_receiver).await {
            Ok(Ok(response)) => response,
            Ok(Err(_)) | Err(_) => timeout_error(),
        }
    }
}

impl ObjectStore for LocalStore {
    fn list<'a>(&'a self, kind: &'a str, after: Option<&'a str>) -> Answer<'a, Page> {
        self.count_query(kind);
        let (route, kind) = (self.route.clone(), kind.to_owned());
        let after = after.map(str::to_owned);
        let listing = async move { route.queried_store().list(&kind, after.as_deref()).await };
        self.call(Duration::ZERO, listing.boxed_local())
            .boxed_local()
    }

    fn watch<'a>(&'a self, kind: &'a str, after: Revision, wait: Duration) -> Answer<'a, Changes> {
        self.count_query(kind);
        let (route, kind) = (self.route.clone(), kind.to_owned());
        let watching = async move {
            let store = route.queried_store();
            route
                .cuts
                .watch_until_cut(store.watch(&kind, after, wait))
                .await
        };
        self.call(wait, watching.boxed_local()).boxed_local()
    }

    fn reach<'a>(&'a self) -> Answer<'a, Revision> {
        self.count(|counts| counts.probes += 1);
        let store = self.route.store.clone();
        let probe = async move { store.reach().await };
        self.call(Duration::ZERO, probe.boxed_local()).boxed_local()
    }

    fn get<'a>(&'a self, kind: &'a str, name: &'a str) -> Answer<'a, Option<Object>> {
        self.count_query(kind);
        let (route, kind, name) = (self.route.clone(), kind.to_owned(), name.to_owned());
        let query = async move { route.queried_store().get(&kind, &name).await };
        self.call(Duration::ZERO, query.boxed_local()).boxed_local()
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
