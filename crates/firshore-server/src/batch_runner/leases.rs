//! The leases that this node holds, their renewal, and the clock that they are checked on.
//!
//! The journal's leader stamps when a lease expires; this node reckons from the moment before it
//! asked, which is never later. The clock is the kernel's boot-time clock, which goes on counting
//! while the process, or the whole machine, is paused.

use super::Context;
use crate::journal;
use firshore_batch::command::{Action, ItemLease, LeaseReference, Outcome};
use rustix::time::{ClockId, clock_gettime};
use slog::warn;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;

/// How long a lease lasts, in milliseconds.
pub(super) const LEASE_MILLISECONDS: u64 = 10_000;

/// An item is not sent, and a running one is stopped, this long before its lease ends, in
/// milliseconds.
const GUARD_MILLISECONDS: u64 = 2_000;

/// Time between two renewals. A cancelled job's items stop within it.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(500);

/// Most leases in one command.
const RENEWALS_AT_ONCE: usize = 2_000;

/// Milliseconds on a clock that counts through pauses.
pub(super) fn boot_milliseconds() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    time.tv_sec as u64 * 1_000 + time.tv_nsec as u64 / 1_000_000
}

/// Why an item must stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stop {
    /// It makes room for online requests and may go on later.
    Yield,
    /// Its lease is gone, or this node gives it back.
    Revoked,
}

/// One lease that this node holds.
pub(super) struct HeldLease {
    pub(super) granted: ItemLease,
    valid_until: Cell<u64>,
    stop: watch::Sender<Option<Stop>>,
}

impl HeldLease {
    pub(super) fn reference(&self) -> &LeaseReference {
        &self.granted.lease
    }

    /// Whether the item may be sent now. To be asked as the last step before sending.
    pub(super) fn is_valid(&self) -> bool {
        let revoked = *self.stop.borrow() == Some(Stop::Revoked);
        !revoked && boot_milliseconds() + GUARD_MILLISECONDS < self.valid_until.get()
    }

    /// Asks the item to stop; a revocation is final.
    pub(super) fn stop(&self, reason: Stop) {
        self.stop.send_if_modified(|now| {
            let changes = *now != Some(Stop::Revoked) && *now != Some(reason);
            if changes {
                *now = Some(reason);
            }
            changes
        });
    }

    /// Takes a yield back before the item runs again.
    pub(super) fn resume(&self) {
        self.stop.send_if_modified(|now| {
            let yielded = *now == Some(Stop::Yield);
            if yielded {
                *now = None;
            }
            yielded
        });
    }

    /// Resolves once the item must stop.
    pub(super) async fn stopped(&self) -> Stop {
        let mut receiver = self.stop.subscribe();
        loop {
            let reason = *receiver.borrow_and_update();
            if let Some(reason) = reason {
                return reason;
            }
            // The sender lives as long as `self`.
            let _ = receiver.changed().await;
        }
    }
}

/// All leases that this node holds.
#[derive(Default)]
pub(crate) struct Leases {
    held: RefCell<HashMap<LeaseReference, Rc<HeldLease>>>,
}

impl Leases {
    pub(super) fn is_empty(&self) -> bool {
        self.held.borrow().is_empty()
    }

    /// Takes a lease in that was asked for at `asked_at` (boot-time milliseconds).
    pub(super) fn add(&self, granted: ItemLease, asked_at: u64) -> Rc<HeldLease> {
        let reference = granted.lease.clone();
        let lease = Rc::new(HeldLease {
            granted,
            valid_until: Cell::new(asked_at + LEASE_MILLISECONDS),
            stop: watch::Sender::new(None),
        });
        self.held.borrow_mut().insert(reference, lease.clone());
        lease
    }

    /// Forgets leases whose end the journal has committed.
    pub(super) fn settled(&self, leases: &[Rc<HeldLease>]) {
        let mut held = self.held.borrow_mut();
        for lease in leases {
            held.remove(lease.reference());
        }
    }

    fn all(&self) -> Vec<Rc<HeldLease>> {
        self.held.borrow().values().cloned().collect()
    }
}

/// Renews all leases until the node ends, and stops the items of those that are not renewed.
pub(super) async fn renew(context: Rc<Context>) {
    loop {
        actix_rt::time::sleep(RENEWAL_INTERVAL).await;
        for leases in context.leases.all().chunks(RENEWALS_AT_ONCE) {
            renew_some(&context, leases).await;
        }
        for lease in context.leases.all() {
            if !lease.is_valid() {
                lease.stop(Stop::Revoked);
            }
        }
    }
}

async fn renew_some(context: &Context, leases: &[Rc<HeldLease>]) {
    let asked_at = boot_milliseconds();
    let action = Action::Renew {
        leases: leases.iter().map(|one| one.reference().clone()).collect(),
        duration_milliseconds: LEASE_MILLISECONDS,
    };
    match journal::propose(&context.shared, action).await {
        Ok(Outcome::Renewed { refused }) => {
            for lease in leases {
                if refused.contains(lease.reference()) {
                    lease.stop(Stop::Revoked);
                } else {
                    lease.valid_until.set(asked_at + LEASE_MILLISECONDS);
                }
            }
        }
        Ok(_) => {}
        Err(error) => {
            warn!(context.log, "batch: Leases not renewed."; "leases" => leases.len(), "reason" => %error);
        }
    }
}
