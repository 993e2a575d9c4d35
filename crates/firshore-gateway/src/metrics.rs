//! Metrics about requests, back ends and batch jobs.
//!
//! Labels have few values: services, and the ends of requests, sends and runs.

use crate::answer_end::AnswerEnd;
use crate::attempts::SendEnd;
use crate::freshness::StoreFreshness;
use crate::process_check::ProcessEvidence;
use firshore_metrics::{Builder, Counter, EncodeLabelSet, Family, Gauge, Histogram};
use firshore_types::error::ErrorCode;
use firshore_types::ids::ServiceName;
use std::time::Duration;

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// With a back end's response.
    Answered,
    /// With a refusal, which guarantees that it has not run.
    Refused,
    /// With an error after which it may have run.
    Failed,
    /// In the middle of the response.
    BrokenOff,
    /// Without a response, because the caller disconnected.
    CallerLeft,
}

impl RequestEnd {
    fn label(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Refused => "refused",
            Self::Failed => "failed",
            Self::BrokenOff => "broken_off",
            Self::CallerLeft => "caller_left",
        }
    }
}

/// Result of admission control for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionEnd {
    /// Admitted immediately.
    Admitted,
    /// Admitted after a wait at the node.
    AdmittedAfterWait,
    /// Refused.
    Refused,
}

impl AdmissionEnd {
    fn label(self) -> &'static str {
        match self {
            Self::Admitted => "let_in",
            Self::AdmittedAfterWait => "let_in_later",
            Self::Refused => "refused",
        }
    }
}

/// What became of a stream that was to continue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ContinuationEnd {
    /// It was sent to a back end of its software version.
    Continued,
    /// No back end of its software version is listed.
    NoBackend,
    /// It is unknown what began it.
    UnknownOrigin,
}

impl ContinuationEnd {
    fn label(self) -> &'static str {
        match self {
            Self::Continued => "continued",
            Self::NoBackend => "no_back_end",
            Self::UnknownOrigin => "unknown_origin",
        }
    }
}

/// Result of recording what began a stream at other nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordEnd {
    /// Another node has the record.
    Recorded,
    /// No other node answered in time.
    Unanswered,
}

impl RecordEnd {
    fn label(self) -> &'static str {
        match self {
            Self::Recorded => "recorded",
            Self::Unanswered => "unanswered",
        }
    }
}

/// Labels of a service.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ServiceLabels {
    service: String,
}

/// Labels of requests by service and end.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RequestLabels {
    service: String,
    end: &'static str,
}

/// Labels by end only.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct EndLabels {
    end: &'static str,
}

impl EndLabels {
    /// Creates the labels of an end.
    pub fn new(end: &'static str) -> Self {
        Self { end }
    }
}

/// Labels of an error code.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CodeLabels {
    code: &'static str,
}

/// Labels of a check whether a process still runs.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct EvidenceLabels {
    evidence: &'static str,
}

/// Labels of a copy of the object store.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct FreshnessLabels {
    kind: &'static str,
}

/// Metrics of a gateway.
pub struct GatewayMetrics {
    requests: Family<RequestLabels, Counter>,
    request_seconds: Histogram,
    first_byte_seconds: Histogram,
    admissions: Family<RequestLabels, Counter>,
    sends: Family<EndLabels, Counter>,
    jobs: Family<EndLabels, Counter>,
    /// Requests refused because their tenant has used up its limit.
    pub requests_over_limit: Counter,
    /// Requests refused because of a missing or unknown key.
    pub requests_denied: Counter,
    /// Ejections of back ends.
    pub ejections: Counter,
    /// Back ends that crashed while they ran requests of this node.
    pub backends_crashed: Counter,
    /// Requests refused because they are quarantined.
    pub requests_quarantined: Counter,
    /// Suspected requests that were cleared because they completed.
    pub suspects_cleared: Counter,
    /// Requests suspected of crashing back ends.
    pub crash_suspects: Gauge,
    /// Quarantined requests.
    pub crash_verdicts: Gauge,
    /// Version of the configuration in force.
    pub configuration_version: Gauge,
    /// Requests without a complete response.
    pub requests_open: Gauge,
    /// Bytes that callers' input holds.
    pub input_held_bytes: Gauge,
    /// Connections of callers.
    pub caller_connections: Gauge,
    unread: Family<CodeLabels, Counter>,
    /// Listed back ends.
    pub backends: Gauge,
    freshness_ages: Family<FreshnessLabels, Gauge>,
    continuations: Family<EndLabels, Counter>,
    origin_records: Family<EndLabels, Counter>,
    answer_ends: Family<EndLabels, Counter>,
    process_checks: Family<EvidenceLabels, Counter>,
    software_versions: Family<ServiceLabels, Gauge>,
}

