//! The state machine: takes the time, messages and a random generator; returns messages to send and
//! changes of members.

use crate::budget::ByteBudget;
use crate::member::{Member, MemberState};
use crate::message::{Envelope, Message, Rumour, Sequence};
use crate::probe::{Probe, Relay};
use crate::rumours::RumourQueue;
use crate::schedule::{Distance, Schedule};
use crate::table::MemberTable;
use crate::timing::{
    BUDGET_BURST_BYTES, BUDGET_BYTES_PER_SECOND, COMPARE_INTERVAL_MILLISECONDS,
    JOIN_INTERVAL_MILLISECONDS, MAX_LOCAL_HEALTH, MIN_PAUSE_MILLISECONDS,
    PROBE_INTERVAL_MILLISECONDS, RECONNECT_INTERVAL_MILLISECONDS, REGION_TIMEOUT_MILLISECONDS,
    REGION_UNANSWERED_PROBES, STALE_PAUSE_MILLISECONDS, TOMBSTONE_MILLISECONDS,
};
use firshore_types::ids::{InstanceId, RegionName};
use rand::RngExt;
use rand::rngs::StdRng;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

/// Input of the state machine.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time passed; due every [`crate::timing::TICK_MILLISECONDS`].
    Tick,
    /// A message arrived from an authenticated peer.
    Received(Envelope),
    /// The node will shut down soon.
    Leave,
    /// Addresses where peers may be found, such as those of a machine list. They are only used for
    /// joining; an address missing from the list has no effect on a member's state.
    Hints(Vec<SocketAddr>),
}

/// Action or event that a step returns.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send this message; it may be lost.
    Send {
        /// Address of the receiver.
        to: SocketAddr,
        /// Message with its rumours.
        envelope: Envelope,
    },
    /// This node's view of a member changed.
    Changed(MemberChange),
    /// The local process was paused; its view is stale and is pulled again.
    Stale {
        /// Length of the pause in milliseconds.
        paused_milliseconds: u64,
    },
}

/// A change of a member's state as this node sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberChange {
    /// The member after the change.
    pub member: Member,
    /// Previous state; `None` for a new member.
    pub before: Option<MemberState>,
}

/// Freshness and completeness of the local view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Just started: the view is fresh but incomplete.
    Joining,
    /// Resumed after a pause: the view is old.
    Stale { since: u64 },
    /// The view is fresh and complete.
    Current,
}

/// Number of members that are not failed, without the local node.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct MemberCounts {
    pub(crate) total: usize,
    pub(crate) in_region: usize,
}

#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RegionContact {
    last_received_at: u64,
    pub(crate) unanswered: u32,
}

/// Time after which a resumed node uses its old view if no peer sent a newer one, in milliseconds.
/// Prevents a deadlock when all nodes were paused together.
const STALE_TIMEOUT_MILLISECONDS: u64 = 5_000;

/// Membership state machine of one node.
#[derive(Debug)]
pub struct Membership {
    pub(crate) table: MemberTable,
    pub(crate) seeds: Vec<SocketAddr>,
    pub(crate) hints: Vec<SocketAddr>,
    pub(crate) rng: StdRng,
    pub(crate) budget: ByteBudget,
    pub(crate) rumours: RumourQueue,
    pub(crate) schedule: Schedule,
    pub(crate) probe: Option<Probe>,
    pub(crate) relays: Vec<Relay>,
    /// Suspects that are probed before the scheduled members.
    pub(crate) urgent_targets: VecDeque<InstanceId>,
    pub(crate) suspects: BTreeSet<InstanceId>,
    /// Members without a record, to be requested from the next sender.
    pub(crate) wanted: Vec<InstanceId>,
    pub(crate) region_contacts: BTreeMap<RegionName, RegionContact>,
    pub(crate) sequence: Sequence,
    pub(crate) local_health: u64,
    /// Updated at the start of each probe.
    pub(crate) member_counts: MemberCounts,
    pub(crate) phase: Phase,
    /// Views received since the local view became incomplete or stale.
    pub(crate) views_received: u32,
    /// When the latest message from any peer arrived, in milliseconds.
    pub(crate) received_at: u64,
    pub(crate) next_probe_at: u64,
    last_step_at: u64,
    next_join_at: u64,
    next_compare_at: u64,
    next_reconnect_at: u64,
    pub(crate) outputs: Vec<Output>,
}

