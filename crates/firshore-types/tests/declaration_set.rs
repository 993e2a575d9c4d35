//! The set of declarations: look-up by kind and name, cheap copies, its form in messages.

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
fn each_kind_is_listed_alone_in_order_of_name() {
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
fn names_are_found_within_their_kind_only() {
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
fn a_changed_copy_leaves_the_original_as_it_was() {
    let original = set();
    let mut copy = original.clone();
    copy.remove(&key(Kind::Tenant, "a"));
    assert_eq!(copy.len(), 3);
    assert_eq!(original, set());
}

#[test]
fn a_set_travels_as_a_list() {
    let text = serde_json::to_string(&set()).unwrap();
    assert!(text.starts_with('['), "{text}");
    let back: DeclarationSet = serde_json::from_str(&text).unwrap();
    assert_eq!(back, set());
}
