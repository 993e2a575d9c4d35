//! Handling of everything that a back end may do to a connection. The back ends are raw TCP servers, so that no
//! HTTP library alters the cases.

use actix_http::{Method, RequestHead};
use bytes::Bytes;
use firshore_exchange::exchange::{self, ExchangeError, Reuse};
use firshore_exchange::framing::BodyEnd;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// Outcome of an exchange for its caller.
#[derive(Debug, PartialEq, Eq)]
enum Outcome {
    Whole(&'static str),
    Unverified(&'static str),
    Truncated,
    Lost,
    NotConnected,
    TooLong,
}

struct Case {
    name: &'static str,
    method: Method,
    response: &'static str,
    expected: Outcome,
}

fn case(name: &'static str, response: &'static str, expected: Outcome) -> Case {
    Case {
        name,
        method: Method::POST,
        response,
        expected,
    }
}

/// Reads one request with its body. Returns `false` if the peer closed the connection.
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

/// Counts connections and requests that reached a back end.
#[derive(Default)]
struct Counters {
    connections: AtomicUsize,
    requests: AtomicUsize,
}

/// Starts a back end that handles each connection with `handle`.
fn start_backend(
    handle: impl Fn(&mut TcpStream, &Counters) + Send + Sync + 'static,
) -> (SocketAddr, Arc<Counters>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let counters = Arc::<Counters>::default();
    let shared = counters.clone();
    let handle = Arc::new(handle);
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            shared.connections.fetch_add(1, Ordering::SeqCst);
            let (counters, handle) = (shared.clone(), handle.clone());
            std::thread::spawn(move || handle(&mut stream, &counters));
        }
    });
    (address, counters)
}

fn request_head(method: Method, address: SocketAddr) -> RequestHead {
    exchange::request_head(method, "/path", address).unwrap()
}

async fn exchange_outcome(address: SocketAddr, method: Method) -> Outcome {
    let body = Bytes::from_static(b"request body");
    let mut exchange = match exchange::send(address, request_head(method, address), body).await {
        Ok(exchange) => exchange,
        Err(error) => return error_outcome(&error),
    };
    match exchange.body.read_whole(1000).await {
        Ok(body) => {
            let text: &'static str = String::from_utf8(body.to_vec()).unwrap().leak();
            match exchange.body.end() {
                BodyEnd::Delimited => Outcome::Whole(text),
                BodyEnd::ByClose => Outcome::Unverified(text),
            }
        }
        Err(error) => error_outcome(&error),
    }
}

fn error_outcome(error: &ExchangeError) -> Outcome {
    match error {
        ExchangeError::NotConnected(_) => Outcome::NotConnected,
        ExchangeError::Lost(_) => Outcome::Lost,
        ExchangeError::Truncated => Outcome::Truncated,
        ExchangeError::TooLong(_) => Outcome::TooLong,
    }
}

