//! What the requests of a node share.

use crate::crash_monitor::{CrashCounters, CrashMonitor};
use crate::fleet::{BackendOutcome, EntryChange, Fleet};
use crate::freshness::StoreFreshness;
use crate::leaving::Leaving;
use crate::metrics::GatewayMetrics;
use crate::overload::OverloadControl;
use crate::pressure::PressureCounter;
use crate::split::Split;
use firshore_adapter::Adapter;
use firshore_adapter::backend::Backend;
use firshore_adapter::configuration::ServingConfiguration;
use firshore_adapter::incarnation::{BackendName, Incarnation};
use firshore_adapter::jobs::{JobId, JobItem, ResultPage};
use firshore_adapter::route::Route;
use firshore_adapter::tenant::Tenant;
use firshore_admission::shares::ShareTable;
use firshore_crashes::fingerprint::{FingerprintKey, RequestFingerprint};
use firshore_limits::limiter::{OverLimit, TenantLimiter};
use firshore_limits::report::{UsageReport, UsageResponse};
use firshore_metrics::Builder;
use firshore_types::error::ApiError;
use firshore_types::ids::ZoneName;
use firshore_types::payload::Payload;
use futures_util::future::LocalBoxFuture;
use rand::RngExt;
use rand::rngs::StdRng;
use slog::{Logger, info, warn};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// A result of the journal.
pub type JobFuture<'a, T> = LocalBoxFuture<'a, Result<T, ApiError>>;

/// Keeps batch jobs. Called from callers' requests; answers only what lasts.
pub trait JobService {
    /// Whether anything that keeps jobs can be reached, as far as is known.
    fn is_reachable(&self) -> bool;

    /// Takes a job in; taking the same job again changes nothing.
    fn submit<'a>(
        &'a self,
        route: Arc<Route>,
        job: JobId,
        items: Vec<JobItem>,
    ) -> JobFuture<'a, ()>;

    /// Results from a position on; waits up to `wait` for one. `None`: no such job.
    fn results<'a>(
        &'a self,
        job: JobId,
        from: u64,
        wait: Duration,
    ) -> JobFuture<'a, Option<ResultPage>>;

    /// Body of an item without a result. `None`: no such item, or it has a result.
    fn body<'a>(&'a self, job: JobId, item: String) -> JobFuture<'a, Option<Payload>>;

    /// Ends a job. `false`: no such job.
    fn end<'a>(&'a self, job: JobId) -> JobFuture<'a, bool>;
}

/// Shared by all connections of a node.
pub struct Gateway {
    /// Root of the log.
    pub log: Logger,
    /// The environment.
    pub adapter: Adapter,
    /// As of when the store is known, and from whom.
    pub freshness: Rc<StoreFreshness>,
    /// Back ends.
    pub fleet: Rc<RefCell<Fleet>>,
    /// The node's way out.
    pub leaving: Leaving,
    /// Batch jobs, where the node can reach them.
    pub jobs: Option<Rc<dyn JobService>>,
    /// Random numbers.
    pub random: RefCell<StdRng>,
    /// What is counted.
    pub metrics: GatewayMetrics,
    /// Woken when a request goes to a back end that has no slot free for it.
    pub crowded: Notify,
    /// How online requests press on services, until it is told.
    pub pressure: RefCell<PressureCounter>,
    /// Woken when what tenants have asked has to be told at once.
    pub limits_pressing: Notify,
    /// Division of requests among services.
    pub split: RefCell<Split>,
    /// Makes requests known again by what they ask.
    pub fingerprint_key: FingerprintKey,
    /// Requests under which back ends end.
    pub crashes: Rc<CrashMonitor>,
    /// Requests that wait for room.
    pub overload: Rc<OverloadControl>,
    /// Whose share of a full service's room a request is.
    pub shares: RefCell<ShareTable>,
    configuration: RefCell<Option<Arc<ServingConfiguration>>>,
    limiter: RefCell<TenantLimiter>,
    requests_open: Cell<usize>,
}

/// Counts a request as under way at a back end until dropped.
pub struct InFlight {
    fleet: Rc<RefCell<Fleet>>,
    overload: Rc<OverloadControl>,
    incarnation: Incarnation,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let mut fleet = self.fleet.borrow_mut();
        fleet.ended(Instant::now(), &self.incarnation);
        drop(fleet);
        self.overload.room_changed();
    }
}

/// Counts a request as open until dropped.
pub struct OpenRequest<'a> {
    gateway: &'a Gateway,
}

impl Drop for OpenRequest<'_> {
    fn drop(&mut self) {
        let open = self.gateway.requests_open.get();
        self.gateway.requests_open.set(open - 1);
    }
}

