//! Accepts callers' connections, authenticates and routes their requests, and handles calls about batch jobs.

use crate::access;
use crate::answer_end::CompleteAnswer;
use crate::caller_connection::{CallerConnection, CallerRequest, Incoming};
use crate::forward::{self, Handled};
use crate::gateway::Gateway;
use crate::input_account::{self, InputLease};
use crate::input_budget::Denial;
use crate::leaving::Phase;
use crate::refusal::Refusal;
use actix_http::body::BodySize;
use actix_http::header::{CONTENT_TYPE, HOST, HeaderMap, HeaderValue};
use actix_http::{RequestHead, StatusCode, Uri};
use bytes::Bytes;
use firshore_adapter::configuration::{CallerLimits, ServingConfiguration};
use firshore_adapter::jobs::{JobCall, JobId};
use firshore_adapter::route::Route;
use firshore_adapter::tenant::Tenant;
use firshore_limits::limiter::OverLimit;
use firshore_types::error::{ApiError, ErrorCode};
use slog::{info, warn};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};

/// Backoff after a failed accept, which is mostly caused by missing file descriptors.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// Time after which callers of a node without a current configuration should retry.
const UNCONFIGURED_RETRY: Duration = Duration::from_millis(500);

/// Maximum time within which the body of a job, or of a request without a route, must arrive.
const MAX_BODY_TIME: Duration = Duration::from_secs(60);

/// Copies of a job while it is submitted, beside the body: its items, and their encoding for the journal's leader.
pub(crate) const COPIES_OF_JOB: usize = 2;

/// Maximum time for writing a refusal to a caller that doesn't read.
const REFUSAL_TIME: Duration = Duration::from_secs(1);

/// Response of the node itself.
enum LocalResponse {
    Empty(StatusCode),
    Json(Bytes),
    Octets(Bytes),
    Refused(Refusal),
}

