//! Synchronizes the tables of two nodes: each sends the changes that the other has not received yet.

use crate::report::{CrashReport, TableCursor};
use crate::table::{CrashTable, TableChange};
use firshore_types::ids::NodeName;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::time::Instant;

/// Reports changes to a peer and requests the peer's changes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashSyncRequest {
    /// Cursor of the peer's table up to which the sender has received changes.
    #[serde(rename = "k", default, skip_serializing_if = "Option::is_none")]
    pub known: Option<TableCursor>,
    /// Changes that the sender has not reported to this peer yet.
    #[serde(rename = "r")]
    pub report: CrashReport,
}

/// Response of the peer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashSyncResponse {
    /// Cursor of the peer's table up to which `report` is complete.
    #[serde(rename = "k")]
    pub cursor: TableCursor,
    /// Changes after the cursor in the request.
    #[serde(rename = "r")]
    pub report: CrashReport,
}

#[derive(Clone, Copy, Debug, Default)]
struct PeerProgress {
    /// Position of the local table up to which changes were reported to the peer.
    reported: u64,
    /// Cursor of the peer's table up to which its changes were received.
    received: Option<TableCursor>,
}

/// Synchronization progress with each peer of a node.
#[derive(Debug, Default)]
pub struct CrashSync {
    peers: HashMap<NodeName, PeerProgress>,
}

/// Merges a peer's report and returns the response, with the changes to the local table.
pub fn respond(
    table: &mut CrashTable,
    now: Instant,
    request: &CrashSyncRequest,
) -> (CrashSyncResponse, Vec<TableChange>) {
    let changes = table.merge(now, &request.report);
    let cursor = table.cursor();
    let known = request.known.filter(|known| known.epoch == cursor.epoch);
    let report = table.changes_after(now, known.map_or(0, |known| known.position));
    let response = CrashSyncResponse {
        cursor: TableCursor {
            position: report.position,
            ..cursor
        },
        report,
    };
    (response, changes)
}

impl CrashSync {
    fn progress(&self, peer: &NodeName) -> PeerProgress {
        self.peers.get(peer).copied().unwrap_or_default()
    }

    /// Returns whether the local table has changes that were not reported to a peer.
    pub fn has_unreported(&self, peer: &NodeName, table: &CrashTable) -> bool {
        self.progress(peer).reported < table.cursor().position
    }

    /// Returns whether a peer's table may differ from what this node received and reported. `cursor` is the
    /// peer's current position; an empty table has none.
    pub fn differs(
        &self,
        peer: &NodeName,
        cursor: Option<TableCursor>,
        table: &CrashTable,
    ) -> bool {
        match cursor {
            Some(cursor) => self.progress(peer).received != Some(cursor),
            None => !table.is_empty(),
        }
    }

    /// Returns the next request to a peer.
    pub fn request(&self, now: Instant, peer: &NodeName, table: &CrashTable) -> CrashSyncRequest {
        let progress = self.progress(peer);
        CrashSyncRequest {
            known: progress.received,
            report: table.changes_after(now, progress.reported),
        }
    }

    /// Merges a peer's response to a request that reported the local table up to position `reported`.
    pub fn apply_response(
        &mut self,
        now: Instant,
        peer: &NodeName,
        reported: u64,
        response: &CrashSyncResponse,
        table: &mut CrashTable,
    ) -> Vec<TableChange> {
        let previous = self.progress(peer);
        let is_same_epoch = previous
            .received
            .is_none_or(|received| received.epoch == response.cursor.epoch);
        let was_complete = reported == table.cursor().position;
        let changes = table.merge(now, &response.report);
        let reported = match (is_same_epoch, was_complete) {
            // The peer restarted: it has only the changes of the last report.
            (false, _) => 0,
            // The changes just merged came from the peer itself and are not reported back.
            (true, true) => table.cursor().position,
            (true, false) => reported,
        };
        let progress = PeerProgress {
            reported,
            received: Some(response.cursor),
        };
        self.peers.insert(peer.clone(), progress);
        changes
    }
}
