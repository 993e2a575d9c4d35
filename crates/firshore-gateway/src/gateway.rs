//! State shared by the requests of a node.

use crate::answer_end::CompleteAnswer;
use crate::crash_monitor::{ActiveQuarantine, CrashCounters, CrashMonitor};
use crate::fleet::{BackendOutcome, EntryChange, Fleet};
use crate::freshness::StoreFreshness;
use crate::input_account::InputAccount;
use crate::input_budget::InputLimits;
use crate::leaving::Leaving;
use crate::log_limit::LogLimit;
use crate::metrics::GatewayMetrics;
use crate::overload::OverloadControl;
use crate::pressure::PressureCounter;
use crate::serve;
use crate::split::Split;
use crate::stream_origin::{
    OriginAnswers, OriginKnowledge, OriginQuery, OriginRecord, OriginTable,
};
use firshore_adapter::Adapter;
use firshore_adapter::backend::Backend;
use firshore_adapter::configuration::ServingConfiguration;
use firshore_adapter::incarnation::{BackendName, Incarnation};
use firshore_adapter::jobs::{JobId, JobItem, ResultPage};
use firshore_adapter::residency::{ResidencyPermit, ZoneRegions};
use firshore_adapter::route::Route;
use firshore_adapter::tenant::Tenant;
use firshore_admission::shares::ShareTable;
use firshore_admission::stop::{RunStart, RunTimes};
use firshore_crashes::fingerprint::{FingerprintKey, PartFingerprint, RequestFingerprint};
use firshore_crashes::suspect::Suspect;
use firshore_limits::limiter::{OverLimit, TenantLimiter};
use firshore_limits::report::{UsageReport, UsageResponse};
use firshore_metrics::Builder;
use firshore_types::error::ApiError;
use firshore_types::ids::{ServiceName, ZoneName};
use firshore_types::payload::Payload;
use futures_util::future::LocalBoxFuture;
use rand::RngExt;
use rand::rngs::StdRng;
use slog::{Logger, error, info, warn};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// Bounds on callers' connections and their input unless they are set.
const DEFAULT_INPUT_LIMITS: InputLimits = InputLimits {
    bytes: 96 * 1024 * 1024,
    connections: 4_096,
};

/// Future result of a call to the job service.
pub type JobFuture<'a, T> = LocalBoxFuture<'a, Result<T, ApiError>>;

/// Stores batch jobs for callers' requests. Reports success only for what is stored durably.
pub trait JobService {
    /// Returns whether the storage of jobs is reachable, as far as this node knows.
    fn is_reachable(&self) -> bool;

    /// Stores a job, at nodes in the permitted zones only. Has no effect if the same job is stored already.
    fn submit<'a>(
        &'a self,
        route: Arc<Route>,
        residency: ResidencyPermit,
        job: JobId,
        items: Vec<JobItem>,
    ) -> JobFuture<'a, ()>;

    /// Returns results from position `from` on; waits up to `wait` for the first. `None` if the job doesn't exist.
    fn results<'a>(
        &'a self,
        job: JobId,
        from: u64,
        wait: Duration,
    ) -> JobFuture<'a, Option<ResultPage>>;

    /// Returns the body of an item; `None` if the item doesn't exist or has a result.
    fn body<'a>(&'a self, job: JobId, item: String) -> JobFuture<'a, Option<Payload>>;

    /// Ends a job. Returns `false` if it doesn't exist.
    fn end<'a>(&'a self, job: JobId) -> JobFuture<'a, bool>;
}

/// Origins of streams at other nodes.
pub trait OriginStore {
    /// Records origins. Returns whether another node holds the first one.
    fn record(&self, records: Vec<OriginRecord>) -> LocalBoxFuture<'_, bool>;

    /// Queries what other nodes know about the beginning of a stream.
    fn query(&self, query: OriginQuery) -> LocalBoxFuture<'_, OriginAnswers>;
}

