//! The durability guarantee as an invariant that must hold after every step.

use super::machine::{Disk, Machine, ProcessState, TIMING};
use super::{Violation, World};
use firshore_node::journal::registry::VoterRecord;
use firshore_replication::replica::{Replica, ReplicaStatus};
use firshore_replication::types::DiskId;
use std::collections::{BTreeMap, BTreeSet};

/// What the disks that are left lack.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Missing {
    /// None of them holds the latest accepted command and the latest that a read returned.
    Copy,
    /// They do not intersect every quorum that may have committed something, and no set left behind is whole.
    Proof,
    /// The record names voters that begin a history. All of them must vote, and one of them is lost.
    Beginner,
}

/// The invariant's input, as far as a step may change it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Seen {
    record: Option<(u64, VoterRecord)>,
    losses: usize,
    present: BTreeSet<DiskId>,
    accepted: u64,
    /// Disks that hold everything promised.
    holders: BTreeSet<DiskId>,
    /// Replicas that know the recorded voters to be committed, and those whose log names them.
    knowing: (BTreeSet<DiskId>, BTreeSet<DiskId>),
}

impl Seen {
    /// Returns what differs from an earlier state.
    fn changes_since(&self, earlier: &Self) -> Vec<&'static str> {
        let changes = [
            (self.record != earlier.record, "the record changed"),
            (self.losses < earlier.losses, "a loss expired"),
            (self.losses > earlier.losses, "a disk was lost"),
            (self.present != earlier.present, "a disk came or went"),
            (self.accepted != earlier.accepted, "a command was accepted"),
            (
                self.holders != earlier.holders,
                "a disk caught up or fell behind",
            ),
            (
                self.knowing != earlier.knowing,
                "what replicas know of the voters changed",
            ),
        ];
        let changed = changes.into_iter().filter(|(changed, _)| *changed);
        changed.map(|(_, name)| name).collect()
    }
}

/// State of the check between two steps.
#[derive(Default)]
pub struct WayOnCheck {
    seen: Seen,
    /// Since when each replica leads in a term, in milliseconds.
    leading_since: BTreeMap<(DiskId, u64), u64>,
}

/// A disk that is present, and what its replica knows of the voters.
struct LeftDisk {
    disk: DiskId,
    holds_promised: bool,
    /// Voters of the latest committed membership that the replica knows.
    committed: BTreeSet<DiskId>,
    /// Voters that the replica's log names last.
    latest: BTreeSet<DiskId>,
}

impl World {
    /// Checks the invariant after every step, see [`World::check_way_on`].
    pub fn with_way_on_check(mut self) -> Self {
        self.way_on = Some(WayOnCheck::default());
        self
    }

    /// Checks that accepted commands survive the losses that the deployment still tolerates, and that the group can
    /// continue after them.
    ///
    /// `losses` of the deployment minus those that count as active (`World::losses`) may still occur. If any may, the
    /// disk that replaces an active loss may be lost as well at no extra cost, as in `record_loss`. For every choice of
    /// them, the disks left must
    ///
    /// 1. hold the latest accepted command, and the latest that a read returned, on at least one disk, and
    /// 2. have a way on: they intersect every quorum of each group that the stored record of voters says may be in
    ///    force, or a set of `left_behind` consists of left disks only and intersects each quorum of the recorded groups
    ///    that can accept something. While the record names voters that begin a history, all of these must be left, or
    ///    such a set.
    ///
    /// A smaller choice leaves more disks, so only the largest choices are checked.
    ///
    /// # States that are allowed
    ///
    /// These narrow which groups bind the disks left. Each is what `possible_groups` lets a replica conclude:
    ///
    /// - A replica among those left knows that the recorded voters are committed: the groups before are not in force,
    ///   whatever the record says until the leader writes it as settled.
    /// - The log of a replica among those left names the recorded voters: a group before that is too small to accept
    ///   anything accepted nothing.
    /// - A group with a disk of a node that was reported as drained is not in force: it is reported only after the
    ///   removal is committed.
    /// - A lone voter is lost after it recorded a learner as the second voter, and the learner and the disk that the lone
    ///   voter left behind are left: they continue together. If the promotion is in the learner's log, that log is the
    ///   longer one and holds everything; otherwise nothing was accepted since, and the disk left behind holds
    ///   everything. The same with a larger group or set is not allowed: nothing in the code continues there.
    /// - A disk that was lost before a group was recorded (`VoterRecord::never_held`) held nothing that it committed.
    ///
    /// These are necessary conditions. That the replicas find the way in time, and that a set of survivors is elected, is
    /// checked by the losses that occur in a run.
    ///
    /// A disk of a machine that is frozen, isolated or restarting is left: it returns. Before the first accepted
    /// command there is nothing to keep.
    pub(super) fn check_way_on(&mut self) -> Result<(), Violation> {
        let Some(mut check) = self.way_on.take() else {
            return Ok(());
        };
        let left = self.left_disks();
        let record = self.current_record();
        let seen = self.seen(&left, &record);
        self.update_leaders(&mut check);
        // Most steps change nothing, and the state before them was checked.
        let broken = match seen == check.seen {
            true => None,
            false => self.broken_choice(&left, &record),
        };
        let result = match broken {
            None => Ok(()),
            Some((lost, missing)) => {
                let changes = seen.changes_since(&check.seen);
                Err(self.violation(self.describe(&check, &record, &lost, missing, &changes)))
            }
        };
        check.seen = seen;
        self.way_on = Some(check);
        result
    }

