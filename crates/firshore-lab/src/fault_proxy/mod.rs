//! A TCP proxy that injects faults: delay, jitter, bandwidth, silence, cuts, refusal.
//!
//! It forwards bytes and knows no protocol. Faults are set while it runs, from code or over HTTP
//! (`firshore-lab proxy`). `docs/design/fault-proxy.md` says which failure each fault stands for.

pub mod command;
mod connection;
mod host;

pub use host::{FaultProxy, ProxyHost, ProxyStatistics};

use serde::{Deserialize, Serialize};

/// How a connection is ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CutKind {
    /// With a reset, as when a process is killed or a machine restarts.
    Reset,
    /// With an ordinary close, as when a process exits or a middlebox gives up.
    Close,
}

/// Ends a connection in the middle of what it carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cut {
    /// Bytes still let through, counted from when the fault was set.
    pub after_bytes: u64,
    /// How it ends.
    pub kind: CutKind,
}

/// Faults of one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct DirectionFaults {
    /// Added to the time of each piece; pieces keep their order within a connection.
    pub delay_microseconds: u64,
    /// Random addition of up to this much.
    pub jitter_microseconds: u64,
    /// Most bytes a second on each connection.
    pub bytes_per_second: Option<u64>,
    /// Holds everything back until the fault is lifted.
    pub silent: bool,
    /// Ends the connection.
    pub cut: Option<Cut>,
}

/// Faults of a proxy; absent fields return to normal.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ProxyFaults {
    /// Closes the listener: new connections are refused, open ones go on.
    pub refuse: bool,
    /// Accepts new connections and never answers, nor connects to the upstream.
    pub half_open: bool,
    /// From the caller to the upstream.
    pub requests: DirectionFaults,
    /// From the upstream to the caller.
    pub answers: DirectionFaults,
    /// The two directions' faults apply to each so-many-th connection only. With a delay,
    /// messages on different connections overtake one another.
    pub every: Option<u64>,
    /// Cuts made at most; without a number all that fall due.
    pub cuts: Option<u32>,
}

impl ProxyFaults {
    /// The same delay and jitter in both directions.
    pub fn delay(delay_microseconds: u64, jitter_microseconds: u64) -> Self {
        let direction = DirectionFaults {
            delay_microseconds,
            jitter_microseconds,
            ..DirectionFaults::default()
        };
        Self {
            requests: direction,
            answers: direction,
            ..Self::default()
        }
    }

    /// Ends connections once so many bytes of answers have passed.
    pub fn cut_answers(after_bytes: u64, kind: CutKind) -> Self {
        let answers = DirectionFaults {
            cut: Some(Cut { after_bytes, kind }),
            ..DirectionFaults::default()
        };
        Self {
            answers,
            ..Self::default()
        }
    }

    /// Lets requests through and loses their answers: the connection closes in place of the
    /// first byte.
    pub fn lose_answers() -> Self {
        Self::cut_answers(0, CutKind::Close)
    }

    /// Holds back everything in both directions, as a partition does until it heals.
    pub fn partition() -> Self {
        let direction = DirectionFaults {
            silent: true,
            ..DirectionFaults::default()
        };
        Self {
            requests: direction,
            answers: direction,
            ..Self::default()
        }
    }
}
