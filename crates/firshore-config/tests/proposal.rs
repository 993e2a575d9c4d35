//! Decisions on proposals when other changes are applied concurrently.

mod support;

use firshore_config::proposal::{Decision, Proposal};
use firshore_types::configuration::{Change, Configuration};
use firshore_types::ids::{ChangeId, Revision};
use support::{change, tenant, tenant_key};

fn configuration(changes: &[Change]) -> Configuration {
    let mut configuration = Configuration::default();
    for change in changes {
        assert!(configuration.apply(change));
    }
    configuration
}

fn proposal(id: &str, base: u64, name: &str, priority: u8) -> Proposal {
    Proposal {
        change_id: ChangeId::from(id),
        author: "me".to_owned(),
        base: Revision(base),
        upserts: vec![tenant(name, priority)],
        removals: Vec::new(),
    }
}

#[derive(Debug, PartialEq)]
enum Kind {
    Accepted(u64),
    Taken(u64),
    Write(u64),
    Conflict(&'static str, u64),
    Invalid,
}

#[test]
fn concurrent_proposals() {
    let changes = [
        change(1, "first", "grower", 1),
        change(2, "second", "portal", 2),
        change(3, "third", "grower", 3),
    ];
    let mut removal = proposal("mine", 1, "new", 9);
    removal.removals = vec![tenant_key("grower")];
    let mut twice = proposal("mine", 3, "new", 9);
    twice.upserts.push(tenant("new", 8));
    let mut absent = proposal("mine", 3, "new", 9);
    absent.removals = vec![tenant_key("nobody")];
    let cases = [
        (
            "newest base",
            proposal("mine", 3, "grower", 9),
            Kind::Write(4),
        ),
        (
            "rebased over another declaration",
            proposal("mine", 1, "co-op", 9),
            Kind::Write(4),
        ),
        (
            "the same declaration",
            proposal("mine", 1, "grower", 9),
            Kind::Conflict("third", 3),
        ),
        (
            "the same content",
            proposal("mine", 1, "grower", 3),
            Kind::Write(4),
        ),
        (
            "removal conflicts with a change",
            removal,
            Kind::Conflict("third", 3),
        ),
        (
            "resent",
            proposal("second", 1, "portal", 2),
            Kind::Accepted(2),
        ),
        (
            "resent, base older",
            proposal("third", 0, "grower", 3),
            Kind::Accepted(3),
        ),
        (
            "identifier of another change",
            proposal("second", 1, "portal", 7),
            Kind::Taken(2),
        ),
        ("named twice", twice, Kind::Invalid),
        ("removes an undeclared name", absent, Kind::Invalid),
    ];
    for (name, proposal, expected) in cases {
        let seen = match proposal.decide(&configuration(&changes), &changes) {
            Decision::AlreadyAccepted(revision) => Kind::Accepted(revision.0),
            Decision::IdentifierTaken(revision) => Kind::Taken(revision.0),
            Decision::Write(change) => Kind::Write(change.revision.0),
            Decision::Conflict(others) => {
                assert_eq!(others.len(), 1, "{name}");
                assert_eq!(others[0].keys, [tenant_key("grower")], "{name}");
                assert!(others[0].to_string().contains("tester"), "{name}");
                match others[0].change_id.as_str() {
                    "third" => Kind::Conflict("third", others[0].revision.0),
                    other => panic!("{name}: {other}"),
                }
            }
            Decision::Invalid(_) => Kind::Invalid,
        };
        assert_eq!(seen, expected, "{name}");
    }
}
