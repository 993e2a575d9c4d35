//! What a node counts about requests, back ends and batch jobs.
//!
//! Labels are of few values: services, and the ends of requests, sends and runs.

use crate::attempts::SendEnd;
use crate::freshness::StoreFreshness;
use firshore_metrics::{Builder, Counter, EncodeLabelSet, Family, Gauge, Histogram};
use firshore_types::ids::ServiceName;
use std::time::Duration;

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// With a back end's answer.
    Answered,
    /// With the promise that it has not run.
    Refused,
    /// With an error that promises nothing.
    Failed,
    /// In the middle of its answer.
    BrokenOff,
    /// The caller left.
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

/// What became of a request that asked for room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionEnd {
    /// It was let in as it came.
    LetIn,
    /// It was let in after it had waited at the node.
    LetInLater,
    /// It was refused.
    Refused,
}

impl AdmissionEnd {
    fn label(self) -> &'static str {
        match self {
            Self::LetIn => "let_in",
            Self::LetInLater => "let_in_later",
            Self::Refused => "refused",
        }
    }
}

/// Labels of requests.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RequestLabels {
    service: String,
    end: &'static str,
}

/// Labels of what has an end only.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct EndLabels {
    end: &'static str,
}

impl EndLabels {
    /// Returns the labels of an end.
    pub fn new(end: &'static str) -> Self {
        Self { end }
    }
}

/// Labels of a belief.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct BeliefLabels {
    kind: &'static str,
}

/// Metrics of the part of a node that meets callers and back ends.
pub struct GatewayMetrics {
    requests: Family<RequestLabels, Counter>,
    request_seconds: Histogram,
    first_byte_seconds: Histogram,
    admissions: Family<RequestLabels, Counter>,
    sends: Family<EndLabels, Counter>,
    jobs: Family<EndLabels, Counter>,
    /// Requests of tenants that have used up their limit.
    pub requests_over_limit: Counter,
    /// Requests without a key that a tenant holds.
    pub requests_denied: Counter,
    /// Times a back end was ejected.
    pub ejections: Counter,
    /// Back ends that ended while they ran requests of this node.
    pub backends_crashed: Counter,
    /// Requests that were held back, as back ends end under them.
    pub requests_condemned: Counter,
    /// Requests that are not suspected any more, as they ran to a good end.
    pub suspects_cleared: Counter,
    /// Requests that were lost at back ends that ended.
    pub crash_suspects: Gauge,
    /// Requests that are held back.
    pub crash_verdicts: Gauge,
    /// Version of the configuration in force.
    pub configuration_version: Gauge,
    /// Requests that are open.
    pub requests_open: Gauge,
    /// Back ends that are listed.
    pub backends: Gauge,
    belief_ages: Family<BeliefLabels, Gauge>,
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
    /// Makes the metrics.
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
            requests_condemned: builder.counter(
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
            backends: builder.gauge("backends", "Back ends that are listed."),
            belief_ages: builder.gauges(
                "belief_age_milliseconds",
                "kind",
                "Time since the store was last known to hold what this node believes, in milliseconds; \
                 -1 before the first answer.",
            ),
        }
    }

    /// Sets how old the beliefs of a node are now.
    pub fn set_belief_ages(&self, beliefs: &StoreFreshness) {
        let ages = [
            ("configuration", &beliefs.configuration),
            ("backends", &beliefs.backends),
        ];
        for (kind, belief) in ages {
            let age = belief.age_ms().map_or(-1, |age| age as i64);
            let gauge = self.belief_ages.get_or_create(&BeliefLabels { kind });
            gauge.set(age);
        }
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

    /// Counts what became of a request that asked for room.
    pub fn admission_ended(&self, service: &ServiceName, end: AdmissionEnd) {
        let labels = RequestLabels {
            service: service.to_string(),
            end: end.label(),
        };
        self.admissions.get_or_create(&labels).inc();
    }

    /// Takes in that the first byte of an answer goes to its caller.
    pub fn answer_began(&self, age: Duration) {
        self.first_byte_seconds.observe(age.as_secs_f64());
    }

    /// Counts a send that gave no answer to pass on.
    pub fn send_ended(&self, end: SendEnd) {
        self.sends
            .get_or_create(&EndLabels::new(send_label(end)))
            .inc();
    }

    /// Counts a batch job that was handed in.
    pub fn job_handed_in(&self, accepted: bool) {
        let end = if accepted { "accepted" } else { "refused" };
        self.jobs.get_or_create(&EndLabels::new(end)).inc();
    }
}
