//! Fault cases of dissemination.

mod support;

use firshore_config::dissemination::{
    Dissemination, EAGER_PUSH_BYTES, FAILED_READS_BEFORE_HANDOVER, Input, Output,
    PULL_TIMEOUT_MILLISECONDS, SUBSTITUTE_MILLISECONDS,
};
use firshore_config::history::{HISTORY_RECORDS, HistoryDigest, Record, RecordError};
use firshore_config::message::{Advertisement, Message, Snapshot};
use firshore_config::readers::{READERS_PER_REGION, reader_order};
use firshore_types::ids::{InstanceId, Revision};
use support::{chain, extend, peer};

const PEER: InstanceId = InstanceId(2);

fn node() -> Dissemination {
    let mut node = Dissemination::new(peer(1, "north", "north-a"), 7);
    node.step(
        0,
        Input::Members(vec![
            peer(2, "north", "north-a"),
            peer(3, "north", "north-b"),
        ]),
    );
    node
}

fn from_peer(message: Message) -> Input {
    Input::FromPeer {
        from: PEER,
        message,
    }
}

fn node_at(records: &[Record]) -> Dissemination {
    let mut node = node();
    node.step(0, Input::Written(records.to_vec()));
    node
}

fn sent(outputs: &[Output]) -> Vec<(InstanceId, Message)> {
    let of_output = |output: &Output| match output {
        Output::Send { to, message } => Some((*to, message.clone())),
        _ => None,
    };
    outputs.iter().filter_map(of_output).collect()
}

