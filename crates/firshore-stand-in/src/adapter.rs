//! A plain dialect, translated to the product's seam.

use crate::store::MemoryStore;
use actix_http::header::{HeaderMap, HeaderName, HeaderValue};
use actix_http::{Method, ResponseHead};
use firshore_adapter::Adapter;
use firshore_adapter::backend::{
    AnswerHead, Backend, BackendDialect, Pace, Ran, ReportedLoad, SendTerms, WarmUp,
};
use firshore_adapter::caller::{CallerDialect, CallerKey, PromptPart, RequestTerms};
use firshore_adapter::configuration::{CallerLimits, Service, ServingConfiguration};
use firshore_adapter::decode::{DecodeError, Decoder, Retirement, RetirementProgress};
use firshore_adapter::incarnation::{Incarnation, StartTime};
use firshore_adapter::jobs::{JobCall, JobCallError, JobDialect, JobItem, ResultPage};
use firshore_adapter::objects::Object;
use firshore_adapter::residency::AllowedRegions;
use firshore_adapter::route::{JobTerms, Repetition, Route, RouteTable, WeightedService};
use firshore_adapter::tenant::{DeclaredTenant, RateLimit, Tenant, TenantTable};
use firshore_types::ids::{RegionName, ServiceName, SoftwareVersion};
use serde::Deserialize;
use serde_json::{Value, json};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

/// Identifier of a request.
pub const REQUEST_ID: &str = "x-request-id";
/// Milliseconds left.
pub const DEADLINE: &str = "x-deadline-ms";
/// Incarnation that a request is meant for.
pub const INCARNATION: &str = "x-incarnation";
/// Mark of a back end that did not run a request.
pub const NOT_RUN: &str = "x-not-run";
/// A back end's word for its answer.
pub const SIGNATURE: &str = "x-signature";
/// Running, waiting, slots.
pub const LOAD: &str = "x-load";
/// Last event held.
pub const RESUME_AFTER: &str = "x-resume-after";
/// Identifier of the attempt that brought the first event of a resumed stream.
pub const RESUMES: &str = "x-resumes";
/// A caller's key.
pub const KEY: &str = "x-key";
/// Tenant that a request comes from.
pub const TENANT: &str = "x-tenant";
/// Parts of the prompt, by commas.
pub const PROMPT: &str = "x-prompt";

/// Kind of back ends.
pub const BACKENDS: &str = "backends";
/// Kind of the configuration.
pub const CONFIGURATION: &str = "configuration";
/// Kind of retirements.
pub const RETIREMENTS: &str = "emptyings";
/// Kind of zone drains.
pub const ZONE_DRAINS: &str = "zone-drains";

/// The adapter over a store.
pub fn adapter(store: Rc<MemoryStore>) -> Adapter {
    Adapter {
        caller: Rc::new(Plain),
        jobs: Rc::new(Plain),
        backend: Rc::new(Plain),
        objects: store,
        decoder: Rc::new(Plain),
    }
}

/// The dialect.
pub struct Plain;

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn number(headers: &HeaderMap, name: &str) -> Option<u64> {
    text(headers, name)?.parse().ok()
}

impl CallerDialect for Plain {
    fn read_terms(&self, headers: &HeaderMap) -> RequestTerms {
        let parts = text(headers, PROMPT).unwrap_or_default().split(',');
        let parts = parts.filter_map(|part| part.parse().ok());
        RequestTerms {
            id: text(headers, REQUEST_ID).unwrap_or_default().to_owned(),
            deadline: number(headers, DEADLINE).map(Duration::from_millis),
            prompt: parts.map(|hash| PromptPart { hash, tokens: 100 }).collect(),
            resume_after: number(headers, RESUME_AFTER),
            resumes: text(headers, RESUMES).map(str::to_owned),
        }
    }

    fn read_key<'a>(&self, headers: &'a HeaderMap) -> CallerKey<'a> {
        match (headers.get_all(KEY).count(), text(headers, KEY)) {
            (0, _) => CallerKey::Absent,
            (1, Some(key)) => CallerKey::Given(key),
            _ => CallerKey::Unusable,
        }
    }
}

