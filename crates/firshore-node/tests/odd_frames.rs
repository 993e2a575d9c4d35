//! Frames of a peer that are very deeply nested, hold a number out of range, or claim a huge length. Guards against a
//! frame that ends the node that receives it: only the connection may end.

use ciborium::Value;
use firshore_link::error::ProtocolError;
use firshore_link::frame::{self, MAX_FRAME_BYTES};
use firshore_link::handshake::{self, ClusterSecret};
use firshore_link::listener::{self, Handler};
use firshore_link::{RequestFrame, ResponseFrame};
use firshore_node::journal::messages::{PeerRequest, PeerResponse};
use firshore_node::relay::cache::{RelayContact, RelayedObject, RelayedPage};
use futures_util::future::{FutureExt, LocalBoxFuture};
use serde::Serialize;
use slog::{Discard, Logger, o};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

const SECRET: &str = "a-secret-of-the-tests";
const PATIENCE: Duration = Duration::from_secs(10);

/// Levels of nesting: around the decoder's limit of 256, and far beyond it.
const DEPTHS: [usize; 5] = [60, 254, 256, 258, 20_000];

/// Levels of nesting beyond what a stack holds.
const EXTREME_DEPTH: usize = 2_000_000;

/// Starts of CBOR arrays, objects with a field "a", unfinished arrays and tags.
const NESTING: [&[u8]; 4] = [&[0x81], &[0xa1, 0x61, b'a'], &[0x9f], &[0xc6]];

/// Heads of an array, an object, bytes and a text that claim 2^64 - 1 and 2^40 elements, and integers with 9 bytes.
const HUGE: [&[u8]; 9] = [
    &[0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff],
    &[0xbb, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff],
    &[0x5b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff],
    &[0x7b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff],
    &[0x9b, 0, 0, 1, 0, 0, 0, 0, 0],
    &[0x5b, 0, 0, 1, 0, 0, 0, 0, 0],
    &[0x7b, 0, 0, 1, 0, 0, 0, 0, 0],
    &[0xc2, 0x49, 1, 0, 0, 0, 0, 0, 0, 0, 0],
    &[0xc3, 0x49, 1, 0, 0, 0, 0, 0, 0, 0, 0],
];

fn request() -> RequestFrame<PeerRequest> {
    let request = PeerRequest::Results {
        job: "j".to_owned(),
        from: 3,
        wait: 4,
    };
    RequestFrame {
        correlation: 1,
        request,
    }
}

fn response() -> ResponseFrame<PeerResponse> {
    let page = RelayedPage {
        objects: vec![RelayedObject {
            name: "i-a".to_owned(),
            revision: 3,
            json: b"{\"spec\":{}}".to_vec().into(),
        }],
        more: false,
        revision: 9,
        contact: RelayContact::default(),
    };
    ResponseFrame {
        correlation: 1,
        response: PeerResponse::Page(page),
    }
}

fn cbor(value: &impl Serialize) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).expect("values serialise");
    bytes
}

/// Returns odd CBOR values.
fn odd_values() -> Vec<Vec<u8>> {
    let deep = NESTING
        .iter()
        .flat_map(|start| DEPTHS.map(|depth| [start.repeat(depth), vec![1]].concat()));
    let numbers = [
        Value::from(u64::MAX),
        Value::from(i64::MIN),
        Value::from(f64::MAX),
        Value::from(f64::NAN),
        Value::from(f64::INFINITY),
        Value::Null,
    ];
    let numbers = numbers.iter().map(cbor);
    let huge = HUGE.iter().map(|bytes| bytes.to_vec());
    deep.chain(numbers).chain(huge).collect()
}

/// Text that marks the place of an odd value in an encoded message.
const MARK: &str = "place of the odd value";

/// Calls `put` with each value within a tree replaced by the mark.
fn with_each_marked(tree: &Value, put: &mut dyn FnMut(Value)) {
    put(Value::from(MARK));
    match tree {
        Value::Map(fields) => {
            for (idx, (_, value)) in fields.iter().enumerate() {
                with_each_marked(value, &mut |marked| {
                    let mut fields = fields.clone();
                    fields[idx].1 = marked;
                    put(Value::Map(fields));
                });
            }
        }
        Value::Array(values) => {
            for (idx, value) in values.iter().enumerate() {
                with_each_marked(value, &mut |marked| {
                    let mut values = values.clone();
                    values[idx] = marked;
                    put(Value::Array(values));
                });
            }
        }
        _ => {}
    }
}