#[test]
fn responses_are_classified_correctly() {
    let mut cases = vec![
        case(
            "whole by length",
            "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello",
            Outcome::Whole("hello"),
        ),
        case(
            "whole by chunks",
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
            Outcome::Whole("hello"),
        ),
        case(
            "empty by length",
            "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n",
            Outcome::Whole(""),
        ),
        case(
            "cut in a body with a length",
            "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhello",
            Outcome::Truncated,
        ),
        case(
            "cut before a body with a length",
            "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n",
            Outcome::Truncated,
        ),
        case(
            "cut between chunks",
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n",
            Outcome::Truncated,
        ),
        case(
            "cut inside a chunk",
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\na\r\nhello",
            Outcome::Truncated,
        ),
        case(
            "cut in a chunk's length",
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0",
            Outcome::Truncated,
        ),
        case(
            "a chunk's length that is no number",
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nzz\r\nhello\r\n0\r\n\r\n",
            Outcome::Truncated,
        ),
        case(
            "cut in the head",
            "HTTP/1.1 200 OK\r\ncontent-len",
            Outcome::Lost,
        ),
        case("closed without a response", "", Outcome::Lost),
        case("garbage", "\u{16}\u{3}\u{1}garbage\r\n\r\n", Outcome::Lost),
        case(
            "two lengths",
            "HTTP/1.1 200 OK\r\ncontent-length: 5\r\ncontent-length: 6\r\n\r\nhello",
            Outcome::Lost,
        ),
        case(
            "by close in HTTP/1.1",
            "HTTP/1.1 200 OK\r\n\r\nhello",
            Outcome::Unverified("hello"),
        ),
        case(
            "by close in HTTP/1.0",
            "HTTP/1.0 200 OK\r\n\r\nhello",
            Outcome::Unverified("hello"),
        ),
        case(
            "a length in HTTP/1.0",
            "HTTP/1.0 200 OK\r\ncontent-length: 5\r\n\r\nhello",
            Outcome::Whole("hello"),
        ),
        case(
            "an unknown encoding of the body",
            "HTTP/1.1 200 OK\r\ntransfer-encoding: gzip\r\n\r\nhello",
            Outcome::Lost,
        ),
        case(
            "interim responses before the final one",
            "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello",
            Outcome::Whole("hello"),
        ),
        case(
            "an interim response only",
            "HTTP/1.1 100 Continue\r\n\r\n",
            Outcome::Lost,
        ),
        case(
            "another protocol",
            "HTTP/1.1 101 Switching Protocols\r\nupgrade: websocket\r\nconnection: upgrade\r\n\r\n",
            Outcome::Lost,
        ),
        case(
            "a length beside an upgrade",
            "HTTP/1.1 200 OK\r\nupgrade: websocket\r\ncontent-length: 5\r\n\r\nhello",
            Outcome::Lost,
        ),
        case(
            "no content",
            "HTTP/1.1 204 No Content\r\n\r\n",
            Outcome::Whole(""),
        ),
        case(
            "not modified, with the length of what was not sent",
            "HTTP/1.1 304 Not Modified\r\ncontent-length: 5\r\n\r\n",
            Outcome::Whole(""),
        ),
        case(
            "a chunk longer than its data",
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\nfff\r\n",
            Outcome::Truncated,
        ),
    ];
    cases.push(Case {
        method: Method::HEAD,
        ..case(
            "the length of a HEAD",
            "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n",
            Outcome::Whole(""),
        )
    });
    actix_rt::System::new().block_on(async {
        for case in cases {
            let response = case.response;
            let (address, counters) = start_backend(move |stream, counters| {
                read_request(stream);
                counters.requests.fetch_add(1, Ordering::SeqCst);
                let _ = stream.write_all(response.as_bytes());
            });
            let outcome = exchange_outcome(address, case.method).await;
            assert_eq!(outcome, case.expected, "{}", case.name);
            let requests = counters.requests.load(Ordering::SeqCst);
            assert_eq!(requests, 1, "{}: requests written", case.name);
        }
    });
}

#[test]
fn a_response_over_the_limit_is_too_long() {
    let (address, _) = start_backend(|stream, _| {
        read_request(stream);
        let body = "x".repeat(2000);
        let _ = write!(
            stream,
            "HTTP/1.1 200 OK\r\ncontent-length: 2000\r\n\r\n{body}"
        );
    });
    let outcome = actix_rt::System::new().block_on(exchange_outcome(address, Method::POST));
    assert_eq!(outcome, Outcome::TooLong);
}

#[test]
fn a_refused_connection_means_not_sent() {
    // A bound socket that doesn't listen: connections are refused, and no other process can take the port.
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
    socket.bind(&any.into()).unwrap();
    let address = socket.local_addr().unwrap().as_socket().unwrap();
    let outcome = actix_rt::System::new().block_on(exchange_outcome(address, Method::POST));
    assert_eq!(outcome, Outcome::NotConnected);
}

#[test]
fn a_connect_timeout_means_not_sent() {
    // With a full backlog, further connection attempts get no response.
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
    let outcome = actix_rt::System::new().block_on(exchange_outcome(address, Method::POST));
    assert_eq!(
        outcome,
        Outcome::NotConnected,
        "with {} connections",
        held.len()
    );
}

#[test]
fn a_request_lost_on_a_pooled_connection_is_not_sent_again() {
    let (address, counters) = start_backend(|stream, counters| {
        read_request(stream);
        counters.requests.fetch_add(1, Ordering::SeqCst);
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok");
        if read_request(stream) {
            counters.requests.fetch_add(1, Ordering::SeqCst);
        }
    });
    actix_rt::System::new().block_on(async {
        assert_eq!(
            exchange_outcome(address, Method::POST).await,
            Outcome::Whole("ok")
        );
        assert_eq!(exchange_outcome(address, Method::POST).await, Outcome::Lost);
    });
    assert_eq!(counters.connections.load(Ordering::SeqCst), 1, "was pooled");
    assert_eq!(counters.requests.load(Ordering::SeqCst), 2, "was sent once");
}

