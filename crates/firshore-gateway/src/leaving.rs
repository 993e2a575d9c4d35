//! Shutdown of a node: it announces that it leaves, accepts requests for a grace period, then stops accepting.

use std::future::Future;
use std::sync::OnceLock;
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// Phase of a node's shutdown.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Not shutting down.
    #[default]
    Serving,
    /// The node has announced that it leaves. It still accepts requests, and closes each connection after the
    /// next response.
    Announced,
    /// The node accepts nothing, closes idle connections and finishes the requests in flight.
    Closing,
}

/// Shutdown phase, shared by all components of the node.
#[derive(Debug, Default)]
pub struct Leaving {
    phase: watch::Sender<Phase>,
    /// When requests that are still in flight are aborted.
    stops_at: OnceLock<Instant>,
}

impl Leaving {
    /// Starts the shutdown of a node that stops at `stops_at` at the latest. Has no effect once it has started.
    pub fn begin_until(&self, stops_at: Instant) {
        self.stops_at.get_or_init(|| stops_at);
        self.begin();
    }

    /// Starts the shutdown of a node that may stop at any time. Has no effect once it has started.
    pub fn begin(&self) {
        self.advance(Phase::Announced);
    }

    /// Stops accepting connections and requests.
    pub fn close(&self) {
        self.advance(Phase::Closing);
    }

    fn advance(&self, next: Phase) {
        self.phase.send_if_modified(|phase| {
            let advances = *phase < next;
            *phase = (*phase).max(next);
            advances
        });
    }

    /// Returns whether the shutdown has started.
    pub fn is_leaving(&self) -> bool {
        *self.phase.borrow() != Phase::Serving
    }

    /// Returns the time until the node stops; `None` if the shutdown has not started.
    pub fn stops_in(&self, now: Instant) -> Option<Duration> {
        if !self.is_leaving() {
            return None;
        }
        let stops_at = self.stops_at.get();
        Some(stops_at.map_or(Duration::ZERO, |at| at.saturating_duration_since(now)))
    }

    /// Resolves once the node has reached `phase`.
    pub fn reached(&self, phase: Phase) -> impl Future<Output = ()> + use<> {
        let mut receiver = self.phase.subscribe();
        async move {
            // The sender is dropped only when the node ends.
            let _ = receiver.wait_for(|current| *current >= phase).await;
        }
    }
}
