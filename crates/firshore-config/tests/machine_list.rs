//! Machine list: one reader, chained changes, delayed removals.

mod support;

use firshore_config::machine_list::{
    Input, ListVersion, MAX_READERS, MachineList, MachineListMessage, Output,
    REMOVAL_HOLD_MILLISECONDS, TAKE_OVER_MILLISECONDS, TICK_MILLISECONDS,
};
use firshore_config::readers::Peer;
use firshore_types::ids::{InstanceId, MachineName};
use firshore_types::labels::Labels;
use firshore_types::machine::{Machine, MachineState};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use support::peer;

fn machine(name: &str, port: u16, state: MachineState) -> Machine {
    Machine {
        name: MachineName::from(name),
        address: ([127, 0, 0, 1], port).into(),
        region: "north".into(),
        zone: "north-a".into(),
        labels: Labels::default(),
        state,
    }
}

fn live(names: &[&str]) -> Vec<Machine> {
    let of_name = |name: &&str| machine(name, 1, MachineState::Live);
    names.iter().map(of_name).collect()
}

fn names(list: &MachineList) -> Vec<String> {
    let mut names: Vec<String> = list.machines().into_iter().map(|one| one.name.0).collect();
    names.sort();
    names
}

fn read(list: &mut MachineList, now: u64, machines: Vec<Machine>) -> Vec<Output> {
    let read_at = 1_000_000 + now;
    list.step(now, Input::Read { read_at, machines })
}

fn peer_of(instance: u64) -> Peer {
    let region = ["north", "south"][(instance % 2) as usize];
    peer(instance, region, &format!("{region}-{}", instance % 4))
}

fn members(count: u64) -> Vec<Peer> {
    (1..=count).map(peer_of).collect()
}

#[test]
fn one_node_reads_and_others_take_over_in_order() {
    let lists: Vec<MachineList> = (1..=20)
        .map(|instance| {
            let mut list = MachineList::new(peer_of(instance), instance);
            list.step(0, Input::Members(members(20)));
            list
        })
        .collect();
    for stale_intervals in 0..=MAX_READERS {
        let now = stale_intervals as u64 * TAKE_OVER_MILLISECONDS;
        let reading = lists.iter().filter(|list| list.is_reader(now)).count();
        assert_eq!(
            reading,
            (stale_intervals + 1).min(MAX_READERS),
            "after {now} ms without a read"
        );
    }
}

#[test]
fn machines_removed_without_leaving_are_kept_temporarily() {
    let mut list = MachineList::new(peer_of(1), 1);
    let mut first = live(&["a", "b"]);
    first.push(machine("c", 1, MachineState::Leaving));
    read(&mut list, 0, first);
    read(&mut list, 1_000, live(&["a"]));
    assert_eq!(
        names(&list),
        ["a", "b"],
        "the leaving machine is removed, the live one is kept"
    );
    list.step(1_000 + REMOVAL_HOLD_MILLISECONDS - 1, Input::Tick);
    assert_eq!(names(&list), ["a", "b"]);
    let outputs = list.step(1_000 + REMOVAL_HOLD_MILLISECONDS, Input::Tick);
    assert_eq!(names(&list), ["a"]);
    assert!(
        outputs
            .iter()
            .any(|output| matches!(output, Output::Changed(_)))
    );
    read(&mut list, 50_000, live(&["a", "b"]));
    read(&mut list, 51_000, live(&["a"]));
    let moved = vec![
        machine("a", 1, MachineState::Live),
        machine("b", 2, MachineState::Live),
    ];
    read(&mut list, 52_000, moved);
    let machines = list.machines();
    let b: Vec<&Machine> = machines.iter().filter(|one| one.name.0 == "b").collect();
    assert_eq!(b.len(), 1, "a name appears once");
    assert_eq!(b[0].address.port(), 2);
}

