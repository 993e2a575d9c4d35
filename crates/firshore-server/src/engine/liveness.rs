//! Whether a back end that is silent still answers at all.
//!
//! A paused process keeps its connections open, and a long wait for a first token looks the
//! same, so a back end that says nothing for a while is asked for its load.

use actix_http::Method;
use bytes::Bytes;
use firshore_exchange::exchange::{self, Reuse};
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::time::timeout;

/// Silence after which a back end is asked.
const SILENCE: Duration = Duration::from_secs(2);

/// Longest wait for its answer.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// How long a probe's result serves other requests at the same back end.
const PROBE_LIFETIME: Duration = Duration::from_secs(1);

#[derive(Clone, Copy)]
struct Probe {
    at: Instant,
    answered: bool,
}

thread_local! {
    static PROBES: RefCell<HashMap<SocketAddr, Probe>> = RefCell::default();
}

/// Resolves once the back end has been silent and has left two probes unanswered.
pub async fn lost(address: SocketAddr) {
    loop {
        actix_rt::time::sleep(SILENCE).await;
        if answers(address).await {
            continue;
        }
        actix_rt::time::sleep(PROBE_LIFETIME).await;
        if !answers(address).await {
            return;
        }
    }
}

async fn answers(address: SocketAddr) -> bool {
    let recent = PROBES.with_borrow_mut(|probes| {
        probes.retain(|_, probe| probe.at.elapsed() < PROBE_LIFETIME);
        probes.get(&address).copied()
    });
    if let Some(probe) = recent {
        return probe.answered;
    }
    let answered = timeout(PROBE_TIMEOUT, probe(address)).await == Ok(true);
    let at = Instant::now();
    PROBES.with_borrow_mut(|probes| probes.insert(address, Probe { at, answered }));
    answered
}

/// Any answer shows that the process runs.
async fn probe(address: SocketAddr) -> bool {
    let Ok(head) = exchange::request_head(Method::GET, "/load", address) else {
        return false;
    };
    match exchange::connect(address, Reuse::Never).await {
        Ok(connection) => connection.send(head, Bytes::new()).await.is_ok(),
        Err(_) => false,
    }
}