impl Gateway {
    /// A gateway that knows no configuration yet. Rates of tenants are counted over `rate_span`. Its
    /// metrics are made by `builder`.
    pub fn new(
        log: Logger,
        adapter: Adapter,
        zone: ZoneName,
        jobs: Option<Rc<dyn JobService>>,
        rate_span: Duration,
        mut random: StdRng,
        builder: &mut Builder,
    ) -> Self {
        let fleet = Rc::new(RefCell::new(Fleet::new(zone)));
        let metrics = GatewayMetrics::new(builder);
        let counters = CrashCounters {
            ended: metrics.backends_crashed.clone(),
            cleared: metrics.suspects_cleared.clone(),
        };
        let crashes = CrashMonitor::new(log.clone(), fleet.clone(), random.random(), counters);
        Self {
            log,
            adapter,
            freshness: Rc::default(),
            fleet,
            leaving: Leaving::default(),
            jobs,
            limiter: TenantLimiter::new(random.random(), rate_span).into(),
            // Known to this node alone, until the cluster's is given.
            fingerprint_key: FingerprintKey::new(&random.random::<[u8; 32]>()),
            crashes: Rc::new(crashes),
            overload: Rc::default(),
            shares: ShareTable::new(random.random()).into(),
            random: random.into(),
            metrics,
            crowded: Notify::new(),
            pressure: RefCell::default(),
            limits_pressing: Notify::new(),
            split: RefCell::default(),
            configuration: RefCell::default(),
            requests_open: Cell::new(0),
        }
    }

    /// Has requests known again by a key that all nodes share, and ends of back ends kept for `remember`.
    pub fn with_crash_memory(self, fingerprint_key: FingerprintKey, remember: Duration) -> Self {
        self.crashes.remember_for(remember);
        Self {
            fingerprint_key,
            ..self
        }
    }

    /// A request is about to be sent to a back end.
    pub fn in_flight(&self, incarnation: &Incarnation) -> InFlight {
        let now = Instant::now();
        let mut fleet = self.fleet.borrow_mut();
        fleet.started(now, incarnation);
        if fleet.is_crowded(now, incarnation) {
            self.crowded.notify_one();
        }
        drop(fleet);
        InFlight {
            fleet: self.fleet.clone(),
            overload: self.overload.clone(),
            incarnation: incarnation.clone(),
        }
    }

