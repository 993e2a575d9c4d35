//! Callers' connections: slow readers, disconnects, pipelining and malformed requests.

use actix_http::StatusCode;
use actix_http::body::BodySize;
use actix_http::header::HeaderMap;
use bytes::Bytes;
use firshore_adapter::configuration::CallerLimits;
use firshore_gateway::answer_end::CompleteAnswer;
use firshore_gateway::caller_connection::{CallerConnection, CallerDisconnected, Incoming};
use firshore_gateway::input_account::InputAccount;
use firshore_gateway::input_budget::InputLimits;
use firshore_gateway::refusal::Refusal;
use std::future::pending;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc;
use std::time::Duration;
use tokio::net::TcpListener;

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: a.example\r\n\r\n";

/// Time after which the test counts as hung.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Bytes; more than the sockets' buffers hold.
const LONG_BODY_BYTES: usize = 32 * 1024 * 1024;

/// Bounds on the connections and their input.
const INPUT_LIMITS: InputLimits = InputLimits {
    bytes: 64 * 1024 * 1024,
    connections: 10,
};

/// Time within which a body must arrive.
const BODY_TIME: Duration = Duration::from_secs(60);

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

async fn accept(listener: &TcpListener) -> CallerConnection {
    let input = InputAccount::new(INPUT_LIMITS);
    let lease = input.open().unwrap();
    CallerConnection::new(listener.accept().await.unwrap().0, lease)
}

async fn read(connection: &mut CallerConnection) -> Incoming {
    let limits = CallerLimits::default();
    connection
        .read_request(&limits, pending(), |_| BODY_TIME)
        .await
}

#[test]
fn a_long_response_arrives_at_a_caller_that_reads_late() {
    actix_rt::System::new().block_on(async {
        let (listener, address) = listen().await;
        let (start, started) = mpsc::channel::<()>();
        let caller = std::thread::spawn(move || {
            let mut stream = TcpStream::connect(address).unwrap();
            stream.write_all(REQUEST).unwrap();
            started.recv().unwrap();
            let mut received = 0;
            let mut buffer = vec![0; 1024 * 1024];
            while received < LONG_BODY_BYTES {
                received += stream.read(&mut buffer).unwrap();
            }
        });
        let mut connection = accept(&listener).await;
        assert!(matches!(read(&mut connection).await, Incoming::Request(_)));
        let size = BodySize::Sized(LONG_BODY_BYTES as u64);
        connection.put_head(StatusCode::OK, HeaderMap::new(), size, false);
        connection.put_chunk(Bytes::from(vec![b'x'; LONG_BODY_BYTES]));
        connection.put_end(CompleteAnswer::local());
        // The gateway waits for buffer space before the caller starts reading.
        let reading = async {
            actix_rt::task::yield_now().await;
            start.send(()).unwrap();
        };
        let flushing = tokio::time::timeout(TEST_TIMEOUT, connection.flush());
        let (flushed, ()) = tokio::join!(flushing, reading);
        assert_eq!(flushed, Ok(Ok(())));
        caller.join().unwrap();
    });
}

#[test]
fn a_disconnect_is_noticed_while_the_response_is_pending() {
    actix_rt::System::new().block_on(async {
        let (listener, address) = listen().await;
        let mut stream = TcpStream::connect(address).unwrap();
        stream.write_all(REQUEST).unwrap();
        let mut connection = accept(&listener).await;
        assert!(matches!(read(&mut connection).await, Incoming::Request(_)));
        drop(stream);
        connection.disconnected().await;
    });
}

#[test]
fn a_disconnect_is_noticed_while_the_caller_does_not_read() {
    actix_rt::System::new().block_on(async {
        let (listener, address) = listen().await;
        let mut stream = TcpStream::connect(address).unwrap();
        stream.write_all(REQUEST).unwrap();
        let mut connection = accept(&listener).await;
        assert!(matches!(read(&mut connection).await, Incoming::Request(_)));
        let size = BodySize::Sized(LONG_BODY_BYTES as u64);
        connection.put_head(StatusCode::OK, HeaderMap::new(), size, false);
        connection.put_chunk(Bytes::from(vec![b'x'; LONG_BODY_BYTES]));
        drop(stream);
        assert_eq!(connection.flush().await, Err(CallerDisconnected));
    });
}

#[test]
fn pipelined_requests_are_handled_in_order() {
    actix_rt::System::new().block_on(async {
        let (listener, address) = listen().await;
        let mut stream = TcpStream::connect(address).unwrap();
        stream.write_all(&REQUEST.repeat(2)).unwrap();
        let mut connection = accept(&listener).await;
        for _ in 0..2 {
            assert!(matches!(read(&mut connection).await, Incoming::Request(_)));
            connection.put_head(StatusCode::OK, HeaderMap::new(), BodySize::Sized(0), false);
            assert_eq!(connection.flush().await, Ok(()));
        }
        drop(stream);
        assert!(matches!(read(&mut connection).await, Incoming::Closed));
    });
}

/// Reads a request from a client that runs on a thread of its own; the client returns what it received.
fn read_from(
    client: impl FnOnce(TcpStream) -> String + Send + 'static,
    respond: impl AsyncFnOnce(CallerConnection, Incoming),
) -> String {
    actix_rt::System::new().block_on(async {
        let (listener, address) = listen().await;
        let client = std::thread::spawn(move || client(TcpStream::connect(address).unwrap()));
        let mut connection = accept(&listener).await;
        let incoming = tokio::time::timeout(TEST_TIMEOUT, read(&mut connection)).await;
        respond(connection, incoming.expect("the request ends")).await;
        client.join().unwrap()
    })
}

