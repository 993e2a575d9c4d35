//! Set of declarations: lookup by kind and name, copies, serialization.

use firshore_types::configuration::Configuration;
use firshore_types::declaration::{DeclarationKey, Kind};
use firshore_types::declaration_set::DeclarationSet;
use firshore_types::validation::parse_declarations;

const TEXT: &str = "\
kind: Tenant
metadata: {name: a}
spec: {keyDigests: [], priority: 1}
---
kind: Service
metadata: {name: b}
spec: {protocol: application, pool: c}
---
kind: EnginePool
metadata: {name: c}
spec: {machines: {}}
---
kind: EnginePool
metadata: {name: a}
spec: {machines: {}}
";

fn set() -> DeclarationSet {
    let declarations = parse_declarations("test", TEXT).unwrap();
    declarations.into_iter().collect()
}

fn key(kind: Kind, name: &str) -> DeclarationKey {
    let name = name.to_owned();
    DeclarationKey { kind, name }
}

#[test]
fn of_kind_lists_one_kind_by_name() {
    let names = |kind| -> Vec<String> {
        let set = set();
        let found = set.of_kind(kind);
        found
            .map(|declaration| declaration.metadata().name.clone())
            .collect()
    };
    assert_eq!(names(Kind::EnginePool), ["a", "c"]);
    assert_eq!(names(Kind::Service), ["b"]);
    assert_eq!(names(Kind::Tenant), ["a"]);
    assert!(names(Kind::Policy).is_empty());
}

#[test]
fn lookup_respects_the_kind() {
    let configuration = Configuration {
        declarations: set(),
        ..Configuration::default()
    };
    assert!(configuration.tenant("a").is_some());
    assert!(configuration.service("b").is_some());
    assert!(configuration.pool("c").is_some());
    assert!(configuration.service("a").is_none());
    assert!(configuration.tenant("b").is_none());
}

#[test]
fn changing_a_copy_keeps_the_original() {
    let original = set();
    let mut copy = original.clone();
    copy.remove(&key(Kind::Tenant, "a"));
    assert_eq!(copy.len(), 3);
    assert_eq!(original, set());
}

#[test]
fn set_serializes_as_a_list() {
    let text = serde_json::to_string(&set()).unwrap();
    assert!(text.starts_with('['), "{text}");
    let back: DeclarationSet = serde_json::from_str(&text).unwrap();
    assert_eq!(back, set());
}
