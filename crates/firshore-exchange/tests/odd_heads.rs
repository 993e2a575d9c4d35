//! Heads of answers that are not HTTP. Such an answer must not reach a caller: its body may not be the back end's.

use actix_http::Method;
use bytes::Bytes;
use firshore_exchange::exchange::{self, ExchangeError};
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const BODY: &str = "hello";

/// Lines of a head beside its status line.
const ODD_LINES: [&[u8]; 24] = [
    b"x : v",
    b"x\t: v",
    b"x \t : v",
    b"content-length : 5",
    b"content-length\t: 5",
    b"connection : close",
    b"transfer-encoding : chunked",
    b"x y: v",
    b"x\x00y: v",
    b"x\x01y: v",
    b"x\x7fy: v",
    b"x\x0by: v",
    b"x(y: v",
    b"x\xc3\xbcy: v",
    b": v",
    b" : v",
    b"no colon",
    b" x: v",
    b"\tx: v",
    b"x: a\x00b",
    b"x: a\x01b",
    b"x: a\x7fb",
    b"content-length: 6",
    b"content-length: +5",
];

const ODD_STATUS_LINES: [&str; 14] = [
    "HTTP/1.1 000 Odd",
    "HTTP/1.1 099 Odd",
    "HTTP/1.1 600 Odd",
    "HTTP/1.1 999 Odd",
    "HTTP/1.1 20 Odd",
    "HTTP/1.1 2000 Odd",
    "HTTP/1.1 -20 Odd",
    "HTTP/1.1 2x0 Odd",
    "HTTP/1.1  200 Odd",
    "HTTP/1.1 Odd",
    "HTTP/7.3 200 Odd",
    "HTTP/1 200 Odd",
    " HTTP/1.1 200 Odd",
    "HTTP/1.1\x0b200 Odd",
];

/// Starts a back end that sends `answer` on each connection, in pieces of this many bytes.
async fn start_backend(answer: Vec<u8>, piece: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    actix_rt::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut request = [0; 1_024];
            assert!(stream.read(&mut request).await.unwrap() > 0);
            for piece in answer.chunks(piece) {
                if stream.write_all(piece).await.is_err() {
                    break;
                }
                actix_rt::task::yield_now().await;
            }
        }
    });
    address
}

async fn receive(answer: Vec<u8>, piece: usize) -> Result<Bytes, ExchangeError> {
    let address = start_backend(answer, piece).await;
    let head = exchange::request_head(Method::GET, "/", address).unwrap();
    let mut exchange = exchange::send(address, head, Bytes::new()).await?;
    exchange.body.read_whole(1_000).await
}

/// Sends each answer whole and byte by byte; returns those that were received as answers.
fn received(answers: Vec<Vec<u8>>) -> Vec<String> {
    let mut received = Vec::new();
    for answer in answers {
        for piece in [answer.len(), 1] {
            let text = answer.escape_ascii().to_string();
            actix_rt::System::new().block_on(async {
                match receive(answer.clone(), piece).await {
                    Ok(_) => received.push(text),
                    Err(error) => assert!(matches!(error, ExchangeError::Lost(_)), "{error}"),
                }
            });
        }
    }
    received
}

fn answer(status_line: &str, lines: &[&[u8]]) -> Vec<u8> {
    let mut answer = status_line.as_bytes().to_vec();
    for line in lines {
        answer.extend_from_slice(b"\r\n");
        answer.extend_from_slice(line);
    }
    answer.extend_from_slice(b"\r\n\r\n");
    answer.extend_from_slice(BODY.as_bytes());
    answer
}

#[test]
fn answer_with_an_odd_field_name_was_passed_on() {
    let answers = ODD_LINES.into_iter().flat_map(|line| {
        let lines: [&[&[u8]]; 2] = [&[b"content-length: 5", line], &[line, b"content-length: 5"]];
        lines.map(|lines| answer("HTTP/1.1 200 OK", lines))
    });
    assert_eq!(received(answers.collect()), Vec::<String>::new());
}

#[test]
fn answer_with_an_odd_field_name_and_no_length_was_passed_on() {
    let odd_names = ODD_LINES
        .into_iter()
        .filter(|line| !line.starts_with(b"content-length: "));
    let answers = odd_names.map(|line| answer("HTTP/1.1 200 OK", &[line]));
    assert_eq!(received(answers.collect()), Vec::<String>::new());
}

#[test]
fn answer_behind_an_odd_interim_one_was_passed_on() {
    let last = answer("HTTP/1.1 200 OK", &[b"content-length: 5"]);
    let interim = b"HTTP/1.1 103 Early Hints\r\nx : v\r\n\r\n";
    let answers = vec![[&interim[..], &last].concat()];
    assert_eq!(received(answers), Vec::<String>::new());
}

#[test]
fn answer_with_an_odd_status_was_passed_on() {
    let lines = ODD_STATUS_LINES.into_iter();
    let answers = lines.map(|line| answer(line, &[b"content-length: 5"]));
    assert_eq!(received(answers.collect()), Vec::<String>::new());
}

/// What RFC 9112 allows in a head.
#[test]
fn unusual_heads_are_received() {
    let heads: [&[&[u8]]; 5] = [
        &[b"x:"],
        &[b"x:v"],
        &[b"x: \t v \t "],
        &[b"x: a\xffb"],
        &[b"!#$%&'*+-.^_`|~0aZ: : v :"],
    ];
    for head in heads {
        let lines = [head, &[b"content-length: 5"]].concat();
        for status in ["HTTP/1.1 200", "HTTP/1.1 599 Odd: but valid"] {
            let answers = vec![answer(status, &lines)];
            assert_eq!(received(answers).len(), 2, "{head:?}");
        }
    }
}