    /// Returns a choice of further losses after which the guarantee is broken, and what is missing.
    fn broken_choice(
        &self,
        left: &[LeftDisk],
        record: &VoterRecord,
    ) -> Option<(BTreeSet<DiskId>, Missing)> {
        self.accepted.as_ref()?;
        let tolerated = self.deployment.losses as usize;
        let further = tolerated.saturating_sub(self.losses.len());
        self.broken_choice_of(left, record, further, self.free_losses(further))
    }

    /// Returns whether the guarantee holds with all tolerated losses still to come.
    pub(super) fn tolerates_all_losses(&self) -> bool {
        let tolerated = self.deployment.losses as usize;
        let (left, record) = (self.left_disks(), self.current_record());
        let broken = self.broken_choice_of(&left, &record, tolerated, BTreeSet::new());
        broken.is_none()
    }

    /// Returns the disks that may be lost at no extra cost: replacements of active losses.
    fn free_losses(&self, further: usize) -> BTreeSet<DiskId> {
        if further == 0 {
            return BTreeSet::new();
        }
        let machines = self.losses.iter().filter_map(|loss| loss.machine);
        machines
            .map(|machine| self.machines[machine].disk.id)
            .collect()
    }

    fn broken_choice_of(
        &self,
        left: &[LeftDisk],
        record: &VoterRecord,
        further: usize,
        free: BTreeSet<DiskId>,
    ) -> Option<(BTreeSet<DiskId>, Missing)> {
        let others: Vec<DiskId> = left
            .iter()
            .map(|disk| disk.disk)
            .filter(|disk| !free.contains(disk))
            .collect();
        // Operators and the simulation leave at least one disk.
        let further = further.min(others.len().saturating_sub(1));
        let mut choices = subsets(&others, further).into_iter();
        choices.find_map(|mut lost| {
            lost.extend(&free);
            let kept: Vec<&LeftDisk> = left
                .iter()
                .filter(|disk| !lost.contains(&disk.disk))
                .collect();
            let missing = self.missing(&kept, record)?;
            Some((lost, missing))
        })
    }

    /// Returns what these disks lack to continue with everything accepted.
    fn missing(&self, kept: &[&LeftDisk], record: &VoterRecord) -> Option<Missing> {
        if !kept.iter().any(|disk| disk.holds_promised) {
            return Some(Missing::Copy);
        }
        let disks: BTreeSet<DiskId> = kept.iter().map(|disk| disk.disk).collect();
        if self.has_whole_set_left_behind(&disks, record) || has_learner_pair(&disks, record) {
            return None;
        }
        if record.begins && !record.settled {
            return (!record.voters.is_subset(&disks)).then_some(Missing::Beginner);
        }
        let groups = self.binding_groups(kept, record);
        let intersects = |voters: &BTreeSet<DiskId>| intersects_quorums(&disks, record, voters);
        (!groups.iter().all(intersects)).then_some(Missing::Proof)
    }

