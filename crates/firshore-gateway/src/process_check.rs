//! Determines whether the process that sent an answer still runs, for answers whose end nothing marks.
//!
//! A process that exits closes its connections in an orderly way, too. Only what shows that this process runs counts
//! as evidence for it: whether it was expected to exit is of no account, and no response is no evidence.

use crate::fleet::Fleet;
use firshore_adapter::backend::Backend;
use firshore_exchange::exchange::{self, ProbeResponse};
use std::cell::RefCell;
use std::time::Duration;

/// Time in which a process that exits closes all its sockets.
const EXIT_TIME: Duration = Duration::from_millis(5);

/// Timeout of one connection.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// Maximum number of connections: a link that loses packets may lose one of the first.
const MAX_PROBES: u32 = 3;

/// Maximum time from the end of an answer to the response. After a longer one, this node was held up, and another
/// process may have taken the address meanwhile.
const MAX_CHECK_TIME: Duration = Duration::from_secs(1);

/// What shows whether the process that sent an answer still runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessEvidence {
    /// Its address accepts connections, and no other process is known to have taken it.
    Accepts,
    /// Its address refuses connections.
    Refuses,
    /// Nothing responds at its address.
    Silent,
    /// This node was held up during the check.
    Late,
    /// A later start of its back end is listed.
    StartedAgain,
    /// A back end that was listed later has its address.
    AddressTaken,
}

impl ProcessEvidence {
    /// Returns whether the process certainly runs.
    pub fn shows_running(self) -> bool {
        self == Self::Accepts
    }

    /// Returns the label of the evidence in metrics.
    pub(crate) fn label(self) -> &'static str {
        match self {
            Self::Accepts => "accepts",
            Self::Refuses => "refuses",
            Self::Silent => "silent",
            Self::Late => "late",
            Self::StartedAgain => "started_again",
            Self::AddressTaken => "address_taken",
        }
    }
}

/// Returns the evidence about the process of a back end whose answer has just ended.
pub(crate) async fn find_evidence(fleet: &RefCell<Fleet>, backend: &Backend) -> ProcessEvidence {
    let ended_at = firshore_clock::now();
    actix_rt::time::sleep(EXIT_TIME).await;
    let response = probe(backend).await;
    // The listing is read last, as it may change during the check.
    let fleet = fleet.borrow();
    if fleet.has_started_again(&backend.incarnation) {
        return ProcessEvidence::StartedAgain;
    }
    if fleet.has_successor(backend) {
        return ProcessEvidence::AddressTaken;
    }
    match response {
        ProbeResponse::Refused => ProcessEvidence::Refuses,
        ProbeResponse::Silent => ProcessEvidence::Silent,
        ProbeResponse::Accepted if firshore_clock::elapsed(ended_at) > MAX_CHECK_TIME => {
            ProcessEvidence::Late
        }
        ProbeResponse::Accepted => ProcessEvidence::Accepts,
    }
}

/// Opens connections to a back end until one gets a response.
async fn probe(backend: &Backend) -> ProbeResponse {
    for _ in 0..MAX_PROBES {
        let response = exchange::probe(backend.address, PROBE_TIMEOUT).await;
        if response != ProbeResponse::Silent {
            return response;
        }
    }
    ProbeResponse::Silent
}
