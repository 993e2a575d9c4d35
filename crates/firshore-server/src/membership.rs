//! Heartbeats to every known peer.

use crate::shared::Shared;
use firshore_protocol::message::{Request, Response};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Sends heartbeats until the node ends.
pub async fn run(shared: Arc<Shared>) {
    loop {
        let own = shared.members.lock().own().clone();
        for address in addresses(&shared) {
            let shared = shared.clone();
            let own = own.clone();
            actix_rt::spawn(async move {
                let answer = shared.peers.call(address, Request::Heartbeat(own)).await;
                if let Ok(Response::Heartbeat(member)) = answer {
                    shared.members.lock().heard_from(shared.clock.now(), member);
                }
            });
        }
        actix_rt::time::sleep(HEARTBEAT_INTERVAL).await;
    }
}

fn addresses(shared: &Shared) -> BTreeSet<SocketAddr> {
    let members = shared.members.lock();
    let own = members.own().peer_address;
    let mut all: BTreeSet<SocketAddr> = members
        .members(shared.clock.now())
        .iter()
        .map(|member| member.peer_address)
        .collect();
    all.extend(&shared.settings.cluster.seeds);
    all.remove(&own);
    all
}
