//! The thread that runs proxies, and the handles that control them.

use crate::fault_proxy::connection::{self, Ends};
use crate::fault_proxy::{CutKind, ProxyFaults};
use parking_lot::Mutex;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use std::io;
use std::net::{SocketAddr, TcpListener as StdListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};

/// Wait before a failed accept or bind is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(10);

/// Counts of a proxy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProxyStatistics {
    /// Connections accepted so far.
    pub accepted: u64,
    /// Connections open now.
    pub open: u64,
    /// Connections that a fault ended.
    pub cut: u64,
    /// Bytes passed to the upstream.
    pub request_bytes: u64,
    /// Bytes passed to callers.
    pub answer_bytes: u64,
}

#[derive(Default)]
pub(super) struct Counters {
    pub(super) accepted: AtomicU64,
    pub(super) open: AtomicU64,
    pub(super) cut: AtomicU64,
    pub(super) request_bytes: AtomicU64,
    pub(super) answer_bytes: AtomicU64,
}

/// What handles and the proxy's thread share.
pub(super) struct Control {
    upstream: Mutex<SocketAddr>,
    pub(super) faults: watch::Sender<ProxyFaults>,
    pub(super) closing: watch::Sender<Option<CutKind>>,
    cuts_left: Mutex<Option<u32>>,
    random: Mutex<ChaCha8Rng>,
    pub(super) counters: Counters,
    ended: watch::Sender<bool>,
}

impl Control {
    /// Uses up one of the cuts that may be made; `false` when there is none left.
    pub(super) fn take_cut(&self) -> bool {
        let mut left = self.cuts_left.lock();
        match *left {
            None => true,
            Some(0) => false,
            Some(count) => {
                *left = Some(count - 1);
                true
            }
        }
    }

    /// A random duration of up to `limit` microseconds.
    pub(super) fn jitter(&self, limit: u64) -> u64 {
        self.random.lock().random_range(0..=limit)
    }
}

/// A thread that runs any number of proxies.
pub struct ProxyHost {
    sender: Option<mpsc::UnboundedSender<(StdListener, Arc<Control>)>>,
    thread: Option<JoinHandle<()>>,
    seed: u64,
}

impl ProxyHost {
    /// Starts the thread; `seed` decides all jitter.
    pub fn start(seed: u64) -> io::Result<Self> {
        let (sender, mut receiver) = mpsc::unbounded_channel::<(StdListener, Arc<Control>)>();
        let thread = std::thread::Builder::new()
            .name("fault-proxy".to_owned())
            .spawn(move || {
                actix_rt::System::new().block_on(async move {
                    while let Some((listener, control)) = receiver.recv().await {
                        actix_rt::spawn(run(listener, control));
                    }
                });
            })?;
        Ok(Self {
            sender: Some(sender),
            thread: Some(thread),
            seed,
        })
    }

    /// Adds a proxy that listens on `listen` and forwards to `upstream`.
    pub fn add(&self, listen: SocketAddr, upstream: SocketAddr) -> io::Result<FaultProxy> {
        let listener = StdListener::bind(listen)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let seed = self.seed ^ u64::from(address.port());
        let control = Arc::new(Control {
            upstream: Mutex::new(upstream),
            faults: watch::Sender::default(),
            closing: watch::Sender::default(),
            cuts_left: Mutex::default(),
            random: Mutex::new(ChaCha8Rng::seed_from_u64(seed)),
            counters: Counters::default(),
            ended: watch::Sender::default(),
        });
        let sent = self
            .sender
            .as_ref()
            .is_some_and(|sender| sender.send((listener, control.clone())).is_ok());
        if !sent {
            return Err(io::Error::other("the proxy's thread has ended"));
        }
        Ok(FaultProxy { address, control })
    }
}

impl Drop for ProxyHost {
    /// Ends the thread with all its proxies.
    fn drop(&mut self) {
        self.sender = None;
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// One proxy. Dropping the handle ends it, resetting its connections.
pub struct FaultProxy {
    /// Where it listens.
    pub address: SocketAddr,
    control: Arc<Control>,
}

impl FaultProxy {
    /// Sets the faults, for open connections too.
    pub fn set(&self, faults: ProxyFaults) {
        *self.control.cuts_left.lock() = faults.cuts;
        self.control.faults.send_replace(faults);
    }

    /// Sends new connections to another upstream, as when a process comes back on another port.
    pub fn retarget(&self, upstream: SocketAddr) {
        *self.control.upstream.lock() = upstream;
    }

    /// Returns to normal.
    pub fn heal(&self) {
        self.set(ProxyFaults::default());
    }

    /// Ends all open connections.
    pub fn close_connections(&self, kind: CutKind) {
        self.control.closing.send_replace(Some(kind));
    }

    /// Counts so far.
    pub fn statistics(&self) -> ProxyStatistics {
        let counters = &self.control.counters;
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        ProxyStatistics {
            accepted: read(&counters.accepted),
            open: read(&counters.open),
            cut: read(&counters.cut),
            request_bytes: read(&counters.request_bytes),
            answer_bytes: read(&counters.answer_bytes),
        }
    }
}

impl Drop for FaultProxy {
    fn drop(&mut self) {
        self.close_connections(CutKind::Reset);
        self.control.ended.send_replace(true);
    }
}

/// Accepts connections until the handle is dropped.
async fn run(listener: StdListener, control: Arc<Control>) {
    let Ok(address) = listener.local_addr() else {
        return;
    };
    let mut ended = control.ended.subscribe();
    let mut faults = control.faults.subscribe();
    let mut listener = TcpListener::from_std(listener).ok();
    while !*ended.borrow_and_update() {
        if faults.borrow_and_update().refuse {
            listener = None;
        } else if listener.is_none() {
            listener = TcpListener::bind(address).await.ok();
        }
        tokio::select! {
            accepted = accept(listener.as_ref()) => match accepted {
                Some(stream) => take(stream, &control),
                None => actix_rt::time::sleep(RETRY_PAUSE).await,
            },
            _ = faults.changed() => {}
            _ = ended.changed() => {}
        }
    }
}

/// The next connection; `None` when there is no listener or accepting failed.
async fn accept(listener: Option<&TcpListener>) -> Option<TcpStream> {
    let (stream, _) = listener?.accept().await.ok()?;
    Some(stream)
}

fn take(caller: TcpStream, control: &Arc<Control>) {
    let number = control.counters.accepted.fetch_add(1, Ordering::Relaxed) + 1;
    let control = control.clone();
    actix_rt::spawn(async move {
        control.counters.open.fetch_add(1, Ordering::Relaxed);
        let half_open = control.faults.borrow().half_open;
        let upstream = *control.upstream.lock();
        if half_open {
            connection::hold(caller, &control).await;
        } else if let Ok(upstream) = TcpStream::connect(upstream).await {
            let ends = Ends { caller, upstream };
            connection::forward(ends, &control, number).await;
        } else {
            connection::reset(&caller);
        }
        control.counters.open.fetch_sub(1, Ordering::Relaxed);
    });
}
