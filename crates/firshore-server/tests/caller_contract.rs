//! Callers that leave, that close only their sending side, that read slowly, and that find the
//! node leaving.

mod support;

use std::io::{Read, Write};
use std::net::Shutdown;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};
use support::{
    BackEnd, DONE, Fixture, Reply, STREAM_HEAD, answer, chunk, completion, event, events,
    eventually, put,
};

/// How long a caller's leaving may take to reach the engine, as promised, with room for a busy
/// machine.
const CANCEL_BOUND: Duration = Duration::from_secs(3);

/// An engine that answers only when told, whole or from the second event on.
fn slow(first: &'static str, after: Duration, rest: String) -> BackEnd {
    BackEnd::start(move |stream, _, _| {
        put(stream, first);
        std::thread::sleep(after);
        put(stream, &rest);
        false
    })
}

fn cancelled_in_time(name: &str, engine: &BackEnd, left: Instant) {
    eventually(name, || engine.was_cancelled(&engine.runs()[0]));
    let elapsed = left.elapsed();
    assert!(elapsed < CANCEL_BOUND, "{name} took {elapsed:?}");
}

#[test]
fn the_work_of_a_caller_that_left_is_cancelled() {
    let endless = Duration::from_secs(60);
    for streamed in [false, true] {
        // Before the answer's head.
        let engine = slow("", endless, String::new());
        let fixture = Fixture::start(&[engine.address], "");
        let mut caller = fixture.connect();
        put(&mut caller, &completion("", streamed));
        eventually("the request runs", || engine.runs().len() == 1);
        drop(caller);
        cancelled_in_time("before the head", &engine, Instant::now());
    }
    // After the first token, while the engine goes on, and while it is silent.
    for silent in [false, true] {
        let engine = BackEnd::start(move |stream, _, _| {
            put(stream, STREAM_HEAD);
            let mut token = 0;
            while stream.write_all(chunk(&event(token)).as_bytes()).is_ok() {
                token += 1;
                let pause = if silent { 60_000 } else { 20 };
                std::thread::sleep(Duration::from_millis(pause));
            }
            false
        });
        let fixture = Fixture::start(&[engine.address], "");
        let mut caller = fixture.connect();
        put(&mut caller, &completion("", true));
        let mut buffer = [0; 1024];
        let mut seen = String::new();
        while !seen.contains("id: 0") {
            let count = caller.read(&mut buffer).unwrap();
            seen.push_str(&String::from_utf8_lossy(&buffer[..count]));
        }
        drop(caller);
        cancelled_in_time("after the first token", &engine, Instant::now());
    }
}

#[test]
fn a_caller_that_only_stopped_sending_gets_its_answer() {
    let pause = Duration::from_millis(1500);
    let whole = answer("200 OK", "content-type: application/json\r\n", "{\"a\":1}");
    let engine = slow("", pause, whole);
    let fixture = Fixture::start(&[engine.address], "");
    let mut caller = fixture.connect();
    put(&mut caller, &completion("", false));
    caller.shutdown(Shutdown::Write).unwrap();
    let reply = Reply::read(&mut caller);
    assert_eq!((reply.status(), reply.raw_body()), (200, "{\"a\":1}"));
    assert!(reply.text.starts_with("HTTP/1.1 100 Continue\r\n\r\n"));
    let rest = chunk(&(events(1..2) + DONE)) + "0\r\n\r\n";
    let first: &'static str = format!("{STREAM_HEAD}{}", chunk(&event(0))).leak();
    let engine = slow(first, pause, rest);
    let fixture = Fixture::start(&[engine.address], "");
    let mut caller = fixture.connect();
    put(&mut caller, &completion("", true));
    caller.shutdown(Shutdown::Write).unwrap();
    let (body, proper) = Reply::read(&mut caller).chunks();
    assert_eq!(body.replace(": \n\n", ""), events(0..2) + DONE);
    assert!(proper);
}