/// Sends what it can, then reads to the end, which must be no reset: a caller could lose what it has not read.
fn send_all_then_read(mut stream: TcpStream, sent: &[u8]) -> String {
    let _ = stream.write_all(sent);
    let mut received = String::new();
    let read = stream.read_to_string(&mut received);
    read.expect("the connection ends in order");
    received
}

async fn refuse(mut connection: CallerConnection, incoming: Incoming) {
    let Incoming::Invalid(error) = incoming else {
        panic!("the request was accepted");
    };
    let refusal = Refusal::from(error);
    refusal.write(&mut connection, true).await.unwrap();
    connection.discard_rest().await;
}

#[test]
fn the_refusal_of_an_announced_body_over_the_limit_ended_in_a_reset() {
    let received = read_from(
        |stream| {
            let head = "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 4500000\r\n\r\n";
            let sent = [head.as_bytes(), &vec![b'z'; 4_000_000]].concat();
            send_all_then_read(stream, &sent)
        },
        refuse,
    );
    assert!(received.starts_with("HTTP/1.1 413"), "{received:?}");
}

#[test]
fn a_body_over_the_limit_is_refused_before_any_of_it_has_arrived() {
    let received = read_from(
        |stream| {
            let head = "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 4194305\r\n\r\n";
            send_all_then_read(stream, head.as_bytes())
        },
        refuse,
    );
    assert!(received.starts_with("HTTP/1.1 413"), "{received:?}");
}

#[test]
fn a_body_of_the_largest_size_is_read_whole_in_one_byte_chunks_and_announced() {
    let body = 4 * 1024 * 1024;
    let announced = format!("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: {body}\r\n\r\n");
    let chunked = "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n";
    let cases = [
        [announced.as_bytes(), &vec![b'z'; body]].concat(),
        [
            chunked.as_bytes(),
            &b"1\r\nz\r\n".repeat(body),
            b"0\r\n\r\n",
        ]
        .concat(),
    ];
    for sent in cases {
        read_from(
            move |mut stream| {
                stream.write_all(&sent).unwrap();
                String::new()
            },
            async |_, incoming| match incoming {
                Incoming::Request(request) => assert_eq!(request.body, vec![b'z'; body]),
                _ => panic!("the request was refused"),
            },
        );
    }
}

#[test]
fn a_chunk_with_an_endless_extension_was_read_for_ever() {
    let received = read_from(
        |stream| {
            let head = "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n1;";
            send_all_then_read(stream, &[head.as_bytes(), &vec![b'x'; 200_000]].concat())
        },
        refuse,
    );
    assert!(received.starts_with("HTTP/1.1 400"), "{received:?}");
}

#[test]
fn a_dribbled_body_was_read_for_ever() {
    let received = actix_rt::System::new().block_on(async {
        let (listener, address) = listen().await;
        let client = std::thread::spawn(move || {
            let mut stream = TcpStream::connect(address).unwrap();
            let head = "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 1000000\r\n\r\n";
            stream.write_all(head.as_bytes()).unwrap();
            while stream.write_all(b"z").is_ok() {
                std::thread::sleep(Duration::from_millis(20));
                stream.set_nonblocking(true).unwrap();
                let mut answer = [0; 12];
                let has_answer = matches!(stream.peek(&mut answer), Ok(12));
                stream.set_nonblocking(false).unwrap();
                if has_answer {
                    return String::from_utf8_lossy(&answer).into_owned();
                }
            }
            String::new()
        });
        let mut connection = accept(&listener).await;
        let limits = CallerLimits::default();
        let short = Duration::from_millis(500);
        let reading = connection.read_request(&limits, pending(), |_| short);
        let incoming = tokio::time::timeout(TEST_TIMEOUT, reading).await;
        refuse(connection, incoming.expect("the request ends")).await;
        client.join().unwrap()
    });
    assert_eq!(received, "HTTP/1.1 408");
}

#[test]
fn bytes_behind_a_pending_request_are_discarded_and_a_close_is_still_noticed() {
    actix_rt::System::new().block_on(async {
        let (listener, address) = listen().await;
        let mut stream = TcpStream::connect(address).unwrap();
        let client = std::thread::spawn(move || {
            stream.write_all(REQUEST).unwrap();
            // More than the sockets' buffers hold.
            stream.write_all(&vec![b'x'; LONG_BODY_BYTES]).unwrap();
        });
        let mut connection = accept(&listener).await;
        assert!(matches!(read(&mut connection).await, Incoming::Request(_)));
        let noticed = tokio::time::timeout(TEST_TIMEOUT, connection.disconnected()).await;
        assert_eq!(noticed, Ok(()));
        assert!(!connection.keeps_open());
        client.join().unwrap();
    });
}

#[test]
fn malformed_and_oversized_requests_get_distinct_statuses() {
    let long_head = format!("GET / HTTP/1.1\r\nx: {}", "y".repeat(20_000));
    let long_body = "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 5000000\r\n\r\n".to_owned()
        + &"z".repeat(4_300_000);
    let cases = [
        ("garbage", "\u{1}\u{2}garbage\r\n\r\n".to_owned(), 400),
        ("long head", long_head, 431),
        ("long body", long_body, 413),
    ];
    for (name, sent, status) in cases {
        actix_rt::System::new().block_on(async {
            let (listener, address) = listen().await;
            let sender = std::thread::spawn(move || {
                let mut stream = TcpStream::connect(address).unwrap();
                let _ = stream.write_all(sent.as_bytes());
                let mut rest = Vec::new();
                let _ = stream.read_to_end(&mut rest);
            });
            let mut connection = accept(&listener).await;
            match read(&mut connection).await {
                Incoming::Invalid(error) => assert_eq!(error.code.status(), status, "{name}"),
                _ => panic!("{name}: accepted"),
            }
            drop(connection);
            sender.join().unwrap();
        });
    }
}
