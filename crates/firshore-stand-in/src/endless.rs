//! A server that sends bytes without end.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Bytes that are written at once.
const BLOCK_BYTES: usize = 64 * 1024;

/// Bytes of a request that are read.
const REQUEST_BYTES: usize = 4 * 1024;

/// A server that sends a start, and then a piece over and over, as fast as they are read, until its peer closes.
pub struct EndlessServer {
    /// Where it listens.
    pub address: SocketAddr,
    /// Number of open connections.
    pub open: Arc<AtomicUsize>,
    /// Number of connections on which a request arrived.
    pub requests: Arc<AtomicUsize>,
}

/// What is sent on each connection.
#[derive(Clone)]
struct Answer {
    start: Vec<u8>,
    block: Vec<u8>,
}

impl Answer {
    fn send(&self, stream: &mut TcpStream) {
        let mut sent = stream.write_all(&self.start);
        if self.block.is_empty() {
            let _ = stream.read(&mut [0; REQUEST_BYTES]);
            return;
        }
        while sent.is_ok() {
            sent = stream.write_all(&self.block);
        }
    }
}

impl EndlessServer {
    /// Starts a server that sends `start`, and then `piece` without end. With an empty piece it sends nothing more, and keeps
    /// the connection until its peer closes or sends again.
    ///
    /// # Panics
    ///
    /// If no port is free.
    pub fn start(start: &str, piece: &str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("it is bound");
        let answer = Answer {
            start: start.into(),
            block: piece
                .repeat(BLOCK_BYTES.div_ceil(piece.len().max(1)))
                .into(),
        };
        let server = Self {
            address,
            open: Arc::default(),
            requests: Arc::default(),
        };
        let (open, requests) = (server.open.clone(), server.requests.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (answer, open, requests) = (answer.clone(), open.clone(), requests.clone());
                open.fetch_add(1, Ordering::SeqCst);
                std::thread::spawn(move || {
                    serve(stream, &answer, &requests);
                    open.fetch_sub(1, Ordering::SeqCst);
                });
            }
        });
        server
    }
}

fn serve(mut stream: TcpStream, answer: &Answer, requests: &AtomicUsize) {
    let read = stream.read(&mut [0; REQUEST_BYTES]);
    if read.is_ok_and(|len| len > 0) {
        requests.fetch_add(1, Ordering::SeqCst);
    }
    answer.send(&mut stream);
}