#[test]
fn changes_apply_only_as_a_chain() {
    let from = InstanceId(2);
    let mut reader = MachineList::new(peer_of(2), 2);
    let mut sent = Vec::new();
    reader.step(0, Input::Members(members(8)));
    for (now, names) in [
        (0, &["a"][..]),
        (1, &["a", "b"]),
        (2, &["b"]),
        (3, &["b", "d"]),
    ] {
        for output in read(&mut reader, now, live(names)) {
            if let Output::Send {
                message: MachineListMessage::Changes(changes),
                ..
            } = output
            {
                sent.push(changes[0].clone());
            }
        }
    }
    sent.sort_by_key(|change| change.to);
    sent.dedup();
    assert_eq!(sent.len(), 4);
    let pulls = |outputs: &[Output]| {
        let is_pull = |output: &Output| {
            matches!(
                output,
                Output::Send {
                    message: MachineListMessage::Pull(_),
                    ..
                }
            )
        };
        outputs.iter().any(is_pull)
    };
    let cases: [(&str, &[usize], usize, bool); 5] = [
        ("in order", &[0, 1, 2, 3], 4, false),
        ("overtaken", &[1], 0, true),
        ("a gap", &[0, 2], 1, true),
        ("twice", &[0, 0, 1], 2, false),
        ("older", &[0, 1, 0], 2, false),
    ];
    for (name, order, applied, pulled) in cases {
        let mut list = MachineList::new(peer_of(1), 1);
        let changes = order.iter().map(|index| sent[*index].clone()).collect();
        let message = MachineListMessage::Changes(changes);
        let outputs = list.step(9, Input::FromPeer { from, message });
        let version = applied
            .checked_sub(1)
            .map_or(ListVersion::default(), |last| sent[last].to);
        assert_eq!(list.advertisement().version, version, "{name}");
        assert_eq!(pulls(&outputs), pulled, "{name}");
    }
}

#[test]
fn every_node_follows_while_readers_fail() {
    const NODES: u64 = 24;
    for seed in 0..6 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut lists: BTreeMap<u64, MachineList> = (1..=NODES)
            .map(|instance| {
                (
                    instance,
                    MachineList::new(peer_of(instance), seed + instance),
                )
            })
            .collect();
        let mut platform = live(&["a", "b", "c"]);
        let mut inbox: Vec<(u64, u64, MachineListMessage)> = Vec::new();
        for list in lists.values_mut() {
            list.step(0, Input::Members(members(NODES)));
        }
        let dead = random.random_range(1..=NODES);
        for round in 0..60 {
            let now = round * TICK_MILLISECONDS;
            if round < 30 {
                platform.push(machine(&format!("m{round}"), 1, MachineState::Live));
            }
            let mut outputs = Vec::new();
            for (instance, list) in &mut lists {
                if *instance != dead {
                    outputs.extend(
                        list.step(now, Input::Tick)
                            .into_iter()
                            .map(|one| (*instance, one)),
                    );
                }
            }
            for _ in 0..8 {
                for (instance, output) in std::mem::take(&mut outputs) {
                    match output {
                        Output::Send { to, message } => inbox.push((to.0, instance, message)),
                        Output::ReadList => {
                            let list = lists.get_mut(&instance).unwrap();
                            let more = read(list, now, platform.clone());
                            outputs.extend(more.into_iter().map(|one| (instance, one)));
                        }
                        Output::Changed(_) => {}
                    }
                }
                for (to, from, message) in std::mem::take(&mut inbox) {
                    if to == dead || random.random_ratio(1, 10) {
                        continue;
                    }
                    let list = lists.get_mut(&to).unwrap();
                    let from = InstanceId(from);
                    let more = list.step(now, Input::FromPeer { from, message });
                    outputs.extend(more.into_iter().map(|one| (to, one)));
                }
            }
        }
        for (instance, list) in &lists {
            if *instance != dead {
                assert_eq!(
                    list.machines().len(),
                    platform.len(),
                    "seed {seed}, node {instance}"
                );
            }
        }
    }
}
