//! What a run of the simulation showed.

use super::measure::{BytesByPurpose, Durations, Traffic};

/// Counts and durations of one run.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// From a change's first node in force to each node, or from the node's start, return from a
    /// pause or the end of a restart where that is later.
    pub in_force: Durations,
    /// From a crash to each node of the same region that declares it.
    pub failure_detection: Durations,
    /// From a crash to each node of another region that learns of it, a cut included.
    pub failure_known_elsewhere: Durations,
    /// From a crash to each node of the same zone that declares it.
    pub failure_detection_in_zone: Durations,
    /// Nodes that ran and were declared failed, once for each incarnation.
    pub false_failures: u64,
    /// Nodes that went back to an earlier revision.
    pub reverted_revisions: u64,
    /// Nodes whose history was not the accepted one.
    pub divergent_histories: u64,
    /// Changes or snapshots refused by nodes.
    pub refusals: u64,
    /// Changes committed.
    pub changes: u64,
    /// Nodes killed.
    pub crashes: u64,
    /// Nodes restarted as planned.
    pub restarts: u64,
    /// Nodes paused.
    pub pauses: u64,
    /// Nodes that had run for some time at the end, without the newest revision.
    pub behind_at_end: u64,
    /// Pairs of nodes at the end of which one had a wrong opinion of the other.
    pub wrong_members_at_end: u64,
    /// Most watches of the object API at one time.
    pub most_watches: u64,
    /// Traffic by place over the measured time.
    pub traffic: Vec<Traffic>,
    /// Bytes sent over the measured time, by purpose.
    pub purposes: BytesByPurpose,
    /// Measured time in simulated seconds.
    pub measured_seconds: f64,
    /// Simulated seconds of the whole run.
    pub simulated_seconds: f64,
    /// Processor seconds of the whole run: state machines, codec, and the simulator itself.
    pub processor_seconds: f64,
    /// Resident bytes that the process gained.
    pub memory_bytes: f64,
    /// Mean length of a change's record in bytes.
    pub record_bytes: f64,
}

/// Bytes of headers of a TCP segment over IPv4, with timestamps.
const HEADER_BYTES: u64 = 52;

impl Outcome {
    /// Mean bytes a second that a node sends.
    pub fn sent_bytes_per_second(&self) -> f64 {
        let bytes: u64 = self.traffic.iter().map(|one| one.sent_bytes).sum();
        bytes as f64 / self.node_seconds()
    }

    /// Bytes a second that the busiest node sends.
    pub fn most_sent_bytes_per_second(&self) -> f64 {
        let most = self.traffic.iter().map(|one| one.sent_bytes).max();
        most.unwrap_or(0) as f64 / self.measured_seconds
    }

    /// Mean bytes a second that a node sends and receives, with headers of every segment.
    pub fn bytes_both_ways_per_second(&self) -> f64 {
        let bytes: u64 = self.traffic.iter().map(both_ways).sum();
        bytes as f64 / self.node_seconds()
    }

    /// The same for the busiest node.
    pub fn most_bytes_both_ways_per_second(&self) -> f64 {
        let most = self.traffic.iter().map(both_ways).max();
        most.unwrap_or(0) as f64 / self.measured_seconds
    }

    /// Mean frames a second that a node sends.
    pub fn sent_frames_per_second(&self) -> f64 {
        let frames: u64 = self.traffic.iter().map(|one| one.sent_frames).sum();
        frames as f64 / self.node_seconds()
    }

    /// Share of one core that a node takes, in percent.
    pub fn core_percent(&self) -> f64 {
        let nodes = self.traffic.len() as f64;
        100.0 * self.processor_seconds / (self.simulated_seconds * nodes)
    }

    /// Resident megabytes a node.
    pub fn memory_megabytes(&self) -> f64 {
        self.memory_bytes / self.traffic.len() as f64 / 1e6
    }

    fn node_seconds(&self) -> f64 {
        self.measured_seconds * self.traffic.len() as f64
    }

    /// Rules that the run broke, one sentence each.
    pub fn broken_rules(&self) -> Vec<String> {
        let rules = [
            ("false failures", self.false_failures),
            ("reverted revisions", self.reverted_revisions),
            ("divergent histories", self.divergent_histories),
            ("nodes behind at the end", self.behind_at_end),
            (
                "wrong opinions of members at the end",
                self.wrong_members_at_end,
            ),
        ];
        rules
            .into_iter()
            .filter(|(_, count)| *count > 0)
            .map(|(rule, count)| format!("{rule}: {count}"))
            .collect()
    }
}

fn both_ways(traffic: &Traffic) -> u64 {
    let frames = traffic.sent_frames + traffic.received_frames;
    traffic.sent_bytes + traffic.received_bytes + frames * HEADER_BYTES
}
