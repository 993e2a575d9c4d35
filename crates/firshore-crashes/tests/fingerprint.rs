//! Digests of requests.

use firshore_crashes::fingerprint::{FingerprintInput, FingerprintKey};
use firshore_types::ids::TenantName;
use std::collections::BTreeSet;

const ASKED: FingerprintInput<'static> = FingerprintInput {
    tenant: None,
    host: "a.example",
    method: "POST",
    target: "/notes/1?full=1",
    body: b"body",
};

#[test]
fn what_asks_the_same_has_the_same_print_at_all_nodes_with_the_key() {
    let (one, other) = (
        FingerprintKey::new(b"secret"),
        FingerprintKey::new(b"secret"),
    );
    assert_eq!(one.fingerprint(&ASKED), other.fingerprint(&ASKED));
    assert_ne!(
        one.fingerprint(&ASKED),
        FingerprintKey::new(b"another").fingerprint(&ASKED)
    );
}

#[test]
fn caller_host_method_target_and_body_are_told_apart() {
    let key = FingerprintKey::new(b"secret");
    let tenant: TenantName = "t".into();
    let same_word: TenantName = "a.example".into();
    let asked = [
        ASKED,
        FingerprintInput {
            tenant: Some(&tenant),
            ..ASKED
        },
        FingerprintInput {
            tenant: Some(&same_word),
            ..ASKED
        },
        FingerprintInput {
            host: "b.example",
            ..ASKED
        },
        FingerprintInput {
            method: "PUT",
            ..ASKED
        },
        FingerprintInput {
            target: "/notes/1?full=2",
            ..ASKED
        },
        FingerprintInput {
            target: "/notes/1?full=1body",
            body: b"",
            ..ASKED
        },
        FingerprintInput {
            body: b"bodi",
            ..ASKED
        },
    ];
    let prints: BTreeSet<String> = asked
        .iter()
        .map(|one| key.fingerprint(one).to_string())
        .collect();
    assert_eq!(prints.len(), asked.len());
    assert!(prints.iter().all(|print| print.len() == 32));
}

#[test]
fn requests_of_one_caller_share_the_callers_digest() {
    let key = FingerprintKey::new(b"secret");
    let tenant: TenantName = "t".into();
    let other_body = FingerprintInput {
        body: b"other",
        ..ASKED
    };
    let of_tenant = FingerprintInput {
        tenant: Some(&tenant),
        ..ASKED
    };
    assert_eq!(
        key.fingerprint(&ASKED).caller(),
        key.fingerprint(&other_body).caller()
    );
    assert_ne!(
        key.fingerprint(&ASKED).caller(),
        key.fingerprint(&of_tenant).caller()
    );
}