fn send_label(end: SendEnd) -> &'static str {
    match end {
        SendEnd::NotSent => "not_sent",
        SendEnd::NotRun => "not_run",
        SendEnd::Lost => "lost",
        SendEnd::BrokenOff => "broken_off",
        SendEnd::Failed => "failed",
    }
}

impl GatewayMetrics {
    /// Registers the metrics with `builder`.
    pub fn new(builder: &mut Builder) -> Self {
        Self {
            requests: builder.counters(
                "requests",
                "service, end",
                "Online requests by service and by how they ended for their caller.",
            ),
            request_seconds: builder.seconds(
                "request_seconds",
                "Time from a request's arrival to the end of its answer.",
            ),
            admissions: builder.counters(
                "admissions",
                "service, end",
                "Requests that asked for room, by service and what became of them.",
            ),
            first_byte_seconds: builder.seconds(
                "first_byte_seconds",
                "Time from a request's arrival to the first byte of a back end's answer.",
            ),
            sends: builder.counters(
                "failed_sends",
                "end",
                "Sends to back ends that gave no answer to pass on, by what became of them.",
            ),
            jobs: builder.counters(
                "jobs",
                "end",
                "Batch jobs handed in, by whether they were accepted.",
            ),
            requests_over_limit: builder.counter(
                "requests_over_limit",
                "Requests of tenants that had used up what they may ask over all nodes.",
            ),
            requests_denied: builder.counter(
                "requests_denied",
                "Requests and calls that carried no key which a tenant holds.",
            ),
            ejections: builder.counter("ejections", "Times a back end was ejected."),
            backends_crashed: builder.counter(
                "backends_crashed",
                "Back ends that ended without leaving while they ran requests of this node.",
            ),
            requests_quarantined: builder.counter(
                "requests_condemned",
                "Requests refused because back ends end under them.",
            ),
            suspects_cleared: builder.counter(
                "suspects_cleared",
                "Requests that were lost at back ends that ended, and ran to a good end here since.",
            ),
            crash_suspects: builder.gauge(
                "crash_suspects",
                "Requests that were lost at back ends that ended and are not cleared, at any node.",
            ),
            crash_verdicts: builder.gauge(
                "crash_verdicts",
                "Requests that are held back because back ends end under them.",
            ),
            configuration_version: builder.gauge(
                "configuration_version",
                "Version of the configuration in force; 0 before the first.",
            ),
            requests_open: builder.gauge("requests_open", "Requests that are not answered yet."),
            input_held_bytes: builder.gauge(
                "input_held_bytes",
                "Memory that requests of callers hold, in bytes.",
            ),
            caller_connections: builder
                .gauge("caller_connections", "Connections that callers have open."),
            unread: builder.counters(
                "requests_unread",
                "code",
                "Requests refused before they were read completely, by error code.",
            ),
            backends: builder.gauge("backends", "Back ends that are listed."),
            freshness_ages: builder.gauges(
                "belief_age_milliseconds",
                "kind",
                "Time since the store was last known to hold what this node believes, in milliseconds; \
                 -1 before the first answer.",
            ),
            continuations: builder.counters(
                "stream_continuations",
                "end",
                "Streams that were to continue at another back end, by what became of them.",
            ),
            origin_records: builder.counters(
                "stream_records",
                "end",
                "Streams whose software version was recorded at other nodes, by whether one of these answered.",
            ),
            answer_ends: builder.counters(
                "answer_ends",
                "end",
                "Bodies of back ends' answers, of requests and items, that were read to their end, by how they ended.",
            ),
            process_checks: builder.counters(
                "process_checks",
                "evidence",
                "Answers whose end nothing marked, by what shows whether the process that sent them still runs.",
            ),
            software_versions: builder.gauges(
                "software_versions",
                "service",
                "Software versions of a service's back ends that were listed within the lifetime of streams.",
            ),
        }
    }

