//! Answers that break off: each way in which a back end marks the end of a body, each place at which it may be cut, each
//! way in which the connection ends. A caller gets an answer that is framed as complete only if it is.

mod support;

use firshore_adapter::incarnation::Incarnation;
use firshore_stand_in::adapter::REQUEST_ID;
use firshore_stand_in::backend::{Closing, Content, Cut, EVENTS, Marking, Place, Play};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use support::{Fixture, fixture};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Longer than what a gateway reads before it returns an answer, in bytes.
const LONG_BYTES: usize = 1_200_000;

/// Maximum time without a byte of an answer; longer than its route's timeout.
const END_TIMEOUT: Duration = Duration::from_secs(4);

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

/// How a caller asks.
#[derive(Clone, Copy, Debug)]
struct Asking {
    version: &'static str,
    connection: &'static str,
}

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

/// What a caller receives.
#[derive(Debug, PartialEq, Eq)]
enum Received {
    /// An answer framed as complete: status and body.
    Complete(u16, String),
    /// An answer that visibly broke off.
    Broken,
    /// An answer whose end didn't come.
    Pending,
}

fn configuration() -> Value {
    let route = |prefix: &str, repetition: &str, attempts: u32| {
        json!({"prefix": prefix, "service": "s", "repetition": repetition, "timeout": 2_000,
            "attempts": attempts})
    };
    let routes = [
        route("/idempotent/", "idempotent", 2),
        route("/once/", "once", 2),
        route("/stream/", "stream", 1),
        route("/resumable/", "resumable", 2),
    ];
    json!({"version": 1, "routes": routes})
}

async fn ask(address: SocketAddr, path: &str, asking: Asking) -> Received {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let Asking {
        version,
        connection,
    } = asking;
    let request = format!(
        "POST {path}x HTTP/{version}\r\nhost: a.example\r\n{REQUEST_ID}: r1\r\n\
         content-length: 4\r\nconnection: {connection}\r\n\r\nbody"
    );
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut response = Vec::new();
    loop {
        let before = response.len();
        let Ok(read) = timeout(END_TIMEOUT, stream.read_buf(&mut response)).await else {
            return Received::Pending;
        };
        let is_reset = read.is_err();
        let is_closed = is_reset || response.len() == before;
        if let Some(received) = parse(&response, asking, is_closed, is_reset) {
            return received;
        }
    }
}

/// Returns what has been received; `None` while the answer may go on.
fn parse(response: &[u8], asking: Asking, is_closed: bool, is_reset: bool) -> Option<Received> {
    let broken = is_closed.then_some(Received::Broken);
    let Some(length) = response.windows(4).position(|end| end == b"\r\n\r\n") else {
        return broken;
    };
    let head = String::from_utf8_lossy(&response[..length]).to_ascii_lowercase();
    let body = &response[length + 4..];
    let status = head.split(' ').nth(1).unwrap().parse().unwrap();
    let field = |name: &str| head.lines().find_map(|line| line.strip_prefix(name));
    let text = |body: &[u8]| String::from_utf8_lossy(body).into_owned();
    if asking.version != "1.0" && field("transfer-encoding: chunked").is_some() {
        let Some(body) = unchunked(body) else {
            return broken;
        };
        return Some(Received::Complete(status, text(&body)));
    }
    let Some(length) = field("content-length: ") else {
        let ended = is_closed && !is_reset;
        let complete = ended.then(|| Received::Complete(status, text(body)));
        return complete.or(broken);
    };
    match body.len() == length.parse::<usize>().unwrap() {
        true => Some(Received::Complete(status, text(body))),
        false => broken,
    }
}

/// Returns the body if its last chunk is there.
fn unchunked(mut body: &[u8]) -> Option<Vec<u8>> {
    let mut whole = Vec::new();
    loop {
        let end = body.windows(2).position(|end| end == b"\r\n")?;
        let size = std::str::from_utf8(&body[..end]).ok()?;
        let size = usize::from_str_radix(size, 16).ok()?;
        let chunk = body.get(end + 2..end + 2 + size)?;
        if size == 0 {
            return Some(whole);
        }
        whole.extend_from_slice(chunk);
        body = body.get(end + 2 + size + 2..)?;
    }
}

/// Starts two back ends; the first one plays `cut`.
async fn start(cut: Cut) -> Fixture {
    let afterwards = match cut.content {
        Content::Events => Play::Events,
        Content::Text(_) => Play::Whole,
    };
    let fixture = fixture(configuration(), &[&[Play::Cut(cut)], &[]], afterwards).await;
    for backend in &fixture.backends {
        backend.set_text("é");
    }
    // Load on the second back end, so that the first one is chosen first.
    let second = Incarnation::named(fixture.backends[1].name.clone());
    let mut fleet = fixture.gateway.fleet.borrow_mut();
    fleet.record_start(Instant::now(), &second);
    drop(fleet);
    fixture
}

fn is_whole(content: Content, text: &str) -> bool {
    match content {
        Content::Events => {
            let events = (1..=EVENTS).map(|number| format!("id: {number}\ndata: é{number}\n\n"));
            text == events.collect::<String>()
        }
        Content::Text(_) => matches!(text.trim_start(), "answer of b0" | "answer of b1"),
    }
}

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
