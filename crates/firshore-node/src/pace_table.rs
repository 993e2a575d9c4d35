//! Paces that back ends reported, forwarded once to each client. No I/O.
//!
//! A single node receives a back end's pace every few seconds, all nodes together several times per second. A pace
//! is stale soon, so that each report is sent with a client's next query and not again.

use firshore_adapter::backend::Pace;
use firshore_adapter::incarnation::BackendName;
use firshore_gateway::fleet::PaceReport;
use firshore_types::ids::NodeName;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Age at which a pace is stale and no longer forwarded.
const PACE_LIFETIME: Duration = Duration::from_millis(500);

/// Time after the last query at which a client's state is removed.
const CLIENT_LIFETIME: Duration = Duration::from_secs(5);

/// Pace of a back end as sent between nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendPace {
    /// Name of the back end.
    #[serde(rename = "b")]
    pub backend: String,
    /// Pace in hundredths: at 250, work takes 2.5 times as long as typical.
    #[serde(rename = "p")]
    pub hundredths: u32,
}

/// Origin of paces, and client of the table.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum PaceSource {
    /// A node that reports its own paces.
    Node(NodeName),
    /// The journal's leader, from which a relay receives paces.
    Leader,
}

struct ReceivedPace {
    pace: Pace,
    received_at: Instant,
    sequence: u64,
    source: PaceSource,
}

/// Last query of a client.
struct ClientState {
    /// Sequence number up to which paces were sent.
    sequence: u64,
    queried_at: Instant,
}

/// Latest reported pace of each back end.
#[derive(Default)]
pub struct PaceTable {
    paces: HashMap<BackendName, ReceivedPace>,
    clients: HashMap<PaceSource, ClientState>,
    sequence: u64,
}

impl PaceTable {
    /// Records paces received from `source`. Values that are no valid pace are ignored.
    pub fn record(&mut self, now: Instant, source: &PaceSource, paces: Vec<BackendPace>) {
        for reported in paces {
            let Some(pace) = Pace::from_hundredths(reported.hundredths) else {
                continue;
            };
            self.sequence += 1;
            let received = ReceivedPace {
                pace,
                received_at: now,
                sequence: self.sequence,
                source: source.clone(),
            };
            self.paces
                .insert(BackendName::from(reported.backend), received);
        }
    }

    /// Returns the paces from other sources that were recorded since the client's last query.
    pub fn take_updates(&mut self, now: Instant, client: &PaceSource) -> Vec<BackendPace> {
        self.remove_expired(now);
        let state = ClientState {
            sequence: self.sequence,
            queried_at: now,
        };
        let previous = self.clients.insert(client.clone(), state);
        let sent = previous.map_or(0, |previous| previous.sequence);
        let paces = self.paces.iter();
        let updates =
            paces.filter(|(_, received)| received.sequence > sent && received.source != *client);
        updates
            .map(|(backend, received)| BackendPace {
                backend: backend.as_str().to_owned(),
                hundredths: received.pace.hundredths(),
            })
            .collect()
    }

    fn remove_expired(&mut self, now: Instant) {
        let age = |at: Instant| now.saturating_duration_since(at);
        self.paces
            .retain(|_, received| age(received.received_at) < PACE_LIFETIME);
        self.clients
            .retain(|_, client| age(client.queried_at) < CLIENT_LIFETIME);
    }
}

/// Converts paces into their wire form.
pub fn paces_to_wire(reports: Vec<PaceReport>) -> Vec<BackendPace> {
    let paces = reports.into_iter().map(|report| BackendPace {
        backend: report.backend.as_str().to_owned(),
        hundredths: report.pace.hundredths(),
    });
    paces.collect()
}

/// Converts paces from their wire form, without invalid values.
pub fn paces_from_wire(paces: Vec<BackendPace>) -> Vec<PaceReport> {
    let reports = paces.into_iter().filter_map(|reported| {
        Some(PaceReport {
            backend: BackendName::from(reported.backend),
            pace: Pace::from_hundredths(reported.hundredths)?,
        })
    });
    reports.collect()
}
