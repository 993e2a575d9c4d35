//! What the hop to back ends makes of everything a back end can do to a connection. A raw TCP
//! server plays each case, so that no library stands between the case and the code under test.

use actix_http::{Method, RequestHead};
use bytes::Bytes;
use firshore_exchange::exchange::{self, ExchangeError, Reuse};
use firshore_exchange::framing::BodyEnd;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// What the caller of the exchange sees.
#[derive(Debug, PartialEq, Eq)]
enum Seen {
    Whole(&'static str),
    Unverified(&'static str),
    CutOff,
    Lost,
    NotConnected,
    TooLong,
}

struct Case {
    name: &'static str,
    method: Method,
    answer: &'static str,
    seen: Seen,
}

fn case(name: &'static str, answer: &'static str, seen: Seen) -> Case {
    Case {
        name,
        method: Method::POST,
        answer,
        seen,
    }
}

/// Reads one request with its body; `false` once the peer has closed.
fn read_request(stream: &mut TcpStream) -> bool {
    let mut text = Vec::new();
    let mut byte = [0; 1];
    while !text.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte) {
            Ok(1) => text.push(byte[0]),
            _ => return false,
        }
    }
    let head = String::from_utf8_lossy(&text).to_ascii_lowercase();
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "));
    let mut body = vec![0; length.map_or(0, |digits| digits.parse().unwrap())];
    stream.read_exact(&mut body).is_ok()
}

/// Counts what reached a scripted back end.
#[derive(Default)]
struct Count {
    connections: AtomicUsize,
    requests: AtomicUsize,
}

/// A back end that gives each connection to `play`.
fn back_end(
    play: impl Fn(&mut TcpStream, &Count) + Send + Sync + 'static,
) -> (SocketAddr, Arc<Count>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let count = Arc::<Count>::default();
    let counting = count.clone();
    let play = Arc::new(play);
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            counting.connections.fetch_add(1, Ordering::SeqCst);
            let (counting, play) = (counting.clone(), play.clone());
            std::thread::spawn(move || play(&mut stream, &counting));
        }
    });
    (address, count)
}

fn head(method: Method, address: SocketAddr) -> RequestHead {
    exchange::request_head(method, "/path", address).unwrap()
}

async fn observe(address: SocketAddr, method: Method) -> Seen {
    let body = Bytes::from_static(b"request body");
    let mut exchange = match exchange::send(address, head(method, address), body).await {
        Ok(exchange) => exchange,
        Err(error) => return failure(&error),
    };
    match exchange.body.read_whole(1000).await {
        Ok(body) => {
            let text: &'static str = String::from_utf8(body.to_vec()).unwrap().leak();
            match exchange.body.end() {
                BodyEnd::Delimited => Seen::Whole(text),
                BodyEnd::ByClose => Seen::Unverified(text),
            }
        }
        Err(error) => failure(&error),
    }
}

fn failure(error: &ExchangeError) -> Seen {
    match error {
        ExchangeError::NotConnected(_) => Seen::NotConnected,
        ExchangeError::Lost(_) => Seen::Lost,
        ExchangeError::Truncated => Seen::CutOff,
        ExchangeError::TooLong(_) => Seen::TooLong,
    }
}

