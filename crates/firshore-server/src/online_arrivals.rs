//! Tells an engine's owner that an online request is on its way there, so that batch items make
//! room while the request travels rather than after a load report has come in.
//!
//! A lost notice costs time only: the owner sees the request in the engine's load, or by an item
//! that the engine preempted.

use crate::batch_runner::ownership;
use crate::shared::Shared;
use firshore_protocol::message::Request;
use firshore_types::ids::MachineName;
use parking_lot::Mutex;
use std::collections::HashMap;
use std::sync::OnceLock;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

/// Least time between two notices about one engine, in milliseconds.
const NOTICE_INTERVAL_MILLISECONDS: u64 = 100;

/// Notices sent and received. Its lock is a leaf: nothing else is locked while it is held.
#[derive(Debug, Default)]
pub struct OnlineArrivals {
    noticed_at: Mutex<HashMap<MachineName, u64>>,
    owner: OnceLock<UnboundedSender<MachineName>>,
}

impl OnlineArrivals {
    /// The receiving end, for this node's batch runner; there is one a node.
    pub fn listen(&self) -> UnboundedReceiver<MachineName> {
        let (sender, receiver) = unbounded_channel();
        let _ = self.owner.set(sender);
        receiver
    }

    /// Takes in that an online request is on its way to an engine that this node may own.
    pub fn received(&self, engine: MachineName) {
        if let Some(owner) = self.owner.get() {
            let _ = owner.send(engine);
        }
    }

    fn is_due(&self, engine: &MachineName, now: u64) -> bool {
        let mut noticed_at = self.noticed_at.lock();
        if let Some(at) = noticed_at.get_mut(engine) {
            let due = now.saturating_sub(*at) >= NOTICE_INTERVAL_MILLISECONDS;
            if due {
                *at = now;
            }
            return due;
        }
        noticed_at.retain(|_, at| now.saturating_sub(*at) < NOTICE_INTERVAL_MILLISECONDS);
        noticed_at.insert(engine.clone(), now);
        true
    }
}

/// Notes that an online request is about to be sent to `engine`.
pub fn sending(shared: &Shared, engine: &MachineName) {
    if !shared.online_arrivals.is_due(engine, shared.clock.now()) {
        return;
    }
    let Some(owner) = ownership::owner_of(shared, engine) else {
        return;
    };
    if owner.instance == shared.members.lock().own().instance {
        shared.online_arrivals.received(engine.clone());
    } else {
        let notice = Request::OnlineArrival(engine.clone());
        shared.peers.notify(owner.peer_address, notice);
    }
}
