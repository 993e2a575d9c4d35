//! Rate limits of tenants over all nodes together. No I/O; the time is passed in.
//!
//! A node decides on every request by itself ([`limiter`]), from the last response it received: how
//! much the tenant may still use, and the demand of all nodes. It reports what it has admitted with
//! the exchange that it makes anyway. One node counts what all have admitted in the span over which
//! rates are counted ([`ledger`]); relays forward sums over the nodes of their zone ([`relay`]).
//!
//! While something is left, every node admits all requests, and estimates what the others have
//! admitted since. Once nothing is left, each node admits its own share of the requests that become
//! free: the fraction of the tenant's total demand that arrives at this node. Shares add up to the
//! limit whether or not nodes reach each other: a node that becomes stale keeps its share, and no
//! other node gets it until the stale node has given it up itself.
#![deny(missing_docs, unsafe_code)]

mod demand;
pub mod ledger;
pub mod limiter;
pub mod relay;
pub mod report;
pub mod slow_start;
mod window;

use std::time::Duration;

/// Time without a response for which a node continues to use its share of a tenant's rate.
pub const SHARE_LIFETIME: Duration = Duration::from_secs(15);

/// Returns whether the unreported admissions are so large a fraction of what was left that they must
/// be reported at once: other nodes would admit the same requests again.
fn is_report_urgent(admitted: i32, left: f64) -> bool {
    const MIN_REQUESTS: f64 = 4.0;
    const FRACTION_OF_LEFT: f64 = 0.05;
    let admitted = f64::from(admitted);
    admitted >= MIN_REQUESTS && admitted >= left * FRACTION_OF_LEFT
}

/// Factor by which a stale node's admissions may grow, and are assumed to grow. Over some seconds,
/// ordinary variation of the demand is smaller.
const STALE_GROWTH: f64 = 1.5;

/// Time for which the share of a stale node is reserved for it: longer than the node uses it, so that
/// neither clock drift nor delay lets a share be used twice.
const SHARE_RESERVATION: Duration = Duration::from_secs(17);