/// State shared by all connections of a node.
pub struct Gateway {
    /// Root logger.
    pub log: Logger,
    /// Adapter to the environment's protocols.
    pub adapter: Adapter,
    /// Freshness of the copies of the object store.
    pub freshness: Rc<StoreFreshness>,
    /// Estimated state of the back ends.
    pub fleet: Rc<RefCell<Fleet>>,
    /// Shutdown phase of the node.
    pub leaving: Leaving,
    /// Job service; `None` on nodes without batch jobs.
    pub jobs: Option<Rc<dyn JobService>>,
    /// Random number generator.
    pub random: RefCell<StdRng>,
    /// Metrics about requests and back ends.
    pub metrics: GatewayMetrics,
    /// Notified when a request is sent to a back end without a free slot.
    pub crowded: Notify,
    /// Pressure of online requests on services since the last report.
    pub pressure: RefCell<PressureCounter>,
    /// Notified when the usage of tenants has to be reported immediately.
    pub limits_pressing: Notify,
    /// Divides the requests of a route among services.
    pub split: RefCell<Split>,
    /// Key for the fingerprints of requests.
    pub fingerprint_key: FingerprintKey,
    /// Detects requests that crash back ends.
    pub crashes: Rc<CrashMonitor>,
    /// Queue of the requests that wait for capacity.
    pub overload: Rc<OverloadControl>,
    /// Lengths of recent runs, by the name of their route.
    pub run_times: Rc<RefCell<RunTimes>>,
    /// Fair shares of tenants in services that are full.
    pub shares: RefCell<ShareTable>,
    /// Origins of the streams that this node began.
    pub origins: RefCell<OriginTable>,
    /// Origins of streams at other nodes; `None` on a node without others.
    pub origin_store: Option<Rc<dyn OriginStore>>,
    /// Notified when a software version was listed that had not been listed recently.
    pub software_changed: Notify,
    /// Memory of callers' input.
    pub input: Rc<InputAccount>,
    /// Log lines on requests that were not read completely.
    pub unread_lines: RefCell<LogLimit>,
    configuration: RefCell<Option<Arc<ServingConfiguration>>>,
    limiter: RefCell<TenantLimiter>,
    requests_open: Cell<usize>,
    zone_regions: RefCell<Arc<ZoneRegions>>,
    follows_zone_drains: Cell<bool>,
}

/// Counts a request as in flight at a back end until dropped.
pub struct InFlight {
    fleet: Rc<RefCell<Fleet>>,
    overload: Rc<OverloadControl>,
    incarnation: Incarnation,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let mut fleet = self.fleet.borrow_mut();
        fleet.record_end(Instant::now(), &self.incarnation);
        drop(fleet);
        self.overload.capacity_changed();
    }
}

/// Counts a run of a route as open until dropped.
pub struct OpenRun {
    run_times: Rc<RefCell<RunTimes>>,
    route: Arc<Route>,
    start: RunStart,
}