impl Membership {
    /// Creates a node that starts at `now` and joins through `seeds`. `now` is in milliseconds, on a
    /// clock that advances while the process is paused.
    pub fn new(now: u64, local: Member, seeds: Vec<SocketAddr>, mut rng: StdRng) -> Self {
        let mut rumours = RumourQueue::default();
        rumours.add(local.instance, true);
        Self {
            budget: ByteBudget::new(now, BUDGET_BYTES_PER_SECOND, BUDGET_BURST_BYTES),
            next_probe_at: now + rng.random_range(0..PROBE_INTERVAL_MILLISECONDS),
            next_compare_at: now + rng.random_range(0..COMPARE_INTERVAL_MILLISECONDS),
            next_reconnect_at: now + rng.random_range(0..RECONNECT_INTERVAL_MILLISECONDS),
            next_join_at: now,
            last_step_at: now,
            table: MemberTable::new(local),
            seeds,
            hints: Vec::new(),
            rng,
            rumours,
            schedule: Schedule::default(),
            probe: None,
            relays: Vec::new(),
            urgent_targets: VecDeque::new(),
            suspects: BTreeSet::new(),
            wanted: Vec::new(),
            region_contacts: BTreeMap::new(),
            sequence: 0,
            local_health: 0,
            member_counts: MemberCounts::default(),
            phase: Phase::Joining,
            views_received: 0,
            received_at: now,
            outputs: Vec::new(),
        }
    }

    /// Processes one input at `now` (milliseconds) and returns the resulting outputs in order.
    pub fn step(&mut self, now: u64, input: Input) -> Vec<Output> {
        self.detect_pause(now);
        self.budget.refill(now);
        match input {
            Input::Tick => self.tick(now),
            Input::Received(envelope) => self.handle_envelope(now, envelope),
            Input::Leave => self.leave(),
            Input::Hints(hints) => self.hints = hints,
        }
        std::mem::take(&mut self.outputs)
    }

    /// Returns the local node.
    pub fn own(&self) -> &Member {
        self.table.local()
    }

    /// Returns all members in order of instance, including the local node and failed members whose
    /// tombstone has not expired.
    pub fn members(&self, now: u64) -> Vec<Member> {
        let mut all = self.table.members();
        all.retain(|member| {
            let entry = self.table.get(member.instance);
            entry.is_none_or(|entry| !is_expired(now, member, entry.changed_at))
        });
        all
    }

    /// Returns the address on which a member accepts connections from peers.
    pub fn address_of(&self, instance: InstanceId) -> Option<SocketAddr> {
        let member = self.table.member(instance)?;
        Some(member.peer_address)
    }

    /// Returns the members that may be given work at `now`, including the local node: those alive or
    /// suspect, in a reachable region. In order of instance.
    pub fn alive(&self, now: u64) -> Vec<Member> {
        let mut all: Vec<Member> = self.others_alive(now).cloned().collect();
        if accepts_work(self.table.local()) {
            let local = self.table.local();
            let position = all.partition_point(|member| member.instance < local.instance);
            all.insert(position, local.clone());
        }
        all
    }

    /// Returns the members that may be given work at `now`, without the local node, in order of
    /// instance.
    pub fn others_alive(&self, now: u64) -> impl Iterator<Item = &Member> {
        let unreachable = self.unreachable_regions(now);
        self.table
            .present()
            .filter(|member| accepts_work(member))
            .filter(move |member| !unreachable.contains(&&member.region))
    }

    /// Returns whether the view is neither incomplete after a start nor stale after a pause.
    pub fn is_current(&self, now: u64) -> bool {
        let gap = now.saturating_sub(self.last_step_at);
        self.phase == Phase::Current && gap < STALE_PAUSE_MILLISECONDS
    }

    /// Returns the checksum of the view; equal on two nodes with the same view.
    pub fn summary(&self) -> u64 {
        self.table.summary()
    }

    /// Returns the regions from which no member has responded recently although several probes were
    /// sent.
    pub fn unreachable_regions(&self, now: u64) -> Vec<&RegionName> {
        self.region_contacts
            .iter()
            .filter(|(_, contact)| {
                contact.unanswered >= REGION_UNANSWERED_PROBES
                    && now.saturating_sub(contact.last_received_at) >= REGION_TIMEOUT_MILLISECONDS
            })
            .map(|(region, _)| region)
            .collect()
    }