    /// Returns the groups that may be in force and may have accepted something, as far as these disks can tell.
    fn binding_groups(&self, kept: &[&LeftDisk], record: &VoterRecord) -> Vec<BTreeSet<DiskId>> {
        let mut groups = record.possible_voters();
        if kept.iter().any(|disk| disk.committed == record.voters) {
            groups.truncate(1);
        }
        if kept.iter().any(|disk| disk.latest == record.voters) {
            let min_disks = self.policy.min_disks;
            groups
                .retain(|voters| *voters == record.voters || record.quorum_of(voters) >= min_disks);
        }
        groups.retain(|voters| !voters.iter().any(|disk| self.is_drained_disk(*disk)));
        groups
    }

    /// Returns whether a set that was left behind is whole and holds everything accepted.
    fn has_whole_set_left_behind(&self, disks: &BTreeSet<DiskId>, record: &VoterRecord) -> bool {
        let min_disks = self.policy.min_disks;
        let holds_everything = |set: &BTreeSet<DiskId>| {
            record.possible_voters().iter().all(|voters| {
                let quorum = record.quorum_of(voters);
                quorum < min_disks || voters.difference(set).count() < quorum
            })
        };
        let mut sets = record.left_behind.iter();
        sets.any(|set| set.is_subset(disks) && holds_everything(set))
    }

    fn is_drained_disk(&self, disk: DiskId) -> bool {
        let mut listed = self.store.nodes.values();
        listed.any(|one| one.disk == disk && self.store.retirements.get(&one.node) == Some(&true))
    }

    /// Returns the stored record, or the founders if there is none.
    fn current_record(&self) -> VoterRecord {
        let recorded = self.store.voters.as_ref();
        let founders = || VoterRecord {
            voters: self.founders.clone(),
            settled: true,
            min_disks: self.policy.min_disks,
            ..VoterRecord::default()
        };
        recorded.map_or_else(founders, |(_, record)| record.clone())
    }

    fn left_disks(&self) -> Vec<LeftDisk> {
        let present = self.machines.iter().filter(|machine| machine.is_present());
        present.map(|machine| self.left_disk(machine)).collect()
    }

    fn left_disk(&self, machine: &Machine) -> LeftDisk {
        let status = status_of(machine, self.now);
        let mut promised = self.accepted.iter().chain(self.returned());
        LeftDisk {
            disk: machine.disk.id,
            holds_promised: promised.all(|command| machine.disk.holds(command)),
            committed: status.committed_membership.voters().collect(),
            latest: status.membership.voters().collect(),
        }
    }

    fn seen(&self, left: &[LeftDisk], record: &VoterRecord) -> Seen {
        let that = |fits: &dyn Fn(&LeftDisk) -> bool| {
            let fitting = left.iter().filter(|disk| fits(disk));
            fitting.map(|disk| disk.disk).collect()
        };
        Seen {
            record: self.store.voters.clone(),
            losses: self.losses.len(),
            present: left.iter().map(|disk| disk.disk).collect(),
            accepted: self.accepted.as_ref().map_or(0, |one| one.position.index),
            holders: that(&|disk| disk.holds_promised),
            knowing: (
                that(&|disk| disk.committed == record.voters),
                that(&|disk| disk.latest == record.voters),
            ),
        }
    }

    fn update_leaders(&self, check: &mut WayOnCheck) {
        for machine in self.machines.iter().filter(|machine| machine.is_running()) {
            let Some(replica) = machine.replica.as_ref().filter(|one| one.leads()) else {
                continue;
            };
            let key = (machine.disk.id, replica.status().term);
            check.leading_since.entry(key).or_insert(self.now);
        }
    }

    /// Describes a broken state: the losses, the record, and what each leader knows.
    fn describe(
        &self,
        check: &WayOnCheck,
        record: &VoterRecord,
        lost: &BTreeSet<DiskId>,
        missing: Missing,
        changes: &[&str],
    ) -> String {
        let active: Vec<String> = self
            .losses
            .iter()
            .map(|loss| {
                let machine = loss.machine.map(|machine| &self.machines[machine].name);
                format!("{machine:?} settled since {}", loss.settled_since)
            })
            .collect();
        let names = |disks: &BTreeSet<DiskId>| self.names(disks);
        let before: Vec<String> = record.before.iter().map(names).collect();
        let left_behind: Vec<String> = record.left_behind.iter().map(names).collect();
        let leaders: Vec<String> = self
            .machines
            .iter()
            .filter(|machine| machine.replica.as_ref().is_some_and(Replica::leads))
            .map(|machine| self.describe_leader(check, machine))
            .collect();
        let holders: BTreeSet<DiskId> = self
            .left_disks()
            .iter()
            .filter(|disk| disk.holds_promised)
            .map(|disk| disk.disk)
            .collect();
        format!(
            "way on: {missing:?} missing after {changes:?}\n  if lost: {}\n  active losses: {active:?}\n  \
             accepted is on: {}\n  record: voters {} settled {} term {} history {} begins {} quorum {} before \
             {before:?} left behind {left_behind:?}\n  leaders: {leaders:#?}\n  last event: {}",
            names(lost),
            names(&holders),
            names(&record.voters),
            record.settled,
            record.term,
            record.history,
            record.begins,
            record.quorum_of(&record.voters),
            self.trace.last().map_or("", String::as_str),
        )
    }

