//! Routes: map requests to services and set their limits.

use crate::residency::AllowedRegions;
use firshore_types::ids::ServiceName;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Whether a request that may have run can be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repetition {
    /// It may run any number of times.
    Idempotent,
    /// It may run at most once.
    AtMostOnce,
    /// A stream of numbered events: after an interruption, another back end may resume it after the last
    /// event received.
    Resumable,
}

/// Terms of a route whose requests are batch jobs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JobTerms {
    /// Target time from submission to the last result; `None` if the route sets none.
    pub due_after: Option<Duration>,
    /// Time from submission after which an item without a result may be abandoned.
    pub give_up_after: Duration,
    /// Maximum total tokens of one tenant's unfinished items on the route; `None`: unlimited.
    pub most_waiting_tokens: Option<u64>,
}

/// A service and its share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedService {
    /// Service.
    pub service: ServiceName,
    /// Share, relative to the other services of the route.
    pub weight: u32,
}

/// One route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name, for logs and metrics.
    pub name: String,
    /// Host name of requests, in lower case.
    pub host: String,
    /// Path prefix; ends with a slash.
    pub path_prefix: String,
    /// Services that run its requests; never empty.
    pub services: Vec<WeightedService>,
    /// Whether a request that may have run can be sent again.
    pub repetition: Repetition,
    /// Whether responses are event streams.
    pub streams: bool,
    /// Timeout from a request's arrival to the end of its response.
    pub timeout: Duration,
    /// Target time to the response (streams: to the first event).
    pub objective: Duration,
    /// Maximum number of back ends that may run one request.
    pub attempts: u32,
    /// Rank among the routes of a service; 0 is highest.
    pub priority: u32,
    /// Whether requests need no key even if tenants are declared.
    pub public: bool,
    /// Whether requests with a common prompt prefix are preferably run by the same back end.
    pub prefix_affinity: bool,
    /// Present if requests are batch jobs.
    pub jobs: Option<JobTerms>,
    /// Regions in which its requests may be processed and stored.
    pub allowed_regions: AllowedRegions,
}

/// Routes by host; within a host the longest prefix comes first.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    by_host: HashMap<String, Vec<Arc<Route>>>,
}

impl RouteTable {
    /// Indexes routes by host.
    pub fn new(routes: impl IntoIterator<Item = Route>) -> Self {
        let mut by_host: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            let host_routes = by_host.entry(route.host.clone()).or_default();
            host_routes.push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        Self { by_host }
    }

    /// Returns the route for a host (a port is ignored) and path (without query).
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.split(':').next().unwrap_or_default();
        let routes = match self.by_host.get(host) {
            Some(routes) => routes,
            None => self.by_host.get(&host.to_ascii_lowercase())?,
        };
        let mut routes = routes.iter();
        routes.find(|route| path.starts_with(&route.path_prefix))
    }

    /// Returns whether callers without a key may submit jobs and read their results.
    pub fn has_public_jobs(&self) -> bool {
        let mut routes = self.iter();
        routes.any(|route| route.public && route.jobs.is_some())
    }

    /// Returns all routes, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.by_host.values().flatten()
    }

    /// Returns the number of routes.
    pub fn len(&self) -> usize {
        self.by_host.values().map(Vec::len).sum()
    }

    /// Returns whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
