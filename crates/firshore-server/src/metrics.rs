//! What a node counts, behind `/metrics`. The registry is built once, at the node's start.
//!
//! A new metric is a field of [`Metrics`], made by the [`Builder`] with its name and what it
//! means; the reference page's table is generated from the same call.

use firshore_types::error::ApiError;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::{Metric, Registry};
use std::fmt;

/// Prefix of every metric's name.
const PREFIX: &str = "firshore";

/// Name and meaning of a metric, for the reference page.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MetricDescription {
    /// Name as scraped.
    pub name: String,
    /// `counter` or `gauge`.
    pub kind: &'static str,
    /// Labels, if any, separated by commas.
    pub labels: &'static str,
    /// What it counts, with its unit.
    pub meaning: &'static str,
}

/// Registers metrics and keeps their descriptions.
pub struct Builder {
    registry: Registry,
    descriptions: Vec<MetricDescription>,
}

impl Default for Builder {
    fn default() -> Self {
        Self {
            registry: Registry::with_prefix(PREFIX),
            descriptions: Vec::new(),
        }
    }
}

impl Builder {
    fn register(&mut self, description: MetricDescription, metric: impl Metric) {
        let name = description.name.trim_start_matches(PREFIX);
        let name = name.trim_start_matches('_').trim_end_matches("_total");
        let help = description.meaning.trim_end_matches('.');
        self.registry.register(name, help, metric);
        self.descriptions.push(description);
    }

    /// A counter scraped as `firshore_{name}_total`.
    pub fn counter(&mut self, name: &str, meaning: &'static str) -> Counter {
        let counter = Counter::default();
        let description = MetricDescription {
            name: format!("{PREFIX}_{name}_total"),
            kind: "counter",
            labels: "",
            meaning,
        };
        self.register(description, counter.clone());
        counter
    }

    /// A counter for each set of labels.
    pub fn counters<L>(
        &mut self,
        name: &str,
        labels: &'static str,
        meaning: &'static str,
    ) -> Family<L, Counter>
    where
        L: EncodeLabelSet + fmt::Debug + Clone + Eq + std::hash::Hash + Send + Sync + 'static,
    {
        let family = Family::default();
        let description = MetricDescription {
            name: format!("{PREFIX}_{name}_total"),
            kind: "counter",
            labels,
            meaning,
        };
        self.register(description, family.clone());
        family
    }

    /// A gauge scraped as `firshore_{name}`.
    pub fn gauge(&mut self, name: &str, meaning: &'static str) -> Gauge {
        let gauge = Gauge::default();
        let description = MetricDescription {
            name: format!("{PREFIX}_{name}"),
            kind: "gauge",
            labels: "",
            meaning,
        };
        self.register(description, gauge.clone());
        gauge
    }
}

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
    registry: Registry,
    descriptions: Vec<MetricDescription>,
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
            registry: builder.registry,
            descriptions: builder.descriptions,
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
        let mut text = String::new();
        encode(&mut text, &self.registry).expect("writing to a string succeeds");
        text
    }

    /// Name and meaning of each metric.
    pub fn descriptions(&self) -> &[MetricDescription] {
        &self.descriptions
    }
}
