//! Orders planned from shares and demand; all work stays covered by an engine.

mod support;

use firshore_controller::order::Order;
use firshore_controller::plan::{Group, apportion};
use firshore_types::declaration::EngineRole::{Batch, Mixed, Online};
use firshore_types::ids::MachineName;
use std::collections::BTreeSet;
use support::{engine, group};

#[test]
fn counts_follow_weights() {
    let cases: [(&[u64], usize, &[usize]); 7] = [
        (&[50, 50], 10, &[5, 5]),
        (&[90, 10], 3, &[2, 1]),
        (&[99, 1], 2, &[1, 1]),
        (&[60, 40, 0], 5, &[3, 2, 0]),
        (&[1, 1, 1], 2, &[1, 1, 0]),
        (&[0, 0], 4, &[0, 0]),
        (&[1_000_000, 1], 4, &[3, 1]),
    ];
    for (weights, count, expected) in cases {
        assert_eq!(
            apportion(weights, count),
            expected,
            "{weights:?} over {count}"
        );
    }
}

fn orders(group: &Group, busy: &[&str]) -> Vec<String> {
    let busy: BTreeSet<MachineName> = busy.iter().map(|name| MachineName::from(*name)).collect();
    let describe = |order: &Order| match order {
        Order::LoadModel { model } => format!("+{model}"),
        Order::UnloadModel { model } => format!("-{model}"),
        Order::SetRole { role } => format!("{role:?}"),
    };
    let planned = group.plan(&busy);
    planned
        .iter()
        .map(|one| format!("{} {}", one.engine, describe(&one.order)))
        .collect()
}

#[test]
fn orders_are_minimal_and_keep_coverage() {
    let halves = [(Online, 50), (Batch, 50)];
    let mut unavailable = engine("b", Mixed, &["m"], 0);
    unavailable.available = false;
    let cases: [(&str, Group, &[&str], &[&str]); 13] = [
        (
            "targets are met",
            group(
                vec![
                    engine("a", Online, &["m"], 0),
                    engine("b", Batch, &["m"], 0),
                ],
                &halves,
                &[("m", 1)],
            ),
            &[],
            &[],
        ),
        (
            "no shares",
            group(vec![engine("a", Mixed, &["m"], 0)], &[], &[("m", 1)]),
            &[],
            &[],
        ),
        (
            "the less busy engine first, then the other",
            group(
                vec![engine("a", Mixed, &["m"], 5), engine("b", Mixed, &["m"], 1)],
                &halves,
                &[("m", 1)],
            ),
            &[],
            &["b Online"],
        ),
        (
            "the other after the first reports",
            group(
                vec![engine("a", Mixed, &["m"], 5), engine("b", Batch, &["m"], 1)],
                &halves,
                &[("m", 1)],
            ),
            &[],
            &["a Online"],
        ),
        (
            "not while the first order is pending",
            group(
                vec![engine("a", Mixed, &["m"], 5), engine("b", Mixed, &["m"], 1)],
                &halves,
                &[("m", 1)],
            ),
            &["b"],
            &[],
        ),
        (
            "the last available engine keeps its role",
            group(
                vec![engine("a", Mixed, &["m"], 0), unavailable],
                &halves,
                &[("m", 1)],
            ),
            &[],
            &[],
        ),
        (
            "fewer engines than roles",
            group(vec![engine("a", Online, &["m"], 0)], &halves, &[("m", 1)]),
            &[],
            &["a Mixed"],
        ),
        (
            "the last online engine for a model keeps its role",
            group(
                vec![
                    engine("a", Online, &["m"], 0),
                    engine("b", Online, &["n"], 0),
                    engine("c", Online, &["n"], 0),
                ],
                &[(Online, 67), (Batch, 33)],
                &[("m", 1), ("n", 1)],
            ),
            &[],
            &["b Batch"],
        ),
        (
            "a model that no engine holds",
            group(
                vec![engine("a", Mixed, &["m"], 3), engine("b", Mixed, &["m"], 1)],
                &[],
                &[("m", 1), ("n", 1)],
            ),
            &[],
            &["b +n"],
        ),
        (
            "small differences are ignored",
            group(
                vec![
                    engine("a", Mixed, &["m"], 0),
                    engine("b", Mixed, &["m"], 0),
                    engine("c", Mixed, &["n"], 0),
                ],
                &[],
                &[("m", 1), ("n", 9)],
            ),
            &[],
            &[],
        ),
        (
            "demand has shifted",
            group(
                vec![
                    engine("a", Mixed, &["m"], 0),
                    engine("b", Mixed, &["m"], 0),
                    engine("c", Mixed, &["m"], 0),
                    engine("d", Mixed, &["n"], 0),
                ],
                &[],
                &[("m", 1), ("n", 99)],
            ),
            &[],
            &["a +n", "b +n"],
        ),
        (
            "a model that is no longer needed",
            group(vec![engine("a", Mixed, &["m", "old"], 0)], &[], &[("m", 1)]),
            &[],
            &["a -old"],
        ),
        (
            "engines that serve any model get no models",
            group(vec![engine("a", Mixed, &[], 0)], &[], &[("m", 1)]),
            &[],
            &[],
        ),
    ];
    for (name, group, busy, expected) in cases {
        assert_eq!(orders(&group, busy), expected, "{name}");
    }
}
