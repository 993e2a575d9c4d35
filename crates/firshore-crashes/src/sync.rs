//! Brings two tables to the same state: each tells the other what it has not told it yet.

use crate::report::{CrashReport, TableCursor};
use crate::table::{CrashTable, TableChange};
use firshore_types::ids::NodeName;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::time::Instant;

/// What a node tells a peer, and from where on it asks for the peer's news.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashSyncRequest {
    /// How far the asker knows the peer's table.
    #[serde(rename = "k", default, skip_serializing_if = "Option::is_none")]
    pub known: Option<TableCursor>,
    /// What the asker has not told yet.
    #[serde(rename = "r")]
    pub report: CrashReport,
}

/// What the peer answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashSyncResponse {
    /// How far the asker knows the peer's table with this.
    #[serde(rename = "k")]
    pub cursor: TableCursor,
    /// What the asker did not know.
    #[serde(rename = "r")]
    pub report: CrashReport,
}

#[derive(Clone, Copy, Debug, Default)]
struct PeerProgress {
    /// Position of the own table up to which the peer was told.
    told: u64,
    known: Option<TableCursor>,
}

/// How far the peers of a node are.
#[derive(Debug, Default)]
pub struct CrashSync {
    peers: HashMap<NodeName, PeerProgress>,
}

/// Answers a peer.
pub fn respond(
    table: &mut CrashTable,
    now: Instant,
    question: &CrashSyncRequest,
) -> (CrashSyncResponse, Vec<TableChange>) {
    let changes = table.merge(now, &question.report);
    let cursor = table.cursor();
    let known = question.known.filter(|known| known.epoch == cursor.epoch);
    let report = table.changes_after(now, known.map_or(0, |known| known.position));
    let answer = CrashSyncResponse {
        cursor: TableCursor {
            position: report.position,
            ..cursor
        },
        report,
    };
    (answer, changes)
}

impl CrashSync {
    fn progress(&self, peer: &NodeName) -> PeerProgress {
        self.peers.get(peer).copied().unwrap_or_default()
    }

    /// Returns whether a peer was not told yet what this node knows.
    pub fn has_unreported(&self, peer: &NodeName, table: &CrashTable) -> bool {
        self.progress(peer).told < table.cursor().position
    }

    /// Returns whether a peer whose table is said to be at `cursor` knows or lacks something. A table in which
    /// nothing stands has no cursor.
    pub fn differs(
        &self,
        peer: &NodeName,
        cursor: Option<TableCursor>,
        table: &CrashTable,
    ) -> bool {
        match cursor {
            Some(cursor) => self.progress(peer).known != Some(cursor),
            None => !table.is_empty(),
        }
    }

    /// Returns what to ask a peer.
    pub fn request(&self, now: Instant, peer: &NodeName, table: &CrashTable) -> CrashSyncRequest {
        let progress = self.progress(peer);
        CrashSyncRequest {
            known: progress.known,
            report: table.changes_after(now, progress.told),
        }
    }

    /// Takes in a peer's answer to a question that told the own table up to `told`.
    pub fn apply_response(
        &mut self,
        now: Instant,
        peer: &NodeName,
        told: u64,
        answer: &CrashSyncResponse,
        table: &mut CrashTable,
    ) -> Vec<TableChange> {
        let before = self.progress(peer);
        let is_same = before
            .known
            .is_none_or(|known| known.epoch == answer.cursor.epoch);
        let knew_all = told == table.cursor().position;
        let changes = table.merge(now, &answer.report);
        let told = match (is_same, knew_all) {
            // It has started again and knows only what was just told.
            (false, _) => 0,
            // What it has just told itself need not be told back.
            (true, true) => table.cursor().position,
            (true, false) => told,
        };
        let progress = PeerProgress {
            told,
            known: Some(answer.cursor),
        };
        self.peers.insert(peer.clone(), progress);
        changes
    }
}
