//! Answers that a back end sends while it has not read the whole request.

use actix_http::Method;
use bytes::Bytes;
use firshore_exchange::exchange::{self, Exchange, ExchangeError};
use socket2::{Domain, SockRef, Socket, Type};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};

/// Receive buffer of the back end in bytes; far smaller than the request, so that most of it stays unsent.
const RECEIVE_BUFFER_BYTES: usize = 8 * 1024;

/// More than the kernel takes before the back end reads.
const REQUEST_BYTES: usize = 32 * 1024 * 1024;

/// Length of the part of an answer that is sent.
const ANSWER_BYTES: usize = 20_000;

/// What a back end does after its answer.
#[derive(Clone, Copy, Debug)]
enum Ending {
    /// Resets the connection at once.
    Reset,
    /// Closes its sending side, and leaves the rest of the request unread.
    HalfClose,
}

/// Starts a back end that reads one head and, before anybody else gets a turn, sends `head`, [`ANSWER_BYTES`] bytes and
/// its end.
fn start_backend(head: String, ending: Ending) -> SocketAddr {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).unwrap();
    let any_port: SocketAddr = "127.0.0.1:0".parse().unwrap();
    socket.bind(&any_port.into()).unwrap();
    socket.listen(8).unwrap();
    socket.set_nonblocking(true).unwrap();
    let listener = TcpListener::from_std(socket.into()).unwrap();
    let address = listener.local_addr().unwrap();
    actix_rt::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        read_head(&mut stream).await;
        let answer = [head.as_bytes(), &[b'a'; ANSWER_BYTES]].concat();
        assert_eq!(stream.try_write(&answer).unwrap(), answer.len());
        match ending {
            Ending::Reset => reset(stream),
            Ending::HalfClose => {
                SockRef::from(&stream)
                    .shutdown(std::net::Shutdown::Write)
                    .unwrap();
                actix_rt::time::sleep(Duration::from_secs(60)).await;
            }
        }
    });
    address
}

async fn read_head(stream: &mut TcpStream) {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.unwrap());
    }
}

fn reset(stream: TcpStream) {
    SockRef::from(&stream)
        .set_linger(Some(Duration::ZERO))
        .unwrap();
}

async fn upload(address: SocketAddr) -> Result<Exchange, ExchangeError> {
    let head = exchange::request_head(Method::POST, "/upload", address).unwrap();
    exchange::send(address, head, Bytes::from(vec![b'u'; REQUEST_BYTES])).await
}

/// Returns the length of the answer to an upload.
fn answer_length(head: &str, ending: Ending) -> Result<usize, ExchangeError> {
    actix_rt::System::new().block_on(async {
        let address = start_backend(head.to_owned(), ending);
        let mut exchange = upload(address).await?;
        let body = exchange.body.read_whole(REQUEST_BYTES).await?;
        Ok(body.len())
    })
}

/// The failed write took the error off the socket, so that the read after it found an end without an error.
#[test]
fn reset_during_an_upload_was_taken_for_the_end_of_the_answer() {
    for head in ["HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.0 200 OK\r\n\r\n"] {
        let length = answer_length(head, Ending::Reset);
        assert!(
            matches!(length, Err(ExchangeError::Truncated)),
            "{length:?}"
        );
    }
}

#[test]
fn answer_with_a_length_is_whole_despite_a_reset() {
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {ANSWER_BYTES}\r\n\r\n");
    assert_eq!(answer_length(&head, Ending::Reset).unwrap(), ANSWER_BYTES);
}

#[test]
fn early_answer_ends_with_an_orderly_close() {
    let head = "HTTP/1.1 200 OK\r\n\r\n";
    assert_eq!(
        answer_length(head, Ending::HalfClose).unwrap(),
        ANSWER_BYTES
    );
}