    fn describe_leader(&self, check: &WayOnCheck, machine: &Machine) -> String {
        let status = status_of(machine, self.now);
        let published = &machine.status;
        let since = check.leading_since.get(&(machine.disk.id, status.term));
        let age = since.map(|since| self.now - since);
        let voters = status.membership.voters().collect();
        let all: BTreeSet<DiskId> = status.membership.replicas.keys().copied().collect();
        let learners = all.difference(&voters).copied().collect();
        format!(
            "{} {:?} term {} for {age:?} ms; voters {} (quorum {}), learners {}; unresponsive to it {}; caught up {}",
            machine.name,
            machine.state,
            status.term,
            self.names(&voters),
            status.membership.quorum(),
            self.names(&learners),
            self.names(&published.unresponsive),
            self.names(&published.caught_up),
        )
    }

    /// Returns the machines of these disks. A lost disk is marked with `-`; without a machine, with the first digits of
    /// its identity.
    fn names(&self, disks: &BTreeSet<DiskId>) -> String {
        let name = |disk: &DiskId| {
            let mut machines = self.machines.iter();
            match machines.find(|machine| machine.disk.id == *disk) {
                Some(machine) if machine.is_present() => {
                    let state = match machine.state {
                        ProcessState::Running if self.now < machine.isolated_until => "(isolated)",
                        ProcessState::Running => "",
                        ProcessState::FrozenUntil(_) => "(frozen)",
                        _ => "(down)",
                    };
                    format!("{}{state}", machine.name)
                }
                Some(machine) => format!("-{}", machine.name),
                None => format!("-{:04x}", disk.0 >> 48),
            }
        };
        let names: Vec<String> = disks.iter().map(name).collect();
        format!("[{}]", names.join(" "))
    }
}

/// Returns the status of a machine's replica, or that of one restored from its disk.
fn status_of(machine: &Machine, now: u64) -> ReplicaStatus {
    let restored = |disk: &Disk| {
        Replica::restore(now, disk.id, TIMING, disk.stored.clone(), disk.id.0).status()
    };
    let replica = machine.replica.as_ref();
    replica.map_or_else(|| restored(&machine.disk), Replica::status)
}

/// Returns whether a lone voter is lost about to promote a learner, and the learner and the disk that the lone voter left
/// behind are among these disks.
fn has_learner_pair(disks: &BTreeSet<DiskId>, record: &VoterRecord) -> bool {
    let (others, lost): (BTreeSet<DiskId>, BTreeSet<DiskId>) =
        record.voters.iter().partition(|disk| disks.contains(disk));
    let mut sets = record.left_behind.iter();
    !record.settled
        && lost.len() == 1
        && record.before == [lost]
        && others.len() == 1
        && sets.any(|set| set.len() == 1 && set.is_subset(disks))
}

/// Returns whether each quorum of these voters that may have committed something contains one of these disks.
fn intersects_quorums(
    disks: &BTreeSet<DiskId>,
    record: &VoterRecord,
    voters: &BTreeSet<DiskId>,
) -> bool {
    let never_held = record.never_held(voters);
    let lost = voters.difference(disks);
    let lost = lost.filter(|disk| !never_held.contains(*disk)).count();
    lost < record.quorum_of(voters)
}

/// Returns the subsets of these disks that have `len` disks.
fn subsets(disks: &[DiskId], len: usize) -> Vec<BTreeSet<DiskId>> {
    let Some((first, rest)) = disks.split_first().filter(|_| len > 0) else {
        return match len {
            0 => vec![BTreeSet::new()],
            _ => Vec::new(),
        };
    };
    let mut sets = subsets(rest, len - 1);
    for set in &mut sets {
        set.insert(*first);
    }
    sets.extend(subsets(rest, len));
    sets
}