impl BackendDialect for Plain {
    fn write_terms(&self, headers: &mut HeaderMap, terms: &SendTerms<'_>) {
        headers.remove(KEY);
        headers.remove(TENANT);
        let mut set = |name: &'static str, value: String| {
            let value = HeaderValue::from_str(&value).expect("the value is text");
            headers.insert(HeaderName::from_static(name), value);
        };
        set(INCARNATION, terms.incarnation.name.to_string());
        set(DEADLINE, terms.remaining.as_millis().to_string());
        if let Some(permit) = terms.resume {
            set(RESUME_AFTER, permit.after().to_string());
        }
        if let Some(tenant) = terms.tenant {
            set(TENANT, tenant.to_string());
        }
    }

    fn read_answer(&self, head: &ResponseHead) -> AnswerHead {
        let misdirected = head.status.as_u16() == 421;
        let ran = match (misdirected || head.headers().contains_key(NOT_RUN), head) {
            (true, _) => Ran::No,
            (false, head) if head.headers().contains_key(SIGNATURE) => Ran::Yes,
            _ => Ran::Maybe,
        };
        let load = text(head.headers(), LOAD).and_then(|load| {
            let mut numbers = load.split(',').map(|number| number.parse::<u32>().ok());
            Some(ReportedLoad {
                running: numbers.next()??,
                waiting: numbers.next()??,
                slots: numbers.next()??,
                pace: numbers.next().flatten().and_then(Pace::from_hundredths),
            })
        });
        AnswerHead {
            ran,
            misdirected,
            load,
        }
    }

    fn answers(&self, request: &HeaderMap, head: &ResponseHead) -> bool {
        let answered = text(head.headers(), REQUEST_ID);
        answered.is_none() || answered == text(request, REQUEST_ID)
    }
}

impl JobDialect for Plain {
    fn read_call(
        &self,
        method: &Method,
        path: &str,
        query: &str,
        _headers: &HeaderMap,
    ) -> Option<Result<JobCall, JobCallError>> {
        let job = path.strip_prefix("/jobs/")?.to_owned();
        if method == Method::DELETE {
            return Some(Ok(JobCall::End { job }));
        }
        Some(Ok(JobCall::Results {
            job,
            from: query.parse().unwrap_or(0),
            wait: Duration::ZERO,
        }))
    }

    fn job_id(&self, headers: &HeaderMap) -> Option<String> {
        text(headers, REQUEST_ID).map(str::to_owned)
    }

    fn submission_bytes(&self, body: &[u8]) -> usize {
        body.len()
    }

    fn read_submission(&self, body: &[u8]) -> Result<Vec<JobItem>, JobCallError> {
        serde_json::from_slice(body).map_err(|error| JobCallError::Invalid(error.to_string()))
    }

    fn write_results(&self, page: &ResultPage) -> Vec<u8> {
        serde_json::to_vec(page).expect("results serialise")
    }

    fn item_id_header(&self) -> &'static str {
        REQUEST_ID
    }
}

#[derive(Deserialize)]
struct PlainBackend {
    service: String,
    address: std::net::SocketAddr,
    slots: u32,
    leaving: bool,
    /// Start of its process.
    started: Option<u64>,
    /// Its zone; `here` if absent.
    zone: Option<String>,
    /// Remaining time for which it is cold, in milliseconds.
    cold_ms: Option<u64>,
    /// Version of its software.
    software: Option<String>,
}

#[derive(Deserialize)]
struct PlainConfiguration {
    version: u64,
    routes: Vec<PlainRoute>,
    #[serde(default)]
    tenants: Vec<PlainTenant>,
    /// Requests per second that a cold back end may get, by service.
    #[serde(default)]
    cold_rates: HashMap<ServiceName, f64>,
}

fn cold_service((name, rate): (ServiceName, f64)) -> (ServiceName, Service) {
    let service = Service {
        cold_rate: Some(rate),
        ..Service::default()
    };
    (name, service)
}

#[derive(Deserialize)]
struct PlainTenant {
    name: String,
    keys: Vec<String>,
    /// Requests a second; the burst is as many.
    rate: Option<f64>,
    /// Regions to which it is restricted.
    #[serde(default)]
    regions: Vec<RegionName>,
}

impl PlainTenant {
    fn translate(self) -> DeclaredTenant {
        let limit = self.rate.map(|rate| RateLimit {
            per_second: rate,
            burst: rate,
        });
        DeclaredTenant {
            tenant: Tenant {
                name: self.name.as_str().into(),
                priority: None,
                limit,
                allowed_regions: AllowedRegions::new(self.regions),
            },
            keys: self.keys,
        }
    }
}

