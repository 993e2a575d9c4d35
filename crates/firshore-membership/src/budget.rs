//! A token bucket in bytes.

/// Bytes that may be spent, refilled at a constant rate.
#[derive(Clone, Copy, Debug)]
pub struct ByteBudget {
    bytes_per_second: u64,
    burst: u64,
    available_millibytes: u64,
    refilled_at: u64,
}

impl ByteBudget {
    /// A full bucket at `now` (milliseconds).
    pub fn new(now: u64, bytes_per_second: u64, burst: u64) -> Self {
        Self {
            bytes_per_second,
            burst,
            available_millibytes: burst * 1_000,
            refilled_at: now,
        }
    }

    /// Adds what the time since the last refill is worth.
    pub fn refill(&mut self, now: u64) {
        let elapsed = now.saturating_sub(self.refilled_at);
        self.refilled_at = now;
        let gained = elapsed * self.bytes_per_second;
        self.available_millibytes = (self.available_millibytes + gained).min(self.burst * 1_000);
    }

    /// Bytes that may be spent now.
    pub fn available(&self) -> usize {
        (self.available_millibytes / 1_000) as usize
    }

    /// Takes `bytes`; what is not there is not owed.
    pub fn spend(&mut self, bytes: usize) {
        self.available_millibytes = self
            .available_millibytes
            .saturating_sub(bytes as u64 * 1_000);
    }
}
