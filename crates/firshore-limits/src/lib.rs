//! How much each tenant may ask over all nodes together. No I/O; the time is passed in.
//!
//! A node decides on every request by itself ([`limiter`]), from what it was told last: how much the
//! tenant may still ask, and how much is asked of all nodes. It tells what it has admitted with the
//! exchange that it makes anyway. One node counts what all have admitted in the span over which rates
//! are counted ([`ledger`]); others pass on what the nodes of their zone tell ([`relay`]).
//!
//! While something is left, every node admits what comes, and counts in what the others are likely to
//! have admitted since. Once nothing is left, each node admits its own share of what becomes free: as
//! much of it as the tenant asks of this node, of what it asks of all. Shares add up to the limit
//! whether or not nodes reach each other, as a node that falls silent keeps its share, and no other node
//! gets it, until the silent one has given it up itself.
#![deny(missing_docs, unsafe_code)]

mod demand;
pub mod ledger;
pub mod limiter;
pub mod relay;
pub mod report;
mod window;

use std::time::Duration;

/// Time without news for which a node goes on with its share of a tenant's rate.
pub const SHARE_LIFETIME: Duration = Duration::from_secs(15);

/// Returns whether what was admitted and not told is so much of what was left that it has to be told at
/// once: others would admit the same once more.
fn is_pressing(admitted: i32, left: f64) -> bool {
    const LEAST_REQUESTS: f64 = 4.0;
    const SHARE_OF_LEFT: f64 = 0.05;
    let admitted = f64::from(admitted);
    admitted >= LEAST_REQUESTS && admitted >= left * SHARE_OF_LEFT
}

/// How many times as much as before a silent node admits at most, and is taken to admit: what is asked over some
/// seconds grows by less in an ordinary wave.
const SILENT_GROWTH: f64 = 1.5;

/// Time for which the share of a silent node is kept free for it: longer than the node uses it, so that
/// no clock and no delay lets a share be used twice.
const SHARE_RESERVATION: Duration = Duration::from_secs(17);