#[derive(Deserialize)]
struct PlainRoute {
    prefix: String,
    service: String,
    repetition: String,
    timeout: u64,
    attempts: u32,
    #[serde(default)]
    public: bool,
    most_waiting_tokens: Option<u64>,
    /// Regions to which it is restricted.
    #[serde(default)]
    regions: Vec<RegionName>,
}

/// Host of every route.
pub const HOST: &str = "a.example";

impl PlainRoute {
    fn translate(self) -> Route {
        let repetition = match self.repetition.as_str() {
            "idempotent" => Repetition::Idempotent,
            "resumable" | "job" => Repetition::Resumable,
            _ => Repetition::AtMostOnce,
        };
        let jobs = (self.repetition == "job").then_some(JobTerms {
            due_after: None,
            give_up_after: Duration::from_secs(60),
            most_waiting_tokens: self.most_waiting_tokens,
        });
        Route {
            name: self.prefix.clone(),
            host: HOST.to_owned(),
            path_prefix: self.prefix,
            services: vec![WeightedService {
                service: self.service.as_str().into(),
                weight: 1,
            }],
            streams: matches!(self.repetition.as_str(), "resumable" | "stream" | "job"),
            repetition,
            timeout: Duration::from_millis(self.timeout),
            objective: Duration::from_millis(self.timeout),
            attempts: self.attempts,
            priority: 0,
            public: self.public,
            prefix_affinity: false,
            jobs,
            allowed_regions: AllowedRegions::new(self.regions),
        }
    }
}

fn read<'de, T: Deserialize<'de>>(object: &'de Object) -> Result<T, DecodeError> {
    let decoded = T::deserialize(&object.spec);
    decoded.map_err(|error| DecodeError::Invalid(object.name.clone(), error.to_string()))
}

impl Decoder for Plain {
    fn backend_kind(&self) -> &str {
        BACKENDS
    }

    fn configuration_kind(&self) -> &str {
        CONFIGURATION
    }

    fn configuration_name(&self) -> &str {
        "newest"
    }

    fn retirement_kind(&self) -> &str {
        RETIREMENTS
    }

    fn zone_drain_kind(&self) -> &str {
        ZONE_DRAINS
    }

    fn backend(&self, object: &Object) -> Result<Backend, DecodeError> {
        let backend: PlainBackend = read(object)?;
        Ok(Backend {
            incarnation: Incarnation {
                name: object.name.as_str().into(),
                started: backend.started.map(StartTime),
            },
            service: backend.service.as_str().into(),
            address: backend.address,
            zone: backend.zone.as_deref().unwrap_or("here").into(),
            slots: backend.slots,
            leaving: backend.leaving,
            warm_up: backend.cold_ms.map(|remaining| WarmUp {
                remaining: Duration::from_millis(remaining),
                revision: object.revision,
            }),
            software: backend.software.as_deref().map(SoftwareVersion::from),
        })
    }

    fn configuration(&self, object: &Object) -> Result<ServingConfiguration, DecodeError> {
        let configuration: PlainConfiguration = read(object)?;
        let routes = configuration.routes.into_iter().map(PlainRoute::translate);
        let tenants = configuration
            .tenants
            .into_iter()
            .map(PlainTenant::translate);
        let tenants = TenantTable::new(tenants);
        let tenants = tenants
            .map_err(|error| DecodeError::Invalid(object.name.clone(), error.to_string()))?;
        Ok(ServingConfiguration {
            version: configuration.version,
            routes: RouteTable::new(routes),
            services: configuration
                .cold_rates
                .into_iter()
                .map(cold_service)
                .collect(),
            limits: CallerLimits::default(),
            tenants: (!tenants.is_empty()).then_some(tenants),
        })
    }

    fn retirement(&self, object: &Object) -> Result<Retirement, DecodeError> {
        Ok(Retirement {
            node: object.name.clone(),
            within: Duration::from_secs(10),
            done: object.status == json!("done"),
        })
    }

    fn retirement_status(&self, progress: RetirementProgress) -> Value {
        match progress {
            RetirementProgress::Running => json!("running"),
            RetirementProgress::Done => json!("done"),
        }
    }
}
