//! What a node counts, behind `/metrics`. The registry is built once, at the node's start.
//!
//! A new metric is a field of [`Metrics`], made by the [`Builder`] with its name and what it
//! means; the reference page's table is generated from the same call.

use firshore_metrics::{
    Builder, Counter, EncodeLabelSet, Family, Gauge, MetricDescription, MetricSet,
};
use firshore_types::error::ApiError;

/// Labels of [`Metrics::errors`].
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ErrorLabels {
    /// Code of the error.
    pub code: &'static str,
    /// Whether the request ran: `none`, `unknown` or `complete`.
    pub execution: &'static str,
}

/// Every metric of a node.
pub struct Metrics {
    /// Online requests taken in.
    pub requests: Counter,
    /// Errors sent to callers.
    pub errors: Family<ErrorLabels, Counter>,
    /// Requests whose caller left before the answer.
    pub cancelled: Counter,
    /// Attempts after the first at online requests.
    pub retries: Counter,
    /// Broken streams resumed at their next token.
    pub resumes: Counter,
    /// Batch items brought to a committed result by this node.
    pub batch_items: Counter,
    /// Revision of the configuration in force.
    pub revision: Gauge,
    /// Nodes seen alive.
    pub members_alive: Gauge,
    /// Rows of the machine list.
    pub machines: Gauge,
    set: MetricSet,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut builder = Builder::default();
        Self {
            requests: builder.counter("requests", "Online requests taken in."),
            errors: builder.counters(
                "errors",
                "code, execution",
                "Errors sent to callers, by code and by whether the request ran.",
            ),
            cancelled: builder
                .counter("cancelled", "Requests whose caller left before the answer."),
            retries: builder.counter("retries", "Attempts after the first at online requests."),
            resumes: builder.counter(
                "resumed_streams",
                "Broken streams resumed at their next token.",
            ),
            batch_items: builder.counter(
                "batch_items",
                "Batch items that this node brought to a committed result.",
            ),
            revision: builder.gauge(
                "configuration_revision",
                "Revision of the configuration in force on this node; 0 before the first.",
            ),
            members_alive: builder.gauge(
                "members_alive",
                "Nodes that this node sees alive, itself included.",
            ),
            machines: builder.gauge("machines", "Back ends on the machine list, last read."),
            set: builder.finish(),
        }
    }
}

impl Metrics {
    /// Counts an error sent to a caller.
    pub fn count_error(&self, error: &ApiError) {
        let labels = ErrorLabels {
            code: error.code.as_str(),
            execution: error.execution.header_value(),
        };
        self.errors.get_or_create(&labels).inc();
    }

    /// All metrics in the text format of Prometheus.
    pub fn encode(&self) -> String {
        self.set.encode()
    }

    /// Name and meaning of each metric.
    pub fn descriptions(&self) -> &[MetricDescription] {
        self.set.descriptions()
    }
}
