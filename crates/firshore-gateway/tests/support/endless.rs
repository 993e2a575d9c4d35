//! Peers that send bytes without end, as fast as they are read.

use super::answers::Received;
use firshore_adapter::backend::Backend;
use firshore_adapter::incarnation::{BackendName, Incarnation};
use firshore_stand_in::endless::EndlessServer;
use firshore_stand_in::watchdog;

/// Returns the entry of a back end that sends bytes without end, under a service of its own.
pub fn endless_entry(server: &EndlessServer) -> Backend {
    Backend {
        incarnation: Incarnation::named(BackendName::from("endless")),
        service: "endless".into(),
        address: server.address,
        zone: "here".into(),
        slots: 10,
        leaving: false,
        warm_up: None,
        software: None,
    }
}

/// Returns whether an answer is that of an ordinary back end.
pub fn is_ordinary(received: &Received) -> bool {
    matches!(received, Received::Complete(200, text) if text == "answer of b0")
}

/// Runs a test on a thread of its own: one whose thread never gets free could not detect that itself.
pub fn run_watched<T: Future<Output = ()>>(test: impl FnOnce() -> T + Send + 'static) {
    watchdog::run_watched(|| actix_rt::System::new().block_on(test()));
}
