//! The state machine: clock, messages and randomness come in, messages and changes go out.

use crate::budget::ByteBudget;
use crate::member::{Member, MemberState};
use crate::message::{Envelope, Message, Rumour, Sequence};
use crate::probe::{Probe, Relay};
use crate::rumours::RumourQueue;
use crate::schedule::{Distance, Schedule};
use crate::table::MemberTable;
use crate::timing::{
    BUDGET_BURST_BYTES, BUDGET_BYTES_PER_SECOND, COMPARE_INTERVAL_MILLISECONDS,
    JOIN_INTERVAL_MILLISECONDS, MAXIMUM_LOCAL_HEALTH, PAUSE_MILLISECONDS,
    PROBE_INTERVAL_MILLISECONDS, RECONNECT_INTERVAL_MILLISECONDS, REGION_SILENCE_MILLISECONDS,
    REGION_UNANSWERED_PROBES, STALE_MILLISECONDS, TOMBSTONE_MILLISECONDS,
};
use firshore_types::ids::{InstanceId, RegionName};
use rand::RngExt;
use rand::rngs::StdRng;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

/// What happens to a node.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time passed; due every [`crate::timing::TICK_MILLISECONDS`].
    Tick,
    /// A message arrived from an authenticated peer.
    Received(Envelope),
    /// The node stops soon.
    Leave,
    /// Addresses at which peers may be found, such as those of a machine list. They are only
    /// tried; an address that is missing proves nothing.
    Hints(Vec<SocketAddr>),
}

/// What the node does about it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send this message; it may be lost.
    Send {
        /// Where to.
        to: SocketAddr,
        /// Message.
        envelope: Envelope,
    },
    /// The node's opinion of a member changed.
    Changed(MemberChange),
    /// The own process was paused and its view is being pulled anew.
    Stale {
        /// Length of the pause in milliseconds.
        paused_milliseconds: u64,
    },
}

/// A change of a member's state as this node sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberChange {
    /// The member, changed.
    pub member: Member,
    /// State before; `None` for a member heard of for the first time.
    pub before: Option<MemberState>,
}

/// How far the own view can be relied on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Just started: what it knows is fresh but not whole.
    Joining,
    /// Woken from a pause: what it knows is old.
    Stale { since: u64 },
    /// Keeps up.
    Current,
}

/// Members that are not given up, the own node not counted.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Size {
    pub(crate) everywhere: usize,
    pub(crate) in_region: usize,
}

#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RegionContact {
    heard_at: u64,
    pub(crate) unanswered: u32,
}

/// Time after which a woken node goes on with its old view if nobody gives it a newer one, in
/// milliseconds: everyone may have been paused together.
const STALE_GIVE_UP_MILLISECONDS: u64 = 5_000;

/// The membership of one node.
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
    pub(crate) urgent: VecDeque<InstanceId>,
    pub(crate) suspects: BTreeSet<InstanceId>,
    pub(crate) wanted: Vec<InstanceId>,
    pub(crate) regions: BTreeMap<RegionName, RegionContact>,
    pub(crate) sequence: Sequence,
    pub(crate) local_health: u64,
    /// Members, counted once a probe.
    pub(crate) size: Size,
    pub(crate) phase: Phase,
    /// Answers to pulls since the view became incomplete or stale.
    pub(crate) views_taken: u32,
    /// When the latest message came in.
    pub(crate) received_at: u64,
    pub(crate) next_probe_at: u64,
    last_step_at: u64,
    next_join_at: u64,
    next_compare_at: u64,
    next_reconnect_at: u64,
    pub(crate) outputs: Vec<Output>,
}

impl Membership {
    /// A node that starts at `now` (milliseconds on a clock that keeps counting while the process
    /// is paused) and joins through `seeds`.
    pub fn new(now: u64, own: Member, seeds: Vec<SocketAddr>, mut rng: StdRng) -> Self {
        let mut rumours = RumourQueue::default();
        rumours.add(own.instance, true);
        Self {
            budget: ByteBudget::new(now, BUDGET_BYTES_PER_SECOND, BUDGET_BURST_BYTES),
            next_probe_at: now + rng.random_range(0..PROBE_INTERVAL_MILLISECONDS),
            next_compare_at: now + rng.random_range(0..COMPARE_INTERVAL_MILLISECONDS),
            next_reconnect_at: now + rng.random_range(0..RECONNECT_INTERVAL_MILLISECONDS),
            next_join_at: now,
            last_step_at: now,
            table: MemberTable::new(own),
            seeds,
            hints: Vec::new(),
            rng,
            rumours,
            schedule: Schedule::default(),
            probe: None,
            relays: Vec::new(),
            urgent: VecDeque::new(),
            suspects: BTreeSet::new(),
            wanted: Vec::new(),
            regions: BTreeMap::new(),
            sequence: 0,
            local_health: 0,
            size: Size::default(),
            phase: Phase::Joining,
            views_taken: 0,
            received_at: now,
            outputs: Vec::new(),
        }
    }

    /// Takes in one input at `now` (milliseconds) and returns what to do, in order.
    pub fn step(&mut self, now: u64, input: Input) -> Vec<Output> {
        self.notice_pause(now);
        self.budget.refill(now);
        match input {
            Input::Tick => self.tick(now),
            Input::Received(envelope) => self.received(now, envelope),
            Input::Leave => self.leave(),
            Input::Hints(hints) => self.hints = hints,
        }
        std::mem::take(&mut self.outputs)
    }