/// Accepts connections until the node stops accepting.
pub async fn accept(gateway: Rc<Gateway>, listener: TcpListener) {
    let closing = gateway.leaving.reached(Phase::Closing);
    tokio::pin!(closing);
    loop {
        // Each connection that is still open takes a descriptor.
        gateway.input.settle().await;
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = &mut closing => return,
        };
        match accepted {
            Ok((stream, _)) => match gateway.input.open() {
                Some(lease) => {
                    let connection = CallerConnection::new(stream, lease);
                    actix_rt::spawn(serve(gateway.clone(), connection));
                }
                None => refuse_connection(&gateway, &stream),
            },
            Err(error) => {
                warn!(gateway.log, "serve: Connection not accepted."; "reason" => %error);
                actix_rt::time::sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}

/// Refuses whatever a caller sends on a connection that is one too many, as far as that is possible at once.
fn refuse_connection(gateway: &Gateway, stream: &TcpStream) {
    let error = input_account::too_many_connections();
    gateway.metrics.request_unread(error.code);
    let suppressed = gateway.unread_lines.borrow_mut().should_log(Instant::now());
    if let Some(suppressed) = suppressed {
        info!(gateway.log, "serve: Connection refused."; "reason" => %error,
            "connections" => gateway.input.connections(), "untold" => suppressed);
    }
    // The buffer of a new connection is empty; if writing fails all the same, the caller has left.
    let _ = stream.try_write(&Refusal::from(error).closing_response());
}

/// Time within which a request's body must arrive: the request can't be answered after it. A job's has no such end.
fn body_time(gateway: &Gateway, head: &RequestHead) -> Duration {
    let configuration = gateway.configuration();
    let route = configuration.and_then(|current| find_route(&current, head.headers(), &head.uri));
    match route {
        Some(route) if route.jobs.is_none() => {
            let terms = gateway.adapter.caller.read_terms(head.headers());
            terms.deadline.unwrap_or(route.timeout).min(route.timeout)
        }
        _ => MAX_BODY_TIME,
    }
}

async fn serve(gateway: Rc<Gateway>, mut connection: CallerConnection) {
    loop {
        let limits = match gateway.configuration() {
            Some(configuration) => configuration.limits,
            None => CallerLimits::default(),
        };
        let closing = gateway.leaving.reached(Phase::Closing);
        let time_of = |head: &RequestHead| body_time(&gateway, head);
        let reading = connection.read_request(&limits, closing, time_of);
        let handled = match reading.await {
            Incoming::Request(request) => handle(&gateway, *request, &mut connection).await,
            Incoming::Closed => Handled::Close,
            Incoming::Invalid(error) => return refuse_unread(&gateway, error, connection).await,
        };
        if handled == Handled::Close && connection.discards() {
            return connection.discard_rest().await;
        }
        if handled == Handled::Close {
            return;
        }
    }
}

/// Refuses a request that was not read completely, and closes the connection.
async fn refuse_unread(gateway: &Gateway, error: ApiError, mut connection: CallerConnection) {
    gateway.metrics.request_unread(error.code);
    let suppressed = gateway.unread_lines.borrow_mut().should_log(Instant::now());
    if let Some(suppressed) = suppressed {
        info!(gateway.log, "serve: Request not read."; "reason" => %error,
            "held_bytes" => gateway.input.held(), "untold" => suppressed);
    }
    let refusal = Refusal::from(error);
    let writing = refusal.write(&mut connection, true);
    if let Ok(Ok(())) = tokio::time::timeout(REFUSAL_TIME, writing).await {
        connection.discard_rest().await;
    }
}

async fn handle(
    gateway: &Gateway,
    request: CallerRequest,
    connection: &mut CallerConnection,
) -> Handled {
    let _open = gateway.open_request();
    let Some(configuration) = gateway.configuration() else {
        let message = "The node does not know a configuration yet.";
        let refusal = Refusal::not_run(ErrorCode::Unavailable, message, UNCONFIGURED_RETRY);
        return write_response(gateway, LocalResponse::Refused(refusal), connection).await;
    };
    let route = find_route(&configuration, &request.headers, &request.uri);
    let key = gateway.adapter.caller.read_key(&request.headers);
    // Calls about jobs have no route. Without a key, they concern jobs of anonymous callers.
    let public = match &route {
        Some(route) => route.public,
        None => configuration.routes.has_public_jobs(),
    };
    let tenant = match access::identify(&configuration, key, public) {
        Ok(tenant) => tenant,
        Err(error) => {
            gateway.metrics.requests_denied.inc();
            info!(gateway.log, "serve: Caller unknown."; "reason" => ?error,
                "request" => gateway.adapter.caller.read_terms(&request.headers).id,
                "key_digest" => access::key_digest(key), "version" => configuration.version,
                "configuration_age_ms" => gateway.freshness.configuration.age_ms(),
                "path" => request.uri.path());
            if gateway.freshness.configuration.is_stale() {
                return write_response(
                    gateway,
                    LocalResponse::Refused(stale_configuration()),
                    connection,
                )
                .await;
            }
            return write_response(gateway, LocalResponse::from(error.api_error()), connection)
                .await;
        }
    };
    match route {
        Some(route) if route.jobs.is_none() => {
            if let Some(tenant) = &tenant
                && let Err(over) = gateway.admit(tenant)
            {
                let refusal = over_limit(gateway, tenant, &request, over);
                return write_response(gateway, LocalResponse::Refused(refusal), connection).await;
            }
            forward::forward(gateway, route, tenant, request, connection).await
        }
        Some(route) => {
            let response = submit(gateway, route, tenant, request, connection.lease()).await;
            write_response(gateway, response, connection).await
        }
        None => {
            let response = handle_unrouted(gateway, &configuration, tenant, &request).await;
            write_response(gateway, response, connection).await
        }
    }
}

/// Refuses a request with an unknown route or key while the configuration is stale. 404 or 401 would be final for
/// the caller, although the route or key may have been added since.
fn stale_configuration() -> Refusal {
    let message = "The node has not heard of the configuration for too long.";
    Refusal::not_run(ErrorCode::Unavailable, message, UNCONFIGURED_RETRY)
}

/// Logs and refuses a request of a tenant that has used up its limit.
fn over_limit(
    gateway: &Gateway,
    tenant: &Tenant,
    request: &CallerRequest,
    over: OverLimit,
) -> Refusal {
    gateway.metrics.requests_over_limit.inc();
    info!(gateway.log, "serve: Over limit."; "tenant" => %tenant.name,
        "request" => gateway.adapter.caller.read_terms(&request.headers).id,
        "rate" => tenant.limit.map(|limit| limit.per_second), "share" => over.share,
        "left" => over.left, "basis" => ?over.basis,
        "picture_age_ms" => over.age.map(|age| age.as_millis() as u64),
        "wait_ms" => over.wait.as_millis() as u64);
    let message = format!("The tenant '{}' has used up its rate.", tenant.name);
    Refusal::not_run(ErrorCode::RateLimited, message, over.wait)
}

fn find_route(
    configuration: &ServingConfiguration,
    headers: &HeaderMap,
    uri: &Uri,
) -> Option<Arc<Route>> {
    let host = headers.get(HOST)?.to_str().ok()?;
    let route = configuration.routes.find(host, uri.path())?;
    Some(route.clone())
}

/// Handles a request without a route: a call about jobs, or else an unknown path.
async fn handle_unrouted(
    gateway: &Gateway,
    configuration: &ServingConfiguration,
    tenant: Option<Arc<Tenant>>,
    request: &CallerRequest,
) -> LocalResponse {
    let dialect = &gateway.adapter.jobs;
    let query = request.uri.query().unwrap_or_default();
    let path = request.uri.path();
    match dialect.read_call(&request.method, path, query, &request.headers) {
        None => {
            let version = configuration.version;
            let freshness = &gateway.freshness.configuration;
            info!(gateway.log, "serve: No route."; "version" => version,
                "configuration_age_ms" => freshness.age_ms(), "source" => freshness.source(),
                "host" => ?request.headers.get(HOST), "path" => path);
            if freshness.is_stale() {
                return LocalResponse::Refused(stale_configuration());
            }
            let message = format!("No route for '{path}' in version {version}.");
            LocalResponse::from(ApiError::not_run(ErrorCode::NotFound, message))
        }
        Some(Err(error)) => LocalResponse::from(ApiError::not_run(
            ErrorCode::InvalidRequest,
            error.to_string(),
        )),
        Some(Ok(call)) => match job_call(gateway, tenant.as_deref(), call).await {
            Ok(response) => response,
            Err(error) => {
                info!(gateway.log, "jobs: Call failed."; "path" => path,
                    "reason" => %error, "age_ms" => request.arrived.elapsed().as_millis() as u64);
                LocalResponse::from(error)
            }
        },
    }
}

fn jobs_unavailable() -> ApiError {
    ApiError::not_run(
        ErrorCode::JournalUnavailable,
        "The node keeps no batch jobs.",
    )
    .retry_after(1)
}

async fn submit(
    gateway: &Gateway,
    route: Arc<Route>,
    tenant: Option<Arc<Tenant>>,
    request: CallerRequest,
    lease: &InputLease,
) -> LocalResponse {
    let invalid = |reason: String| {
        info!(gateway.log, "serve: Job invalid."; "reason" => &reason);
        LocalResponse::from(ApiError::not_run(ErrorCode::InvalidRequest, reason))
    };
    let dialect = &gateway.adapter.jobs;
    let Some(id) = dialect.job_id(&request.headers) else {
        return invalid("The job has no identifier.".to_owned());
    };
    let CallerRequest { body, arrived, .. } = request;
    let needed = body.len() + COPIES_OF_JOB * dialect.submission_bytes(&body);
    if let Err(denial) = lease.resize(needed).await {
        gateway.metrics.job_submitted(false);
        return refuse_job(gateway, &id, needed, denial);
    }
    let items = match dialect.read_submission(&body) {
        Ok(items) => items,
        Err(error) => return invalid(error.to_string()),
    };
    drop(body);
    let Some(jobs) = &gateway.jobs else {
        return LocalResponse::from(jobs_unavailable());
    };
    let count = items.len();
    let job = job_id(tenant.as_deref(), id);
    let residency = gateway.residency(&route, tenant.as_deref());
    let submitted = jobs
        .submit(route.clone(), residency, job.clone(), items)
        .await;
    gateway.metrics.job_submitted(submitted.is_ok());
    match submitted {
        Ok(()) => {
            info!(gateway.log, "jobs: Accepted."; "job" => job.id, "route" => &route.name,
                "items" => count, "age_ms" => arrived.elapsed().as_millis() as u64);
            LocalResponse::Empty(StatusCode::ACCEPTED)
        }
        Err(error) => {
            info!(gateway.log, "jobs: Not accepted."; "job" => job.id, "route" => &route.name,
                "reason" => %error, "age_ms" => arrived.elapsed().as_millis() as u64);
            LocalResponse::from(error)
        }
    }
}

/// Logs and refuses a job that can't be held while it is submitted.
fn refuse_job(gateway: &Gateway, id: &str, needed: usize, denial: Denial) -> LocalResponse {
    let error = denial.api_error();
    let suppressed = gateway.unread_lines.borrow_mut().should_log(Instant::now());
    if let Some(suppressed) = suppressed {
        info!(gateway.log, "jobs: No memory for the job."; "job" => id, "reason" => %error,
            "needed_bytes" => needed, "held_bytes" => gateway.input.held(), "untold" => suppressed);
    }
    LocalResponse::from(error)
}

/// Returns the identifier of a caller's job, which includes the tenant: jobs of other tenants can't be named.
fn job_id(tenant: Option<&Tenant>, id: String) -> JobId {
    JobId {
        tenant: tenant.map(|tenant| tenant.name.clone()),
        id,
    }
}

async fn job_call(
    gateway: &Gateway,
    tenant: Option<&Tenant>,
    call: JobCall,
) -> Result<LocalResponse, ApiError> {
    let jobs = gateway.jobs.as_ref().ok_or_else(jobs_unavailable)?;
    let unknown = |job: &JobId| {
        info!(gateway.log, "jobs: Unknown."; "job" => &job.id);
        ApiError::not_run(ErrorCode::NotFound, format!("No job '{}'.", job.id))
    };
    match call {
        JobCall::Results { job, from, wait } => {
            let job = job_id(tenant, job);
            let page = jobs.results(job.clone(), from, wait).await?;
            let page = page.ok_or_else(|| unknown(&job))?;
            let body = gateway.adapter.jobs.write_results(&page);
            Ok(LocalResponse::Json(body.into()))
        }
        JobCall::Body { job, item } => {
            let job = job_id(tenant, job);
            let body = jobs.body(job.clone(), item).await?;
            let body = body.ok_or_else(|| unknown(&job))?;
            Ok(LocalResponse::Octets(Bytes::copy_from_slice(&body.0)))
        }
        JobCall::End { job } => {
            let job = job_id(tenant, job);
            match jobs.end(job.clone()).await? {
                true => Ok(LocalResponse::Empty(StatusCode::OK)),
                false => Err(unknown(&job)),
            }
        }
    }
}

impl From<ApiError> for LocalResponse {
    fn from(error: ApiError) -> Self {
        Self::Refused(error.into())
    }
}

async fn write_response(
    gateway: &Gateway,
    response: LocalResponse,
    connection: &mut CallerConnection,
) -> Handled {
    let close = gateway.leaving.is_leaving();
    let response = match response {
        LocalResponse::Json(body) | LocalResponse::Octets(body)
            if !connection.response_account().holds(body.len()) =>
        {
            LocalResponse::from(Denial::Full.api_error())
        }
        response => response,
    };
    let (status, content_type, body) = match response {
        LocalResponse::Empty(status) => (status, None, Bytes::new()),
        LocalResponse::Json(body) => (StatusCode::OK, Some("application/json"), body),
        LocalResponse::Octets(body) => (StatusCode::OK, Some("application/octet-stream"), body),
        LocalResponse::Refused(refusal) => {
            return match refusal.write(connection, close).await {
                Ok(()) if connection.keeps_open() => Handled::KeepOpen,
                _ => Handled::Close,
            };
        }
    };
    let mut headers = HeaderMap::new();
    if let Some(content_type) = content_type {
        headers.insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    }
    let size = BodySize::Sized(body.len() as u64);
    connection.put_head(status, headers, size, close);
    connection.put_chunk(body);
    connection.put_end(CompleteAnswer::local());
    match connection.flush().await {
        Ok(()) if connection.keeps_open() => Handled::KeepOpen,
        _ => Handled::Close,
    }
}
