//! Serialized form of the crash table's entries.

use crate::fingerprint::{PartFingerprint, RequestFingerprint};
use firshore_adapter::incarnation::StartTime;
use serde::{Deserialize, Serialize};

/// Position in the sequence of changes of a node's table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableCursor {
    /// Chosen at random when the node starts; a restarted node counts from 0 in a new epoch.
    #[serde(rename = "e")]
    pub epoch: u64,
    /// Number of changes so far.
    #[serde(rename = "p")]
    pub position: u64,
}

/// A run of a request that was lost when its back end exited.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LostRun {
    /// Fingerprint of the request.
    #[serde(rename = "r")]
    pub fingerprint: RequestFingerprint,
    /// Bytes of the response received before the exit.
    #[serde(rename = "n")]
    pub reached: u64,
    /// Parts of its prompt, in order, that may have caused the exit. None if the run had got past its first event.
    #[serde(rename = "d", default, skip_serializing_if = "Vec::is_empty")]
    pub parts: Vec<PartFingerprint>,
}

/// An exit of a back end's process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedExit {
    /// Name of the back end.
    #[serde(rename = "b")]
    pub backend: String,
    /// Start time of the exited process, if known.
    #[serde(rename = "s", default, skip_serializing_if = "Option::is_none")]
    pub started: Option<StartTime>,
    /// Milliseconds since the exit.
    #[serde(rename = "a")]
    pub age: u64,
    /// Runs that were lost there.
    #[serde(rename = "l")]
    pub lost: Vec<LostRun>,
}

/// A request that completed successfully.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedCompletion {
    /// Fingerprint of the request.
    #[serde(rename = "r")]
    pub fingerprint: RequestFingerprint,
    /// Milliseconds since the completion.
    #[serde(rename = "a")]
    pub age: u64,
}

/// A part of prompts with which a run got past its first event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedPart {
    /// Fingerprint of the part.
    #[serde(rename = "d")]
    pub part: PartFingerprint,
    /// Milliseconds since that run.
    #[serde(rename = "a")]
    pub age: u64,
}

/// A range of a table's changes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Exits of back ends.
    #[serde(rename = "e", default, skip_serializing_if = "Vec::is_empty")]
    pub ends: Vec<ReportedExit>,
    /// Requests that completed although they had been lost at exits before.
    #[serde(rename = "c", default, skip_serializing_if = "Vec::is_empty")]
    pub completions: Vec<ReportedCompletion>,
    /// Parts that were cleared although they had been at exits before.
    #[serde(rename = "d", default, skip_serializing_if = "Vec::is_empty")]
    pub cleared_parts: Vec<ReportedPart>,
    /// Position of the sender's table up to which the report is complete.
    #[serde(rename = "p")]
    pub position: u64,
}
