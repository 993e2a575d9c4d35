//! Selection of the policy whose shares apply to an engine.

mod support;

use firshore_controller::grouping::{ReportedEngine, groups, has_shares};
use firshore_types::configuration::Configuration;
use firshore_types::declaration::EngineRole::{Batch, Mixed, Online};
use firshore_types::labels::Labels;
use firshore_types::machine::{Machine, MachineState};
use firshore_types::validation::parse_declarations;
use support::engine;

const POOL: &str = "
kind: EnginePool
metadata: {name: engines}
spec: {machines: {}}
---
kind: Service
metadata: {name: s, labels: {class: model}}
spec: {protocol: model, model: m, pool: engines}
---
kind: Service
metadata: {name: t}
spec: {protocol: model, model: n, pool: engines}
";

fn configuration(policies: &[(&str, &str)]) -> Configuration {
    let mut text = POOL.to_owned();
    for (name, spec) in policies {
        text += &format!("---\nkind: Policy\nmetadata: {{name: {name}}}\nspec: {spec}\n");
    }
    let mut configuration = Configuration::default();
    for declaration in parse_declarations("test", &text).expect("the declarations parse") {
        configuration.declarations.insert(declaration);
    }
    configuration
}

fn reported(name: &str, size: &str, busy: u32) -> ReportedEngine {
    ReportedEngine {
        machine: Machine {
            name: name.into(),
            address: ([127, 0, 0, 1], 1).into(),
            region: "r".into(),
            zone: "z".into(),
            labels: Labels::from_pairs([("size", size)]),
            state: MachineState::Live,
        },
        view: engine(name, Mixed, &["m"], busy),
    }
}

#[test]
fn the_last_matching_policy_governs() {
    let large = (
        "b-large",
        "{backends: {matchLabels: {size: large}}, roleShares: {online: 100}}",
    );
    let all = ("a-all", "{roleShares: {mixed: 50, batch: 50}}");
    let other = (
        "c-other",
        "{services: {matchLabels: {class: none}}, roleShares: {batch: 100}}",
    );
    let engines = [
        reported("x", "large", 4),
        reported("y", "small", 1),
        reported("z", "small", 2),
    ];
    let found = groups(&configuration(&[all, large, other]), "engines", &engines);
    assert_eq!(found.len(), 2);
    let shares: Vec<Vec<_>> = found
        .iter()
        .map(|one| one.shares.keys().copied().collect())
        .collect();
    assert_eq!(shares, [vec![Mixed, Batch], vec![Online]]);
    let names: Vec<Vec<&str>> = found
        .iter()
        .map(|group| group.engines.iter().map(|one| one.name.as_str()).collect())
        .collect();
    assert_eq!(names, [vec!["y", "z"], vec!["x"]]);
    let weights: Vec<u64> = found[0].demand.iter().map(|one| one.weight).collect();
    assert_eq!(weights, [3_000, 0], "demand for m and n");
}

#[test]
fn roles_stay_unchanged_without_shares() {
    let configuration = configuration(&[("p", "{priority: 3}")]);
    assert!(!has_shares(&configuration));
    let found = groups(&configuration, "engines", &[reported("x", "large", 0)]);
    assert_eq!(found.len(), 1);
    assert!(found[0].role_targets().is_empty());
}
