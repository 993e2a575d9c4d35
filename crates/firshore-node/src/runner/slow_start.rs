//! Permits for requests to cold back ends: the leader issues them for all nodes, and uses for items those that no
//! other node takes.

use super::Runner;
use firshore_limits::slow_start::PermitIssuer;
use std::time::Instant;

impl Runner {
    /// Starts to issue permits, after a pause in which the former leader may still do so.
    pub(super) fn begin_slow_start(&self, now: Instant) {
        let mut issuer = PermitIssuer::new(now);
        // Back ends that became cold before this node led.
        for backend in self.gateway.fleet.borrow().cold(now) {
            issuer.add(now, backend.clone());
        }
        *self.permits.borrow_mut() = Some(issuer);
    }

    /// Ends to issue permits. Those that are held are void.
    pub(super) fn end_slow_start(&self) {
        self.permits.borrow_mut().take();
        self.loads.permits.take();
    }

    /// Issues the permits that are due, for other nodes to take with their next load report.
    pub(super) fn issue_permits(&self) {
        let mut issuer = self.permits.borrow_mut();
        let Some(issuer) = issuer.as_mut() else {
            return;
        };
        let now = Instant::now();
        let mut fleet = self.gateway.fleet.borrow_mut();
        for backend in fleet.take_newly_cold() {
            issuer.add(now, backend);
        }
        let mut pool = self.loads.permits.borrow_mut();
        for permit in issuer.issue(now, |backend| fleet.cold_rate(now, backend)) {
            pool.add(permit);
        }
        fleet.add_permits(pool.take_unwanted(now));
    }
}