    /// Updates the ages of the copies of the object store.
    pub fn set_freshness_ages(&self, freshness: &StoreFreshness) {
        let ages = [
            ("configuration", &freshness.configuration),
            ("backends", &freshness.backends),
        ];
        for (kind, freshness) in ages {
            let age = freshness.age_ms().map_or(-1, |age| age as i64);
            let gauge = self.freshness_ages.get_or_create(&FreshnessLabels { kind });
            gauge.set(age);
        }
    }

    /// Counts what became of a stream that was to continue.
    pub fn continuation_ended(&self, end: ContinuationEnd) {
        let labels = EndLabels::new(end.label());
        self.continuations.get_or_create(&labels).inc();
    }

    /// Counts a record of what began a stream.
    pub fn origin_recorded(&self, end: RecordEnd) {
        let labels = EndLabels::new(end.label());
        self.origin_records.get_or_create(&labels).inc();
    }

    /// Counts an answer whose body was read to its end.
    pub fn answer_ended(&self, end: AnswerEnd) {
        let labels = EndLabels::new(end.label());
        self.answer_ends.get_or_create(&labels).inc();
    }

    /// Counts a check whether the process that sent an answer still runs.
    pub fn process_checked(&self, evidence: ProcessEvidence) {
        let labels = EvidenceLabels {
            evidence: evidence.label(),
        };
        self.process_checks.get_or_create(&labels).inc();
    }

    /// Sets the number of software versions of a service.
    pub fn set_software_versions(&self, service: &ServiceName, count: usize) {
        let labels = ServiceLabels {
            service: service.to_string(),
        };
        self.software_versions
            .get_or_create(&labels)
            .set(count as i64);
    }

    /// Counts the end of a request.
    pub fn request_ended(&self, service: &ServiceName, end: RequestEnd, age: Duration) {
        let labels = RequestLabels {
            service: service.to_string(),
            end: end.label(),
        };
        self.requests.get_or_create(&labels).inc();
        self.request_seconds.observe(age.as_secs_f64());
    }

    /// Counts a result of admission control.
    pub fn admission_ended(&self, service: &ServiceName, end: AdmissionEnd) {
        let labels = RequestLabels {
            service: service.to_string(),
            end: end.label(),
        };
        self.admissions.get_or_create(&labels).inc();
    }

    /// Records the age of a request at the first byte of its response.
    pub fn response_began(&self, age: Duration) {
        self.first_byte_seconds.observe(age.as_secs_f64());
    }

    /// Counts a send without a response to return to the caller.
    pub fn send_ended(&self, end: SendEnd) {
        self.sends
            .get_or_create(&EndLabels::new(send_label(end)))
            .inc();
    }

    /// Counts a request that was refused before it was read completely.
    pub fn request_unread(&self, code: ErrorCode) {
        let labels = CodeLabels {
            code: code.as_str(),
        };
        self.unread.get_or_create(&labels).inc();
    }

    /// Counts a submitted batch job.
    pub fn job_submitted(&self, accepted: bool) {
        let end = if accepted { "accepted" } else { "refused" };
        self.jobs.get_or_create(&EndLabels::new(end)).inc();
    }
}
