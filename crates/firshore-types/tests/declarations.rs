//! Declarations with unknown fields are refused, not accepted in part.

use firshore_types::validation::parse_declarations;

#[test]
fn unknown_fields_are_refused_at_every_level() {
    let valid = "kind: Tenant\nmetadata: {name: a}\nspec: {keyDigests: [], priority: 1}\n";
    assert!(parse_declarations("test", valid).is_ok());
    let cases = [
        ("beside the kind", format!("{valid}status: {{}}\n")),
        (
            "in the metadata",
            valid.replace("name: a", "name: a, label: {}"),
        ),
        (
            "in the content",
            valid.replace("priority: 1", "priority: 1, prioritty: 2"),
        ),
        (
            "in the limits",
            valid.replace("priority: 1", "priority: 1, limits: {perSecond: 2}"),
        ),
        ("unknown kind", valid.replace("Tenant", "Customer")),
    ];
    for (name, text) in cases {
        let faults = parse_declarations("test", &text).expect_err(name);
        assert_eq!(faults.len(), 1, "{name}");
        assert!(!faults[0].remedy.is_empty(), "{name}");
    }
}
