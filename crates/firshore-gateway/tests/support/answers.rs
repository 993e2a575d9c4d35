//! Answers as callers receive them: framed as complete, visibly broken off, or without an end.

use super::{Fixture, fixture};
use firshore_adapter::incarnation::Incarnation;
use firshore_stand_in::adapter::REQUEST_ID;
use firshore_stand_in::backend::{Content, Cut, EVENTS, Play};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Longer than what a gateway reads before it returns an answer, in bytes.
pub const LONG_BYTES: usize = 1_200_000;

/// Maximum time without a byte of an answer; longer than its route's timeout.
const END_TIMEOUT: Duration = Duration::from_secs(4);

/// How a caller asks.
#[derive(Clone, Copy, Debug)]
pub struct Asking {
    pub version: &'static str,
    pub connection: &'static str,
}

/// What a caller receives.
#[derive(Debug, PartialEq, Eq)]
pub enum Received {
    /// An answer framed as complete: status and body.
    Complete(u16, String),
    /// An answer that visibly broke off.
    Broken,
    /// An answer whose end didn't come.
    Pending,
}

/// Returns a route of each kind.
pub fn configuration() -> Value {
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

/// Sends a request on a new connection and waits for the end of its answer.
pub async fn ask(address: SocketAddr, path: &str, asking: Asking) -> Received {
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
pub async fn start(cut: Cut) -> Fixture {
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

/// Returns whether a text is the whole body of one of the two back ends.
pub fn is_whole(content: Content, text: &str) -> bool {
    match content {
        Content::Events => {
            let events = (1..=EVENTS).map(|number| format!("id: {number}\ndata: é{number}\n\n"));
            text == events.collect::<String>()
        }
        Content::Text(_) => matches!(text.trim_start(), "answer of b0" | "answer of b1"),
    }
}
