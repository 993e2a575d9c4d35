//! Conditions under which a node may serve.

use firshore_config::floor::{CATCH_UP_MILLISECONDS, FloorGate, NotServing, PAUSE_MILLISECONDS};
use firshore_types::ids::Revision;

enum Step {
    Read(u64),
    Received(u64),
    InForce(u64),
    Unreadable(u64),
    Wait(u64),
    Alive,
}

fn check(steps: &[Step]) -> Result<(), NotServing> {
    let mut gate = FloorGate::default();
    let mut now = 1_000;
    for step in steps {
        match step {
            Step::Read(floor) => gate.floor_read(now, Revision(*floor)),
            Step::Received(floor) => gate.floor_heard(now, Revision(*floor)),
            Step::InForce(revision) => gate.in_force(now, Revision(*revision)),
            Step::Unreadable(revision) => gate.unreadable(Revision(*revision)),
            Step::Wait(milliseconds) => now += milliseconds,
            Step::Alive => gate.alive(now),
        }
    }
    gate.check(now)
}

#[test]
fn a_node_serves_only_at_or_above_the_floor() {
    use Step::*;
    let below = |revision, floor| {
        Err(NotServing::BelowFloor {
            revision: Revision(revision),
            floor: Revision(floor),
        })
    };
    let pause = PAUSE_MILLISECONDS + 1;
    let long = CATCH_UP_MILLISECONDS + 1;
    let cases: &[(&str, &[Step], Result<(), NotServing>)] = &[
        (
            "floor and configuration unknown",
            &[],
            Err(NotServing::FloorUnknown),
        ),
        (
            "floor unknown",
            &[InForce(5)],
            Err(NotServing::FloorUnknown),
        ),
        (
            "received from a peer only",
            &[Received(5), InForce(5)],
            Err(NotServing::FloorUnknown),
        ),
        ("no accepted change", &[Read(0)], Err(NotServing::Empty)),
        ("starting below", &[Read(7), InForce(6)], below(6, 7)),
        (
            "starting below a received floor",
            &[Read(5), Received(7), InForce(6)],
            below(6, 7),
        ),
        ("at the floor", &[Read(7), InForce(7)], Ok(())),
        ("above the floor", &[InForce(9), Read(7)], Ok(())),
        (
            "floor raised just now",
            &[Read(7), InForce(7), Received(8)],
            Ok(()),
        ),
        (
            "floor not reached in time",
            &[Read(7), InForce(7), Received(8), Wait(long)],
            below(7, 8),
        ),
        (
            "caught up",
            &[Read(7), InForce(7), Received(8), Wait(long), InForce(8)],
            Ok(()),
        ),
        (
            "isolated after its start",
            &[Read(7), InForce(7), Wait(1_000_000)],
            Ok(()),
        ),
        (
            "a change of a newer version",
            &[Read(7), InForce(7), Received(8), Unreadable(8), Wait(long)],
            Ok(()),
        ),
        (
            "starting below an unreadable change",
            &[Read(8), InForce(7), Unreadable(8), Wait(long)],
            below(7, 8),
        ),
        (
            "paused, before its driver runs again",
            &[Alive, Read(7), InForce(7), Wait(pause)],
            Err(NotServing::Paused),
        ),
        (
            "paused, floor not read again",
            &[Alive, Read(7), InForce(7), Wait(pause), Alive],
            Err(NotServing::FloorUnknown),
        ),
        (
            "paused, new floor not reached",
            &[Alive, Read(7), InForce(7), Wait(pause), Alive, Read(8)],
            below(7, 8),
        ),
        (
            "paused, floor read again",
            &[Alive, Read(7), InForce(7), Wait(pause), Alive, Read(7)],
            Ok(()),
        ),
    ];
    for (name, steps, expected) in cases {
        assert_eq!(check(steps), *expected, "{name}");
    }
}
