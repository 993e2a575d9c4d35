//! Cancels runs at engines whose answer nobody waits for any more.
//!
//! Closing the connection tells most engines, but one that has not answered yet may not notice,
//! so that the run is also cancelled by its identifier.

use actix_http::Method;
use actix_http::header::{HeaderName, HeaderValue};
use bytes::Bytes;
use firshore_exchange::exchange;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc;

/// Header that names a run at an engine.
pub const REQUEST_ID_HEADER: HeaderName = HeaderName::from_static("engine-request-id");

const QUEUE_LENGTH: usize = 4096;

/// Longest time for one cancellation. The engine may be stuck.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

struct Cancellation {
    address: SocketAddr,
    id: String,
}

/// Handle through which any thread cancels runs.
#[derive(Clone)]
pub struct Canceller {
    queue: mpsc::Sender<Cancellation>,
}

/// The receiving end, to be run by the node.
pub struct Cancellations {
    queue: mpsc::Receiver<Cancellation>,
}

/// A handle and the end that serves it.
pub fn channel() -> (Canceller, Cancellations) {
    let (sender, receiver) = mpsc::channel(QUEUE_LENGTH);
    (
        Canceller { queue: sender },
        Cancellations { queue: receiver },
    )
}

/// Sends cancellations until every handle is gone.
pub async fn run(mut cancellations: Cancellations) {
    while let Some(cancellation) = cancellations.queue.recv().await {
        actix_rt::spawn(async move {
            let sent = tokio::time::timeout(CANCEL_TIMEOUT, send(cancellation));
            // An engine that cannot be reached runs nothing for long.
            let _ = sent.await;
        });
    }
}

async fn send(cancellation: Cancellation) {
    let path = format!("/v1/requests/{}", cancellation.id);
    let Ok(head) = exchange::request_head(Method::DELETE, &path, cancellation.address) else {
        return;
    };
    if let Ok(mut answer) = exchange::send(cancellation.address, head, Bytes::new()).await {
        let _ = answer.body.read_whole(1024).await;
    }
}

/// One run at an engine, cancelled when dropped before its end.
pub struct EngineRun {
    canceller: Canceller,
    address: SocketAddr,
    id: String,
    ended: bool,
}

impl EngineRun {
    /// A run about to start, under an identifier of its own.
    pub fn new(canceller: &Canceller, address: SocketAddr) -> Self {
        let number: u128 = rand::random();
        Self {
            canceller: canceller.clone(),
            address,
            id: format!("{number:032x}"),
            ended: false,
        }
    }

    /// Where it runs.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The value of [`REQUEST_ID_HEADER`].
    pub fn header_value(&self) -> HeaderValue {
        HeaderValue::from_str(&self.id).expect("hexadecimal digits are ASCII")
    }

    /// Notes that there is nothing left to cancel.
    pub fn ended(mut self) {
        self.ended = true;
    }
}

impl Drop for EngineRun {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        // A full queue leaves it to the closed connection.
        let _ = self.canceller.queue.try_send(Cancellation {
            address: self.address,
            id: std::mem::take(&mut self.id),
        });
    }
}
