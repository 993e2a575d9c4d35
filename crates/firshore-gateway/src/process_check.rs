//! Checks whether the process that sent an answer still runs, for answers whose end nothing marks.

use crate::crash_monitor::CrashMonitor;
use firshore_adapter::backend::Backend;

/// What shows whether the process that sent an answer still runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessEvidence {
    /// It accepts connections, or nothing responds at its address.
    NotRefused,
    /// Its address refuses connections.
    Refuses,
    /// It was not asked: it has announced that it leaves, or is no longer listed.
    NotAsked,
}

impl ProcessEvidence {
    /// Returns whether the process runs, as far as the evidence shows.
    pub fn shows_running(self) -> bool {
        self != Self::Refuses
    }

    /// Returns the label of the evidence in metrics.
    pub(crate) fn label(self) -> &'static str {
        match self {
            Self::NotRefused => "not_refused",
            Self::Refuses => "refuses",
            Self::NotAsked => "not_asked",
        }
    }
}

/// Returns the evidence about the process of a back end.
pub(crate) async fn find_evidence(crashes: &CrashMonitor, backend: &Backend) -> ProcessEvidence {
    if !crashes.is_staying(backend) {
        return ProcessEvidence::NotAsked;
    }
    match crashes.has_exited(backend).await {
        true => ProcessEvidence::Refuses,
        false => ProcessEvidence::NotRefused,
    }
}
