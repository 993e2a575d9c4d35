//! Selectors over labels.

use firshore_types::labels::{Expression, Labels, Operator, Selector};

struct Case {
    name: &'static str,
    selector: Selector,
    labels: Labels,
    matches: bool,
}

fn expression(operator: Operator, values: &[&str]) -> Selector {
    Selector {
        match_expressions: vec![Expression {
            key: "class".to_owned(),
            operator,
            values: values.iter().map(|value| (*value).to_owned()).collect(),
        }],
        ..Selector::default()
    }
}

fn case(name: &'static str, selector: Selector, labels: &[(&str, &str)], matches: bool) -> Case {
    Case {
        name,
        selector,
        labels: Labels::from_pairs(labels.iter().copied()),
        matches,
    }
}

#[test]
fn selectors_match_as_their_operators_say() {
    let nightly: &[(&str, &str)] = &[("class", "nightly")];
    let other: &[(&str, &str)] = &[("class", "online")];
    let absent: &[(&str, &str)] = &[("team", "fieldline")];
    let exact = Selector::matching([("class", "nightly"), ("team", "fieldline")]);
    let mut both = expression(Operator::Exists, &[]);
    both.match_labels = Selector::matching([("team", "fieldline")]).match_labels;
    let cases = [
        case("empty selects all", Selector::default(), absent, true),
        case("empty selects no labels", Selector::default(), &[], true),
        case("exact needs all labels", exact.clone(), nightly, false),
        case(
            "exact with all",
            exact,
            &[("class", "nightly"), ("team", "fieldline"), ("more", "x")],
            true,
        ),
        case(
            "In",
            expression(Operator::In, &["a", "nightly"]),
            nightly,
            true,
        ),
        case(
            "In, other",
            expression(Operator::In, &["nightly"]),
            other,
            false,
        ),
        case(
            "In, absent",
            expression(Operator::In, &["nightly"]),
            absent,
            false,
        ),
        case(
            "In, no value",
            expression(Operator::In, &[]),
            nightly,
            false,
        ),
        case(
            "NotIn",
            expression(Operator::NotIn, &["nightly"]),
            nightly,
            false,
        ),
        case(
            "NotIn, other",
            expression(Operator::NotIn, &["nightly"]),
            other,
            true,
        ),
        case(
            "NotIn, absent",
            expression(Operator::NotIn, &["nightly"]),
            absent,
            true,
        ),
        case("Exists", expression(Operator::Exists, &[]), nightly, true),
        case(
            "Exists, absent",
            expression(Operator::Exists, &[]),
            absent,
            false,
        ),
        case(
            "DoesNotExist",
            expression(Operator::DoesNotExist, &[]),
            nightly,
            false,
        ),
        case(
            "DoesNotExist, absent",
            expression(Operator::DoesNotExist, &[]),
            absent,
            true,
        ),
        case("both parts must hold", both.clone(), nightly, false),
        case(
            "both parts hold",
            both,
            &[("class", "x"), ("team", "fieldline")],
            true,
        ),
    ];
    for case in cases {
        assert_eq!(
            case.selector.matches(&case.labels),
            case.matches,
            "{}",
            case.name
        );
    }
}

#[test]
fn overlaid_labels_replace_existing_values() {
    let under = Labels::from_pairs([("a", "1"), ("b", "2")]);
    let over = Labels::from_pairs([("b", "3"), ("c", "4")]);
    let expected = Labels::from_pairs([("a", "1"), ("b", "3"), ("c", "4")]);
    assert_eq!(under.overlaid_with(&over), expected);
}
