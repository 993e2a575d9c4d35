//! A refusal reaches a caller that is still sending its body.

mod support;

use std::io::Write;
use support::{Fixture, KEY, PATIENCE, Reply};

/// More than the sockets' buffers take, so that the caller is still sending when it is refused.
const LONG_BODY: usize = 16 * 1024 * 1024;

fn ask(fixture: &Fixture, path: &str, key: &str, length: usize) -> Reply {
    let mut caller = fixture.connect();
    caller.set_write_timeout(Some(PATIENCE)).unwrap();
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: node\r\nauthorization: Bearer {key}\r\n\
         connection: close\r\ncontent-length: {length}\r\n\r\n"
    );
    caller.write_all(head.as_bytes()).unwrap();
    let sent = caller.write_all(&vec![b'x'; length]);
    let reply = Reply::read(&mut caller);
    assert!(sent.is_ok(), "{path}: {sent:?}, got {:?}", reply.text);
    reply
}

#[test]
fn a_refusal_is_not_lost_to_a_reset() {
    let fixture = Fixture::start(&[], "request_body_bytes = 1000");
    let cases = [
        ("/v1/completions", "nobody", 401),
        ("/v1/completions", KEY, 413),
    ];
    for (path, key, status) in cases {
        let reply = ask(&fixture, path, key, LONG_BODY);
        assert_eq!(reply.status(), status, "{path}");
        assert!(reply.text.contains("firshore-execution: none"), "{path}");
    }
}
