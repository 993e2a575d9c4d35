//! One proxied connection: two directions, each a queue of pieces with a time of release.

use crate::fault_proxy::host::Control;
use crate::fault_proxy::{CutKind, DirectionFaults, ProxyFaults};
use bytes::{Bytes, BytesMut};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep, sleep_until};

/// Largest piece read at once, in bytes.
const PIECE_BYTES: usize = 16 * 1024;

/// Pieces of one direction that may be under way; more wait in the sender.
const PIECES_UNDER_WAY: usize = 256;

/// The two sockets.
pub(super) struct Ends {
    pub(super) caller: TcpStream,
    pub(super) upstream: TcpStream,
}

/// Why a direction stopped before its proper end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stop {
    /// A fault or the handle ended the connection.
    Cut(CutKind),
    /// A socket failed.
    Failed,
}

#[derive(Clone, Copy)]
enum Direction {
    Requests,
    Answers,
}

impl Direction {
    fn of(self, faults: &ProxyFaults) -> DirectionFaults {
        match self {
            Self::Requests => faults.requests,
            Self::Answers => faults.answers,
        }
    }

    fn counter(self, control: &Control) -> &AtomicU64 {
        match self {
            Self::Requests => &control.counters.request_bytes,
            Self::Answers => &control.counters.answer_bytes,
        }
    }
}

struct Piece {
    bytes: Bytes,
    release: Instant,
}

/// Makes the coming close of `stream` a reset.
pub(super) fn reset(stream: &TcpStream) {
    let _ = stream.set_zero_linger();
}

async fn closed(control: &Control) -> CutKind {
    let mut closing = control.closing.subscribe();
    match closing.changed().await {
        Ok(()) => closing.borrow().unwrap_or(CutKind::Reset),
        Err(_) => CutKind::Reset,
    }
}

/// Reads and never answers, until the caller leaves or the connection is closed.
pub(super) async fn hold(mut caller: TcpStream, control: &Control) {
    let mut buffer = vec![0; PIECE_BYTES];
    let drain = async {
        while caller
            .read(&mut buffer)
            .await
            .is_ok_and(|length| length > 0)
        {}
    };
    tokio::select! {
        () = drain => {}
        _ = closed(control) => {}
    }
    reset(&caller);
}

/// Forwards both directions until both have ended or one is cut.
pub(super) async fn forward(mut ends: Ends, control: &Control, number: u64) {
    let _ = ends.caller.set_nodelay(true);
    let _ = ends.upstream.set_nodelay(true);
    let stop = {
        let (caller_reads, caller_writes) = ends.caller.split();
        let (upstream_reads, upstream_writes) = ends.upstream.split();
        let link = |direction| Link::new(control, direction, number);
        let requests = pump(caller_reads, upstream_writes, link(Direction::Requests));
        let answers = pump(upstream_reads, caller_writes, link(Direction::Answers));
        tokio::select! {
            both = futures_util::future::try_join(requests, answers) => both.err(),
            kind = closed(control) => Some(Stop::Cut(kind)),
        }
    };
    if let Some(Stop::Cut(_)) = stop {
        control.counters.cut.fetch_add(1, Ordering::Relaxed);
    }
    if let Some(Stop::Cut(CutKind::Reset) | Stop::Failed) = stop {
        reset(&ends.caller);
        reset(&ends.upstream);
    }
}

async fn pump(
    reads: impl AsyncRead + Unpin,
    writes: impl AsyncWrite + Unpin,
    link: Link<'_>,
) -> Result<(), Stop> {
    let (sender, receiver) = mpsc::channel(PIECES_UNDER_WAY);
    let collecting = collect(reads, sender, link.clone());
    let delivering = deliver(writes, receiver, link);
    futures_util::future::try_join(collecting, delivering).await?;
    Ok(())
}

/// Reads pieces and gives each its time of release.
async fn collect(
    mut reads: impl AsyncRead + Unpin,
    sender: mpsc::Sender<Piece>,
    link: Link<'_>,
) -> Result<(), Stop> {
    let mut last = Instant::now();
    loop {
        let mut buffer = BytesMut::with_capacity(PIECE_BYTES);
        let length = reads
            .read_buf(&mut buffer)
            .await
            .map_err(|_| Stop::Failed)?;
        if length == 0 {
            return Ok(());
        }
        last = last.max(Instant::now() + link.delay());
        let piece = Piece {
            bytes: buffer.freeze(),
            release: last,
        };
        if sender.send(piece).await.is_err() {
            return Ok(());
        }
    }
}

/// Writes pieces when they are due, under the faults in force then.
async fn deliver(
    mut writes: impl AsyncWrite + Unpin,
    mut receiver: mpsc::Receiver<Piece>,
    mut link: Link<'_>,
) -> Result<(), Stop> {
    while let Some(piece) = receiver.recv().await {
        sleep_until(piece.release).await;
        link.until_audible().await;
        sleep(link.transmission(piece.bytes.len())).await;
        let (passed, cut) = link.pass(piece.bytes.len());
        let written = writes.write_all(&piece.bytes[..passed]).await;
        written.map_err(|_| Stop::Failed)?;
        let counter = link.direction.counter(link.control);
        counter.fetch_add(passed as u64, Ordering::Relaxed);
        if let Some(kind) = cut {
            return Err(Stop::Cut(kind));
        }
    }
    link.until_audible().await;
    writes.shutdown().await.map_err(|_| Stop::Failed)
}

/// One direction of one connection under the proxy's faults.
#[derive(Clone)]
struct Link<'a> {
    control: &'a Control,
    faults: watch::Receiver<ProxyFaults>,
    direction: Direction,
    number: u64,
    /// Bytes passed since the faults were set.
    passed: u64,
}

impl<'a> Link<'a> {
    fn new(control: &'a Control, direction: Direction, number: u64) -> Self {
        Self {
            control,
            faults: control.faults.subscribe(),
            direction,
            number,
            passed: 0,
        }
    }

    fn now(&self) -> DirectionFaults {
        let faults = self.faults.borrow();
        let concerned = faults
            .every
            .is_none_or(|every| self.number.is_multiple_of(every.max(1)));
        if concerned {
            self.direction.of(&faults)
        } else {
            DirectionFaults::default()
        }
    }

    fn delay(&self) -> Duration {
        let faults = self.now();
        let jitter = match faults.jitter_microseconds {
            0 => 0,
            limit => self.control.jitter(limit),
        };
        Duration::from_micros(faults.delay_microseconds + jitter)
    }

    async fn until_audible(&mut self) {
        while self.now().silent {
            if self.faults.changed().await.is_err() {
                return;
            }
            self.passed = 0;
        }
    }

    fn transmission(&self, length: usize) -> Duration {
        match self.now().bytes_per_second {
            Some(rate) => Duration::from_secs_f64(length as f64 / rate.max(1) as f64),
            None => Duration::ZERO,
        }
    }

    /// How much of a piece passes, and whether the connection is cut after that.
    fn pass(&mut self, length: usize) -> (usize, Option<CutKind>) {
        if self.faults.has_changed().unwrap_or(false) {
            self.faults.mark_unchanged();
            self.passed = 0;
        }
        let Some(cut) = self.now().cut else {
            return (length, None);
        };
        let left = cut.after_bytes.saturating_sub(self.passed);
        if (length as u64) <= left && left > 0 {
            self.passed += length as u64;
            return (length, None);
        }
        if !self.control.take_cut() {
            return (length, None);
        }
        (left as usize, Some(cut.kind))
    }
}