impl Drop for OpenRun {
    fn drop(&mut self) {
        let mut run_times = self.run_times.borrow_mut();
        run_times.end(Instant::now(), &self.route.name, self.start);
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
    /// Creates a gateway without a configuration. Rates of tenants are measured over `rate_span`. Metrics are
    /// registered with `builder`.
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
            // Random until `with_crash_memory` sets the key of the cluster.
            fingerprint_key: FingerprintKey::new(&random.random::<[u8; 32]>()),
            crashes: Rc::new(crashes),
            overload: Rc::default(),
            run_times: Rc::default(),
            shares: ShareTable::new(random.random()).into(),
            random: random.into(),
            metrics,
            crowded: Notify::new(),
            pressure: RefCell::default(),
            limits_pressing: Notify::new(),
            split: RefCell::default(),
            origins: RefCell::default(),
            origin_store: None,
            software_changed: Notify::new(),
            input: InputAccount::new(DEFAULT_INPUT_LIMITS),
            unread_lines: RefCell::default(),
            configuration: RefCell::default(),
            requests_open: Cell::new(0),
            zone_regions: RefCell::default(),
            follows_zone_drains: Cell::new(false),
        }
    }

    /// Sets the fingerprint key that all nodes share, and the time for which the exit of a back end is kept.
    pub fn with_crash_memory(self, fingerprint_key: FingerprintKey, retention: Duration) -> Self {
        self.crashes.set_retention(retention);
        Self {
            fingerprint_key,
            ..self
        }
    }

    /// Sets the bounds on callers' connections and their input.
    pub fn with_input_limits(self, limits: InputLimits) -> Self {
        Self {
            input: InputAccount::new(limits),
            ..self
        }
    }

    /// Sets where origins of streams are recorded and found.
    pub fn with_origin_store(self, store: Rc<dyn OriginStore>) -> Self {
        Self {
            origin_store: Some(store),
            ..self
        }
    }

    /// Returns what this node knows about the software versions of a service.
    pub fn origin_knowledge(&self, service: &ServiceName) -> OriginKnowledge {
        let freshness = &self.freshness.backends;
        let observed = freshness.unbroken_for().filter(|_| !freshness.is_stale());
        let fleet = self.fleet.borrow();
        OriginKnowledge::of(fleet.software(), Instant::now(), service, observed)
    }

    /// Returns what this node knows about the software versions of a service as of `moment` or later. It is complete only
    /// if the copy of the back ends holds everything that was in the store then.
    pub fn origin_knowledge_as_of(
        &self,
        service: &ServiceName,
        moment: tokio::time::Instant,
    ) -> OriginKnowledge {
        let mut knowledge = self.origin_knowledge(service);
        knowledge.complete &= self.freshness.backends.covers(moment);
        knowledge
    }

    /// Sets the region of each zone.
    pub fn set_zone_regions(&self, regions: ZoneRegions) {
        *self.zone_regions.borrow_mut() = Arc::new(regions);
    }

    /// Returns the permit of a request for the zones in which it may be processed and stored.
    pub fn residency(&self, route: &Route, tenant: Option<&Tenant>) -> ResidencyPermit {
        let tenant = tenant.map(|tenant| &tenant.allowed_regions);
        let regions = self.zone_regions.borrow();
        ResidencyPermit::new(&route.allowed_regions, tenant, &regions)
    }

    /// Declares that drains of zones are followed: no back end is used until they are known.
    pub fn follow_zone_drains(&self) {
        self.follows_zone_drains.set(true);
        self.fleet.borrow_mut().await_zone_drains();
    }

    /// Sets the zones whose back ends get no further requests.
    pub fn set_drained_zones(&self, drained: HashSet<ZoneName>) {
        self.fleet.borrow_mut().set_drained_zones(drained);
        self.overload.capacity_changed();
    }

    /// Records that a request is about to be sent to a back end. It is in flight until the guard is dropped.
    pub fn begin_send(&self, incarnation: &Incarnation) -> InFlight {
        let now = Instant::now();
        let mut fleet = self.fleet.borrow_mut();
        fleet.record_start(now, incarnation);
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

    /// Records that a back end is about to run a request of the route. The run is open until the guard is dropped.
    pub fn begin_run(&self, route: &Arc<Route>) -> OpenRun {
        let mut run_times = self.run_times.borrow_mut();
        OpenRun {
            run_times: self.run_times.clone(),
            route: route.clone(),
            start: run_times.begin(Instant::now(), &route.name),
        }
    }

    /// Records that a request has arrived. It is open until the guard is dropped.
    pub fn open_request(&self) -> OpenRequest<'_> {
        self.requests_open.set(self.requests_open.get() + 1);
        OpenRequest { gateway: self }
    }

    /// Returns the number of open requests.
    pub fn requests_open(&self) -> usize {
        self.requests_open.get()
    }

    /// Returns the configuration in force.
    pub fn configuration(&self) -> Option<Arc<ServingConfiguration>> {
        self.configuration.borrow().clone()
    }

    /// Applies a configuration unless the current one is as new.
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
        let services = configuration.services.iter();
        let cold_rates = services.filter_map(|(name, service)| {
            let rate = service.cold_rate?;
            Some((name.clone(), rate))
        });
        let mut fleet = self.fleet.borrow_mut();
        fleet.set_cold_rates(cold_rates.collect());
        drop(fleet);
        let former = current.as_ref().map(|current| current.limits.body_bytes);
        if former != Some(configuration.limits.body_bytes) {
            self.check_body_limit(configuration.limits.body_bytes);
        }
        *current = Some(Arc::new(configuration));
    }

    /// Logs an error if bodies of the largest size that the operators allow would never be accepted here.
    fn check_body_limit(&self, body_bytes: usize) {
        let max_request_bytes = self.input.max_request_bytes();
        let max_job_bytes = max_request_bytes / (1 + serve::COPIES_OF_JOB);
        if body_bytes > max_job_bytes {
            error!(self.log, "configuration: The body limit exceeds what the node can hold, larger bodies get 413. \
                Lower the limit or raise limits.memory_megabytes."; "body_bytes" => body_bytes,
                "requests_at_most" => max_request_bytes, "jobs_at_most" => max_job_bytes);
        }
    }

    /// Applies a complete listing of back ends.
    pub fn replace_backends(&self, backends: Vec<Backend>) {
        let incarnations: Vec<Incarnation> = backends
            .iter()
            .map(|backend| backend.incarnation.clone())
            .collect();
        let now = Instant::now();
        let changes = self.fleet.borrow_mut().replace(now, backends);
        for (listed, change) in incarnations.iter().zip(&changes) {
            self.log_entry(listed, change);
        }
        self.notify_of_software();
    }

    /// Removes a back end that is no longer listed.
    pub fn remove_backend(&self, name: &BackendName) {
        self.fleet.borrow_mut().remove(Instant::now(), name);
    }

    fn notify_of_software(&self) {
        if self.fleet.borrow_mut().take_new_software() {
            self.software_changed.notify_one();
        }
    }

    /// Applies an entry that was added or has changed.
    pub fn upsert_backend(&self, backend: Backend) {
        let listed = backend.incarnation.clone();
        let change = self.fleet.borrow_mut().upsert(Instant::now(), backend);
        self.log_entry(&listed, &change);
        self.notify_of_software();
    }

    fn log_entry(&self, listed: &Incarnation, change: &EntryChange) {
        match change {
            EntryChange::Listed => {}
            EntryChange::StartedAgain(previous) => {
                info!(self.log, "fleet: Back end restarted."; "backend" => %listed,
                    "former" => %previous);
            }
            EntryChange::Outdated(current) => {
                info!(self.log, "fleet: Outdated entry ignored."; "backend" => %listed,
                    "known" => %current);
            }
        }
    }

    /// Discards the back ends and the configuration, because they are no longer updated. They must not be used
    /// when the gateway is used again later.
    pub fn forget(&self) {
        let mut fleet = self.fleet.borrow_mut();
        fleet.replace(Instant::now(), Vec::new());
        if self.follows_zone_drains.get() {
            fleet.await_zone_drains();
        }
        drop(fleet);
        self.configuration.borrow_mut().take();
        self.freshness.configuration.forget();
        self.freshness.backends.forget();
        self.freshness.zone_drains.forget();
    }

    /// Counts a request against the limit of its tenant.
    ///
    /// # Errors
    ///
    /// Fails if the tenant has used up its limit over all nodes.
    pub fn admit(&self, tenant: &Tenant) -> Result<(), OverLimit> {
        let mut limiter = self.limiter.borrow_mut();
        let admitted = limiter.admit(firshore_clock::now().into_std(), tenant);
        if limiter.is_report_due(tenant) {
            self.limits_pressing.notify_one();
        }
        admitted
    }

    /// Returns the admission of a request that no back end ran to its tenant's limit.
    pub fn return_admission(&self, tenant: &Tenant) {
        let now = firshore_clock::now().into_std();
        self.limiter.borrow_mut().refund(now, tenant);
    }

    /// Returns whether any tenant has a limit.
    pub fn has_limits(&self) -> bool {
        let configuration = self.configuration.borrow();
        let tenants = configuration
            .as_ref()
            .and_then(|configuration| configuration.tenants.as_ref());
        tenants.is_some_and(|tenants| tenants.iter().any(|tenant| tenant.limit.is_some()))
    }

    /// Returns the usage of tenants since the last report; `None` if no tenant has a limit. The caller must pass the
    /// response to [`Self::apply_usage_report`].
    pub fn take_usage_report(&self, now: Instant) -> Option<UsageReport> {
        if !self.has_limits() {
            return None;
        }
        let version = self.configuration().map_or(0, |current| current.version);
        Some(self.limiter.borrow_mut().report(now, version))
    }

    /// Applies the response to a usage report, as of a moment; `None` if there was no response.
    pub fn apply_usage_report(&self, response: Option<(Instant, &UsageResponse)>) {
        let mut limiter = self.limiter.borrow_mut();
        match response {
            Some((at, response)) => limiter.apply_response(at, response),
            None => return limiter.report_failed(),
        }
        if let Some((at, demands)) = limiter.reported_demand() {
            self.shares.borrow_mut().update_demand(at, demands);
        }
    }

    /// Updates the gauges.
    pub fn refresh_metrics(&self) {
        let fleet = self.fleet.borrow();
        self.metrics.backends.set(fleet.len() as i64);
        for (service, count) in fleet.software().counts(Instant::now()) {
            self.metrics.set_software_versions(service, count);
        }
        drop(fleet);
        self.metrics.requests_open.set(self.requests_open() as i64);
        self.metrics.input_held_bytes.set(self.input.held() as i64);
        let connections = self.input.connections();
        self.metrics.caller_connections.set(connections as i64);
        self.metrics.set_freshness_ages(&self.freshness);
        let table = self.crashes.table();
        self.metrics
            .crash_suspects
            .set(table.suspect_count() as i64);
        self.metrics
            .crash_verdicts
            .set(table.quarantined_count() as i64);
    }

    /// Returns whether the node can serve requests, including batch jobs. A node that is isolated from the journal
    /// can't accept jobs and has no view of other nodes' requests.
    pub fn is_ready(&self) -> bool {
        let reaches_jobs = self.jobs.as_ref().is_none_or(|jobs| jobs.is_reachable());
        let fleet = self.fleet.borrow();
        let knows_back_ends = !fleet.is_empty() && fleet.knows_zone_drains();
        self.configuration.borrow().is_some() && knows_back_ends && reaches_jobs
    }

    /// Returns the quarantine of a request, as a whole or because of a part of its prompt, that lasts longest; `None` if
    /// it is not quarantined.
    pub fn quarantine(
        &self,
        fingerprint: impl Fn() -> RequestFingerprint,
        parts: impl Fn() -> Vec<PartFingerprint>,
    ) -> Option<ActiveQuarantine> {
        let crashes = &self.crashes;
        let of_request = match crashes.has_quarantined_requests() {
            true => crashes.quarantine(fingerprint().into()),
            false => None,
        };
        let of_part = self.quarantine_of_parts(parts);
        let active = of_request.into_iter().chain(of_part);
        active.max_by_key(|quarantine| quarantine.time_left)
    }

    /// Returns the quarantine of a part of a prompt that lasts longest; `None` if no part is quarantined.
    pub fn quarantine_of_parts(
        &self,
        parts: impl Fn() -> Vec<PartFingerprint>,
    ) -> Option<ActiveQuarantine> {
        if !self.crashes.has_quarantined_parts() {
            return None;
        }
        let parts = parts();
        let suspects = parts.iter().map(Suspect::from);
        let active = suspects.filter_map(|suspect| self.crashes.quarantine(suspect));
        active.max_by_key(|quarantine| quarantine.time_left)
    }

    /// Records that a request has completed, so neither it nor a part of its prompt crashes back ends.
    pub fn record_completion(
        &self,
        _proof: &CompleteAnswer,
        fingerprint: impl Fn() -> RequestFingerprint,
        parts: impl Fn() -> Vec<PartFingerprint>,
    ) {
        if self.crashes.suspects_requests() {
            self.crashes.record_completion(fingerprint());
        }
        if self.crashes.suspected_parts().is_some() {
            self.crashes.record_begun(&parts());
        }
    }

    /// Records that a run got past its first event, so no part of its prompt crashes back ends. `seen` is the position of
    /// the crash table at the last such record of the run.
    pub fn record_begun(&self, seen: &mut Option<u64>, parts: impl Fn() -> Vec<PartFingerprint>) {
        let position = self.crashes.suspected_parts();
        if position.is_some() && position != *seen {
            self.crashes.record_begun(&parts());
            *seen = position;
        }
    }

    /// Applies a view of the requests that other nodes have in flight, as of now, and the interval between views.
    pub fn apply_remote_load(&self, remote: &HashMap<BackendName, u32>, interval: Duration) {
        let mut fleet = self.fleet.borrow_mut();
        let mut random = self.random.borrow_mut();
        fleet.apply_remote_load(Instant::now(), remote, &mut *random);
        fleet.set_view_interval(interval);
        drop(fleet);
        self.overload.capacity_changed();
    }

    /// Records that data of a back end's response has arrived.
    pub fn record_activity(&self, incarnation: &Incarnation) {
        let mut fleet = self.fleet.borrow_mut();
        fleet.record_activity(Instant::now(), incarnation);
    }

    /// Records the outcome of a request at a back end.
    pub fn record_outcome(&self, incarnation: &Incarnation, outcome: BackendOutcome) {
        let ejected = self
            .fleet
            .borrow_mut()
            .record_outcome(Instant::now(), incarnation, outcome);
        if ejected {
            self.metrics.ejections.inc();
            warn!(self.log, "fleet: Back end ejected."; "backend" => %incarnation, "seen" => ?outcome);
        }
    }
}
