//! Registers metrics and encodes them as text. The [`Builder`] takes each metric's name and meaning,
//! from which the reference page's table is generated too.
//!
//! ```
//! let mut builder = firshore_metrics::Builder::default();
//! let requests = builder.counter("requests", "Requests taken in.");
//! let set = builder.finish();
//! requests.inc();
//! assert!(set.encode().contains("firshore_requests_total 1"));
//! ```
#![deny(missing_docs, unsafe_code)]

pub use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
pub use prometheus_client::metrics::counter::Counter;
pub use prometheus_client::metrics::family::Family;
pub use prometheus_client::metrics::gauge::Gauge;
pub use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::{Metric, Registry};
use std::fmt;

/// Prefix of every metric's name.
const PREFIX: &str = "firshore";

/// Upper bounds of duration histogram buckets in seconds; they cover the latency targets of callers.
const SECONDS_BUCKETS: [f64; 14] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1.0, 2.0, 4.0, 8.0, 16.0,
];

/// Name and meaning of a metric, for the reference page.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MetricDescription {
    /// Name as scraped.
    pub name: String,
    /// `counter`, `gauge` or `histogram`.
    pub kind: &'static str,
    /// Labels, if any, separated by commas.
    pub labels: &'static str,
    /// What it measures, with its unit.
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
    fn register(
        &mut self,
        name: &str,
        kind: &'static str,
        labels: &'static str,
        meaning: &'static str,
        metric: impl Metric,
    ) {
        let help = meaning.trim_end_matches('.');
        self.registry.register(name, help, metric);
        let suffix = if kind == "counter" { "_total" } else { "" };
        self.descriptions.push(MetricDescription {
            name: format!("{PREFIX}_{name}{suffix}"),
            kind,
            labels,
            meaning,
        });
    }

    /// Registers a counter scraped as `firshore_{name}_total`.
    pub fn counter(&mut self, name: &str, meaning: &'static str) -> Counter {
        let counter = Counter::default();
        self.register(name, "counter", "", meaning, counter.clone());
        counter
    }

    /// Registers a counter for each set of labels.
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
        self.register(name, "counter", labels, meaning, family.clone());
        family
    }

    /// Registers a gauge scraped as `firshore_{name}`.
    pub fn gauge(&mut self, name: &str, meaning: &'static str) -> Gauge {
        let gauge = Gauge::default();
        self.register(name, "gauge", "", meaning, gauge.clone());
        gauge
    }

    /// Registers a gauge for each set of labels.
    pub fn gauges<L>(
        &mut self,
        name: &str,
        labels: &'static str,
        meaning: &'static str,
    ) -> Family<L, Gauge>
    where
        L: EncodeLabelSet + fmt::Debug + Clone + Eq + std::hash::Hash + Send + Sync + 'static,
    {
        let family = Family::default();
        self.register(name, "gauge", labels, meaning, family.clone());
        family
    }

    /// Registers a histogram of durations in seconds, scraped as `firshore_{name}`.
    pub fn seconds(&mut self, name: &str, meaning: &'static str) -> Histogram {
        let histogram = Histogram::new(SECONDS_BUCKETS);
        self.register(name, "histogram", "", meaning, histogram.clone());
        histogram
    }

    /// Returns the registered metrics, ready for encoding.
    pub fn finish(self) -> MetricSet {
        MetricSet {
            registry: self.registry,
            descriptions: self.descriptions,
        }
    }
}

/// Metrics that are encoded together.
pub struct MetricSet {
    registry: Registry,
    descriptions: Vec<MetricDescription>,
}

impl MetricSet {
    /// Returns all metrics in the Prometheus text format.
    pub fn encode(&self) -> String {
        let mut text = String::new();
        encode(&mut text, &self.registry).expect("writing to a string succeeds");
        text
    }

    /// Returns name and meaning of each metric.
    pub fn descriptions(&self) -> &[MetricDescription] {
        &self.descriptions
    }
}
