//! Parsing and validation of declarations.

use firshore_types::configuration::Configuration;
use firshore_types::validation::{parse_declarations, validate};

const VALID: &str = "\
kind: EnginePool
metadata: {name: engines}
spec:
  machines:
    matchLabels: {pool: engines}
---
kind: Service
metadata: {name: notes, labels: {team: mill}}
spec: {protocol: model, model: notes, pool: engines}
---
kind: Tenant
metadata: {name: grower}
spec:
  keyDigests: [060af03a74d4b80511c30f8209071a28716ec30642b951c46737bf258c8f43f4]
  priority: 80
";

fn faults(text: &str) -> String {
    let declarations = match parse_declarations("shop.yaml", text) {
        Ok(declarations) => declarations,
        Err(faults) => return lines(&faults),
    };
    let declarations = declarations.into_iter().collect();
    lines(&validate(&Configuration {
        declarations,
        ..Configuration::default()
    }))
}

fn lines(faults: &[impl ToString]) -> String {
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

#[test]
fn valid_declarations_have_no_fault() {
    assert_eq!(faults(VALID), "");
    assert_eq!(parse_declarations("shop.yaml", VALID).unwrap().len(), 3);
}

#[test]
fn empty_documents_are_skipped() {
    let text = format!("---\n# nothing yet\n---\n{VALID}---\n");
    assert_eq!(parse_declarations("shop.yaml", &text).unwrap().len(), 3);
}

/// Compares the full report of each invalid file: file or declaration, field, problem, remedy.
#[test]
fn each_fault_names_place_field_and_remedy() {
    let cases = [
        (
            "unknown kind",
            "kind: Gateway\nmetadata: {name: x}\nspec: {}",
        ),
        ("no kind", "metadata: {name: x}\nspec: {}"),
        (
            "unknown field of the spec",
            "kind: EnginePool\nmetadata: {name: x}\nspec: {machines: {}, slot: 3}",
        ),
        (
            "unknown field of the declaration",
            "kind: EnginePool\nmetadata: {name: x}\nspecs: {}\nspec: {machines: {}}",
        ),
        (
            "unknown field of a selector",
            "kind: EnginePool\nmetadata: {name: x}\nspec: {machines: {matchLabel: {a: b}}}",
        ),
        (
            "unknown operator",
            "kind: EnginePool\nmetadata: {name: x}\nspec: {machines: {matchExpressions: [{key: a, operator: Like}]}}",
        ),
        ("not YAML", "kind: [Service"),
        (
            "wrong type",
            "kind: Tenant\nmetadata: {name: x}\nspec: {keyDigests: [], priority: high}",
        ),
        (
            "priority beyond a byte",
            "kind: Tenant\nmetadata: {name: x}\nspec: {keyDigests: [], priority: 300}",
        ),
        (
            "priority above the highest",
            "kind: Tenant\nmetadata: {name: x}\nspec: {keyDigests: [], priority: 128}",
        ),
        (
            "priority of a policy above the highest",
            "kind: Policy\nmetadata: {name: x}\nspec: {priority: 200}",
        ),
        (
            "bad name",
            "kind: EnginePool\nmetadata: {name: 'a pool'}\nspec: {machines: {}}",
        ),
        (
            "empty name",
            "kind: EnginePool\nmetadata: {name: ''}\nspec: {machines: {}}",
        ),
        (
            "no slots",
            "kind: EnginePool\nmetadata: {name: x}\nspec: {machines: {}, slots: 0}",
        ),
        (
            "no pool, no model",
            "kind: Service\nmetadata: {name: x}\nspec: {protocol: model, pool: nowhere}",
        ),
        (
            "model served twice",
            "kind: EnginePool\nmetadata: {name: p}\nspec: {machines: {}}\n---\n\
             kind: Service\nmetadata: {name: a}\nspec: {protocol: model, model: m, pool: p}\n---\n\
             kind: Service\nmetadata: {name: b}\nspec: {protocol: model, model: m, pool: p}",
        ),
        (
            "bad digest",
            "kind: Tenant\nmetadata: {name: x}\nspec: {keyDigests: [secret-key], priority: 1}",
        ),
        (
            "rates that are none",
            "kind: Tenant\nmetadata: {name: x}\nspec: {keyDigests: [], priority: 1, limits: {requestsPerSecond: 0}}\n---\n\
             kind: Policy\nmetadata: {name: y}\nspec: {limits: {requestsPerSecond: -1}}",
        ),
        (
            "shares",
            "kind: Policy\nmetadata: {name: x}\nspec: {roleShares: {mixed: 50, online: 40}}",
        ),
        (
            "unknown role",
            "kind: Policy\nmetadata: {name: x}\nspec: {roleShares: {prefill: 100}}",
        ),
    ];
    let mut report = String::new();
    for (name, text) in cases {
        let found = faults(text);
        assert_ne!(found, "", "{name} is not noticed");
        report.push_str(&format!("== {name}\n{found}\n"));
    }
    insta::assert_snapshot!(report);
}

#[test]
fn fault_does_not_reveal_a_key_given_as_digest() {
    let text =
        "kind: Tenant\nmetadata: {name: x}\nspec: {keyDigests: [open-sesame-123], priority: 1}";
    let found = faults(text);
    assert!(!found.contains("open-sesame-123"), "{found}");
}