    fn detect_pause(&mut self, now: u64) {
        let gap = now.saturating_sub(self.last_step_at);
        self.last_step_at = now;
        if gap < MIN_PAUSE_MILLISECONDS {
            return;
        }
        self.probe = None;
        self.relays.clear();
        self.table.shift(gap);
        self.increment_local_health();
        if gap < STALE_PAUSE_MILLISECONDS {
            return;
        }
        self.rumours.clear();
        let local = self.table.local();
        let (incarnation, state) = (local.incarnation + 1, local.state);
        self.table.set_local(incarnation, state);
        self.spread_local(true);
        self.announce();
        self.phase = Phase::Stale { since: now };
        self.views_received = 0;
        self.next_join_at = now;
        self.outputs.push(Output::Stale {
            paused_milliseconds: gap,
        });
    }

    fn tick(&mut self, now: u64) {
        self.catch_up(now);
        if matches!(self.phase, Phase::Stale { .. }) {
            return;
        }
        self.expire_suspicions(now);
        self.advance_probe(now);
        if now >= self.next_compare_at {
            self.next_compare_at = now + self.jittered(COMPARE_INTERVAL_MILLISECONDS);
            self.start_comparison();
        }
        if now >= self.next_reconnect_at {
            self.next_reconnect_at = now + self.jittered(RECONNECT_INTERVAL_MILLISECONDS);
            self.expire_tombstones(now);
            self.reconnect(now);
        }
    }

    fn jittered(&mut self, interval: u64) -> u64 {
        interval * 3 / 4 + self.rng.random_range(0..=interval / 2)
    }

    fn catch_up(&mut self, now: u64) {
        if let Phase::Stale { since } = self.phase
            && now >= since + STALE_TIMEOUT_MILLISECONDS
        {
            self.phase = Phase::Current;
        }
        let alone = self.table.present().next().is_none();
        if now < self.next_join_at || (self.phase == Phase::Current && !alone) {
            return;
        }
        self.next_join_at = now + self.jittered(JOIN_INTERVAL_MILLISECONDS);
        if alone {
            self.join_through_seed();
        } else {
            self.pull_view();
        }
    }

    fn handle_envelope(&mut self, now: u64, envelope: Envelope) {
        let local = self.table.local().instance;
        if envelope.from == local {
            return;
        }
        let sender = Peer {
            instance: envelope.from,
            address: envelope.from_address,
        };
        if let Some(wrong) = envelope.to.filter(|to| *to != local) {
            self.send_to(sender, Message::WrongInstance(wrong));
            return;
        }
        self.record_contact(now, sender);
        for rumour in envelope.rumours {
            match rumour {
                Rumour::Claim(claim) => self.apply_claim(now, claim),
                Rumour::Record(record) => {
                    let from_member = record.claim.instance == sender.instance;
                    self.apply_record(now, record, from_member, true);
                }
            }
        }
        self.handle(now, sender, envelope.message);
        self.request_wanted(sender);
    }

    fn record_contact(&mut self, now: u64, sender: Peer) {
        self.received_at = now;
        self.table.record_message(now, sender.instance);
        let Some(entry) = self.table.get(sender.instance) else {
            self.wanted.push(sender.instance);
            return;
        };
        if Distance::between(self.table.local(), &entry.member) == Distance::Remote {
            let contact = RegionContact {
                last_received_at: now,
                unanswered: 0,
            };
            let region = entry.member.region.clone();
            self.region_contacts.insert(region, contact);
        }
    }

    fn expire_tombstones(&mut self, now: u64) {
        let expired: Vec<InstanceId> = self
            .table
            .others()
            .filter(|entry| is_expired(now, &entry.member, entry.changed_at))
            .map(|entry| entry.member.instance)
            .collect();
        for instance in expired {
            self.table.remove(instance);
        }
    }

    fn leave(&mut self) {
        let local = self.table.local();
        if local.state == MemberState::Leaving {
            return;
        }
        let incarnation = local.incarnation + 1;
        self.table.set_local(incarnation, MemberState::Leaving);
        self.spread_local(false);
        self.announce();
    }

    pub(crate) fn increment_local_health(&mut self) {
        self.local_health = (self.local_health + 1).min(MAX_LOCAL_HEALTH);
    }
}

/// Returns whether a member in this state may be given work.
fn accepts_work(member: &Member) -> bool {
    matches!(member.state, MemberState::Alive | MemberState::Suspect)
}

fn is_expired(now: u64, member: &Member, changed_at: u64) -> bool {
    member.state == MemberState::Failed && now >= changed_at + TOMBSTONE_MILLISECONDS
}

/// Instance and address of a peer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Peer {
    pub(crate) instance: InstanceId,
    pub(crate) address: SocketAddr,
}

impl Peer {
    pub(crate) fn of(member: &Member) -> Self {
        Self {
            instance: member.instance,
            address: member.peer_address,
        }
    }
}
