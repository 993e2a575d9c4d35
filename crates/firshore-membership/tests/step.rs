//! Single steps of one node.

mod support;

use firshore_membership::budget::ByteBudget;
use firshore_membership::member::MemberState;
use firshore_membership::membership::{Input, Membership, Output};
use firshore_membership::message::{Claim, Envelope, MemberRecord, Message, Rumour};
use firshore_types::ids::InstanceId;
use rand::SeedableRng;
use rand::rngs::StdRng;
use support::{address, member};

fn node() -> Membership {
    let rng = StdRng::seed_from_u64(1);
    Membership::new(1_000, member(0, 1, "a/1"), Vec::new(), rng)
}

fn from_peer(message: Message, rumours: Vec<Rumour>) -> Envelope {
    Envelope {
        from: InstanceId(2),
        from_address: address(1),
        to: Some(InstanceId(1)),
        rumours,
        message,
    }
}

fn claim(instance: u64, incarnation: u64, state: MemberState) -> Claim {
    Claim {
        instance: InstanceId(instance),
        incarnation,
        state,
    }
}

fn node_with_peers() -> Membership {
    let mut node = node();
    let record = MemberRecord::from(&member(1, 2, "a/1"));
    let other = MemberRecord::from(&member(2, 3, "a/1"));
    let far = MemberRecord::from(&member(3, 4, "b/2"));
    let far_peer = MemberRecord::from(&member(4, 5, "b/2"));
    let rumours = [record, other, far, far_peer].map(Rumour::Record);
    let envelope = from_peer(Message::Notice, rumours.to_vec());
    node.step(1_000, Input::Received(envelope));
    node
}

struct Case {
    /// 3 is in the local region, 4 in another.
    instance: u64,
    claims: &'static [(u64, MemberState)],
    expected: MemberState,
}

#[test]
fn newer_claims_replace_older_ones() {
    use MemberState::{Alive, Failed, Leaving, Suspect};
    let case = |instance, claims, expected| Case {
        instance,
        claims,
        expected,
    };
    let cases = [
        case(3, &[(0, Suspect)], Suspect),
        case(3, &[(0, Suspect), (0, Alive)], Suspect),
        case(3, &[(0, Suspect), (1, Alive)], Alive),
        case(3, &[(1, Alive), (0, Suspect)], Alive),
        case(3, &[(0, Failed)], Suspect),
        case(3, &[(1, Leaving), (1, Failed)], Failed),
        case(4, &[(0, Failed)], Failed),
        case(4, &[(0, Failed), (0, Alive)], Failed),
        case(4, &[(0, Failed), (1, Alive)], Alive),
    ];
    for case in cases {
        let mut node = node_with_peers();
        for (incarnation, state) in case.claims {
            let rumour = Rumour::Claim(claim(case.instance, *incarnation, *state));
            let envelope = from_peer(Message::Notice, vec![rumour]);
            node.step(1_000, Input::Received(envelope));
        }
        let members = node.members(1_000);
        let found = members
            .iter()
            .find(|member| member.instance.0 == case.instance);
        let state = found.map(|member| member.state);
        assert_eq!(
            state,
            Some(case.expected),
            "{} {:?}",
            case.instance,
            case.claims
        );
    }
}

#[test]
fn accusations_are_refuted_with_a_higher_incarnation() {
    for state in [MemberState::Suspect, MemberState::Failed] {
        let mut node = node_with_peers();
        let rumour = Rumour::Claim(claim(1, 4, state));
        let envelope = from_peer(Message::Ping(9), vec![rumour]);
        let outputs = node.step(1_000, Input::Received(envelope));
        assert_eq!(node.own().incarnation, 5);
        assert_eq!(node.own().state, MemberState::Alive);
        let is_sent = outputs.iter().any(|output| match output {
            Output::Send { envelope, .. } => envelope.rumours.iter().any(|rumour| match rumour {
                Rumour::Claim(claim) => claim.instance.0 == 1 && claim.incarnation == 5,
                Rumour::Record(record) => record.claim.incarnation == 5,
            }),
            _ => false,
        });
        assert!(is_sent, "{outputs:?}");
    }
}

