//! Tells the journal's leader what this node has under way at back ends, and learns from its answer
//! what all others have.

use crate::journal::client::JournalClient;
use crate::load_table::as_counts;
use firshore_gateway::gateway::Gateway;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::time::timeout;

/// Longest time between exchanges while requests are under way, whatever the leader says: what was
/// told counts for nothing soon after.
const LONGEST_BUSY_INTERVAL: Duration = Duration::from_millis(1_000);

/// Shortest time between exchanges while requests are under way.
const BUSY_INTERVAL: Duration = Duration::from_millis(100);

/// Part of the time between exchanges after which a node may tell again when its requests find no
/// free slot: online requests wait until items have made room.
const URGENT_SHARE: f64 = 0.2;

/// Time between exchanges otherwise.
const IDLE_INTERVAL: Duration = Duration::from_millis(500);

/// Runs until the node ends.
pub async fn run(gateway: Rc<Gateway>, journal: Rc<JournalClient>) {
    let mut was_busy = false;
    let mut busy_interval = BUSY_INTERVAL;
    let mut urgent = false;
    loop {
        let own = as_counts(gateway.fleet.borrow().in_flight());
        let busy = !own.is_empty();
        // An idle node tells so once, then looks from time to time; one that is cut off asks on.
        let cut_off = journal.is_cut_off();
        let tells = busy || was_busy || gateway.requests_open() > 0 || cut_off;
        if tells && let Some(others) = journal.exchange_load(own, urgent).await {
            let mut fleet = gateway.fleet.borrow_mut();
            fleet.learned_others(Instant::now(), &others.counts);
            busy_interval = others.pause.clamp(BUSY_INTERVAL, LONGEST_BUSY_INTERVAL);
            fleet.set_picture_interval(busy_interval);
        }
        was_busy = busy;
        let interval = match busy {
            true => busy_interval,
            false => IDLE_INTERVAL,
        };
        let least = busy_interval.mul_f64(URGENT_SHARE);
        actix_rt::time::sleep(least).await;
        let crowded = timeout(interval - least, gateway.crowded.notified());
        urgent = crowded.await.is_ok();
    }
}