#[test]
fn a_closed_idle_connection_is_not_used() {
    let (address, counters) = start_backend(|stream, _| {
        read_request(stream);
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok");
        let _ = stream.shutdown(Shutdown::Both);
    });
    actix_rt::System::new().block_on(async {
        for _ in 0..3 {
            assert_eq!(
                exchange_outcome(address, Method::POST).await,
                Outcome::Whole("ok")
            );
            actix_rt::time::sleep(Duration::from_millis(50)).await;
        }
    });
    assert_eq!(counters.connections.load(Ordering::SeqCst), 3);
}

#[test]
fn reuse_never_opens_a_new_connection() {
    let (address, counters) = start_backend(|stream, _| {
        while read_request(stream) {
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok");
        }
    });
    actix_rt::System::new().block_on(async {
        assert_eq!(
            exchange_outcome(address, Method::POST).await,
            Outcome::Whole("ok")
        );
        let connection = exchange::connect(address, Reuse::Never).await.unwrap();
        let request = request_head(Method::POST, address);
        connection.send(request, Bytes::new()).await.unwrap();
    });
    assert_eq!(counters.connections.load(Ordering::SeqCst), 2);
}

#[test]
fn surplus_bytes_do_not_reach_the_next_request() {
    let responses: [&str; 5] = [
        "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nokHTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwrong",
        "HTTP/1.1 204 No Content\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwrong",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwrong",
        "HTTP/1.1 304 Not Modified\r\ncontent-length: 5\r\n\r\nwrong",
        "HTTP/1.1 200 OK\r\ncontent-length: 2\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
    ];
    for response in responses {
        let (address, counters) = start_backend(move |stream, _| {
            while read_request(stream) {
                let _ = stream.write_all(response.as_bytes());
            }
        });
        actix_rt::System::new().block_on(async {
            for _ in 0..3 {
                let outcome = exchange_outcome(address, Method::POST).await;
                assert!(
                    matches!(outcome, Outcome::Whole("ok" | "")),
                    "{outcome:?} after {response}"
                );
            }
        });
        let connections = counters.connections.load(Ordering::SeqCst);
        assert_eq!(connections, 3, "connection kept after {response}");
    }
}

#[test]
fn an_early_response_is_received_while_the_request_is_unread() {
    let (address, _) = start_backend(|stream, _| {
        let _ = stream.write_all(b"HTTP/1.1 413 Too Large\r\ncontent-length: 2\r\n\r\nno");
        let _ = stream.shutdown(Shutdown::Write);
        // Closing with unread bytes would reset the connection and discard the response.
        let mut rest = Vec::new();
        let _ = stream.read_to_end(&mut rest);
    });
    let status = actix_rt::System::new().block_on(async {
        let body = Bytes::from(vec![b'x'; 8 * 1024 * 1024]);
        let request = request_head(Method::POST, address);
        let exchange = exchange::send(address, request, body).await.unwrap();
        exchange.head.status.as_u16()
    });
    assert_eq!(status, 413);
}

#[test]
fn head_and_body_are_sent_in_one_write() {
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
    let _ = actix_rt::System::new().block_on(exchange_outcome(address, Method::POST));
    assert!(receiver.recv().unwrap().ends_with("request body"));
}

#[test]
fn a_connection_idle_during_a_suspension_is_not_reused() {
    let (address, counters) = start_backend(|stream, counters| {
        while read_request(stream) {
            counters.requests.fetch_add(1, Ordering::SeqCst);
            let response = "HTTP/1.1 200 OK\r\nkeep-alive: timeout=5\r\ncontent-length: 0\r\n\r\n";
            stream.write_all(response.as_bytes()).unwrap();
        }
    });
    actix_rt::System::new().block_on(async {
        for suspension in [0, 0, 20] {
            firshore_clock::simulate_suspension(Duration::from_secs(suspension));
            let head = exchange::request_head(Method::GET, "/", address).unwrap();
            let exchange = exchange::send(address, head, Bytes::new()).await.unwrap();
            assert_eq!(exchange.head.status.as_u16(), 200);
        }
    });
    assert_eq!(counters.requests.load(Ordering::SeqCst), 3);
    assert_eq!(counters.connections.load(Ordering::SeqCst), 2);
}
