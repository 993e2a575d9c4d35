//! Peers that send bytes without end, as fast as they are read.

use super::answers::Received;
use firshore_adapter::backend::Backend;
use firshore_adapter::incarnation::{BackendName, Incarnation};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc;
use std::time::Duration;

/// Fails a test that hangs; far longer than the route's timeout.
pub const HANGS_AFTER: Duration = Duration::from_secs(20);

/// Bytes that are written at once.
const BLOCK_BYTES: usize = 64 * 1024;

/// A back end that sends a piece over and over, until its peer closes.
pub struct EndlessBackend {
    address: SocketAddr,
    /// Number of open connections.
    pub open: Arc<AtomicUsize>,
}

impl EndlessBackend {
    /// Starts a back end that sends `start`, and then `piece` without end; an empty piece is nothing.
    pub fn start(start: &str, piece: &str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let open = Arc::<AtomicUsize>::default();
        let counter = open.clone();
        let start = start.to_owned();
        let block = piece.repeat(BLOCK_BYTES.div_ceil(piece.len().max(1)));
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                let mut stream = stream.unwrap();
                let (start, block, counter) = (start.clone(), block.clone(), counter.clone());
                counter.fetch_add(1, Ordering::SeqCst);
                std::thread::spawn(move || {
                    let mut request = [0; 4 * 1024];
                    let _ = stream.read(&mut request);
                    let mut sent = stream.write_all(start.as_bytes());
                    if block.is_empty() {
                        let _ = stream.read(&mut request);
                    }
                    while sent.is_ok() && !block.is_empty() {
                        sent = stream.write_all(block.as_bytes());
                    }
                    counter.fetch_sub(1, Ordering::SeqCst);
                });
            }
        });
        Self { address, open }
    }

    /// Returns its entry, under a service of its own.
    pub fn entry(&self) -> Backend {
        Backend {
            incarnation: Incarnation::named(BackendName::from("endless")),
            service: "endless".into(),
            address: self.address,
            zone: "here".into(),
            slots: 10,
            leaving: false,
            warm_up: None,
            software: None,
        }
    }
}

/// Returns whether an answer is that of an ordinary back end.
pub fn is_ordinary(received: &Received) -> bool {
    matches!(received, Received::Complete(200, text) if text == "answer of b0")
}

/// Runs a test on a thread of its own: one whose thread never gets free could not detect that itself.
pub fn run_watched<T: Future<Output = ()>>(test: impl FnOnce() -> T + Send + 'static) {
    let (done, ended) = mpsc::channel();
    std::thread::spawn(move || {
        actix_rt::System::new().block_on(test());
        let _ = done.send(());
    });
    let end = ended.recv_timeout(HANGS_AFTER);
    assert!(end.is_ok(), "the test failed or its thread hung");
}