#[test]
fn every_answer_is_taken_for_what_it_is() {
    let mut cases = vec![
        case(
            "whole by length",
            "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello",
            Seen::Whole("hello"),
        ),
        case(
            "whole by chunks",
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
            Seen::Whole("hello"),
        ),
        case(
            "empty by length",
            "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n",
            Seen::Whole(""),
        ),
        case(
            "cut in a body with a length",
            "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhello",
            Seen::CutOff,
        ),
        case(
            "cut before a body with a length",
            "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n",
            Seen::CutOff,
        ),
        case(
            "cut between chunks",
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n",
            Seen::CutOff,
        ),
        case(
            "cut inside a chunk",
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\na\r\nhello",
            Seen::CutOff,
        ),
        case(
            "cut in a chunk's length",
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0",
            Seen::CutOff,
        ),
        case(
            "a chunk's length that is no number",
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nzz\r\nhello\r\n0\r\n\r\n",
            Seen::CutOff,
        ),
        case(
            "cut in the head",
            "HTTP/1.1 200 OK\r\ncontent-len",
            Seen::Lost,
        ),
        case("closed without an answer", "", Seen::Lost),
        case("garbage", "\u{16}\u{3}\u{1}garbage\r\n\r\n", Seen::Lost),
        case(
            "two lengths",
            "HTTP/1.1 200 OK\r\ncontent-length: 5\r\ncontent-length: 6\r\n\r\nhello",
            Seen::Lost,
        ),
        case(
            "by close in HTTP/1.1",
            "HTTP/1.1 200 OK\r\n\r\nhello",
            Seen::Unverified("hello"),
        ),
        case(
            "by close in HTTP/1.0",
            "HTTP/1.0 200 OK\r\n\r\nhello",
            Seen::Unverified("hello"),
        ),
        case(
            "a length in HTTP/1.0",
            "HTTP/1.0 200 OK\r\ncontent-length: 5\r\n\r\nhello",
            Seen::Whole("hello"),
        ),
        case(
            "an unknown encoding of the body",
            "HTTP/1.1 200 OK\r\ntransfer-encoding: gzip\r\n\r\nhello",
            Seen::Lost,
        ),
        case(
            "interim answers before the final one",
            "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello",
            Seen::Whole("hello"),
        ),
        case(
            "an interim answer only",
            "HTTP/1.1 100 Continue\r\n\r\n",
            Seen::Lost,
        ),
        case(
            "another protocol",
            "HTTP/1.1 101 Switching Protocols\r\nupgrade: websocket\r\nconnection: upgrade\r\n\r\n",
            Seen::Lost,
        ),
        case(
            "a length beside an upgrade",
            "HTTP/1.1 200 OK\r\nupgrade: websocket\r\ncontent-length: 5\r\n\r\nhello",
            Seen::Lost,
        ),
        case(
            "no content",
            "HTTP/1.1 204 No Content\r\n\r\n",
            Seen::Whole(""),
        ),
        case(
            "not modified, with the length of what was not sent",
            "HTTP/1.1 304 Not Modified\r\ncontent-length: 5\r\n\r\n",
            Seen::Whole(""),
        ),
        case(
            "longer than the reader takes",
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\nfff\r\n",
            Seen::CutOff,
        ),
    ];
    cases.push(Case {
        method: Method::HEAD,
        ..case(
            "the length of a HEAD",
            "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n",
            Seen::Whole(""),
        )
    });
    actix_rt::System::new().block_on(async {
        for case in cases {
            let answer = case.answer;
            let (address, count) = back_end(move |stream, count| {
                read_request(stream);
                count.requests.fetch_add(1, Ordering::SeqCst);
                let _ = stream.write_all(answer.as_bytes());
            });
            let seen = observe(address, case.method).await;
            assert_eq!(seen, case.seen, "{}", case.name);
            let requests = count.requests.load(Ordering::SeqCst);
            assert_eq!(requests, 1, "{}: requests written", case.name);
        }
    });
}

#[test]
fn an_answer_over_the_limit_is_refused_as_run() {
    let (address, _) = back_end(|stream, _| {
        read_request(stream);
        let body = "x".repeat(2000);
        let _ = write!(
            stream,
            "HTTP/1.1 200 OK\r\ncontent-length: 2000\r\n\r\n{body}"
        );
    });
    let seen = actix_rt::System::new().block_on(observe(address, Method::POST));
    assert_eq!(seen, Seen::TooLong);
}

#[test]
fn a_refused_connection_is_the_only_sign_of_not_sent() {
    // Bound but not listening: the port is refused and cannot become another process's.
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
    socket.bind(&any.into()).unwrap();
    let address = socket.local_addr().unwrap().as_socket().unwrap();
    let seen = actix_rt::System::new().block_on(observe(address, Method::POST));
    assert_eq!(seen, Seen::NotConnected);
}

#[test]
fn a_connect_that_times_out_was_not_sent() {
    // A full backlog leaves further connects unanswered.
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
    socket.bind(&any.into()).unwrap();
    socket.listen(0).unwrap();
    let address = socket.local_addr().unwrap().as_socket().unwrap();
    let filler = std::thread::spawn(move || {
        let connect = |_| TcpStream::connect_timeout(&address, Duration::from_millis(100)).ok();
        (0..4).filter_map(connect).collect::<Vec<_>>()
    });
    let held = filler.join().unwrap();
    let seen = actix_rt::System::new().block_on(observe(address, Method::POST));
    assert_eq!(seen, Seen::NotConnected, "with {} connections", held.len());
}

#[test]
fn a_pooled_connection_closed_with_the_request_on_it_is_unknown_and_not_sent_again() {
    let (address, count) = back_end(|stream, count| {
        read_request(stream);
        count.requests.fetch_add(1, Ordering::SeqCst);
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok");
        if read_request(stream) {
            count.requests.fetch_add(1, Ordering::SeqCst);
        }
    });
    actix_rt::System::new().block_on(async {
        assert_eq!(observe(address, Method::POST).await, Seen::Whole("ok"));
        assert_eq!(observe(address, Method::POST).await, Seen::Lost);
    });
    assert_eq!(count.connections.load(Ordering::SeqCst), 1, "was pooled");
    assert_eq!(count.requests.load(Ordering::SeqCst), 2, "was sent once");
}

