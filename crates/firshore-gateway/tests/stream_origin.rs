//! What began a stream: the decision, the table of records, and the history of software versions.

use firshore_adapter::backend::Backend;
use firshore_adapter::incarnation::{Incarnation, StartTime};
use firshore_adapter::text_origin::TextOrigin;
use firshore_crashes::fingerprint::{FingerprintInput, FingerprintKey};
use firshore_gateway::software_history::SoftwareHistory;
use firshore_gateway::stream_origin::{
    OriginAnswers, OriginDecision, OriginKnowledge, OriginQuery, OriginRecord, OriginSource,
    OriginTable, STREAM_LIFETIME, StreamKey, decide,
};
use firshore_types::ids::SoftwareVersion;
use std::slice;
use std::time::{Duration, Instant};

const SECOND: Duration = Duration::from_secs(1);

fn backend(name: &str, software: Option<&str>) -> Backend {
    Backend {
        incarnation: Incarnation::named(name),
        service: "s".into(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: "here".into(),
        slots: 1,
        leaving: false,
        warm_up: None,
        software: software.map(SoftwareVersion::from),
    }
}

fn key(attempt: &str) -> StreamKey {
    StreamKey(
        FingerprintKey::new(b"secret").fingerprint(&FingerprintInput {
            tenant: None,
            host: "a.example",
            method: "stream",
            target: "route",
            body: attempt.as_bytes(),
        }),
    )
}

fn query(attempt: Option<&str>) -> OriginQuery {
    OriginQuery {
        key: attempt.map(key),
        service: "s".into(),
    }
}

fn knows(versions: &[&str], complete: bool) -> OriginKnowledge {
    OriginKnowledge {
        record: None,
        versions: versions
            .iter()
            .copied()
            .map(SoftwareVersion::from)
            .collect(),
        complete,
    }
}

fn recorded(version: &str) -> OriginKnowledge {
    OriginKnowledge {
        record: Some(OriginRecord {
            key: key("r0"),
            origin: TextOrigin::at(&backend("a", Some(version))),
            age: 70,
        }),
        ..knows(&["v1", "v2"], true)
    }
}

fn answers(known: &[OriginKnowledge], holder_answered: bool) -> OriginAnswers {
    OriginAnswers {
        known: known.to_vec(),
        has_holders: true,
        holder_answered,
    }
}

/// Returns the version at which a stream may go on, and where it is known from.
fn decided(
    attempt: Option<&str>,
    own: &OriginKnowledge,
    answers: &OriginAnswers,
) -> Option<(String, OriginSource)> {
    match decide(&query(attempt), None, own, answers) {
        OriginDecision::Known { origin, source, .. } => {
            Some((origin.software().unwrap().to_string(), source))
        }
        OriginDecision::Unknown => None,
    }
}

#[test]
fn a_stream_goes_on_only_where_its_version_is_known() {
    let (one, other) = (knows(&["v1"], true), knows(&["v2"], true));
    let (gap, two) = (knows(&["v1"], false), knows(&["v1", "v2"], true));
    let nobody = OriginAnswers::default();
    let only = |version: &str| Some((version.to_owned(), OriginSource::OnlyVersion));
    let record = |version: &str| Some((version.to_owned(), OriginSource::Record));
    let cases = [
        (
            "one version, no attempt named",
            None,
            &one,
            nobody.clone(),
            only("v1"),
        ),
        ("a gap", None, &gap, nobody.clone(), None),
        ("two versions", None, &two, nobody.clone(), None),
        (
            "a gap, another node saw all",
            None,
            &gap,
            answers(slice::from_ref(&one), false),
            only("v1"),
        ),
        (
            "a gap, another node saw two",
            None,
            &gap,
            answers(slice::from_ref(&two), false),
            None,
        ),
        (
            "another node saw another version",
            None,
            &one,
            answers(slice::from_ref(&other), false),
            None,
        ),
        (
            "both had gaps",
            None,
            &gap,
            answers(slice::from_ref(&gap), true),
            None,
        ),
        (
            "a record",
            Some("r0"),
            &two,
            answers(&[recorded("v2")], true),
            record("v2"),
        ),
        (
            "a record, although one version is seen",
            Some("r0"),
            &one,
            answers(&[recorded("v2")], true),
            record("v2"),
        ),
        (
            "records that differ",
            Some("r0"),
            &two,
            answers(&[recorded("v1"), recorded("v2")], true),
            None,
        ),
        (
            "no record, one version",
            Some("r0"),
            &one,
            answers(slice::from_ref(&one), true),
            only("v1"),
        ),
        (
            "no record, two versions",
            Some("r0"),
            &two,
            answers(slice::from_ref(&two), true),
            None,
        ),
        (
            "no holder answered",
            Some("r0"),
            &one,
            answers(slice::from_ref(&one), false),
            None,
        ),
        ("there are no holders", Some("r0"), &one, nobody, only("v1")),
    ];
    for (name, attempt, own, answers, expected) in cases {
        assert_eq!(decided(attempt, own, &answers), expected, "{name}");
    }
}

#[test]
fn a_rollout_that_ended_within_a_streams_life_was_taken_for_one_version() {
    let start = Instant::now();
    let mut history = SoftwareHistory::default();
    history.list(start, &backend("old", Some("v1")));
    let replaced = start + 60 * SECOND;
    assert!(
        history.list(replaced, &backend("new", Some("v2"))),
        "it is new"
    );
    history.remove(replaced, &"old".into());
    let known = |at| OriginKnowledge::of(&history, at, &"s".into(), Some(STREAM_LIFETIME));
    let soon = known(replaced + STREAM_LIFETIME - SECOND);
    assert_eq!(
        soon.versions.len(),
        2,
        "a stream of the old version may still be taken up"
    );
    assert_eq!(soon.only_version(), None);
    let later = known(replaced + STREAM_LIFETIME);
    assert_eq!(later.only_version(), Some(&"v2".into()));
    let since_gap = Some(STREAM_LIFETIME - SECOND);
    let later = OriginKnowledge::of(&history, replaced + 60 * SECOND, &"s".into(), since_gap);
    assert_eq!(later.only_version(), None, "the observer has just started");
}

#[test]
fn entries_without_a_version_leave_streams_unknown() {
    let now = Instant::now();
    let mut history = SoftwareHistory::default();
    history.list(now, &backend("a", Some("v1")));
    history.list(now, &backend("b", None));
    let known = OriginKnowledge::of(&history, now, &"s".into(), Some(STREAM_LIFETIME));
    assert_eq!(known.only_version(), None);
    let unnamed = TextOrigin::at(&backend("b", None));
    assert!(unnamed.allows(&backend("b", None)));
    assert!(!unnamed.allows(&backend("c", None)), "another process");
    assert_eq!(unnamed.permit(&backend("a", Some("v1")), 3), None);
}

#[test]
fn a_back_end_returned_under_its_name_with_another_version() {
    let now = Instant::now();
    let former = backend("a", Some("v1"));
    let mut returned = backend("a", Some("v2"));
    returned.incarnation = Incarnation::started("a", StartTime(2));
    let origin = TextOrigin::at(&former);
    for is_removed_between in [false, true] {
        let mut history = SoftwareHistory::default();
        history.list(now, &former);
        let learnt = now + 30 * SECOND;
        if is_removed_between {
            history.remove(learnt - SECOND, &"a".into());
        }
        history.list(learnt, &returned);
        let doubtful = |begun_at| history.is_doubtful(&origin, begun_at);
        assert!(doubtful(learnt - SECOND), "the new process may have run it");
        assert!(
            !doubtful(learnt - 10 * SECOND),
            "only the former process existed"
        );
        let same_version = TextOrigin::of_version("s".into(), "v1".into());
        assert!(!history.is_doubtful(&same_version, learnt - SECOND));
    }
}

#[test]
fn records_are_bounded_and_expire() {
    let now = Instant::now();
    let origin = TextOrigin::at(&backend("a", Some("v1")));
    let mut table = OriginTable::default();
    for stream in 0..40_000 {
        table.insert(now, key(&stream.to_string()), origin.clone(), now);
    }
    assert!(table.len() <= 32_768, "{}", table.len());
    assert_eq!(table.find(now, &key("0")), None, "the oldest are dropped");
    let found = table.find(now + SECOND, &key("39999"));
    assert_eq!(found, Some((origin.clone(), SECOND)));
    assert_eq!(table.find(now + STREAM_LIFETIME, &key("39999")), None);
    table.insert(now + STREAM_LIFETIME, key("next"), origin, now);
    assert_eq!(table.len(), 1);
}

#[test]
fn an_attempt_that_began_two_streams_is_unknown() {
    let now = Instant::now();
    let mut table = OriginTable::default();
    for version in ["v1", "v2", "v1"] {
        let origin = TextOrigin::at(&backend("a", Some(version)));
        table.insert(now, key("r0"), origin, now);
    }
    assert_eq!(table.find(now, &key("r0")), None);
    assert!(table.take_unreported(now, 10).is_empty());
}

#[test]
fn streams_are_reported_once() {
    let now = Instant::now();
    let origin = TextOrigin::at(&backend("a", Some("v1")));
    let mut table = OriginTable::default();
    for attempt in ["told", "complete", "open"] {
        table.insert(now, key(attempt), origin.clone(), now);
    }
    table.mark_reported(&key("told"));
    table.remove(&key("complete"));
    let reported = table.take_unreported(now + SECOND, 10);
    assert_eq!(reported.len(), 1);
    assert_eq!((reported[0].key, reported[0].age), (key("open"), 1_000));
    assert!(table.take_unreported(now, 10).is_empty());
}