#[test]
fn a_leaving_node_stays_leaving_when_accused() {
    let mut node = node_with_peers();
    node.step(1_000, Input::Leave);
    let rumour = Rumour::Claim(claim(1, 1, MemberState::Failed));
    let envelope = from_peer(Message::Notice, vec![rumour]);
    node.step(1_000, Input::Received(envelope));
    assert_eq!(node.own().state, MemberState::Leaving);
    assert_eq!(node.own().incarnation, 2);
}

#[test]
fn a_message_for_a_previous_instance_at_the_address_is_refused_without_effect() {
    let mut node = node_with_peers();
    let rumour = Rumour::Claim(claim(3, 7, MemberState::Leaving));
    let mut envelope = from_peer(Message::Ping(9), vec![rumour]);
    envelope.to = Some(InstanceId(99));
    let outputs = node.step(1_000, Input::Received(envelope));
    let refused = outputs.iter().any(|output| match output {
        Output::Send { envelope, .. } => envelope.message == Message::WrongInstance(InstanceId(99)),
        _ => false,
    });
    assert!(refused, "{outputs:?}");
    let members = node.members(1_000);
    assert!(
        members
            .iter()
            .all(|member| member.state == MemberState::Alive)
    );
}

#[test]
fn estimated_sizes_are_upper_bounds() {
    let mut far = member(629, u64::MAX - 1, "region-long-name/zone-long-name");
    far.incarnation = 1_000;
    far.state = MemberState::Suspect;
    let record = MemberRecord::from(&far);
    let messages = [
        Message::Ping(u32::MAX),
        Message::Join(record.clone()),
        Message::Summary(u64::MAX),
        Message::Compare(vec![u32::MAX; 64]),
        Message::Claims {
            buckets: vec![63; 64],
            claims: vec![Claim::of(&far); 100],
        },
        Message::Records(vec![record.clone(); 100]),
        Message::View {
            buckets: vec![63; 64],
            records: vec![record.clone(); 100],
            more: true,
        },
    ];
    for message in messages {
        let rumours = vec![
            Rumour::Claim(Claim::of(&far)),
            Rumour::Record(record.clone()),
        ];
        let mut envelope = from_peer(message, rumours);
        envelope.from = InstanceId(u64::MAX);
        envelope.to = Some(InstanceId(u64::MAX));
        let mut bytes = Vec::new();
        ciborium::into_writer(&envelope, &mut bytes).unwrap();
        let estimate = envelope.estimated_bytes();
        assert!(bytes.len() <= estimate, "{} > {estimate}", bytes.len());
        let decoded: Envelope = ciborium::from_reader(bytes.as_slice()).unwrap();
        assert_eq!(decoded, envelope);
    }
}

#[test]
fn the_budget_refills_up_to_its_burst_and_never_goes_negative() {
    let mut budget = ByteBudget::new(0, 100, 1_000);
    budget.spend(900);
    assert_eq!(budget.available(), 100);
    budget.refill(500);
    assert_eq!(budget.available(), 150);
    budget.spend(10_000);
    assert_eq!(budget.available(), 0);
    budget.refill(1_000_000);
    assert_eq!(budget.available(), 1_000);
}

#[test]
fn hints_are_used_for_joining_and_missing_ones_change_no_state() {
    let mut node = node();
    node.step(1_000, Input::Hints(vec![address(7)]));
    let outputs = node.step(1_000, Input::Tick);
    let contacted = outputs.iter().any(|output| match output {
        Output::Send { to, envelope } => {
            *to == address(7) && matches!(envelope.message, Message::Join(_))
        }
        _ => false,
    });
    assert!(contacted, "{outputs:?}");
    let mut node = node_with_peers();
    node.step(1_000, Input::Hints(Vec::new()));
    assert_eq!(node.alive(1_000).len(), 5);
}
