//! Fingerprints of requests.

use firshore_crashes::fingerprint::{FingerprintInput, FingerprintKey, PartInput};
use firshore_types::ids::TenantName;
use std::collections::BTreeSet;

const REQUEST: FingerprintInput<'static> = FingerprintInput {
    tenant: None,
    host: "a.example",
    method: "POST",
    target: "/notes/1?full=1",
    body: b"body",
};

#[test]
fn equal_requests_have_equal_fingerprints_under_the_same_key() {
    let (first, second) = (
        FingerprintKey::new(b"secret"),
        FingerprintKey::new(b"secret"),
    );
    assert_eq!(first.fingerprint(&REQUEST), second.fingerprint(&REQUEST));
    assert_ne!(
        first.fingerprint(&REQUEST),
        FingerprintKey::new(b"another").fingerprint(&REQUEST)
    );
}

#[test]
fn caller_host_method_target_and_body_change_the_fingerprint() {
    let key = FingerprintKey::new(b"secret");
    let tenant: TenantName = "t".into();
    let named_like_host: TenantName = "a.example".into();
    let requests = [
        REQUEST,
        FingerprintInput {
            tenant: Some(&tenant),
            ..REQUEST
        },
        FingerprintInput {
            tenant: Some(&named_like_host),
            ..REQUEST
        },
        FingerprintInput {
            host: "b.example",
            ..REQUEST
        },
        FingerprintInput {
            method: "PUT",
            ..REQUEST
        },
        FingerprintInput {
            target: "/notes/1?full=2",
            ..REQUEST
        },
        FingerprintInput {
            target: "/notes/1?full=1body",
            body: b"",
            ..REQUEST
        },
        FingerprintInput {
            body: b"bodi",
            ..REQUEST
        },
    ];
    let fingerprints: BTreeSet<String> = requests
        .iter()
        .map(|request| key.fingerprint(request).to_string())
        .collect();
    assert_eq!(fingerprints.len(), requests.len());
    assert!(
        fingerprints
            .iter()
            .all(|fingerprint| fingerprint.len() == 32)
    );
}

#[test]
fn requests_of_one_caller_share_its_digest() {
    let key = FingerprintKey::new(b"secret");
    let tenant: TenantName = "t".into();
    let other_body = FingerprintInput {
        body: b"other",
        ..REQUEST
    };
    let of_tenant = FingerprintInput {
        tenant: Some(&tenant),
        ..REQUEST
    };
    assert_eq!(
        key.fingerprint(&REQUEST).caller(),
        key.fingerprint(&other_body).caller()
    );
    assert_ne!(
        key.fingerprint(&REQUEST).caller(),
        key.fingerprint(&of_tenant).caller()
    );
}

#[test]
fn caller_and_hash_change_the_fingerprint_of_a_part() {
    let key = FingerprintKey::new(b"secret");
    let part = PartInput {
        tenant: None,
        host: "a.example",
        hash: 7,
    };
    assert_eq!(key.part(&part), key.part(&part));
    let tenant: TenantName = "a.example".into();
    let others = [
        PartInput { hash: 8, ..part },
        PartInput {
            host: "b.example",
            ..part
        },
        PartInput {
            tenant: Some(&tenant),
            ..part
        },
    ];
    for other in others {
        assert_ne!(key.part(&part), key.part(&other), "{other:?}");
    }
    assert_eq!(
        key.part(&part).caller(),
        key.fingerprint(&REQUEST).caller(),
        "a part and a request of one caller"
    );
}
