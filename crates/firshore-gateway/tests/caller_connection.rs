//! What a caller's connection makes of the ways in which callers read and leave.

use actix_http::StatusCode;
use actix_http::body::BodySize;
use actix_http::header::HeaderMap;
use bytes::Bytes;
use firshore_adapter::configuration::CallerLimits;
use firshore_gateway::caller_connection::{CallerConnection, CallerDisconnected, Incoming};
use std::future::pending;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc;
use std::time::Duration;
use tokio::net::TcpListener;

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: a.example\r\n\r\n";

/// Guard against a test that hangs.
const HANGS_AFTER: Duration = Duration::from_secs(20);

/// More than sockets buffer.
const LONG_BODY: usize = 32 * 1024 * 1024;

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

async fn accept(listener: &TcpListener) -> CallerConnection {
    CallerConnection::new(listener.accept().await.unwrap().0)
}

async fn read(connection: &mut CallerConnection) -> Incoming {
    let limits = CallerLimits::default();
    connection.read_request(&limits, pending()).await
}

#[test]
fn a_long_answer_arrives_though_the_caller_reads_late() {
    actix_rt::System::new().block_on(async {
        let (listener, address) = listen().await;
        let (go, wait) = mpsc::channel::<()>();
        let caller = std::thread::spawn(move || {
            let mut stream = TcpStream::connect(address).unwrap();
            stream.write_all(REQUEST).unwrap();
            wait.recv().unwrap();
            let mut received = 0;
            let mut buffer = vec![0; 1024 * 1024];
            while received < LONG_BODY {
                received += stream.read(&mut buffer).unwrap();
            }
        });
        let mut connection = accept(&listener).await;
        assert!(matches!(read(&mut connection).await, Incoming::Request(_)));
        let size = BodySize::Sized(LONG_BODY as u64);
        connection.put_head(StatusCode::OK, HeaderMap::new(), size, false);
        connection.put_chunk(Bytes::from(vec![b'x'; LONG_BODY]));
        connection.put_end();
        // The wait for room starts before the caller reads anything.
        let reading = async {
            actix_rt::task::yield_now().await;
            go.send(()).unwrap();
        };
        let flushing = tokio::time::timeout(HANGS_AFTER, connection.flush());
        let (flushed, ()) = tokio::join!(flushing, reading);
        assert_eq!(flushed, Ok(Ok(())));
        caller.join().unwrap();
    });
}

#[test]
fn a_caller_that_leaves_is_noticed_while_an_answer_is_awaited() {
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
fn a_caller_that_leaves_is_noticed_while_it_does_not_read() {
    actix_rt::System::new().block_on(async {
        let (listener, address) = listen().await;
        let mut stream = TcpStream::connect(address).unwrap();
        stream.write_all(REQUEST).unwrap();
        let mut connection = accept(&listener).await;
        assert!(matches!(read(&mut connection).await, Incoming::Request(_)));
        let size = BodySize::Sized(LONG_BODY as u64);
        connection.put_head(StatusCode::OK, HeaderMap::new(), size, false);
        connection.put_chunk(Bytes::from(vec![b'x'; LONG_BODY]));
        drop(stream);
        assert_eq!(connection.flush().await, Err(CallerDisconnected));
    });
}

#[test]
fn requests_sent_ahead_are_answered_one_after_the_other() {
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

#[test]
fn requests_that_cannot_be_taken_are_told_apart() {
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
                Incoming::Unusable(error) => assert_eq!(error.code.status(), status, "{name}"),
                _ => panic!("{name}: taken"),
            }
            drop(connection);
            sender.join().unwrap();
        });
    }
}
