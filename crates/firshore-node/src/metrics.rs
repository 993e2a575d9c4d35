//! Metrics of a node and their text response.

use crate::journal::Journal;
use crate::journal::status::JournalStatus;
use crate::memory;
use crate::runner::Runner;
use crate::runner::expiry::GiveUpReason;
use crate::runner::progress::RunEnd;
use crate::status_listener::StatusResponse;
use actix_http::StatusCode;
use firshore_gateway::gateway::Gateway;
use firshore_gateway::metrics::EndLabels;
use firshore_metrics::{
    Builder, Counter, EncodeLabelSet, Family, Gauge, MetricDescription, MetricSet,
};
use std::rc::Rc;
use std::time::Instant;

/// Metrics of the items that a node runs.
pub struct RunnerMetrics {
    runs: Family<EndLabels, Counter>,
    /// Runs that were preempted for online requests.
    pub preemptions: Counter,
    given_up: Family<ReasonLabels, Counter>,
}

/// Label of a reason for giving an item up.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ReasonLabels {
    reason: &'static str,
}

fn run_label(end: RunEnd) -> &'static str {
    match end {
        RunEnd::Whole => "whole",
        RunEnd::NotRun => "not_run",
        RunEnd::Broken => "broken",
        RunEnd::Failed => "failed",
        RunEnd::Impossible => "impossible",
        RunEnd::HeldBack => "held_back",
    }
}

impl RunnerMetrics {
    /// Registers the metrics.
    pub fn new(builder: &mut Builder) -> Self {
        Self {
            runs: builder.counters("runs", "end", "Runs of batch items, by how they ended."),
            preemptions: builder.counter(
                "preemptions",
                "Runs stopped so that online requests have room.",
            ),
            given_up: builder.counters(
                "items_given_up",
                "reason",
                "Batch items given up without a further run, by reason.",
            ),
        }
    }

    /// Counts an item that is given up without a further run.
    pub fn item_given_up(&self, reason: GiveUpReason) {
        let labels = ReasonLabels {
            reason: reason.label(),
        };
        self.given_up.get_or_create(&labels).inc();
    }

    /// Counts a run by how it ended.
    pub fn run_ended(&self, end: RunEnd) {
        self.runs
            .get_or_create(&EndLabels::new(run_label(end)))
            .inc();
    }
}

/// Metrics of the replica on a node's disk, updated when they are read.
pub struct JournalMetrics {
    leads: Gauge,
    term: Gauge,
    commit: Gauge,
    voters: Gauge,
    silent: Gauge,
    file_bytes: Gauge,
    jobs: Gauge,
    running: Gauge,
    memory: Family<PurposeLabels, Gauge>,
    resident: Gauge,
    standing: Family<StandingLabels, Gauge>,
    standing_age: Gauge,
}

/// Label of a journal status.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct StandingLabels {
    standing: &'static str,
}

/// Label of a use of memory.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct PurposeLabels {
    purpose: &'static str,
}

impl JournalMetrics {
    /// Registers the metrics.
    pub fn new(builder: &mut Builder) -> Self {
        Self {
            leads: builder.gauge(
                "journal_leads",
                "Whether this replica leads (1) or not (0).",
            ),
            term: builder.gauge("journal_term", "Term of the replica."),
            commit: builder.gauge("journal_commit", "Committed index of the replica."),
            voters: builder.gauge("journal_voters", "Replicas that vote, as known here."),
            silent: builder.gauge(
                "journal_silent",
                "On the leader: replicas silent for longer than the limit.",
            ),
            file_bytes: builder.gauge("journal_file_bytes", "Size of the database file in bytes."),
            jobs: builder.gauge("journal_jobs", "Batch jobs that are kept."),
            running: builder.gauge("items_running", "Batch items that this node runs."),
            memory: builder.gauges(
                "memory_used_bytes",
                "purpose",
                "Memory that is counted, by what it is used for, in bytes.",
            ),
            resident: builder.gauge(
                "memory_resident_bytes",
                "Memory of the process that is resident, in bytes.",
            ),
            standing: builder.gauges(
                "journal_standing",
                "standing",
                "What the journal does for its callers, as this node sees it (1), or why nothing.",
            ),
            standing_age: builder.gauge(
                "journal_standing_age_milliseconds",
                "Time since the journal's standing last changed.",
            ),
        }
    }

    fn refresh(&self, node: &JournalNode) {
        let status = node.journal.replica.status();
        self.leads.set(status.leads.into());
        self.term.set(status.term as i64);
        self.commit.set(status.commit as i64);
        self.voters.set(status.membership.voters().count() as i64);
        self.silent.set(status.unresponsive.len() as i64);
        self.file_bytes.set(status.file_bytes as i64);
        let state = node.journal.replica.applied_state();
        self.jobs.set(state.read().len() as i64);
        self.running.set(node.runner.running_count() as i64);
        let used = node.runner.memory_use();
        for (purpose, bytes) in used.by_purpose() {
            let gauge = self.memory.get_or_create(&PurposeLabels { purpose });
            gauge.set(bytes as i64);
        }
        // Keeps its last value if the system doesn't report it.
        if let Some(bytes) = memory::resident_bytes() {
            self.resident.set(bytes as i64);
        }
        let report = node.journal.status.borrow().current(Instant::now());
        self.standing_age.set(report.duration.as_millis() as i64);
        for status in JournalStatus::ALL {
            let standing = status.name();
            let gauge = self.standing.get_or_create(&StandingLabels { standing });
            gauge.set((status == report.status).into());
        }
    }
}

/// Journal and runner of a node with a disk.
pub struct JournalNode {
    /// Replicated journal of batch jobs.
    pub journal: Rc<Journal>,
    /// Runner of the journal's items.
    pub runner: Rc<Runner>,
}

/// All metrics of a node.
pub struct NodeMetrics {
    gateway: Rc<Gateway>,
    journal: Option<(JournalMetrics, Rc<JournalNode>)>,
    set: MetricSet,
}

impl NodeMetrics {
    /// Collects the metrics registered at `builder`, and those of the journal if the node has a disk.
    pub fn new(
        mut builder: Builder,
        gateway: Rc<Gateway>,
        journal: Option<Rc<JournalNode>>,
    ) -> Self {
        let journal = journal.map(|node| (JournalMetrics::new(&mut builder), node));
        Self {
            gateway,
            journal,
            set: builder.finish(),
        }
    }

    /// Returns name and help text of each metric.
    pub fn descriptions(&self) -> &[MetricDescription] {
        self.set.descriptions()
    }

    /// Returns the current values of all metrics in the OpenMetrics text format.
    pub fn response(&self) -> StatusResponse {
        self.gateway.refresh_metrics();
        if let Some((metrics, node)) = &self.journal {
            metrics.refresh(node);
        }
        StatusResponse {
            status: StatusCode::OK,
            text: self.set.encode(),
        }
    }
}
