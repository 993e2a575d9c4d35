//! Runs of items whose streams break off: a result is done only with the whole text.

mod cluster;

use cluster::*;
use firshore_adapter::jobs::ItemOutcome;
use firshore_stand_in::backend::{Closing, Content, Cut, Marking, Place, Play, ScriptedBackend};

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
