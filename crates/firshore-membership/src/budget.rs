//! Token bucket that limits the bytes sent per second.

/// Token bucket in bytes, refilled at a constant rate up to `burst`.
#[derive(Clone, Copy, Debug)]
pub struct ByteBudget {
    bytes_per_second: u64,
    burst: u64,
    available_millibytes: u64,
    refilled_at: u64,
}

impl ByteBudget {
    /// Returns a full bucket at `now` (milliseconds).
    pub fn new(now: u64, bytes_per_second: u64, burst: u64) -> Self {
        Self {
            bytes_per_second,
            burst,
            available_millibytes: burst * 1_000,
            refilled_at: now,
        }
    }

    /// Adds the bytes for the time since the last refill; `now` is in milliseconds.
    pub fn refill(&mut self, now: u64) {
        let elapsed = now.saturating_sub(self.refilled_at);
        self.refilled_at = now;
        let refilled = elapsed * self.bytes_per_second;
        self.available_millibytes = (self.available_millibytes + refilled).min(self.burst * 1_000);
    }

    /// Returns the bytes that may be spent now.
    pub fn available(&self) -> usize {
        (self.available_millibytes / 1_000) as usize
    }

    /// Removes `bytes`. The balance stops at zero: an overdraft is not carried over.
    pub fn spend(&mut self, bytes: usize) {
        self.available_millibytes = self
            .available_millibytes
            .saturating_sub(bytes as u64 * 1_000);
    }
}
