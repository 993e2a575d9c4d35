//! What nodes tell each other, as it travels.

use crate::fingerprint::RequestFingerprint;
use firshore_adapter::incarnation::StartTime;
use serde::{Deserialize, Serialize};

/// How far a table is, as its holder counts its changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableCursor {
    /// Drawn at the holder's start: one that has started again counts anew.
    #[serde(rename = "e")]
    pub epoch: u64,
    /// Changes so far.
    #[serde(rename = "p")]
    pub position: u64,
}

/// A request that was lost at a back end that ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LostRun {
    /// Request.
    #[serde(rename = "r")]
    pub fingerprint: RequestFingerprint,
    /// Bytes of its answer that had arrived.
    #[serde(rename = "n")]
    pub reached: u64,
}

/// A back end that ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedExit {
    /// Back end.
    #[serde(rename = "b")]
    pub backend: String,
    /// Start of the process that ended, where it is known.
    #[serde(rename = "s", default, skip_serializing_if = "Option::is_none")]
    pub started: Option<StartTime>,
    /// Milliseconds since it ended.
    #[serde(rename = "a")]
    pub age: u64,
    /// Requests that were lost there.
    #[serde(rename = "l")]
    pub lost: Vec<LostRun>,
}

/// A request that has run to a good end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedCompletion {
    /// Request.
    #[serde(rename = "r")]
    pub print: RequestFingerprint,
    /// Milliseconds since then.
    #[serde(rename = "a")]
    pub age: u64,
}

/// A part of a table.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Back ends that ended.
    #[serde(rename = "e", default, skip_serializing_if = "Vec::is_empty")]
    pub ends: Vec<ReportedExit>,
    /// Requests that have run to a good end although back ends had ended under them.
    #[serde(rename = "c", default, skip_serializing_if = "Vec::is_empty")]
    pub completions: Vec<ReportedCompletion>,
    /// Position of the teller's table up to which this tells everything.
    #[serde(rename = "p")]
    pub position: u64,
}