#[test]
fn a_stream_went_on_for_ever_with_an_engine_that_sends_after_its_terminal_event() {
    let engine = BackEnd::start(move |stream, _, _| {
        put(stream, STREAM_HEAD);
        put(stream, &chunk(&(events(0..2) + DONE)));
        let comments = chunk(": comment\n\n").repeat(1_000);
        while stream.write_all(comments.as_bytes()).is_ok() {}
        false
    });
    let fixture = Fixture::start(&[engine.address], "");
    let reply = fixture.ask(&completion("", true));
    assert_eq!(reply.chunks(), (events(0..2) + DONE, true));
}

#[test]
fn a_slow_reader_slows_the_engine_down() {
    const OFFERED: usize = 256 * 1024 * 1024;
    const BOUND: usize = 48 * 1024 * 1024;
    let written = Arc::new(AtomicUsize::new(0));
    let counting = written.clone();
    let engine = BackEnd::start(move |stream, _, _| {
        put(stream, STREAM_HEAD);
        let padding = "x".repeat(64 * 1024);
        let mut token = 0;
        while counting.load(Ordering::Relaxed) < OFFERED {
            let event = format!("id: {token}\ndata: {padding}\n\n");
            if stream.write_all(chunk(&event).as_bytes()).is_err() {
                break;
            }
            counting.fetch_add(event.len(), Ordering::Relaxed);
            token += 1;
        }
        false
    });
    let fixture = Fixture::start(&[engine.address], "");
    let mut caller = fixture.connect();
    put(&mut caller, &completion("", true));
    eventually("the stream flows", || written.load(Ordering::Relaxed) > 0);
    // Full once nothing more is taken for a while.
    let mut last = 0;
    eventually("the stream stops", || {
        std::thread::sleep(Duration::from_millis(300));
        let now = written.load(Ordering::Relaxed);
        let stopped = now == last;
        last = now;
        stopped
    });
    let taken = written.load(Ordering::Relaxed);
    assert!(taken < BOUND, "{taken} bytes taken from the engine");
}

#[test]
fn a_leaving_node_ends_streams_properly_and_idle_connections_at_once() {
    let rest = chunk(&(events(1..2) + DONE)) + "0\r\n\r\n";
    let first: &'static str = format!("{STREAM_HEAD}{}", chunk(&event(0))).leak();
    let engine = slow(first, Duration::from_secs(6), rest);
    let mut fixture = Fixture::start(&[engine.address], "");
    let mut idle = fixture.connect();
    let kept = completion("", false).replace("connection: close\r\n", "");
    put(&mut idle, &kept.replace("boundary-llm", "boundary-lln"));
    let mut buffer = [0; 4096];
    let count = idle.read(&mut buffer).unwrap();
    let text = String::from_utf8_lossy(&buffer[..count]).into_owned();
    assert!(text.starts_with("HTTP/1.1 404") && !text.contains("connection: close"));
    let mut streaming = fixture.connect();
    put(&mut streaming, &completion("", true));
    eventually("the stream runs", || engine.runs().len() == 1);
    let address = fixture.node().callers;
    fixture.node().stop();
    // In the grace the node still answers, and ends the connection with the answer.
    let reply = fixture.ask(&kept.replace("boundary-llm", "boundary-lln"));
    assert_eq!(
        (reply.status(), reply.header("connection")),
        (404, Some("close"))
    );
    assert_eq!(idle.read(&mut buffer).unwrap_or(0), 0, "idle one is closed");
    eventually("new connections are refused", || {
        std::net::TcpStream::connect(address).is_err()
    });
    let (body, proper) = Reply::read(&mut streaming).chunks();
    assert_eq!((body, proper), (events(0..2) + DONE, true));
    let start = Instant::now();
    fixture.node.take().unwrap().join();
    assert!(start.elapsed() < support::PATIENCE);
}

#[test]
fn a_leaving_node_waits_no_longer_than_told() {
    let engine = slow(STREAM_HEAD, Duration::from_secs(120), String::new());
    let mut fixture = Fixture::start(&[engine.address], "leave_seconds = 1");
    let mut streaming = fixture.connect();
    put(&mut streaming, &completion("", true));
    eventually("the stream runs", || engine.runs().len() == 1);
    let node = fixture.node.take().unwrap();
    node.stop();
    let start = Instant::now();
    node.join();
    assert!(start.elapsed() < support::PATIENCE);
}
