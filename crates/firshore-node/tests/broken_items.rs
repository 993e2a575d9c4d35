//! Runs of items whose streams break off: a result is done only with the whole text.

mod cluster;

use cluster::*;
use firshore_adapter::jobs::ItemOutcome;
use firshore_stand_in::adapter::{BACKENDS, RESUME_AFTER, SIGNATURE};
use firshore_stand_in::backend::{Closing, Content, Cut, Marking, Place, Play, ScriptedBackend};
use firshore_stand_in::endless::EndlessServer;
use serde_json::json;
use std::sync::atomic::Ordering;

const MARKINGS: [Marking; 3] = [Marking::Length, Marking::Chunks, Marking::Close];

const PLACES: [Place; 8] = [
    Place::Head,
    Place::BeforeBody,
    Place::Inside,
    Place::Character,
    Place::BlankLine,
    Place::Between,
    Place::ChunkSize,
    Place::InsideButMarked,
];

const CLOSINGS: [Closing; 3] = [Closing::Orderly, Closing::Half, Closing::Reset];

/// Returns whether nothing shows that the stream is not whole: its end is not marked and lies between two events.
fn is_undetectable(cut: &Cut) -> bool {
    cut.marking == Marking::Close
        && cut.closing != Closing::Reset
        && matches!(cut.place, Place::Between | Place::ChunkSize)
}

fn cuts() -> Vec<Cut> {
    let mut cuts = Vec::new();
    for marking in MARKINGS {
        for place in PLACES {
            cuts.extend(CLOSINGS.map(|closing| Cut {
                marking,
                place,
                closing,
                content: Content::Events,
            }));
        }
    }
    cuts.retain(|cut| !is_undetectable(cut));
    cuts
}

fn assert_whole(results: &[(String, ItemOutcome)]) {
    for (item, outcome) in results {
        assert_eq!(*outcome, whole(), "{item}");
    }
}

#[test]
fn broken_item_was_done_with_a_part_of_its_text() {
    run(async {
        let cluster = Cluster::start().await;
        cluster.configure();
        let script: Vec<Play> = cuts().into_iter().map(Play::Cut).collect();
        let backend = ScriptedBackend::start("a", &script, Play::Events).await;
        cluster.put_backend(&backend, false);
        let items = 12;
        cluster.submit("job", items).await;
        assert_whole(&cluster.results("job", items).await);
        assert!(
            backend.seen().len() > script.len(),
            "each cut has been played"
        );
    });
}

#[test]
fn item_was_done_though_its_back_end_exited_between_two_events() {
    run(async {
        let cluster = Cluster::start().await;
        cluster.configure();
        let cut = Cut {
            marking: Marking::Close,
            place: Place::Between,
            closing: Closing::Exit,
            content: Content::Events,
        };
        let exiting = ScriptedBackend::start("a", &[Play::Cut(cut)], Play::Events).await;
        cluster.put_backend(&exiting, false);
        cluster.submit("job", 1).await;
        while exiting.seen().is_empty() {
            pause().await;
        }
        let other = ScriptedBackend::start("b", &[], Play::Events).await;
        cluster.put_backend(&other, false);
        assert_whole(&cluster.results("job", 1).await);
    });
}

/// A back end said that it leaves and crashed; its items were listed as done with half their text.
#[test]
fn item_was_done_with_a_part_of_its_text_as_its_leaving_back_end_crashed() {
    run(async {
        let cluster = Cluster::start().await;
        cluster.configure();
        let cut = Cut {
            marking: Marking::Close,
            place: Place::Between,
            closing: Closing::Exit,
            content: Content::Events,
        };
        let leaving = ScriptedBackend::start("a", &[Play::Cut(cut)], Play::Events).await;
        leaving.hold_ends();
        cluster.put_backend(&leaving, false);
        cluster.submit("job", 1).await;
        while leaving.seen().is_empty() {
            pause().await;
        }
        cluster.put_backend(&leaving, true);
        let other = ScriptedBackend::start("b", &[], Play::Events).await;
        cluster.put_backend(&other, false);
        cluster.wait_until_leaving("a").await;
        leaving.release_ends();
        assert_whole(&cluster.results("job", 1).await);
        let continued = other.seen().into_iter().next().expect("it went on there");
        assert_eq!(
            continued.headers.get(RESUME_AFTER).map(String::as_str),
            Some("2")
        );
    });
}

/// A back end that leaves as planned serves on: its items are done with its text, and run once.
#[test]
fn item_is_done_by_the_back_end_that_leaves_behind_its_whole_text() {
    run(async {
        let cluster = Cluster::start().await;
        cluster.configure();
        let cut = Cut {
            marking: Marking::Close,
            place: Place::Nowhere,
            closing: Closing::Orderly,
            content: Content::Events,
        };
        let leaving = ScriptedBackend::start("a", &[Play::Cut(cut)], Play::Events).await;
        leaving.hold_ends();
        cluster.put_backend(&leaving, false);
        cluster.submit("job", 1).await;
        while leaving.seen().is_empty() {
            pause().await;
        }
        cluster.put_backend(&leaving, true);
        let other = ScriptedBackend::start("b", &[], Play::Events).await;
        cluster.put_backend(&other, false);
        cluster.wait_until_leaving("a").await;
        leaving.release_ends();
        assert_whole(&cluster.results("job", 1).await);
        assert_eq!((leaving.seen().len(), other.seen().len()), (1, 0));
    });
}

#[test]
fn answer_with_an_odd_status_is_no_end_of_an_item() {
    for status in ["000", "099", "600", "999"] {
        run(async move {
            let cluster = Cluster::start().await;
            cluster.configure();
            let head = format!("HTTP/1.1 {status} Odd\r\n{SIGNATURE}: a\r\n\r\n");
            let odd = EndlessServer::start(&head, "data: event\n\n");
            let entry = json!({"service": "s", "address": odd.address, "slots": 10,
                "leaving": false, "software": "v1"});
            cluster.store.put(BACKENDS, "odd", entry);
            cluster.submit("job", 2).await;
            while odd.requests.load(Ordering::SeqCst) == 0 {
                pause().await;
            }
            let ordinary = ScriptedBackend::start("ordinary", &[], Play::Events).await;
            cluster.put_backend(&ordinary, false);
            assert_whole(&cluster.results("job", 2).await);
        });
    }
}
