//! One hollow node: the state machines of a node and whether its process runs.

use super::events::Target;
use super::network::{Datagram, Locality, address};
use firshore_config::dissemination::Dissemination;
use firshore_config::readers::Peer;
use firshore_membership::member::{Member, MemberState};
use firshore_membership::membership::Membership;
use firshore_types::ids::{InstanceId, Revision};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::net::SocketAddr;

/// Frames kept for a paused process, as its sockets would.
const KEPT_FRAMES: usize = 256;

/// Whether the process of a node acts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessState {
    /// Runs.
    Running,
    /// Runs, and was told to stop.
    Leaving,
    /// Stopped by a signal that it does not notice.
    Paused,
    /// Does not exist.
    Down,
}

/// A wait for changes in the object API.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Watch {
    /// Changes after this revision are wanted.
    pub after: Revision,
    /// When it began, in milliseconds.
    pub since: u64,
}

/// A node.
#[derive(Debug)]
pub struct HollowNode {
    /// Membership.
    pub membership: Membership,
    /// Configuration.
    pub dissemination: Dissemination,
    /// Place and run.
    pub target: Target,
    /// State of the process.
    pub process: ProcessState,
    /// Since when it could have been up to date, in milliseconds.
    pub available_since: u64,
    /// Revision in force.
    pub in_force: u64,
    /// Whether members changed since the dissemination was told.
    pub members_changed: bool,
    /// Its watch of the object API.
    pub watch: Option<Watch>,
    /// Frames that arrived during a pause.
    pub kept: Vec<Datagram>,
}

impl HollowNode {
    /// A process that starts at `now`.
    pub fn start(
        now: u64,
        target: Target,
        locality: Locality,
        seeds: &[SocketAddr],
        random: &mut ChaCha8Rng,
    ) -> Self {
        let region = format!("region-{}", locality.region);
        let zone = format!("zone-{:02}", locality.zone);
        let own = Member {
            instance: InstanceId(random.random()),
            name: format!("node-{:03}", target.place).as_str().into(),
            region: region.as_str().into(),
            zone: zone.as_str().into(),
            peer_address: address(target.place),
            has_disk: false,
            state: MemberState::Alive,
            incarnation: 0,
        };
        let peer = peer_of(&own);
        let generator = StdRng::seed_from_u64(random.random());
        Self {
            membership: Membership::new(now, own, seeds.to_vec(), generator),
            dissemination: Dissemination::new(peer, random.random()),
            target,
            process: ProcessState::Running,
            available_since: now,
            in_force: 0,
            members_changed: true,
            watch: None,
            kept: Vec::new(),
        }
    }

    /// Identity of this run.
    pub fn instance(&self) -> InstanceId {
        self.membership.own().instance
    }

    /// Whether the process acts.
    pub fn acts(&self) -> bool {
        matches!(self.process, ProcessState::Running | ProcessState::Leaving)
    }

    /// Keeps a frame for the end of a pause.
    pub fn keep(&mut self, datagram: Datagram) {
        if self.kept.len() < KEPT_FRAMES {
            self.kept.push(datagram);
        }
    }

    /// The members that the dissemination may talk to.
    pub fn peers(&self, now: u64) -> Vec<Peer> {
        self.membership.others_alive(now).map(peer_of).collect()
    }
}

fn peer_of(member: &Member) -> Peer {
    Peer {
        instance: member.instance,
        region: member.region.clone(),
        zone: member.zone.clone(),
    }
}
