//! A node's way out: it says that it leaves, goes on accepting for a short grace, then closes.

use std::future::Future;
use tokio::sync::watch;

/// How far the node is on its way out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// It stays.
    #[default]
    Serving,
    /// It said that it leaves. It still accepts requests and ends each connection with the
    /// next answer.
    Announced,
    /// It accepts nothing, closes idle connections and finishes what runs.
    Closing,
}

/// The phase, shared by all parts of the node.
#[derive(Debug, Default)]
pub struct Leaving {
    phase: watch::Sender<Phase>,
}

impl Leaving {
    /// Asks the node to leave. Asking again changes nothing.
    pub fn begin(&self) {
        self.advance(Phase::Announced);
    }

    /// Stops accepting.
    pub fn close(&self) {
        self.advance(Phase::Closing);
    }

    fn advance(&self, next: Phase) {
        self.phase.send_if_modified(|phase| {
            let forward = *phase < next;
            *phase = (*phase).max(next);
            forward
        });
    }

    /// Whether the node has been asked to leave.
    pub fn is_leaving(&self) -> bool {
        *self.phase.borrow() != Phase::Serving
    }

    /// Resolves once the node has reached `phase`.
    pub fn reached(&self, phase: Phase) -> impl Future<Output = ()> + use<> {
        let mut receiver = self.phase.subscribe();
        async move {
            // The sender lives as long as the node.
            let _ = receiver.wait_for(|now| *now >= phase).await;
        }
    }
}