    /// The node itself.
    pub fn own(&self) -> &Member {
        self.table.own()
    }

    /// Every member that is remembered, the own node and failed ones included, in order of
    /// instance.
    pub fn members(&self, now: u64) -> Vec<Member> {
        let mut all = self.table.members();
        all.retain(|member| {
            let entry = self.table.get(member.instance);
            entry.is_none_or(|entry| !is_expired(now, member, entry.changed_at))
        });
        all
    }

    /// Where a member takes peers' connections.
    pub fn address_of(&self, instance: InstanceId) -> Option<SocketAddr> {
        let member = self.table.member(instance)?;
        Some(member.peer_address)
    }

    /// Members that may be given work at `now`, the own node included: alive, or suspect and not
    /// yet given up, in a region that can be reached.
    pub fn alive(&self, now: u64) -> Vec<Member> {
        let mut all: Vec<Member> = self.others_alive(now).cloned().collect();
        if is_given_work(self.table.own()) {
            let own = self.table.own();
            let position = all.partition_point(|member| member.instance < own.instance);
            all.insert(position, own.clone());
        }
        all
    }

    /// The same without the own node, in order of instance.
    pub fn others_alive(&self, now: u64) -> impl Iterator<Item = &Member> {
        let unreachable = self.unreachable_regions(now);
        self.table
            .present()
            .filter(|member| is_given_work(member))
            .filter(move |member| !unreachable.contains(&&member.region))
    }

    /// Whether the view is neither incomplete after a start nor old after a pause.
    pub fn is_current(&self, now: u64) -> bool {
        let gap = now.saturating_sub(self.last_step_at);
        self.phase == Phase::Current && gap < STALE_MILLISECONDS
    }

    /// Checksum of the view; equal on two nodes that hold the same.
    pub fn summary(&self) -> u64 {
        self.table.summary()
    }

    /// Regions of which no member answered lately, though several were asked.
    pub fn unreachable_regions(&self, now: u64) -> Vec<&RegionName> {
        self.regions
            .iter()
            .filter(|(_, contact)| {
                contact.unanswered >= REGION_UNANSWERED_PROBES
                    && now.saturating_sub(contact.heard_at) >= REGION_SILENCE_MILLISECONDS
            })
            .map(|(region, _)| region)
            .collect()
    }

    fn notice_pause(&mut self, now: u64) {
        let gap = now.saturating_sub(self.last_step_at);
        self.last_step_at = now;
        if gap < PAUSE_MILLISECONDS {
            return;
        }
        self.probe = None;
        self.relays.clear();
        self.table.shift(gap);
        self.worsen_local_health();
        if gap < STALE_MILLISECONDS {
            return;
        }
        self.rumours.clear();
        let own = self.table.own();
        let (incarnation, state) = (own.incarnation + 1, own.state);
        self.table.set_own(incarnation, state);
        self.spread_own(true);
        self.announce();
        self.phase = Phase::Stale { since: now };
        self.views_taken = 0;
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
        self.drive_probe(now);
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
            && now >= since + STALE_GIVE_UP_MILLISECONDS
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

    fn received(&mut self, now: u64, envelope: Envelope) {
        let own = self.table.own().instance;
        if envelope.from == own {
            return;
        }
        let sender = Sender {
            instance: envelope.from,
            address: envelope.from_address,
        };
        if let Some(wrong) = envelope.to.filter(|to| *to != own) {
            self.answer(sender, Message::WrongInstance(wrong));
            return;
        }
        self.note_contact(now, sender);
        for rumour in envelope.rumours {
            match rumour {
                Rumour::Claim(claim) => self.consider_claim(now, claim),
                Rumour::Record(record) => {
                    let first_hand = record.claim.instance == sender.instance;
                    self.consider_record(now, record, first_hand, true);
                }
            }
        }
        self.handle(now, sender, envelope.message);
        self.ask_for_wanted(sender);
    }

    fn note_contact(&mut self, now: u64, sender: Sender) {
        self.received_at = now;
        self.table.heard(now, sender.instance);
        let Some(entry) = self.table.get(sender.instance) else {
            self.wanted.push(sender.instance);
            return;
        };
        if Distance::between(self.table.own(), &entry.member) == Distance::Remote {
            let contact = RegionContact {
                heard_at: now,
                unanswered: 0,
            };
            let region = entry.member.region.clone();
            self.regions.insert(region, contact);
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
        let own = self.table.own();
        if own.state == MemberState::Leaving {
            return;
        }
        let incarnation = own.incarnation + 1;
        self.table.set_own(incarnation, MemberState::Leaving);
        self.spread_own(false);
        self.announce();
    }

    pub(crate) fn worsen_local_health(&mut self) {
        self.local_health = (self.local_health + 1).min(MAXIMUM_LOCAL_HEALTH);
    }
}

/// Whether a member's state lets it be given work.
fn is_given_work(member: &Member) -> bool {
    matches!(member.state, MemberState::Alive | MemberState::Suspect)
}

fn is_expired(now: u64, member: &Member, changed_at: u64) -> bool {
    member.state == MemberState::Failed && now >= changed_at + TOMBSTONE_MILLISECONDS
}

/// Who sent a message, and where it takes answers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sender {
    pub(crate) instance: InstanceId,
    pub(crate) address: SocketAddr,
}

impl Sender {
    pub(crate) fn of(member: &Member) -> Self {
        Self {
            instance: member.instance,
            address: member.peer_address,
        }
    }
}
