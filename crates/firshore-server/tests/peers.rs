//! What a node makes of strangers and of broken peers: each is refused with a logged reason, and a
//! good peer connected all the while notices nothing.

use firshore_protocol::error::ProtocolError;
use firshore_protocol::frame::{self, MAX_FRAME_BYTES};
use firshore_protocol::handshake::{self, ClusterSecret, PROTOCOL_VERSION};
use firshore_protocol::message::{Request, RequestFrame, Response, ResponseFrame};
use firshore_replication::types::GroupId;
use firshore_server::node::Node;
use firshore_server::settings::Settings;
use serde::Serialize;
use slog::{Drain, KV, Logger, OwnedKVList, Record, Serializer, o};
use std::fmt::{self, Write as _};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

const SECRET: &str = "a-secret-of-the-tests";
const PATIENCE: Duration = Duration::from_secs(20);

/// Levels of nesting far beyond what a stack holds.
const DEEP: usize = 1_000_000;

/// Log lines with their values.
#[derive(Clone, Default)]
struct Lines(Arc<Mutex<Vec<String>>>);

struct Values(String);

impl Serializer for Values {
    fn emit_arguments(&mut self, key: slog::Key, value: &fmt::Arguments<'_>) -> slog::Result {
        write!(self.0, " {key}={value}").map_err(slog::Error::from)
    }
}

impl Drain for Lines {
    type Ok = ();
    type Err = slog::Never;

    fn log(&self, record: &Record<'_>, _: &OwnedKVList) -> Result<(), slog::Never> {
        let mut values = Values(record.msg().to_string());
        record
            .kv()
            .serialize(record, &mut values)
            .expect("a string takes everything");
        self.lock().push(values.0);
        Ok(())
    }
}

