//! Answers that break off: each way in which a back end marks the end of a body, each place at which it may be cut, each
//! way in which the connection ends. A caller gets an answer that is framed as complete only if it is.

mod support;

use firshore_stand_in::backend::{Closing, Content, Cut, Marking, Place};
use support::answers::{Asking, LONG_BYTES, Received, ask, is_whole, start};

/// Wrong answers after which a test stops.
const MAX_WRONG: usize = 20;

const MARKINGS: [Marking; 3] = [Marking::Length, Marking::Chunks, Marking::Close];

const PLACES: [Place; 9] = [
    Place::Nowhere,
    Place::Head,
    Place::BeforeBody,
    Place::Inside,
    Place::Character,
    Place::BlankLine,
    Place::Between,
    Place::ChunkSize,
    Place::InsideButMarked,
];

const CLOSINGS: [Closing; 4] = [
    Closing::Orderly,
    Closing::Half,
    Closing::Reset,
    Closing::Exit,
];

const ASKINGS: [Asking; 2] = [
    Asking {
        version: "1.1",
        connection: "keep-alive",
    },
    Asking {
        version: "1.1",
        connection: "close",
    },
];

/// Of callers that don't know chunks: only a length or the close marks the end.
const OLD_ASKINGS: [Asking; 2] = [
    Asking {
        version: "1.0",
        connection: "close",
    },
    Asking {
        version: "1.0",
        connection: "keep-alive",
    },
];

/// Returns whether nothing shows that the body is not whole: its end is not marked, it has no incomplete event, and the
/// back end serves on.
fn is_undetectable(cut: Cut) -> bool {
    let serves_on = matches!(cut.closing, Closing::Orderly | Closing::Half);
    let is_between = match cut.content {
        Content::Events => matches!(cut.place, Place::Between | Place::ChunkSize),
        Content::Text(_) => !matches!(cut.place, Place::Nowhere | Place::Head),
    };
    cut.marking == Marking::Close && serves_on && is_between
}

/// Returns whether the first back end's body is whole beyond doubt.
fn is_certainly_whole(cut: Cut) -> bool {
    let serves_on = matches!(cut.closing, Closing::Orderly | Closing::Half);
    cut.place == Place::Nowhere && (cut.marking != Marking::Close || serves_on)
}

/// Returns each way in which a body with `content` may be cut.
fn cuts(content: Content) -> impl Iterator<Item = Cut> {
    let combine = move |marking, place, closing| Cut {
        marking,
        place,
        closing,
        content,
    };
    let all = MARKINGS.into_iter().flat_map(move |marking| {
        PLACES.into_iter().flat_map(move |place| {
            let closings = CLOSINGS.into_iter();
            closings.map(move |closing| combine(marking, place, closing))
        })
    });
    // A text has no events, so that its end may be anywhere if it is marked.
    all.filter(|cut| cut.content == Content::Events || cut.place != Place::InsideButMarked)
}

/// Asks for each cut at `path` and returns the first answers that are wrong.
fn wrong_answers(path: &str, content: Content, askings: &[Asking]) -> Vec<String> {
    let may_be_repeated = matches!(path, "/idempotent/" | "/resumable/");
    let is_long = content == Content::Text(LONG_BYTES);
    let mut wrong = Vec::new();
    for cut in cuts(content).filter(|cut| !is_undetectable(*cut)) {
        for asking in askings {
            let received = actix_rt::System::new().block_on(async {
                let fixture = start(cut).await;
                ask(fixture.address, path, *asking).await
            });
            let is_complete =
                matches!(&received, Received::Complete(200, text) if is_whole(content, text));
            let is_allowed = match &received {
                Received::Complete(200, _) => is_complete,
                Received::Complete(status, _) => *status == 502,
                Received::Broken => true,
                Received::Pending => false,
            };
            // A long answer is returned in part before it breaks off.
            let is_owed = is_certainly_whole(cut) || (may_be_repeated && !is_long);
            if !is_allowed || (is_owed && !is_complete) {
                let received = format!("{received:?}");
                let received: String = received.chars().take(120).collect();
                wrong.push(format!("{path} {asking:?} {cut:?}: {received}"));
            }
            if wrong.len() >= MAX_WRONG {
                return wrong;
            }
        }
    }
    wrong
}

fn assert_none(wrong: &[String]) {
    assert!(
        wrong.is_empty(),
        "{} wrong:\n{}",
        wrong.len(),
        wrong.join("\n")
    );
}

#[test]
fn broken_stream_was_framed_as_complete() {
    assert_none(&wrong_answers("/stream/", Content::Events, &ASKINGS));
}

#[test]
fn broken_resumable_stream_was_framed_as_complete() {
    assert_none(&wrong_answers("/resumable/", Content::Events, &ASKINGS));
}

#[test]
fn broken_answer_was_framed_as_complete() {
    for path in ["/once/", "/idempotent/"] {
        assert_none(&wrong_answers(path, Content::Text(0), &ASKINGS));
    }
}

#[test]
fn broken_long_answer_was_framed_as_complete() {
    for path in ["/once/", "/idempotent/"] {
        assert_none(&wrong_answers(path, Content::Text(LONG_BYTES), &ASKINGS));
    }
}

#[test]
fn broken_answer_was_complete_to_a_caller_without_chunks() {
    for path in ["/stream/", "/resumable/"] {
        assert_none(&wrong_answers(path, Content::Events, &OLD_ASKINGS));
    }
    for padding in [0, LONG_BYTES] {
        assert_none(&wrong_answers(
            "/once/",
            Content::Text(padding),
            &OLD_ASKINGS,
        ));
    }
}