    /// A request has arrived.
    pub fn open_request(&self) -> OpenRequest<'_> {
        self.requests_open.set(self.requests_open.get() + 1);
        OpenRequest { gateway: self }
    }

    /// Requests that have arrived and are not answered yet.
    pub fn requests_open(&self) -> usize {
        self.requests_open.get()
    }

    /// The configuration in force.
    pub fn configuration(&self) -> Option<Arc<ServingConfiguration>> {
        self.configuration.borrow().clone()
    }

    /// Puts a configuration into force, unless a newer one is.
    pub fn configure(&self, configuration: ServingConfiguration) {
        let mut current = self.configuration.borrow_mut();
        let version = configuration.version;
        if let Some(current) = current.as_ref()
            && current.version >= version
        {
            return;
        }
        info!(self.log, "configuration: In force."; "version" => version,
            "routes" => configuration.routes.len());
        self.metrics.configuration_version.set(version as i64);
        let tenants = configuration.tenants.iter();
        let tenants = tenants.flat_map(|tenants| tenants.iter().map(Arc::as_ref));
        self.limiter.borrow_mut().configure(tenants);
        *current = Some(Arc::new(configuration));
    }

    /// Takes in a whole listing of back ends.
    pub fn replace_backends(&self, backends: Vec<Backend>) {
        let incarnations: Vec<Incarnation> =
            backends.iter().map(|one| one.incarnation.clone()).collect();
        let changes = self.fleet.borrow_mut().replace(backends);
        for (listed, change) in incarnations.iter().zip(&changes) {
            self.log_entry(listed, change);
        }
    }

    /// Takes in a back end that was added or has changed.
    pub fn upsert_backend(&self, backend: Backend) {
        let listed = backend.incarnation.clone();
        let change = self.fleet.borrow_mut().upsert(backend);
        self.log_entry(&listed, &change);
    }

    fn log_entry(&self, listed: &Incarnation, change: &EntryChange) {
        match change {
            EntryChange::Listed => {}
            EntryChange::StartedAgain(former) => {
                info!(self.log, "fleet: Back end started again."; "backend" => %listed,
                    "former" => %former);
            }
            EntryChange::Outdated(known) => {
                info!(self.log, "fleet: Entry of an earlier start passed over."; "backend" => %listed,
                    "known" => %known);
            }
        }
    }

    /// Forgets back ends and the configuration, which nothing follows any more: whoever goes on later must
    /// not act on what was in force now.
    pub fn forget(&self) {
        self.fleet.borrow_mut().replace(Vec::new());
        self.configuration.borrow_mut().take();
        self.freshness.configuration.forget();
        self.freshness.backends.forget();
    }

    /// Admits a request of a tenant.
    ///
    /// # Errors
    ///
    /// Where the tenant has used up what it may ask over all nodes.
    pub fn admit(&self, tenant: &Tenant) -> Result<(), OverLimit> {
        let mut limiter = self.limiter.borrow_mut();
        let admitted = limiter.admit(firshore_clock::now().into_std(), tenant);
        if limiter.is_report_due(tenant) {
            self.limits_pressing.notify_one();
        }
        admitted
    }

    /// A request that was admitted has come to nothing: no back end ran it.
    pub fn return_admission(&self, tenant: &Tenant) {
        let now = firshore_clock::now().into_std();
        self.limiter.borrow_mut().refund(now, tenant);
    }

    /// Whether any tenant has a limit.
    pub fn has_limits(&self) -> bool {
        let configuration = self.configuration.borrow();
        let tenants = configuration
            .as_ref()
            .and_then(|configuration| configuration.tenants.as_ref());
        tenants.is_some_and(|tenants| tenants.iter().any(|tenant| tenant.limit.is_some()))
    }

    /// What tenants have asked since it was told last; `None` where none has a limit.
    /// [`Self::apply_usage_report`] follows.
    pub fn take_usage_report(&self, now: Instant) -> Option<UsageReport> {
        if !self.has_limits() {
            return None;
        }
        let version = self.configuration().map_or(0, |known| known.version);
        Some(self.limiter.borrow_mut().report(now, version))
    }

    /// Takes in what tenants may still ask, as of a moment; `None`: what was told was not answered.
    pub fn apply_usage_report(&self, news: Option<(Instant, &UsageResponse)>) {
        let mut limiter = self.limiter.borrow_mut();
        match news {
            Some((at, news)) => limiter.apply_response(at, news),
            None => return limiter.report_failed(),
        }
        if let Some((at, demands)) = limiter.reported_demand() {
            self.shares.borrow_mut().update_demand(at, demands);
        }
    }

    /// Brings the metrics up to date that are not counted as they change.
    pub fn refresh_metrics(&self) {
        let backends = self.fleet.borrow().len();
        self.metrics.backends.set(backends as i64);
        self.metrics.requests_open.set(self.requests_open() as i64);
        self.metrics.set_belief_ages(&self.freshness);
        let table = self.crashes.table();
        self.metrics
            .crash_suspects
            .set(table.suspect_count() as i64);
        self.metrics
            .crash_verdicts
            .set(table.quarantined_count() as i64);
    }

    /// Whether the node can serve requests, batch jobs included: one that is cut off from the journal
    /// neither knows what others have under way nor can take jobs in.
    pub fn is_ready(&self) -> bool {
        let reaches_jobs = self.jobs.as_ref().is_none_or(|jobs| jobs.is_reachable());
        self.configuration.borrow().is_some() && !self.fleet.borrow().is_empty() && reaches_jobs
    }

    /// Returns for how long a request is still held back, as back ends end under it. What it asks is worked
    /// out only while any request is held back.
    pub fn quarantined_for(&self, print: impl Fn() -> RequestFingerprint) -> Option<Duration> {
        match self.crashes.has_quarantined() {
            true => self.crashes.quarantined_for(&print()),
            false => None,
        }
    }

    /// A request has run to a good end: it does not crash back ends.
    pub fn completed(&self, print: impl Fn() -> RequestFingerprint) {
        if self.crashes.suspects_any() {
            self.crashes.completed(print());
        }
    }

    /// Takes in what other nodes have under way, as of now, and how far apart such pictures are.
    pub fn apply_remote_load(&self, others: &HashMap<BackendName, u32>, interval: Duration) {
        let mut fleet = self.fleet.borrow_mut();
        let mut random = self.random.borrow_mut();
        fleet.apply_remote_load(Instant::now(), others, &mut *random);
        fleet.set_view_interval(interval);
        drop(fleet);
        self.overload.room_changed();
    }

    /// Something of a back end's answer has arrived.
    pub fn record_activity(&self, incarnation: &Incarnation) {
        let mut fleet = self.fleet.borrow_mut();
        fleet.record_activity(Instant::now(), incarnation);
    }

    /// Takes in how a back end handled a request.
    pub fn record_outcome(&self, incarnation: &Incarnation, seen: BackendOutcome) {
        let ejected = self
            .fleet
            .borrow_mut()
            .record_outcome(Instant::now(), incarnation, seen);
        if ejected {
            self.metrics.ejections.inc();
            warn!(self.log, "fleet: Back end ejected."; "backend" => %incarnation, "seen" => ?seen);
        }
    }
}