impl Lines {
    fn lock(&self) -> MutexGuard<'_, Vec<String>> {
        self.0.lock().expect("nobody panics while holding it")
    }

    async fn wait_for(&self, wanted: &str, case: &str) {
        let deadline = Instant::now() + PATIENCE;
        while !self.lock().iter().any(|line| line.contains(wanted)) {
            assert!(
                Instant::now() < deadline,
                "{case}: no '{wanted}' in {:?}",
                self.lock()
            );
            actix_rt::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

fn settings(name: &str, seeds: &[SocketAddr]) -> Settings {
    let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
    let text = format!(
        r#"
        name = "{name}"
        region = "r"
        zone = "z"
        listen = {{ callers = "127.0.0.1:0", peers = "127.0.0.1:0", admin = "127.0.0.1:0" }}
        cluster = {{ secret = "{SECRET}", seeds = [{}] }}
        platform = {{ object_api = "http://127.0.0.1:9", machine_list = "http://127.0.0.1:9" }}
        limits = {{ workers = 1 }}
        "#,
        seeds.join(", ")
    );
    toml::from_str(&text).expect("the settings are valid")
}

/// What a stranger does once connected.
enum Stranger {
    /// Sends these bytes at once.
    Raw(Vec<u8>),
    /// Runs the handshake with this secret.
    Handshake(&'static str),
    /// Runs the handshake with the right secret, then sends these bytes.
    Authenticated(Vec<u8>),
}

struct Case {
    name: &'static str,
    stranger: Stranger,
    logged: &'static str,
}

#[derive(Serialize)]
struct Challenge {
    version: u32,
    nonce: [u8; 32],
}

fn challenge(version: u32) -> Vec<u8> {
    let nonce = [7; 32];
    frame::encode(&Challenge { version, nonce }).expect("it is short")
}

fn with_length(length: usize, body: &[u8]) -> Vec<u8> {
    let mut bytes = (length as u32).to_be_bytes().to_vec();
    bytes.extend_from_slice(body);
    bytes
}

fn cases() -> Vec<Case> {
    let case = |name, stranger, logged| Case {
        name,
        stranger,
        logged,
    };
    vec![
        case(
            "another protocol",
            Stranger::Raw(b"GET / HTTP/1.1\r\n\r\n".to_vec()),
            "exceeds the limit",
        ),
        case(
            "malformed handshake",
            Stranger::Raw(with_length(3, &[0xff, 0xff, 0xff])),
            "malformed",
        ),
        case(
            "another version",
            Stranger::Raw(challenge(PROTOCOL_VERSION + 1)),
            "speaks protocol version",
        ),
        case(
            "right version, no proof",
            Stranger::Raw([challenge(PROTOCOL_VERSION), with_length(2, &[0xa0, 0xa0])].concat()),
            "malformed",
        ),
        case(
            "wrong secret",
            Stranger::Handshake("another-secret-altogether"),
            "did not prove the cluster secret",
        ),
        case("silence", Stranger::Raw(Vec::new()), "timed out"),
        case(
            "oversized frame",
            Stranger::Authenticated(with_length(MAX_FRAME_BYTES + 1, b"x")),
            "exceeds the limit",
        ),
        case(
            "malformed frame",
            Stranger::Authenticated(with_length(4, b"abcd")),
            "malformed",
        ),
        case(
            "valid CBOR of another type",
            Stranger::Authenticated(frame::encode(&"hello").expect("it is short")),
            "malformed",
        ),
        case(
            "deeply nested arrays",
            Stranger::Authenticated(with_length(DEEP, &[0x81; DEEP])),
            "malformed",
        ),
        case(
            "deeply nested objects",
            Stranger::Authenticated(with_length(3 * DEEP, &[0xa1, 0x61, b'r'].repeat(DEEP))),
            "malformed",
        ),
        case(
            "a field that is not read, deeply nested",
            Stranger::Authenticated(with_length(
                7 + DEEP,
                &[&b"\xa3\x61c\x01\x61x"[..], &[0x81; DEEP + 1]].concat(),
            )),
            "malformed",
        ),
        case(
            "a text that claims 2^64 - 1 bytes",
            Stranger::Authenticated(with_length(9, &[&[0x7b][..], &[0xff; 8]].concat())),
            "malformed",
        ),
        case(
            "a number out of range",
            Stranger::Authenticated(with_length(
                14,
                b"\xa2\x61c\xc2\x49\x01\x00\x00\x00\x00\x00\x00\x00\x00",
            )),
            "malformed",
        ),
        case(
            "frame cut off",
            Stranger::Authenticated(with_length(100, b"abc")),
            "peers: Connection ended.",
        ),
    ]
}

async fn play(node: SocketAddr, stranger: Stranger) {
    let mut stream = TcpStream::connect(node).await.expect("the node listens");
    match stranger {
        Stranger::Raw(bytes) => stream.write_all(&bytes).await.expect("it is connected"),
        Stranger::Handshake(secret) => {
            let secret = ClusterSecret(secret.as_bytes().to_vec());
            let result = handshake::connect(&mut stream, &secret).await;
            assert!(matches!(
                result,
                Err(ProtocolError::Secret | ProtocolError::Io(_))
            ));
        }
        Stranger::Authenticated(bytes) => {
            authenticate(&mut stream).await;
            stream.write_all(&bytes).await.expect("it is connected");
            stream.shutdown().await.expect("it is connected");
        }
    }
    // The node closes, whatever it had sent before.
    let mut rest = Vec::new();
    let _ = timeout(PATIENCE, stream.read_to_end(&mut rest))
        .await
        .expect("the node closes the connection");
}

async fn authenticate(stream: &mut TcpStream) {
    let secret = ClusterSecret(SECRET.as_bytes().to_vec());
    handshake::connect(stream, &secret)
        .await
        .expect("the secret is right");
}

/// Asks over a connection that stays open.
async fn ask(stream: &mut TcpStream, correlation: u64) {
    let request = Request::ReplicaIdentity(GroupId(1));
    let question = RequestFrame {
        correlation,
        request,
    };
    frame::write(stream, &question).await.expect("it is open");
    let answer: ResponseFrame = timeout(PATIENCE, frame::read(stream, MAX_FRAME_BYTES))
        .await
        .expect("it answers")
        .expect("it is open");
    assert_eq!(answer.correlation, correlation);
    assert!(matches!(answer.response, Response::ReplicaIdentity(None)));
}

#[actix_rt::test]
async fn strangers_and_broken_peers_are_refused_with_a_reason_and_disturb_nobody() {
    let lines = Lines::default();
    let log = Logger::root(lines.clone().fuse(), o!());
    let node = Node::start(settings("one", &[]), log.clone()).expect("it starts");
    let other = Node::start(settings("two", &[node.peers]), log).expect("it starts");
    lines.wait_for("Member joined", "start").await;
    let mut good = TcpStream::connect(node.peers).await.expect("it listens");
    authenticate(&mut good).await;
    ask(&mut good, 1).await;
    for (number, case) in cases().into_iter().enumerate() {
        lines.lock().clear();
        play(node.peers, case.stranger).await;
        lines.wait_for(case.logged, case.name).await;
        let said = lines.lock().join("\n");
        assert!(
            !said.contains(SECRET),
            "{}: the secret is logged",
            case.name
        );
        assert!(!said.contains("Member suspect"), "{}: {said}", case.name);
        ask(&mut good, number as u64 + 2).await;
    }
    assert_eq!(
        node.shared
            .members
            .lock()
            .alive(node.shared.clock.now())
            .len(),
        2
    );
    for running in [node, other] {
        running.stop();
        running.join();
    }
}
