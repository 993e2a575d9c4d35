//! Which configuration is in force where.

use crate::shared::Shared;
use firshore_config::message::NodeConfiguration;
use firshore_membership::member::{Member, MemberState};
use firshore_protocol::message::{Request, Response};
use firshore_types::ids::Revision;
use futures_util::StreamExt;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Peers asked at once.
const ASKED_AT_ONCE: usize = 64;

/// Longest wait for one peer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// A member and the configuration that it has in force.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The member as the asked node sees it.
    pub member: Member,
    /// Its own answer; `None` when it gave none.
    pub configuration: Option<NodeConfiguration>,
}

/// What this node has in force.
pub fn own(shared: &Shared) -> NodeConfiguration {
    let advertisement = shared.dissemination.lock().advertisement();
    let allowed = shared.floor.lock().check(shared.clock.now());
    let refused = shared.refused_change.lock().clone();
    NodeConfiguration {
        advertisement,
        not_serving: allowed.err().map(|reason| reason.to_string()),
        refused,
    }
}

/// Asks every member that is not failed which configuration it has in force.
pub async fn of_members(shared: &Shared) -> Vec<MemberStatus> {
    let members = shared.members.lock().members(shared.clock.now());
    let own_instance = shared.members.lock().own().instance;
    let mut all: Vec<MemberStatus> = futures_util::stream::iter(members)
        .map(|member| async move {
            let configuration = if member.instance == own_instance {
                Some(own(shared))
            } else {
                ask(shared, &member).await
            };
            MemberStatus {
                member,
                configuration,
            }
        })
        .buffer_unordered(ASKED_AT_ONCE)
        .collect()
        .await;
    all.sort_by(|one, other| one.member.name.cmp(&other.member.name));
    all
}

/// Highest floor that any member told.
pub fn highest_floor(members: &[MemberStatus]) -> Revision {
    let answers = members.iter().filter_map(|one| one.configuration.as_ref());
    let floors = answers.map(|configuration| configuration.advertisement.floor);
    floors.max().unwrap_or_default()
}

async fn ask(shared: &Shared, member: &Member) -> Option<NodeConfiguration> {
    if member.state == MemberState::Failed {
        return None;
    }
    let call = shared
        .peers
        .call(member.peer_address, Request::ConfigurationInForce);
    match actix_rt::time::timeout(ANSWER_TIMEOUT, call).await {
        Ok(Ok(Response::ConfigurationInForce(configuration))) => Some(configuration),
        _ => None,
    }
}