#[test]
fn an_idle_connection_that_was_closed_is_not_used() {
    let (address, count) = back_end(|stream, _| {
        read_request(stream);
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok");
        let _ = stream.shutdown(Shutdown::Both);
    });
    actix_rt::System::new().block_on(async {
        for _ in 0..3 {
            assert_eq!(observe(address, Method::POST).await, Seen::Whole("ok"));
            actix_rt::time::sleep(Duration::from_millis(50)).await;
        }
    });
    assert_eq!(count.connections.load(Ordering::SeqCst), 3);
}

#[test]
fn a_request_may_ask_for_a_connection_of_its_own() {
    let (address, count) = back_end(|stream, _| {
        while read_request(stream) {
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok");
        }
    });
    actix_rt::System::new().block_on(async {
        assert_eq!(observe(address, Method::POST).await, Seen::Whole("ok"));
        let connection = exchange::connect(address, Reuse::Never).await.unwrap();
        let request = head(Method::POST, address);
        connection.send(request, Bytes::new()).await.unwrap();
    });
    assert_eq!(count.connections.load(Ordering::SeqCst), 2);
}

#[test]
fn nothing_after_an_answer_reaches_the_next_request() {
    let answers: [&str; 5] = [
        "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nokHTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwrong",
        "HTTP/1.1 204 No Content\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwrong",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwrong",
        "HTTP/1.1 304 Not Modified\r\ncontent-length: 5\r\n\r\nwrong",
        "HTTP/1.1 200 OK\r\ncontent-length: 2\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
    ];
    for answer in answers {
        let (address, count) = back_end(move |stream, _| {
            while read_request(stream) {
                let _ = stream.write_all(answer.as_bytes());
            }
        });
        actix_rt::System::new().block_on(async {
            for _ in 0..3 {
                let seen = observe(address, Method::POST).await;
                assert!(
                    matches!(seen, Seen::Whole("ok" | "")),
                    "{seen:?} after {answer}"
                );
            }
        });
        let connections = count.connections.load(Ordering::SeqCst);
        assert_eq!(connections, 3, "connection kept after {answer}");
    }
}

#[test]
fn an_early_answer_is_heard_though_the_request_was_not_read() {
    let (address, _) = back_end(|stream, _| {
        let _ = stream.write_all(b"HTTP/1.1 413 Too Large\r\ncontent-length: 2\r\n\r\nno");
        let _ = stream.shutdown(Shutdown::Write);
        // Unread bytes at a close would reset the connection and take the answer with it.
        let mut rest = Vec::new();
        let _ = stream.read_to_end(&mut rest);
    });
    let status = actix_rt::System::new().block_on(async {
        let body = Bytes::from(vec![b'x'; 8 * 1024 * 1024]);
        let request = head(Method::POST, address);
        let exchange = exchange::send(address, request, body).await.unwrap();
        exchange.head.status.as_u16()
    });
    assert_eq!(status, 413);
}

#[test]
fn head_and_body_go_out_in_one_write() {
    let (sender, receiver) = std::sync::mpsc::channel();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut bytes = [0; 4096];
        let count = stream.read(&mut bytes).unwrap();
        sender
            .send(String::from_utf8_lossy(&bytes[..count]).into_owned())
            .unwrap();
    });
    let _ = actix_rt::System::new().block_on(observe(address, Method::POST));
    assert!(receiver.recv().unwrap().ends_with("request body"));
}

#[test]
fn a_connection_from_before_a_suspension_is_not_taken_for_live() {
    let (address, count) = back_end(|stream, count| {
        while read_request(stream) {
            count.requests.fetch_add(1, Ordering::SeqCst);
            let answer = "HTTP/1.1 200 OK\r\nkeep-alive: timeout=5\r\ncontent-length: 0\r\n\r\n";
            stream.write_all(answer.as_bytes()).unwrap();
        }
    });
    actix_rt::System::new().block_on(async {
        for suspension in [0, 0, 20] {
            firshore_clock::simulate_suspension(Duration::from_secs(suspension));
            let head = exchange::request_head(Method::GET, "/", address).unwrap();
            let answer = exchange::send(address, head, Bytes::new()).await.unwrap();
            assert_eq!(answer.head.status.as_u16(), 200);
        }
    });
    assert_eq!(count.requests.load(Ordering::SeqCst), 3);
    assert_eq!(count.connections.load(Ordering::SeqCst), 2);
}
