//! Drives the membership state machine over the peers protocol.

use crate::shared::Shared;
use firshore_membership::member::MemberState;
use firshore_membership::membership::{Input, MemberChange, Output};
use firshore_membership::message::Envelope;
use firshore_membership::timing::TICK_MILLISECONDS;
use firshore_protocol::message::Request;
use slog::{info, o, warn};
use std::sync::Arc;
use std::time::Duration;

/// Ticks until the node ends.
pub async fn run(shared: Arc<Shared>) {
    loop {
        step(&shared, Input::Tick);
        actix_rt::time::sleep(Duration::from_millis(TICK_MILLISECONDS)).await;
    }
}

/// Takes in a message from an authenticated peer.
pub fn received(shared: &Shared, envelope: Envelope) {
    step(shared, Input::Received(envelope));
}

/// Tells the others that this node stops soon.
pub fn leave(shared: &Shared) {
    step(shared, Input::Leave);
}

fn step(shared: &Shared, input: Input) {
    let outputs = shared.members.lock().step(shared.clock.now(), input);
    for output in outputs {
        match output {
            Output::Send { to, envelope } => shared.peers.notify(to, Request::Gossip(envelope)),
            Output::Changed(change) => log_change(shared, &change),
            Output::Stale {
                paused_milliseconds,
            } => {
                warn!(shared.log, "membership: This process was paused; its view is pulled anew.";
                    "paused_milliseconds" => paused_milliseconds);
            }
        }
    }
}

fn log_change(shared: &Shared, change: &MemberChange) {
    let member = &change.member;
    let log = shared.log.new(o!(
        "member" => member.name.to_string(), "zone" => member.zone.to_string(),
        "instance" => member.instance.to_string(), "peer" => member.peer_address.to_string()));
    match (change.before, member.state) {
        (None, _) => info!(log, "membership: Member joined."),
        (_, MemberState::Alive) => info!(log, "membership: Member alive again."),
        (_, MemberState::Suspect) => info!(log, "membership: Member suspect."),
        (_, MemberState::Leaving) => info!(log, "membership: Member leaving."),
        (Some(MemberState::Leaving), MemberState::Failed) => {
            info!(log, "membership: Member left.");
        }
        (_, MemberState::Failed) => info!(log, "membership: Member failed."),
    }
}
