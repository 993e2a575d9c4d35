//! A bounded set of seeds of the hollow simulation: every rule holds under loss, crashes, restarts,
//! pauses, an outage of the object API and a region cut.

use firshore_lab::simulation::hollow::fleet::Simulation;
use firshore_lab::simulation::hollow::scenario::Scenario;

#[test]
fn rules_hold_for_a_bounded_set_of_seeds() {
    // 12, 23, 32 and 34 each broke a rule once.
    let cases = [(2, 36), (12, 36), (23, 36), (32, 36), (34, 36), (3, 12)];
    std::thread::scope(|scope| {
        for (seed, nodes) in cases {
            scope.spawn(move || {
                let outcome = Simulation::new(Scenario::dense(seed, nodes)).run();
                let broken = outcome.broken_rules();
                assert!(broken.is_empty(), "seed {seed}, {nodes} nodes: {broken:?}");
                assert!(outcome.in_force.count() > 0 && outcome.crashes > 0);
                let slowest = outcome.in_force.maximum_seconds();
                assert!(slowest < 19.0, "seed {seed}: in force after {slowest} s");
            });
        }
    });
}

#[test]
fn a_seed_replays_exactly() {
    let run = || {
        let outcome = Simulation::new(Scenario::dense(7, 9)).run();
        let sent: Vec<u64> = outcome.traffic.iter().map(|one| one.sent_bytes).collect();
        (sent, outcome.changes, outcome.in_force.maximum_seconds())
    };
    assert_eq!(run(), run());
}