/// Returns the message with the mark in the place of each value in turn, and as a field that no node reads.
fn marked_messages(message: &impl Serialize) -> Vec<Vec<u8>> {
    let tree = Value::serialized(message).expect("messages serialise");
    let mut marked = Vec::new();
    with_each_marked(&tree, &mut |tree| marked.push(cbor(&tree)));
    let mut fields = tree.into_map().expect("a frame is a map");
    fields.push((Value::from("unknown"), Value::from(MARK)));
    marked.push(cbor(&Value::Map(fields)));
    marked
}

fn replace_mark(message: &[u8], value: &[u8]) -> Vec<u8> {
    let mark = cbor(&MARK);
    let start = message.windows(mark.len()).position(|part| part == mark);
    let start = start.expect("the message has a mark");
    [&message[..start], value, &message[start + mark.len()..]].concat()
}

fn odd_bodies(message: &impl Serialize) -> Vec<Vec<u8>> {
    let (messages, values) = (marked_messages(message), odd_values());
    let bodies = messages
        .iter()
        .flat_map(|message| values.iter().map(|value| replace_mark(message, value)));
    bodies.collect()
}

fn with_length(body: &[u8]) -> Vec<u8> {
    [&(body.len() as u32).to_be_bytes(), body].concat()
}

fn is_malformed<T>(result: &Result<T, ProtocolError>) -> bool {
    matches!(result, Err(ProtocolError::Malformed(_)))
}

#[actix_rt::test]
async fn odd_requests_are_decoded_or_malformed() {
    let mut malformed = 0;
    let bodies = odd_bodies(&request());
    for body in &bodies {
        let bytes = with_length(body);
        let read = frame::read::<RequestFrame<PeerRequest>>(&mut &bytes[..], MAX_FRAME_BYTES).await;
        assert!(read.is_ok() || is_malformed(&read));
        malformed += usize::from(read.is_err());
    }
    assert!(malformed * 2 > bodies.len(), "{malformed} were malformed");
}

#[actix_rt::test]
async fn odd_responses_are_decoded_or_malformed() {
    for body in odd_bodies(&response()) {
        let bytes = with_length(&body);
        let read =
            frame::read::<ResponseFrame<PeerResponse>>(&mut &bytes[..], MAX_FRAME_BYTES).await;
        assert!(read.is_ok() || is_malformed(&read));
        if let Ok(ResponseFrame {
            response: PeerResponse::Page(page),
            ..
        }) = read
        {
            page.objects.iter().for_each(|object| drop(object.decode()));
        }
    }
}

#[test]
fn object_with_deep_content_from_a_relay_is_an_error() {
    for depth in [128, 10_000, 2_000_000] {
        let json = [
            b"{\"spec\":".as_slice(),
            &b"[".repeat(depth),
            &b"]".repeat(depth),
            b"}",
        ];
        let relayed = RelayedObject {
            name: "i-a".to_owned(),
            revision: 3,
            json: json.concat().into(),
        };
        assert!(relayed.decode().is_err(), "{depth}");
    }
}

struct Answering;

impl Handler<PeerRequest, PeerResponse> for Answering {
    fn notice(&self, _request: PeerRequest) {}

    fn answer(&self, _request: PeerRequest) -> LocalBoxFuture<'static, PeerResponse> {
        async { PeerResponse::Done }.boxed_local()
    }
}

async fn connect(node: SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(node).await.expect("the node listens");
    let secret = ClusterSecret(SECRET.as_bytes().to_vec());
    let shaken = handshake::connect(&mut stream, &secret).await;
    shaken.expect("the secret is right");
    stream
}

async fn ask(stream: &mut TcpStream) {
    frame::write(stream, &request()).await.expect("it is open");
    let response = frame::read::<ResponseFrame<PeerResponse>>(stream, MAX_FRAME_BYTES);
    let response = timeout(PATIENCE, response).await.expect("it answers");
    let response = response.expect("it is open").response;
    assert!(matches!(response, PeerResponse::Done));
}

#[actix_rt::test]
async fn odd_frames_end_their_connection_only() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let node = listener.local_addr().expect("it is bound");
    let secret = ClusterSecret(SECRET.as_bytes().to_vec());
    let log = Logger::root(Discard, o!());
    let serving = listener::run(listener, secret, Rc::new(Answering), log);
    let serving = actix_rt::spawn(serving);
    let mut other = connect(node).await;
    let extreme = NESTING.iter().map(|start| start.repeat(EXTREME_DEPTH));
    for value in odd_values().into_iter().chain(extreme) {
        let mut stream = connect(node).await;
        // The node may close before it has all; what counts is that it goes on.
        let _ = stream.write_all(&with_length(&value)).await;
        let mut rest = Vec::new();
        let closed = timeout(PATIENCE, stream.read_to_end(&mut rest)).await;
        assert!(closed.is_ok(), "the connection stays open");
        ask(&mut other).await;
    }
    ask(&mut connect(node).await).await;
    assert!(!serving.is_finished());
    serving.abort();
}