fn refused(outputs: &[Output]) -> Option<RecordError> {
    outputs.iter().find_map(|output| match output {
        Output::Refused(refusal) => Some(refusal.error.clone()),
        _ => None,
    })
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Expected {
    Nothing,
    Divergent,
    Unreadable,
    Pull,
}

#[test]
fn records_apply_only_as_a_chain() {
    let ours = chain(10, "ours");
    let theirs = chain(12, "theirs");
    let newer = extend(&ours, 3, "ours");
    let mut future = newer[10].clone();
    future.text = future
        .text
        .replace("\"author\"", "\"unknownField\":1,\"author\"");
    let garbage = Record {
        revision: Revision(11),
        text: "{".to_owned(),
    };
    let cases = [
        ("next change", newer[10..11].to_vec(), 11, Expected::Nothing),
        (
            "several changes",
            newer[10..].to_vec(),
            13,
            Expected::Nothing,
        ),
        (
            "overlap with applied changes",
            newer[7..].to_vec(),
            13,
            Expected::Nothing,
        ),
        ("older change", ours[4..6].to_vec(), 10, Expected::Nothing),
        (
            "changes out of order",
            newer[11..].to_vec(),
            10,
            Expected::Pull,
        ),
        (
            "another history ahead",
            theirs[10..].to_vec(),
            10,
            Expected::Divergent,
        ),
        (
            "another history behind",
            theirs[3..4].to_vec(),
            10,
            Expected::Divergent,
        ),
        (
            "a field of a newer version",
            vec![future],
            10,
            Expected::Unreadable,
        ),
        (
            "not a change object",
            vec![garbage],
            10,
            Expected::Unreadable,
        ),
        ("nothing", vec![], 10, Expected::Nothing),
    ];
    for (name, records, revision, expected) in cases {
        let mut node = node_at(&ours);
        let outputs = node.step(1, from_peer(Message::Chain(records)));
        assert_eq!(node.history().head(), Revision(revision), "{name}");
        assert_eq!(node.configuration().revision, Revision(revision), "{name}");
        let pulled = sent(&outputs)
            .iter()
            .any(|(to, message)| *to == PEER && matches!(message, Message::Pull { .. }));
        assert_eq!(pulled, expected == Expected::Pull, "{name}");
        let seen = match refused(&outputs) {
            Some(RecordError::Divergent) => Expected::Divergent,
            Some(RecordError::Unreadable(_)) => Expected::Unreadable,
            None if pulled => Expected::Pull,
            None => Expected::Nothing,
        };
        assert_eq!(seen, expected, "{name}");
    }
}

#[test]
fn snapshots_never_revert_or_diverge() {
    let ours = chain(10, "ours");
    let theirs = node_at(&chain(9, "theirs")).snapshot();
    let cases: [(&str, Snapshot, u64, bool); 4] = [
        (
            "newer",
            node_at(&extend(&ours, 5, "ours")).snapshot(),
            15,
            false,
        ),
        ("older", node_at(&ours[..4]).snapshot(), 10, false),
        ("the same", node_at(&ours).snapshot(), 10, false),
        ("older, of another history", theirs, 10, true),
    ];
    for (name, snapshot, revision, divergent) in cases {
        let mut node = node_at(&ours);
        let outputs = node.step(1, from_peer(Message::Snapshot(Box::new(snapshot))));
        assert_eq!(node.history().head(), Revision(revision), "{name}");
        assert_eq!(refused(&outputs).is_some(), divergent, "{name}");
    }
}

fn advertisement(records: &[Record], floor: u64) -> Message {
    Message::Advertisement(Advertisement {
        revision: records.last().map_or(Revision(0), |last| last.revision),
        digest: records
            .last()
            .map_or(HistoryDigest::default(), Record::digest),
        floor: Revision(floor),
    })
}

#[test]
fn advertisements_find_what_is_missing() {
    let ours = chain(10, "ours");
    let ahead = extend(&ours, 2, "ours");
    let outputs = node_at(&ours).step(1, from_peer(advertisement(&ahead, 0)));
    assert!(matches!(
        sent(&outputs)[..],
        [(
            PEER,
            Message::Pull {
                after: Revision(10),
                ..
            }
        )]
    ));

    let outputs = node_at(&ours).step(1, from_peer(advertisement(&ours[..8], 0)));
    let [(PEER, Message::Chain(records))] = &sent(&outputs)[..] else {
        panic!("the missing changes are few and are sent at once");
    };
    assert_eq!(records[..], ours[8..]);

    let outputs = node_at(&ours).step(1, from_peer(advertisement(&ours, 0)));
    assert!(sent(&outputs).is_empty(), "equal nodes send nothing");

    let outputs = node_at(&ours).step(1, from_peer(advertisement(&chain(10, "theirs"), 0)));
    assert_eq!(refused(&outputs), Some(RecordError::Divergent));

    let mut node = node_at(&ours);
    node.step(1, from_peer(advertisement(&ours, 12)));
    assert_eq!(node.floor(), Revision(12), "the floor is received");
}

#[test]
fn pull_returns_range_snapshot_or_busy() {
    let long = chain(HISTORY_RECORDS as u64 + 50, "ours");
    let mut node = node_at(&long);
    let pull = |after: u64| {
        let digest = match after {
            0 => HistoryDigest::default(),
            _ => long[after as usize - 1].digest(),
        };
        from_peer(Message::Pull {
            after: Revision(after),
            digest,
        })
    };
    let outputs = node.step(1, pull(HISTORY_RECORDS as u64 + 40));
    assert!(matches!(&sent(&outputs)[..], [(_, Message::Chain(records))] if records.len() == 10));
    let outputs = node.step(1, pull(3));
    assert!(matches!(&sent(&outputs)[..], [(_, Message::Snapshot(_))]));
    let outputs = node.step(2, pull(0));
    assert!(
        matches!(&sent(&outputs)[..], [(_, Message::Busy)]),
        "snapshots are rate-limited"
    );
    let outputs = node.step(
        3,
        from_peer(Message::Pull {
            after: Revision(HISTORY_RECORDS as u64),
            digest: HistoryDigest::default(),
        }),
    );
    assert!(matches!(
        &sent(&outputs)[..],
        [(_, Message::Divergent { .. })]
    ));
    assert_eq!(refused(&outputs), Some(RecordError::Divergent));
}

#[test]
fn a_lost_pull_is_repeated_with_another_peer() {
    let ours = chain(3, "ours");
    let ahead = extend(&ours, 2, "ours");
    let mut node = node_at(&ours);
    node.step(1, from_peer(advertisement(&ahead, 0)));
    let outputs = node.step(2, from_peer(advertisement(&ahead, 0)));
    assert!(sent(&outputs).is_empty(), "one pull at a time");
    let late = 3 + PULL_TIMEOUT_MILLISECONDS;
    node.step(late, Input::Tick);
    let from = InstanceId(3);
    let message = advertisement(&ahead, 0);
    let outputs = node.step(late, Input::FromPeer { from, message });
    assert!(matches!(
        sent(&outputs)[..],
        [(InstanceId(3), Message::Pull { .. })]
    ));
}

#[test]
fn large_changes_are_advertised_and_small_ones_pushed() {
    let ours = chain(1, "ours");
    let small = node().step(0, Input::ObjectsRead(ours.clone()));
    let messages = sent(&small);
    assert!(!messages.is_empty());
    assert!(
        messages
            .iter()
            .all(|(_, message)| matches!(message, Message::Chain(_)))
    );
    let many = chain(1 + EAGER_PUSH_BYTES as u64 / 100, "ours");
    let large = node().step(0, Input::ObjectsRead(many));
    let messages = sent(&large);
    assert!(!messages.is_empty());
    assert!(
        messages
            .iter()
            .all(|(_, message)| matches!(message, Message::Advertisement(_)))
    );
}

#[test]
fn readers_are_few_and_replaced_in_order() {
    let peers: Vec<_> = (1..=40)
        .map(|instance| peer(instance, "north", "north-a"))
        .collect();
    let order = reader_order("configuration-readers", &"north".into(), &peers);
    let reading = |alive: &[_]| -> Vec<InstanceId> {
        let reads = |local: &firshore_config::readers::Peer| {
            let mut node = Dissemination::new(local.clone(), 1);
            node.step(0, Input::Members(alive.to_vec()));
            node.is_reader(0)
        };
        alive
            .iter()
            .filter(|local| reads(local))
            .map(|local| local.instance)
            .collect()
    };
    let mut expected = order[..READERS_PER_REGION].to_vec();
    expected.sort();
    assert_eq!(reading(&peers), expected);
    let without_first: Vec<_> = peers
        .iter()
        .filter(|peer| peer.instance != order[0])
        .cloned()
        .collect();
    let mut expected = order[1..=READERS_PER_REGION].to_vec();
    expected.sort();
    assert_eq!(reading(&without_first), expected);
}

#[test]
fn failing_reader_hands_over_to_the_next() {
    let peers: Vec<_> = (1..=10)
        .map(|instance| peer(instance, "north", "north-a"))
        .collect();
    let order = reader_order("configuration-readers", &"north".into(), &peers);
    let node_of = |instance: InstanceId| {
        let mut node = Dissemination::new(peer(instance.0, "north", "north-a"), 1);
        node.step(0, Input::Members(peers.clone()));
        node
    };
    let mut reader = node_of(order[0]);
    let mut substitutes = Vec::new();
    for attempt in 0..2 * SUBSTITUTE_MILLISECONDS / 1_000 {
        let outputs = reader.step(attempt * 1_000, Input::ObjectsUnread);
        let early = attempt + 1 < u64::from(FAILED_READS_BEFORE_HANDOVER);
        assert!(!early || sent(&outputs).is_empty(), "attempt {attempt}");
        substitutes.extend(sent(&outputs).into_iter().map(|(to, _)| to));
    }
    // One substitute at a time, in order, each for `SUBSTITUTE_MILLISECONDS`.
    assert_eq!(
        substitutes,
        order[READERS_PER_REGION..READERS_PER_REGION + 2]
    );
    let mut substitute = node_of(substitutes[0]);
    let outputs = substitute.step(5, from_peer(Message::TakeOverReading));
    assert!(
        outputs
            .iter()
            .any(|output| matches!(output, Output::WatchObjects { .. }))
    );
    assert!(!substitute.is_reader(6 + SUBSTITUTE_MILLISECONDS));
}

#[test]
fn restored_or_stale_object_api_changes_nothing() {
    let ours = chain(10, "ours");
    let rewritten = extend(&ours[..5], 8, "rewritten");
    let cases = [
        ("stale: nothing new", vec![], None),
        ("stale: older changes", ours[..7].to_vec(), None),
        (
            "rewritten after a restore",
            rewritten[10..].to_vec(),
            Some(RecordError::Divergent),
        ),
        (
            "a gap after a restore",
            extend(&ours, 3, "ours")[11..].to_vec(),
            None,
        ),
    ];
    for (name, records, expected) in cases {
        let mut node = node_at(&ours);
        let outputs = node.step(1, Input::ObjectsRead(records));
        assert_eq!(node.history().head(), Revision(10), "{name}");
        assert_eq!(refused(&outputs), expected, "{name}");
    }
}
